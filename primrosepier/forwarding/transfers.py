"""Which cached parts a replica fetches instead of computing them.

Answers the load of long shared prompts: moving the cache of a prefix takes a fraction
of the time in which it is computed, and computing it delays everybody else.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from ..ids import ModelId, ServiceId
from .calls import Call, WeightsNumber
from .declarations import CacheStore, Declaration, Service
from .prefixes import MIN_PREFIX_TOKENS
from .replica_choice import Choice, list_shared_parts, make_call_scope
from .store_view import WeightsGoal

__all__ = ["CachePlan", "find_cache_store", "plan_cache"]


@dataclass(frozen=True, slots=True)
class CachePlan:
    """How one attempt uses cached parts.

    Parameters
    ----------
    scope : str
        Name of the set of calls that share cached parts with this one.
    weights : WeightsNumber or None
        The only weights that may serve it; None for any.
    fetch_from, save_to : str
        Addresses, or empty.
    """

    scope: str
    weights: WeightsNumber | None = None
    fetch_from: str = ""
    save_to: str = ""


def find_cache_store(declaration: Declaration | None) -> CacheStore | None:
    """Return the declared store of KV cache, or None."""
    if declaration is None:
        return None
    services: Mapping[ServiceId, Service] = declaration.services
    return next((s.store for s in services.values() if s.store is not None), None)


def plan_cache(
    call: Call,
    choice: Choice,
    known: WeightsNumber | None,
    goals: Mapping[ModelId, WeightsGoal],
    store: CacheStore | None,
) -> CachePlan:
    """Return how a call at a chosen replica uses cached parts.

    Parts move only among replicas with the same weights, under a scope that names
    these, and the replica must refuse the call if it has others by then. A replica
    that is to change its weights uses its own cache alone, which it empties then.

    Parameters
    ----------
    known : WeightsNumber or None
        Weights of the replica by its last answer.
    """
    scope = make_call_scope(call)
    shared_tokens = sum(part.tokens for part in list_shared_parts(call.parts))
    registered = choice.replica.weights.get(call.model)
    if shared_tokens < MIN_PREFIX_TOKENS or registered is None:
        return CachePlan(scope)
    weights = WeightsNumber(max(registered, known or 0))
    goal = goals.get(call.model)
    if goal is not None and goal.number != weights:
        return CachePlan(scope)
    scope = f"{scope}/{weights}"
    address = "" if store is None else store.address
    if choice.source is None:
        return CachePlan(scope, weights, address, address)
    return CachePlan(scope, weights, choice.source.address)
