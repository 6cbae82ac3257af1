"""Record of software versions in the store, in virtual time."""

import copy
import random
from dataclasses import dataclass, field

import anyio
import pytest

from primrosepier.forwarding.version_recorder import (
    VERSIONS_KEY,
    VersionRecorder,
    decode_version_record,
)
from primrosepier.lease_holder import LeaseHolder
from primrosepier.leases import Duty
from primrosepier.mirror import make_mirror
from primrosepier.store import MemoryStore, Put
from primrosepier.stream_origins import VERSION_TTL_S, StreamOrigin, VersionHistory
from primrosepier.virtualtime import run_in_virtual_time

OLD, NEW = StreamOrigin("writers", "v1"), StreamOrigin("writers", "v2")


@dataclass
class RecordedFleet:
    """Routers that record the versions of registered replicas in one store."""

    registered: set = field(default_factory=lambda: {OLD})
    scopes: dict = field(default_factory=dict)
    recorders: dict = field(default_factory=dict)
    events: list = field(default_factory=list)
    listed: int = 0

    def emit(self, event):
        self.events.append(event)

    def list_registered(self):
        self.listed += 1
        return self.registered

    async def start(self, host, is_first_start=False, holds=False):
        """Start a router; the duty's key lapses with its last holder."""
        clock = anyio.current_time
        mirror = make_mirror(self.store, "", VERSIONS_KEY, seed=1, clock=clock)
        duty = Duty("test", host)
        recorder = VersionRecorder(
            self.store,
            mirror.mirror,
            duty,
            VersionHistory(),
            self.list_registered,
            self,
            clock,
            random.Random(host),
            is_first_start,
        )
        mirror.mirror.listeners.append(recorder.read)
        scope = self.scopes[host] = anyio.CancelScope()
        self.recorders[host] = recorder

        async def run():
            with scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(mirror.run)
                    group.start_soon(recorder.run)
                    while holds:
                        await LeaseHolder(self.store, clock).keep_alive(duty)
                        await anyio.sleep(2.0)

        if holds:
            await LeaseHolder(self.store, clock).acquire(duty)
            assert duty.fencing_number
        self.group.start_soon(run)
        await anyio.sleep(1.0)

    async def kill(self):
        for scope in self.scopes.values():
            scope.cancel()
        await anyio.sleep(30.0)

    def read(self):
        item = self.store.items.get(VERSIONS_KEY)
        return None if item is None else decode_version_record(item.value)

    def read_versions(self):
        return self.read().versions["writers"]

    def run(self, play):
        async def run():
            self.store = MemoryStore(anyio.current_time)
            async with anyio.create_task_group() as self.group:
                await play()
                self.group.cancel_scope.cancel()

        run_in_virtual_time(run)


def test_the_record_is_complete_from_the_first_start_on_and_survives_all_routers():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        assert fleet.read().find_only("writers") == "v1"
        await fleet.kill()
        fleet.registered = {NEW}
        await fleet.start("b")
        assert fleet.read_versions() == ("v1", "v2")
        assert fleet.recorders["b"].history.find_sole("writers") is None
        assert fleet.recorders["b"].history.find_former("writers", 0.0) == "v1"

    fleet.run(play)


def test_without_a_record_it_is_complete_once_its_writer_has_watched_for_long():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", holds=True)
        assert fleet.read_versions() == ("v1",)
        assert not fleet.read().is_complete
        await anyio.sleep(VERSION_TTL_S + 1.0)
        assert fleet.read().is_complete

    fleet.run(play)


def test_a_first_start_does_not_complete_a_record_that_others_began():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", holds=True)
        await fleet.kill()
        await fleet.start("b", is_first_start=True, holds=True)
        assert not fleet.read().is_complete

    fleet.run(play)


def test_a_router_without_the_duty_adds_versions_but_creates_no_record():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True)
        assert fleet.read() is None
        await fleet.start("b", is_first_start=True, holds=True)
        fleet.scopes["b"].cancel()
        fleet.registered = {NEW}
        await anyio.sleep(1.0)
        assert fleet.read_versions() == ("v1", "v2")

    fleet.run(play)


def test_a_version_is_dropped_after_its_holder_has_missed_it_for_long():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        fleet.registered = {NEW}
        await anyio.sleep(VERSION_TTL_S - 10.0)
        assert fleet.read_versions() == ("v1", "v2")
        await fleet.kill()
        # Another holder does not know since when the version has been missing.
        await fleet.start("b", holds=True)
        await anyio.sleep(VERSION_TTL_S - 10.0)
        assert fleet.read_versions() == ("v1", "v2")
        await anyio.sleep(20.0)
        assert fleet.read_versions() == ("v2",)
        assert fleet.read().is_complete

    fleet.run(play)


def test_a_version_that_returns_is_counted_anew():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        fleet.registered = {NEW}
        await anyio.sleep(VERSION_TTL_S - 10.0)
        fleet.registered = {OLD, NEW}
        await anyio.sleep(1.0)
        fleet.registered = {NEW}
        await anyio.sleep(VERSION_TTL_S - 10.0)
        assert fleet.read_versions() == ("v1", "v2")

    fleet.run(play)


@pytest.mark.parametrize("lost", [None, b"?"])
def test_a_record_that_the_store_lost_is_written_again_with_all_versions(lost):
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        fleet.registered = {OLD, NEW}
        await anyio.sleep(1.0)
        fleet.registered = {NEW}
        await anyio.sleep(1.0)
        fleet.store.commit([], [Put(VERSIONS_KEY, lost)])
        await anyio.sleep(1.0)
        assert fleet.read_versions() == ("v1", "v2")

    fleet.run(play)


def test_an_old_holder_writes_nothing():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        duty = fleet.recorders["a"].duty
        await fleet.store.revoke_lease(duty.lease)
        duty.fencing_number = 1
        fleet.registered = {NEW}
        fleet.recorders["a"].missed_since_s = {OLD: -1000.0}
        await anyio.sleep(0.05)
        await fleet.recorders["a"]._write_change()
        assert fleet.read_versions() == ("v1",)

    fleet.run(play)


def test_a_store_that_refuses_is_logged_and_tried_again():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        fleet.events.clear()
        fleet.store.faults.down = True
        fleet.registered = {NEW}
        await anyio.sleep(1.0)
        assert {type(event).__name__ for event in fleet.events} == {
            "VersionsUnrecorded"
        }
        fleet.store.faults.down = False
        await anyio.sleep(1.0)
        assert fleet.read_versions() == ("v1", "v2")

    fleet.run(play)


def test_a_restored_record_tells_no_former_version_beside_another():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        earlier = copy.deepcopy(fleet.store.state)
        fleet.registered = {OLD, NEW}
        await anyio.sleep(1.0)
        await fleet.kill()
        fleet.store.restore(earlier)
        fleet.registered = {OLD}
        await fleet.start("b")
        history = fleet.recorders["b"].history
        assert history.find_former("writers", anyio.current_time()) == "v1"
        fleet.registered = {OLD, NEW}
        await anyio.sleep(1.0)
        assert history.find_former("writers", anyio.current_time()) is None

    fleet.run(play)


def test_a_holder_writes_a_restored_record_again_once_with_all_it_has_seen():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        earlier = copy.deepcopy(fleet.store.state)
        fleet.registered = {OLD, NEW}
        await anyio.sleep(1.0)
        fleet.registered = {NEW}
        await anyio.sleep(1.0)
        fleet.store.restore(earlier)
        await anyio.sleep(5.0)
        assert fleet.read_versions() == ("v1", "v2")
        assert fleet.read().restores == 1
        revision = fleet.store.items[VERSIONS_KEY].mod_revision
        await anyio.sleep(5.0)
        assert fleet.store.items[VERSIONS_KEY].mod_revision == revision

    fleet.run(play)


def test_a_router_without_the_duty_looks_for_changes_once_a_second():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("b", is_first_start=True, holds=True)
        fleet.scopes["b"].cancel()
        await fleet.start("a")
        await anyio.sleep(10.0)
        fleet.listed = 0
        await anyio.sleep(60.0)
        assert fleet.listed <= 60 + 1

    fleet.run(play)


def test_a_new_version_is_recorded_soon_after_its_replica_is_registered():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True, holds=True)
        fleet.scopes["a"].cancel()
        await fleet.start("b")
        await anyio.sleep(2.0)
        fleet.registered = {OLD, NEW}
        await fleet.store.transact([], [Put("servers/w9", b"")])
        await anyio.sleep(0.6)
        assert fleet.read_versions() == ("v1", "v2")

    fleet.run(play)


def test_a_record_is_created_as_soon_as_its_router_has_the_duty():
    fleet = RecordedFleet()

    async def play():
        await fleet.start("a", is_first_start=True)
        await anyio.sleep(5.4)
        recorder = fleet.recorders["a"]
        # The router's copy of the store does not show the duty yet.
        recorder.mirror.listeners.clear()
        await LeaseHolder(fleet.store, anyio.current_time).acquire(recorder.duty)
        await anyio.sleep(0.25)
        assert fleet.read_versions() == ("v1",)

    fleet.run(play)
