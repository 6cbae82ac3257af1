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
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from ..hash_ring import mix_hash
from ..ids import EndpointId, FailureDomain, WorkspaceId
from .calls import Call, WeightsVersionNumber
from .fleet import Replica
from .prefixes import Prefix, PrefixIndex
from .replica_costs import (
    ChoiceKind,
    ReplicaCost,
    ReplicaCosts,
    compute_preference_key,
    find_no_length,
    list_shared_parts,
)
from .replica_load import ReplicaLoadTable
from .speeds import HomeWeights

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


def compute_preference_rank(key: int, endpoint: EndpointId) -> int:
    """Return a replica's rank for a key; the highest one is preferred first."""
    return mix_hash(key, xxhash.xxh64_intdigest(endpoint.encode()))


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

    def make_costs(self, homes: HomeWeights) -> ReplicaCosts:
        """Return the estimates of costs, with the given weights of homes."""
        return ReplicaCosts(
            self.failure_domain,
            self.loads,
            self.prefixes,
            homes,
            self.find_short_tokens,
        )

    def choose(
        self,
        call: Call,
        scope: str,
        replicas: Sequence[Replica],
        avoided: AvoidedReplicas,
        now_s: float,
    ) -> Choice | None:
        """Choose a replica for a call; return None if there is no replica."""
        self.loads.drop_expired(now_s)
        costs = self.make_costs(self.homes)
        usable = costs.list_usable(replicas, avoided.ejected, now_s)
        if not usable:
            return None
        if not call.parts:
            best, cost = self._find_least(costs.estimate_call(x, now_s) for x in usable)
            kind = ChoiceKind.LEAST_LOADED
            return Choice(usable[best], kind, slowness=cost.slowness)
        endpoints = [replica.id for replica in usable]
        self.homes.update(usable[0].service, endpoints, self.loads.speeds, now_s)
        prompt = costs.estimate_prompt(call, scope, usable, avoided.outdated, now_s)
        best, cost = self._find_least(prompt.costs)
        estimate, candidate = prompt.estimates[best], prompt.candidates[best]
        sources = prompt.list_sources(best)
        return Choice(
            candidate.replica,
            estimate.kind,
            estimate.uncached_tokens,
            self.rng.choice(sources) if sources else None,
            prompt.prefixes if candidate.weights else (),
            candidate.weights,
            cost.slowness,
        )

    def _find_least(self, costs: Iterable[ReplicaCost]) -> tuple[int, ReplicaCost]:
        """Return the index of a replica with the lowest cost, and that cost."""
        indexed = enumerate(costs)
        return min(indexed, key=lambda x: (x[1].total, self.rng.random()))


def make_scope(model: str, workspace: WorkspaceId, isolated: bool) -> str:
    """Return the cache scope of a model; isolated workspaces have their own."""
    return f"{model}/{workspace}" if isolated else f"{model}/"


def make_call_scope(call: Call) -> str:
    """Return the cache scope of a call, without a weights version."""
    workspace = call.workspace
    if workspace is None:
        return f"{call.model}/"
    return make_scope(call.model, workspace.id, workspace.isolated)
