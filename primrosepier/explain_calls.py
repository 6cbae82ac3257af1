"""Descriptions of the events of calls of declared routes, in text for operators."""

from collections.abc import Iterator
from functools import singledispatch

from .forwarding.quotas.records import QuotaExceeded
from .forwarding.records import (
    CallEnded,
    CallFailed,
    CallLost,
    CallPassedOn,
    CallPlaced,
    CallRejected,
    CallRepeated,
    CallWithdrawn,
    HelperGivenUp,
    LinksChanged,
    PermitRefused,
    StreamTakenUp,
)
from .forwarding.room.records import PrefillRejected, PrefillWaited

__all__ = ["describe_call", "describe_outcome"]

OUTCOME_DESCRIPTIONS = {
    "Completed": "the whole answer was relayed",
    "NotRun": "it did not run",
    "Refused": "the endpoint refused it with a final error",
    "UnknownOutcome": "it may have run; the answer was lost",
    "Interrupted": "the answer began and broke off",
    "CallerLeft": "the caller left before the end",
    "RefusedByRouter": "the router refused it",
    "RouterFailed": "the router failed on it",
    "Cut": "the router stopped serving it",
}


def describe_outcome(outcome: str) -> str:
    """Return the description of an outcome, or its name if it has none."""
    return OUTCOME_DESCRIPTIONS.get(outcome, outcome)


@singledispatch
def describe_call(event: object) -> Iterator[str]:
    """Return the lines that describe an event of a call; none for other events."""
    return iter(())


@describe_call.register
def _describe_rejected(event: CallRejected) -> Iterator[str]:
    yield f"The router refused it: status {event.status}, {event.code}."
    yield (
        f"  Declaration {event.declaration} was in force; last contact with the "
        f"store {event.heard_age_s:.1f} s before."
    )


@describe_call.register
def _describe_failed(event: CallFailed) -> Iterator[str]:
    yield "The router met an unexpected error, so its outcome is unknown:"
    yield from (f"  {error}" for error in event.errors)


@describe_call.register
def _describe_placed(event: CallPlaced) -> Iterator[str]:
    yield (
        f"Chose {event.endpoint} of {event.candidates} candidates of "
        f"{event.service}: {event.kind}; {event.remaining_s:.3f} s remained."
    )
    age = event.report_age_s
    reported = "no load reported" if age is None else f"load reported {age:.1f} s ago"
    yield (
        f"  {event.outstanding} calls of this router in progress there, "
        f"{event.pending_tokens} prompt tokens pending, {reported}."
    )
    yield (
        f"  {event.uncached_tokens} tokens of the prompt are to be computed; other "
        f"routers have {event.peer_tokens} prompt tokens pending there, and "
        f"{event.decoding} outputs are generated."
    )
    yield from _describe_replica(event)


def _describe_replica(event: CallPlaced) -> Iterator[str]:
    """Describe what was unusual about the chosen replica, or the others."""
    if event.slowness != 1.0:
        yield f"  Work was expected to take {event.slowness:.2f} times as long."
    if event.weights_lag_s is not None:
        yield (
            f"  Its weights had been outdated for {event.weights_lag_s:.3f} s; the "
            f"output was expected to begin in {event.forecast_wait_s or 0.0:.3f} s."
        )
    if event.backoff_s:
        yield f"  It was in backoff for another {event.backoff_s:.3f} s."
    if event.resting:
        yield f"  {event.resting} other replicas had asked for rest."
    if event.software:
        yield f"  The replica's software is {event.software}."
    if event.resumed_call:
        yield f"  The stream began with {event.resumed_call}."


@describe_call.register
def _describe_lost(event: CallLost) -> Iterator[str]:
    shared = ", ".join(f"{fingerprint:016x}" for fingerprint in event.fingerprints)
    yield (
        f"Lost the connection to {event.endpoint} after "
        f"{event.duration_s * 1000:.1f} ms; shared parts and request: {shared}."
    )


@describe_call.register
def _describe_withdrawn(event: CallWithdrawn) -> Iterator[str]:
    lag = "" if event.weights_lag_s is None else f" for {event.weights_lag_s:.3f} s"
    yield (
        f"Withdrawn from {event.endpoint}, where it had not begun after "
        f"{event.wait_s:.3f} s: its weights had been outdated{lag}."
    )


@describe_call.register
def _describe_permit(event: PermitRefused) -> Iterator[str]:
    rate = "" if event.rate_per_s is None else f" {event.rate_per_s:g} requests/s"
    yield (
        f"Not sent to {event.endpoint}: it limits all routers to{rate}, "
        f"and has room in {event.wait_s * 1000:.0f} ms."
    )


@describe_call.register
def _describe_quota(event: QuotaExceeded) -> Iterator[str]:
    yield (
        f"Its workspace {event.workspace} requested {event.asked_per_s:.0f}/s of a "
        f"quota of {event.rate_per_s:.0f}/s; {event.probability:.1%} of its calls "
        f"were admitted."
    )
    yield (
        f"  The call cost {event.cost:.0f} and the bucket held "
        f"{event.available:.0f}; retry in {event.retry_after_s:.3f} s."
    )


@describe_call.register(PrefillWaited)
@describe_call.register(PrefillRejected)
def _describe_prefill(event: PrefillWaited | PrefillRejected) -> Iterator[str]:
    yield f"Long prompt: {event.describe()}."


@describe_call.register
def _describe_passed_on(event: CallPassedOn) -> Iterator[str]:
    yield (
        f"This router had no replica that it could use: attempt {event.attempt} "
        f"went to {event.peer}."
    )


@describe_call.register(LinksChanged)
@describe_call.register(HelperGivenUp)
def _describe_links(event: LinksChanged | HelperGivenUp) -> Iterator[str]:
    yield f"The router's links to the replicas: {event.describe()}."


@describe_call.register
def _describe_taken_up(event: StreamTakenUp) -> Iterator[str]:
    software = event.software or "an unknown version"
    yield (
        f"Takes up the stream of {event.resumed_call}, which began at "
        f"{software}: {event.result}."
    )


@describe_call.register
def _describe_repeated(event: CallRepeated) -> Iterator[str]:
    outcome = describe_outcome(event.outcome)
    where = f"Attempt {event.attempt} at {event.endpoint}"
    yield f"{where}: {outcome} ({event.reason})."


@describe_call.register
def _describe_end(event: CallEnded) -> Iterator[str]:
    outcome = describe_outcome(event.outcome)
    reason = f" ({event.reason})" if event.reason else ""
    status = f"status {event.status}" if event.status else "no answer"
    yield (
        f"End after {event.duration_s * 1000:.1f} ms and {event.attempts} attempts, "
        f"{status}: {outcome}{reason}, at {event.peer}, step {event.step}."
    )
    if event.first_byte_s is not None:
        yield f"  The first byte went out after {event.first_byte_s * 1000:.1f} ms."
    if event.output_limit:
        last_event = event.last_event or "unknown"
        yield (
            f"  It asked for up to {event.output_limit} tokens; the last event sent: "
            f"{last_event}."
        )
    if event.framed is not None:
        end = "a length or chunks" if event.framed else "its connection's close"
        place = ", within an event" if event.within_event else ""
        yield f"  The end of the replica's response was marked by {end}{place}."
    yield (
        f"  Declaration {event.declaration} was in force; last contact with the "
        f"store {event.heard_age_s:.1f} s before."
    )
