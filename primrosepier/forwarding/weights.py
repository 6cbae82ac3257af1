"""Planning of weights loads during a rollout, without I/O.

In this module a load is the loading of new weights by one replica. The replica serves
no calls meanwhile, so only a share of a service loads at once and the other replicas
serve the calls.
"""

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..ids import EndpointId, FencingNumber, HostId, ModelId
from .calls import WeightsVersionNumber
from .fleet import Replica
from .store_view import WeightsHistory

__all__ = [
    "LoadTimeAverage",
    "MAX_CURRENT_LAG_S",
    "OrderResult",
    "ReplicaState",
    "RolloutTiming",
    "START_MARGIN_S",
    "WITHDRAWAL_MARGIN_S",
    "WeightsClient",
    "WeightsLoad",
    "WeightsOrder",
    "compute_lag_s",
    "compute_max_concurrent_loads",
    "list_needed_weights_loads",
    "plan_weights_loads",
]

# Share of a service that loads at once: the other replicas must serve its calls, and a
# rollout takes three rounds of loads.
LOADING_SHARE = 1 / 3
# Share of a service that may load at once when time is short.
MAX_LOADING_SHARE = 2 / 3
# Share of the rollout time (`weights_s`) in which the loads are planned to end. The
# rest is reserved for a change of the duty's holder and for long calls.
PLANNED_SHARE = 0.6
# Assumed load time before any was measured: about a second, plus the time for running
# calls to end.
INITIAL_LOAD_S = 1.5
LOAD_TIME_EWMA_ALPHA = 0.3
# Time before the end of the rollout time at which a call must be expected to begin on
# old weights, seconds.
START_MARGIN_S = 0.4
# Time before the end of the rollout time at which calls that have not begun on old
# weights are withdrawn, seconds, so that the replica learns of it in time.
WITHDRAWAL_MARGIN_S = 0.3
# Lag above which a replica counts as outdated when replicas are chosen: its responses
# are worth less to callers.
MAX_CURRENT_LAG_S = 1.5


@dataclass(frozen=True, slots=True)
class WeightsLoad:
    """Loading of one version of a model's weights by one replica."""

    replica: Replica
    model: ModelId
    version: WeightsVersionNumber


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to a replica to load weights.

    Parameters
    ----------
    holder : HostId
    fencing : FencingNumber
    expected_order_count : int
        Number of orders that the replica has accepted so far. The replica refuses the
        order if its own count differs.
    """

    load: WeightsLoad
    holder: HostId
    fencing: FencingNumber
    expected_order_count: int


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """State of a replica's weights as reported by the replica.

    Parameters
    ----------
    is_busy : bool
        Whether the replica is carrying out an order.
    order_count : int
        Number of orders that the replica has accepted since it started.
    is_leaving : bool
        Whether the replica says that it is leaving.
    """

    weights: Mapping[ModelId, WeightsVersionNumber]
    is_busy: bool
    order_count: int
    is_leaving: bool = False


class OrderResult(Enum):
    """Result of an order; the values are written to the log."""

    ACCEPTED = "taken"
    ALREADY_LOADED = "holds already"
    CONFLICT = "another order came before"
    SUPERSEDED = "a later holder gave orders"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(frozen=True, slots=True)
class RolloutTiming:
    """Times that determine how many replicas load at once, in seconds.

    Parameters
    ----------
    now_s : float
    weights_s : float
        Rollout time: time within which requested weights must be in use.
    load_s : float
        Expected time of a load.
    """

    now_s: float
    weights_s: float
    load_s: float


class WeightsClient(Protocol):
    """Reads the states of replicas and sends them orders."""

    async def read_state(self, replica: Replica) -> ReplicaState | None:
        """Return a replica's state, or None if there is no valid response."""

    async def is_responding(self, replica: Replica) -> bool:
        """Return whether a replica responds, whatever it responds."""

    async def send(self, order: WeightsOrder) -> OrderResult:
        """Send an order and return its result."""


@dataclass(slots=True)
class LoadTimeAverage:
    """Average duration of the loads that did not time out.

    Parameters
    ----------
    mean_s : float
        Moving average, seconds.
    """

    mean_s: float = INITIAL_LOAD_S

    def add(self, load_s: float) -> None:
        """Update the average with the time of one load."""
        self.mean_s += LOAD_TIME_EWMA_ALPHA * (load_s - self.mean_s)


def compute_max_concurrent_loads(
    replicas: int, lags: Sequence[float], timing: RolloutTiming
) -> int:
    """Return how many replicas of a service may load at once.

    For each lag, all replicas with at least that lag must be able to load in the time
    that remains for them. Weights that were requested just now do not raise the limit
    for replicas that serve the previous version.

    Parameters
    ----------
    lags : sequence of float
        Time for which each replica that needs a load has been missing weights,
        in seconds.
    """
    usual_limit = math.ceil(replicas * LOADING_SHARE)
    max_limit = max(1, math.floor(replicas * MAX_LOADING_SHARE))
    needed = 0
    for replica_count, lag_s in enumerate(sorted(lags, reverse=True), start=1):
        remaining_s = PLANNED_SHARE * timing.weights_s - lag_s
        rounds = max(1.0, remaining_s / timing.load_s)
        needed = max(needed, math.ceil(replica_count / rounds))
    return max(1, min(max(usual_limit, needed), max_limit))


def compute_lag_s(
    replica: Replica,
    reported_version: WeightsVersionNumber | None,
    requested_weights: Mapping[ModelId, WeightsHistory],
    now_s: float,
) -> float | None:
    """Return for how long a replica has been missing weights, or None if it has them.

    Parameters
    ----------
    reported_version : WeightsVersionNumber or None
        Newest version that the replica's responses named.
    """
    lags = []
    for model, version in replica.weights.items():
        history = requested_weights.get(model)
        if history is None:
            continue
        missing_since_s = history.find_missing_since_s(
            max(version, reported_version or 0)
        )
        if missing_since_s is not None:
            lags.append(now_s - missing_since_s)
    return max(lags, default=None)


def list_needed_weights_loads(
    replicas: Sequence[Replica], requested_weights: Mapping[ModelId, WeightsHistory]
) -> list[WeightsLoad]:
    """Return the loads that replicas still need, at most one per replica."""
    loads = []
    for replica in replicas:
        for model, version in replica.weights.items():
            history = requested_weights.get(model)
            if history is not None and version < history.newest_version:
                loads.append(WeightsLoad(replica, model, history.newest_version))
                break
    return loads


def _compute_lags(
    loads: Sequence[WeightsLoad],
    requested_weights: Mapping[ModelId, WeightsHistory],
    now_s: float,
) -> dict[EndpointId, float]:
    return {
        load.replica.id: compute_lag_s(load.replica, None, requested_weights, now_s)
        or 0.0
        for load in loads
    }


def plan_weights_loads(
    replicas: Sequence[Replica],
    requested_weights: Mapping[ModelId, WeightsHistory],
    loading: Collection[str],
    timing: RolloutTiming,
    count_calls: Callable[[EndpointId], int],
    unreachable: Collection[str] = (),
) -> list[WeightsLoad]:
    """Return the loads to start now among the replicas of one service.

    Replicas that must load now to be in time go first, then those with the fewest
    calls, since a load waits until the running calls have ended.

    Parameters
    ----------
    loading : collection of EndpointId
        Replicas that are loading.
    count_calls : callable
        Returns the calls in progress at a replica.
    unreachable : collection of EndpointId
        Replicas that cannot be reached. Unless they are loading, the others are planned
        without them, since they serve no calls and cannot be ordered.
    """
    lost = {*unreachable}.difference(loading)
    reachable = [replica for replica in replicas if replica.id not in lost]
    loads = list_needed_weights_loads(reachable, requested_weights)
    if not loads:
        return []
    lags = _compute_lags(loads, requested_weights, timing.now_s)
    max_loading = compute_max_concurrent_loads(
        len(reachable), list(lags.values()), timing
    )
    loading_count = sum(replica.id in loading for replica in reachable)
    startable = [load for load in loads if load.replica.id not in loading]

    def compute_priority(load: WeightsLoad) -> tuple[bool, int, EndpointId]:
        endpoint = load.replica.id
        remaining_s = PLANNED_SHARE * timing.weights_s - lags[endpoint]
        return remaining_s > timing.load_s, count_calls(endpoint), endpoint

    startable.sort(key=compute_priority)
    return startable[: max(0, max_loading - loading_count)]
