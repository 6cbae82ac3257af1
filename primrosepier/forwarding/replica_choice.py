"""Choice of a replica for a call.

A call with a prompt goes to the replica with the lowest estimated cost. A replica that
has cached the shared prefix, or is computing it, computes only the rest, and other
replicas can fetch the prefix from one that has cached it. For a prefix that no replica
is known to hold, all routers rank the same preferred replicas by rendezvous hashing,
so that they agree before they have exchanged reports. The cost includes the delay of
the outputs that the replica generates, so that long prompts do not slow down the
replicas that generate many outputs. Calls without a prompt go to the least loaded
replica.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from ..hash_ring import mix_hash
from ..ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    SoftwareVersion,
    WorkspaceId,
)
from .calls import Call, PromptPart, WeightsVersionNumber
from .fleet import Replica
from .prefixes import Prefix, PrefixIndex, list_prefixes
from .replica_load import ReplicaLoadTable
from .speeds import HomeWeights, rank_homes

__all__ = [
    "AvoidedReplicas",
    "Choice",
    "ChoiceKind",
    "ReplicaChooser",
    "compute_preference_key",
    "compute_preference_rank",
    "list_shared_parts",
    "make_call_scope",
    "make_scope",
]

# Cost of each running request, as a share of the mean uncached prompt: the engine
# decodes running requests and prefills new ones in the same batches.
RUNNING_COST_SHARE = 0.25
# Cost of delaying each output that the replica generates, as a share of delaying the
# call as long: an engine that computes a prompt generates several times more slowly.
OUTPUT_DELAY_SHARE = 0.5
# Longest delay of an output, in mean uncached prompts: most outputs end before a longer
# prompt is computed.
MAX_OUTPUT_DELAY_PROMPTS = 8.0
# Cost of serving a call with outdated weights, as a share of its prompt: worse for the
# caller than current weights, but better than a late response.
OUTDATED_COST_SHARE = 0.5
# Discount, in tokens to compute, for each prefix token that no replica is known to
# hold, at the first and second preferred replica: other routers may be sending the
# same prefix there.
PREFERENCE_DISCOUNTS = (1.0, 0.5)
# Extra cost of recomputing a token that another replica has cached or is computing, as
# a factor of computing it: the duplicate evicts cache entries that other calls would
# use.
RECOMPUTE_COST_FACTOR = 2.0
# Cost of a token that is fetched from another replica, as a share of computing it.
FETCH_COST_SHARE = 0.1
# Cost of a replica in another failure domain, as a share of the mean uncached prompt.
REMOTE_DOMAIN_COST_SHARE = 0.25
# Utilization added to a replica in another failure domain, for calls without a prompt.
REMOTE_DOMAIN_UTILIZATION = 0.34


@dataclass(frozen=True, slots=True)
class AvoidedReplicas:
    """Replicas to avoid: ejected ones are a last resort, outdated ones cost more.

    Parameters
    ----------
    ejected : frozenset of EndpointId
        Replicas ejected for their failures; used only when no other is left.
    outdated : frozenset of EndpointId
        Replicas that do not serve the requested weights; their cost is raised.
    """

    ejected: frozenset[EndpointId] = frozenset()
    outdated: frozenset[EndpointId] = frozenset()


class ChoiceKind(Enum):
    """Reason for the choice of a replica."""

    # The values are written to the log and to metric labels; "home" is the preferred
    # replica, and "reads" means computes.
    HOLDER = "has the shared prefix or reads it"
    FETCH = "fetches the shared prefix"
    PREFERRED = "home of the shared prefix"
    OVERFLOW = "home has too much work"
    LEAST_LOADED = "least work"


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen replica and what the call is expected to reuse there.

    Parameters
    ----------
    uncached_tokens : int
        Prompt tokens that the replica is expected to compute.
    fetch_from : Replica or None
        Replica to fetch the shared prefix from; None if no other replica has cached
        more of it.
    prefixes : sequence of Prefix
        Prefixes that the replica will have cached after the call; empty if its weights
        are unknown.
    weights : WeightsVersionNumber
        Version of the replica's weights; 0 when unknown.
    slowness : float
        Estimated slowness of the replica; 1 is as usual.
    """

    replica: Replica
    kind: ChoiceKind
    uncached_tokens: int = 0
    fetch_from: Replica | None = None
    prefixes: Sequence[Prefix] = ()
    weights: WeightsVersionNumber = WeightsVersionNumber(0)
    slowness: float = 1.0


_CacheFormat = tuple[WeightsVersionNumber, SoftwareVersion]


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A replica and the part of a prompt that it holds.

    Parameters
    ----------
    cached_tokens : int
        Leading tokens of the prompt that the replica has cached.
    reusable_tokens : int
        Leading tokens of the prompt that the replica has cached or is computing.
    """

    replica: Replica
    weights: WeightsVersionNumber
    cached_tokens: int
    reusable_tokens: int

    @property
    def cache_format(self) -> _CacheFormat:
        """Versions of weights and software between which KV cache can be moved."""
        return self.weights, self.replica.software


@dataclass(frozen=True, slots=True)
class _CostEstimate:
    """Estimated cost of a prompt at a candidate without other calls, in tokens."""

    cost: float
    uncached_tokens: int
    kind: ChoiceKind
    fetch_from: Replica | None


@dataclass(frozen=True, slots=True)
class _PrefixCoverage:
    """Part of a prompt that the replicas with the same weights and software hold.

    Parameters
    ----------
    reusable_tokens : int
        Most leading tokens that any of them has cached or is computing.
    best_holder : _Candidate
        Replica that has cached the most leading tokens.
    """

    reusable_tokens: int
    best_holder: _Candidate


def _find_coverage(
    candidates: Sequence[_Candidate],
) -> dict[_CacheFormat, _PrefixCoverage]:
    coverage: dict[_CacheFormat, _PrefixCoverage] = {}
    for candidate in candidates:
        previous = coverage.get(candidate.cache_format)
        if previous is None:
            coverage[candidate.cache_format] = _PrefixCoverage(
                candidate.reusable_tokens, candidate
            )
            continue
        best_holder = (
            previous.best_holder
            if previous.best_holder.cached_tokens >= candidate.cached_tokens
            else candidate
        )
        coverage[candidate.cache_format] = _PrefixCoverage(
            max(previous.reusable_tokens, candidate.reusable_tokens), best_holder
        )
    return coverage


def _list_nearest_holders(
    candidates: Sequence[_Candidate], best: _Candidate, domain: FailureDomain
) -> Sequence[Replica]:
    """Return who has cached as much as the best holder, in a failure domain if any.

    A transfer between failure domains takes twice as long as one within a domain.
    """
    holders = [
        candidate.replica
        for candidate in candidates
        if candidate.cache_format == best.cache_format
        and candidate.cached_tokens == best.cached_tokens
    ]
    return [x for x in holders if x.failure_domain == domain] or holders


def list_shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other calls may share: all but the last."""
    return parts[:-1]


def compute_preference_key(scope: str, parts: Sequence[PromptPart]) -> int:
    """Return the key by which preferred replicas are ranked for a chain of parts."""
    text = "/".join([scope, *(part.id for part in parts)])
    return xxhash.xxh64_intdigest(text.encode())


def compute_preference_rank(key: int, endpoint: EndpointId) -> int:
    """Return a replica's rank for a key; the highest one is preferred first."""
    return mix_hash(key, xxhash.xxh64_intdigest(endpoint.encode()))


def find_no_length(replica: Replica) -> float | None:
    """Return None; used where prompts need no permits."""
    return None


@dataclass(slots=True)
class ReplicaChooser:
    """Chooses replicas without I/O.

    Parameters
    ----------
    failure_domain : FailureDomain
        Failure domain of this router.
    loads : ReplicaLoadTable
    rng : random.Random
        Breaks ties, so that routers do not all choose the same replica.
    homes : HomeWeights
        Weights of the replicas in the ranking of preferred ones.
    find_short_tokens : callable
        Returns the length up to which a prompt needs no permit at a replica, tokens;
        None where prompts need none, or where the other routers' reports are recent.
    """

    failure_domain: FailureDomain
    loads: ReplicaLoadTable
    rng: random.Random = field(default_factory=random.Random)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    homes: HomeWeights = field(default_factory=HomeWeights)
    find_short_tokens: Callable[[Replica], float | None] = find_no_length

    def choose(
        self,
        call: Call,
        scope: str,
        replicas: Sequence[Replica],
        avoided: AvoidedReplicas,
        now_s: float,
    ) -> Choice | None:
        """Choose a replica for a call; return None if there is no replica."""
        usable = self._list_usable(replicas, avoided.ejected, now_s)
        if not usable:
            return None
        if not call.parts:
            replica = self._find_least_loaded(usable, now_s)
            slowness = self.loads.speeds.get_slowness(replica.id, now_s)
            return Choice(replica, ChoiceKind.LEAST_LOADED, slowness=slowness)
        return self._choose_by_cost(call, scope, usable, avoided.outdated, now_s)

    def _list_usable(
        self,
        replicas: Sequence[Replica],
        ejected: frozenset[EndpointId],
        now_s: float,
    ) -> Sequence[Replica]:
        """Return the replicas that are neither ejected nor in backoff.

        Falls back to those that are not ejected, then to all.
        """
        healthy = [r for r in replicas if r.id not in ejected]
        ready = [r for r in healthy if self._is_ready(r.id, now_s)]
        return ready or healthy or replicas

    def _is_ready(self, endpoint: EndpointId, now_s: float) -> bool:
        return self.loads.get_or_create(endpoint).avoid_until_s <= now_s

    def _find_least_loaded(self, replicas: Sequence[Replica], now_s: float) -> Replica:
        def compute_utilization(replica: Replica) -> tuple[float, float]:
            calls = self.loads.get_or_create(replica.id).count_calls(now_s)
            slowness = self.loads.speeds.get_slowness(replica.id, now_s)
            # The call itself takes longer as well, so an idle slow replica costs more.
            utilization = (slowness * calls + slowness - 1.0) / replica.slots
            if replica.failure_domain != self.failure_domain:
                utilization += REMOTE_DOMAIN_UTILIZATION
            return utilization, self.rng.random()

        return min(replicas, key=compute_utilization)

    def _choose_by_cost(
        self,
        call: Call,
        scope: str,
        replicas: Sequence[Replica],
        outdated: frozenset[EndpointId],
        now_s: float,
    ) -> Choice:
        endpoints = [replica.id for replica in replicas]
        self.homes.update(replicas[0].service, endpoints, self.loads.speeds, now_s)
        shared = list_shared_parts(call.parts)
        prefixes = list_prefixes(scope, shared)
        candidates = [
            self._make_candidate(prefixes, r, call.model, now_s) for r in replicas
        ]
        preferred = self._rank_preferred(
            compute_preference_key(scope, shared), replicas
        )
        coverage_by_format = _find_coverage(candidates)
        estimates = [
            self._estimate_cost(
                call, candidate, coverage_by_format[candidate.cache_format], preferred
            )
            for candidate in candidates
        ]

        def compute_total_cost(index: int) -> tuple[float, float]:
            estimate = estimates[index]
            cost = self._compute_cost(call, replicas[index], estimate, outdated, now_s)
            return cost, self.rng.random()

        best = min(range(len(replicas)), key=compute_total_cost)
        estimate = estimates[best]
        fetch_from = estimate.fetch_from
        if fetch_from is not None:
            holder = coverage_by_format[candidates[best].cache_format].best_holder
            domain = replicas[best].failure_domain
            nearest = _list_nearest_holders(candidates, holder, domain)
            fetch_from = self.rng.choice(nearest)
        return Choice(
            replicas[best],
            estimate.kind,
            estimate.uncached_tokens,
            fetch_from,
            prefixes if candidates[best].weights else (),
            candidates[best].weights,
            self.loads.speeds.get_slowness(replicas[best].id, now_s),
        )

    def _compute_cost(
        self,
        call: Call,
        replica: Replica,
        estimate: _CostEstimate,
        outdated: frozenset[EndpointId],
        now_s: float,
    ) -> float:
        """Return the whole cost of a call at a replica.

        Costs are times, in tokens that a replica of usual speed computes meanwhile.
        """
        cost = estimate.cost + self._compute_work(replica, estimate, now_s)
        cost *= self.loads.speeds.get_slowness(replica.id, now_s)
        if replica.id in outdated:
            cost += OUTDATED_COST_SHARE * call.prompt_tokens
        if replica.failure_domain != self.failure_domain:
            cost += REMOTE_DOMAIN_COST_SHARE * self.loads.mean_tokens
        return cost

    def _compute_work(
        self, replica: Replica, estimate: _CostEstimate, now_s: float
    ) -> float:
        """Return the cost of a replica's other calls, in tokens to compute.

        Late reports tell of long prompts that have been computed since, and show few
        outputs where prompts wait: all routers would send short prompts to the same
        replicas. These therefore go by this router's own calls, since permits keep long
        prompts from meeting at one replica.
        """
        short_tokens = self.find_short_tokens(replica)
        if short_tokens is not None:
            if estimate.uncached_tokens <= short_tokens:
                return self.loads.get_or_create(replica.id).pending_tokens
            return self._compute_pending_work(replica, now_s)
        output_delay = min(
            estimate.uncached_tokens, MAX_OUTPUT_DELAY_PROMPTS * self.loads.mean_tokens
        )
        decoding = self.loads.count_decoding(replica.id, now_s)
        work = self._compute_pending_work(replica, now_s)
        return work + OUTPUT_DELAY_SHARE * decoding * output_delay

    def _make_candidate(
        self, prefixes: Sequence[Prefix], replica: Replica, model: ModelId, now_s: float
    ) -> _Candidate:
        registered_version = replica.weights.get(model, 0)
        reported_version = self.loads.get_or_create(replica.id).weights or 0
        weights = WeightsVersionNumber(max(registered_version, reported_version))
        tokens = self.prefixes.count_tokens(prefixes, replica.id, weights, now_s)
        return _Candidate(replica, weights, *tokens)

    def _estimate_cost(
        self,
        call: Call,
        candidate: _Candidate,
        coverage: "_PrefixCoverage",
        preferred: Sequence[Replica],
    ) -> _CostEstimate:
        fetched_tokens = max(
            0, coverage.best_holder.cached_tokens - candidate.reusable_tokens
        )
        reused_tokens = candidate.reusable_tokens + fetched_tokens
        cost = FETCH_COST_SHARE * fetched_tokens + RECOMPUTE_COST_FACTOR * (
            coverage.reusable_tokens - reused_tokens
        )
        uncached_tokens = call.prompt_tokens - reused_tokens
        if fetched_tokens:
            kind = ChoiceKind.FETCH
        elif candidate.reusable_tokens:
            kind = ChoiceKind.HOLDER
        elif candidate.replica in preferred:
            kind = ChoiceKind.PREFERRED
            uncovered_tokens = (
                call.prompt_tokens - call.parts[-1].tokens - coverage.reusable_tokens
            )
            cost -= (
                PREFERENCE_DISCOUNTS[preferred.index(candidate.replica)]
                * uncovered_tokens
            )
        else:
            kind = ChoiceKind.OVERFLOW
        fetch_from = coverage.best_holder.replica if fetched_tokens else None
        return _CostEstimate(cost + uncached_tokens, uncached_tokens, kind, fetch_from)

    def _rank_preferred(self, key: int, replicas: Sequence[Replica]) -> list[Replica]:
        ranked = rank_homes(key, [x.id for x in replicas], self.homes)
        return [replicas[index] for index in ranked[: len(PREFERENCE_DISCOUNTS)]]

    def _compute_pending_work(self, replica: Replica, now_s: float) -> float:
        """Estimate the work queued ahead of a new call, in tokens to compute."""
        load = self.loads.get_or_create(replica.id)
        mean_tokens = self.loads.mean_tokens
        report = load.read_report(now_s)
        running = load.outstanding if report is None else report.running
        pending_tokens = self.loads.count_pending_tokens(replica.id, now_s)
        return pending_tokens + RUNNING_COST_SHARE * running * mean_tokens


def make_scope(model: str, workspace: WorkspaceId, isolated: bool) -> str:
    """Return the cache scope of a model; isolated workspaces have their own."""
    return f"{model}/{workspace}" if isolated else f"{model}/"


def make_call_scope(call: Call) -> str:
    """Return the cache scope of a call, without a weights version."""
    workspace = call.workspace
    if workspace is None:
        return f"{call.model}/"
    return make_scope(call.model, workspace.id, workspace.isolated)
