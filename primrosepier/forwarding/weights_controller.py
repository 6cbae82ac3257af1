"""Brings replicas to the weights that the operators name, from one router at a time."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..clocks import Clock
from ..ids import EndpointId, ModelId
from ..lease_holder import LeaseHolder
from ..leases import Duty, DutyStep, make_duty_key
from ..logs import Log
from ..mirror import Mirror
from ..store import Applied, Put
from .calls import WeightsNumber
from .fleet import Replica
from .loading_record import LOADING_RECORD_KEY, LoadingRecord, decode_loading_record
from .records import DutyChanged, EntryUnreadable, WeightsOrdered
from .store_view import StoreView
from .weights import (
    LoadTimes,
    OrderResult,
    Pace,
    ReplicaState,
    WeightsLoad,
    WeightsOrder,
    WeightsOrders,
    list_outdated,
    plan_loads,
)

__all__ = ["WEIGHTS_DUTY", "WeightsController"]

WEIGHTS_DUTY = "weights"
# Time between steps, seconds: short against the time for new weights.
HOLDER_TICK_S = 0.1
OTHER_TICK_S = 0.2
# Wait before a replica's state is read again, seconds: its account lags by some
# hundred milliseconds.
STATE_WAIT_S = 0.3
# Time after a mark for which orders go out, seconds: several orders, and short, since
# a new holder waits it out.
MARK_S = 1.0
# Time between a mark and its orders, seconds: all routers see the mark, and calls that
# wait at the replicas begin.
PREPARE_S = 0.3
NEVER_S = float("-inf")
# Time after which a load is given up and planned anew, seconds.
LOAD_LIMIT_S = 10.0
MAX_FAILURES = 2


def tell_nobody() -> None:
    """Leave others to the mark in the store."""


@dataclass(slots=True)
class WeightsController:
    """Holds the duty, plans loads and carries them out.

    Parameters
    ----------
    weights_s : float
        Time within which named weights must be in use, seconds.
    count_calls : callable
        Returns the calls in progress at a replica.
    list_silent : callable
        Returns the replicas that can't be reached.

    tell : callable
        Called when the replicas that load by this router's orders change.

    Attributes
    ----------
    foreign_mark_at_s, own_mark_at_s : float
        When this router learnt of another's last mark, and when it wrote its own.
    loading : dict of EndpointId to WeightsLoad
        Loads that this router has under way.
    marked : dict of EndpointId to float
        Until when replicas load by the newest mark of another router, seconds.
    newest_order : (int, int)
        Fencing number and serial of that mark.
    serial : int
        Of the last change of loads that this router told.
    loaded : dict of (EndpointId, ModelId) to WeightsNumber
        Weights that replicas have by their own account; they register them later.
    """

    duty: Duty
    lease_holder: LeaseHolder
    store_view: StoreView
    mirror: Mirror
    orders: WeightsOrders
    log: Log
    clock: Clock
    weights_s: float
    count_calls: Callable[[EndpointId], int]
    list_unreachable: Callable[[], Collection[EndpointId]] = tuple
    tell: Callable[[], None] = tell_nobody
    times: LoadTimes = field(default_factory=LoadTimes)
    stopping: bool = False
    record_revision: int | None = None
    newest_order: tuple[int, int] = (0, 0)
    serial: int = 0
    peer_record_at_s: float = NEVER_S
    own_record_at_s: float = NEVER_S
    loading: dict[EndpointId, WeightsLoad] = field(default_factory=dict)
    marked: dict[EndpointId, float] = field(default_factory=dict)
    loaded: dict[tuple[EndpointId, ModelId], WeightsNumber] = field(
        default_factory=dict
    )

    async def run(self) -> None:
        """Keep the duty and carry loads out until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._keep_duty()
                if self._is_open(self.clock()):
                    await self._start_loads(group)
                held = bool(self.duty.fencing)
                await anyio.sleep(HOLDER_TICK_S if held else OTHER_TICK_S)

    def read_loading_record(self, mirror: Mirror) -> None:
        """Take in what a holder last said about its orders."""
        item = mirror.items.get(LOADING_RECORD_KEY)
        if item is None or item.mod_revision == self.record_revision:
            return
        self.record_revision = item.mod_revision
        mark = decode_loading_record(item.value)
        if mark is None:
            self.log.emit(EntryUnreadable(item.key, "not a mark"))
            return
        if mark.fencing != self.duty.fencing:
            self.apply_loading_record(mark)
            self.peer_record_at_s = self.clock()

    def apply_loading_record(self, mark: LoadingRecord) -> None:
        """Take in which replicas load, from the store or from the holder itself."""
        if mark.order < self.newest_order:
            return
        self.newest_order = mark.order
        self.marked = dict.fromkeys(mark.endpoints, self.clock() + mark.load_s)

    def make_loading_record(self) -> LoadingRecord | None:
        """Return which replicas load now, or None where another router decides."""
        if not self.duty.fencing:
            return None
        endpoints = list(self.loading)
        return LoadingRecord(
            self.duty.fencing, endpoints, self.times.mean_s, self.serial
        )

    def _tell_change(self) -> None:
        self.serial += 1
        self.tell()

    async def _write_loading_record(self, loads: Collection[WeightsLoad]) -> bool:
        """Say in the store that orders go out, and to which replicas.

        Routers send nothing new to these. A new holder knows from the last mark when
        no order of the holder before is under way.
        """
        now_s = self.clock()
        endpoints = [*self.loading, *(load.replica.id for load in loads)]
        self.serial += 1
        fencing, load_s = self.duty.fencing, self.times.mean_s
        mark = LoadingRecord(fencing, endpoints, load_s, self.serial)
        outcome = await self.lease_holder.store.transact(
            [self.duty.make_guard()],
            [Put(LOADING_RECORD_KEY, msgspec.json.encode(mark))],
        )
        if not isinstance(outcome, Applied):
            return False
        self.own_record_at_s = now_s
        return True

    def _is_open(self, now_s: float) -> bool:
        """Return whether the orders of the holder before had their time."""
        wait_s = MARK_S + self.duty.bounds.compute_wait_s()
        return self._is_holder(now_s) and now_s >= self.peer_record_at_s + wait_s

    def _is_holder(self, now_s: float) -> bool:
        return self.duty.may_order(honours_fencing=True, now_s=now_s)

    def _may_order(self) -> bool:
        """Return whether an order may go out under the last mark."""
        now_s = self.clock()
        return self._is_holder(now_s) and now_s < self.own_record_at_s + MARK_S

    def _has_work(self) -> bool:
        goals = self.store_view.goals.value
        return any(
            list_outdated([self._correct(r) for r in replicas], goals)
            for replicas in self.store_view.replicas.value.by_service.values()
        )

    async def _keep_duty(self) -> None:
        held = self.duty.fencing
        if not held and (self.stopping or not self.store_view.in_touch):
            return
        holder = self.mirror.items.get(make_duty_key(self.duty.name))
        step = self.duty.decide(holder, frozenset(), self.clock())
        if step is DutyStep.ACQUIRE:
            self.duty.failures = min(self.duty.failures, MAX_FAILURES)
            if await self.lease_holder.acquire(self.duty):
                self.own_record_at_s = NEVER_S
        elif step is DutyStep.KEEP_ALIVE:
            await self.lease_holder.keep_alive(self.duty)
        elif step is DutyStep.STEP_DOWN:
            self.duty.step_down()
        if self.duty.fencing != held:
            number = int(self.duty.fencing or held)
            held_now = bool(self.duty.fencing)
            self.log.emit(DutyChanged(self.duty.name, number, held_now))

    async def stop(self, at_once: bool) -> None:
        """Take no duty any more, and give up one that is held.

        Parameters
        ----------
        at_once : bool
            Do not finish a rollout that is under way, though another router would
            have to wait before it may go on with it.
        """
        self.stopping = True
        if self.duty.fencing and (at_once or not self._has_work()):
            await self._release()

    async def _release(self) -> None:
        number = int(self.duty.fencing)
        await self.lease_holder.release(self.duty)
        self.log.emit(DutyChanged(self.duty.name, number, held=False))

    async def _start_loads(self, group: TaskGroup) -> None:
        goals = self.store_view.goals.value
        pace = Pace(self.clock(), self.weights_s, self.times.mean_s)
        silent = self.list_unreachable()
        loads: list[WeightsLoad] = []
        for replicas in self.store_view.replicas.value.by_service.values():
            known = [self._correct(replica) for replica in replicas]
            loads += plan_loads(
                known, goals, self.loading, pace, self.count_calls, silent
            )
        if not loads or not await self._write_loading_record(loads):
            return
        for load in loads:
            self.loading[load.replica.id] = load
            group.start_soon(self._load, load)
        self._tell_change()

    def _correct(self, replica: Replica) -> Replica:
        """Return a replica with what it told of its weights since it registered."""
        weights = {
            model: max(number, self.loaded.get((replica.id, model), number))
            for model, number in replica.weights.items()
        }
        return replace(replica, weights=weights)

    def list_loading(self) -> set[EndpointId]:
        """Return the replicas that load, by this router's orders or another's."""
        now_s = self.clock()
        marked = {name for name, until_s in self.marked.items() if now_s < until_s}
        return marked.union(self.loading)

    async def _load(self, load: WeightsLoad) -> None:
        """Have one replica load weights; give up when this takes too long."""
        started_s = self.clock()
        try:
            with anyio.move_on_after(LOAD_LIMIT_S) as scope:
                await anyio.sleep(PREPARE_S)
                while not await self._try_load(load):
                    await anyio.sleep(STATE_WAIT_S)
            if not scope.cancelled_caught:
                self.times.add(self.clock() - started_s)
        finally:
            self.loading.pop(load.replica.id, None)
            self._tell_change()

    async def _try_load(self, load: WeightsLoad) -> bool:
        """Return whether nothing is left to do for a load."""
        if self._is_done(load, None):
            return True
        state = await self.orders.read_state(load.replica)
        if state is None:
            return False
        if self._is_done(load, state):
            return True
        if state.is_busy:
            return False
        if not self._may_order():
            return True
        order = WeightsOrder(load, self.duty.host, self.duty.fencing, state.orders)
        result = await self.orders.send(order)
        self.log.emit(
            WeightsOrdered(
                endpoint=load.replica.id,
                model=load.model,
                weights=load.number,
                fencing=order.fencing,
                outcome=result.value,
            )
        )
        return await self._follow_order(load, result)

    async def _follow_order(self, load: WeightsLoad, result: OrderResult) -> bool:
        if result is OrderResult.OUTRANKED:
            await self._release()
            return True
        if result is OrderResult.HOLDS or result is OrderResult.REFUSED:
            return result is OrderResult.HOLDS or self._is_done(load, None)
        return False

    def _is_done(self, load: WeightsLoad, state: ReplicaState | None) -> bool:
        """Return whether a replica has the weights, or is not to have them."""
        found = self.store_view.find_replica(load.replica.id)
        if found is None or found.draining:
            return True
        number = found.weights.get(load.model, 0)
        if state is not None:
            number = max(number, state.weights.get(load.model, 0))
        done = number >= load.number
        if done:
            self.loaded[load.replica.id, load.model] = load.number
        return done
