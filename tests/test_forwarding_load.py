"""Service under a load of long and short prompts, in virtual time."""

import pytest
from step_engines import CallKind, StepCluster

NOTES = CallKind(
    name="notes",
    per_s=30.0,
    shared_tokens=13_300,
    own_tokens=3_720,
    median_output=60,
    max_output=480,
    patience_s=3.4,
    deadline_s=12.0,
)
QUESTIONS = CallKind(
    name="questions",
    per_s=200.0,
    shared_tokens=92,
    own_tokens=291,
    median_output=20,
    max_output=180,
    patience_s=3.2,
    deadline_s=5.0,
)
# Share of all calls of a kind that its largest tenth must at least be served at.
LARGEST_TENTH_SHARE = 0.5


def compute_served(results):
    return sum(result.is_served for result in results) / len(results)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_outputs_of_short_prompts_are_served_beside_long_prompts(seed):
    cluster = StepCluster(
        seed, engine_count=12, router_count=12, kinds=(NOTES, QUESTIONS)
    )
    results = [r for r in cluster.run(20.0) if r.kind == QUESTIONS.name]
    results.sort(key=lambda result: result.output_tokens)
    largest = results[-len(results) // 10 :]
    assert compute_served(largest) >= LARGEST_TENTH_SHARE * compute_served(results)
