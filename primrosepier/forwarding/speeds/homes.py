"""Preferred replicas of prefixes, weighted by the lasting speed of the replicas."""

import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

from ...hash_ring import HASH_RANGE, mix_hash
from ...ids import EndpointId, ServiceId
from .slowness import SpeedTable

__all__ = ["HomeWeights", "rank_homes"]

# Weights differ by powers of this factor, so that routers whose estimates differ a
# little use the same weights.
STEP_FACTOR = 1.5
MIN_STEP, MAX_STEP = -2, 4
# A weight is kept until the lasting slowness is this many steps away from it; half a
# step would let weights alternate.
HYSTERESIS_STEPS = 0.85
# Interval at which weights may change, seconds: a prefix whose home moves is computed
# or fetched again, so it has to be used for some time before it may move once more.
UPDATE_INTERVAL_S = 5.0


@dataclass(slots=True)
class HomeWeights:
    """Weights with which replicas become homes of prefixes.

    Attributes
    ----------
    steps : dict of EndpointId to int
        Exponents of the weights that are not 1; greater ones are slower.
    changes : int
        Number of weights that have changed.
    updated_at_s : dict of ServiceId to float
        Times at which the weights of the services' replicas might change, seconds.
    """

    steps: dict[EndpointId, int] = field(default_factory=dict)
    changes: int = 0
    updated_at_s: dict[ServiceId, float] = field(default_factory=dict)

    def update(
        self,
        service: ServiceId,
        endpoints: Sequence[EndpointId],
        speeds: SpeedTable,
        now_s: float,
    ) -> None:
        """Adapt the weights of a service's replicas, if they may change again."""
        updated = self.compute_update(service, endpoints, speeds, now_s)
        self.steps, self.changes = updated.steps, updated.changes
        self.updated_at_s = updated.updated_at_s

    def compute_update(
        self,
        service: ServiceId,
        endpoints: Sequence[EndpointId],
        speeds: SpeedTable,
        now_s: float,
    ) -> "HomeWeights":
        """Return the weights that hold from now on; the same if they may not change.

        Only differences between them count: a load that all of them share moves none.
        """
        if now_s < self.updated_at_s.get(service, -math.inf) + UPDATE_INTERVAL_S:
            return self
        slowness = {x: speeds.get_lasting_slowness(x) for x in endpoints}
        median = statistics.median(slowness.values())
        known = speeds.list_known()
        steps = {x: step for x, step in self.steps.items() if x in known}
        changes = self.changes
        for endpoint in endpoints:
            current = self.steps.get(endpoint, 0)
            step = self._choose_step(current, slowness[endpoint] / median)
            changes += step != current
            steps[endpoint] = step
        steps = {endpoint: step for endpoint, step in steps.items() if step}
        return HomeWeights(steps, changes, {**self.updated_at_s, service: now_s})

    def _choose_step(self, current: int, slowness: float) -> int:
        exact = math.log(slowness) / math.log(STEP_FACTOR)
        if abs(exact - current) <= HYSTERESIS_STEPS:
            return current
        return min(max(round(exact), MIN_STEP), MAX_STEP)

    def list_weights(
        self, endpoints: Sequence[EndpointId]
    ) -> Mapping[EndpointId, float]:
        """Return the weights of the replicas; empty if they are all equal."""
        if not self.steps:
            return {}
        steps = {endpoint: self.steps.get(endpoint, 0) for endpoint in endpoints}
        if len(set(steps.values())) <= 1:
            return {}
        return {endpoint: STEP_FACTOR**-step for endpoint, step in steps.items()}


def rank_homes(
    key: int, endpoints: Sequence[EndpointId], homes: HomeWeights
) -> list[int]:
    """Return the indices of replicas, ranked for a prefix by rendezvous hashing.

    A change of one weight moves only prefixes to or from that replica.
    """
    hashes = [mix_hash(key, xxhash.xxh64_intdigest(x.encode())) for x in endpoints]
    weights = homes.list_weights(endpoints)
    indices = range(len(endpoints))
    if not weights:
        return sorted(indices, key=hashes.__getitem__, reverse=True)

    def compute_score(index: int) -> float:
        uniform = (hashes[index] + 1) / HASH_RANGE
        return -math.log(uniform) / weights[endpoints[index]]

    return sorted(indices, key=compute_score)
