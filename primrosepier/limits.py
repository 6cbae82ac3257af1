"""Fleet-wide limits of workspaces, enforced without a remote call per request.

Each router enforces a share of the limit in proportion to its part of the demand.
Routers report their demand to each other, so that the shares add up to the limit.
"""

from dataclasses import dataclass, field

from .ids import WorkspaceId

__all__ = ["Demand", "Limited", "TokenBucket", "WorkspaceLimiter", "compute_share"]

EQUAL_SHARE = 0.1
BURST_WINDOW_S = 1.0
DEMAND_HALF_LIFE_S = 2.0
MAX_REPORT_AGE_S = 10.0
MIN_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class Demand:
    """Request rate of one workspace as reported by the other routers.

    Parameters
    ----------
    requests_per_s : float
        Sum over the other routers.
    routers : int
        Number of live routers, including this one.
    reported_at_s : float
        Time in seconds of the oldest report in the sum.
    """

    requests_per_s: float = 0.0
    routers: int = 1
    reported_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limited:
    """Returned when a limit of the workspace is reached.

    Parameters
    ----------
    retry_after_s : float
        Time in seconds until a request may be admitted again.
    """

    retry_after_s: float


def compute_share(
    limit: float, own_per_s: float, peer_demand: Demand, now_s: float
) -> float:
    """Return the part of a limit that this router may use.

    A tenth of the limit is shared equally, so that a router without demand can
    admit its first requests. With stale reports the whole limit is shared equally.
    """
    routers = max(1, peer_demand.routers)
    equal = limit / routers
    if now_s - peer_demand.reported_at_s > MAX_REPORT_AGE_S:
        return equal
    total = own_per_s + peer_demand.requests_per_s
    if total <= 0:
        return equal
    by_demand = limit * own_per_s / total
    return EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * by_demand


@dataclass(slots=True)
class TokenBucket:
    """Token bucket whose rate and burst are given with each call."""

    level: float
    filled_at_s: float

    def take(self, rate_per_s: float, burst: float, now_s: float) -> float:
        """Take one token and return 0, or return the seconds until one is available."""
        refilled = self.level + rate_per_s * max(0.0, now_s - self.filled_at_s)
        self.level = min(burst, refilled)
        self.filled_at_s = now_s
        if self.level >= 1:
            self.level -= 1
            return 0.0
        if rate_per_s <= 0:
            return MAX_REPORT_AGE_S
        return max(MIN_RETRY_S, (1 - self.level) / rate_per_s)


@dataclass(slots=True)
class _Usage:
    rate_per_s: float = 0.0
    counted_at_s: float = 0.0
    running: int = 0
    bucket: TokenBucket | None = None

    def decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.counted_at_s)
        self.rate_per_s *= 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        self.counted_at_s = now_s

    def count(self, now_s: float) -> None:
        self.decay(now_s)
        self.rate_per_s += 0.693 / DEMAND_HALF_LIFE_S


@dataclass(slots=True)
class WorkspaceLimiter:
    """Enforces this router's share of the limits of workspaces."""

    usage: dict[WorkspaceId, _Usage] = field(default_factory=dict)

    def admit(
        self,
        workspace: WorkspaceId,
        requests_per_s: float,
        concurrent: int,
        peer_demand: Demand,
        now_s: float,
    ) -> Limited | None:
        """Admit a request, or return the time until it may be admitted.

        Parameters
        ----------
        requests_per_s : float
            Rate limit over all routers; 0 for no limit.
        concurrent : int
            Limit of requests in progress over all routers; 0 for no limit.
        """
        usage = self.usage.setdefault(workspace, _Usage(counted_at_s=now_s))
        usage.count(now_s)
        if concurrent:
            share = compute_share(concurrent, usage.rate_per_s, peer_demand, now_s)
            if usage.running >= max(1.0, share):
                return Limited(1.0)
        if requests_per_s:
            wait_s = self._take_token(usage, requests_per_s, peer_demand, now_s)
            if wait_s > 0:
                return Limited(wait_s)
        usage.running += 1
        return None

    def _take_token(
        self, usage: _Usage, limit_per_s: float, peer_demand: Demand, now_s: float
    ) -> float:
        rate = compute_share(limit_per_s, usage.rate_per_s, peer_demand, now_s)
        burst = max(1.0, rate * BURST_WINDOW_S)
        if usage.bucket is None:
            usage.bucket = TokenBucket(burst, now_s)
        return usage.bucket.take(rate, burst, now_s)

    def release(self, workspace: WorkspaceId) -> None:
        """Record the end of an admitted request."""
        usage = self.usage[workspace]
        usage.running -= 1

    def list_demand(self, now_s: float) -> dict[WorkspaceId, float]:
        """Return this router's request rate of each workspace, requests per second."""
        for usage in self.usage.values():
            usage.decay(now_s)
        return {workspace: usage.rate_per_s for workspace, usage in self.usage.items()}
