"""Plots of load runs."""

from collections.abc import Mapping
from pathlib import Path

from matplotlib.figure import Figure

from .bench_load import LoadReport
from .histograms import decode_slices, merge_histograms, read_quantile

__all__ = ["plot_reports"]

QUANTILES = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999)
SIZE_IN = (9.0, 7.0)
AXIS_TITLES = {"ttft": "time to first byte (s)", "total": "time to the end (s)"}


def plot_reports(reports: Mapping[str, LoadReport], path: Path) -> None:
    """Plot the latency quantiles of runs, one line per run."""
    figure = Figure(figsize=SIZE_IN)
    axes = figure.subplots(len(AXIS_TITLES), 1)
    for axis, (kind, title) in zip(axes, AXIS_TITLES.items(), strict=True):
        for name, report in reports.items():
            histogram = merge_histograms(decode_slices(getattr(report, kind)))
            times = [read_quantile(histogram, quantile) for quantile in QUANTILES]
            axis.plot(
                [1 / (1 - quantile) for quantile in QUANTILES], times, "o-", label=name
            )
        axis.set_xscale("log")
        axis.set_ylabel(title)
        axis.legend(fontsize="small")
    axes[-1].set_xticks(
        [1 / (1 - quantile) for quantile in QUANTILES],
        [f"{quantile:g}" for quantile in QUANTILES],
    )
    axes[-1].set_xlabel("quantile")
    figure.tight_layout()
    figure.savefig(path)
