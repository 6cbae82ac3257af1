"""Updates that wait to be sent along with other messages."""

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
class _Waiting(Generic[T]):
    record: T
    sends: int = 0
    size_bytes: int = 0

    def measure(self) -> int:
        """Return the record's encoded size, bytes."""
        if not self.size_bytes:
            self.size_bytes = len(encode_message(self.record))
        return self.size_bytes


@dataclass(slots=True)
class SendQueue(Generic[K, T]):
    """Records by key, the newest first, then the one sent longest ago."""

    waiting: OrderedDict[K, _Waiting[T]] = field(default_factory=OrderedDict)

    def put(self, key: K, record: T) -> None:
        """Queue a record in place of an earlier one with its key."""
        self.waiting[key] = _Waiting(record)
        self.waiting.move_to_end(key, last=False)

    def discard(self, key: K) -> None:
        """Drop the record of a key, if there is one."""
        self.waiting.pop(key, None)

    def take(self, budget_bytes: int, sends_limit: int) -> list[T]:
        """Return records that fit, and drop those sent often enough."""
        chosen: list[T] = []
        sent: list[tuple[K, _Waiting[T]]] = []
        for scanned, (key, entry) in enumerate(self.waiting.items()):
            if scanned >= MAX_SCANNED:
                break
            if entry.measure() <= budget_bytes:
                budget_bytes -= entry.measure()
                chosen.append(entry.record)
                sent.append((key, entry))
        for key, entry in sent:
            entry.sends += 1
            self.waiting.move_to_end(key)
            if entry.sends >= sends_limit:
                del self.waiting[key]
        return chosen
