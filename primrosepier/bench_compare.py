"""Comparison of two load runs: ratios of quantiles with their spread."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .bench_load import LoadReport
from .histograms import TimeReport, decode_slices, read_quantile

__all__ = ["Ratio", "compare_reports"]

KINDS = ("ttft", "total", "gap")
QUANTILES = (0.5, 0.9, 0.99)
RESAMPLES = 400
SPREAD = (0.05, 0.95)
SEED = 1


@dataclass(frozen=True, slots=True)
class Ratio:
    """A quantile of the second run over the first run's.

    Parameters
    ----------
    low, high : float
        Spread of 9 in 10 resamples of the runs' slices.
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
        """Whether the spread leaves out a ratio of 1."""
        return not self.low <= 1.0 <= self.high


def compare_reports(first: LoadReport, second: LoadReport) -> list[Ratio]:
    """Return the ratios of all kinds of times and quantiles."""
    source = random.Random(SEED)
    ratios = []
    for kind in KINDS:
        for quantile in QUANTILES:
            pair = (getattr(first, kind), getattr(second, kind))
            ratio = _compare(kind, quantile, *pair, source)
            if ratio is not None:
                ratios.append(ratio)
    return ratios


def _compare(
    kind: str,
    quantile: float,
    first: TimeReport,
    second: TimeReport,
    source: random.Random,
) -> Ratio | None:
    before, after = _list_quantiles(first, quantile), _list_quantiles(second, quantile)
    if not before or not after:
        return None
    samples = []
    for _ in range(RESAMPLES):
        above = _resample(after, source)
        samples.append(above / _resample(before, source))
    samples.sort()
    low, high = (samples[int(share * (RESAMPLES - 1))] for share in SPREAD)
    first_s, second_s = _average(before), _average(after)
    return Ratio(kind, quantile, first_s, second_s, second_s / first_s, low, high)


def _list_quantiles(report: TimeReport, quantile: float) -> list[float]:
    parts = decode_slices(report)
    return [read_quantile(part, quantile) for part in parts if part.get_total_count()]


def _resample(values: Sequence[float], source: random.Random) -> float:
    return _average(source.choices(values, k=len(values)))


def _average(values: Sequence[float]) -> float:
    return sum(values) / len(values)
