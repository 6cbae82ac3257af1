"""Connections of other routers, over real sockets."""

import asyncio

import anyio
import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection

from primrosepier.caller_limits import CallerBudget
from primrosepier.peer_protocol import CONNECTION_BYTES, BoundedServer, bind_listener
from primrosepier.peers import SERVICE, PeerCodec

pytestmark = pytest.mark.sockets
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", f"/{SERVICE}/Exchange"),
    (":authority", "x"),
    ("te", "trailers"),
    ("content-type", "application/grpc+msgpack"),
]


def test_a_call_that_is_reset_before_it_runs_is_released():
    """Guards against memory that is counted for calls that have ended."""

    async def run():
        budget, listener = CallerBudget(), bind_listener("127.0.0.1:0")
        server = BoundedServer([], PeerCodec("key"), budget)
        await server.start_on(listener)
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        peer = H2Connection(H2Configuration(client_side=True))
        peer.initiate_connection()
        writer.write(peer.data_to_send())
        await reader.read(1)
        for _ in range(20):
            stream = peer.get_next_available_stream_id()
            peer.send_headers(stream, HEADERS)
            peer.reset_stream(stream, 8)
        # All frames arrive in one read, before any task runs.
        writer.write(peer.data_to_send())
        await anyio.sleep(0.2)
        assert len(budget.holders) == 1
        assert budget.held_bytes == CONNECTION_BYTES
        writer.close()
        server.close()
        await server.wait_closed()

    anyio.run(run)
