"""Costs of the data path: CPU time per request and token, memory per stream."""

import contextlib
import threading
import time
import tracemalloc
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

import anyio
import msgspec

from .asgi import open_server
from .configuration import (
    Configuration,
    Endpoint,
    Model,
    Service,
    ServiceKind,
    Workspace,
    hash_api_key,
)
from .endpoint_client import EndpointCall, EndpointClient, make_endpoint_client
from .ids import (
    EndpointId,
    FailureDomain,
    HostId,
    ModelId,
    ServiceId,
    WeightsVersion,
    WorkspaceId,
)
from .publishing import apply_configuration
from .router import Platform, make_router
from .scale_fits import Slope, fit_slope
from .settings import LogSettings, RouterSettings
from .standin_engine import EngineRates, make_engine_standin
from .store import MemoryStore

__all__ = ["measure_data_path"]

TOKENS = (16, 64, 128, 256)
REQUESTS = (10, 20, 40, 80)
STREAMS = (40, 80, 160, 320)
CONCURRENT_STREAMS = 16
TOKEN_S = 0.004
# Time between two tokens that keeps streams open and idle during a measurement.
IDLE_TOKEN_S = 60.0
API_KEY = "bench-key"
MODEL = ModelId("model-0")
LOOPBACK = "127.0.0.1:0"


def _make_configuration(address: str) -> Configuration:
    service, workspace = ServiceId("service-0"), WorkspaceId("workspace-0")
    endpoint = Endpoint(
        EndpointId("endpoint-0"),
        service,
        address,
        FailureDomain("domain-0"),
        concurrent=10_000,
    )
    return Configuration(
        {workspace: Workspace(workspace, (hash_api_key(API_KEY),))},
        {MODEL: Model(MODEL, WeightsVersion("1"))},
        {service: Service(service, ServiceKind.ENGINE, (MODEL,))},
        {endpoint.id: endpoint},
    )


@dataclass(slots=True)
class RouterThread:
    """A router on a separate thread, so that its CPU time can be measured alone."""

    engine_address: str
    address: str = ""
    started: threading.Event = field(default_factory=threading.Event)
    stop: threading.Event = field(default_factory=threading.Event)
    thread: threading.Thread = field(init=False)

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=anyio.run, args=(self._run,))

    async def _run(self) -> None:
        store = MemoryStore()
        configuration = _make_configuration(self.engine_address)
        await apply_configuration(store, configuration, "bench")
        settings = RouterSettings(
            host=HostId("entry-1"),
            failure_domain=FailureDomain("domain-0"),
            callers_address=LOOPBACK,
            peers_address=LOOPBACK,
            store_address=LOOPBACK,
            logs=LogSettings("info", "/dev/null"),
        )
        router = make_router(settings, Platform(store, make_endpoint_client()))
        router.app.prepared = True
        async with anyio.create_task_group() as group:
            group.start_soon(router.mirror.run)
            async with open_server(router.app, LOOPBACK) as self.address:
                while not (router.app.is_ready() or self.stop.is_set()):
                    await anyio.sleep(0.001)
                self.started.set()
                while not self.stop.is_set():
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()
        await router.platform.client.close()
        router.app.log.close()

    def read_cpu(self) -> float:
        """Return the CPU time of the router's thread in seconds."""
        assert self.thread.ident is not None
        return time.clock_gettime(time.pthread_getcpuclockid(self.thread.ident))


@contextlib.contextmanager
def _open_router_thread(engine_address: str) -> Iterator[RouterThread]:
    router = RouterThread(engine_address)
    router.thread.start()
    try:
        if not router.started.wait(30):
            raise TimeoutError("the router did not start within 30 s")
        yield router
    finally:
        router.stop.set()
        router.thread.join()


def _make_call(address: str, number: int, tokens: int) -> EndpointCall:
    body = {
        "model": MODEL,
        "prompt": f"{number} " + "x" * 8192,
        "max_tokens": tokens,
        "stream": True,
    }
    headers = (("authorization", f"Bearer {API_KEY}"),)
    data = msgspec.json.encode(body)
    return EndpointCall(address, "POST", "/v1/completions", headers, data, 10.0, 120.0)


@dataclass(slots=True)
class _Callers:
    """Callers that read streams from an address.

    Attributes
    ----------
    started_streams : int
        Number of streams that have sent their first part.
    """

    address: str
    client: EndpointClient
    started_streams: int = 0

    async def read(self, number: int, tokens: int) -> None:
        """Read one stream to its end."""
        call = _make_call(self.address, number, tokens)
        async with self.client.open(call) as response:
            first = True
            async for _ in response.aiter_stream():
                self.started_streams += first
                first = False


def measure_data_path() -> list[Slope]:
    """Return all slopes of the data path."""
    return [*anyio.run(_measure_cpu), *anyio.run(_measure_memory)]


@contextlib.asynccontextmanager
async def _open_engine(token_s: float) -> AsyncIterator[str]:
    rates = EngineRates(prefill_tokens_per_s=1e7, token_s=token_s, slots=10_000)
    async with open_server(make_engine_standin(rates), LOOPBACK) as address:
        yield address


async def _measure_cpu() -> list[Slope]:
    client = make_endpoint_client()
    by_tokens, by_requests = [], []
    async with _open_engine(TOKEN_S) as engine:
        with _open_router_thread(engine) as router:
            callers = _Callers(router.address, client)
            await _send(callers, CONCURRENT_STREAMS, TOKENS[0])
            for tokens in TOKENS:
                before_s = router.read_cpu()
                await _send(callers, CONCURRENT_STREAMS, tokens)
                spent_s = router.read_cpu() - before_s
                by_tokens.append((float(CONCURRENT_STREAMS * tokens), spent_s))
            for requests in REQUESTS:
                before_s = router.read_cpu()
                await _send(callers, requests, 1)
                by_requests.append((float(requests), router.read_cpu() - before_s))
    await client.close()
    return [
        fit_slope("token_cpu", "tokens relayed", "s", by_tokens),
        fit_slope("request_cpu", "requests of one token", "s", by_requests),
    ]


async def _send(callers: _Callers, streams: int, tokens: int) -> None:
    async with anyio.create_task_group() as group:
        for number in range(streams):
            group.start_soon(callers.read, number, tokens)


async def _measure_memory() -> list[Slope]:
    """Measure the router's memory for idle streams.

    Callers and engine run in the same process. The memory for the same number of
    streams without a router is therefore subtracted.
    """
    async with _open_engine(IDLE_TOKEN_S) as engine:
        direct = await _measure_allocated_bytes(engine)
        with _open_router_thread(engine) as router:
            routed = await _measure_allocated_bytes(router.address)
    memory = [
        (float(streams), with_router - without)
        for streams, with_router, without in zip(STREAMS, routed, direct, strict=True)
    ]
    return [fit_slope("stream_memory", "open streams", "bytes", memory)]


async def _measure_allocated_bytes(address: str) -> list[float]:
    """Return the bytes allocated in this process for each number of streams."""
    client = make_endpoint_client()
    callers = _Callers(address, client)
    allocated = []
    tracemalloc.start()
    try:
        async with anyio.create_task_group() as group:
            bytes_before, _ = tracemalloc.get_traced_memory()
            opened = 0
            for streams in STREAMS:
                for number in range(opened, streams):
                    group.start_soon(callers.read, number, 2)
                opened = streams
                while callers.started_streams < streams:
                    await anyio.sleep(0.01)
                allocated.append(
                    float(tracemalloc.get_traced_memory()[0] - bytes_before)
                )
            group.cancel_scope.cancel()
    finally:
        tracemalloc.stop()
    await client.close()
    return allocated
