"""Decisions of the router that grants the prefill permits of a replica.

A short prompt that arrives at a replica waits for the long ones that are computed
there. The granter therefore allows no more prompt tokens at a time than the replica
computes in the time that a short prompt can spare, but always one call. Calls that wait
get their permits in order of urgency, then of the time at which they have to begin.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from ...ids import EndpointId, HostId
from .messages import MAX_WAIT_S
from .rates import RateSamples

__all__ = ["Demand", "Grant", "PermitName", "PrefillGranter"]

# Time after which a permit expires, in expected durations of the prefills up to it. The
# replica computes short prompts and outputs as well.
EXPIRY_FACTOR = 4.0
# Time for which a waiting call keeps its place without a repeated request, seconds.
WAITING_TTL_S = 1.0
# Shortest wait that is named, seconds: a few round trips between routers.
MIN_WAIT_S = 0.005
# Time for which the name of a permit that has ended is kept, seconds: a repeated
# request for it may arrive late.
ENDED_TTL_S = 1.0


class PermitName(NamedTuple):
    """Name of a permit: the router that asked for it, and the request's number."""

    holder: HostId
    number: int


# Name of the request of a preview; requests are numbered from 0.
PREVIEW_NAME = PermitName(HostId(""), -1)


@dataclass(frozen=True, slots=True)
class Demand:
    """What a call asks of a replica.

    Parameters
    ----------
    tokens : int
        Prompt tokens to compute.
    budget_s : float
        Time that a short prompt may wait behind long ones, seconds.
    due_at_s : float
        Time at which the call has to begin, seconds.
    urgency : int
        0 is the most urgent.
    tokens_per_s : float
        Rate to assume for the replica if none has been measured; 0 for none.
    """

    tokens: int
    budget_s: float
    due_at_s: float
    urgency: int
    tokens_per_s: float = 0.0

    def compute_duration_s(self, tokens_per_s: float) -> float:
        """Return the expected time of the prefill, seconds."""
        rate = tokens_per_s or self.tokens_per_s
        return self.tokens / rate if rate else self.budget_s


class Grant(NamedTuple):
    """Reply to a request: 0 or the time until the call's turn, and the known rate."""

    wait_s: float
    tokens_per_s: float


@dataclass(slots=True)
class _Permit:
    demand: Demand
    granted_at_s: float
    expires_at_s: float
    was_alone: bool


@dataclass(slots=True)
class _Waiting:
    demand: Demand
    asked_at_s: float

    @property
    def rank(self) -> tuple[int, float]:
        return self.demand.urgency, self.demand.due_at_s


@dataclass(slots=True)
class _ReplicaPrefills:
    """Permits for one replica.

    Attributes
    ----------
    single_until_s : float
        Time until which one call is allowed at a time, seconds: the permits that
        another granter gave may still be in use.
    paused_until_s : float
        Time until which none is granted, seconds.
    """

    single_until_s: float
    paused_until_s: float = float("-inf")
    permits: dict[PermitName, _Permit] = field(default_factory=dict)
    waiting: dict[PermitName, _Waiting] = field(default_factory=dict)
    ended: dict[PermitName, float] = field(default_factory=dict)
    rates: RateSamples = field(default_factory=RateSamples)

    def expire(self, now_s: float) -> None:
        """Forget permits, waiting calls and names that are too old."""
        for name in [x for x, y in self.permits.items() if y.expires_at_s <= now_s]:
            del self.permits[name]
        oldest_s = now_s - WAITING_TTL_S
        for name in [x for x, y in self.waiting.items() if y.asked_at_s <= oldest_s]:
            del self.waiting[name]
        while self.ended:
            name = next(iter(self.ended))
            if self.ended[name] > now_s - ENDED_TTL_S:
                return
            del self.ended[name]

    def compute_limit(self, demand: Demand, now_s: float) -> float:
        """Return how many tokens may be in progress at a time, one call apart."""
        if now_s < self.single_until_s:
            return 0.0
        return demand.budget_s * (self.rates.tokens_per_s or demand.tokens_per_s)

    def copy(self) -> "_ReplicaPrefills":
        """Return a copy whose changes leave this one as it is."""
        return replace(
            self,
            permits={name: replace(permit) for name, permit in self.permits.items()},
            waiting=dict(self.waiting),
            ended=dict(self.ended),
        )

    def request(
        self, name: PermitName, demand: Demand, waits: bool, now_s: float
    ) -> tuple[Grant, list[PermitName]]:
        """Grant a permit or tell when; also return waiting calls that now have theirs.

        Parameters
        ----------
        waits : bool
            Whether the call takes a place among the waiting ones if it is refused.
        """
        self.expire(now_s)
        rate = self.rates.tokens_per_s
        if name in self.ended:
            return Grant(MIN_WAIT_S, rate), []
        if name in self.permits:
            return Grant(0.0, rate), []
        if waits:
            self.waiting[name] = _Waiting(demand, now_s)
        granted = self.grant_waiting(now_s)
        if name in granted:
            granted.remove(name)
            return Grant(0.0, rate), granted
        own_rank = demand.urgency, demand.due_at_s
        ahead = sorted(
            (x for y, x in self.waiting.items() if y != name and x.rank <= own_rank),
            key=lambda waiting: waiting.rank,
        )
        if not waits and not ahead and self.fits(demand, now_s):
            self.grant(name, demand, now_s)
            return Grant(0.0, rate), granted
        turn_s = self.compute_turn_s(demand, [x.demand for x in ahead], now_s)
        return Grant(min(MAX_WAIT_S, turn_s - now_s), rate), granted

    def fits(self, demand: Demand, now_s: float) -> bool:
        """Return whether a call may begin now."""
        if now_s < self.paused_until_s:
            return False
        if not self.permits:
            return True
        in_progress = sum(x.demand.tokens for x in self.permits.values())
        return in_progress + demand.tokens <= self.compute_limit(demand, now_s)

    def grant(self, name: PermitName, demand: Demand, now_s: float) -> None:
        """Record a permit."""
        self.waiting.pop(name, None)
        finish_s = now_s + demand.compute_duration_s(self.rates.tokens_per_s)
        for permit in self.permits.values():
            finish_s += permit.demand.compute_duration_s(self.rates.tokens_per_s)
            permit.was_alone = False
        expires_at_s = now_s + EXPIRY_FACTOR * (finish_s - now_s)
        self.permits[name] = _Permit(demand, now_s, expires_at_s, not self.permits)

    def grant_waiting(self, now_s: float) -> list[PermitName]:
        """Grant permits to waiting calls in their order; return their names."""
        granted = []
        while self.waiting:
            name = min(self.waiting, key=lambda x: self.waiting[x].rank)
            demand = self.waiting[name].demand
            if not self.fits(demand, now_s):
                break
            self.grant(name, demand, now_s)
            granted.append(name)
        return granted

    def compute_turn_s(
        self, demand: Demand, ahead: Collection[Demand], now_s: float
    ) -> float:
        """Return when a call may begin after the permits and the calls ahead of it."""
        known_rate = self.rates.tokens_per_s
        limit = self.compute_limit(demand, now_s)
        left = sum(x.demand.tokens for x in self.permits.values())
        left += sum(x.tokens for x in ahead)
        finish_s = max(now_s, self.paused_until_s) + MIN_WAIT_S
        started_s = float("-inf")
        for permit in self.permits.values():
            started_s = max(started_s, permit.granted_at_s)
            started_s += permit.demand.compute_duration_s(known_rate)
            finish_s = max(finish_s, started_s)
            left -= permit.demand.tokens
            if left + demand.tokens <= limit:
                return finish_s
        for other in ahead:
            finish_s += other.compute_duration_s(known_rate)
            left -= other.tokens
            if left + demand.tokens <= limit:
                return finish_s
        return finish_s


@dataclass(slots=True)
class PrefillGranter:
    """Grants prefill permits without I/O.

    Parameters
    ----------
    is_single : bool
        Whether to allow one call at a time only.

    Attributes
    ----------
    replicas : dict of EndpointId to _ReplicaPrefills
        Permits of the replicas that this router has granted any for.
    """

    is_single: bool = False
    replicas: dict[EndpointId, _ReplicaPrefills] = field(default_factory=dict)

    def request(
        self,
        endpoint: EndpointId,
        name: PermitName,
        demand: Demand,
        waits: bool,
        now_s: float,
    ) -> tuple[Grant, list[PermitName]]:
        """Grant a permit or tell when; also return waiting calls that now have theirs.

        Parameters
        ----------
        waits : bool
            Whether the call takes a place among the waiting ones if it is refused.
        """
        replica = self.replicas.get(endpoint)
        if replica is None:
            replica = self.replicas[endpoint] = self._make_replica(demand, now_s)
        return replica.request(name, demand, waits, now_s)

    def _make_replica(self, demand: Demand, now_s: float) -> _ReplicaPrefills:
        single_s = math.inf if self.is_single else demand.compute_duration_s(0.0)
        return _ReplicaPrefills(single_until_s=now_s + single_s)

    def preview(self, endpoint: EndpointId, demand: Demand, now_s: float) -> Grant:
        """Return the reply to a request that is not made."""
        replica = self.replicas.get(endpoint) or self._make_replica(demand, now_s)
        grant, _ = replica.copy().request(PREVIEW_NAME, demand, False, now_s)
        return grant

    def release(
        self,
        endpoint: EndpointId,
        name: PermitName,
        prefill_s: float | None,
        lacked_room: bool,
        now_s: float,
    ) -> list[PermitName]:
        """End a permit or a wait; return the waiting calls that now have a permit.

        Parameters
        ----------
        prefill_s : float or None
            Time of the prefill, seconds; None if the call had no output.
        lacked_room : bool
            Whether the replica rejected the call for lack of capacity.
        """
        replica = self.replicas.get(endpoint)
        if replica is None:
            return []
        replica.ended[name] = now_s
        replica.waiting.pop(name, None)
        permit = replica.permits.pop(name, None)
        if permit is not None and prefill_s is not None and permit.was_alone:
            replica.rates.add(permit.demand.tokens, prefill_s)
        if permit is not None and lacked_room:
            duration_s = permit.demand.compute_duration_s(replica.rates.tokens_per_s)
            replica.paused_until_s = now_s + duration_s
        replica.expire(now_s)
        return replica.grant_waiting(now_s)

    def get_rate(self, endpoint: EndpointId) -> float:
        """Return the measured rate of a replica, tokens per second; 0 if unknown."""
        replica = self.replicas.get(endpoint)
        return 0.0 if replica is None else replica.rates.tokens_per_s

    def count(self) -> tuple[int, int]:
        """Return the permits in use and the calls that wait, over all replicas."""
        replicas = self.replicas.values()
        return (
            sum(len(x.permits) for x in replicas),
            sum(len(x.waiting) for x in replicas),
        )

    def retain(
        self, endpoints: Collection[EndpointId], holders: Collection[HostId]
    ) -> None:
        """Keep only the given replicas, and the calls of the given routers."""
        for endpoint in [x for x in self.replicas if x not in endpoints]:
            del self.replicas[endpoint]
        for replica in self.replicas.values():
            for permit in [x for x in replica.permits if x.holder not in holders]:
                del replica.permits[permit]
            for waiting in [x for x in replica.waiting if x.holder not in holders]:
                del replica.waiting[waiting]
