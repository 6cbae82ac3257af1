"""Plots of the policy bench."""

from pathlib import Path

import matplotlib

from .bench_measures import PolicyMeasures
from .bench_run import BenchResult

__all__ = ["plot_measures"]

WINDOWS = 40
SIZE_IN = (10, 9)


def _compute_window_means(
    measures: PolicyMeasures, column: int
) -> tuple[list[float], list[float]]:
    """Return the end times (s) of windows, and the means of a sample column in them.

    For the cached tokens (column 2), return the hit rates instead of the means.
    """
    samples = measures.samples
    window_size = max(1, len(samples) // WINDOWS)
    times = []
    means = []
    for start in range(0, len(samples) - window_size + 1, window_size):
        window = samples[start : start + window_size]
        times.append(window[-1][0])
        if column == 2:
            prompt_tokens = sum(sample[1] for sample in window)
            means.append(sum(sample[2] for sample in window) / prompt_tokens)
        else:
            means.append(sum(sample[column] for sample in window) / window_size)
    return times, means


def plot_measures(result: BenchResult, path: Path) -> None:
    """Plot hit rate, wasted tokens and time to first token over virtual time."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, figsize=SIZE_IN, sharex=True)
    titles = ("hit rate", "wasted tokens per request", "mean TTFT (s)")
    for axis, column, title in zip(axes, (2, 3, 4), titles, strict=True):
        for name, measures in result.measures.items():
            axis.plot(*_compute_window_means(measures, column), label=name)
        axis.set_ylabel(title)
    axes[0].legend(fontsize="small", ncols=4)
    axes[-1].set_xlabel("virtual time (s)")
    figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)
