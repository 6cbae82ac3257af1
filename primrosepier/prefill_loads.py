"""Smoothed prefill load of endpoints, from the token counters they report."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .ids import EndpointId

__all__ = ["PrefillLoadTable"]

SMOOTHING_S = 60.0
SETTLING_S = 10.0
MIN_RELATIVE_LOAD = 0.25
MAX_RELATIVE_LOAD = 4.0


@dataclass(slots=True)
class _PrefillRate:
    """Token counter of one endpoint and its smoothed rate in tokens per second."""

    computed_tokens: int
    reported_at_s: float
    first_reported_at_s: float
    rate: float = 0.0


class PrefillLoadTable:
    """Prefill rate of each endpoint, relative to the mean of its service.

    Routers that read the same reports have nearly identical tables.

    Parameters
    ----------
    smoothing_s : float
        Time constant of the moving averages, in seconds.
    """

    def __init__(self, smoothing_s: float = SMOOTHING_S):
        self.smoothing_s = smoothing_s
        self.entries: dict[EndpointId, _PrefillRate] = {}
        self.mean = 0.0

    def update(self, counters: Mapping[EndpointId, int], now_s: float) -> None:
        """Record the prompt tokens that each endpoint computed since its start."""
        for endpoint, tokens in counters.items():
            entry = self.entries.get(endpoint)
            if entry is None or tokens < entry.computed_tokens:
                self.entries[endpoint] = _PrefillRate(tokens, now_s, now_s)
            elif now_s > entry.reported_at_s:
                self._add_report(entry, tokens, now_s)
        for endpoint in [e for e in self.entries if e not in counters]:
            del self.entries[endpoint]
        rates = [entry.rate for entry in self.entries.values()]
        self.mean = sum(rates) / len(rates) if rates else 0.0

    def _add_report(self, entry: _PrefillRate, tokens: int, now_s: float) -> None:
        elapsed_s = now_s - entry.reported_at_s
        rate = (tokens - entry.computed_tokens) / elapsed_s
        observed_s = entry.reported_at_s - entry.first_reported_at_s
        span_s = min(self.smoothing_s, observed_s + elapsed_s)
        weight = 1 - math.exp(-elapsed_s / span_s)
        entry.rate += weight * (rate - entry.rate)
        entry.computed_tokens = tokens
        entry.reported_at_s = now_s

    def get(self, endpoint: EndpointId) -> float:
        """Return the relative prefill load, or 1.0 when it is unknown.

        A recently added endpoint is kept close to 1.0 until its rate settles.
        """
        entry = self.entries.get(endpoint)
        if entry is None or not self.mean:
            return 1.0
        observed_s = entry.reported_at_s - entry.first_reported_at_s
        confidence = observed_s / (observed_s + SETTLING_S)
        load = 1 + confidence * (entry.rate / self.mean - 1)
        return min(MAX_RELATIVE_LOAD, max(MIN_RELATIVE_LOAD, load))
