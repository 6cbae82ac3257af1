import anyio
import pytest

from primrosepier.asgi import open_server, send_bytes
from primrosepier.protocol import make_bounded_protocol

pytestmark = pytest.mark.sockets


async def answer(scope, receive, send):
    await send_bytes(send, 200, b"ok")


def exchange(data, header_bytes=200, header_s=5.0):
    """Send bytes and return all bytes received until the connection closes."""

    async def run():
        protocol = make_bounded_protocol(header_bytes, header_s)
        async with (
            open_server(answer, "127.0.0.1:0", protocol=protocol) as address,
            await anyio.connect_tcp("127.0.0.1", int(address.split(":")[1])) as stream,
        ):
            await stream.send(data)
            received = b""
            with anyio.fail_after(5):
                async for part in stream:
                    received += part
            return received

    return anyio.run(run)


def test_a_slow_request_head_is_refused():
    assert exchange(b"GET / HTTP/1.1\r\nx", header_s=0.05).startswith(b"HTTP/1.1 408")


def test_a_connection_without_a_whole_request_line_times_out():
    assert exchange(b"G", header_s=0.05).startswith(b"HTTP/1.1 408")


def test_a_too_large_request_head_is_refused():
    data = b"GET / HTTP/1.1\r\n" + b"x-a: 1\r\n" * 100
    assert exchange(data).startswith(b"HTTP/1.1 431")


def test_a_complete_request_is_answered():
    data = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    assert exchange(data).startswith(b"HTTP/1.1 200")


def test_bytes_that_are_not_http_are_refused():
    assert exchange(b"\x00\xff\x00\r\n\r\n").startswith(b"HTTP/1.1 400")
