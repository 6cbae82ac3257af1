"""Keeps a router's calls to the key-value service within its share of the limits."""

import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import anyio

from .clocks import Clock
from .ids import Revision
from .store import (
    Compare,
    LeaseGranted,
    LeaseLost,
    Put,
    Snapshot,
    Store,
    TransactOutcome,
    Unavailable,
    WatchEvent,
)

__all__ = ["RateLimitedStore", "RateLimiter", "CallKind", "StoreRates"]


class CallKind(Enum):
    """Kind of call; each kind has its own rate limit."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class StoreRates:
    """Rates of calls that all routers together may make to the service.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
    burst_s : float
        Capacity of a token bucket, as seconds of calls at the full rate.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 1500.0
    burst_s: float = 1.0

    def get(self, kind: CallKind) -> float:
        """Return the rate limit of a kind of call, calls per second."""
        return self.writes_per_s if kind is CallKind.WRITE else self.reads_per_s


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated_at_s: float


@dataclass(slots=True)
class RateLimiter:
    """Token buckets of one router.

    Parameters
    ----------
    rates : StoreRates
    """

    rates: StoreRates
    buckets: dict[CallKind, _TokenBucket] = field(default_factory=dict)

    def acquire(
        self, kind: CallKind, router_count: int, now_s: float, urgent: bool = False
    ) -> float:
        """Take a token for one call and return the wait before it, seconds.

        Parameters
        ----------
        router_count : int
            Number of routers that share the rates.
        urgent : bool
            The call does not wait; later calls wait for its token instead.
        """
        rate = self.rates.get(kind) / max(1, router_count)
        capacity = max(1.0, rate * self.rates.burst_s)
        bucket = self.buckets.setdefault(kind, _TokenBucket(capacity, now_s))
        refill = (now_s - bucket.updated_at_s) * rate
        bucket.tokens = min(capacity, bucket.tokens + refill) - 1.0
        bucket.updated_at_s = now_s
        if urgent or bucket.tokens >= 0:
            return 0.0
        return -bucket.tokens / rate


def ignore_call(call: str, outcome: str, wait_s: float) -> None:
    """Discard the record of a call."""


@dataclass(frozen=True, slots=True)
class RateLimitedStore:
    """A store whose calls are rate-limited; calls that manage leases do not wait.

    Parameters
    ----------
    store : Store
    limiter : RateLimiter
    count_routers : callable
        Returns the number of routers that share the rates.
    clock : Clock
    renewal_kind : CallKind
        Rate limit that lease renewals count against.
    polls : bool
        Whether a watch is implemented by polling, so that each event costs a read.
    record_call : callable
        Receives the name, outcome and wait in seconds of each call.
    """

    store: Store
    limiter: RateLimiter
    count_routers: Callable[[], int]
    clock: Clock = time.monotonic
    renewal_kind: CallKind = CallKind.WRITE
    polls: bool = False
    record_call: Callable[[str, str, float], None] = ignore_call

    async def _wait(self, kind: CallKind, urgent: bool = False) -> float:
        wait_s = self.limiter.acquire(kind, self.count_routers(), self.clock(), urgent)
        if wait_s > 0:
            await anyio.sleep(wait_s)
        return wait_s

    def _record(self, call: str, outcome: object, wait_s: float) -> None:
        self.record_call(call, type(outcome).__name__, wait_s)

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        wait_s = await self._wait(CallKind.READ)
        outcome = await self.store.read(prefix)
        self._record("read", outcome, wait_s)
        return outcome

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write all or nothing, if every condition holds."""
        wait_s = await self._wait(CallKind.WRITE)
        outcome = await self.store.transact(compares, puts)
        self._record("transact", outcome, wait_s)
        return outcome

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on; end when the service fails."""
        wait_s = await self._wait(CallKind.READ)
        async for event in self.store.watch(prefix, revision):
            self._record("watch", event, wait_s)
            yield event
            wait_s = await self._wait(CallKind.READ) if self.polls else 0.0
        self.record_call("watch", "ended", wait_s)

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        wait_s = await self._wait(CallKind.WRITE, urgent=True)
        outcome = await self.store.grant_lease(ttl_s)
        self._record("grant_lease", outcome, wait_s)
        return outcome

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        wait_s = await self._wait(self.renewal_kind, urgent=True)
        outcome = await self.store.keep_alive(lease)
        self._record("keep_alive", outcome, wait_s)
        return outcome

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys, if the service answers."""
        wait_s = await self._wait(CallKind.WRITE, urgent=True)
        await self.store.revoke_lease(lease)
        self.record_call("revoke_lease", "sent", wait_s)

    async def close(self) -> None:
        """Close all connections."""
        await self.store.close()
