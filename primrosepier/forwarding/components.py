"""Construction of a router's components and their connections."""

import math
import random
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from typing import get_args

from ..clocks import Clock
from ..endpoint_limits import EndpointLimits
from ..errors import describe_errors
from ..ids import EndpointId, Fingerprint, HostId, ModelId, ServiceId
from ..lease_holder import LeaseHolder
from ..leases import Duty
from ..log_events import MirrorFailed
from ..mirror import Backoff, Mirror, MirrorController
from ..settings import LeaseBounds
from ..supervision import RunTask
from .calls import Call
from .cuts import CutDetector, LinksMessage
from .declarations import Declaration
from .entry import EntryApp
from .entry_platform import EntryPlatform
from .fleet import Replica
from .forwarder import Forwarder, make_forwarder
from .origins import OriginExchange, OriginMessage
from .peer_relay import make_peer_relay
from .peers import PeerDirectory, PeerExchange
from .permits import PermitExchange
from .quotas.bucket import QuotaBounds
from .quotas.quotas import make_quotas
from .quotas.routers import make_router_watch
from .records import (
    DatagramsDropped,
    HelperGivenUp,
    LinksChanged,
    QuarantineChanged,
)
from .replica_choice import Choice, ReplicaChooser
from .replica_load import ReplicaLoadTable
from .retries import RetryBudget
from .room.bounds import DeclaredBounds
from .room.demand import PromptDemand
from .room.division import ReplicaDivision
from .room.exchange import ReplicaRoom
from .room.messages import PrefillMessage
from .room.records import ReplicasDivided
from .settings import EntrySettings
from .speeds import ObservedSpeeds, SpeedTable
from .start_forecasts import StartForecasts
from .store_view import StoreView
from .transfers import (
    CachePlan,
    find_cache_store,
    has_several_cache_stores,
    must_save,
    plan_cache_use,
)
from .weights import (
    MAX_CURRENT_LAG_S,
    START_MARGIN_S,
    WITHDRAWAL_MARGIN_S,
    compute_lag_s,
)
from .weights_controller import WEIGHTS_DUTY, WeightsController
from .withdrawals import Withdrawals

__all__ = [
    "knows_request_ages",
    "list_forwarding_tasks",
    "make_connected_forwarder",
    "make_mirror_controller",
    "make_peer_exchange",
    "make_weights_controller",
    "make_withdrawals",
    "plan_replica_cache_use",
    "select_replicas",
]

# Backoff after failed calls to the store, seconds: short compared with `revoke_s`,
# after which a revoked API key must no longer work.
STORE_BACKOFF_S = 0.1
STORE_MAX_BACKOFF_S = 0.8
# Lease time as a share of the required gap between the orders of two holders
# (`holder_gap_s`), so that the new holder has acquired the duty when the gap ends.
LEASE_GAP_SHARE = 0.6
# Time allowed for an order to reach a replica, seconds: the time-out of its HTTP call
# once it is connected.
ORDER_TIMEOUT_S = 1.0
# Connection time-out of a probe of the links to replicas, seconds.
PROBE_TIMEOUT_S = 0.3
# Extra delay of each further candidate for a free duty, seconds: enough for the
# previous candidate to acquire the duty, since the store responds in milliseconds.
CANDIDATE_DELAY_S = 0.05
# Names no model, so that all models of a replica count.
ANY_MODEL = ModelId("")


def list_forwarding_tasks(forwarder: Forwarder) -> tuple[RunTask, ...]:
    """Return the tasks of the forwarder that run while the router serves."""
    return forwarder.links.run, forwarder.withdrawals.run, forwarder.losses.run


def make_peer_exchange(
    settings: EntrySettings,
    directory: PeerDirectory,
    app: EntryApp,
    weights_controller: WeightsController,
) -> PeerExchange:
    """Return the exchange of reports, connected to the parts that take part in it."""
    forwarder = app.forwarder
    prefixes, clock = forwarder.chooser.prefixes, forwarder.clock
    callbacks = (
        weights_controller.make_loading_record,
        weights_controller.apply_loading_record,
    )
    peers = PeerExchange(directory, forwarder.loads, prefixes, clock, *callbacks)
    peers.loss_log = forwarder.suspects.loss_log
    peers.permits = forwarder.notices.permits
    peers.port.notify_failure = lambda reason, count: forwarder.log.emit(
        DatagramsDropped(reason, count)
    )
    peers.list_waits = partial(
        _list_outdated_waits, forwarder, weights_controller.store_view
    )
    room = forwarder.permitted.room
    peers.receivers = {
        **dict.fromkeys(get_args(OriginMessage), forwarder.origins.receive),
        **dict.fromkeys(get_args(LinksMessage), forwarder.links.receive),
        **dict.fromkeys(get_args(PrefillMessage), room.receive),
    }
    room.send = peers.post_message
    forwarder.notices.permits.send = forwarder.origins.send = peers.send_message
    forwarder.links.send = peers.send_message
    forwarder.losses.request_report = peers.request_report
    demand = forwarder.permitted.division.demand
    peers.sections = (*peers.sections, forwarder.losses, demand)
    weights_controller.notify = peers.request_report
    bounds = QuotaBounds(
        settings.quota_window_s, settings.quota_overshoot, settings.quota_slack
    )
    app.quotas = make_quotas(
        settings.host,
        bounds,
        clock(),
        make_router_watch(directory, settings.quota_window_s).list_routers,
        app.read_declaration,
        forwarder.log.emit,
    )
    peers.sections = (*peers.sections, app.quotas)
    return peers


def _list_outdated_waits(
    forwarder: Forwarder, store_view: StoreView
) -> dict[EndpointId, float]:
    """Return how long calls wait at replicas with old weights, seconds.

    There are none once the rollout time of the last request has passed.
    """
    now_s, withdrawals = forwarder.clock(), forwarder.withdrawals
    waits_s: dict[EndpointId, float] = {}
    if all(at_s <= now_s for at_s in withdrawals.deadlines_s):
        return waits_s
    for endpoint, wait_s in forwarder.forecasts.list_long_waits().items():
        replica = store_view.find_replica(endpoint)
        if replica is None:
            continue
        if withdrawals.compute_lag_s(replica, ANY_MODEL) is not None:
            waits_s[endpoint] = wait_s
    return waits_s


def make_mirror_controller(
    settings: EntrySettings, platform: EntryPlatform, store_view: StoreView
) -> MirrorController:
    """Return the controller of the copy of the store."""
    backoff = Backoff(
        random.Random(settings.host), STORE_BACKOFF_S, STORE_MAX_BACKOFF_S
    )
    mirror = Mirror(platform.watched_prefix)
    mirror.notify_failure = lambda error: store_view.log.emit(
        MirrorFailed(describe_errors(error))
    )
    return MirrorController(
        platform.store,
        mirror,
        backoff,
        platform.layout.declaration_key,
        platform.clock,
        record_contact=store_view.record_contact,
    )


def make_connected_forwarder(
    settings: EntrySettings,
    platform: EntryPlatform,
    store_view: StoreView,
    directory: PeerDirectory,
) -> Forwarder:
    """Return a forwarder that is connected to the replicas and the other routers."""
    retries = RetryBudget(
        settings.repeat_ratio,
        settings.repeat_extra,
        directory.count_routers,
        settings.repeat_window_s,
        directory.is_settled,
    )
    rng = random.Random(settings.host)
    # Only replicas of the same service compute the same prompts in the same time.
    speeds = SpeedTable(observed=ObservedSpeeds(store_view.find_service))

    def read_engines() -> Declaration | None:
        # Replicas that report how slow they are share their machines, so that prompts
        # compete there for time that the declaration does not show.
        is_limited = settings.limits_prefills or speeds.has_figures
        return store_view.declaration.value if is_limited else None

    room = ReplicaRoom(
        settings.host,
        platform.clock,
        DeclaredBounds(read_engines),
        directory.list_hosts,
        has_late_reports=lambda: directory.plan is not None,
    )

    def log_division(
        service: ServiceId,
        short: int,
        replicas: int,
        short_per_s: float,
        long_per_s: float,
    ) -> None:
        store_view.log.emit(
            ReplicasDivided(service, short, replicas, short_per_s, long_per_s)
        )

    forwarder = make_forwarder(
        platform.client,
        platform.dialect,
        lambda: store_view.replicas.value,
        ReplicaChooser(settings.failure_domain, ReplicaLoadTable(speeds=speeds), rng),
        retries,
        store_view.log,
        PermitExchange(settings.host, EndpointLimits(), platform.clock),
        OriginExchange(settings.host, platform.clock),
        CutDetector(settings.host, platform.clock, rng),
        make_peer_relay(
            platform.client, platform.dialect, store_view.log, platform.clock
        ),
        room,
        ReplicaDivision(PromptDemand(room.rates.get_default), log_division),
        platform.clock,
    )

    forwarder.chooser.find_short_tokens = forwarder.permitted.room.find_short_tokens
    _connect_links(forwarder, store_view, platform, directory)

    def log_causes(
        added: frozenset[Fingerprint], ended: frozenset[Fingerprint]
    ) -> None:
        store_view.log.emit(QuarantineChanged(tuple(added), tuple(ended)))

    forwarder.suspects.loss_log.notify = log_causes
    return forwarder


def _connect_links(
    forwarder: Forwarder,
    store_view: StoreView,
    platform: EntryPlatform,
    directory: PeerDirectory,
) -> None:
    """Connect the detector of cuts to the replicas and the other routers."""
    links = forwarder.links
    forwarder.relay.read_peers = directory.list_addresses

    def list_replicas() -> Sequence[Replica]:
        by_service = store_view.replicas.value.by_service
        return [x for replicas in by_service.values() for x in replicas]

    def log_change(is_cut: bool, lost: int, helpers: Sequence[HostId]) -> None:
        store_view.log.emit(LinksChanged(is_cut, lost, tuple(helpers)))
        if not is_cut:
            forwarder.loads.end_backoff()

    async def probe(replica: Replica) -> bool:
        return await platform.client.probe(replica.address, PROBE_TIMEOUT_S)

    async def ask(replica: Replica) -> bool:
        # The new connection is the one that the request uses.
        return await probe(replica) and await platform.weights_client.is_responding(
            replica
        )

    links.list_replicas = list_replicas
    links.probe = probe
    links.ask = ask
    links.notify = log_change
    links.notify_lost = lambda host, reason, age_s: store_view.log.emit(
        HelperGivenUp(host, reason, age_s)
    )


def plan_replica_cache_use(
    store_view: StoreView, load_table: ReplicaLoadTable, call: Call, choice: Choice
) -> CachePlan:
    """Return how a call uses KV cache, with the weights that are requested now."""
    replicas = store_view.replicas.value.list_replicas(choice.replica.service)
    declaration = store_view.declaration.value
    cache_store = find_cache_store(declaration, call, replicas)
    # With a single store, each call names it, as in earlier releases.
    saves = not has_several_cache_stores(declaration) or must_save(call, choice)
    reported_version = load_table.read(choice.replica.id).weights
    return plan_cache_use(
        call,
        choice,
        reported_version,
        store_view.requested_weights.value,
        cache_store,
        saves,
    )


def make_weights_controller(
    settings: EntrySettings,
    platform: EntryPlatform,
    store_view: StoreView,
    mirror_controller: MirrorController,
    load_table: ReplicaLoadTable,
) -> WeightsController:
    """Return the controller of the rollout of weights."""

    def count_calls(endpoint: EndpointId) -> int:
        return load_table.get_or_create(endpoint).count_calls(platform.clock())

    bounds = LeaseBounds(
        ttl_s=max(settings.shortest_lease_s, LEASE_GAP_SHARE * settings.holder_gap_s),
        pause_s=settings.holder_gap_s,
        order_s=ORDER_TIMEOUT_S,
        rank_s=CANDIDATE_DELAY_S,
    )
    return WeightsController(
        Duty(WEIGHTS_DUTY, settings.host, bounds),
        LeaseHolder(platform.store, platform.clock),
        store_view,
        mirror_controller.mirror,
        platform.weights_client,
        store_view.log,
        platform.clock,
        settings.weights_s,
        count_calls,
        lambda: load_table.list_unreachable(platform.clock()),
    )


def _compute_lag_s(
    load_table: ReplicaLoadTable,
    weights_controller: WeightsController,
    clock: Clock,
    replica: Replica,
    model: ModelId,
) -> float | None:
    """Return for how long a replica has been missing weights, or None if it has them.

    Only the weights of the given model count at a replica that serves it, and all of
    them at other replicas.
    """
    current = weights_controller.store_view.find_replica(replica.id) or replica
    current = weights_controller.with_known_weights(current)
    if model in current.weights:
        current = replace(current, weights={model: current.weights[model]})
    requested_weights = weights_controller.store_view.requested_weights.value
    reported_version = load_table.read(replica.id).weights
    return compute_lag_s(current, reported_version, requested_weights, clock())


def make_withdrawals(
    settings: EntrySettings,
    load_table: ReplicaLoadTable,
    weights_controller: WeightsController,
    clock: Clock,
) -> Withdrawals:
    """Return the withdrawals of calls that would begin on old weights too late."""
    max_lag_s = settings.weights_s - WITHDRAWAL_MARGIN_S
    requested_weights = weights_controller.store_view.requested_weights

    def list_deadlines() -> list[float]:
        return [
            requested_after_s + max_lag_s
            for history in requested_weights.value.values()
            for requested_after_s in history.list_request_times()
        ]

    return Withdrawals(
        partial(_compute_lag_s, load_table, weights_controller, clock),
        max_lag_s,
        list_deadlines,
        clock,
    )


def select_replicas(
    settings: EntrySettings,
    forecasts: StartForecasts,
    weights_controller: WeightsController,
    clock: Clock,
    replicas: Sequence[Replica],
) -> tuple[Sequence[Replica], frozenset[EndpointId]]:
    """Return the replicas that may serve calls, and the outdated ones among them.

    Excludes replicas at which a call would begin on old weights after the rollout time
    and, while others remain, those that are loading weights.
    """
    now_s = clock()
    requested_weights = weights_controller.store_view.requested_weights.value
    loading = weights_controller.list_loading()
    usable = []
    outdated = set()
    for replica in replicas:
        reported_version = forecasts.loads.read(replica.id).weights
        lag_s = compute_lag_s(replica, reported_version, requested_weights, now_s)
        if lag_s is not None:
            start_lag_s = lag_s + forecasts.forecast_wait_s(replica.id)
            if start_lag_s > settings.weights_s - START_MARGIN_S:
                continue
        usable.append(replica)
        if lag_s is not None and lag_s > MAX_CURRENT_LAG_S:
            outdated.add(replica.id)
    serving = [replica for replica in usable if replica.id not in loading]
    return serving or usable, frozenset(outdated)


def knows_request_ages(
    forwarder: Forwarder, known_from_s: float, replicas: Sequence[Replica]
) -> bool:
    """Return whether it is known for how long replicas have been missing weights.

    Parameters
    ----------
    known_from_s : float
        Time from which all requests before the router's start are too old, seconds.
    """
    if forwarder.clock() >= known_from_s:
        return True
    compute_lag_s = forwarder.withdrawals.compute_lag_s
    return all(compute_lag_s(x, ANY_MODEL) != math.inf for x in replicas)
