"""Quotas over the real decision code, in virtual time."""

import pytest
from quota_fleet import (
    LONG,
    SHORT,
    QuotaFleet,
    make_declaration,
)

USUAL = 0.55


def usual(rate):
    return lambda now_s: USUAL * rate


def make_hot(rate, factor=8, from_s=4.0, until_s=1e9):
    """Return the usual rate, and a multiple of it within a time."""

    def compute(now_s):
        return USUAL * rate * (factor if from_s <= now_s < until_s else 1)

    return compute


@pytest.mark.parametrize(
    "count, rate, until_s",
    [(9, 47_000, 30), (9, 400_000, 20), (66, 47_000, 14), (66, 400_000, 10)],
)
def test_a_hot_workspace_stays_within_its_bound_and_uses_its_quota(
    count, rate, until_s
):
    """Load of charging: half of the tokens in long calls, 8 times the usual rate.

    Guards against routers that learn too late of each other's calls, and against a
    control loop that admits less than the quota afterwards.
    """
    fleet = QuotaFleet(count, make_declaration(hot=rate, usual=rate))
    fleet.load("hot", make_hot(rate))
    fleet.load("usual", usual(rate))
    fleet.run(until_s)
    assert fleet.measure_excess("hot", rate) <= 1
    assert fleet.measure_excess("usual", rate) <= 1
    # All that the bucket offers since the hot time began, but for what is kept back.
    offered = rate * (until_s - 4)
    assert fleet.sum_runs("hot", 4, until_s) >= 0.97 * offered
    assert fleet.compute_admitted_share("usual") >= 0.97


def test_long_calls_get_the_same_share_as_short_ones():
    """Load of charging at its smallest quota, 8 times the usual rate for 26 s.

    Guards against a decision that counts the call itself, which would admit long calls
    less often than short ones.
    """
    admitted = dict.fromkeys((LONG, SHORT), 0.0)
    asked = dict.fromkeys((LONG, SHORT), 0.0)
    for seed in range(8):
        fleet = QuotaFleet(9, make_declaration(hot=47_000), seed)
        fleet.load("hot", make_hot(47_000))
        fleet.run(30)
        assert fleet.measure_excess("hot", 47_000) <= 1
        for cost in (LONG, SHORT):
            admitted[cost] += fleet.tallies["hot", cost].admitted
            asked[cost] += fleet.tallies["hot", cost].asked
    long, short = (admitted[cost] / asked[cost] for cost in (LONG, SHORT))
    assert long == pytest.approx(short, rel=0.15)
