"""All slopes of one node and of the platform, measured on this machine."""

import os
import platform
import time

import msgspec

from .load_reports import POLLS_PER_S, compute_publish_interval
from .members import MembershipRules
from .scale_control import measure_control
from .scale_data import measure_data_path
from .scale_fits import Slope
from .scale_loads import measure_loads
from .scale_peers import measure_peers
from .scale_polls import measure_polls
from .scale_store import measure_store

__all__ = ["ScaleReport", "ScaleRules", "run_scale"]

NODES = 940


class ScaleRules(msgspec.Struct, frozen=True):
    """Rules of the protocol between routers that bound its costs.

    Parameters
    ----------
    renewal_s : float
        Time between two digests of one name at the design size, seconds.
    news_bytes : int
        Bound on the news in one message.
    polls_per_s : int
        Replicas whose load one router reads a second, about.
    """

    renewal_s: float
    news_bytes: int
    polls_per_s: int


class ScaleReport(msgspec.Struct, frozen=True):
    """Slopes with what they were measured on.

    Parameters
    ----------
    cores : int
        Processor cores of the machine.
    load_before, load_after : float
        Load averages over one minute; other work makes times longer.
    duration_s : float
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
    return ScaleRules(compute_publish_interval(NODES), news_bytes, POLLS_PER_S)


def run_scale() -> ScaleReport:
    """Measure everything, one matter after the other."""
    started_s = time.monotonic()
    load_before = os.getloadavg()[0]
    slopes = [*measure_control(), *measure_loads(), *measure_peers()]
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
