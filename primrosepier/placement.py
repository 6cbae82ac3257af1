"""Choice of the endpoint for a request."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import xxhash

from .ids import EndpointId, FailureDomain
from .prompts import Prompt

__all__ = [
    "Decision",
    "EndpointView",
    "Feedback",
    "Placement",
    "RulePlacement",
    "make_placement",
]


@dataclass(frozen=True, slots=True)
class EndpointView:
    """One candidate as this router sees it.

    Parameters
    ----------
    outstanding : int
        Requests of this router in progress there.
    reported : int
        Requests running and waiting there by its last report.
    report_age_s : float
        Age of that report, seconds; infinite when there is none.
    capacity : int
        Requests that it may hold at once.
    """

    id: EndpointId
    failure_domain: FailureDomain
    outstanding: int = 0
    reported: int = 0
    report_age_s: float = float("inf")
    capacity: int = 64


@dataclass(frozen=True, slots=True)
class Decision:
    """The chosen endpoint and why.

    Parameters
    ----------
    anchor_level : int
        Number of leading blocks that chose the endpoint.
    expected_cached_tokens : int
    reason : str
        Short phrase for logs and ``explain``.
    """

    endpoint: EndpointId
    anchor_level: int
    expected_cached_tokens: int
    reason: str


@dataclass(frozen=True, slots=True)
class Feedback:
    """What the answer of one attempt told about reuse."""

    endpoint: EndpointId
    prompt: Prompt
    cached_tokens: int
    expected_cached_tokens: int
    now_s: float


class Placement(Protocol):
    """A policy that chooses endpoints; it does no I/O."""

    def choose(
        self, prompt: Prompt, endpoints: Sequence[EndpointView], now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""

    def observe(self, feedback: Feedback) -> None:
        """Take in what an answer told."""


class RulePlacement:
    """Rendezvous hashing on one prefix level with bounded load.

    Parameters
    ----------
    anchor_level : int
        Number of leading blocks that are hashed.
    load_factor : float
        Outstanding work over the mean at which an endpoint is passed over.
    """

    def __init__(self, anchor_level: int = 4, load_factor: float = 1.25):
        self.anchor_level = anchor_level
        self.load_factor = load_factor

    def choose(
        self, prompt: Prompt, endpoints: Sequence[EndpointView], now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint has room."""
        if not endpoints:
            return None
        level = min(self.anchor_level, len(prompt.blocks))
        seed = prompt.blocks[level - 1] if level else prompt.scope.compute_seed()
        total = sum(view.outstanding for view in endpoints) + 1
        bound = math.ceil(self.load_factor * total / len(endpoints))
        for view in _rank_views(seed, endpoints):
            if view.outstanding + 1 <= min(bound, view.capacity):
                return Decision(view.id, level, 0, "first in rank below its bound")
        return None

    def observe(self, feedback: Feedback) -> None:
        """Ignore feedback; the rule alone decides."""


def _rank_views(seed: int, endpoints: Sequence[EndpointView]) -> list[EndpointView]:
    def score(view: EndpointView) -> int:
        return xxhash.xxh64_intdigest(view.id.encode(), seed=seed)

    return sorted(endpoints, key=score, reverse=True)


def make_placement() -> Placement:
    """Return the placement that routers use."""
    return RulePlacement()
