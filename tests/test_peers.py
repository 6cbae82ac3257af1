import asyncio
import contextlib
from types import SimpleNamespace

import anyio
import pytest

from primrosepier.board import make_board
from primrosepier.gossip import make_gossip
from primrosepier.messages import Exchange, MemberRecord, PeerCodec, ProbeRequest
from primrosepier.peers import (
    PeerFailure,
    bind_listener,
    make_transport,
    open_peer_server,
)
from primrosepier.settings import RouterSettings

pytestmark = pytest.mark.sockets


class FakeConfigurationSource:
    def __init__(self, revision):
        self.revision = revision

    def export(self, revision):
        return (self.revision, b"data") if self.revision > revision else None

    def apply_export(self, revision, data):
        self.revision = revision
        return True


@contextlib.asynccontextmanager
async def open_peer(name, key="k", revision=0, seeds=(), codec=None):
    settings = RouterSettings(name, "d", "", "", "", peers=seeds, peer_key=key)
    listener = bind_listener("127.0.0.1:0")
    address = "{}:{}".format(*listener.getsockname())
    transport = make_transport(key)
    transport.codec = codec or transport.codec
    gossip = make_gossip(
        settings,
        address,
        transport,
        FakeConfigurationSource(revision),
        make_board(),
        lambda: True,
        lambda: False,
    )
    async with open_peer_server(gossip, transport.codec, listener):
        async with anyio.create_task_group() as group:
            group.start_soon(gossip.run)
            yield SimpleNamespace(gossip=gossip, address=address, transport=transport)
            group.cancel_scope.cancel()
        transport.close()


async def wait_for(condition):
    with anyio.fail_after(20):
        while not condition():
            await anyio.sleep(0.01)


def test_a_router_without_configuration_fetches_it_from_a_peer():
    async def check():
        async with (
            open_peer("a", revision=9) as first,
            open_peer("b", seeds=(first.address,)) as second,
        ):
            await wait_for(lambda: second.gossip.configuration_source.revision == 9)
            await wait_for(lambda: first.gossip.board.peers.value == {"b"})

    anyio.run(check)


def test_urgent_digests_reach_the_neighbours_before_the_push_ends():
    async def check():
        async with (
            open_peer("a") as first,
            open_peer("b", seeds=(first.address,)) as second,
        ):
            await wait_for(lambda: second.gossip.board.peers.value == {"a"})
            digests = second.gossip.membership.digests
            digests.publish("suspects", b"1", 60.0, anyio.current_time(), urgent=True)
            assert await second.gossip.push() == 1
            received = first.gossip.membership.digests.read("suspects", 0.0)
            assert received["b"].record.data == b"1"

    anyio.run(check)


def test_a_peer_with_another_key_is_refused():
    async def check():
        async with open_peer("a") as first:
            other = make_transport("other")
            message = Exchange(MemberRecord("b", "127.0.0.1:1"))
            reply = await other.exchange(first.address, message, 5.0)
            other.close()
            assert isinstance(reply, PeerFailure)
            assert first.transport.codec.refused == 1
            assert not first.gossip.membership.members

    anyio.run(check)


class CountingCodec(PeerCodec):
    """Codec that counts the messages it decodes."""

    decoded = 0

    def decode(self, data, message_type):
        self.decoded += 1
        return super().decode(data, message_type)


def test_a_message_that_is_too_long_is_refused_before_it_is_read():
    async def check():
        codec = CountingCodec("k")
        async with open_peer("a", codec=codec) as first:
            sender = make_transport("k")
            request = ProbeRequest(MemberRecord("b"), MemberRecord("x" * 2**23))
            reply = await sender.probe(first.address, request, 5.0)
            assert isinstance(reply, PeerFailure)
            assert codec.decoded == 0
            message = Exchange(MemberRecord("b", "127.0.0.1:1"))
            reply = await sender.exchange(first.address, message, 5.0)
            sender.close()
            assert isinstance(reply, Exchange)

    anyio.run(check)


def test_a_call_to_an_unresponsive_peer_does_not_cancel_surrounding_tasks():
    async def check():
        listener = bind_listener("127.0.0.1:0")
        address = "{}:{}".format(*listener.getsockname())
        transport = make_transport("k")
        message = Exchange(MemberRecord("b", "127.0.0.1:1"))
        reply = await transport.exchange(address, message, 0.1)
        assert isinstance(reply, PeerFailure)
        assert asyncio.current_task().cancelling() == 0
        transport.close()
        listener.close()

    anyio.run(check)
