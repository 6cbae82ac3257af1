"""Fleet membership and planning of weights loads, without a network."""

import pytest

from primrosepier.forwarding.fleet import Fleet, Replica
from primrosepier.forwarding.store_view import RequestedWeights, WeightsHistory
from primrosepier.forwarding.weights import (
    PLANNED_SHARE,
    RolloutTiming,
    compute_lag_s,
    compute_max_concurrent_loads,
    plan_weights_loads,
)

RENEWAL_INTERVAL_S = 1.2


def make_replica(name, service="writers", weights=1, **changes):
    weights = {"m0": weights}
    address = f"10.0.0.{name[-1]}:1"
    return Replica(name, service, address, "rennes", weights=weights, **changes)


def make_replicas(count):
    return [make_replica(f"r{number}") for number in range(count)]


def list_ids(fleet, now_s):
    return [r.id for r in fleet.make_list(now_s).list_replicas("writers")]


def test_entry_that_expires_in_a_store_outage_is_kept_for_the_grace_period():
    fleet = Fleet()
    fleet.record_contact(True, 0.0)
    fleet.replace(make_replicas(2), 0.0)
    fleet.record_contact(False, 1.0)
    fleet.record_contact(True, 6.0)
    fleet.replace(make_replicas(1), 6.0)
    assert list_ids(fleet, 7.9) == ["r0", "r1"]
    assert list_ids(fleet, 8.1) == ["r0"]


def test_entry_removed_while_connected_is_dropped_at_once():
    fleet = Fleet()
    fleet.record_contact(True, 0.0)
    fleet.replace(make_replicas(2), 0.0)
    fleet.replace(make_replicas(1), 5.0)
    assert list_ids(fleet, 5.0) == ["r0"]


def test_entry_removed_while_a_router_reconnects_is_dropped_at_once():
    """Guards against calls to a replica that has left, after a reset connection."""
    fleet = Fleet(renewal_interval_s=RENEWAL_INTERVAL_S)
    fleet.record_contact(True, 0.0)
    fleet.replace(make_replicas(2), 0.0)
    fleet.record_contact(False, 2.0)
    fleet.record_contact(True, 2.1)
    fleet.replace(make_replicas(1), 2.1)
    assert list_ids(fleet, 2.1) == ["r0"]


@pytest.mark.parametrize("contact_s", [0.1, 1.0])
def test_entry_that_expires_between_short_contacts_is_kept(contact_s):
    fleet = Fleet(renewal_interval_s=RENEWAL_INTERVAL_S)
    fleet.record_contact(True, 0.0)
    fleet.replace(make_replicas(2), 0.0)
    fleet.record_contact(False, 0.1)
    fleet.record_contact(True, 2.0)
    fleet.record_contact(True, 2.0 + contact_s)
    fleet.record_contact(False, 2.1 + contact_s)
    fleet.record_contact(True, 4.0)
    fleet.replace(make_replicas(1), 4.0)
    assert list_ids(fleet, 5.9) == ["r0", "r1"]
    assert list_ids(fleet, 6.1) == ["r0"]


def test_missing_entries_are_dropped_when_draining_or_replaced():
    fleet = Fleet()
    fleet.replace([make_replica("r0"), make_replica("r1", draining=True)], 0.0)
    assert list_ids(fleet, 0.0) == ["r0"]
    fleet.record_contact(False, 1.0)
    other = make_replica("x0", service="app")
    fleet.replace([other], 1.0)
    assert list_ids(fleet, 1.0) == []


def make_history(*requested):
    return WeightsHistory(tuple(RequestedWeights(*weights) for weights in requested))


def test_lag_counts_from_the_oldest_missing_weights():
    requested_weights = {"m0": make_history((2, 10.0), (3, 14.0))}
    old, newer, newest = (make_replica("r0", weights=w) for w in (1, 2, 3))
    assert compute_lag_s(old, None, requested_weights, 15.0) == 5.0
    assert compute_lag_s(newer, None, requested_weights, 15.0) == 1.0
    assert compute_lag_s(newest, None, requested_weights, 15.0) is None
    assert compute_lag_s(old, 3, requested_weights, 15.0) is None


def test_lag_is_infinite_after_a_router_start():
    requested_weights = {"m0": make_history((2, float("-inf")))}
    assert compute_lag_s(make_replica("r0"), None, requested_weights, 1.0) == float(
        "inf"
    )


def test_more_replicas_load_at_once_when_time_is_short():
    def count(replicas, remaining_s):
        lag_s = PLANNED_SHARE * 100.0 - remaining_s
        return compute_max_concurrent_loads(
            replicas, [lag_s] * replicas, RolloutTiming(0.0, 100.0, 2.0)
        )

    assert count(9, remaining_s=60.0) == 3
    assert count(9, remaining_s=4.0) == 5
    assert count(9, remaining_s=0.0) == 6
    assert count(1, remaining_s=0.0) == 1


def test_just_requested_weights_neither_raise_the_limit_nor_go_first():
    requested_weights = {"m0": make_history((2, 0.0), (3, 5.0))}
    replicas = [make_replica(f"r{n}", weights=2 if n < 6 else 1) for n in range(9)]
    loads = plan(replicas, requested_weights, now_s=5.2)
    assert len(loads) == 3
    late = plan(replicas, requested_weights, now_s=7.0)
    assert {load.replica.id for load in late[:3]} == {"r6", "r7", "r8"}


def plan(replicas, requested_weights, loading=(), now_s=0.0):
    timing = RolloutTiming(now_s, weights_s=12.0, load_s=1.5)
    return plan_weights_loads(
        replicas, requested_weights, loading, timing, lambda endpoint: 0
    )


def test_rollout_reaches_every_replica_and_keeps_some_serving():
    replicas = {r.id: r for r in make_replicas(9)}
    requested_weights = {"m0": make_history((2, 0.0))}
    rounds = 0
    while loads := plan(list(replicas.values()), requested_weights):
        assert len(loads) <= 6
        for load in loads:
            replicas[load.replica.id] = make_replica(load.replica.id, weights=2)
        rounds += 1
    assert rounds <= 3
    assert all(r.weights["m0"] == 2 for r in replicas.values())


@pytest.mark.parametrize(("unreachable", "expected"), [(0, 3), (2, 3), (3, 2), (8, 1)])
def test_unreachable_replicas_do_not_hold_up_a_rollout(unreachable, expected):
    requested_weights = {"m0": make_history((2, 0.0))}
    replicas = make_replicas(9)
    lost = {replica.id for replica in replicas[:unreachable]}
    timing = RolloutTiming(0.0, weights_s=12.0, load_s=1.5)
    loads = plan_weights_loads(
        replicas, requested_weights, (), timing, lambda endpoint: 0, lost
    )
    assert len(loads) == expected
    assert not {load.replica.id for load in loads} & lost


def test_loading_replicas_that_become_unreachable_still_count_as_loading():
    requested_weights = {"m0": make_history((2, 0.0))}
    loading = ("r0", "r1", "r2")
    timing = RolloutTiming(0.0, weights_s=12.0, load_s=1.5)
    for unreachable in ((), loading, ("r0", "r8")):
        loads = plan_weights_loads(
            make_replicas(9),
            requested_weights,
            loading,
            timing,
            lambda endpoint: 0,
            unreachable,
        )
        assert loads == []


def test_loading_replicas_count_against_the_limit():
    requested_weights = {"m0": make_history((2, 0.0))}
    replicas = make_replicas(6)
    first = plan(replicas, requested_weights)
    again = plan(replicas, requested_weights, [load.replica.id for load in first])
    assert not {load.replica.id for load in first} & {load.replica.id for load in again}
    assert len(first) + len(again) <= 4
