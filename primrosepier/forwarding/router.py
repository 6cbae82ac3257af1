"""The entry router process: composition, start and graceful shutdown."""

import contextlib
import random
import signal
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, fields, replace
from functools import partial

import anyio
from anyio.abc import UDPSocket

from ..asgi import open_server
from ..byte_budget import make_byte_budget
from ..datagrams import OpenSocket
from ..errors import SettingsError, describe_errors
from ..log_events import TaskFailed
from ..logs import Log, close_at_end, make_log
from ..mirror import MirrorController
from ..supervision import RunTask, run_supervised
from .callers_protocol import apply_limits, make_callers_protocol
from .components import (
    knows_request_ages,
    list_forwarding_tasks,
    make_connected_forwarder,
    make_mirror_controller,
    make_peer_exchange,
    make_weights_controller,
    make_withdrawals,
    plan_replica_cache_use,
    select_replicas,
)
from .entry import EntryApp
from .entry_platform import EntryPlatform
from .freshness import Freshness
from .gauges import set_gauges
from .leaving import LeavingReplicas
from .metrics import EntryMetrics, make_entry_metrics
from .origin_journal import OriginJournal
from .peers import PeerDirectory, PeerExchange
from .placement.page import PlacementPage
from .placement.report import PLACEMENT_PATH
from .records import (
    EntryUnreadable,
    MetricsUnserved,
    ReplicaLeaving,
    RouterStarted,
    RouterStopping,
    SettingsRead,
)
from .registered_versions import make_registered_versions
from .retention import record_hosts, retain_leaving, retain_registered
from .settings import EntrySettings
from .shutdown import make_shutdown_schedule
from .software_checks import make_software_checks
from .store_limits import choose_batching_delay_s, limit_store
from .store_view import StoreView, make_store_view
from .version_recorder import VersionRecorder
from .weights_controller import WeightsController

__all__ = ["EntryRouter", "make_entry_router", "run_entry_router"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Time without a new call after which a stopping router may end early, seconds.
IDLE_BEFORE_STOP_S = 0.6
# Time for which the HTTP server waits for calls in progress when it is closed, seconds:
# half of what the shutdown schedule reserves for closing connections.
CLOSE_TIMEOUT_S = 0.5
# Share of the grace period in which a rollout in progress may still finish.
ROLLOUT_GRACE_SHARE = 0.6
DRAIN_POLL_S = 0.05
REFRESH_INTERVAL_S = 0.5


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
            *list_forwarding_tasks(self.app.forwarder),
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
            record_hosts(self.app.forwarder, self.peers.directory)
            await self.app.forwarder.origins.record_versions(
                self.store_view.list_origins()
            )
            retain_registered(self.app.forwarder, self.store_view)
            self.platform.client.prune(self._list_addresses())
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


def make_entry_router(
    settings: EntrySettings, platform: EntryPlatform, log: Log
) -> EntryRouter:
    """Return a router that is not serving yet."""
    clock = platform.clock
    metrics = make_entry_metrics(
        log,
        lambda table: set_gauges(table, store_view, app, weights_controller.duty),
        {PLACEMENT_PATH: PlacementPage(settings.host, lambda: app)},
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
    mirror_controller = make_mirror_controller(settings, platform, store_view)
    directory = PeerDirectory(settings.host, platform.store, settings.peers_address)
    directory.failure_domain = settings.failure_domain
    directory.clock = clock
    directory.compute_recovery_s = lambda: store_view.fleet.compute_recovery_s(clock())
    directory.notify_unreadable = lambda key: log.emit(
        EntryUnreadable(key, "malformed entry of a router")
    )
    forwarder = make_connected_forwarder(settings, platform, store_view, directory)
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
    weights_controller = make_weights_controller(
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
        select_replicas, settings, forwarder.forecasts, weights_controller, clock
    )
    forwarder.withdrawals = make_withdrawals(
        settings, load_table, weights_controller, clock
    )
    forwarder.knows_request_ages = partial(
        knows_request_ages, forwarder, clock() + settings.weights_s
    )
    forwarder.sender.plan_cache_use = partial(
        plan_replica_cache_use, store_view, load_table
    )
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
        lambda mirror: record_hosts(forwarder, directory),
        lambda mirror: retain_leaving(forwarder, store_view),
        weights_controller.read_loading_record,
        lambda mirror: forwarder.withdrawals.update_deadlines(),
        version_recorder.read,
    )
    mirror_controller.mirror.listeners.extend(listeners)
    peers = make_peer_exchange(settings, directory, app, weights_controller)
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


@contextlib.asynccontextmanager
async def _open_metrics(router: EntryRouter, protocol: type) -> AsyncIterator[None]:
    """Serve the metrics while the context is open, if the address can be bound."""
    address = router.settings.metrics_address
    async with contextlib.AsyncExitStack() as stack:
        if address:
            server = open_server(
                router.metrics, address, router.compute_grace, protocol
            )
            try:
                await stack.enter_async_context(server)
            except (OSError, ExceptionGroup) as error:
                router.log.emit(MetricsUnserved(address, repr(error)))
        yield


@contextlib.asynccontextmanager
async def open_entry_router(router: EntryRouter) -> AsyncIterator[EntryRouter]:
    """Run a router while the context is open."""
    settings = router.settings
    protocol = make_callers_protocol(settings, router.log, router.metrics)
    router.mirror_controller.mirror.listeners.append(
        lambda mirror: apply_limits(protocol, router.app.read_declaration)
    )
    host, _, port = settings.peers_address.rpartition(":")
    open_socket = partial(
        anyio.create_udp_socket, local_host=host, local_port=int(port)
    )
    with close_at_end(router.log):
        async with (
            await open_socket() as socket,
            anyio.create_task_group() as group,
            _open_metrics(router, protocol),
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
