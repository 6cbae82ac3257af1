"""Index of the prefixes that endpoints are expected to hold."""

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
from .routes import RecordedHolders, Route, compute_keys, select_levels

__all__ = ["ReuseIndex"]

MAX_PLACED_PREFIXES = 1024
MAX_EVENT_HOLDERS = 6
EVENT_DELAY_S = 2.0


class ReuseIndex:
    """Estimates cached prefixes from cache events, answers and placements.

    The size of all tables is bounded.
    """

    def __init__(self, options: PlacementOptions):
        self.options = options
        self.served = PrefixHolderTable()
        self.placed = PrefixHolderTable(MAX_PLACED_PREFIXES)
        self.retention = RetentionCurve()
        self.events = CacheEventIndex(options.event_sample)

    def look_up(self, route: Route, prompt: Prompt) -> None:
        """Fill in the route's recorded holders of the prompt's prefixes."""
        if self.options.feedback:
            route.served = _list_holders(self.served, route.levels, route.keys)
            route.placed = _list_holders(self.placed, route.levels, route.keys)
        if self.options.events and self.events.streams:
            self._look_up_events(route, prompt)

    def _look_up_events(self, route: Route, prompt: Prompt) -> None:
        is_sampled = self.events.is_sampled
        numbered = list(enumerate(prompt.blocks, start=1))
        sampled = [pair for pair in reversed(numbered) if is_sampled(pair[1])]
        route.held_by_events = self.events.find_holders(
            sampled, route.first_level_blocks
        )
        route.sampled = [
            pair for pair in sampled if pair[0] <= route.first_level_blocks
        ]

    def list_holders(self, route: Route) -> dict[EndpointId, None]:
        """Return endpoints that may hold more than the first prefix level."""
        candidates: dict[EndpointId, None] = {}
        for level, holders in route.served:
            if level > route.first_level_blocks:
                candidates.update(dict.fromkeys(holders))
        candidates.update(
            dict.fromkeys(itertools.islice(route.held_by_events, MAX_EVENT_HOLDERS))
        )
        return candidates

    def estimate_cached(self, route: Route, view: EndpointView, now_s: float) -> float:
        """Return the number of prompt tokens expected in an endpoint's cache."""
        if not route.keys:
            return 0.0
        if self._has_events(view):
            held = route.held_by_events.get(view.id)
            if held is None:
                held = self.events.count_held(view.id, route.sampled)
            expected_blocks = float(held)
            oldest_s = now_s - EVENT_DELAY_S
            if not self.events.is_complete(view.id):
                expected_blocks = max(
                    expected_blocks, float(route.assume_held_blocks(view.id))
                )
        else:
            expected_blocks = float(route.assume_held_blocks(view.id))
            oldest_s = -math.inf
        if self.options.feedback:
            expected_blocks = self._add_recorded(
                route, view, expected_blocks, oldest_s, now_s
            )
        return BLOCK_TOKENS * expected_blocks

    def _has_events(self, view: EndpointView) -> bool:
        """Return whether events of the endpoint's current incarnation were seen."""
        return self.options.events and self.events.has_events(
            view.id, view.incarnation, view.version
        )

    def _add_recorded(
        self,
        route: Route,
        view: EndpointView,
        expected_blocks: float,
        oldest_s: float,
        now_s: float,
    ) -> float:
        """Return the expected blocks, including recorded answers and placements.

        Parameters
        ----------
        expected_blocks : float
            Blocks expected from cache events or hashing alone.
        oldest_s : float
            Time in seconds before which answers are ignored, because cache events
            cover them; minus infinity without events.
        """
        placed = _find_deepest(route.placed, view)
        if placed is not None and placed[1].recorded_at_s >= now_s - EVENT_DELAY_S:
            expected_blocks = max(expected_blocks, float(placed[0]))
        served = _find_deepest(route.served, view)
        if (
            served is None
            or served[0] <= expected_blocks
            or served[1].recorded_at_s < oldest_s
        ):
            return expected_blocks
        probability = self.retention.estimate(now_s - served[1].recorded_at_s)
        return expected_blocks + probability * (served[0] - expected_blocks)

    def record_placed(self, route: Route, view: EndpointView, now_s: float) -> None:
        """Record that a prompt is being sent to an endpoint."""
        if not self.options.feedback:
            return
        holder = Holder(view.incarnation, view.version, now_s)
        for key in route.keys:
            self.placed.record(key, view.id, holder)

    def record_event(self, event: CacheEvent) -> None:
        """Update the event index with a cache event."""
        if self.options.events:
            self.events.apply(event)

    def observe(self, feedback: Feedback) -> None:
        """Record the reuse that an answer reported."""
        if not self.options.feedback:
            return
        levels = select_levels(feedback.prompt)
        keys = compute_keys(feedback.prompt, levels)
        self._observe_retention(levels, keys, feedback)
        holder = Holder(feedback.incarnation, feedback.version, feedback.now_s)
        for key in keys:
            self.served.record(key, feedback.endpoint, holder)

    def find_miss_cause(self, feedback: Feedback) -> MissCause:
        """Return why shared tokens of an answer were not cached."""
        levels = select_levels(feedback.prompt)
        keys = compute_keys(feedback.prompt, levels)
        for _, holders in _list_holders(self.served, levels[:-1], keys[:-1]):
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
        if feedback.kind is DecisionKind.OVERFLOW:
            return MissCause.OVERFLOW
        return MissCause.EVICTION

    def _observe_retention(
        self, levels: Sequence[int], keys: Sequence[int], feedback: Feedback
    ) -> None:
        recorded = _list_holders(self.served, levels[:-1], keys[:-1])
        for level, holders in recorded:
            holder = holders.get(feedback.endpoint)
            if holder is None or not holder.is_valid(
                feedback.incarnation, feedback.version
            ):
                continue
            hit = feedback.cached_tokens >= level * BLOCK_TOKENS
            self.retention.observe(feedback.now_s - holder.recorded_at_s, hit)
            return


def _list_holders(
    table: PrefixHolderTable, levels: Sequence[int], keys: Sequence[int]
) -> RecordedHolders:
    recorded = []
    for level, key in zip(reversed(levels), reversed(keys), strict=True):
        holders = table.find_holders(key)
        if holders:
            recorded.append((level, holders))
    return recorded


def _find_deepest(
    recorded: RecordedHolders, view: EndpointView
) -> tuple[int, Holder] | None:
    """Return the deepest level with a valid record of an endpoint, and the record."""
    for level, holders in recorded:
        holder = holders.get(view.id)
        if holder is not None and holder.is_valid(view.incarnation, view.version):
            return level, holder
    return None
