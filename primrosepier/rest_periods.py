"""Rest that endpoints ask for when they turn requests away.

An endpoint asks one router for it, so routers do not tell each other. When the time is
over, requests go there one at a time until one is answered without another rest.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from .ids import EndpointId
from .retry_after import RestRequest

__all__ = ["RestPeriod", "RestPeriods", "compute_return_spread_s", "spread_return"]

# Added to each rest, seconds, for clocks that tick differently.
MARGIN_S = 0.01
# Time between requests to an endpoint whose rest is over, until one is answered,
# seconds. A request without an answer does not keep the endpoint unused for longer.
TRIAL_INTERVAL_S = 0.5
# Time after a rest in which calls prefer endpoints that are known to take them,
# seconds.
MAX_TRIAL_DELAY_S = 1.0
# Share of the time left of a rest that is added to it at random, and the longest time
# that is added to a short one, seconds.
RETURN_SPREAD_SHARE = 0.25
MIN_RETURN_SPREAD_S = 0.1


def spread_return(wait_s: float, rng: random.Random) -> float:
    """Return the time after which a caller that is refused now may return, seconds.

    Callers that are refused during one rest would otherwise all return at its end.
    """
    return wait_s + rng.uniform(0, compute_return_spread_s(wait_s))


def compute_return_spread_s(wait_s: float) -> float:
    """Return the longest time that is added to the time before a return, seconds."""
    return max(MIN_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * wait_s)


@dataclass(slots=True)
class RestPeriod:
    """Rest of one endpoint.

    Parameters
    ----------
    until_s : float
        End of the rest, seconds.
    next_request_at_s : float
        Time from which the next request may be sent, seconds.
    """

    until_s: float
    next_request_at_s: float


@dataclass(slots=True)
class RestPeriods:
    """Rest of the endpoints that have asked this router for it."""

    periods: dict[EndpointId, RestPeriod] = field(default_factory=dict)

    def begin(self, endpoint: EndpointId, rest_s: float, now_s: float) -> None:
        """Begin a rest when the answer that asks for it arrives.

        A rest that ends earlier than the one in progress does not shorten it.
        """
        if rest_s <= 0:
            return
        until_s = now_s + rest_s + MARGIN_S
        period = self.periods.get(endpoint)
        if period is None or until_s > period.until_s:
            self.periods[endpoint] = RestPeriod(until_s, until_s)

    def record(
        self,
        endpoint: EndpointId,
        rest: RestRequest | None,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Record an answer; ``sent_at_s`` is the time of its request, seconds."""
        if rest is None:
            self.record_answer(endpoint, sent_at_s)
        else:
            self.begin(endpoint, rest.rest_s, now_s)

    def compute_rest_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the time before an endpoint's rest ends, seconds."""
        period = self.periods.get(endpoint)
        return max(0.0, period.until_s - now_s) if period else 0.0

    def compute_wait_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the time before a request may be sent, seconds."""
        period = self.periods.get(endpoint)
        return max(0.0, period.next_request_at_s - now_s) if period else 0.0

    def try_begin_request(self, endpoint: EndpointId, now_s: float) -> bool:
        """Return whether a request may be sent now; the next one then has to wait."""
        period = self.periods.get(endpoint)
        if period is None:
            return True
        if now_s < period.next_request_at_s:
            return False
        period.next_request_at_s = now_s + TRIAL_INTERVAL_S
        return True

    def is_unproven(self, endpoint: EndpointId, now_s: float) -> bool:
        """Return whether a rest ended of late and no answer has come since then."""
        period = self.periods.get(endpoint)
        return period is not None and now_s < period.until_s + MAX_TRIAL_DELAY_S

    def record_answer(self, endpoint: EndpointId, sent_at_s: float) -> None:
        """Record an answer that asks for no rest.

        Parameters
        ----------
        sent_at_s : float
            Time at which the request was sent, seconds. The answer to one that was
            sent before the rest ended says nothing about the time after it.
        """
        period = self.periods.get(endpoint)
        if period is not None and sent_at_s >= period.until_s:
            del self.periods[endpoint]

    def count_resting(self, now_s: float) -> int:
        """Return the number of endpoints whose rest has not ended."""
        return sum(now_s < period.until_s for period in self.periods.values())

    def retain(self, endpoints: Iterable[EndpointId], now_s: float) -> None:
        """Forget the other endpoints once their rest has ended.

        The registration of an endpoint may lapse and return within it.
        """
        kept = set(endpoints)
        for endpoint in list(self.periods):
            if endpoint not in kept and self.periods[endpoint].until_s <= now_s:
                del self.periods[endpoint]
