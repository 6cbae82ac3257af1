"""Endpoints that served or were sent prefixes, and how long these stay cached."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from .ids import EndpointId, Incarnation, WeightsVersion

__all__ = ["Holder", "RetentionCurve", "PrefixHolderTable"]

MAX_PREFIXES = 8192
MAX_HOLDERS = 6
AGE_BUCKETS = 12
FIRST_BUCKET_S = 0.25
MAX_BUCKET_SAMPLES = 200.0
PRIOR_HITS = 4.0


@dataclass(frozen=True, slots=True)
class Holder:
    """State of an endpoint when it served, or was sent, a prefix.

    Parameters
    ----------
    incarnation : Incarnation
    version : WeightsVersion
        Weights version in the answer, or when the endpoint was chosen.
    recorded_at_s : float
        Time of the last answer, or of the last placement, in seconds.
    """

    incarnation: Incarnation
    version: WeightsVersion
    recorded_at_s: float

    def is_valid(self, incarnation: Incarnation, version: WeightsVersion) -> bool:
        """Return whether the endpoint's process and weights are unchanged."""
        return self.incarnation == incarnation and self.version == version


class PrefixHolderTable:
    """Endpoints that served, or were sent, each prefix, in an LRU table."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES):
        self.max_prefixes = max_prefixes
        self.prefixes: OrderedDict[int, dict[EndpointId, Holder]] = OrderedDict()

    def __len__(self) -> int:
        return len(self.prefixes)

    def find_holders(self, key: int) -> dict[EndpointId, Holder]:
        """Return the endpoints recorded for a prefix; check each with `is_valid`."""
        return self.prefixes.get(key) or {}

    def record(self, key: int, endpoint: EndpointId, holder: Holder) -> None:
        """Record that an endpoint served, or was sent, a prefix."""
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
        """Remove an endpoint from the holders of a prefix."""
        holders = self.prefixes.get(key)
        if holders is not None:
            holders.pop(endpoint, None)


class RetentionCurve:
    """Cache hit rate of repeated prefixes, by the time since their last use.

    Ages fall into buckets that double in width. A full bucket is halved, so that
    older samples decay.
    """

    def __init__(self) -> None:
        self.samples = [0.0] * AGE_BUCKETS
        self.hits = [0.0] * AGE_BUCKETS

    def observe(self, age_s: float, hit: bool) -> None:
        """Record whether a repeated prefix was still cached."""
        bucket = _find_bucket(age_s)
        if self.samples[bucket] >= MAX_BUCKET_SAMPLES:
            self.samples[bucket] /= 2
            self.hits[bucket] /= 2
        self.samples[bucket] += 1
        self.hits[bucket] += hit

    def estimate(self, age_s: float) -> float:
        """Return the estimated probability that a prefix is still cached."""
        bucket = _find_bucket(age_s)
        return (self.hits[bucket] + PRIOR_HITS) / (self.samples[bucket] + PRIOR_HITS)


def _find_bucket(age_s: float) -> int:
    if age_s <= FIRST_BUCKET_S:
        return 0
    return min(AGE_BUCKETS - 1, 1 + int(math.log2(age_s / FIRST_BUCKET_S)))
