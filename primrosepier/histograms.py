"""Histograms of times by HdrHistogram, kept apart by slices of a run."""

from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = [
    "TimeHistogram",
    "TimeReport",
    "decode_slices",
    "merge_histograms",
    "read_quantile",
]

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
US_PER_S = 1_000_000
PERCENT = 100


class TimeReport(msgspec.Struct, frozen=True):
    """Times of one kind.

    Parameters
    ----------
    count : int
    p50_s, p90_s, p95_s, p99_s, max_s : float
        Over the whole run; 0 without values.
    slices : tuple of str
        Encoded histogram of each slice of the run.
    """

    count: int
    p50_s: float
    p90_s: float
    p95_s: float
    p99_s: float
    max_s: float
    slices: tuple[str, ...]


class TimeHistogram:
    """Times in slices of a run.

    Parameters
    ----------
    slices : int
    """

    def __init__(self, slices: int):
        self.slices = [_make_histogram() for _ in range(slices)]

    def add(self, part: int, seconds: float) -> None:
        """Record a time in a slice."""
        value = min(HIGHEST_US, max(LOWEST_US, round(seconds * US_PER_S)))
        self.slices[min(part, len(self.slices) - 1)].record_value(value)

    def make_report(self) -> TimeReport:
        """Return the quantiles and the encoded slices."""
        whole = merge_histograms(self.slices)
        return TimeReport(
            count=whole.get_total_count(),
            p50_s=read_quantile(whole, 0.50),
            p90_s=read_quantile(whole, 0.90),
            p95_s=read_quantile(whole, 0.95),
            p99_s=read_quantile(whole, 0.99),
            max_s=read_quantile(whole, 1.0),
            slices=tuple(part.encode().decode() for part in self.slices),
        )


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def decode_slices(report: TimeReport) -> list[HdrHistogram]:
    """Return the histograms of a report."""
    return [HdrHistogram.decode(text) for text in report.slices]


def merge_histograms(parts: Sequence[HdrHistogram]) -> HdrHistogram:
    """Return the sum of histograms."""
    whole = _make_histogram()
    for part in parts:
        whole.add(part)
    return whole


def read_quantile(histogram: HdrHistogram, share: float) -> float:
    """Return a quantile, seconds; 0 without values."""
    if not histogram.get_total_count():
        return 0.0
    return histogram.get_value_at_percentile(share * PERCENT) / US_PER_S
