"""Transfers of KV cache between replicas and to the cache store.

Transferring the cache of a long shared prefix takes a fraction of the time to compute
it, and computing it would delay the other calls at the replica.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from ..ids import ModelId, ServiceId
from .calls import Call, WeightsVersionNumber
from .declarations import CacheStore, Declaration, Service
from .prefixes import MIN_PREFIX_TOKENS
from .replica_choice import Choice, list_shared_parts, make_call_scope
from .store_view import WeightsHistory

__all__ = ["CachePlan", "find_cache_store", "plan_cache_use"]


@dataclass(frozen=True, slots=True)
class CachePlan:
    """Use of KV cache by one attempt.

    Parameters
    ----------
    scope : str
        Name of the set of calls that share cached prompts with this one.
    weights : WeightsVersionNumber or None
        The only weights version that may serve the call; None for any.
    fetch_from, save_to : str
        Addresses from which the cache is fetched and to which it is saved; empty for
        none.
    """

    scope: str
    weights: WeightsVersionNumber | None = None
    fetch_from: str = ""
    save_to: str = ""


def find_cache_store(declaration: Declaration | None) -> CacheStore | None:
    """Return the declared KV cache store, or None."""
    if declaration is None:
        return None
    services: Mapping[ServiceId, Service] = declaration.services
    return next(
        (s.cache_store for s in services.values() if s.cache_store is not None), None
    )


def plan_cache_use(
    call: Call,
    choice: Choice,
    reported_version: WeightsVersionNumber | None,
    requested_weights: Mapping[ModelId, WeightsHistory],
    cache_store: CacheStore | None,
) -> CachePlan:
    """Return how a call uses KV cache at a chosen replica.

    Cache is transferred only between replicas with the same versions of weights and
    software, in a scope that names both, and the replica must refuse the call if it has
    loaded other weights. A replica that is about to load another version uses only its
    own cache, since loading empties it.

    Parameters
    ----------
    reported_version : WeightsVersionNumber or None
        Newest version that the replica's responses named.
    """
    scope = make_call_scope(call)
    shared_tokens = sum(part.tokens for part in list_shared_parts(call.parts))
    registered_version = choice.replica.weights.get(call.model)
    if shared_tokens < MIN_PREFIX_TOKENS or registered_version is None:
        return CachePlan(scope)
    weights = WeightsVersionNumber(max(registered_version, reported_version or 0))
    history = requested_weights.get(call.model)
    if history is not None and history.newest_version != weights:
        return CachePlan(scope)
    scope = f"{scope}/{weights}/{choice.replica.software}"
    address = "" if cache_store is None else cache_store.address
    if choice.fetch_from is None:
        return CachePlan(scope, weights, address, address)
    return CachePlan(scope, weights, choice.fetch_from.address)
