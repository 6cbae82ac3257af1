"""Plots of load runs."""

from collections.abc import Mapping
from pathlib import Path

from matplotlib.figure import Figure

from .bench_load import LoadReport
from .histograms import decode_slices, merge_histograms, read_quantile

__all__ = ["plot_reports"]

SHARES = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999)
SIZE_IN = (9.0, 7.0)
KINDS = {"ttft": "time to first byte (s)", "total": "time to the end (s)"}


def plot_reports(reports: Mapping[str, LoadReport], path: Path) -> None:
    """Draw the quantiles of runs, one line a run."""
    figure = Figure(figsize=SIZE_IN)
    axes = figure.subplots(len(KINDS), 1)
    for axis, (kind, title) in zip(axes, KINDS.items(), strict=True):
        for name, report in reports.items():
            whole = merge_histograms(decode_slices(getattr(report, kind)))
            times = [read_quantile(whole, share) for share in SHARES]
            axis.plot([1 / (1 - share) for share in SHARES], times, "o-", label=name)
        axis.set_xscale("log")
        axis.set_ylabel(title)
        axis.legend(fontsize="small")
    axes[-1].set_xticks(
        [1 / (1 - share) for share in SHARES], [f"{share:g}" for share in SHARES]
    )
    axes[-1].set_xlabel("quantile")
    figure.tight_layout()
    figure.savefig(path)
