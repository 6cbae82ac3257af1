import anyio
import httpcore
import pytest

from primrosepier.asgi import open_server, send_bytes, send_chunk, start_response
from primrosepier.engines import EndpointCall, HttpEndpointClient

pytestmark = pytest.mark.sockets
LARGE = b"x" * 3_000_000


async def serve(scope, receive, send):
    if scope["path"] == "/large":
        await send_bytes(send, 200, LARGE)
    elif scope["path"] == "/slow":
        await start_response(send, 200)
        await send_chunk(send, b"first")
        await anyio.sleep_forever()
    else:
        await send_bytes(send, 200, b"ok")


def run_calls(check):
    async def run():
        async with open_server(serve, "127.0.0.1:0") as address:
            client = HttpEndpointClient()
            await check(client, address)
            await client.close()

    anyio.run(run)


def make_call(address, path="/", request_s=5.0):
    return EndpointCall(address, "GET", path, (), b"", 1.0, request_s)


async def fetch(client, address, path="/", request_s=5.0):
    async with client.open(make_call(address, path, request_s)) as response:
        return b"".join([part async for part in response.aiter_stream()])


def test_connections_are_used_again_and_large_bodies_are_whole():
    async def check(client, address):
        for _ in range(3):
            assert await fetch(client, address) == b"ok"
        assert await fetch(client, address, "/large") == LARGE
        assert len(client.idle[address]) == 1

    run_calls(check)


def test_a_silent_peer_is_a_timeout_and_the_connection_is_dropped():
    async def check(client, address):
        with pytest.raises(httpcore.ReadTimeout):
            await fetch(client, address, "/slow", request_s=0.05)
        assert not client.idle[address]

    run_calls(check)


def test_nobody_listening_is_a_connect_error():
    async def check(client, address):
        with pytest.raises(httpcore.ConnectError):
            await fetch(client, "127.0.0.1:1")

    run_calls(check)
