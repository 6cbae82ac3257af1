"""Tracks expected and observed prefix reuse, and alerts when reuse declines."""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from .ids import WorkspaceId
from .placement import Feedback
from .routes import select_levels

__all__ = [
    "DAY_S",
    "DayTotals",
    "HOUR_S",
    "WEEK_DAYS",
    "DriftAlert",
    "DriftTracker",
    "LevelReuse",
    "MissCause",
    "SeriesKey",
]

DAY_S = 86_400.0
HOUR_S = 3_600.0
MAX_SERIES = 512
WEEK_DAYS = 7
MIN_WEEKS = 3
MAX_WEEKS = 5
HISTORY_DAYS = MAX_WEEKS * WEEK_DAYS
MIN_DAY_TOKENS = 50_000
MIN_DECLINE = 0.0075
MIN_DEVIATIONS = 6.0
ALERT_SUPPRESSION_S = 14 * DAY_S
FAST_AVERAGE_S = HOUR_S
SLOW_AVERAGE_S = 7 * DAY_S


SeriesKey = tuple[WorkspaceId, int]


class MissCause(Enum):
    """Why prompt tokens were not read from a cache.

    ``CHURN`` is a restart of the endpoint. ``SPLIT`` and ``OVERFLOW`` are placements of
    that `DecisionKind` on an endpoint that is not known to have served the prefix.
    ``EVICTION`` is assumed when there is no sign of another cause.
    """

    EVICTION = "eviction"
    CHURN = "endpoint churn"
    WEIGHTS = "weights change"
    SPLIT = "split"
    OVERFLOW = "spill"


@dataclass(frozen=True, slots=True)
class DriftAlert:
    """Alert that the reuse of a workspace's prefix level has declined.

    Parameters
    ----------
    level : int
        Depth of the prefix level, 0 for the first.
    base_rate, recent_rate : float
        Shares of prompt tokens read from caches, in the earlier weeks and in the last
        week.
    cause : MissCause
        Cause whose missed tokens grew most as a share of prompt tokens.
    """

    workspace: WorkspaceId
    level: int
    raised_at_s: float
    base_rate: float
    recent_rate: float
    cause: MissCause


@dataclass(frozen=True, slots=True)
class LevelReuse:
    """Current reuse of one workspace's prefix level.

    Parameters
    ----------
    expected : float
        Share of prompt tokens expected to be read from caches, averaged over about an
        hour.
    fast, slow : float
        Share of prompt tokens read from caches, averaged over about an hour and about
        a week.
    """

    workspace: WorkspaceId
    level: int
    expected: float
    fast: float
    slow: float


@dataclass(slots=True)
class DayTotals:
    """Token counts of one day.

    Parameters
    ----------
    prompt, cached : int
        Prompt tokens, and the part of them read from caches.
    missed : Counter of MissCause
        Prompt tokens not read from caches, by cause.
    """

    prompt: int = 0
    cached: int = 0
    missed: Counter[MissCause] = field(default_factory=Counter)

    @property
    def rate(self) -> float:
        """Share of prompt tokens read from caches."""
        return self.cached / self.prompt

    def add(self, other: "DayTotals") -> None:
        """Add the tokens of another part of the day."""
        self.prompt += other.prompt
        self.cached += other.cached
        self.missed.update(other.missed)


@dataclass(slots=True)
class _Series:
    """Reuse of one workspace's prefix level over time."""

    expected: float = 0.0
    fast: float = 0.0
    slow: float = 0.0
    updated_at_s: float = -math.inf
    day_number: int = -1
    today: DayTotals = field(default_factory=DayTotals)
    days: list[DayTotals] = field(default_factory=list)
    suppressed_until_s: float = -math.inf


def _smooth(mean: float, sample: float, age_s: float, time_constant_s: float) -> float:
    if math.isinf(age_s):
        return sample
    return mean + (1 - math.exp(-max(age_s, 0.0) / time_constant_s)) * (sample - mean)


class DriftTracker:
    """Tracks reuse by workspace and prefix level, for a bounded number of series."""

    def __init__(self, max_series: int = MAX_SERIES):
        self.max_series = max_series
        self.series: OrderedDict[SeriesKey, _Series] = OrderedDict()
        self.alerts: list[DriftAlert] = []
        self.unreported: dict[SeriesKey, DayTotals] = {}

    def observe(self, feedback: Feedback, cause: MissCause) -> list[DriftAlert]:
        """Record an answer and return the alerts raised.

        Parameters
        ----------
        cause : MissCause
            Cause to which missed tokens in the shared levels are attributed.
        """
        levels = select_levels(feedback.prompt)[:-1]
        raised = []
        start = 0
        size = len(feedback.prompt.blocks)
        block_tokens = feedback.prompt.tokens / size if size else 0.0
        for depth, end in enumerate(levels):
            bounds = (start * block_tokens, end * block_tokens)
            alerts = self.add(
                (feedback.prompt.scope.workspace, depth),
                int(bounds[1] - bounds[0]),
                int(_count_between(feedback.cached_tokens, *bounds)),
                int(_count_between(feedback.expected_cached_tokens, *bounds)),
                cause,
                feedback.now_s,
            )
            raised += alerts
            start = end
        return raised

    def add(
        self,
        key: SeriesKey,
        prompt_tokens: int,
        cached_tokens: int,
        expected_tokens: int,
        cause: MissCause,
        now_s: float,
    ) -> list[DriftAlert]:
        """Add tokens to one workspace's prefix level; return the alerts raised."""
        if prompt_tokens <= 0:
            return []
        series = self._find_series(key)
        raised = self._start_day(key, series, now_s)
        missed = Counter({cause: prompt_tokens - cached_tokens})
        part = DayTotals(prompt_tokens, cached_tokens, missed)
        series.today.add(part)
        self.add_totals({key: part})
        age_s = now_s - series.updated_at_s
        rate = cached_tokens / prompt_tokens
        series.fast = _smooth(series.fast, rate, age_s, FAST_AVERAGE_S)
        series.slow = _smooth(series.slow, rate, age_s, SLOW_AVERAGE_S)
        expected = expected_tokens / prompt_tokens
        series.expected = _smooth(series.expected, expected, age_s, FAST_AVERAGE_S)
        series.updated_at_s = now_s
        return raised

    def _find_series(self, key: SeriesKey) -> _Series:
        series = self.series.get(key)
        if series is None:
            series = self.series[key] = _Series()
            if len(self.series) > self.max_series:
                self.series.popitem(last=False)
        self.series.move_to_end(key)
        return series

    def _start_day(
        self, key: SeriesKey, series: _Series, now_s: float
    ) -> list[DriftAlert]:
        day_number = int(now_s // DAY_S)
        if day_number == series.day_number:
            return []
        ended, series.today = series.today, DayTotals()
        series.day_number = day_number
        return self._add_day(key, series, ended, now_s)

    def add_day(self, key: SeriesKey, day: DayTotals, now_s: float) -> list[DriftAlert]:
        """Add the totals of a day that ended; return the alerts raised."""
        return self._add_day(key, self._find_series(key), day, now_s)

    def pop_totals(self) -> dict[SeriesKey, DayTotals]:
        """Return and reset the totals since the last call."""
        totals, self.unreported = self.unreported, {}
        return totals

    def add_totals(self, totals: Mapping[SeriesKey, DayTotals]) -> None:
        """Add to the totals that the next call of ``pop_totals`` returns."""
        for key, part in totals.items():
            if key in self.unreported or len(self.unreported) < self.max_series:
                self.unreported.setdefault(key, DayTotals()).add(part)

    def _add_day(
        self, key: SeriesKey, series: _Series, ended: DayTotals, now_s: float
    ) -> list[DriftAlert]:
        if ended.prompt < MIN_DAY_TOKENS:
            return []
        series.days.append(ended)
        del series.days[:-HISTORY_DAYS]
        alert = _find_decline(key, series, now_s)
        if alert is None:
            return []
        series.suppressed_until_s = now_s + ALERT_SUPPRESSION_S
        self.alerts.append(alert)
        del self.alerts[: -self.max_series]
        return [alert]

    def list_reuse(self) -> list[LevelReuse]:
        """Return the current reuse by workspace and prefix level."""
        return [
            LevelReuse(workspace, level, series.expected, series.fast, series.slow)
            for (workspace, level), series in sorted(self.series.items())
        ]


def _count_between(tokens: float, start: float, end: float) -> float:
    """Return how many of a prompt's first ``tokens`` lie between two positions."""
    return min(max(tokens - start, 0.0), end - start)


def _find_decline(key: SeriesKey, series: _Series, now_s: float) -> DriftAlert | None:
    """Return an alert when the last week is significantly below earlier weeks.

    Significance is relative to the noise of the daily rates.
    """
    weeks = min(MAX_WEEKS, len(series.days) // WEEK_DAYS)
    if weeks < MIN_WEEKS or now_s < series.suppressed_until_s:
        return None
    days = series.days[-weeks * WEEK_DAYS :]
    base, recent = days[:-WEEK_DAYS], days[-WEEK_DAYS:]
    base_rate = _mean(day.rate for day in base)
    recent_rate = _mean(day.rate for day in recent)
    standard_error = _estimate_noise(days) * math.sqrt(1 / len(base) + 1 / len(recent))
    decline = base_rate - recent_rate
    if decline < MIN_DECLINE or decline < MIN_DEVIATIONS * standard_error:
        return None
    cause = _find_cause(base, recent)
    return DriftAlert(key[0], key[1], now_s, base_rate, recent_rate, cause)


def _mean(values: Iterable[float]) -> float:
    numbers = list(values)
    return sum(numbers) / len(numbers)


def _estimate_noise(days: list[DayTotals]) -> float:
    """Return the standard deviation of the daily rates around weekday and weekly means.

    The weekly means absorb a slow decline, which would otherwise add to the noise and
    mask itself.
    """
    weeks = len(days) // WEEK_DAYS
    overall_mean = _mean(day.rate for day in days)
    sum_of_squares = 0.0
    weekdays = [_mean(d.rate for d in days[n::WEEK_DAYS]) for n in range(WEEK_DAYS)]
    for start in range(0, len(days), WEEK_DAYS):
        week = days[start : start + WEEK_DAYS]
        week_offset = _mean(day.rate for day in week) - overall_mean
        for day, weekday_mean in zip(week, weekdays, strict=True):
            sum_of_squares += (day.rate - weekday_mean - week_offset) ** 2
    return math.sqrt(sum_of_squares / ((weeks - 1) * (WEEK_DAYS - 1)))


def _find_cause(base: list[DayTotals], recent: list[DayTotals]) -> MissCause:
    def compute_share(days: list[DayTotals], cause: MissCause) -> float:
        prompt = sum(day.prompt for day in days)
        return sum(day.missed[cause] for day in days) / prompt

    return max(
        MissCause, key=lambda c: compute_share(recent, c) - compute_share(base, c)
    )
