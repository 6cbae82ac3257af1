"""Random schedules of the brief's failures."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import anyio

from .fault_callers import Caller
from .fault_record import Outage, ScheduleRecord
from .fault_world import ROUTERS, STORE, World, make_world
from .ids import EndpointId, HostId

__all__ = ["FAULTS", "Strike", "run_schedule"]

LENGTH_S = 10.0
FAULT_COUNT = (4, 9)
CALLERS = 24
CALM_S = 6.0
HERD_GAP_S = 0.001


async def fail_engine(world: World, duration_s: float) -> str:
    """Crash an engine; it comes back empty."""
    engine = world.source.choice(list(world.engines.values()))
    world.crash_engine(engine)
    return engine.endpoint.id


async def freeze_engine(world: World, duration_s: float) -> str:
    """Pause an engine."""
    engine = world.source.choice(list(world.engines.values()))
    engine.frozen = True
    await anyio.sleep(min(duration_s, 2.0))
    engine.frozen = False
    return engine.endpoint.id


async def cut_engine(world: World, duration_s: float) -> str:
    """Cut a router from an engine."""
    host = world.source.choice(sorted(world.processes))
    engine = world.source.choice(sorted(world.engines))
    await _cut(world, host, engine, duration_s)
    return f"{host} {engine}"


async def cut_peers(world: World, duration_s: float) -> str:
    """Cut two routers from each other."""
    left, right = world.source.sample(sorted(world.processes), 2)
    await _cut(world, left, right, duration_s)
    return f"{left} {right}"


async def cut_store(world: World, duration_s: float) -> str:
    """Cut a router from the key-value service."""
    host = world.source.choice(sorted(world.processes))
    await _cut(world, host, STORE, duration_s)
    return host


async def _cut(world: World, left: str, right: str, duration_s: float) -> None:
    world.cuts.add((left, right))
    await anyio.sleep(duration_s)
    world.cuts.discard((left, right))


async def fail_store(world: World, duration_s: float) -> str:
    """Take the key-value service down."""
    world.store.faults.down = True
    world.store.notify()
    await anyio.sleep(duration_s)
    world.store.faults.down = False
    return STORE


async def slow_store(world: World, duration_s: float) -> str:
    """Make the key-value service slow."""
    world.store.faults.delay_s = world.source.uniform(0.2, 3.0)
    await anyio.sleep(duration_s)
    world.store.faults.delay_s = 0.0
    return STORE


async def lose_answers(world: World, duration_s: float) -> str:
    """Lose the answers of the next writes, which take effect."""
    world.store.faults.lose_answers += world.source.randint(1, 3)
    return STORE


async def kill_router(world: World, duration_s: float) -> str:
    """Kill a router and start it again."""
    host = world.source.choice(sorted(world.processes))
    await _restart(world, host, duration_s)
    return host


async def kill_all_routers(world: World, duration_s: float) -> str:
    """Kill all routers at once and start them together."""
    async with anyio.create_task_group() as group:
        for index, host in enumerate(sorted(world.processes)):
            group.start_soon(_restart, world, host, duration_s, index * HERD_GAP_S)
    return "all"


async def _restart(
    world: World, host: HostId, duration_s: float, later_s: float = 0.0
) -> None:
    process = world.processes[host]
    if process.alive:
        world.kill_router(process)
    await anyio.sleep(min(duration_s, 1.0) + later_s)
    if not world.processes[host].alive:
        world.start_router(host)


async def stop_router(world: World, duration_s: float) -> str:
    """Stop a router as planned and start it again."""
    host = world.source.choice(sorted(world.processes))
    process = world.processes[host]
    if process.alive and not process.router.app.stopping:
        await world.stop_router(process)
        if not world.processes[host].alive:
            world.start_router(host)
    return host


async def freeze_router(world: World, duration_s: float) -> str:
    """Pause a router at its next input or output."""
    host = world.source.choice(sorted(world.processes))
    process = world.processes[host]
    process.frozen = True
    await anyio.sleep(duration_s)
    process.frozen = False
    return host


async def leave_endpoint(world: World, duration_s: float) -> str:
    """Have an endpoint leave; the list may lag behind the endpoint itself."""
    staying = [n for n in sorted(world.engines) if not world.engines[n].leaving]
    if len(staying) <= 2:
        return "-"
    name = EndpointId(world.source.choice(staying))
    world.engines[name].leaving = True
    await anyio.sleep(world.source.uniform(0.0, 2.0))
    world.listed[name] = True
    return name


async def fail_hosts(world: World, duration_s: float) -> str:
    """Take the host list down."""
    world.hosts_down = True
    await anyio.sleep(duration_s)
    world.hosts_down = False
    return "host list"


async def shorten_hosts(world: World, duration_s: float) -> str:
    """Leave live endpoints out of the host list."""
    count = world.source.randint(1, len(world.engines))
    names = world.source.sample(sorted(world.engines), count)
    world.hidden.update(names)
    await anyio.sleep(duration_s)
    world.hidden.difference_update(names)
    return "host list"


async def cross_answers(world: World, duration_s: float) -> str:
    """Have an engine give the answer of an earlier attempt."""
    engine = world.source.choice(list(world.engines.values()))
    engine.cross_next += world.source.randint(1, 2)
    return engine.endpoint.id


async def truncate_stream(world: World, duration_s: float) -> str:
    """Have an engine end a stream without its end marker."""
    engine = world.source.choice(list(world.engines.values()))
    engine.truncate_next += 1
    return engine.endpoint.id


async def race_operators(world: World, duration_s: float) -> str:
    """Apply two files at the same time."""
    async with anyio.create_task_group() as group:
        for _ in range(2):
            group.start_soon(world.apply, world.source.randint(1, 1000))
    return "operators"


FAULTS: dict[str, Callable[[World, float], Awaitable[str]]] = {
    "engine_crash": fail_engine,
    "engine_freeze": freeze_engine,
    "engine_cut": cut_engine,
    "peer_cut": cut_peers,
    "store_cut": cut_store,
    "store_outage": fail_store,
    "store_slow": slow_store,
    "lost_answer": lose_answers,
    "router_kill": kill_router,
    "router_herd": kill_all_routers,
    "router_stop": stop_router,
    "router_freeze": freeze_router,
    "endpoint_leaving": leave_endpoint,
    "hosts_outage": fail_hosts,
    "hosts_short": shorten_hosts,
    "crossed_answer": cross_answers,
    "truncated_stream": truncate_stream,
    "operators_race": race_operators,
}


@dataclass(frozen=True, slots=True)
class Strike:
    """One planned fault."""

    kind: str
    at_s: float
    duration_s: float


def draw_strikes(source: random.Random) -> list[Strike]:
    """Return random faults at random times."""
    return [
        Strike(
            kind=source.choice(sorted(FAULTS)),
            at_s=source.uniform(1.0, LENGTH_S - 1.0),
            duration_s=source.uniform(0.3, 6.0),
        )
        for _ in range(source.randint(*FAULT_COUNT))
    ]


@dataclass(slots=True)
class Schedule:
    """One schedule in progress."""

    world: World

    async def inject(self, strikes: Sequence[Strike]) -> None:
        """Bring about faults at their times."""
        async with anyio.create_task_group() as group:
            for strike in strikes:
                group.start_soon(self._inject_one, strike)

    async def _inject_one(self, strike: Strike) -> None:
        await anyio.sleep(strike.at_s)
        started_s = self.world.clock()
        target = await FAULTS[strike.kind](self.world, strike.duration_s)
        outage = Outage(started_s, strike.kind, target, strike.duration_s)
        self.world.record.outages.append(outage)

    async def call(self) -> None:
        """Send callers' requests over the whole schedule."""
        async with anyio.create_task_group() as group:
            for number in range(CALLERS):
                delay_s = self.world.source.uniform(0.5, LENGTH_S)
                group.start_soon(self._call_one, number, delay_s)

    async def _call_one(self, number: int, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        source = random.Random(f"{self.world.record.seed} caller {number}")
        await Caller(self.world, number, source).run()


async def run_schedule(
    seed: int, strikes: Sequence[Strike] | None = None
) -> ScheduleRecord:
    """Run one schedule; call it in virtual time.

    Parameters
    ----------
    strikes : sequence of Strike or None
        The faults; None draws them from the seed.
    """
    world = make_world(seed, anyio.current_time)
    if strikes is None:
        strikes = draw_strikes(world.source)
    await world.apply(0)
    async with anyio.create_task_group() as group:
        world.group = group
        for number in range(ROUTERS):
            world.start_router(HostId(f"entry-{number}"))
        group.start_soon(world.sample)
        schedule = Schedule(world)
        async with anyio.create_task_group() as work:
            work.start_soon(schedule.inject, strikes)
            work.start_soon(schedule.call)
        await anyio.sleep(CALM_S)
        world.running = False
        group.cancel_scope.cancel()
    return world.record
