"""Brings the replicas of each service to their target weights version."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from .board import Board, SectionWriter
from .clocks import Clock
from .configuration import Configuration, Endpoint, Service, ServiceKind
from .ids import EndpointId, HostId, Revision, ServiceId, WeightsVersion
from .lease_holder import LeaseHolder
from .leases import Duty, DutyAction, make_duty_key
from .mirror import Mirror
from .orders import EngineState, LoadOrder, OrderClient, OrderRefused
from .rollout import (
    LoadingRecord,
    PeakRequests,
    ReplicaView,
    RolloutPlan,
    RolloutTimes,
    RolloutView,
    decode_loading_record,
    find_target,
    list_out_of_service,
    make_loading_record_key,
    plan_rollout,
)
from .settings import LeaseBounds
from .store import Applied, Compare, Put, Store, Unavailable

__all__ = ["RolloutController", "ServiceRollout", "make_rollout_controller"]


@dataclass(slots=True)
class ServiceRollout:
    """State of one service's rollout on a router.

    Attributes
    ----------
    records : dict of EndpointId to tuple
        Loading record of each replica that is out of service, with its revision.
    states : dict of EndpointId to EngineState
        Weights state of each replica that answered the last read.
    blocked : str
        Why no further replica is drained, for operators.
    """

    service: ServiceId
    duty: Duty
    records: dict[EndpointId, tuple[LoadingRecord, Revision]] = field(
        default_factory=dict
    )
    recorded_at_s: dict[EndpointId, float] = field(default_factory=dict)
    ordered_at_s: dict[EndpointId, float] = field(default_factory=dict)
    retry_at_s: dict[EndpointId, float] = field(default_factory=dict)
    states: dict[EndpointId, EngineState] = field(default_factory=dict)
    peak_requests: PeakRequests = field(default_factory=PeakRequests)
    blocked: str = ""

    def reset(self) -> None:
        """Clear the holder's state, except retry times and peak requests."""
        self.records.clear()
        self.recorded_at_s.clear()
        self.ordered_at_s.clear()
        self.states.clear()
        self.blocked = ""


@dataclass(slots=True)
class RolloutController:
    """Holds the rollout duties of services and executes their rollouts.

    Parameters
    ----------
    writer : SectionWriter
        Writer of the board section of all replicas with a loading record.
    step_interval_s, idle_interval_s : float
        Time between steps during a rollout, and otherwise, seconds.
    """

    host: HostId
    board: Board
    store: Store
    lease_holder: LeaseHolder
    orders: OrderClient
    mirror: Mirror
    writer: SectionWriter[frozenset[EndpointId]]
    bounds: LeaseBounds
    times: RolloutTimes
    clock: Clock = time.monotonic
    step_interval_s: float = 0.25
    idle_interval_s: float = 2.0
    rollouts: dict[ServiceId, ServiceRollout] = field(default_factory=dict)

    def update(self, mirror: Mirror) -> None:
        """Write the replicas with a loading record to the board."""
        loading = list_out_of_service(list(mirror.items))
        if loading != self.board.loading.value:
            self.writer.write(loading, self.clock())

    async def run(self) -> None:
        """Run until cancelled, then release the duties."""
        try:
            while True:
                await anyio.sleep(
                    self.step_interval_s if await self.step() else self.idle_interval_s
                )
        finally:
            with anyio.move_on_after(1.0, shield=True):
                for rollout in self.rollouts.values():
                    if rollout.duty.fencing_number:
                        await self.lease_holder.release(rollout.duty)

    async def step(self) -> bool:
        """Take one step for each service.

        Returns
        -------
        bool
            Whether a rollout whose duty this router holds is in progress.
        """
        configuration = self.board.configuration.value
        if configuration is None or not self.mirror.is_synced:
            return False
        services = [
            service
            for service in configuration.services.values()
            if service.kind is ServiceKind.ENGINE
        ]
        active: list[bool] = []

        async def step_service(service: Service) -> None:
            active.append(await self._step_service(configuration, service))

        async with anyio.create_task_group() as group:
            for service in services:
                group.start_soon(step_service, service)
        return any(active)

    async def _step_service(
        self, configuration: Configuration, service: Service
    ) -> bool:
        name = f"rollout/{service.id}"
        rollout = self.rollouts.get(service.id)
        if rollout is None:
            duty = Duty(name, self.host, self.bounds)
            rollout = self.rollouts[service.id] = ServiceRollout(service.id, duty)
        await self._update_duty(rollout)
        if not rollout.duty.fencing_number:
            return False
        plan = await self._plan_and_execute(configuration, service, rollout)
        return bool(rollout.records or plan.drain)

    async def _update_duty(self, rollout: ServiceRollout) -> None:
        duty = rollout.duty
        duty_item = self.mirror.items.get(make_duty_key(duty.name))
        action = duty.decide(duty_item, self.board.peers.value, self.clock())
        if action is DutyAction.ACQUIRE:
            rollout.reset()
            if await self.lease_holder.acquire(
                duty
            ) and not await self._read_loading_records(rollout):
                await self.lease_holder.release(duty)
        elif action is DutyAction.KEEP_ALIVE:
            await self.lease_holder.keep_alive(duty)
        elif action is DutyAction.STEP_DOWN:
            duty.step_down()

    async def _read_loading_records(self, rollout: ServiceRollout) -> bool:
        """Read the loading records that previous holders wrote to the store."""
        snapshot = await self.store.read(
            make_loading_record_key(rollout.service, EndpointId(""))
        )
        if isinstance(snapshot, Unavailable):
            return False
        for key, item in snapshot.items.items():
            # A malformed record names no version, so it is obsolete and gets deleted.
            record = decode_loading_record(item.value) or LoadingRecord("", 0)
            endpoint = EndpointId(key.rpartition("/")[2])
            rollout.records[endpoint] = (record, item.mod_revision)
            rollout.recorded_at_s[endpoint] = self.clock()
        return True

    async def _plan_and_execute(
        self, configuration: Configuration, service: Service, rollout: ServiceRollout
    ) -> RolloutPlan:
        target_versions = {
            model.id: model.version for model in configuration.models.values()
        }
        target = find_target(target_versions, service.models)
        endpoints = configuration.list_endpoints(service.id)
        await self._delete_records_of_removed(
            rollout, {endpoint.id for endpoint in endpoints}
        )
        if target is None:
            return RolloutPlan()
        states = await self._read_states(endpoints)
        rollout.states = states
        now_s = self.clock()
        views = tuple(
            self._make_view(e, states.get(e.id), rollout, now_s) for e in endpoints
        )
        peak_requests = rollout.peak_requests.add(
            sum(view.requests or 0 for view in views), now_s
        )
        view = RolloutView(*target, service.loads_at_once, views, peak_requests)
        plan = plan_rollout(view, now_s, self.times)
        rollout.blocked = plan.blocked
        await self._execute(plan, view, rollout, configuration)
        return plan

    async def _delete_records_of_removed(
        self, rollout: ServiceRollout, configured: set[EndpointId]
    ) -> None:
        for endpoint in [name for name in rollout.records if name not in configured]:
            await self._delete_loading_record(endpoint, rollout)

    async def _read_states(
        self, endpoints: list[Endpoint]
    ) -> dict[EndpointId, EngineState]:
        states = {}

        async def read(endpoint: Endpoint) -> None:
            state = await self.orders.read(endpoint)
            if state is not None:
                states[endpoint.id] = state

        async with anyio.create_task_group() as group:
            for endpoint in endpoints:
                group.start_soon(read, endpoint)
        return states

    def _make_view(
        self,
        endpoint: Endpoint,
        state: EngineState | None,
        rollout: ServiceRollout,
        now_s: float,
    ) -> ReplicaView:
        duty = rollout.duty
        record = (
            rollout.records[endpoint.id][0] if endpoint.id in rollout.records else None
        )
        report = self.board.load.value.get(endpoint.id)
        is_own_record = record is not None and record.fencing == duty.fencing_number
        return ReplicaView(
            id=endpoint.id,
            failure_domain=endpoint.failure_domain,
            capacity=endpoint.concurrent,
            version=WeightsVersion(state.version if state else ""),
            loading_version=state.loading if state else "",
            requests=report.running + report.waiting if report else None,
            reported_at_s=report.reported_at_s if report else 0.0,
            reachable=state is not None,
            may_order=duty.may_order(endpoint.fencing, now_s),
            may_restore=is_own_record or now_s >= duty.exclusive_from_s,
            loading_record=record,
            recorded_at_s=rollout.recorded_at_s.get(endpoint.id),
            ordered_at_s=rollout.ordered_at_s.get(endpoint.id),
            retry_at_s=rollout.retry_at_s.get(endpoint.id, float("-inf")),
        )

    async def _execute(
        self,
        plan: RolloutPlan,
        view: RolloutView,
        rollout: ServiceRollout,
        configuration: Configuration,
    ) -> None:
        for endpoint in plan.failed:
            rollout.retry_at_s[endpoint] = self.clock() + self.times.retry_s
        for endpoint in plan.restore:
            await self._delete_loading_record(endpoint, rollout)
        for endpoint in plan.load:
            await self._send_order(configuration.endpoints[endpoint], view, rollout)
        for endpoint in plan.drain:
            await self._write_loading_record(endpoint, view.target_version, rollout)

    async def _write_loading_record(
        self, endpoint: EndpointId, version: WeightsVersion, rollout: ServiceRollout
    ) -> None:
        duty = rollout.duty
        if not duty.fencing_number:
            return
        record = LoadingRecord(version, duty.fencing_number)
        key = make_loading_record_key(rollout.service, endpoint)
        conditions = [duty.make_guard(), Compare(key, Revision(0))]
        put = Put(key, msgspec.json.encode(record))
        outcome = await self.store.transact(conditions, [put])
        if isinstance(outcome, Applied):
            rollout.records[endpoint] = (record, outcome.revision)
            rollout.recorded_at_s[endpoint] = self.clock()
        else:
            await self._release_duty(rollout)

    async def _delete_loading_record(
        self, endpoint: EndpointId, rollout: ServiceRollout
    ) -> None:
        if endpoint not in rollout.records:
            return
        _, revision = rollout.records[endpoint]
        key = make_loading_record_key(rollout.service, endpoint)
        conditions = [rollout.duty.make_guard(), Compare(key, revision)]
        outcome = await self.store.transact(conditions, [Put(key, None)])
        if not isinstance(outcome, Applied):
            await self._release_duty(rollout)
            return
        del rollout.records[endpoint]
        rollout.recorded_at_s.pop(endpoint, None)
        rollout.ordered_at_s.pop(endpoint, None)

    async def _release_duty(self, rollout: ServiceRollout) -> None:
        """Release the duty after a failed write; the next holder reads the records."""
        await self.lease_holder.release(rollout.duty)
        rollout.reset()

    async def _send_order(
        self, endpoint: Endpoint, view: RolloutView, rollout: ServiceRollout
    ) -> None:
        duty = rollout.duty
        order = LoadOrder(duty.fencing_number, view.model, view.target_version)
        if not duty.may_order(endpoint.fencing, self.clock()):
            return
        rollout.ordered_at_s[endpoint.id] = self.clock()
        outcome = await self.orders.send(endpoint, order, self.bounds.order_s)
        if isinstance(outcome, OrderRefused):
            await self.lease_holder.raise_fencing(duty, outcome.fencing)
            rollout.reset()


def make_rollout_controller(
    host: HostId,
    board: Board,
    store: Store,
    orders: OrderClient,
    mirror: Mirror,
    bounds: LeaseBounds | None = None,
    times: RolloutTimes | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> RolloutController:
    """Return the rollout controller of a router."""
    controller = RolloutController(
        host=host,
        board=board,
        store=store,
        lease_holder=LeaseHolder(store, clock),
        orders=orders,
        mirror=mirror,
        writer=board.loading.take_writer("rollout"),
        bounds=bounds or LeaseBounds(),
        times=times or RolloutTimes(),
        clock=clock,
    )
    mirror.listeners.append(controller.update)
    return controller
