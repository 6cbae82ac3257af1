"""Budget of retries, kept without coordination between routers.

When endpoints fail or refuse calls, retries must not multiply the load on the others.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import ServiceId

__all__ = ["RetryBudget", "ServiceRetries"]

# Retries per window that are always allowed, so that a router that has just started can
# retry a call; far fewer than the extra retries that routers share.
MIN_RETRIES = 1
# Share of the extra retries that is used, since a router that is cut off from the store
# may count others that have left, and they no longer count it.
EXTRA_RETRY_SHARE = 0.5


@dataclass(slots=True)
class ServiceRetries:
    """First attempts and retries of one service within the window.

    Parameters
    ----------
    first_attempts, retries : deque of float
        Monotonic times, seconds.
    """

    first_attempts: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a ratio of the calls that this router received.

    Each router keeps to the ratio for its own calls, so all routers together do.

    Parameters
    ----------
    ratio : float
        Retries per call.
    extra : float
        Retries per window in addition to the ratio, over all routers.
    count_routers : callable
        Returns the number of routers that share the extra retries.
    knows_routers : callable
        Returns whether that number is known. There are no extra retries before.
    window_s : float
        Length of the time spans in which the ratio holds, seconds.
    """

    ratio: float = 0.2
    extra: float = 0.0
    count_routers: Callable[[], int] = lambda: 1
    window_s: float = 10.0
    knows_routers: Callable[[], bool] = lambda: True
    services: dict[ServiceId, ServiceRetries] = field(default_factory=dict)

    def record_call(self, service: ServiceId, now_s: float) -> None:
        """Count the first attempt of a call."""
        self._get_recent(service, now_s).first_attempts.append(now_s)

    def has_left(self, service: ServiceId, now_s: float) -> bool:
        """Return whether a retry is left."""
        return self.has_left_after(service, 0, now_s)

    def has_left_after(self, service: ServiceId, calls: int, now_s: float) -> bool:
        """Return whether a retry is left after further calls, and change nothing."""
        recent = self.services.get(service) or ServiceRetries()
        oldest_s = now_s - self.window_s
        calls += _count_since(recent.first_attempts, oldest_s)
        share = 0.0
        if self.knows_routers():
            share = EXTRA_RETRY_SHARE * self.extra / self.count_routers()
        allowed = max(MIN_RETRIES, share + self.ratio * calls)
        return _count_since(recent.retries, oldest_s) + 1 <= allowed

    def try_acquire(self, service: ServiceId, now_s: float) -> bool:
        """Count a retry and return True, or return False if none is left."""
        if not self.has_left(service, now_s):
            return False
        self._get_recent(service, now_s).retries.append(now_s)
        return True

    def _get_recent(self, service: ServiceId, now_s: float) -> ServiceRetries:
        recent = self.services.setdefault(service, ServiceRetries())
        for times in (recent.first_attempts, recent.retries):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
        return recent


def _count_since(times: deque[float], oldest_s: float) -> int:
    """Return how many of the times, the oldest of which come first, are recent."""
    expired = 0
    for at_s in times:
        if at_s > oldest_s:
            break
        expired += 1
    return len(times) - expired
