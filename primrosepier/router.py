"""The router process: its controllers and its servers."""

import contextlib
import math
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

import anyio

from .asgi import open_server
from .attempt import AttemptRunner
from .board import Board, make_board
from .byte_budget import make_byte_budget
from .caller_limits import make_caller_budget
from .callers import CallersApp
from .claim_writer import StoreClaims, make_store_claims
from .clocks import Clock
from .configuration_controller import ConfigurationController
from .dispatch import Dispatcher, make_dispatcher
from .drift import DriftAlert, DriftTracker
from .drift_controller import DriftController
from .endpoint_client import EndpointClient, make_endpoint_client
from .errors import describe_errors
from .etcd import make_etcd_store
from .log_events import MirrorFailed, SlideFound, TaskFailed
from .logs import Log, close_at_end, make_log
from .metric_table import MetricTable
from .metrics import Metrics, make_metrics
from .mirror import Mirror, MirrorController, make_mirror
from .orders import EndpointOrders
from .peering import Peering, RouterComponents, open_peering
from .plain import PlainDispatcher
from .protocol import make_bounded_protocol
from .rate_limits import RateLimitedStore, RateLimiter, StoreRates
from .reuse_placement import make_placement
from .revisions import MANIFEST_KEY, STATE_PREFIX
from .rollout_controller import RolloutController, make_rollout_controller
from .settings import RouterSettings
from .store import Store
from .supervision import RunTask, run_supervised

__all__ = [
    "Platform",
    "Router",
    "make_platform",
    "make_router",
    "open_router",
]

ABORT_GRACE_S = 1.0
PREPARE_TIMEOUT_S = 0.5
PREPARE_POLL_S = 0.01
# Time between two rounds in which idle connections are closed, seconds.
PRUNE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Platform:
    """External dependencies of a router.

    Parameters
    ----------
    store : Store
    client : EndpointClient
    clock : Clock
    """

    store: Store
    client: EndpointClient
    clock: Clock = time.monotonic


def make_platform(settings: RouterSettings) -> Platform:
    """Return the platform that the settings refer to."""
    return Platform(make_etcd_store(settings.store_address), make_endpoint_client())


@dataclass(slots=True)
class Router:
    """Components of one router and the addresses it listens on."""

    settings: RouterSettings
    board: Board
    platform: Platform
    app: CallersApp
    configuration: ConfigurationController
    mirror: MirrorController
    claims: StoreClaims
    rollouts: RolloutController
    drift: DriftController
    callers_address: str = ""
    peers_address: str = ""
    peering: Peering | None = None

    async def prepare(self) -> None:
        """Report the router as ready once it knows which endpoints are leaving.

        This waits for a configuration; a host list, peer or endpoint that does not
        answer delays it by at most `PREPARE_TIMEOUT_S`.
        """
        while self.board.configuration.value is None or self.peering is None:
            await anyio.sleep(PREPARE_POLL_S)
        with anyio.move_on_after(PREPARE_TIMEOUT_S):
            await self.peering.load_leaving_state()
        self.app.prepared = True

    async def prune_connections(self) -> None:
        """Close idle connections that have expired or lead to no endpoint."""
        while True:
            await anyio.sleep(PRUNE_INTERVAL_S)
            configuration = self.board.configuration.value
            if configuration is not None:
                endpoints = configuration.endpoints.values()
                self.platform.client.prune({x.address for x in endpoints})

    def list_tasks(self) -> tuple[RunTask, ...]:
        """Return the tasks that run while the router serves, but those of peering."""
        return (
            self.mirror.run,
            self.claims.run,
            self.rollouts.run,
            self.drift.run,
            self.prune_connections,
        )

    def record_failure(self, error: Exception) -> None:
        """Log an error that ended a task."""
        self.app.log.emit(TaskFailed(describe_errors(error)))

    def compute_grace(self) -> float:
        """Return the time in seconds that requests in progress may take at shutdown."""
        return self.settings.stop_streams_s if self.app.stopping else ABORT_GRACE_S


def make_router(settings: RouterSettings, platform: Platform) -> Router:
    """Return a router that is not running yet."""
    board = make_board()
    platform = replace(platform, store=_limit_store(settings, board, platform))
    limits = settings.limits
    attempts = AttemptRunner(platform.client, limits, platform.clock)
    placement = make_placement(settings.failure_domain)
    dispatcher = make_dispatcher(board, attempts, placement, limits, platform.clock)
    log = make_log(settings.host, settings.logs)
    claims = make_store_claims(platform.store, settings.host, clock=platform.clock)
    plain = PlainDispatcher(
        platform.client, dispatcher.candidates, limits, platform.clock
    )
    metrics = make_metrics(board, log, platform.clock)
    app = CallersApp(board, dispatcher, limits, log, claims, plain, metrics)
    app.body_budget = make_byte_budget(limits.memory_bytes or math.inf)
    app.prepared = False
    writer = board.configuration.take_writer("configuration")
    controller = ConfigurationController(writer, platform.clock)
    mirror = make_mirror(
        platform.store, STATE_PREFIX, MANIFEST_KEY, clock=platform.clock
    )
    mirror.mirror.notify_failure = lambda error: log.emit(
        MirrorFailed(describe_errors(error))
    )
    mirror.mirror.listeners.append(controller.update)

    def retain_rests(mirror: Mirror) -> None:
        configuration = board.configuration.value
        if configuration is not None:
            rests = dispatcher.candidates.rests
            rests.retain(configuration.endpoints, platform.clock())

    mirror.mirror.listeners.append(retain_rests)
    rollouts = _make_rollouts(settings, board, platform, mirror)
    drift = _make_drift_controller(platform.store, placement.drift, log)
    _register_gauges(metrics, dispatcher, controller)
    controllers = (controller, mirror, claims, rollouts, drift)
    return Router(settings, board, platform, app, *controllers)


def _limit_store(
    settings: RouterSettings, board: Board, platform: Platform
) -> RateLimitedStore:
    rates = StoreRates(settings.store_writes_per_s, settings.store_reads_per_s)
    return RateLimitedStore(
        store=platform.store,
        limiter=RateLimiter(rates),
        count_routers=lambda: 1 + len(board.peers.value),
        clock=platform.clock,
    )


def _make_rollouts(
    settings: RouterSettings,
    board: Board,
    platform: Platform,
    mirror: MirrorController,
) -> RolloutController:
    return make_rollout_controller(
        settings.host,
        board,
        platform.store,
        EndpointOrders(platform.client),
        mirror.mirror,
        settings.leases,
        clock=platform.clock,
    )


def _make_drift_controller(
    store: Store, tracker: DriftTracker, log: Log
) -> DriftController:
    def log_alert(alert: DriftAlert) -> None:
        log.emit(
            SlideFound(
                workspace=alert.workspace,
                prefix_level=alert.level,
                base_rate=alert.base_rate,
                recent_rate=alert.recent_rate,
                cause=alert.cause.value,
            )
        )

    return DriftController(store, tracker, log_alert)


def _register_gauges(
    metrics: Metrics, dispatcher: Dispatcher, controller: ConfigurationController
) -> None:
    def set_gauges(table: MetricTable) -> None:
        outstanding = sum(dispatcher.candidates.outstanding.values())
        table.set("primrosepier_attempts_in_progress", outstanding)
        resting = dispatcher.candidates.rests.count_resting(dispatcher.clock())
        table.set("primrosepier_resting_endpoints", resting)
        for kind, count in dispatcher.attempts.counts.items():
            table.set("primrosepier_relay_events_total", count, kind=kind.value)
        table.set("primrosepier_configuration_revision", controller.revision)
        metrics.promise_monitor.observe_revision(controller.revision)

    metrics.register_callback(set_gauges)


def make_router_components(router: Router) -> RouterComponents:
    """Return the components of a router that peering reads and updates."""
    app = router.app
    return RouterComponents(
        settings=router.settings,
        board=router.board,
        client=router.platform.client,
        attempts=app.dispatcher.attempts,
        dispatcher=app.dispatcher,
        configuration_source=router.configuration,
        is_ready=app.is_ready,
        is_stopping=lambda: app.stopping,
        clock=router.platform.clock,
        log=app.log,
    )


@contextlib.asynccontextmanager
async def open_router(settings: RouterSettings) -> AsyncIterator[Router]:
    """Run a router while the context is open."""
    router = make_router(settings, make_platform(settings))
    limits, emit = settings.limits, router.app.log.emit
    components = make_router_components(router)
    budget = make_caller_budget(limits.memory_bytes or math.inf, notify=emit)
    router.app.metrics.register_callback(budget.set_gauges)
    protocol = make_bounded_protocol(limits.header_bytes, limits.header_s, budget)
    with close_at_end(router.app.log):
        async with anyio.create_task_group() as group:

            def start(run: RunTask) -> None:
                group.start_soon(run_supervised, run, router.record_failure)

            for run in router.list_tasks():
                start(run)
            async with (
                open_peering(components, start, budget) as router.peering,
                open_server(
                    router.app, settings.callers_address, router.compute_grace, protocol
                ) as router.callers_address,
            ):
                router.peers_address = router.peering.address
                start(router.prepare)
                yield router
            group.cancel_scope.cancel()
        await router.platform.client.close()
        await router.platform.store.close()
