import contextlib
import os

import anyio
import anyio.abc
import httpcore
import pytest
from raw_replicas import ConnectionEnd, delay_connects, open_full_replica

from primrosepier import endpoint_client
from primrosepier.asgi import open_server, send_bytes, send_chunk, start_response
from primrosepier.endpoint_client import EndpointCall, HttpEndpointClient

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


def test_connections_are_reused_and_large_bodies_are_complete():
    async def check(client, address):
        for _ in range(3):
            assert await fetch(client, address) == b"ok"
        assert await fetch(client, address, "/large") == LARGE
        assert len(client.idle[address]) == 1

    run_calls(check)


def test_connections_stay_within_the_limit_of_all_addresses(monkeypatch):
    """Guards against idle connections to many replicas that use up all descriptors."""

    async def run():
        async with contextlib.AsyncExitStack() as stack:
            addresses = [
                await stack.enter_async_context(open_server(serve, "127.0.0.1:0"))
                for _ in range(6)
            ]
            client = HttpEndpointClient(max_connections=4)

            def list_kept():
                kept = [x for x, idle in client.idle.items() for _ in idle]
                assert sorted(kept) == sorted(client.idle_addresses.values())
                return sorted(kept)

            for address in addresses:
                await fetch(client, address)
                assert client.connections == len(list_kept()) <= 4
            assert list_kept() == sorted(addresses[2:])
            async with client.open(make_call(addresses[5], "/slow")):
                # It is in use: only idle ones are closed for others.
                for address in addresses[:3]:
                    await fetch(client, address)
                    assert client.connections == 1 + len(list_kept()) <= 4
                assert list_kept() == sorted(addresses[:3])
            assert client.connections == 3
            assert not await client.probe("127.0.0.1:1", 0.5)
            assert await client.probe(addresses[3], 0.5)
            assert client.connections == len(list_kept()) <= 4
            monkeypatch.setattr(endpoint_client, "SPARE_CONNECTIONS", 1)
            async with contextlib.AsyncExitStack() as calls:
                for address in addresses[:5]:
                    call = client.open(make_call(address, "/slow"))
                    await calls.enter_async_context(call)
                assert client.connections == 5
                with pytest.raises(httpcore.PoolTimeout):
                    await fetch(client, addresses[5])
            assert client.connections == 0
            await client.close()
            assert client.connections == 0

    anyio.run(run)


def test_a_probe_is_not_refused_for_the_limit_of_connections(monkeypatch):
    """Guards against sound replicas that count as lost since too many calls run."""
    monkeypatch.setattr(endpoint_client, "SPARE_CONNECTIONS", 0)

    async def check(client, address):
        client.max_connections = 1
        async with client.open(make_call(address, "/slow")):
            with pytest.raises(httpcore.PoolTimeout):
                await fetch(client, address)
            assert await client.probe(address, 0.5)

    run_calls(check)


def test_an_unresponsive_peer_times_out_and_its_connection_is_closed():
    async def check(client, address):
        with pytest.raises(httpcore.ReadTimeout):
            await fetch(client, address, "/slow", request_s=0.05)
        assert not client.idle[address]

    run_calls(check)


def test_a_refused_connection_raises_a_connect_error():
    async def check(client, address):
        with pytest.raises(httpcore.ConnectError):
            await fetch(client, "127.0.0.1:1")

    run_calls(check)


def run_with_responses(responses, check):
    """Serve fixed responses, one per request; None closes the connection."""

    async def run():
        connections = []

        async def serve_raw(stream):
            connections.append(stream)
            async with stream:
                for response in responses:
                    if response is None:
                        return
                    try:
                        await stream.receive()
                    except anyio.EndOfStream:
                        return
                    await stream.send(response)
                await anyio.sleep(0.2)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve_raw)
            client = HttpEndpointClient()
            await check(client, f"127.0.0.1:{port}", connections)
            await client.close()
            group.cancel_scope.cancel()

    anyio.run(run)


RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_a_connection_with_data_after_the_answer_is_not_reused():
    async def check(client, address, connections):
        assert await fetch(client, address) == b"ok"
        assert await fetch(client, address) == b"ok"
        assert len(connections) == 2

    run_with_responses([RESPONSE + RESPONSE.replace(b"ok", b"no"), None], check)


def test_an_answer_without_a_length_ends_when_the_connection_closes():
    async def check(client, address, connections):
        assert await fetch(client, address) == b"all of it"
        assert not client.idle[address]

    run_with_responses([b"HTTP/1.1 200 OK\r\n\r\nall of it", None], check)


def test_a_truncated_answer_raises_an_error():
    async def check(client, address, connections):
        with pytest.raises(httpcore.RemoteProtocolError):
            await fetch(client, address)

    run_with_responses([RESPONSE.replace(b"2", b"9"), None], check)


def test_a_connection_is_not_reused_after_its_keep_alive_time_out():
    async def check(client, address, connections):
        now_s = [0.0]
        client.clock = lambda: now_s[0]
        for _ in range(2):
            assert await fetch(client, address) == b"ok"
        assert len(connections) == 1
        now_s[0] += 0.9
        assert await fetch(client, address) == b"ok"
        assert len(connections) == 2

    head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
    run_with_responses([RESPONSE.replace(b"HTTP/1.1 200 OK\r\n", head)] * 3, check)


def test_unresponsive_connections_are_aborted():
    async def check(client, address, connections):
        ended = []

        async def hang():
            call = EndpointCall(
                address, "GET", "/", (), b"", 1.0, 30.0, repeatable=True
            )
            with pytest.raises(httpcore.RemoteProtocolError):
                async with client.open(call):
                    pass
            ended.append(True)

        async with anyio.create_task_group() as group:
            group.start_soon(hang)
            await anyio.sleep(0.15)
            assert client.abort_unresponsive(address, 10.0) == 0
            assert client.abort_unresponsive(address, 0.1) == 1
        assert ended

    run_with_responses([b"", b""], check)


def test_an_aborted_answer_without_a_length_is_not_complete():
    async def check(client, address, connections):
        call = EndpointCall(address, "GET", "/", (), b"", 1.0, 30.0, repeatable=True)
        async with client.open(call) as response:
            parts = response.aiter_stream()
            assert await anext(parts) == b"a part"
            assert client.abort_unresponsive(address, 0.0) == 1
            with pytest.raises(httpcore.RemoteProtocolError):
                await anext(parts)

    run_with_responses([b"HTTP/1.1 200 OK\r\n\r\na part", b""], check)


def read_endless(head, endless):
    """Read a response that never ends; return how many bytes the peer could send."""
    sent = 0

    async def serve_endless(stream):
        nonlocal sent
        async with stream:
            await stream.receive()
            await stream.send(head)
            with contextlib.suppress(anyio.BrokenResourceError):
                while True:
                    await stream.send(endless)
                    sent += len(endless)

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve_endless)
            client = HttpEndpointClient()
            with anyio.fail_after(4.0), pytest.raises(BROKEN_OFF):
                await fetch(client, f"127.0.0.1:{port}", request_s=3.0)
            await client.close()
            group.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(run)
    return sent


# What the socket buffers of both ends hold, and what is read at a time.
MAX_ENDLESS_BYTES = 16 * 1024 * 1024
BROKEN_OFF = (httpcore.NetworkError, httpcore.ProtocolError)
LINE = b"x" * 8000


@pytest.mark.parametrize(
    ("head", "endless"),
    [
        (b"", LINE),
        (b"HTTP/1.1 200 OK\r\nX: ", LINE),
        (b"HTTP/1.1 200 OK\r\n", b"X: " + LINE + b"\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    ],
    ids=["no head", "one header", "many headers", "interim responses"],
)
def test_a_response_head_without_end_is_given_up(head, endless):
    assert read_endless(head, endless) < MAX_ENDLESS_BYTES


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "head",
    [CHUNKED + b"5;", CHUNKED + b"5\r\nhello\r\n0\r\nX: "],
    ids=["chunk extension", "trailer"],
)
def test_framing_without_end_is_given_up(head):
    assert read_endless(head, LINE) < MAX_ENDLESS_BYTES


@pytest.mark.parametrize("end", ConnectionEnd)
def test_a_connection_that_the_peer_ends_at_once_raises_a_connect_error(
    monkeypatch, end
):
    """Guards against an error that no caller handles and that ends the router."""
    delay_connects(monkeypatch)

    async def run():
        async with open_full_replica(end) as address:
            client = HttpEndpointClient()
            with pytest.raises(httpcore.ConnectError):
                await fetch(client, address)
            assert not await client.probe(address, 1.0)
            assert not any(client.idle.values())

    anyio.run(run)


def count_descriptors():
    return len(os.listdir("/proc/self/fd"))


def test_an_idle_connection_that_the_peer_closes_gives_up_its_socket():
    """Guards against sockets of replicas that have left, up to the limit of all."""

    async def run():
        client = HttpEndpointClient()
        async with open_server(serve, "127.0.0.1:0") as address:
            for _ in range(3):
                assert await fetch(client, address) == b"ok"
            before = count_descriptors()
            assert len(client.idle[address]) == 1
        await anyio.sleep(0.1)
        assert not client.idle[address]
        # The connection, its other end and the listening socket.
        assert count_descriptors() <= before - 3

    anyio.run(run)


def test_idle_connections_to_other_addresses_and_expired_ones_are_closed():
    async def check(client, address):
        now_s = [0.0]
        client.clock = lambda: now_s[0]
        assert await fetch(client, address) == b"ok"
        client.prune({address})
        assert len(client.idle[address]) == 1
        client.prune({"127.0.0.1:1"})
        assert address not in client.idle
        assert await fetch(client, address) == b"ok"
        now_s[0] += 60.0
        client.prune({address})
        assert not client.idle[address]

    run_calls(check)


def test_replacements_of_replicas_leave_no_descriptors():
    """Guards against a router without descriptors after many replacements."""

    async def run():
        client = HttpEndpointClient()
        counts = []
        for _ in range(100):
            async with open_server(serve, "127.0.0.1:0") as address:
                async with anyio.create_task_group() as group:
                    for _ in range(8):
                        group.start_soon(fetch, client, address)
                client.prune({address})
            counts.append(count_descriptors())
        await anyio.sleep(0.1)
        assert max(counts) - counts[0] <= 16

    anyio.run(run)
