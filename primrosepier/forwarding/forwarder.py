"""Forwards a call to a replica, and retries it on others if an attempt fails."""

import random
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

import anyio

from ..clocks import Clock
from ..crash_causes import Fingerprints
from ..ejection import Ejections
from ..endpoint_client import EndpointClient
from ..ids import EndpointId, HostId, ServiceId
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
from ..stream_origins import StreamOrigin
from ..suspects import Quarantined, SuspectTable
from .attempts import (
    HTTP_SERVER_ERROR,
    RETRY_AFTER_S,
    AttemptRecorder,
    CallSender,
    Delivery,
    ErrorResponse,
    deliver_error_response,
)
from .calls import Call, EndpointDialect, ResponseHead
from .candidates import (
    Candidates,
    SelectReplicas,
    compute_service_wait_s,
    list_at_origin,
    list_candidates,
    list_service_options,
)
from .cuts import CutDetector
from .declarations import RetryPolicy, Route
from .fleet import Replica, ReplicaList
from .losses.detector import LossDetector, make_loss_detector
from .notices import ReplicaNotices
from .origins import OriginExchange
from .peer_relay import PeerRelay
from .permits import PermitExchange
from .permitted_choice import PermittedChoice, PermittedChooser
from .prefixes import PrefillTracker
from .records import (
    CallLost,
    CallPlaced,
    CallRepeated,
    CallWithdrawn,
    StreamTakenUp,
)
from .replica_choice import Choice, ReplicaChooser
from .replica_load import ReplicaLoadTable
from .retries import RetryBudget
from .room.division import ReplicaDivision
from .room.exchange import PrefillTurn, ReplicaRoom
from .software_checks import SoftwareChecks
from .start_forecasts import SentCall, StartForecasts
from .withdrawals import WaitingCall, Withdrawals

__all__ = ["Forwarder", "make_forwarder"]

# Limit on the attempts of one call, so that a call that every replica refuses fails
# soon.
MAX_ATTEMPTS = 4
# Minimum remaining time for another attempt, seconds: no replica responds faster.
MIN_REMAINING_S = 0.005
# Tokens added to a prompt's uncached tokens when latency per token is computed. They
# stand for the fixed cost of an engine step, so that short prompts do not look slow.
PREFILL_BASE_TOKENS = 512
# Retry-After of a stream whose version may be back soon, seconds. A replica that
# crashed is back in a few, and a call that comes in vain costs little.
UNRESUMED_RETRY_AFTER_S = 1.0
# Retry-After of a call to a service whose replicas all leave, seconds. Others are there
# in a few.
LEAVING_RETRY_AFTER_S = 1.0
# Retry-After of a stream that will never go on: as long as its caller honours it.
NEVER_RESUMED_RETRY_AFTER_S = float("inf")
CUT_REASON = "this router is cut off from the replicas as well"
LEAVING_REASON = "all replicas are leaving"
UNKNOWN_STREAM_REASON = "the software version that began the stream is not known"
ABSENT_VERSION_REASON = "the software version that began the stream no longer serves"
WITHDRAWN_REASON = "the replica's weights are too old and the call had not begun"
UNAVAILABLE_REASON = "no replica is available"
UNREGISTERED_REASON = "no replica is registered for the route's services"
QUARANTINE_REASON = "the request or a part of its prompt crashed the replicas it ran on"


def select_all(
    replicas: Sequence[Replica],
) -> tuple[Sequence[Replica], frozenset[EndpointId]]:
    """Return all replicas; used where no weights version is required."""
    return replicas, frozenset()


def know_request_ages(replicas: Sequence[Replica]) -> bool:
    """Return True; used where no weights version is required."""
    return True


@dataclass(slots=True)
class Forwarder:
    """Chooses replicas for calls and retries calls that fail.

    Parameters
    ----------
    sender : CallSender
    read_replicas : callable
        Returns the replicas that accept new calls.
    rng : random.Random
        Chooses among the services of a route by weight.
    select_replicas : callable
        Filters a service's replicas by their weights versions. Returns the replicas
        that may serve calls, and the ids of those whose weights are outdated.
    knows_request_ages : callable
        Returns whether it is known for how long replicas have been missing weights.
    suspects : SuspectTable
        Calls that crash replicas.
    notices : ReplicaNotices
        What replicas ask for, and which of them may receive calls.
    origins : OriginExchange
        Where streams that callers take up again began.
    links : CutDetector
        Whether this router reaches the replicas.
    relay : PeerRelay
        Passes calls on while it does not.
    forecasts : StartForecasts
        When calls begin at a replica.
    losses : LossDetector
        Replicas that are lost.
    permitted : PermittedChooser
    software_checks : SoftwareChecks or None
        Replicas that may run other software than their entries say; None where no
        stream is resumed.
    withdrawals : Withdrawals
        Withdraws calls that would begin on old weights too late.
    """

    sender: CallSender
    read_replicas: Callable[[], ReplicaList]
    chooser: ReplicaChooser
    loads: ReplicaLoadTable
    ejections: Ejections
    retries: RetryBudget
    log: Log
    notices: ReplicaNotices
    origins: OriginExchange
    links: CutDetector
    relay: PeerRelay
    forecasts: StartForecasts
    losses: LossDetector
    permitted: PermittedChooser
    clock: Clock = time.monotonic
    rng: random.Random = field(default_factory=random.Random)
    select_replicas: SelectReplicas = select_all
    knows_request_ages: Callable[[Sequence[Replica]], bool] = know_request_ages
    withdrawals: Withdrawals = field(default_factory=Withdrawals)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    software_checks: SoftwareChecks | None = None

    async def forward(self, call: Call, delivery: Delivery) -> Outcome:
        """Serve a call and send the response through the delivery.

        Returns
        -------
        Outcome
            Nothing was sent to the caller if ``delivery.status`` is 0. After a part of
            a stream was sent, ``NotRun``, ``UnknownOutcome`` and ``Refused`` mean that
            an attempt to resume the stream ended so.
        """
        if self.links.is_cut:
            return await self._pass_on(call, delivery, tuple(self.links.helpers))
        if call.is_resumed and call.route.retry_policy is RetryPolicy.RESUME:
            origin = delivery.origin = await self._find_origin(call)
            if origin is None:
                return self._make_unresumed(UNKNOWN_STREAM_REASON, is_final=True)
            if origin.service not in call.route.list_services():
                return self._make_unresumed(ABSENT_VERSION_REASON, is_final=True)
            service: ServiceId | None = origin.service
        else:
            service = self._choose_service(call.route)
        if service is None:
            return self.make_unserved(call.route)
        self.retries.record_call(service, self.clock())
        outcome = await self._try_replicas(call, service, delivery)
        if delivery.origin is not None and isinstance(outcome, Completed):
            self.origins.record_complete(call.resumed_call or call.id)
        return outcome

    async def _pass_on(
        self, call: Call, delivery: Delivery, helpers: Sequence[HostId]
    ) -> Outcome:
        """Serve a call through one of the given routers, if it is not one already."""
        if call.is_passed_on:
            return self._make_not_run(CUT_REASON)
        result = await self.relay.send(call, delivery, helpers)
        if not isinstance(result, ErrorResponse):
            return result
        refused = Refused(Step.HEADERS, "-", result.head.status, b"")
        return await self._finish_with_error(result, refused, delivery)

    async def _serve_elsewhere(
        self, call: Call, service: ServiceId, delivery: Delivery
    ) -> Outcome:
        """Refuse a call, unless another router may know a replica that can serve it.

        A router that has just started uses no replica that is missing weights, since
        it can't tell for how long.
        """
        refusal = delivery.refusal or self._make_refusal(service, delivery.origin)
        at_origin = list_at_origin(self, service, delivery.origin)
        if call.is_passed_on or self.knows_request_ages(at_origin):
            return refusal
        outcome = await self._pass_on(call, delivery, tuple(self.relay.read_peers()))
        return refusal if isinstance(outcome, NotRun) else outcome

    async def _find_origin(self, call: Call) -> StreamOrigin | None:
        """Return where the stream that a call takes up began; None if unknown."""
        services = call.route.list_services()
        found = await self.origins.find(call.resumed_call, services)
        software = None if found.origin is None else found.origin.software
        result = found.result.value
        self.log.emit(StreamTakenUp(call.id, call.resumed_call, software, result))
        return found.origin

    def _choose_service(
        self, route: Route, excluded: Collection[ServiceId] = ()
    ) -> ServiceId | None:
        """Choose by weight among a route's services that may receive a call now.

        If none may, the one that may first is chosen.
        """
        options = list_service_options(self, route, excluded)
        if not options:
            return None
        weights = [weight for _, weight in options]
        return self.rng.choices(options, weights)[0][0]

    def _choose_other_service(
        self, call: Call, refusing: Collection[ServiceId], delivery: Delivery
    ) -> ServiceId | None:
        """Choose another service that may receive a call now; None if there is none."""
        if call.is_resumed or delivery.origin is not None or delivery.status:
            return None
        service = self._choose_service(call.route, refusing)
        if service is None or compute_service_wait_s(self, service, self.clock()) > 0:
            return None
        return service

    def make_unserved(self, route: Route) -> NotRun:
        """Return why no service of a route may receive a call."""
        replicas = self.read_replicas()
        if any(replicas.list_replicas(s) for s in route.list_services()):
            return NotRun(Step.PLACE, "-", LEAVING_REASON, LEAVING_RETRY_AFTER_S)
        return self._make_not_run(UNREGISTERED_REASON)

    def _make_not_run(self, reason: str) -> NotRun:
        return NotRun(Step.PLACE, "-", reason, RETRY_AFTER_S)

    def _make_unresumed(self, reason: str, is_final: bool) -> NotRun:
        """Return the refusal of a stream; a final one asks its caller to stay away."""
        after_s = NEVER_RESUMED_RETRY_AFTER_S if is_final else UNRESUMED_RETRY_AFTER_S
        return NotRun(Step.PLACE, "-", reason, after_s)

    def _make_refusal(self, service: ServiceId, origin: StreamOrigin | None) -> NotRun:
        """Return why no replica may receive a call, and when one may again."""
        if origin is not None and not list_at_origin(self, service, origin):
            is_final = self.origins.is_lost(origin)
            return self._make_unresumed(ABSENT_VERSION_REASON, is_final)
        selected, _ = self.select_replicas(list_at_origin(self, service, origin))
        wait_s, reason = self.notices.find_first_return(selected)
        if wait_s <= 0:
            return self._make_not_run(UNAVAILABLE_REASON)
        return NotRun(Step.PLACE, "-", reason, wait_s)

    async def _choose_permitted(
        self,
        call: Call,
        service: ServiceId,
        tried: set[EndpointId],
        delivery: Delivery,
    ) -> PermittedChoice | None:
        """Choose a replica that takes calls now; return None if there is none."""
        list_candidates = partial(self._list_candidates, service, delivery.origin)
        permitted = await self.permitted.choose(call, tried, delivery, list_candidates)
        if permitted is not None:
            candidates, attempt = permitted.candidates, len(tried) + 1
            self._log_choice(call, service, permitted.choice, attempt, candidates)
        return permitted

    async def _try_replicas(
        self, call: Call, service: ServiceId, delivery: Delivery
    ) -> Outcome:
        tried: set[EndpointId] = set()
        refusing: list[ServiceId] = []
        previous: Outcome | None = None
        error_response: ErrorResponse | None = None
        fingerprints = call.make_fingerprints()
        while True:
            allowed = self.suspects.check_common(fingerprints, self.clock())
            if isinstance(allowed, Quarantined):
                outcome: Outcome = previous or NotRun(
                    Step.PLACE, "-", QUARANTINE_REASON, allowed.retry_after_s
                )
                break
            if self.links.is_cut and not call.is_passed_on:
                helpers = tuple(self.links.helpers)
                outcome = await self._pass_on(call, delivery, helpers)
                outcome = merge_outcomes(previous, outcome)
                break
            permitted = await self._choose_permitted(call, service, tried, delivery)
            if permitted is None:
                refusing.append(service)
                other = self._choose_other_service(call, refusing, delivery)
                if other is not None:
                    service = other
                    continue
                outcome = previous or await self._serve_elsewhere(
                    call, service, delivery
                )
                break
            choice = permitted.choice
            tried.add(choice.replica.id)
            delivery.attempts += 1
            result = await self._attempt(call, fingerprints, permitted, delivery)
            if isinstance(result, ErrorResponse):
                error_response = result
                outcome = Refused(
                    Step.HEADERS, choice.replica.id, result.head.status, b""
                )
            else:
                outcome = merge_outcomes(previous, result)
                error_response = (
                    None if isinstance(outcome, Completed) else error_response
                )
            if not self._may_retry(call, service, outcome, delivery):
                break
            self._log_retry(call, choice, outcome, delivery)
            previous = outcome
        if (
            isinstance(outcome, NotRun)
            and outcome.step is not Step.PLACE
            and not self.links.is_cut
        ):
            at_origin = list_at_origin(self, service, delivery.origin)
            selected, _ = self.select_replicas(at_origin)
            wait_s, _ = self.notices.find_first_return(selected)
            wait_s = max(wait_s, outcome.retry_after_s)
            if delivery.rejections:
                wait_s = self.permitted.compute_return_s(selected, wait_s)
            outcome = replace(outcome, retry_after_s=wait_s)
        if error_response is not None and not delivery.status:
            return await self._finish_with_error(error_response, outcome, delivery)
        return outcome

    def _log_retry(
        self, call: Call, choice: Choice, outcome: Outcome, delivery: Delivery
    ) -> None:
        reason = getattr(outcome, "reason", "the replica failed")
        outcome_name = type(outcome).__name__
        self.log.emit(
            CallRepeated(
                call.id, delivery.attempts, choice.replica.id, outcome_name, reason
            )
        )

    def _may_retry(
        self, call: Call, service: ServiceId, outcome: Outcome, delivery: Delivery
    ) -> bool:
        """Return whether the call may be retried on another replica."""
        now_s = self.clock()
        if (
            delivery.attempts >= MAX_ATTEMPTS
            or now_s + MIN_REMAINING_S >= call.deadline_s
        ):
            return False
        route = call.route
        if isinstance(outcome, NotRun):
            if outcome.step is Step.CONNECT:
                return True
            if not self.permitted.may_retry_rejected(delivery):
                return False
            return self.retries.try_acquire(service, now_s)
        if delivery.runs >= route.max_runs:
            return False
        if isinstance(outcome, Interrupted):
            allowed = outcome.resumable
        elif isinstance(outcome, Refused):
            allowed = (
                route.retry_policy is RetryPolicy.ANY
                and outcome.status >= HTTP_SERVER_ERROR
            )
        elif isinstance(outcome, UnknownOutcome):
            allowed = route.retry_policy is not RetryPolicy.NEVER
        else:
            allowed = False
        return allowed and self.retries.try_acquire(service, now_s)

    def _list_candidates(
        self,
        service: ServiceId,
        origin: StreamOrigin | None,
        tried: set[EndpointId],
        now_s: float,
    ) -> Candidates:
        """Return the candidates of a call, which probes those ejected before."""
        if self.ejections.ejected:
            selected, _ = self.select_replicas(list_at_origin(self, service, origin))
            self.ejections.begin_probes([x.id for x in selected], now_s)
        return list_candidates(self, service, origin, tried, now_s)

    def _log_choice(
        self,
        call: Call,
        service: ServiceId,
        choice: Choice,
        attempt: int,
        candidates: int,
    ) -> None:
        now_s = self.clock()
        endpoint = choice.replica.id
        load = self.loads.get_or_create(endpoint)
        registered = self.read_replicas().list_replicas(service)
        self.log.emit(
            CallPlaced(
                request=call.id,
                attempt=attempt,
                service=service,
                endpoint=endpoint,
                kind=choice.kind.value,
                candidates=candidates,
                outstanding=load.outstanding,
                pending_tokens=load.pending_tokens,
                report_age_s=load.compute_report_age_s(now_s),
                remaining_s=call.deadline_s - now_s,
                uncached_tokens=choice.uncached_tokens,
                slowness=choice.slowness,
                peer_tokens=self.loads.count_peer_tokens(endpoint, now_s),
                decoding=self.loads.count_decoding(endpoint, now_s),
                software=choice.replica.software,
                resumed_call=call.resumed_call,
                weights_lag_s=self.withdrawals.compute_lag_s(
                    choice.replica, call.model
                ),
                forecast_wait_s=self.forecasts.forecast_wait_s(endpoint),
                backoff_s=max(0.0, load.avoid_until_s - now_s),
                resting=self.notices.count_resting(
                    [x for x in registered if x.id != endpoint], now_s
                ),
            )
        )

    async def _attempt(
        self,
        call: Call,
        fingerprints: Fingerprints,
        permitted: PermittedChoice,
        delivery: Delivery,
    ) -> Outcome | ErrorResponse:
        choice, prefill_turn = permitted.choice, permitted.prefill
        endpoint = choice.replica.id
        index = self.chooser.prefixes
        prefill = PrefillTracker(index, choice.prefixes, endpoint, choice.weights)

        def record_head(head: ResponseHead, is_new_connection: bool) -> None:
            self.links.record_reached(endpoint, is_new_connection)
            self.notices.record_head(call.id, choice.replica, head, started_s)

        started_s = self.clock()
        recorder = AttemptRecorder(
            self.loads, prefill, choice.uncached_tokens, record_head
        )
        recorder.begin(started_s)
        sent = self.forecasts.record_sent(endpoint)
        outcome: Outcome | ErrorResponse
        try:
            with (
                anyio.move_on_after(call.deadline_s - started_s) as timeout_scope,
                self.withdrawals.watch(choice.replica, call.model) as waiting,
            ):
                recorder.record_begun = partial(
                    self._record_begun, sent, waiting, prefill_turn
                )
                outcome = await self.sender.send(call, choice, delivery, recorder)
            if timeout_scope.cancelled_caught:
                outcome = self._make_timeout_outcome(endpoint, delivery)
        finally:
            recorder.end(self.clock())
            self.forecasts.record_ended(sent)
            if prefill_turn is not None:
                prefill_turn.end(recorder.lacked_room)
            await self.notices.permits.release(endpoint, recorder.lacked_room)
        if waiting.is_withdrawn and not timeout_scope.cancelled_caught:
            self._log_withdrawal(call, waiting, delivery, sent)
            if not recorder.may_be_sent:
                return NotRun(Step.CONNECT, endpoint, WITHDRAWN_REASON, RETRY_AFTER_S)
            delivery.runs += 1
            return self._make_withdrawn_outcome(call, endpoint, delivery)
        self._record_outcome(choice.replica, outcome, started_s, recorder, delivery)
        if isinstance(outcome, Completed) and recorder.responded_at_s is not None:
            self.suspects.loss_log.record_answer(
                fingerprints, endpoint, recorder.responded_at_s, self.clock()
            )
        elif getattr(outcome, "lost", False) and not self.losses.explains(endpoint):
            self._record_lost_call(call, fingerprints, endpoint, started_s, delivery)
        if not isinstance(outcome, NotRun):
            delivery.runs += 1
        return outcome

    def _record_begun(
        self, sent: SentCall, waiting: WaitingCall, prefill: PrefillTurn | None
    ) -> None:
        """Record that a replica's output begins."""
        if prefill is not None:
            prefill.record_begun()
        self.forecasts.record_begun(sent)
        self.withdrawals.record_begun(waiting)

    def _log_withdrawal(
        self, call: Call, waiting: WaitingCall, delivery: Delivery, sent: SentCall
    ) -> None:
        self.log.emit(
            CallWithdrawn(
                request=call.id,
                attempt=delivery.attempts,
                endpoint=sent.endpoint,
                wait_s=self.clock() - sent.sent_at_s,
                weights_lag_s=waiting.lag_s,
            )
        )

    def _make_withdrawn_outcome(
        self, call: Call, endpoint: EndpointId, delivery: Delivery
    ) -> Outcome:
        """Return the outcome of a call that may have begun as it was withdrawn."""
        if delivery.status:
            resumable = call.route.retry_policy is RetryPolicy.RESUME
            return Interrupted(Step.RELAY, endpoint, WITHDRAWN_REASON, resumable)
        return UnknownOutcome(Step.HEADERS, endpoint, WITHDRAWN_REASON)

    def _record_lost_call(
        self,
        call: Call,
        fingerprints: Fingerprints,
        endpoint: EndpointId,
        started_s: float,
        delivery: Delivery,
    ) -> None:
        now_s = self.clock()
        self.suspects.loss_log.record_loss(fingerprints, endpoint, started_s, now_s)
        self.log.emit(
            CallLost(
                request=call.id,
                attempt=delivery.attempts,
                endpoint=endpoint,
                duration_s=now_s - started_s,
                fingerprints=fingerprints.list_all(),
            )
        )

    def _make_timeout_outcome(
        self, endpoint: EndpointId, delivery: Delivery
    ) -> Outcome:
        if delivery.status:
            return Interrupted(Step.RELAY, endpoint, "the call's deadline passed")
        return UnknownOutcome(Step.HEADERS, endpoint, "the call's deadline passed")

    def _record_unreachable(self, replica: Replica, now_s: float) -> None:
        """Record a connection failure; abort calls if the replica counts as lost."""
        self.losses.record_failed(replica, now_s)

    def _record_outcome(
        self,
        replica: Replica,
        outcome: Outcome | ErrorResponse,
        started_s: float,
        recorder: AttemptRecorder,
        delivery: Delivery,
    ) -> None:
        """Update load and ejection state of a replica after an attempt."""
        endpoint = replica.id
        now_s = self.clock()
        is_unconnected = isinstance(outcome, NotRun) and outcome.step is Step.CONNECT
        if self.software_checks is not None and (
            is_unconnected or getattr(outcome, "lost", False)
        ):
            self.software_checks.record_lost(endpoint)
        if isinstance(outcome, NotRun):
            if outcome.step is Step.CONNECT:
                self._record_unreachable(replica, now_s)
            elif self.notices.rests.compute_wait_s(endpoint, now_s) <= 0:
                # A replica that has named a time needs no backoff.
                self.loads.record_refusal(endpoint, now_s)
                if recorder.lacked_room:
                    self.permitted.record_rejection(replica, delivery, now_s)
        elif isinstance(outcome, UnknownOutcome | Interrupted | ErrorResponse):
            self.ejections.record_failure(endpoint, now_s)
            if getattr(outcome, "lost", False) and recorder.responded_at_s is None:
                self._record_unreachable(replica, now_s)
            elif getattr(outcome, "lost", False):
                self.losses.suspect(replica)
        elif recorder.responded_at_s is not None:
            wait_s = recorder.responded_at_s - started_s
            per_token_s = wait_s / (recorder.uncached_tokens + PREFILL_BASE_TOKENS)
            self.ejections.record_success(endpoint, per_token_s, now_s)

    async def _finish_with_error(
        self, error_response: ErrorResponse, outcome: Outcome, delivery: Delivery
    ) -> Outcome:
        await deliver_error_response(error_response, delivery, self.clock())
        peer = getattr(outcome, "peer", "-")
        return Refused(Step.HEADERS, peer, error_response.head.status, b"")


def make_forwarder(
    client: EndpointClient,
    dialect: EndpointDialect,
    read_replicas: Callable[[], ReplicaList],
    chooser: ReplicaChooser,
    retries: RetryBudget,
    log: Log,
    permits: PermitExchange,
    origins: OriginExchange,
    links: CutDetector,
    relay: PeerRelay,
    room: ReplicaRoom,
    division: ReplicaDivision,
    clock: Clock = time.monotonic,
) -> Forwarder:
    """Return a forwarder with empty state."""
    sender = CallSender(client, dialect, clock, record_begun=origins.record_begun)
    permits.count_calls = lambda x: chooser.loads.get_or_create(x).outstanding
    notices = ReplicaNotices(
        permits, chooser.loads, read_replicas, log, clock, chooser.rng
    )
    relay.record_leaving = notices.record_leaving
    return Forwarder(
        sender,
        read_replicas,
        chooser,
        chooser.loads,
        Ejections(),
        retries,
        log,
        notices,
        origins,
        links,
        relay,
        StartForecasts(chooser.loads, clock),
        make_loss_detector(client, chooser.loads, links, log, clock, chooser.rng),
        PermittedChooser(chooser, notices, room, division, log, clock, chooser.rng),
        clock,
    )
