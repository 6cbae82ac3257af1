"""Claims stored in the key-value service, many in one transaction."""

import math
import time
from dataclasses import dataclass, field

import anyio

from .claims import (
    ClaimChange,
    Claimed,
    ClaimEnd,
    ClaimQueue,
    ClaimResult,
    make_claim_key,
    make_not_run,
)
from .clocks import Clock
from .ids import HostId, RequestId, WorkspaceId
from .outcomes import NotRun, Step, UnknownOutcome
from .store import (
    Ambiguous,
    LeaseGranted,
    LeaseLost,
    Store,
    TransactOutcome,
    Unavailable,
)

__all__ = ["ClaimLease", "ClaimTimes", "StoreClaims", "make_store_claims"]

MAX_RECENT_CLAIMS = 10_000

Result = tuple[anyio.Event, list[ClaimResult]]


@dataclass(frozen=True, slots=True)
class ClaimTimes:
    """Times of claims, seconds.

    Parameters
    ----------
    claim_timeout_s : float
        Time-out of a request that waits for its claim.
    retention_s : float
        Shortest life of a claim; a retry within it never runs again.
    rotation_s : float
        Time for which new claims share one lease.
    margin_s : float
        Time before a claim expires from which its request is no longer sent.
    retry_s : float
        Time for which changes that no request waits for are retried.
    backoff_s : float
        Wait after the store did not answer.
    write_interval_s : float
        Shortest time between two writes; claims made meanwhile share one.
    """

    claim_timeout_s: float = 1.0
    retention_s: float = 86400.0
    rotation_s: float = 3600.0
    margin_s: float = 60.0
    retry_s: float = 600.0
    backoff_s: float = 0.05
    write_interval_s: float = 0.025


@dataclass(slots=True)
class ClaimLease:
    """The lease that new claims are attached to; it is never renewed."""

    times: ClaimTimes
    lease: int = 0
    granted_at_s: float = -math.inf

    def needs_grant(self, now_s: float) -> bool:
        """Return whether new claims need a new lease."""
        return not self.lease or now_s >= self.granted_at_s + self.times.rotation_s

    def accept(self, granted: LeaseGranted, requested_at_s: float) -> None:
        """Use a granted lease for new claims."""
        self.lease = granted.lease
        self.granted_at_s = requested_at_s

    def get_ttl_s(self) -> float:
        """Return the time to live to request, seconds."""
        return self.times.retention_s + self.times.rotation_s

    def get_valid_until_s(self) -> float:
        """Return when the claims of this lease stop being valid, seconds."""
        return self.granted_at_s + self.get_ttl_s() - self.times.margin_s


@dataclass(slots=True)
class StoreClaims:
    """Claims in the key-value service, written by ``run``.

    Parameters
    ----------
    store : Store
    queue : ClaimQueue
    times : ClaimTimes
    clock : Clock

    Attributes
    ----------
    recent_claims : dict of str to RequestId
        Requests of claims granted here. While the store is down, a retry with the key
        of such a claim has an unknown outcome instead of "not run".
    """

    store: Store
    queue: ClaimQueue
    times: ClaimTimes
    clock: Clock = time.monotonic
    results: dict[ClaimChange, Result] = field(default_factory=dict)
    work_added: anyio.Event = field(default_factory=anyio.Event)
    recent_claims: dict[str, RequestId] = field(default_factory=dict)
    lease: ClaimLease = field(init=False)

    def __post_init__(self) -> None:
        self.lease = ClaimLease(self.times)

    async def claim(
        self, workspace: WorkspaceId, key: str, request: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key for a request."""
        name = make_claim_key(workspace, key)
        deadline_s = self.clock() + self.times.claim_timeout_s + self.times.retry_s
        change = ClaimChange(name, request, deadline_s)
        result: ClaimResult = make_not_run("store", "no answer in time")
        with anyio.move_on_after(self.times.claim_timeout_s):
            result = await self._submit(change)
        if isinstance(result, Claimed):
            self._record_claim(name, request)
        elif isinstance(result, NotRun) and name in self.recent_claims:
            reason = f"request {self.recent_claims[name]} with this key may have run"
            return UnknownOutcome(Step.CLAIM, "store", reason)
        return result

    def _record_claim(self, name: str, request: RequestId) -> None:
        self.recent_claims[name] = request
        if len(self.recent_claims) > MAX_RECENT_CLAIMS:
            del self.recent_claims[next(iter(self.recent_claims))]

    async def _submit(self, change: ClaimChange) -> ClaimResult:
        done, found = self.results[change] = (anyio.Event(), [])
        self.queue.add(change)
        self.work_added.set()
        try:
            await done.wait()
            return found[0]
        finally:
            del self.results[change]
            if not found:
                self.queue.abandon(change)

    async def settle(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Record how the attempt ended; wait while a key is freed."""
        if end is ClaimEnd.UNKNOWN:
            return
        if end is ClaimEnd.NOT_RUN:
            self.recent_claims.pop(claimed.key, None)
        change = ClaimChange(
            key=claimed.key,
            request=claimed.request,
            deadline_s=self.clock() + self.times.retry_s,
            revision=claimed.revision,
            lease=claimed.lease,
            end=end,
        )
        if end is ClaimEnd.COMPLETED:
            self.queue.add(change)
            self.work_added.set()
            return
        with anyio.move_on_after(self.times.claim_timeout_s):
            await self._submit(change)

    async def run(self) -> None:
        """Write queued changes until cancelled."""
        while True:
            await self.work_added.wait()
            self.work_added = anyio.Event()
            while self.queue.waiting:
                next_write_s = self.clock() + self.times.write_interval_s
                store_answered = await self._write_batch()
                wait_s = (
                    next_write_s - self.clock()
                    if store_answered
                    else self.times.backoff_s
                )
                await anyio.sleep(max(0.0, wait_s))
                self.queue.expire(self.clock())

    async def _write_batch(self) -> bool:
        """Write one transaction; return whether the store answered."""
        grant_failure = await self._renew_lease()
        batch = self.queue.take_batch(self.lease.lease, self.lease.get_valid_until_s())
        if batch is None:
            return True
        outcome: TransactOutcome
        if grant_failure is not None:
            outcome = grant_failure
        else:
            outcome = await self.store.transact(batch.compares, batch.puts)
        if isinstance(outcome, LeaseLost):
            self.lease.lease = 0
        for resolved in self.queue.resolve(batch, outcome):
            if resolved.change in self.results:
                done, found = self.results[resolved.change]
                found.append(resolved.result)
                done.set()
        return not isinstance(outcome, Ambiguous | LeaseLost | Unavailable)

    async def _renew_lease(self) -> Unavailable | None:
        now_s = self.clock()
        if not self.lease.needs_grant(now_s):
            return None
        outcome = await self.store.grant_lease(self.lease.get_ttl_s())
        if isinstance(outcome, Unavailable):
            return outcome
        self.lease.accept(outcome, now_s)
        return None


def make_store_claims(
    store: Store,
    router: HostId,
    times: ClaimTimes | None = None,
    clock: Clock = time.monotonic,
) -> StoreClaims:
    """Return the claims of a router, kept in a store."""
    return StoreClaims(store, ClaimQueue(router), times or ClaimTimes(), clock)
