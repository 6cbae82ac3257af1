"""Decoders of bytes that other processes wrote, fed with odd and damaged documents."""

import math

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from primrosepier.addresses import parse_address
from primrosepier.claims import decode_record
from primrosepier.decoding import (
    MAX_COUNT,
    MAX_DEPTH,
    decode_json,
    decode_msgpack,
    is_json,
    parse_count,
)
from primrosepier.errors import MessageError
from primrosepier.forwarding.events import EventStreamMerger
from primrosepier.forwarding.loading_record import decode_loading_record
from primrosepier.forwarding.messages import decode_peer_datagram
from primrosepier.forwarding.peer_reports import decode_report
from primrosepier.forwarding.peers import decode_peer_entry
from primrosepier.forwarding.version_recorder import decode_version_record
from primrosepier.hosts import decode_hosts
from primrosepier.leases import decode_duty
from primrosepier.messages import Exchange, decode_message
from primrosepier.platform.declarations import decode_declaration, decode_weights
from primrosepier.platform.ingress import PlatformRequestReader
from primrosepier.platform.replicas import PlatformDialect, decode_replica
from primrosepier.revisions import decode_configuration, decode_manifest
from primrosepier.rollout import decode_loading_record as decode_rollout_record

REPLICA = {
    "service": "writers",
    "address": "127.0.0.1:8000",
    "zone": "rennes",
    "state": "ready",
    "slots": 4,
    "version": "v1",
    "models": [{"name": "m0", "version": 3}],
    "born": 1000,
}
JSON_DECODERS = {
    "claim": decode_record,
    "configuration": decode_configuration,
    "declaration": decode_declaration,
    "duty": decode_duty,
    "hosts": decode_hosts,
    "loading": decode_loading_record,
    "manifest": decode_manifest,
    "peer": decode_peer_entry,
    "replica": lambda value: decode_replica("w1", value),
    "rollout": decode_rollout_record,
    "versions": decode_version_record,
    "weights": decode_weights,
}
PACKED_DECODERS = {
    "datagram": lambda data: decode_peer_datagram(data, "token"),
    "exchange": lambda data: decode_message(data, Exchange),
    "report": decode_report,
}
DEEP = [
    b"[" * depth + b"]" * depth for depth in (MAX_DEPTH + 1, 1000, 5000, 200_000)
] + [b'{"x":' * 5000 + b"1" + b"}" * 5000]
DEEP_PACKED = [b"\x91" * depth + b"\x01" for depth in (1000, 5000, 60_000)]
FUZZED = settings(max_examples=150, deadline=None, derandomize=True)


def decode_or_reject(decode, data):
    """Return the decoded value, or None for one that is rejected as it should be."""
    try:
        return decode(data)
    except MessageError:
        return None


@pytest.mark.parametrize("name", JSON_DECODERS)
@pytest.mark.parametrize("document", DEEP, ids=len)
def test_a_deeply_nested_document_is_rejected(name, document):
    decode = JSON_DECODERS[name]
    decode_or_reject(decode, document)
    within = b'{"service":"x","extra":' + document + b"}"
    decode_or_reject(decode, within)


@pytest.mark.parametrize("name", PACKED_DECODERS)
@pytest.mark.parametrize("data", DEEP_PACKED, ids=len)
def test_a_deeply_nested_message_is_rejected(name, data):
    decode_or_reject(PACKED_DECODERS[name], data)
    decode_or_reject(PACKED_DECODERS[name], b"\x82\xa5token\xa1x\xa7message" + data)


def test_nesting_is_counted_outside_of_strings():
    brackets = '[{"' * MAX_DEPTH
    assert decode_json(msgspec.json.encode([brackets]), list[str]) == [brackets]
    flat = [[1]] * (2 * MAX_DEPTH)
    assert decode_json(msgspec.json.encode(flat), list[list[int]]) == flat


def test_an_unfinished_string_full_of_escapes_is_rejected_in_linear_time():
    with pytest.raises(MessageError):
        decode_json(b"[" * MAX_DEPTH + b'["' + b'\\"' * 500_000, list[str])


def test_documents_that_are_too_long_are_rejected():
    with pytest.raises(MessageError):
        decode_json(b"[1,2]", list[int], max_bytes=4)
    with pytest.raises(MessageError):
        decode_msgpack(b"\x92\x01\x02", list[int], max_bytes=2)


@pytest.mark.parametrize("data", [b"", b"[", b"\xff", DEEP[3], b"9" * 5000])
def test_data_that_is_no_document_is_not_json(data):
    assert not is_json(data)


@pytest.mark.parametrize("name", JSON_DECODERS)
@FUZZED
@given(data=st.binary(max_size=200))
def test_any_bytes_give_a_value_or_a_message_error(name, data):
    decode_or_reject(JSON_DECODERS[name], data)


@pytest.mark.parametrize("name", PACKED_DECODERS)
@FUZZED
@given(data=st.binary(max_size=200))
def test_any_packed_bytes_give_a_value_or_a_message_error(name, data):
    decode_or_reject(PACKED_DECODERS[name], data)


ODD_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:²",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1: 80",
    "127.0.0.1",
    "10.0.0.1 .2:80",
    "300.0.0.1:80",
    ":80",
    "",
]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda x: x[:20])
def test_an_address_that_can_not_be_connected_to_is_rejected(address):
    document = msgspec.json.encode({**REPLICA, "address": address})
    assert decode_or_reject(JSON_DECODERS["replica"], document) is None
    peer = msgspec.json.encode({"address": address, "token": "token"})
    assert decode_peer_entry(peer) is None


ODD_NUMBERS = ["-1", str(2**63), "1" * 40, "1" * 5000, "1.5", "1e400"]


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda x: x[:20])
@pytest.mark.parametrize("field", ["slots", "born", "version of weights"])
def test_a_number_of_a_replica_out_of_range_is_rejected(field, number):
    document = msgspec.json.encode({**REPLICA, "slots": 7, "born": 8}).decode()
    sample = {"slots": '"slots":7', "born": '"born":8'}.get(field, '"version":3')
    assert sample in document
    odd = document.replace(sample, sample[:-1] + number).encode()
    assert decode_or_reject(JSON_DECODERS["replica"], odd) is None


@pytest.mark.parametrize("version", ["-1", "1" * 40, "1" * 5000, "1e400", "true"])
def test_a_requested_version_of_weights_out_of_range_is_rejected(version):
    document = b'{"model":"m0","version":%s}' % version.encode()
    assert decode_or_reject(decode_weights, document) is None


@pytest.mark.parametrize("name", ["", "w 1", "w\r\n1", "w\u20ac", "w" * 2000])
def test_a_name_that_no_header_can_hold_is_rejected(name):
    with pytest.raises(MessageError):
        decode_replica(name, msgspec.json.encode(REPLICA))
    with pytest.raises(MessageError):
        decode_replica("w1", msgspec.json.encode({**REPLICA, "version": name + "\n"}))


@pytest.mark.parametrize("text", ["²", "9" * 5000, "-1", "", "1_0", "٣", "+1"])
def test_only_ascii_digits_are_parsed_as_a_count(text):
    assert parse_count(text) is None


@pytest.mark.parametrize("value", [b"\xb2", b"9" * 5000, b"-1"])
def test_an_odd_number_in_a_header_is_ignored(value):
    headers = [(b"weight-versions", value), (b"instance-load", value + b",1,1")]
    head = PlatformDialect().read_head(200, headers)
    assert (head.weights, head.load) == (None, None)
    assert (
        decode_or_reject(
            PlatformRequestReader().read_caller_timeout_s,
            {"headers": [(b"deadline-ms", value)]},
        )
        == math.inf
    )


@pytest.mark.parametrize("event_id", [b"\xb2", b"9" * 5000])
def test_an_odd_id_of_an_event_does_not_end_its_stream(event_id):
    merger = EventStreamMerger(last_id="1")
    event = b"id: " + event_id + b"\ndata: x\n\n"
    assert merger.feed(event) == event
    assert merger.feed(b"id: 5\ndata: y\n\n") == b"id: 5\ndata: y\n\n"


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(min_value=-(2**63), max_value=2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=20)
    | st.sampled_from(ODD_ADDRESSES),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@FUZZED
@given(field=st.sampled_from(sorted(REPLICA)), value=VALUES)
def test_a_replica_with_one_odd_field_is_within_bounds_or_rejected(field, value):
    document = msgspec.json.encode({**REPLICA, field: value})
    replica = decode_or_reject(JSON_DECODERS["replica"], document)
    if replica is not None:
        assert parse_address(replica.address)
        assert 1 <= replica.slots <= 10**9
        assert all(0 <= x <= MAX_COUNT for x in replica.weights.values())
        replica.software.encode("latin-1")
