"""Consistent hashing and weighted rendezvous hashing of endpoints."""

import bisect
import math
from array import array
from collections.abc import Callable, Iterable, Sequence

import xxhash

from .configuration import Configuration
from .ids import EndpointId, ServiceId

__all__ = ["Ring", "RingCache", "make_ring", "mix_hash", "rank_members"]

POINTS_PER_ENDPOINT = 32
HASH_MASK = (1 << 64) - 1
HASH_RANGE = float(1 << 64)
MIX_FACTOR = 0x9E3779B97F4A7C15

WeightFunction = Callable[[EndpointId], float]


class Ring:
    """Consistent hash ring of the endpoints of one service.

    Parameters
    ----------
    endpoints : tuple of EndpointId
        Endpoints, sorted by id.
    """

    def __init__(self, endpoints: tuple[EndpointId, ...]):
        self.endpoints = endpoints
        self.seeds = {e: xxhash.xxh64_intdigest(e.encode()) for e in endpoints}
        points = []
        for index, endpoint in enumerate(endpoints):
            for point_number in range(POINTS_PER_ENDPOINT):
                point = xxhash.xxh64_intdigest(endpoint.encode(), seed=point_number + 1)
                points.append((point, index))
        points.sort()
        self._points = array("Q", [point for point, _ in points])
        self._owners = array("L", [index for _, index in points])

    def __len__(self) -> int:
        return len(self.endpoints)

    def walk(self, key: int, count: int) -> list[EndpointId]:
        """Return the first ``count`` distinct endpoints at or after a key."""
        wanted = min(count, len(self.endpoints))
        selected: dict[int, None] = {}
        position = bisect.bisect_left(self._points, key & HASH_MASK)
        size = len(self._owners)
        while len(selected) < wanted:
            selected[self._owners[position % size]] = None
            position += 1
        return [self.endpoints[index] for index in selected]


def make_ring(endpoints: Iterable[EndpointId]) -> Ring:
    """Return the ring of endpoints given in any order."""
    return Ring(tuple(sorted(endpoints)))


class RingCache:
    """Rings of the services in the current configuration."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._rings: dict[ServiceId, Ring] = {}

    def find_ring(self, configuration: Configuration, service: ServiceId) -> Ring:
        """Return a service's ring, built once per configuration."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._rings = {}
        ring = self._rings.get(service)
        if ring is None:
            endpoints = configuration.list_endpoints(service)
            ring = self._rings[service] = make_ring(e.id for e in endpoints)
        return ring


def mix_hash(key: int, seed: int) -> int:
    """Return a hash of two 64-bit numbers."""
    mixed = ((key ^ seed) * MIX_FACTOR) & HASH_MASK
    mixed ^= mixed >> 29
    mixed = (mixed * 0xBF58476D1CE4E5B9) & HASH_MASK
    return mixed ^ (mixed >> 32)


def rank_members(
    key: int, members: Sequence[EndpointId], ring: Ring, get_weight: WeightFunction
) -> list[EndpointId]:
    """Return members ranked for a key by weighted rendezvous hashing."""
    seeds = ring.seeds
    scored = []
    for member in members:
        uniform = (mix_hash(key, seeds[member]) + 1) / HASH_RANGE
        scored.append((-math.log(uniform) / get_weight(member), member))
    scored.sort()
    return [member for _, member in scored]
