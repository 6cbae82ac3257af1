"""Calls to the key-value service by number of routers, claims and changes."""

import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field, replace

import anyio

from .claim_writer import StoreClaims, make_store_claims
from .claims import Claimed, ClaimEnd
from .clocks import ManualClock
from .configuration import Configuration
from .ids import HostId, RequestId, Revision, WorkspaceId
from .lease_holder import LeaseHolder
from .leases import Duty, DutyAction, make_duty_key
from .mirror import make_mirror
from .publishing import ApplyResult, apply_configuration
from .revisions import MANIFEST_KEY, STATE_PREFIX
from .scale_control import make_configuration
from .scale_fits import Slope, fit_slope
from .settings import LeaseBounds
from .store import (
    Compare,
    LeaseGranted,
    LeaseLost,
    MemoryStore,
    Put,
    Snapshot,
    TransactOutcome,
    Unavailable,
    WatchEvent,
)

__all__ = ["measure_store"]

ROUTERS = (1, 2, 4, 8)
CLAIMS = (1, 4, 16, 64)
WORKSPACES = (350, 700, 1400, 2800)
SERVICES = (1, 4, 11, 22)
DUTY_STEPS = 30
DUTY_STEP_S = 2.0
CHECK_INTERVALS = 3
# Factor by which the mirrors' checks are more frequent than in operation.
SPEEDUP = 100.0
CLAIM_SPACING_S = 0.2
SETTLE_POLL_S = 0.02


@dataclass(slots=True)
class CountingStore:
    """Counts the calls and bytes of a store; a watch counts as one call."""

    store: MemoryStore
    calls: Counter[str] = field(default_factory=Counter)
    bytes_read: int = 0
    bytes_watched: int = 0

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        self.calls["read"] += 1
        snapshot = await self.store.read(prefix)
        if isinstance(snapshot, Snapshot):
            self.bytes_read += sum(len(i.value) for i in snapshot.items.values())
        return snapshot

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write atomically if every condition holds."""
        self.calls["write"] += 1
        return await self.store.transact(compares, puts)

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on."""
        self.calls["watch"] += 1
        async for event in self.store.watch(prefix, revision):
            self.bytes_watched += sum(len(item.value) for item in event.items)
            yield event

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        self.calls["lease"] += 1
        return await self.store.grant_lease(ttl_s)

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        self.calls["lease"] += 1
        return await self.store.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease."""
        self.calls["lease"] += 1
        await self.store.revoke_lease(lease)

    async def close(self) -> None:
        """Close the store."""
        await self.store.close()


def measure_store() -> list[Slope]:
    """Return all slopes of the load on the key-value service."""
    return anyio.run(_measure)


async def _measure() -> list[Slope]:
    return [
        *await _measure_mirrors(),
        *await _measure_claims(),
        *await _measure_apply(),
        *await _measure_duties(),
    ]


async def _measure_mirrors() -> list[Slope]:
    """Measure the calls of idle routers that watch the configuration."""
    reads, watches = [], []
    for routers in ROUTERS:
        store = CountingStore(MemoryStore())
        await apply_configuration(store, make_configuration(40, 8), "bench")
        mirrors = [
            make_mirror(store, STATE_PREFIX, MANIFEST_KEY) for _ in range(routers)
        ]
        check_s = mirrors[0].check_s / SPEEDUP
        async with anyio.create_task_group() as group:
            for mirror in mirrors:
                mirror.check_s = check_s
                group.start_soon(mirror.run)
            while store.calls["watch"] < routers:
                await anyio.sleep(check_s / 10)
            reads_before = store.calls["read"]
            started_s = time.monotonic()
            await anyio.sleep(CHECK_INTERVALS * check_s)
            seconds = (time.monotonic() - started_s) * SPEEDUP
            reads.append(
                (float(routers), (store.calls["read"] - reads_before) / seconds)
            )
            watches.append((float(routers), float(store.calls["watch"])))
            group.cancel_scope.cancel()
    return [
        fit_slope("mirror_reads", "routers", "reads a second", reads),
        fit_slope("mirror_watches", "routers", "waiting watches", watches),
    ]


async def _measure_claims() -> list[Slope]:
    """Measure the writes of concurrent claims and of claims spaced in time."""
    concurrent, spaced = [], []
    for count in CLAIMS:
        concurrent.append((float(count), await _count_claim_writes(count, 0.0)))
    for count in CLAIMS[:-1]:
        spaced.append((float(count), await _count_claim_writes(count, CLAIM_SPACING_S)))
    spaced.insert(2, (8.0, await _count_claim_writes(8, CLAIM_SPACING_S)))
    return [
        fit_slope("claim_writes_together", "claims at once", "writes", concurrent),
        fit_slope("claim_writes_apart", "claims 0.2 s apart", "writes", spaced),
    ]


async def _claim_and_settle(claims: StoreClaims, number: int) -> None:
    workspace, request = WorkspaceId("workspace-0"), RequestId(f"req-{number}")
    claimed = await claims.claim(workspace, f"key-{number}", request)
    assert isinstance(claimed, Claimed)
    await claims.settle(claimed, ClaimEnd.COMPLETED)


async def _count_claim_writes(count: int, spacing_s: float) -> float:
    store = CountingStore(MemoryStore())
    claims = make_store_claims(store, HostId("entry-1"))
    async with anyio.create_task_group() as group:
        group.start_soon(claims.run)
        async with anyio.create_task_group() as calls:
            for number in range(count):
                calls.start_soon(_claim_and_settle, claims, number)
                await anyio.sleep(spacing_s)
        while claims.queue.waiting:
            await anyio.sleep(SETTLE_POLL_S)
        group.cancel_scope.cancel()
    return float(store.calls["write"])


async def _measure_apply() -> list[Slope]:
    """Measure the costs of a small change by the size of the configuration."""
    watched, writes, reads = [], [], []
    for workspaces in WORKSPACES:
        store = CountingStore(MemoryStore())
        configuration = make_configuration(workspaces * 3900 // 2800, workspaces)
        await apply_configuration(store, configuration, "bench")
        mirror = make_mirror(store, STATE_PREFIX, MANIFEST_KEY)
        async with anyio.create_task_group() as group:
            group.start_soon(mirror.run)
            while not store.calls["watch"]:
                await anyio.sleep(0.001)
            store.calls.clear()
            changed = _change_workspace(configuration)
            outcome = await apply_configuration(store, changed, "bench")
            assert outcome.result is ApplyResult.APPLIED
            await anyio.sleep(0.05)
            group.cancel_scope.cancel()
        x = float(workspaces)
        watched.append((x, float(store.bytes_watched)))
        writes.append((x, float(store.calls["write"])))
        reads.append((x, float(store.calls["read"])))
    axis = "workspaces, with 1.4 replicas each"
    return [
        fit_slope("change_bytes", axis, "bytes to a router a change", watched),
        fit_slope("change_writes", axis, "writes a change", writes),
        fit_slope("change_reads", axis, "reads a change", reads),
    ]


async def _measure_duties() -> list[Slope]:
    """Measure the lease calls of a router that holds the duties of services."""
    lease_calls = []
    for services in SERVICES:
        store, clock = CountingStore(MemoryStore()), ManualClock(100.0)
        lease_holder = LeaseHolder(store, clock)
        names = [f"rollout/service-{number}" for number in range(services)]
        duties = [Duty(name, HostId("entry-1"), LeaseBounds()) for name in names]
        for duty in duties:
            assert await lease_holder.acquire(duty)
        store.calls.clear()
        for _ in range(DUTY_STEPS):
            clock.advance(DUTY_STEP_S)
            for duty in duties:
                await _renew_duty(store, lease_holder, duty, clock())
        seconds = DUTY_STEPS * DUTY_STEP_S
        lease_calls.append((float(services), store.calls["lease"] / seconds))
    return [fit_slope("duty_calls", "services", "lease calls a second", lease_calls)]


async def _renew_duty(
    store: CountingStore, lease_holder: LeaseHolder, duty: Duty, now_s: float
) -> None:
    holder = store.store.items.get(make_duty_key(duty.name))
    if duty.decide(holder, frozenset(), now_s) is DutyAction.KEEP_ALIVE:
        await lease_holder.keep_alive(duty)


def _change_workspace(configuration: Configuration) -> Configuration:
    name = random.Random(1).choice(sorted(configuration.workspaces))
    workspace = replace(configuration.workspaces[name], weight=2.0)
    workspaces = {**configuration.workspaces, name: workspace}
    return replace(configuration, workspaces=workspaces)
