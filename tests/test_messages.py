import anyio
import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from test_peers import open_peer, wait_for

from primrosepier.errors import MessageError
from primrosepier.messages import (
    ConfigurationReply,
    DigestRecord,
    Exchange,
    MemberRecord,
    PeerCodec,
    ProbeRequest,
    StatusReply,
    decode_message,
    encode_message,
)

MEMBER = MemberRecord("a", "10.0.0.1:1", "d", 7, 0)
EXCHANGE = Exchange(
    MEMBER, 9, 3, [MEMBER], [DigestRecord("load", "a", 7, 1, 1000, b"x")]
)
FIRST_FIELDS = {"Exchange": 4, "MemberRecord": 5, "DigestRecord": 6}


def transcode(value, change):
    """Rebuild a message from its fields, as another release would encode it."""
    if isinstance(value, msgspec.Struct):
        fields = [transcode(item, change) for item in msgspec.structs.astuple(value)]
        return change(type(value).__name__, fields)
    if isinstance(value, list):
        return [transcode(item, change) for item in value]
    return value


def add_fields(name, fields):
    return [*fields, "a later field", {"nested": [1]}]


def drop_fields(name, fields):
    return fields[: FIRST_FIELDS.get(name, len(fields))]


class OtherReleaseCodec(PeerCodec):
    """Codec of a router of another release."""

    def __init__(self, key, change):
        super().__init__(key)
        self.change = change

    def encode(self, message, message_type):
        payload = msgspec.msgpack.encode(transcode(message, self.change))
        return self._compute_mac(payload) + payload


@pytest.mark.parametrize("change", [add_fields, drop_fields])
def test_messages_of_another_release_are_decoded(change):
    data = msgspec.msgpack.encode(transcode(EXCHANGE, change))
    decoded = decode_message(data, Exchange)
    assert decoded.sender == MEMBER
    assert decoded.members == [MEMBER]
    assert decoded.revision == 9


@pytest.mark.sockets
@pytest.mark.parametrize("change", [add_fields, drop_fields])
def test_routers_of_two_releases_work_together(change):
    async def check():
        async with open_peer("a", revision=9) as first:
            codec = OtherReleaseCodec("k", change)
            async with open_peer("b", seeds=(first.address,), codec=codec) as second:
                await wait_for(lambda: first.gossip.board.peers.value == {"b"})
                await wait_for(lambda: second.gossip.board.peers.value == {"a"})
                await wait_for(lambda: second.gossip.configuration_source.revision == 9)

    anyio.run(check)


TYPES = [Exchange, ProbeRequest, StatusReply, ConfigurationReply, MemberRecord]


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.sampled_from(TYPES), st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_message_error(message_type, data):
    try:
        decode_message(data, message_type)
    except MessageError:
        return


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.data())
def test_corrupted_messages_decode_or_raise_message_error(data):
    data_bytes = bytearray(encode_message(EXCHANGE))
    position = data.draw(st.integers(0, len(data_bytes) - 1))
    data_bytes[position] = data.draw(st.integers(0, 255))
    try:
        decode_message(bytes(data_bytes), Exchange)
    except MessageError:
        return


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=100))
def test_bytes_without_the_key_are_refused(data):
    codec = PeerCodec("k")
    with pytest.raises(MessageError):
        codec.decode(data, Exchange)
    assert codec.refused == 1


def test_a_message_that_is_too_long_is_refused():
    with pytest.raises(MessageError):
        decode_message(bytes(4 * 1024 * 1024 + 1), Exchange)
