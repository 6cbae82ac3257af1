"""Slowness of replicas: how long work takes there, as a multiple of the usual time.

Replicas that share their machines with other workloads report their slowness in
responses. It changes many times a second, follows the load of the machine over seconds,
and has a part that lasts.
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
# Bounds of a figure, as multiples of the estimate before it: one that lasts less than a
# prefill must not exclude a replica, nor attract the calls of all routers. A trial
# within these bounds reduced late long prompts from 1,145 to 973 (harvest).
MIN_FIGURE_FACTOR = 0.5
MAX_FIGURE_FACTOR = 3.0
# Bounds of an estimate. A replica that is slower still gets too few calls to tell.
MIN_ESTIMATE = 0.25
MAX_ESTIMATE = 10.0
# Time constant of the weights of figures, seconds: figures change many times a second,
# and the load behind them within a few seconds.
RECENT_S = 0.7
# Weight of the mean beside the figures, of which a current one has the weight 1:
# without others, a figure counts half when it is 0.6 s old.
MEAN_WEIGHT = 0.4
# Time constant of the mean, and time for which a replica counts as usual before it,
# seconds.
MEAN_S = 10.0
MEAN_PRIOR_S = 1.0
# Time constant of the lasting mean, seconds, which has to average over several periods
# of a load that comes in waves.
LASTING_S = 60.0
# Time for which a replica counts as usual before its lasting mean, seconds: over one
# period of such a load, so that a part of it does not move homes.
LASTING_PRIOR_S = 30.0
# Longest time that one figure stands for, seconds.
MAX_ELAPSED_S = 10.0
# Half-life of the mean of a replica without figures, seconds.
MEAN_HALF_LIFE_S = 60.0


@dataclass(slots=True)
class ReplicaSpeed:
    """Reported slowness of one replica.

    Parameters
    ----------
    figure : float
        The last figure, as reported.
    mean, lasting : float
        Means over seconds, and over many seconds.
    recorded_at_s : float
        Time of the last update, seconds.
    known_s : float
        Time for which there have been figures, seconds.
    total, weight : float
        Weighted sum of the figures, and the sum of their weights, at the last update.
    """

    figure: float = USUAL
    mean: float = USUAL
    lasting: float = USUAL
    recorded_at_s: float = -math.inf
    known_s: float = 0.0
    total: float = 0.0
    weight: float = 0.0

    def record(self, figure: float, now_s: float) -> None:
        """Record a reported slowness."""
        estimate = self.estimate(now_s)
        self.figure = figure
        highest = MAX_FIGURE_FACTOR * estimate
        figure = min(max(figure, MIN_FIGURE_FACTOR * estimate), highest)
        decay = self._compute_decay(now_s)
        self.total = decay * self.total + figure
        self.weight = decay * self.weight + 1.0
        if math.isfinite(self.recorded_at_s):
            elapsed_s = min(max(0.0, now_s - self.recorded_at_s), MAX_ELAPSED_S)
            self.mean += self._compute_share(elapsed_s, MEAN_PRIOR_S, MEAN_S) * (
                figure - self.mean
            )
            self.lasting += self._compute_share(
                elapsed_s, LASTING_PRIOR_S, LASTING_S
            ) * (figure - self.lasting)
            self.known_s += elapsed_s
        self.recorded_at_s = max(now_s, self.recorded_at_s)

    def _compute_share(self, elapsed_s: float, prior_s: float, mean_s: float) -> float:
        """Return the weight of a figure in a mean that begins with the usual speed."""
        return min(1.0, elapsed_s / (prior_s + min(self.known_s, mean_s)))

    def _compute_decay(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self.recorded_at_s) / RECENT_S)

    def estimate(self, now_s: float) -> float:
        """Return the mean of the figures, in which older ones count less."""
        if not self.weight:
            return USUAL
        age_s = max(0.0, now_s - self.recorded_at_s)
        mean = USUAL + 0.5 ** (age_s / MEAN_HALF_LIFE_S) * (self.mean - USUAL)
        decay = self._compute_decay(now_s)
        total = decay * self.total + MEAN_WEIGHT * mean
        return _limit(total / (decay * self.weight + MEAN_WEIGHT))


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
            speed = self.speeds.setdefault(endpoint, ReplicaSpeed())
            speed.record(figure, now_s)

    @property
    def has_figures(self) -> bool:
        """Whether any replica has reported its slowness."""
        return bool(self.speeds)

    def record_wait(
        self, endpoint: EndpointId, tokens: float, wait_s: float, now_s: float
    ) -> None:
        """Record how long a replica took to compute prompts, seconds."""
        speed = self.speeds.get(endpoint)
        reported = USUAL if speed is None else speed.estimate(now_s)
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

    def list_known(self) -> set[EndpointId]:
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
