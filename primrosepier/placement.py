"""Types of the choice of an endpoint for a request."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from .hash_ring import Ring
from .ids import EndpointId, FailureDomain, Incarnation, WeightsVersion
from .prompts import Prompt

__all__ = [
    "EndpointTable",
    "Decision",
    "EndpointView",
    "Feedback",
    "Placement",
    "ViewList",
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
    waiting : int
        Requests waiting there by its last report.
    pending_tokens : int
        Uncached prompt tokens of this router's requests without a first token.
    incarnation : Incarnation
        Life of the process; empty when unknown.
    version : WeightsVersion
        Weights that it serves; empty when unknown.
    """

    id: EndpointId
    failure_domain: FailureDomain
    outstanding: int = 0
    reported: int = 0
    report_age_s: float = float("inf")
    capacity: int = 64
    waiting: int = 0
    pending_tokens: int = 0
    incarnation: Incarnation = Incarnation("")
    version: WeightsVersion = WeightsVersion("")


class EndpointTable(Protocol):
    """Endpoints of one service, looked at one by one."""

    @property
    def ring(self) -> Ring:
        """All declared endpoints; replaced only when the declaration changes."""

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it may get no request now."""

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return the smoothed prefill work over the service's mean, 1 if unknown."""


class DecisionKind(Enum):
    """How a chosen endpoint stands to the prompt's prefix."""

    HOME = "home of the prefix"
    SPLIT = "home of a split prefix"
    HOLDER = "holder of the prefix"
    SPILL = "spill"


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
    incarnation : Incarnation
    version : WeightsVersion
        Of the endpoint when it was chosen.
    """

    endpoint: EndpointId
    anchor_level: int
    expected_cached_tokens: int
    reason: str
    incarnation: Incarnation = Incarnation("")
    version: WeightsVersion = WeightsVersion("")
    kind: DecisionKind = DecisionKind.HOME


@dataclass(frozen=True, slots=True)
class Feedback:
    """What the answer of one attempt told about reuse.

    Parameters
    ----------
    cached_tokens : int
        Prompt tokens that the endpoint read from its cache.
    incarnation : Incarnation
    version : WeightsVersion
    kind : DecisionKind
        As in the decision that led to the attempt.
    """

    endpoint: EndpointId
    prompt: Prompt
    cached_tokens: int
    expected_cached_tokens: int
    now_s: float
    incarnation: Incarnation = Incarnation("")
    version: WeightsVersion = WeightsVersion("")
    kind: DecisionKind = DecisionKind.HOME


class Placement(Protocol):
    """A policy that chooses endpoints; it does no I/O."""

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can take the request."""

    def observe(self, feedback: Feedback) -> None:
        """Take in what an answer told."""


class ViewList:
    """EndpointTable from views that are at hand.

    Parameters
    ----------
    views : sequence of EndpointView
    ring : Ring, optional
        All declared endpoints; those of the views when absent.
    """

    def __init__(self, views: Sequence[EndpointView], ring: Ring | None = None):
        self.views = {view.id: view for view in views}
        self.ring = Ring(tuple(sorted(self.views))) if ring is None else ring

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it may get no request now."""
        return self.views.get(endpoint)

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return the smoothed prefill work over the service's mean, 1 if unknown."""
        return 1.0
