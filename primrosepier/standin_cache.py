"""Prefix cache of an engine's stand-in, and the events that it publishes."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from .ids import BlockHash

__all__ = ["BlockCache", "CacheEvent", "CacheEvents", "CacheEventsPage"]

MAX_KEPT_EVENTS = 10_000
MAX_PAGE_EVENTS = 1000


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the cache.

    Parameters
    ----------
    sequence : int
        Rises by one for each event of an incarnation; a jump is a gap.
    kind : str
        ``stored`` or ``removed``.
    blocks : tuple of int
    published_at_s : float
        Monotonic time from which the event is visible, seconds.
    """

    sequence: int
    kind: str
    blocks: tuple[BlockHash, ...]
    published_at_s: float


class CacheEventsPage(msgspec.Struct, frozen=True):
    """Events of one incarnation after a sequence number."""

    incarnation: str
    version: str
    events: list[CacheEvent]


@dataclass(slots=True)
class CacheEvents:
    """Events that become visible late and of which some are lost.

    Parameters
    ----------
    lag_s : float
        Time until an event is visible, seconds.
    loss : float
        Share of the events that never become visible.
    """

    lag_s: float = 0.05
    loss: float = 0.0
    source: random.Random = field(default_factory=lambda: random.Random(0))
    sequence: int = 0
    kept: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_EVENTS)
    )

    def publish(self, kind: str, blocks: Sequence[BlockHash], now_s: float) -> None:
        """Take in a change of the cache."""
        if not blocks:
            return
        self.sequence += 1
        if self.source.random() >= self.loss:
            visible = now_s + self.lag_s
            self.kept.append(CacheEvent(self.sequence, kind, tuple(blocks), visible))

    def list_after(self, sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the visible events after a sequence number, oldest first."""
        found = [
            event
            for event in self.kept
            if event.sequence > sequence and event.published_at_s <= now_s
        ]
        return found[:MAX_PAGE_EVENTS]

    def reset(self) -> None:
        """Start again at sequence number 1."""
        self.sequence = 0
        self.kept.clear()


class BlockCache:
    """Cached prompt blocks in limited memory, the least recently used evicted."""

    def __init__(self, capacity: int, events: CacheEvents | None = None):
        self.capacity = capacity
        self.events = events if events is not None else CacheEvents()
        self.blocks: OrderedDict[BlockHash, None] = OrderedDict()

    def count_cached(self, blocks: Sequence[BlockHash]) -> int:
        """Return the number of leading blocks that are cached."""
        for index, block in enumerate(blocks):
            if block not in self.blocks:
                return index
        return len(blocks)

    def add(self, blocks: Sequence[BlockHash], now_s: float = 0.0) -> None:
        """Cache a chain of blocks, its root as the most recently used."""
        stored = [block for block in blocks if block not in self.blocks]
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        removed = []
        while len(self.blocks) > self.capacity:
            removed.append(self.blocks.popitem(last=False)[0])
        self.events.publish("stored", stored, now_s)
        self.events.publish("removed", removed, now_s)

    def clear(self) -> None:
        """Drop all blocks without an event, as a crash does."""
        self.blocks.clear()
