"""Calls queued at replicas with old weights, over real sockets."""

import contextlib
import time

import anyio
import httpcore
import pytest
from entry_fleet import run_entry

from primrosepier.forwarding.records import CallRepeated, CallWithdrawn
from primrosepier.forwarding.weights import START_MARGIN_S

pytestmark = pytest.mark.sockets
REPLICAS = tuple(f"w{number}" for number in range(1, 9))
OUTDATED = REPLICAS[:6]
CALL_INTERVAL_S = 0.025
ROLLOUT_S = 2.4


class Rollout:
    """Calls to eight replicas while weights are requested that few of them load."""

    def __init__(self, fleet, rollout_s=ROLLOUT_S):
        self.fleet = fleet
        self.rollout_s = rollout_s
        self.requested_at_s = 0.0
        self.responses = {}
        self.repeated = set()
        for router in fleet.routers:
            router.log.observers.append(self.observe)

    def observe(self, event):
        if isinstance(event, CallRepeated):
            self.repeated.add(event.request)

    def request_weights(self, loaded=("w7", "w8")):
        """Request version 2 as an operator; some replicas have it at once."""
        for name in loaded:
            self.fleet.replicas[name].weights = 2
            self.fleet.register(name)
        self.requested_at_s = time.monotonic()
        self.fleet.store.put("op/version/m0", {"model": "m0", "version": 2})

    def set_queue(self, queue_s, names=REPLICAS):
        for name in names:
            self.fleet.replicas[name].faults.queue_s = queue_s

    async def send_calls(self, for_s):
        """Send resumable streams and streams that may run only once, in turns."""
        ends_at_s = time.monotonic() + for_s
        async with anyio.create_task_group() as group:
            while time.monotonic() < ends_at_s:
                group.start_soon(self.send, len(self.responses))
                self.responses[len(self.responses)] = None
                await anyio.sleep(CALL_INTERVAL_S)

    async def send(self, number, router=None):
        kind = "queries" if number % 2 else "notes"
        router = router or self.fleet.routers[number % len(self.fleet.routers)]
        response = await self.fleet.send(
            f"/stream/{kind}/{number}",
            router=router,
            attempt=f"{number:016x}",
            limit_ms=3000,
        )
        self.responses[number] = response

    def list_starts(self, names=REPLICAS):
        return [x for name in names for x in self.fleet.replicas[name].starts]

    def list_lags(self):
        """Return when runs on old weights began, seconds after the request."""
        return sorted(
            start.at_s - self.requested_at_s
            for start in self.list_starts()
            if start.weights == 1
        )

    def list_repeated_runs(self):
        """Return the streams that may run only once and began more than once."""
        call_ids = [start.call_id for start in self.list_starts()]
        return [
            call_id
            for call_id in set(call_ids)
            if int(call_id, 16) % 2 == 0 and call_ids.count(call_id) > 1
        ]

    def list_late(self):
        return [lag_s for lag_s in self.list_lags() if lag_s > self.rollout_s]


def run_rollout(check, routers=1, rollout_s=ROLLOUT_S):
    async def run(fleet):
        async with contextlib.AsyncExitStack() as stack:
            for number in range(2, routers + 1):
                await stack.enter_async_context(fleet.open_router(f"front-{number}"))
            for router in fleet.routers:
                await router.weights_controller.stop(immediately=True)
                replicas = router.store_view.replicas
                await fleet.wait_until(
                    lambda replicas=replicas: (
                        len(replicas.value.list_replicas("writers")) == len(REPLICAS)
                    )
                )
            await check(Rollout(fleet, rollout_s))

    run_entry(run, names=REPLICAS, weights_s=rollout_s, repeat_ratio=1.0)


@pytest.mark.parametrize("queue_s", [1.0, 1.8])
def test_no_call_begins_on_old_weights_too_late_behind_a_long_queue(queue_s):
    async def check(rollout):
        rollout.set_queue(queue_s)
        rollout.request_weights()
        await rollout.send_calls(ROLLOUT_S)
        assert rollout.list_late() == []
        assert rollout.list_repeated_runs() == []

    run_rollout(check, routers=3)


def test_a_call_whose_queue_grows_begins_on_new_weights():
    async def check(rollout):
        async def stall():
            await anyio.sleep(0.7 * ROLLOUT_S)
            rollout.set_queue(1.2, OUTDATED)

        rollout.set_queue(0.02)
        rollout.request_weights()
        async with anyio.create_task_group() as group:
            group.start_soon(stall)
            await rollout.send_calls(ROLLOUT_S)
        assert rollout.list_late() == []
        resumable = [rollout.responses[n] for n in rollout.responses if n % 2]
        assert {response.status for response in resumable} == {200}
        assert all(response.body.count(b"data:") == 3 for response in resumable)
        others = [rollout.responses[n] for n in rollout.responses if not n % 2]
        assert {response.status for response in others} <= {200, 502}
        assert rollout.list_repeated_runs() == []
        new = {start.call_id for start in rollout.list_starts(REPLICAS[6:])}
        assert rollout.repeated
        assert rollout.repeated <= new

    run_rollout(check, routers=2)


def test_a_call_that_is_withdrawn_before_its_connection_is_open_is_served():
    async def check(rollout):
        (router,) = rollout.fleet.routers
        forwarder, withdrawn = router.app.forwarder, []
        router.log.observers.append(
            lambda event: isinstance(event, CallWithdrawn) and withdrawn.append(event)
        )
        outdated = {rollout.fleet.addresses[name] for name in OUTDATED}
        hang_connections(forwarder.sender.client, outdated)
        rollout.request_weights()
        await rollout.fleet.wait_until(lambda: forwarder.withdrawals.deadlines_s)
        (deadline_s,) = forwarder.withdrawals.deadlines_s
        await anyio.sleep(deadline_s - forwarder.clock() - 0.35)
        async with anyio.create_task_group() as group:
            for number in range(0, 2 * len(REPLICAS), 2):
                group.start_soon(rollout.send, number)
        assert len(withdrawn) == len(OUTDATED)
        statuses = {response.status for response in rollout.responses.values()}
        assert statuses == {200}
        assert rollout.list_repeated_runs() == []

    run_rollout(check)


def hang_connections(client, addresses):
    """Let new connections to some addresses wait until their time-out."""
    connect = client._connect

    async def connect_or_hang(address, connect_s):
        if address in addresses:
            await anyio.sleep(connect_s)
            raise httpcore.ConnectTimeout(address)
        return await connect(address, connect_s)

    client._connect = connect_or_hang


def test_replicas_with_old_weights_and_short_queues_are_used_until_the_end():
    async def check(rollout):
        rollout.set_queue(0.02)
        rollout.request_weights(loaded=())
        await rollout.send_calls(rollout.rollout_s)
        (router,) = rollout.fleet.routers
        forecasts = router.app.forwarder.forecasts
        usable_s = rollout.rollout_s - START_MARGIN_S
        usable_s -= min(map(forecasts.forecast_wait_s, REPLICAS))
        assert rollout.list_lags()[-1] > usable_s - 2 * CALL_INTERVAL_S
        assert rollout.list_late() == []

    run_rollout(check, rollout_s=3.2)


def test_a_router_without_calls_at_a_replica_knows_how_long_those_of_others_wait():
    async def check(rollout):
        first, second = rollout.fleet.routers
        forecasts = second.app.forwarder.forecasts

        def list_known():
            return {name for name in REPLICAS if forecasts.forecast_wait_s(name) > 0.3}

        await rollout.fleet.wait_until(lambda: first.peers.directory.peers)
        await rollout.fleet.wait_until(lambda: second.peers.directory.peers)
        rollout.set_queue(1.2)
        rollout.request_weights()
        async with anyio.create_task_group() as group:
            for number in range(len(REPLICAS)):
                group.start_soon(rollout.send, 2 * number + 1, first)
            await rollout.fleet.wait_until(lambda: list_known() == set(OUTDATED), 2.0)

    run_rollout(check, routers=2)


def test_a_router_that_has_just_started_serves_calls_while_only_old_weights_are_left():
    async def check(rollout):
        (router,) = rollout.fleet.routers
        await rollout.fleet.wait_until(lambda: router.peers.directory.is_registered)
        rollout.request_weights(loaded=())
        await rollout.fleet.wait_until(router.app.forwarder.withdrawals.list_deadlines)
        async with rollout.fleet.open_router("front-2") as started:
            await rollout.fleet.wait_until(
                lambda: (
                    started.store_view.declaration.value is not None
                    and started.store_view.replicas.value.by_service
                )
            )
            async with anyio.create_task_group() as group:
                for number in range(8):
                    group.start_soon(rollout.send, number, started)
        statuses = {response.status for response in rollout.responses.values()}
        assert statuses == {200}
        call_ids = [start.call_id for start in rollout.list_starts()]
        assert len(call_ids) == len(set(call_ids)) == len(rollout.responses)

    run_rollout(check, rollout_s=6.0)


def test_weights_count_as_loaded_however_the_router_learns_of_them():
    async def check(rollout):
        (router,) = rollout.fleet.routers
        forwarder = router.app.forwarder
        replicas = {
            replica.id: replica
            for replica in router.store_view.replicas.value.list_replicas("writers")
        }

        def list_outdated(model=""):
            compute_lag_s = forwarder.withdrawals.compute_lag_s
            return {
                name
                for name, replica in replicas.items()
                if compute_lag_s(replica, model) is not None
            }

        rollout.request_weights(loaded=())
        await rollout.fleet.wait_until(list_outdated)
        assert list_outdated() == list_outdated("m0") == set(REPLICAS)
        forwarder.loads.get_or_create("w1").weights = 2
        router.weights_controller.loaded_versions["w2", "m0"] = 2
        rollout.fleet.replicas["w3"].weights = 2
        rollout.fleet.register("w3")
        await rollout.fleet.wait_until(lambda: "w3" not in list_outdated())
        assert list_outdated() == set(REPLICAS) - {"w1", "w2", "w3"}

    run_rollout(check)
