"""Replicas that turn calls away and ask for a rest, over real sockets."""

import contextlib
from collections import Counter, defaultdict

import anyio
import pytest
from entry_fleet import make_configuration, make_route, run_entry

pytestmark = pytest.mark.sockets
NAMES = tuple(f"w{number}" for number in range(1, 9))
ROUTERS = 3
CALLERS = 3
# Calls that are on their way when the answer arrives.
TRANSIT_S = 0.5
REQUEST_INTERVAL_S = 0.06
LIMIT_MS = 20000
MAX_CALLER_ATTEMPTS = 3


def read_time():
    return anyio.current_time()


class Traffic:
    """Callers of all routers, whose call ids begin with the router's number."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sent = 0
        self.last_replies = []

    async def send(self, number, **options):
        self.sent += 1
        router = self.fleet.routers[number]
        return await self.fleet.send(
            f"/stream/queries/{self.sent}",
            router=router,
            attempt=f"{number:x}{self.sent:015x}",
            Model="m0",
            **{
                "Token-Usage": "1200,20",
                "Prefix-Hash": f"{self.sent % 16:x}:1000,ff{self.sent:x}:200",
            },
            **options,
        )

    async def call_until(self, ends_at_s, number):
        while read_time() < ends_at_s:
            for _ in range(MAX_CALLER_ATTEMPTS):
                reply = await self.send(number)
                if reply.status == 200:
                    break
                await anyio.sleep(float(reply.headers["retry-after"]))
            self.last_replies.append(reply)
            await anyio.sleep(REQUEST_INTERVAL_S)

    async def run(self, duration_s):
        ends_at_s = read_time() + duration_s
        async with anyio.create_task_group() as group:
            for number in range(ROUTERS):
                for _ in range(CALLERS):
                    group.start_soon(self.call_until, ends_at_s, number)


def refuse(fleet, names, retry_after):
    for name in names:
        fleet.replicas[name].faults.refuse = True
        fleet.replicas[name].faults.retry_after = retry_after


def recover(fleet, delay_s=0.0):
    for replica in fleet.replicas.values():
        replica.faults.refuse = False
        replica.faults.delay_s = delay_s


def list_arrivals(replica):
    """Return the times of a replica's calls by router."""
    arrivals = defaultdict(list)
    for at_s, call_id in replica.arrived:
        arrivals[call_id[0]].append(at_s)
    return arrivals


def count_most_during_rest(fleet, names, rest_s, refused_at_s, recovered_at_s):
    """Return the most calls of a router that reach a replica within a spell of rest."""
    counts = Counter()
    for name in names:
        for router, arrivals in list_arrivals(fleet.replicas[name]).items():
            begins_at_s = ends_at_s = float("-inf")
            for at_s in arrivals:
                if at_s >= ends_at_s:
                    begins_at_s = at_s
                elif at_s > begins_at_s + TRANSIT_S:
                    counts[name, router, begins_at_s] += 1
                if refused_at_s <= at_s < recovered_at_s:
                    ends_at_s = at_s + rest_s
    return max(counts.values(), default=0)


async def wait_for_fleet(fleet):
    def know_all():
        return all(
            len(router.store_view.replicas.value.list_replicas("writers")) == len(NAMES)
            and len(router.peers.directory.list_hosts()) == ROUTERS
            for router in fleet.routers
        )

    await fleet.wait_until(know_all)


def run_fleet(check):
    async def run(fleet):
        async with contextlib.AsyncExitStack() as stack:
            for number in range(2, ROUTERS + 1):
                await stack.enter_async_context(fleet.open_router(f"front-{number}"))
            await wait_for_fleet(fleet)
            await check(fleet, Traffic(fleet))

    run_entry(run, names=NAMES)


def test_replicas_that_ask_for_rest_get_no_calls_until_it_ends():
    async def check(fleet, traffic):
        for names, retry_after in ((NAMES[:2], "1.5"), (NAMES[2:], "1")):
            rest_s = float(retry_after)
            refuse(fleet, names, retry_after)
            refused_at_s = read_time()
            await traffic.run(1.9)
            recover(fleet)
            recovered_at_s = read_time()
            await traffic.run(rest_s + 0.2)
            times_s = rest_s, refused_at_s, recovered_at_s
            assert count_most_during_rest(fleet, names, *times_s) <= 1
            for name in names:
                assert fleet.replicas[name].arrived[-1][0] > recovered_at_s
        served = sum(reply.status == 200 for reply in traffic.last_replies)
        assert served >= 0.99 * len(traffic.last_replies)

    run_fleet(check)


async def learn_of_all(traffic, number):
    """Send calls until every replica has turned one of the router's calls away."""
    replicas = traffic.fleet.replicas.values()
    while not all(f"{number:x}" in list_arrivals(replica) for replica in replicas):
        await traffic.send(number, limit_ms=LIMIT_MS)


def find_first_back(fleet, number, rest_s):
    """Return the time at which the first replica wants calls of a router again."""
    arrivals = [list_arrivals(x)[f"{number:x}"] for x in fleet.replicas.values()]
    return min(times[-1] for times in arrivals) + rest_s


async def use_long_timeouts(fleet):
    route = make_route("queries", "/stream/queries/", "streaming", "writers")
    route |= {"resumable": True, "timeoutMs": LIMIT_MS}
    fleet.store.put("op/config", make_configuration(2, [route]))
    await fleet.wait_until(
        lambda: all(
            router.store_view.declaration.value.version == 2 for router in fleet.routers
        )
    )


async def check_refusals(fleet, traffic, number, rest_s):
    """Check that a router's calls are refused with the time until a replica is back."""
    first_back_s = find_first_back(fleet, number, rest_s)
    back_s = []
    for _ in range(8):
        started_s = read_time()
        reply = await traffic.send(number, limit_ms=LIMIT_MS)
        assert reply.status == 503
        assert read_time() - started_s <= 0.1
        back_s.append(read_time() + float(reply.headers["retry-after"]))
    assert min(back_s) >= first_back_s - 0.05 * rest_s
    assert max(back_s) <= first_back_s + 0.5 * rest_s
    assert max(back_s) - min(back_s) >= 0.03 * rest_s


def count_first_calls(replica, router, recovered_at_s, duration_s):
    """Return a router's calls soon after the first one that ran after a rest."""
    arrivals = [x for x in list_arrivals(replica)[router] if x > recovered_at_s]
    return sum(x < arrivals[0] + duration_s for x in arrivals)


def test_calls_are_refused_while_all_replicas_rest_and_return_one_at_a_time():
    rest_s = 1.2

    async def check(fleet, traffic):
        await use_long_timeouts(fleet)
        refuse(fleet, NAMES, str(rest_s))
        for number in range(ROUTERS):
            await learn_of_all(traffic, number)
        recover(fleet, delay_s=0.3)
        recovered_at_s = read_time()
        arrivals = fleet.count_arrivals()
        for number in range(ROUTERS):
            await check_refusals(fleet, traffic, number, rest_s)
        assert fleet.count_arrivals() == arrivals
        async with anyio.create_task_group() as group:
            ends_at_s = read_time() + rest_s + 0.5
            for number in range(ROUTERS):
                for _ in range(2 * len(NAMES)):
                    group.start_soon(traffic.call_until, ends_at_s, number)
        for replica in fleet.replicas.values():
            for router in map(str, range(ROUTERS)):
                assert count_first_calls(replica, router, recovered_at_s, 0.25) == 1

    run_fleet(check)


async def split_lookups(fleet):
    route = make_route("lookup", "/lookup/", "idempotent", "app")
    del route["service"]
    split = [{"service": name, "weight": 1} for name in ("writers", "app")]
    route |= {"split": split, "timeoutMs": LIMIT_MS}
    configuration = make_configuration(2, [route])
    fleet.store.put("op/config", configuration)
    view = fleet.routers[0].store_view
    await fleet.wait_until(lambda: view.declaration.value.version == 2)


@pytest.mark.parametrize("need", ["rest", "limit"])
def test_calls_are_not_refused_while_another_service_of_their_route_has_room(need):
    async def check(fleet):
        await split_lookups(fleet)
        writers = [fleet.replicas[name] for name in ("w1", "w2")]
        for writer in writers:
            if need == "rest":
                refuse(fleet, [writer.id], "30")
            else:
                writer.faults.rate_limit = "0.05"
        while not all(writer.arrivals for writer in writers):
            await fleet.send("/lookup/1")
        arrivals = [writer.arrivals for writer in writers]
        replies = [await fleet.send(f"/lookup/{number}") for number in range(16)]
        assert [reply.status for reply in replies] == [200] * len(replies)
        if need == "rest":
            assert [writer.arrivals for writer in writers] == arrivals

    run_entry(check)


def test_a_refusal_tells_when_the_first_service_of_the_route_is_back():
    async def check(fleet):
        await split_lookups(fleet)
        refuse(fleet, ["w1", "w2"], "30")
        refuse(fleet, ["app1", "app2"], "3")
        while not all(replica.arrivals for replica in fleet.replicas.values()):
            await fleet.send("/lookup/1", limit_ms=LIMIT_MS)
        for _ in range(8):
            reply = await fleet.send("/lookup/1", limit_ms=LIMIT_MS)
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) <= 4.0

    run_entry(check)


def test_a_router_that_is_cut_off_tells_how_long_its_helper_has_no_replica():
    async def check(fleet):
        async with fleet.open_router("front-2"):
            first, second = fleet.routers
            await fleet.wait_until(
                lambda: (
                    len(first.peers.directory.list_hosts()) == 2
                    and second.store_view.declaration.value is not None
                    and second.store_view.replicas.value.list_replicas("app")
                )
            )
            links = first.app.forwarder.links
            links.is_cut = True
            links.helpers[second.settings.host] = None
            refuse(fleet, fleet.replicas, "30")
            for _ in range(3):
                reply = await fleet.send("/lookup/1", router=first, limit_ms=3000)
            assert reply.status == 503
            assert 0.4 <= float(reply.headers["retry-after"]) <= 0.9

    run_entry(check)


@pytest.mark.parametrize("retries", [0, 1000])
def test_calls_are_not_refused_by_one_replica_after_the_other_when_rests_end(
    retries, monkeypatch
):
    monkeypatch.setattr("primrosepier.rest_periods.MAX_TRIAL_DELAY_S", 60.0)
    names = NAMES[:4]

    async def check(fleet):
        traffic = Traffic(fleet)
        refuse(fleet, names[1:], "0.05")
        await learn_of_all(traffic, 0)
        for _ in range(10):
            await anyio.sleep(0.07)
            arrivals = fleet.count_arrivals()
            assert (await traffic.send(0)).status == 200
            assert fleet.count_arrivals() <= arrivals + (2 if retries else 1)

    settings = {"repeat_ratio": 0.0, "repeat_extra": retries, "repeat_window_s": 60.0}
    run_entry(check, names=names, **settings)
