"""How many calls may be sent again, without asking other routers.

Answers the load of failures: when endpoints fail or refuse, repeats must not
multiply what the rest have to carry.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import ServiceId

__all__ = ["RetryBudget", "ServiceRetries"]

# Lets a router that just started repeat a call; far below any shared reserve.
FREE_REPEATS = 1
# Part of the extra repeats that is used, since routers that just started may not know
# of each other yet.
EXTRA_SHARE = 0.5


@dataclass(slots=True)
class ServiceRetries:
    """First sends and repeats of one service within the window.

    Parameters
    ----------
    firsts, repeats : deque of float
        Monotonic times, seconds.
    """

    firsts: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudget:
    """Bounds repeats by the calls that this router itself took from callers.

    Each router spends only a share of its own calls, so the sums over all routers
    keep the same share.

    Parameters
    ----------
    ratio : float
        Repeats for each call.
    extra : float
        Repeats in a window beyond the ratio, over all routers.
    count_routers : callable
        Returns how many routers share them.
    window_s : float
        Any span of this length keeps the ratio, seconds.
    """

    ratio: float = 0.2
    extra: float = 0.0
    count_routers: Callable[[], int] = lambda: 1
    window_s: float = 10.0
    services: dict[ServiceId, ServiceRetries] = field(default_factory=dict)

    def note_call(self, service: ServiceId, now_s: float) -> None:
        """Count a call from a caller."""
        self._read(service, now_s).firsts.append(now_s)

    def withdraw(self, service: ServiceId, now_s: float) -> bool:
        """Take one repeat, if there is one."""
        found = self._read(service, now_s)
        share = EXTRA_SHARE * self.extra / self.count_routers()
        allowed = max(FREE_REPEATS, share + self.ratio * len(found.firsts))
        if len(found.repeats) + 1 > allowed:
            return False
        found.repeats.append(now_s)
        return True

    def _read(self, service: ServiceId, now_s: float) -> ServiceRetries:
        found = self.services.setdefault(service, ServiceRetries())
        for times in (found.firsts, found.repeats):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
        return found
