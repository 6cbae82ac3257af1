"""Load of each replica: this router's calls, replicas' reports, peers' prompts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import anyio

from ..ids import EndpointId, HostId
from .calls import ReportedLoad, ResponseHead, WeightsNumber

__all__ = ["ReplicaLoad", "ReplicaLoadTable"]

# Backoff after a failure to reach a replica. The first is about the restart time of a
# process, the longest one or two heartbeats.
UNREACHABLE_BASE_S = 0.5
UNREACHABLE_CAP_S = 4.0
# Time after the backoff for which a replica that was not tried again still counts as
# unreachable. The store entry of a terminated replica expires in a few heartbeats.
UNREACHABLE_EXPIRY_S = 2.0
# Backoff after a replica refused a call. The first is a few times the usual service
# time, the longest about the time to load weights.
REFUSED_BASE_S = 0.1
REFUSED_CAP_S = 0.8
# A reported load is ignored after this time, which is several calls long.
REPORT_TTL_S = 2.0
# A peer's report is ignored after this time, so that two lost datagrams are tolerated.
PEER_REPORT_TTL_S = 1.2
MEAN_TOKENS_EWMA_ALPHA = 0.05


@dataclass(slots=True)
class ReplicaLoad:
    """Load of one replica.

    Parameters
    ----------
    outstanding : int
        This router's calls in progress at the replica.
    pending_tokens : int
        Uncached prompt tokens of those calls that have no first byte yet.
    reported : ReportedLoad or None
    reported_at_s : float
    avoid_until_s : float
        Time until which other replicas are preferred, seconds.
    failures : int
        Consecutive failures to reach the replica.
    refusals : int
        Consecutive refusals.
    weights : WeightsNumber or None
        Newest weights that the replica's responses named.
    """

    outstanding: int = 0
    pending_tokens: int = 0
    reported: ReportedLoad | None = None
    reported_at_s: float = float("-inf")
    avoid_until_s: float = float("-inf")
    failures: int = 0
    refusals: int = 0
    weights: WeightsNumber | None = None

    def read_report(self, now_s: float) -> ReportedLoad | None:
        """Return the reported load, or None once it has expired."""
        if now_s - self.reported_at_s > REPORT_TTL_S:
            return None
        return self.reported

    def count_calls(self, now_s: float) -> int:
        """Return the known number of calls that run or wait at the replica."""
        report = self.read_report(now_s)
        if report is None:
            return self.outstanding
        return max(self.outstanding, report.running + report.waiting)


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Prompt tokens of a peer's calls that replicas have yet to prefill."""

    tokens: Mapping[EndpointId, int]
    received_at_s: float


@dataclass(slots=True)
class ReplicaLoadTable:
    """Loads of all replicas, updated by this router's calls and by peers' reports.

    Attributes
    ----------
    mean_tokens : float
        Moving average of the uncached prompt tokens of a call.
    changed : anyio.Event
        Set when there may be something to report to peers.
    """

    loads: dict[EndpointId, ReplicaLoad] = field(default_factory=dict)
    mean_tokens: float = 0.0
    peer_loads: dict[HostId, PeerLoad] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)
    malformed_reports: int = 0

    def find(self, endpoint: EndpointId) -> ReplicaLoad:
        """Return a replica's load; it is zero for an unknown replica."""
        return self.loads.setdefault(endpoint, ReplicaLoad())

    def begin(self, endpoint: EndpointId, tokens: int) -> None:
        """Record a call that is sent and the prompt tokens to be computed."""
        load = self.find(endpoint)
        load.outstanding += 1
        load.pending_tokens += tokens
        self.mean_tokens += MEAN_TOKENS_EWMA_ALPHA * (tokens - self.mean_tokens)
        self.changed.set()

    def record_response(
        self, endpoint: EndpointId, head: ResponseHead, now_s: float
    ) -> None:
        """Record the head of a response."""
        load = self.find(endpoint)
        load.failures = 0
        if head.load is not None:
            load.reported = head.load
            load.reported_at_s = now_s
        if not head.not_run:
            load.refusals = 0
        if head.weights is not None:
            load.weights = max(head.weights, load.weights or head.weights)

    def end_prefill(self, endpoint: EndpointId, tokens: int) -> None:
        """Record the end of a call's prefill."""
        self.find(endpoint).pending_tokens -= tokens
        self.changed.set()

    def end(self, endpoint: EndpointId) -> None:
        """Record the end of a call."""
        self.find(endpoint).outstanding -= 1

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Avoid a replica for a time that doubles with each consecutive refusal."""
        load = self.find(endpoint)
        period_s = min(REFUSED_CAP_S, REFUSED_BASE_S * 2**load.refusals)
        load.refusals += 1
        load.avoid_until_s = max(load.avoid_until_s, now_s + period_s)

    def record_unreachable(self, endpoint: EndpointId, now_s: float) -> None:
        """Avoid a replica for a time that doubles with each consecutive failure."""
        load = self.find(endpoint)
        period_s = min(UNREACHABLE_CAP_S, UNREACHABLE_BASE_S * 2**load.failures)
        load.failures += 1
        load.avoid_until_s = now_s + period_s

    def list_unreachable(self, now_s: float) -> set[EndpointId]:
        """Return the replicas that could not be reached recently."""
        return {
            endpoint
            for endpoint, load in self.loads.items()
            if load.failures and now_s < load.avoid_until_s + UNREACHABLE_EXPIRY_S
        }

    def record_peer_load(
        self, host: HostId, tokens: Mapping[EndpointId, int], now_s: float
    ) -> None:
        """Record a peer's report, replacing its previous one."""
        self.peer_loads[host] = PeerLoad(tokens, now_s)

    def count_peer_tokens(self, endpoint: EndpointId, now_s: float) -> int:
        """Return the tokens that a replica has yet to prefill for peers."""
        return sum(
            peer.tokens.get(endpoint, 0)
            for peer in self.peer_loads.values()
            if now_s - peer.received_at_s < PEER_REPORT_TTL_S
        )

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Remove replicas that are not listed and have no call in progress."""
        registered = set(endpoints)
        for endpoint in list(self.loads):
            if endpoint not in registered and not self.loads[endpoint].outstanding:
                del self.loads[endpoint]
