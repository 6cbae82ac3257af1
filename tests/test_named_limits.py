"""Limits that engines name in their answers, kept by routers in virtual time."""

import anyio
import pytest
from crash_cluster import BRIEFS, TAGS, CrashCluster

from primrosepier.outcomes import Completed
from primrosepier.virtualtime import run_in_virtual_time

WINDOW_S = 4.0
STABLE_S = 3.0
NAMED_AT_S = 4.0
ENDS_AT_S = 24.0


def list_arrivals(cluster, engine):
    return sorted(
        at_s
        for call in cluster.calls
        for at_s, name in call.arrivals
        if name == cluster.engines[engine].id
    )


def count_most(arrivals, from_s):
    """Return the most arrivals in any window that begins after a time."""
    after = [at_s for at_s in arrivals if at_s >= from_s]
    counts = [sum(1 for x in after if at_s <= x < at_s + WINDOW_S) for at_s in after]
    return max(counts, default=0)


def name_limits(cluster, engines, rate_per_s, lifted_at_s=ENDS_AT_S):
    async def set_limits():
        await anyio.sleep(NAMED_AT_S)
        cluster.limits = dict.fromkeys(engines, rate_per_s)
        await anyio.sleep(lifted_at_s - NAMED_AT_S)
        cluster.limits = {}

    return set_limits


def compute_served(cluster, from_s, to_s):
    calls = [call for call in cluster.calls if from_s <= call.sent_at_s < to_s]
    return sum(isinstance(call.outcome, Completed) for call in calls) / len(calls)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("rate_per_s", [0.5, 3.3])
def test_engines_do_not_get_more_than_the_limit_that_they_name(rate_per_s, seed):
    cluster = CrashCluster(seed)
    run_in_virtual_time(
        cluster.run, ENDS_AT_S, name_limits(cluster, [0, 1], rate_per_s)
    )
    from_s = NAMED_AT_S + STABLE_S
    for engine in (0, 1):
        arrivals = list_arrivals(cluster, engine)
        assert count_most(arrivals, from_s) <= 1.5 * rate_per_s * WINDOW_S + 5
        used = sum(1 for at_s in arrivals if from_s <= at_s < ENDS_AT_S)
        assert used >= 0.5 * rate_per_s * (ENDS_AT_S - from_s)
    assert compute_served(cluster, from_s, ENDS_AT_S - 4.0) >= 0.99


def test_calls_that_no_engine_has_room_for_are_refused_at_once():
    cluster = CrashCluster(3, kinds=(TAGS, BRIEFS))
    run_in_virtual_time(cluster.run, ENDS_AT_S, name_limits(cluster, range(6), 2.0))
    refused = [
        call
        for call in cluster.calls
        if call.sent_at_s >= NAMED_AT_S + STABLE_S
        and not isinstance(call.outcome, Completed)
    ]
    assert len(refused) >= 300
    assert all(call.outcome.retry_after_s > 0 for call in refused)
    assert all(call.ended_at_s - call.sent_at_s <= 0.2 for call in refused)


def test_calls_return_to_an_engine_that_no_longer_names_a_limit():
    cluster = CrashCluster(4)
    run_in_virtual_time(
        cluster.run, ENDS_AT_S, name_limits(cluster, [0, 1], 2.0, lifted_at_s=14.0)
    )
    before = [x for x in list_arrivals(cluster, 0) if 9.0 <= x < 14.0]
    after = [x for x in list_arrivals(cluster, 0) if 18.0 <= x < 23.0]
    assert len(before) <= 15
    assert len(after) >= 25
