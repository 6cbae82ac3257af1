"""Whether a router has lost its links to all replicas, or single replicas are down.

A replica that ends or falls silent is lost for all routers; a router that is cut off
loses many replicas at once. Only attempts to connect count, since old connections may
live on while new ones are refused, and those whose sent bytes stay unacknowledged. An
accepted connection proves nothing: what accepts it may be a proxy.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from .ids import EndpointId

__all__ = ["LinkMonitor"]

# Time for which a failure to reach a replica counts, seconds: several connection
# time-outs, since a router with few calls meets few failures.
FAILURE_TTL_S = 2.0
# Smallest number of replicas whose loss can mean a cut.
MIN_LOST = 2
# Share of the replicas contacted of late that must be lost.
LOST_SHARE = 0.75


@dataclass(slots=True)
class LinkMonitor:
    """Replicas that this router has reached and failed to reach of late.

    Attributes
    ----------
    reached_at_s, failed_at_s : dict of EndpointId to float
        Time of the last success and of the last failure to reach a replica, seconds.
    lost_since_s : dict of EndpointId to float
        Time of the first of the consecutive failures, seconds.
    """

    reached_at_s: dict[EndpointId, float] = field(default_factory=dict)
    failed_at_s: dict[EndpointId, float] = field(default_factory=dict)
    lost_since_s: dict[EndpointId, float] = field(default_factory=dict)

    def record_reached(
        self, endpoint: EndpointId, now_s: float, is_new_connection: bool
    ) -> None:
        """Record a response."""
        self.reached_at_s[endpoint] = now_s
        if is_new_connection:
            self.failed_at_s.pop(endpoint, None)
            self.lost_since_s.pop(endpoint, None)

    def record_failed(self, endpoint: EndpointId, now_s: float) -> None:
        """Record that a replica could not be reached."""
        if now_s - self.failed_at_s.get(endpoint, float("-inf")) >= FAILURE_TTL_S:
            self.lost_since_s[endpoint] = now_s
        self.failed_at_s[endpoint] = now_s

    def list_lost(self, now_s: float) -> set[EndpointId]:
        """Return the replicas whose last contact of late failed."""
        return {
            endpoint
            for endpoint, failed_at_s in self.failed_at_s.items()
            if now_s - failed_at_s < FAILURE_TTL_S
        }

    def compute_lost_s(self, now_s: float) -> float:
        """Return the time since the last of the lost replicas was lost, seconds."""
        lost = self.list_lost(now_s)
        return min((now_s - self.lost_since_s[x] for x in lost), default=0.0)

    def reaches(self, endpoints: Iterable[EndpointId], since_s: float) -> bool:
        """Return whether most of some replicas were reached rather than lost.

        Only what happened after ``since_s`` counts.
        """
        reached = lost = 0
        for endpoint in endpoints:
            reached_at_s = self.reached_at_s.get(endpoint, float("-inf"))
            failed_at_s = self.failed_at_s.get(endpoint, float("-inf"))
            if max(reached_at_s, failed_at_s) > since_s:
                reached += reached_at_s > failed_at_s
                lost += failed_at_s >= reached_at_s
        return reached > lost

    def seems_cut(self, now_s: float) -> bool:
        """Return whether so many replicas are lost that the links may be."""
        lost = self.list_lost(now_s)
        if len(lost) < MIN_LOST:
            return False
        first_lost_at_s = min(self.lost_since_s[endpoint] for endpoint in lost)
        reached = {
            endpoint
            for endpoint, reached_at_s in self.reached_at_s.items()
            if reached_at_s > first_lost_at_s and endpoint not in lost
        }
        return len(lost) >= LOST_SHARE * (len(lost) + len(reached))

    def forget_losses(self) -> None:
        """Forget all failures: the links are back."""
        self.failed_at_s.clear()
        self.lost_since_s.clear()

    def retain(self, endpoints: Collection[EndpointId]) -> None:
        """Keep only the given replicas."""
        for table in (self.reached_at_s, self.failed_at_s, self.lost_since_s):
            for endpoint in [x for x in table if x not in endpoints]:
                del table[endpoint]
