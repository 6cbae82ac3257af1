"""Measured points and the lines through them."""

import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec

__all__ = ["Point", "Slope", "fit_slope", "measure_cpu", "measure_memory"]

REPEATS = 3


class Point(msgspec.Struct, frozen=True):
    """One measured size and its cost."""

    x: float
    y: float


class Slope(msgspec.Struct, frozen=True):
    """A line through measured points.

    Parameters
    ----------
    x, y : str
        What the axes count, with units.
    residual : float
        Largest distance of a point from the line over the largest cost.
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
    """Return the least-squares line through points."""
    count = len(measured)
    mean_x = sum(point[0] for point in measured) / count
    mean_y = sum(point[1] for point in measured) / count
    spread = sum((point[0] - mean_x) ** 2 for point in measured)
    shared = sum((px - mean_x) * (py - mean_y) for px, py in measured)
    slope = shared / spread if spread else 0.0
    intercept = mean_y - slope * mean_x
    largest = max(abs(py) for _, py in measured) or 1.0
    distances = [abs(py - intercept - slope * px) for px, py in measured]
    points = tuple(Point(px, py) for px, py in measured)
    return Slope(name, x, y, points, slope, intercept, max(distances) / largest)


def measure_cpu(action: Callable[[], object], count: int) -> float:
    """Return the seconds of processor time of one call, the least of three runs."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.thread_time()
        for _ in range(count):
            action()
        best = min(best, (time.thread_time() - started) / count)
    return best


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that Python allocates for what a function builds."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        after, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(max(0, after - before))
