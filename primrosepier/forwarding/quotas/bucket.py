"""The token bucket of one workspace, as one router estimates it.

The bucket is shared by all routers. Each router knows its own calls at once and those
of its peers from reports that are up to 0.7 s old, so the bucket is a feedback loop
with a delay. Calls are admitted at random, with a probability that all routers compute
from the same reports, one for small calls and one for large ones (`sharing.py`).
"""

import math
import random
from dataclasses import dataclass, field

from ...ids import HostId
from ..declarations import Quota
from .sharing import AllowedRate, Demand, is_small

__all__ = ["PeerUsage", "QuotaBounds", "WorkspaceBucket", "make_bucket"]

# Time for which the requested rate is averaged, seconds: the average must follow a
# workspace whose rate rises within a second, and still hold several long calls.
AVERAGING_S = 0.5
# The same for the calls of a single router, which may see a long one in 40 s, seconds.
LONG_AVERAGING_S = 40.0
# Time within which a difference of the level from its reference is made up, seconds:
# longer than reports take, so that the loop does not oscillate.
CORRECTION_S = 1.0
# The same for small calls while the level is below its reference, seconds: the large
# calls that were admitted too many are made up for by large ones first.
SMALL_CORRECTION_S = 3.0
# Time that a report takes after it was made, seconds: about half of the 0.3 s to 0.7 s
# after which a call is known to the peers at 66 routers.
REPORT_DELAY_S = 0.3
# Tokens that are admitted too many before a rise of the requested rate is known, in
# seconds of the fill rate: 8 times the usual rate of 0.55 is 3.4 above the fill rate,
# for the 0.6 s that most reports take.
SURGE_S = 2.0
# Part of what a window may exceed the quota by that routers which do not hear each
# other may admit at once, so that they do not reject the first small calls after a
# restart. Routers that are all restarted several times get it each time: with 0.25,
# random restarts and partitions exceeded the bound.
INITIAL_CREDIT = 0.1
# Part of the bucket that is kept back for such a rise where a window may exceed the
# quota by too little. With more, the bucket would often be full and tokens be lost.
MAX_KEPT_BACK = 0.25
# Part of what a window may exceed the quota by that is used up while more is requested.
# The rest is for chance, since a few long calls are a second of a small quota, and for
# routers that are cut off from each other.
MAX_USED_UP = 1 / 3


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far calls may exceed a quota.

    Parameters
    ----------
    window_s : float
        Length of the windows in which the quota is checked, seconds.
    overshoot : float
        Share by which a window may exceed it.
    slack : float
        Tokens or requests by which a window may exceed it in addition.
    """

    window_s: float = 8.0
    overshoot: float = 0.1
    slack: float = 0.0

    def compute_allowance(self, quota: Quota) -> float:
        """Return by how much a window may exceed the quota, tokens or requests."""
        allowed = quota.rate_per_s * self.window_s + quota.burst
        return self.overshoot * allowed + self.slack


@dataclass(slots=True)
class PeerUsage:
    """What another router has reported of a workspace.

    Parameters
    ----------
    admitted, asked, asked_small : float
        Totals since its start: admitted, requested, and requested by small calls.
    admitted_per_s : float
    demand : Demand
        Rates that are assumed until its next report.
    is_first : bool
        Whether no earlier totals are known, so that the rates are not known either.
    """

    admitted: float
    asked: float
    asked_small: float = 0.0
    admitted_per_s: float = 0.0
    demand: Demand = field(default_factory=Demand)
    is_first: bool = False


@dataclass(slots=True)
class WorkspaceBucket:
    """Estimated token bucket of a workspace, and this router's totals.

    Parameters
    ----------
    quota : Quota
    bounds : QuotaBounds
    rng : random.Random
    updated_at_s : float
        Time up to which the bucket was filled, seconds.
    level : float
        Tokens or requests in the bucket. It may be negative.
    share : float
        Part of the quota that the routers that hear each other may use.

    Attributes
    ----------
    admitted, asked, asked_small : float
        This router's totals since its start.
    demand : Demand
        Average requested rates of this router.
    long_asked_per_s : float
        Requested rate of all its calls, averaged for as long as a single router needs.
    peers : dict of HostId to PeerUsage
        Routers that have had calls of the workspace in their last report.
    peer_admitted_per_s : float
    peer_demand : Demand
        Sums of their rates.
    is_alone : bool
        Whether this router hears no other one.
    credit : float
        What it may then admit.
    """

    quota: Quota
    bounds: QuotaBounds
    rng: random.Random
    updated_at_s: float
    level: float = 0.0
    share: float = 1.0
    admitted: float = 0.0
    asked: float = 0.0
    asked_small: float = 0.0
    demand: Demand = field(default_factory=Demand)
    long_asked_per_s: float = 0.0
    peers: dict[HostId, PeerUsage] = field(default_factory=dict)
    peer_admitted_per_s: float = 0.0
    peer_demand: Demand = field(default_factory=Demand)
    is_alone: bool = False
    credit: float = 0.0

    def change_quota(self, quota: Quota) -> None:
        """Apply another quota; the level is cut to the new capacity."""
        self.quota = quota
        self.level = min(self.level, self.share * quota.burst)
        self.credit = min(self.credit, self._compute_max_credit())

    def advance(self, now_s: float, share: float, is_alone: bool) -> None:
        """Fill the bucket up to a time, and apply the part that may be used from then.

        Calls of the peers since their last reports are extrapolated.
        """
        duration_s = max(0.0, now_s - self.updated_at_s)
        self.updated_at_s = max(now_s, self.updated_at_s)
        filled_per_s = self.share * self.quota.rate_per_s
        self.level += duration_s * (filled_per_s - self.peer_admitted_per_s)
        self.level = min(self.level, self._compute_max_level())
        self.credit = min(
            self.credit + duration_s * filled_per_s, self._compute_max_credit()
        )
        self.demand = self.demand.scale(math.exp(-duration_s / AVERAGING_S))
        self.long_asked_per_s *= math.exp(-duration_s / LONG_AVERAGING_S)
        if share < self.share:
            self.level *= share / self.share
        if is_alone:
            # The share of a router that has just started grows from 0.
            grown = share - self.share if self.is_alone else share
            kept = self.credit if self.is_alone else 0.0
            allowance = self.bounds.compute_allowance(self.quota)
            self.credit = kept + max(0.0, grown) * allowance * INITIAL_CREDIT
        self.share = share
        self.is_alone = is_alone

    def _compute_max_level(self) -> float:
        """Return the level of a full bucket, with what peers have yet to report."""
        unreported = REPORT_DELAY_S * self.peer_admitted_per_s
        return self.share * self.quota.burst + unreported

    def _compute_max_credit(self) -> float:
        """Return what all routers may use at once, for the share of this one.

        Half of what a window may exceed the quota by is left to chance, as routers that
        do not hear each other admit calls at random.
        """
        allowance = self.bounds.compute_allowance(self.quota)
        return self.share * (self.quota.burst + allowance / 2)

    def compute_reference(self) -> float:
        """Return the level that is aimed at while more is requested than the quota.

        What a window may exceed the quota by covers the calls that are admitted before
        a rise of the requested rate is known. The rest of it is used up, or, if it does
        not suffice, a part of the bucket is kept back.
        """
        quota = self.quota
        allowance = self.bounds.compute_allowance(quota)
        surge = SURGE_S * quota.rate_per_s
        largest = MAX_KEPT_BACK * quota.burst
        kept_back = min(largest, surge - allowance)
        kept_back = max(-MAX_USED_UP * allowance, kept_back)
        return self.share * kept_back

    def compute_allowed_rate(self) -> AllowedRate:
        """Return the rate that all routers together may admit."""
        filled_per_s = self.share * self.quota.rate_per_s
        level = self.level - REPORT_DELAY_S * self.peer_admitted_per_s
        missing = self.compute_reference() - level
        now_per_s = max(0.0, filled_per_s - missing / CORRECTION_S)
        small_per_s = filled_per_s - missing / SMALL_CORRECTION_S
        return AllowedRate(now_per_s, max(now_per_s, small_per_s))

    def compute_asked_rate(self) -> float:
        """Return the rate that is requested of all routers together, per second."""
        return (self.demand + self.peer_demand).total_per_s

    def compute_probability(self, cost: float) -> float:
        """Return the probability with which a call is admitted now."""
        if self.is_alone:
            return self._compute_offer(cost) / cost if cost > 0 else 1.0
        demand = self.demand + self.peer_demand
        small = is_small(cost, self.quota)
        return self.compute_allowed_rate().compute_probability(demand, small)

    def _compute_offer(self, cost: float) -> float:
        """Return the credit for a call of a router that is alone.

        While more is requested than its share, a call gets at most that part of its
        cost, so that short calls leave credit for the long ones. The part is the same
        for both: small calls that come first would keep the credit too low for them.
        """
        share_per_s = self.share * self.quota.rate_per_s
        part = 1.0
        if self.long_asked_per_s > share_per_s:
            part = share_per_s / self.long_asked_per_s
        return min(self.credit, part * cost)

    def admit(self, cost: float) -> bool:
        """Decide on a call, and charge it if it is admitted.

        The call itself does not count in the requested rate that decides on it, as few
        calls would otherwise be admitted less often than many. A router that is alone
        uses up credit whether or not the call is admitted, so that it admits as much as
        the credit on average also where a call costs more.
        """
        is_admitted = self.rng.random() < self.compute_probability(cost)
        if self.is_alone:
            self.credit -= self._compute_offer(cost)
        small_cost = cost if is_small(cost, self.quota) else 0.0
        self.asked += cost
        self.asked_small += small_cost
        asked = Demand(cost, small_cost)
        self.demand += asked.scale(1 / AVERAGING_S)
        self.long_asked_per_s += cost / LONG_AVERAGING_S
        if is_admitted:
            self.charge(cost)
        return is_admitted

    def charge(self, cost: float) -> None:
        """Charge a call of this router; a negative cost returns a charge."""
        self.admitted += cost
        self.level -= cost

    def compute_retry_after(self, cost: float, max_s: float) -> float:
        """Return when a rejected call may be retried, seconds.

        The time is chosen at random, so that a wave of rejected calls comes back spread
        out.
        """
        return self.rng.uniform(*self.compute_retry_range(cost, max_s))

    def compute_retry_range(self, cost: float, max_s: float) -> tuple[float, float]:
        """Return the earliest and the latest time of a retry, seconds.

        The latest is twice the time in which what was requested lately by calls of its
        kind, small or large, is admitted.
        """
        rate_per_s = self.share * self.quota.rate_per_s
        if rate_per_s <= 0:
            return 0.5 * max_s, max_s
        if self.is_alone:
            mean_s = max(0.0, cost - self.credit) / rate_per_s
        else:
            small = is_small(cost, self.quota)
            demand = self.demand + self.peer_demand
            allowed = AllowedRate(rate_per_s, rate_per_s)
            limit_per_s = allowed.find_limit(demand, small)
            missing = max(0.0, self.compute_reference() - self.level)
            correction_s = SMALL_CORRECTION_S if small else CORRECTION_S
            excess = max(0.0, demand.select(small) - limit_per_s) * CORRECTION_S
            excess += missing * CORRECTION_S / correction_s
            mean_s = excess / limit_per_s
        longest_s = min(max_s, 2 * max(AVERAGING_S, mean_s))
        return 0.25 * longest_s, longest_s

    def reset(self) -> None:
        """Assume that all that may be used beyond the quota has been used."""
        self.level = min(0.0, self.level, self.compute_reference())
        self.credit = 0.0

    def record_usage(
        self,
        host: HostId,
        usage: PeerUsage,
        interval_s: float,
        age_s: float,
    ) -> None:
        """Apply the totals that a peer reports.

        Parameters
        ----------
        usage : PeerUsage
            Its totals.
        interval_s : float
            Time between its last two reports, by its clock, seconds.
        age_s : float
            Time for which its calls were extrapolated since the last one, seconds.
        """
        previous = self.peers.get(host)
        if previous is None:
            previous = PeerUsage(usage.admitted, usage.asked, usage.asked_small)
        admitted = usage.admitted - previous.admitted
        self.level -= admitted - previous.admitted_per_s * age_s
        self.level = min(self.level, self._compute_max_level())
        kept = 0.0 if previous.is_first else math.exp(-interval_s / AVERAGING_S)
        new_per_s = (1 - kept) / interval_s
        asked = Demand(
            max(0.0, usage.asked - previous.asked),
            max(0.0, usage.asked_small - previous.asked_small),
        )
        ran = max(0.0, admitted)
        usage.admitted_per_s = previous.admitted_per_s * kept + ran * new_per_s
        usage.demand = previous.demand.scale(kept) + asked.scale(new_per_s)
        self.peer_admitted_per_s += usage.admitted_per_s - previous.admitted_per_s
        self.peer_demand += usage.demand - previous.demand
        self.peers[host] = usage

    def add_base(self, host: HostId, base: PeerUsage) -> None:
        """Take the totals of a peer from before its first call of late."""
        self.peers.setdefault(host, base)

    def remove_peer(self, host: HostId, age_s: float = 0.0) -> None:
        """Forget a peer that has had no calls of late, or is silent.

        Parameters
        ----------
        age_s : float
            Time for which calls were extrapolated that it did not have, seconds.
        """
        usage = self.peers.pop(host, None)
        if usage is None:
            return
        refunded = self.level + usage.admitted_per_s * age_s
        self.level = min(refunded, self._compute_max_level())
        self.peer_admitted_per_s -= usage.admitted_per_s
        self.peer_demand -= usage.demand
        if not self.peers:
            # Ends the rounding errors of the sums.
            self.peer_admitted_per_s = 0.0
            self.peer_demand = Demand()


def make_bucket(
    quota: Quota,
    bounds: QuotaBounds,
    rng: random.Random,
    known_at_s: float,
    share: float,
) -> WorkspaceBucket:
    """Return the bucket of a workspace whose quota becomes known at a time, seconds.

    All that the workspace may use beyond it may have been used before; the bucket is
    filled from then on.
    """
    bucket = WorkspaceBucket(quota, bounds, rng, known_at_s, share=share)
    bucket.reset()
    return bucket
