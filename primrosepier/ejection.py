"""Outlier ejection of endpoints that fail or are much slower than the others."""

import statistics
from collections.abc import Collection
from dataclasses import dataclass, field

from .ids import EndpointId

__all__ = ["Ejections", "Health"]

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 5.0
MIN_LATENCY_ANSWERS = 8
LATENCY_EWMA_WEIGHT = 0.2
EJECT_BASE_S = 2.0
EJECT_CAP_S = 60.0
MAX_EJECTED_SHARE = 0.34
MIN_COMPARED_ENDPOINTS = 3


@dataclass(slots=True)
class Health:
    """Health of one endpoint, as observed by this router.

    Parameters
    ----------
    failures : int
        Consecutive failures.
    latency_s : float
        Moving average, in seconds, of the time to first token per prefilled token.
    answers : int
        Answers in the moving average.
    ejected_until_s : float
    ejections : int
        Consecutive ejections without a successful probe.
    probing : bool
        Whether the ejection ended, and no answer or failure has been recorded since.
    """

    failures: int = 0
    latency_s: float = 0.0
    answers: int = 0
    ejected_until_s: float = float("-inf")
    ejections: int = 0
    probing: bool = False


@dataclass(slots=True)
class Ejections:
    """Decides which endpoints are ejected, and for how long."""

    health: dict[EndpointId, Health] = field(default_factory=dict)
    ejected: set[EndpointId] = field(default_factory=set)

    def record_success(
        self, endpoint: EndpointId, latency_s: float, now_s: float
    ) -> None:
        """Record an answer and its time to first token per prefilled token."""
        health = self.health.setdefault(endpoint, Health())
        health.failures = 0
        health.answers += 1
        if health.latency_s == 0.0:
            health.latency_s = latency_s
        health.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - health.latency_s)
        if health.probing:
            health.probing = False
            health.ejections = 0
            self.ejected.discard(endpoint)
        if self._is_slow(health):
            self._eject(endpoint, health, now_s)
            health.answers = 0
            health.latency_s = 0.0

    def _is_slow(self, health: Health) -> bool:
        latencies_s = [
            h.latency_s
            for h in self.health.values()
            if h.answers >= MIN_LATENCY_ANSWERS
        ]
        if (
            health.answers < MIN_LATENCY_ANSWERS
            or len(latencies_s) < MIN_COMPARED_ENDPOINTS
        ):
            return False
        return health.latency_s > SLOW_FACTOR * statistics.median(latencies_s)

    def record_failure(self, endpoint: EndpointId, now_s: float) -> None:
        """Record a failed attempt."""
        health = self.health.setdefault(endpoint, Health())
        health.failures += 1
        if health.probing or health.failures >= FAILURES_TO_EJECT:
            self._eject(endpoint, health, now_s)

    def _eject(self, endpoint: EndpointId, health: Health, now_s: float) -> None:
        self.ejected.add(endpoint)
        period_s = min(EJECT_CAP_S, EJECT_BASE_S * 2**health.ejections)
        health.ejected_until_s = now_s + period_s
        health.ejections += 1
        health.probing = False
        health.failures = 0

    def list_ejected(
        self, endpoints: Collection[EndpointId], now_s: float
    ) -> frozenset[EndpointId]:
        """Return the endpoints that are ejected now.

        An endpoint whose ejection ended is probed with requests from then on.
        """
        self.begin_probes(endpoints, now_s)
        return self.find_ejected(endpoints, now_s)

    def begin_probes(self, endpoints: Collection[EndpointId], now_s: float) -> None:
        """Probe those of the endpoints whose ejection has ended."""
        for endpoint in self.ejected:
            health = self.health[endpoint]
            if endpoint in endpoints and health.ejected_until_s <= now_s:
                health.probing = True

    def find_ejected(
        self, endpoints: Collection[EndpointId], now_s: float
    ) -> frozenset[EndpointId]:
        """Return the endpoints that are ejected now, and change nothing.

        At most `MAX_EJECTED_SHARE` of the endpoints are ejected, those with the longest
        remaining time first.
        """
        excluded = [
            endpoint
            for endpoint in self.ejected
            if endpoint in endpoints and self.health[endpoint].ejected_until_s > now_s
        ]
        max_ejected = int(MAX_EJECTED_SHARE * len(endpoints))
        excluded.sort(
            key=lambda endpoint: (-self.health[endpoint].ejected_until_s, endpoint)
        )
        return frozenset(excluded[:max_ejected])
