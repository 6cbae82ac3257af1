"""Memory of which endpoints served which prefixes, and how long they keep them."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from .ids import EndpointId, Incarnation, WeightsVersion

__all__ = ["Holder", "RetentionCurve", "PrefixHolderTable"]

MAX_PREFIXES = 8192
MAX_HOLDERS = 6
AGE_STEPS = 12
FIRST_AGE_S = 0.25
CURVE_MEMORY = 200.0
PRIOR_HITS = 4.0


@dataclass(frozen=True, slots=True)
class Holder:
    """One endpoint that served a prefix.

    Parameters
    ----------
    incarnation : Incarnation
    version : WeightsVersion
        Of the endpoint when it served the prefix.
    served_s : float
        Time of the last answer, seconds.
    """

    incarnation: Incarnation
    version: WeightsVersion
    served_s: float

    def is_valid(self, incarnation: Incarnation, version: WeightsVersion) -> bool:
        """Return whether the endpoint still is what it was."""
        return self.incarnation == incarnation and self.version == version


class PrefixHolderTable:
    """Endpoints that served prefixes, in bounded memory."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES):
        self.max_prefixes = max_prefixes
        self.prefixes: OrderedDict[int, dict[EndpointId, Holder]] = OrderedDict()

    def __len__(self) -> int:
        return len(self.prefixes)

    def find_holders(self, key: int) -> dict[EndpointId, Holder]:
        """Return the endpoints that served a prefix; check each with `is_valid`."""
        return self.prefixes.get(key) or {}

    def record(self, key: int, endpoint: EndpointId, holder: Holder) -> None:
        """Keep that an endpoint served a prefix."""
        holders = self.prefixes.get(key)
        if holders is None:
            holders = self.prefixes[key] = {}
            if len(self.prefixes) > self.max_prefixes:
                self.prefixes.popitem(last=False)
        else:
            self.prefixes.move_to_end(key)
        holders.pop(endpoint, None)
        holders[endpoint] = holder
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]

    def forget(self, key: int, endpoint: EndpointId) -> None:
        """Drop what is kept of an endpoint and a prefix."""
        holders = self.prefixes.get(key)
        if holders is not None:
            holders.pop(endpoint, None)


class RetentionCurve:
    """Share of prefixes that are still cached, by the time since they were used."""

    def __init__(self) -> None:
        self.tries = [0.0] * AGE_STEPS
        self.hits = [0.0] * AGE_STEPS

    def observe(self, age_s: float, hit: bool) -> None:
        """Count one prefix that was asked for again."""
        step = _find_step(age_s)
        if self.tries[step] >= CURVE_MEMORY:
            self.tries[step] /= 2
            self.hits[step] /= 2
        self.tries[step] += 1
        self.hits[step] += hit

    def estimate(self, age_s: float) -> float:
        """Return the probability that a prefix of this age is still cached."""
        step = _find_step(age_s)
        return (self.hits[step] + PRIOR_HITS) / (self.tries[step] + PRIOR_HITS)


def _find_step(age_s: float) -> int:
    if age_s <= FIRST_AGE_S:
        return 0
    return min(AGE_STEPS - 1, 1 + int(math.log2(age_s / FIRST_AGE_S)))
