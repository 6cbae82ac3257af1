"""Prefix cache of an engine stand-in, and the cache events that it publishes."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from .ids import BlockHash

__all__ = ["BlockCache", "CacheEvent", "CacheEvents", "CacheEventsPage"]

MAX_BUFFERED_EVENTS = 10_000
MAX_PAGE_EVENTS = 1000


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the cache.

    Parameters
    ----------
    sequence : int
        Increases by one for each event of an incarnation; a gap shows lost events.
    kind : str
        ``stored`` or ``removed``.
    blocks : tuple of int
        Hashes of the blocks.
    published_at_s : float
        Monotonic time in seconds from which the event is visible.
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
    """Cache events, published with a lag and with losses.

    Parameters
    ----------
    lag_s : float
        Time in seconds until an event is visible.
    loss : float
        Fraction of the events that are lost.
    """

    lag_s: float = 0.05
    loss: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    sequence: int = 0
    buffered: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_BUFFERED_EVENTS)
    )

    def publish(self, kind: str, blocks: Sequence[BlockHash], now_s: float) -> None:
        """Record a change of the cache as an event."""
        if not blocks:
            return
        self.sequence += 1
        if self.rng.random() >= self.loss:
            visible_from_s = now_s + self.lag_s
            self.buffered.append(
                CacheEvent(self.sequence, kind, tuple(blocks), visible_from_s)
            )

    def list_after(self, sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the oldest visible events after a sequence number, at most a page."""
        visible = [
            event
            for event in self.buffered
            if event.sequence > sequence and event.published_at_s <= now_s
        ]
        return visible[:MAX_PAGE_EVENTS]

    def reset(self) -> None:
        """Drop all events and restart the sequence numbers."""
        self.sequence = 0
        self.buffered.clear()


class BlockCache:
    """LRU cache of prompt blocks."""

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
        """Cache a chain of blocks; the first becomes the most recently used."""
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
        """Drop all blocks without an event, as in a crash."""
        self.blocks.clear()
