"""Which routers are known around outages and restores of the store."""

import copy

import anyio
import msgspec
import pytest
from entry_fleet import run_entry

from primrosepier.clocks import ManualClock
from primrosepier.forwarding.fleet import Fleet
from primrosepier.forwarding.peers import (
    ENTRY_TTL_S,
    ROUTERS_PREFIX,
    SETTLING_S,
    PeerDirectory,
    PeerEntry,
)
from primrosepier.forwarding.retries import RetryBudget
from primrosepier.mirror import Mirror
from primrosepier.store import Item, Snapshot

HOSTS = [f"front-{number}" for number in range(1, 7)]
EXTRA = 52.0


class Installation:
    """Routers that see the same entries of routers in the store."""

    def __init__(self):
        self.clock = ManualClock()
        self.mirror = Mirror("")
        self.fleet = Fleet()
        self.directories = [self.make_directory(host) for host in HOSTS]
        self.budgets = [
            RetryBudget(0.0, EXTRA, directory.count_routers, 10.0, directory.is_settled)
            for directory in self.directories
        ]

    def make_directory(self, host):
        return PeerDirectory(
            host,
            None,
            "127.0.0.1:1",
            compute_recovery_s=lambda: self.fleet.compute_recovery_s(self.clock()),
            clock=self.clock,
        )

    def show(self, hosts, restores=0):
        """Let all routers read the entries of the given ones."""
        items = {}
        for revision, host in enumerate(hosts, 1):
            value = msgspec.json.encode(PeerEntry("127.0.0.1:1", host))
            key = ROUTERS_PREFIX + host
            items[key] = Item(key, value, revision)
        snapshot = Snapshot(len(items), items, restores)
        self.mirror.apply_snapshot(snapshot, self.clock())
        self.fleet.record_restores(restores, self.clock())
        for directory in self.directories:
            directory.update(self.mirror)

    def count_routers(self):
        return [directory.count_routers() for directory in self.directories]

    def take_retries(self):
        """Let all routers use the retries that they have left; return their number."""
        return sum(
            budget.try_acquire("app", self.clock())
            for budget in self.budgets
            for _ in range(int(EXTRA))
        )


def test_routers_whose_entries_a_restore_takes_back_share_the_extra_retries():
    """Guards against repeats beyond the budget after a drill of the store."""
    installation = Installation()
    installation.show(HOSTS)
    installation.clock.advance(60.0)
    used = installation.take_retries()
    installation.show([], restores=1)
    used += installation.take_retries()
    assert installation.count_routers() == [6] * 6
    installation.clock.advance(1.0)
    installation.show(HOSTS[:2], restores=1)
    used += installation.take_retries()
    assert used <= EXTRA


def test_routers_whose_entries_lapse_in_an_outage_share_the_extra_retries():
    """Guards against repeats beyond the budget after an outage of the store."""
    installation = Installation()
    installation.show(HOSTS)
    installation.clock.advance(60.0)
    used = installation.take_retries()
    installation.fleet.record_contact(False, installation.clock())
    installation.clock.advance(4.0)
    installation.fleet.record_contact(True, installation.clock())
    installation.show([])
    used += installation.take_retries()
    assert used <= EXTRA


def test_routers_that_start_together_share_the_extra_retries():
    """Guards against repeats beyond the budget after a restart of all routers."""
    installation = Installation()
    used = installation.take_retries()
    for count in range(1, len(HOSTS) + 1):
        installation.show(HOSTS[:count])
        used += installation.take_retries()
        installation.clock.advance(SETTLING_S / len(HOSTS))
    used += installation.take_retries()
    assert used <= EXTRA
    installation.clock.advance(SETTLING_S)
    assert used + installation.take_retries() > EXTRA / 3


def test_a_router_that_leaves_is_dropped_at_once():
    installation = Installation()
    installation.show(HOSTS)
    installation.clock.advance(60.0)
    installation.show(HOSTS[1:])
    assert installation.directories[1].count_routers() == 5
    assert HOSTS[0] not in installation.directories[1].list_hosts()


def test_a_router_that_does_not_register_again_is_dropped():
    installation = Installation()
    installation.show(HOSTS)
    installation.clock.advance(60.0)
    installation.show(HOSTS[1:], restores=1)
    directory = installation.directories[1]
    assert HOSTS[0] in directory.list_hosts()
    installation.clock.advance(ENTRY_TTL_S)
    directory.refresh()
    assert directory.list_hosts() == set(HOSTS[1:])


def test_a_router_is_told_once_that_its_entry_has_disappeared():
    installation = Installation()
    installation.show(HOSTS)
    directory = installation.directories[0]
    installation.show(HOSTS[1:], restores=1)
    assert directory.unlisted.is_set()
    directory.unlisted = anyio.Event()
    installation.show(HOSTS[2:], restores=1)
    assert directory.is_registered
    assert not directory.unlisted.is_set()


@pytest.mark.sockets
def test_routers_register_again_soon_after_a_restore_and_count_each_other():
    """Guards against routers that stop sharing what they share after a drill."""

    async def check(fleet):
        memory = fleet.store.memory
        earlier = copy.deepcopy(memory.state)
        keys = [ROUTERS_PREFIX + f"front-{number}" for number in (1, 2)]
        async with fleet.open_router("front-2") as second:
            directories = [fleet.routers[0].peers.directory, second.peers.directory]
            await fleet.wait_until(lambda: all(d.peers for d in directories))
            for key in keys:
                earlier.records.pop(key.encode(), None)
            earlier.leases.clear()
            memory.restore(earlier)
            counts = set()
            with anyio.fail_after(5.0):
                while not memory.items.keys() >= set(keys):
                    await anyio.sleep(0.02)
                    counts |= {d.count_routers() for d in directories}
            await anyio.sleep(1.0)
            counts |= {d.count_routers() for d in directories}
        assert counts == {2}

    run_entry(check)
