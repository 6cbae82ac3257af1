"""What replicas ask of this router in the heads of their responses.

A replica may limit its calls, be brittle, ask for rest or say that it leaves. All of it
decides together whether, and from when on, it may receive a call.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..clocks import Clock
from ..endpoint_windows import Brittleness
from ..ids import EndpointId, RequestId
from ..log_events import RestRequested
from ..logs import Log
from ..rest_periods import RestPeriods, spread_return
from .attempts import RETRY_AFTER_S
from .calls import ResponseHead
from .fleet import Replica, ReplicaList
from .leaving import LeavingReplicas
from .permits import PermitExchange
from .records import BrittlenessChanged, LimitChanged
from .replica_load import ReplicaLoadTable

__all__ = ["LIMIT_REASON", "REST_REASON", "ReplicaNotices"]

LIMIT_REASON = "all replicas have reached the limits that they name"
REST_REASON = "all replicas have asked for rest"


@dataclass(slots=True)
class ReplicaNotices:
    """Records what replicas ask for, and tells which of them may receive calls.

    Parameters
    ----------
    permits : PermitExchange
        Permits for calls to replicas that limit their rate or are brittle.
    read_replicas : callable
        Returns the replicas that accept new calls.
    rests : RestPeriods
        Rest that replicas have asked this router for.
    leaving : LeavingReplicas
        Replicas that say that they are leaving.
    """

    permits: PermitExchange
    loads: ReplicaLoadTable
    read_replicas: Callable[[], ReplicaList]
    log: Log
    clock: Clock
    rng: random.Random = field(default_factory=random.Random)
    rests: RestPeriods = field(default_factory=RestPeriods)
    leaving: LeavingReplicas = field(default_factory=LeavingReplicas)

    def compute_wait_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the time before a replica may receive a call, seconds."""
        return max(
            self.permits.compute_wait_s(endpoint, now_s),
            self.rests.compute_wait_s(endpoint, now_s),
        )

    def find_first_return(self, replicas: Sequence[Replica]) -> tuple[float, str]:
        """Return the time before any replica may receive calls, and what it is for.

        The time, in seconds, is 0 if one may now; the end of a rest is spread.
        """
        wait_s, reason = self.compute_first_return(replicas, self.clock())
        if reason == REST_REASON:
            wait_s = spread_return(wait_s, self.rng)
        return wait_s, reason

    def compute_first_return(
        self, replicas: Sequence[Replica], now_s: float
    ) -> tuple[float, str]:
        """Return the same without the spread."""
        if not replicas:
            return 0.0, ""
        first = min(replicas, key=lambda x: self.compute_wait_s(x.id, now_s)).id
        limit_wait_s = self.permits.compute_wait_s(first, now_s)
        if limit_wait_s and self.permits.windows.get_brittleness(first):
            limit_wait_s = max(limit_wait_s, RETRY_AFTER_S)
        rest_wait_s = self.rests.compute_wait_s(first, now_s)
        if rest_wait_s <= limit_wait_s:
            return limit_wait_s, LIMIT_REASON
        return rest_wait_s, REST_REASON

    def select_proven(
        self, replicas: Sequence[Replica], now_s: float
    ) -> Sequence[Replica]:
        """Leave out replicas whose rest has just ended, if another one takes calls."""
        proven = [x for x in replicas if not self.rests.is_unproven(x.id, now_s)]
        takes_calls = any(self.loads.read(x.id).avoid_until_s <= now_s for x in proven)
        return proven if takes_calls else replicas

    def count_resting(self, replicas: Sequence[Replica], now_s: float) -> int:
        """Return how many of the replicas have asked for rest."""
        return sum(self.rests.compute_wait_s(x.id, now_s) > 0 for x in replicas)

    def record_head(
        self, call: RequestId, replica: Replica, head: ResponseHead, sent_at_s: float
    ) -> None:
        """Record what the head of a response to a call tells.

        Parameters
        ----------
        sent_at_s : float
            Time at which the call was sent, seconds.
        """
        self._record_limit(replica.id, head)
        # Refusals carry no proof, so the word counts without it.
        if head.is_leaving and not head.misdirected:
            self.leaving.record(replica, self.clock())
        self._record_brittleness(replica.id, head)
        self._record_rest(call, replica.id, head, sent_at_s)

    def record_leaving(self, endpoint: EndpointId, born_ms: int) -> None:
        """Record that a process of a replica told another router that it is leaving."""
        for replicas in self.read_replicas().by_service.values():
            for replica in replicas:
                if (replica.id, replica.born_ms) == (endpoint, born_ms):
                    self.leaving.record(replica, self.clock())

    def _record_limit(self, endpoint: EndpointId, head: ResponseHead) -> None:
        """Record the limit that a replica names, or that it names none."""
        rate_per_s = head.rate_limit_per_s
        is_unsure = not head.authentic and rate_per_s is None
        if head.misdirected or is_unsure:
            return
        if self.permits.limits.record_answer(endpoint, rate_per_s, self.clock()):
            self.log.emit(LimitChanged(endpoint, rate_per_s))
            self.loads.changed.set()

    def _record_brittleness(self, endpoint: EndpointId, head: ResponseHead) -> None:
        """Record whether the replica says that it is brittle."""
        refusals_per_s = head.refusals_per_s
        if head.misdirected or (not head.authentic and refusals_per_s is None):
            return
        brittleness = None
        if refusals_per_s is not None:
            load = self.loads.get_or_create(endpoint).reported
            slots = self._get_slots(endpoint) if load is None else load.slots
            brittleness = Brittleness(refusals_per_s, max(1, slots))
        windows = self.permits.windows
        if windows.record_answer(endpoint, brittleness, self.clock()):
            self.log.emit(BrittlenessChanged(endpoint, refusals_per_s))
            self.loads.changed.set()

    def _get_slots(self, endpoint: EndpointId) -> int:
        """Return the slots that a replica has registered; 1 if it is not registered."""
        services = self.read_replicas().by_service.values()
        replicas = (replica for group in services for replica in group)
        return next((x.slots for x in replicas if x.id == endpoint), 1)

    def _record_rest(
        self,
        call: RequestId,
        endpoint: EndpointId,
        head: ResponseHead,
        sent_at_s: float,
    ) -> None:
        """Record the rest that a replica asks for, or that it asks for none."""
        if head.rest is not None:
            rest = head.rest
            self.rests.begin(endpoint, rest.rest_s, self.clock())
            self.log.emit(RestRequested(call, endpoint, rest.text, rest.rest_s))
        elif not head.misdirected and (head.not_run or head.authentic):
            self.rests.record_answer(endpoint, sent_at_s)
