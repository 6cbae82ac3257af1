"""Slowness of replicas: how long work takes there, as a multiple of the usual time.

Replicas that share their machines with other workloads report their slowness in
responses. It has parts that change at different rates: one that changes many times a
second, one that follows the load of the machine over seconds, and one that lasts.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...ids import EndpointId
from .observed import ObservedSpeeds

__all__ = ["MAX_SLOWNESS", "USUAL", "ReplicaSpeed", "SpeedTable"]

USUAL = 1.0
# Figures above this are taken for errors.
MAX_SLOWNESS = 100.0
# Bounds of a figure, as multiples of the mean of recent figures: one that lasts less
# than a prefill must not exclude a replica, nor attract the calls of all routers. A
# trial within these bounds reduced late long prompts from 1,145 to 973 (harvest).
MIN_FIGURE_FACTOR = 0.5
MAX_FIGURE_FACTOR = 3.0
# Bounds of an estimate. A replica that is slower still gets too few calls to tell.
MIN_ESTIMATE = 0.25
MAX_ESTIMATE = 10.0
# Time constants of the means, seconds. The recent mean has to follow loads that come
# and go within ten seconds; the lasting one has to average over several of them.
RECENT_S = 1.5
LASTING_S = 60.0
# Half-lives of the differences between the last figure, the recent mean, the lasting
# mean and the usual slowness, seconds.
FIGURE_HALF_LIFE_S = 0.5
RECENT_HALF_LIFE_S = 3.0
LASTING_HALF_LIFE_S = 60.0


@dataclass(slots=True)
class ReplicaSpeed:
    """Slowness of one replica.

    Parameters
    ----------
    figure : float
        The last reported slowness, within its bounds.
    recent, lasting : float
        Means over seconds and over many seconds.
    count : int
        Number of reports.
    recorded_at_s : float
        Time of the last report, seconds.
    """

    figure: float = USUAL
    recent: float = USUAL
    lasting: float = USUAL
    count: int = 0
    recorded_at_s: float = -math.inf

    def record(self, figure: float, now_s: float) -> None:
        """Record a reported slowness."""
        elapsed_s = max(0.0, now_s - self.recorded_at_s)
        self.count += 1
        lowest, highest = (
            MIN_FIGURE_FACTOR * self.recent,
            MAX_FIGURE_FACTOR * self.recent,
        )
        self.figure = figure = min(max(figure, lowest), highest)
        self.recent += self._compute_weight(elapsed_s, RECENT_S) * (
            figure - self.recent
        )
        self.lasting += self._compute_weight(elapsed_s, LASTING_S) * (
            figure - self.lasting
        )
        self.recorded_at_s = now_s

    def _compute_weight(self, elapsed_s: float, mean_s: float) -> float:
        """Return the weight of a new figure in a mean.

        It depends on the time that the figure stands for. The first figures count
        equally, together with the usual slowness.
        """
        initial_weight = 1.0 / (self.count + 1)
        if not math.isfinite(elapsed_s):
            return initial_weight
        return max(initial_weight, 1.0 - math.exp(-elapsed_s / mean_s))

    def estimate(self, now_s: float) -> float:
        """Return the estimated slowness, in which older figures count less."""
        age_s = max(0.0, now_s - self.recorded_at_s)
        estimate = (
            USUAL
            + (self.lasting - USUAL) * 0.5 ** (age_s / LASTING_HALF_LIFE_S)
            + (self.recent - self.lasting) * 0.5 ** (age_s / RECENT_HALF_LIFE_S)
            + (self.figure - self.recent) * 0.5 ** (age_s / FIGURE_HALF_LIFE_S)
        )
        return _limit(estimate)


@dataclass(slots=True)
class SpeedTable:
    """Slowness of all replicas, from their reports and from the waits of calls.

    A replica of which neither is known has the usual slowness. Waits are compared with
    those at other replicas after division by the reported slowness, so what they add is
    only what the replica does not report, or reports falsely.
    """

    speeds: dict[EndpointId, ReplicaSpeed] = field(default_factory=dict)
    observed: ObservedSpeeds = field(default_factory=ObservedSpeeds)

    def record_figure(
        self, endpoint: EndpointId, figure: float | None, now_s: float
    ) -> None:
        """Record the slowness in a response; None if it states none that is valid."""
        if figure is not None and 0 < figure <= MAX_SLOWNESS:
            self.speeds.setdefault(endpoint, ReplicaSpeed()).record(figure, now_s)

    def record_wait(
        self, endpoint: EndpointId, tokens: float, wait_s: float, now_s: float
    ) -> None:
        """Record how long a replica took to compute prompts, seconds."""
        speed = self.speeds.get(endpoint)
        reported = USUAL if speed is None else speed.recent
        self.observed.record(endpoint, tokens, wait_s / reported, now_s)

    def get_slowness(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the factor by which work that begins now takes longer than usual."""
        speed = self.speeds.get(endpoint)
        reported = USUAL if speed is None else speed.estimate(now_s)
        return _limit(reported * self.observed.get_ratio(endpoint))

    def get_lasting_slowness(self, endpoint: EndpointId) -> float:
        """Return the factor by which work usually takes longer at this replica."""
        speed = self.speeds.get(endpoint)
        reported = USUAL if speed is None else speed.lasting
        return _limit(reported * self.observed.get_ratio(endpoint))

    def list_endpoints(self) -> set[EndpointId]:
        """Return the replicas that may differ from the usual slowness."""
        return self.speeds.keys() | self.observed.ratios.keys()

    def forget(self, endpoint: EndpointId) -> None:
        """Forget a replica that may have been restarted or changed."""
        self.speeds.pop(endpoint, None)
        self.observed.forget(endpoint)

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Keep only the given replicas."""
        registered = set(endpoints)
        for endpoint in list(self.speeds):
            if endpoint not in registered:
                del self.speeds[endpoint]
        self.observed.retain(registered)


def _limit(slowness: float) -> float:
    return min(max(slowness, MIN_ESTIMATE), MAX_ESTIMATE)
