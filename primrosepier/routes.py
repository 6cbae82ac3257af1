"""Selection of nested sets of replicas for the nested prefixes of a prompt."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .hash_ring import mix_hash, rank_members
from .ids import BlockHash, EndpointId
from .placement import EndpointTable
from .placement_options import PlacementOptions
from .prefix_counts import PrefixCountTable, update_spread
from .prompts import Prompt
from .reuse import Holder

__all__ = ["RecordedHolders", "Route", "RouteFinder", "compute_keys", "select_levels"]

MAX_LEVELS = 6
SMALLEST_POWER_BLOCKS = 2
SUBSET_REPLICAS = 16
OVERFLOW_CHOICES = 5

RecordedHolders = list[tuple[int, dict[EndpointId, Holder]]]


@dataclass(slots=True)
class Route:
    """Preferred replicas of one prompt, and the recorded holders of its prefixes.

    Parameters
    ----------
    levels : tuple of int
        Block counts, ascending, at which the prompt's prefixes end.
    keys : list of int
        One hash for each level.
    overflow_replicas : list of EndpointId
        Replicas of the first level that may serve the prompt when the preferred ones
        are overloaded, best first; narrowed at deeper levels when there are many.
    preferred : list of EndpointId
        Replicas of the deepest shared level, best first.
    sampled : list of (int, BlockHash)
        Sampled blocks of the first level with their positions from 1, last first.
    held_by_events : dict of EndpointId to int
        Blocks that endpoints hold according to their events, where these are more
        than the first level.
    served, placed : list of (int, dict)
        Levels, deepest first, with the endpoints that served them or that they were
        sent to.
    """

    levels: tuple[int, ...]
    keys: list[int]
    overflow_replicas: list[EndpointId]
    preferred: list[EndpointId]
    sampled: list[tuple[int, BlockHash]] = field(default_factory=list)
    held_by_events: dict[EndpointId, int] = field(default_factory=dict)
    served: RecordedHolders = field(default_factory=list)
    placed: RecordedHolders = field(default_factory=list)

    @property
    def first_level_blocks(self) -> int:
        """Number of blocks of the first level."""
        return self.levels[0] if self.levels else 0

    @property
    def shared_blocks(self) -> int:
        """Number of leading blocks that other prompts may share."""
        return self.levels[-2] if len(self.levels) > 1 else 0

    def assume_held_blocks(self, endpoint: EndpointId) -> int:
        """Return how many blocks an endpoint should hold according to the hashing."""
        if endpoint in self.preferred and len(self.levels) > 1:
            return self.shared_blocks
        return self.first_level_blocks if endpoint in self.overflow_replicas else 0


def select_levels(prompt: Prompt) -> tuple[int, ...]:
    """Return the block counts, ascending, at which a prompt's prefixes end.

    These are the ends of its messages, or, without messages, powers of two and the end
    of the prompt. Of more than ``MAX_LEVELS``, the first ones and the last are kept.
    """
    size = len(prompt.blocks)
    if prompt.levels:
        levels = prompt.levels
    else:
        powers = []
        size_blocks = SMALLEST_POWER_BLOCKS
        while size_blocks < size:
            powers.append(size_blocks)
            size_blocks *= 2
        levels = (*powers, size) if size else ()
    if len(levels) > MAX_LEVELS:
        levels = (*levels[: MAX_LEVELS - 1], levels[-1])
    return levels


def compute_keys(prompt: Prompt, levels: Sequence[int]) -> list[int]:
    """Return one hash for each level, which includes the cache scope."""
    seed = prompt.scope.compute_seed()
    return [mix_hash(prompt.blocks[level - 1], seed) for level in levels]


class RouteFinder:
    """Selects replicas by hashing, and counts the requests of prefixes."""

    def __init__(self, options: PlacementOptions):
        self.options = options
        self.prefix_counts = PrefixCountTable()

    def find(self, prompt: Prompt, table: EndpointTable, now_s: float) -> Route:
        """Return the route of a prompt and count the request."""
        levels = select_levels(prompt)
        keys = compute_keys(prompt, levels)
        self.prefix_counts.count_request(now_s)
        if not keys:
            seed = prompt.scope.compute_seed()
            members = table.ring.walk(seed, self.options.root_replicas)
            return Route(levels, keys, members, members)
        overflow = self._select_root(keys, table, now_s)
        preferred = overflow
        for key in keys[1:-1]:
            overflow, preferred = self._select_level(
                key, preferred, overflow, table, now_s
            )
        if len(keys) > 1:
            preferred = rank_members(
                keys[-1], preferred, table.ring, self._make_weight_function(table)
            )
        return Route(levels, keys, overflow, preferred)

    def _select_root(
        self, keys: Sequence[int], table: EndpointTable, now_s: float
    ) -> list[EndpointId]:
        """Return the replicas of the first level.

        If it needs more than `SUBSET_REPLICAS`, the hash of the second level selects
        one of several subsets of that size.
        """
        ring = table.ring
        minimum = min(self.options.root_replicas, len(ring))
        spread = self.prefix_counts.count_prefix(keys[0], minimum, now_s)
        share = self.options.root_share
        count = update_spread(
            spread, self.prefix_counts.total, len(ring), share, minimum
        )
        key = keys[0]
        if count > SUBSET_REPLICAS and len(keys) > 1:
            subset_count = 1 << ((count - 1) // SUBSET_REPLICAS).bit_length()
            key = mix_hash(key, keys[1] % subset_count)
            count = SUBSET_REPLICAS
        return ring.walk(key, count)

    def _select_level(
        self,
        key: int,
        members: list[EndpointId],
        overflow: list[EndpointId],
        table: EndpointTable,
        now_s: float,
    ) -> tuple[list[EndpointId], list[EndpointId]]:
        """Return the overflow replicas and the replicas of a deeper level."""
        ring = table.ring
        spread = self.prefix_counts.count_prefix(key, 1, now_s)
        share = self.options.split_share
        count = update_spread(spread, self.prefix_counts.total, len(ring), share, 1)
        if len(members) == 1:
            return overflow, members
        ranked = rank_members(key, members, ring, self._make_weight_function(table))
        if len(overflow) > OVERFLOW_CHOICES:
            overflow = ranked[: count + OVERFLOW_CHOICES]
        return overflow, ranked[:count]

    def _make_weight_function(
        self, table: EndpointTable
    ) -> Callable[[EndpointId], float]:
        exponent = self.options.prefill_load_exponent

        def get_weight(endpoint: EndpointId) -> float:
            return table.get_prefill_load(endpoint) ** -exponent

        return get_weight
