"""Registration of routers and the reports that they send each other.

A router knows its own calls at once, but learns of its peers' calls only seconds later,
from the loads that replicas report. Each router therefore sends its peers datagrams
that report the prompt tokens that each replica has yet to prefill for it, the calls
that each replica decodes for it, its updates of the prefix index, its loading record,
the calls that it lost with their replicas, the limits that replicas named and how long
its calls wait at replicas with old weights. The next report replaces one that was lost,
except for the updates, which are sent once. Among many routers, loads and prefixes are
passed on by the collectors of groups. Messages about permits and the origins of streams
use the same socket.
"""

import math
import random
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from anyio.abc import UDPSocket

from ..addresses import parse_address
from ..clocks import Clock
from ..datagrams import DatagramPort, OpenSocket
from ..decoding import decode_json
from ..endpoint_limits import SharedLimit
from ..endpoint_windows import SharedBrittleness
from ..errors import MessageError
from ..ids import EndpointId, FailureDomain, HostId
from ..loss_log import LossLog
from ..mirror import Mirror
from ..revisions import STATE_PREFIX
from ..store import Applied, Item, LeaseGranted, LeaseLost, Put, Store
from .loading_record import LoadingRecord
from .messages import (
    PeerDatagram,
    PeerMessage,
    decode_peer_datagram,
    is_peer_datagram,
)
from .peer_relay import PeerAddress
from .peer_reports import (
    PeerReport,
    ReportSection,
    apply_sections,
    decode_report,
    encode_report,
    make_sections,
)
from .permits import PermitExchange, PermitMessage
from .prefixes import PrefixIndex
from .replica_load import MS, PeerLoad, ReplicaLoadTable
from .report_groups import (
    CollectedReports,
    GroupReport,
    Reach,
    ReportCollector,
    ReportPlan,
    plan_reports,
    unpack_reports,
)

__all__ = [
    "PeerDirectory",
    "PeerEntry",
    "PeerExchange",
    "decode_peer_entry",
]

ROUTERS_PREFIX = STATE_PREFIX + "routers/"
TOKEN_BYTES = 8
# Time to live of a router's entry. Once it has expired, the others divide the router's
# part of call rates and retries. A renewal that fails after 1.5 s is repeated in time.
ENTRY_TTL_S = 6.0
RENEWAL_INTERVAL_S = 3.0
RETRY_INTERVAL_S = 1.0
# Routers that start together register at random times within this interval, which is
# short enough that all are registered before callers connect.
START_JITTER_S = 1.0
# Bounds of the time between two reports while there are pending tokens or replicas are
# loading weights.
MIN_REPORT_INTERVAL_S = 0.02
MAX_REPORT_INTERVAL_S = 0.5
# Shortest time between two reports to the collectors of a group, and between two
# times that these pass reports on, seconds.
GROUP_INTERVAL_S = 0.25
COLLECT_INTERVAL_S = 0.1
# Rate of datagrams to all peers together.
DATAGRAMS_PER_S = 400.0
# Smallest number of pending tokens of a replica that is reported, and smallest change
# that is reported at once: about what several engines together prefill in a
# millisecond.
MIN_REPORTED_TOKENS = 1000
# Time after a registration in which other routers that start together register and
# are read from the store, seconds.
SETTLING_S = 2.0
# Routers that are no longer registered whose entries are kept.
MAX_FORMER = 256

ReceiveMessage = Callable[[Any], Awaitable[None]]


class PeerEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """A router's entry in the store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for datagrams, and for calls that are passed on.
    token : str
        Secret that peers copy from this entry into their messages to the router, to
        show that they can read the store.
    failure_domain : FailureDomain or None
        None for a router of a build that passes no reports on.
    """

    address: str
    token: str
    failure_domain: FailureDomain | None = None


def make_no_loading_record() -> LoadingRecord | None:
    """Return None: this router never holds the weights duty."""
    return None


def list_no_waits() -> dict[EndpointId, float]:
    """Return no waits; used where no weights version is required."""
    return {}


def ignore_loading_record(loading_record: LoadingRecord) -> None:
    """Ignore a peer's loading record."""


def never_recovers() -> float:
    """Return infinity; used where the store loses no entries."""
    return math.inf


def ignore_key(key: str) -> None:
    """Do nothing; used where no one follows unreadable entries."""


def decode_peer_entry(value: bytes) -> PeerEntry | None:
    """Return the entry in a stored value, or None if the value is malformed."""
    try:
        entry = decode_json(value, PeerEntry)
    except MessageError:
        return None
    return entry if parse_address(entry.address) is not None else None


@dataclass(slots=True)
class PeerDirectory:
    """Registers this router in the store and lists its peers.

    Entries that disappear around an outage or a restore of the store may belong to
    routers that could not renew them. These count as peers for as long as the entry of
    a router that has failed.

    Parameters
    ----------
    compute_recovery_s : callable
        Returns the time since the store last lost or may have lost entries, seconds.
    notify_unreadable : callable
        Called with the key of an entry that can't be read.
    failure_domain : FailureDomain or None

    Attributes
    ----------
    decoded : dict of str to (Item, PeerEntry or None)
        Entries of the routers by key, kept to decode only those that changed.
    former : dict of HostId to PeerEntry
        Last entries of routers that are no longer registered, the newest last.
    plan : ReportPlan or None
        Whom this router reports to; None if all report to each other.
    listed : dict of HostId to PeerEntry
        The other routers whose entries are in the store.
    is_listed : bool
        Whether this router's entry is in the store.
    registered_at_s : float
        Time at which this router's entry was first seen in the store, seconds.
    unlisted : anyio.Event
        Set when the entry of this router has disappeared from the store.
    """

    host: HostId
    store: Store
    address: str
    token: str = field(default_factory=lambda: secrets.token_hex(TOKEN_BYTES))
    peers: dict[HostId, PeerEntry] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)
    is_registered: bool = False
    decoded: dict[str, tuple[Item, PeerEntry | None]] = field(default_factory=dict)
    notify_unreadable: Callable[[str], None] = ignore_key
    former: dict[HostId, PeerEntry] = field(default_factory=dict)
    failure_domain: FailureDomain | None = None
    plan: ReportPlan | None = None
    compute_recovery_s: Callable[[], float] = never_recovers
    clock: Clock = time.monotonic
    listed: dict[HostId, PeerEntry] = field(default_factory=dict)
    is_listed: bool = False
    registered_at_s: float = math.inf
    unlisted: anyio.Event = field(default_factory=anyio.Event)

    def update(self, mirror: Mirror) -> None:
        """Update the peers from the entries of the store."""
        decoded = {}
        for key, item in mirror.select(ROUTERS_PREFIX).items():
            previous_item, entry = self.decoded.get(key, (None, None))
            if previous_item != item:
                entry = self._decode(item)
            decoded[key] = item, entry
        self.decoded = decoded
        self.listed = {
            HostId(key[len(ROUTERS_PREFIX) :]): entry
            for key, (_, entry) in decoded.items()
            if entry is not None
        }
        is_listed = self.listed.pop(self.host, None) is not None
        if is_listed:
            self.registered_at_s = min(self.registered_at_s, self.clock())
        elif self.is_listed:
            self.unlisted.set()
        self.is_listed = is_listed
        self.is_registered = is_listed or (self.is_registered and self._is_recovering())
        self.refresh()

    def _is_recovering(self) -> bool:
        return self.compute_recovery_s() < ENTRY_TTL_S

    def refresh(self) -> None:
        """Drop the peers that have not registered again in time."""
        peers = {**self.peers, **self.listed} if self._is_recovering() else self.listed
        former = {**self.former, **self.peers}
        names = [host for host in former if host not in peers][-MAX_FORMER:]
        self.former = {host: former[host] for host in names}
        if peers != self.peers:
            domains = {host: entry.failure_domain for host, entry in peers.items()}
            domains[self.host] = self.failure_domain
            self.plan = plan_reports(self.host, domains)
        self.peers = dict(peers)

    def find(self, host: HostId) -> PeerEntry | None:
        """Return a router's entry, also if it has expired.

        A router that is cut off from the store can't renew its entry, and still asks
        and answers the others.
        """
        return self.peers.get(host) or self.former.get(host)

    def _decode(self, item: Item) -> PeerEntry | None:
        entry = decode_peer_entry(item.value)
        if entry is None:
            self.notify_unreadable(item.key)
        return entry

    def count_routers(self) -> int:
        """Return the number of known routers, including this one."""
        return 1 + len(self.peers)

    def is_settled(self) -> bool:
        """Return whether routers that started with this one are known by now."""
        return self.clock() >= self.registered_at_s + SETTLING_S

    def list_addresses(self) -> dict[HostId, PeerAddress]:
        """Return where the other routers accept calls that are passed on to them."""
        return {
            host: PeerAddress(entry.address, entry.token)
            for host, entry in self.peers.items()
        }

    def list_hosts(self) -> set[HostId]:
        """Return the registered routers, with this one if it is registered."""
        return {*self.peers, *((self.host,) if self.is_registered else ())}

    async def run(self) -> None:
        """Keep this router registered until cancelled."""
        await anyio.sleep(self.rng.uniform(0.0, START_JITTER_S))
        while True:
            granted = await self.store.grant_lease(ENTRY_TTL_S)
            if isinstance(granted, LeaseGranted) and await self._register(
                granted.lease
            ):
                await self._renew(granted)
            await anyio.sleep(RETRY_INTERVAL_S * self.rng.uniform(0.5, 1.5))

    async def _register(self, lease: int) -> bool:
        value = msgspec.json.encode(
            PeerEntry(self.address, self.token, self.failure_domain)
        )
        put = Put(ROUTERS_PREFIX + self.host, value, lease)
        return isinstance(await self.store.transact([], [put]), Applied)

    async def _renew(self, granted: LeaseGranted) -> None:
        """Renew the lease of the entry until the entry or the lease is lost."""
        self.unlisted, pause_s = anyio.Event(), RENEWAL_INTERVAL_S
        while not self.unlisted.is_set():
            with anyio.move_on_after(pause_s):
                await self.unlisted.wait()
            renewed = await self.store.keep_alive(granted.lease)
            if isinstance(renewed, LeaseLost):
                return
            pause_s = RETRY_INTERVAL_S
            if isinstance(renewed, LeaseGranted):
                if renewed.restores != granted.restores:
                    return  # The lease may have been granted to a peer since.
                pause_s = RENEWAL_INTERVAL_S


@dataclass(slots=True)
class PeerExchange:
    """Sends reports to peers and applies theirs.

    Parameters
    ----------
    make_loading_record : callable
        Returns this router's current loading record, or None if it does not hold the
        weights duty.
    apply_loading_record : callable
        Called with each loading record that a peer reports.
    loss_log : LossLog
    permits : PermitExchange or None
        None where no replica names a limit.
    receivers : Mapping of type to callable
        Called with the messages of their types; others are ignored.
    list_waits : callable
        Returns how long calls wait at replicas with old weights, seconds.
    sections : sequence of ReportSection
        Parts that add a section to each report.

    Attributes
    ----------
    reported_tokens : dict of EndpointId to int
        Pending tokens in the last report that was sent.
    reported_sort_key : (int, int)
        Fencing number and serial of the last loading record that was sent.
    informed_tokens : set of str
        Tokens of the peers that were sent what crashes replicas.
    port : DatagramPort
    collector : ReportCollector
        Reports that wait to be passed on.
    collected : anyio.Event
        Set when there is one.
    group_reports : int
        Number of reports sent to collectors. It stands in place of their token, so that
        no two are equal; their datagrams have the receiver's token.
    """

    directory: PeerDirectory
    loads: ReplicaLoadTable
    prefixes: PrefixIndex
    clock: Clock
    make_loading_record: Callable[[], LoadingRecord | None] = make_no_loading_record
    apply_loading_record: Callable[[LoadingRecord], None] = ignore_loading_record
    loss_log: LossLog = field(default_factory=LossLog)
    permits: PermitExchange | None = None
    receivers: Mapping[type, ReceiveMessage] = field(default_factory=dict)
    list_waits: Callable[[], Mapping[EndpointId, float]] = list_no_waits
    sections: Sequence[ReportSection] = ()
    reported_tokens: dict[EndpointId, int] = field(default_factory=dict)
    reported_sort_key: tuple[int, int] = (0, 0)
    informed_tokens: set[str] = field(default_factory=set)
    port: DatagramPort = field(init=False)
    collector: ReportCollector = field(default_factory=ReportCollector)
    collected: anyio.Event = field(default_factory=anyio.Event)
    group_reports: int = 0

    def __post_init__(self) -> None:
        self.port = DatagramPort(self.clock)

    def list_pending_tokens(self) -> dict[EndpointId, int]:
        """Return the pending tokens of each replica that has enough to report."""
        return {
            endpoint: load.pending_tokens
            for endpoint, load in self.loads.loads.items()
            if load.pending_tokens >= MIN_REPORTED_TOKENS
        }

    def list_decoding(self) -> dict[EndpointId, int]:
        """Return this router's calls whose output each replica generates."""
        return {
            endpoint: load.decoding
            for endpoint, load in self.loads.loads.items()
            if load.decoding
        }

    def _must_repeat(self, pending_tokens: Mapping[EndpointId, int]) -> bool:
        """Return whether the report must be repeated before it expires at the peers."""
        loading_record = self.make_loading_record()
        return bool(pending_tokens or self.list_decoding() or self.list_waits()) or (
            loading_record is not None and bool(loading_record.endpoints)
        )

    def must_report(self, pending_tokens: Mapping[EndpointId, int]) -> bool:
        """Return whether there is a change to report at once."""
        endpoints = pending_tokens.keys() | self.reported_tokens.keys()
        loading_record = self.make_loading_record()
        if (
            loading_record is not None
            and loading_record.sort_key > self.reported_sort_key
        ):
            return True
        if self.prefixes.pending_updates or self.loss_log.must_report(self.clock()):
            return True
        if any(part.must_report(self.clock()) for part in self.sections):
            return True
        if self.permits is not None and (
            self.permits.limits.must_report() or self.permits.windows.must_report()
        ):
            return True
        has_news = self.loss_log.causes or self._list_limits() or self._list_brittle()
        if has_news and self._list_uninformed():
            return True
        return any(
            abs(pending_tokens.get(endpoint, 0) - self.reported_tokens.get(endpoint, 0))
            >= MIN_REPORTED_TOKENS
            for endpoint in endpoints
        )

    def _list_limits(self) -> Mapping[EndpointId, SharedLimit]:
        if self.permits is None:
            return {}
        return self.permits.limits.make_summary(self.clock())

    def _list_brittle(self) -> Mapping[EndpointId, SharedBrittleness]:
        if self.permits is None:
            return {}
        return self.permits.windows.make_summary(self.clock())

    def _list_uninformed(self) -> set[str]:
        """Return the tokens of peers that have started since the last report."""
        tokens = {entry.token for entry in self.directory.peers.values()}
        return tokens - self.informed_tokens

    def request_report(self) -> None:
        """Wake the sender, so that it reports a change without waiting."""
        self.loads.changed.set()

    async def run(self, socket: UDPSocket, reopen: OpenSocket) -> None:
        """Send and receive reports until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.port.run, socket, reopen, self.handle)
            group.start_soon(self._pass_on_collected)
            await self._send_changes()

    async def _pass_on_collected(self) -> None:
        """Pass on what members of the group and other collectors report."""
        sent_at_s = self.clock()
        while True:
            await self.collected.wait()
            await anyio.sleep(max(0.0, sent_at_s + COLLECT_INTERVAL_S - self.clock()))
            sent_at_s = self.clock()
            self.collected = anyio.Event()
            plan = self.directory.plan
            if plan is not None:
                for host, message in self.collector.take(plan):
                    await self.send_message(host, message)

    async def _send_changes(self) -> None:
        sent_at_s = self.clock()
        while True:
            with anyio.move_on_after(MAX_REPORT_INTERVAL_S):
                await self.loads.changed.wait()
            self.loads.changed = anyio.Event()
            interval_s = self._compute_interval_s()
            await self._wait_for_turn(sent_at_s, sent_at_s + interval_s)
            pending_tokens = self.list_pending_tokens()
            must_repeat = (
                self.clock() > sent_at_s + MAX_REPORT_INTERVAL_S
                and self._must_repeat(pending_tokens)
            )
            if must_repeat or self.must_report(pending_tokens):
                sent_at_s = self.clock()
                await self._report(pending_tokens)

    def _compute_interval_s(self) -> float:
        """Return the time between two reports, seconds."""
        if self.directory.plan is not None and not self._concerns_all():
            return GROUP_INTERVAL_S
        return max(MIN_REPORT_INTERVAL_S, len(self.directory.peers) / DATAGRAMS_PER_S)

    async def _report(self, pending_tokens: dict[EndpointId, int]) -> None:
        """Report to all routers, or to the collectors of the group.

        What keeps limits, permits, rollouts and quarantines goes to all at once.
        """
        plan = self.directory.plan
        if plan is None or self._concerns_all():
            for entry, data in self.make_reports(pending_tokens):
                self.port.send(entry.address, data)
            return
        self.informed_tokens = {x.token for x in self.directory.peers.values()}
        self.reported_tokens = pending_tokens
        self.group_reports += 1
        report = PeerReport(
            str(self.group_reports),
            self.directory.host,
            pending_tokens,
            self.prefixes.take_updates(),
            None,
            self.list_decoding(),
        )
        data = encode_report(report, make_sections(self.sections, self.clock()))
        for host in plan.collectors:
            await self.send_message(host, GroupReport(data))
        if plan.is_collector:
            self._collect(data)

    def _concerns_all(self) -> bool:
        """Return whether a report holds more than loads and prefixes."""
        if self.make_loading_record() is not None or self.list_waits():
            return True
        if self.loss_log.must_report(self.clock()):
            return True
        if self.permits is not None and (
            self.permits.limits.must_report() or self.permits.windows.must_report()
        ):
            return True
        has_news = self.loss_log.causes or self._list_limits() or self._list_brittle()
        return bool(has_news and self._list_uninformed())

    def _collect(self, report: bytes) -> None:
        self.collector.add_own(report)
        self.collected.set()

    async def _wait_for_turn(self, sent_at_s: float, turn_at_s: float) -> None:
        """Wait until the next report may be sent; urgent news waits for less.

        Parameters
        ----------
        sent_at_s : float
            Time of the last report, seconds.
        turn_at_s : float
            Time at which the next one is due, seconds.
        """
        await anyio.sleep(max(0.0, sent_at_s + MIN_REPORT_INTERVAL_S - self.clock()))
        while not self._has_urgent_news() and self.clock() < turn_at_s:
            with anyio.move_on_after(turn_at_s - self.clock()):
                await self.loads.changed.wait()
            self.loads.changed = anyio.Event()

    def _has_urgent_news(self) -> bool:
        return self.permits is not None and self.permits.windows.is_urgent()

    def make_reports(
        self, pending_tokens: dict[EndpointId, int]
    ) -> list[tuple[PeerEntry, bytes]]:
        """Return the datagram for each peer, and count its content as reported."""
        self.reported_tokens = pending_tokens
        updates = self.prefixes.take_updates()
        loading_record = self.make_loading_record()
        if loading_record is not None:
            self.reported_sort_key = loading_record.sort_key
        now_s = self.clock()
        must_report_losses = self.loss_log.must_report(now_s)
        losses = self.loss_log.make_report(now_s) if must_report_losses else None
        uninformed = self._list_uninformed()
        summary = self.loss_log.make_summary(now_s) if uninformed else None
        self.informed_tokens = {x.token for x in self.directory.peers.values()}
        limits = {} if self.permits is None else self.permits.limits.make_report(now_s)
        all_limits = self._list_limits()
        brittle = (
            {} if self.permits is None else self.permits.windows.make_report(now_s)
        )
        all_brittle = self._list_brittle()
        waits_ms = {x: int(wait_s / MS) for x, wait_s in self.list_waits().items()}
        sections = make_sections(self.sections, now_s)
        reports = []
        for entry in self.directory.peers.values():
            report = PeerReport(
                entry.token,
                self.directory.host,
                pending_tokens,
                updates,
                loading_record,
                self.list_decoding(),
                summary if entry.token in uninformed else losses,
                all_limits if entry.token in uninformed else limits,
                all_brittle if entry.token in uninformed else brittle,
                waits_ms,
            )
            reports.append((entry, encode_report(report, sections)))
        return reports

    async def send_message(self, host: HostId, message: PeerMessage) -> bool:
        """Send a message to a peer; return whether it is on its way."""
        return self.post_message(host, message)

    def post_message(self, host: HostId, message: PeerMessage) -> bool:
        """Send a message to a peer without waiting."""
        entry = self.directory.find(host)
        if entry is None:
            return False
        data = msgspec.msgpack.encode(PeerDatagram(entry.token, message))
        return self.port.send(entry.address, data)

    async def handle(self, data: bytes) -> None:
        """Apply a datagram: a report, or a message to this router alone."""
        if not is_peer_datagram(data):
            self.receive(data)
            return
        message = decode_peer_datagram(data, self.directory.token)
        if message is None:
            self.loads.rejected_reports += 1
        elif isinstance(message, PermitMessage):
            if self.permits is not None:
                await self.permits.receive(message)
        elif isinstance(message, GroupReport):
            self._receive_passed_on(message.report)
            self._collect(message.report)
        elif isinstance(message, CollectedReports):
            self._receive_collected(message)
        elif type(message) in self.receivers:
            await self.receivers[type(message)](message)

    def _receive_collected(self, message: CollectedReports) -> None:
        """Apply the reports that a collector passes on, and pass them on if asked."""
        try:
            reports = unpack_reports(message.packed)
        except MessageError:
            self.loads.rejected_reports += 1
            return
        for report in reports:
            self._receive_passed_on(report)
        if message.reach is not Reach.ROUTER:
            self.collector.add_received(reports, message.reach)
            self.collected.set()

    def _receive_passed_on(self, data: bytes) -> None:
        """Apply another router's report if it is new."""
        if not self.collector.is_new(data):
            return
        try:
            report, unreadable = decode_report(data)
        except MessageError:
            self.loads.rejected_reports += 1
            return
        if report.sender != self.directory.host:
            self._apply(report, unreadable)

    def receive(self, data: bytes) -> None:
        """Apply the readable parts of a datagram that is a report to this router."""
        try:
            report, unreadable = decode_report(data)
        except MessageError:
            self.loads.rejected_reports += 1
            return
        if report.token != self.directory.token:
            self.loads.rejected_reports += 1
            return
        self._apply(report, unreadable)

    def _apply(self, report: PeerReport, unreadable: Sequence[str]) -> None:
        """Apply the readable parts of a report."""
        now_s = self.clock()
        unreadable = [*unreadable, *apply_sections(self.sections, report, now_s)]
        if unreadable:
            self.port.record_failure(f"unreadable in a report: {', '.join(unreadable)}")
        peer_load = PeerLoad(report.tokens, now_s, report.decoding, report.waits_ms)
        self.loads.record_peer_load(report.sender, peer_load)
        self.prefixes.apply_updates(report.prefixes, now_s)
        if report.losses is not None:
            self.loss_log.merge(report.losses, now_s)
        if report.loading_record is not None:
            self.apply_loading_record(report.loading_record)
        if self.permits is not None:
            self.permits.limits.merge(report.limits, now_s)
            self.permits.windows.merge(report.brittle, now_s)
