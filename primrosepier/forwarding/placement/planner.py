"""Decides where a call would go, in the order in which a call is placed.

Each step uses the code that places calls, in the variant that changes nothing. What
another router decides is reported as not known.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ...clocks import Clock
from ...ids import EndpointId, HostId, ServiceId
from ...outcomes import NotRun, Step
from ...rest_periods import compute_return_spread_s
from ..attempts import RETRY_AFTER_S
from ..calls import Call
from ..candidates import (
    compute_service_wait_s,
    list_at_origin,
    list_candidates,
    list_service_options,
)
from ..entry import limit_retry_after
from ..forwarder import (
    CUT_REASON,
    QUARANTINE_REASON,
    UNAVAILABLE_REASON,
    Forwarder,
)
from ..notices import REST_REASON
from ..peer_relay import NO_HELPER_REASON
from ..permitted_choice import FULL_REASON, MAX_ASKED, ROOM_REASON
from ..room.granter import Demand
from .replicas import RankedReplica, Ranking, rank_replicas
from .report import (
    Answer,
    AnswerKind,
    PermitAnswer,
    PermitKind,
    PermitReport,
    ServiceOption,
)

__all__ = ["Plan", "PlacementPlanner"]

NOT_RUN_STATUS = 503
CACHE_CONDITION = "no other replica caches the prompt meanwhile"


@dataclass(frozen=True, slots=True)
class _Refused:
    """A replica whose granter refuses the call, and the time of the call's turn."""

    row: RankedReplica
    demand: Demand
    turn_at_s: float


@dataclass(slots=True)
class Plan:
    """Steps of a decision.

    Attributes
    ----------
    ranking : Ranking
        Replicas before any of them refused the call.
    """

    answer: Answer
    service: ServiceId | None = None
    services: Sequence[ServiceOption] = ()
    ranking: Ranking = field(default_factory=Ranking)
    permits: list[PermitReport] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PlacementPlanner:
    """Plans where a forwarder would send a call."""

    forwarder: Forwarder
    clock: Clock

    def plan(self, call: Call, named: ServiceId | None, now_s: float) -> Plan:
        """Return where a call would go.

        Parameters
        ----------
        named : ServiceId or None
            Service to report on; None for the one that gets most calls.
        """
        forwarder = self.forwarder
        if forwarder.links.is_cut:
            helpers = self._list_reachable(forwarder.links.helpers)
            if not helpers:
                no_helper = NotRun(Step.PLACE, "-", NO_HELPER_REASON, RETRY_AFTER_S)
                return Plan(self._refuse(call, no_helper, now_s))
            passed_on, reason = AnswerKind.PASSED_ON, CUT_REASON
            return Plan(Answer(passed_on, routers=helpers, reason=reason))
        options = list_service_options(forwarder, call.route)
        service = named or _find_heaviest(options)
        if service is None:
            return Plan(self._refuse(call, forwarder.make_unserved(call.route), now_s))
        plan = self._plan_service(call, service, now_s)
        tried = [service]
        while plan.answer.kind is AnswerKind.REJECTED and not plan.answer.code:
            # A call that one service refuses goes to another one that takes calls now.
            others = list_service_options(forwarder, call.route, tried)
            other = _find_heaviest(others)
            if other is None or compute_service_wait_s(forwarder, other, now_s) > 0:
                plan.answer = self._serve_elsewhere(service, plan.answer)
                break
            service = other
            tried.append(service)
            plan = self._plan_service(call, service, now_s)
        total = sum(weight for _, weight in options)
        plan.services = [ServiceOption(x, weight / total) for x, weight in options]
        return plan

    def _plan_service(self, call: Call, service: ServiceId, now_s: float) -> Plan:
        ranking = rank_replicas(self.forwarder, call, service, set(), now_s)
        plan = Plan(Answer(AnswerKind.REJECTED), service, ranking=ranking)
        quarantine_s = self.forwarder.suspects.loss_log.find_quarantine_s(
            call.make_fingerprints(), now_s
        )
        if quarantine_s is not None:
            reason, code = QUARANTINE_REASON, "quarantine"
            plan.answer = self._reject(call, reason, quarantine_s, 0.0, now_s, code)
            return plan
        answer = self._choose(call, plan, now_s)
        plan.answer = answer or self._refuse_service(call, service, now_s)
        return plan

    def _choose(self, call: Call, plan: Plan, now_s: float) -> Answer | None:
        """Return the answer of the service's replicas; None if none takes calls."""
        assert plan.service is not None
        permitted, room = self.forwarder.permitted, self.forwarder.permitted.room
        asked: set[EndpointId] = set()
        refused: list[_Refused] = []
        ranking = plan.ranking
        while ranking.ranked and len(refused) < MAX_ASKED:
            rows = ranking.list_cheapest()
            row, endpoint = rows[0], rows[0].replica.id
            if permitted.is_full(endpoint):
                if not refused:
                    return self._wait_for_full(call, plan.service, rows, now_s)
                break
            demand = room.find_demand(call, row.choice)
            if demand is None:
                return self._send(rows, plan, refused)
            grant = room.preview_grant(endpoint, demand)
            granter = room.find_granter(endpoint)
            kind, tokens = PermitKind.PREFILL, demand.tokens
            if grant is None or grant.wait_s <= 0:
                reply = PermitAnswer.GRANTED if grant else PermitAnswer.UNKNOWN
                wait_s = grant.wait_s if grant else None
                permit = PermitReport(endpoint, kind, granter, reply, tokens, wait_s)
                plan.permits.append(permit)
                conditions = (
                    (f"{granter} grants a prefill permit",) if not grant else ()
                )
                return self._send(rows, plan, refused, conditions)
            reply, wait_s = PermitAnswer.REFUSED, grant.wait_s
            permit = PermitReport(endpoint, kind, granter, reply, tokens, wait_s)
            plan.permits.append(permit)
            refused.append(_Refused(row, demand, now_s + wait_s))
            asked.add(endpoint)
            ranking = rank_replicas(self.forwarder, call, plan.service, asked, now_s)
        return self._wait_for_room(call, refused, now_s) if refused else None

    def _send(
        self,
        rows: Sequence[RankedReplica],
        plan: Plan,
        refused: Sequence[_Refused],
        conditions: tuple[str, ...] = (),
    ) -> Answer:
        """Return that the call goes to one of the replicas, if they permit it."""
        permits = self.forwarder.notices.permits
        for row in rows:
            endpoint = row.replica.id
            is_brittle = permits.windows.get_brittleness(endpoint) is not None
            if permits.limits.get_rate(endpoint) is not None or is_brittle:
                granter = permits.rank_granters_now(endpoint, self.clock())[0]
                unknown = PermitAnswer.UNKNOWN
                plan.permits.append(
                    PermitReport(endpoint, PermitKind.CALL, granter, unknown)
                )
                conditions += (f"{granter} grants a call to {endpoint}",)
        endpoints = tuple(row.replica.id for row in rows)
        return Answer(AnswerKind.REPLICA, endpoints, conditions=conditions)

    def _wait_for_full(
        self,
        call: Call,
        service: ServiceId,
        rows: Sequence[RankedReplica],
        now_s: float,
    ) -> Answer:
        """Return that the call waits for a full replica, or that it would be late."""
        candidates = list_candidates(
            self.forwarder, service, None, set(), now_s, new_calls=1
        )
        permitted = self.forwarder.permitted
        wait_s, is_late = permitted.compute_full_wait_s(call, candidates)
        if is_late:
            spread_s = compute_return_spread_s(wait_s)
            return self._reject(call, FULL_REASON, wait_s, spread_s, now_s)
        endpoints = tuple(row.replica.id for row in rows)
        conditions = ("the load is the same after the wait",)
        return Answer(
            AnswerKind.REPLICA, endpoints, wait_s=wait_s, conditions=conditions
        )

    def _wait_for_room(
        self, call: Call, refused: Sequence[_Refused], now_s: float
    ) -> Answer:
        """Return that the call waits for its turn, or that it would be late."""
        first = min(refused, key=lambda x: x.turn_at_s)
        wait_s = first.turn_at_s - now_s
        latest_s = self.forwarder.permitted.room.compute_latest_s(call, first.demand)
        if first.turn_at_s > latest_s:
            spread_s = compute_return_spread_s(wait_s) if wait_s < math.inf else 0.0
            return self._reject(call, ROOM_REASON, wait_s, spread_s, now_s)
        endpoints = (first.row.replica.id,)
        conditions = (CACHE_CONDITION,)
        return Answer(
            AnswerKind.REPLICA, endpoints, wait_s=wait_s, conditions=conditions
        )

    def _serve_elsewhere(self, service: ServiceId, refusal: Answer) -> Answer:
        """Return a refusal, unless another router may serve the call."""
        staying = list_at_origin(self.forwarder, service, None)
        if self.forwarder.knows_request_ages(staying):
            return refusal
        routers = self._list_reachable(self.forwarder.relay.read_peers())
        if not routers:
            return refusal
        reason = refusal.reason
        return Answer(AnswerKind.PASSED_ON, routers=routers, reason=reason)

    def _list_reachable(self, hosts: Iterable[HostId]) -> tuple[HostId, ...]:
        """Return those of the routers whose addresses are known."""
        peers = self.forwarder.relay.read_peers()
        return tuple(host for host in hosts if host in peers)

    def _refuse_service(self, call: Call, service: ServiceId, now_s: float) -> Answer:
        """Return why no replica of a service may receive the call."""
        forwarder = self.forwarder
        staying = list_at_origin(forwarder, service, None)
        selected, _ = forwarder.select_replicas(staying)
        wait_s, reason = forwarder.notices.compute_first_return(selected, now_s)
        if wait_s <= 0:
            wait_s, reason = RETRY_AFTER_S, UNAVAILABLE_REASON
        spread_s = compute_return_spread_s(wait_s) if reason == REST_REASON else 0.0
        return self._reject(call, reason, wait_s, spread_s, now_s)

    def _refuse(self, call: Call, refusal: NotRun, now_s: float) -> Answer:
        after_s = refusal.retry_after_s
        return self._reject(call, refusal.reason, after_s, 0.0, now_s)

    def _reject(
        self,
        call: Call,
        reason: str,
        after_s: float,
        spread_s: float,
        now_s: float,
        code: str = "",
    ) -> Answer:
        """Return a rejection, whose Retry-After has up to a time added to it."""
        remaining_s = max(0.0, call.deadline_s - now_s)
        return Answer(
            AnswerKind.REJECTED,
            status=NOT_RUN_STATUS,
            code=code,
            reason=reason,
            retry_after_s=(
                limit_retry_after(after_s, remaining_s),
                limit_retry_after(after_s + spread_s, remaining_s),
            ),
        )


def _find_heaviest(options: Sequence[tuple[ServiceId, int]]) -> ServiceId | None:
    """Return the service that gets most calls; None if there is none."""
    if not options:
        return None
    return max(options, key=lambda option: option[1])[0]
