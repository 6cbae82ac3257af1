"""Claims that are kept in the key-value service, many in one transaction."""

import math
import time
from dataclasses import dataclass, field

import anyio

from .claims import (
    Claim,
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

HELD_KEYS = 10_000

Result = tuple[anyio.Event, list[ClaimResult]]


@dataclass(frozen=True, slots=True)
class ClaimTimes:
    """Times of claims, seconds.

    Parameters
    ----------
    claim_s : float
        Longest wait of a request for its claim.
    kept_s : float
        Shortest life of a claim; a repeat within it never runs again.
    rotate_s : float
        Time for which new claims share one lease.
    margin_s : float
        Time before the end of a claim at which nothing is sent any more.
    cleanup_s : float
        Time for which changes that nobody waits for are tried again.
    pause_s : float
        Wait after the store did not answer.
    gap_s : float
        Shortest time between two writes; claims that come meanwhile share one.
    """

    claim_s: float = 1.0
    kept_s: float = 86400.0
    rotate_s: float = 3600.0
    margin_s: float = 60.0
    cleanup_s: float = 600.0
    pause_s: float = 0.05
    gap_s: float = 0.025


@dataclass(slots=True)
class ClaimLease:
    """The lease that new claims are attached to; it is never kept alive."""

    times: ClaimTimes
    lease: int = 0
    granted_at_s: float = -math.inf

    def needs_grant(self, now_s: float) -> bool:
        """Return whether new claims need a new lease."""
        return not self.lease or now_s >= self.granted_at_s + self.times.rotate_s

    def accept(self, granted: LeaseGranted, asked_at_s: float) -> None:
        """Take a lease that was asked for at a time."""
        self.lease = granted.lease
        self.granted_at_s = asked_at_s

    def get_ttl_s(self) -> float:
        """Return the time to live to ask for, seconds."""
        return self.times.kept_s + self.times.rotate_s

    def get_valid_until_s(self) -> float:
        """Return the time until which a claim of this lease lets its request run."""
        return self.granted_at_s + self.get_ttl_s() - self.times.margin_s


@dataclass(slots=True)
class StoreClaims:
    """Claims through the key-value service; ``run`` writes them.

    Parameters
    ----------
    store : Store
    queue : ClaimQueue
    times : ClaimTimes
    clock : Clock
    """

    store: Store
    queue: ClaimQueue
    times: ClaimTimes
    clock: Clock = time.monotonic
    results: dict[Claim, Result] = field(default_factory=dict)
    wake: anyio.Event = field(default_factory=anyio.Event)
    held: dict[str, RequestId] = field(default_factory=dict)
    lease: ClaimLease = field(init=False)

    def __post_init__(self) -> None:
        self.lease = ClaimLease(self.times)

    async def claim(
        self, workspace: WorkspaceId, key: str, request: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key for a request."""
        name = make_claim_key(workspace, key)
        deadline_s = self.clock() + self.times.claim_s + self.times.cleanup_s
        claim = Claim(name, request, deadline_s)
        result: ClaimResult = make_not_run("store", "no answer in time")
        with anyio.move_on_after(self.times.claim_s):
            result = await self._submit(claim)
        if isinstance(result, Claimed):
            self._remember(name, request)
        elif isinstance(result, NotRun) and name in self.held:
            reason = f"request {self.held[name]} with this key may have run"
            return UnknownOutcome(Step.CLAIM, "store", reason)
        return result

    def _remember(self, name: str, request: RequestId) -> None:
        self.held[name] = request
        if len(self.held) > HELD_KEYS:
            del self.held[next(iter(self.held))]

    async def _submit(self, claim: Claim) -> ClaimResult:
        done, found = self.results[claim] = (anyio.Event(), [])
        self.queue.add(claim)
        self.wake.set()
        try:
            await done.wait()
            return found[0]
        finally:
            del self.results[claim]
            if not found:
                self.queue.abandon(claim)

    async def settle(self, claimed: Claimed, end: ClaimEnd) -> None:
        """Tell how the attempt ended; waits until a key is free again."""
        if end is ClaimEnd.UNKNOWN:
            return
        if end is ClaimEnd.NOT_RUN:
            self.held.pop(claimed.key, None)
        claim = Claim(
            key=claimed.key,
            request=claimed.request,
            deadline_s=self.clock() + self.times.cleanup_s,
            revision=claimed.revision,
            lease=claimed.lease,
            end=end,
        )
        if end is ClaimEnd.COMPLETED:
            self.queue.add(claim)
            self.wake.set()
            return
        with anyio.move_on_after(self.times.claim_s):
            await self._submit(claim)

    async def run(self) -> None:
        """Write queued changes until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.queue.waiting:
                next_s = self.clock() + self.times.gap_s
                answered = await self._write_batch()
                wait_s = next_s - self.clock() if answered else self.times.pause_s
                await anyio.sleep(max(0.0, wait_s))
                self.queue.expire(self.clock())

    async def _write_batch(self) -> bool:
        """Write one transaction; return whether the store answered."""
        refused = await self._renew_lease()
        batch = self.queue.take_batch(self.lease.lease, self.lease.get_valid_until_s())
        if batch is None:
            return True
        outcome: TransactOutcome
        if refused is not None:
            outcome = refused
        else:
            outcome = await self.store.transact(batch.compares, batch.puts)
        if isinstance(outcome, LeaseLost):
            self.lease.lease = 0
        for settled in self.queue.resolve(batch, outcome):
            if settled.claim in self.results:
                done, found = self.results[settled.claim]
                found.append(settled.result)
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
    """Return claims of a router that are kept in a store."""
    return StoreClaims(store, ClaimQueue(router), times or ClaimTimes(), clock)
