"""Which calls a router still takes between the order to stop and its end."""

from dataclasses import dataclass

__all__ = ["ShutdownSchedule", "make_shutdown_schedule"]

# Time after the order to stop in which all calls are served, seconds: the balancer asks
# once a second and takes a router out after two misses.
ACCEPT_S = 2.5
# Part of the grace that is kept for closing connections, seconds.
CLOSE_S = 1.0


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a planned stop, seconds.

    Parameters
    ----------
    accepts_until_s : float
        Until then all calls are served, whatever they may take.
    ends_at_s : float
        The router stops then.
    """

    accepts_until_s: float
    ends_at_s: float

    def may_take(self, now_s: float, limit_s: float) -> bool:
        """Return whether a call that may last some time is served."""
        return now_s < self.accepts_until_s or now_s + limit_s <= self.ends_at_s


def make_shutdown_schedule(now_s: float, grace_s: float) -> ShutdownSchedule:
    """Return the times of a stop that was ordered now.

    Parameters
    ----------
    grace_s : float
        Time until the process is killed, seconds.
    """
    ends_at_s = now_s + grace_s - CLOSE_S
    return ShutdownSchedule(min(now_s + ACCEPT_S, ends_at_s), ends_at_s)
