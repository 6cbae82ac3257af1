"""A few routers over fakes of everything around them, in virtual time."""

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
    LeavingSign,
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

__all__ = ["ROUTERS", "RouterProcess", "World", "make_world"]

ROUTERS = 3
ENGINES = 4
DOMAINS = ("north", "south")
STORE = "store"
SAMPLE_S = 0.25
STEP_S = 0.02
WORKSPACES = ("alpha", "beta")


def make_configuration(serial: int) -> Configuration:
    """Return the configuration of the world; the serial tells versions apart."""
    parts = [f"[model m]\nversion = 1\ncontext_tokens = {10_000 + serial}\n"]
    parts.append("[service s]\nmodels = m\n")
    for name in WORKSPACES:
        digest = hashlib.sha256(name.encode()).hexdigest()
        parts.append(f"[workspace {name}]\nkey_sha256 = {digest}\n")
    for number in range(ENGINES):
        parts.append(
            f"[endpoint e{number}]\nservice = s\naddress = 10.0.0.{number}:80\n"
            f"failure_domain = {DOMAINS[number % len(DOMAINS)]}\n"
        )
    return parse_configuration({"world.ini": "\n".join(parts)})


@dataclass(slots=True)
class RouterProcess:
    """One process of a router host.

    Parameters
    ----------
    number : int
        Tells the processes of one host apart.
    in_progress : int
        Calls that it serves.
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
        """Return whether the balancer sends it calls."""
        return self.alive and not self.frozen and self.router.app.is_ready()


@dataclass(slots=True)
class World:
    """Everything that one schedule runs on.

    Parameters
    ----------
    cuts : set of (str, str)
        Pairs that can't reach each other.
    """

    source: random.Random
    record: ScheduleRecord
    clock: Clock
    store: MemoryStore
    engines: dict[EndpointId, FakeEngine]
    group: TaskGroup | None = None
    processes: dict[HostId, RouterProcess] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    callers_by_text: dict[str, tuple[WorkspaceId, str]] = field(default_factory=dict)
    signed: set[EndpointId] = field(default_factory=set)
    listed: dict[EndpointId, bool] = field(default_factory=dict)
    hidden: set[EndpointId] = field(default_factory=set)
    hosts_down: bool = False
    started: int = 0
    running: bool = True

    @property
    def engines_by_address(self) -> dict[str, FakeEngine]:
        """Engines by address."""
        return {e.endpoint.address: e for e in self.engines.values()}

    def is_cut(self, left: str, right: str) -> bool:
        """Return whether two parts can't reach each other."""
        return (left, right) in self.cuts or (right, left) in self.cuts

    def find_process(self, address: str) -> RouterProcess | None:
        """Return the live process at an address."""
        found = [p for p in self.processes.values() if p.address == address]
        return found[0] if found and found[0].alive else None

    async def wait_thawed(self, number: int) -> None:
        """Return when a process is not paused."""
        while any(p.number == number and p.frozen for p in self.processes.values()):
            await anyio.sleep(STEP_S)

    def record_sign(self, endpoint: EndpointId) -> None:
        """Keep the first sign of a leaving endpoint."""
        if endpoint not in self.signed:
            self.signed.add(endpoint)
            self.record.signs.append(LeavingSign(self.clock(), endpoint))

    def list_hosts(self) -> list[HostGroup]:
        """Return the host list as it is served now."""
        groups = []
        for name, leaving in self.listed.items():
            if name in self.hidden:
                continue
            if leaving:
                self.record_sign(name)
            labels = {"state": "leaving" if leaving else "live"}
            groups.append(HostGroup([self.engines[name].endpoint.address], labels))
        return groups

    def crash_engine(self, engine: FakeEngine) -> None:
        """Crash an engine; it comes back empty."""
        engine.crash()
        if self.group is not None:
            self.group.start_soon(self._revive, engine, engine.incarnation)

    async def _revive(self, engine: FakeEngine, incarnation: int) -> None:
        await anyio.sleep(self.source.uniform(0.5, 3.0))
        if engine.incarnation == incarnation:
            engine.alive = True

    def start_router(self, host: HostId) -> None:
        """Start a process on a host."""
        self.started += 1
        process = self._make_process(host, self.started)
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
            failure_domain=FailureDomain(DOMAINS[number % len(DOMAINS)]),
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
        router.app.dispatcher.source = self._make_source(host, number, "retries")
        router.mirror.backoff.random = self._make_source(host, number, "backoff")
        parts = replace(make_router_components(router), wall_clock=self.clock)
        transport = FakeTransport(self, host, number)
        peering = make_peering(parts, address, transport)
        peering.leaving.hosts = FakeHostList(self, number)  # type: ignore[assignment]
        peering.leaving.random = self._make_source(host, number, "leaving")
        peering.loads.random = self._make_source(host, number, "loads")
        router.peering = peering
        return RouterProcess(host, number, address, router, peering)

    def _make_source(self, host: HostId, number: int, part: str) -> random.Random:
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
        """Kill a process; its calls are cut."""
        process.killed = True
        self._end_router(process)

    def _end_router(self, process: RouterProcess) -> None:
        process.alive = False
        process.frozen = False
        process.scope.cancel()

    async def stop_router(self, process: RouterProcess) -> None:
        """Stop a process as planned."""
        await drain_router(process.router)
        grace_s = process.router.compute_grace()
        with anyio.move_on_after(grace_s):
            while process.in_progress and process.alive:
                await anyio.sleep(STEP_S)
        if process.alive:
            await process.peering.gossip.leave()
            self._end_router(process)

    async def apply(self, serial: int) -> None:
        """Put a configuration in force, as an operator does."""
        outcome = await apply_configuration(self.store, make_configuration(serial))
        if outcome.result is ApplyResult.APPLIED:
            self.note_acceptance(outcome.revision)

    def note_acceptance(self, revision: int) -> None:
        """Keep that operators were told that a revision is accepted."""
        self.record.acceptances.append(Acceptance(self.clock(), Revision(revision)))

    async def sample(self) -> None:
        """Keep the state of all processes until the schedule ends."""
        while self.running:
            for process in self.processes.values():
                if process.alive and not process.frozen:
                    self.record.samples.append(self._make_sample(process))
            await anyio.sleep(SAMPLE_S)

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
                p.alive and not p.frozen and not self.is_cut(process.host, p.host)
                for p in self.processes.values()
                if p is not process
            ),
        )

    def _has_store(self, process: RouterProcess) -> bool:
        faults = self.store.faults
        slow = faults.delay_s > 0.1
        return not (faults.down or slow or self.is_cut(process.host, STORE))


def make_engines() -> dict[EndpointId, FakeEngine]:
    """Return the engines of the world's configuration."""
    endpoints: dict[EndpointId, Endpoint] = make_configuration(0).endpoints
    return {name: FakeEngine(endpoint) for name, endpoint in endpoints.items()}


def make_world(seed: int, clock: Clock) -> World:
    """Return a world whose routers are not started yet."""
    engines = make_engines()
    return World(
        source=random.Random(seed),
        record=ScheduleRecord(seed),
        clock=clock,
        store=MemoryStore(clock),
        engines=engines,
        listed=dict.fromkeys(engines, False),
    )
