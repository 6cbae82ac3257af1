"""What a router knows of the prefixes that endpoints hold."""

import itertools
import math
from collections.abc import Sequence

from .cache_events import CacheEvent, CacheEventIndex
from .drift import MissCause
from .ids import EndpointId
from .placement import DecisionKind, EndpointView, Feedback
from .placement_options import PlacementOptions
from .prompts import BLOCK_TOKENS, Prompt
from .reuse import Holder, PrefixHolderTable, RetentionCurve
from .routes import Recalled, Route, compute_keys, select_levels

__all__ = ["ReuseIndex"]

MAX_PLACED = 1024
MAX_EVENT_HOLDERS = 6
EVENT_DELAY_S = 2.0


class ReuseIndex:
    """Cache events, answers and own placements, in bounded memory."""

    def __init__(self, options: PlacementOptions):
        self.options = options
        self.memory = PrefixHolderTable()
        self.placed = PrefixHolderTable(MAX_PLACED)
        self.retention = RetentionCurve()
        self.events = CacheEventIndex(options.event_sample)

    def recall(self, route: Route, prompt: Prompt) -> None:
        """Fill in what is remembered of a prompt."""
        if self.options.feedback:
            route.answered = _list_holders(self.memory, route.levels, route.keys)
            route.placed = _list_holders(self.placed, route.levels, route.keys)
        if self.options.events and self.events.streams:
            self._recall_events(route, prompt)

    def _recall_events(self, route: Route, prompt: Prompt) -> None:
        is_sampled = self.events.is_sampled
        numbered = list(enumerate(prompt.blocks, start=1))
        sampled = [pair for pair in reversed(numbered) if is_sampled(pair[1])]
        route.told = self.events.find_holders(sampled, route.first)
        route.sampled = [pair for pair in sampled if pair[0] <= route.first]

    def list_holders(self, route: Route) -> dict[EndpointId, None]:
        """Return endpoints that may hold more than the first level."""
        found: dict[EndpointId, None] = {}
        for level, holders in route.answered:
            if level > route.first:
                found.update(dict.fromkeys(holders))
        found.update(dict.fromkeys(itertools.islice(route.told, MAX_EVENT_HOLDERS)))
        return found

    def expect_cached(self, route: Route, view: EndpointView, now_s: float) -> float:
        """Return the prompt tokens that an endpoint is expected to have cached."""
        if not route.keys:
            return 0.0
        if self._is_told(view):
            held = route.told.get(view.id)
            if held is None:
                held = self.events.count_held(view.id, route.sampled)
            level = float(held)
            oldest_s = now_s - EVENT_DELAY_S
            if not self.events.is_complete(view.id):
                level = max(level, float(route.assume_level(view.id)))
        else:
            level = float(route.assume_level(view.id))
            oldest_s = -math.inf
        if self.options.feedback:
            level = self._add_recalled(route, view, level, oldest_s, now_s)
        return BLOCK_TOKENS * level

    def _is_told(self, view: EndpointView) -> bool:
        """Return whether events of the endpoint's present life were seen."""
        return self.options.events and self.events.knows(
            view.id, view.incarnation, view.version
        )

    def _add_recalled(
        self,
        route: Route,
        view: EndpointView,
        level: float,
        oldest_s: float,
        now_s: float,
    ) -> float:
        """Return the blocks held when own answers and placements count too."""
        placed = _recall(route.placed, view)
        if placed is not None and placed[1].served_s >= now_s - EVENT_DELAY_S:
            level = max(level, float(placed[0]))
        held = _recall(route.answered, view)
        if held is None or held[0] <= level or held[1].served_s < oldest_s:
            return level
        share = self.retention.estimate(now_s - held[1].served_s)
        return level + share * (held[0] - level)

    def record_placed(self, route: Route, view: EndpointView, now_s: float) -> None:
        """Note that a prompt is on its way to an endpoint."""
        if not self.options.feedback:
            return
        holder = Holder(view.incarnation, view.version, now_s)
        for key in route.keys:
            self.placed.record(key, view.id, holder)

    def take_event(self, event: CacheEvent) -> None:
        """Take in a cache event."""
        if self.options.events:
            self.events.apply(event)

    def observe(self, feedback: Feedback) -> None:
        """Take in what an answer told."""
        if not self.options.feedback:
            return
        levels = select_levels(feedback.prompt)
        keys = compute_keys(feedback.prompt, levels)
        self._learn(levels, keys, feedback)
        holder = Holder(feedback.incarnation, feedback.version, feedback.now_s)
        for key in keys:
            self.memory.record(key, feedback.endpoint, holder)

    def find_miss_cause(self, feedback: Feedback) -> MissCause:
        """Return why an answer's uncached shared tokens were not cached."""
        levels = select_levels(feedback.prompt)
        keys = compute_keys(feedback.prompt, levels)
        for _, holders in _list_holders(self.memory, levels[:-1], keys[:-1]):
            holder = holders.get(feedback.endpoint)
            if holder is None:
                continue
            if holder.version != feedback.version:
                return MissCause.WEIGHTS
            if holder.incarnation != feedback.incarnation:
                return MissCause.CHURN
            return MissCause.EVICTION
        if feedback.kind is DecisionKind.SPLIT:
            return MissCause.SPLIT
        if feedback.kind is DecisionKind.SPILL:
            return MissCause.SPILL
        return MissCause.EVICTION

    def _learn(
        self, levels: Sequence[int], keys: Sequence[int], feedback: Feedback
    ) -> None:
        recalled = _list_holders(self.memory, levels[:-1], keys[:-1])
        for level, holders in recalled:
            holder = holders.get(feedback.endpoint)
            if holder is None or not holder.is_valid(
                feedback.incarnation, feedback.version
            ):
                continue
            hit = feedback.cached_tokens >= level * BLOCK_TOKENS
            self.retention.observe(feedback.now_s - holder.served_s, hit)
            return


def _list_holders(
    memory: PrefixHolderTable, levels: Sequence[int], keys: Sequence[int]
) -> Recalled:
    found = []
    for level, key in zip(reversed(levels), reversed(keys), strict=True):
        holders = memory.find_holders(key)
        if holders:
            found.append((level, holders))
    return found


def _recall(recalled: Recalled, view: EndpointView) -> tuple[int, Holder] | None:
    """Return the most blocks that an endpoint is remembered with."""
    for level, holders in recalled:
        holder = holders.get(view.id)
        if holder is not None and holder.is_valid(view.incarnation, view.version):
            return level, holder
    return None
