"""Attempts of a model request and the state of the answer sent to its caller."""

import secrets
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from .asgi import JSON_TYPE, Send, send_bytes, start_response
from .clocks import Clock
from .configuration import Endpoint
from .decoding import is_json
from .endpoint_client import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    EndpointResponse,
    classify_error,
    is_leaving,
    read_rest,
)
from .ids import AttemptId, EndpointId, make_attempt_id
from .logs import TRACE_HEADER
from .outcomes import (
    Completed,
    Interrupted,
    NotRun,
    Outcome,
    Refused,
    Step,
    UnknownOutcome,
)
from .relay import Tail, read_whole_body, relay_stream
from .request_log import AttemptRecord, record_attempt, record_rest
from .requests import ModelRequest
from .rest_periods import RestPeriods
from .settings import Limits
from .stream_continuation import StreamContinuation, StreamState

__all__ = [
    "AnswerIdentity",
    "AttemptRunner",
    "Delivery",
    "RelayCount",
    "can_continue",
    "make_delivery",
]

ObserveLeaving = Callable[[EndpointId, bool], None]

HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503
MAX_ENDPOINT_ERROR_BYTES = 64 * 1024
SEED_BOUND = 2**31
NOT_CONTINUABLE_FIELDS = ("tools", "functions", "logprobs", "best_of", "echo", "suffix")
EVENT_STREAM = ("content-type", "text/event-stream")
NO_CACHE = ("cache-control", "no-store")


class RelayCount(Enum):
    """Kinds of relay events that are counted over all attempts.

    A crossed answer or event belongs to another attempt.
    """

    CONTINUED = "continued"
    CROSSED_ANSWER = "crossed answer"
    CROSSED_EVENT = "crossed event"
    INTERRUPTED = "interrupted"


@dataclass(frozen=True, slots=True)
class AnswerIdentity:
    """Origin of an answer according to its headers; fields not stated are empty."""

    attempt: str
    version: str
    incarnation: str = ""


@dataclass(slots=True)
class Delivery:
    """State of the answer that one caller receives, over all attempts.

    Parameters
    ----------
    send : Send
    continuation : StreamContinuation
    started : bool
        Whether the status and the headers of an event stream were sent.
    version : str
        Weights version that generated the stream; empty when not stated.
    headers_at_s : float
        Monotonic time at which the last attempt's headers arrived, seconds.
    identity : AnswerIdentity
        Identity of the last attempt's answer.
    """

    send: Send
    continuation: StreamContinuation
    started: bool = False
    version: str = ""
    headers_at_s: float = 0.0
    identity: AnswerIdentity = AnswerIdentity("", "")


def ignore_leaving(endpoint: EndpointId, leaving: bool) -> None:
    """Do nothing; used by a router without peers."""


def make_delivery(request: ModelRequest, send: Send) -> Delivery:
    """Return the delivery of a request whose answer has not started."""
    seed = request.body.get("seed")
    if request.resume_position is not None:
        seed = request.resume_position.seed
    if not isinstance(seed, int):
        seed = secrets.randbelow(SEED_BOUND)
    is_single_answer = request.body.get("n") in (None, 1)
    has_only_text = not any(request.body.get(name) for name in NOT_CONTINUABLE_FIELDS)
    continuation = StreamContinuation(
        seed=seed,
        wants_usage=request.wants_usage,
        continuable=request.idempotent and is_single_answer and has_only_text,
        resume_position=request.resume_position,
    )
    return Delivery(send, continuation)


def can_continue(outcome: Outcome) -> bool:
    """Return whether another attempt may continue the interrupted answer."""
    return isinstance(outcome, Interrupted) and outcome.resumable


@dataclass(slots=True)
class AttemptRunner:
    """Runs attempts and counts relay events.

    Parameters
    ----------
    client : EndpointClient
    limits : Limits
    clock : Clock
    observe_leaving : callable
        Called for each response with its endpoint and whether the response states
        that the endpoint is leaving.
    rests : RestPeriods
        Rest that endpoints have asked this router for.
    """

    client: EndpointClient
    limits: Limits
    clock: Clock = time.monotonic
    observe_leaving: ObserveLeaving = ignore_leaving
    rests: RestPeriods = field(default_factory=RestPeriods)
    counts: Counter[RelayCount] = field(default_factory=Counter)

    async def run(
        self, request: ModelRequest, endpoint: Endpoint, delivery: Delivery
    ) -> Outcome:
        """Send a request to an endpoint and relay its answer."""
        if self.clock() >= request.send_by_s:
            return NotRun(Step.CLAIM, endpoint.id, "the claim lapsed before", 1.0)
        attempt = make_attempt_id()
        with record_attempt(request, endpoint.id, attempt) as record:
            call = self._make_call(
                request, endpoint, delivery, attempt, record.trace_header
            )
            outcome = await self._send(request, endpoint, call, delivery, record)
            record.outcome = self._convert_outcome(outcome, delivery)
        return record.outcome

    def _convert_outcome(self, outcome: Outcome, delivery: Delivery) -> Outcome:
        """Convert a failure to ``Interrupted`` if the caller has part of the answer."""
        if isinstance(outcome, Interrupted):
            self.counts[RelayCount.INTERRUPTED] += 1
        if not delivery.started:
            return outcome
        resumable = delivery.continuation.continuable
        if isinstance(outcome, NotRun):
            return Interrupted(outcome.step, outcome.peer, outcome.reason, resumable)
        if isinstance(outcome, UnknownOutcome):
            return Interrupted(
                outcome.step, outcome.peer, outcome.reason, resumable, outcome.lost
            )
        if isinstance(outcome, Refused):
            reason = f"the endpoint refused with status {outcome.status}"
            return Interrupted(outcome.step, outcome.peer, reason, resumable)
        return outcome

    async def _send(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        call: EndpointCall,
        delivery: Delivery,
        record: AttemptRecord,
    ) -> Outcome:
        sent_at_s = self.clock()
        try:
            async with self.client.open(call) as response:
                delivery.headers_at_s = self.clock()
                record.record_headers()
                self.observe_leaving(endpoint.id, is_leaving(response.headers))
                identity = delivery.identity = _read_identity(response)
                if identity.attempt not in ("", call.attempt):
                    self.counts[RelayCount.CROSSED_ANSWER] += 1
                    reason = "the answer of another attempt arrived"
                    return UnknownOutcome(Step.HEADERS, endpoint.id, reason)
                rest = read_rest(response)
                self.rests.record(endpoint.id, rest, sent_at_s, delivery.headers_at_s)
                if rest is not None:
                    record_rest(request, endpoint.id, rest)
                return await self._relay(
                    request, endpoint, response, identity, delivery
                )
        except (*CONNECT_ERRORS, *RELAY_ERRORS) as error:
            return classify_error(error, endpoint.id)

    def _make_call(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        delivery: Delivery,
        attempt: AttemptId,
        trace_header: str,
    ) -> EndpointCall:
        headers = (
            ("content-type", "application/json"),
            ("x-request-id", request.id),
            ("x-attempt-id", attempt),
            (TRACE_HEADER, trace_header),
        )
        return EndpointCall(
            address=endpoint.address,
            method="POST",
            path=request.path,
            headers=headers,
            body=msgspec.json.encode(_make_body(request, endpoint, delivery)),
            connect_s=self.limits.connect_s,
            request_s=self.limits.request_s,
            attempt=attempt,
            streamed=request.streamed,
        )

    async def _relay(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        response: EndpointResponse,
        identity: AnswerIdentity,
        delivery: Delivery,
    ) -> Outcome:
        if response.status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE):
            reason = f"the endpoint refused with status {response.status}"
            return NotRun(Step.HEADERS, endpoint.id, reason, retry_after_s=1.0)
        if response.status != HTTP_OK:
            return await self._read_refusal(endpoint, response)
        if request.streamed:
            return await self._relay_stream(
                request, endpoint, response, identity, delivery
            )
        return await self._relay_whole(request, endpoint, response, delivery)

    async def _read_refusal(
        self, endpoint: Endpoint, response: EndpointResponse
    ) -> Outcome:
        data = await read_whole_body(response, MAX_ENDPOINT_ERROR_BYTES)
        if data is None:
            reason = f"status {response.status} with an oversized body"
            return UnknownOutcome(Step.HEADERS, endpoint.id, reason)
        return Refused(Step.HEADERS, endpoint.id, response.status, data)

    async def _relay_stream(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        response: EndpointResponse,
        identity: AnswerIdentity,
        delivery: Delivery,
    ) -> Outcome:
        if delivery.started and identity.version != delivery.version:
            reason = "the endpoint has another weights version"
            return Interrupted(Step.HEADERS, endpoint.id, reason, resumable=True)
        if not delivery.started:
            headers = [EVENT_STREAM, NO_CACHE, ("x-request-id", request.id)]
            await start_response(delivery.send, HTTP_OK, headers)
            delivery.started = True
            delivery.version = identity.version
        else:
            self.counts[RelayCount.CONTINUED] += 1
        delivery.continuation.begin(endpoint.resume)
        outcome = await relay_stream(
            response, delivery.send, delivery.continuation, endpoint.id
        )
        if delivery.continuation.state is StreamState.CROSSED:
            self.counts[RelayCount.CROSSED_EVENT] += 1
        return outcome

    async def _relay_whole(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        response: EndpointResponse,
        delivery: Delivery,
    ) -> Outcome:
        data = await read_whole_body(response)
        if data is None:
            return UnknownOutcome(Step.RELAY, endpoint.id, "the answer is too large")
        if not is_json(data):
            return UnknownOutcome(Step.RELAY, endpoint.id, "the answer is not JSON")
        headers = [JSON_TYPE, ("x-request-id", request.id)]
        await send_bytes(delivery.send, HTTP_OK, data, headers)
        tail = Tail()
        tail.add(data)
        return Completed(Step.RELAY, endpoint.id, tail.read_cached_tokens())


def _read_identity(response: EndpointResponse) -> AnswerIdentity:
    attempt = version = incarnation = ""
    for name, value in response.headers:
        lowercase_name = name.lower()
        if lowercase_name == b"x-attempt-id":
            attempt = value.decode("latin-1")
        elif lowercase_name == b"x-weights-version":
            version = value.decode("latin-1")
        elif lowercase_name == b"x-incarnation":
            incarnation = value.decode("latin-1")
    return AnswerIdentity(attempt, version, incarnation)


def _make_body(
    request: ModelRequest, endpoint: Endpoint, delivery: Delivery
) -> dict[str, Any]:
    body = dict(request.body)
    body["cache_salt"] = request.workspace.id
    if not endpoint.priorities:
        body.pop("priority", None)
    if not request.streamed:
        return body
    body["stream_options"] = {"include_usage": True}
    body["seed"] = delivery.continuation.seed
    if delivery.continuation.text and endpoint.resume:
        body["resume"] = {"text": delivery.continuation.decode_text()}
    return body
