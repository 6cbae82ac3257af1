"""Transfers of KV cache between replicas and to the cache store.

Transferring the cache of a long shared prefix takes a fraction of the time to compute
it, and computing it would delay the other calls at the replica.

Each failure domain may have a cache store. A prefix is kept in the one of the domain of
its first preferred replica, so that all routers agree on it, the stores share the
load, and most transfers stay within a domain.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from ..hash_ring import mix_hash
from ..ids import ModelId
from .calls import Call, WeightsVersionNumber
from .declarations import CacheStore, Declaration
from .fleet import Replica
from .prefixes import MIN_PREFIX_TOKENS
from .replica_choice import (
    Choice,
    ChoiceKind,
    compute_preference_key,
    compute_preference_rank,
    list_shared_parts,
    make_call_scope,
)
from .store_view import WeightsHistory

__all__ = [
    "CachePlan",
    "find_cache_store",
    "has_several_cache_stores",
    "must_save",
    "plan_cache_use",
]

# One in so many calls to a replica that holds a prefix has it saved again. At 60 to 150
# long calls a second and 245 MB a prefix, saving with each would take 118 to 294 Gbit/s
# of the 153 Gbit/s that three stores have.
SAVED_AGAIN = 8


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


def _list_cache_stores(declaration: Declaration | None) -> list[CacheStore]:
    if declaration is None:
        return []
    services = declaration.services.values()
    return [s.cache_store for s in services if s.cache_store is not None]


def _count_shared_tokens(call: Call) -> int:
    return sum(part.tokens for part in list_shared_parts(call.parts))


def has_several_cache_stores(declaration: Declaration | None) -> bool:
    """Return whether more than one KV cache store is declared."""
    return len(_list_cache_stores(declaration)) > 1


def must_save(call: Call, choice: Choice) -> bool:
    """Return whether the cache of a call's shared prefix is to be saved.

    A replica that already holds the whole prefix, or is computing it, was told to save
    it by the call that computed it. A share of the later calls, chosen by their ids,
    names the store again, for one that has evicted the prefix or lost its content.
    """
    is_held = (
        choice.kind is ChoiceKind.HOLDER
        and choice.uncached_tokens <= call.prompt_tokens - _count_shared_tokens(call)
    )
    if not is_held:
        return True
    return xxhash.xxh64_intdigest(call.id.encode()) % SAVED_AGAIN == 0


def find_cache_store(
    declaration: Declaration | None, call: Call, replicas: Sequence[Replica]
) -> CacheStore | None:
    """Return the KV cache store of a call's shared prefix, or None.

    It depends only on the prefix and on what is registered, and not on loads, failures
    or the replica that serves the call: a prefix is looked for where it was saved.

    Parameters
    ----------
    replicas : sequence of Replica
        The registered replicas of the call's service.
    """
    if _count_shared_tokens(call) < MIN_PREFIX_TOKENS:
        return None
    stores = _list_cache_stores(declaration)
    if len(stores) <= 1:
        return stores[0] if stores else None
    key = compute_preference_key(make_call_scope(call), list_shared_parts(call.parts))
    if replicas:
        first = max(replicas, key=lambda x: compute_preference_rank(key, x.id))
        domain = first.failure_domain
        stores = [s for s in stores if s.failure_domain == domain] or stores
    return max(
        stores,
        key=lambda s: mix_hash(key, xxhash.xxh64_intdigest(s.address.encode())),
    )


def plan_cache_use(
    call: Call,
    choice: Choice,
    reported_version: WeightsVersionNumber | None,
    requested_weights: Mapping[ModelId, WeightsHistory],
    cache_store: CacheStore | None,
    saves: bool = True,
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
    saves : bool
        Whether the cache may be saved to the store.
    """
    scope = make_call_scope(call)
    registered_version = choice.replica.weights.get(call.model)
    if _count_shared_tokens(call) < MIN_PREFIX_TOKENS or registered_version is None:
        return CachePlan(scope)
    weights = WeightsVersionNumber(max(registered_version, reported_version or 0))
    history = requested_weights.get(call.model)
    if history is not None and history.newest_version != weights:
        return CachePlan(scope)
    scope = f"{scope}/{weights}/{choice.replica.software}"
    address = "" if cache_store is None else cache_store.address
    if choice.fetch_from is None:
        return CachePlan(scope, weights, address, address if saves else "")
    return CachePlan(scope, weights, choice.fetch_from.address)
