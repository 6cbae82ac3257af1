"""Rates at which replicas compute prompts, from the prefills of long ones."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...ids import EndpointId, ServiceId

__all__ = ["PrefillRates", "RateSamples"]

# Prefills kept for each replica: enough for a quantile, few enough to follow changes.
MAX_SAMPLES = 16
# Prefills after which a replica's own rate counts.
MIN_SAMPLES = 3
# Quantile of the samples that counts. The lowest rates come from prefills that waited
# for other work, the highest from prompts that were cached unnoticed, which at the
# holders of popular prefixes are many: with the upper quartile, such a replica counted
# as several times as fast and was given several long prompts at a time.
SAMPLE_QUANTILE = 0.5
# Quantile of the replicas' rates that counts for one that is not known: a low one,
# since more prompts than a replica can compute make short ones late.
SERVICE_QUANTILE = 0.25


def _find_quantile(values: Iterable[float], share: float) -> float:
    ranked = sorted(values)
    return ranked[int(share * (len(ranked) - 1))]


@dataclass(slots=True)
class RateSamples:
    """Rates of the last prefills at one replica, tokens per second."""

    samples: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    tokens_per_s: float = 0.0

    def add(self, tokens: int, prefill_s: float) -> None:
        """Record a prefill beside which no other long one was in progress."""
        if prefill_s > 0 and tokens > 0:
            self.samples.append(tokens / prefill_s)
            if len(self.samples) >= MIN_SAMPLES:
                self.tokens_per_s = _find_quantile(self.samples, SAMPLE_QUANTILE)


@dataclass(slots=True)
class PrefillRates:
    """Rates that granters have named, by service and replica."""

    services: dict[ServiceId, dict[EndpointId, float]] = field(default_factory=dict)
    defaults: dict[ServiceId, float] = field(default_factory=dict)

    def record(
        self, service: ServiceId, endpoint: EndpointId, tokens_per_s: float
    ) -> None:
        """Record the rate that the granter of a replica names; 0 tells nothing."""
        if tokens_per_s > 0:
            rates = self.services.setdefault(service, {})
            rates[endpoint] = tokens_per_s
            self.defaults[service] = _find_quantile(rates.values(), SERVICE_QUANTILE)

    def get(self, service: ServiceId, endpoint: EndpointId) -> float:
        """Return a replica's rate, or one that suits its service; 0 if unknown."""
        known = self.services.get(service)
        if known is None:
            return 0.0
        return known.get(endpoint) or self.defaults.get(service, 0.0)

    def get_default(self, service: ServiceId) -> float:
        """Return a rate that suits the replicas of a service; 0 if unknown."""
        return self.defaults.get(service, 0.0)

    def retain(self, endpoints: set[EndpointId]) -> None:
        """Keep only the given replicas."""
        for service, rates in self.services.items():
            for endpoint in [x for x in rates if x not in endpoints]:
                del rates[endpoint]
            if rates:
                self.defaults[service] = _find_quantile(
                    rates.values(), SERVICE_QUANTILE
                )
