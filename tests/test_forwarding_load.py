"""Service under a load of long and short prompts, in virtual time."""

import pytest
from step_engines import CallKind, StepCluster

NOTES = CallKind(
    name="notes",
    per_s=30.0,
    shared_tokens=13_300,
    median_own_tokens=2_030,
    max_own_tokens=53_200,
    median_output=60,
    max_output=480,
    patience_s=3.4,
    deadline_s=12.0,
)
QUESTIONS = CallKind(
    name="questions",
    per_s=200.0,
    shared_tokens=92,
    median_own_tokens=160,
    max_own_tokens=1_830,
    median_output=20,
    max_output=180,
    patience_s=3.2,
    deadline_s=5.0,
    is_urgent=True,
)
# Least share of all calls of a kind at which its largest calls must be served.
LARGEST_SHARE = 0.5


def compute_served(results):
    return sum(result.is_served for result in results) / len(results)


@pytest.mark.parametrize("seed", [1, 2, 3, 10, 11, 12])
def test_the_largest_calls_are_served_at_half_the_share_of_all(seed):
    cluster = StepCluster(
        seed, engine_count=12, router_count=12, kinds=(NOTES, QUESTIONS)
    )
    results = cluster.run(20.0)
    for kind in (NOTES, QUESTIONS):
        by_size = sorted(
            (result for result in results if result.kind == kind.name),
            key=lambda result: result.size,
        )
        tenth = len(by_size) // 10
        served = compute_served(by_size)
        assert compute_served(by_size[-tenth:]) >= LARGEST_SHARE * served
        next_fifth = by_size[-3 * tenth : -tenth]
        assert compute_served(next_fifth) >= LARGEST_SHARE * served
