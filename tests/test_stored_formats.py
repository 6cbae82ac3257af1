"""Bytes that release 0.1.0 and the last landing stored, sent and logged.

Routers of two releases run beside each other during a rolling upgrade. After a field of
a message or of a stored value was renamed or moved, the other release would miss or
misread it.
"""

import hashlib
import importlib
from dataclasses import asdict, replace

import anyio
import last_landing
import msgspec
import pytest

import primrosepier.forwarding.records  # noqa: F401
import primrosepier.forwarding.room.records  # noqa: F401
from primrosepier.claims import ClaimRecord
from primrosepier.configuration import encode_configuration, load_configuration
from primrosepier.decoding import parse_count
from primrosepier.demo import find_example
from primrosepier.drift import MissCause
from primrosepier.drift_controller import DayEntry
from primrosepier.endpoint_limits import SharedLimit
from primrosepier.endpoint_windows import Brittleness, SharedBrittleness
from primrosepier.errors import MessageError
from primrosepier.forwarding.calls import Call
from primrosepier.forwarding.cuts import LinksReply, LinksRequest
from primrosepier.forwarding.declarations import RetryPolicy, Route
from primrosepier.forwarding.loading_record import (
    LOADING_RECORD_KEY,
    LoadingRecord as WeightsLoadingRecord,
    decode_loading_record,
)
from primrosepier.forwarding.losses.messages import ReportedLoss
from primrosepier.forwarding.messages import PeerDatagram
from primrosepier.forwarding.origin_journal import STREAMS_PREFIX, StoredStreams
from primrosepier.forwarding.origins import OriginReply, OriginRequest, StreamsBegun
from primrosepier.forwarding.peer_headers import NOT_RUN_HEADER, TOKEN_HEADER
from primrosepier.forwarding.peer_relay import make_peer_relay
from primrosepier.forwarding.peer_reports import (
    PeerReport,
    decode_report,
    encode_report,
)
from primrosepier.forwarding.peers import (
    ROUTERS_PREFIX,
    PeerDirectory,
    PeerEntry,
    PeerExchange,
)
from primrosepier.forwarding.permits import (
    PermitRelease,
    PermitReply,
    PermitRequest,
    WindowRequest,
)
from primrosepier.forwarding.prefixes import PrefixIndex, PrefixUpdate
from primrosepier.forwarding.quotas.reports import QuotaReport, WorkspaceTotals
from primrosepier.forwarding.replica_load import ReplicaLoadTable
from primrosepier.forwarding.room.demand import ServiceRates
from primrosepier.forwarding.room.messages import (
    PrefillRelease,
    PrefillReply,
    PrefillRequest,
)
from primrosepier.forwarding.version_recorder import VERSIONS_KEY
from primrosepier.leases import (
    DutyRecord,
    compute_next_fencing,
    decode_duty,
    make_duty_key,
    make_fencing_key,
)
from primrosepier.leaving_controller import LeavingDigest
from primrosepier.load_reports import SharedLoad
from primrosepier.log_events import Event
from primrosepier.loss_log import LossReport, SharedLoss, SharedRequest
from primrosepier.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    DigestRecord,
    Exchange,
    MemberRecord,
    ProbeReply,
    ProbeRequest,
    StatusReply,
    StatusRequest,
)
from primrosepier.mirror import Mirror
from primrosepier.platform.ingress import PlatformRequestReader
from primrosepier.platform.replicas import PlatformDialect
from primrosepier.platform.settings import parse_entry_settings
from primrosepier.revisions import ChangeRecord, Manifest
from primrosepier.rollout import LoadingRecord
from primrosepier.sharing import SharedRate, SharedSuspicion
from primrosepier.store import Item
from primrosepier.stream_origins import StreamOrigin, VersionRecord

MEMBER = MemberRecord("entry-1", "127.0.0.1:8081", "Rennes", 7, 1)
DIGEST = DigestRecord("load", "entry-1", 7, 3, 5000, b"\x01\x02", True)
LOADING = WeightsLoadingRecord(3, ["w1"], 2.0, 4)

MEMBER_HEX = "95a7656e7472792d31ae3132372e302e302e313a38303831a652656e6e65730701"
MESSAGES = [
    (
        Exchange(MEMBER, 11, 99, [MEMBER], [DIGEST], True),
        f"96{MEMBER_HEX}0b6391{MEMBER_HEX}"
        "9197a46c6f6164a7656e7472792d310703cd1388c4020102c3c3",
    ),
    (ProbeRequest(MEMBER, MEMBER), f"92{MEMBER_HEX}{MEMBER_HEX}"),
    (ProbeReply(True), "91c3"),
    (ConfigurationRequest(11), "910b"),
    (ConfigurationReply(11, b"x"), "920bc40178"),
    (StatusRequest(), "90"),
    (
        StatusReply(MEMBER, "0.1.0", 11, True, False, [MEMBER], ["w1"]),
        f"97{MEMBER_HEX}a5302e312e300bc3c291{MEMBER_HEX}91a27731",
    ),
    (SharedSuspicion(12, ["w1"], True, 2.5), "940c91a27731c3cb4004000000000000"),
    (SharedRate("notes", 2.5), "92a56e6f746573cb4004000000000000"),
    (SharedLoad("w1", 2, 1, 40), "94a27731020128"),
    (LeavingDigest(["w1"], ["w2"]), "9291a2773191a27732"),
    (
        DayEntry("notes", 1, 100, 60, {MissCause.EVICTION: 40}),
        "95a56e6f74657301643c81a86576696374696f6e28",
    ),
    (
        PeerReport(
            "token",
            "front-1",
            {"w1": 2000},
            [PrefixUpdate(5, "w1", 1, True)],
            LOADING,
            {"w1": 3},
            LossReport(
                [SharedLoss("w1", 20, [SharedRequest(7, (8, 9), 120)])], {8: 15}
            ),
            {"w1": SharedLimit(4.5, 20)},
            {"w1": SharedBrittleness(Brittleness(8.0, 4), 20)},
            {"w1": 2500},
        ),
        "9aa5746f6b656ea766726f6e742d3181a27731cd07d0919405a2773101c384a766656e63696e"
        "6703a9656e64706f696e747391a27731a66c6f61645f73cb4000000000000000a67365726961"
        "6c0481a2773103929193a27731149193079208097881080f"
        "81a2773192cb401200000000000014"
        "81a277319292cb40200000000000000414"
        "81a27731cd09c4",
    ),
    (
        PeerDatagram(
            "token", PermitRequest("front-1", 7, "w1", 1, SharedLimit(4.5, 20))
        ),
        "82a5746f6b656ea5746f6b656ea76d65737361676586a474797065a772657175657374a67365"
        "6e646572a766726f6e742d31a66e756d62657207a8656e64706f696e74a27731a472616e6b01"
        "a56c696d697492cb401200000000000014",
    ),
    (
        PeerDatagram("token", PermitRelease("front-1", "w1", 3, True)),
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a772656c65617365a67365"
        "6e646572a766726f6e742d31a8656e64706f696e74a27731a468656c6403ab7761735f726566"
        "75736564c3",
    ),
    (
        PeerDatagram(
            "token",
            PermitRequest(
                "front-1",
                7,
                "w1",
                0,
                SharedLimit(None, 20),
                WindowRequest(Brittleness(8.0, 4), 3),
            ),
        ),
        "82a5746f6b656ea5746f6b656ea76d65737361676587a474797065a772657175657374a67365"
        "6e646572a766726f6e742d31a66e756d62657207a8656e64706f696e74a27731a472616e6b00"
        "a56c696d697492c014a677696e646f779292cb40200000000000000403",
    ),
    (
        PeerDatagram("token", PermitReply(7, 0.25)),
        "82a5746f6b656ea5746f6b656ea76d65737361676583a474797065a57265706c79a66e756d62"
        "657207a6776169745f73cb3fd0000000000000",
    ),
    (
        PeerDatagram(
            "token",
            PrefillRequest("front-1", 7, "w1", 17020, 317, 1200, 1, True, 48200.0),
        ),
        "82a5746f6b656ea5746f6b656ea76d6573736167658aa474797065af70726566696c6c5f7265"
        "7175657374a673656e646572a766726f6e742d31a66e756d62657207a8656e64706f696e74a2"
        "7731a6746f6b656e73cd427ca96275646765745f6d73cd013da66475655f6d73cd04b0a77572"
        "67656e637901a57761697473c3ac746f6b656e735f7065725f73cb40e7890000000000",
    ),
    (
        PeerDatagram(
            "token",
            PrefillReply(7, 0.25, 48200.0),
        ),
        "82a5746f6b656ea5746f6b656ea76d65737361676584a474797065ad70726566696c6c5f7265"
        "706c79a66e756d62657207a6776169745f73cb3fd0000000000000ac746f6b656e735f706572"
        "5f73cb40e7890000000000",
    ),
    (
        PeerDatagram(
            "token",
            PrefillRelease("front-1", 7, "w1", 353, False),
        ),
        "82a5746f6b656ea5746f6b656ea76d65737361676586a474797065af70726566696c6c5f7265"
        "6c65617365a673656e646572a766726f6e742d31a66e756d62657207a8656e64706f696e74a2"
        "7731aa70726566696c6c5f6d73cd0161ab6c61636b65645f726f6f6dc2",
    ),
    (
        PeerDatagram("token", LinksRequest("front-1", 7, ("w1",), 250)),
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a56c696e6b73a673656e64"
        "6572a766726f6e742d31a66e756d62657207a46c6f737491a27731a76c6f73745f6d73ccfa",
    ),
    (
        PeerDatagram("token", LinksReply(7, True)),
        "82a5746f6b656ea5746f6b656ea76d65737361676583a474797065ab6c696e6b735f7265706c"
        "79a66e756d62657207ab6861735f72656163686564c3",
    ),
    (
        PeerDatagram("token", StreamsBegun({"a1": StreamOrigin("writers", "v1")})),
        "82a5746f6b656ea5746f6b656ea76d65737361676582a474797065a773747265616d73a76f72"
        "6967696e7381a2613192a777726974657273a27631",
    ),
    (
        PeerDatagram("token", OriginRequest("front-1", 7, "a1", ("writers",))),
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a66f726967696ea673656e"
        "646572a766726f6e742d31a66e756d62657207a463616c6ca26131a8736572766963657391a7"
        "77726974657273",
    ),
    (
        PeerDatagram(
            "token", OriginReply(7, StreamOrigin("writers", "v1"), None, True)
        ),
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065ac6f726967696e5f726570"
        "6c79a66e756d62657207a66f726967696e92a777726974657273a27631a4736f6c65c0a86973"
        "5f6d69786564c3",
    ),
]
STORED = [
    (LoadingRecord("2", 3), '{"version":"2","fencing":3}'),
    (
        ClaimRecord("req-1", "entry-1", True),
        '{"request":"req-1","router":"entry-1","completed":true}',
    ),
    (
        DutyRecord("entry-1", "token", 3),
        '{"host":"entry-1","token":"token","fencing":3}',
    ),
    (LOADING, '{"fencing":3,"endpoints":["w1"],"load_s":2.0,"serial":4}'),
    (
        VersionRecord({"writers": ("v1", "v2")}, True),
        '{"versions":{"writers":["v1","v2"]},"is_complete":true}',
    ),
    (
        StoredStreams({"writers": {"v1": ["a1", "a2"]}}),
        '{"streams":{"writers":{"v1":["a1","a2"]}}}',
    ),
    (
        PeerEntry("127.0.0.1:9000", "token"),
        '{"address":"127.0.0.1:9000","token":"token"}',
    ),
    (
        Manifest(11, ("abc",), (ChangeRecord("c1", 11, "op"),)),
        '{"revision":11,"chunks":["abc"],"notes":[{"id":"c1","revision":11,"author":"op"}]}',
    ),
]
EXAMPLE_SHA256 = "5881ba0d18ff1b0f0b4711979bef7dfec06146f2d8098ef2877bdc5ca9f8051e"
MISS_CAUSES = ["eviction", "endpoint churn", "weights change", "split", "spill"]
EVENT_FIELDS = {
    "AttemptEnded": (
        "request attempt endpoint outcome step reason cached_tokens headers_s"
    ),
    "AttemptStarted": "request attempt endpoint hop",
    "CallEnded": (
        "request route workspace outcome status step peer reason attempts "
        "prompt_tokens first_byte_s duration_s declaration heard_age_s "
        "output_limit last_event framed within_event"
    ),
    "CallFailed": "request errors",
    "CallLost": "request attempt endpoint duration_s fingerprints",
    "CallPassedOn": "request attempt peer",
    "CallPlaced": (
        "request attempt service endpoint kind candidates outstanding "
        "pending_tokens report_age_s remaining_s uncached_tokens "
        "peer_tokens decoding software resumed_call weights_lag_s forecast_wait_s "
        "backoff_s resting slowness"
    ),
    "CallRejected": "request status code declaration heard_age_s",
    "CallRepeated": "request attempt endpoint outcome reason",
    "CallWithdrawn": "request attempt endpoint wait_s weights_lag_s",
    "ClaimSettled": "request workspace result duration_s",
    "ConnectionsLimited": "reason count connections held_bytes",
    "ContactChanged": "in_touch reason",
    "DecisionMade": (
        "request workspace service attempt endpoint prefix_blocks anchor_level "
        "prompt_tokens expected_cached_tokens reason candidates seen views"
    ),
    "DatagramsDropped": "reason count",
    "DeclarationTaken": "version routes workspaces",
    "DutyChanged": "duty fencing held",
    "EngineAnswered": "request result",
    "EntryUnreadable": "key reason",
    "EventsDropped": "count",
    "FleetChanged": "added removed known",
    "MirrorFailed": "errors",
    "MetricsUnserved": "address reason",
    "BrittlenessChanged": "endpoint refusals_per_s",
    "HelperGivenUp": "router reason age_s",
    "LimitChanged": "endpoint rate_per_s",
    "LinksChanged": "is_cut lost helpers",
    "PermitRefused": "request endpoint rate_per_s wait_s",
    "PrefillRejected": "request endpoint tokens wait_s remaining_s",
    "ReplicasDivided": "service short replicas short_per_s long_per_s",
    "PrefillWaited": "request endpoint tokens wait_s asked",
    "PromiseBroken": "promise request reason",
    "QuarantineChanged": "added ended",
    "QuotaExceeded": (
        "request workspace cost probability asked_per_s rate_per_s available "
        "retry_after_s"
    ),
    "QuotaLimitChanged": "workspace is_limited rejected",
    "QuotaShareChanged": "share routers silent",
    "ReplicaGivenUp": "endpoint calls",
    "LossUnconfirmed": "endpoint reporter",
    "ReplicaLost": "endpoint born_ms reporter",
    "ReplicaReached": "endpoint lost_s",
    "ReplicaLeaving": "endpoint service born_ms",
    "RequestEnded": (
        "request workspace service outcome step peer reason prompt_tokens "
        "cached_tokens duration_s ttft_s"
    ),
    "RequestReceived": "request",
    "RequestRefused": "request status code",
    "RestRequested": "request endpoint retry_after rest_s",
    "RetryChosen": "request attempt after reason",
    "ReuseObserved": (
        "request workspace service endpoint prompt_tokens "
        "expected_cached_tokens cached_tokens"
    ),
    "RouterEnded": "",
    "RouterFailed": "errors",
    "RouterStarted": "callers_address failure_domain",
    "RouterStopping": "calls_in_progress grace_s",
    "SectionWritten": "section revision",
    "SettingsRead": "changed error",
    "SlideFound": "workspace prefix_level base_rate recent_rate cause",
    "StreamTakenUp": "request resumed_call software result",
    "StreamsUnstored": "reason",
    "TaskFailed": "errors",
    "VersionsRecorded": "versions is_complete",
    "VersionsUnrecorded": "reason",
    "WeightsOrdered": "endpoint model weights fencing outcome",
    "WeightsRequested": "model weights age_s",
}


@pytest.mark.parametrize(
    ("message", "data"), MESSAGES, ids=lambda value: type(value).__name__
)
def test_messages_between_routers_keep_their_bytes(message, data):
    assert msgspec.msgpack.encode(message).hex() == data
    assert msgspec.msgpack.decode(bytes.fromhex(data), type=type(message)) == message


def test_reports_of_routers_that_count_no_decoded_calls_are_read():
    report = PeerReport("token", "front-1", {"w1": 2000}, [], LOADING, {"w1": 3})
    array = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
    data = msgspec.msgpack.encode(array[:5])
    read = msgspec.msgpack.decode(data, type=PeerReport)
    assert read == msgspec.structs.replace(report, decoding={})


def test_reports_of_routers_that_report_no_losses_are_read():
    losses = LossReport([SharedLoss("w1", 20, [])])
    report = PeerReport("token", "front-1", {}, [], LOADING, {"w1": 3}, losses)
    array = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
    data = msgspec.msgpack.encode(array[:6])
    read = msgspec.msgpack.decode(data, type=PeerReport)
    assert read == msgspec.structs.replace(report, losses=None)


def test_reports_of_routers_that_know_no_limits_are_read():
    report = PeerReport("token", "front-1", {}, [], LOADING, {"w1": 3}, None)
    array = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
    data = msgspec.msgpack.encode(array[:7])
    assert msgspec.msgpack.decode(data, type=PeerReport) == report


def test_reports_and_routers_that_know_no_brittleness_read_each_other():
    brittle = {"w1": SharedBrittleness(Brittleness(8.0, 4), 20)}
    report = PeerReport("token", "front-1", {}, [], LOADING, {"w1": 3}, None, {})
    known = msgspec.structs.replace(report, brittle=brittle)
    earlier_fields = [
        (field.name, field.type) for field in msgspec.structs.fields(PeerReport)[:8]
    ]
    earlier = msgspec.defstruct("EarlierReport", earlier_fields, array_like=True)
    data = msgspec.msgpack.encode(known)
    read = msgspec.msgpack.decode(data, type=earlier)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(read), type=PeerReport) == (
        report
    )


def test_reports_and_routers_that_share_no_waits_read_each_other():
    report = PeerReport("token", "front-1", {}, [], LOADING, {"w1": 3}, None, {})
    known = msgspec.structs.replace(report, waits_ms={"w1": 2500})
    earlier_fields = [
        (field.name, field.type) for field in msgspec.structs.fields(PeerReport)[:9]
    ]
    earlier = msgspec.defstruct("EarlierReport", earlier_fields, array_like=True)
    data = msgspec.msgpack.encode(known)
    read = msgspec.msgpack.decode(data, type=earlier)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(read), type=PeerReport) == (
        report
    )


def test_reports_and_routers_that_know_no_sections_read_each_other():
    report = PeerReport("token", "front-1", {}, [], LOADING, {"w1": 3}, None, {})
    assert encode_report(report, {}) == msgspec.msgpack.encode(report)
    data = encode_report(report, {"x": b"content"})
    assert msgspec.msgpack.decode(data, type=PeerReport) == report
    assert decode_report(msgspec.msgpack.encode(report)) == (report, [])


@pytest.mark.parametrize(
    ("content", "text"),
    [
        (
            QuotaReport(5, 1200, [WorkspaceTotals("litter", 400, 900, 10, 20, 300, 5)]),
            "9305cd04b09197a66c6974746572cd0190cd03840a14cd012c05",
        ),
        ([ReportedLoss("w1", 1700)], "9192a27731cd06a4"),
        (
            [ServiceRates("writers", 300, 900, 48200)],
            "9194a777726974657273cd012ccd0384cdbc48",
        ),
    ],
    ids=["q", "u", "d"],
)
def test_sections_of_reports_keep_their_bytes(content, text):
    """Guards against routers of two builds that misread each other's sections."""
    data = msgspec.msgpack.encode(content)
    assert data.hex() == text
    schema = list[type(content[0])] if isinstance(content, list) else type(content)
    read = msgspec.msgpack.decode(data, type=schema)
    assert read == content
    entries = msgspec.msgpack.decode(data)
    last = entries[-1] if isinstance(content, list) else entries
    last.append("from a later build")
    longer = msgspec.msgpack.encode(entries)
    assert msgspec.msgpack.decode(longer, type=schema) == content


class CountingSection:
    """Section that counts the contents it was given, and can't read some of them."""

    name = "x"

    def __init__(self):
        self.applied = []

    def must_report(self, now_s):
        return not self.applied

    def make(self, now_s):
        return b"content"

    def apply(self, sender, content, now_s):
        if content == b"odd":
            raise MessageError("odd")
        self.applied.append((sender, content))


def test_unknown_and_unreadable_sections_leave_the_rest_of_a_report():
    section = CountingSection()
    exchange = PeerExchange(
        PeerDirectory("front-1", None, "127.0.0.1:1", "token"),
        ReplicaLoadTable(),
        PrefixIndex(),
        lambda: 0.0,
        sections=(section,),
    )
    assert exchange.must_report({})
    for sections in ({"x": b"odd"}, {"y": b"unknown"}, {"x": b"content"}):
        report = PeerReport("token", "front-2", {"w1": 2000})
        exchange.receive(encode_report(report, sections))
        assert exchange.loads.count_peer_tokens("w1", 0.0) == 2000
    assert section.applied == [("front-2", b"content")]
    assert exchange.loads.rejected_reports == 0


def test_requests_for_windows_ask_earlier_routers_for_a_permit():
    request = PermitRequest(
        "front-1",
        7,
        "w1",
        0,
        SharedLimit(None, 20),
        WindowRequest(Brittleness(8.0, 4), 3),
    )
    earlier_fields = [
        (field.name, field.type) for field in msgspec.structs.fields(PermitRequest)[:5]
    ]
    earlier = msgspec.defstruct("EarlierRequest", earlier_fields, tag="request")
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(request), type=earlier)
    assert (read.endpoint, read.limit) == ("w1", SharedLimit(None, 20))


@pytest.mark.parametrize(
    ("value", "text"), STORED, ids=lambda value: type(value).__name__
)
def test_stored_values_keep_their_text(value, text):
    assert msgspec.json.encode(value).decode() == text
    assert msgspec.json.decode(text, type=type(value)) == value


def test_stored_keys_and_miss_causes_stay():
    assert make_duty_key("x") == "/primrosepier/state/duties/x"
    assert make_fencing_key("x") == "/primrosepier/fencing/x"
    assert VERSIONS_KEY == "/primrosepier/state/software-versions"
    assert STREAMS_PREFIX == "/primrosepier/state/streams/"
    assert LOADING_RECORD_KEY == "/primrosepier/state/weights-orders"
    assert ROUTERS_PREFIX == "/primrosepier/state/routers/"
    assert [cause.value for cause in MissCause] == MISS_CAUSES


def test_an_example_is_stored_as_the_same_bytes():
    data = encode_configuration(load_configuration([find_example("keranvel")]))
    assert hashlib.sha256(data).hexdigest() == EXAMPLE_SHA256


def list_events(base):
    for kind in base.__subclasses__():
        yield kind
        yield from list_events(kind)


def test_log_events_keep_their_names_and_fields():
    # Imports the modules of all events; other tests need not have done so.
    importlib.import_module("primrosepier.log_lines")
    found = {
        kind.__name__: " ".join(f.encode_name for f in msgspec.structs.fields(kind))
        for kind in list_events(Event)
        if kind.__module__.startswith("primrosepier.")
    }
    assert found == EVENT_FIELDS


def contains(whole, part):
    """Return whether plain data has all that the other has, and at most adds to it."""
    if isinstance(part, dict):
        return part.keys() <= whole.keys() and all(
            contains(whole[key], value) for key, value in part.items()
        )
    if isinstance(part, list):
        return len(whole) >= len(part) and all(map(contains, whole, part))
    return whole == part


def is_kept(data, kind):
    """Return whether reading MessagePack data as a type loses nothing of it."""
    read = msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=kind))
    return contains(msgspec.msgpack.decode(read), msgspec.msgpack.decode(data))


REPORTS_HEX = [last_landing.REPORT_HEX, last_landing.BARE_REPORT_HEX]


@pytest.mark.parametrize("data", REPORTS_HEX)
def test_reports_of_the_last_landing_are_read(data):
    assert is_kept(bytes.fromhex(data), PeerReport)


@pytest.mark.parametrize("tag", last_landing.MESSAGES_HEX)
def test_messages_of_the_last_landing_are_read(tag):
    assert is_kept(bytes.fromhex(last_landing.MESSAGES_HEX[tag]), PeerDatagram)


@pytest.mark.parametrize(
    "message", [m for m, _ in MESSAGES if isinstance(m, PeerReport | PeerDatagram)]
)
def test_the_last_landing_reads_messages_or_knows_that_it_does_not(message):
    data = msgspec.msgpack.encode(message)
    kind = getattr(last_landing, type(message).__name__)
    plain = msgspec.msgpack.decode(data)
    tag = plain["message"]["type"] if isinstance(plain, dict) else None
    if tag is not None and tag not in last_landing.MESSAGES_HEX:
        with pytest.raises(msgspec.ValidationError):
            msgspec.msgpack.decode(data, type=kind)
        return
    read = msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=kind))
    assert contains(plain, msgspec.msgpack.decode(read))


STORED_BY_BOTH = [
    (last_landing.PEER_ENTRY, PeerEntry, last_landing.PeerEntry),
    (last_landing.DUTY_RECORD, DutyRecord, last_landing.DutyRecord),
    (last_landing.LOADING_RECORD, WeightsLoadingRecord, last_landing.LoadingRecord),
]


@pytest.mark.parametrize(("text", "kind", "last_kind"), STORED_BY_BOTH)
def test_stored_values_are_read_by_both_builds(text, kind, last_kind):
    written = msgspec.json.encode(msgspec.json.decode(text, type=kind))
    assert contains(msgspec.json.decode(written), msgspec.json.decode(text))
    read = msgspec.json.encode(msgspec.json.decode(written, type=last_kind))
    assert msgspec.json.decode(read) == msgspec.json.decode(text)


def add_unknown_field(text):
    return msgspec.json.encode(msgspec.json.decode(text) | {"later": [1]})


@pytest.mark.parametrize(
    ("value", "text"), STORED, ids=lambda value: type(value).__name__
)
def test_unknown_fields_of_stored_values_are_ignored(value, text):
    assert msgspec.json.decode(add_unknown_field(text), type=type(value)) == value


def test_records_with_unknown_fields_are_used():
    directory = PeerDirectory("front-1", None, "127.0.0.1:1")
    key = f"{ROUTERS_PREFIX}front-2"
    item = Item(key, add_unknown_field(last_landing.PEER_ENTRY), 1)
    directory.update(Mirror(ROUTERS_PREFIX, {key: item}))
    assert directory.peers == {"front-2": PeerEntry("127.0.0.1:9000", "token")}
    duty = decode_duty(add_unknown_field(last_landing.DUTY_RECORD))
    assert duty == DutyRecord("entry-1", "token", 3)
    data = add_unknown_field(last_landing.LOADING_RECORD)
    assert decode_loading_record(data) == LOADING


def handle(data):
    """Return how many datagrams a router rejects and the tokens it is told of."""
    directory = PeerDirectory("front-2", None, "127.0.0.1:1", "token")
    loads = ReplicaLoadTable()
    exchange = PeerExchange(directory, loads, PrefixIndex(), lambda: 0.0)
    anyio.run(exchange.handle, data)
    return loads.rejected_reports, loads.count_peer_tokens("w1", 0.0)


@pytest.mark.parametrize(
    "message", [{"type": "later"}, {"type": 7}, {"number": 7, "wait_s": 0.0}]
)
def test_datagrams_with_unknown_messages_are_dropped_and_counted(message):
    data = msgspec.msgpack.encode({"token": "token", "message": message})
    assert handle(data) == (1, 0)


@pytest.mark.parametrize("tag", last_landing.MESSAGES_HEX)
def test_messages_with_unknown_fields_are_read(tag):
    plain = msgspec.msgpack.decode(bytes.fromhex(last_landing.MESSAGES_HEX[tag]))
    plain["message"]["later"] = plain["later"] = [1]
    assert handle(msgspec.msgpack.encode(plain)) == (0, 0)


def test_reports_with_a_further_field_are_applied():
    data = bytes.fromhex(last_landing.REPORT_HEX)
    report = msgspec.msgpack.decode(data, type=PeerReport)
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
    assert handle(msgspec.msgpack.encode([*plain, {"later": 1}])) == (0, 2000)


@pytest.mark.parametrize("count", range(3, 8))
def test_reports_without_the_last_fields_are_applied(count):
    plain = msgspec.msgpack.decode(bytes.fromhex(last_landing.REPORT_HEX))
    assert handle(msgspec.msgpack.encode(plain[:count])) == (0, 2000)


def test_parts_of_reports_with_further_fields_are_applied():
    plain = msgspec.msgpack.decode(bytes.fromhex(last_landing.REPORT_HEX))
    plain[4]["later"] = 1
    (update,), losses, limits = plain[3], plain[6], plain[7]
    for array in (update, losses, losses[0][0], losses[0][0][2][0], limits["w1"]):
        array.append({"later": 1})
    assert handle(msgspec.msgpack.encode(plain)) == (0, 2000)


REPORT_PARTS = {
    "prefixes": 3,
    "loading_record": 4,
    "decoding": 5,
    "losses": 6,
    "limits": 7,
    "brittle": 8,
}


@pytest.mark.parametrize("value", ["later", [{"later": 1}], {"w1": {"later": 1}}])
@pytest.mark.parametrize("name", REPORT_PARTS)
def test_an_unreadable_part_does_not_cost_the_rest_of_a_report(name, value):
    plain = msgspec.msgpack.decode(bytes.fromhex(last_landing.REPORT_HEX))
    plain = [*plain, {}]
    plain[REPORT_PARTS[name]] = value
    directory = PeerDirectory("front-2", None, "127.0.0.1:1", "token")
    records = []
    exchange = PeerExchange(
        directory,
        ReplicaLoadTable(),
        PrefixIndex(),
        lambda: 0.0,
        apply_loading_record=records.append,
    )
    failures = []
    exchange.port.notify_failure = lambda *failure: failures.append(failure)
    anyio.run(exchange.handle, msgspec.msgpack.encode(plain))
    assert failures == [(f"unreadable in a report: {name}", 1)]
    assert exchange.loads.rejected_reports == 0
    assert exchange.loads.count_peer_tokens("w1", 0.0) == 2000
    assert exchange.loads.count_decoding("w1", 0.0) == (0 if name == "decoding" else 3)
    assert records == ([] if name == "loading_record" else [LOADING])
    assert len(exchange.prefixes.holders) == (0 if name == "prefixes" else 1)
    assert bool(exchange.loss_log.losses) == (name != "losses")


def test_pending_tokens_that_cannot_be_read_do_not_cost_the_rest_of_a_report():
    plain = msgspec.msgpack.decode(bytes.fromhex(last_landing.REPORT_HEX))
    plain[2] = {"w1": "later"}
    assert handle(msgspec.msgpack.encode(plain)) == (0, 0)


@pytest.mark.parametrize("index", [0, 1])
def test_reports_without_a_readable_token_or_sender_are_rejected(index):
    plain = msgspec.msgpack.decode(bytes.fromhex(last_landing.REPORT_HEX))
    plain[index] = [1]
    assert handle(msgspec.msgpack.encode(plain)) == (1, 0)


def make_passed_on_call():
    route = Route("notes", "h", "/", (("writers", 1),), RetryPolicy.NEVER)
    headers = tuple(
        (name.encode(), value.encode())
        for name, value in last_landing.PASSED_ON_HEADERS[:4]
    )
    target = "/stream/notes"
    return Call("a1", "POST", target, headers, b"", route, None, 0.0, 9.0, api_key="k1")


def test_calls_are_passed_on_with_the_headers_of_the_last_landing():
    headers = PlatformDialect().write_caller_headers(make_passed_on_call(), 2.5, "3")
    assert set(headers) >= set(last_landing.PASSED_ON_HEADERS)
    assert TOKEN_HEADER == b"x-router-token"


def test_calls_that_the_last_landing_passes_on_are_read():
    passed_on = [(n.encode(), v.encode()) for n, v in last_landing.PASSED_ON_HEADERS]
    scope = {
        "method": "POST",
        "raw_path": b"/stream/notes",
        "query_string": b"",
        "headers": passed_on,
    }
    sent = make_passed_on_call()
    call = PlatformRequestReader().make_call(scope, b"", sent.route, None, 1.0)
    assert (call.id, call.deadline_s, call.api_key) == ("a1", 3.5, "k1")
    assert (call.resume_after, call.resumed_call) == ("3", "a1")
    assert (call.model, call.output_limit) == ("m0", 40)
    assert [(part.id, part.tokens) for part in call.parts] == [("a", 5), ("b", 7)]
    assert set(call.headers) >= set(sent.headers)


def test_the_mark_of_calls_that_have_not_run_is_read():
    assert NOT_RUN_HEADER == b"x-router-not-run"
    relay = make_peer_relay(None, PlatformDialect(), None, lambda: 0.0)
    marked = relay.sender.dialect.read_head(503, [(b"X-Router-Not-Run", b"1")])
    unmarked = relay.sender.dialect.read_head(503, [])
    assert (marked.not_run, unmarked.not_run) == (True, False)


def test_the_leaving_replica_that_another_router_names_is_read():
    process = ("w 1", 1764547200000)
    headers = [(b"x-router-leaving", b"w 1 1764547200000"), (b"server-leaving", b"1")]
    relay = make_peer_relay(None, PlatformDialect(), None, lambda: 0.0)
    head = relay.sender.dialect.read_head(200, headers)
    assert (head.leaving_process, head.headers) == (process, tuple(headers[1:]))
    for value in (b"", b"w1", b"w1 x"):
        head = relay.sender.dialect.read_head(200, [(b"X-Router-Leaving", value)])
        assert (head.leaving_process, head.headers) == (None, ())
    # The build of the last landing names none.
    assert relay.sender.dialect.read_head(200, headers[1:]).leaving_process is None


def test_headers_that_later_routers_add_to_responses_are_not_relayed():
    relay = make_peer_relay(None, PlatformDialect(), None, lambda: 0.0)
    headers = [(b"X-Router-Later", b"1"), (b"server", b"s")]
    head = relay.sender.dialect.read_head(200, headers)
    assert head.headers == ((b"server", b"s"),)


def test_headers_of_callers_do_not_pass_for_those_of_routers():
    relay = make_peer_relay(None, PlatformDialect(), None, lambda: 0.0)
    call = make_passed_on_call()
    forged = replace(call, headers=(*call.headers, (b"x-router-later", b"1")))
    dialect = relay.sender.dialect
    headers = dialect.write_caller_headers(call, 2.5, "3")
    assert dialect.write_caller_headers(forged, 2.5, "3") == headers
    assert set(headers) >= set(last_landing.PASSED_ON_HEADERS)


def test_settings_files_of_the_last_landing_keep_their_meaning():
    settings = parse_entry_settings(last_landing.SETTINGS_TEXT.encode(), "node.toml")
    assert asdict(settings).items() >= last_landing.SETTINGS.items()


def test_fencing_numbers_after_restores_are_read_by_both_builds():
    """Guards against a number that a build of the last landing can't go on from."""
    number = compute_next_fencing(3, 1000)
    assert number > compute_next_fencing(compute_next_fencing(3, 999), 999)
    # JSON readers represent integers up to 2^53 exactly.
    assert number < 2**53
    # The last landing read a counter of up to 18 digits, and added one.
    assert len(str(number)) <= 18
    assert parse_count(str(number).encode()) == number
    assert compute_next_fencing(number + 1, 1000) == number + 2
    duty = msgspec.json.encode(DutyRecord("entry-1", "token", number))
    assert msgspec.json.decode(duty, type=last_landing.DutyRecord).fencing == number
    loading = msgspec.json.encode(WeightsLoadingRecord(number, ["w1"], 2.0, 4))
    last = msgspec.json.decode(loading, type=last_landing.LoadingRecord)
    assert last.fencing == number
