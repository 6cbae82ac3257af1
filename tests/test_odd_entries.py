"""Routers before a store in which another writer left an odd entry."""

import contextlib
import json
import os
import subprocess
import sys
from itertools import count

import anyio
import pytest
from clients import call
from entry_fleet import HOST, KEY, make_configuration, make_route, run_entry
from node_settings import make_node_settings

from primrosepier.forwarding.loading_record import LOADING_RECORD_KEY
from primrosepier.forwarding.origin_journal import STREAMS_PREFIX
from primrosepier.forwarding.peers import ROUTERS_PREFIX
from primrosepier.forwarding.records import EntryUnreadable
from primrosepier.forwarding.version_recorder import VERSIONS_KEY
from primrosepier.forwarding.weights_controller import WEIGHTS_DUTY
from primrosepier.leases import make_duty_key

pytestmark = pytest.mark.sockets
DEEP = b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
SECONDS = 3.0
HUGE = 10**40
REPLICA = {
    "service": "writers",
    "address": "127.0.0.1:9",
    "zone": "rennes",
    "state": "ready",
    "slots": 4,
    "version": "v1",
    "models": [{"name": "m0", "version": 1}],
}


def make_entry(**changes):
    return {**REPLICA, **changes}


NESTED_ENTRIES = {
    "servers/w9": DEEP,
    "op/version/m9": DEEP,
    ROUTERS_PREFIX + "front-9": DEEP,
    LOADING_RECORD_KEY: DEEP,
    VERSIONS_KEY: DEEP,
    make_duty_key(WEIGHTS_DUTY): DEEP,
    STREAMS_PREFIX + "front-9/p/0": DEEP,
}


ODD_REPLICAS = {
    "a port out of range": make_entry(address="127.0.0.1:99999"),
    "a port that is a digit but no number": make_entry(address="127.0.0.1:²"),
    "a port of 5,000 digits": make_entry(address="127.0.0.1:" + "9" * 5000),
    "a host with spaces": make_entry(address="127.0.0.1 x:80"),
    "a version that no header can hold": make_entry(version="v1\r\nx: y"),
    "text": b"not a document",
    "a list": [],
}


class Callers:
    """Callers of all routers, one after the other."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.numbers = count(1)
        self.statuses = []

    async def run(self, duration_s):
        ends_at_s = anyio.current_time() + duration_s
        while anyio.current_time() < ends_at_s:
            for router in self.fleet.routers:
                number = next(self.numbers)
                for path in ("/stream/queries/", "/lookup/"):
                    reply = await self.fleet.send(
                        f"{path}{number}",
                        router=router,
                        attempt=f"{path[1:3]}{number:08x}",
                        Model="m0",
                    )
                    self.statuses.append(reply.status)
            await anyio.sleep(0.01)


async def check_odd_entries(fleet, entries):
    """Check that odd entries cost no call while one replica follows another."""
    async with contextlib.AsyncExitStack() as stack:
        for host in ("front-2", "front-3"):
            await stack.enter_async_context(fleet.open_router(host=host))
        await anyio.sleep(0.5)
        for key, value in entries.items():
            fleet.store.put(key, value)
        callers = Callers(fleet)
        async with anyio.create_task_group() as group:
            group.start_soon(callers.run, SECONDS)
            await anyio.sleep(0.5)
            fleet.register("w3")
            await anyio.sleep(0.5)
            fleet.store.remove("servers/w1")
            await anyio.sleep(1.0)
            arrivals = fleet.replicas["w1"].arrivals
        assert set(callers.statuses) == {200}
        assert fleet.replicas["w3"].runs
        assert fleet.replicas["w1"].arrivals == arrivals


def run_odd_entries(entries):
    async def check(fleet):
        fleet.store.remove("servers/w3")
        await check_odd_entries(fleet, entries)

    run_entry(check, names=("w1", "w2", "w3", "app1", "app2"))


def test_deeply_nested_entries_end_no_router():
    run_odd_entries(NESTED_ENTRIES)


def test_odd_entries_of_replicas_cost_no_call():
    entries = {f"servers/w9{n}": x for n, x in enumerate(ODD_REPLICAS.values())}
    run_odd_entries(entries | {"servers/w 9\r\nx: y": REPLICA})


def test_odd_versions_of_weights_cost_no_call():
    document = '{"model":"m0","version":%s}'
    versions = ("-1", str(HUGE), '"1"', "null")
    run_odd_entries(
        {f"op/version/m{n}": (document % x).encode() for n, x in enumerate(versions)}
    )


def test_a_replica_whose_update_can_not_be_read_is_used_as_before():
    async def check(fleet):
        router = fleet.routers[0]
        for name in ("w1", "w2", "app1", "app2"):
            fleet.store.put(f"servers/{name}", DEEP)
        await anyio.sleep(0.5)
        callers = Callers(fleet)
        await callers.run(0.5)
        assert set(callers.statuses) == {200}
        fleet.store.remove("servers/w1")
        await fleet.wait_until(lambda: router.store_view.find_replica("w1") is None)

    run_entry(check)


ODD_ROUTES = {
    "huge": {**make_route("odd", "/odd/", "idempotent", "app"), "priority": HUGE},
    "negative time": make_route("odd", "/odd/", "idempotent", "app", timeoutMs=-1),
    "no name": {"host": "apps.example"},
    "text": "odd",
}


@pytest.mark.parametrize("odd", ODD_ROUTES)
def test_an_odd_part_of_a_configuration_does_not_keep_a_key_in_use(odd):
    async def check(fleet):
        events = []
        router = fleet.routers[0]
        router.log.observers.append(events.append)
        configuration = make_configuration(version=2, keys=("another",))
        configuration["routes"].append(ODD_ROUTES[odd])
        configuration["services"].append({"name": 5})
        configuration["tenants"].append({"name": "second", "apiKeys": "x"})
        fleet.store.put("op/config", json.dumps(configuration).encode())
        await fleet.wait_until(lambda: router.store_view.declaration.value.version == 2)
        assert (await fleet.send("/lookup/1")).status == 401
        assert (await fleet.send("/lookup/1", key="another")).status == 200
        assert (await fleet.send("/odd/1", key="another")).status == 404
        reasons = [x.reason for x in events if isinstance(x, EntryUnreadable)]
        assert [x.partition(":")[0] for x in reasons] == [
            "routes[4]",
            "services[2]",
            "tenants[1]",
        ]

    run_entry(check)


def test_unreadable_entries_are_logged_once_a_revision():
    async def check(fleet):
        events = []
        router = fleet.routers[0]
        router.log.observers.append(events.append)
        keys = ["servers/w9", "op/version/m9", ROUTERS_PREFIX + "front-9"]
        for key in keys:
            fleet.store.put(key, DEEP)
        for number in range(5):
            fleet.store.put("op/other", {"number": number})
            await anyio.sleep(0.1)
        unreadable = [x.key for x in events if isinstance(x, EntryUnreadable)]
        assert sorted(unreadable) == sorted(keys)
        text = router.metrics.render().decode()
        assert "primrosepier_unreadable_entries_total 3" in text

    run_entry(check, apply_s=0.1)


def test_a_router_process_starts_and_stays_beside_odd_entries(tmp_path):
    async def check(fleet):
        for key, value in NESTED_ENTRIES.items():
            fleet.store.put(key, value)
        for number, value in enumerate(ODD_REPLICAS.values()):
            fleet.store.put(f"servers/w9{number}", value)
        text, ports = make_node_settings(fleet.settings.store_address)
        settings = tmp_path / "node.toml"
        settings.write_text(text)
        environment = {**os.environ, "PRIMROSEPIER_CONFIG": str(settings)}
        command = [sys.executable, "-m", "primrosepier", "entry-router"]
        output = tmp_path / "output"
        with output.open("wb") as stream:
            process = subprocess.Popen(command, env=environment, stdout=stream)
        try:
            await fleet.wait_until(lambda: "FleetChanged" in output.read_text())
            fleet.store.put("servers/w9", DEEP + b" ")
            address = f"127.0.0.1:{ports[1]}"
            for number in range(40):
                headers = {
                    "Host": HOST,
                    "Attempt-Id": f"{number:016x}",
                    "Authorization": f"Bearer {KEY}",
                    "Deadline-Ms": "2000",
                }
                path = f"/lookup/{number}"
                reply = await call(
                    fleet.client, address, "POST", path, b"", headers.items()
                )
                assert reply.status == 200
                await anyio.sleep(0.02)
            assert process.poll() is None
            assert "EntryUnreadable" in output.read_text()
            assert "RouterFailed" not in output.read_text()
        finally:
            process.kill()
            process.wait()

    run_entry(check)
