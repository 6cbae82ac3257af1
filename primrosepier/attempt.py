"""One attempt at one endpoint, and what the caller has got so far."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from .asgi import Send, send_bytes, start_response
from .clocks import Clock
from .configuration import Endpoint
from .engines import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    EndpointResponse,
    classify_error,
    is_leaving,
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
from .relay import Tail, relay_stream
from .request_log import AttemptRecord, record_attempt
from .requests import ModelRequest
from .settings import Limits

__all__ = ["Attempts", "Delivery", "can_continue", "make_delivery"]

ObserveLeaving = Callable[[EndpointId, bool], None]

HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
EVENT_STREAM = ("content-type", "text/event-stream")


@dataclass(slots=True)
class Delivery:
    """What one request's caller has got over all attempts.

    Parameters
    ----------
    send : Send
    headers_at_s : float
        Monotonic time at which the last attempt's answer began, seconds.
    """

    send: Send
    headers_at_s: float = 0.0


def ignore_leaving(endpoint: EndpointId, leaving: bool) -> None:
    """Tell nobody; used by a router without peers."""


def make_delivery(request: ModelRequest, send: Send) -> Delivery:
    """Return the delivery of a request of which nothing went out yet."""
    return Delivery(send)


def can_continue(outcome: Outcome) -> bool:
    """Return whether another attempt may go on where this one broke off."""
    return isinstance(outcome, Interrupted) and outcome.resumable


@dataclass(slots=True)
class Attempts:
    """Runs attempts.

    Parameters
    ----------
    client : EndpointClient
    limits : Limits
    clock : Clock
    observe_leaving : callable
        Takes each response's endpoint and whether it says that it is leaving.
    """

    client: EndpointClient
    limits: Limits
    clock: Clock = time.monotonic
    observe_leaving: ObserveLeaving = ignore_leaving

    async def run(
        self, request: ModelRequest, endpoint: Endpoint, delivery: Delivery
    ) -> Outcome:
        """Send a request to an endpoint and relay its answer."""
        attempt = make_attempt_id()
        with record_attempt(request, endpoint.id, attempt) as record:
            call = self._make_call(request, endpoint, attempt, record.hop)
            record.outcome = await self._send(request, endpoint, call, delivery, record)
        return record.outcome

    async def _send(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        call: EndpointCall,
        delivery: Delivery,
        record: AttemptRecord,
    ) -> Outcome:
        try:
            async with self.client.open(call) as response:
                delivery.headers_at_s = self.clock()
                record.mark_headers()
                self.observe_leaving(endpoint.id, is_leaving(response.headers))
                return await self._relay(request, endpoint, response, delivery.send)
        except (*CONNECT_ERRORS, *RELAY_ERRORS) as error:
            return classify_error(error, endpoint.id)

    def _make_call(
        self, request: ModelRequest, endpoint: Endpoint, attempt: AttemptId, hop: str
    ) -> EndpointCall:
        body = dict(request.body)
        body["cache_salt"] = request.workspace.id
        if request.streamed:
            body["stream_options"] = {"include_usage": True}
        headers = (
            ("content-type", "application/json"),
            ("x-request-id", request.id),
            ("x-attempt-id", attempt),
            (TRACE_HEADER, hop),
        )
        return EndpointCall(
            address=endpoint.address,
            method="POST",
            path=request.path,
            headers=headers,
            body=msgspec.json.encode(body),
            connect_s=self.limits.connect_s,
            request_s=self.limits.request_s,
        )

    async def _relay(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        response: EndpointResponse,
        send: Send,
    ) -> Outcome:
        if response.status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
            reason = f"the endpoint refused with status {response.status}"
            return NotRun(Step.HEADERS, endpoint.id, reason, retry_after_s=1.0)
        identity = ("x-request-id", request.id)
        if request.streamed and response.status == HTTP_OK:
            await start_response(send, HTTP_OK, [EVENT_STREAM, identity])
            return await relay_stream(response, send, endpoint.id)
        parts = [part async for part in response.aiter_stream()]
        data = b"".join(parts)
        if response.status != HTTP_OK:
            return Refused(Step.HEADERS, endpoint.id, response.status, data)
        tail = Tail()
        tail.add(data)
        try:
            msgspec.json.decode(data)
        except msgspec.DecodeError:
            return UnknownOutcome(Step.RELAY, endpoint.id, "the answer is not JSON")
        await send_bytes(
            send, HTTP_OK, data, [("content-type", "application/json"), identity]
        )
        return Completed(Step.RELAY, endpoint.id, tail.read_cached_tokens())
