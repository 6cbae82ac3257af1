"""Baseline placements for the policy bench."""

import math
import random
from collections.abc import Iterator

from .ids import EndpointId
from .placement import Decision, EndpointTable, EndpointView, Feedback
from .prompts import Prompt

__all__ = [
    "HashPlacement",
    "LeastLoadedPlacement",
    "RandomPlacement",
    "RoundRobinPlacement",
]

# Maximum load of an endpoint relative to the mean.
LOAD_FACTOR = 1.25


class _NoFeedbackPlacement:
    def observe(self, feedback: Feedback) -> None:
        """Ignore feedback."""


def _make_decision(view: EndpointView, level: int, reason: str) -> Decision:
    return Decision(view.id, level, 0, reason, view.incarnation, view.version)


def _list_views(table: EndpointTable) -> Iterator[EndpointView]:
    for endpoint in table.ring.endpoints:
        view = table.get_view(endpoint)
        if view is not None:
            yield view


class RandomPlacement(_NoFeedbackPlacement):
    """Chooses an eligible endpoint at random.

    Endpoints are drawn with replacement, at most as often as there are endpoints.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no drawn endpoint is eligible."""
        endpoints = list(table.ring.endpoints)
        for _ in range(len(endpoints)):
            view = table.get_view(self.rng.choice(endpoints))
            if view is not None:
                return _make_decision(view, 0, "drawn")
        return None


class RoundRobinPlacement(_NoFeedbackPlacement):
    """Chooses eligible endpoints in round-robin order."""

    def __init__(self, seed: int):
        self.position = seed

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can accept the request."""
        endpoints = table.ring.endpoints
        for _ in range(len(endpoints)):
            self.position += 1
            view = table.get_view(endpoints[self.position % len(endpoints)])
            if view is not None:
                return _make_decision(view, 0, "next in turn")
        return None


class LeastLoadedPlacement(_NoFeedbackPlacement):
    """Chooses the endpoint with the fewest outstanding requests.

    Ties are broken by the number of reported requests, then at random.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can accept the request."""
        best = None
        for view in _list_views(table):
            key = (view.outstanding, view.reported, self.rng.random())
            if best is None or key < best[0]:
                best = (key, view)
        return _make_decision(best[1], 0, "fewest requests") if best else None


class HashPlacement(_NoFeedbackPlacement):
    """Consistent hashing with bounded loads, by first prefix level or whole prompt.

    Parameters
    ----------
    whole_prompt : bool
        Hash the whole prompt instead of its first level.
    """

    def __init__(self, whole_prompt: bool):
        self.whole_prompt = whole_prompt

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can accept the request."""
        level = (
            len(prompt.blocks) if self.whole_prompt else self._get_root_level(prompt)
        )
        seed = prompt.blocks[level - 1] if level else prompt.scope.compute_seed()
        views = {view.id: view for view in _list_views(table)}
        if not views:
            return None
        total_outstanding = sum(view.outstanding for view in views.values()) + 1
        max_outstanding = math.ceil(LOAD_FACTOR * total_outstanding / len(views))
        candidates: list[EndpointId] = table.ring.walk(seed, len(table.ring))
        for endpoint in candidates:
            view = views.get(endpoint)
            if view is not None and view.outstanding + 1 <= max_outstanding:
                return _make_decision(view, level, "first below its bound")
        return None

    def _get_root_level(self, prompt: Prompt) -> int:
        return prompt.levels[0] if prompt.levels else min(1, len(prompt.blocks))
