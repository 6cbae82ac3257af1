"""Costs of polling the load of a replica over HTTP."""

import threading
import time
from dataclasses import dataclass, field

import anyio
import anyio.to_thread

from .asgi import open_server
from .endpoint_client import EndpointCall, make_endpoint_client
from .scale_fits import Slope, fit_slope
from .scale_peers import open_counting_proxy
from .standin_engine import make_engine_standin

__all__ = ["measure_polls"]

POLLS = (40, 80, 160, 320)
PROXIED_POLLS = (4, 8, 16, 32)
TIMEOUT_S = 5.0
LOOPBACK = "127.0.0.1:0"


@dataclass(slots=True)
class _PollThread:
    """Polls a replica on a separate thread, so that only the polls' CPU time counts.

    Attributes
    ----------
    cpu_s : dict of int to float
        CPU time in seconds by number of polls.
    """

    address: str
    cpu_s: dict[int, float] = field(default_factory=dict)

    def run(self) -> None:
        """Poll and measure; the body of the thread."""
        anyio.run(self._poll_all)

    async def _poll_all(self) -> None:
        await poll(self.address, 10)
        for count in POLLS:
            started_s = time.thread_time()
            await poll(self.address, count)
            self.cpu_s[count] = time.thread_time() - started_s


async def poll(address: str, count: int) -> None:
    """Poll the load of the replica at an address ``count`` times."""
    client = make_endpoint_client()
    call = EndpointCall(address, "GET", "/metrics", (), b"", TIMEOUT_S, TIMEOUT_S)
    for _ in range(count):
        async with client.open(call) as response:
            async for _ in response.aiter_stream():
                pass
    await client.close()


def measure_polls() -> list[Slope]:
    """Return the slopes of polls of a stand-in engine."""
    return anyio.run(_measure)


async def _measure() -> list[Slope]:
    async with open_server(make_engine_standin(), LOOPBACK) as address:
        poller = _PollThread(address)
        thread = threading.Thread(target=poller.run)
        thread.start()
        await anyio.to_thread.run_sync(thread.join)
        sent = await _count_bytes(address)
    cpu = [(float(count), seconds) for count, seconds in poller.cpu_s.items()]
    return [
        fit_slope("poll_cpu", "polls", "s", cpu),
        fit_slope("poll_bytes", "polls of a stand-in", "bytes", sent),
    ]


async def _count_bytes(address: str) -> list[tuple[float, float]]:
    host, _, port = address.rpartition(":")
    measured = []
    async with open_counting_proxy(host, int(port)) as proxy:
        for count in PROXIED_POLLS:
            bytes_before = proxy.bytes_passed
            await poll(proxy.address, count)
            measured.append((float(count), float(proxy.bytes_passed - bytes_before)))
    return measured
