"""Estimated costs of a call at each replica. Reads the state of the router only."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import xxhash

from ..ids import EndpointId, FailureDomain, ModelId, SoftwareVersion
from .calls import Call, PromptPart, WeightsVersionNumber
from .fleet import Replica
from .prefixes import Prefix, PrefixIndex, list_prefixes
from .replica_load import ReplicaLoadTable
from .speeds import HomeWeights, rank_homes

__all__ = [
    "ChoiceKind",
    "CostCandidate",
    "CostEstimate",
    "PromptCosts",
    "ReplicaCost",
    "ReplicaCosts",
    "compute_preference_key",
    "find_no_length",
    "list_shared_parts",
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


class ChoiceKind(Enum):
    """Reason for the choice of a replica."""

    # The values are written to the log and to metric labels; "home" is the preferred
    # replica, and "reads" means computes.
    HOLDER = "has the shared prefix or reads it"
    FETCH = "fetches the shared prefix"
    PREFERRED = "home of the shared prefix"
    OVERFLOW = "home has too much work"
    LEAST_LOADED = "least work"


_CacheFormat = tuple[WeightsVersionNumber, SoftwareVersion]


@dataclass(frozen=True, slots=True)
class CostCandidate:
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
class CostEstimate:
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
    best_holder : CostCandidate
        Replica that has cached the most leading tokens.
    """

    reusable_tokens: int
    best_holder: CostCandidate


def _find_coverage(
    candidates: Sequence[CostCandidate],
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


def list_nearest_holders(
    candidates: Sequence[CostCandidate], best: CostCandidate, domain: FailureDomain
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


def find_no_length(replica: Replica) -> float | None:
    """Return None; used where prompts need no permits."""
    return None


class ReplicaCost(NamedTuple):
    """Whole cost of a call at one replica, and its parts.

    Costs of prompts are times, in tokens that a replica of usual speed computes
    meanwhile. For calls without a prompt they are utilizations.

    Parameters
    ----------
    total : float
    work : float
        Cost of the other calls at the replica, before its slowness.
    slowness : float
        Estimated slowness; 1 is as usual.
    outdated, remote : float
        Added for outdated weights, and for another failure domain.
    """

    total: float
    work: float
    slowness: float
    outdated: float = 0.0
    remote: float = 0.0


@dataclass(frozen=True, slots=True)
class PromptCosts:
    """Costs of a prompt at several replicas, and what they hold of it.

    Parameters
    ----------
    costs : sequence of ReplicaCost
    estimates : sequence of CostEstimate
        Costs of the prompt itself, without the other calls.
    """

    prefixes: Sequence[Prefix]
    candidates: Sequence[CostCandidate]
    estimates: Sequence[CostEstimate]
    costs: Sequence[ReplicaCost]

    def list_sources(self, index: int) -> Sequence[Replica]:
        """Return the replicas that a prefix may be fetched from; empty for none."""
        source = self.estimates[index].fetch_from
        if source is None:
            return ()
        best = next(x for x in self.candidates if x.replica is source)
        domain = self.candidates[index].replica.failure_domain
        return list_nearest_holders(self.candidates, best, domain)


@dataclass(frozen=True, slots=True)
class ReplicaCosts:
    """Estimates what a call costs at each replica.

    Parameters
    ----------
    failure_domain : FailureDomain
        Failure domain of this router.
    homes : HomeWeights
        Weights of the replicas in the ranking of preferred ones, up to date.
    find_short_tokens : callable
        Returns the length up to which a prompt needs no permit at a replica, tokens;
        None where prompts need none, or where the other routers' reports are recent.
    """

    failure_domain: FailureDomain
    loads: ReplicaLoadTable
    prefixes: PrefixIndex
    homes: HomeWeights
    find_short_tokens: Callable[[Replica], float | None] = find_no_length

    def list_usable(
        self,
        replicas: Sequence[Replica],
        ejected: frozenset[EndpointId],
        now_s: float,
    ) -> Sequence[Replica]:
        """Return the replicas that are neither ejected nor in backoff.

        Falls back to those that are not ejected, then to all.
        """
        healthy = [r for r in replicas if r.id not in ejected]
        ready = [r for r in healthy if self.loads.read(r.id).avoid_until_s <= now_s]
        return ready or healthy or replicas

    def estimate_call(self, replica: Replica, now_s: float) -> ReplicaCost:
        """Return the cost of a call without a prompt."""
        calls = self.loads.read(replica.id).count_calls(now_s)
        slowness = self.loads.speeds.get_slowness(replica.id, now_s)
        # The call itself takes longer as well, so an idle slow replica costs more.
        total = (slowness * calls + slowness - 1.0) / replica.slots
        remote = 0.0
        if replica.failure_domain != self.failure_domain:
            remote = REMOTE_DOMAIN_UTILIZATION
        return ReplicaCost(total + remote, calls / replica.slots, slowness, 0.0, remote)

    def estimate_prompt(
        self,
        call: Call,
        scope: str,
        replicas: Sequence[Replica],
        outdated: frozenset[EndpointId],
        now_s: float,
    ) -> PromptCosts:
        """Return the costs of a call with a prompt."""
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
        costs = [
            self._compute_cost(call, replica, estimate, outdated, now_s)
            for replica, estimate in zip(replicas, estimates, strict=True)
        ]
        return PromptCosts(prefixes, candidates, estimates, costs)

    def _compute_cost(
        self,
        call: Call,
        replica: Replica,
        estimate: CostEstimate,
        outdated: frozenset[EndpointId],
        now_s: float,
    ) -> ReplicaCost:
        """Return the whole cost of a call at a replica."""
        work = self._compute_work(replica, estimate, now_s)
        slowness = self.loads.speeds.get_slowness(replica.id, now_s)
        outdated_cost = remote_cost = 0.0
        if replica.id in outdated:
            outdated_cost = OUTDATED_COST_SHARE * call.prompt_tokens
        if replica.failure_domain != self.failure_domain:
            remote_cost = REMOTE_DOMAIN_COST_SHARE * self.loads.mean_tokens
        total = (estimate.cost + work) * slowness + outdated_cost + remote_cost
        return ReplicaCost(total, work, slowness, outdated_cost, remote_cost)

    def _compute_work(
        self, replica: Replica, estimate: CostEstimate, now_s: float
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
                return self.loads.read(replica.id).pending_tokens
            return self._compute_pending_work(replica, now_s)
        output_delay = min(
            estimate.uncached_tokens, MAX_OUTPUT_DELAY_PROMPTS * self.loads.mean_tokens
        )
        decoding = self.loads.count_decoding(replica.id, now_s)
        work = self._compute_pending_work(replica, now_s)
        return work + OUTPUT_DELAY_SHARE * decoding * output_delay

    def _make_candidate(
        self, prefixes: Sequence[Prefix], replica: Replica, model: ModelId, now_s: float
    ) -> CostCandidate:
        registered_version = replica.weights.get(model, 0)
        reported_version = self.loads.read(replica.id).weights or 0
        weights = WeightsVersionNumber(max(registered_version, reported_version))
        tokens = self.prefixes.count_tokens(prefixes, replica.id, weights, now_s)
        return CostCandidate(replica, weights, *tokens)

    def _estimate_cost(
        self,
        call: Call,
        candidate: CostCandidate,
        coverage: _PrefixCoverage,
        preferred: Sequence[Replica],
    ) -> CostEstimate:
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
        return CostEstimate(cost + uncached_tokens, uncached_tokens, kind, fetch_from)

    def _rank_preferred(self, key: int, replicas: Sequence[Replica]) -> list[Replica]:
        ranked = rank_homes(key, [x.id for x in replicas], self.homes)
        return [replicas[index] for index in ranked[: len(PREFERENCE_DISCOUNTS)]]

    def _compute_pending_work(self, replica: Replica, now_s: float) -> float:
        """Estimate the work queued ahead of a new call, in tokens to compute."""
        load = self.loads.read(replica.id)
        mean_tokens = self.loads.mean_tokens
        report = load.read_report(now_s)
        running = load.outstanding if report is None else report.running
        pending_tokens = self.loads.count_pending_tokens(replica.id, now_s)
        return pending_tokens + RUNNING_COST_SHARE * running * mean_tokens
