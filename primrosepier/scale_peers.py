"""Costs of calls between routers, and of what they share."""

import random
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio
import msgspec
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from .board import make_board
from .engines import make_endpoint_client
from .gossip import Gossip
from .ids import EndpointId, HostId
from .load_reports import LoadReports, SharedLoad
from .membership import MemberState, make_membership
from .messages import DigestRecord, Exchange, MemberRecord, encode_message
from .peers import GrpcTransport, bind_listener, make_transport, open_peer_server
from .scale_fits import Slope, fit_slope, measure_cpu

__all__ = ["measure_peers"]

EXCHANGES = (50, 100, 200, 400)
FORWARDED = (3, 6, 12, 24)
NODES = (60, 240, 470, 940)
LOADS_PER_NODE = 4
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
    """Return the slopes of calls between routers and of shared load."""
    return [*anyio.run(_measure_calls), _measure_shared_load()]


def _make_record(number: int) -> MemberRecord:
    address = f"10.1.{number >> 8}.{number & 255}:7000"
    host = f"entry-{number:04d}"
    return MemberRecord(host, address, "domain-1", 1, MemberState.ALIVE)


async def _measure_calls() -> list[Slope]:
    listener = bind_listener(LOOPBACK)
    address, port = listener.getsockname()[:2]
    transport = make_transport("key")
    message = Exchange(_make_record(0))
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


class _Members:
    """The part of a gossip that load reports read."""

    def __init__(self, nodes: int):
        self.membership = make_membership(_make_record(0), random.Random(1))
        for number in range(1, nodes):
            self.membership.receive(Exchange(_make_record(number)), 0.0)


def _measure_shared_load() -> Slope:
    measured = []
    for nodes in NODES:
        members = _Members(nodes)
        _share_loads(members, nodes)
        board = make_board()
        reports = LoadReports(
            board,
            board.load.take_writer("bench"),
            make_endpoint_client(),
            cast(Gossip, members),
            lambda endpoint, leaving: None,
        )
        cpu_s = measure_cpu(lambda r=reports: r.update(1.0), 5)  # type: ignore[misc]
        measured.append((float(nodes), cpu_s))
    return fit_slope("shared_load_cpu", "nodes", "s a second", measured)


def _share_loads(members: _Members, nodes: int) -> None:
    for number in range(1, nodes):
        first = number * LOADS_PER_NODE
        loads = [
            SharedLoad(EndpointId(f"endpoint-{first + n:05d}"), 5, 1, 100)
            for n in range(LOADS_PER_NODE)
        ]
        data = msgspec.msgpack.encode(loads)
        host = HostId(f"entry-{number:04d}")
        record = DigestRecord("load", host, 1, 1, ttl_ms=600_000, data=data)
        members.membership.digests.receive(record, 0.0)
