"""Decoders of bytes that other processes wrote, fed with odd and damaged documents."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from primrosepier.claims import decode_record
from primrosepier.decoding import (
    MAX_DEPTH,
    decode_json,
    decode_msgpack,
    is_json,
)
from primrosepier.errors import MessageError
from primrosepier.forwarding.loading_record import decode_loading_record
from primrosepier.forwarding.messages import decode_peer_datagram
from primrosepier.forwarding.peers import decode_peer_entry, decode_report
from primrosepier.forwarding.version_recorder import decode_version_record
from primrosepier.hosts import decode_hosts
from primrosepier.leases import decode_duty
from primrosepier.messages import Exchange, decode_message
from primrosepier.platform.declarations import decode_declaration, decode_weights
from primrosepier.platform.replicas import decode_replica
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
