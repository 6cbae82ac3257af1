"""Typed access to the platform's key-value service, and an in-memory variant."""

import contextlib
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from .clocks import Clock
from .errors import CompactedError, LeaseNotFoundError
from .ids import Revision
from .keyvalue import (
    Change,
    Condition,
    DeleteRange,
    KeyValue,
    PutKey,
    Range,
    RangeResult,
    Record,
    Target,
)
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
    "StoreFaults",
    "TransactOutcome",
    "Unavailable",
    "WatchEvent",
    "compute_range_end",
]

MIN_WAIT_S = 0.01


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
    asked_at_s : float or None
        Time at which the answer was asked for, seconds, where the service proves
        that it shows all changes before; such an answer may tell of none.
    """

    revision: Revision
    items: tuple[Item, ...] = ()
    deleted: tuple[str, ...] = ()
    compacted: bool = False
    requested_at_s: float | None = None


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

    async def close(self) -> None:
        """Close all connections."""


@dataclass(slots=True)
class StoreFaults:
    """Faults that a store shows on demand.

    Parameters
    ----------
    down : bool
        Refuse every call.
    delay_s : float
        Wait before each call, seconds.
    lose_answers : int
        Number of next writes that take effect and whose answer is lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0

    def take_loss(self) -> bool:
        """Return whether the answer of this write is lost."""
        lost = self.lose_answers > 0
        self.lose_answers -= lost
        return lost


def make_item(record: Record) -> Item:
    """Return a record of the state as an item."""
    revision = Revision(record.mod_revision)
    return Item(record.key.decode(), record.value, revision, record.lease)


def compute_range_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1]) if raw else b"\x00"


def select_change(change: Change, prefix: str) -> WatchEvent | None:
    """Return the part of a change below a prefix, or None when there is none."""
    start = prefix.encode()
    written = [r for r in change.written if r.key.startswith(start)]
    deleted = [r for r in change.deleted if r.key.startswith(start)]
    if not written and not deleted:
        return None
    items = tuple(make_item(record) for record in written)
    keys = tuple(record.key.decode() for record in deleted)
    return WatchEvent(Revision(change.revision), items, keys)


class MemoryStore:
    """A store in this process, with faults on demand.

    Parameters
    ----------
    clock : Clock
        Time by which leases lapse.
    """

    def __init__(self, clock: Clock = time.monotonic) -> None:
        self.state = KeyValue(clock)
        self.faults = StoreFaults()
        self.changed = anyio.Event()

    @property
    def revision(self) -> Revision:
        """Revision of the last write."""
        return Revision(self.state.revision)

    @property
    def items(self) -> dict[str, Item]:
        """All items by key."""
        return self.select("")

    def notify(self) -> None:
        """Wake the watches after the state was changed."""
        self.changed.set()
        self.changed = anyio.Event()

    async def _check(self) -> Unavailable | None:
        await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            return Unavailable(Step.CONNECT, "memory", "the store is down")
        return None

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        refused = await self._check()
        return refused or Snapshot(self.revision, self.select(prefix))

    def select(self, prefix: str) -> dict[str, Item]:
        """Return the items whose keys start with a prefix, ordered by key."""
        request = Range(prefix.encode() or b"\x00", compute_range_end(prefix))
        items = [make_item(record) for record in self.state.read(request).records]
        return {item.key: item for item in items}

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write all or nothing, if every condition holds."""
        refused = await self._check()
        if refused is not None:
            return refused
        outcome = self.commit(compares, puts)
        if self.faults.take_loss():
            return Ambiguous(Step.HEADERS, "memory", "the answer was lost")
        return outcome

    def commit(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> Applied | Conflict | LeaseLost:
        """Write all or nothing at once."""
        conditions = [
            Condition(c.key.encode(), Target.MOD, c.mod_revision) for c in compares
        ]
        reads = [Range(compare.key.encode()) for compare in compares]
        operations = [_make_operation(put) for put in puts]
        try:
            result = self.state.transact(conditions, operations, reads)
        except LeaseNotFoundError as error:
            return LeaseLost(error.args[0])
        self.notify()
        if result.succeeded:
            return Applied(self.revision)
        found = [r for r in result.results if isinstance(r, RangeResult)]
        items = [make_item(record) for part in found for record in part.records]
        return Conflict(self.revision, {item.key: item for item in items})

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on, until the store is down."""
        position = int(revision)
        if self.revision < revision - 1:
            yield WatchEvent(self.revision, compacted=True)
            return
        while not self.faults.down:
            changed = self.changed
            try:
                changes = self.state.list_changes(position)
            except CompactedError:
                yield WatchEvent(self.revision, compacted=True)
                return
            for change in changes:
                event = select_change(change, prefix)
                position = change.revision + 1
                if event is not None:
                    yield event
            if changed is self.changed:
                await self.wait(changed)

    async def wait(self, changed: anyio.Event) -> None:
        """Wait for a change or for the next lease to lapse."""
        wait_s = self.state.get_next_expiry_s() - self.state.clock()
        with anyio.move_on_after(max(wait_s, MIN_WAIT_S)):
            await changed.wait()

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        refused = await self._check()
        return refused or LeaseGranted(self.state.grant_lease(ttl_s), ttl_s)

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Extend a lease."""
        refused = await self._check()
        if refused is not None:
            return refused
        ttl_s = self.state.keep_alive(lease)
        return LeaseGranted(lease, ttl_s) if ttl_s > 0 else LeaseLost(lease)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        if await self._check() is None:
            with contextlib.suppress(LeaseNotFoundError):
                self.state.revoke_lease(lease)
            self.notify()

    async def close(self) -> None:
        """Do nothing; there are no connections."""


def _make_operation(put: Put) -> PutKey | DeleteRange:
    if put.value is None:
        return DeleteRange(put.key.encode())
    return PutKey(put.key.encode(), put.value, put.lease)
