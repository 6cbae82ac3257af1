import anyio
import pytest

from primrosepier.asgi import open_server
from primrosepier.etcd import EtcdStore
from primrosepier.standin_store import StoreStandin
from primrosepier.store import Ambiguous, Applied, Compare, Conflict, Put

pytestmark = pytest.mark.sockets


def run_with_store(check):
    async def run():
        standin = StoreStandin()
        async with open_server(standin, "127.0.0.1:0") as address:
            store = EtcdStore(address)
            await check(store, standin)
            await store.close()

    anyio.run(run)


def test_only_one_of_two_racing_writes_is_applied():
    async def check(store, standin):
        first = await store.transact([Compare("/k", 0)], [Put("/k", b"1")])
        second = await store.transact([Compare("/k", 0)], [Put("/k", b"2")])
        assert isinstance(first, Applied)
        assert isinstance(second, Conflict)
        assert second.items["/k"].value == b"1"

    run_with_store(check)


def test_a_lost_answer_is_ambiguous_and_the_write_took_effect():
    async def check(store, standin):
        standin.faults.lose_answers = 1
        outcome = await store.transact([Compare("/k", 0)], [Put("/k", b"1")])
        assert isinstance(outcome, Ambiguous)
        snapshot = await store.read("/k")
        assert snapshot.items["/k"].value == b"1"

    run_with_store(check)


def test_a_watch_shows_a_write():
    async def check(store, standin):
        seen = []

        async def watch():
            async for event in store.watch("/k", 1):
                seen.extend(event.items)
                group.cancel_scope.cancel()

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await store.transact([], [Put("/k", b"1")])
        assert seen[0].value == b"1"

    run_with_store(check)
