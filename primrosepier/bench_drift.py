"""Replays a simulated decline of reuse to the drift tracker, in simulated time."""

import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from .drift import DAY_S, HOUR_S, WEEK_DAYS, DriftAlert, DriftTracker, MissCause
from .ids import WorkspaceId

__all__ = ["DriftResult", "Decline", "measure_drift", "replay_traffic"]

STEADY_DAYS = 28
DECLINE_DAYS = 28
HOURS = 24
ANSWERS_PER_HOUR = 700
WEEKEND_TRAFFIC_SHARE = 0.5
WEEKEND_REUSE_LOSS = 0.01
DAY_NOISE = 0.002
DAY_NOISE_CORRELATION = 0.5
CAUSE_SHARES = {
    MissCause.EVICTION: 0.6,
    MissCause.OVERFLOW: 0.15,
    MissCause.WEIGHTS: 0.05,
    MissCause.SPLIT: 0.1,
    MissCause.CHURN: 0.1,
}


@dataclass(frozen=True, slots=True)
class Decline:
    """A linear decline of reuse.

    Parameters
    ----------
    points_per_week : float
        Percentage points of the hit rate lost each week.
    """

    points_per_week: float
    start_day: int
    cause: MissCause

    def compute_loss(self, day: float) -> float:
        """Return the share of prompt tokens lost on a given day."""
        return max(0.0, day - self.start_day) / WEEK_DAYS * self.points_per_week / 100


@dataclass(frozen=True, slots=True)
class DriftResult:
    """Result of one simulated decline.

    Parameters
    ----------
    detected_after_days : float or None
        Days from the start of the decline to the alert, or None without an alert.
    cause : str or None
        Cause reported by the alert.
    """

    injected_points_per_week: float
    detected_after_days: float | None
    cause: str | None


def _summarize_answers(
    answers: Sequence[tuple[int, int]],
) -> tuple[float, float, float]:
    """Return mean prompt tokens, and mean and deviation of the cached share."""
    mean_prompt_tokens = statistics.fmean(prompt_tokens for prompt_tokens, _ in answers)
    shares = [cached_tokens / prompt_tokens for prompt_tokens, cached_tokens in answers]
    return mean_prompt_tokens, statistics.fmean(shares), statistics.pstdev(shares)


def replay_traffic(
    answers: Sequence[tuple[int, int]],
    seed: int,
    days: int,
    workspaces: int,
    decline: Decline | None,
) -> list[DriftAlert]:
    """Replay days of answers, hour by hour, to a drift tracker.

    The cached share of an hour is normally distributed around the measured mean, with
    the standard error of the mean of its answers. At weekends there are half as many
    answers, and the share is one percentage point lower. Gaussian noise of 0.2 points,
    correlated from day to day, is added to the share of each day.

    Parameters
    ----------
    answers : sequence of (int, int)
        Prompt and cached tokens of measured answers.
    decline : Decline, optional
        Decline in the first workspace; the other workspaces are steady.
    """
    rng = random.Random(seed)
    mean_prompt_tokens, mean_share, share_deviation = _summarize_answers(answers)
    tracker = DriftTracker()
    day_offsets = [0.0] * workspaces
    alerts = []
    for day in range(days):
        weekend = day % WEEK_DAYS >= WEEK_DAYS - 2
        count = int(ANSWERS_PER_HOUR * (WEEKEND_TRAFFIC_SHARE if weekend else 1))
        for workspace in range(workspaces):
            noise = rng.gauss(0, DAY_NOISE)
            day_offsets[workspace] = (
                DAY_NOISE_CORRELATION * day_offsets[workspace] + noise
            )
            day_share = (
                mean_share
                + day_offsets[workspace]
                - (WEEKEND_REUSE_LOSS if weekend else 0.0)
            )
            loss = decline.compute_loss(day) if decline and not workspace else 0.0
            key = (WorkspaceId(f"workspace-{workspace}"), 0)
            for hour in range(HOURS):
                share = day_share + rng.gauss(0, share_deviation / count**0.5)
                now_s = day * DAY_S + hour * HOUR_S
                tokens = int(mean_prompt_tokens * count)
                alerts += _add_hour(tracker, key, tokens, share, loss, decline, now_s)
    return alerts


def _add_hour(
    tracker: DriftTracker,
    key: tuple[WorkspaceId, int],
    tokens: int,
    share: float,
    loss: float,
    decline: Decline | None,
    now_s: float,
) -> list[DriftAlert]:
    """Record one hour of tokens by cause, with the extra misses of the decline."""
    raised = []
    missed_share = max(0.0, 1 - share)
    hit_share = max(0.0, share - loss)
    lost = loss if decline else 0.0
    for cause, cause_share in CAUSE_SHARES.items():
        extra_share = lost if decline and cause is decline.cause else 0.0
        prompt_tokens = int(
            tokens * (cause_share * (missed_share + hit_share) + extra_share)
        )
        cached_tokens = int(tokens * cause_share * hit_share)
        raised += tracker.add(
            key, prompt_tokens, cached_tokens, prompt_tokens, cause, now_s
        )
    return raised


def measure_drift(
    answers: Sequence[tuple[int, int]], seed: int, points_per_week: float = 1.0
) -> DriftResult:
    """Return when a decline after four steady weeks is reported."""
    decline = Decline(points_per_week, STEADY_DAYS, MissCause.EVICTION)
    alerts = replay_traffic(answers, seed, STEADY_DAYS + DECLINE_DAYS, 1, decline)
    for alert in alerts:
        after_days = alert.raised_at_s / DAY_S - STEADY_DAYS
        if after_days > 0:
            detected_days = round(after_days, 2)
            return DriftResult(points_per_week, detected_days, alert.cause.value)
    return DriftResult(points_per_week, None, None)
