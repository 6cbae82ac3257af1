"""Rates of requests that endpoints accept from all routers together.

Each limited endpoint has a granter, one of the routers, which the others ask for a
permit before each request. If it does not answer, a second one grants permits at a
lower rate, so that two granters that do not know of each other stay within what an
endpoint tolerates.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from .host_ranking import rank_hosts
from .ids import EndpointId, HostId
from .limits import TokenBucket

__all__ = [
    "MAX_WAIT_S",
    "EndpointLimits",
    "NamedLimit",
    "Rank",
    "SharedLimit",
    "rank_granters",
]

# Share of the limit at which each granter grants permits, by its rank. The second one
# grants beside the first when routers lose each other.
GRANT_SHARES = (1.0, 0.4)
# Permits that may be granted at once: one, and the permits of this time.
BURST_S = 0.25
# Relative change of a limit that is reported at once.
REPORTED_CHANGE = 0.1
# Longest time after which a refused request may try again, seconds.
MAX_WAIT_S = 10.0
# Time for which a changed limit is repeated in the reports to other routers.
REPEAT_S = 1.0
MAX_RATE_PER_S = 1e9
MS = 0.001


Rate = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_RATE_PER_S)]
AgeMs = Annotated[int, msgspec.Meta(ge=0)]
# Rank of a granter.
Rank = Annotated[int, msgspec.Meta(ge=0, lt=len(GRANT_SHARES))]


class SharedLimit(msgspec.Struct, frozen=True, array_like=True):
    """Limit of an endpoint in a message to another router.

    Parameters
    ----------
    rate_per_s : float or None
        None if the endpoint no longer names a limit.
    age_ms : int
        Time since the endpoint's answer, milliseconds.
    """

    rate_per_s: Rate | None
    age_ms: AgeMs


@dataclass(slots=True)
class NamedLimit:
    """Limit in the newest answer of an endpoint.

    Parameters
    ----------
    rate_per_s : float or None
        Requests per second from all routers; None if the endpoint named no limit.
    named_at_s : float
        Time of the answer, seconds.
    changed_at_s : float
        Time at which an answer to this router last changed the limit, seconds. What
        another router has reported is not reported again.
    """

    rate_per_s: float | None
    named_at_s: float
    changed_at_s: float = float("-inf")


def _is_change(known: float | None, rate_per_s: float | None) -> bool:
    if known is None or rate_per_s is None:
        return known is not rate_per_s
    return abs(rate_per_s - known) > REPORTED_CHANGE * known


def _share(limit: NamedLimit, now_s: float) -> SharedLimit:
    age_ms = max(0, round((now_s - limit.named_at_s) / MS))
    return SharedLimit(limit.rate_per_s, age_ms)


def rank_granters(endpoint: EndpointId, hosts: Collection[HostId]) -> list[HostId]:
    """Return the routers that may grant permits for an endpoint, the first one first.

    All routers that know of the same hosts rank them alike.
    """
    return rank_hosts(endpoint, hosts)[: len(GRANT_SHARES)]


@dataclass(slots=True)
class EndpointLimits:
    """Limits that endpoints have named, permits granted and permits refused.

    Attributes
    ----------
    named : dict of EndpointId to NamedLimit
        Endpoints that name a limit, and those that have stopped doing so.
    refused_until_s : dict of EndpointId to float
        Time at which a permit that was refused may be asked for again, seconds.
    buckets : dict of EndpointId to TokenBucket
        Permits that this router may grant.
    """

    named: dict[EndpointId, NamedLimit] = field(default_factory=dict)
    refused_until_s: dict[EndpointId, float] = field(default_factory=dict)
    buckets: dict[EndpointId, TokenBucket] = field(default_factory=dict)
    reported_at_s: float = float("-inf")

    def get_rate(self, endpoint: EndpointId) -> float | None:
        """Return an endpoint's limit, requests per second; None if it has none."""
        limit = self.named.get(endpoint)
        return limit.rate_per_s if limit else None

    def list_limited(self) -> dict[EndpointId, float]:
        """Return the limits in force."""
        return {
            endpoint: limit.rate_per_s
            for endpoint, limit in self.named.items()
            if limit.rate_per_s is not None
        }

    def record_answer(
        self, endpoint: EndpointId, rate_per_s: float | None, now_s: float
    ) -> bool:
        """Record what an answer names; return whether the limit has changed."""
        has_changed = self._record(endpoint, rate_per_s, now_s)
        if has_changed:
            self.named[endpoint].changed_at_s = now_s
        return has_changed

    def _record(
        self, endpoint: EndpointId, rate_per_s: float | None, named_at_s: float
    ) -> bool:
        known = self.named.get(endpoint)
        if known is None:
            if rate_per_s is None:
                return False
            self.named[endpoint] = NamedLimit(rate_per_s, named_at_s)
            return True
        if named_at_s < known.named_at_s:
            return False
        is_change = _is_change(known.rate_per_s, rate_per_s)
        known.named_at_s = named_at_s
        known.rate_per_s = rate_per_s
        if is_change and rate_per_s is None:
            self.refused_until_s.pop(endpoint, None)
            self.buckets.pop(endpoint, None)
        return is_change

    def compute_wait_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the time before a permit may be asked for again, seconds."""
        return max(0.0, self.refused_until_s.get(endpoint, now_s) - now_s)

    def record_refusal(self, endpoint: EndpointId, wait_s: float, now_s: float) -> None:
        """Record that no permit was granted."""
        if self.get_rate(endpoint) is not None:
            self.refused_until_s[endpoint] = now_s + wait_s

    def grant(self, endpoint: EndpointId, rank: int, now_s: float) -> float:
        """Grant a permit and return 0, or return the time until there is one, seconds.

        Parameters
        ----------
        rank : int
            This router's rank among the granters of the endpoint.
        """
        limit = self.get_rate(endpoint)
        if limit is None:
            return 0.0
        rate_per_s = GRANT_SHARES[rank] * limit
        bucket = self.buckets.setdefault(endpoint, TokenBucket(0.0, now_s))
        wait_s = bucket.take(rate_per_s, 1.0 + BURST_S * rate_per_s, now_s)
        return min(MAX_WAIT_S, wait_s)

    def must_report(self) -> bool:
        """Return whether a limit has changed since the last report."""
        return any(x.changed_at_s > self.reported_at_s for x in self.named.values())

    def make_report(self, now_s: float) -> dict[EndpointId, SharedLimit]:
        """Return the limits that have changed recently."""
        self.reported_at_s = now_s
        return {
            endpoint: _share(limit, now_s)
            for endpoint, limit in self.named.items()
            if limit.changed_at_s >= now_s - REPEAT_S
        }

    def make_summary(self, now_s: float) -> dict[EndpointId, SharedLimit]:
        """Return all limits in force, for routers that have started since."""
        return {
            endpoint: _share(limit, now_s)
            for endpoint, limit in self.named.items()
            if limit.rate_per_s is not None
        }

    def share(self, endpoint: EndpointId, now_s: float) -> SharedLimit | None:
        """Return what is known of an endpoint's limit; None if nothing is."""
        limit = self.named.get(endpoint)
        return _share(limit, now_s) if limit else None

    def merge(
        self, shared: Mapping[EndpointId, SharedLimit], now_s: float
    ) -> list[EndpointId]:
        """Apply limits that another router knows; return those that have changed."""
        return [
            endpoint
            for endpoint, limit in shared.items()
            if self._record(endpoint, limit.rate_per_s, now_s - limit.age_ms * MS)
        ]

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Keep only the given endpoints."""
        kept = set(endpoints)
        for table in (self.named, self.refused_until_s, self.buckets):
            for endpoint in [x for x in table if x not in kept]:
                del table[endpoint]
