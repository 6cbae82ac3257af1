"""What each replica has to do, as far as this router knows."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import anyio

from ..ids import EndpointId, HostId
from .calls import AnswerHead, ReportedLoad, WeightsNumber

__all__ = ["ReplicaLoad", "ReplicaLoadTable"]

# Backoff after a replica could not be reached: the first is about the time after
# which a restarted process listens again, the last a heartbeat or two.
UNREACHABLE_BASE_S = 0.5
UNREACHABLE_CAP_S = 4.0
# Time after that backoff in which a replica that nobody tried again still counts as
# silent, seconds: the entry of one that is gone lapses after a few heartbeats.
SILENT_S = 2.0
# Backoff after a replica refused a call: the first is a few times the usual service
# time, the last about the time of a load of weights.
REFUSED_BASE_S = 0.1
REFUSED_CAP_S = 0.8
# Age after which a reported load says nothing any more, seconds: several calls.
REPORT_LIFE_S = 2.0
# Age after which another router's account is dropped, seconds: two that were lost.
FOREIGN_LIFE_S = 1.2
MEAN_GAIN = 0.05


@dataclass(slots=True)
class ReplicaLoad:
    """One replica's work.

    Parameters
    ----------
    outstanding : int
        This router's calls in progress there.
    pending_tokens : int
        Uncached prompt tokens of those of them without a first byte.
    reported : ReportedLoad or None
    reported_at_s : float
    avoid_until_s : float
        Time until which other replicas go first, seconds.
    failures : int
        Failures to reach it without a success between them.
    refusals : int
        Refusals without an answer between them.
    weights : WeightsNumber or None
        Newest weights that its answers told of.
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
        """Return the reported load while it means something."""
        if now_s - self.reported_at_s > REPORT_LIFE_S:
            return None
        return self.reported

    def count_calls(self, now_s: float) -> int:
        """Return the calls that run or wait there, as far as known."""
        report = self.read_report(now_s)
        if report is None:
            return self.outstanding
        return max(self.outstanding, report.running + report.waiting)


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Another router's prompts that replicas have not read yet."""

    tokens: Mapping[EndpointId, int]
    told_at_s: float


@dataclass(slots=True)
class ReplicaLoadTable:
    """The work of all replicas, kept by this router's own calls and answers."""

    loads: dict[EndpointId, ReplicaLoad] = field(default_factory=dict)
    mean_tokens: float = 0.0
    peer_loads: dict[HostId, PeerLoad] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)
    malformed_reports: int = 0

    def find(self, endpoint: EndpointId) -> ReplicaLoad:
        """Return a replica's burden."""
        return self.loads.setdefault(endpoint, ReplicaLoad())

    def begin(self, endpoint: EndpointId, tokens: int) -> None:
        """Note a call that is sent, with the prompt tokens to be computed."""
        found = self.find(endpoint)
        found.outstanding += 1
        found.pending_tokens += tokens
        self.mean_tokens += MEAN_GAIN * (tokens - self.mean_tokens)
        self.changed.set()

    def record_response(
        self, endpoint: EndpointId, head: AnswerHead, now_s: float
    ) -> None:
        """Take in the head of an answer."""
        found = self.find(endpoint)
        found.failures = 0
        if head.load is not None:
            found.reported = head.load
            found.reported_at_s = now_s
        if not head.not_run:
            found.refusals = 0
        if head.weights is not None:
            found.weights = max(head.weights, found.weights or head.weights)

    def end_prefill(self, endpoint: EndpointId, tokens: int) -> None:
        """Note that a call's prompt was read."""
        self.find(endpoint).pending_tokens -= tokens
        self.changed.set()

    def end(self, endpoint: EndpointId) -> None:
        """Note that a call is over."""
        self.find(endpoint).outstanding -= 1

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Let other replicas go first, longer after each refusal in a row."""
        found = self.find(endpoint)
        period_s = min(REFUSED_CAP_S, REFUSED_BASE_S * 2**found.refusals)
        found.refusals += 1
        found.avoid_until_s = max(found.avoid_until_s, now_s + period_s)

    def record_unreachable(self, endpoint: EndpointId, now_s: float) -> None:
        """Let other replicas go first, longer after each failure."""
        found = self.find(endpoint)
        period_s = min(UNREACHABLE_CAP_S, UNREACHABLE_BASE_S * 2**found.failures)
        found.failures += 1
        found.avoid_until_s = now_s + period_s

    def list_unreachable(self, now_s: float) -> set[EndpointId]:
        """Return the replicas that could not be reached lately."""
        return {
            name
            for name, load in self.loads.items()
            if load.failures and now_s < load.avoid_until_s + SILENT_S
        }

    def record_peer_load(
        self, host: HostId, tokens: Mapping[EndpointId, int], now_s: float
    ) -> None:
        """Take in another router's account of its prompts."""
        self.peer_loads[host] = PeerLoad(tokens, now_s)

    def count_peer_tokens(self, endpoint: EndpointId, now_s: float) -> int:
        """Return the tokens that a replica has to read for other routers."""
        return sum(
            work.tokens.get(endpoint, 0)
            for work in self.peer_loads.values()
            if now_s - work.told_at_s < FOREIGN_LIFE_S
        )

    def keep(self, endpoints: Iterable[EndpointId]) -> None:
        """Forget replicas that are gone and have no call in progress."""
        known = set(endpoints)
        for name in list(self.loads):
            if name not in known and not self.loads[name].outstanding:
                del self.loads[name]
