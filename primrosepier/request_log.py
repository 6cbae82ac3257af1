"""Logging of the events of a request."""

import contextlib
import re
import time
from collections.abc import Awaitable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from .asgi import Send
from .configuration import Service, Workspace
from .errors import RequestError
from .ids import AttemptId, EndpointId, RequestId
from .log_events import (
    AttemptEnded,
    AttemptStarted,
    DecisionMade,
    RequestEnded,
    RestRequested,
    RetryChosen,
    ReuseObserved,
)
from .logs import emit, make_trace_header
from .outcomes import Completed, Outcome, Refused
from .placement import Decision, EndpointView
from .requests import ModelRequest
from .retry_after import RestRequest

__all__ = [
    "AttemptRecord",
    "LoggedRequest",
    "RequestRecord",
    "TimedSend",
    "record_attempt",
    "record_decision",
    "record_request",
    "record_rest",
    "record_retry",
    "record_reuse",
]

CALLER_LEFT = "CallerLeft"
CUT = "Cut"
REFUSED = "RefusedByRouter"
FAILED = "RouterFailed"
# Only an exception's type is logged: its arguments may hold bytes of an endpoint's
# answer.
EXCEPTION_REPR_PATTERN = re.compile(r"(\w+)\(")


class TimedSend:
    """Wrapper of ``send`` that records the time of the first byte of a body.

    Times count from the creation of the wrapper, after the request's validation.
    """

    def __init__(self, send: Send):
        self.send = send
        self.started_at_s = time.monotonic()
        self.started = False
        self.first_byte_at_s: float | None = None

    def __call__(self, message: dict[str, Any]) -> Awaitable[None]:
        """Send one ASGI message."""
        self.started = True
        if self.first_byte_at_s is None and message.get("body"):
            self.first_byte_at_s = time.monotonic()
        return self.send(message)

    def compute_ttft(self) -> float | None:
        """Return the time in seconds to the first byte, or None if none was sent."""
        if self.first_byte_at_s is None:
            return None
        return self.first_byte_at_s - self.started_at_s


@dataclass(slots=True)
class RequestRecord:
    """A request in progress.

    Its outcome stays None if the caller disconnects, or if the request is refused,
    fails or is cancelled.
    """

    outcome: Outcome | None = None


@dataclass(slots=True)
class AttemptRecord:
    """An attempt in progress, with what is logged at its end."""

    trace_header: str
    started_at_s: float = field(default_factory=time.monotonic)
    headers_s: float | None = None
    outcome: Outcome | None = None

    def record_headers(self) -> None:
        """Record the time from the start to the answer's headers."""
        self.headers_s = time.monotonic() - self.started_at_s


class LoggedRequest(Protocol):
    """Attributes of a request that are logged."""

    @property
    def id(self) -> RequestId:
        """The request id, which is returned to the caller."""

    @property
    def workspace(self) -> Workspace:
        """The caller's workspace."""

    @property
    def service(self) -> Service:
        """The requested service."""


@contextlib.contextmanager
def record_request(
    request: LoggedRequest, send: TimedSend, prompt_tokens: int = 0
) -> Iterator[RequestRecord]:
    """Log the end of the request, even if it is refused, fails or is cancelled."""
    record = RequestRecord()
    outcome_name = CUT
    try:
        yield record
        outcome_name = CALLER_LEFT
    except RequestError:
        outcome_name = REFUSED
        raise
    except Exception:
        outcome_name = FAILED
        raise
    finally:
        outcome = record.outcome
        event = RequestEnded(
            request=request.id,
            workspace=request.workspace.id,
            service=request.service.id,
            outcome=type(outcome).__name__ if outcome else outcome_name,
            step=outcome.step.value if outcome else "",
            peer=outcome.peer if outcome else "",
            reason=_read_reason(outcome),
            prompt_tokens=prompt_tokens,
            cached_tokens=_read_cached_tokens(outcome),
            duration_s=time.monotonic() - send.started_at_s,
            ttft_s=send.compute_ttft(),
        )
        emit(event)


@contextlib.contextmanager
def record_attempt(
    request: LoggedRequest, endpoint: EndpointId, attempt: AttemptId
) -> Iterator[AttemptRecord]:
    """Log the start and the end of an attempt, even if it is cancelled."""
    record = AttemptRecord(make_trace_header())
    emit(AttemptStarted(request.id, attempt, endpoint, record.trace_header))
    try:
        yield record
    finally:
        outcome = record.outcome
        event = AttemptEnded(
            request=request.id,
            attempt=attempt,
            endpoint=endpoint,
            outcome=type(outcome).__name__ if outcome else CUT,
            step=outcome.step.value if outcome else "",
            reason=_read_reason(outcome),
            cached_tokens=_read_cached_tokens(outcome),
            headers_s=record.headers_s,
        )
        emit(event)


def record_decision(
    request: ModelRequest,
    decision: Decision | None,
    views: Sequence[EndpointView],
    tried: int,
) -> None:
    """Log a placement decision, which is None if no candidate has capacity."""
    chosen = decision or Decision(EndpointId(""), 0, 0, "no candidate has room")
    event = DecisionMade(
        request=request.id,
        workspace=request.workspace.id,
        service=request.service.id,
        attempt=tried + 1,
        endpoint=chosen.endpoint,
        prefix_blocks=len(request.prompt.blocks),
        anchor_level=chosen.anchor_level,
        prompt_tokens=request.prompt.tokens,
        expected_cached_tokens=chosen.expected_cached_tokens,
        reason=chosen.reason,
        candidates=len(views),
        views=views,
    )
    emit(event)


def record_retry(request: ModelRequest, tried: int, last: Outcome) -> None:
    """Log that a request is retried after an attempt's outcome."""
    after = type(last).__name__
    emit(RetryChosen(request.id, tried + 1, after, _read_reason(last)))


def record_rest(
    request: LoggedRequest, endpoint: EndpointId, rest: RestRequest
) -> None:
    """Log that an endpoint asked for a time without requests."""
    emit(RestRequested(request.id, endpoint, rest.text, rest.rest_s))


def record_reuse(request: ModelRequest, decision: Decision, outcome: Completed) -> None:
    """Log how much of the prompt was cached and how much was expected to be."""
    event = ReuseObserved(
        request=request.id,
        workspace=request.workspace.id,
        service=request.service.id,
        endpoint=decision.endpoint,
        prompt_tokens=request.prompt.tokens,
        expected_cached_tokens=decision.expected_cached_tokens,
        cached_tokens=outcome.cached_tokens,
    )
    emit(event)


def _read_reason(outcome: Outcome | None) -> str:
    if isinstance(outcome, Refused):
        return f"status {outcome.status}"
    if outcome is None or isinstance(outcome, Completed):
        return ""
    exception = EXCEPTION_REPR_PATTERN.match(outcome.reason)
    return exception[1] if exception else outcome.reason


def _read_cached_tokens(outcome: Outcome | None) -> int:
    return outcome.cached_tokens if isinstance(outcome, Completed) else 0
