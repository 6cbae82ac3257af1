"""Histograms of times by HdrHistogram, one for each time slice of a run."""

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
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
PERCENT = 100


class TimeReport(msgspec.Struct, frozen=True):
    """Quantiles and histograms of one measured time.

    Parameters
    ----------
    count : int
    p50_s, p90_s, p95_s, p99_s, max_s : float
        Quantiles over the whole run in seconds; 0 without values.
    slices : tuple of str
        Encoded histogram of each time slice.
    """

    count: int
    p50_s: float
    p90_s: float
    p95_s: float
    p99_s: float
    max_s: float
    slices: tuple[str, ...]


class TimeHistogram:
    """Histograms of times, one for each time slice of a run.

    Parameters
    ----------
    slices : int
        Number of time slices.
    """

    def __init__(self, slices: int):
        self.slices = [_make_histogram() for _ in range(slices)]

    def add(self, index: int, seconds: float) -> None:
        """Record a time in seconds; an index past the last slice counts as the last."""
        value = min(HIGHEST_US, max(LOWEST_US, round(seconds * US_PER_S)))
        self.slices[min(index, len(self.slices) - 1)].record_value(value)

    def make_report(self) -> TimeReport:
        """Return the quantiles and the encoded histograms."""
        merged = merge_histograms(self.slices)
        return TimeReport(
            count=merged.get_total_count(),
            p50_s=read_quantile(merged, 0.50),
            p90_s=read_quantile(merged, 0.90),
            p95_s=read_quantile(merged, 0.95),
            p99_s=read_quantile(merged, 0.99),
            max_s=read_quantile(merged, 1.0),
            slices=tuple(part.encode().decode() for part in self.slices),
        )


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def decode_slices(report: TimeReport) -> list[HdrHistogram]:
    """Decode the histograms of a report."""
    return [HdrHistogram.decode(text) for text in report.slices]


def merge_histograms(parts: Sequence[HdrHistogram]) -> HdrHistogram:
    """Merge histograms into one."""
    merged = _make_histogram()
    for part in parts:
        merged.add(part)
    return merged


def read_quantile(histogram: HdrHistogram, quantile: float) -> float:
    """Return a quantile in seconds, or 0 for an empty histogram."""
    if not histogram.get_total_count():
        return 0.0
    return histogram.get_value_at_percentile(quantile * PERCENT) / US_PER_S
