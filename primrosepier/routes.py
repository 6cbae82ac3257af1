"""Nested sets of replicas for the nested prefixes of a prompt."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .hash_ring import mix_hash, rank_members
from .ids import BlockHash, EndpointId
from .placement import EndpointTable
from .placement_options import PlacementOptions
from .prefix_counts import PrefixCountTable, compute_spread
from .prompts import Prompt
from .reuse import Holder

__all__ = ["Recalled", "Route", "RouteFinder", "compute_keys", "select_levels"]

MAX_LEVELS = 6
FIRST_GRID_BLOCKS = 2
SUBSET = 16
SPILL_CHOICES = 5

Recalled = list[tuple[int, dict[EndpointId, Holder]]]


@dataclass(slots=True)
class Route:
    """Where one prompt may go, and what is remembered of it.

    Parameters
    ----------
    levels : tuple of int
        Block counts, ascending, at which the prompt's prefixes end.
    keys : list of int
        One hash for each level.
    root : list of EndpointId
        Replicas that share the first level, best first.
    home : list of EndpointId
        Replicas of the deepest shared level, best first.
    sampled : list of (int, BlockHash)
        Blocks of the first level whose events are kept with their numbers from 1,
        the last first.
    told : dict of EndpointId to int
        Blocks that endpoints hold by their events, where more than the first level.
    answered, placed : list of (int, dict)
        Levels, the deepest first, with the endpoints that are remembered for them.
    """

    levels: tuple[int, ...]
    keys: list[int]
    root: list[EndpointId]
    home: list[EndpointId]
    sampled: list[tuple[int, BlockHash]] = field(default_factory=list)
    told: dict[EndpointId, int] = field(default_factory=dict)
    answered: Recalled = field(default_factory=list)
    placed: Recalled = field(default_factory=list)

    @property
    def first(self) -> int:
        """Blocks of the first level."""
        return self.levels[0] if self.levels else 0

    @property
    def shared(self) -> int:
        """Leading blocks that other prompts may share."""
        return self.levels[-2] if len(self.levels) > 1 else 0

    def assume_level(self, endpoint: EndpointId) -> int:
        """Return the blocks that the rule makes an endpoint hold."""
        if endpoint in self.home and len(self.levels) > 1:
            return self.shared
        return self.first if endpoint in self.root else 0


def select_levels(prompt: Prompt) -> tuple[int, ...]:
    """Return the block counts, ascending, at which a prompt's prefixes end.

    These are the ends of its messages; without messages, a doubling grid.
    """
    size = len(prompt.blocks)
    if prompt.levels:
        levels = prompt.levels
    else:
        grid = []
        step = FIRST_GRID_BLOCKS
        while step < size:
            grid.append(step)
            step *= 2
        levels = (*grid, size) if size else ()
    if len(levels) > MAX_LEVELS:
        levels = (*levels[: MAX_LEVELS - 1], levels[-1])
    return levels


def compute_keys(prompt: Prompt, levels: Sequence[int]) -> list[int]:
    """Return one hash for each level, which names the workspace's scope too."""
    seed = prompt.scope.compute_seed()
    return [mix_hash(prompt.blocks[level - 1], seed) for level in levels]


class RouteFinder:
    """Finds routes by rule and keeps how hot prefixes are."""

    def __init__(self, options: PlacementOptions):
        self.options = options
        self.prefix_counts = PrefixCountTable()

    def find(self, prompt: Prompt, table: EndpointTable, now_s: float) -> Route:
        """Return the route of a prompt and count it."""
        levels = select_levels(prompt)
        keys = compute_keys(prompt, levels)
        self.prefix_counts.count_request(now_s)
        if not keys:
            seed = prompt.scope.compute_seed()
            members = table.ring.walk(seed, self.options.root_replicas)
            return Route(levels, keys, members, members)
        root = self._spread_root(keys, table, now_s)
        home = root
        for key in keys[1:-1]:
            root, home = self._narrow(key, home, root, table, now_s)
        if len(keys) > 1:
            home = rank_members(keys[-1], home, table.ring, self._weigh(table))
        return Route(levels, keys, root, home)

    def _spread_root(
        self, keys: Sequence[int], table: EndpointTable, now_s: float
    ) -> list[EndpointId]:
        ring = table.ring
        least = min(self.options.root_replicas, len(ring))
        spread = self.prefix_counts.count_prefix(keys[0], least, now_s)
        share = self.options.root_share
        count = compute_spread(
            spread, self.prefix_counts.total, len(ring), share, least
        )
        key = keys[0]
        if count > SUBSET and len(keys) > 1:
            subsets = 1 << ((count - 1) // SUBSET).bit_length()
            key = mix_hash(key, keys[1] % subsets)
            count = SUBSET
        return ring.walk(key, count)

    def _narrow(
        self,
        key: int,
        members: list[EndpointId],
        spare: list[EndpointId],
        table: EndpointTable,
        now_s: float,
    ) -> tuple[list[EndpointId], list[EndpointId]]:
        """Return the next places to go and the members of a deeper level."""
        ring = table.ring
        spread = self.prefix_counts.count_prefix(key, 1, now_s)
        share = self.options.split_share
        count = compute_spread(spread, self.prefix_counts.total, len(ring), share, 1)
        if len(members) == 1:
            return spare, members
        ranked = rank_members(key, members, ring, self._weigh(table))
        if len(spare) > SPILL_CHOICES:
            spare = ranked[: count + SPILL_CHOICES]
        return spare, ranked[:count]

    def _weigh(self, table: EndpointTable) -> Callable[[EndpointId], float]:
        gain = self.options.prefill_load_exponent

        def weigh(endpoint: EndpointId) -> float:
            return table.get_prefill_load(endpoint) ** -gain

        return weigh
