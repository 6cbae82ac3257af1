"""Performance of replicas as observed in the waits of this router's calls."""

import statistics
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

from ...ids import EndpointId

__all__ = ["ObservedSpeeds", "find_no_group"]

# Shortest computed prompts from which speed is observed, tokens: shorter ones wait for
# the decode steps of other calls and for the network for about as long.
MIN_TOKENS = 1024
# Added to the computed tokens, for the fixed cost of an engine step.
BASE_TOKENS = 512
# Observations that are kept for a replica, and those that are required of it.
MAX_COUNT = 16
MIN_COUNT = 6
# Replicas of a group that have to be observed, so that there is a usual speed.
MIN_REPLICAS = 3
# Age at which an observation is ignored, seconds.
TTL_S = 120.0
# Ratios to the usual time per token that are taken for chance: misses of the cache,
# transfers and queues that are not known yet take about as much. Beyond the wide bound
# the whole ratio counts.
NARROW_RATIO = 2.0
WIDE_RATIO = 2.5
# Interval at which the usual time per token is computed anew, seconds.
UPDATE_INTERVAL_S = 1.0


def find_no_group(endpoint: EndpointId) -> Hashable:
    """Return one group for all replicas; used where all serve the same model."""
    return None


@dataclass(slots=True)
class ObservedSpeeds:
    """Time per computed token of each replica, compared with its group.

    Parameters
    ----------
    find_group : callable
        Returns what the replicas have in common whose speeds are compared.

    Attributes
    ----------
    times : dict of EndpointId to deque of (float, float)
        Time of an observation and the time per token, both in seconds.
    ratios : dict of EndpointId to float
        Time per token as a multiple of the usual one; replicas that perform as usual,
        or for which too little is known, are absent.
    """

    find_group: Callable[[EndpointId], Hashable] = find_no_group
    times: dict[EndpointId, deque[tuple[float, float]]] = field(default_factory=dict)
    ratios: dict[EndpointId, float] = field(default_factory=dict)
    updated_at_s: float = float("-inf")

    def record(
        self, endpoint: EndpointId, tokens: float, wait_s: float, now_s: float
    ) -> None:
        """Record how long a replica took to compute prompts.

        Parameters
        ----------
        tokens : float
            Prompt tokens of a call and of those ahead of it.
        wait_s : float
            Time until its output began, seconds, at the usual speed of the machine.
        """
        if tokens < MIN_TOKENS or wait_s <= 0:
            return
        times = self.times.setdefault(endpoint, deque(maxlen=MAX_COUNT))
        times.append((now_s, wait_s / (tokens + BASE_TOKENS)))
        if now_s >= self.updated_at_s + UPDATE_INTERVAL_S:
            self.updated_at_s = now_s
            self._update(now_s)

    def _update(self, now_s: float) -> None:
        groups: dict[Hashable, dict[EndpointId, float]] = {}
        for endpoint, times in self.times.items():
            recent = [t for at_s, t in times if now_s - at_s <= TTL_S]
            if len(recent) >= MIN_COUNT:
                # Work that this router does not know of only prolongs waits.
                lower_quartile = statistics.quantiles(recent)[0]
                group = groups.setdefault(self.find_group(endpoint), {})
                group[endpoint] = lower_quartile
        self.ratios = {}
        for group in groups.values():
            if len(group) < MIN_REPLICAS:
                continue
            usual = statistics.median(group.values())
            for endpoint, time_per_token_s in group.items():
                ratio = _compute_evident_ratio(time_per_token_s / usual)
                if ratio != 1.0:
                    self.ratios[endpoint] = ratio

    def get_ratio(self, endpoint: EndpointId) -> float:
        """Return the time per token as a multiple of the usual one."""
        return self.ratios.get(endpoint, 1.0)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget a replica that may have been restarted or changed."""
        self.times.pop(endpoint, None)
        self.ratios.pop(endpoint, None)

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Keep only the given replicas."""
        for endpoint in self.times.keys() - set(endpoints):
            self.forget(endpoint)


def _compute_evident_ratio(ratio: float) -> float:
    """Return a ratio without what may be due to chance."""
    if ratio < 1.0:
        return 1.0 / _compute_evident_ratio(1.0 / ratio) if ratio > 0 else 1.0
    if ratio <= NARROW_RATIO:
        return 1.0
    if ratio >= WIDE_RATIO:
        return ratio
    share = (ratio - NARROW_RATIO) / (WIDE_RATIO - NARROW_RATIO)
    return 1.0 + share * (ratio - 1.0)
