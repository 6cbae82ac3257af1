"""Balance of work between replicas of different speed, in virtual time."""

import pytest
from speed_cluster import SpeedCluster, make_fixed_slowness


def report_alternating(index, now_s):
    """Return figures that change faster than any router hears of them."""
    return 0.5 if int(now_s / 0.3 + index) % 2 else 3.0


@pytest.mark.parametrize(
    ("compute_slowness", "compute_figure"),
    [(make_fixed_slowness(), None), (lambda index, now_s: 1.0, report_alternating)],
    ids=["a third takes twice as long", "alike with alternating figures"],
)
def test_work_is_balanced_by_speed(compute_slowness, compute_figure):
    """Load of harvest without shared prefixes, on 24 replicas half of which are busy.

    66 routers report every 3 s. Guards against slow replicas that get as many tokens as
    others (1.28 times the mean work without speeds), and against figures that make the
    calls of all routers go back and forth.
    """
    cluster = SpeedCluster(
        1,
        compute_slowness,
        long_per_s=0.0,
        short_per_s=500.0,
        short_tokens=3_720,
        report_interval_s=3.0,
        warmup_s=6.0,
        compute_figure=compute_figure,
    )
    assert cluster.run(24.0).compute_imbalance() <= 1.2
