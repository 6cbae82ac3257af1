"""Calls to the store of routers that have little to do."""

import math
from collections import Counter

import anyio
import pytest
from entry_fleet import run_entry

from primrosepier.forwarding.freshness import (
    compute_batching_delay_s,
    compute_watch_timeout_s,
)
from primrosepier.forwarding.peers import ENTRY_TTL_S, RENEWAL_INTERVAL_S, PeerDirectory
from primrosepier.outcomes import Step
from primrosepier.store import Applied, LeaseGranted, LeaseLost, Unavailable
from primrosepier.virtualtime import run_in_virtual_time

MINUTE_S = 60.0
REVOKE_S, APPLY_S, DRAIN_S = 5.0, 3.0, 2.5
QUIET_S = 12.0


class LeaseStore:
    """Leases in virtual time; some renewals fail after a time.

    Parameters
    ----------
    failing : dict of int to float
        Times after which renewals fail, seconds, by their number.
    """

    def __init__(self, failing):
        self.failing = failing
        self.renewals = self.registrations = 0
        self.expires_at_s = 0.0

    async def grant_lease(self, ttl_s):
        self.expires_at_s = anyio.current_time() + ttl_s
        return LeaseGranted(1, ttl_s)

    async def transact(self, compares, puts):
        self.registrations += 1
        return Applied(1)

    async def keep_alive(self, lease):
        self.renewals += 1
        if self.renewals in self.failing:
            await anyio.sleep(self.failing[self.renewals])
            return Unavailable(Step.HEADERS, "store", "slow")
        if anyio.current_time() >= self.expires_at_s:
            return LeaseLost(lease)
        return await self.grant_lease(ENTRY_TTL_S)


def run_directory(failing):
    """Keep a router registered for a minute."""
    store = LeaseStore(failing)

    async def run():
        with anyio.move_on_after(MINUTE_S):
            await PeerDirectory("front-1", store, "127.0.0.1:1").run()

    run_in_virtual_time(run)
    return store


def test_a_quiet_router_renews_its_entry_twenty_times_a_minute():
    """Guards against calls that are paid for and tell the store nothing new."""
    store = run_directory({})
    assert store.renewals <= 20
    assert store.registrations == 1


@pytest.mark.parametrize("failing", [{5: 1.5}, {5: 0.0, 6: 0.0}, {5: 0.5, 6: 0.1}])
def test_a_failed_renewal_is_repeated_before_the_entry_expires(failing):
    """Guards against routers that lose their entries by one slow or two fast errors."""
    assert run_directory(failing).registrations == 1


@pytest.mark.sockets
def test_the_calls_of_quiet_routers_are_counted_by_kind():
    """Guards against more calls: 4,068 of 66 routers in 50 s were paid for."""

    async def check(fleet):
        async with fleet.open_router("front-2"), fleet.open_router("front-3"):
            await anyio.sleep(3.0)
            fleet.store.calls.clear()
            await anyio.sleep(QUIET_S)
            calls = list(fleet.store.calls)
        routers = 3
        kinds = Counter(path.split("/")[1] for path in calls)
        batching_delay_s = compute_batching_delay_s(APPLY_S, DRAIN_S)
        watch_s = compute_watch_timeout_s(REVOKE_S, batching_delay_s)
        assert kinds["kv-watch"] <= routers * math.ceil(QUIET_S / watch_s)
        assert kinds["kv-range"] <= routers
        assert kinds.keys() <= {"kv-watch", "kv-range", "kv-keep"}
        renewals = Counter(path for path in calls if path.startswith("/kv-keep"))
        # One lease more is that of the weights duty, which the holder renews often.
        (_, of_duty), *entries = renewals.most_common()
        assert len(entries) == routers
        limit = math.ceil(QUIET_S / RENEWAL_INTERVAL_S)
        assert all(count <= limit < of_duty for _, count in entries)

    run_entry(check, revoke_s=REVOKE_S, apply_s=APPLY_S, drain_s=DRAIN_S)
