"""Interface of placement policies, which choose an endpoint for each request."""

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
    """State of one candidate endpoint as known to this router.

    Parameters
    ----------
    outstanding : int
        Requests of this router in progress at the endpoint.
    reported : int
        Requests running and waiting at the endpoint in its last load report.
    report_age_s : float
        Age of that report in seconds; infinite without a report.
    capacity : int
        Concurrency limit of the endpoint, requests.
    waiting : int
        Requests waiting at the endpoint in its last load report.
    pending_tokens : int
        Uncached prompt tokens of this router's requests that are still in prefill.
    incarnation : Incarnation
        Current run of the endpoint's process; empty when unknown.
    version : WeightsVersion
        Weights being served; empty when unknown.
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
    """Lookup of the endpoints of one service."""

    @property
    def ring(self) -> Ring:
        """Hash ring of all declared endpoints, replaced on a new configuration."""

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it is not eligible."""

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return the smoothed prefill load relative to the service's mean.

        It is 1 if the load is unknown.
        """


class DecisionKind(Enum):
    """Relation of the chosen endpoint to the prompt's prefix.

    ``PREFERRED`` is the first preferred replica of the prefix, ``SPLIT`` another one of
    a prefix that is spread over several, ``HOLDER`` any other endpoint that is expected
    to hold more than the first prefix level, and ``OVERFLOW`` the rest.
    """

    PREFERRED = "home of the prefix"
    SPLIT = "home of a split prefix"
    HOLDER = "holder of the prefix"
    OVERFLOW = "spill"


@dataclass(frozen=True, slots=True)
class Decision:
    """Endpoint chosen for a request, and the reason for the choice.

    Parameters
    ----------
    anchor_level : int
        Number of leading blocks whose hash selected the preferred replicas.
    expected_cached_tokens : int
    reason : str
        Short phrase for logs and ``explain``.
    incarnation : Incarnation
        Incarnation of the endpoint when it was chosen.
    version : WeightsVersion
        Weights version of the endpoint when it was chosen.
    """

    endpoint: EndpointId
    anchor_level: int
    expected_cached_tokens: int
    reason: str
    incarnation: Incarnation = Incarnation("")
    version: WeightsVersion = WeightsVersion("")
    kind: DecisionKind = DecisionKind.PREFERRED


@dataclass(frozen=True, slots=True)
class Feedback:
    """Prefix reuse reported in the answer of one attempt.

    Parameters
    ----------
    cached_tokens : int
        Prompt tokens that the endpoint read from its cache.
    incarnation : Incarnation
        Incarnation reported in the answer.
    version : WeightsVersion
        Weights version reported in the answer.
    kind : DecisionKind
        Copied from the decision that led to the attempt.
    """

    endpoint: EndpointId
    prompt: Prompt
    cached_tokens: int
    expected_cached_tokens: int
    now_s: float
    incarnation: Incarnation = Incarnation("")
    version: WeightsVersion = WeightsVersion("")
    kind: DecisionKind = DecisionKind.PREFERRED


class Placement(Protocol):
    """A policy that chooses endpoints, without I/O."""

    def choose(
        self, prompt: Prompt, table: EndpointTable, now_s: float
    ) -> Decision | None:
        """Return the decision, or None when no endpoint can accept the request."""

    def observe(self, feedback: Feedback) -> None:
        """Update the policy with the prefix reuse reported in an answer."""


class ViewList:
    """EndpointTable over a fixed list of views.

    Parameters
    ----------
    views : sequence of EndpointView
    ring : Ring, optional
        Ring of all declared endpoints; built from the views by default.
    """

    def __init__(self, views: Sequence[EndpointView], ring: Ring | None = None):
        self.views = {view.id: view for view in views}
        self.ring = Ring(tuple(sorted(self.views))) if ring is None else ring

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it is not eligible."""
        return self.views.get(endpoint)

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return the smoothed prefill load relative to the service's mean.

        It is 1 if the load is unknown.
        """
        return 1.0
