"""Adaptive concurrency limits of endpoints."""

from dataclasses import dataclass, field

from .ids import EndpointId

__all__ = ["ConcurrencyLimit", "ConcurrencyLimits"]

DECREASE_FACTOR = 0.8
SLOW_TTFT_FACTOR = 4.0
BASELINE_SMOOTHING = 0.02
MIN_DECREASE_INTERVAL_S = 1.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """Limit of one endpoint, with additive increase and multiplicative decrease.

    Parameters
    ----------
    capacity : int
        Upper bound from the configuration.
    value : float
        Current limit.
    baseline_s : float
        Moving average of the time to first token, seconds; 0 before the first answer.
    """

    capacity: int
    value: float
    baseline_s: float = 0.0
    decreased_at_s: float = float("-inf")

    def record_answer(self, ttft_s: float, outstanding: int, now_s: float) -> None:
        """Record the time to first token of an answer."""
        if self.baseline_s == 0.0:
            self.baseline_s = ttft_s
        is_slow = ttft_s > SLOW_TTFT_FACTOR * self.baseline_s
        self.baseline_s += BASELINE_SMOOTHING * (ttft_s - self.baseline_s)
        if is_slow and outstanding >= 0.5 * self.value:
            self.record_overload(now_s)
        elif outstanding >= 0.5 * self.value:
            self.value = min(float(self.capacity), self.value + 1 / self.value)

    def record_overload(self, now_s: float) -> None:
        """Decrease the limit after a refusal or a slow answer.

        It decreases at most once per ``MIN_DECREASE_INTERVAL_S``.
        """
        if now_s - self.decreased_at_s < MIN_DECREASE_INTERVAL_S:
            return
        self.decreased_at_s = now_s
        self.value = max(1.0, self.value * DECREASE_FACTOR)


@dataclass(slots=True)
class ConcurrencyLimits:
    """Limits of all endpoints that this router uses."""

    by_endpoint: dict[EndpointId, ConcurrencyLimit] = field(default_factory=dict)

    def get(self, endpoint: EndpointId, capacity: int) -> ConcurrencyLimit:
        """Return the limit of an endpoint, which starts at the endpoint's capacity."""
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.capacity != capacity:
            limit = ConcurrencyLimit(capacity, float(capacity))
            self.by_endpoint[endpoint] = limit
        return limit

    def retain(self, known: set[EndpointId]) -> None:
        """Drop the limits of endpoints that are not in ``known``."""
        for endpoint in list(self.by_endpoint):
            if endpoint not in known:
                del self.by_endpoint[endpoint]
