"""The path of one call through a router, until its outcome is known."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from ..clocks import Clock
from ..ejection import Ejections
from ..engines import EndpointClient
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
from ..retries import merge_outcomes
from .attempts import (
    COME_BACK_S,
    HTTP_SERVER_ERROR,
    CallAttempts,
    Delivery,
    HeldError,
    Work,
    deliver_error,
)
from .burden import BurdenLedger
from .calls import Call, EndpointDialect
from .declarations import Repeat, Route
from .fleet import Replica, ReplicaList
from .homes import Choice, HomeChooser, Unwanted, make_call_scope
from .prefixes import Reading
from .records import CallPlaced, CallRepeated, ReplicaGivenUp
from .repeats import RepeatBudget

__all__ = ["Forwarder", "make_forwarder"]

# Sends of one call, so that a call that every replica refuses ends soon.
MAX_SENDS = 4
# Least time for which sending is worth while, seconds: below it no replica answers.
MIN_REMAINING_S = 0.005
# Failures in a row to reach a replica after which it seems gone, and the time without
# a byte, seconds, after which its calls are moved: far above the pause between events.
GONE_FAILURES = 2
GONE_SILENCE_S = 0.8
# Tokens added to a prompt's when its time is compared with others, so that short
# prompts do not look slow: the fixed part of a step, in the time of prefilling.
PREFILL_BASE_TOKENS = 512

SelectReplicas = Callable[
    [Sequence[Replica]], tuple[Sequence[Replica], frozenset[EndpointId]]
]


def select_all(
    replicas: Sequence[Replica],
) -> tuple[Sequence[Replica], frozenset[EndpointId]]:
    """Return all replicas; used where no weights are wanted."""
    return replicas, frozenset()


@dataclass(slots=True)
class Forwarder:
    """Sends calls to replicas and relays their answers.

    Parameters
    ----------
    attempts : CallAttempts
    read_replicas : callable
        Returns the replicas that may get calls now.
    select : callable
        Returns those of some replicas whose weights allow calls, and the ids of
        those among them without the weights that are wanted.
    """

    attempts: CallAttempts
    read_replicas: Callable[[], ReplicaList]
    chooser: HomeChooser
    burdens: BurdenLedger
    ejections: Ejections
    repeats: RepeatBudget
    log: Log
    clock: Clock = time.monotonic
    source: random.Random = field(default_factory=random.Random)
    select: SelectReplicas = select_all

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
        held: HeldError | None = None
        while True:
            choice = self._choose(call, service, tried)
            if choice is None:
                ended: Outcome = before or self._refuse("no replica can take the call")
                break
            tried.add(choice.replica.id)
            delivery.sends += 1
            found = await self._attempt(call, service, choice, delivery)
            if isinstance(found, HeldError):
                held = found
                ended = Refused(Step.HEADERS, choice.replica.id, found.head.status, b"")
            else:
                ended = merge_outcomes(before, found)
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
    ) -> Outcome | HeldError:
        endpoint = choice.replica.id
        ledger = self.chooser.prefixes
        reading = Reading(ledger, choice.prefixes, endpoint, choice.weights)
        work = Work(self.burdens, reading, choice.uncached_tokens)
        started_s = self.clock()
        work.begin(started_s)
        ended: Outcome | HeldError
        try:
            with anyio.move_on_after(call.deadline_s - started_s) as scope:
                ended = await self.attempts.send(call, choice, delivery, work)
            if scope.cancelled_caught:
                ended = self._end_late(endpoint, delivery)
        finally:
            work.end(self.clock())
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
        moved = self.attempts.client.give_up(replica.address, GONE_SILENCE_S)
        if moved:
            self.log.emit(ReplicaGivenUp(replica.id, moved))

    def _learn(
        self,
        replica: Replica,
        ended: Outcome | HeldError,
        started_s: float,
        work: Work,
    ) -> None:
        """Take in what an attempt tells of its replica."""
        endpoint = replica.id
        now_s = self.clock()
        if isinstance(ended, NotRun):
            if ended.step is Step.CONNECT:
                self._note_unreachable(replica, now_s)
            else:
                self.burdens.note_refusal(endpoint, now_s)
        elif isinstance(ended, UnknownOutcome | Interrupted | HeldError):
            self.ejections.record_failure(endpoint, now_s)
            if getattr(ended, "lost", False) and work.answered_at_s is None:
                self._note_unreachable(replica, now_s)
        elif work.answered_at_s is not None:
            wait_s = work.answered_at_s - started_s
            per_token_s = wait_s / (work.tokens + PREFILL_BASE_TOKENS)
            self.ejections.record_success(endpoint, per_token_s, now_s)

    async def _deliver_error(
        self, held: HeldError, ended: Outcome, delivery: Delivery
    ) -> Outcome:
        await deliver_error(held, delivery, self.clock())
        peer = getattr(ended, "peer", "-")
        return Refused(Step.HEADERS, peer, held.head.status, b"")


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
        CallAttempts(client, dialect, clock),
        read_replicas,
        chooser,
        chooser.burdens,
        Ejections(),
        repeats,
        log,
        clock,
    )
