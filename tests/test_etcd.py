import contextlib

import anyio
import httpcore
import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from primrosepier.asgi import open_server
from primrosepier.etcd import EtcdStore
from primrosepier.standin_store import StoreStandin
from primrosepier.store import (
    Ambiguous,
    Applied,
    Compare,
    Conflict,
    LeaseGranted,
    LeaseLost,
    Put,
    Snapshot,
    Unavailable,
    WatchEvent,
)

pytestmark = pytest.mark.sockets


def run_with_store(check):
    async def run():
        standin = StoreStandin()
        async with open_server(standin, "127.0.0.1:0") as address:
            store = EtcdStore(address)
            await check(store, standin)
            await store.close()

    anyio.run(run)


def test_only_the_first_of_two_conditional_writes_is_applied():
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


def test_a_watch_delivers_a_write():
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


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 2**63) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["header", "revision", "kvs", "key", "value", "result", "events", "kv"]
                + ["succeeded", "responses", "response_range", "ID", "TTL", "lease"]
                + ["canceled", "compact_revision", "created", "mod_revision", "type"]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


class FixedAnswerPool:
    """Connection pool whose service always returns the same answer."""

    def __init__(self, data):
        self.data = data

    async def request(self, *args, **options):
        response = httpcore.Response(200, content=aiter_once(self.data))
        await response.aread()
        return response

    @contextlib.asynccontextmanager
    async def stream(self, *args, **options):
        yield httpcore.Response(200, content=aiter_once(self.data + b"\n"))


async def aiter_once(data):
    yield data


@settings(derandomize=True, deadline=None, max_examples=300)
@given(data=JSON.map(msgspec.json.encode) | st.binary(max_size=30))
def test_malformed_answers_become_typed_outcomes(data):
    async def run():
        store = EtcdStore("127.0.0.1:1")
        store.pool = FixedAnswerPool(data)
        assert isinstance(await store.read("/k"), Snapshot | Unavailable)
        outcome = await store.transact([Compare("/k", 0)], [Put("/k", b"1")])
        assert isinstance(outcome, Applied | Conflict | Ambiguous)
        granted = await store.grant_lease(5.0)
        assert isinstance(granted, LeaseGranted | Unavailable)
        assert not isinstance(granted, LeaseGranted) or granted.lease > 0
        renewed = await store.keep_alive(1)
        assert isinstance(renewed, LeaseGranted | LeaseLost | Unavailable)
        async for event in store.watch("/k", 1):
            assert isinstance(event, WatchEvent)

    anyio.run(run)
