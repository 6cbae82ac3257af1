"""Answers that replicas stop within their head, over real sockets."""

import anyio
import anyio.abc
import httpcore
import pytest
from entry_fleet import run_entry
from raw_replicas import ConnectionEnd, RawReplica, open_raw_replica, reset

from primrosepier.endpoint_client import EndpointCall, HttpEndpointClient

pytestmark = pytest.mark.sockets
START = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: 1.2.3\r\n"
HEADS = {
    "length": START + b"Content-Length: 12\r\n\r\n",
    "chunks": START + b"Transfer-Encoding: chunked\r\n\r\n",
    "neither": START + b"Content-Type: text/event-stream\r\n\r\n",
    "interim": b"HTTP/1.1 102 Processing\r\n\r\n"
    + START
    + b"Content-Length: 12\r\n\r\n",
    "line feeds": (START + b"Content-Length: 12\r\n\r\n").replace(b"\r\n", b"\n"),
}
BROKEN_OFF = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectError)


@pytest.mark.parametrize("end", ConnectionEnd)
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_an_answer_that_stops_within_its_head_is_no_answer(head, end):
    """Guards against a success with an empty body made of part of a head."""
    cuts = iter(range(1, len(head)))

    async def serve(stream):
        async with stream:
            await stream.receive()
            await stream.send(head[: next(cuts)])
            if end is ConnectionEnd.RESET:
                reset(stream)

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = HttpEndpointClient()
        call = EndpointCall(f"127.0.0.1:{port}", "GET", "/", (), b"", 1.0, 2.0)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            for cut in range(1, len(head)):
                try:
                    async with client.open(call) as response:
                        parts = [part async for part in response.aiter_stream()]
                        answered.append((cut, response.status, b"".join(parts)))
                except BROKEN_OFF:
                    pass
            group.cancel_scope.cancel()
        await listener.aclose()

    answered = []
    anyio.run(run)
    assert not answered


@pytest.mark.parametrize("end", ConnectionEnd)
@pytest.mark.parametrize("path", ["/stream/notes/1", "/stream/queries/1"])
def test_a_caller_gets_no_success_from_part_of_a_head(path, end):
    """Guards against a success with an empty or short body, framed as whole."""

    async def check(fleet):
        replica = RawReplica(b"", end=end)
        make_head = replica._make_head
        async with open_raw_replica(fleet, "w1", replica):
            for cut in (12, 17, 40, 60, 85, -3, -1):
                replica._make_head = lambda head, cut=cut: make_head(head)[:cut]
                reply = await fleet.send(path, attempt=f"a{cut}")
                assert (reply.status, reply.body) in {(502, b""), (503, b"")}
                assert replica.runs

    run_entry(check, names=("w1",))
