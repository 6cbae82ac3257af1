"""Choice of a replica for a call.

Long prompts go where their shared parts are likely cached: each shared prefix has a
home that all routers compute alike. A home that has more work than a recomputation
costs is passed over. Short calls go where the least work is.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from ..anchors import mix_hash
from ..ids import EndpointId, FailureDomain, WorkspaceId
from .burden import BurdenLedger
from .calls import Call, PromptPart
from .fleet import Replica

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
# What a cached token is worth, in tokens to compute, at the first and the second home
# of a prefix: a recomputation also evicts what others would find.
HOME_WEIGHTS = (3.0, 1.0)
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
    home : Replica or None
        First home of the prompt's shared prefix.
    """

    replica: Replica
    kind: ChoiceKind
    uncached_tokens: int = 0
    home: Replica | None = None


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
        shared_tokens = sum(part.tokens for part in shared)
        total = call.prompt_tokens
        homes = self._rank_homes(compute_home_key(scope, shared), replicas)

        def weigh(replica: Replica) -> tuple[float, float]:
            cost = self._compute_backlog(replica, now_s) + total
            for rank, home in enumerate(homes):
                if replica is home:
                    cost -= shared_tokens * HOME_WEIGHTS[rank]
            if replica.id in outdated:
                cost += OUTDATED_SHARE * total
            if replica.failure_domain != self.failure_domain:
                cost += REMOTE_ENGINE_SHARE * self.burdens.mean_tokens
            return cost, self.source.random()

        best = min(replicas, key=weigh)
        if best in homes:
            return Choice(best, ChoiceKind.HOME, total - shared_tokens, homes[0])
        return Choice(best, ChoiceKind.SPILL, total, homes[0])

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
