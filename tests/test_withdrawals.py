"""Withdrawal of calls that wait at replicas with old weights, in virtual time."""

import anyio
import pytest

from primrosepier.forwarding.fleet import Replica
from primrosepier.forwarding.withdrawals import Withdrawals
from primrosepier.virtualtime import run_in_virtual_time

MAX_LAG_S = 5.7


class Weights:
    """Requested weights, and withdrawals that depend on them."""

    def __init__(self):
        self.requested_at_s = None
        self.loaded = set()
        self.checks = 0
        self.withdrawals = Withdrawals(
            self.compute_lag_s, MAX_LAG_S, self.list_deadlines, anyio.current_time
        )

    def compute_lag_s(self, replica, model):
        self.checks += 1
        if self.requested_at_s is None or replica.id in self.loaded:
            return None
        return anyio.current_time() - self.requested_at_s

    def list_deadlines(self):
        if self.requested_at_s is None:
            return []
        return [self.requested_at_s + MAX_LAG_S]

    def request(self, age_s=0.0):
        self.requested_at_s = anyio.current_time() - age_s
        self.withdrawals.update_deadlines()

    async def send(self, ended, name="w1", duration_s=60.0, begins=False):
        """Wait at a replica; tell when the wait ended and whether by withdrawal."""
        replica = Replica(name, "writers", "10.0.0.1:1", "rennes")
        with self.withdrawals.watch(replica, "m0") as waiting:
            if begins:
                self.withdrawals.record_begun(waiting)
            await anyio.sleep(duration_s)
        ended[name] = (anyio.current_time(), waiting.is_withdrawn)


def run_weights(check):
    async def run():
        weights = Weights()
        async with anyio.create_task_group() as group:
            group.start_soon(weights.withdrawals.run)
            await anyio.wait_all_tasks_blocked()
            await check(weights, group)
            assert not weights.withdrawals.waiting
            group.cancel_scope.cancel()

    run_in_virtual_time(run)


def test_a_call_that_has_not_begun_is_withdrawn_when_its_weights_become_too_old():
    async def check(weights, group):
        ended = {}
        group.start_soon(weights.send, ended)
        await anyio.sleep(1.0)
        weights.request()
        requested_at_s = weights.requested_at_s
        await anyio.sleep(MAX_LAG_S - 0.1)
        assert not ended
        await anyio.sleep(0.2)
        ended_at_s, is_withdrawn = ended["w1"]
        assert is_withdrawn
        assert ended_at_s - requested_at_s == pytest.approx(MAX_LAG_S, abs=0.01)

    run_weights(check)


def test_calls_that_have_begun_and_calls_on_new_weights_are_not_withdrawn():
    async def check(weights, group):
        ended = {}
        weights.request()
        group.start_soon(weights.send, ended, "w1", 60.0, True)
        group.start_soon(weights.send, ended, "w2")
        group.start_soon(weights.send, ended, "w3", 1.0)
        await anyio.sleep(5.0)
        weights.loaded.add("w2")
        await anyio.sleep(60.0)
        assert [ended[name][1] for name in ("w1", "w2", "w3")] == [False] * 3

    run_weights(check)


def test_weights_that_become_known_late_withdraw_calls_at_once():
    async def check(weights, group):
        ended = {}
        group.start_soon(weights.send, ended)
        await anyio.sleep(1.0)
        weights.request(age_s=MAX_LAG_S + 1.0)
        await anyio.sleep(0.01)
        assert ended["w1"][1]
        group.start_soon(weights.send, ended, "w2")
        await anyio.sleep(0.01)
        assert ended["w2"][1]

    run_weights(check)


def test_withdrawals_wait_without_waking_while_no_weights_are_requested():
    async def check(weights, group):
        ended = {}
        group.start_soon(weights.send, ended)
        for _ in range(60):
            await anyio.sleep(1.0)
            weights.withdrawals.update_deadlines()
        await anyio.sleep(1.0)
        assert not ended["w1"][1]
        assert weights.checks == 1

    run_weights(check)
