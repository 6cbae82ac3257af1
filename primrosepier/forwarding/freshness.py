"""How old this router's knowledge of the store is, and what that forbids."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Freshness", "compute_gather_s", "compute_watch_s"]

NEVER_S = float("-inf")
# Share of the bound on revoked keys after which keyed calls are refused; the rest
# covers a call's way through this router.
REVOKE_SHARE = 0.8
# Share of the time for a change to take effect in which changes are gathered, so that
# one answer of the store tells of many; the rest is for the answer and slow machines.
GATHER_SHARE = 0.25
# Shortest and longest wait of a watch, seconds: the longest keeps a connection that
# fell silent from hiding changes for much longer than they may take.
SHORTEST_WATCH_S = 0.2
LONGEST_WATCH_S = 5.0
# Time for the call itself, seconds: the store answers in milliseconds.
ANSWER_S = 0.5


def never() -> float:
    """Return a time before any answer."""
    return NEVER_S


def compute_gather_s(apply_s: float, drain_s: float) -> float:
    """Return how long changes of the store are gathered, seconds.

    Parameters
    ----------
    apply_s : float
        Time within which a declaration must be in force, seconds.
    drain_s : float
        Time for which a leaving replica still serves, seconds.
    """
    return GATHER_SHARE * min(apply_s, drain_s)


def compute_watch_s(revoke_s: float | None, gather_s: float) -> float:
    """Return how long a watch may wait, seconds.

    Two waits and the time between them fit into the age up to which keys are trusted,
    so that a quiet store never makes them untrusted.
    """
    if revoke_s is None:
        return LONGEST_WATCH_S
    room_s = (REVOKE_SHARE * revoke_s - gather_s - ANSWER_S) / 2
    return min(LONGEST_WATCH_S, max(SHORTEST_WATCH_S, room_s))


@dataclass(frozen=True, slots=True)
class Freshness:
    """Age of the newest answer of the store that showed all declarations.

    Parameters
    ----------
    revoke_s : float or None
        Time within which a revoked key must stop working everywhere, seconds; None
        when no such bound is set.
    read_heard_at_s : callable
        Returns the time at which that answer was asked for, seconds, by a clock that
        counts the time for which the machine was suspended.
    """

    revoke_s: float | None = None
    read_heard_at_s: Callable[[], float] = never

    def compute_age_s(self, now_s: float) -> float:
        """Return the age of what is known, seconds; infinite when nothing is."""
        return now_s - self.read_heard_at_s()

    def may_trust_keys(self, now_s: float) -> bool:
        """Return whether no key that is known can have been revoked too long ago."""
        if self.revoke_s is None:
            return True
        return self.compute_age_s(now_s) < REVOKE_SHARE * self.revoke_s
