"""Typed access to the platform's key-value service, and an in-memory variant."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from .ids import Revision
from .outcomes import Step

__all__ = [
    "Ambiguous",
    "Applied",
    "Compare",
    "Conflict",
    "Item",
    "LeaseGranted",
    "LeaseLost",
    "MemoryStore",
    "Put",
    "Snapshot",
    "Store",
    "TransactOutcome",
    "Unavailable",
    "WatchEvent",
]


@dataclass(frozen=True, slots=True)
class Item:
    """A stored value with the revision of its last write and its lease."""

    key: str
    value: bytes
    mod_revision: Revision
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All items below a prefix at one revision."""

    revision: Revision
    items: dict[str, Item]


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition that a key was last written at a revision; 0 means absent."""

    key: str
    mod_revision: Revision


@dataclass(frozen=True, slots=True)
class Put:
    """A write; a value of None deletes the key."""

    key: str
    value: bytes | None
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Applied:
    """The transaction took effect at a revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written."""

    revision: Revision
    items: dict[str, Item] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """The call may have taken effect; its answer was lost."""

    step: Step
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call did not take effect."""

    step: Step
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease with its time to live, seconds."""

    lease: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease lapsed or was revoked."""

    lease: int


TransactOutcome = Applied | Conflict | Ambiguous | LeaseLost | Unavailable


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Changes below a prefix that became visible together.

    Parameters
    ----------
    compacted : bool
        The history asked for is gone; the reader takes a new snapshot.
    """

    revision: Revision
    items: tuple[Item, ...] = ()
    deleted: tuple[str, ...] = ()
    compacted: bool = False


class Store(Protocol):
    """The calls that the package makes on the key-value service."""

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write all or nothing, if every condition holds."""

    def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on; end when the service fails."""

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Extend a lease."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys, if the service answers."""


class MemoryStore:
    """A store in this process; its leases do not lapse by themselves."""

    def __init__(self) -> None:
        self.revision = Revision(1)
        self.items: dict[str, Item] = {}
        self.history: list[WatchEvent] = []
        self.leases: dict[int, float] = {}
        self.changed = anyio.Event()

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        return Snapshot(self.revision, self.select(prefix))

    def select(self, prefix: str) -> dict[str, Item]:
        """Return the items whose keys start with a prefix, ordered by key."""
        keys = sorted(key for key in self.items if key.startswith(prefix))
        return {key: self.items[key] for key in keys}

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write all or nothing, if every condition holds."""
        return self.commit(compares, puts)

    def commit(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> Applied | Conflict | LeaseLost:
        """Write all or nothing at once."""
        for put in puts:
            if put.lease and put.lease not in self.leases:
                return LeaseLost(put.lease)
        if not all(self._holds(compare) for compare in compares):
            keys = [c.key for c in compares if c.key in self.items]
            return Conflict(self.revision, {key: self.items[key] for key in keys})
        if puts:
            self._apply(puts)
        return Applied(self.revision)

    def _holds(self, compare: Compare) -> bool:
        item = self.items.get(compare.key)
        return (item.mod_revision if item else 0) == compare.mod_revision

    def _apply(self, puts: Sequence[Put]) -> None:
        self.revision = Revision(self.revision + 1)
        written = []
        deleted = []
        for put in puts:
            if put.value is None:
                self.items.pop(put.key, None)
                deleted.append(put.key)
                continue
            item = Item(put.key, put.value, self.revision, put.lease)
            self.items[put.key] = item
            written.append(item)
        event = WatchEvent(self.revision, tuple(written), tuple(deleted))
        self.history.append(event)
        self.changed.set()
        self.changed = anyio.Event()

    def filter_event(self, event: WatchEvent, prefix: str) -> WatchEvent | None:
        """Return the part of an event below a prefix, or None when there is none."""
        items = tuple(item for item in event.items if item.key.startswith(prefix))
        deleted = tuple(key for key in event.deleted if key.startswith(prefix))
        if not items and not deleted:
            return None
        return WatchEvent(event.revision, items, deleted)

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on, without end."""
        position = 0
        while True:
            changed = self.changed
            while position < len(self.history):
                event = self.history[position]
                position += 1
                part = self.filter_event(event, prefix)
                if part is not None and event.revision >= revision:
                    yield part
            await changed.wait()

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        lease = len(self.leases) + 1
        self.leases[lease] = ttl_s
        return LeaseGranted(lease, ttl_s)

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Extend a lease."""
        if lease not in self.leases:
            return LeaseLost(lease)
        return LeaseGranted(lease, self.leases[lease])

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        if self.leases.pop(lease, None) is None:
            return
        held = [key for key, item in self.items.items() if item.lease == lease]
        if held:
            self._apply([Put(key, None) for key in held])
