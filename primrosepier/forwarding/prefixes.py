"""Which replicas have read which shared prefixes, as far as this router knows.

Answers the load of long prompts: a prefix that some replica has read can be fetched
from there, one that is being read is worth waiting for, and one that nobody has read
may be read anywhere.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from ..ids import EndpointId
from .calls import PromptPart, WeightsNumber

__all__ = [
    "MIN_PREFIX_TOKENS",
    "Prefix",
    "PrefixKey",
    "PrefixIndex",
    "PrefixUpdate",
    "Reading",
    "list_prefixes",
]

PrefixKey = int
# Key of the prefix, replica, its weights, and whether it has read the prefix.
PrefixUpdate = tuple[PrefixKey, EndpointId, WeightsNumber, bool]

# Prefixes shorter than this are computed faster than they are looked for, tokens.
MIN_PREFIX_TOKENS = 1024
# Age after which what is known of a replica is dropped, seconds: an engine that reads
# all the time evicts in about this time what nobody asks for, and a reading that takes
# longer has failed.
KNOWN_LIFE_S = 3.0
# Prefixes that are remembered, and those that one report tells of: a datagram's size.
MOST_PREFIXES = 10_000
MOST_NEWS = 32


@dataclass(frozen=True, slots=True)
class Prefix:
    """A chain of leading parts of a prompt.

    Parameters
    ----------
    key : int
        Hash of the chain within its cache scope.
    tokens : int
        Length of the whole chain.
    """

    key: PrefixKey
    tokens: int


@dataclass(frozen=True, slots=True)
class _Holder:
    weights: WeightsNumber
    is_read: bool
    noted_at_s: float

    def is_recent(self, now_s: float) -> bool:
        return now_s - self.noted_at_s < KNOWN_LIFE_S


def list_prefixes(scope: str, shared: Sequence[PromptPart]) -> list[Prefix]:
    """Return the prefixes of the shared parts that are long enough, shortest first."""
    digest = xxhash.xxh64(scope.encode())
    tokens = 0
    found = []
    for part in shared:
        digest.update(b"/" + part.id.encode())
        tokens += part.tokens
        if tokens >= MIN_PREFIX_TOKENS:
            found.append(Prefix(digest.intdigest(), tokens))
    return found


@dataclass(slots=True)
class PrefixIndex:
    """Prefixes that replicas have read or are reading.

    Attributes
    ----------
    news : list of PrefixNews
        What this router's own calls showed and no report has told yet.
    """

    holders: dict[PrefixKey, dict[EndpointId, _Holder]] = field(default_factory=dict)
    news: list[PrefixUpdate] = field(default_factory=list)

    def note(
        self,
        key: PrefixKey,
        endpoint: EndpointId,
        weights: WeightsNumber,
        is_read: bool,
        now_s: float,
    ) -> None:
        """Take in that a replica reads or has read a prefix."""
        found = self.holders.setdefault(key, {})
        before = found.get(endpoint)
        has_read = before is not None and before.weights == weights and before.is_read
        found[endpoint] = _Holder(weights, is_read or has_read, now_s)

    def drop(self, key: PrefixKey, endpoint: EndpointId) -> None:
        """Forget a reading that failed."""
        found = self.holders.get(key, {})
        holder = found.get(endpoint)
        if holder is not None and not holder.is_read:
            del found[endpoint]

    def find_tokens(
        self,
        prefixes: Sequence[Prefix],
        endpoint: EndpointId,
        weights: WeightsNumber,
        now_s: float,
    ) -> tuple[int, int]:
        """Return the leading tokens that a replica has read, and that it reads or has.

        A replica that has changed its weights holds nothing of before.
        """
        has_read = reads = 0
        for prefix in prefixes:
            holder = self.holders.get(prefix.key, {}).get(endpoint)
            if holder is None or holder.weights != weights:
                continue
            if holder.is_recent(now_s):
                reads = prefix.tokens
                has_read = prefix.tokens if holder.is_read else has_read
        return has_read, reads

    def take_news(self) -> list[PrefixUpdate]:
        """Return the newest of what no report has told yet."""
        found, self.news = self.news[-MOST_NEWS:], []
        return found

    def take_told(self, told: Sequence[PrefixUpdate], now_s: float) -> None:
        """Take in what another router's calls showed."""
        for key, endpoint, weights, is_read in told:
            self.note(key, endpoint, weights, is_read, now_s)

    def forget(self, now_s: float) -> None:
        """Drop what is too old, and the oldest of too many."""
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
        for key in list(self.holders)[: max(0, len(self.holders) - MOST_PREFIXES)]:
            del self.holders[key]


@dataclass(frozen=True, slots=True)
class Reading:
    """The prefixes that one attempt makes its replica read.

    Parameters
    ----------
    weights : WeightsNumber
        Those of the replica.
    """

    ledger: PrefixIndex
    prefixes: Sequence[Prefix]
    endpoint: EndpointId
    weights: WeightsNumber

    def begin(self, now_s: float) -> None:
        """Note that the replica is asked to read them."""
        self._note(False, now_s)

    def end(self, has_read: bool, now_s: float) -> None:
        """Note that it has read them, or that nothing is known of it."""
        if has_read:
            self._note(True, now_s)
            return
        for prefix in self.prefixes:
            self.ledger.drop(prefix.key, self.endpoint)

    def _note(self, is_read: bool, now_s: float) -> None:
        for prefix in self.prefixes:
            news = (prefix.key, self.endpoint, self.weights, is_read)
            self.ledger.note(*news, now_s)
            self.ledger.news.append(news)
