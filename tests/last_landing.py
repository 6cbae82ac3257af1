"""What the build of commit 745de5c sends and stores, and the shapes that it reads.

The bytes were recorded from that build, and the shapes and rules copied from it.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from primrosepier.stream_origins import VersionHistory

REPORT_HEX = (
    "98a5746f6b656ea766726f6e742d3181a27731cd07d0919405a2773101c384a766656e63696e"
    "6703a9656e64706f696e747391a27731a66c6f61645f73cb4000000000000000a67365726961"
    "6c0481a2773103929193a27731149193079208097881080f"
    "81a2773192cb401200000000000014"
)
BARE_REPORT_HEX = "98a5746f6b656ea766726f6e742d318090c080c080"
MESSAGES_HEX = {
    "request": (
        "82a5746f6b656ea5746f6b656ea76d65737361676586a474797065a772657175657374a67365"
        "6e646572a766726f6e742d31a66e756d62657207a8656e64706f696e74a27731a472616e6b01"
        "a56c696d697492cb401200000000000014"
    ),
    "reply": (
        "82a5746f6b656ea5746f6b656ea76d65737361676583a474797065a57265706c79a66e756d62"
        "657207a6776169745f73cb3fd0000000000000"
    ),
    "links": (
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a56c696e6b73a673656e64"
        "6572a766726f6e742d31a66e756d62657207a46c6f737491a27731a76c6f73745f6d73ccfa"
    ),
    "links_reply": (
        "82a5746f6b656ea5746f6b656ea76d65737361676583a474797065ab6c696e6b735f7265706c"
        "79a66e756d62657207ab6861735f72656163686564c3"
    ),
    "streams": (
        "82a5746f6b656ea5746f6b656ea76d65737361676582a474797065a773747265616d73a76f72"
        "6967696e7381a2613192a777726974657273a27631"
    ),
    "origin": (
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065a66f726967696ea673656e"
        "646572a766726f6e742d31a66e756d62657207a463616c6ca26131a8736572766963657391a7"
        "77726974657273"
    ),
    "origin_reply": (
        "82a5746f6b656ea5746f6b656ea76d65737361676585a474797065ac6f726967696e5f726570"
        "6c79a66e756d62657207a66f726967696e92a777726974657273a27631a4736f6c65c0a86973"
        "5f6d69786564c3"
    ),
}
PEER_ENTRY = '{"address":"127.0.0.1:9000","token":"token"}'
DUTY_RECORD = '{"host":"entry-1","token":"token","fencing":3}'
LOADING_RECORD = '{"fencing":3,"endpoints":["w1"],"load_s":2.0,"serial":4}'
# Call that was resumed at the router and is passed on with 2.5 s left.
PASSED_ON_HEADERS = [
    ("attempt-id", "a1"),
    ("model", "m0"),
    ("prefix-hash", "a:5,b:7"),
    ("token-usage", "12,40"),
    ("deadline-ms", "2500"),
    ("authorization", "Bearer k1"),
    ("last-event-id", "3"),
    ("resumes", "a1"),
]
SETTINGS_TEXT = """
nodeName = "front-1"
ip = "127.0.0.1"
zone = "rennes"
internalPorts = [7340, 7355]
heartbeatMs = 900
[listen]
frontend = "127.0.0.1:8782"
readiness = "127.0.0.1:8789"
[bounds]
graceS = 9.0
drainMs = 2500
configApplyMs = 1500
strictRevoke = true
revokeMs = 4000
retryBudgetRatio = 0.3
retryBudgetExtra = 5.0
budgetWindowS = 12.0
leaseMs = 3500
versionMs = 6000
[platform]
address = "127.0.0.1:8784"
form = "kv"
writesPerS = 50.0
readsPerS = 250.0
ttlMinMs = 2000
"""
SETTINGS = {
    "host": "front-1",
    "failure_domain": "rennes",
    "callers_address": "127.0.0.1:8782",
    "readiness_address": "127.0.0.1:8789",
    "peers_address": "127.0.0.1:7340",
    "store_address": "127.0.0.1:8784",
    "metrics_address": "127.0.0.1:9464",
    "store_writes_per_s": 50.0,
    "store_reads_per_s": 250.0,
    "shortest_lease_s": 2.0,
    "grace_s": 9.0,
    "revoke_s": 4.0,
    "repeat_ratio": 0.3,
    "repeat_extra": 5.0,
    "repeat_window_s": 12.0,
    "holder_gap_s": 3.5,
    "weights_s": 6.0,
    "apply_s": 1.5,
    "drain_s": 2.5,
    "heartbeat_s": 0.9,
}


class SharedLimit(msgspec.Struct, array_like=True):
    rate_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)] | None
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


class SharedRequest(msgspec.Struct, array_like=True):
    request: int
    parts: tuple[int, ...]
    sent_ms: int


class SharedLoss(msgspec.Struct, array_like=True):
    endpoint: str
    lost_ms: int
    requests: Sequence[SharedRequest]


class LossReport(msgspec.Struct, array_like=True):
    losses: Sequence[SharedLoss] = ()
    answered_ms: Mapping[int, int] = msgspec.field(default_factory=dict)


class LoadingRecord(msgspec.Struct):
    fencing: int
    endpoints: list[str]
    load_s: float
    serial: int = 0


class PeerReport(msgspec.Struct, array_like=True):
    token: str
    sender: str
    tokens: Mapping[str, int]
    prefixes: Sequence[tuple[int, str, int, bool]] = ()
    loading_record: LoadingRecord | None = None
    decoding: Mapping[str, int] = msgspec.field(default_factory=dict)
    losses: LossReport | None = None
    limits: Mapping[str, SharedLimit] = msgspec.field(default_factory=dict)


class StreamOrigin(msgspec.Struct, array_like=True):
    service: str
    software: str


class PermitRequest(msgspec.Struct, tag="request"):
    sender: str
    number: int
    endpoint: str
    rank: Annotated[int, msgspec.Meta(ge=0, lt=2)]
    limit: SharedLimit


class PermitReply(msgspec.Struct, tag="reply"):
    number: int
    wait_s: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)]


class LinksRequest(msgspec.Struct, tag="links"):
    sender: str
    number: int
    lost: tuple[str, ...]
    lost_ms: Annotated[int, msgspec.Meta(ge=0, le=2000)]


class LinksReply(msgspec.Struct, tag="links_reply"):
    number: int
    has_reached: bool


class StreamsBegun(msgspec.Struct, tag="streams"):
    origins: Mapping[str, StreamOrigin]


class OriginRequest(msgspec.Struct, tag="origin"):
    sender: str
    number: int
    call: str
    services: tuple[str, ...]


class OriginReply(msgspec.Struct, tag="origin_reply"):
    number: int
    origin: StreamOrigin | None = None
    sole: StreamOrigin | None = None
    is_mixed: bool = False


class PeerDatagram(msgspec.Struct):
    token: str
    message: (
        PermitRequest
        | PermitReply
        | StreamsBegun
        | OriginRequest
        | OriginReply
        | LinksRequest
        | LinksReply
    )


class PeerEntry(msgspec.Struct):
    address: str
    token: str


class DutyRecord(msgspec.Struct):
    host: str
    token: str
    fencing: int


@dataclass(slots=True)
class SeenVersions(VersionHistory):
    """Takes a version for the only one that was seen alone since the router's start."""

    clock: Callable[[], float] = lambda: 0.0
    seen_since_s: dict[str, float] = field(default_factory=dict)

    def record(self, origins, now_s):
        origins = list(origins)
        for origin in origins:
            self.seen_since_s.setdefault(origin.service, now_s)
        super(SeenVersions, self).record(origins, now_s)

    def apply_record(self, recorded, now_s):
        """Do nothing: this build knows no record."""

    def list_unrecorded(self):
        return set()

    def find_sole(self, service):
        versions = self.seen_at_s.get(service, {})
        if len(versions) != 1 or self.clock() - self.seen_since_s[service] < 10.0:
            return None
        return next(iter(versions))
