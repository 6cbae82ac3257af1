"""Simple placements that the policy bench compares with."""

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

LOAD_FACTOR = 1.25


class _WithoutFeedback:
    def observe(self, feedback: Feedback) -> None:
        """Ignore feedback."""


def _decide(view: EndpointView, level: int, reason: str) -> Decision:
    return Decision(view.id, level, 0, reason, view.incarnation, view.version)


def _list_views(table: EndpointTable) -> Iterator[EndpointView]:
    for endpoint in table.ring.endpoints:
        view = table.get_view(endpoint)
        if view is not None:
            yield view


class RandomPlacement(_WithoutFeedback):
    """Any endpoint."""

    def __init__(self, seed: int):
        self.source = random.Random(seed)

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""
        endpoints = list(table.ring.endpoints)
        for _ in range(len(endpoints)):
            view = table.get_view(self.source.choice(endpoints))
            if view is not None:
                return _decide(view, 0, "drawn")
        return None


class RoundRobinPlacement(_WithoutFeedback):
    """Endpoints in turn."""

    def __init__(self, seed: int):
        self.turn = seed

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""
        endpoints = table.ring.endpoints
        for _ in range(len(endpoints)):
            self.turn += 1
            view = table.get_view(endpoints[self.turn % len(endpoints)])
            if view is not None:
                return _decide(view, 0, "next in turn")
        return None


class LeastLoadedPlacement(_WithoutFeedback):
    """The endpoint with the fewest own requests, then the fewest reported."""

    def __init__(self, seed: int):
        self.source = random.Random(seed)

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""
        best = None
        for view in _list_views(table):
            key = (view.outstanding, view.reported, self.source.random())
            if best is None or key < best[0]:
                best = (key, view)
        return _decide(best[1], 0, "fewest requests") if best else None


class HashPlacement(_WithoutFeedback):
    """Bounded-load hash of the first level or of the whole prompt.

    Parameters
    ----------
    whole : bool
        Hash all blocks in place of the first level.
    """

    def __init__(self, whole: bool):
        self.whole = whole

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""
        level = len(prompt.blocks) if self.whole else self._find_root(prompt)
        seed = prompt.blocks[level - 1] if level else prompt.scope.compute_seed()
        views = {view.id: view for view in _list_views(table)}
        if not views:
            return None
        total = sum(view.outstanding for view in views.values()) + 1
        bound = math.ceil(LOAD_FACTOR * total / len(views))
        order: list[EndpointId] = table.ring.walk(seed, len(table.ring))
        for endpoint in order:
            view = views.get(endpoint)
            if view is not None and view.outstanding + 1 <= bound:
                return _decide(view, level, "first below its bound")
        return None

    def _find_root(self, prompt: Prompt) -> int:
        return prompt.levels[0] if prompt.levels else min(1, len(prompt.blocks))
