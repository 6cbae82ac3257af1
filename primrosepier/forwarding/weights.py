"""Which replicas load new weights next, decided without I/O.

Answers the load of a rollout: replicas that load serve nobody, so only a part of a
service loads at once, and the rest carries the calls.
"""

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..ids import EndpointId, FencingNumber, HostId, ModelId
from .calls import WeightsNumber
from .fleet import Replica
from .store_view import WeightsGoal

__all__ = [
    "LoadTimes",
    "OUTDATED_S",
    "OVERDUE_SHARE",
    "OrderResult",
    "Pace",
    "ReplicaState",
    "WeightsLoad",
    "WeightsOrder",
    "WeightsOrders",
    "compute_lag_s",
    "count_loads_at_once",
    "list_outdated",
    "plan_loads",
]

# Part of a service that loads at once: the rest must carry its calls, and the whole
# rollout takes three loads one after the other.
LOADING_SHARE = 1 / 3
# Part of a service that may load at once when time is short.
MOST_LOADING_SHARE = 2 / 3
# Part of the time for new weights in which a rollout is planned to end; the rest is
# for a change of the holder and for calls that run long.
PLANNED_SHARE = 0.6
# Time of a load before any was seen, seconds: about a second, and the calls before.
FIRST_LOAD_S = 1.5
LOAD_GAIN = 0.3
# Part of the time for new weights after which the old ones are not used any more; the
# rest is for calls that wait at a replica before they begin.
OVERDUE_SHARE = 0.75
# Time after which an answer on old weights is worth less to callers, seconds.
OUTDATED_S = 1.5


@dataclass(frozen=True, slots=True)
class WeightsLoad:
    """A replica that is to load weights of a model."""

    replica: Replica
    model: ModelId
    number: WeightsNumber


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load weights.

    Parameters
    ----------
    holder : HostId
    fencing : FencingNumber
    expected_orders : int
        Orders that the replica had accepted before; it refuses if it had others.
    """

    load: WeightsLoad
    holder: HostId
    fencing: FencingNumber
    expected_orders: int


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """A replica's own account of its weights.

    Parameters
    ----------
    is_busy : bool
        Whether it carries an order out.
    orders : int
        Orders that it accepted in this life.
    """

    weights: Mapping[ModelId, WeightsNumber]
    is_busy: bool
    orders: int


class OrderResult(Enum):
    """What became of an order."""

    TAKEN = "taken"
    HOLDS = "holds already"
    CONFLICT = "another order came before"
    OUTRANKED = "a later holder gave orders"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(frozen=True, slots=True)
class Pace:
    """What decides how fast a rollout goes; all times are seconds.

    Parameters
    ----------
    now_s : float
    weights_s : float
        Time within which named weights must be in use.
    load_s : float
        Time that a load takes.
    """

    now_s: float
    weights_s: float
    load_s: float


class WeightsOrders(Protocol):
    """Reads replicas' states and gives them orders."""

    async def read_state(self, replica: Replica) -> ReplicaState | None:
        """Return a replica's state, or None when it does not tell."""

    async def send(self, order: WeightsOrder) -> OrderResult:
        """Give an order."""


@dataclass(slots=True)
class LoadTimes:
    """How long loads take, from the order to the new weights in use.

    Parameters
    ----------
    mean_s : float
        Moving average, seconds.
    """

    mean_s: float = FIRST_LOAD_S

    def add(self, load_s: float) -> None:
        """Take in one load."""
        self.mean_s += LOAD_GAIN * (load_s - self.mean_s)


def count_loads_at_once(replicas: int, lags: Sequence[float], pace: Pace) -> int:
    """Return how many replicas of a service may load at once.

    Each set of replicas that have lacked weights for a time or longer must fit into
    what is left of the time for these; weights that were named just now do not hurry
    those that have the ones before.

    Parameters
    ----------
    lags : sequence of float
        For how long each outdated replica has lacked weights, seconds.
    """
    usual = math.ceil(replicas * LOADING_SHARE)
    most = max(1, math.floor(replicas * MOST_LOADING_SHARE))
    needed = 0
    for number, lag_s in enumerate(sorted(lags, reverse=True), start=1):
        left_s = PLANNED_SHARE * pace.weights_s - lag_s
        rounds = max(1.0, left_s / pace.load_s)
        needed = max(needed, math.ceil(number / rounds))
    return max(1, min(max(usual, needed), most))


def compute_lag_s(
    replica: Replica,
    known: WeightsNumber | None,
    goals: Mapping[ModelId, WeightsGoal],
    now_s: float,
) -> float | None:
    """Return for how long a replica has lacked weights, or None if it has them.

    Parameters
    ----------
    known : WeightsNumber or None
        What its last answer told.
    """
    lags = []
    for model, number in replica.weights.items():
        goal = goals.get(model)
        if goal is None:
            continue
        since_s = goal.find_wanted_since_s(max(number, known or 0))
        if since_s is not None:
            lags.append(now_s - since_s)
    return max(lags, default=None)


def list_outdated(
    replicas: Sequence[Replica], goals: Mapping[ModelId, WeightsGoal]
) -> list[WeightsLoad]:
    """Return the loads that replicas still need."""
    loads = []
    for replica in replicas:
        for model, number in replica.weights.items():
            goal = goals.get(model)
            if goal is not None and number < goal.number:
                loads.append(WeightsLoad(replica, model, goal.number))
                break
    return loads


def _list_lags(
    loads: Sequence[WeightsLoad], goals: Mapping[ModelId, WeightsGoal], now_s: float
) -> dict[EndpointId, float]:
    return {
        load.replica.id: compute_lag_s(load.replica, None, goals, now_s) or 0.0
        for load in loads
    }


def plan_loads(
    replicas: Sequence[Replica],
    goals: Mapping[ModelId, WeightsGoal],
    loading: Collection[str],
    pace: Pace,
    count_calls: Callable[[EndpointId], int],
    silent: Collection[str] = (),
) -> list[WeightsLoad]:
    """Return the loads to begin now among the replicas of one service.

    Replicas whose time is short go first, then those with the fewest calls, since a
    load waits for them to end.

    Parameters
    ----------
    loading : collection of EndpointId
        Replicas that load already.
    count_calls : callable
        Returns the calls in progress at a replica.
    silent : collection of EndpointId
        Replicas that can't be reached: they serve nobody, as those that load.
    """
    loads = list_outdated(replicas, goals)
    if not loads:
        return []
    lags = _list_lags(loads, goals, pace.now_s)
    allowed = count_loads_at_once(len(replicas), list(lags.values()), pace)
    out = {*loading, *silent}
    busy = sum(replica.id in out for replica in replicas)
    waiting = [load for load in loads if load.replica.id not in out]

    def weigh(load: WeightsLoad) -> tuple[bool, int, EndpointId]:
        name = load.replica.id
        left_s = PLANNED_SHARE * pace.weights_s - lags[name]
        return left_s > pace.load_s, count_calls(name), name

    waiting.sort(key=weigh)
    return waiting[: max(0, allowed - busy)]
