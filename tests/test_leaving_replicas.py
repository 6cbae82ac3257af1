"""Replicas that say in their answers alone that they leave, over real sockets."""

import contextlib
from dataclasses import dataclass
from itertools import count

import anyio
import pytest
from entry_fleet import run_entry

pytestmark = pytest.mark.sockets
WRITERS = tuple(f"w{number}" for number in range(1, 9))
APPS = tuple(f"app{number}" for number in range(1, 5))
TWO_WRITERS = WRITERS[:2]
STREAMS = "/stream/queries/"
# Only calls of this route are repeated after errors.
LOOKUPS = "/lookup/"
PROMPT = {
    "Model": "m0",
    "Token-Usage": "1460,80",
    "Prefix-Hash": "5c1e07a2:800,91bd3f06:410,{:08x}:250",
}
DRAIN_S = 0.5
WORKERS = 3
PAUSE_S = 0.03


@dataclass(frozen=True)
class Sent:
    attempt: str
    router: str
    sent_at_s: float
    ended_at_s: float
    status: int


class Callers:
    """Callers that send calls through all routers, one after the other."""

    def __init__(self, fleet, path=STREAMS, headers=None, number=1):
        self.fleet = fleet
        self.path = path
        self.headers = headers or {}
        self.numbers = count(number * 10_000)
        self.sent = []

    async def run(self, duration_s):
        with anyio.move_on_after(duration_s):
            async with anyio.create_task_group() as group:
                for router in self.fleet.routers * WORKERS:
                    group.start_soon(self._run_worker, router)

    async def _run_worker(self, router):
        while True:
            with anyio.CancelScope(shield=True):
                await self.send(router)
            await anyio.sleep(PAUSE_S)

    async def send(self, router):
        number = next(self.numbers)
        attempt = f"{number:016x}"
        headers = {name: v.format(number) for name, v in self.headers.items()}
        path = f"{self.path}{number}"
        sent_at_s = anyio.current_time()
        options = {"router": router, "attempt": attempt, **headers}
        reply = await self.fleet.send(path, **options)
        ended_at_s = anyio.current_time()
        host = router.settings.host
        self.sent.append(Sent(attempt, host, sent_at_s, ended_at_s, reply.status))
        return reply

    def compute_served(self):
        return sum(call.status == 200 for call in self.sent) / len(self.sent)

    def list_late(self, name, since_s):
        """Return the calls to a replica sent after its router had an answer of it."""
        received = self._list_received(name)
        late = []
        for host in {call.router for call in received}:
            here = [call for call in received if call.router == host]
            answered = [c.ended_at_s for c in here if c.sent_at_s >= since_s]
            told_at_s = min(answered, default=since_s)
            late += [call for call in here if call.sent_at_s > told_at_s]
        return late

    def find_told_at_s(self, name):
        """Return when the first answer of a replica had been passed on."""
        return min(call.ended_at_s for call in self._list_received(name))

    def _list_received(self, name):
        """Return the calls that reached a replica."""
        received = {call_id for _, call_id in self.fleet.replicas[name].arrived}
        return [call for call in self.sent if call.attempt in received]


async def run_callers(callers, duration_s):
    async with anyio.create_task_group() as group:
        for part in callers:
            group.start_soon(part.run, duration_s)


def run_leaving(check, routers=1, names=WRITERS, **settings):
    """Run ``check(fleet)`` and return its result."""
    results = []

    async def run(fleet):
        async with contextlib.AsyncExitStack() as stack:
            for number in range(2, routers + 1):
                await stack.enter_async_context(fleet.open_router(f"front-{number}"))
            for router in fleet.routers:
                view = router.store_view
                await fleet.wait_until(
                    lambda view=view: (
                        sum(map(len, view.replicas.value.by_service.values()))
                        == len(names)
                        and view.declaration.value is not None
                    )
                )
            results.append(await check(fleet))

    run_entry(run, names=names, drain_s=DRAIN_S, **settings)
    return results[0]


def test_replicas_that_say_they_leave_get_nothing_new():
    leaving = ("w1", "w2", "app1")

    async def check(fleet):
        kinds = ((STREAMS, {}), (STREAMS, PROMPT), (LOOKUPS, {}))
        callers = [Callers(fleet, *kind, number) for number, kind in enumerate(kinds)]
        await run_callers(callers, 0.3)
        since_s = anyio.current_time()
        for name in leaving:
            fleet.replicas[name].faults.leaving = True
        fleet.replicas["w2"].faults.refuse = True
        fleet.replicas["app1"].faults.status = 500
        before = {name: fleet.replicas[name].arrivals for name in leaving}
        await run_callers(callers, 2.5 * DRAIN_S)
        assert all(fleet.replicas[name].arrivals > before[name] for name in leaving)
        late = {
            name: sum(len(part.list_late(name, since_s)) for part in callers)
            for name in leaving
        }
        return late, [part.compute_served() for part in callers]

    late, served = run_leaving(check, 3, (*WRITERS, *APPS), repeat_ratio=1.0)
    assert late == dict.fromkeys(leaving, 0)
    assert min(served) >= 0.99


def test_replicas_that_all_leave_serve_for_their_drain_time_and_once_started_again():
    async def check(fleet):
        callers = Callers(fleet)
        for replica in fleet.replicas.values():
            replica.faults.leaving = True
        await callers.run(0.8 * DRAIN_S)
        assert all(replica.arrived for replica in fleet.replicas.values())
        assert callers.compute_served() == 1.0
        told_at_s = max(map(callers.find_told_at_s, TWO_WRITERS))
        await anyio.sleep_until(told_at_s + DRAIN_S)
        arrivals = fleet.count_arrivals()
        with anyio.fail_after(0.3):
            reply = await callers.send(fleet.routers[0])
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert fleet.count_arrivals() == arrivals
        started, leaving = (fleet.replicas[name] for name in TWO_WRITERS)
        started.restart()
        await anyio.sleep(0.3)
        before = started.arrivals, leaving.arrivals
        assert (await callers.send(fleet.routers[0])).status == 200
        assert (started.arrivals, leaving.arrivals) == (before[0] + 1, before[1])

    run_leaving(check, names=TWO_WRITERS)


def test_a_leaving_replica_gets_no_order_to_load_weights():
    async def check(fleet):
        (router,) = fleet.routers
        # The first says so in an answer to a call, the second only in its reports.
        *leaving, staying = fleet.replicas.values()
        leaving[0].faults.leaving = True
        callers = Callers(fleet)
        while not leaving[0].arrived:
            await callers.send(router)
        leaving[1].faults.leaving = True
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        table = router.app.forwarder.notices.leaving
        await fleet.wait_until(
            lambda: staying.weights == 2 and len(table.told_at_s) == 2
        )
        await anyio.sleep(0.5)
        assert not any(replica.orders for replica in leaving)

    run_leaving(check, names=WRITERS[:3], weights_s=4.0)


def test_a_router_that_was_cut_off_knows_which_replicas_left_meanwhile():
    async def check(fleet):
        first, second = fleet.routers
        leaving, staying = fleet.replicas.values()
        await fleet.wait_until(lambda: len(first.peers.directory.list_hosts()) == 2)
        links = first.app.forwarder.links
        links.is_cut = True
        links.helpers[second.settings.host] = None
        leaving.faults.leaving = staying.faults.refuse = True
        callers = Callers(fleet)
        reply = await callers.send(first)
        assert (reply.status, reply.headers["server-leaving"]) == (200, "1")
        assert "x-router-leaving" not in reply.headers
        links.is_cut = staying.faults.refuse = False
        before = leaving.arrivals
        for _ in range(8):
            assert (await callers.send(first)).status == 200
        assert leaving.arrivals == before

    run_leaving(check, 2, TWO_WRITERS)
