"""Writes claims to the key-value service, many in one transaction."""

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

Waiter = tuple[anyio.Event, list[ClaimResult]]


@dataclass(frozen=True, slots=True)
class ClaimTimes:
    """Times of claims, seconds.

    Parameters
    ----------
    claim_timeout_s : float
        Time-out of a request that waits for its claim.
    retention_s : float
        Minimum lifetime of a claim; a retry within this time is not run again.
    rotation_s : float
        Time for which new claims share one lease.
    margin_s : float
        Safety margin: a request is not sent once its claim is this close to expiry.
    retry_s : float
        Time for which a change is retried after its request has stopped waiting.
    backoff_s : float
        Wait after a write that the store refused or did not answer, or that had no
        valid lease.
    write_interval_s : float
        Minimum interval between writes; claims made in between are batched.
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
    lease_id: int = 0
    granted_at_s: float = -math.inf

    def needs_grant(self, now_s: float) -> bool:
        """Return whether new claims need a new lease."""
        return not self.lease_id or now_s >= self.granted_at_s + self.times.rotation_s

    def accept(self, granted: LeaseGranted, requested_at_s: float) -> None:
        """Use a granted lease for new claims."""
        self.lease_id = granted.lease
        self.granted_at_s = requested_at_s

    def get_ttl_s(self) -> float:
        """Return the time to live to request, seconds."""
        return self.times.retention_s + self.times.rotation_s

    def get_valid_until_s(self) -> float:
        """Return when claims under this lease stop being valid, seconds."""
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
        Requests whose claims this router made, by store key; at most
        ``MAX_RECENT_CLAIMS``. While the store is down, a retry with the key of such a
        claim has an unknown outcome instead of "not run".
    waiters : dict of ClaimChange to Waiter
        For each change that a request waits for, the event that ends the wait, and a
        list that then contains the result.
    """

    store: Store
    queue: ClaimQueue
    times: ClaimTimes
    clock: Clock = time.monotonic
    waiters: dict[ClaimChange, Waiter] = field(default_factory=dict)
    work_added: anyio.Event = field(default_factory=anyio.Event)
    recent_claims: dict[str, RequestId] = field(default_factory=dict)
    lease: ClaimLease = field(init=False)

    def __post_init__(self) -> None:
        self.lease = ClaimLease(self.times)

    async def claim(
        self, workspace: WorkspaceId, key: str, request: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key for a request."""
        store_key = make_claim_key(workspace, key)
        deadline_s = self.clock() + self.times.claim_timeout_s + self.times.retry_s
        change = ClaimChange(store_key, request, deadline_s)
        result: ClaimResult = make_not_run("store", "no answer in time")
        with anyio.move_on_after(self.times.claim_timeout_s):
            result = await self._submit(change)
        if isinstance(result, Claimed):
            self._record_claim(store_key, request)
        elif isinstance(result, NotRun) and store_key in self.recent_claims:
            reason = (
                f"request {self.recent_claims[store_key]} with this key may have run"
            )
            return UnknownOutcome(Step.CLAIM, "store", reason)
        return result

    def _record_claim(self, store_key: str, request: RequestId) -> None:
        self.recent_claims[store_key] = request
        if len(self.recent_claims) > MAX_RECENT_CLAIMS:
            del self.recent_claims[next(iter(self.recent_claims))]

    async def _submit(self, change: ClaimChange) -> ClaimResult:
        done, slot = self.waiters[change] = (anyio.Event(), [])
        self.queue.add(change)
        self.work_added.set()
        try:
            await done.wait()
            return slot[0]
        finally:
            del self.waiters[change]
            if not slot:
                self.queue.abandon(change)

    async def settle(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Record how the attempt ended.

        An unknown end leaves the claim unchanged. If the request did not run, wait for
        the release of its key, at most for the time-out of a claim.
        """
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
                may_continue = await self._write_batch()
                wait_s = (
                    next_write_s - self.clock()
                    if may_continue
                    else self.times.backoff_s
                )
                await anyio.sleep(max(0.0, wait_s))
                self.queue.expire(self.clock())

    async def _write_batch(self) -> bool:
        """Write one transaction; return False if a backoff is due."""
        grant_failure = await self._ensure_lease()
        batch = self.queue.take_batch(
            self.lease.lease_id, self.lease.get_valid_until_s()
        )
        if batch is None:
            return True
        outcome: TransactOutcome
        if grant_failure is not None:
            outcome = grant_failure
        else:
            outcome = await self.store.transact(batch.compares, batch.puts)
        if isinstance(outcome, LeaseLost):
            self.lease.lease_id = 0
        for resolved in self.queue.resolve(batch, outcome):
            if resolved.change in self.waiters:
                done, slot = self.waiters[resolved.change]
                slot.append(resolved.result)
                done.set()
        return not isinstance(outcome, Ambiguous | LeaseLost | Unavailable)

    async def _ensure_lease(self) -> Unavailable | None:
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
    """Return the claims of a router in a store."""
    return StoreClaims(store, ClaimQueue(router), times or ClaimTimes(), clock)
