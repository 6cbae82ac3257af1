import pytest

from primrosepier.bench_drift import Decline, measure_drift, replay_traffic
from primrosepier.drift import DAY_S, DriftTracker, MissCause
from primrosepier.placement import Feedback
from primrosepier.prompts import CacheScope, Prompt

ANSWERS = [(10_000, 9_500)] * 6 + [(10_000, 6_000)] * 3 + [(10_000, 1_000)]


@pytest.mark.parametrize("seed", range(5))
def test_decline_of_a_percentage_point_per_week_is_detected_within_two_weeks(seed):
    result = measure_drift(ANSWERS, seed)
    assert result.detected_after_days is not None
    assert result.detected_after_days <= 14
    assert result.cause == "eviction"


@pytest.mark.parametrize("cause", list(MissCause))
def test_the_alert_names_the_cause(cause):
    decline = Decline(1.0, 28, cause)
    alerts = replay_traffic(ANSWERS, 1, 56, 1, decline)
    assert alerts[0].cause is cause


@pytest.mark.parametrize("seed", range(5))
def test_a_steady_year_raises_at_most_one_alert(seed):
    assert len(replay_traffic(ANSWERS, seed, 365, 4, None)) <= 1


def make_feedback(cached, expected, now_s, workspace="w"):
    blocks = tuple(range(1, 11))
    prompt = Prompt(CacheScope(workspace, "m", "", "1"), blocks, 5120, (4, 8, 10))
    return Feedback("e", prompt, cached, expected, now_s)


def test_tokens_are_counted_for_the_level_they_belong_to():
    tracker = DriftTracker()
    tracker.observe(make_feedback(3 * 1024, 4096, 0.0), MissCause.EVICTION)
    first, second = tracker.list_reuse()
    assert (first.fast, first.expected) == (1.0, 1.0)
    assert (second.fast, second.expected) == (0.5, 1.0)


def test_memory_is_bounded():
    tracker = DriftTracker(max_series=4)
    for number in range(50):
        feedback = make_feedback(0, 0, number * DAY_S, f"w{number}")
        tracker.observe(feedback, MissCause.OVERFLOW)
    assert len(tracker.series) <= 4
