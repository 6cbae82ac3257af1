"""The entry router process: composition, start and graceful shutdown."""

import contextlib
import math
import random
import signal
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, fields, replace
from functools import partial

import anyio
from anyio.abc import UDPSocket

from ..asgi import open_server
from ..byte_budget import make_byte_budget
from ..clocks import Clock
from ..datagrams import OpenSocket
from ..endpoint_client import EndpointClient
from ..endpoint_limits import EndpointLimits
from ..errors import SettingsError, describe_errors
from ..ids import EndpointId, Fingerprint, HostId, ModelId
from ..lease_holder import LeaseHolder
from ..leases import Duty
from ..log_events import MirrorFailed, TaskFailed
from ..logs import Log, close_at_end, make_log
from ..mirror import Backoff, Mirror, MirrorController
from ..protocol import make_bounded_protocol, set_protocol_bounds
from ..settings import LeaseBounds
from ..store import Store
from ..supervision import RunTask, run_supervised
from .calls import Call, EndpointDialect
from .cuts import CutDetector
from .declarations import Declaration
from .entry import EntryApp, RequestReader, read_boot_clock
from .fleet import Replica
from .forwarder import Forwarder, make_forwarder
from .freshness import Freshness
from .gauges import set_gauges
from .leaving import LeavingReplicas
from .metrics import EntryMetrics, make_entry_metrics
from .origin_journal import OriginJournal
from .origins import OriginExchange
from .peer_relay import make_peer_relay
from .peers import PeerDirectory, PeerExchange
from .permits import PermitExchange
from .records import (
    DatagramsDropped,
    EntryUnreadable,
    HelperGivenUp,
    LinksChanged,
    MetricsUnserved,
    QuarantineChanged,
    ReplicaLeaving,
    RouterStarted,
    RouterStopping,
    SettingsRead,
)
from .registered_versions import make_registered_versions
from .replica_choice import Choice, ReplicaChooser
from .replica_load import ReplicaLoadTable
from .retries import RetryBudget
from .settings import EntrySettings
from .shutdown import make_shutdown_schedule
from .software_checks import make_software_checks
from .start_forecasts import StartForecasts
from .store_limits import choose_batching_delay_s, limit_store
from .store_view import StoreLayout, StoreView, make_store_view
from .transfers import CachePlan, find_cache_store, plan_cache_use
from .version_recorder import VersionRecorder
from .weights import (
    MAX_CURRENT_LAG_S,
    START_MARGIN_S,
    WITHDRAWAL_MARGIN_S,
    WeightsClient,
    compute_lag_s,
)
from .weights_controller import WEIGHTS_DUTY, WeightsController
from .withdrawals import Withdrawals

__all__ = ["EntryPlatform", "EntryRouter", "make_entry_router", "run_entry_router"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Limits on a request's head and on idle connections where the declaration sets none.
DEFAULT_HEADER_BYTES = 32 * 1024
DEFAULT_HEADER_S = 10.0
DEFAULT_IDLE_S = 30.0
# Added to the declared idle time-out, so that the router does not close a connection
# that a caller may still reuse.
IDLE_MARGIN_S = 1.0
# Backoff after failed calls to the store, seconds: short compared with `revoke_s`,
# after which a revoked API key must no longer work.
STORE_BACKOFF_S = 0.1
STORE_MAX_BACKOFF_S = 0.8
# Time without a new call after which a stopping router may end early, seconds.
IDLE_BEFORE_STOP_S = 0.6
# Time for which the HTTP server waits for calls in progress when it is closed, seconds:
# half of what the shutdown schedule reserves for closing connections.
CLOSE_TIMEOUT_S = 0.5
# Share of the grace period in which a rollout in progress may still finish.
ROLLOUT_GRACE_SHARE = 0.6
DRAIN_POLL_S = 0.05
REFRESH_INTERVAL_S = 0.5
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


@dataclass(frozen=True, slots=True)
class EntryPlatform:
    """Adapters to everything outside a router's process.

    Parameters
    ----------
    store : Store
    client : EndpointClient
    dialect : EndpointDialect
    reader : RequestReader
    layout : StoreLayout
    weights_client : WeightsClient
    watched_prefix : str
        Prefix of the store keys that the router mirrors.
    clock : Clock
    """

    store: Store
    client: EndpointClient
    dialect: EndpointDialect
    reader: RequestReader
    layout: StoreLayout
    weights_client: WeightsClient
    watched_prefix: str
    clock: Clock = read_boot_clock


@dataclass(slots=True)
class EntryRouter:
    """The components of one router."""

    settings: EntrySettings
    platform: EntryPlatform
    log: Log
    store_view: StoreView
    mirror_controller: MirrorController
    app: EntryApp
    weights_controller: WeightsController
    peers: PeerExchange
    metrics: EntryMetrics
    version_recorder: VersionRecorder
    origin_journal: OriginJournal
    callers_address: str = ""

    def compute_grace(self) -> float:
        """Return the time that closing waits for calls in progress, seconds."""
        return CLOSE_TIMEOUT_S

    def list_tasks(
        self, socket: UDPSocket, open_socket: OpenSocket
    ) -> tuple[RunTask, ...]:
        """Return the tasks that run while the router serves."""
        return (
            self.mirror_controller.run,
            self.refresh,
            self.weights_controller.run,
            self.version_recorder.run,
            self.origin_journal.run,
            self.peers.directory.run,
            partial(self.peers.run, socket, open_socket),
            self.app.forwarder.links.run,
            self.app.forwarder.withdrawals.run,
        )

    def record_failure(self, error: Exception) -> None:
        """Log an error that ended a task."""
        self.log.emit(TaskFailed(describe_errors(error)))

    async def refresh(self) -> None:
        """Periodically apply expiry and other changes that depend only on time."""
        while True:
            await anyio.sleep(REFRESH_INTERVAL_S)
            self.store_view.refresh()
            self.peers.directory.refresh()
            _record_hosts(self.app.forwarder, self.peers.directory)
            await self.app.forwarder.origins.record_versions(
                self.store_view.list_origins()
            )
            replica_lists = self.store_view.replicas.value.by_service.values()
            registered = {
                replica.id for replicas in replica_lists for replica in replicas
            }
            self.app.forwarder.loads.retain(registered)
            self.app.forwarder.forecasts.retain(registered)
            self.app.forwarder.notices.permits.limits.retain(registered)
            self.app.forwarder.notices.rests.retain(registered, self.platform.clock())
            _retain_leaving(self.app.forwarder, self.store_view)
            self.app.forwarder.notices.permits.windows.retain(
                registered, self.platform.clock()
            )
            self.platform.client.prune(self._list_addresses())
            self.app.forwarder.links.monitor.retain(registered)
            if self.app.forwarder.software_checks is not None:
                self.app.forwarder.software_checks.retain(registered)
            self.app.forwarder.chooser.prefixes.prune(self.platform.clock())

    def _list_addresses(self) -> set[str]:
        """Return the addresses of the registered replicas and the other routers."""
        replicas = self.store_view.fleet.list_registered()
        peers = self.peers.directory.list_addresses().values()
        return {x.address for x in replicas} | {x.address for x in peers}

    def reload(self, read_settings: Callable[[], EntrySettings]) -> None:
        """Reread the settings file and log the differences.

        No setting changes before the process is restarted.
        """
        try:
            reread = read_settings()
        except SettingsError as error:
            self.log.emit(SettingsRead((), str(error)))
            return
        names = (entry.name for entry in fields(reread))
        current = self.settings
        changed = (n for n in names if getattr(reread, n) != getattr(current, n))
        self.log.emit(SettingsRead(tuple(changed), ""))

    async def drain(self) -> None:
        """Report not ready, finish the calls in progress, and release the duty.

        Returns early once no new calls arrive, none is in progress and the weights
        duty has been released. Calls that may last beyond the shutdown are refused from
        ``accepts_until_s`` on.
        """
        clock = self.platform.clock
        started_s = clock()
        grace_s = self.settings.grace_s
        self.log.emit(RouterStopping(self.app.in_progress, grace_s))
        shutdown = self.app.shutdown = make_shutdown_schedule(started_s, grace_s)
        while clock() < shutdown.ends_at_s:
            now_s = clock()
            immediately = now_s >= started_s + ROLLOUT_GRACE_SHARE * grace_s
            await self.weights_controller.stop(immediately=immediately)
            idle = now_s >= self.app.last_call_at_s + IDLE_BEFORE_STOP_S
            busy = self.app.in_progress or self.weights_controller.duty.fencing_number
            if now_s >= shutdown.accepts_until_s and idle and not busy:
                return
            await anyio.sleep(DRAIN_POLL_S)


def _record_hosts(forwarder: Forwarder, directory: PeerDirectory) -> None:
    """Tell the parts that ask other routers which ones there are."""
    hosts = directory.list_hosts()
    forwarder.notices.permits.record_hosts(hosts)
    forwarder.origins.record_hosts(hosts)
    forwarder.links.record_hosts(hosts)


def make_entry_router(
    settings: EntrySettings, platform: EntryPlatform, log: Log
) -> EntryRouter:
    """Return a router that is not serving yet."""
    clock = platform.clock
    metrics = make_entry_metrics(
        log, lambda table: set_gauges(table, store_view, app, weights_controller.duty)
    )
    store = limit_store(
        settings,
        platform.store,
        lambda: directory.count_routers(),
        clock,
        metrics.record_store_call,
    )
    platform = replace(platform, store=store)
    store_view = make_store_view(platform.layout, log, clock)
    store_view.fleet.renewal_interval_s = settings.heartbeat_s
    mirror_controller = _make_mirror_controller(settings, platform, store_view)
    directory = PeerDirectory(settings.host, platform.store, settings.peers_address)
    directory.failure_domain = settings.failure_domain
    directory.clock = clock
    directory.compute_recovery_s = lambda: store_view.fleet.compute_recovery_s(clock())
    directory.notify_unreadable = lambda key: log.emit(
        EntryUnreadable(key, "malformed entry of a router")
    )
    forwarder = _make_forwarder(settings, platform, store_view, directory)
    load_table = forwarder.loads
    app = EntryApp(
        platform.reader,
        forwarder,
        lambda: store_view.declaration.value,
        Freshness(settings.revoke_s, lambda: mirror_controller.mirror.confirmed_at_s),
        log,
        clock,
        int(settings.readiness_address.rpartition(":")[2]),
        int(settings.peers_address.rpartition(":")[2]),
        directory.token,
        make_byte_budget(settings.memory_bytes),
    )
    weights_controller = _make_weights_controller(
        settings, platform, store_view, mirror_controller, load_table
    )
    forwarder.notices.leaving = weights_controller.leaving = LeavingReplicas(
        settings.drain_s,
        lambda replica: log.emit(
            ReplicaLeaving(replica.id, replica.service, replica.born_ms)
        ),
    )
    weights_controller.is_cut_off = lambda: forwarder.links.is_cut
    mirror_controller.get_batching_delay_s = partial(
        choose_batching_delay_s, settings, weights_controller.duty
    )
    forwarder.select_replicas = partial(
        _select_replicas, settings, forwarder.forecasts, weights_controller, clock
    )
    forwarder.withdrawals = _make_withdrawals(
        settings, load_table, weights_controller, clock
    )
    forwarder.knows_request_ages = partial(
        _knows_request_ages, forwarder, clock() + settings.weights_s
    )
    forwarder.sender.plan_cache_use = partial(_plan_cache_use, store_view, load_table)
    origin_journal = OriginJournal(
        settings.host,
        platform.store,
        mirror_controller.mirror,
        log,
        clock,
        settings.store_writes_per_s,
        directory.count_routers,
    )
    forwarder.origins.journal = origin_journal
    registered_versions = make_registered_versions(
        platform.store, platform.layout, clock
    )
    forwarder.origins.read_registered = registered_versions.get
    forwarder.software_checks = make_software_checks(
        platform.store, platform.layout, clock, lambda: store_view.is_connected
    )
    forwarder.sender.find_origin = forwarder.software_checks.find_origin
    version_recorder = VersionRecorder(
        platform.store,
        mirror_controller.mirror,
        weights_controller.duty,
        forwarder.origins.versions,
        store_view.list_origins,
        log,
        clock,
        random.Random(settings.host),
        settings.is_first_start,
    )
    listeners = (
        store_view.update,
        directory.update,
        lambda mirror: _record_hosts(forwarder, directory),
        lambda mirror: _retain_leaving(forwarder, store_view),
        weights_controller.read_loading_record,
        lambda mirror: forwarder.withdrawals.update_deadlines(),
        version_recorder.read,
    )
    mirror_controller.mirror.listeners.extend(listeners)
    peers = _make_exchange(directory, forwarder, weights_controller)
    components = (
        store_view,
        mirror_controller,
        app,
        weights_controller,
        peers,
        metrics,
        version_recorder,
        origin_journal,
    )
    return EntryRouter(settings, platform, log, *components)


def _retain_leaving(forwarder: Forwarder, store_view: StoreView) -> None:
    registered = store_view.fleet.list_registered()
    forwarder.notices.leaving.retain(registered, forwarder.clock())


def _make_exchange(
    directory: PeerDirectory,
    forwarder: Forwarder,
    weights_controller: WeightsController,
) -> PeerExchange:
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
    peers.origins = forwarder.origins
    peers.list_waits = partial(
        _list_outdated_waits, forwarder, weights_controller.store_view
    )
    peers.cuts = forwarder.links
    forwarder.notices.permits.send = forwarder.origins.send = peers.send_message
    forwarder.links.send = peers.send_message
    weights_controller.notify = peers.request_report
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


def _make_mirror_controller(
    settings: EntrySettings, platform: EntryPlatform, store_view: StoreView
) -> MirrorController:
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


def _make_forwarder(
    settings: EntrySettings,
    platform: EntryPlatform,
    store_view: StoreView,
    directory: PeerDirectory,
) -> Forwarder:
    retries = RetryBudget(
        settings.repeat_ratio,
        settings.repeat_extra,
        directory.count_routers,
        settings.repeat_window_s,
        directory.is_settled,
    )
    rng = random.Random(settings.host)
    forwarder = make_forwarder(
        platform.client,
        platform.dialect,
        lambda: store_view.replicas.value,
        ReplicaChooser(settings.failure_domain, ReplicaLoadTable(), rng),
        retries,
        store_view.log,
        PermitExchange(settings.host, EndpointLimits(), platform.clock),
        OriginExchange(settings.host, platform.clock),
        CutDetector(settings.host, platform.clock, rng),
        make_peer_relay(
            platform.client, platform.dialect, store_view.log, platform.clock
        ),
        platform.clock,
    )

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


def _plan_cache_use(
    store_view: StoreView, load_table: ReplicaLoadTable, call: Call, choice: Choice
) -> CachePlan:
    cache_store = find_cache_store(store_view.declaration.value)
    reported_version = load_table.get_or_create(choice.replica.id).weights
    return plan_cache_use(
        call, choice, reported_version, store_view.requested_weights.value, cache_store
    )


def _make_weights_controller(
    settings: EntrySettings,
    platform: EntryPlatform,
    store_view: StoreView,
    mirror_controller: MirrorController,
    load_table: ReplicaLoadTable,
) -> WeightsController:
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
    reported_version = load_table.get_or_create(replica.id).weights
    return compute_lag_s(current, reported_version, requested_weights, clock())


def _make_withdrawals(
    settings: EntrySettings,
    load_table: ReplicaLoadTable,
    weights_controller: WeightsController,
    clock: Clock,
) -> Withdrawals:
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


def _select_replicas(
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
        reported_version = forecasts.loads.get_or_create(replica.id).weights
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


def _knows_request_ages(
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


def _apply_limits(
    protocol: type, read_declaration: Callable[[], Declaration | None]
) -> None:
    declaration = read_declaration()
    if declaration is None:
        return
    limits = declaration.limits
    set_protocol_bounds(
        protocol,
        limits.header_bytes or DEFAULT_HEADER_BYTES,
        limits.header_s or DEFAULT_HEADER_S,
        (limits.idle_s or DEFAULT_IDLE_S) + IDLE_MARGIN_S,
    )


@contextlib.asynccontextmanager
async def _open_metrics(router: EntryRouter) -> AsyncIterator[None]:
    """Serve the metrics while the context is open, if the address can be bound."""
    address = router.settings.metrics_address
    async with contextlib.AsyncExitStack() as stack:
        if address:
            server = open_server(router.metrics, address, lambda: CLOSE_TIMEOUT_S)
            try:
                await stack.enter_async_context(server)
            except (OSError, ExceptionGroup) as error:
                router.log.emit(MetricsUnserved(address, repr(error)))
        yield


@contextlib.asynccontextmanager
async def open_entry_router(router: EntryRouter) -> AsyncIterator[EntryRouter]:
    """Run a router while the context is open."""
    settings = router.settings
    protocol = make_bounded_protocol(DEFAULT_HEADER_BYTES, DEFAULT_HEADER_S)
    router.mirror_controller.mirror.listeners.append(
        lambda mirror: _apply_limits(protocol, router.app.read_declaration)
    )
    host, _, port = settings.peers_address.rpartition(":")
    open_socket = partial(
        anyio.create_udp_socket, local_host=host, local_port=int(port)
    )
    with close_at_end(router.log):
        async with (
            await open_socket() as socket,
            anyio.create_task_group() as group,
            _open_metrics(router),
        ):
            async with open_server(
                router.app,
                settings.callers_address,
                router.compute_grace,
                protocol,
                (settings.readiness_address, settings.peers_address),
            ) as router.callers_address:
                router.log.emit(
                    RouterStarted(router.callers_address, settings.failure_domain)
                )
                for run in router.list_tasks(socket, open_socket):
                    group.start_soon(run_supervised, run, router.record_failure)
                yield router
            group.cancel_scope.cancel()
        await router.platform.store.close()


async def run_entry_router(
    settings: EntrySettings,
    platform: EntryPlatform,
    read_settings: Callable[[], EntrySettings],
) -> None:
    """Run a router until a signal requests a stop; SIGHUP rereads the settings.

    Parameters
    ----------
    read_settings : callable
        Reads the settings file; raises ``SettingsError``.
    """
    log = make_log(settings.host, settings.logs)
    router = make_entry_router(settings, platform, log)
    with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        async with open_entry_router(router):
            async for signal_number in signals:
                if signal_number in STOP_SIGNALS:
                    break
                router.reload(read_settings)
            await router.drain()
