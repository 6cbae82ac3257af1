"""Replicas that answer with fixed bytes, over real sockets."""

import asyncio
import contextlib
import re
import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

import anyio
import anyio.abc

from primrosepier.platform.standins import StandinReplica

HEAD_END = b"\r\n\r\n"
ID_LINE = re.compile(rb"attempt-id:", re.IGNORECASE)


class ConnectionEnd(Enum):
    CLOSE = "close"
    RESET = "reset"


def reset(stream):
    """Let the connection of a stream be reset when it is closed."""
    linger = struct.pack("ii", 1, 0)
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@dataclass
class RawReplica:
    """Answers each call with the same body and ends the connection.

    Parameters
    ----------
    headers : bytes
        Header lines added to those that show which replica answered which call.
    body : bytes
        The body as it is sent, with its chunks if it has any.
    endless : bytes
        Sent again and again after the body, until the router closes the connection.
    """

    body: bytes
    headers: bytes = b""
    end: ConnectionEnd = ConnectionEnd.CLOSE
    status: int = 200
    endless: bytes = b""
    sent: int = 0
    runs: list[bytes] = field(default_factory=list)

    async def serve(self, stream):
        async with stream:
            received = b""
            while HEAD_END not in received:
                try:
                    received += await stream.receive()
                except anyio.EndOfStream:
                    return
            head = received.partition(HEAD_END)[0]
            self.runs.append(head)
            await stream.send(self._make_head(head) + self.body)
            with contextlib.suppress(anyio.BrokenResourceError):
                while self.endless:
                    await stream.send(self.endless)
                    self.sent += len(self.endless)
            if self.end is ConnectionEnd.RESET:
                await anyio.sleep(0.05)
                reset(stream)

    def _make_head(self, request_head):
        lines = request_head.split(b"\r\n")
        ids = [x for x in lines if x.lower().startswith(b"attempt-id:")]
        call_id = ids[0] if ids else b"X-Own: 1"
        proof = b"Server-Stamp: 1.2.3\r\nContent-Type: text/event-stream\r\n"
        start = b"HTTP/1.1 %d Status\r\n%b\r\n" % (self.status, call_id)
        return start + proof + self.headers + b"\r\n"


@dataclass
class StaleReplica:
    """Answers calls on kept connections, from the second on after a stale answer.

    Parameters
    ----------
    stale : bytes
        Answer to no call, sent before the answer to a call.
    misled : list of bytes
        Heads of the calls that got a stale answer.
    """

    stale: bytes
    misled: list[bytes] = field(default_factory=list)

    async def serve(self, stream):
        async with stream:
            received, answers = b"", 0
            while True:
                try:
                    while HEAD_END not in received:
                        received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                head, _, received = received.partition(HEAD_END)
                received = b""
                if answers:
                    self.misled.append(head)
                    await stream.send(self.stale)
                answers += 1
                call_id = next(x for x in head.split(b"\r\n") if ID_LINE.match(x))
                await stream.send(make_answer(call_id + b"\r\n", b"sound"))


def make_answer(headers, body, status=200):
    """Return an answer with a length."""
    start = b"HTTP/1.1 %d Status\r\nServer-Stamp: 1.2.3\r\n" % status
    return start + headers + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


@contextlib.asynccontextmanager
async def open_raw_replica(fleet, name, replica, service="writers"):
    """Serve a replica in place of the fleet's replica of the same name."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    entry = StandinReplica(name).make_entry(service, f"127.0.0.1:{port}")
    store_view = fleet.routers[0].store_view
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, replica.serve)
        fleet.store.put(f"servers/{name}", entry)
        await fleet.wait_until(
            lambda: any(
                listed.address == entry["address"]
                for listed in store_view.replicas.value.list_replicas(service)
            )
        )
        yield
        group.cancel_scope.cancel()
    await listener.aclose()


@contextlib.asynccontextmanager
async def open_full_replica(end):
    """Serve a replica that ends each connection at once; yield its address."""

    def refuse(reader, writer):
        if end is ConnectionEnd.RESET:
            linger = struct.pack("ii", 1, 0)
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    server = await asyncio.start_server(refuse, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


def delay_connects(monkeypatch, delay_s=0.03):
    """Let connects return only after the peer has ended the connection, if it does."""
    connect = asyncio.BaseEventLoop.create_connection

    async def connect_late(loop, factory, host, port):
        transport, protocol = await connect(loop, factory, host, port)
        with anyio.move_on_after(delay_s):
            while not protocol.ended:
                await anyio.sleep(0.001)
        return transport, protocol

    monkeypatch.setattr(asyncio.BaseEventLoop, "create_connection", connect_late)
