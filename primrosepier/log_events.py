"""Typed log events, each with its part, level and message."""

import heapq
from collections.abc import Sequence
from enum import IntEnum
from typing import ClassVar

import msgspec

from .ids import AttemptId, EndpointId, RequestId, ServiceId, WorkspaceId
from .placement import EndpointView

__all__ = [
    "ANY_EVENT",
    "AttemptEnded",
    "AttemptStarted",
    "ClaimSettled",
    "ConnectionsLimited",
    "DecisionMade",
    "EngineAnswered",
    "Event",
    "EventsDropped",
    "LogLevel",
    "PromiseBroken",
    "RequestEnded",
    "RequestRefused",
    "RequestReceived",
    "RestRequested",
    "RetryChosen",
    "ReuseObserved",
    "RouterEnded",
    "MirrorFailed",
    "RouterFailed",
    "SeenCandidate",
    "SectionWritten",
    "SlideFound",
    "TaskFailed",
    "select_candidates",
]

MAX_CANDIDATES = 4


class LogLevel(IntEnum):
    """Log level; each level includes the lower ones."""

    OFF = 0
    ERROR = 1
    INFO = 2
    DEBUG = 3


class SeenCandidate(msgspec.Struct, frozen=True):
    """State of one candidate at the time of a decision.

    Parameters
    ----------
    report_age_s : float or None
        Age of the last load report, seconds; None without one.
    """

    id: EndpointId
    outstanding: int
    reported: int
    report_age_s: float | None


class Event(msgspec.Struct, frozen=True, tag_field="message_type", tag=True):
    """Base class of events, which hold ids, numbers and short reasons only."""

    part: ClassVar[str] = ""
    level: ClassVar[LogLevel] = LogLevel.INFO

    def describe(self) -> str:
        """Return the event as one short sentence."""
        raise NotImplementedError


class RequestReceived(Event, frozen=True):
    """A router received a request."""

    part: ClassVar[str] = "callers"
    request: RequestId

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"received {self.request}"


class RequestRefused(Event, frozen=True):
    """A router refused a request instead of sending it to an endpoint.

    Follows `RequestEnded` if the request was refused after its validation.
    """

    part: ClassVar[str] = "callers"
    request: RequestId
    status: int
    code: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"refused {self.request} with {self.status} {self.code}"


class RequestEnded(Event, frozen=True):
    """A request that passed validation ended at a router.

    Parameters
    ----------
    outcome : str
        Name of the outcome's class, or ``CallerLeft``, ``RefusedByRouter``,
        ``RouterFailed`` or, if it was cancelled, ``Cut``.
    prompt_tokens, cached_tokens : int
        Length of the prompt and the part of it that the endpoint had cached.
    ttft_s : float or None
        Time from the request's validation to the first byte of the answer, seconds;
        None when none was sent.
    """

    part: ClassVar[str] = "callers"
    request: RequestId
    workspace: WorkspaceId
    service: ServiceId
    outcome: str
    step: str
    peer: str
    reason: str
    prompt_tokens: int
    cached_tokens: int
    duration_s: float
    ttft_s: float | None = None

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ended {self.request} as {self.outcome} at {self.step}"


class DecisionMade(Event, frozen=True):
    """Placement chose an endpoint, or none was available.

    Parameters
    ----------
    attempt : int
        Number of the attempt, from 1.
    endpoint : str
        Empty when no candidate has capacity.
    prefix_blocks, anchor_level : int
        Number of whole blocks of the prompt, and number of its leading blocks that
        determined the choice.
    candidates : int
        Number of endpoints considered.
    seen : tuple of SeenCandidate
        The chosen and the least loaded candidates; filled when the log is written.
    views : sequence of EndpointView
        All candidates; not written to the log.
    """

    part: ClassVar[str] = "dispatch"
    request: RequestId
    workspace: WorkspaceId
    service: ServiceId
    attempt: int
    endpoint: EndpointId
    prefix_blocks: int
    anchor_level: int
    prompt_tokens: int
    expected_cached_tokens: int
    reason: str
    candidates: int
    seen: tuple[SeenCandidate, ...] = ()
    views: Sequence[EndpointView] = ()

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if not self.endpoint:
            return f"found no endpoint for {self.request}"
        level = f"prefix block {self.anchor_level} of {self.prefix_blocks}"
        return f"chose {self.endpoint} for {self.request} at {level}"


class RetryChosen(Event, frozen=True):
    """A request is to be retried or its stream continued; no endpoint is chosen yet.

    Parameters
    ----------
    attempt : int
        Number of the next attempt, from 2.
    after : str
        Name of the class of the outcome so far.
    """

    part: ClassVar[str] = "dispatch"
    request: RequestId
    attempt: int
    after: str
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"retries {self.request} after {self.after}"


class AttemptStarted(Event, frozen=True):
    """A request is about to be sent to an endpoint.

    Parameters
    ----------
    hop : str
        Trace header sent with the request.
    """

    part: ClassVar[str] = "attempt"
    request: RequestId
    attempt: AttemptId
    endpoint: EndpointId
    hop: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"sends {self.request} to {self.endpoint}"


class AttemptEnded(Event, frozen=True):
    """An attempt ended.

    Parameters
    ----------
    headers_s : float or None
        Time from the start to the answer's headers, seconds; None without them.
    """

    part: ClassVar[str] = "attempt"
    request: RequestId
    attempt: AttemptId
    endpoint: EndpointId
    outcome: str
    step: str
    reason: str
    cached_tokens: int
    headers_s: float | None

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ended at {self.endpoint} as {self.outcome} for {self.request}"


class RestRequested(Event, frozen=True):
    """An endpoint turned a request away and asked for a time without requests.

    Parameters
    ----------
    retry_after : str
        What its answer named.
    rest_s : float
        Time that is granted, seconds; 0 if the answer named no time.
    """

    part: ClassVar[str] = "attempt"
    request: RequestId
    endpoint: EndpointId
    retry_after: str
    rest_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"{self.endpoint} turned {self.request} away and asked for"
            f" {self.retry_after!r}: {self.rest_s:.3f} s of rest"
        )


class ReuseObserved(Event, frozen=True):
    """Prefix cache reuse that an answer reported, and the expected reuse."""

    part: ClassVar[str] = "dispatch"
    request: RequestId
    workspace: WorkspaceId
    service: ServiceId
    endpoint: EndpointId
    prompt_tokens: int
    expected_cached_tokens: int
    cached_tokens: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        reuse = f"{self.cached_tokens} of {self.prompt_tokens} prompt tokens"
        return f"reused {reuse} at {self.endpoint} for {self.request}"


class SlideFound(Event, frozen=True):
    """Prefix reuse at one level of a workspace declined over the last week.

    Parameters
    ----------
    base_rate, recent_rate : float
        Fraction of prompt tokens served from caches before and in the last week.
    """

    part: ClassVar[str] = "drift"
    workspace: WorkspaceId
    prefix_level: int
    base_rate: float
    recent_rate: float
    cause: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        rates = f"from {self.base_rate:.3f} to {self.recent_rate:.3f}"
        where = f"{self.workspace} at prefix level {self.prefix_level}"
        return f"reuse of {where} declined {rates}, cause: {self.cause}"


class ClaimSettled(Event, frozen=True):
    """A router's attempt to claim an idempotency key ended.

    Parameters
    ----------
    result : str
        Name of the result's class; ``Claimed`` when the call may run.
    """

    part: ClassVar[str] = "claims"
    request: RequestId
    workspace: WorkspaceId
    result: str
    duration_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"settled the claim of {self.request} as {self.result}"


class PromiseBroken(Event, frozen=True):
    """A monitored guarantee was violated.

    Parameters
    ----------
    promise : str
        Value of ``Promise``.
    """

    part: ClassVar[str] = "promises"
    level: ClassVar[LogLevel] = LogLevel.ERROR
    promise: str
    request: str = ""
    reason: str = ""

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"broke {self.promise}: {self.reason}"


class EngineAnswered(Event, frozen=True):
    """An engine received, answered or lost a call."""

    part: ClassVar[str] = "engine"
    request: str
    result: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{self.result} {self.request}"


class RouterEnded(Event, frozen=True):
    """A router's process ends as requested."""

    part: ClassVar[str] = "router"

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return "ends as requested"


class RouterFailed(Event, frozen=True):
    """A router's process ends by an error.

    Parameters
    ----------
    errors : tuple of str
        The error and the chain of its causes, each with the place where it was raised.
    """

    part: ClassVar[str] = "router"
    level: ClassVar[LogLevel] = LogLevel.ERROR
    errors: tuple[str, ...]

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ends by an error: {self.errors[-1]}"


class TaskFailed(Event, frozen=True):
    """A background task met an unexpected error and begins anew.

    Parameters
    ----------
    errors : tuple of str
        The error and the chain of its causes, each with the place where it was raised.
    """

    part: ClassVar[str] = "tasks"
    level: ClassVar[LogLevel] = LogLevel.ERROR
    errors: tuple[str, ...]

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"begins a background task anew: {self.errors[-1]}"


class ConnectionsLimited(Event, frozen=True):
    """Connections of callers were closed because of a limit.

    Parameters
    ----------
    reason : str
        The limit.
    count : int
        Connections that were closed because of it since the last such event.
    connections, held_bytes : int
        Open connections of all callers, and the memory that they hold.
    """

    part: ClassVar[str] = "callers"
    reason: str
    count: int
    connections: int
    held_bytes: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"closed {self.count} connections: {self.reason}"


class MirrorFailed(Event, frozen=True):
    """A change of the store met an unexpected error, and may not be applied in full.

    Parameters
    ----------
    errors : tuple of str
        The error and the chain of its causes, each with the place where it was raised.
    """

    part: ClassVar[str] = "store"
    level: ClassVar[LogLevel] = LogLevel.ERROR
    errors: tuple[str, ...]

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"could not apply a change of the store in full: {self.errors[-1]}"


class SectionWritten(Event, frozen=True):
    """A board section was written."""

    part: ClassVar[str] = "board"
    section: str
    revision: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"wrote {self.section} at revision {self.revision}"


class EventsDropped(Event, frozen=True):
    """Log lines were dropped because the sink was too slow."""

    part: ClassVar[str] = "logs"
    level: ClassVar[LogLevel] = LogLevel.ERROR
    count: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"dropped {self.count} events"


def select_candidates(
    chosen: EndpointId, views: Sequence[EndpointView]
) -> tuple[SeenCandidate, ...]:
    """Return the chosen candidate and the least loaded others."""

    def rank(view: EndpointView) -> tuple[bool, int]:
        return (view.id != chosen, view.outstanding + view.reported)

    selected = heapq.nsmallest(MAX_CANDIDATES, views, key=rank)
    return tuple(_make_seen_candidate(view) for view in selected)


def _make_seen_candidate(view: EndpointView) -> SeenCandidate:
    has_no_report = view.report_age_s == float("inf")
    age_s = None if has_no_report else round(view.report_age_s, 3)
    return SeenCandidate(view.id, view.outstanding, view.reported, age_s)


ANY_EVENT = (
    AttemptEnded
    | AttemptStarted
    | ClaimSettled
    | ConnectionsLimited
    | DecisionMade
    | EngineAnswered
    | EventsDropped
    | PromiseBroken
    | RequestEnded
    | RequestReceived
    | RequestRefused
    | RestRequested
    | RetryChosen
    | ReuseObserved
    | RouterEnded
    | RouterFailed
    | SectionWritten
    | SlideFound
)
