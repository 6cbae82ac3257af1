"""Age of the view of the store, and bounds on it."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Freshness", "compute_gather_s", "compute_watch_s"]

NEVER_S = float("-inf")
# Share of the bound on revoked keys after which calls with keys are refused. The rest
# covers the time of a call in this router.
REVOKE_SHARE = 0.8
# Share of the time for a change to take effect in which changes are gathered, so that
# one response of the store reports many. The rest is reserved for the response and for
# slow machines.
GATHER_SHARE = 0.25
# Bounds of the time-out of a watch. The upper one limits for how long an unresponsive
# connection can hide changes.
MIN_WATCH_S = 0.2
MAX_WATCH_S = 5.0
# Time allowed for the store's response, which usually takes milliseconds.
RESPONSE_S = 0.5


def read_no_contact() -> float:
    """Return the time of last contact if there was none."""
    return NEVER_S


def compute_gather_s(apply_s: float, drain_s: float) -> float:
    """Return how long changes of the store are gathered, seconds.

    Parameters
    ----------
    apply_s : float
        Time within which a declaration must take effect, seconds.
    drain_s : float
        Time for which a draining replica still serves, seconds.
    """
    return GATHER_SHARE * min(apply_s, drain_s)


def compute_watch_s(revoke_s: float | None, gather_s: float) -> float:
    """Return the time-out of a watch, seconds.

    Two watches and the time between them fit into the age up to which keys are
    trusted, so that keys stay trusted while the store has no changes.
    """
    if revoke_s is None:
        return MAX_WATCH_S
    room_s = (REVOKE_SHARE * revoke_s - gather_s - RESPONSE_S) / 2
    return min(MAX_WATCH_S, max(MIN_WATCH_S, room_s))


@dataclass(frozen=True, slots=True)
class Freshness:
    """Age of the newest complete response of the store.

    Parameters
    ----------
    revoke_s : float or None
        Time within which a revoked key must stop working everywhere, seconds; None
        for no bound.
    read_last_contact_s : callable
        Returns the time at which that response was requested, seconds, by a clock that
        includes the time for which the machine was suspended.
    """

    revoke_s: float | None = None
    read_last_contact_s: Callable[[], float] = read_no_contact

    def compute_age_s(self, now_s: float) -> float:
        """Return the age of the view, seconds; infinite before the first response."""
        return now_s - self.read_last_contact_s()

    def may_trust_keys(self, now_s: float) -> bool:
        """Return whether the view is recent enough to trust its keys."""
        if self.revoke_s is None:
            return True
        return self.compute_age_s(now_s) < REVOKE_SHARE * self.revoke_s
