"""Claims of idempotency keys: which request may run, decided without I/O."""

import hashlib
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Protocol
from urllib.parse import quote

import msgspec

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
    "Claim",
    "ClaimEnd",
    "ClaimQueue",
    "ClaimRecord",
    "ClaimResult",
    "Claimed",
    "Claims",
    "MemoryClaims",
    "Settled",
    "make_claim_key",
]

CLAIMS_PREFIX = "/primrosepier/claims/"
BATCH_OPERATIONS = 120
RETRY_AFTER_S = 2.0
STORE = "store"
EARLIER_CALLS = "this call did not run; an earlier call with its key may have"


class ClaimEnd(Enum):
    """How the one attempt under a claim ended."""

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
        Host of the router that claimed.
    completed : bool
        Whether the request is known to have run to its end.
    """

    request: str
    router: str
    completed: bool = False


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request may run, once, until the claim may have lapsed.

    Parameters
    ----------
    key : str
        Key of the claim in the store.
    revision : Revision
        Revision at which the claim was written.
    lease : int
    valid_until_s : float
        Monotonic time after which nothing may be sent any more, seconds.
    """

    key: str
    request: RequestId
    revision: Revision
    lease: int = 0
    valid_until_s: float = float("inf")

    def is_valid(self, now_s: float) -> bool:
        """Return whether the first byte may go out at a time."""
        return now_s < self.valid_until_s


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """An earlier request with the same key ran to its end."""

    step: Step
    peer: str
    request: RequestId


ClaimResult = Claimed | AlreadyClaimed | NotRun | UnknownOutcome


class Claims(Protocol):
    """Grants the right to run a request that must not be repeated."""

    async def claim(
        self, workspace: WorkspaceId, key: str, request: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key for a request, before its first byte goes out.

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
        """Tell how the attempt ended; one that did not run frees its key."""


def make_claim_key(workspace: WorkspaceId, key: str) -> str:
    """Return the store's key for an idempotency key of a workspace."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{CLAIMS_PREFIX}{quote(workspace, safe='')}/{digest}"


@dataclass(frozen=True, slots=True)
class Claim:
    """A wanted change of one claim.

    Parameters
    ----------
    revision : Revision
        Revision that the key has before the change; 0 creates the claim.
    end : ClaimEnd or None
        None creates the claim; an end settles it.
    deadline_s : float
        Monotonic time after which the change is given up, seconds.
    """

    key: str
    request: RequestId
    deadline_s: float
    revision: Revision = Revision(0)
    lease: int = 0
    end: ClaimEnd | None = None


@dataclass(frozen=True, slots=True)
class Settled:
    """A change that needs no further write, with its result."""

    claim: Claim
    result: ClaimResult


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes that are written in one transaction."""

    claims: tuple[Claim, ...]
    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    lease: int
    valid_until_s: float


BatchOutcome = Applied | Conflict | Ambiguous | LeaseLost | Unavailable


@dataclass(slots=True)
class ClaimQueue:
    """Collects changes of claims and decides each from the store's answers.

    A change is *uncertain* after an answer was lost. An uncertain claim that nobody
    waits for any more is *abandoned*: it is settled later and then released.

    Parameters
    ----------
    router : HostId
    batch_operations : int
        Most changes in one transaction.
    """

    router: HostId
    batch_operations: int = BATCH_OPERATIONS
    waiting: deque[Claim] = field(default_factory=deque)
    uncertain: set[Claim] = field(default_factory=set)
    abandoned: set[Claim] = field(default_factory=set)
    in_flight: set[Claim] = field(default_factory=set)

    def add(self, claim: Claim) -> None:
        """Queue a change."""
        self.waiting.append(claim)

    def abandon(self, claim: Claim) -> None:
        """Give up a claim; what may have been written is released later."""
        if claim.end is not None:
            return
        if claim in self.uncertain or claim in self.in_flight:
            self.abandoned.add(claim)
        elif claim in self.waiting:
            self.waiting.remove(claim)

    def expire(self, now_s: float) -> None:
        """Forget the changes that nobody waits for and whose deadline has passed."""
        kept: deque[Claim] = deque()
        for claim in self.waiting:
            unwatched = claim.end is not None or claim in self.abandoned
            if unwatched and claim.deadline_s <= now_s:
                self._forget(claim)
            else:
                kept.append(claim)
        self.waiting = kept

    def _forget(self, claim: Claim) -> None:
        self.uncertain.discard(claim)
        self.abandoned.discard(claim)
        self.in_flight.discard(claim)

    def take_batch(self, lease: int, valid_until_s: float) -> Batch | None:
        """Return the next transaction; it names each key once."""
        chosen: dict[str, Claim] = {}
        rest: deque[Claim] = deque()
        for claim in self.waiting:
            if claim.key in chosen or len(chosen) >= self.batch_operations:
                rest.append(claim)
            else:
                chosen[claim.key] = claim
        self.waiting = rest
        if not chosen:
            return None
        claims = tuple(chosen.values())
        self.in_flight.update(claims)
        return Batch(
            claims=claims,
            compares=tuple(Compare(claim.key, claim.revision) for claim in claims),
            puts=tuple(self._make_put(claim, lease) for claim in claims),
            lease=lease,
            valid_until_s=valid_until_s,
        )

    def _make_put(self, claim: Claim, lease: int) -> Put:
        if claim.end is ClaimEnd.NOT_RUN:
            return Put(claim.key, None)
        completed = claim.end is ClaimEnd.COMPLETED
        record = ClaimRecord(claim.request, self.router, completed)
        value = msgspec.json.encode(record)
        return Put(claim.key, value, claim.lease if claim.end else lease)

    def resolve(self, batch: Batch, outcome: BatchOutcome) -> list[Settled]:
        """Decide a batch; what is not decided goes to the head of the queue.

        A lost answer is settled by writing the same changes again: those that took
        effect come back as conflicts that carry the request's own id. After a lost
        lease the records of completed claims are dropped: their lease may be the one.
        """
        self.in_flight.difference_update(batch.claims)
        if isinstance(outcome, Applied):
            revision = outcome.revision
            return self._settle(
                [Settled(c, _grant(c, batch, revision)) for c in batch.claims]
            )
        if isinstance(outcome, Conflict):
            return self._settle(self._split_conflict(batch, outcome.items))
        if isinstance(outcome, Unavailable):
            return self._fail(batch, outcome)
        again = batch.claims
        if isinstance(outcome, Ambiguous):
            self.uncertain.update(batch.claims)
        else:
            again = tuple(c for c in again if c.end is not ClaimEnd.COMPLETED)
        self.waiting.extendleft(reversed(again))
        return []

    def _settle(self, decided: list[Settled]) -> list[Settled]:
        for settled in decided:
            abandoned = settled.claim in self.abandoned
            self._forget(settled.claim)
            if abandoned and isinstance(settled.result, Claimed):
                self.waiting.append(make_release(settled.claim, settled.result))
        return decided

    def _fail(self, batch: Batch, outcome: Unavailable) -> list[Settled]:
        lost = make_not_run(outcome.peer, outcome.reason)
        decided = []
        again = []
        for claim in batch.claims:
            if claim.end is not None or claim in self.uncertain:
                again.append(claim)
            if claim in self.uncertain:
                self.abandoned.add(claim)
            decided.append(Settled(claim, lost))
        self.waiting.extendleft(reversed(again))
        return decided

    def _split_conflict(self, batch: Batch, items: dict[str, Item]) -> list[Settled]:
        decided = []
        again = []
        for claim in batch.claims:
            item = items.get(claim.key)
            if (item.mod_revision if item else 0) == claim.revision:
                again.append(claim)
            else:
                decided.append(Settled(claim, _judge(claim, batch, item)))
        self.waiting.extendleft(reversed(again))
        return decided


def _judge(claim: Claim, batch: Batch, item: Item | None) -> ClaimResult:
    if item is None or claim.end is not None:
        return _grant(claim, batch, claim.revision)
    record = decode_record(item.value)
    if record is None:
        return UnknownOutcome(Step.CLAIM, STORE, "the claim can't be read")
    if record.request == claim.request and item.lease == batch.lease:
        return _grant(claim, batch, item.mod_revision)
    if record.request == claim.request:
        return make_not_run(STORE, "the claim's lease was replaced")
    if record.completed:
        return AlreadyClaimed(Step.CLAIM, record.router, RequestId(record.request))
    reason = f"request {record.request} with this key may have run"
    return UnknownOutcome(Step.CLAIM, record.router, reason)


def _grant(claim: Claim, batch: Batch, revision: Revision) -> Claimed:
    return Claimed(claim.key, claim.request, revision, batch.lease, batch.valid_until_s)


def make_release(claim: Claim, claimed: Claimed) -> Claim:
    """Return the change that frees the key of a claim under which nothing ran."""
    return replace(claim, revision=claimed.revision, end=ClaimEnd.NOT_RUN)


def make_not_run(peer: str, reason: str) -> NotRun:
    """Return the outcome of a request whose claim can't be had now."""
    text = f"the claim could not be written: {reason}; {EARLIER_CALLS}"
    return NotRun(Step.CLAIM, peer, text, RETRY_AFTER_S)


def decode_record(value: bytes) -> ClaimRecord | None:
    """Return the claim that a stored value holds, or None when it is not one."""
    try:
        return msgspec.json.decode(value, type=ClaimRecord)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


@dataclass(slots=True)
class MemoryClaims:
    """Claims of one process, for tests and benches without a store."""

    records: dict[str, ClaimRecord] = field(default_factory=dict)
    revision: int = 0
    outage: NotRun | None = None

    async def claim(
        self, workspace: WorkspaceId, key: str, request: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key for a request."""
        if self.outage is not None:
            return self.outage
        name = make_claim_key(workspace, key)
        record = self.records.get(name)
        if record is None:
            self.revision += 1
            self.records[name] = ClaimRecord(request, "memory")
            return Claimed(name, request, Revision(self.revision))
        if record.completed:
            return AlreadyClaimed(Step.CLAIM, "memory", RequestId(record.request))
        return UnknownOutcome(Step.CLAIM, "memory", "an earlier call may have run")

    async def settle(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Tell how the attempt ended."""
        if end is ClaimEnd.NOT_RUN:
            self.records.pop(claimed.key, None)
        elif end is ClaimEnd.COMPLETED:
            record = ClaimRecord(claimed.request, "memory", completed=True)
            self.records[claimed.key] = record
