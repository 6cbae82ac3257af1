"""Gauges of the speeds of replicas."""

import statistics

from ...metric_table import MetricTable
from .homes import HomeWeights
from .slowness import SpeedTable

__all__ = ["set_speed_gauges"]


def set_speed_gauges(
    table: MetricTable, speeds: SpeedTable, homes: HomeWeights, now_s: float
) -> None:
    """Set the mean and the maximum of the slowness, over the known replicas."""
    estimates = [speeds.get_slowness(x, now_s) for x in speeds.list_known()]
    reported = [speed.figure for speed in speeds.speeds.values()]
    for name, values in (("estimated", estimates), ("reported", reported)):
        if values:
            metric = f"primrosepier_{name}_slowness"
            table.set(metric, statistics.fmean(values), statistic="mean")
            table.set(metric, max(values), statistic="maximum")
    table.set("primrosepier_home_weight_changes_total", homes.changes)
