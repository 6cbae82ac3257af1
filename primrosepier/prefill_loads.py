"""Smoothed prefill work of endpoints, from the counters that they report."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .ids import EndpointId

__all__ = ["PrefillLoadTable"]

SMOOTHING_S = 60.0
SETTLE_S = 10.0
MIN_RELATIVE_LOAD = 0.25
MAX_RELATIVE_LOAD = 4.0


@dataclass(slots=True)
class _Work:
    """Counter of one endpoint and its smoothed rate."""

    computed_tokens: int
    reported_s: float
    first_s: float
    rate: float = 0.0


class PrefillLoadTable:
    """Prefill rate of each endpoint over the mean of its service.

    All routers read the same reports, so all hold nearly the same table.

    Parameters
    ----------
    smoothing_s : float
        Time constant of the moving averages, seconds.
    """

    def __init__(self, smoothing_s: float = SMOOTHING_S):
        self.smoothing_s = smoothing_s
        self.work: dict[EndpointId, _Work] = {}
        self.mean = 0.0

    def update(self, counters: Mapping[EndpointId, int], now_s: float) -> None:
        """Take in the computed prompt tokens, since its start, of each endpoint."""
        for endpoint, tokens in counters.items():
            work = self.work.get(endpoint)
            if work is None or tokens < work.computed_tokens:
                self.work[endpoint] = _Work(tokens, now_s, now_s)
            elif now_s > work.reported_s:
                self._add_report(work, tokens, now_s)
        for endpoint in [name for name in self.work if name not in counters]:
            del self.work[endpoint]
        rates = [work.rate for work in self.work.values()]
        self.mean = sum(rates) / len(rates) if rates else 0.0

    def _add_report(self, work: _Work, tokens: int, now_s: float) -> None:
        elapsed_s = now_s - work.reported_s
        rate = (tokens - work.computed_tokens) / elapsed_s
        known_s = work.reported_s - work.first_s
        span_s = min(self.smoothing_s, known_s + elapsed_s)
        share = 1 - math.exp(-elapsed_s / span_s)
        work.rate += share * (rate - work.rate)
        work.computed_tokens = tokens
        work.reported_s = now_s

    def get(self, endpoint: EndpointId) -> float:
        """Return the pressure, 1.0 when unknown.

        It counts the more, the longer the endpoint was seen.
        """
        work = self.work.get(endpoint)
        if work is None or not self.mean:
            return 1.0
        seen_s = work.reported_s - work.first_s
        trust = seen_s / (seen_s + SETTLE_S)
        load = 1 + trust * (work.rate / self.mean - 1)
        return min(MAX_RELATIVE_LOAD, max(MIN_RELATIVE_LOAD, load))
