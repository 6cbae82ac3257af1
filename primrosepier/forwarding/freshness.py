"""How old this router's knowledge of the store is, and what that forbids."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Freshness"]

NEVER_S = float("-inf")
# Share of the bound on revoked keys after which keyed calls are refused; the rest
# covers a call's way through this router.
REVOKE_SHARE = 0.8


def never() -> float:
    """Return a time before any answer."""
    return NEVER_S


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
