"""The placement that routers use: rule, feedback and load in one cost."""

import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from .anchors import mix_hash, rank_members
from .cache_events import CacheEvent, CacheEventIndex
from .heat import HeatTable, compute_spread
from .ids import BlockHash, EndpointId, FailureDomain
from .placement import Decision, EndpointTable, EndpointView, Feedback
from .prompts import BLOCK_TOKENS, Prompt
from .reuse import Holder, RetentionCurve, ReuseMemory

__all__ = ["PlacementOptions", "ReusePlacement", "make_placement", "select_levels"]

MAX_LEVELS = 6
FIRST_GRID_BLOCKS = 2
SUBSET = 16
MAX_EVENT_HOLDERS = 6
MAX_PLACED = 1024
EVENT_DELAY_S = 2.0
UNCACHED_GAIN = 0.05
FALLBACK_CHOICES = 64


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """What the placement weighs.

    Parameters
    ----------
    feedback : bool
        Whether cached tokens of answers are used.
    events : bool
        Whether cache events are used.
    root_replicas : int
        Replicas that share a workspace's first level at least.
    root_share, split_share : float
        Part of one replica's mean traffic that one prefix may bring there, for a
        workspace's first level and for the levels below it.
    recompute_weight : float
        Cost of an uncached token over that of a token that waits before it.
    remote_tokens : float
        Cost of an endpoint in another failure domain, tokens.
    """

    feedback: bool = True
    events: bool = True
    event_sample: int = 1
    root_replicas: int = 6
    root_share: float = 0.4
    split_share: float = 0.8
    recompute_weight: float = 8.0
    remote_tokens: float = 32.0
    spare_choices: int = 2
    pressure_gain: float = 1.0


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


@dataclass(slots=True)
class _Route:
    """Nested sets of endpoints for one prompt.

    Parameters
    ----------
    levels : tuple of int
    keys : list of int
        One hash for each level.
    root : list of EndpointId
        Replicas that share the first level, best first.
    home : list of EndpointId
        Replicas of the deepest shared level, best first.
    """

    levels: tuple[int, ...]
    keys: list[int]
    root: list[EndpointId]
    home: list[EndpointId]
    sampled: list[tuple[int, BlockHash]] = field(default_factory=list)

    @property
    def shared(self) -> int:
        """Leading blocks that other prompts may share."""
        return self.levels[-2] if len(self.levels) > 1 else 0


class ReusePlacement:
    """Nested rendezvous sets, then the least estimated cost.

    Parameters
    ----------
    failure_domain : FailureDomain
        That of this router.
    """

    def __init__(
        self,
        source: random.Random,
        failure_domain: FailureDomain,
        options: PlacementOptions,
    ):
        self.source = source
        self.failure_domain = failure_domain
        self.options = options
        self.heat = HeatTable()
        self.memory = ReuseMemory()
        self.placed = ReuseMemory(MAX_PLACED)
        self.retention = RetentionCurve()
        self.events = CacheEventIndex(options.event_sample)
        self.mean_uncached = 0.0

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""
        if not len(table.ring):
            return None
        route = self._find_route(prompt, table, now_s)
        options = self._list_options(route, table)
        found = self._find_cheapest(prompt, route, options, table, now_s)
        if found is None:
            key = route.keys[0] if route.keys else prompt.scope.compute_seed()
            rest = table.ring.walk(key, FALLBACK_CHOICES)
            found = self._find_cheapest(prompt, route, rest, table, now_s)
        if found is None:
            return None
        view, expected = found
        if self.options.feedback:
            holder = Holder(view.incarnation, view.version, now_s)
            for key in route.keys:
                self.placed.record(key, view.id, holder)
        return self._decide(route, view, expected)

    def _find_cheapest(
        self,
        prompt: Prompt,
        route: _Route,
        options: Iterable[EndpointId],
        table: EndpointTable,
        now_s: float,
    ) -> tuple[EndpointView, float] | None:
        seen = []
        for endpoint in options:
            view = table.get_view(endpoint)
            if view is not None and view.outstanding < view.capacity:
                seen.append((view, self._expect_cached(route, view, now_s)))
        bonus = self._compute_bonus(route, seen)
        best = None
        least = math.inf
        for view, expected in seen:
            cost = self._compute_cost(prompt, view, expected)
            if route.home and view.id == route.home[0]:
                cost -= bonus
            if cost < least:
                least = cost
                best = (view, expected)
        return best

    def _compute_bonus(
        self, route: _Route, seen: Sequence[tuple[EndpointView, float]]
    ) -> float:
        """Return what the first home is worth when no endpoint holds the prefix."""
        root = route.levels[0] * BLOCK_TOKENS if route.levels else 0
        if max((expected for _, expected in seen), default=0.0) > root:
            return 0.0
        missing = route.shared * BLOCK_TOKENS - root
        return self.options.recompute_weight * max(0, missing)

    def _decide(self, route: _Route, view: EndpointView, expected: float) -> Decision:
        if view.id in route.home:
            reason = "home of the prefix"
        elif view.id in route.root:
            reason = "spill within the workspace's replicas"
        else:
            reason = "spill"
        level = route.levels[-2] if len(route.levels) > 1 else 0
        return Decision(
            view.id, level, int(expected), reason, view.incarnation, view.version
        )

    def _find_route(self, prompt: Prompt, table: EndpointTable, now_s: float) -> _Route:
        scope_seed = prompt.scope.compute_seed()
        levels = select_levels(prompt)
        keys = [mix_hash(prompt.blocks[level - 1], scope_seed) for level in levels]
        self.heat.count_request(now_s)
        if not keys:
            members = table.ring.walk(scope_seed, self.options.root_replicas)
            return _Route(levels, keys, members, members)
        root = self._spread_root(keys, table, now_s)
        home = root
        for key in keys[1:-1]:
            home = self._narrow(key, home, table, now_s)
        if len(keys) > 1:
            home = rank_members(keys[-1], home, table.ring, self._weigh(table))
        return _Route(levels, keys, root, home, self._sample_blocks(prompt))

    def _sample_blocks(self, prompt: Prompt) -> list[tuple[int, BlockHash]]:
        """Return the sampled blocks with their numbers from 1, the last first."""
        if not self.options.events or not self.events.streams:
            return []
        numbered = list(enumerate(prompt.blocks, start=1))
        return [pair for pair in reversed(numbered) if self.events.is_sampled(pair[1])]

    def _spread_root(
        self, keys: Sequence[int], table: EndpointTable, now_s: float
    ) -> list[EndpointId]:
        ring = table.ring
        least = min(self.options.root_replicas, len(ring))
        spread = self.heat.count_prefix(keys[0], least, now_s)
        count = compute_spread(
            spread, self.heat.total, len(ring), self.options.root_share, least
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
        table: EndpointTable,
        now_s: float,
    ) -> list[EndpointId]:
        ring = table.ring
        spread = self.heat.count_prefix(key, 1, now_s)
        count = compute_spread(
            spread, self.heat.total, len(ring), self.options.split_share, 1
        )
        if len(members) == 1:
            return members
        return rank_members(key, members, ring, self._weigh(table))[:count]

    def _weigh(self, table: EndpointTable) -> Callable[[EndpointId], float]:
        gain = self.options.pressure_gain

        def weigh(endpoint: EndpointId) -> float:
            return table.get_pressure(endpoint) ** -gain

        return weigh

    def _list_options(
        self, route: _Route, table: EndpointTable
    ) -> dict[EndpointId, None]:
        options = dict.fromkeys(route.home)
        options.update(dict.fromkeys(route.root))
        if self.options.feedback:
            for key in reversed(route.keys[1:]):
                options.update(dict.fromkeys(self.memory.find_holders(key)))
        if self.options.events and route.levels:
            holders = self.events.find_holders(
                route.sampled, route.levels[0], MAX_EVENT_HOLDERS
            )
            options.update(dict.fromkeys(holders))
        endpoints = table.ring.endpoints
        for _ in range(self.options.spare_choices):
            options[endpoints[self.source.randrange(len(endpoints))]] = None
        return options

    def _compute_cost(
        self, prompt: Prompt, view: EndpointView, expected: float
    ) -> float:
        others = max(0, view.reported - view.outstanding)
        waiting = min(others, view.waiting)
        pending = view.pending_tokens + waiting * self.mean_uncached
        uncached = max(0.0, prompt.tokens - expected)
        cost = pending + self.options.recompute_weight * uncached
        if view.failure_domain != self.failure_domain:
            cost += self.options.remote_tokens
        return cost

    def _expect_cached(self, route: _Route, view: EndpointView, now_s: float) -> float:
        if not route.keys:
            return 0.0
        events = self.events
        if self.options.events and events.knows(
            view.id, view.incarnation, view.version
        ):
            level = float(events.count_held(view.id, route.sampled))
            oldest_s = now_s - EVENT_DELAY_S
            if not events.is_complete(view.id):
                level = max(level, float(self._assume_level(route, view.id)))
        else:
            level = float(self._assume_level(route, view.id))
            oldest_s = -math.inf
        if self.options.feedback:
            level = self._add_recalled(route, view, level, oldest_s, now_s)
        return BLOCK_TOKENS * level

    def _assume_level(self, route: _Route, endpoint: EndpointId) -> int:
        """Return the blocks that the rule makes an endpoint hold."""
        if endpoint in route.home and len(route.levels) > 1:
            return route.shared
        return route.levels[0] if endpoint in route.root else 0

    def _add_recalled(
        self,
        route: _Route,
        view: EndpointView,
        level: float,
        oldest_s: float,
        now_s: float,
    ) -> float:
        """Return the blocks held when own answers and placements count too."""
        placed = _recall(self.placed, route, view)
        if placed is not None and placed[1].served_s >= now_s - EVENT_DELAY_S:
            level = max(level, float(placed[0]))
        held = _recall(self.memory, route, view)
        if held is None or held[0] <= level or held[1].served_s < oldest_s:
            return level
        share = self.retention.estimate(now_s - held[1].served_s)
        return level + share * (held[0] - level)

    def take_event(self, event: CacheEvent) -> None:
        """Take in a cache event."""
        if self.options.events:
            self.events.apply(event)

    def observe(self, feedback: Feedback) -> None:
        """Take in what an answer told."""
        uncached = max(0, feedback.prompt.tokens - feedback.cached_tokens)
        self.mean_uncached += UNCACHED_GAIN * (uncached - self.mean_uncached)
        if not self.options.feedback:
            return
        levels = select_levels(feedback.prompt)
        seed = feedback.prompt.scope.compute_seed()
        keys = [mix_hash(feedback.prompt.blocks[n - 1], seed) for n in levels]
        self._learn(levels, keys, feedback)
        holder = Holder(feedback.incarnation, feedback.version, feedback.now_s)
        for key in keys:
            self.memory.record(key, feedback.endpoint, holder)

    def _learn(
        self, levels: tuple[int, ...], keys: Sequence[int], feedback: Feedback
    ) -> None:
        for level, key in zip(reversed(levels[:-1]), reversed(keys[:-1]), strict=True):
            holder = self.memory.find_holders(key).get(feedback.endpoint)
            if holder is None or not holder.is_valid(
                feedback.incarnation, feedback.version
            ):
                continue
            hit = feedback.cached_tokens >= level * BLOCK_TOKENS
            self.retention.observe(feedback.now_s - holder.served_s, hit)
            return


def _recall(
    memory: ReuseMemory, route: _Route, view: EndpointView
) -> tuple[int, Holder] | None:
    """Return the most blocks that an endpoint is remembered with."""
    for level, key in zip(reversed(route.levels), reversed(route.keys), strict=True):
        holder = memory.find_holders(key).get(view.id)
        if holder is not None and holder.is_valid(view.incarnation, view.version):
            return level, holder
    return None


def make_placement(
    failure_domain: FailureDomain, options: PlacementOptions | None = None
) -> ReusePlacement:
    """Return the placement of a router in a failure domain."""
    source = random.Random(str(failure_domain))
    return ReusePlacement(source, failure_domain, options or PlacementOptions())
