"""Sends one attempt of a call to a replica and relays the response."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import httpcore

from ..asgi import Send, send_chunk
from ..clocks import Clock
from ..endpoint_client import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    EndpointResponse,
    classify_error,
    is_connection_lost,
)
from ..ids import EndpointId, RequestId, ServiceId
from ..outcomes import Completed, Interrupted, NotRun, Outcome, Step, UnknownOutcome
from ..relay import read_whole_body
from ..stream_origins import StreamOrigin
from .calls import AttemptOptions, Call, CallHeaders, EndpointDialect, ResponseHead
from .declarations import RetryPolicy
from .events import EventBoundaryTracker, EventStreamMerger
from .fleet import Replica
from .peer_headers import write_leaving_process
from .prefixes import PrefillTracker
from .replica_choice import Choice, make_call_scope
from .replica_load import ReplicaLoadTable
from .transfers import CachePlan

__all__ = [
    "CallSender",
    "Delivery",
    "ErrorResponse",
    "AttemptRecorder",
    "deliver_error_response",
]

# Connection time-out, seconds: shorter than a retransmission of a lost packet, since
# another replica can be reached within a millisecond.
CONNECT_TIMEOUT_S = 0.4
# Connection time-out as a share of the call's remaining time.
CONNECT_TIMEOUT_SHARE = 0.34
# Maximum idle time of a reused connection, seconds, for calls that must not be retried:
# so short that the replica is unlikely to close the connection first.
AT_MOST_ONCE_IDLE_S = 0.25
# Maximum idle time of a reused connection, seconds, for other calls: the idle time-out
# of the endpoint client.
RETRYABLE_IDLE_S = 20.0
# Responses up to this size are buffered completely before they are sent on, so that the
# call can be retried if the response breaks off.
MAX_BUFFERED_BYTES = 256 * 1024
# The same for all responses together.
MAX_ALL_BUFFERED_BYTES = 8 * 1024 * 1024
# Limit on the body of an error, which is kept in memory while the call is retried.
MAX_ERROR_BYTES = 1024 * 1024
HTTP_OK = 200
# Statuses that are never relayed: callers take them to mean that the call has not run,
# but the replica may have run it.
UNRELAYED_STATUSES = frozenset({408, 421, 429, 503})
# Retry-After of a refused call, seconds: about the time until a full replica has a free
# slot.
RETRY_AFTER_S = 0.3
HTTP_SERVER_ERROR = 500

CachePlanner = Callable[[Call, Choice], CachePlan]
RecordBegun = Callable[
    [RequestId, tuple[ServiceId, ...], StreamOrigin], Awaitable[StreamOrigin | None]
]
RecordHead = Callable[[ResponseHead, bool], None]
FindOrigin = Callable[[Replica, bool, bool], Awaitable[StreamOrigin | None]]


def ignore_head(head: ResponseHead, is_new_connection: bool) -> None:
    """Do nothing; used where no one follows the heads of responses."""


def ignore_output() -> None:
    """Do nothing; used where no one follows when the output begins."""


async def ignore_begun(
    call: RequestId, services: tuple[ServiceId, ...], origin: StreamOrigin
) -> StreamOrigin | None:
    """Return None; used where another router knows the stream's origin."""
    return None


def plan_local_cache_use(call: Call, choice: Choice) -> CachePlan:
    """Return a plan that uses only the replica's own cache: no fetch and no save."""
    return CachePlan(make_call_scope(call))


@dataclass(slots=True)
class Delivery:
    """Sends the response to the caller and keeps track of what was sent.

    Parameters
    ----------
    send : Send
    merger : EventStreamMerger
    server_send : Send
        ASGI ``send`` of the server without wrappers, used to close the caller's
        connection.
    status : int
        Status sent to the caller; 0 before one is sent.
    first_byte_at_s : float or None
        Time at which the response to the caller began, seconds; None before that.
    runs : int
        Attempts that may have run.
    attempts : int
        All attempts, including those that did not run.
    is_framed : bool or None
        Whether a length or chunks marked the end of the last response's body; None
        before a response.
    boundary : EventBoundaryTracker
        Follows the event stream of the last response.
    origin : StreamOrigin or None
        Where the stream began, once the caller has received an event; None before.
    asking_s : float
        Time for which permits of brittle replicas were asked for, seconds.
    refusal : NotRun or None
        Why no replica has room for the call; None before that is known.
    rejections : int
        Replicas of engines that rejected the call for lack of capacity.
    """

    send: Send
    merger: EventStreamMerger
    server_send: Send
    status: int = 0
    first_byte_at_s: float | None = None
    runs: int = 0
    attempts: int = 0
    is_framed: bool | None = None
    boundary: EventBoundaryTracker = field(default_factory=EventBoundaryTracker)
    origin: StreamOrigin | None = None
    asking_s: float = 0.0
    refusal: NotRun | None = None
    rejections: int = 0

    async def begin(self, status: int, headers: CallHeaders, now_s: float) -> None:
        """Send the status and the headers."""
        self.status = status
        self.first_byte_at_s = now_s
        start = {"type": "http.response.start", "status": status}
        await self.send({**start, "headers": list(headers)})


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """A replica's 5xx response, sent to the caller only if no retry succeeds."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class CallSender:
    """Sends calls to replicas and relays their responses.

    Parameters
    ----------
    plan_cache_use : callable
        Returns how a call uses the KV cache at a chosen replica.
    record_begun : callable
        Called before the first event of a stream is sent to its caller; returns where
        the stream must go on.
    find_origin : callable or None
        Returns the origin of streams at a replica that has answered, or None if it is
        not known; called with whether a stream goes on there, and whether the
        connection is new. None where another router takes care of it.
    requires_call_id : bool
        Whether a response on a connection that was used before must name its call. It
        may be one that a faulty replica sent to an earlier call too often.

    Attributes
    ----------
    buffered_bytes, buffered_responses : int
        Bytes of all responses that are not sent on yet, and the number of these.
    """

    client: EndpointClient
    dialect: EndpointDialect
    clock: Clock = time.monotonic
    plan_cache_use: CachePlanner = plan_local_cache_use
    record_begun: RecordBegun = ignore_begun
    find_origin: FindOrigin | None = None
    requires_call_id: bool = True
    buffered_bytes: int = 0
    buffered_responses: int = 0

    async def send(
        self,
        call: Call,
        choice: Choice,
        delivery: Delivery,
        recorder: "AttemptRecorder",
    ) -> Outcome | ErrorResponse:
        """Send a call to the chosen replica and relay the response."""
        replica = choice.replica
        remaining_s = call.deadline_s - self.clock()
        plan = self.plan_cache_use(call, choice)
        options = AttemptOptions(
            endpoint=replica.id,
            remaining_s=remaining_s,
            cache_scope=plan.scope,
            resume_after=delivery.merger.last_id,
            weights=plan.weights,
            fetch_from=plan.fetch_from,
            save_to=plan.save_to,
        )
        at_most_once = call.route.retry_policy is RetryPolicy.NEVER
        request = EndpointCall(
            address=replica.address,
            method=call.method,
            path=call.target,
            headers=tuple(self.dialect.write_headers(call, options)),
            body=call.body,
            connect_s=min(CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_SHARE * remaining_s),
            request_s=remaining_s,
            attempt=call.id,
            streamed=call.route.streamed,
            idle_s=AT_MOST_ONCE_IDLE_S if at_most_once else RETRYABLE_IDLE_S,
            repeatable=not at_most_once,
            record_connected=recorder.record_connected,
        )
        return await self.exchange(request, call, replica, delivery, recorder)

    async def exchange(
        self,
        request: EndpointCall,
        call: Call,
        replica: Replica,
        delivery: Delivery,
        recorder: "AttemptRecorder",
    ) -> Outcome | ErrorResponse:
        """Send a request for a call and relay the response."""
        try:
            async with self.client.open(request) as response:
                recorder.is_new_connection = response.is_first_use
                return await self._relay(call, replica, response, delivery, recorder)
        except (*CONNECT_ERRORS, *RELAY_ERRORS) as error:
            return _classify_relay_error(error, replica.id, call, delivery)

    async def _relay(
        self,
        call: Call,
        replica: Replica,
        response: EndpointResponse,
        delivery: Delivery,
        recorder: "AttemptRecorder",
    ) -> Outcome | ErrorResponse:
        head = self.dialect.read_head(response.status, response.headers)
        delivery.is_framed = response.is_framed
        if not self._is_for_call(call, head, response):
            reason = f"the response is for call {head.call_id or 'unknown'}"
            return UnknownOutcome(Step.HEADERS, replica.id, reason)
        recorder.record_response(head, self.clock())
        if head.is_leaving and call.is_passed_on:
            headers = (*head.headers, write_leaving_process(replica))
            head = replace(head, headers=headers)
        if head.not_run:
            reason = f"the replica refused with status {head.status}"
            after_s = head.retry_after_s
            if after_s is None:
                after_s = RETRY_AFTER_S
            return NotRun(Step.HEADERS, replica.id, reason, after_s)
        is_stream = call.route.streamed and head.status == HTTP_OK
        if not is_stream:
            recorder.record_begun()
        # A response that is not authentic may come from a proxy.
        if not head.authentic or head.status in UNRELAYED_STATUSES:
            reason = (
                f"status {head.status} does not show whether the replica ran the call"
            )
            return UnknownOutcome(Step.HEADERS, replica.id, reason)
        if delivery.status and not is_stream:
            reason = f"the replica answered the resumed stream with {head.status}"
            is_resumable = head.status >= HTTP_SERVER_ERROR
            return Interrupted(Step.HEADERS, replica.id, reason, is_resumable)
        if head.status >= HTTP_SERVER_ERROR:
            body = await read_whole_body(response, MAX_ERROR_BYTES)
            if body is None:
                reason = "the error response is too large"
                return UnknownOutcome(Step.HEADERS, replica.id, reason)
            return ErrorResponse(head, body)
        if is_stream:
            return await self._relay_events(
                call, replica, response, head, delivery, recorder
            )
        return await self._relay_buffered(replica, response, head, delivery)

    def _is_for_call(
        self, call: Call, head: ResponseHead, response: EndpointResponse
    ) -> bool:
        """Return whether a response is surely the one to a call."""
        if head.call_id or not self.requires_call_id:
            return head.call_id in ("", call.id)
        return response.is_first_use

    async def _find_origin(
        self, replica: Replica, delivery: Delivery, recorder: "AttemptRecorder"
    ) -> StreamOrigin | Interrupted | UnknownOutcome:
        """Return the origin of a stream that may be resumed, at a replica's answer.

        It is an outcome if the stream, which began elsewhere, can't go on there.
        """
        if self.find_origin is None:
            return replica.origin
        is_resumed = delivery.origin is not None
        is_new = recorder.is_new_connection
        origin = await self.find_origin(replica, is_resumed, is_new)
        if not is_resumed or origin == delivery.origin:
            return origin or replica.origin
        reason = "the replica may have started again with other software"
        if not delivery.status:
            return UnknownOutcome(Step.HEADERS, replica.id, reason)
        return Interrupted(Step.HEADERS, replica.id, reason, resumable=True)

    async def _relay_events(
        self,
        call: Call,
        replica: Replica,
        response: EndpointResponse,
        head: ResponseHead,
        delivery: Delivery,
        recorder: "AttemptRecorder",
    ) -> Outcome:
        is_resumable = call.route.retry_policy is RetryPolicy.RESUME
        origin = replica.origin
        if is_resumable:
            found = await self._find_origin(replica, delivery, recorder)
            if not isinstance(found, StreamOrigin):
                return found
            origin = found
        delivery.merger.begin()
        delivery.boundary = EventBoundaryTracker()
        async for data in response.aiter_stream():
            recorder.record_begun()
            delivery.boundary.feed(data)
            if delivery.boundary.is_too_large():
                raise httpcore.RemoteProtocolError("an event is too large")
            forwarded = delivery.merger.feed(data) if is_resumable else data
            if not forwarded:
                continue
            if is_resumable and delivery.origin is None:
                services = call.route.list_services()
                delivery.origin = await self.record_begun(call.id, services, origin)
            if not delivery.status:
                await delivery.begin(head.status, head.headers, self.clock())
            await send_chunk(delivery.send, forwarded)
        _require_whole_stream(response, delivery)
        if not delivery.status:
            await delivery.begin(head.status, head.headers, self.clock())
        await send_chunk(delivery.send, delivery.merger.partial, more=False)
        return Completed(Step.RELAY, replica.id)

    async def _relay_buffered(
        self,
        replica: Replica,
        response: EndpointResponse,
        head: ResponseHead,
        delivery: Delivery,
    ) -> Outcome:
        parts: list[bytes] = []
        size = buffered = 0
        self.buffered_responses += 1
        try:
            async for data in response.aiter_stream():
                parts.append(data)
                size += len(data)
                buffered += len(data)
                self.buffered_bytes += len(data)
                if size > MAX_BUFFERED_BYTES or self._exceeds_share(buffered):
                    if not delivery.status:
                        await delivery.begin(head.status, head.headers, self.clock())
                    self.buffered_bytes -= buffered
                    buffered = 0
                    await send_chunk(delivery.send, _take_all(parts))
            if not delivery.status:
                headers = _add_length(head.headers, size)
                await delivery.begin(head.status, headers, self.clock())
            await send_chunk(delivery.send, b"".join(parts), more=False)
        finally:
            self.buffered_bytes -= buffered
            self.buffered_responses -= 1
        return Completed(Step.RELAY, replica.id)

    def _exceeds_share(self, size: int) -> bool:
        """Return whether a response has more than its share while all have too much.

        Others whose callers do not read then leave a small response its retry.
        """
        share = MAX_ALL_BUFFERED_BYTES / self.buffered_responses
        return self.buffered_bytes > MAX_ALL_BUFFERED_BYTES and size > share


@dataclass(slots=True)
class AttemptRecorder:
    """Records one attempt in the load of its replica and in the prefix index.

    Parameters
    ----------
    uncached_tokens : int
        Tokens of the prompt that the replica is expected to prefill.
    record_head : callable
        Called with the head of the response, and whether the connection was opened for
        the call.
    record_begun : callable
        Called when the replica's output begins: with the first part of a stream's body,
        or with the head of another response.
    responded_at_s : float or None
        Time at which the head of the response arrived, seconds.
    in_prefill : bool
        Whether the prefill is still counted in the load.
    is_decoding : bool
        Whether the load counts the call as one whose output is generated.
    is_new_connection : bool
        Whether the connection was opened for this call.
    lacked_room : bool
        Whether the replica turned the call away because it was full.
    may_be_sent : bool
        Whether a byte of the call may have been written to the connection.
    """

    loads: ReplicaLoadTable
    prefill: PrefillTracker
    uncached_tokens: int
    record_head: RecordHead = ignore_head
    record_begun: Callable[[], None] = ignore_output
    responded_at_s: float | None = None
    in_prefill: bool = True
    is_decoding: bool = False
    is_new_connection: bool = False
    lacked_room: bool = False
    may_be_sent: bool = False

    @property
    def endpoint(self) -> EndpointId:
        """Id of the replica."""
        return self.prefill.endpoint

    def begin(self, now_s: float) -> None:
        """Record that the attempt begins."""
        self.loads.begin_call(self.endpoint, self.uncached_tokens)
        self.prefill.begin(now_s)

    def record_connected(self) -> None:
        """Record that the connection is open and the call is about to be written."""
        self.may_be_sent = True

    def record_response(self, head: ResponseHead, now_s: float) -> None:
        """Record the head of the response, which ends the prefill."""
        self.responded_at_s = now_s
        self.lacked_room = head.lacks_room
        self.loads.record_response(self.endpoint, head, now_s)
        self.record_head(head, self.is_new_connection)
        succeeded = not head.not_run and head.status == HTTP_OK
        self._end_prefill(succeeded, now_s)
        if succeeded:
            self.is_decoding = True
            self.loads.begin_decoding(self.endpoint)

    def _end_prefill(self, succeeded: bool, now_s: float) -> None:
        if self.in_prefill:
            self.in_prefill = False
            self.prefill.end(succeeded, now_s)
            self.loads.end_prefill(self.endpoint, self.uncached_tokens)

    def end(self, now_s: float) -> None:
        """Record that the attempt ends."""
        self._end_prefill(False, now_s)
        if self.is_decoding:
            self.is_decoding = False
            self.loads.end_decoding(self.endpoint)
        self.loads.end_call(self.endpoint)


def _take_all(parts: list[bytes]) -> bytes:
    """Remove all parts; return them joined."""
    body = b"".join(parts)
    parts.clear()
    return body


def _add_length(headers: CallHeaders, size: int) -> CallHeaders:
    return (*headers, (b"content-length", str(size).encode("ascii")))


async def deliver_error_response(
    error_response: ErrorResponse, delivery: Delivery, now_s: float
) -> None:
    """Send a replica's 5xx response to the caller."""
    headers = _add_length(error_response.head.headers, len(error_response.body))
    await delivery.begin(error_response.head.status, headers, now_s)
    await send_chunk(delivery.send, error_response.body, more=False)


def _require_whole_stream(response: EndpointResponse, delivery: Delivery) -> None:
    """Check the end of an event stream, since a closed connection may mean a failure.

    Raises
    ------
    httpcore.RemoteProtocolError
        The stream ended within an event, or was closed before its first one.
    """
    if delivery.boundary.is_within_event():
        raise httpcore.RemoteProtocolError("the stream ended within an event")
    has_events = delivery.boundary.tail or delivery.merger.last_id
    if not response.is_framed and not has_events:
        raise httpcore.RemoteProtocolError("the stream ended before its first event")


def _classify_relay_error(
    error: Exception, endpoint: EndpointId, call: Call, delivery: Delivery
) -> Outcome:
    if not delivery.status:
        return classify_error(error, endpoint)
    resumable = call.route.retry_policy is RetryPolicy.RESUME
    lost = is_connection_lost(error)
    return Interrupted(Step.RELAY, endpoint, repr(error), resumable, lost)
