"""Measures the overhead of the router against a direct connection, on loopback.

Engine, router and callers each run in a thread, so that the CPU time of the router is
that of its thread. They share one interpreter, so the work of the others also delays
the router. The streams are first opened directly at the engine, then the same number
through the router while the first stay open: the difference between the two increases
in memory is what the router uses for them. Then the direct streams are closed, CPU
time is measured, and short requests are sent alternately to both targets while the
streams through the router continue.
"""

import asyncio
import contextlib
import sys
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.from_thread
import msgspec

from .asgi import open_server
from .bench_stream_engine import open_stream_engine
from .configuration import (
    Configuration,
    Endpoint,
    Model,
    Service,
    ServiceKind,
    Workspace,
    hash_api_key,
)
from .endpoint_client import make_endpoint_client
from .garbage_collection import tune_garbage_collection
from .ids import (
    EndpointId,
    FailureDomain,
    HostId,
    ModelId,
    ServiceId,
    WeightsVersion,
    WorkspaceId,
)
from .router import Platform, make_router
from .settings import Limits, RouterSettings
from .store import MemoryStore

__all__ = ["RelayPlan", "RelayReport", "run_relay_bench"]

CALLER_KEY = "bench"
MODEL = ModelId("m")
LOOPBACK = "127.0.0.1:0"
SWITCH_INTERVAL_S = 0.0005
OPEN_BATCH_SIZE = 20
OPEN_INTERVAL_S = 0.01
PROMPT_BYTES = 4096
PAGE_BYTES = 4096
KIB = 1024
EVENT_PREFIX = b"data: "
STATUS_OK = b"HTTP/1.1 200"


class RelayPlan(msgspec.Struct, frozen=True):
    """Parameters of a run.

    Parameters
    ----------
    streams : int
        Open streams per target.
    token_s : float
        Time between the tokens of a stream, in seconds.
    measure_s : float
        Duration of the measurement of CPU time, in seconds.
    requests : int
        Short requests per target.
    rate : float
        Short requests per second and target.
    """

    streams: int = 1000
    token_s: float = 0.2
    measure_s: float = 5.0
    requests: int = 400
    rate: float = 50.0


class RelayReport(msgspec.Struct, frozen=True):
    """Measures of one run.

    Parameters
    ----------
    kb_per_open_stream : float
        Memory in KiB that the router uses for an open stream.
    tokens : int
        Tokens received through the router while CPU time was measured.
    """

    streams: int
    added_ttft_p50_ms: float
    added_ttft_p99_ms: float
    cpu_us_per_token: float
    kb_per_open_stream: float
    direct_ttft_p50_ms: float
    direct_ttft_p99_ms: float
    router_ttft_p50_ms: float
    router_ttft_p99_ms: float
    tokens: int
    failed: int


class _Caller(asyncio.Protocol):
    """Sends one request and counts the events of the answer."""

    def __init__(self, request: bytes):
        self.request = request
        self.events = 0
        self.status = b""
        self.sent_at_s = 0.0
        self.first_event_at_s: float | None = None
        self.first_event = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.sent_at_s = time.perf_counter()
        self.transport.write(self.request)  # type: ignore[union-attr]

    def data_received(self, data: bytes) -> None:
        self.status = self.status or data[: len(STATUS_OK)]
        count = data.count(EVENT_PREFIX)
        self.events += count
        if count and self.first_event_at_s is None:
            self.first_event_at_s = time.perf_counter()
            self._resolve_first_event()

    def connection_lost(self, exc: Exception | None) -> None:
        self._resolve_first_event()

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def _resolve_first_event(self) -> None:
        if not self.first_event.done():
            self.first_event.set_result(None)


@dataclass(slots=True)
class _Target:
    """One measured address, with its open streams and the TTFTs of short requests."""

    address: str
    streams: list[_Caller] = field(default_factory=list)
    ttft_s: list[float] = field(default_factory=list)
    failed: int = 0

    def make_request(self, number: int, tokens: int) -> bytes:
        """Return the bytes of a request with a unique prompt."""
        prompt = f"{number} ".ljust(PROMPT_BYTES, "p")
        body = msgspec.json.encode(
            {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
        )
        head = (
            "POST /v1/completions HTTP/1.1\r\n"
            f"host: {self.address}\r\nauthorization: Bearer {CALLER_KEY}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def call(self, number: int, tokens: int) -> _Caller:
        """Send a request and wait for its first event."""
        host, _, port = self.address.rpartition(":")
        request = self.make_request(number, tokens)
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(
            lambda: _Caller(request), host, int(port)
        )
        await caller.first_event
        if caller.first_event_at_s is None or caller.status != STATUS_OK:
            self.failed += 1
        return caller

    async def open_stream(self, number: int, tokens: int) -> None:
        """Open a stream and keep it open."""
        self.streams.append(await self.call(number, tokens))

    async def probe(self, number: int) -> None:
        """Measure the time to the first event of a short request."""
        caller = await self.call(number, 1)
        if caller.first_event_at_s is not None:
            self.ttft_s.append(caller.first_event_at_s - caller.sent_at_s)
        caller.close()

    def count_events(self) -> int:
        """Return the number of events received on all streams."""
        return sum(stream.events for stream in self.streams)


def _make_configuration(engine: str) -> Configuration:
    service_id = ServiceId("engines")
    endpoint = Endpoint(
        EndpointId("engine-1"),
        service_id,
        engine,
        FailureDomain("d"),
        concurrent=100_000,
    )
    workspace = Workspace(WorkspaceId("w"), (hash_api_key(CALLER_KEY),))
    return Configuration(
        workspaces={workspace.id: workspace},
        models={MODEL: Model(MODEL, WeightsVersion("1"))},
        services={service_id: Service(service_id, ServiceKind.ENGINE, (MODEL,))},
        endpoints={endpoint.id: endpoint},
    )


@contextlib.asynccontextmanager
async def _open_router(engine: str, streams: int) -> AsyncIterator[str]:
    settings = RouterSettings(
        host=HostId("bench"),
        failure_domain=FailureDomain("d"),
        callers_address=LOOPBACK,
        peers_address=LOOPBACK,
        store_address=LOOPBACK,
        limits=Limits(streams=2 * streams + 100),
    )
    platform = Platform(MemoryStore(), make_endpoint_client())
    router = make_router(settings, platform)
    router.board.configuration.value = _make_configuration(engine)
    async with open_server(router.app, LOOPBACK) as address:
        yield address
    await platform.client.close()


@contextlib.contextmanager
def _run_in_thread(
    open_component: Callable[[], contextlib.AbstractAsyncContextManager[str]],
) -> Iterator[tuple[str, int]]:
    """Run a component in a thread; yield its address and the thread's CPU clock."""
    with anyio.from_thread.start_blocking_portal() as portal:
        thread = portal.call(threading.get_ident)
        with portal.wrap_async_context_manager(open_component()) as address:
            yield address, time.pthread_getcpuclockid(thread)


def _read_resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * PAGE_BYTES


def run_relay_bench(plan: RelayPlan) -> RelayReport:
    """Measure the router against a direct connection."""
    tune_garbage_collection()
    switch_interval_s = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        with (
            _run_in_thread(lambda: open_stream_engine(plan.token_s)) as (engine, _),
            _run_in_thread(lambda: _open_router(engine, plan.streams)) as router,
        ):
            return anyio.run(
                _measure, plan, _Target(engine), _Target(router[0]), router[1]
            )
    finally:
        sys.setswitchinterval(switch_interval_s)


async def _measure(
    plan: RelayPlan, direct: _Target, router: _Target, cpu_clock: int
) -> RelayReport:
    for number in range(OPEN_BATCH_SIZE):
        await direct.probe(-number - 1)
        await router.probe(-number - 1)
    start_bytes = _read_resident_bytes()
    await _open_streams(plan, direct, 0)
    direct_bytes = _read_resident_bytes()
    await _open_streams(plan, router, plan.streams)
    both_bytes = _read_resident_bytes()
    for stream in direct.streams:
        stream.close()
    cpu_s, tokens = await _measure_cpu(plan, router, cpu_clock)
    direct.ttft_s.clear()
    router.ttft_s.clear()
    await _probe_targets(plan, direct, router)
    for stream in router.streams:
        stream.close()
    direct_p50, direct_p99 = _compute_percentiles_ms(direct.ttft_s)
    router_p50, router_p99 = _compute_percentiles_ms(router.ttft_s)
    router_bytes = (both_bytes - direct_bytes) - (direct_bytes - start_bytes)
    return RelayReport(
        streams=plan.streams,
        added_ttft_p50_ms=round(router_p50 - direct_p50, 3),
        added_ttft_p99_ms=round(router_p99 - direct_p99, 3),
        cpu_us_per_token=round(cpu_s * 1e6 / max(1, tokens), 1),
        kb_per_open_stream=round(router_bytes / KIB / plan.streams, 1),
        direct_ttft_p50_ms=direct_p50,
        direct_ttft_p99_ms=direct_p99,
        router_ttft_p50_ms=router_p50,
        router_ttft_p99_ms=router_p99,
        tokens=tokens,
        failed=direct.failed + router.failed,
    )


async def _open_streams(plan: RelayPlan, target: _Target, first_number: int) -> None:
    probe_s = 2 * plan.requests / plan.rate
    open_s = 2 * plan.streams / OPEN_BATCH_SIZE * OPEN_INTERVAL_S
    stream_s = 4 * open_s + plan.measure_s + probe_s + 30
    tokens = int(stream_s / plan.token_s)
    async with anyio.create_task_group() as group:
        for number in range(plan.streams):
            group.start_soon(target.open_stream, first_number + number, tokens)
            if number % OPEN_BATCH_SIZE == 0:
                await anyio.sleep(OPEN_INTERVAL_S)
    await anyio.sleep(plan.token_s)


async def _measure_cpu(
    plan: RelayPlan, target: _Target, cpu_clock: int
) -> tuple[float, int]:
    """Return the CPU time (s) of a clock and the tokens received meanwhile."""
    start_cpu_s = time.clock_gettime(cpu_clock)
    start_events = target.count_events()
    await anyio.sleep(plan.measure_s)
    return (
        time.clock_gettime(cpu_clock) - start_cpu_s,
        target.count_events() - start_events,
    )


async def _probe_targets(plan: RelayPlan, direct: _Target, router: _Target) -> None:
    first_number = 10 * plan.streams
    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for number in range(plan.requests):
            for index, target in enumerate((direct, router)):
                due_s = started_s + (number + index / 2) / plan.rate
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                group.start_soon(target.probe, first_number + number)


def _compute_percentiles_ms(times_s: list[float]) -> tuple[float, float]:
    """Return the 50th and 99th percentiles in milliseconds."""
    sorted_times = sorted(times_s)
    if not sorted_times:
        return float("inf"), float("inf")
    last = len(sorted_times) - 1
    p50 = sorted_times[int(0.50 * last)]
    p99 = sorted_times[int(0.99 * last)]
    return round(p50 * 1000, 3), round(p99 * 1000, 3)
