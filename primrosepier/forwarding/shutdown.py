"""Calls that a router still accepts during a graceful shutdown."""

from dataclasses import dataclass

__all__ = ["ShutdownSchedule", "make_shutdown_schedule"]

# Time in which all calls are still accepted: the load balancer polls once a second and
# removes a router after two failed polls.
ACCEPT_ALL_S = 2.5
# Part of the grace period that is reserved for closing connections.
CLOSE_S = 1.0


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a graceful shutdown, seconds.

    Parameters
    ----------
    accepts_until_s : float
        Time until which all calls are accepted, however long they may take.
    ends_at_s : float
        Time at which the router stops.
    """

    accepts_until_s: float
    ends_at_s: float

    def accepts(self, now_s: float, limit_s: float) -> bool:
        """Return whether a call that may take up to ``limit_s`` is accepted."""
        return now_s < self.accepts_until_s or now_s + limit_s <= self.ends_at_s


def make_shutdown_schedule(now_s: float, grace_s: float) -> ShutdownSchedule:
    """Return the schedule of a shutdown that starts now.

    Parameters
    ----------
    grace_s : float
        Time until the process is killed, seconds.
    """
    ends_at_s = now_s + grace_s - CLOSE_S
    return ShutdownSchedule(min(now_s + ACCEPT_ALL_S, ends_at_s), ends_at_s)
