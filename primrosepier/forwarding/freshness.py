"""Bounds on the age of the store view."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Freshness", "compute_batching_delay_s", "compute_watch_timeout_s"]

NEVER_S = float("-inf")
# Share of `revoke_s` up to which the store view may age before calls with keys are
# refused. The rest covers the time of a call in this router.
REVOKE_SHARE = 0.8
# Share of the time for a change to take effect during which changes are batched, so
# that one response of the store reports many. The rest is reserved for the response and
# for slow machines.
BATCHING_SHARE = 0.25
# Bounds of the time-out of a watch. The upper one limits for how long an unresponsive
# connection can hide changes.
MIN_WATCH_TIMEOUT_S = 0.2
MAX_WATCH_TIMEOUT_S = 5.0
# Time allowed for a response of the store, which usually takes milliseconds.
STORE_RESPONSE_S = 0.5


def read_no_contact() -> float:
    """Return the time of last contact of a router that had none."""
    return NEVER_S


def compute_batching_delay_s(apply_s: float, drain_s: float) -> float:
    """Return for how many seconds changes of the store are batched.

    Parameters
    ----------
    apply_s : float
        Time within which a declaration must take effect, seconds.
    drain_s : float
        Time for which a draining replica still serves, seconds.
    """
    return BATCHING_SHARE * min(apply_s, drain_s)


def compute_watch_timeout_s(revoke_s: float | None, batching_delay_s: float) -> float:
    """Return the time-out of a watch in seconds.

    Two watches and the time between them fit into the age up to which keys are
    trusted, so that keys stay trusted while the store has no changes.
    """
    if revoke_s is None:
        return MAX_WATCH_TIMEOUT_S
    available_s = (REVOKE_SHARE * revoke_s - batching_delay_s - STORE_RESPONSE_S) / 2
    return min(MAX_WATCH_TIMEOUT_S, max(MIN_WATCH_TIMEOUT_S, available_s))


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
        """Return the age of the view in seconds; infinite before the first response."""
        return now_s - self.read_last_contact_s()

    def may_trust_keys(self, now_s: float) -> bool:
        """Return whether the view is recent enough to trust its keys."""
        if self.revoke_s is None:
            return True
        return self.compute_age_s(now_s) < REVOKE_SHARE * self.revoke_s
