"""Plots of the policy bench."""

from pathlib import Path

import matplotlib

from .bench_measures import PolicyMeasures
from .bench_run import BenchResult

__all__ = ["plot_measures"]

WINDOWS = 40
INCHES = (10, 9)


def _average(measures: PolicyMeasures, column: int) -> tuple[list[float], list[float]]:
    """Return window ends, seconds, and means of one column of the samples."""
    samples = measures.samples
    size = max(1, len(samples) // WINDOWS)
    times = []
    means = []
    for start in range(0, len(samples) - size + 1, size):
        window = samples[start : start + size]
        times.append(window[-1][0])
        if column == 2:
            prompt = sum(sample[1] for sample in window)
            means.append(sum(sample[2] for sample in window) / prompt)
        else:
            means.append(sum(sample[column] for sample in window) / size)
    return times, means


def plot_measures(result: BenchResult, path: Path) -> None:
    """Draw hit rate, wasted tokens and time to first token over time."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, figsize=INCHES, sharex=True)
    titles = ("hit rate", "wasted tokens a request", "mean TTFT (s)")
    for axis, column, title in zip(axes, (2, 3, 4), titles, strict=True):
        for name, measures in result.measures.items():
            axis.plot(*_average(measures, column), label=name)
        axis.set_ylabel(title)
    axes[0].legend(fontsize="small", ncols=4)
    axes[-1].set_xlabel("virtual time (s)")
    figure.savefig(path, metadata={"Software": None})
    pyplot.close(figure)
