"""A slide of reuse played to the drift ledger in trace time."""

import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from .drift import DAY_S, HOUR_S, WEEK_DAYS, DriftAlert, DriftLedger, MissCause
from .ids import WorkspaceId

__all__ = ["DriftResult", "Slide", "measure_drift", "play_traffic"]

STEADY_DAYS = 28
SLIDE_DAYS = 28
HOURS = 24
ANSWERS_PER_HOUR = 700
WEEKEND_SHARE = 0.5
WEEKEND_LOSS = 0.01
DAY_NOISE = 0.002
NOISE_MEMORY = 0.5
CAUSE_SHARES = {
    MissCause.EVICTION: 0.6,
    MissCause.SPILL: 0.15,
    MissCause.WEIGHTS: 0.05,
    MissCause.SPLIT: 0.1,
    MissCause.CHURN: 0.1,
}


@dataclass(frozen=True, slots=True)
class Slide:
    """A steady loss of reuse.

    Parameters
    ----------
    points_per_week : float
        Hundredths of the hit rate that are lost each week.
    """

    points_per_week: float
    start_day: int
    cause: MissCause

    def compute_loss(self, day: float) -> float:
        """Return the share of prompt tokens lost on a day."""
        return max(0.0, day - self.start_day) / WEEK_DAYS * self.points_per_week / 100


@dataclass(frozen=True, slots=True)
class DriftResult:
    """When the ledger told of a slide; None when it did not."""

    injected_points_per_week: float
    detected_after_days: float | None
    cause: str | None


def _describe_answers(answers: Sequence[tuple[int, int]]) -> tuple[float, float, float]:
    """Return the mean prompt tokens, and mean and deviation of the cached share."""
    prompt = statistics.fmean(prompt for prompt, _ in answers)
    shares = [cached / prompt for prompt, cached in answers]
    return prompt, statistics.fmean(shares), statistics.pstdev(shares)


def play_traffic(
    answers: Sequence[tuple[int, int]],
    seed: int,
    days: int,
    workspaces: int,
    slide: Slide | None,
) -> list[DriftAlert]:
    """Play days of answers, hour by hour, to a ledger.

    An hour's cached share is normal around the measured mean, as the mean of its
    answers. At weekends half as many answers come and reuse is a point lower; days
    differ by 0.2 points beside that, and a day is like the one before.

    Parameters
    ----------
    answers : sequence of (int, int)
        Prompt and cached tokens of measured answers.
    slide : Slide, optional
        What happens to the first workspace.
    """
    source = random.Random(seed)
    prompt, mean, deviation = _describe_answers(answers)
    ledger = DriftLedger()
    moods = [0.0] * workspaces
    alerts = []
    for day in range(days):
        weekend = day % WEEK_DAYS >= WEEK_DAYS - 2
        count = int(ANSWERS_PER_HOUR * (WEEKEND_SHARE if weekend else 1))
        for workspace in range(workspaces):
            fresh = source.gauss(0, DAY_NOISE)
            moods[workspace] = NOISE_MEMORY * moods[workspace] + fresh
            level = mean + moods[workspace] - (WEEKEND_LOSS if weekend else 0.0)
            loss = slide.compute_loss(day) if slide and not workspace else 0.0
            key = (WorkspaceId(f"workspace-{workspace}"), 0)
            for hour in range(HOURS):
                share = level + source.gauss(0, deviation / count**0.5)
                now_s = day * DAY_S + hour * HOUR_S
                tokens = int(prompt * count)
                alerts += _add_hour(ledger, key, tokens, share, loss, slide, now_s)
    return alerts


def _add_hour(
    ledger: DriftLedger,
    key: tuple[WorkspaceId, int],
    tokens: int,
    share: float,
    loss: float,
    slide: Slide | None,
    now_s: float,
) -> list[DriftAlert]:
    """Add an hour's tokens by cause: misses in usual shares, and the slide's."""
    raised = []
    missed = max(0.0, 1 - share)
    hit = max(0.0, share - loss)
    lost = loss if slide else 0.0
    for cause, part in CAUSE_SHARES.items():
        extra = lost if slide and cause is slide.cause else 0.0
        prompt = int(tokens * (part * (missed + hit) + extra))
        cached = int(tokens * part * hit)
        raised += ledger.add(key, prompt, cached, prompt, cause, now_s)
    return raised


def measure_drift(
    answers: Sequence[tuple[int, int]], seed: int, points_per_week: float = 1.0
) -> DriftResult:
    """Return when the ledger tells of a slide after four steady weeks."""
    slide = Slide(points_per_week, STEADY_DAYS, MissCause.EVICTION)
    alerts = play_traffic(answers, seed, STEADY_DAYS + SLIDE_DAYS, 1, slide)
    for alert in alerts:
        after_days = alert.raised_s / DAY_S - STEADY_DAYS
        if after_days > 0:
            found = round(after_days, 2)
            return DriftResult(points_per_week, found, alert.cause.value)
    return DriftResult(points_per_week, None, None)
