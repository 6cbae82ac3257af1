"""How small and large calls of one workspace share what it may use.

A token bucket that saw all calls in order would nearly always admit small ones, which
fit when a large one does not. Small calls therefore come first, up to a part that
leaves large ones a share however many small ones are requested.
"""

from dataclasses import dataclass

from ..declarations import Quota

__all__ = ["AllowedRate", "Demand", "is_small"]

# Cost up to which a call is small, in seconds of the fill rate.
SMALL_S = 0.02
# Part of the allowed rate that is left to large calls if they request that much: about
# a quarter (0.24 to 0.26) of what is admitted on average, as they are held back more
# than small ones while more was admitted than planned.
LARGE_PART = 0.28


@dataclass(slots=True)
class Demand:
    """Requested rates, per second.

    Parameters
    ----------
    total_per_s : float
        Of all calls.
    small_per_s : float
        Of small calls.
    """

    total_per_s: float = 0.0
    small_per_s: float = 0.0

    def __add__(self, other: "Demand") -> "Demand":
        """Return the sum of two demands."""
        return Demand(
            self.total_per_s + other.total_per_s, self.small_per_s + other.small_per_s
        )

    def __sub__(self, other: "Demand") -> "Demand":
        """Return the difference of two demands."""
        return self + other.scale(-1.0)

    def scale(self, factor: float) -> "Demand":
        """Return a multiple of the demand."""
        return Demand(factor * self.total_per_s, factor * self.small_per_s)

    def select(self, small: bool) -> float:
        """Return the requested rate of small calls or of large ones."""
        return self.small_per_s if small else self.total_per_s - self.small_per_s


def is_small(cost: float, quota: Quota) -> bool:
    """Return whether a call counts as small."""
    return cost <= SMALL_S * quota.rate_per_s


@dataclass(frozen=True, slots=True)
class AllowedRate:
    """What all calls of a workspace together may have, per second.

    Parameters
    ----------
    now_per_s : float
        Rate that may be admitted now; more than the fill rate while the bucket is
        fuller than planned, less while it is emptier.
    small_now_per_s : float
        The same as it limits small calls, which are held back less.
    """

    now_per_s: float
    small_now_per_s: float

    def find_limit(self, demand: Demand, small: bool) -> float:
        """Return the rate up to which small calls or large ones are admitted."""
        large_per_s = max(0.0, demand.select(False))
        reserved_per_s = min(large_per_s, LARGE_PART * self.small_now_per_s)
        small_limit_per_s = self.small_now_per_s - reserved_per_s
        if small:
            return small_limit_per_s
        left_per_s = self.now_per_s - min(demand.small_per_s, small_limit_per_s)
        return max(LARGE_PART * self.now_per_s, left_per_s)

    def compute_probability(self, demand: Demand, small: bool) -> float:
        """Return the part of small calls or of large ones that is admitted."""
        if (self.small_now_per_s if small else self.now_per_s) <= 0:
            return 0.0
        asked_per_s = demand.select(small)
        if asked_per_s <= 0:
            return 1.0
        return min(1.0, self.find_limit(demand, small) / asked_per_s)
