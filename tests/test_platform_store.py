"""The client of the platform's key-value service, over real sockets."""

import copy
import random
import time

import anyio
import pytest

from primrosepier.asgi import open_server
from primrosepier.forwarding.freshness import STORE_RESPONSE_S
from primrosepier.mirror import Backoff, Mirror, MirrorController
from primrosepier.platform.standins import PAGE_ITEMS, StandinStore
from primrosepier.platform.store import make_platform_store
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
)

pytestmark = pytest.mark.sockets


def run_store(check, service=None):
    service = service or StandinStore()

    async def run():
        async with open_server(service, "127.0.0.1:0") as address:
            client = make_platform_store(address)
            with anyio.fail_after(30):
                await check(client, service)
            await client.close()

    anyio.run(run)


def test_all_pages_are_read():
    async def check(client, service):
        for number in range(PAGE_ITEMS + 5):
            service.put(f"op/{number:03}", b"value")
        service.put("other", b"")
        snapshot = await client.read("op/")
        assert len(snapshot.items) == PAGE_ITEMS + 5
        assert snapshot.items["op/007"].value == b"value"

    run_store(check)


def test_a_transaction_is_applied_only_if_its_conditions_hold():
    async def check(client, service):
        first = await client.transact([Compare("a", 0)], [Put("a", b"1")])
        assert isinstance(first, Applied)
        second = await client.transact([Compare("a", 0)], [Put("a", b"2")])
        assert isinstance(second, Conflict)
        assert second.items["a"].value == b"1"
        assert second.items["a"].mod_revision == first.revision
        deleted = await client.transact(
            [Compare("a", first.revision)], [Put("a", None)]
        )
        assert isinstance(deleted, Applied)
        assert not (await client.read("a")).items

    run_store(check)


def test_a_lost_answer_of_a_write_is_ambiguous_and_a_refusal_is_not():
    async def check(client, service):
        service.faults.lose_answers = 1
        assert isinstance(await client.transact([], [Put("a", b"1")]), Ambiguous)
        assert (await client.read("a")).items["a"].value == b"1"
        for status in (429, 503):
            service.faults.status = status
            refused = await client.transact([], [Put("a", b"2")])
            assert isinstance(refused, Unavailable)
            assert isinstance(await client.read("a"), Unavailable)
        service.faults.status = 0
        assert (await client.read("a")).items["a"].value == b"1"

    run_store(check)


def test_calls_on_an_unresponsive_service_time_out():
    async def check(client, service):
        service.faults.unresponsive = True
        started_at_s = anyio.current_time()
        assert isinstance(await client.read("a"), Unavailable)
        assert isinstance(await client.transact([], [Put("a", b"")]), Ambiguous)
        assert anyio.current_time() - started_at_s < 4.0

    run_store(check)


def test_calls_on_an_unreachable_service_are_unavailable():
    async def run():
        client = make_platform_store("127.0.0.1:1")
        assert isinstance(await client.transact([], [Put("a", b"")]), Unavailable)
        assert isinstance(await client.grant_lease(1.0), Unavailable)
        await client.close()

    anyio.run(run)


def test_leases_are_granted_kept_alive_lost_and_revoked():
    async def check(client, service):
        granted = await client.grant_lease(5.0)
        assert isinstance(granted, LeaseGranted)
        await client.transact([], [Put("a", b"", granted.lease)])
        assert isinstance(await client.keep_alive(granted.lease), LeaseGranted)
        await client.revoke_lease(granted.lease)
        assert not (await client.read("a")).items
        assert isinstance(await client.keep_alive(granted.lease), LeaseLost)
        lost = await client.transact([], [Put("b", b"", granted.lease)])
        assert isinstance(lost, LeaseLost)

    run_store(check)


def test_a_watch_yields_changes_and_empty_events():
    async def check(client, service):
        service.put("op/a", b"1")
        start_revision = (await client.read("")).revision
        events = client.watch("op/", start_revision + 1)
        service.put("op/b", b"2")
        service.put("else", b"3")
        service.remove("op/a")
        keys, deleted = set(), set()
        while not deleted:
            event = await anext(events)
            keys |= {item.key for item in event.items}
            deleted |= set(event.deleted)
        assert (keys, deleted) == ({"op/b"}, {"op/a"})
        requested_at_s = event.requested_at_s
        empty_event = await anext(events)
        assert not empty_event.items
        assert empty_event.requested_at_s >= requested_at_s
        await events.aclose()

    run_store(check)


def test_a_mirror_rereads_after_compaction():
    async def check(client, service):
        service.put("op/a", b"1")
        for number in range(5):
            service.put("op/a", b"%d" % number)
        mirror = Mirror("op/")
        contacts = []
        controller = MirrorController(
            client,
            mirror,
            Backoff(random.Random(1), 0.01, 0.05),
            "op/a",
            record_contact=lambda connected, reason: contacts.append(connected),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(controller.run)
            while not mirror.is_synced:
                await anyio.sleep(0.01)
            mirror.revision = 1
            service.memory.state.compact(service.memory.revision)
            service.put("op/b", b"new")
            while "op/b" not in mirror.items:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert contacts[0]

    run_store(check)


def test_a_store_that_names_an_extreme_keep_alive_time_is_read():
    """Guards against a router that reads no configuration for a header's sake."""

    class ExtremeStore(StandinStore):
        def _list_headers(self):
            return [*super()._list_headers(), ("Keep-Alive", "timeout=" + "9" * 400)]

    async def check(client, service):
        service.put("op/a", b"1")
        assert "op/a" in (await client.read("")).items

    run_store(check, ExtremeStore())


class SilentStore(StandinStore):
    """Store that answers nothing more on the connections that are open."""

    def __init__(self):
        super().__init__()
        self.open, self.silent = set(), set()

    async def __call__(self, scope, receive, send):
        connection = tuple(scope["client"])
        self.open.add(connection)

        async def send_unless_silent(message):
            if connection in self.silent:
                await anyio.sleep_forever()
            await send(message)

        await super().__call__(scope, receive, send_unless_silent)

    def fall_silent(self):
        self.silent |= self.open


def test_a_change_is_seen_soon_after_all_connections_have_fallen_silent():
    """Guards against replicas that are used although they have left."""

    async def check(client, service):
        client.watch_s = 0.5
        events = client.watch("op/", (await client.read("")).revision + 1)
        assert not (await anext(events)).changes
        seen = []

        async def watch():
            seen.append(await anext(events))

        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            await anyio.sleep(0.1)
            service.fall_silent()
            service.put("op/a", b"1")
            with anyio.fail_after(client.watch_s + STORE_RESPONSE_S):
                while not seen:
                    await anyio.sleep(0.01)
        assert "op/a" in seen[0].changes
        await events.aclose()

    run_store(check, SilentStore())


def test_a_watch_of_a_slow_store_yields_its_changes():
    async def check(client, service):
        client.watch_s = 0.1
        events = client.watch("op/", (await client.read("")).revision + 1)
        service.delay_s = 0.4
        for number in range(3):
            service.put(f"op/{number}", b"1")
            while f"op/{number}" not in (await anext(events)).changes:
                pass
        await events.aclose()

    run_store(check, SlowStore())


class SlowStore(StandinStore):
    """Store that answers each call late."""

    delay_s = 0.0

    async def __call__(self, scope, receive, send):
        await anyio.sleep(self.delay_s)
        await super().__call__(scope, receive, send)


@pytest.mark.parametrize("is_held", [True, False])
def test_a_change_between_two_watches_is_not_taken_for_one_made_at_its_arrival(is_held):
    async def check(client, service):
        mirror = Mirror("op/")
        controller = MirrorController(client, mirror, Backoff(random.Random(1)), "op/")
        controller.get_batching_delay_s = lambda: 0.4

        async def put(key):
            service.put(key, b"1")
            written_at_s = time.monotonic()
            while key not in mirror.items:
                await anyio.sleep(0.01)
            return written_at_s

        async with anyio.create_task_group() as group:
            group.start_soon(controller.run)
            while not mirror.is_synced:
                await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            await put("op/a")
            await anyio.sleep(1.0 if is_held else 0.1)
            written_at_s = await put("op/b")
            group.cancel_scope.cancel()
        if is_held:
            assert mirror.changed_after_s == pytest.approx(written_at_s, abs=0.1)
        else:
            assert written_at_s - 0.3 < mirror.changed_after_s <= written_at_s

    run_store(check)


def test_a_copy_is_read_anew_when_the_store_was_restored_beyond_its_revision():
    async def check(client, service):
        earlier = copy.deepcopy(service.memory.state)
        service.put("state/a", b"1")
        client.watch_s = 0.1
        mirror = Mirror("")
        controller = MirrorController(
            client, mirror, Backoff(random.Random(1), 0.1, 0.1), "op/"
        )
        async with anyio.create_task_group() as group:
            group.start_soon(controller.run)
            while not mirror.is_synced:
                await anyio.sleep(0.01)
            restores = mirror.restores
            # No watch is held while the store is away.
            service.faults.status = 503
            await anyio.sleep(0.3)
            service.memory.restore(earlier)
            for number in range(3):
                service.put(f"state/b{number}", b"2")
            await anyio.sleep(0.3)
            service.faults.status = 0
            with anyio.fail_after(3.0):
                while "state/a" in mirror.items or mirror.restores == restores:
                    await anyio.sleep(0.01)
            assert {"state/b0", "state/b1", "state/b2"} <= mirror.items.keys()
            group.cancel_scope.cancel()

    run_store(check)


def test_an_answer_from_before_a_restore_changes_nothing():
    """Guards against a delayed answer taken for the state after a drill."""

    async def check(client, service):
        service.put("state/a", b"1")
        service.memory.restore(copy.deepcopy(service.memory.state))
        assert isinstance(await client.read("state/"), Snapshot)
        service.memory.restores = 0
        assert isinstance(await client.read("state/"), Unavailable)
        outcome = await client.transact([], [Put("state/b", b"2")])
        assert isinstance(outcome, Ambiguous)
        assert isinstance(await client.grant_lease(5.0), Unavailable)
        assert client.restores == 2

    run_store(check)
