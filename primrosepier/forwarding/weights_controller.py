"""Rollout of requested weights to replicas, by the holder of the weights duty."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..clocks import Clock
from ..ids import EndpointId, ModelId
from ..lease_holder import LeaseHolder
from ..leases import Duty, DutyAction, make_duty_key
from ..logs import Log
from ..mirror import Mirror
from ..store import Applied, Item, Put
from .calls import WeightsVersionNumber
from .fleet import Replica
from .leaving import LeavingReplicas
from .loading_record import LOADING_RECORD_KEY, LoadingRecord, decode_loading_record
from .records import DutyChanged, EntryUnreadable, WeightsOrdered
from .store_view import StoreView
from .weights import (
    LoadTimeAverage,
    OrderResult,
    ReplicaState,
    RolloutTiming,
    WeightsClient,
    WeightsLoad,
    WeightsOrder,
    list_needed_weights_loads,
    plan_weights_loads,
)

__all__ = ["WEIGHTS_DUTY", "WeightsController"]

WEIGHTS_DUTY = "weights"
# Interval of the control loop, with and without the duty: short compared with the
# rollout time.
HOLDER_INTERVAL_S = 0.1
STANDBY_INTERVAL_S = 0.2
# Interval between reads of a replica's state while it loads weights; the state is up to
# a few hundred milliseconds old.
STATE_POLL_S = 0.3
# Time during which orders may be sent after a loading record is written. It covers
# several orders, and is short because a new holder waits until it has passed.
ORDER_WINDOW_S = 1.0
# Delay between writing a loading record and sending its orders, so that all routers
# have read the record and the calls queued at the replicas have started.
ORDER_DELAY_S = 0.3
NEVER_S = float("-inf")
# Time-out of a weights load, after which it is planned again.
LOAD_TIMEOUT_S = 10.0
# Time for which a router that has just started leaves a free duty to the others: it
# can't tell how old the last loading record is, so that they may send orders sooner.
STARTUP_DEFERRAL_S = 2.0
# Maximum number of failures counted for the backoff between attempts to acquire the
# duty.
MAX_BACKOFF_FAILURES = 2


def ignore_change() -> None:
    """Default for ``notify``: do nothing, as peers also read the store."""


def is_never_cut_off() -> bool:
    """Default for ``is_cut_off``: return False."""
    return False


@dataclass(slots=True)
class WeightsController:
    """Acquires the weights duty and, as its holder, has replicas load weights.

    Parameters
    ----------
    weights_s : float
        Rollout time: time within which requested weights must be in use, seconds.
    count_calls : callable
        Returns the calls in progress at a replica.
    list_unreachable : callable
        Returns the replicas that cannot be reached.
    is_cut_off : callable
        Returns whether this router is cut off from the replicas while others are not.
    notify : callable
        Called when this router's loading record changes.
    leaving : LeavingReplicas
        Replicas that say in their answers that they are leaving; they load nothing.

    Attributes
    ----------
    peer_record_at_s, own_record_at_s : float
        Times at which this router last read a peer's loading record from the store
        and wrote one itself, seconds.
    record_item : Item or None
        Last loading record that was read from the store.
    is_record_age_known : bool
        Whether that record was written after this router began to read the store.
    loading : dict of EndpointId to WeightsLoad
        Weights loads that this router has in progress.
    peer_loading : dict of EndpointId to float
        Expected end of each load in the newest loading record of a peer, seconds.
    newest_peer_sort_key : (int, int)
        Fencing number and serial of that record.
    serial : int
        Number of changes to this router's loading record.
    answered, unanswered : set of EndpointId
        Replicas of these loads that have told their state, and those that were asked in
        vain so far.
    loaded_versions : dict of (EndpointId, ModelId) to WeightsVersionNumber
        Newest version that each replica is known to have loaded; its entry in the
        store may still show an older one.
    """

    duty: Duty
    lease_holder: LeaseHolder
    store_view: StoreView
    mirror: Mirror
    weights_client: WeightsClient
    log: Log
    clock: Clock
    weights_s: float
    count_calls: Callable[[EndpointId], int]
    list_unreachable: Callable[[], Collection[EndpointId]] = tuple
    is_cut_off: Callable[[], bool] = is_never_cut_off
    notify: Callable[[], None] = ignore_change
    leaving: LeavingReplicas = field(default_factory=LeavingReplicas)
    load_time: LoadTimeAverage = field(default_factory=LoadTimeAverage)
    stopping: bool = False
    record_item: Item | None = None
    is_record_age_known: bool = True
    newest_peer_sort_key: tuple[int, int] = (0, 0)
    serial: int = 0
    peer_record_at_s: float = NEVER_S
    own_record_at_s: float = NEVER_S
    loading: dict[EndpointId, WeightsLoad] = field(default_factory=dict)
    peer_loading: dict[EndpointId, float] = field(default_factory=dict)
    answered: set[EndpointId] = field(default_factory=set)
    unanswered: set[EndpointId] = field(default_factory=set)
    loaded_versions: dict[tuple[EndpointId, ModelId], WeightsVersionNumber] = field(
        default_factory=dict
    )

    async def run(self) -> None:
        """Acquire or keep the duty and carry out weights loads until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._maintain_duty()
                if self._may_start_loads(self.clock()):
                    await self._start_loads(group)
                is_held = bool(self.duty.fencing_number)
                await anyio.sleep(HOLDER_INTERVAL_S if is_held else STANDBY_INTERVAL_S)

    def read_loading_record(self, mirror: Mirror) -> None:
        """Read the loading record from the store and apply it if it is a peer's."""
        item = mirror.items.get(LOADING_RECORD_KEY)
        if item is None or item == self.record_item:
            return
        self.record_item = item
        self.is_record_age_known = mirror.changed_after_s != NEVER_S
        record = decode_loading_record(item.value)
        if record is None:
            self.log.emit(EntryUnreadable(item.key, "malformed loading record"))
            return
        if record.fencing != self.duty.fencing_number:
            self.apply_loading_record(record)
            self.peer_record_at_s = self.clock()

    def apply_loading_record(self, record: LoadingRecord) -> None:
        """Apply a peer's record, received from the store or in a datagram.

        Records older than the last one applied are ignored.
        """
        if record.sort_key < self.newest_peer_sort_key:
            return
        self.newest_peer_sort_key = record.sort_key
        self.peer_loading = dict.fromkeys(
            record.endpoints, self.clock() + record.load_s
        )

    def make_loading_record(self) -> LoadingRecord | None:
        """Return the current record, or None if this router does not hold the duty."""
        if not self.duty.fencing_number:
            return None
        endpoints = list(self.loading)
        return LoadingRecord(
            self.duty.fencing_number, endpoints, self.load_time.mean_s, self.serial
        )

    def _notify_change(self) -> None:
        self.serial += 1
        self.notify()

    async def _write_loading_record(self, loads: Collection[WeightsLoad]) -> bool:
        """Write the loading record to the store; return whether it was written.

        Routers send no new calls to the listed replicas while others remain. A new
        holder uses the time of the last record to tell when the previous holder can no
        longer send orders.
        """
        now_s = self.clock()
        endpoints = [*self.loading, *(load.replica.id for load in loads)]
        self.serial += 1
        fencing, load_s = self.duty.fencing_number, self.load_time.mean_s
        record = LoadingRecord(fencing, endpoints, load_s, self.serial)
        outcome = await self.lease_holder.store.transact(
            [self.duty.make_guard()],
            [Put(LOADING_RECORD_KEY, msgspec.json.encode(record))],
        )
        if not isinstance(outcome, Applied):
            return False
        if outcome.restores != self.duty.restores:
            # The revision in the condition may now be that of a peer's acquisition.
            return False
        self.own_record_at_s = now_s
        return True

    def _may_start_loads(self, now_s: float) -> bool:
        """Return whether this is the holder and earlier holders' orders have ended."""
        return self._is_holder(now_s) and now_s >= self._compute_earliest_order_s()

    def _compute_earliest_order_s(self) -> float:
        """Return the time from which no order of an earlier holder can arrive."""
        wait_s = ORDER_WINDOW_S + self.duty.bounds.compute_takeover_wait_s()
        return self.peer_record_at_s + wait_s

    def _leaves_duty_to_others(self, now_s: float) -> bool:
        """Return whether other routers should acquire a free duty first."""
        if self.is_record_age_known or now_s >= self._compute_earliest_order_s():
            return False
        free_since_s = self.duty.free_since_s or now_s
        return now_s < free_since_s + STARTUP_DEFERRAL_S

    def _is_holder(self, now_s: float) -> bool:
        return self.duty.may_order(honours_fencing=True, now_s=now_s)

    def _may_send_order(self) -> bool:
        """Return whether the last loading record still permits an order."""
        now_s = self.clock()
        return self._is_holder(now_s) and now_s < self.own_record_at_s + ORDER_WINDOW_S

    def _has_work(self) -> bool:
        """Return whether any replica is missing requested weights."""
        requested_weights = self.store_view.requested_weights.value
        return any(
            list_needed_weights_loads(self._list_staying(replicas), requested_weights)
            for replicas in self.store_view.replicas.value.by_service.values()
        )

    async def _maintain_duty(self) -> None:
        previous_fencing = self.duty.fencing_number
        if self.is_cut_off():
            if previous_fencing:
                await self._release()
            return
        if not previous_fencing and (self.stopping or not self.store_view.is_connected):
            return
        holder = self.mirror.items.get(make_duty_key(self.duty.name))
        action = self.duty.decide(holder, frozenset(), self.clock())
        if action is DutyAction.ACQUIRE:
            if self._leaves_duty_to_others(self.clock()):
                return
            self.duty.failures = min(self.duty.failures, MAX_BACKOFF_FAILURES)
            if await self.lease_holder.acquire(self.duty):
                self.own_record_at_s = NEVER_S
        elif action is DutyAction.KEEP_ALIVE:
            await self.lease_holder.keep_alive(self.duty)
        elif action is DutyAction.STEP_DOWN:
            self.duty.step_down()
        if self.duty.fencing_number != previous_fencing:
            fencing_number = int(self.duty.fencing_number or previous_fencing)
            is_held = bool(self.duty.fencing_number)
            self.log.emit(DutyChanged(self.duty.name, fencing_number, is_held))

    async def stop(self, immediately: bool) -> None:
        """Stop acquiring the duty, and release it unless a rollout is in progress.

        Parameters
        ----------
        immediately : bool
            Release the duty even during a rollout. The next holder has to wait before
            it may continue the rollout.
        """
        self.stopping = True
        if self.duty.fencing_number and (immediately or not self._has_work()):
            await self._release()

    async def _release(self) -> None:
        fencing_number = int(self.duty.fencing_number)
        await self.lease_holder.release(self.duty)
        self.log.emit(DutyChanged(self.duty.name, fencing_number, held=False))

    async def _start_loads(self, group: TaskGroup) -> None:
        requested_weights = self.store_view.requested_weights.value
        timing = RolloutTiming(self.clock(), self.weights_s, self.load_time.mean_s)
        unreachable = {*self.list_unreachable(), *self.unanswered}
        loading = self.loading.keys() - self.unanswered
        loads: list[WeightsLoad] = []
        for replicas in self.store_view.replicas.value.by_service.values():
            loads += plan_weights_loads(
                self._list_staying(replicas),
                requested_weights,
                loading,
                timing,
                self.count_calls,
                unreachable,
            )
        if not loads or not await self._write_loading_record(loads):
            return
        for load in loads:
            self.loading[load.replica.id] = load
            group.start_soon(self._run_load, load)
        self._notify_change()

    def _list_staying(self, replicas: Sequence[Replica]) -> list[Replica]:
        """Return the replicas that are not leaving, with their known weights."""
        return [
            self.with_known_weights(replica)
            for replica in self.leaving.select_staying(replicas)
        ]

    def with_known_weights(self, replica: Replica) -> Replica:
        """Return a replica with the newest versions that it is known to have loaded."""
        weights = {
            model: max(version, self.loaded_versions.get((replica.id, model), version))
            for model, version in replica.weights.items()
        }
        return replace(replica, weights=weights)

    def list_loading(self) -> set[EndpointId]:
        """Return the replicas that are loading weights for this router or a peer."""
        now_s = self.clock()
        endpoints = {
            endpoint
            for endpoint, until_s in self.peer_loading.items()
            if now_s < until_s
        }
        return endpoints.union(self.loading)

    async def _run_load(self, load: WeightsLoad) -> None:
        """Carry out one weights load; give up after ``LOAD_TIMEOUT_S``."""
        started_s = self.clock()
        try:
            with anyio.move_on_after(LOAD_TIMEOUT_S) as scope:
                await anyio.sleep(ORDER_DELAY_S)
                while not await self._try_load(load):
                    await anyio.sleep(STATE_POLL_S)
            if not scope.cancelled_caught:
                self.load_time.add(self.clock() - started_s)
        finally:
            self.loading.pop(load.replica.id, None)
            self.answered.discard(load.replica.id)
            self.unanswered.discard(load.replica.id)
            self._notify_change()

    async def _try_load(self, load: WeightsLoad) -> bool:
        """Send the order if it is due; return whether the load is over or given up."""
        if self._is_done(load, None):
            return True
        state = await self.weights_client.read_state(load.replica)
        if state is None:
            if load.replica.id not in self.answered:
                self.unanswered.add(load.replica.id)
            return False
        self.answered.add(load.replica.id)
        self.unanswered.discard(load.replica.id)
        if state.is_leaving:
            self.leaving.record(load.replica, self.clock())
        if self._is_done(load, state):
            return True
        if state.is_busy:
            return False
        if not self._may_send_order():
            return True
        order = WeightsOrder(
            load, self.duty.host, self.duty.fencing_number, state.order_count
        )
        result = await self.weights_client.send(order)
        self.log.emit(
            WeightsOrdered(
                endpoint=load.replica.id,
                model=load.model,
                weights=load.version,
                fencing=order.fencing,
                outcome=result.value,
            )
        )
        return await self._handle_result(load, result)

    async def _handle_result(self, load: WeightsLoad, result: OrderResult) -> bool:
        if result is OrderResult.SUPERSEDED:
            await self._release()
            return True
        if result is OrderResult.ALREADY_LOADED or result is OrderResult.REFUSED:
            return result is OrderResult.ALREADY_LOADED or self._is_done(load, None)
        return False

    def _is_done(self, load: WeightsLoad, state: ReplicaState | None) -> bool:
        """Return whether a replica has the weights, is leaving or not registered.

        Records the version as loaded in the first case.
        """
        replica = self.store_view.find_replica(load.replica.id)
        if replica is None or replica.draining or self.leaving.is_leaving(replica):
            return True
        version = replica.weights.get(load.model, 0)
        if state is not None:
            version = max(version, state.weights.get(load.model, 0))
        done = version >= load.version
        if done:
            self.loaded_versions[load.replica.id, load.model] = load.version
        return done
