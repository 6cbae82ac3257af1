"""Index of the shared prefixes that replicas have cached or are computing.

Long prompts are expensive to prefill: a prefix that a replica has cached can be
fetched from there, one that is being computed is worth waiting for, and any other may
be computed anywhere.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec
import xxhash

from ..ids import EndpointId
from .calls import PromptPart, WeightsVersionNumber

__all__ = [
    "MIN_PREFIX_TOKENS",
    "PrefillTracker",
    "Prefix",
    "PrefixIndex",
    "PrefixKey",
    "PrefixUpdate",
    "list_prefixes",
]

PrefixKey = int

# Shorter prefixes are computed faster than they are fetched.
MIN_PREFIX_TOKENS = 1024
# An entry expires after this time: a fully loaded engine evicts an unused prefix in
# about as long, and a prefill that takes longer has failed.
HOLDER_TTL_S = 3.0
# Maximum number of prefixes in the index after pruning.
MAX_PREFIXES = 10_000
# Limits the size of a datagram.
MAX_UPDATES_PER_REPORT = 32


class PrefixUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Change of a prefix at one replica, as reported to peers.

    Parameters
    ----------
    weights : WeightsVersionNumber
        Version of the replica's weights.
    is_cached : bool
        Whether the replica has cached the prefix; otherwise it is computing it.
    """

    key: PrefixKey
    endpoint: EndpointId
    weights: WeightsVersionNumber
    is_cached: bool


@dataclass(frozen=True, slots=True)
class Prefix:
    """A chain of leading parts of a prompt.

    Parameters
    ----------
    key : int
        Hash of the chain within its cache scope.
    tokens : int
        Length of the whole chain in tokens.
    """

    key: PrefixKey
    tokens: int


@dataclass(frozen=True, slots=True)
class _Holder:
    """State of a prefix at one replica that has cached it or is computing it."""

    weights: WeightsVersionNumber
    is_cached: bool
    recorded_at_s: float

    def is_recent(self, now_s: float) -> bool:
        return now_s - self.recorded_at_s < HOLDER_TTL_S


def list_prefixes(scope: str, shared: Sequence[PromptPart]) -> list[Prefix]:
    """Return the prefixes of at least ``MIN_PREFIX_TOKENS``, shortest first."""
    digest = xxhash.xxh64(scope.encode())
    tokens = 0
    prefixes = []
    for part in shared:
        digest.update(b"/" + part.id.encode())
        tokens += part.tokens
        if tokens >= MIN_PREFIX_TOKENS:
            prefixes.append(Prefix(digest.intdigest(), tokens))
    return prefixes


@dataclass(slots=True)
class PrefixIndex:
    """Prefixes that replicas have cached or are computing.

    Attributes
    ----------
    holders : dict of PrefixKey to dict of EndpointId to _Holder
    pending_updates : list of PrefixUpdate
        Updates from this router's calls that have not been reported to peers yet.
    """

    holders: dict[PrefixKey, dict[EndpointId, _Holder]] = field(default_factory=dict)
    pending_updates: list[PrefixUpdate] = field(default_factory=list)

    def record(
        self,
        key: PrefixKey,
        endpoint: EndpointId,
        weights: WeightsVersionNumber,
        is_cached: bool,
        now_s: float,
    ) -> None:
        """Record that a replica computes a prefix or has cached it."""
        holders = self.holders.setdefault(key, {})
        previous = holders.get(endpoint)
        was_cached = (
            previous is not None and previous.weights == weights and previous.is_cached
        )
        holders[endpoint] = _Holder(weights, is_cached or was_cached, now_s)

    def remove_in_prefill(self, key: PrefixKey, endpoint: EndpointId) -> None:
        """Remove a prefix whose prefill failed, unless the replica has cached it."""
        holders = self.holders.get(key, {})
        holder = holders.get(endpoint)
        if holder is not None and not holder.is_cached:
            del holders[endpoint]

    def count_tokens(
        self,
        prefixes: Sequence[Prefix],
        endpoint: EndpointId,
        weights: WeightsVersionNumber,
        now_s: float,
    ) -> tuple[int, int]:
        """Return how many leading tokens are cached, and how many cached or in prefill.

        Entries for other weights versions do not count, since loading weights empties
        the cache.
        """
        cached_tokens = reusable_tokens = 0
        for prefix in prefixes:
            holder = self.holders.get(prefix.key, {}).get(endpoint)
            if holder is None or holder.weights != weights:
                continue
            if holder.is_recent(now_s):
                reusable_tokens = prefix.tokens
                cached_tokens = prefix.tokens if holder.is_cached else cached_tokens
        return cached_tokens, reusable_tokens

    def take_updates(self) -> list[PrefixUpdate]:
        """Remove the pending updates and return the newest that fit a datagram."""
        updates, self.pending_updates = (
            self.pending_updates[-MAX_UPDATES_PER_REPORT:],
            [],
        )
        return updates

    def apply_updates(self, updates: Sequence[PrefixUpdate], now_s: float) -> None:
        """Apply a peer's updates."""
        for update in updates:
            self._apply(update, now_s)

    def report(self, update: PrefixUpdate, now_s: float) -> None:
        """Apply an update of this router's calls, and have it reported to peers."""
        self._apply(update, now_s)
        self.pending_updates.append(update)

    def _apply(self, update: PrefixUpdate, now_s: float) -> None:
        self.record(
            update.key, update.endpoint, update.weights, update.is_cached, now_s
        )

    def prune(self, now_s: float) -> None:
        """Remove expired entries, then the prefixes added first if too many remain."""
        for key in list(self.holders):
            recent = {
                endpoint: holder
                for endpoint, holder in self.holders[key].items()
                if holder.is_recent(now_s)
            }
            if recent:
                self.holders[key] = recent
            else:
                del self.holders[key]
        for key in list(self.holders)[: max(0, len(self.holders) - MAX_PREFIXES)]:
            del self.holders[key]


@dataclass(frozen=True, slots=True)
class PrefillTracker:
    """Records the prefixes that a replica computes for one attempt.

    Parameters
    ----------
    weights : WeightsVersionNumber
        Version of the replica's weights.
    """

    index: PrefixIndex
    prefixes: Sequence[Prefix]
    endpoint: EndpointId
    weights: WeightsVersionNumber

    def begin(self, now_s: float) -> None:
        """Record that the prefill was requested."""
        self._record(False, now_s)

    def end(self, succeeded: bool, now_s: float) -> None:
        """Record that the prefixes are cached, or remove them after a failure."""
        if succeeded:
            self._record(True, now_s)
            return
        for prefix in self.prefixes:
            self.index.remove_in_prefill(prefix.key, self.endpoint)

    def _record(self, is_cached: bool, now_s: float) -> None:
        for prefix in self.prefixes:
            self.index.report(
                PrefixUpdate(prefix.key, self.endpoint, self.weights, is_cached), now_s
            )
