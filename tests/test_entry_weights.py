"""Rollout of weights by routers over real sockets."""

from dataclasses import replace

import anyio
import pytest
from entry_fleet import run_entry
from ports import find_free_port

pytestmark = pytest.mark.sockets


def test_peers_learn_of_weights_loads_before_the_store_shows_them():
    async def check(fleet):
        (holder,) = fleet.routers
        await fleet.wait_until(lambda: holder.weights_controller.duty.fencing_number)
        async with fleet.open_router("front-2") as other:
            await fleet.wait_until(lambda: holder.peers.directory.peers)
            await fleet.wait_until(lambda: other.peers.directory.peers)
            fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
            await fleet.wait_until(lambda: holder.weights_controller.loading)
            with anyio.fail_after(0.25):
                while not other.weights_controller.list_loading():
                    await anyio.sleep(0.01)
            await fleet.wait_until(lambda: not holder.weights_controller.list_loading())
            await fleet.wait_until(
                lambda: not other.weights_controller.list_loading(), 0.5
            )

    run_entry(check, apply_s=8.0, drain_s=8.0)


def test_one_holder_orders_all_loads():
    async def check(fleet):
        async with fleet.open_router("front-2"):
            fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
            writers = [fleet.replicas["w1"], fleet.replicas["w2"]]
            await fleet.wait_until(lambda: all(w.weights == 2 for w in writers))
        holders = {order["holder"] for w in writers for order in w.orders}
        assert len(holders) == 1
        assert all(len(w.orders) == 1 for w in writers)

    run_entry(check, weights_s=4.0)


def test_order_with_a_lost_response_is_not_repeated():
    async def check(fleet):
        writers = [fleet.replicas["w1"], fleet.replicas["w2"]]
        for writer in writers:
            writer.faults.lose_orders = 1
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        await fleet.wait_until(lambda: all(w.weights == 2 for w in writers))
        await anyio.sleep(0.8)
        assert all(len(w.orders) == 1 for w in writers)

    run_entry(check, weights_s=4.0)


def test_duty_moves_to_another_router_when_the_holder_stops():
    async def check(fleet):
        first = fleet.routers[0]
        await fleet.wait_until(lambda: first.weights_controller.duty.fencing_number)
        first_number = first.weights_controller.duty.fencing_number
        async with fleet.open_router("front-2") as second:
            await first.weights_controller.stop(immediately=True)
            await fleet.wait_until(
                lambda: second.weights_controller.duty.fencing_number
            )
            second_number = second.weights_controller.duty.fencing_number
            assert second_number == first_number + 1
            await anyio.sleep(0.5)
            assert not first.weights_controller.duty.fencing_number

    run_entry(check)


def test_a_router_that_has_just_started_does_not_delay_a_rollout():
    writers = tuple(f"w{number}" for number in range(1, 7))

    async def check(fleet):
        (other,) = fleet.routers
        duty = other.weights_controller.duty
        # It acquires a free duty 0.7 s after the router that starts again would.
        duty.bounds = replace(duty.bounds, rank_s=0.1)
        async with fleet.open_router("front-6") as holder:
            await other.weights_controller.stop(immediately=True)
            await fleet.wait_until(
                lambda: holder.weights_controller.duty.fencing_number
            )
            other.weights_controller.stopping = False
            fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
            await fleet.wait_until(lambda: holder.weights_controller.loading)
            await fleet.wait_until(lambda: other.weights_controller.peer_loading)
        await anyio.sleep(0.5)
        replicas = [fleet.replicas[name] for name in writers]
        assert not any(replica.orders for replica in replicas)
        async with fleet.open_router("front-6"):
            await fleet.wait_until(lambda: any(replica.orders for replica in replicas))
        orders = [order for replica in replicas for order in replica.orders]
        assert {order["holder"] for order in orders} == {"front-1"}

    run_entry(check, names=writers, apply_s=0.2, weights_s=8.0, holder_gap_s=2.5)


def test_replicas_that_do_not_answer_do_not_hold_up_a_rollout():
    writers = tuple(f"w{number}" for number in range(1, 7))
    silent, others = writers[:4], writers[4:]

    async def check(fleet):
        (holder,) = fleet.routers
        await fleet.wait_until(lambda: holder.weights_controller.duty.fencing_number)
        for name in silent:
            fleet.addresses[name] = f"127.0.0.1:{find_free_port()}"
            fleet.register(name)
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        replicas = [fleet.replicas[name] for name in others]
        await fleet.wait_until(lambda: all(x.weights == 2 for x in replicas), 3.0)

    run_entry(check, names=writers, weights_s=6.0)
