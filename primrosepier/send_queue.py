"""Queue of updates that are piggybacked on other messages."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import msgspec

from .messages import encode_message

__all__ = ["SendQueue"]

K = TypeVar("K", bound=Hashable)
T = TypeVar("T", bound=msgspec.Struct)

MAX_SCANNED = 64


@dataclass(slots=True)
class _QueuedRecord(Generic[T]):
    record: T
    sends: int = 0
    size_bytes: int = 0

    def compute_size(self) -> int:
        """Return the record's encoded size, bytes."""
        if not self.size_bytes:
            self.size_bytes = len(encode_message(self.record))
        return self.size_bytes


@dataclass(slots=True)
class SendQueue(Generic[K, T]):
    """Records by key, ordered for sending: new ones first, then least recently sent."""

    waiting: OrderedDict[K, _QueuedRecord[T]] = field(default_factory=OrderedDict)

    def put(self, key: K, record: T) -> None:
        """Queue a record; it replaces an earlier one with the same key."""
        self.waiting[key] = _QueuedRecord(record)
        self.waiting.move_to_end(key, last=False)

    def discard(self, key: K) -> None:
        """Drop the record of a key, if there is one."""
        self.waiting.pop(key, None)

    def take(self, budget_bytes: int, max_sends: int) -> list[T]:
        """Return records that fit the budget; drop those sent ``max_sends`` times."""
        chosen: list[T] = []
        sent: list[tuple[K, _QueuedRecord[T]]] = []
        for scanned, (key, entry) in enumerate(self.waiting.items()):
            if scanned >= MAX_SCANNED:
                break
            if entry.compute_size() <= budget_bytes:
                budget_bytes -= entry.compute_size()
                chosen.append(entry.record)
                sent.append((key, entry))
        for key, entry in sent:
            entry.sends += 1
            self.waiting.move_to_end(key)
            if entry.sends >= max_sends:
                del self.waiting[key]
        return chosen
