"""Routers and engines that crash, in virtual time and without a network."""

import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import anyio
import httpcore
from forwarding_samples import DOMAINS

from primrosepier.forwarding.attempts import Delivery
from primrosepier.forwarding.calls import Call, PromptPart
from primrosepier.forwarding.declarations import RetryPolicy, Route, Workspace
from primrosepier.forwarding.events import EventStreamMerger
from primrosepier.forwarding.fleet import Replica, ReplicaList
from primrosepier.forwarding.peers import PeerEntry
from primrosepier.forwarding.router import EntryRouter, make_entry_router
from primrosepier.forwarding.settings import EntrySettings
from primrosepier.logs import make_log
from primrosepier.platform import names
from primrosepier.platform.router import make_entry_platform
from primrosepier.settings import LogSettings

EVENT_INTERVAL_S = 0.15
TIMEOUT_S = 4.0
# Time from the first output of a crashing call to the crash.
CRASH_S = 0.06
PORT = 7340


@dataclass(frozen=True)
class CallKind:
    """Calls of one route.

    Parameters
    ----------
    levels : tuple of int
        For each shared part of a prompt, from how many parts it is drawn.
    """

    name: str
    per_s: float
    levels: tuple[int, ...]
    retry_policy: RetryPolicy = RetryPolicy.NEVER
    max_runs: int = 1
    workspaces: int = 8
    streamed: bool = True

    def make_route(self) -> Route:
        return Route(
            self.name,
            "h",
            f"/{self.name}/",
            (("writers", 1),),
            self.retry_policy,
            max_runs=self.max_runs,
            streamed=self.streamed,
            timeout_s=TIMEOUT_S,
        )


TAGS = CallKind("tags", 45.0, (40, 738), RetryPolicy.RESUME, max_runs=2)
BRIEFS = CallKind("briefs", 6.0, (76,))
VIEWS = CallKind("views", 25.0, (), RetryPolicy.ANY, max_runs=2, streamed=False)


@dataclass
class CallRecord:
    """One call, and the engines that it reached."""

    kind: str
    workspace: str
    parts: tuple[str, ...]
    sent_at_s: float
    body: bytes = b""
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    crashed_at_s: list[float] = field(default_factory=list)
    router_started_at_s: float = 0.0
    began_at_first_attempt: bool = False
    ended_at_s: float = 0.0
    outcome: object = None


@dataclass(eq=False)
class Engine:
    """An engine at one address, under a new id after each crash.

    Parameters
    ----------
    crashed : anyio.Event or None
        Set when the current process crashes; None while the engine is down.
    """

    number: int
    starts: int = 0
    crashed: anyio.Event | None = None

    @property
    def id(self) -> str:
        return f"e{self.number}-{self.starts}"

    def make_replica(self) -> Replica:
        domain = DOMAINS[self.number % len(DOMAINS)]
        address = f"10.0.0.{self.number}:1"
        return Replica(self.id, "writers", address, domain, 64, weights={"m0": 1})


@dataclass
class EngineResponse:
    headers: list[tuple[bytes, bytes]]
    body: object
    status: int = 200
    is_framed: bool = True
    is_first_use: bool = False

    def aiter_stream(self):
        return self.body


@dataclass
class PeerNetwork:
    """Delivers datagrams between routers; loses a share of them."""

    rng: random.Random
    loss: float
    receive: dict[str, Callable[[bytes], Awaitable[None]]] = field(default_factory=dict)

    def open_socket(self, host):
        network = self

        class Socket:
            async def sendto(self, data, address, port):
                if network.rng.random() >= network.loss and address in network.receive:
                    await network.receive[address](data)

            async def __aenter__(self):
                return self

            async def __aexit__(self, *exception):
                pass

            async def receive(self):
                await anyio.sleep_forever()

        return Socket()


@dataclass
class CrashCluster:
    """Routers and engines under a random load.

    Parameters
    ----------
    limits : dict of int to float
        Requests per second that engines name in their answers, by number.
    is_crashing : callable
        Tells whether a call crashes each engine that runs it.
    reset_share : callable
        Share of the responses of an engine that are reset, by engine and time.
    """

    seed: int
    kinds: tuple[CallKind, ...] = (TAGS, BRIEFS)
    router_count: int = 6
    engine_count: int = 6
    limits: dict[int, float] = field(default_factory=dict)
    is_crashing: Callable[[CallRecord], bool] = lambda record: False
    reset_share: Callable[[Engine, float], float] = lambda engine, now_s: 0.0
    calls: list[CallRecord] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    by_id: dict[str, CallRecord] = field(default_factory=dict)
    routers: dict[str, "RunningRouter"] = field(default_factory=dict)
    entries: dict[str, PeerEntry] = field(default_factory=dict)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.network = PeerNetwork(random.Random(self.seed), loss=0.02)
        self.engines = [Engine(number) for number in range(self.engine_count)]

    def list_engines(self):
        replicas = [e.make_replica() for e in self.engines if e.starts]
        return ReplicaList({"writers": tuple(sorted(replicas, key=lambda r: r.id))})

    async def run(self, duration_s, *processes):
        """Play the load beside other processes, until both have ended."""
        async with anyio.create_task_group() as self.group:
            for engine in self.engines:
                self._start(engine)
            for number in range(self.router_count):
                self.start_router(f"front-{number}")
            async with anyio.create_task_group() as load:
                for kind in self.kinds:
                    load.start_soon(self._arrive, kind, duration_s)
                for process in processes:
                    load.start_soon(process)
            self.group.cancel_scope.cancel()

    def start_router(self, host):
        """Start a router, or start it anew without what it knew."""
        previous = self.routers.get(host)
        if previous is not None:
            previous.scope.cancel()
        number = int(host.partition("-")[2])
        address = f"10.1.0.{number}"
        settings = EntrySettings(
            host=host,
            failure_domain=DOMAINS[number % len(DOMAINS)],
            callers_address=f"{address}:1",
            readiness_address=f"{address}:2",
            peers_address=f"{address}:{PORT}",
            store_address="10.2.0.0:1",
            repeat_extra=52.0,
            logs=LogSettings(level="off", sink="none"),
        )
        platform = replace(
            make_entry_platform(settings), client=self, clock=anyio.current_time
        )
        router = make_entry_router(settings, platform, make_log(host, settings.logs))
        router.app.forwarder.read_replicas = self.list_engines
        self.entries[host] = PeerEntry(
            settings.peers_address, router.peers.directory.token
        )
        self.network.receive[address] = router.peers.handle
        running = RunningRouter(router, anyio.current_time())
        self.routers[host] = running
        for name, other in self.routers.items():
            directory = other.router.peers.directory
            directory.peers = {k: v for k, v in self.entries.items() if k != name}
            directory.is_registered = True
            other.router.app.forwarder.notices.permits.record_hosts(
                directory.list_hosts()
            )
        self.group.start_soon(running.run, self.network.open_socket(address))

    async def _arrive(self, kind, duration_s):
        async with anyio.create_task_group() as group:
            while anyio.current_time() < duration_s:
                await anyio.sleep(self.rng.expovariate(kind.per_s))
                group.start_soon(self.send, kind, self.draw_parts(kind))

    def draw_parts(self, kind):
        shared = [
            f"{kind.name}-{level}-{self.rng.randrange(count)}"
            for level, count in enumerate(kind.levels)
        ]
        return (*shared, f"own-{self.rng.getrandbits(48):x}")

    async def send(self, kind, parts, body=None, workspace=None):
        """Send a call to any router."""
        if body is None:
            body = b"%x" % self.rng.getrandbits(64)
        if workspace is None:
            workspace = f"workspace-{self.rng.randrange(kind.workspaces)}"
        now_s = anyio.current_time()
        record = CallRecord(kind.name, workspace, parts, now_s, body)
        self.calls.append(record)
        call_id = f"{len(self.calls):016x}"
        self.by_id[call_id] = record
        call = Call(
            id=call_id,
            method="POST",
            target=f"/{kind.name}/1",
            headers=((names.CALL_ID, call_id.encode()),),
            body=body,
            route=kind.make_route(),
            workspace=Workspace(workspace),
            received_at_s=now_s,
            deadline_s=now_s + TIMEOUT_S,
            model="m0",
            parts=tuple(PromptPart(part, 300) for part in parts),
        )
        running = self.rng.choice(list(self.routers.values()))
        record.router_started_at_s = running.started_at_s
        delivery = Delivery(_ignore, EventStreamMerger(), _ignore)
        record.outcome = await running.router.app.forwarder.forward(call, delivery)
        record.ended_at_s = anyio.current_time()
        return record

    @contextlib.asynccontextmanager
    async def open(self, call):
        """Serve as the routers' client for calls to engines."""
        engine = self.engines[int(call.address.partition(":")[0].rpartition(".")[2])]
        record = self.by_id[call.attempt]
        await anyio.sleep(0.001)
        crashed = engine.crashed
        if crashed is None:
            raise httpcore.ConnectError("connection refused")
        record.arrivals.append((anyio.current_time(), engine.id))
        first_token_s = self.rng.uniform(0.02, 0.25)
        await _wait_or_break(crashed, first_token_s)
        if len(record.arrivals) == 1:
            record.began_at_first_attempt = True
        if self.is_crashing(record):
            await _wait_or_break(crashed, CRASH_S)
            record.crashed_at_s.append(anyio.current_time())
            self.crash(engine)
            raise httpcore.RemoteProtocolError("Server disconnected")
        headers = [(names.CALL_ID, call.attempt.encode()), (names.ENDPOINT_PROOF, b"1")]
        if engine.number in self.limits:
            headers.append((b"server-limit", b"%g" % self.limits[engine.number]))
        yield EngineResponse(headers, self._generate(engine, crashed))

    def prune(self, addresses):
        pass

    def abort_unresponsive(self, address, receive_gap_s):
        """Abort nothing: engines here are up or refuse connections."""
        return 0

    async def _generate(self, engine, crashed):
        events = self.rng.randint(1, 7)
        reset_share = self.reset_share(engine, anyio.current_time())
        is_reset = self.rng.random() < reset_share
        for event in range(1, events + 1):
            await _wait_or_break(crashed, EVENT_INTERVAL_S)
            if is_reset:
                raise httpcore.ReadError("connection reset")
            yield b"id: %d\ndata: x\n\n" % event

    def crash(self, engine, down_s=None):
        """End an engine's process and all calls in progress there."""
        if engine.crashed is None:
            return
        self.crashes.append((anyio.current_time(), engine.id))
        engine.crashed.set()
        engine.crashed = None
        down_s = self.rng.uniform(2.0, 4.0) if down_s is None else down_s
        self.group.start_soon(self._restart, engine, down_s)

    async def _restart(self, engine, down_s):
        await anyio.sleep(down_s)
        self._start(engine)

    def _start(self, engine):
        engine.starts += 1
        engine.crashed = anyio.Event()


@dataclass
class RunningRouter:
    router: EntryRouter
    started_at_s: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def run(self, socket):
        with self.scope:
            await self.router.peers.run(socket, None)


async def _ignore(message):
    pass


async def _wait_or_break(crashed, wait_s):
    """Wait; raise an error as soon as the engine crashes."""
    with anyio.move_on_after(wait_s):
        await crashed.wait()
    if crashed.is_set():
        raise httpcore.RemoteProtocolError("Server disconnected")
