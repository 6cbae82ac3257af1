"""Admission of calls by the quotas of their workspaces, over all routers together."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import msgspec

from ...errors import RequestError
from ...ids import HostId, WorkspaceId
from ...log_events import Event
from ..calls import Call
from ..declarations import Declaration, Quota
from ..peer_reports import SectionName
from .bucket import PeerUsage, QuotaBounds, WorkspaceBucket, make_bucket
from .costs import compute_cost, compute_max_retry_s
from .listings import Listings
from .peer_runs import MS, PeerRun, make_peer_run
from .records import QuotaExceeded, QuotaLimitChanged, QuotaShareChanged
from .reports import QuotaReport, decode_quota_report

__all__ = ["SILENCE_S", "Quotas", "RouterList", "compute_cost", "make_quotas"]

# Time without a report after which a router's share is reserved for it, and after which
# a router that was frozen knows nothing of the others, seconds.
SILENCE_S = 2.0
# Time without a report after which a router's share is not used by the others, although
# its rates still count, seconds. Calls that rise while routers are cut off from each
# other would otherwise be admitted by both sides until they count as silent. Reports
# without loss are at most 0.9 s apart.
LATE_S = 1.2
# Times between two reports with and without new calls, seconds. Each report costs all
# routers processor time. Reports without calls show that a router is not cut off.
CALLS_INTERVAL_S = 0.45
IDLE_INTERVAL_S = 0.45
# Interval at which the share of the routers is computed, seconds.
SHARE_INTERVAL_S = 0.1
MAX_RUN = 2**32
# Reports of a run after which the rates of its calls are known.
KNOWN_REPORTS = 2
# Time within which a bucket is not advanced again for another report, seconds. With 66
# routers there are hundreds of reports a second, each for all workspaces in use.
ADVANCE_INTERVAL_S = 0.02


def ignore_event(event: Event) -> None:
    """Do nothing; used where no log is kept."""


@dataclass(frozen=True, slots=True)
class RouterList:
    """The other routers.

    Parameters
    ----------
    hosts : collection of HostId
        Routers that are registered, without this one.
    settled : float
        Part of the quotas that may be used while routers that start together register;
        1 once all are known.
    """

    hosts: Collection[HostId]
    settled: float = 1.0


@dataclass(slots=True)
class _Limit:
    """Rejections of a workspace in a row."""

    rejected: int
    last_at_s: float


@dataclass(slots=True)
class Quotas:
    """Decides which calls are admitted, and exchanges totals with the other routers.

    It is a `ReportSection`.

    Parameters
    ----------
    bounds : QuotaBounds
    rng : random.Random
    started_at_s : float
    list_routers : callable
        Returns the other routers.
    read_declaration : callable
        Returns the declaration in force, or None before the first.
    emit : callable
        Receives the log events.

    Attributes
    ----------
    quotas : dict of WorkspaceId to Quota
        Quotas of the declaration in force.
    known_at_s : dict of WorkspaceId to float
        Time at which a quota was declared or this router knew nothing else, seconds.
    share : float
        Part of each quota that this router and those that it hears may use.
    silent : int
        Routers that it does not hear.
    gone_at_s : dict of HostId to float
        Routers that are no longer registered, and since when.
    """

    bounds: QuotaBounds
    rng: random.Random
    started_at_s: float
    list_routers: Callable[[], RouterList]
    read_declaration: Callable[[], Declaration | None]
    emit: Callable[[Event], None] = ignore_event
    name: SectionName = SectionName("q")
    run: int = field(init=False)
    born_at_s: float = field(init=False)
    ticked_at_s: float = field(init=False)
    quotas: dict[WorkspaceId, Quota] = field(default_factory=dict)
    known_at_s: dict[WorkspaceId, float] = field(default_factory=dict)
    buckets: dict[WorkspaceId, WorkspaceBucket] = field(default_factory=dict)
    listings: Listings = field(default_factory=Listings)
    peers: dict[HostId, PeerRun] = field(default_factory=dict)
    limits: dict[WorkspaceId, _Limit] = field(default_factory=dict)
    hosts: set[HostId] = field(default_factory=set)
    gone_at_s: dict[HostId, float] = field(default_factory=dict)
    declaration: Declaration | None = None
    share: float = 0.0
    is_alone: bool = True
    routers: int = 1
    silent: int = 0
    logged_silent: int = 0
    share_at_s: float = float("-inf")
    reported_at_s: float = float("-inf")
    has_news: bool = False

    def __post_init__(self) -> None:
        self.run = random.SystemRandom().randrange(MAX_RUN)
        self.born_at_s = self.ticked_at_s = self.started_at_s

    def _update(self, now_s: float) -> None:
        """Apply the quotas of the declaration in force if it is another one."""
        declaration = self.read_declaration()
        if declaration is self.declaration or declaration is None:
            return
        self.declaration = declaration
        workspaces = (declaration.workspaces or {}).values()
        self.quotas = {x.id: x.quota for x in workspaces if x.quota is not None}
        for workspace, quota in self.quotas.items():
            self.known_at_s.setdefault(workspace, now_s)
            bucket = self.buckets.get(workspace)
            if bucket is not None and bucket.quota != quota:
                self._advance(bucket, now_s)
                bucket.change_quota(quota)
        for workspace in self.known_at_s.keys() - self.quotas.keys():
            del self.known_at_s[workspace]
            self.buckets.pop(workspace, None)
            self.listings.remove(workspace)

    def admit(self, call: Call, now_s: float) -> float:
        """Charge a call to its workspace's quota; return what it was charged.

        A call that another router passed on was charged there.

        Raises
        ------
        RequestError
            The quota is exceeded.
        """
        workspace = call.workspace
        if workspace is None or call.is_passed_on:
            return 0.0
        self._tick(now_s)
        quota = self.quotas.get(workspace.id)
        if quota is None:
            return 0.0
        bucket = self._open_bucket(workspace.id, now_s)
        cost = compute_cost(call, quota)
        self.has_news = True
        self.listings.add(workspace.id, bucket, now_s)
        probability = bucket.compute_probability(cost)
        if bucket.admit(cost):
            return cost
        after_s = bucket.compute_retry_after(cost, compute_max_retry_s(call, now_s))
        self._record_rejected(workspace.id, now_s)
        self.emit(
            QuotaExceeded(
                call.id,
                workspace.id,
                cost,
                probability,
                bucket.compute_asked_rate(),
                quota.rate_per_s,
                bucket.level,
                after_s,
            )
        )
        text = "The quota of the workspace is exceeded."
        raise RequestError(429, "quota_exceeded", text, retry_after_s=after_s)

    def settle(self, call: Call, cost: float, runs: int, now_s: float) -> None:
        """Correct the charge at the end of a call.

        Parameters
        ----------
        cost : float
            What it was charged.
        runs : int
            Replicas at which it may have run.
        """
        if not cost or call.workspace is None or runs == 1:
            return
        bucket = self.buckets.get(call.workspace.id)
        if bucket is not None:
            self._advance(bucket, now_s)
            self.has_news = True
            self.listings.add(call.workspace.id, bucket, now_s)
            bucket.charge((runs - 1) * cost)

    def _record_rejected(self, workspace: WorkspaceId, now_s: float) -> None:
        limit = self.limits.get(workspace)
        if limit is None:
            self.limits[workspace] = _Limit(1, now_s)
            self.emit(QuotaLimitChanged(workspace, True, 1))
            return
        limit.rejected += 1
        limit.last_at_s = now_s

    def _open_bucket(self, workspace: WorkspaceId, now_s: float) -> WorkspaceBucket:
        """Return a workspace's bucket, up to date."""
        bucket = self.buckets.get(workspace)
        if bucket is None:
            quota = self.quotas[workspace]
            known_at_s = max(self.known_at_s[workspace], self.started_at_s)
            bucket = self.buckets[workspace] = make_bucket(
                quota, self.bounds, self.rng, known_at_s, self.share
            )
        self._advance(bucket, now_s)
        return bucket

    def _advance(self, bucket: WorkspaceBucket, now_s: float) -> None:
        bucket.advance(now_s, self.share, self.is_alone)

    def _tick(self, now_s: float) -> None:
        """Apply what has changed since the last call.

        After a time without any, the process was frozen, and what it knows is stale.
        """
        self._update(now_s)
        if now_s - self.ticked_at_s > SILENCE_S:
            self._reset(now_s)
        self.ticked_at_s = max(now_s, self.ticked_at_s)
        if now_s >= self.share_at_s + SHARE_INTERVAL_S:
            self.share_at_s = now_s
            self._compute_share(now_s)
            self._end_limits(now_s)

    def _reset(self, now_s: float) -> None:
        """Forget the peers, as after a start."""
        self.started_at_s = now_s
        for host, peer in self.peers.items():
            self._silence(host, peer)
        for bucket in self.buckets.values():
            self._advance(bucket, now_s)
            bucket.reset()
        self.share_at_s = float("-inf")

    def _silence(self, host: HostId, peer: PeerRun) -> None:
        """Forget the rates of a peer that is not heard."""
        for workspace in peer.workspaces:
            if workspace in self.buckets:
                self.buckets[workspace].remove_peer(host)
        peer.workspaces = set()
        peer.reports = 0

    def _compute_share(self, now_s: float) -> None:
        """Compute the part of the quotas that the heard routers may use together."""
        listed = self.list_routers()
        hosts = set(listed.hosts)
        for host in self.hosts - hosts:
            self.gone_at_s[host] = now_s
        self.hosts = hosts
        for host, gone_at_s in list(self.gone_at_s.items()):
            if host in hosts or now_s > gone_at_s + self.bounds.window_s:
                del self.gone_at_s[host]
        heard = set()
        late = 0
        for host, peer in list(self.peers.items()):
            if now_s - peer.heard_at_s <= SILENCE_S:
                if peer.reports >= KNOWN_REPORTS:
                    heard.add(host)
                    late += now_s - peer.heard_at_s > LATE_S
                continue
            for workspace in peer.workspaces & self.buckets.keys():
                self._advance(self.buckets[workspace], now_s)
            self._silence(host, peer)
            if host not in hosts and host not in self.gone_at_s:
                del self.peers[host]
        known = hosts | self.gone_at_s.keys() | heard
        self.routers = 1 + len(known)
        self.silent = len(known - heard)
        self.share = (1 + len(heard) - late) / self.routers * listed.settled
        self.is_alone = self.routers > 1 and not heard
        if self.quotas and self.silent != self.logged_silent:
            self.logged_silent = self.silent
            self.emit(QuotaShareChanged(self.share, self.routers, self.silent))

    def _end_limits(self, now_s: float) -> None:
        """Log which workspaces have had no call rejected within the last window."""
        for workspace, limit in list(self.limits.items()):
            if now_s > limit.last_at_s + self.bounds.window_s:
                del self.limits[workspace]
                self.emit(QuotaLimitChanged(workspace, False, limit.rejected))

    def must_report(self, now_s: float) -> bool:
        """Return whether there are new calls, or a sign of life is due."""
        self._tick(now_s)
        if not self.quotas:
            return False
        interval_s = CALLS_INTERVAL_S if self.has_news else IDLE_INTERVAL_S
        return now_s >= self.reported_at_s + interval_s

    def make(self, now_s: float) -> bytes:
        """Return the totals of the workspaces with calls of late; empty if not due."""
        if not self.must_report(now_s):
            return b""
        self.reported_at_s = now_s
        self.has_news = False
        totals = self.listings.make_totals(self.buckets, now_s)
        uptime_ms = int((now_s - self.born_at_s) / MS)
        return msgspec.msgpack.encode(QuotaReport(self.run, uptime_ms, totals))

    def apply(self, sender: HostId, content: bytes, now_s: float) -> None:
        """Apply another router's totals.

        Raises
        ------
        MessageError
            The content can't be read.
        """
        report = decode_quota_report(content)
        self._tick(now_s)
        if not self.quotas:
            return
        peer = self.peers.get(sender)
        if peer is None or report.run != peer.run:
            if peer is not None and report.run == peer.former_run:
                return
            peer = self._record_run(sender, peer, report, now_s)
        elif report.uptime_ms <= peer.uptime_ms:
            return
        was_known = peer.reports > 0
        interval_s, age_s = peer.record_report(report.uptime_ms, now_s)
        if now_s - peer.heard_at_s > SILENCE_S:
            return
        peer.reports += 1
        self._apply_totals(sender, peer, report, was_known, interval_s, age_s, now_s)

    def _record_run(
        self, sender: HostId, former: PeerRun | None, report: QuotaReport, now_s: float
    ) -> PeerRun:
        """Return the state of a router that is heard for the first time in its run."""
        former_run = -1
        if former is not None:
            for workspace in former.workspaces & self.buckets.keys():
                self._advance(self.buckets[workspace], now_s)
            self._silence(sender, former)
            former_run = former.run
        peer = make_peer_run(report, former_run, now_s)
        self.peers[sender] = peer
        return peer

    def _apply_totals(
        self,
        sender: HostId,
        peer: PeerRun,
        report: QuotaReport,
        was_known: bool,
        interval_s: float,
        age_s: float,
        now_s: float,
    ) -> None:
        """Apply the totals of a report; the first since a silence only begin to count.

        What a router admitted while it was silent was taken from its reserved share.
        """
        listed = set()
        for entry in report.totals:
            if entry.workspace not in self.quotas:
                continue
            listed.add(entry.workspace)
            bucket = self.buckets.get(entry.workspace)
            if bucket is None or now_s >= bucket.updated_at_s + ADVANCE_INTERVAL_S:
                bucket = self._open_bucket(entry.workspace, now_s)
            usage = PeerUsage(entry.admitted, entry.asked, entry.asked_small)
            if was_known and entry.base_admitted is not None:
                base = PeerUsage(
                    entry.base_admitted, entry.base_asked or 0.0, entry.base_asked_small
                )
                bucket.add_base(sender, base)
            if was_known:
                bucket.record_usage(sender, usage, max(MS, interval_s), age_s)
            else:
                usage.is_first = True
                bucket.peers[sender] = usage
        for workspace in peer.workspaces - listed:
            if workspace in self.buckets:
                self._advance(self.buckets[workspace], now_s)
                self.buckets[workspace].remove_peer(sender, age_s)
        peer.workspaces = listed


def make_quotas(
    host: HostId,
    bounds: QuotaBounds,
    now_s: float,
    list_routers: Callable[[], RouterList],
    read_declaration: Callable[[], Declaration | None],
    emit: Callable[[Event], None],
) -> Quotas:
    """Return the quotas of a router that has just started."""
    rng = random.Random(host)
    return Quotas(bounds, rng, now_s, list_routers, read_declaration, emit)
