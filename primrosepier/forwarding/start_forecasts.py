"""Forecasts of how long a call waits at a replica before its output begins."""

import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..clocks import Clock
from ..ids import EndpointId
from .replica_load import ReplicaLoadTable

__all__ = ["ReplicaWaits", "SentCall", "StartForecasts"]

# Age up to which a wait tells of the replica's queue, seconds.
RECENT_S = 5.0
# Waits kept for each replica, from which the rate of its prefill is computed.
MAX_WAITS = 32
# Shortest wait that is reported to the other routers, seconds: shorter ones end within
# the reserve of each forecast.
MIN_REPORTED_WAIT_S = 0.25


@dataclass(eq=False, frozen=True, slots=True)
class SentCall:
    """A call that was sent to a replica.

    Parameters
    ----------
    sent_at_s : float
        Monotonic time, seconds.
    tokens : float
        Prompt tokens that the replica has to compute before the call's output begins:
        its own and those ahead of it.
    """

    endpoint: EndpointId
    sent_at_s: float
    tokens: float


@dataclass(frozen=True, slots=True)
class _Wait:
    """A wait that is over.

    Parameters
    ----------
    tokens : float
        Prompt tokens that were computed meanwhile; 0 if the call ended before it began.
    """

    ended_at_s: float
    wait_s: float
    tokens: float


@dataclass(slots=True)
class ReplicaWaits:
    """Waits of this router's calls at one replica.

    Attributes
    ----------
    waiting : dict of SentCall
        Calls that have not begun, in the order in which they were sent.
    ended : deque
        Waits of the last calls that have begun, or ended before.
    """

    waiting: dict[SentCall, None] = field(default_factory=dict)
    ended: deque[_Wait] = field(default_factory=lambda: deque(maxlen=MAX_WAITS))

    def find_longest_wait_s(self, now_s: float) -> float:
        """Return the longest wait of late, over calls that have begun or not."""
        waits_s = [w.wait_s for w in self.ended if now_s - w.ended_at_s <= RECENT_S]
        waits_s += [now_s - call.sent_at_s for call in self.waiting]
        return max(waits_s, default=0.0)

    def end(self, call: SentCall, tokens: float, now_s: float) -> None:
        """Record that a call no longer waits, unless that is known already."""
        if call in self.waiting:
            del self.waiting[call]
            self.ended.append(_Wait(now_s, now_s - call.sent_at_s, tokens))

    def compute_tokens_per_s(self) -> float:
        """Return the highest rate at which prompts were computed; 0 if unknown.

        Lower rates may come from work that this router does not know of.
        """
        rates = [wait.tokens / wait.wait_s for wait in self.ended if wait.wait_s > 0]
        return max(rates, default=0.0)


@dataclass(slots=True)
class StartForecasts:
    """Forecasts the start of calls from the waits of earlier ones.

    Parameters
    ----------
    loads : ReplicaLoadTable
        Prompt tokens that the replicas have yet to compute.
    """

    loads: ReplicaLoadTable
    clock: Clock = time.monotonic
    replicas: dict[EndpointId, ReplicaWaits] = field(default_factory=dict)

    def record_sent(self, endpoint: EndpointId) -> SentCall:
        """Record that a call is sent, whose prompt the load contains already."""
        now_s = self.clock()
        tokens = self.loads.count_pending_tokens(endpoint, now_s)
        call = SentCall(endpoint, now_s, tokens)
        self.replicas.setdefault(endpoint, ReplicaWaits()).waiting[call] = None
        return call

    def record_begun(self, call: SentCall) -> None:
        """Record that the output of a call begins."""
        waits, now_s = self.replicas.get(call.endpoint), self.clock()
        if waits is not None and call in waits.waiting:
            waits.end(call, call.tokens, now_s)
            wait_s, speeds = now_s - call.sent_at_s, self.loads.speeds
            # Where no replica reports its slowness, differences between waits come from
            # queues and cached prompts rather than from the replicas' machines.
            if speeds.has_figures:
                speeds.record_wait(call.endpoint, call.tokens, wait_s, now_s)

    def record_ended(self, call: SentCall) -> None:
        """Record the end of a call, which may have waited in vain."""
        waits = self.replicas.get(call.endpoint)
        if waits is not None:
            waits.end(call, 0.0, self.clock())

    def forecast_wait_s(self, endpoint: EndpointId) -> float:
        """Return how long a call that is sent now is expected to wait, seconds.

        The forecast is 0 for a replica to which no router has sent a call of late.
        """
        now_s = self.clock()
        wait_s = self.loads.find_peer_wait_s(endpoint, now_s)
        waits = self.replicas.get(endpoint)
        if waits is None:
            return wait_s
        wait_s = max(wait_s, waits.find_longest_wait_s(now_s))
        tokens_per_s = waits.compute_tokens_per_s()
        if tokens_per_s:
            tokens = self.loads.count_pending_tokens(endpoint, now_s)
            wait_s = max(wait_s, (tokens + self.loads.mean_tokens) / tokens_per_s)
        return wait_s

    def list_long_waits(self) -> dict[EndpointId, float]:
        """Return the longest waits of this router's calls that others should know."""
        now_s = self.clock()
        waits_s = {x: y.find_longest_wait_s(now_s) for x, y in self.replicas.items()}
        return {x: y for x, y in waits_s.items() if y >= MIN_REPORTED_WAIT_S}

    def retain(self, endpoints: Iterable[EndpointId]) -> None:
        """Keep only the given replicas and those with calls that have not begun."""
        registered = set(endpoints)
        for endpoint, waits in list(self.replicas.items()):
            if endpoint not in registered and not waits.waiting:
                del self.replicas[endpoint]
