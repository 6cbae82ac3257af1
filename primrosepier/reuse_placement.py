"""Placement policy that combines hashing, cache contents and load in one cost."""

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
UNCACHED_EWMA_WEIGHT = 0.05


class ReusePlacement:
    """Chooses the candidate endpoint with the lowest estimated cost.

    Candidates are the preferred and overflow replicas of the prompt's prefixes,
    endpoints that are expected to hold a prefix, and a few random ones.

    Parameters
    ----------
    failure_domain : FailureDomain
        Failure domain of this router.
    """

    def __init__(
        self,
        rng: random.Random,
        failure_domain: FailureDomain,
        options: PlacementOptions,
    ):
        self.rng = rng
        self.failure_domain = failure_domain
        self.options = options
        self.routes = RouteFinder(options)
        self.reuse_index = ReuseIndex(options)
        self.drift = DriftTracker()
        self.mean_uncached = 0.0

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint considered has capacity.

        If no candidate has, up to `FALLBACK_CHOICES` endpoints of the ring are
        considered.
        """
        if not len(table.ring):
            return None
        route = self.routes.find(prompt, table, now_s)
        self.reuse_index.look_up(route, prompt)
        candidates = self._list_candidates(route, table)
        cheapest = self._find_cheapest(prompt, route, candidates, table, now_s)
        if cheapest is None:
            key = route.keys[0] if route.keys else prompt.scope.compute_seed()
            fallback = table.ring.walk(key, FALLBACK_CHOICES)
            cheapest = self._find_cheapest(prompt, route, fallback, table, now_s)
        if cheapest is None:
            return None
        view, expected_cached = cheapest
        self.reuse_index.record_placed(route, view, now_s)
        return self._decide(route, view, expected_cached)

    def _list_candidates(
        self, route: Route, table: EndpointTable
    ) -> dict[EndpointId, None]:
        candidates = dict.fromkeys(route.preferred)
        candidates.update(dict.fromkeys(route.overflow_replicas))
        candidates.update(self.reuse_index.list_holders(route))
        endpoints = table.ring.endpoints
        for _ in range(self.options.random_choices):
            candidates[endpoints[self.rng.randrange(len(endpoints))]] = None
        return candidates

    def _find_cheapest(
        self,
        prompt: Prompt,
        route: Route,
        candidates: Iterable[EndpointId],
        table: EndpointTable,
        now_s: float,
    ) -> tuple[EndpointView, float] | None:
        scored = []
        for endpoint in candidates:
            view = table.get_view(endpoint)
            if view is not None and view.outstanding < view.capacity:
                scored.append(
                    (view, self.reuse_index.estimate_cached(route, view, now_s))
                )
        discount = self._compute_discount(route, scored)
        best = None
        lowest = math.inf
        for view, expected_cached in scored:
            cost = self._compute_cost(prompt, view, expected_cached)
            if route.preferred and view.id == route.preferred[0]:
                cost -= discount
            if cost < lowest:
                lowest = cost
                best = (view, expected_cached)
        return best

    def _compute_discount(
        self, route: Route, scored: Sequence[tuple[EndpointView, float]]
    ) -> float:
        """Return the cost reduction of the first preferred replica, in queued tokens.

        The reduction is 0 when a candidate is expected to hold more than the first
        prefix level.
        """
        first_level_tokens = route.first_level_blocks * BLOCK_TOKENS
        if (
            max((expected_cached for _, expected_cached in scored), default=0.0)
            > first_level_tokens
        ):
            return 0.0
        deeper_tokens = route.shared_blocks * BLOCK_TOKENS - first_level_tokens
        return self.options.preferred_weight * max(0, deeper_tokens)

    def _compute_cost(
        self, prompt: Prompt, view: EndpointView, expected_cached: float
    ) -> float:
        """Return the cost of an endpoint, in queued tokens."""
        peer_requests = max(0, view.reported - view.outstanding)
        waiting = min(peer_requests, view.waiting)
        pending = view.pending_tokens + waiting * self.mean_uncached
        uncached = max(0.0, prompt.tokens - expected_cached)
        cost = pending + self.options.recompute_weight * uncached
        if view.failure_domain != self.failure_domain:
            cost += self.options.remote_cost_tokens
        return cost

    def _decide(
        self, route: Route, view: EndpointView, expected_cached: float
    ) -> Decision:
        kind = _classify_decision(route, view, expected_cached)
        return Decision(
            endpoint=view.id,
            anchor_level=route.shared_blocks,
            expected_cached_tokens=int(expected_cached),
            reason=kind.value,
            incarnation=view.incarnation,
            version=view.version,
            kind=kind,
        )

    def record_event(self, event: CacheEvent) -> None:
        """Update the reuse index with a cache event."""
        self.reuse_index.record_event(event)

    def observe(self, feedback: Feedback) -> None:
        """Update the reuse index and the drift tracker with an answer's reuse."""
        uncached = max(0, feedback.prompt.tokens - feedback.cached_tokens)
        self.mean_uncached += UNCACHED_EWMA_WEIGHT * (uncached - self.mean_uncached)
        cause = self.reuse_index.find_miss_cause(feedback)
        self.drift.observe(feedback, cause)
        self.reuse_index.observe(feedback)


def _classify_decision(
    route: Route, view: EndpointView, expected_cached: float
) -> DecisionKind:
    if route.preferred and view.id == route.preferred[0]:
        return DecisionKind.PREFERRED
    if view.id in route.preferred:
        return DecisionKind.SPLIT
    if expected_cached > route.first_level_blocks * BLOCK_TOKENS:
        return DecisionKind.HOLDER
    return DecisionKind.OVERFLOW


def make_placement(
    failure_domain: FailureDomain, options: PlacementOptions | None = None
) -> ReusePlacement:
    """Return the placement policy for a router in a failure domain.

    The random generator is seeded with the failure domain.
    """
    rng = random.Random(str(failure_domain))
    return ReusePlacement(rng, failure_domain, options or PlacementOptions())
