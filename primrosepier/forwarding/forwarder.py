"""The path of one call through a router, until its outcome is known."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from ..asgi import Send, send_chunk
from ..clocks import Clock
from ..ejection import Ejections
from ..engines import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    EndpointResponse,
    classify_error,
    is_connection_lost,
)
from ..ids import EndpointId, ServiceId
from ..logs import Log
from ..outcomes import (
    Completed,
    Interrupted,
    NotRun,
    Outcome,
    Refused,
    Step,
    UnknownOutcome,
)
from ..retries import keep_unknown
from .burden import BurdenLedger
from .calls import AnswerHead, Call, CallHeaders, EndpointDialect, Sending
from .declarations import Repeat, Route
from .events import EventSplice
from .fleet import Replica, ReplicaList
from .homes import Choice, HomeChooser, Unwanted, make_call_scope
from .records import CallPlaced, CallRepeated, ReplicaGivenUp
from .repeats import RepeatBudget
from .transfers import CachePlan

__all__ = ["Delivery", "Forwarder", "make_forwarder"]

# Sends of one call, so that a call that every replica refuses ends soon.
MAX_SENDS = 4
# Longest time to connect, seconds: one lost packet is not waited for, since another
# replica is a millisecond away.
CONNECT_S = 0.4
# Part of the remaining time that connecting may take.
CONNECT_SHARE = 0.34
# Idle time of a connection for a call that may not be repeated, seconds: short
# enough that the replica does not close it meanwhile.
FRESH_IDLE_S = 0.25
USUAL_IDLE_S = 20.0
# Answers up to this size are read whole before they go out, so that one that breaks
# off can be repeated.
HELD_BYTES = 256 * 1024
# When to come back after a refusal, seconds: about the time in which a replica that
# refuses gets a free place.
COME_BACK_S = 0.3
# Least time for which sending is worth while, seconds: below it no replica answers.
MIN_REMAINING_S = 0.005
# Failures in a row to reach a replica after which it seems gone, and the time without
# a byte, seconds, after which its calls are moved: far above the pause between events.
GONE_FAILURES = 2
GONE_SILENCE_S = 0.8
HTTP_SERVER_ERROR = 500
HTTP_OK = 200
# Statuses by which callers take a call for not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
PREFILL_BASE_TOKENS = 512


SelectReplicas = Callable[
    [Sequence[Replica]], tuple[Sequence[Replica], frozenset[EndpointId]]
]


def select_all(
    replicas: Sequence[Replica],
) -> tuple[Sequence[Replica], frozenset[EndpointId]]:
    """Return all replicas; used where no weights are wanted."""
    return replicas, frozenset()


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
class _HeldError:
    """A replica's own error, which goes out if no other replica does better."""

    head: AnswerHead
    body: bytes


@dataclass(slots=True)
class Forwarder:
    """Sends calls to replicas and relays their answers.

    Parameters
    ----------
    client : EndpointClient
    dialect : EndpointDialect
    read_replicas : callable
        Returns the replicas that may get calls now.
    select : callable
        Returns those of some replicas whose weights allow calls, and the ids of
        those among them without the weights that are wanted.
    plan_cache : callable
        Returns how a call uses cached parts at a chosen replica.
    """

    client: EndpointClient
    dialect: EndpointDialect
    read_replicas: Callable[[], ReplicaList]
    chooser: HomeChooser
    burdens: BurdenLedger
    ejections: Ejections
    repeats: RepeatBudget
    log: Log
    clock: Clock = time.monotonic
    source: random.Random = field(default_factory=random.Random)
    select: SelectReplicas = select_all
    plan_cache: PlanCache = plan_local_cache

    async def forward(self, call: Call, delivery: Delivery) -> Outcome:
        """Serve a call; what endpoints answer goes out through the delivery.

        Returns
        -------
        Outcome
            ``NotRun`` and ``UnknownOutcome`` have sent nothing to the caller.
        """
        service = self._choose_service(call.route)
        if service is None:
            return self._refuse("no replica of the route's services is known")
        self.repeats.note_call(service, self.clock())
        return await self._try_replicas(call, service, delivery)

    def _choose_service(self, route: Route) -> ServiceId | None:
        found = self.read_replicas()
        options = [s for s in route.services if s[1] and found.list_replicas(s[0])]
        if not options:
            return None
        weights = [weight for _, weight in options]
        return self.source.choices(options, weights)[0][0]

    def _refuse(self, reason: str) -> NotRun:
        return NotRun(Step.PLACE, "-", reason, COME_BACK_S)

    async def _try_replicas(
        self, call: Call, service: ServiceId, delivery: Delivery
    ) -> Outcome:
        tried: set[EndpointId] = set()
        before: Outcome | None = None
        held: _HeldError | None = None
        while True:
            choice = self._choose(call, service, tried)
            if choice is None:
                ended: Outcome = before or self._refuse("no replica can take the call")
                break
            tried.add(choice.replica.id)
            delivery.sends += 1
            found = await self._attempt(call, service, choice, delivery)
            if isinstance(found, _HeldError):
                held = found
                ended = Refused(Step.HEADERS, choice.replica.id, found.head.status, b"")
            else:
                ended = keep_unknown(before, found)
                held = None if isinstance(ended, Completed) else held
            if not self._may_repeat(call, service, ended, delivery):
                break
            self._log_repeat(call, choice, ended, delivery)
            before = ended
        if held is not None and not delivery.status:
            return await self._deliver_error(held, ended, delivery)
        return ended

    def _log_repeat(
        self, call: Call, choice: Choice, ended: Outcome, delivery: Delivery
    ) -> None:
        reason = getattr(ended, "reason", "the replica failed")
        name = type(ended).__name__
        self.log.emit(
            CallRepeated(call.id, delivery.sends, choice.replica.id, name, reason)
        )

    def _may_repeat(
        self, call: Call, service: ServiceId, ended: Outcome, delivery: Delivery
    ) -> bool:
        """Return whether another replica may get the call after an outcome."""
        now_s = self.clock()
        if delivery.sends >= MAX_SENDS or now_s + MIN_REMAINING_S >= call.deadline_s:
            return False
        route = call.route
        if isinstance(ended, NotRun):
            unsent = ended.step is Step.CONNECT
            return unsent or self.repeats.withdraw(service, now_s)
        if delivery.runs >= route.max_runs:
            return False
        if isinstance(ended, Interrupted):
            may = ended.resumable
        elif isinstance(ended, Refused):
            may = route.repeat is Repeat.ANY and ended.status >= HTTP_SERVER_ERROR
        elif isinstance(ended, UnknownOutcome):
            may = route.repeat is not Repeat.NEVER
        else:
            may = False
        return may and self.repeats.withdraw(service, now_s)

    def _choose(
        self, call: Call, service: ServiceId, tried: set[EndpointId]
    ) -> Choice | None:
        now_s = self.clock()
        known, outdated = self.select(self.read_replicas().list_replicas(service))
        replicas = [replica for replica in known if replica.id not in tried]
        ejected = self.ejections.list_ejected([r.id for r in known], now_s)
        unwanted = Unwanted(ejected, outdated)
        scope = make_call_scope(call)
        choice = self.chooser.choose(call, scope, replicas, unwanted, now_s)
        if choice is None:
            return None
        burden = self.burdens.find(choice.replica.id)
        reported = burden.reported is not None
        self.log.emit(
            CallPlaced(
                request=call.id,
                attempt=len(tried) + 1,
                service=service,
                endpoint=choice.replica.id,
                kind=choice.kind.value,
                candidates=len(replicas),
                outstanding=burden.outstanding,
                pending_tokens=burden.pending_tokens,
                report_age_s=now_s - burden.reported_at_s if reported else None,
                remaining_s=call.deadline_s - now_s,
            )
        )
        return choice

    async def _attempt(
        self, call: Call, service: ServiceId, choice: Choice, delivery: Delivery
    ) -> Outcome | _HeldError:
        endpoint = choice.replica.id
        work = _Work(self.burdens, endpoint, choice.uncached_tokens)
        started_s = self.clock()
        ended: Outcome | _HeldError
        try:
            with anyio.move_on_after(call.deadline_s - started_s) as scope:
                ended = await self._send(call, choice, delivery, work)
            if scope.cancelled_caught:
                ended = self._end_late(endpoint, delivery)
        finally:
            work.end()
        self._learn(choice.replica, ended, started_s, work)
        if not isinstance(ended, NotRun):
            delivery.runs += 1
        return ended

    def _end_late(self, endpoint: EndpointId, delivery: Delivery) -> Outcome:
        if delivery.status:
            return Interrupted(Step.RELAY, endpoint, "the time is over")
        return UnknownOutcome(Step.HEADERS, endpoint, "the time is over")

    def _note_unreachable(self, replica: Replica, now_s: float) -> None:
        """Avoid a replica, and move what it has in hand when it seems gone.

        Its calls that may be repeated would hang until their time is over.
        """
        self.burdens.note_unreachable(replica.id, now_s)
        if self.burdens.find(replica.id).failures < GONE_FAILURES:
            return
        moved = self.client.give_up(replica.address, GONE_SILENCE_S)
        if moved:
            self.log.emit(ReplicaGivenUp(replica.id, moved))

    def _learn(
        self,
        replica: Replica,
        ended: Outcome | _HeldError,
        started_s: float,
        work: "_Work",
    ) -> None:
        """Take in what an attempt tells of its replica."""
        endpoint = replica.id
        now_s = self.clock()
        if isinstance(ended, NotRun):
            if ended.step is Step.CONNECT:
                self._note_unreachable(replica, now_s)
            else:
                self.burdens.note_refusal(endpoint, now_s)
        elif isinstance(ended, UnknownOutcome | Interrupted | _HeldError):
            self.ejections.record_failure(endpoint, now_s)
            if getattr(ended, "lost", False) and work.answered_at_s is None:
                self._note_unreachable(replica, now_s)
        elif work.answered_at_s is not None:
            wait_s = work.answered_at_s - started_s
            per_token_s = wait_s / (work.tokens + PREFILL_BASE_TOKENS)
            self.ejections.record_success(endpoint, per_token_s, now_s)

    async def _send(
        self, call: Call, choice: Choice, delivery: Delivery, work: "_Work"
    ) -> Outcome | _HeldError:
        replica = choice.replica
        remaining_s = call.deadline_s - self.clock()
        plan = self.plan_cache(call, choice)
        sending = Sending(
            endpoint=replica.id,
            remaining_s=remaining_s,
            cache_scope=plan.scope,
            resume_after=delivery.splice.last_id,
            weights=plan.weights,
            fetch_from=plan.fetch_from,
            save_to=plan.save_to,
        )
        once = call.route.repeat is Repeat.NEVER
        request = EndpointCall(
            address=replica.address,
            method=call.method,
            path=call.target,
            headers=tuple(self.dialect.write_headers(call, sending)),
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
        work: "_Work",
    ) -> Outcome | _HeldError:
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
            return _HeldError(head, await _read_all(response))
        if call.route.streamed and head.status == HTTP_OK:
            return await self._relay_events(call, replica, response, head, delivery)
        return await self._relay_whole(replica, response, head, delivery)

    async def _relay_events(
        self,
        call: Call,
        replica: Replica,
        response: EndpointResponse,
        head: AnswerHead,
        delivery: Delivery,
    ) -> Outcome:
        splices = call.route.repeat is Repeat.RESUME
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
        head: AnswerHead,
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

    async def _deliver_error(
        self, held: _HeldError, ended: Outcome, delivery: Delivery
    ) -> Outcome:
        headers = _add_length(held.head.headers, len(held.body))
        await delivery.begin(held.head.status, headers, self.clock())
        await send_chunk(delivery.send, held.body, more=False)
        peer = getattr(ended, "peer", "-")
        return Refused(Step.HEADERS, peer, held.head.status, b"")


@dataclass(slots=True)
class _Work:
    """What one attempt adds to its replica's burden."""

    burdens: BurdenLedger
    endpoint: EndpointId
    tokens: int
    answered_at_s: float | None = None
    is_reading: bool = True

    def __post_init__(self) -> None:
        self.burdens.begin(self.endpoint, self.tokens)

    def answer(self, head: AnswerHead, now_s: float) -> None:
        """Take in the head of the answer."""
        self.answered_at_s = now_s
        self.burdens.note_answer(self.endpoint, head, now_s)
        self._end_prefill()

    def _end_prefill(self) -> None:
        if self.is_reading:
            self.is_reading = False
            self.burdens.end_prefill(self.endpoint, self.tokens)

    def end(self) -> None:
        """Note that the attempt is over."""
        self._end_prefill()
        self.burdens.end(self.endpoint)


def _add_length(headers: CallHeaders, size: int) -> CallHeaders:
    return (*headers, (b"content-length", str(size).encode("ascii")))


async def _read_all(response: EndpointResponse) -> bytes:
    return b"".join([data async for data in response.aiter_stream()])


def _classify(
    error: Exception, peer: EndpointId, call: Call, delivery: Delivery
) -> Outcome:
    if not delivery.status:
        return classify_error(error, peer)
    resumable = call.route.repeat is Repeat.RESUME
    lost = is_connection_lost(error)
    return Interrupted(Step.RELAY, peer, repr(error), resumable, lost)


def make_forwarder(
    client: EndpointClient,
    dialect: EndpointDialect,
    read_replicas: Callable[[], ReplicaList],
    chooser: HomeChooser,
    repeats: RepeatBudget,
    log: Log,
    clock: Clock = time.monotonic,
) -> Forwarder:
    """Return a forwarder that has sent nothing yet."""
    return Forwarder(
        client,
        dialect,
        read_replicas,
        chooser,
        chooser.burdens,
        Ejections(),
        repeats,
        log,
        clock,
    )
