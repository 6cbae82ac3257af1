"""Linear fits of measured costs."""

import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec

__all__ = ["Point", "Slope", "fit_slope", "measure_cpu", "measure_memory"]

RUNS = 3


class Point(msgspec.Struct, frozen=True):
    """A measured cost ``y`` at a size ``x``."""

    x: float
    y: float


class Slope(msgspec.Struct, frozen=True):
    """A line fitted to measured points.

    Parameters
    ----------
    x, y : str
        Descriptions of the size and of the cost, with units.
    residual : float
        Largest deviation of a point from the line, relative to the largest cost.
    """

    name: str
    x: str
    y: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    residual: float

    def predict(self, x: float) -> float:
        """Return the cost at a size, at least 0."""
        return max(0.0, self.intercept + self.slope * x)


def fit_slope(
    name: str, x: str, y: str, measured: Sequence[tuple[float, float]]
) -> Slope:
    """Fit a line to points by least squares."""
    count = len(measured)
    mean_x = sum(point[0] for point in measured) / count
    mean_y = sum(point[1] for point in measured) / count
    variance = sum((point[0] - mean_x) ** 2 for point in measured)
    covariance = sum((px - mean_x) * (py - mean_y) for px, py in measured)
    slope = covariance / variance if variance else 0.0
    intercept = mean_y - slope * mean_x
    largest_cost = max(abs(py) for _, py in measured) or 1.0
    distances = [abs(py - intercept - slope * px) for px, py in measured]
    points = tuple(Point(px, py) for px, py in measured)
    return Slope(name, x, y, points, slope, intercept, max(distances) / largest_cost)


def measure_cpu(action: Callable[[], object], count: int) -> float:
    """Return the CPU time of one call in seconds: the minimum of `RUNS` runs."""
    best = float("inf")
    for _ in range(RUNS):
        started = time.thread_time()
        for _ in range(count):
            action()
        best = min(best, (time.thread_time() - started) / count)
    return best


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that Python allocates for the result of a function."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        after, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(max(0, after - before))
