"""Request counts of prefixes, and the number of replicas each is spread over."""

import math
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["PrefixCountTable", "Spread", "update_spread"]

HALF_LIFE_S = 15.0
MAX_PREFIXES = 8192
MIN_COUNT = 8.0
CONFIDENCE_DEVIATIONS = 2.0
GROW_MARGIN = 0.25
SHRINK_MARGIN = 0.75


@dataclass(slots=True)
class Spread:
    """Decayed request count of one prefix, and its number of replicas."""

    count: float
    updated_at_s: float
    replicas: int


class PrefixCountTable:
    """Exponentially decayed request counts of prefixes, in an LRU table.

    Parameters
    ----------
    half_life_s : float
        Half-life of a count, in seconds.
    max_prefixes : int
        Maximum number of prefixes.
    """

    def __init__(
        self, half_life_s: float = HALF_LIFE_S, max_prefixes: int = MAX_PREFIXES
    ):
        self.half_life_s = half_life_s
        self.max_prefixes = max_prefixes
        self.total = 0.0
        self.total_updated_at_s = 0.0
        self.spreads: OrderedDict[int, Spread] = OrderedDict()

    def __len__(self) -> int:
        return len(self.spreads)

    def count_request(self, now_s: float) -> None:
        """Count one request, of any prefix."""
        self.total = self._decay(self.total, now_s - self.total_updated_at_s) + 1
        self.total_updated_at_s = now_s

    def count_prefix(self, key: int, minimum: int, now_s: float) -> Spread:
        """Count one request of a prefix and return its state.

        Parameters
        ----------
        minimum : int
            Initial number of replicas of a new prefix.
        """
        spread = self.spreads.get(key)
        if spread is None:
            spread = self.spreads[key] = Spread(0.0, now_s, minimum)
            if len(self.spreads) > self.max_prefixes:
                self.spreads.popitem(last=False)
        else:
            self.spreads.move_to_end(key)
        spread.count = self._decay(spread.count, now_s - spread.updated_at_s) + 1
        spread.updated_at_s = now_s
        return spread

    def _decay(self, count: float, age_s: float) -> float:
        return count * 0.5 ** (max(0.0, age_s) / self.half_life_s)


def update_spread(
    spread: Spread, total: float, endpoints: int, share: float, minimum: int
) -> int:
    """Update and return the number of replicas that a prefix is spread over.

    The lower confidence bound of the count is used, so that a few requests never
    split a prefix. The margins are a hysteresis against oscillation.

    Parameters
    ----------
    total : float
        Decayed request count of all prefixes.
    endpoints : int
        Number of endpoints of the service.
    share : float
        Largest share of a replica's mean traffic that one prefix may add to it.
    minimum : int
        Minimum number of replicas.
    """
    if spread.count < MIN_COUNT or total <= 0:
        return spread.replicas
    lower_bound = spread.count - CONFIDENCE_DEVIATIONS * math.sqrt(spread.count)
    wanted = max(float(minimum), max(0.0, lower_bound) / total * endpoints / share)
    if wanted > spread.replicas + GROW_MARGIN:
        spread.replicas = math.ceil(wanted - GROW_MARGIN)
    elif wanted < spread.replicas - 1 - SHRINK_MARGIN:
        spread.replicas = math.ceil(wanted)
    spread.replicas = max(minimum, min(spread.replicas, endpoints))
    return spread.replicas
