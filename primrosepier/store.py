"""Typed interface of the key-value service, and an in-memory implementation."""

import contextlib
import time
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
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
    "make_watch_event",
    "select_change",
    "select_changes",
    "split_changes",
]

MIN_WAIT_S = 0.01


@dataclass(frozen=True, slots=True)
class Item:
    """A stored value with the revision of its last write; lease 0 means none."""

    key: str
    value: bytes
    mod_revision: Revision
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All items with a prefix at one revision.

    Parameters
    ----------
    restores : int
        Rises whenever the store is restored from a copy, so that writes are lost; 0
        where the store does not tell.
    """

    revision: Revision
    items: dict[str, Item]
    restores: int = 0


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition that a key was last written at a revision; 0 means it is absent."""

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
    """The transaction took effect at a revision.

    Parameters
    ----------
    restores : int
        As in a snapshot.
    """

    revision: Revision
    restores: int = 0


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written.

    Parameters
    ----------
    items : dict of str to Item
        Stored items of the keys in the conditions.
    """

    revision: Revision
    items: dict[str, Item] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """The answer was lost; the call may have taken effect."""

    step: Step
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service refused the call or gave no usable answer.

    A transaction with this outcome did not take effect. A lease may nevertheless have
    been granted or renewed.
    """

    step: Step
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease with its time to live, seconds.

    Parameters
    ----------
    restores : int
        As in a snapshot.
    """

    lease: int
    ttl_s: float
    restores: int = 0


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease expired or was revoked."""

    lease: int


TransactOutcome = Applied | Conflict | Ambiguous | LeaseLost | Unavailable


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Changes of keys with a prefix that became visible together.

    Parameters
    ----------
    changes : mapping of str to (Item or None)
        Last change of each key; None if the key was deleted.
    compacted : bool
        Whether a new snapshot is needed, since the requested history was compacted,
        the service cancelled the watch, or the store is older than the requested
        revision.
    requested_at_s : float or None
        Time at which the answer was requested, seconds, if the service guarantees that
        the answer contains all earlier changes. Such an event may contain no changes.
    hold_s : float
        Longest time for which the service holds the request, seconds.
    restores : int
        As in a snapshot. A new snapshot is needed if it has risen.
    """

    revision: Revision
    changes: Mapping[str, Item | None] = field(default_factory=dict)
    compacted: bool = False
    requested_at_s: float | None = None
    hold_s: float = float("inf")
    restores: int = 0

    @property
    def items(self) -> tuple[Item, ...]:
        """Items that were written last."""
        return tuple(item for item in self.changes.values() if item is not None)

    @property
    def deleted(self) -> tuple[str, ...]:
        """Keys that were deleted last."""
        return tuple(key for key, item in self.changes.items() if item is None)


def make_watch_event(
    revision: Revision,
    changes: Iterable[tuple[str, Item | None]],
    requested_at_s: float | None = None,
    hold_s: float = float("inf"),
    restores: int = 0,
) -> WatchEvent:
    """Return the event of an answer, which may span many revisions.

    Parameters
    ----------
    changes : iterable of (str, Item or None)
        Keys with their items, or with None for deletions, in the order in which they
        happened.
    """
    return WatchEvent(
        revision,
        dict(changes),
        requested_at_s=requested_at_s,
        hold_s=hold_s,
        restores=restores,
    )


class Store(Protocol):
    """Calls to the key-value service."""

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
        """Renew a lease."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys, if the service answers."""

    async def close(self) -> None:
        """Close all connections."""


@dataclass(slots=True)
class StoreFaults:
    """Injected faults of a store.

    Parameters
    ----------
    down : bool
        Refuse every call.
    delay_s : float
        Delay before each call, seconds.
    lose_answers : int
        Number of next writes that take effect but whose answer is lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0

    def consume_lost_answer(self) -> bool:
        """Count a write; return whether its answer is lost."""
        lost = self.lose_answers > 0
        self.lose_answers -= lost
        return lost


def make_item(record: Record) -> Item:
    """Return the item for a record of the key-value state."""
    revision = Revision(record.mod_revision)
    return Item(record.key.decode(), record.value, revision, record.lease)


def compute_range_end(prefix: str) -> bytes:
    """Return the end of the range of keys with a prefix, open for an empty prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1]) if raw else b"\x00"


def select_change(change: Change, prefix: str) -> WatchEvent | None:
    """Return the changes of the keys with a prefix, or None when there are none."""
    return select_changes([change], prefix)


def select_changes(changes: Sequence[Change], prefix: str) -> WatchEvent | None:
    """Return the changes of several revisions as one event, or None without any."""
    prefix_bytes = prefix.encode()
    selected: list[tuple[str, Item | None]] = []
    for change in changes:
        written = [r for r in change.written if r.key.startswith(prefix_bytes)]
        deleted = [r for r in change.deleted if r.key.startswith(prefix_bytes)]
        selected += [(r.key.decode(), make_item(r)) for r in written]
        selected += [(r.key.decode(), None) for r in deleted]
    if not selected:
        return None
    return make_watch_event(Revision(changes[-1].revision), selected)


def choose_single() -> int:
    """Return 1: each revision is an answer of its own."""
    return 1


def split_changes(
    changes: Sequence[Change], choose_answer_size: Callable[[], int]
) -> Iterator[Sequence[Change]]:
    """Yield the changes of one answer of a watch after another."""
    start = 0
    while start < len(changes):
        end = start + choose_answer_size()
        yield changes[start:end]
        start = end


class MemoryStore:
    """In-memory store with fault injection.

    Parameters
    ----------
    clock : Clock
        Clock for the expiry of leases.
    choose_answer_size : callable
        Returns how many revisions the next answer of a watch spans.
    """

    def __init__(
        self,
        clock: Clock = time.monotonic,
        choose_answer_size: Callable[[], int] = choose_single,
    ) -> None:
        self.state = KeyValue(clock)
        self.choose_answer_size = choose_answer_size
        self.faults = StoreFaults()
        self.changed = anyio.Event()
        self.restores = 0

    def restore(self, state: KeyValue) -> None:
        """Go back to an earlier copy of the state."""
        self.state = state
        self.restores += 1
        self.notify()

    @property
    def revision(self) -> Revision:
        """Revision of the last write."""
        return Revision(self.state.revision)

    @property
    def items(self) -> dict[str, Item]:
        """All items by key."""
        return self.select("")

    def notify(self) -> None:
        """Wake the watches after a change of state."""
        self.changed.set()
        self.changed = anyio.Event()

    async def _apply_faults(self) -> Unavailable | None:
        await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            return Unavailable(Step.CONNECT, "memory", "the store is down")
        return None

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        failure = await self._apply_faults()
        return failure or Snapshot(self.revision, self.select(prefix), self.restores)

    def select(self, prefix: str) -> dict[str, Item]:
        """Return the items whose keys start with a prefix, ordered by key."""
        request = Range(prefix.encode() or b"\x00", compute_range_end(prefix))
        items = [make_item(record) for record in self.state.read(request).records]
        return {item.key: item for item in items}

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write all or nothing, if every condition holds."""
        failure = await self._apply_faults()
        if failure is not None:
            return failure
        outcome = self.commit(compares, puts)
        if self.faults.consume_lost_answer():
            return Ambiguous(Step.HEADERS, "memory", "the answer was lost")
        return outcome

    def commit(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> Applied | Conflict | LeaseLost:
        """Execute a transaction without faults or delay."""
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
            return Applied(self.revision, self.restores)
        ranges = [r for r in result.results if isinstance(r, RangeResult)]
        items = [make_item(record) for part in ranges for record in part.records]
        return Conflict(self.revision, {item.key: item for item in items})

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on, until the store is down."""
        position = int(revision)
        restores = self.restores
        if self.revision < revision - 1:
            yield WatchEvent(self.revision, compacted=True)
            return
        while not self.faults.down:
            if restores != self.restores:
                yield WatchEvent(self.revision, compacted=True)
                return
            changed = self.changed
            try:
                changes = self.state.list_changes(position)
            except CompactedError:
                yield WatchEvent(self.revision, compacted=True)
                return
            for part in split_changes(changes, self.choose_answer_size):
                event = select_changes(part, prefix)
                position = part[-1].revision + 1
                if event is not None:
                    yield event
            if changed is self.changed:
                await self.wait(changed)

    async def wait(self, changed: anyio.Event) -> None:
        """Wait for a change or for the next lease to expire."""
        wait_s = self.state.get_next_expiry_s() - self.state.clock()
        with anyio.move_on_after(max(wait_s, MIN_WAIT_S)):
            await changed.wait()

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        failure = await self._apply_faults()
        if failure is not None:
            return failure
        return LeaseGranted(self.state.grant_lease(ttl_s), ttl_s, self.restores)

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        failure = await self._apply_faults()
        if failure is not None:
            return failure
        ttl_s = self.state.keep_alive(lease)
        if ttl_s <= 0:
            return LeaseLost(lease)
        return LeaseGranted(lease, ttl_s, self.restores)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        if await self._apply_faults() is None:
            with contextlib.suppress(LeaseNotFoundError):
                self.state.revoke_lease(lease)
            self.notify()

    async def close(self) -> None:
        """Do nothing, as there are no connections."""


def _make_operation(put: Put) -> PutKey | DeleteRange:
    if put.value is None:
        return DeleteRange(put.key.encode())
    return PutKey(put.key.encode(), put.value, put.lease)
