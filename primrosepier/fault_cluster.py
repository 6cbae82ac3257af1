"""Routers in one process, in virtual time, with fakes of all external systems."""

import hashlib
import random
from dataclasses import dataclass, field, replace

import anyio
from anyio import CancelScope
from anyio.abc import TaskGroup

from .clocks import Clock
from .configuration import Configuration, Endpoint, parse_configuration
from .fault_engines import FakeEngine, FakeEngineClient
from .fault_platform import FakeHostList, FakePeerTransport, FakeStoreClient
from .fault_record import (
    Acceptance,
    LeavingSignal,
    ProcessSample,
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
STORE_NODE = "store"
SAMPLE_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.02
WORKSPACES = ("alpha", "beta")


def make_configuration(serial: int) -> Configuration:
    """Return a configuration of the cluster that varies with a serial number."""
    sections = [f"[model m]\nversion = 1\ncontext_tokens = {10_000 + serial}\n"]
    sections.append("[service s]\nmodels = m\n")
    for name in WORKSPACES:
        digest = hashlib.sha256(name.encode()).hexdigest()
        sections.append(f"[workspace {name}]\nkey_sha256 = {digest}\n")
    for index in range(ENGINE_COUNT):
        sections.append(
            f"[endpoint e{index}]\nservice = s\naddress = 10.0.0.{index}:80\n"
            f"failure_domain = {FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]}\n"
        )
    return parse_configuration({"world.ini": "\n".join(sections)})


@dataclass(slots=True)
class RouterProcess:
    """A router process on a host.

    Parameters
    ----------
    number : int
        Number of the process, unique in the cluster.
    killed : bool
        The process was terminated by a kill, not by a graceful stop.
    in_progress : int
        Number of calls in progress.
    """

    host: HostId
    number: int
    address: str
    router: Router
    peering: Peering
    cancel_scope: CancelScope = field(default_factory=CancelScope)
    task_group: TaskGroup | None = None
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
    owners_by_prompt : dict
        Workspace and idempotency key of each caller, by prompt text.
    signaled_leaving : set of EndpointId
        Endpoints whose first leaving signal has been recorded.
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
    task_group: TaskGroup | None = None
    processes: dict[HostId, RouterProcess] = field(default_factory=dict)
    partitions: set[tuple[str, str]] = field(default_factory=set)
    owners_by_prompt: dict[str, tuple[WorkspaceId, str]] = field(default_factory=dict)
    signaled_leaving: set[EndpointId] = field(default_factory=set)
    listed_as_leaving: dict[EndpointId, bool] = field(default_factory=dict)
    omitted_hosts: set[EndpointId] = field(default_factory=set)
    host_list_down: bool = False
    processes_started: int = 0
    schedule_running: bool = True

    @property
    def engines_by_address(self) -> dict[str, FakeEngine]:
        """Return the engines by address."""
        return {e.endpoint.address: e for e in self.engines.values()}

    def is_partitioned(self, left: str, right: str) -> bool:
        """Return whether two nodes can't reach each other."""
        return (left, right) in self.partitions or (right, left) in self.partitions

    def find_process(self, address: str) -> RouterProcess | None:
        """Return the live process at an address."""
        matches = [p for p in self.processes.values() if p.address == address]
        return matches[0] if matches and matches[0].alive else None

    async def wait_while_frozen(self, process: int) -> None:
        """Wait while the process with a number is frozen."""
        while any(p.number == process and p.frozen for p in self.processes.values()):
            await anyio.sleep(POLL_INTERVAL_S)

    def record_leaving_signal(self, endpoint: EndpointId) -> None:
        """Record the first time at which an endpoint signals that it is leaving."""
        if endpoint not in self.signaled_leaving:
            self.signaled_leaving.add(endpoint)
            self.record.leaving_signals.append(LeavingSignal(self.clock(), endpoint))

    def list_hosts(self) -> list[HostGroup]:
        """Return the current host list."""
        groups = []
        for endpoint, leaving in self.listed_as_leaving.items():
            if endpoint in self.omitted_hosts:
                continue
            if leaving:
                self.record_leaving_signal(endpoint)
            labels = {"state": "leaving" if leaving else "live"}
            groups.append(HostGroup([self.engines[endpoint].endpoint.address], labels))
        return groups

    def crash_engine(self, engine: FakeEngine) -> None:
        """Crash an engine and restart it after a random delay with an empty cache."""
        engine.crash()
        if self.task_group is not None:
            self.task_group.start_soon(self._restart_engine, engine, engine.incarnation)

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
            RouterStart(
                self.clock(), host, process.number, self._is_store_reachable(process)
            )
        )
        if self.task_group is not None:
            self.task_group.start_soon(self._run_process, process)

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
            FakeStoreClient(self.store, self, host, number),
            FakeEngineClient(self, host, number, self.clock),
            self.clock,
        )
        router = make_router(settings, platform)
        router.app.dispatcher.rng = self._make_rng(host, number, "retries")
        router.mirror.backoff.random = self._make_rng(host, number, "backoff")
        components = replace(make_router_components(router), wall_clock=self.clock)
        transport = FakePeerTransport(self, host, number)
        peering = make_peering(components, address, transport)
        peering.leaving.hosts = FakeHostList(self, number)  # type: ignore[assignment]
        peering.leaving.random = self._make_rng(host, number, "leaving")
        peering.loads.random = self._make_rng(host, number, "loads")
        router.peering = peering
        return RouterProcess(host, number, address, router, peering)

    def _make_rng(self, host: HostId, number: int, purpose: str) -> random.Random:
        return random.Random(f"{self.record.seed} {host} {number} {purpose}")

    async def _run_process(self, process: RouterProcess) -> None:
        with process.cancel_scope:
            async with anyio.create_task_group() as group:
                process.task_group = group
                group.start_soon(process.router.mirror.run)
                group.start_soon(process.router.claims.run)
                process.peering.start(group.start_soon)
                group.start_soon(process.router.prepare)
        process.alive = False

    def kill_router(self, process: RouterProcess) -> None:
        """Kill a process, which breaks the connections of its calls."""
        process.killed = True
        self._terminate(process)

    def _terminate(self, process: RouterProcess) -> None:
        process.alive = False
        process.frozen = False
        process.cancel_scope.cancel()

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
        """Sample the state of all live, unfrozen processes until the schedule ends."""
        while self.schedule_running:
            for process in self.processes.values():
                if process.alive and not process.frozen:
                    self.record.samples.append(self._make_sample(process))
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def _make_sample(self, process: RouterProcess) -> ProcessSample:
        return ProcessSample(
            at_s=self.clock(),
            router=process.host,
            process=process.number,
            ready=process.router.app.is_ready(),
            stopping=process.router.app.stopping,
            revision=process.router.configuration.revision,
            store_reachable=self._is_store_reachable(process),
            peer_reachable=any(
                p.alive
                and not p.frozen
                and not self.is_partitioned(process.host, p.host)
                for p in self.processes.values()
                if p is not process
            ),
        )

    def _is_store_reachable(self, process: RouterProcess) -> bool:
        faults = self.store.faults
        slow = faults.delay_s > 0.1
        return not (
            faults.down or slow or self.is_partitioned(process.host, STORE_NODE)
        )


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
