from dataclasses import replace

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from primrosepier.board import make_board
from primrosepier.clocks import ManualClock
from primrosepier.configuration import (
    Configuration,
    Endpoint,
    Model,
    Service,
    ServiceKind,
)
from primrosepier.loads import EndpointLoad
from primrosepier.mirror import Mirror
from primrosepier.orders import EngineState, OrderAccepted, OrderFailed, OrderRefused
from primrosepier.revisions import STATE_PREFIX
from primrosepier.rollout import RolloutTimes
from primrosepier.rollout_controller import make_rollout_controller
from primrosepier.settings import LeaseBounds
from primrosepier.store import MemoryStore, Unavailable

scenarios("rollout.feature")

TICK_S = 0.25
LOAD_S = 1.0
FINISH_S = 3.0
TIMES = RolloutTimes(
    propagation_s=1.0,
    drain_timeout_s=20.0,
    start_timeout_s=2.0,
    load_timeout_s=30.0,
    retry_s=5.0,
)
BOUNDS = LeaseBounds(ttl_s=10.0, pause_s=1.0, order_s=1.0, rank_s=0.25)


class Engines:
    """Engines that execute orders in virtual time."""

    def __init__(self, clock):
        self.clock = clock
        self.versions = {}
        self.loading = {}
        self.fencing = {}
        self.orders = []
        self.checks_fencing = True
        self.max_loading = 0
        self.loads_while_running = 0
        self.is_running = None

    async def send(self, endpoint, order, timeout_s):
        name = endpoint.id
        if name not in self.versions:
            return OrderFailed("crashed")
        highest = self.fencing.get(name, 0)
        if self.checks_fencing and order.fencing < highest:
            return OrderRefused(highest)
        self.fencing[name] = max(order.fencing, highest)
        self.orders.append((self.clock(), name, order.fencing, highest))
        if name not in self.loading and self.versions[name] != order.version:
            self.loading[name] = (order.version, self.clock() + LOAD_S)
            self.loads_while_running += self.is_running(name)
        self.max_loading = max(self.max_loading, len(self.loading))
        return OrderAccepted()

    async def read(self, endpoint):
        name = endpoint.id
        if name not in self.versions:
            return None
        loading = self.loading.get(name, ("", 0.0))[0]
        return EngineState("i", "m", self.versions[name], loading)

    def advance(self):
        for name, (version, ends_s) in list(self.loading.items()):
            if ends_s <= self.clock():
                self.versions[name] = version
                del self.loading[name]


class World:
    """Routers, engines and a store in virtual time."""

    def __init__(self, count, loads_at_once):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.engines = Engines(self.clock)
        self.engines.is_running = self.is_running
        self.routers = []
        self.paused = {}
        self.requests_per_replica = 0
        self.started = 0
        self.out_since = {}
        endpoints = {
            f"e{n}": Endpoint(f"e{n}", "s", "-", f"d{n % 3}", concurrent=10)
            for n in range(count)
        }
        self.engines.versions = dict.fromkeys(endpoints, "1")
        self.configuration = Configuration(
            models={"m": Model("m", "1")},
            services={"s": Service("s", ServiceKind.ENGINE, ("m",), loads_at_once)},
            endpoints=endpoints,
        )

    def start_router(self):
        self.started += 1
        board = make_board()
        mirror = Mirror(STATE_PREFIX)
        router = make_rollout_controller(
            f"r{self.started}",
            board,
            self.store,
            self.engines,
            mirror,
            BOUNDS,
            TIMES,
            self.clock,
        )
        self.routers.append(router)

    def find_holder(self):
        return next(r for r in self.routers if r.rollouts["s"].duty.fencing_number)

    async def tick(self):
        snapshot = await self.store.read(STATE_PREFIX)
        for router in list(self.routers):
            if self.paused.get(router.host, 0.0) > self.clock():
                continue
            if not isinstance(snapshot, Unavailable):
                router.mirror.apply_snapshot(snapshot, self.clock())
            router.board.configuration.value = self.configuration
            out_of_service = router.board.loading.value
            count = len(self.engines.versions)
            running = -(
                -self.requests_per_replica * count // (count - len(out_of_service))
            )
            load = EndpointLoad(running, 0, self.clock())
            idle = EndpointLoad(0, 0, self.clock())
            router.board.load.value = {
                name: load if self.is_running(name) else idle
                for name in self.engines.versions
            }
            await router.step()
        self.record_loading(self.routers[0].board.loading.value)
        self.clock.advance(TICK_S)
        self.engines.advance()

    def record_loading(self, out_of_service):
        since = self.out_since
        self.out_since = {
            name: since.get(name, self.clock()) for name in out_of_service
        }

    def is_running(self, name):
        """Return whether requests still run; they outlast the removal from service."""
        out_s = self.clock() - self.out_since.get(name, self.clock())
        return self.requests_per_replica > 0 and out_s < FINISH_S

    def run(self, seconds):
        async def run():
            for _ in range(round(seconds / TICK_S)):
                await self.tick()

        anyio.run(run)


@pytest.fixture
def outage():
    return {}


@given(
    parsers.parse(
        "{count:d} replicas at version 1 of which {loads_at_once:d} may load at once"
    ),
    target_fixture="world",
)
def make_world(count, loads_at_once):
    return World(count, loads_at_once)


@given(parsers.parse("{count:d} routers"))
def start_routers(world, count):
    for _ in range(count):
        world.start_router()
    world.run(5)


@given("the replicas ignore fencing numbers")
def ignore_fencing(world):
    world.engines.checks_fencing = False
    endpoints = {
        name: replace(endpoint, fencing=False)
        for name, endpoint in world.configuration.endpoints.items()
    }
    world.configuration = replace(world.configuration, endpoints=endpoints)


@given(parsers.parse("each replica runs {load:d} of 10 requests"))
def set_load(world, load):
    world.requests_per_replica = load


@when(parsers.parse("the version becomes {version}"))
def change_version(world, version):
    models = {"m": Model("m", version)}
    world.configuration = replace(world.configuration, models=models)


@when(parsers.parse("{count:d} replicas may load at once"))
def change_at_once(world, count):
    service = replace(world.configuration.services["s"], loads_at_once=count)
    world.configuration = replace(world.configuration, services={"s": service})


@when(parsers.parse("{seconds:d} s pass"))
def pass_time(world, seconds):
    world.run(seconds)


@when("the first loading records are written")
def wait_for_loading_records(world):
    while not world.find_holder().rollouts["s"].records:
        world.run(TICK_S)


@when("the holder crashes")
def crash_holder(world):
    world.routers.remove(world.find_holder())


@when("every router restarts")
def restart_routers(world):
    count = len(world.routers)
    world.routers.clear()
    for _ in range(count):
        world.start_router()


@when(parsers.parse("the holder is paused for {seconds:d} s"))
def pause_holder(world, seconds):
    world.paused[world.find_holder().host] = world.clock() + seconds
    world.run(seconds)


@when(parsers.parse("the store is down for {seconds:d} s"))
def break_store(world, outage, seconds):
    outage["start_s"] = world.clock()
    world.store.faults.down = True
    world.run(seconds)
    world.store.faults.down = False


@when(parsers.parse("the next {count:d} answers of the store are lost"))
def lose_answers(world, count):
    world.store.faults.lose_answers = count


@when("a loading replica crashes")
def crash_replica(world):
    name = next(iter(world.engines.loading))
    del world.engines.loading[name]


@then(parsers.parse("every replica serves version {version}"))
def check_versions(world, version):
    assert set(world.engines.versions.values()) == {version}
    assert not world.engines.loading
    assert not world.routers[0].board.loading.value


@then(parsers.parse("some replicas serve version {version}"))
def check_some(world, version):
    assert version in world.engines.versions.values()


@then(parsers.parse("at most {count:d} replicas loaded at once"))
def check_peak(world, count):
    assert 1 <= world.engines.max_loading <= count


@then("no replica loaded while requests ran on it")
def check_drained(world):
    assert world.engines.loads_while_running == 0


@then("no replica is out of service")
def check_in_service(world):
    assert not world.routers[0].board.loading.value


@then("no order arrived after an order of a later holder")
def check_order(world):
    assert world.engines.orders
    assert all(number >= highest for _, _, number, highest in world.engines.orders)


@then(
    parsers.parse("no order was sent between {first:d} s and {last:d} s of the outage")
)
def check_no_orders(world, outage, first, last):
    start_s, end_s = outage["start_s"] + first, outage["start_s"] + last
    assert not [at_s for at_s, *_ in world.engines.orders if start_s <= at_s < end_s]
