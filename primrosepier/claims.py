"""Decides which request may run under an idempotency key. Does no I/O."""

import hashlib
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Protocol
from urllib.parse import quote

import msgspec

from .decoding import decode_json
from .errors import MessageError
from .ids import HostId, RequestId, Revision, WorkspaceId
from .outcomes import NotRun, Step, UnknownOutcome
from .store import (
    Ambiguous,
    Applied,
    Compare,
    Conflict,
    Item,
    LeaseLost,
    Put,
    Unavailable,
)

__all__ = [
    "AlreadyClaimed",
    "Batch",
    "BatchOutcome",
    "ClaimChange",
    "ClaimEnd",
    "ClaimQueue",
    "ClaimRecord",
    "ClaimResult",
    "Claimed",
    "Claims",
    "MemoryClaims",
    "ResolvedChange",
    "make_claim_key",
]

CLAIMS_PREFIX = "/primrosepier/claims/"
MAX_BATCH_CHANGES = 120
RETRY_AFTER_S = 2.0
STORE = "store"
EARLIER_CALLS_NOTE = "this call did not run; an earlier call with its key may have"


class ClaimEnd(Enum):
    """How the only attempt under a claim ended."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True):
    """Stored value of a claim.

    Parameters
    ----------
    request : str
        The only request that may run under the claim.
    router : str
        Host of the router that wrote the claim.
    completed : bool
        Whether the request is known to have completed.
    """

    request: str
    router: str
    completed: bool = False


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim was granted: the request may run once, while the claim is valid.

    Parameters
    ----------
    key : str
        Store key of the claim.
    revision : Revision
        Revision at which the claim was written.
    lease : int
        Lease that the claim record is attached to.
    valid_until_s : float
        Monotonic time after which the request may no longer be sent, seconds.
    """

    key: str
    request: RequestId
    revision: Revision
    lease: int = 0
    valid_until_s: float = float("inf")

    def is_valid(self, now_s: float) -> bool:
        """Return whether the first byte of the request may be sent now."""
        return now_s < self.valid_until_s


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """An earlier request with the same idempotency key completed.

    A key whose earlier request is not known to have completed gives `UnknownOutcome`.

    Parameters
    ----------
    peer : str
        Host of the router that wrote the earlier request's claim.
    request : RequestId
        The earlier request.
    """

    step: Step
    peer: str
    request: RequestId


ClaimResult = Claimed | AlreadyClaimed | NotRun | UnknownOutcome


class Claims(Protocol):
    """Grants the right to run a request that is not safe to retry."""

    async def claim(
        self, workspace: WorkspaceId, key: str, request: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key before the first byte of its request is sent.

        Returns
        -------
        Claimed
            The request may run.
        AlreadyClaimed
            An earlier request with the key completed.
        NotRun
            This request did not run and never will.
        UnknownOutcome
            An earlier request with the key may have run.
        """

    async def settle(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Record how the attempt ended; release the key if the request did not run.

        An unknown end leaves the claim unchanged.
        """


def make_claim_key(workspace: WorkspaceId, key: str) -> str:
    """Return the store key of the claim of a workspace's idempotency key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{quote(workspace, safe='')}/{digest}"


@dataclass(frozen=True, slots=True)
class ClaimChange:
    """A requested change to one claim record.

    Parameters
    ----------
    key : str
        Store key of the claim.
    revision : Revision
        Revision of the store key before the change; 0 if the key must not exist.
    lease : int
        Lease that the claim record is attached to, for a change that settles it.
    end : ClaimEnd or None
        How the attempt ended, for a change that settles the claim; None for a change
        that creates it.
    deadline_s : float
        Monotonic time after which the change is no longer retried, seconds.
    """

    key: str
    request: RequestId
    deadline_s: float
    revision: Revision = Revision(0)
    lease: int = 0
    end: ClaimEnd | None = None


@dataclass(frozen=True, slots=True)
class ResolvedChange:
    """A change and the result that its requester gets.

    After a store outage the change may still be written again.
    """

    change: ClaimChange
    result: ClaimResult


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes written in one transaction.

    Parameters
    ----------
    lease : int
        Lease that new claims are attached to.
    valid_until_s : float
        Monotonic time after which requests of these claims may no longer be sent,
        seconds.
    """

    changes: tuple[ClaimChange, ...]
    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    lease: int
    valid_until_s: float


BatchOutcome = Applied | Conflict | Ambiguous | LeaseLost | Unavailable


@dataclass(slots=True)
class ClaimQueue:
    """Batches changes of claims and resolves each from the store's answers.

    A change is *uncertain* after a store answer was lost. A claim that may have been
    written but that no request waits for any more is *abandoned*: it is resolved later,
    then released.

    Parameters
    ----------
    router : HostId
    max_batch_changes : int
        Maximum number of changes in one transaction.
    """

    router: HostId
    max_batch_changes: int = MAX_BATCH_CHANGES
    waiting: deque[ClaimChange] = field(default_factory=deque)
    uncertain: set[ClaimChange] = field(default_factory=set)
    abandoned: set[ClaimChange] = field(default_factory=set)
    in_flight: set[ClaimChange] = field(default_factory=set)

    def add(self, change: ClaimChange) -> None:
        """Queue a change."""
        self.waiting.append(change)

    def abandon(self, change: ClaimChange) -> None:
        """Abandon a claim; if it may have been written, it is released later."""
        if change.end is not None:
            return
        if change in self.uncertain or change in self.in_flight:
            self.abandoned.add(change)
        elif change in self.waiting:
            self.waiting.remove(change)

    def expire(self, now_s: float) -> None:
        """Drop the changes past their deadline that no request waits for."""
        kept: deque[ClaimChange] = deque()
        for change in self.waiting:
            has_no_waiter = change.end is not None or change in self.abandoned
            if has_no_waiter and change.deadline_s <= now_s:
                self._forget(change)
            else:
                kept.append(change)
        self.waiting = kept

    def _forget(self, change: ClaimChange) -> None:
        self.uncertain.discard(change)
        self.abandoned.discard(change)
        self.in_flight.discard(change)

    def take_batch(self, lease: int, valid_until_s: float) -> Batch | None:
        """Return the next transaction, with at most one change per key."""
        chosen: dict[str, ClaimChange] = {}
        rest: deque[ClaimChange] = deque()
        for change in self.waiting:
            if change.key in chosen or len(chosen) >= self.max_batch_changes:
                rest.append(change)
            else:
                chosen[change.key] = change
        self.waiting = rest
        if not chosen:
            return None
        changes = tuple(chosen.values())
        self.in_flight.update(changes)
        return Batch(
            changes=changes,
            compares=tuple(Compare(change.key, change.revision) for change in changes),
            puts=tuple(self._make_put(change, lease) for change in changes),
            lease=lease,
            valid_until_s=valid_until_s,
        )

    def _make_put(self, change: ClaimChange, lease: int) -> Put:
        if change.end is ClaimEnd.NOT_RUN:
            return Put(change.key, None)
        completed = change.end is ClaimEnd.COMPLETED
        record = ClaimRecord(change.request, self.router, completed)
        value = msgspec.json.encode(record)
        return Put(change.key, value, change.lease if change.end else lease)

    def resolve(self, batch: Batch, outcome: BatchOutcome) -> list[ResolvedChange]:
        """Resolve a batch; changes to be written again return to the queue's head.

        After a lost answer the same changes are written again: those that took effect
        come back as conflicts with the id of the same request. After a lost lease,
        changes that mark claims as completed are dropped, since they may refer to that
        lease.
        """
        self.in_flight.difference_update(batch.changes)
        if isinstance(outcome, Applied):
            revision = outcome.revision
            return self._finish(
                [
                    ResolvedChange(c, _make_claimed(c, batch, revision))
                    for c in batch.changes
                ]
            )
        if isinstance(outcome, Conflict):
            return self._finish(self._split_conflict(batch, outcome.items))
        if isinstance(outcome, Unavailable):
            return self._fail(batch, outcome)
        retries = batch.changes
        if isinstance(outcome, Ambiguous):
            self.uncertain.update(batch.changes)
        else:
            retries = tuple(c for c in retries if c.end is not ClaimEnd.COMPLETED)
        self.waiting.extendleft(reversed(retries))
        return []

    def _finish(self, resolved_changes: list[ResolvedChange]) -> list[ResolvedChange]:
        for resolved in resolved_changes:
            abandoned = resolved.change in self.abandoned
            self._forget(resolved.change)
            if abandoned and isinstance(resolved.result, Claimed):
                self.waiting.append(make_release(resolved.change, resolved.result))
        return resolved_changes

    def _fail(self, batch: Batch, outcome: Unavailable) -> list[ResolvedChange]:
        not_run = make_not_run(outcome.peer, outcome.reason)
        resolved_changes = []
        retries = []
        for change in batch.changes:
            if change.end is not None or change in self.uncertain:
                retries.append(change)
            if change in self.uncertain:
                self.abandoned.add(change)
            resolved_changes.append(ResolvedChange(change, not_run))
        self.waiting.extendleft(reversed(retries))
        return resolved_changes

    def _split_conflict(
        self, batch: Batch, items: dict[str, Item]
    ) -> list[ResolvedChange]:
        resolved_changes = []
        retries = []
        for change in batch.changes:
            item = items.get(change.key)
            if (item.mod_revision if item else 0) == change.revision:
                retries.append(change)
            else:
                resolved_changes.append(
                    ResolvedChange(change, _classify_conflict(change, batch, item))
                )
        self.waiting.extendleft(reversed(retries))
        return resolved_changes


def _classify_conflict(
    change: ClaimChange, batch: Batch, item: Item | None
) -> ClaimResult:
    # A change that settles a claim is dropped if the claim's record has changed.
    if item is None or change.end is not None:
        return _make_claimed(change, batch, change.revision)
    record = decode_record(item.value)
    if record is None:
        return UnknownOutcome(Step.CLAIM, STORE, "the claim can't be read")
    if record.request == change.request and item.lease == batch.lease:
        return _make_claimed(change, batch, item.mod_revision)
    if record.request == change.request:
        return make_not_run(STORE, "the claim's lease was replaced")
    if record.completed:
        return AlreadyClaimed(Step.CLAIM, record.router, RequestId(record.request))
    reason = f"request {record.request} with this key may have run"
    return UnknownOutcome(Step.CLAIM, record.router, reason)


def _make_claimed(change: ClaimChange, batch: Batch, revision: Revision) -> Claimed:
    return Claimed(
        change.key, change.request, revision, batch.lease, batch.valid_until_s
    )


def make_release(change: ClaimChange, claimed: Claimed) -> ClaimChange:
    """Return the change that releases the key of a request that did not run."""
    return replace(change, revision=claimed.revision, end=ClaimEnd.NOT_RUN)


def make_not_run(peer: str, reason: str) -> NotRun:
    """Return the outcome of a request whose claim could not be written."""
    text = f"the claim could not be written: {reason}; {EARLIER_CALLS_NOTE}"
    return NotRun(Step.CLAIM, peer, text, RETRY_AFTER_S)


def decode_record(value: bytes) -> ClaimRecord | None:
    """Decode a claim record; return None when the value is malformed."""
    try:
        return decode_json(value, ClaimRecord)
    except MessageError:
        return None


@dataclass(slots=True)
class MemoryClaims:
    """In-memory claims of one process, for tests and benchmarks without a store."""

    records: dict[str, ClaimRecord] = field(default_factory=dict)
    revision: int = 0
    outage_result: NotRun | None = None

    async def claim(
        self, workspace: WorkspaceId, key: str, request: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key for a request."""
        if self.outage_result is not None:
            return self.outage_result
        store_key = make_claim_key(workspace, key)
        record = self.records.get(store_key)
        if record is None:
            self.revision += 1
            self.records[store_key] = ClaimRecord(request, "memory")
            return Claimed(store_key, request, Revision(self.revision))
        if record.completed:
            return AlreadyClaimed(Step.CLAIM, "memory", RequestId(record.request))
        return UnknownOutcome(Step.CLAIM, "memory", "an earlier call may have run")

    async def settle(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Record how the attempt ended."""
        if end is ClaimEnd.NOT_RUN:
            self.records.pop(claimed.key, None)
        elif end is ClaimEnd.COMPLETED:
            record = ClaimRecord(claimed.request, "memory", completed=True)
            self.records[claimed.key] = record
