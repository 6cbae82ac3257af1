"""Decisions on what callers' connections may hold, without a network."""

import math

import pytest
from hypothesis import given, settings, strategies as st

from primrosepier.caller_limits import (
    CallerBudget,
    Limit,
    compute_limit_bytes,
    compute_max_connections,
)
from primrosepier.clocks import ManualClock

MIB = 1024 * 1024


class Connection:
    def __init__(self, budget, size=10):
        self.budget, self.held_bytes, self.limits = budget, 0, []
        budget.open(self, size)

    def abort_for(self, limit):
        self.limits.append(limit)


def test_the_largest_connection_that_waits_for_its_caller_is_closed_first():
    """Guards against calls that end while idle or unread connections hold more."""
    budget = CallerBudget(limit_bytes=1000)
    running, small, large = (Connection(budget) for _ in range(3))
    budget.record_waiting(running, False)
    budget.record_held(running, 600)
    budget.record_held(small, 100)
    budget.record_held(large, 400)
    assert (running.limits, small.limits, large.limits) == ([], [], [Limit.MEMORY])
    assert budget.held_bytes == 700


def test_the_connection_that_waited_longest_makes_room_for_a_new_one():
    """Guards against idle connections that keep out ordinary callers."""
    budget = CallerBudget(max_connections=3)
    first, second, third = (Connection(budget) for _ in range(3))
    budget.record_waiting(first, False)
    assert not Connection(budget).limits
    assert second.limits == [Limit.CONNECTIONS]
    assert not first.limits + third.limits


def test_a_new_connection_is_closed_when_all_others_have_calls_that_run():
    budget = CallerBudget(max_connections=2)
    running = [Connection(budget) for _ in range(2)]
    for connection in running:
        budget.record_waiting(connection, False)
    late = Connection(budget)
    assert late.limits == [Limit.CONNECTIONS]
    assert not any(connection.limits for connection in running)
    assert budget.held_bytes == 20


STEPS = st.tuples(
    st.sampled_from(["open", "close", "hold", "wait", "run"]),
    st.integers(0, 20),
    st.integers(0, 500),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEPS, max_size=80))
def test_the_budget_is_kept_and_adds_up(steps):
    """Guards against bytes that are charged twice, or never released."""
    budget = CallerBudget(limit_bytes=1000, max_connections=8)
    connections = []
    for name, index, size in steps:
        if name == "open":
            connections.append(Connection(budget, size))
        elif connections:
            connection = connections[index % len(connections)]
            if name == "close":
                budget.close(connection)
            elif name == "hold":
                budget.record_held(connection, size)
            else:
                budget.record_waiting(connection, name == "wait")
        assert budget.held_bytes == sum(x.held_bytes for x in connections)
        assert budget.held_bytes <= 1000
        assert len(budget.holders) <= 8
        assert set(budget.waiting) <= set(budget.holders)
    assert sum(budget.counts.values()) == sum(len(x.limits) for x in connections)


def test_a_flood_of_closed_connections_is_logged_once_a_second_and_in_full():
    """Guards against abusive callers that fill the log."""
    clock, events = ManualClock(), []
    budget = CallerBudget(clock=clock, notify=events.append)
    for _ in range(100):
        budget.count(Limit.FRAMING)
    clock.advance(1.0)
    budget.count(Limit.FRAMING)
    assert [(event.reason, event.count) for event in events] == [
        ("framing", 1),
        ("framing", 100),
    ]


@pytest.mark.parametrize(
    ("memory_mb", "limit_mb"), [(100, 34), (160, 88), (552, 440.8), (20, 2.5)]
)
def test_the_budget_leaves_memory_for_the_router(memory_mb, limit_mb):
    assert compute_limit_bytes(memory_mb * MIB) == pytest.approx(limit_mb * MIB)


@pytest.mark.parametrize(
    ("max_fds", "connections"), [(1638, 694), (10250, 5000), (64, 8), (math.inf,) * 2]
)
def test_half_of_the_descriptors_remain_for_replicas(max_fds, connections):
    assert compute_max_connections(max_fds) == connections
