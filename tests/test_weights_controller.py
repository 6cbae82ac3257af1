"""The holder of the weights duty beside a store that is restored from a copy."""

import copy

import anyio
import pytest
from entry_fleet import run_entry

from primrosepier.clocks import ManualClock
from primrosepier.forwarding.fleet import Replica
from primrosepier.forwarding.loading_record import LOADING_RECORD_KEY, LoadingRecord
from primrosepier.forwarding.weights import WeightsLoad
from primrosepier.forwarding.weights_controller import (
    WEIGHTS_DUTY,
    WeightsController,
)
from primrosepier.lease_holder import LeaseHolder
from primrosepier.leases import Duty
from primrosepier.mirror import Mirror
from primrosepier.store import Item, MemoryStore, Snapshot


def make_controller(store, host):
    duty = Duty(WEIGHTS_DUTY, host)
    lease_holder = LeaseHolder(store, store.state.clock)
    return WeightsController(
        duty=duty,
        lease_holder=lease_holder,
        store_view=None,
        mirror=Mirror(""),
        weights_client=None,
        log=None,
        clock=store.state.clock,
        weights_s=6.0,
        count_calls=lambda endpoint: 0,
    )


def make_load():
    replica = Replica("w1", "writers", "127.0.0.1:1", "rennes", 4, False, {"m0": 1})
    return WeightsLoad(replica, "m0", 2)


def test_a_former_holder_writes_no_record_under_the_revision_of_a_peer():
    """Guards against orders of two holders whose duty has one revision."""
    store = MemoryStore(ManualClock())
    earlier = copy.deepcopy(store.state)
    former, current = make_controller(store, "a"), make_controller(store, "b")

    async def play():
        assert await former.lease_holder.acquire(former.duty)
        store.restore(earlier)
        assert await current.lease_holder.acquire(current.duty)
        assert current.duty.revision == former.duty.revision
        assert not await former._write_loading_record([make_load()])
        assert await current._write_loading_record([make_load()])

    anyio.run(play)


def test_a_record_with_the_revision_of_one_that_was_lost_is_read():
    """Guards against a peer's loads that are ignored after a drill."""
    controller = make_controller(MemoryStore(ManualClock()), "a")
    for fencing, endpoint, restores in ((1, "w1", 0), (2**24 + 1, "w2", 1)):
        record = f'{{"fencing":{fencing},"endpoints":["{endpoint}"],"load_s":2.0}}'
        item = Item(LOADING_RECORD_KEY, record.encode(), 7)
        snapshot = Snapshot(7, {item.key: item}, restores)
        controller.mirror.apply_snapshot(snapshot, 0.0)
        controller.read_loading_record(controller.mirror)
    assert controller.peer_loading.keys() == {"w2"}
    assert (
        controller.newest_peer_sort_key
        == LoadingRecord(2**24 + 1, ["w2"], 2.0).sort_key
    )


@pytest.mark.sockets
def test_replicas_get_no_number_of_two_holders_over_a_drill():
    """Guards against a late order of the first holder that passes the replicas."""

    async def check(fleet):
        replicas = [fleet.replicas["w1"], fleet.replicas["w2"]]
        memory = fleet.store.memory
        first = fleet.routers[0]
        earlier = copy.deepcopy(memory.state)
        earlier.leases.clear()
        await fleet.wait_until(lambda: first.weights_controller.duty.fencing_number)
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        await fleet.wait_until(lambda: all(x.weights == 2 for x in replicas))
        async with fleet.open_router("front-2") as second:
            first.weights_controller.stopping = True
            fleet.store.faults.status = 503
            memory.restore(earlier)
            fleet.store.put("op/version/m0", {"model": "m0", "version": 3})
            fleet.store.faults.status = 0
            await fleet.wait_until(
                lambda: second.weights_controller.duty.fencing_number
            )
            for name in ("w1", "w2"):
                fleet.register(name)
            await fleet.wait_until(lambda: all(x.weights == 3 for x in replicas))
        for replica in replicas:
            holders = {order["fence"]: order["holder"] for order in replica.orders}
            assert len(holders) == len(replica.orders) == 2

    run_entry(check, weights_s=4.0)
