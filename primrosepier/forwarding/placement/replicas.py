"""Replicas of a service in order of what a call would cost there."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from ...ids import EndpointId, ServiceId
from ..calls import Call
from ..candidates import list_at_origin, list_candidates
from ..fleet import Replica
from ..forwarder import Forwarder
from ..replica_choice import Choice, ChoiceKind, make_call_scope
from ..replica_costs import CostCandidate, CostEstimate, ReplicaCost, ReplicaCosts
from .report import CandidateReport, ExcludedReplica, Exclusion

__all__ = ["RankedReplica", "Ranking", "describe_candidate", "rank_replicas"]


@dataclass(frozen=True, slots=True)
class RankedReplica:
    """A replica and the cost of a call there; no estimate for calls without prompt."""

    replica: Replica
    cost: ReplicaCost
    estimate: CostEstimate | None = None
    held: CostCandidate | None = None

    @property
    def choice(self) -> Choice:
        """The choice of this replica, without the source of a transfer."""
        if self.estimate is None:
            return Choice(self.replica, ChoiceKind.LEAST_LOADED)
        estimate = self.estimate
        return Choice(self.replica, estimate.kind, estimate.uncached_tokens)


@dataclass(frozen=True, slots=True)
class Ranking:
    """Replicas that a call may use, the cheapest first, and the other ones."""

    ranked: Sequence[RankedReplica] = ()
    excluded: Sequence[ExcludedReplica] = field(default_factory=list)

    def list_cheapest(self) -> Sequence[RankedReplica]:
        """Return the replicas with the lowest cost, one of which a call draws."""
        return [x for x in self.ranked if x.cost.total == self.ranked[0].cost.total]


@dataclass(frozen=True, slots=True)
class _Stages:
    """Replicas that are left after each step of the choice.

    Parameters
    ----------
    staying : frozenset of EndpointId
        Those that are not leaving.
    selected : frozenset of EndpointId
        Those whose weights may serve the call.
    candidates : frozenset of EndpointId
        Those that take calls now.
    divided : frozenset of EndpointId
        Those for prompts of this length.
    """

    staying: frozenset[EndpointId]
    selected: frozenset[EndpointId]
    candidates: frozenset[EndpointId]
    divided: frozenset[EndpointId]


def rank_replicas(
    forwarder: Forwarder,
    call: Call,
    service: ServiceId,
    asked: set[EndpointId],
    now_s: float,
) -> Ranking:
    """Return the replicas of a service in the order in which a call would use them.

    Parameters
    ----------
    asked : set of EndpointId
        Replicas that have refused the call.
    """
    candidates, avoided = list_candidates(
        forwarder, service, None, asked, now_s, new_calls=1
    )
    divided = candidates
    is_long = forwarder.permitted.is_long(call, candidates)
    if is_long is not None:
        division = forwarder.permitted.division
        divided = division.preview(is_long, candidates, now_s)
    chooser = forwarder.chooser
    costs = chooser.make_costs(chooser.homes)
    usable = costs.list_usable(divided, avoided.ejected, now_s)
    staying = list_at_origin(forwarder, service, None)
    selected, _ = forwarder.select_replicas(staying)
    stages = _Stages(
        *(frozenset(x.id for x in y) for y in (staying, selected, candidates, divided))
    )
    usable_ids = {replica.id for replica in usable}
    excluded = [
        _explain_exclusion(forwarder, replica.id, stages, asked, now_s)
        for replica in forwarder.read_replicas().list_replicas(service)
        if replica.id not in usable_ids
    ]
    if not usable:
        return Ranking((), excluded)
    if not call.parts:
        ranked = [RankedReplica(x, costs.estimate_call(x, now_s)) for x in usable]
    else:
        endpoints = [replica.id for replica in usable]
        speeds = forwarder.loads.speeds
        homes = chooser.homes.compute_update(service, endpoints, speeds, now_s)
        costs = chooser.make_costs(homes)
        ranked = _rank_prompt(costs, call, usable, avoided.outdated, now_s)
    ranked.sort(key=lambda x: (x.cost.total, x.replica.id))
    return Ranking(ranked, excluded)


def _rank_prompt(
    costs: ReplicaCosts,
    call: Call,
    usable: Sequence[Replica],
    outdated: frozenset[EndpointId],
    now_s: float,
) -> list[RankedReplica]:
    scope = make_call_scope(call)
    prompt = costs.estimate_prompt(call, scope, usable, outdated, now_s)
    rows = zip(usable, prompt.costs, prompt.estimates, prompt.candidates, strict=True)
    return [RankedReplica(*row) for row in rows]


def _explain_exclusion(
    forwarder: Forwarder,
    endpoint: EndpointId,
    stages: _Stages,
    asked: set[EndpointId],
    now_s: float,
) -> ExcludedReplica:
    """Return the first reason for which a replica may not receive a call."""
    if endpoint not in stages.staying:
        return ExcludedReplica(endpoint, Exclusion.LEAVING)
    if endpoint not in stages.selected:
        return ExcludedReplica(endpoint, Exclusion.WEIGHTS)
    if endpoint in asked:
        return ExcludedReplica(endpoint, Exclusion.REFUSED)
    if endpoint not in stages.candidates:
        wait_s = forwarder.notices.compute_wait_s(endpoint, now_s)
        if wait_s <= 0:
            return ExcludedReplica(endpoint, Exclusion.UNPROVEN)
        rest_s = forwarder.notices.rests.compute_wait_s(endpoint, now_s)
        reason = Exclusion.RESTING if rest_s >= wait_s else Exclusion.LIMITED
        return ExcludedReplica(endpoint, reason, wait_s)
    if endpoint not in stages.divided:
        return ExcludedReplica(endpoint, Exclusion.DIVISION)
    health = forwarder.ejections.health.get(endpoint)
    if health is not None and health.ejected_until_s > now_s:
        wait_s = health.ejected_until_s - now_s
        return ExcludedReplica(endpoint, Exclusion.EJECTED, wait_s)
    wait_s = max(0.0, forwarder.loads.read(endpoint).avoid_until_s - now_s)
    return ExcludedReplica(endpoint, Exclusion.BACKOFF, wait_s)


def describe_candidate(
    forwarder: Forwarder, row: RankedReplica, now_s: float
) -> CandidateReport:
    """Return the parts of a replica's cost and the age of what they come from."""
    replica, cost, loads = row.replica, row.cost, forwarder.loads
    load = loads.read(replica.id)
    report = load.read_report(now_s)
    speed = loads.speeds.speeds.get(replica.id)
    full_until_s = forwarder.permitted.full_until_s.get(replica.id, -math.inf)
    choice, held = row.choice, row.held
    source = None if row.estimate is None else row.estimate.fetch_from
    # A call without a prompt costs more than the others' work at a slow replica.
    own_cost = (cost.total - cost.remote) / cost.slowness - cost.work
    if row.estimate is not None:
        own_cost = row.estimate.cost
    return CandidateReport(
        endpoint=replica.id,
        failure_domain=replica.failure_domain,
        kind=choice.kind.value,
        cost=cost.total,
        own_cost=own_cost,
        work=cost.work,
        slowness=cost.slowness,
        outdated=cost.outdated,
        remote=cost.remote,
        uncached_tokens=choice.uncached_tokens,
        cached_tokens=0 if held is None else held.cached_tokens,
        reusable_tokens=0 if held is None else held.reusable_tokens,
        fetch_from=None if source is None else source.id,
        pending_tokens=load.pending_tokens,
        peer_tokens=loads.count_peer_tokens(replica.id, now_s),
        calls=load.outstanding,
        decoding=loads.count_decoding(replica.id, now_s),
        running=None if report is None else report.running,
        waiting=None if report is None else report.waiting,
        slots=replica.slots,
        report_age_s=load.compute_report_age_s(now_s),
        speed_age_s=None if speed is None else now_s - speed.recorded_at_s,
        full_for_s=max(0.0, full_until_s - now_s),
        prefill_per_s=forwarder.permitted.room.rates.get(replica.service, replica.id),
    )
