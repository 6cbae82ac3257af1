"""Explanation of a request's routing, in text for operators."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .explain_calls import describe_call, describe_outcome
from .forwarding.records import (
    CallEnded,
    CallFailed,
    CallRejected,
    HelperGivenUp,
    LinksChanged,
)
from .log_events import (
    AttemptEnded,
    AttemptStarted,
    ClaimSettled,
    DecisionMade,
    Event,
    RequestEnded,
    RequestRefused,
    RestRequested,
    RetryChosen,
    ReuseObserved,
    SeenCandidate,
)
from .log_lines import LogLine, decode_event
from .timeline import Timeline

__all__ = ["Explanation", "explain_request", "list_requests", "render_explanation"]

LINKS_PART = LinksChanged.part
# Time before a request for which changes of its router's links are shown, seconds.
LINKS_BEFORE_S = 5.0
LINKS_EVENTS = LinksChanged | HelperGivenUp
END_EVENTS = RequestEnded | RequestRefused | CallEnded | CallFailed | CallRejected


@dataclass(slots=True)
class Explanation:
    """Ordered events of one request.

    Parameters
    ----------
    routers : list of str
        Hosts that handled the request.
    events : list of tuple of float and Event
        Time on the timeline, seconds, and the event.
    """

    request: str
    routers: list[str] = field(default_factory=list)
    events: list[tuple[float, Event]] = field(default_factory=list)


def explain_request(timeline: Timeline, request: str) -> Explanation | None:
    """Collect a request's events; return None if the logs have none."""
    explanation = Explanation(request)
    for entry in timeline.entries:
        if entry.line.request != request:
            continue
        _add(explanation, entry.at_s, entry.line)
    if not explanation.events:
        return None
    _add_links(explanation, timeline)
    return explanation


def _add_links(explanation: Explanation, timeline: Timeline) -> None:
    """Add what its routers found of their links, shortly before it and within it."""
    start_s, end_s = explanation.events[0][0], explanation.events[-1][0]
    links = [
        (entry.at_s, event)
        for entry in timeline.entries
        if entry.line.part == LINKS_PART
        and entry.line.host in explanation.routers
        and start_s - LINKS_BEFORE_S <= entry.at_s <= end_s
        and (event := decode_event(entry.line)) is not None
    ]
    explanation.events = sorted(explanation.events + links, key=lambda x: x[0])


def _add(explanation: Explanation, at_s: float, line: LogLine) -> None:
    event = decode_event(line)
    if event is None:
        return
    explanation.events.append((at_s, event))
    if line.part != "engine" and line.host not in explanation.routers:
        explanation.routers.append(line.host)


def render_explanation(explanation: Explanation) -> list[str]:
    """Return the explanation as lines of text."""
    routers = ", ".join(explanation.routers) or "no router whose log was given"
    lines = [f"Request {explanation.request}, handled by {routers}."]
    start_s = next(
        at_s
        for at_s, event in explanation.events
        if not isinstance(event, LINKS_EVENTS)
    )
    ended = False
    for at_s, event in explanation.events:
        ended = ended or isinstance(event, END_EVENTS)
        for text in _describe(event):
            lines.append(f"{(at_s - start_s) * 1000:9.1f} ms  {text}")
    if not ended:
        lines.append(
            "The logs do not show its end: it is in progress or lines are missing."
        )
    return lines


def _describe(event: Event) -> Iterator[str]:
    if isinstance(event, DecisionMade):
        yield from _describe_decision(event)
    elif isinstance(event, RetryChosen):
        outcome = describe_outcome(event.after)
        yield f"Retry {event.attempt - 1}: {outcome} ({event.reason})."
    elif isinstance(event, AttemptStarted):
        yield f"Sent to {event.endpoint}."
    elif isinstance(event, AttemptEnded):
        yield _describe_attempt(event)
    elif isinstance(event, RestRequested):
        yield (
            f"{event.endpoint} turned it away and wants no calls of this router for "
            f"{event.rest_s:.3f} s (it named {event.retry_after!r})."
        )
    elif isinstance(event, ReuseObserved):
        yield _describe_reuse(event)
    elif isinstance(event, ClaimSettled):
        duration_ms = event.duration_s * 1000
        yield f"Claim of its idempotency key: {event.result} in {duration_ms:.1f} ms."
    elif isinstance(event, RequestRefused):
        yield f"The router refused it: status {event.status}, {event.code}."
    elif isinstance(event, RequestEnded):
        yield from _describe_end(event)
    else:
        yield from describe_call(event)


def _describe_decision(event: DecisionMade) -> Iterator[str]:
    if not event.endpoint:
        yield f"No endpoint of {event.service} was chosen: {event.reason}."
    else:
        count = event.candidates
        yield (
            f"Chose {event.endpoint} of {count} candidates of {event.service} "
            f"for workspace {event.workspace}: {event.reason}."
        )
        yield (
            f"  The first {event.anchor_level} of {event.prefix_blocks} prompt blocks "
            f"decided; expected {event.expected_cached_tokens} of "
            f"{event.prompt_tokens} prompt tokens to be cached there."
        )
    for seen in event.seen:
        yield f"  {_describe_candidate(seen)}"


def _describe_candidate(seen: SeenCandidate) -> str:
    text = f"{seen.id}: {seen.outstanding} requests of this router in progress"
    if seen.report_age_s is None:
        return f"{text}; it has not reported its load."
    return f"{text}; reported {seen.reported} in all, {seen.report_age_s:.1f} s before."


def _describe_attempt(event: AttemptEnded) -> str:
    outcome = describe_outcome(event.outcome)
    place = f" at step {event.step}" if event.step else ""
    reason = f": {event.reason}" if event.reason else ""
    return f"{event.endpoint}: {outcome}{place}{reason}."


def _describe_reuse(event: ReuseObserved) -> str:
    return (
        f"{event.endpoint} had {event.cached_tokens} of {event.prompt_tokens} prompt "
        f"tokens cached; {event.expected_cached_tokens} were expected."
    )


def _describe_end(event: RequestEnded) -> Iterator[str]:
    outcome = describe_outcome(event.outcome)
    reason = f" ({event.reason})" if event.reason else ""
    yield f"End after {event.duration_s * 1000:.1f} ms: {outcome}{reason}."
    if event.ttft_s is not None:
        yield f"  The first byte went out after {event.ttft_s * 1000:.1f} ms."


def list_requests(timeline: Timeline) -> Sequence[str]:
    """Return the ids of all requests on a timeline, in order."""
    requests = (entry.line.request for entry in timeline.entries)
    return list(dict.fromkeys(request for request in requests if request))
