"""Costs of calls between routers."""

import contextlib
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from .messages import Exchange, encode_message
from .peers import GrpcTransport, bind_listener, make_transport, open_peer_server
from .scale_control import make_record
from .scale_fits import Slope, fit_slope

__all__ = ["CountingProxy", "measure_peers", "open_counting_proxy"]

EXCHANGES = (50, 100, 200, 400)
PROXIED_EXCHANGES = (3, 6, 12, 24)
TIMEOUT_S = 5.0
LOOPBACK = "127.0.0.1:0"


class _EchoHandler:
    """Answers each exchange with the received message."""

    async def answer_exchange(self, message: Exchange) -> Exchange:
        return message

    async def answer_probe(self, message: Any) -> Any:
        raise NotImplementedError

    async def answer_configuration(self, message: Any) -> Any:
        raise NotImplementedError

    async def answer_status(self, message: Any) -> Any:
        raise NotImplementedError


def measure_peers() -> list[Slope]:
    """Return the slopes of calls between routers."""
    return anyio.run(_measure_calls)


async def _measure_calls() -> list[Slope]:
    listener = bind_listener(LOOPBACK)
    address, port = listener.getsockname()[:2]
    transport = make_transport("key")
    message = Exchange(make_record(0))
    async with open_peer_server(_EchoHandler(), transport.codec, listener):
        cpu = await _time_calls(transport, f"{address}:{port}", message)
        sent = await _count_bytes(address, port, message)
    transport.close()
    size = len(encode_message(message))
    return [
        fit_slope("peer_call_cpu", f"exchanges of {size} bytes", "s", cpu),
        fit_slope("peer_call_bytes", f"exchanges of {size} bytes", "bytes", sent),
    ]


async def _time_calls(
    transport: GrpcTransport, address: str, message: Exchange
) -> list[tuple[float, float]]:
    """Return the CPU time of client and server, which share this thread."""
    await transport.exchange(address, message, TIMEOUT_S)
    measured = []
    for count in EXCHANGES:
        started_s = time.thread_time()
        for _ in range(count):
            await transport.exchange(address, message, TIMEOUT_S)
        measured.append((float(count), time.thread_time() - started_s))
    return measured


async def _count_bytes(
    address: str, port: int, message: Exchange
) -> list[tuple[float, float]]:
    """Return the bytes of both directions, counted by a proxy."""
    measured = []
    transport = make_transport("key")
    async with open_counting_proxy(address, port) as proxy:
        for count in PROXIED_EXCHANGES:
            bytes_before = proxy.bytes_passed
            for _ in range(count):
                await transport.exchange(proxy.address, message, TIMEOUT_S)
            measured.append((float(count), float(proxy.bytes_passed - bytes_before)))
        transport.close()
    return measured


@dataclass(slots=True)
class CountingProxy:
    """A TCP proxy that counts the bytes of both directions.

    Parameters
    ----------
    address : str
        Listening address, ``IP:PORT``.
    """

    address: str = ""
    bytes_passed: int = 0

    async def pump(self, source: ByteStream, target: ByteStream) -> None:
        """Forward bytes until the source ends."""
        try:
            async for data in source:
                self.bytes_passed += len(data)
                await target.send(data)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            return


@contextlib.asynccontextmanager
async def open_counting_proxy(address: str, port: int) -> AsyncIterator[CountingProxy]:
    """Run a proxy to a server while the context is open."""
    proxy = CountingProxy()

    async def forward(caller: SocketStream) -> None:
        server = await anyio.connect_tcp(address, port)
        async with server, anyio.create_task_group() as group:
            group.start_soon(proxy.pump, caller, server)
            await proxy.pump(server, caller)
            group.cancel_scope.cancel()

    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", family=socket.AF_INET
    )
    local_port = listener.extra(SocketAttribute.local_port)
    proxy.address = f"127.0.0.1:{local_port}"
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, listener.serve, forward)
        yield proxy
        group.cancel_scope.cancel()


async def _serve(
    serve: Callable[..., Awaitable[None]], handler: Callable[..., Awaitable[None]]
) -> None:
    await serve(handler)
