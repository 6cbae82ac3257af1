"""In-memory key-value state with revisions, transactions, leases and history."""

import operator
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from .clocks import Clock
from .errors import CompactedError, LeaseNotFoundError

__all__ = [
    "Change",
    "Condition",
    "DeleteRange",
    "KeyValue",
    "PutKey",
    "Range",
    "RangeResult",
    "Record",
    "Relation",
    "Target",
    "TransactionResult",
]

FIRST_LEASE = 7_587_870_000_000_000_001
OPEN_RANGE_END = b"\x00"


class Target(Enum):
    """Field of a key that a condition compares."""

    VERSION = "version"
    CREATE = "create_revision"
    MOD = "mod_revision"
    VALUE = "value"
    LEASE = "lease"


class Relation(Enum):
    """Comparison operator of a condition."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


RELATIONS: dict[Relation, Callable[[Any, Any], bool]] = {
    Relation.EQUAL: operator.eq,
    Relation.GREATER: operator.gt,
    Relation.LESS: operator.lt,
    Relation.NOT_EQUAL: operator.ne,
}


@dataclass(frozen=True, slots=True)
class Record:
    """A key with its value, revisions, version and lease."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Range:
    """A read of one key, or of the keys from ``key`` up to but excluding ``end``.

    Parameters
    ----------
    sort_by : Target or None
        Sort field; None sorts by key.
    limit : int
        Maximum number of records; 0 for no limit.
    """

    key: bytes
    end: bytes = b""
    limit: int = 0
    sort_by: Target | None = None
    descending: bool = False
    keys_only: bool = False
    count_only: bool = False
    min_mod_revision: int = 0
    max_mod_revision: int = 0


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Records of a read and the total number of records in the range."""

    records: tuple[Record, ...]
    count: int
    more: bool = False


@dataclass(frozen=True, slots=True)
class PutKey:
    """A write of one key."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class DeleteRange:
    """A deletion of a key, or of a range of keys."""

    key: bytes
    end: bytes = b""


Operation = Range | PutKey | DeleteRange
OperationResult = RangeResult | Record | None


@dataclass(frozen=True, slots=True)
class Condition:
    """A comparison that selects the branch of a transaction."""

    key: bytes
    target: Target
    value: int | bytes
    relation: Relation = Relation.EQUAL
    end: bytes = b""


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Branch that a transaction ran, with one result per operation.

    The result of a read is a `RangeResult`, of a write the previous record or None, and
    of a deletion a `RangeResult` of the deleted records.
    """

    succeeded: bool
    results: tuple[OperationResult, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """The records that one revision wrote and deleted."""

    revision: int
    written: tuple[Record, ...]
    deleted: tuple[Record, ...]


@dataclass(slots=True)
class LeaseState:
    """Time to live and expiry of a lease, in seconds of monotonic time."""

    ttl_s: float
    expires_at_s: float


def is_in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range; an empty end means the key `start` alone."""
    if not end:
        return key == start
    return key >= start and (end == OPEN_RANGE_END or key < end)


@dataclass(slots=True)
class KeyValue:
    """State of a key-value service; each call is atomic.

    Parameters
    ----------
    clock : Clock
        Clock for the expiry of leases.
    """

    clock: Clock = time.monotonic
    revision: int = 1
    compacted: int = 0
    records: dict[bytes, Record] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    leases: dict[int, LeaseState] = field(default_factory=dict)
    next_lease: int = FIRST_LEASE

    def read(self, request: Range) -> RangeResult:
        """Return the records of a range."""
        self.expire()
        return self._read(request)

    def _read(self, request: Range) -> RangeResult:
        matching = self._select(request.key, request.end)
        if request.min_mod_revision:
            matching = [
                r for r in matching if r.mod_revision >= request.min_mod_revision
            ]
        if request.max_mod_revision:
            matching = [
                r for r in matching if r.mod_revision <= request.max_mod_revision
            ]
        target = request.sort_by.value if request.sort_by else "key"
        matching.sort(key=operator.attrgetter(target), reverse=request.descending)
        count = len(matching)
        if request.count_only:
            return RangeResult((), count)
        chosen = matching[: request.limit] if request.limit else matching
        if request.keys_only:
            chosen = [replace(record, value=b"") for record in chosen]
        return RangeResult(tuple(chosen), count, len(chosen) < count)

    def _select(self, key: bytes, end: bytes) -> list[Record]:
        if not end:
            return [self.records[key]] if key in self.records else []
        return [r for k, r in self.records.items() if is_in_range(k, key, end)]

    def transact(
        self,
        conditions: Sequence[Condition],
        success: Sequence[Operation],
        failure: Sequence[Operation] = (),
    ) -> TransactionResult:
        """Run one of two lists of operations atomically.

        Raises
        ------
        LeaseNotFoundError
            A write refers to a lease that does not exist; nothing was written.
        """
        self.expire()
        succeeded = all(self._holds(condition) for condition in conditions)
        operations = success if succeeded else failure
        self._check_leases(operations)
        writer = _Writer(self, self.revision + 1)
        results = tuple(self._run(operation, writer) for operation in operations)
        self._commit(writer)
        return TransactionResult(succeeded, results, self.revision)

    def _check_leases(self, operations: Sequence[Operation]) -> None:
        for operation in operations:
            if isinstance(operation, PutKey) and operation.lease:
                self.get_lease(operation.lease)

    def _holds(self, condition: Condition) -> bool:
        matching = self._select(condition.key, condition.end)
        if not matching and condition.target is Target.VALUE:
            return False
        compare = RELATIONS[condition.relation]
        records = matching or [Record(condition.key)]
        name = condition.target.value
        return all(compare(getattr(r, name), condition.value) for r in records)

    def _run(self, operation: Operation, writer: "_Writer") -> OperationResult:
        if isinstance(operation, Range):
            return self._read(operation)
        if isinstance(operation, PutKey):
            return writer.put(operation)
        deleted = self._select(operation.key, operation.end)
        for record in deleted:
            writer.delete(record)
        return RangeResult(tuple(deleted), len(deleted))

    def _commit(self, writer: "_Writer") -> None:
        if not writer.written and not writer.deleted:
            return
        self.revision = writer.revision
        written = tuple(writer.written.values())
        self.history.append(Change(self.revision, written, tuple(writer.deleted)))

    def list_changes(self, revision: int) -> list[Change]:
        """Return the changes from a revision on.

        Raises
        ------
        CompactedError
            The history at that revision was compacted.
        """
        self.expire()
        if revision <= self.compacted:
            raise CompactedError(self.compacted)
        return [change for change in self.history if change.revision >= revision]

    def compact(self, revision: int) -> None:
        """Delete the history up to and including a revision."""
        self.compacted = max(self.compacted, revision)
        self.history = [c for c in self.history if c.revision > self.compacted]

    def grant_lease(self, ttl_s: float, lease: int = 0) -> int:
        """Return a new lease, with the given id unless that is 0."""
        self.expire()
        if not lease:
            lease = self.next_lease
            self.next_lease += 1
        self.leases[lease] = LeaseState(ttl_s, self.clock() + ttl_s)
        return lease

    def get_lease(self, lease: int) -> LeaseState:
        """Return a lease.

        Raises
        ------
        LeaseNotFoundError
            There is no such lease.
        """
        self.expire()
        if lease not in self.leases:
            raise LeaseNotFoundError(lease)
        return self.leases[lease]

    def keep_alive(self, lease: int) -> float:
        """Renew a lease; return its time to live in seconds, 0 if it does not exist."""
        self.expire()
        state = self.leases.get(lease)
        if state is None:
            return 0.0
        state.expires_at_s = self.clock() + state.ttl_s
        return state.ttl_s

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys.

        Raises
        ------
        LeaseNotFoundError
            There is no such lease.
        """
        self.get_lease(lease)
        self._end_lease(lease)

    def list_lease_keys(self, lease: int) -> list[bytes]:
        """Return the keys that are attached to a lease."""
        return sorted(k for k, record in self.records.items() if record.lease == lease)

    def expire(self) -> None:
        """End the leases that have expired."""
        now_s = self.clock()
        expired = [n for n, lease in self.leases.items() if lease.expires_at_s <= now_s]
        for lease in expired:
            self._end_lease(lease)

    def get_next_expiry_s(self) -> float:
        """Return the time at which the next lease expires, seconds."""
        times = [lease.expires_at_s for lease in self.leases.values()]
        return min(times, default=float("inf"))

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        writer = _Writer(self, self.revision + 1)
        for key in self.list_lease_keys(lease):
            writer.delete(self.records[key])
        self._commit(writer)


@dataclass(slots=True)
class _Writer:
    """Applies the writes of one revision."""

    state: KeyValue
    revision: int
    written: dict[bytes, Record] = field(default_factory=dict)
    deleted: list[Record] = field(default_factory=list)

    def put(self, operation: PutKey) -> Record | None:
        previous = self.state.records.get(operation.key)
        record = Record(
            key=operation.key,
            value=operation.value,
            create_revision=previous.create_revision if previous else self.revision,
            mod_revision=self.revision,
            version=previous.version + 1 if previous else 1,
            lease=operation.lease,
        )
        self.state.records[operation.key] = record
        self.written[operation.key] = record
        return previous

    def delete(self, record: Record) -> None:
        del self.state.records[record.key]
        self.deleted.append(record)
