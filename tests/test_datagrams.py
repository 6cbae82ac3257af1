"""Datagrams between routers, over real sockets and over one that fails."""

import anyio
import pytest

from primrosepier.datagrams import DatagramPort, parse_address


class FailingSocket:
    """Socket whose sends fail and which breaks after its datagrams."""

    def __init__(self, received):
        self.received = list(received)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception):
        pass

    async def sendto(self, data, host, port):
        raise OSError("network is unreachable")

    async def receive(self):
        if not self.received:
            await anyio.sleep(0.01)
            raise anyio.BrokenResourceError
        return self.received.pop(0), ("127.0.0.1", 1)


def run_port(port, sockets, handle, duration_s=0.7):
    async def run():
        async def reopen():
            return sockets.pop(0)

        with anyio.move_on_after(duration_s):
            await port.run(await reopen(), reopen, handle)

    anyio.run(run)


def make_port(failures):
    return DatagramPort(lambda: 0.0, lambda reason, count: failures.append(reason))


def test_a_message_that_cannot_be_handled_does_not_end_the_receiver():
    handled, failures = [], []

    async def handle(data):
        handled.append(data)
        raise ValueError(data)

    run_port(make_port(failures), [FailingSocket([b"a", b"b"])] * 2, handle)
    assert handled == [b"a", b"b"]
    assert "ValueError" in failures[0]


def test_a_failed_send_does_not_end_the_sender():
    failures = []
    port = make_port(failures)
    for _ in range(2):
        assert port.send("127.0.0.1:9", b"x")

    async def handle(data):
        pass

    run_port(port, [FailingSocket([])] * 2, handle, 0.1)
    assert "unreachable" in failures[0]
    assert port.unreported_failures == 2


def test_a_broken_socket_is_replaced():
    handled = []

    async def handle(data):
        handled.append(data)

    run_port(make_port([]), [FailingSocket([b"a"]), FailingSocket([b"b"])], handle)
    assert handled == [b"a", b"b"]


def test_datagrams_beyond_the_queue_or_the_size_are_dropped():
    failures = []
    port = make_port(failures)
    assert not port.send("127.0.0.1:9", b"x" * 70_000)
    assert not port.send("name:9", b"x")
    while port.send("127.0.0.1:9", b"x"):
        pass
    assert len(failures) == 1
    assert port.unreported_failures == 2


@pytest.mark.parametrize(
    "text", ["", "1", "host:1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", ":1"]
)
def test_only_an_ip_address_and_a_port_are_an_address(text):
    assert parse_address(text) is None


def test_an_address_is_parsed():
    assert parse_address("10.0.0.1:8080") == ("10.0.0.1", 8080)
