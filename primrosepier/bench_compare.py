"""Comparison of two load runs by ratios of latency quantiles."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .bench_load import LoadReport
from .histograms import TimeReport, decode_slices, read_quantile

__all__ = ["Ratio", "compare_reports"]

KINDS = ("ttft", "total", "gap")
QUANTILES = (0.5, 0.9, 0.99)
RESAMPLES = 400
INTERVAL_SHARES = (0.05, 0.95)
SEED = 1


@dataclass(frozen=True, slots=True)
class Ratio:
    """Ratio of a quantile of the second run to that of the first.

    Parameters
    ----------
    first_s, second_s : float
        Mean of the quantile over the slices of each run.
    low, high : float
        90 % bootstrap interval of the ratio, resampled over slices of the runs.
    """

    kind: str
    quantile: float
    first_s: float
    second_s: float
    ratio: float
    low: float
    high: float

    @property
    def differs(self) -> bool:
        """Whether the interval excludes a ratio of 1."""
        return not self.low <= 1.0 <= self.high


def compare_reports(first: LoadReport, second: LoadReport) -> list[Ratio]:
    """Return the ratio of each kind of time and quantile."""
    rng = random.Random(SEED)
    ratios = []
    for kind in KINDS:
        for quantile in QUANTILES:
            pair = (getattr(first, kind), getattr(second, kind))
            ratio = _compare(kind, quantile, *pair, rng)
            if ratio is not None:
                ratios.append(ratio)
    return ratios


def _compare(
    kind: str,
    quantile: float,
    first: TimeReport,
    second: TimeReport,
    rng: random.Random,
) -> Ratio | None:
    first_quantiles, second_quantiles = (
        _list_slice_quantiles(first, quantile),
        _list_slice_quantiles(second, quantile),
    )
    if not first_quantiles or not second_quantiles:
        return None
    sampled_ratios = []
    for _ in range(RESAMPLES):
        second_mean = _resample(second_quantiles, rng)
        sampled_ratios.append(second_mean / _resample(first_quantiles, rng))
    sampled_ratios.sort()
    low, high = (
        sampled_ratios[int(share * (RESAMPLES - 1))] for share in INTERVAL_SHARES
    )
    first_s, second_s = _average(first_quantiles), _average(second_quantiles)
    return Ratio(kind, quantile, first_s, second_s, second_s / first_s, low, high)


def _list_slice_quantiles(report: TimeReport, quantile: float) -> list[float]:
    slices = decode_slices(report)
    return [
        read_quantile(histogram, quantile)
        for histogram in slices
        if histogram.get_total_count()
    ]


def _resample(values: Sequence[float], rng: random.Random) -> float:
    return _average(rng.choices(values, k=len(values)))


def _average(values: Sequence[float]) -> float:
    return sum(values) / len(values)
