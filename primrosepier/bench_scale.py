"""Measurement of all cost slopes on this machine."""

import os
import platform
import time

import msgspec

from .load_reports import TARGET_POLLS_PER_S, compute_publish_interval
from .members import MembershipRules
from .scale_control import measure_control_plane
from .scale_data import measure_data_path
from .scale_fits import Slope
from .scale_loads import measure_loads
from .scale_peers import measure_peers
from .scale_polls import measure_polls
from .scale_store import measure_store

__all__ = ["ScaleReport", "ScaleRules", "run_scale"]

NODES = 940


class ScaleRules(msgspec.Struct, frozen=True):
    """Protocol parameters of routers that bound their costs.

    Parameters
    ----------
    renewal_s : float
        Interval in seconds at which a router renews its digest of one name, with
        ``NODES`` routers.
    news_bytes : int
        Maximum size in bytes of the updates in one message.
    polls_per_s : int
        Approximate number of replicas that one router polls per second.
    """

    renewal_s: float
    news_bytes: int
    polls_per_s: int


class ScaleReport(msgspec.Struct, frozen=True):
    """Measured slopes and the conditions of the run.

    Parameters
    ----------
    cores : int
        CPU cores of the machine.
    load_before, load_after : float
        One-minute load averages; a high load inflates the measured times.
    duration_s : float
        Duration of the run in seconds.
    """

    python: str
    cores: int
    load_before: float
    load_after: float
    duration_s: float
    rules: ScaleRules
    slopes: dict[str, Slope]


def _read_rules() -> ScaleRules:
    news_bytes = MembershipRules().budget_bytes
    return ScaleRules(compute_publish_interval(NODES), news_bytes, TARGET_POLLS_PER_S)


def run_scale() -> ScaleReport:
    """Measure all slopes, one after the other."""
    started_s = time.monotonic()
    load_before = os.getloadavg()[0]
    slopes = [*measure_control_plane(), *measure_loads(), *measure_peers()]
    slopes += measure_polls()
    slopes += [*measure_store(), *measure_data_path()]
    return ScaleReport(
        python=platform.python_version(),
        cores=os.cpu_count() or 1,
        load_before=load_before,
        load_after=os.getloadavg()[0],
        duration_s=time.monotonic() - started_s,
        rules=_read_rules(),
        slopes={slope.name: slope for slope in slopes},
    )
