"""Random schedules of faults that the routers have to tolerate."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import anyio

from .fault_callers import Caller
from .fault_cluster import ROUTER_COUNT, STORE_NODE, SimulatedCluster, make_cluster
from .fault_record import InjectedFault, ScheduleRecord
from .ids import EndpointId, HostId

__all__ = ["FAULTS", "PlannedFault", "run_schedule"]

SCHEDULE_LENGTH_S = 10.0
FAULT_COUNT_RANGE = (4, 9)
CALLER_COUNT = 24
RECOVERY_S = 6.0
RESTART_GAP_S = 0.001


async def crash_random_engine(cluster: SimulatedCluster, duration_s: float) -> str:
    """Crash an engine; it restarts with an empty cache."""
    engine = cluster.rng.choice(list(cluster.engines.values()))
    cluster.crash_engine(engine)
    return engine.endpoint.id


async def freeze_engine(cluster: SimulatedCluster, duration_s: float) -> str:
    """Freeze an engine for at most 2 s."""
    engine = cluster.rng.choice(list(cluster.engines.values()))
    engine.frozen = True
    await anyio.sleep(min(duration_s, 2.0))
    engine.frozen = False
    return engine.endpoint.id


async def partition_engine(cluster: SimulatedCluster, duration_s: float) -> str:
    """Partition a router from an engine."""
    host = cluster.rng.choice(sorted(cluster.processes))
    engine = cluster.rng.choice(sorted(cluster.engines))
    await _partition(cluster, host, engine, duration_s)
    return f"{host} {engine}"


async def partition_peers(cluster: SimulatedCluster, duration_s: float) -> str:
    """Partition two routers from each other."""
    left, right = cluster.rng.sample(sorted(cluster.processes), 2)
    await _partition(cluster, left, right, duration_s)
    return f"{left} {right}"


async def partition_store(cluster: SimulatedCluster, duration_s: float) -> str:
    """Partition a router from the key-value service."""
    host = cluster.rng.choice(sorted(cluster.processes))
    await _partition(cluster, host, STORE_NODE, duration_s)
    return host


async def _partition(
    cluster: SimulatedCluster, left: str, right: str, duration_s: float
) -> None:
    cluster.partitions.add((left, right))
    await anyio.sleep(duration_s)
    cluster.partitions.discard((left, right))


async def fail_store(cluster: SimulatedCluster, duration_s: float) -> str:
    """Take the key-value service down."""
    cluster.store.faults.down = True
    cluster.store.notify()
    await anyio.sleep(duration_s)
    cluster.store.faults.down = False
    return STORE_NODE


async def delay_store(cluster: SimulatedCluster, duration_s: float) -> str:
    """Delay every answer of the key-value service."""
    cluster.store.faults.delay_s = cluster.rng.uniform(0.2, 3.0)
    await anyio.sleep(duration_s)
    cluster.store.faults.delay_s = 0.0
    return STORE_NODE


async def lose_write_answers(cluster: SimulatedCluster, duration_s: float) -> str:
    """Drop the answers to the next writes, which still take effect."""
    cluster.store.faults.lose_answers += cluster.rng.randint(1, 3)
    return STORE_NODE


async def kill_router(cluster: SimulatedCluster, duration_s: float) -> str:
    """Kill a router and restart it after at most 1 s."""
    host = cluster.rng.choice(sorted(cluster.processes))
    await _restart(cluster, host, duration_s)
    return host


async def kill_all_routers(cluster: SimulatedCluster, duration_s: float) -> str:
    """Kill all routers at once and restart them 1 ms apart."""
    async with anyio.create_task_group() as group:
        for index, host in enumerate(sorted(cluster.processes)):
            group.start_soon(_restart, cluster, host, duration_s, index * RESTART_GAP_S)
    return "all"


async def _restart(
    cluster: SimulatedCluster,
    host: HostId,
    duration_s: float,
    extra_delay_s: float = 0.0,
) -> None:
    process = cluster.processes[host]
    if process.alive:
        cluster.kill_router(process)
    await anyio.sleep(min(duration_s, 1.0) + extra_delay_s)
    if not cluster.processes[host].alive:
        cluster.start_router(host)


async def stop_router(cluster: SimulatedCluster, duration_s: float) -> str:
    """Stop a router gracefully and restart it."""
    host = cluster.rng.choice(sorted(cluster.processes))
    process = cluster.processes[host]
    if process.alive and not process.router.app.stopping:
        await cluster.stop_router(process)
        if not cluster.processes[host].alive:
            cluster.start_router(host)
    return host


async def freeze_router(cluster: SimulatedCluster, duration_s: float) -> str:
    """Freeze a router at its next input or output."""
    host = cluster.rng.choice(sorted(cluster.processes))
    process = cluster.processes[host]
    process.frozen = True
    await anyio.sleep(duration_s)
    process.frozen = False
    return host


async def make_endpoint_leave(cluster: SimulatedCluster, duration_s: float) -> str:
    """Make an endpoint leave if more than two are not leaving yet.

    The host list may lag behind the endpoint itself.
    """
    staying = [e for e in sorted(cluster.engines) if not cluster.engines[e].leaving]
    if len(staying) <= 2:
        return "-"
    endpoint = EndpointId(cluster.rng.choice(staying))
    cluster.engines[endpoint].leaving = True
    await anyio.sleep(cluster.rng.uniform(0.0, 2.0))
    cluster.listed_as_leaving[endpoint] = True
    return endpoint


async def fail_host_list(cluster: SimulatedCluster, duration_s: float) -> str:
    """Take the host list down."""
    cluster.host_list_down = True
    await anyio.sleep(duration_s)
    cluster.host_list_down = False
    return "host list"


async def omit_listed_hosts(cluster: SimulatedCluster, duration_s: float) -> str:
    """Omit live endpoints from the host list."""
    count = cluster.rng.randint(1, len(cluster.engines))
    endpoints = cluster.rng.sample(sorted(cluster.engines), count)
    cluster.omitted_hosts.update(endpoints)
    await anyio.sleep(duration_s)
    cluster.omitted_hosts.difference_update(endpoints)
    return "host list"


async def cross_answers(cluster: SimulatedCluster, duration_s: float) -> str:
    """Make an engine return the answers of earlier attempts."""
    engine = cluster.rng.choice(list(cluster.engines.values()))
    engine.crossed_answers += cluster.rng.randint(1, 2)
    return engine.endpoint.id


async def truncate_stream(cluster: SimulatedCluster, duration_s: float) -> str:
    """Make an engine end a stream without its end marker."""
    engine = cluster.rng.choice(list(cluster.engines.values()))
    engine.truncated_streams += 1
    return engine.endpoint.id


async def apply_concurrently(cluster: SimulatedCluster, duration_s: float) -> str:
    """Apply two configurations at the same time."""
    async with anyio.create_task_group() as group:
        for _ in range(2):
            group.start_soon(cluster.apply, cluster.rng.randint(1, 1000))
    return "operators"


# Each function injects a fault of its kind and returns the name of the fault's target.
FAULTS: dict[str, Callable[[SimulatedCluster, float], Awaitable[str]]] = {
    "engine_crash": crash_random_engine,
    "engine_freeze": freeze_engine,
    "engine_cut": partition_engine,
    "peer_cut": partition_peers,
    "store_cut": partition_store,
    "store_outage": fail_store,
    "store_slow": delay_store,
    "lost_answer": lose_write_answers,
    "router_kill": kill_router,
    "router_herd": kill_all_routers,
    "router_stop": stop_router,
    "router_freeze": freeze_router,
    "endpoint_leaving": make_endpoint_leave,
    "hosts_outage": fail_host_list,
    "hosts_short": omit_listed_hosts,
    "crossed_answer": cross_answers,
    "truncated_stream": truncate_stream,
    "operators_race": apply_concurrently,
}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault to be injected.

    Parameters
    ----------
    at_s : float
        Time from the start of the schedule to the fault, in seconds.
    duration_s : float
        Duration in seconds; not used by faults that happen at one moment.
    """

    kind: str
    at_s: float
    duration_s: float


def draw_faults(rng: random.Random) -> list[PlannedFault]:
    """Return random faults at random times."""
    return [
        PlannedFault(
            kind=rng.choice(sorted(FAULTS)),
            at_s=rng.uniform(1.0, SCHEDULE_LENGTH_S - 1.0),
            duration_s=rng.uniform(0.3, 6.0),
        )
        for _ in range(rng.randint(*FAULT_COUNT_RANGE))
    ]


@dataclass(slots=True)
class Schedule:
    """One schedule in progress."""

    cluster: SimulatedCluster

    async def inject(self, faults: Sequence[PlannedFault]) -> None:
        """Inject faults at their times."""
        async with anyio.create_task_group() as group:
            for fault in faults:
                group.start_soon(self._inject_one, fault)

    async def _inject_one(self, fault: PlannedFault) -> None:
        await anyio.sleep(fault.at_s)
        started_s = self.cluster.clock()
        target = await FAULTS[fault.kind](self.cluster, fault.duration_s)
        injected = InjectedFault(started_s, fault.kind, target, fault.duration_s)
        self.cluster.record.injected_faults.append(injected)

    async def run_callers(self) -> None:
        """Run the callers, spread over the schedule."""
        async with anyio.create_task_group() as group:
            for number in range(CALLER_COUNT):
                delay_s = self.cluster.rng.uniform(0.5, SCHEDULE_LENGTH_S)
                group.start_soon(self._run_caller, number, delay_s)

    async def _run_caller(self, number: int, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        rng = random.Random(f"{self.cluster.record.seed} caller {number}")
        await Caller(self.cluster, number, rng).run()


async def run_schedule(
    seed: int, faults: Sequence[PlannedFault] | None = None
) -> ScheduleRecord:
    """Run one schedule on an event loop with virtual time.

    Parameters
    ----------
    faults : sequence of PlannedFault or None
        Faults to inject. If None, they are drawn at random from the seed.
    """
    cluster = make_cluster(seed, anyio.current_time)
    if faults is None:
        faults = draw_faults(cluster.rng)
    await cluster.apply(0)
    async with anyio.create_task_group() as group:
        cluster.task_group = group
        for number in range(ROUTER_COUNT):
            cluster.start_router(HostId(f"entry-{number}"))
        group.start_soon(cluster.record_samples)
        schedule = Schedule(cluster)
        async with anyio.create_task_group() as schedule_group:
            schedule_group.start_soon(schedule.inject, faults)
            schedule_group.start_soon(schedule.run_callers)
        await anyio.sleep(RECOVERY_S)
        cluster.schedule_running = False
        group.cancel_scope.cancel()
    return cluster.record
