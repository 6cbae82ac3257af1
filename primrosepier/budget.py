"""Keeps a router's calls on the key-value service within its share of the rates."""

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

__all__ = ["BudgetedStore", "CallBudget", "CallKind", "StoreRates"]


class CallKind(Enum):
    """What a call costs the service."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class StoreRates:
    """Calls that all routers together may make on the service.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
    burst_s : float
        Time whose calls may be made at once, seconds.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 1500.0
    burst_s: float = 1.0

    def get(self, kind: CallKind) -> float:
        """Return the calls of a kind that are allowed each second."""
        return self.writes_per_s if kind is CallKind.WRITE else self.reads_per_s


@dataclass(slots=True)
class _Bucket:
    level: float
    updated_s: float


@dataclass(slots=True)
class CallBudget:
    """Token buckets of one router.

    Parameters
    ----------
    rates : StoreRates
    """

    rates: StoreRates
    buckets: dict[CallKind, _Bucket] = field(default_factory=dict)

    def take(
        self, kind: CallKind, routers: int, now_s: float, urgent: bool = False
    ) -> float:
        """Take one call and return how long it has to wait, seconds.

        Parameters
        ----------
        routers : int
            Routers that share the rates.
        urgent : bool
            The call goes out at once, and later calls wait for it.
        """
        rate = self.rates.get(kind) / max(1, routers)
        burst = max(1.0, rate * self.rates.burst_s)
        bucket = self.buckets.setdefault(kind, _Bucket(burst, now_s))
        gained = (now_s - bucket.updated_s) * rate
        bucket.level = min(burst, bucket.level + gained) - 1.0
        bucket.updated_s = now_s
        if urgent or bucket.level >= 0:
            return 0.0
        return -bucket.level / rate


def ignore_call(call: str, outcome: str, wait_s: float) -> None:
    """Count nothing."""


@dataclass(frozen=True, slots=True)
class BudgetedStore:
    """A store whose calls wait for their share; calls on leases go first.

    Parameters
    ----------
    store : Store
    budget : CallBudget
    count_routers : callable
        Returns how many routers share the rates.
    clock : Clock
    renewals : CallKind
        Rate for which the renewal of a lease counts.
    polls : bool
        Whether a watch makes a new call after each event.
    note : callable
        Told of each call's name, outcome and wait in seconds.
    """

    store: Store
    budget: CallBudget
    count_routers: Callable[[], int]
    clock: Clock = time.monotonic
    renewals: CallKind = CallKind.WRITE
    polls: bool = False
    note: Callable[[str, str, float], None] = ignore_call

    async def _wait(self, kind: CallKind, urgent: bool = False) -> float:
        wait_s = self.budget.take(kind, self.count_routers(), self.clock(), urgent)
        if wait_s > 0:
            await anyio.sleep(wait_s)
        return wait_s

    def _note(self, call: str, outcome: object, wait_s: float) -> None:
        self.note(call, type(outcome).__name__, wait_s)

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        wait_s = await self._wait(CallKind.READ)
        found = await self.store.read(prefix)
        self._note("read", found, wait_s)
        return found

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write all or nothing, if every condition holds."""
        wait_s = await self._wait(CallKind.WRITE)
        found = await self.store.transact(compares, puts)
        self._note("transact", found, wait_s)
        return found

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on; end when the service fails."""
        wait_s = await self._wait(CallKind.READ)
        async for event in self.store.watch(prefix, revision):
            self._note("watch", event, wait_s)
            yield event
            wait_s = await self._wait(CallKind.READ) if self.polls else 0.0
        self.note("watch", "ended", wait_s)

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        wait_s = await self._wait(CallKind.WRITE, urgent=True)
        found = await self.store.grant_lease(ttl_s)
        self._note("grant_lease", found, wait_s)
        return found

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Extend a lease."""
        wait_s = await self._wait(self.renewals, urgent=True)
        found = await self.store.keep_alive(lease)
        self._note("keep_alive", found, wait_s)
        return found

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys, if the service answers."""
        wait_s = await self._wait(CallKind.WRITE, urgent=True)
        await self.store.revoke_lease(lease)
        self.note("revoke_lease", "sent", wait_s)

    async def close(self) -> None:
        """Close all connections."""
        await self.store.close()
