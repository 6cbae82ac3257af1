"""Bytes that the build of commit fb72097 sends and stores, beside those of this one."""

import msgspec
import pytest

from primrosepier.endpoint_limits import SharedLimit
from primrosepier.endpoint_windows import SharedBrittleness
from primrosepier.forwarding.cuts import LinksReply, LinksRequest
from primrosepier.forwarding.loading_record import LoadingRecord
from primrosepier.forwarding.messages import PeerDatagram, decode_peer_datagram
from primrosepier.forwarding.origin_journal import encode_origins
from primrosepier.forwarding.origins import OriginReply, OriginRequest, StreamsBegun
from primrosepier.forwarding.peer_reports import PeerReport, decode_report
from primrosepier.forwarding.peers import PeerEntry, decode_peer_entry
from primrosepier.forwarding.permits import (
    Brittleness,
    PermitRelease,
    PermitReply,
    PermitRequest,
    WindowRequest,
)
from primrosepier.forwarding.prefixes import PrefixUpdate
from primrosepier.forwarding.version_recorder import decode_version_record
from primrosepier.loss_log import LossReport, SharedLoss, SharedRequest
from primrosepier.stream_origins import StreamOrigin, VersionRecord

ORIGIN = StreamOrigin("writers", "v1")
REPORT_HEX = (
    "9aa5746f6b656ea766726f6e742d3181a27731cd07d0919405a2773103c384a766656e63696e67"
    "03a9656e64706f696e747391a27731a66c6f61645f73cb4000000000000000a673657269616c04"
    "81a2773102929193a27731289193079208093281091e81a2773192cb40120000000000001481a2"
    "77319292cb4020000000000000040a81a27731cd05dc"
)
REPORT = PeerReport(
    "token",
    "front-1",
    {"w1": 2000},
    [PrefixUpdate(5, "w1", 3, True)],
    LoadingRecord(3, ["w1"], 2.0, 4),
    {"w1": 2},
    LossReport([SharedLoss("w1", 40, [SharedRequest(7, (8, 9), 50)])], {9: 30}),
    {"w1": SharedLimit(4.5, 20)},
    {"w1": SharedBrittleness(Brittleness(8.0, 4), 10)},
    {"w1": 1500},
)
MESSAGES = [
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676587a474797065a772657175657374a673656e"
        "646572a766726f6e742d31a66e756d62657207a8656e64706f696e74a27731a472616e6b01a56c"
        "696d697492cb401200000000000014a677696e646f779292cb40200000000000000402",
        PermitRequest(
            "front-1",
            7,
            "w1",
            1,
            SharedLimit(4.5, 20),
            WindowRequest(Brittleness(8.0, 4), 2),
        ),
    ),
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676583a474797065a57265706c79a66e756d6265"
        "7207a6776169745f73cb3fd0000000000000",
        PermitReply(7, 0.25),
    ),
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a772656c65617365a673656e"
        "646572a766726f6e742d31a8656e64706f696e74a27731a468656c6402ab7761735f7265667573"
        "6564c3",
        PermitRelease("front-1", "w1", 2, True),
    ),
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676582a474797065a773747265616d73a76f7269"
        "67696e7381a2613192a777726974657273a27631",
        StreamsBegun({"a1": ORIGIN}),
    ),
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a66f726967696ea673656e64"
        "6572a766726f6e742d31a66e756d62657207a463616c6ca26131a8736572766963657391a77772"
        "6974657273",
        OriginRequest("front-1", 7, "a1", ("writers",)),
    ),
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065ac6f726967696e5f7265706c"
        "79a66e756d62657207a66f726967696e92a777726974657273a27631a4736f6c6592a777726974"
        "657273a27631a869735f6d69786564c3",
        OriginReply(7, ORIGIN, ORIGIN, True),
    ),
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a56c696e6b73a673656e6465"
        "72a766726f6e742d31a66e756d62657207a46c6f737491a27731a76c6f73745f6d73ccfa",
        LinksRequest("front-1", 7, ("w1",), 250),
    ),
    (
        "82a5746f6b656ea5746f6b656ea76d65737361676583a474797065ab6c696e6b735f7265706c79"
        "a66e756d62657207ab6861735f72656163686564c3",
        LinksReply(7, True),
    ),
]
PEER_ENTRY = b'{"address":"127.0.0.1:9000","token":"token"}'
VERSIONS = (
    b'{"versions":{"writers":["v1","v2"]},"is_complete":true,"restores":2}',
    VersionRecord({"writers": ("v1", "v2")}, True, 2),
)
STREAMS = b'{"streams":{"writers":{"v1":["a1"]}}}'


def test_reports_keep_their_bytes():
    data = bytes.fromhex(REPORT_HEX)
    assert msgspec.msgpack.encode(REPORT) == data
    report, unreadable = decode_report(data)
    assert not unreadable
    assert msgspec.msgpack.encode(report) == data


@pytest.mark.parametrize(
    ("text", "message"), MESSAGES, ids=lambda x: type(x).__name__ if x else ""
)
def test_messages_keep_their_bytes(text, message):
    data = bytes.fromhex(text)
    assert msgspec.msgpack.encode(PeerDatagram("token", message)) == data
    assert decode_peer_datagram(data, "token") == message


def test_stored_values_keep_their_text():
    text, record = VERSIONS
    assert msgspec.json.encode(record) == text
    assert decode_version_record(text) == record
    assert encode_origins({"a1": ORIGIN}) == STREAMS
    entry = PeerEntry("127.0.0.1:9000", "token")
    assert msgspec.json.encode(entry) == PEER_ENTRY
    assert decode_peer_entry(PEER_ENTRY) == entry
