"""Routers before a store in which another writer left an odd entry."""

import contextlib
from itertools import count

import anyio
import pytest
from entry_fleet import run_entry

from primrosepier.forwarding.loading_record import LOADING_RECORD_KEY
from primrosepier.forwarding.origin_journal import STREAMS_PREFIX
from primrosepier.forwarding.peers import ROUTERS_PREFIX
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


async def check_odd_entry(fleet, key, value):
    """Check that an odd entry costs no call while one replica follows another."""
    async with contextlib.AsyncExitStack() as stack:
        for host in ("front-2", "front-3"):
            await stack.enter_async_context(fleet.open_router(host=host))
        await anyio.sleep(0.5)
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


def run_odd_entry(key, value, **settings):
    async def check(fleet):
        fleet.store.remove("servers/w3")
        await check_odd_entry(fleet, key, value)

    run_entry(check, names=("w1", "w2", "w3", "app1", "app2"), **settings)


@pytest.mark.parametrize("key", NESTED_ENTRIES)
def test_a_deeply_nested_entry_ends_no_router(key):
    run_odd_entry(key, NESTED_ENTRIES[key])


@pytest.mark.parametrize("odd", ODD_REPLICAS)
def test_an_odd_entry_of_a_replica_costs_no_call(odd):
    run_odd_entry("servers/w9", ODD_REPLICAS[odd])


def test_an_odd_name_of_a_replica_costs_no_call():
    run_odd_entry("servers/w 9\r\nx: y", REPLICA)


@pytest.mark.parametrize("version", [-1, HUGE, "1", None], ids=str)
def test_an_odd_version_of_weights_costs_no_call(version):
    value = {"model": "m0", "version": version}
    text = b'{"model":"m0","version":%d}' % HUGE
    run_odd_entry("op/version/m0", text if version == HUGE else value)
