"""Choice of a replica for a call.

Long prompts go where the least work is, counting what is known of their shared parts:
a replica that has read them, or reads them now, computes the rest alone, and others
can fetch what some replica has read. A prefix that nobody is known to have read has
homes that all routers compute alike, so that they agree before they hear of each
other. Short calls go where the least work is.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from ..hash_ring import mix_hash
from ..ids import EndpointId, FailureDomain, ModelId, WorkspaceId
from .burden import BurdenLedger
from .calls import Call, PromptPart, WeightsNumber
from .fleet import Replica
from .prefixes import Prefix, PrefixLedger, list_prefixes

__all__ = [
    "Choice",
    "ChoiceKind",
    "HomeChooser",
    "Unwanted",
    "compute_home_key",
    "list_shared_parts",
    "make_call_scope",
    "make_scope",
]

# Tokens that a running request costs a new one, as part of the mean uncached prompt
# of the service: decoding shares each step with prefilling.
RUNNING_SHARE = 0.25
# Tokens that an answer on old weights costs, as part of the prompt: callers lose a
# part of its worth, less than by an answer that comes too late.
OUTDATED_SHARE = 0.5
# What a token of an unknown prefix is worth, in tokens to compute, at the first and
# the second home of the prefix: other routers may be sending the same there.
HOME_WEIGHTS = (1.0, 0.5)
# What it costs to read a token again that another replica has read or reads, beside
# computing it: it evicts what others would find.
AGAIN_WEIGHT = 2.0
# Cost of a token that is fetched from another replica, as part of computing it.
FETCH_SHARE = 0.1
# Tokens that a replica in another failure domain must be short of, as part of the
# mean uncached prompt.
REMOTE_ENGINE_SHARE = 0.25
# Extra calls that a replica in another failure domain must be short of before it is
# preferred, as part of its slots.
REMOTE_SHARE = 0.34


@dataclass(frozen=True, slots=True)
class Unwanted:
    """Replicas that others are preferred to.

    Parameters
    ----------
    ejected : frozenset of EndpointId
        Passed over for their failures.
    outdated : frozenset of EndpointId
        Without the weights that are wanted.
    """

    ejected: frozenset[EndpointId] = frozenset()
    outdated: frozenset[EndpointId] = frozenset()


class ChoiceKind(Enum):
    """How a chosen replica stands to the call."""

    HOLDER = "has the shared prefix or reads it"
    FETCH = "fetches the shared prefix"
    HOME = "home of the shared prefix"
    SPILL = "home has too much work"
    IDLE = "least work"


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen replica and why.

    Parameters
    ----------
    uncached_tokens : int
        Prompt tokens that it is expected to compute.
    source : Replica or None
        Another replica that has read more of the shared prefix.
    prefixes : sequence of Prefix
        Those that the replica will have read, where its weights are known.
    weights : WeightsNumber
        Those of the replica; 0 when unknown.
    """

    replica: Replica
    kind: ChoiceKind
    uncached_tokens: int = 0
    source: Replica | None = None
    prefixes: Sequence[Prefix] = ()
    weights: WeightsNumber = WeightsNumber(0)


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A replica with the leading tokens of a prompt that it has, or has or reads."""

    replica: Replica
    weights: WeightsNumber
    has_read: int
    reads: int


@dataclass(frozen=True, slots=True)
class _Offer:
    """What a candidate would have to do for a prompt."""

    cost: float
    uncached_tokens: int
    kind: ChoiceKind
    source: Replica | None


@dataclass(frozen=True, slots=True)
class _Best:
    """What replicas with the same weights have of a prompt.

    Parameters
    ----------
    known : int
        Most leading tokens that any of them has or reads.
    holder : _Candidate
        The one that has read the most.
    """

    known: int
    holder: _Candidate


def _find_best(found: Sequence[_Candidate]) -> dict[WeightsNumber, _Best]:
    best: dict[WeightsNumber, _Best] = {}
    for each in found:
        before = best.get(each.weights)
        if before is None:
            best[each.weights] = _Best(each.reads, each)
            continue
        holder = before.holder if before.holder.has_read >= each.has_read else each
        best[each.weights] = _Best(max(before.known, each.reads), holder)
    return best


def list_shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other calls may share: all but the last."""
    return parts[:-1]


def compute_home_key(scope: str, parts: Sequence[PromptPart]) -> int:
    """Return the hash of a chain of parts within a cache scope."""
    text = "/".join([scope, *(part.id for part in parts)])
    return xxhash.xxh64_intdigest(text.encode())


@dataclass(slots=True)
class HomeChooser:
    """Chooses replicas; it does no I/O.

    Parameters
    ----------
    failure_domain : FailureDomain
        That of this router.
    burdens : BurdenLedger
    source : random.Random
        Breaks ties, so that routers do not all choose alike.
    """

    failure_domain: FailureDomain
    burdens: BurdenLedger
    source: random.Random = field(default_factory=random.Random)
    prefixes: PrefixLedger = field(default_factory=PrefixLedger)

    def choose(
        self,
        call: Call,
        scope: str,
        replicas: Sequence[Replica],
        unwanted: Unwanted,
        now_s: float,
    ) -> Choice | None:
        """Return the choice, or None when there is no replica at all."""
        usable = self._list_usable(replicas, unwanted.ejected, now_s)
        if not usable:
            return None
        if not call.parts:
            return Choice(self._find_idle(usable, now_s), ChoiceKind.IDLE)
        return self._choose_engine(call, scope, usable, unwanted.outdated, now_s)

    def _list_usable(
        self,
        replicas: Sequence[Replica],
        ejected: frozenset[EndpointId],
        now_s: float,
    ) -> Sequence[Replica]:
        """Return the replicas without a recent failure, or all if each had one."""
        sound = [r for r in replicas if r.id not in ejected]
        ready = [r for r in sound if self._is_ready(r.id, now_s)]
        return ready or sound or replicas

    def _is_ready(self, endpoint: EndpointId, now_s: float) -> bool:
        return self.burdens.find(endpoint).avoid_until_s <= now_s

    def _find_idle(self, replicas: Sequence[Replica], now_s: float) -> Replica:
        def weigh(replica: Replica) -> tuple[float, float]:
            busy = self.burdens.find(replica.id).count_calls(now_s) / replica.slots
            if replica.failure_domain != self.failure_domain:
                busy += REMOTE_SHARE
            return busy, self.source.random()

        return min(replicas, key=weigh)

    def _choose_engine(
        self,
        call: Call,
        scope: str,
        replicas: Sequence[Replica],
        outdated: frozenset[EndpointId],
        now_s: float,
    ) -> Choice:
        shared = list_shared_parts(call.parts)
        prefixes = list_prefixes(scope, shared)
        found = [self._look_up(prefixes, r, call.model, now_s) for r in replicas]
        homes = self._rank_homes(compute_home_key(scope, shared), replicas)

        def weigh(index: int) -> tuple[float, float]:
            replica = replicas[index]
            cost = offers[index].cost + self._compute_backlog(replica, now_s)
            if replica.id in outdated:
                cost += OUTDATED_SHARE * call.prompt_tokens
            if replica.failure_domain != self.failure_domain:
                cost += REMOTE_ENGINE_SHARE * self.burdens.mean_tokens
            return cost, self.source.random()

        best_by_weights = _find_best(found)
        offers = [
            self._make_offer(call, each, best_by_weights[each.weights], homes)
            for each in found
        ]
        best = min(range(len(replicas)), key=weigh)
        offer = offers[best]
        return Choice(
            replicas[best],
            offer.kind,
            offer.uncached_tokens,
            offer.source,
            prefixes if found[best].weights else (),
            found[best].weights,
        )

    def _look_up(
        self, prefixes: Sequence[Prefix], replica: Replica, model: ModelId, now_s: float
    ) -> _Candidate:
        registered = replica.weights.get(model, 0)
        known = self.burdens.find(replica.id).weights or 0
        weights = WeightsNumber(max(registered, known))
        tokens = self.prefixes.find_tokens(prefixes, replica.id, weights, now_s)
        return _Candidate(replica, weights, *tokens)

    def _make_offer(
        self,
        call: Call,
        candidate: _Candidate,
        best: "_Best",
        homes: Sequence[Replica],
    ) -> _Offer:
        fetched = max(0, best.holder.has_read - candidate.reads)
        available = candidate.reads + fetched
        cost = FETCH_SHARE * fetched + AGAIN_WEIGHT * (best.known - available)
        uncached = call.prompt_tokens - available
        if fetched:
            kind = ChoiceKind.FETCH
        elif candidate.reads:
            kind = ChoiceKind.HOLDER
        elif candidate.replica in homes:
            kind = ChoiceKind.HOME
            unknown = call.prompt_tokens - call.parts[-1].tokens - best.known
            cost -= HOME_WEIGHTS[homes.index(candidate.replica)] * unknown
        else:
            kind = ChoiceKind.SPILL
        source = best.holder.replica if fetched else None
        return _Offer(cost + uncached, uncached, kind, source)

    def _rank_homes(self, key: int, replicas: Sequence[Replica]) -> list[Replica]:
        def weigh(replica: Replica) -> int:
            return mix_hash(key, xxhash.xxh64_intdigest(replica.id.encode()))

        return sorted(replicas, key=weigh, reverse=True)[: len(HOME_WEIGHTS)]

    def _compute_backlog(self, replica: Replica, now_s: float) -> float:
        """Return the work in front of a new call, in tokens to compute."""
        burden = self.burdens.find(replica.id)
        mean = self.burdens.mean_tokens
        report = burden.read_report(now_s)
        running = burden.outstanding if report is None else report.running
        waiting = 0 if report is None else report.waiting
        unknown = max(0, waiting - burden.outstanding) * mean
        known = burden.pending_tokens
        known += self.burdens.count_foreign_tokens(replica.id, now_s)
        return known + unknown + RUNNING_SHARE * running * mean


def make_scope(model: str, workspace: WorkspaceId, isolated: bool) -> str:
    """Return the cache scope of a call: isolated workspaces share with nobody."""
    return f"{model}/{workspace}" if isolated else f"{model}/"


def make_call_scope(call: Call) -> str:
    """Return the cache scope of a call, whatever the weights."""
    workspace = call.workspace
    if workspace is None:
        return f"{call.model}/"
    return make_scope(call.model, workspace.id, workspace.isolated)
