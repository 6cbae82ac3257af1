"""Replicas that say that they are brittle, before routers in virtual time."""

import functools

import anyio
import pytest
from brittle_cluster import BRITTLE_AT_S, STABLE_S, BrittleCluster, make_kind

from primrosepier.endpoint_windows import Brittleness
from primrosepier.outcomes import Completed
from primrosepier.virtualtime import run_in_virtual_time

REPLICAS = 10
MAX_FALLS = 2 + REPLICAS // 10
# Routers learn of the lessened room, and replicas work off what waits, seconds.
SETTLING_S = 1.0
FROM_S = BRITTLE_AT_S + STABLE_S + SETTLING_S
UNTIL_S = FROM_S + 4.0


@functools.cache
def play(load, tolerated, routers=3, duration_s=UNTIL_S):
    cluster = BrittleCluster(1, (), routers, REPLICAS)
    cluster.kinds = (make_kind(load * cluster.room_per_s),)
    brittle = cluster.become_brittle(tolerated, UNTIL_S)
    run_in_virtual_time(cluster.run, duration_s, brittle)
    return cluster


@pytest.mark.parametrize(
    "load, tolerated, routers",
    [(0.9, 8, 3), (0.9, 30, 3), (1.3, 8, 3), (1.3, 30, 3), (1.3, 8, 62)],
)
def test_brittle_replicas_do_not_fall_over_and_their_room_is_used(
    load, tolerated, routers
):
    cluster = play(load, tolerated, routers)
    sent = len(cluster.list_calls(FROM_S, UNTIL_S))
    room = cluster.room_per_s * (UNTIL_S - FROM_S)
    assert cluster.count_falls() <= MAX_FALLS
    assert cluster.count_served(FROM_S, UNTIL_S) >= 0.9 * min(sent, room)


def test_calls_beyond_the_room_of_brittle_replicas_are_refused_at_once():
    calls = play(1.3, 8).list_calls(FROM_S, UNTIL_S)
    refused = [call for call in calls if not isinstance(call.outcome, Completed)]
    assert len(refused) >= 0.1 * len(calls)
    assert all(getattr(call.outcome, "retry_after_s", 0) > 0 for call in refused)
    assert all(call.ended_at_s - call.sent_at_s <= 0.1 for call in refused)


def test_the_whole_room_is_used_when_replicas_are_no_longer_brittle():
    cluster = play(1.3, 30, duration_s=UNTIL_S + 4.0)
    from_s = UNTIL_S + 2.0
    assert cluster.count_ended(from_s, from_s + 2.0) >= 0.95 * cluster.room_per_s * 2.0
    assert cluster.count_falls() <= MAX_FALLS


def test_many_routers_learn_of_each_brittle_replica_before_it_falls_over():
    cluster = BrittleCluster(1, (), 62, REPLICAS)
    cluster.network.loss = 0.0

    async def check():
        await anyio.sleep(1.0)
        routers = [x.router.app.forwarder for x in cluster.routers.values()]
        for engine in cluster.engines[:3]:
            windows = routers[0].notices.permits.windows
            windows.record_answer(engine.id, Brittleness(8.0, 4), anyio.current_time())
            routers[0].loads.changed.set()
            await anyio.sleep(0.03)
            assert all(
                x.notices.permits.windows.get_brittleness(engine.id) for x in routers
            )

    run_in_virtual_time(cluster.run, 0.0, check)
