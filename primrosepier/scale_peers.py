"""Costs of calls between routers."""

import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from .messages import Exchange, encode_message
from .peers import GrpcTransport, bind_listener, make_transport, open_peer_server
from .scale_control import make_record
from .scale_fits import Slope, fit_slope

__all__ = ["measure_peers"]

EXCHANGES = (50, 100, 200, 400)
FORWARDED = (3, 6, 12, 24)
TIMEOUT_S = 5.0
LOOPBACK = "127.0.0.1:0"


class _Echo:
    """Answers each call with what it got."""

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
    async with open_peer_server(_Echo(), transport.codec, listener):
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
    """Return the processor time of both ends, which share this thread."""
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
    """Return the bytes of both directions, counted by a forwarder on the way."""
    counted = [0]

    async def forward(caller: SocketStream) -> None:
        server = await anyio.connect_tcp(address, port)
        async with server, anyio.create_task_group() as group:
            group.start_soon(_pump, caller, server, counted)
            await _pump(server, caller, counted)
            group.cancel_scope.cancel()

    measured = []
    transport = make_transport("key")
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", family=socket.AF_INET
    )
    bound = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(_serve, listener.serve, forward)
        for count in FORWARDED:
            before = counted[0]
            for _ in range(count):
                await transport.exchange(f"127.0.0.1:{bound}", message, TIMEOUT_S)
            measured.append((float(count), float(counted[0] - before)))
        transport.close()
        group.cancel_scope.cancel()
    return measured


async def _serve(
    serve: Callable[..., Awaitable[None]], handler: Callable[..., Awaitable[None]]
) -> None:
    await serve(handler)


async def _pump(source: ByteStream, target: ByteStream, counted: list[int]) -> None:
    try:
        async for data in source:
            counted[0] += len(data)
            await target.send(data)
    except (anyio.ClosedResourceError, anyio.BrokenResourceError):
        return
