import random
from collections import Counter

import anyio
import pytest

from primrosepier.asgi import open_server
from primrosepier.etcd import EtcdStore
from primrosepier.leases import Duty, DutyAction
from primrosepier.mirror import Backoff, Mirror, MirrorController
from primrosepier.rate_limits import CallKind, RateLimitedStore, RateLimiter, StoreRates
from primrosepier.settings import LeaseBounds
from primrosepier.standin_store import StoreStandin
from primrosepier.store import MemoryStore, Put, Snapshot
from primrosepier.virtualtime import run_in_virtual_time

ROUTERS = 940
READS_PER_S = 2000
WRITES_PER_S = 300


class CountedStore(MemoryStore):
    """Counts the calls in each second, with a watch as one call."""

    def __init__(self):
        super().__init__(anyio.current_time)
        self.reads = Counter()
        self.writes = Counter()

    async def read(self, prefix):
        self.reads[int(anyio.current_time())] += 1
        return await super().read(prefix)

    async def transact(self, compares, puts):
        self.writes[int(anyio.current_time())] += 1
        return await super().transact(compares, puts)

    async def watch(self, prefix, revision):
        self.reads[int(anyio.current_time())] += 1
        async for event in super().watch(prefix, revision):
            yield event


@pytest.mark.parametrize("outage_s", [0, 30])
def test_a_thundering_herd_of_restarts_stays_within_the_rates(outage_s):
    async def run():
        store = CountedStore()
        await store.transact([], [Put("/s/a", b"1")])
        store.faults.down = outage_s > 0
        mirrors = []
        async with anyio.create_task_group() as group:
            for number in range(ROUTERS):
                limited_store = RateLimitedStore(
                    store, RateLimiter(StoreRates()), lambda: 1, anyio.current_time
                )
                controller = MirrorController(
                    limited_store,
                    Mirror("/s/"),
                    Backoff(random.Random(number)),
                    "/s/a",
                    anyio.current_time,
                )
                mirrors.append(controller.mirror)
                group.start_soon(controller.run)
            await anyio.sleep(outage_s)
            store.faults.down = False
            await anyio.sleep(60)
            group.cancel_scope.cancel()
        assert all(mirror.items for mirror in mirrors)
        return max(store.reads.values())

    assert run_in_virtual_time(run) <= READS_PER_S


def test_writes_of_many_routers_share_the_rate():
    async def run():
        store = CountedStore()
        rates = StoreRates(writes_per_s=WRITES_PER_S)

        async def write(limited_store):
            for _ in range(3):
                await limited_store.transact([], [Put("/k", b"1")])

        async with anyio.create_task_group() as group:
            for _ in range(ROUTERS):
                limiter = RateLimiter(rates)
                limited_store = RateLimitedStore(
                    store, limiter, lambda: ROUTERS, anyio.current_time
                )
                group.start_soon(write, limited_store)
        return store.writes

    writes = run_in_virtual_time(run)
    assert sum(writes.values()) == 3 * ROUTERS
    assert sum(writes.values()) / (max(writes) + 1) <= WRITES_PER_S * 1.5


def test_calls_on_leases_never_wait():
    limiter = RateLimiter(StoreRates(writes_per_s=2.0))
    waits = [limiter.acquire(CallKind.WRITE, 1, 0.0) for _ in range(4)]
    assert waits == [0.0, 0.0, 0.5, 1.0]
    assert limiter.acquire(CallKind.WRITE, 1, 0.0, urgent=True) == 0.0
    assert limiter.acquire(CallKind.WRITE, 1, 0.0) > 1.0
    assert limiter.acquire(CallKind.WRITE, 1, 100.0) == 0.0


def test_each_poll_of_a_watch_counts_as_a_read():
    async def run():
        store = CountedStore()
        rates = StoreRates(reads_per_s=10.0, burst_s=0.1)
        limited_store = RateLimitedStore(
            store, RateLimiter(rates), lambda: 1, anyio.current_time, polls=True
        )
        seen = []

        async def watch():
            async for event in limited_store.watch("/s/", 1):
                seen.append(event)

        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            await anyio.sleep(0)
            for _ in range(100):
                await store.transact([], [Put("/s/a", b"1")])
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return len(seen)

    assert run_in_virtual_time(run) <= 11


def test_lease_renewals_use_the_configured_rate():
    async def run():
        rates = StoreRates(writes_per_s=1.0, reads_per_s=1.0)
        limiter = RateLimiter(rates)
        limited_store = RateLimitedStore(
            CountedStore(), limiter, lambda: 1, anyio.current_time, CallKind.READ
        )
        await limited_store.keep_alive(1)
        return limiter

    limiter = run_in_virtual_time(run)
    assert limiter.acquire(CallKind.WRITE, 1, 0.0) == 0.0
    assert limiter.acquire(CallKind.READ, 1, 0.0) > 0.0


def test_few_hosts_try_to_acquire_a_free_duty_at_once():
    hosts = [f"h{number}" for number in range(200)]
    peers = frozenset(hosts)
    duties = [Duty("rollout/s", host, LeaseBounds()) for host in hosts]
    attempts = Counter()
    for second in range(30):
        for duty in duties:
            action = duty.decide(None, peers - {duty.host}, float(second))
            if action is DutyAction.ACQUIRE:
                attempts[second] += 1
                duty.record_failure(float(second))
    assert max(attempts.values()) <= 20
    duty = duties[0]
    assert duty.decide(None, peers, 10.0**6) is DutyAction.ACQUIRE


@pytest.mark.sockets
def test_cancelled_calls_leave_no_connection_behind():
    async def run():
        standin = StoreStandin()
        async with open_server(standin, "127.0.0.1:0") as address:
            store = EtcdStore(address)
            standin.faults.delay_s = 5.0
            for _ in range(3):
                with anyio.move_on_after(0.05):
                    async with anyio.create_task_group() as group:
                        for _ in range(20):
                            group.start_soon(store.read, "/k")
            standin.faults.delay_s = 0.0
            with anyio.fail_after(2):
                assert isinstance(await store.read("/k"), Snapshot)
            await store.close()

    anyio.run(run)
