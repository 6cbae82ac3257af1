"""The local copy of the store, for each kind of store."""

import contextlib
import random

import anyio
import pytest

from primrosepier.asgi import open_server
from primrosepier.clocks import ManualClock
from primrosepier.etcd import make_etcd_store
from primrosepier.mirror import Backoff, Mirror, MirrorController
from primrosepier.platform.standins import StandinStore
from primrosepier.platform.store import make_platform_store
from primrosepier.standin_store import StoreStandin
from primrosepier.store import Item, MemoryStore, Put, Snapshot, WatchEvent

pytestmark = pytest.mark.sockets

PREFIX = "op/"
KEYS = [f"{PREFIX}{number}" for number in range(3)]
LEASE_S = 5.0
MAX_ANSWER_SIZE = 8


@contextlib.asynccontextmanager
async def open_memory_store(memory):
    yield memory


@contextlib.asynccontextmanager
async def open_platform_store(memory):
    async with open_server(StandinStore(memory), "127.0.0.1:0") as address:
        client = make_platform_store(address)
        yield client
        await client.close()


@contextlib.asynccontextmanager
async def open_etcd_store(memory):
    async with open_server(StoreStandin(memory), "127.0.0.1:0") as address:
        client = make_etcd_store(address)
        yield client
        await client.close()


KINDS = [open_memory_store, open_platform_store, open_etcd_store]


@contextlib.asynccontextmanager
async def open_mirror(store):
    mirror = Mirror(PREFIX)
    backoff = Backoff(random.Random(1), 0.01, 0.05)
    controller = MirrorController(store, mirror, backoff, PREFIX)
    async with anyio.create_task_group() as group:
        group.start_soon(controller.run)
        while not mirror.is_synced:
            await anyio.sleep(0.001)
        yield mirror
        group.cancel_scope.cancel()


async def wait_for_revision(mirror, revision):
    with anyio.fail_after(10):
        while mirror.revision < revision:
            await anyio.sleep(0.001)


@pytest.mark.parametrize("open_store", KINDS)
def test_a_key_deleted_and_written_again_in_one_answer_is_not_lost(open_store):
    async def run():
        memory = MemoryStore(choose_answer_size=lambda: 2)
        memory.commit([], [Put(KEYS[0], b"1")])
        async with open_store(memory) as store, open_mirror(store) as mirror:
            memory.commit([], [Put(KEYS[0], None)])
            memory.commit([], [Put(KEYS[0], b"2")])
            await wait_for_revision(mirror, memory.revision)
            assert mirror.items == memory.items

    anyio.run(run)


@pytest.mark.parametrize("open_store", KINDS)
def test_a_key_written_and_deleted_in_one_answer_is_removed(open_store):
    async def run():
        memory = MemoryStore(choose_answer_size=lambda: 2)
        async with open_store(memory) as store, open_mirror(store) as mirror:
            memory.commit([], [Put(KEYS[0], b"1")])
            memory.commit([], [Put(KEYS[0], None)])
            await wait_for_revision(mirror, memory.revision)
            assert mirror.items == {}

    anyio.run(run)


class RandomHistory:
    """Writes, deletions and lapsing leases of few keys."""

    def __init__(self, memory, clock, rng):
        self.memory, self.clock, self.rng = memory, clock, rng

    def put(self):
        lease = self.rng.choice([0, self.memory.state.grant_lease(LEASE_S)])
        value = b"%d" % self.rng.randrange(100)
        self.memory.commit([], [Put(self.rng.choice(KEYS), value, lease)])

    def delete(self):
        self.memory.commit([], [Put(self.rng.choice(KEYS), None)])

    def lapse(self):
        self.clock.advance(LEASE_S)
        self.memory.state.expire()
        self.memory.notify()

    async def play(self, steps):
        actions = [self.put, self.put, self.delete, self.lapse]
        for _ in range(steps):
            self.rng.choice(actions)()
            if self.rng.random() < 0.1:
                await anyio.sleep(self.rng.uniform(0.0, 0.002))
        self.put()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("open_store", KINDS)
def test_the_copy_equals_the_store_after_any_history(open_store, seed):
    async def run():
        rng = random.Random(seed)
        clock = ManualClock()
        memory = MemoryStore(clock, lambda: rng.randint(1, MAX_ANSWER_SIZE))
        history = RandomHistory(memory, clock, rng)
        async with open_store(memory) as store, open_mirror(store) as mirror:
            for _ in range(10):
                await history.play(20)
                await wait_for_revision(mirror, memory.revision)
                assert mirror.items == memory.items

    anyio.run(run)


def make_event(revision, requested_at_s, *keys):
    changes = {key: Item(key, b"1", revision) for key in keys}
    return WatchEvent(revision, changes, requested_at_s=requested_at_s, hold_s=1.5)


def test_a_change_that_is_read_after_a_freeze_is_not_taken_for_a_new_one():
    mirror = Mirror(PREFIX)
    mirror.apply_snapshot(Snapshot(1, {}), 0.0, 0.0)
    mirror.apply_event(make_event(2, 0.1, KEYS[0]), 5.0)
    assert mirror.changed_after_s <= 0.1
    mirror.apply_event(make_event(2, 5.1), 10.0)
    mirror.apply_event(make_event(3, 10.0, KEYS[1]), 10.01)
    assert mirror.changed_after_s <= 5.1


class FailingStore:
    """Store whose reads raise an unexpected error as often as is asked for."""

    def __init__(self, memory, failures):
        self.memory = memory
        self.failures = failures

    async def read(self, prefix):
        if self.failures:
            self.failures -= 1
            raise KeyError("unexpected")
        return await self.memory.read(prefix)

    def watch(self, prefix, revision):
        return self.memory.watch(prefix, revision)


def test_a_listener_that_fails_does_not_keep_changes_from_the_others():
    async def run():
        memory = MemoryStore()
        failures, seen = [], []

        def fail(mirror):
            raise KeyError("unexpected")

        async with open_mirror(memory) as mirror:
            mirror.notify_failure = failures.append
            mirror.listeners += [fail, lambda mirror: seen.append(mirror.revision)]
            for number in range(3):
                memory.commit([], [Put(KEYS[number], b"1")])
                await wait_for_revision(mirror, memory.revision)
        assert seen[-1] == memory.revision
        assert {type(error) for error in failures} == {KeyError}

    anyio.run(run)


def test_the_store_is_followed_again_after_an_unexpected_error():
    async def run():
        memory = MemoryStore()
        memory.commit([], [Put(KEYS[0], b"1")])
        failures = []
        mirror = Mirror(PREFIX, notify_failure=failures.append)
        store = FailingStore(memory, failures=2)
        backoff = Backoff(random.Random(1), 0.01, 0.05)
        controller = MirrorController(store, mirror, backoff, PREFIX)
        async with anyio.create_task_group() as group:
            group.start_soon(controller.run)
            await wait_for_revision(mirror, memory.revision)
            group.cancel_scope.cancel()
        assert mirror.items == memory.items
        assert len(failures) == 2

    anyio.run(run)
