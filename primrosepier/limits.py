"""Limits of a workspace that hold over all routers without a call per request.

Each router enforces a share of the limit. The share follows the router's part of
the demand, as the routers tell each other, so that the shares add up to the limit.
"""

from dataclasses import dataclass, field

from .ids import WorkspaceId

__all__ = ["Demand", "Limited", "TokenBucket", "WorkspaceLimiter", "compute_share"]

FLOOR_SHARE = 0.1
BURST_S = 1.0
DEMAND_HALF_LIFE_S = 2.0
STALE_S = 10.0
MIN_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand on one workspace that other routers reported.

    Parameters
    ----------
    requests_per_s : float
        Sum over the other routers.
    routers : int
        Routers in service, this one included.
    reported_at_s : float
        Time of the oldest report in the sum, seconds.
    """

    requests_per_s: float = 0.0
    routers: int = 1
    reported_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limited:
    """The workspace's limit is reached.

    Parameters
    ----------
    retry_after_s : float
        When a request of this workspace will be taken again, seconds.
    """

    retry_after_s: float


def compute_share(
    limit: float, own_per_s: float, others: Demand, now_s: float
) -> float:
    """Return the part of a limit that this router may use.

    A tenth of the limit is shared equally, so that a router without demand can
    take its first requests. A stale report counts as equal demand everywhere.
    """
    routers = max(1, others.routers)
    equal = limit / routers
    if now_s - others.reported_at_s > STALE_S:
        return equal
    total = own_per_s + others.requests_per_s
    if total <= 0:
        return equal
    by_demand = limit * own_per_s / total
    return FLOOR_SHARE * equal + (1 - FLOOR_SHARE) * by_demand


@dataclass(slots=True)
class TokenBucket:
    """A bucket that fills at a rate and holds a burst."""

    level: float
    filled_at_s: float

    def take(self, rate_per_s: float, burst: float, now_s: float) -> float:
        """Take one token; return 0, or the seconds until there is one."""
        grown = self.level + rate_per_s * max(0.0, now_s - self.filled_at_s)
        self.level = min(burst, grown)
        self.filled_at_s = now_s
        if self.level >= 1:
            self.level -= 1
            return 0.0
        if rate_per_s <= 0:
            return STALE_S
        return max(MIN_RETRY_S, (1 - self.level) / rate_per_s)


@dataclass(slots=True)
class _Usage:
    rate_per_s: float = 0.0
    counted_at_s: float = 0.0
    running: int = 0
    bucket: TokenBucket | None = None

    def decay(self, now_s: float) -> None:
        elapsed = max(0.0, now_s - self.counted_at_s)
        self.rate_per_s *= 0.5 ** (elapsed / DEMAND_HALF_LIFE_S)
        self.counted_at_s = now_s

    def count(self, now_s: float) -> None:
        self.decay(now_s)
        self.rate_per_s += 0.693 / DEMAND_HALF_LIFE_S


@dataclass(slots=True)
class WorkspaceLimiter:
    """Applies the limits of workspaces at one router."""

    usage: dict[WorkspaceId, _Usage] = field(default_factory=dict)

    def admit(
        self,
        workspace: WorkspaceId,
        requests_per_s: float,
        concurrent: int,
        others: Demand,
        now_s: float,
    ) -> Limited | None:
        """Count a request in, or return why it is limited.

        Parameters
        ----------
        requests_per_s : float
            Limit over all routers; 0 is no limit.
        concurrent : int
            Requests in progress over all routers; 0 is no limit.
        """
        usage = self.usage.setdefault(workspace, _Usage(counted_at_s=now_s))
        usage.count(now_s)
        if concurrent:
            share = compute_share(concurrent, usage.rate_per_s, others, now_s)
            if usage.running >= max(1.0, share):
                return Limited(1.0)
        if requests_per_s:
            wait_s = self._take(usage, requests_per_s, others, now_s)
            if wait_s > 0:
                return Limited(wait_s)
        usage.running += 1
        return None

    def _take(
        self, usage: _Usage, limit_per_s: float, others: Demand, now_s: float
    ) -> float:
        rate = compute_share(limit_per_s, usage.rate_per_s, others, now_s)
        burst = max(1.0, rate * BURST_S)
        if usage.bucket is None:
            usage.bucket = TokenBucket(burst, now_s)
        return usage.bucket.take(rate, burst, now_s)

    def release(self, workspace: WorkspaceId) -> None:
        """Count a request out that was admitted."""
        usage = self.usage[workspace]
        usage.running -= 1

    def list_demand(self, now_s: float) -> dict[WorkspaceId, float]:
        """Return this router's demand on each workspace, requests per second."""
        for usage in self.usage.values():
            usage.decay(now_s)
        return {name: usage.rate_per_s for name, usage in self.usage.items()}
