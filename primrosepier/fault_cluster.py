"""Routers in one process, in virtual time, with fakes of all outside systems."""

import hashlib
import random
from dataclasses import dataclass, field, replace

import anyio
from anyio import CancelScope
from anyio.abc import TaskGroup

from .clocks import Clock
from .configuration import Configuration, Endpoint, parse_configuration
from .fault_engines import FakeClient, FakeEngine
from .fault_platform import FakeHostList, FakeTransport, RouterStore
from .fault_record import (
    Acceptance,
    FleetSample,
    LeavingSignal,
    RouterStart,
    ScheduleRecord,
)
from .hosts import HostGroup
from .ids import EndpointId, FailureDomain, HostId, Revision, WorkspaceId
from .logs import LogSettings
from .peering import Peering, make_peering
from .publishing import ApplyResult, apply_configuration
from .router import Platform, Router, make_router, make_router_components
from .settings import RouterSettings
from .stopping import drain_router
from .store import MemoryStore

__all__ = ["ROUTER_COUNT", "RouterProcess", "SimulatedCluster", "make_cluster"]

ROUTER_COUNT = 3
ENGINE_COUNT = 4
FAILURE_DOMAINS = ("north", "south")
STORE = "store"
SAMPLE_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.02
WORKSPACES = ("alpha", "beta")


def make_configuration(serial: int) -> Configuration:
    """Return the configuration of the cluster; the serial number makes it unique."""
    parts = [f"[model m]\nversion = 1\ncontext_tokens = {10_000 + serial}\n"]
    parts.append("[service s]\nmodels = m\n")
    for name in WORKSPACES:
        digest = hashlib.sha256(name.encode()).hexdigest()
        parts.append(f"[workspace {name}]\nkey_sha256 = {digest}\n")
    for number in range(ENGINE_COUNT):
        parts.append(
            f"[endpoint e{number}]\nservice = s\naddress = 10.0.0.{number}:80\n"
            f"failure_domain = {FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]}\n"
        )
    return parse_configuration({"world.ini": "\n".join(parts)})


@dataclass(slots=True)
class RouterProcess:
    """One process of a router host.

    Parameters
    ----------
    number : int
        Number of the process, unique in the cluster.
    in_progress : int
        Calls that are being served.
    """

    host: HostId
    number: int
    address: str
    router: Router
    peering: Peering
    scope: CancelScope = field(default_factory=CancelScope)
    group: TaskGroup | None = None
    frozen: bool = False
    alive: bool = True
    killed: bool = False
    in_progress: int = 0

    def is_ready(self) -> bool:
        """Return whether the load balancer sends calls to the process."""
        return self.alive and not self.frozen and self.router.app.is_ready()


@dataclass(slots=True)
class SimulatedCluster:
    """Routers, engines, store and network of one schedule.

    Parameters
    ----------
    partitions : set of (str, str)
        Pairs of nodes that can't reach each other.
    callers_by_text : dict
        Workspace and idempotency key by prompt text.
    signaled_leaving : set of EndpointId
        Endpoints that have shown a router that they are leaving.
    listed_as_leaving : dict
        Whether the host list shows an endpoint as leaving.
    omitted_hosts : set of EndpointId
        Endpoints that are missing from the host list.
    """

    rng: random.Random
    record: ScheduleRecord
    clock: Clock
    store: MemoryStore
    engines: dict[EndpointId, FakeEngine]
    group: TaskGroup | None = None
    processes: dict[HostId, RouterProcess] = field(default_factory=dict)
    partitions: set[tuple[str, str]] = field(default_factory=set)
    callers_by_text: dict[str, tuple[WorkspaceId, str]] = field(default_factory=dict)
    signaled_leaving: set[EndpointId] = field(default_factory=set)
    listed_as_leaving: dict[EndpointId, bool] = field(default_factory=dict)
    omitted_hosts: set[EndpointId] = field(default_factory=set)
    host_list_down: bool = False
    processes_started: int = 0
    running: bool = True

    @property
    def engines_by_address(self) -> dict[str, FakeEngine]:
        """Return the engines by address."""
        return {e.endpoint.address: e for e in self.engines.values()}

    def is_partitioned(self, left: str, right: str) -> bool:
        """Return whether two nodes can't reach each other."""
        return (left, right) in self.partitions or (right, left) in self.partitions

    def find_process(self, address: str) -> RouterProcess | None:
        """Return the live process at an address."""
        found = [p for p in self.processes.values() if p.address == address]
        return found[0] if found and found[0].alive else None

    async def wait_while_frozen(self, number: int) -> None:
        """Wait until a process is not frozen."""
        while any(p.number == number and p.frozen for p in self.processes.values()):
            await anyio.sleep(POLL_INTERVAL_S)

    def record_leaving_signal(self, endpoint: EndpointId) -> None:
        """Record the first time at which an endpoint signals that it is leaving."""
        if endpoint not in self.signaled_leaving:
            self.signaled_leaving.add(endpoint)
            self.record.leaving_signals.append(LeavingSignal(self.clock(), endpoint))

    def list_hosts(self) -> list[HostGroup]:
        """Return the current host list."""
        groups = []
        for name, leaving in self.listed_as_leaving.items():
            if name in self.omitted_hosts:
                continue
            if leaving:
                self.record_leaving_signal(name)
            labels = {"state": "leaving" if leaving else "live"}
            groups.append(HostGroup([self.engines[name].endpoint.address], labels))
        return groups

    def crash_engine(self, engine: FakeEngine) -> None:
        """Crash an engine and restart it after a random delay with an empty cache."""
        engine.crash()
        if self.group is not None:
            self.group.start_soon(self._restart_engine, engine, engine.incarnation)

    async def _restart_engine(self, engine: FakeEngine, incarnation: int) -> None:
        await anyio.sleep(self.rng.uniform(0.5, 3.0))
        if engine.incarnation == incarnation:
            engine.alive = True

    def start_router(self, host: HostId) -> None:
        """Start a router process on a host."""
        self.processes_started += 1
        process = self._make_process(host, self.processes_started)
        self.processes[host] = process
        self.record.starts.append(
            RouterStart(self.clock(), host, process.number, self._has_store(process))
        )
        if self.group is not None:
            self.group.start_soon(self._run_process, process)

    def _make_process(self, host: HostId, number: int) -> RouterProcess:
        address = f"{host}:{number}"
        peers = tuple(p.address for p in self.processes.values() if p.host != host)
        settings = RouterSettings(
            host=host,
            failure_domain=FailureDomain(
                FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
            ),
            callers_address="127.0.0.1:0",
            peers_address="127.0.0.1:0",
            store_address="127.0.0.1:0",
            peers=peers,
            stop_wait_s=0.3,
            stop_streams_s=60.0,
            logs=LogSettings(level="off"),
        )
        platform = Platform(
            RouterStore(self.store, self, host, number),
            FakeClient(self, host, number, self.clock),
            self.clock,
        )
        router = make_router(settings, platform)
        router.app.dispatcher.rng = self._make_rng(host, number, "retries")
        router.mirror.backoff.random = self._make_rng(host, number, "backoff")
        parts = replace(make_router_components(router), wall_clock=self.clock)
        transport = FakeTransport(self, host, number)
        peering = make_peering(parts, address, transport)
        peering.leaving.hosts = FakeHostList(self, number)  # type: ignore[assignment]
        peering.leaving.random = self._make_rng(host, number, "leaving")
        peering.loads.random = self._make_rng(host, number, "loads")
        router.peering = peering
        return RouterProcess(host, number, address, router, peering)

    def _make_rng(self, host: HostId, number: int, part: str) -> random.Random:
        return random.Random(f"{self.record.seed} {host} {number} {part}")

    async def _run_process(self, process: RouterProcess) -> None:
        with process.scope:
            async with anyio.create_task_group() as group:
                process.group = group
                group.start_soon(process.router.mirror.run)
                group.start_soon(process.router.claims.run)
                process.peering.start(group)
                group.start_soon(process.router.prepare)
        process.alive = False

    def kill_router(self, process: RouterProcess) -> None:
        """Kill a process; the connections of its calls break."""
        process.killed = True
        self._terminate(process)

    def _terminate(self, process: RouterProcess) -> None:
        process.alive = False
        process.frozen = False
        process.scope.cancel()

    async def stop_router(self, process: RouterProcess) -> None:
        """Stop a process gracefully."""
        await drain_router(process.router)
        grace_s = process.router.compute_grace()
        with anyio.move_on_after(grace_s):
            while process.in_progress and process.alive:
                await anyio.sleep(POLL_INTERVAL_S)
        if process.alive:
            await process.peering.gossip.leave()
            self._terminate(process)

    async def apply(self, serial: int) -> None:
        """Apply a configuration as an operator does."""
        outcome = await apply_configuration(self.store, make_configuration(serial))
        if outcome.result is ApplyResult.APPLIED:
            self.record_acceptance(outcome.revision)

    def record_acceptance(self, revision: int) -> None:
        """Record that an operator was notified of the acceptance of a revision."""
        self.record.acceptances.append(Acceptance(self.clock(), Revision(revision)))

    async def record_samples(self) -> None:
        """Record the state of all processes at intervals until the schedule ends."""
        while self.running:
            for process in self.processes.values():
                if process.alive and not process.frozen:
                    self.record.samples.append(self._make_sample(process))
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def _make_sample(self, process: RouterProcess) -> FleetSample:
        return FleetSample(
            at_s=self.clock(),
            router=process.host,
            process=process.number,
            ready=process.router.app.is_ready(),
            stopping=process.router.app.stopping,
            revision=process.router.configuration.revision,
            has_store=self._has_store(process),
            has_peer=any(
                p.alive
                and not p.frozen
                and not self.is_partitioned(process.host, p.host)
                for p in self.processes.values()
                if p is not process
            ),
        )

    def _has_store(self, process: RouterProcess) -> bool:
        faults = self.store.faults
        slow = faults.delay_s > 0.1
        return not (faults.down or slow or self.is_partitioned(process.host, STORE))


def make_engines() -> dict[EndpointId, FakeEngine]:
    """Return the engines of the cluster's configuration."""
    endpoints: dict[EndpointId, Endpoint] = make_configuration(0).endpoints
    return {name: FakeEngine(endpoint) for name, endpoint in endpoints.items()}


def make_cluster(seed: int, clock: Clock) -> SimulatedCluster:
    """Return a cluster whose routers are not started yet."""
    engines = make_engines()
    return SimulatedCluster(
        rng=random.Random(seed),
        record=ScheduleRecord(seed),
        clock=clock,
        store=MemoryStore(clock),
        engines=engines,
        listed_as_leaving=dict.fromkeys(engines, False),
    )
