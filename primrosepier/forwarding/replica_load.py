"""Load of each replica, from this router's calls and from reports.

Replicas report their running and waiting calls in responses; peers report the prompt
tokens that replicas have yet to prefill for them, the calls that they decode and how
long calls wait there.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import anyio

from ..ids import EndpointId, HostId
from .calls import ReportedLoad, ResponseHead, WeightsVersionNumber
from .speeds import SpeedTable

__all__ = ["MS", "PeerLoad", "ReplicaLoad", "ReplicaLoadTable"]

# Backoff after a failure to reach a replica. It starts at about the restart time of a
# process and doubles up to a few heartbeats.
UNREACHABLE_BASE_S = 0.5
UNREACHABLE_CAP_S = 4.0
# A replica that is not tried again counts as unreachable for this long after its
# backoff. The store entry of a terminated replica expires within a few heartbeats.
UNREACHABLE_EXPIRY_S = 2.0
# Backoff after a replica refused a call. It starts at a few times the usual service
# time and doubles up to about the time to load weights.
REFUSED_BASE_S = 0.1
REFUSED_CAP_S = 0.8
# Age at which a load reported by a replica is ignored: about the duration of several
# calls.
REPORT_TTL_S = 2.0
# Age at which a peer's report is ignored. Reports are repeated every 0.5 to 1 s while
# there are pending tokens, so one lost datagram is usually tolerated.
PEER_REPORT_TTL_S = 1.2
MEAN_TOKENS_EWMA_ALPHA = 0.05
MS = 0.001


@dataclass(slots=True)
class ReplicaLoad:
    """Load of one replica as known to this router.

    Parameters
    ----------
    outstanding : int
        This router's calls in progress at the replica.
    pending_tokens : int
        Pending prompt tokens: the uncached prompt tokens of this router's calls that
        the replica has yet to prefill, up to the head of the response.
    decoding : int
        This router's calls whose response has begun and whose output the replica still
        generates.
    reported : ReportedLoad or None
        Load in the replica's last response that stated it.
    reported_at_s : float
        Time at which that response arrived, seconds.
    avoid_until_s : float
        End of the backoff, seconds.
    connection_failures : int
        Consecutive failures to reach the replica.
    refusals : int
        Consecutive calls that the replica refused.
    weights : WeightsVersionNumber or None
        Newest weights version that the replica's responses named.
    """

    outstanding: int = 0
    pending_tokens: int = 0
    decoding: int = 0
    reported: ReportedLoad | None = None
    reported_at_s: float = float("-inf")
    avoid_until_s: float = float("-inf")
    connection_failures: int = 0
    refusals: int = 0
    weights: WeightsVersionNumber | None = None

    def read_report(self, now_s: float) -> ReportedLoad | None:
        """Return the reported load, or None once it has expired."""
        if now_s - self.reported_at_s > REPORT_TTL_S:
            return None
        return self.reported

    def count_calls(self, now_s: float) -> int:
        """Return the number of calls known to run or wait at the replica."""
        report = self.read_report(now_s)
        if report is None:
            return self.outstanding
        return max(self.outstanding, report.running + report.waiting)

    def compute_report_age_s(self, now_s: float) -> float | None:
        """Return the age of the reported load, seconds; None if there is none."""
        return None if self.reported is None else now_s - self.reported_at_s


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Last report of a peer about its calls at each replica.

    Parameters
    ----------
    pending_tokens : Mapping of EndpointId to int
        Prompt tokens that the replica has yet to prefill.
    decoding : Mapping of EndpointId to int
        Calls whose output the replica generates.
    waits_ms : Mapping of EndpointId to int
        How long calls wait at the replica, milliseconds.
    """

    pending_tokens: Mapping[EndpointId, int]
    received_at_s: float
    decoding: Mapping[EndpointId, int] = field(default_factory=dict)
    waits_ms: Mapping[EndpointId, int] = field(default_factory=dict)


@dataclass(slots=True)
class PeerTotals:
    """Sums of the peers' reports by replica, kept so that no placement adds them up."""

    pending_tokens: Counter[EndpointId] = field(default_factory=Counter)
    decoding: Counter[EndpointId] = field(default_factory=Counter)

    def add(self, peer_load: PeerLoad, sign: int) -> None:
        """Add a report, or subtract it if the sign is negative."""
        for totals, counts in (
            (self.pending_tokens, peer_load.pending_tokens),
            (self.decoding, peer_load.decoding),
        ):
            for endpoint, count in counts.items():
                totals[endpoint] += sign * count
                if not totals[endpoint]:
                    del totals[endpoint]


@dataclass(slots=True)
class ReplicaLoadTable:
    """Loads of all replicas, updated by this router's calls and by reports.

    Attributes
    ----------
    mean_tokens : float
        Moving average of the uncached prompt tokens of a call.
    peer_loads : dict of HostId to PeerLoad
        Recent reports, the oldest first.
    peer_totals : PeerTotals
        Their sums.
    changed : anyio.Event
        Set when there may be a change to report to peers.
    rejected_reports : int
        Peers' reports that were malformed or carried a wrong token.
    speeds : SpeedTable
        How slow the replicas are.
    """

    loads: dict[EndpointId, ReplicaLoad] = field(default_factory=dict)
    mean_tokens: float = 0.0
    peer_loads: dict[HostId, PeerLoad] = field(default_factory=dict)
    peer_totals: PeerTotals = field(default_factory=PeerTotals)
    changed: anyio.Event = field(default_factory=anyio.Event)
    rejected_reports: int = 0
    speeds: SpeedTable = field(default_factory=SpeedTable)

    def get_or_create(self, endpoint: EndpointId) -> ReplicaLoad:
        """Return a replica's load, adding an empty one for an unknown replica."""
        return self.loads.setdefault(endpoint, ReplicaLoad())

    def read(self, endpoint: EndpointId) -> ReplicaLoad:
        """Return a replica's load, or an empty one that is not kept."""
        return self.loads.get(endpoint) or ReplicaLoad()

    def begin_call(self, endpoint: EndpointId, tokens: int) -> None:
        """Record that a call is sent whose uncached prompt has ``tokens`` tokens."""
        load = self.get_or_create(endpoint)
        load.outstanding += 1
        load.pending_tokens += tokens
        self.mean_tokens += MEAN_TOKENS_EWMA_ALPHA * (tokens - self.mean_tokens)
        self.changed.set()

    def record_response(
        self, endpoint: EndpointId, head: ResponseHead, now_s: float
    ) -> None:
        """Record a response's load and weights version, and reset failure counts."""
        load = self.get_or_create(endpoint)
        load.connection_failures = 0
        if head.load is not None:
            load.reported = head.load
            load.reported_at_s = now_s
        if not head.not_run:
            load.refusals = 0
        if head.weights is not None:
            if load.weights is not None and head.weights > load.weights:
                self.speeds.forget(endpoint)
            load.weights = max(head.weights, load.weights or head.weights)
        if head.load is not None and not head.misdirected:
            self.speeds.record_figure(endpoint, head.load.slowness, now_s)

    def end_prefill(self, endpoint: EndpointId, tokens: int) -> None:
        """Record the end of a call's prefill."""
        self.get_or_create(endpoint).pending_tokens -= tokens
        self.changed.set()

    def begin_decoding(self, endpoint: EndpointId) -> None:
        """Record that a replica begins to generate a call's output."""
        self.get_or_create(endpoint).decoding += 1

    def end_decoding(self, endpoint: EndpointId) -> None:
        """Record the end of a call's output."""
        self.get_or_create(endpoint).decoding -= 1

    def end_call(self, endpoint: EndpointId) -> None:
        """Record the end of a call."""
        self.get_or_create(endpoint).outstanding -= 1

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Avoid a replica for a time that doubles with each consecutive refusal."""
        load = self.get_or_create(endpoint)
        period_s = min(REFUSED_CAP_S, REFUSED_BASE_S * 2**load.refusals)
        load.refusals += 1
        load.avoid_until_s = max(load.avoid_until_s, now_s + period_s)

    def record_unreachable(self, endpoint: EndpointId, now_s: float) -> None:
        """Avoid a replica for a time that doubles with each consecutive failure."""
        load = self.get_or_create(endpoint)
        period_s = min(
            UNREACHABLE_CAP_S, UNREACHABLE_BASE_S * 2**load.connection_failures
        )
        load.connection_failures += 1
        self.speeds.forget(endpoint)
        load.avoid_until_s = now_s + period_s

    def end_backoff(self) -> None:
        """Use all replicas again: the links were down, not the replicas."""
        for load in self.loads.values():
            load.connection_failures = 0
            load.avoid_until_s = float("-inf")

    def list_unreachable(self, now_s: float) -> set[EndpointId]:
        """Return the replicas that could not be reached recently."""
        return {
            endpoint
            for endpoint, load in self.loads.items()
            if load.connection_failures
            and now_s < load.avoid_until_s + UNREACHABLE_EXPIRY_S
        }

    def record_peer_load(self, host: HostId, peer_load: PeerLoad) -> None:
        """Record a peer's report, replacing its previous one."""
        self._drop_peer_load(host)
        self.peer_loads[host] = peer_load
        self.peer_totals.add(peer_load, 1)

    def _drop_peer_load(self, host: HostId) -> None:
        peer_load = self.peer_loads.pop(host, None)
        if peer_load is not None:
            self.peer_totals.add(peer_load, -1)

    def drop_expired(self, now_s: float) -> None:
        """Drop reports that are too old."""
        for host in self._list_expired(now_s):
            self._drop_peer_load(host)

    def _list_expired(self, now_s: float) -> list[HostId]:
        """Return the hosts whose reports are too old; the oldest come first."""
        expired = []
        for host, peer_load in self.peer_loads.items():
            if now_s - peer_load.received_at_s < PEER_REPORT_TTL_S:
                break
            expired.append(host)
        return expired

    def count_peer_tokens(self, endpoint: EndpointId, now_s: float) -> int:
        """Return the pending prompt tokens of all peers at a replica."""
        tokens = self.peer_totals.pending_tokens[endpoint]
        for host in self._list_expired(now_s):
            tokens -= self.peer_loads[host].pending_tokens.get(endpoint, 0)
        return tokens

    def count_pending_tokens(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the prompt tokens that a replica has yet to prefill for all callers.

        Calls that it reports as waiting, and that no router reports, count as average
        ones.
        """
        load = self.read(endpoint)
        report = load.read_report(now_s)
        waiting = 0 if report is None else report.waiting
        other_waiting = max(0, waiting - load.outstanding)
        peer_tokens = self.count_peer_tokens(endpoint, now_s)
        return load.pending_tokens + peer_tokens + other_waiting * self.mean_tokens

    def count_decoding(self, endpoint: EndpointId, now_s: float) -> int:
        """Return the calls of all routers whose output a replica generates."""
        decoding = self.read(endpoint).decoding + self.peer_totals.decoding[endpoint]
        for host in self._list_expired(now_s):
            decoding -= self.peer_loads[host].decoding.get(endpoint, 0)
        return decoding

    def find_peer_wait_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the longest wait at a replica that a peer reports, seconds."""
        waits_ms = (
            x.waits_ms.get(endpoint, 0)
            for x in self.peer_loads.values()
            if now_s - x.received_at_s < PEER_REPORT_TTL_S
        )
        return MS * max(waits_ms, default=0)

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Keep only the given replicas and those with a call in progress."""
        registered = set(endpoints)
        self.speeds.retain(registered)
        for endpoint in list(self.loads):
            if endpoint not in registered and not self.loads[endpoint].outstanding:
                del self.loads[endpoint]
