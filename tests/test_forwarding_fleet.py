"""Replicas and their weights, decided without a network."""

from primrosepier.forwarding.fleet import Fleet, Replica
from primrosepier.forwarding.store_view import NamedWeights, WeightsGoal
from primrosepier.forwarding.weights import (
    PLANNED_SHARE,
    Pace,
    compute_lag_s,
    count_loads_at_once,
    plan_loads,
)


def make_replica(name, service="writers", weights=1, **changes):
    weights = {"m0": weights}
    address = f"10.0.0.{name[-1]}:1"
    return Replica(name, service, address, "rennes", weights=weights, **changes)


def make_replicas(count):
    return [make_replica(f"r{number}") for number in range(count)]


def list_ids(fleet, now_s):
    return [r.id for r in fleet.make_list(now_s).list_replicas("writers")]


def test_an_entry_that_lapses_in_an_outage_stays_until_it_had_time_to_come_back():
    fleet = Fleet()
    fleet.note_contact(True, 0.0)
    fleet.replace(make_replicas(2), 0.0)
    fleet.note_contact(False, 1.0)
    fleet.note_contact(True, 6.0)
    fleet.replace(make_replicas(1), 6.0)
    assert list_ids(fleet, 7.9) == ["r0", "r1"]
    assert list_ids(fleet, 8.1) == ["r0"]


def test_an_entry_that_goes_while_the_store_is_sound_is_gone_at_once():
    fleet = Fleet()
    fleet.note_contact(True, 0.0)
    fleet.replace(make_replicas(2), 0.0)
    fleet.replace(make_replicas(1), 5.0)
    assert list_ids(fleet, 5.0) == ["r0"]


def test_a_draining_replica_is_not_kept_and_an_address_is_not_used_twice():
    fleet = Fleet()
    fleet.replace([make_replica("r0"), make_replica("r1", draining=True)], 0.0)
    assert list_ids(fleet, 0.0) == ["r0"]
    fleet.note_contact(False, 1.0)
    other = make_replica("x0", service="app")
    fleet.replace([other], 1.0)
    assert list_ids(fleet, 1.0) == []


def make_goal(*steps):
    return WeightsGoal(tuple(NamedWeights(*step) for step in steps))


def test_the_age_of_weights_counts_from_the_oldest_that_is_missing():
    goals = {"m0": make_goal((2, 10.0), (3, 14.0))}
    old, newer, newest = (make_replica("r0", weights=w) for w in (1, 2, 3))
    assert compute_lag_s(old, None, goals, 15.0) == 5.0
    assert compute_lag_s(newer, None, goals, 15.0) == 1.0
    assert compute_lag_s(newest, None, goals, 15.0) is None
    assert compute_lag_s(old, 3, goals, 15.0) is None


def test_weights_that_a_new_router_finds_may_have_been_named_long_ago():
    goals = {"m0": make_goal((2, float("-inf")))}
    assert compute_lag_s(make_replica("r0"), None, goals, 1.0) == float("inf")


def test_a_third_loads_at_once_and_more_when_time_is_short():
    def count(replicas, left_s):
        lag_s = PLANNED_SHARE * 100.0 - left_s
        return count_loads_at_once(replicas, [lag_s] * replicas, Pace(0.0, 100.0, 2.0))

    assert count(9, left_s=60.0) == 3
    assert count(9, left_s=4.0) == 5
    assert count(9, left_s=0.0) == 6
    assert count(1, left_s=0.0) == 1


def test_weights_named_just_now_hurry_only_what_lacks_older_ones():
    goals = {"m0": make_goal((2, 0.0), (3, 5.0))}
    replicas = [make_replica(f"r{n}", weights=2 if n < 6 else 1) for n in range(9)]
    loads = plan(replicas, goals, now_s=5.2)
    assert len(loads) == 3
    late = plan(replicas, goals, now_s=7.0)
    assert {load.replica.id for load in late[:3]} == {"r6", "r7", "r8"}


def plan(replicas, goals, loading=(), now_s=0.0):
    pace = Pace(now_s, weights_s=12.0, load_s=1.5)
    return plan_loads(replicas, goals, loading, pace, lambda endpoint: 0)


def test_a_rollout_reaches_every_replica_and_never_takes_all():
    replicas = {r.id: r for r in make_replicas(9)}
    goals = {"m0": make_goal((2, 0.0))}
    rounds = 0
    while loads := plan(list(replicas.values()), goals):
        assert len(loads) <= 6
        for load in loads:
            replicas[load.replica.id] = make_replica(load.replica.id, weights=2)
        rounds += 1
    assert rounds <= 3
    assert all(r.weights["m0"] == 2 for r in replicas.values())


def test_replicas_that_cannot_be_reached_count_as_those_that_load():
    goals = {"m0": make_goal((2, 0.0))}
    replicas = make_replicas(9)
    pace = Pace(0.0, weights_s=12.0, load_s=1.5)
    loads = plan_loads(replicas, goals, (), pace, lambda name: 0, {"r0", "r1"})
    assert len(loads) == 1
    assert not {load.replica.id for load in loads} & {"r0", "r1"}


def test_replicas_that_load_count_against_the_room():
    goals = {"m0": make_goal((2, 0.0))}
    replicas = make_replicas(6)
    first = plan(replicas, goals)
    again = plan(replicas, goals, [load.replica.id for load in first])
    assert not {load.replica.id for load in first} & {load.replica.id for load in again}
    assert len(first) + len(again) <= 4
