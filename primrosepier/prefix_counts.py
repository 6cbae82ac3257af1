"""How often prefixes are asked for, and over how many replicas each is spread."""

import math
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["PrefixCountTable", "Spread", "compute_spread"]

HALF_LIFE_S = 15.0
MAX_PREFIXES = 8192
MIN_COUNT = 8.0
DEVIATIONS = 2.0
GROW_MARGIN = 0.25
SHRINK_MARGIN = 0.75


@dataclass(slots=True)
class Spread:
    """Decayed count of one prefix and the replicas that it is spread over."""

    count: float
    updated_s: float
    replicas: int


class PrefixCountTable:
    """Decayed counts of prefixes in bounded memory, the least recent dropped.

    Parameters
    ----------
    half_life_s : float
        Time in which a count halves, seconds.
    max_prefixes : int
        Prefixes that are kept.
    """

    def __init__(
        self, half_life_s: float = HALF_LIFE_S, max_prefixes: int = MAX_PREFIXES
    ):
        self.half_life_s = half_life_s
        self.max_prefixes = max_prefixes
        self.total = 0.0
        self.total_updated_s = 0.0
        self.spreads: OrderedDict[int, Spread] = OrderedDict()

    def __len__(self) -> int:
        return len(self.spreads)

    def count_request(self, now_s: float) -> None:
        """Count one request of any prefix."""
        self.total = self._decay(self.total, now_s - self.total_updated_s) + 1
        self.total_updated_s = now_s

    def count_prefix(self, key: int, least: int, now_s: float) -> Spread:
        """Count one request of a prefix and return its state.

        Parameters
        ----------
        least : int
            Replicas of a prefix that was not seen before.
        """
        spread = self.spreads.get(key)
        if spread is None:
            spread = self.spreads[key] = Spread(0.0, now_s, least)
            if len(self.spreads) > self.max_prefixes:
                self.spreads.popitem(last=False)
        else:
            self.spreads.move_to_end(key)
        spread.count = self._decay(spread.count, now_s - spread.updated_s) + 1
        spread.updated_s = now_s
        return spread

    def _decay(self, count: float, age_s: float) -> float:
        return count * 0.5 ** (max(0.0, age_s) / self.half_life_s)


def compute_spread(
    spread: Spread, total: float, endpoints: int, share: float, least: int
) -> int:
    """Return over how many replicas a prefix is spread, and keep it.

    The count enters by its lower confidence bound, so that a few requests never
    split a prefix; the margins keep the number from changing back and forth.

    Parameters
    ----------
    share : float
        Part of one replica's mean traffic that one prefix may bring there.
    least : int
        Fewest replicas.
    """
    if spread.count < MIN_COUNT or total <= 0:
        return spread.replicas
    certain = spread.count - DEVIATIONS * math.sqrt(spread.count)
    wanted = max(float(least), max(0.0, certain) / total * endpoints / share)
    if wanted > spread.replicas + GROW_MARGIN:
        spread.replicas = math.ceil(wanted - GROW_MARGIN)
    elif wanted < spread.replicas - 1 - SHRINK_MARGIN:
        spread.replicas = math.ceil(wanted)
    spread.replicas = max(least, min(spread.replicas, endpoints))
    return spread.replicas
