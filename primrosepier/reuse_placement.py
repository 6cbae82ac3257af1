"""The placement that routers use: rule, knowledge of caches and load in one cost."""

import math
import random
from collections.abc import Iterable, Sequence

from .cache_events import CacheEvent
from .drift import DriftTracker
from .ids import EndpointId, FailureDomain
from .placement import (
    Decision,
    DecisionKind,
    EndpointTable,
    EndpointView,
    Feedback,
)
from .placement_options import PlacementOptions
from .prompts import BLOCK_TOKENS, Prompt
from .reuse_index import ReuseIndex
from .routes import Route, RouteFinder

__all__ = ["ReusePlacement", "make_placement"]

FALLBACK_CHOICES = 64
UNCACHED_GAIN = 0.05


class ReusePlacement:
    """Compares homes, holders and spare endpoints by estimated cost.

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
        self.routes = RouteFinder(options)
        self.reuse_index = ReuseIndex(options)
        self.drift = DriftTracker()
        self.mean_uncached = 0.0

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""
        if not len(table.ring):
            return None
        route = self.routes.find(prompt, table, now_s)
        self.reuse_index.recall(route, prompt)
        options = self._list_options(route, table)
        found = self._find_cheapest(prompt, route, options, table, now_s)
        if found is None:
            key = route.keys[0] if route.keys else prompt.scope.compute_seed()
            rest = table.ring.walk(key, FALLBACK_CHOICES)
            found = self._find_cheapest(prompt, route, rest, table, now_s)
        if found is None:
            return None
        view, expected = found
        self.reuse_index.record_placed(route, view, now_s)
        return self._decide(route, view, expected)

    def _list_options(
        self, route: Route, table: EndpointTable
    ) -> dict[EndpointId, None]:
        options = dict.fromkeys(route.home)
        options.update(dict.fromkeys(route.root))
        options.update(self.reuse_index.list_holders(route))
        endpoints = table.ring.endpoints
        for _ in range(self.options.spare_choices):
            options[endpoints[self.source.randrange(len(endpoints))]] = None
        return options

    def _find_cheapest(
        self,
        prompt: Prompt,
        route: Route,
        options: Iterable[EndpointId],
        table: EndpointTable,
        now_s: float,
    ) -> tuple[EndpointView, float] | None:
        seen = []
        for endpoint in options:
            view = table.get_view(endpoint)
            if view is not None and view.outstanding < view.capacity:
                seen.append((view, self.reuse_index.expect_cached(route, view, now_s)))
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
        self, route: Route, seen: Sequence[tuple[EndpointView, float]]
    ) -> float:
        """Return what the first home is worth when no endpoint holds the prefix."""
        first = route.first * BLOCK_TOKENS
        if max((expected for _, expected in seen), default=0.0) > first:
            return 0.0
        missing = route.shared * BLOCK_TOKENS - first
        return self.options.home_weight * max(0, missing)

    def _compute_cost(
        self, prompt: Prompt, view: EndpointView, expected: float
    ) -> float:
        """Return the cost of an endpoint in tokens to prefill."""
        others = max(0, view.reported - view.outstanding)
        waiting = min(others, view.waiting)
        pending = view.pending_tokens + waiting * self.mean_uncached
        uncached = max(0.0, prompt.tokens - expected)
        cost = pending + self.options.recompute_weight * uncached
        if view.failure_domain != self.failure_domain:
            cost += self.options.remote_tokens
        return cost

    def _decide(self, route: Route, view: EndpointView, expected: float) -> Decision:
        kind = _classify_decision(route, view, expected)
        return Decision(
            endpoint=view.id,
            anchor_level=route.shared,
            expected_cached_tokens=int(expected),
            reason=kind.value,
            incarnation=view.incarnation,
            version=view.version,
            kind=kind,
        )

    def take_event(self, event: CacheEvent) -> None:
        """Take in a cache event."""
        self.reuse_index.take_event(event)

    def observe(self, feedback: Feedback) -> None:
        """Take in what an answer told."""
        uncached = max(0, feedback.prompt.tokens - feedback.cached_tokens)
        self.mean_uncached += UNCACHED_GAIN * (uncached - self.mean_uncached)
        cause = self.reuse_index.find_miss_cause(feedback)
        self.drift.observe(feedback, cause)
        self.reuse_index.observe(feedback)


def _classify_decision(
    route: Route, view: EndpointView, expected: float
) -> DecisionKind:
    if route.home and view.id == route.home[0]:
        return DecisionKind.HOME
    if view.id in route.home:
        return DecisionKind.SPLIT
    if expected > route.first * BLOCK_TOKENS:
        return DecisionKind.HOLDER
    return DecisionKind.SPILL


def make_placement(
    failure_domain: FailureDomain, options: PlacementOptions | None = None
) -> ReusePlacement:
    """Return the placement of a router in a failure domain."""
    source = random.Random(str(failure_domain))
    return ReusePlacement(source, failure_domain, options or PlacementOptions())
