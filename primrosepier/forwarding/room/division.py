"""Division of a service's replicas between short and long prompts under contention.

An engine computes prompts in the order of their arrival, so a short prompt behind a
long one waits for all of it. While the replicas have time to spare, both kinds use all
of them. When the demand exceeds what they compute, short prompts get as many replicas
as they need to meet their target, and long ones, which wait in their routers, use the
others.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import xxhash

from ...hash_ring import mix_hash
from ...ids import ServiceId
from ..fleet import Replica
from .demand import PromptDemand, ServiceRates

__all__ = ["ReplicaDivision", "count_short_replicas"]

# Part of its time that a replica spends on short prompts at most. They arrive at random
# and share each step with the outputs of others.
SHORT_UTILIZATION = 0.5
# Demand, as a part of what the replicas compute, from which on they are divided, and
# below which they no longer are.
BEGIN_SHARE = 0.95
END_SHARE = 0.75
# Part of the replicas that long prompts keep, so that none starves.
MIN_LONG_SHARE = 0.25
# Replicas from which on they are divided.
MIN_REPLICAS = 2
# Interval at which a division may change, seconds: about the age of the reports.
UPDATE_INTERVAL_S = 0.5

RecordDivision = Callable[[ServiceId, int, int, float, float], None]


def ignore_division(
    service: ServiceId, short: int, replicas: int, short_per_s: float, long_per_s: float
) -> None:
    """Do nothing; used where no log is kept."""


def count_short_replicas(replicas: int, total: ServiceRates, is_divided: bool) -> int:
    """Return how many replicas short prompts have for themselves; 0 for no division.

    Parameters
    ----------
    replicas : int
        Replicas that may receive calls.
    total : ServiceRates
        Demand of all routers.
    is_divided : bool
        Whether the replicas are divided now.
    """
    if min(total.replica_per_s, total.short_per_s, total.long_per_s) <= 0:
        return 0
    if replicas < MIN_REPLICAS:
        return 0
    share = END_SHARE if is_divided else BEGIN_SHARE
    demand_per_s = total.short_per_s + total.long_per_s
    if demand_per_s < share * replicas * total.replica_per_s:
        return 0
    needed_short = total.short_per_s / (SHORT_UTILIZATION * total.replica_per_s)
    most = replicas - max(1, math.ceil(MIN_LONG_SHARE * replicas))
    return max(1, min(most, math.ceil(needed_short)))


@dataclass(slots=True)
class _Division:
    updated_at_s: float = -math.inf
    short: int = 0


@dataclass(slots=True)
class ReplicaDivision:
    """Replicas that calls with short and with long prompts may use.

    Parameters
    ----------
    demand : PromptDemand
    record : callable
        Called when the number of a service's replicas for short prompts changes.
    """

    demand: PromptDemand
    record: RecordDivision = ignore_division
    services: dict[ServiceId, _Division] = field(default_factory=dict)

    def select(
        self, is_long: bool, replicas: Sequence[Replica], now_s: float
    ) -> Sequence[Replica]:
        """Return the replicas of a service that a call may use.

        All routers rank the replicas alike, and a change of their number moves few.
        """
        if replicas:
            self._update(replicas[0].service, len(replicas), now_s)
        return self.preview(is_long, replicas, now_s)

    def preview(
        self, is_long: bool, replicas: Sequence[Replica], now_s: float
    ) -> Sequence[Replica]:
        """Return what `select` would, and change nothing."""
        if not replicas:
            return replicas
        service = replicas[0].service
        short, _ = self._compute_short(service, len(replicas), now_s)
        if not 0 < short < len(replicas):
            return replicas
        key = xxhash.xxh64_intdigest(service.encode())

        def compute_rank(replica: Replica) -> int:
            return mix_hash(key, xxhash.xxh64_intdigest(replica.id.encode()))

        ranked = sorted(replicas, key=compute_rank)
        return ranked[short:] if is_long else ranked[:short]

    def _compute_short(
        self, service: ServiceId, replicas: int, now_s: float
    ) -> tuple[int, ServiceRates | None]:
        """Return the replicas for short prompts, and the demand if it decides anew."""
        division = self.services.get(service) or _Division()
        if now_s < division.updated_at_s + UPDATE_INTERVAL_S:
            return division.short, None
        total = self.demand.compute_total(service, now_s)
        return count_short_replicas(replicas, total, division.short > 0), total

    def _update(self, service: ServiceId, replicas: int, now_s: float) -> None:
        short, total = self._compute_short(service, replicas, now_s)
        if total is None:
            return
        self.demand.drop_expired(now_s)
        division = self.services.setdefault(service, _Division())
        division.updated_at_s = now_s
        if short != division.short:
            division.short = short
            self.record(service, short, replicas, total.short_per_s, total.long_per_s)
