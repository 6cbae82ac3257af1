"""Origins of streams in the store, in virtual time."""

import anyio

from primrosepier.forwarding.origin_journal import (
    BATCH_INTERVAL_S,
    JOURNAL_TTL_S,
    MAX_SLOT_STREAMS,
    RETAINED_S,
    STREAMS_PREFIX,
    OriginJournal,
)
from primrosepier.mirror import make_mirror
from primrosepier.store import MemoryStore, Put
from primrosepier.stream_origins import StreamOrigin
from primrosepier.virtualtime import run_in_virtual_time

OLD, NEW = StreamOrigin("writers", "v1"), StreamOrigin("writers", "v2")
BATCH_S = 2 * BATCH_INTERVAL_S


class CountingStore(MemoryStore):
    """Counts the transactions and their bytes."""

    def __init__(self, clock):
        super().__init__(clock)
        self.writes = self.bytes = 0

    async def transact(self, compares, puts):
        self.writes += 1
        self.bytes += sum(len(put.key) + len(put.value or b"") for put in puts)
        return await super().transact(compares, puts)


class JournalFleet:
    """Routers that store the origins of streams in one store."""

    def __init__(self):
        self.scopes = {}
        self.events = []

    def emit(self, event):
        self.events.append(event)

    def start(self, host):
        clock = anyio.current_time
        mirror = make_mirror(self.store, "", "op/", seed=1, clock=clock)
        journal = OriginJournal(
            host,
            self.store,
            mirror.mirror,
            self,
            clock,
            writes_per_s=400.0,
            count_routers=lambda: len(self.scopes),
        )
        scope = self.scopes[host] = anyio.CancelScope()

        async def run():
            with scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(mirror.run)
                    group.start_soon(journal.run)

        self.group.start_soon(run)
        return journal

    def count_keys(self):
        return sum(key.startswith(STREAMS_PREFIX) for key in self.store.items)

    def run(self, play):
        async def run():
            self.store = CountingStore(anyio.current_time)
            async with anyio.create_task_group() as self.group:
                await play()
                self.group.cancel_scope.cancel()

        run_in_virtual_time(run)


def test_streams_are_found_after_all_routers_died_and_forgotten_in_time():
    fleet = JournalFleet()

    async def play():
        journal = fleet.start("a")
        journal.add({"1": OLD, "2": NEW})
        await anyio.sleep(BATCH_S)
        fleet.scopes["a"].cancel()
        await anyio.sleep(20.0)
        restarted = fleet.start("a")
        restarted.add({"3": OLD})
        await anyio.sleep(BATCH_S)
        assert [restarted.find(call) for call in "123"] == [OLD, NEW, OLD]
        await anyio.sleep(JOURNAL_TTL_S)
        assert restarted.find("1") is None

    fleet.run(play)


def test_slots_are_used_in_turn_and_renewed_while_streams_begin():
    fleet = JournalFleet()

    async def play():
        journal = fleet.start("a")
        for number in range(300):
            journal.add({str(number): OLD})
            await anyio.sleep(1.0)
        assert fleet.count_keys() == 4
        assert journal.find(str(299 - int(RETAINED_S) + 15)) == OLD
        await anyio.sleep(JOURNAL_TTL_S + RETAINED_S)
        assert fleet.count_keys() == 0
        writes = fleet.store.writes
        await anyio.sleep(60.0)
        assert fleet.store.writes == writes

    fleet.run(play)


def test_most_streams_of_a_few_tenths_of_a_second_outlive_all_routers():
    fleet = JournalFleet()
    per_s, run_s = 110, 0.3

    async def play():
        journals = [fleet.start(f"front-{n}") for n in range(6)]

        async def run_stream(number):
            journal, call = journals[number % 6], f"{number:016x}"
            journal.add({call: (OLD, NEW)[number % 2]})
            running.append(call)
            await anyio.sleep(run_s)
            journal.complete(call)
            running.remove(call)

        running = []
        async with anyio.create_task_group() as group:
            # The routers write together, at multiples of the interval.
            for number in range(int(4.45 * per_s)):
                group.start_soon(run_stream, number)
                await anyio.sleep(1 / per_s)
            cut_off = list(running)
            for scope in fleet.scopes.values():
                scope.cancel()
            group.cancel_scope.cancel()
        started = fleet.start("front-0")
        await anyio.sleep(1.0)
        known = [call for call in cut_off if started.find(call)]
        assert len(known) >= 0.5 * len(cut_off)
        assert fleet.store.writes < 0.4 * 400 * 4.45

    fleet.run(play)


def test_complete_streams_are_left_out():
    fleet = JournalFleet()

    async def play():
        journal = fleet.start("a")
        journal.add({"1": OLD})
        journal.complete("1")
        await anyio.sleep(BATCH_S)
        assert fleet.store.writes == 0

    fleet.run(play)


def test_slots_that_the_store_lost_are_written_again():
    fleet = JournalFleet()

    async def play():
        journal = fleet.start("a")
        journal.add({"1": OLD})
        await anyio.sleep(BATCH_S)
        await fleet.store.revoke_lease(journal.lease)
        assert fleet.count_keys() == 0
        await anyio.sleep(25.0)
        assert journal.find("1") == OLD

    fleet.run(play)


def test_a_store_that_refuses_is_logged_once_and_tried_again():
    fleet = JournalFleet()

    async def play():
        journal = fleet.start("a")
        await anyio.sleep(1.0)
        fleet.store.faults.down = True
        journal.add({"1": OLD})
        await anyio.sleep(5.0)
        names = [type(event).__name__ for event in fleet.events]
        assert names == ["StreamsUnstored"]
        fleet.store.faults.down = False
        await anyio.sleep(10.0)
        assert journal.find("1") == OLD

    fleet.run(play)


def test_a_malformed_slot_is_logged_and_hides_no_other():
    fleet = JournalFleet()

    async def play():
        fleet.store.commit([], [Put(STREAMS_PREFIX + "a/0/0", b"?")])
        journal = fleet.start("b")
        journal.add({"1": OLD})
        await anyio.sleep(BATCH_S)
        assert journal.find("1") == OLD
        assert journal.find("2") is None
        assert [type(event).__name__ for event in fleet.events] == ["EntryUnreadable"]

    fleet.run(play)


def test_a_slot_is_bounded():
    fleet = JournalFleet()

    async def play():
        journal = fleet.start("a")
        for number in range(MAX_SLOT_STREAMS + 10):
            journal.add({f"{number:016x}": OLD})
        await anyio.sleep(BATCH_S)
        assert fleet.store.bytes < 512 * 1024
        assert journal.find(f"{MAX_SLOT_STREAMS - 1:016x}") == OLD

    fleet.run(play)


def test_62_routers_keep_far_below_the_rates_of_the_store():
    fleet = JournalFleet()
    seconds, per_s = 15, 110

    async def play():
        journals = [fleet.start(f"front-{n}") for n in range(62)]
        await anyio.sleep(1.0)
        for number in range(seconds * per_s):
            journals[number % 62].add({f"{number:016x}": (OLD, NEW)[number % 2]})
            await anyio.sleep(1 / per_s)
        assert fleet.store.writes / seconds < 0.4 * 400
        assert fleet.store.bytes / seconds < 100_000

    fleet.run(play)


def test_a_router_that_begins_no_streams_has_nothing_to_wake_up_for():
    fleet = JournalFleet()
    read = []

    def count_routers():
        read.append(1)
        return 1

    async def play():
        journal = fleet.start("a")
        journal.count_routers = count_routers
        await anyio.sleep(60.0)
        assert len(read) <= 1
        journal.add({"1": OLD})
        await anyio.sleep(BATCH_S)
        assert fleet.count_keys() == 1

    fleet.run(play)
