"""One attempt at one replica, and what the caller has got so far."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from ..asgi import Send, send_chunk
from ..clocks import Clock
from ..engines import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    EndpointResponse,
    classify_error,
    is_connection_lost,
)
from ..ids import EndpointId
from ..outcomes import Completed, Interrupted, NotRun, Outcome, Step, UnknownOutcome
from .calls import AttemptOptions, Call, CallHeaders, EndpointDialect, ResponseHead
from .declarations import RetryPolicy
from .events import EventSplice
from .fleet import Replica
from .prefixes import PrefillTracker
from .replica_choice import Choice, make_call_scope
from .replica_load import ReplicaLoadTable
from .transfers import CachePlan

__all__ = [
    "CallAttempts",
    "Delivery",
    "HeldError",
    "Work",
    "deliver_error",
]

# Longest time to connect, seconds: one lost packet is not waited for, since another
# replica is a millisecond away.
CONNECT_S = 0.4
# Part of the remaining time that connecting may take.
CONNECT_SHARE = 0.34
# Idle time of a connection for a call that may not be repeated, seconds: short
# enough that the replica does not close it meanwhile.
FRESH_IDLE_S = 0.25
# Idle time of other connections, seconds: as the endpoint client keeps them.
USUAL_IDLE_S = 20.0
# Answers up to this size are read whole before they go out, so that one that breaks
# off can be repeated.
HELD_BYTES = 256 * 1024
HTTP_OK = 200
# Statuses by which callers take a call for not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# When to come back after a refusal, seconds: about the time in which a replica that
# refuses gets a free place.
COME_BACK_S = 0.3
HTTP_SERVER_ERROR = 500

PlanCache = Callable[[Call, Choice], CachePlan]


def plan_local_cache(call: Call, choice: Choice) -> CachePlan:
    """Use what the replica itself has cached; no parts are moved."""
    return CachePlan(make_call_scope(call))


@dataclass(slots=True)
class Delivery:
    """What the caller has got of the answer.

    Parameters
    ----------
    send : Send
    splice : EventSplice
    connection : Send
        As the server gave it, to cut the caller's connection.
    status : int
        Status that went out; 0 before that.
    first_byte_at_s : float or None
    runs : int
        Attempts that may have run.
    sends : int
        Attempts in all.
    """

    send: Send
    splice: EventSplice
    connection: Send
    status: int = 0
    first_byte_at_s: float | None = None
    runs: int = 0
    sends: int = 0

    async def begin(self, status: int, headers: CallHeaders, now_s: float) -> None:
        """Send the status and the headers."""
        self.status = status
        self.first_byte_at_s = now_s
        start = {"type": "http.response.start", "status": status}
        await self.send({**start, "headers": list(headers)})


@dataclass(frozen=True, slots=True)
class HeldError:
    """A replica's own error, which goes out if no other replica does better."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class CallAttempts:
    """Sends calls to replicas and relays their answers.

    Parameters
    ----------
    plan_cache : callable
        Returns how a call uses cached parts at a chosen replica.
    """

    client: EndpointClient
    dialect: EndpointDialect
    clock: Clock = time.monotonic
    plan_cache: PlanCache = plan_local_cache

    async def send(
        self, call: Call, choice: Choice, delivery: Delivery, work: "Work"
    ) -> Outcome | HeldError:
        replica = choice.replica
        remaining_s = call.deadline_s - self.clock()
        plan = self.plan_cache(call, choice)
        options = AttemptOptions(
            endpoint=replica.id,
            remaining_s=remaining_s,
            cache_scope=plan.scope,
            resume_after=delivery.splice.last_id,
            weights=plan.weights,
            fetch_from=plan.fetch_from,
            save_to=plan.save_to,
        )
        once = call.route.retry_policy is RetryPolicy.NEVER
        request = EndpointCall(
            address=replica.address,
            method=call.method,
            path=call.target,
            headers=tuple(self.dialect.write_headers(call, options)),
            body=call.body,
            connect_s=min(CONNECT_S, CONNECT_SHARE * remaining_s),
            request_s=remaining_s,
            attempt=call.id,
            streamed=call.route.streamed,
            idle_s=FRESH_IDLE_S if once else USUAL_IDLE_S,
            repeatable=not once,
        )
        try:
            async with self.client.open(request) as response:
                return await self._relay(call, replica, response, delivery, work)
        except (*CONNECT_ERRORS, *RELAY_ERRORS) as error:
            return _classify(error, replica.id, call, delivery)

    async def _relay(
        self,
        call: Call,
        replica: Replica,
        response: EndpointResponse,
        delivery: Delivery,
        work: "Work",
    ) -> Outcome | HeldError:
        head = self.dialect.read_head(response.status, response.headers)
        if head.call_id and head.call_id != call.id:
            reason = f"the answer of another call arrived: {head.call_id}"
            return UnknownOutcome(Step.HEADERS, replica.id, reason)
        work.answer(head, self.clock())
        if head.not_run:
            reason = f"the replica refused with status {head.status}"
            return NotRun(Step.HEADERS, replica.id, reason, COME_BACK_S)
        if not head.authentic or head.status in NOT_RUN_STATUSES:
            reason = f"the answer with status {head.status} can't be passed on"
            return UnknownOutcome(Step.HEADERS, replica.id, reason)
        if head.status >= HTTP_SERVER_ERROR:
            return HeldError(head, await _read_all(response))
        if call.route.streamed and head.status == HTTP_OK:
            return await self._relay_events(call, replica, response, head, delivery)
        return await self._relay_whole(replica, response, head, delivery)

    async def _relay_events(
        self,
        call: Call,
        replica: Replica,
        response: EndpointResponse,
        head: ResponseHead,
        delivery: Delivery,
    ) -> Outcome:
        splices = call.route.retry_policy is RetryPolicy.RESUME
        delivery.splice.begin()
        async for data in response.aiter_stream():
            passed = delivery.splice.feed(data) if splices else data
            if not passed:
                continue
            if not delivery.status:
                await delivery.begin(head.status, head.headers, self.clock())
            await send_chunk(delivery.send, passed)
        if not delivery.status:
            await delivery.begin(head.status, head.headers, self.clock())
        await send_chunk(delivery.send, delivery.splice.partial, more=False)
        return Completed(Step.RELAY, replica.id)

    async def _relay_whole(
        self,
        replica: Replica,
        response: EndpointResponse,
        head: ResponseHead,
        delivery: Delivery,
    ) -> Outcome:
        parts: list[bytes] = []
        size = 0
        async for data in response.aiter_stream():
            parts.append(data)
            size += len(data)
            if size > HELD_BYTES:
                if not delivery.status:
                    await delivery.begin(head.status, head.headers, self.clock())
                await send_chunk(delivery.send, b"".join(parts))
                parts.clear()
        if not delivery.status:
            headers = _add_length(head.headers, size)
            await delivery.begin(head.status, headers, self.clock())
        await send_chunk(delivery.send, b"".join(parts), more=False)
        return Completed(Step.RELAY, replica.id)


@dataclass(slots=True)
class Work:
    """What one attempt adds to the load of its replica."""

    loads: ReplicaLoadTable
    prefill: PrefillTracker
    tokens: int
    answered_at_s: float | None = None
    is_prefilling: bool = True

    @property
    def endpoint(self) -> EndpointId:
        """The replica."""
        return self.prefill.endpoint

    def begin(self, now_s: float) -> None:
        """Note that the attempt is sent."""
        self.loads.begin(self.endpoint, self.tokens)
        self.prefill.begin(now_s)

    def answer(self, head: ResponseHead, now_s: float) -> None:
        """Take in the head of the answer."""
        self.answered_at_s = now_s
        self.loads.record_response(self.endpoint, head, now_s)
        self._end_prefill(not head.not_run and head.status == HTTP_OK, now_s)

    def _end_prefill(self, succeeded: bool, now_s: float) -> None:
        if self.is_prefilling:
            self.is_prefilling = False
            self.prefill.end(succeeded, now_s)
            self.loads.end_prefill(self.endpoint, self.tokens)

    def end(self, now_s: float) -> None:
        """Note that the attempt is over."""
        self._end_prefill(False, now_s)
        self.loads.end(self.endpoint)


def _add_length(headers: CallHeaders, size: int) -> CallHeaders:
    return (*headers, (b"content-length", str(size).encode("ascii")))


async def deliver_error(held: HeldError, delivery: Delivery, now_s: float) -> None:
    """Pass on a replica's own error."""
    headers = _add_length(held.head.headers, len(held.body))
    await delivery.begin(held.head.status, headers, now_s)
    await send_chunk(delivery.send, held.body, more=False)


async def _read_all(response: EndpointResponse) -> bytes:
    return b"".join([data async for data in response.aiter_stream()])


def _classify(
    error: Exception, peer: EndpointId, call: Call, delivery: Delivery
) -> Outcome:
    if not delivery.status:
        return classify_error(error, peer)
    resumable = call.route.retry_policy is RetryPolicy.RESUME
    lost = is_connection_lost(error)
    return Interrupted(Step.RELAY, peer, repr(error), resumable, lost)
