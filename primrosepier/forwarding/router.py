"""The router process in front of declared routes."""

import contextlib
import random
import signal
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, fields, replace
from functools import partial

import anyio

from ..asgi import open_server
from ..clocks import Clock
from ..engines import EndpointClient
from ..errors import SettingsError
from ..ids import EndpointId
from ..lease_holder import LeaseHolder
from ..leases import Duty
from ..logs import Log, make_log
from ..mirror import Backoff, Mirror, MirrorController
from ..protocol import make_bounded_protocol, set_protocol_bounds
from ..settings import LeaseBounds
from ..store import Store
from .burden import BurdenLedger
from .calls import Call, EndpointDialect
from .declarations import Declaration
from .ending import make_ending
from .entry import EntryApp, RequestReader, read_boot_clock
from .fleet import Replica
from .forwarder import Forwarder, make_forwarder
from .freshness import Freshness
from .gauges import set_gauges
from .homes import Choice, HomeChooser
from .knowledge import Knowledge, StoreLayout, make_knowledge
from .metrics import EntryMetrics, make_entry_metrics
from .peers import PeerDirectory, WorkExchange
from .records import MetricsUnserved, RouterStarted, RouterStopping, SettingsRead
from .repeats import RepeatBudget
from .settings import EntrySettings
from .store_limits import choose_gather_s, limit_store
from .transfers import CachePlan, find_cache_store, plan_cache
from .weights import OUTDATED_S, OVERDUE_SHARE, WeightsOrders, compute_lag_s
from .weights_controller import WEIGHTS_DUTY, WeightsController

__all__ = ["EntryPlatform", "EntryRouter", "make_entry_router", "run_entry_router"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Bounds on a request's head where none are declared.
USUAL_HEADER_BYTES = 32 * 1024
USUAL_HEADER_S = 10.0
USUAL_IDLE_S = 30.0
# Added to the declared idle time, so that a caller that keeps to it is never cut.
IDLE_MARGIN_S = 1.0
# Waits after a failed call on the store: short against the bound on revoked keys.
STORE_WAIT_S = 0.1
STORE_WAIT_LIMIT_S = 0.8
# Time without a new call after which none is expected any more.
QUIET_S = 0.6
# Time for calls in progress when the router ends, seconds: half of what is kept.
CLOSE_S = 0.5
# Part of the grace in which a rollout that is under way goes on.
ROLLOUT_SHARE = 0.6
TICK_S = 0.05
REFRESH_S = 0.5
# Part of the time between two holders' orders for which a lease lasts, so that a new
# holder is there when that time is over.
LEASE_SHARE = 0.6
# Longest time that an order is under way, seconds: as its call's bound.
ORDER_S = 1.0
# Time by which each next candidate waits longer for a free duty, seconds: the store
# answers in milliseconds.
RANK_S = 0.05


@dataclass(frozen=True, slots=True)
class EntryPlatform:
    """What a router meets outside its process.

    Parameters
    ----------
    store : Store
    client : EndpointClient
    dialect : EndpointDialect
    reader : RequestReader
    layout : StoreLayout
    orders : WeightsOrders
    watched_prefix : str
        Part of the store that is mirrored.
    """

    store: Store
    client: EndpointClient
    dialect: EndpointDialect
    reader: RequestReader
    layout: StoreLayout
    orders: WeightsOrders
    watched_prefix: str
    clock: Clock = read_boot_clock


@dataclass(slots=True)
class EntryRouter:
    """The parts of one router."""

    settings: EntrySettings
    platform: EntryPlatform
    log: Log
    knowledge: Knowledge
    mirror: MirrorController
    app: EntryApp
    weights: WeightsController
    peers: WorkExchange
    metrics: EntryMetrics
    callers_address: str = ""

    def compute_grace(self) -> float:
        """Return how long calls in progress may go on at the end, seconds."""
        return CLOSE_S

    async def refresh(self) -> None:
        """Follow what changes by time alone."""
        while True:
            await anyio.sleep(REFRESH_S)
            self.knowledge.refresh()
            found = self.knowledge.replicas.value.by_service.values()
            known = (replica.id for replicas in found for replica in replicas)
            self.app.forwarder.burdens.keep(known)
            self.app.forwarder.chooser.prefixes.forget(self.platform.clock())

    def reload(self, read: Callable[[], EntrySettings]) -> None:
        """Check the settings file again, and tell what changed in it.

        Addresses and bounds stay as they are until the process starts again.
        """
        try:
            found = read()
        except SettingsError as error:
            self.log.emit(SettingsRead((), str(error)))
            return
        names = (entry.name for entry in fields(found))
        before = self.settings
        changed = (n for n in names if getattr(found, n) != getattr(before, n))
        self.log.emit(SettingsRead(tuple(changed), ""))

    async def drain(self) -> None:
        """Take the router out of service and wait for the calls in progress."""
        clock = self.platform.clock
        started_s = clock()
        grace_s = self.settings.grace_s
        self.log.emit(RouterStopping(self.app.in_progress, grace_s))
        ending = self.app.ending = make_ending(started_s, grace_s)
        while clock() < ending.ends_at_s:
            now_s = clock()
            late = now_s >= started_s + ROLLOUT_SHARE * grace_s
            await self.weights.stop(at_once=late)
            quiet = now_s >= self.app.last_call_at_s + QUIET_S
            busy = self.app.in_progress or self.weights.duty.fencing
            if now_s >= ending.accepts_until_s and quiet and not busy:
                return
            await anyio.sleep(TICK_S)


def make_entry_router(
    settings: EntrySettings, platform: EntryPlatform, log: Log
) -> EntryRouter:
    """Return a router that serves nothing yet."""
    clock = platform.clock
    metrics = make_entry_metrics(
        log, lambda table: set_gauges(table, knowledge, app, weights.duty)
    )
    store = limit_store(
        settings,
        platform.store,
        lambda: directory.count_routers(),
        clock,
        metrics.note_store_call,
    )
    platform = replace(platform, store=store)
    knowledge = make_knowledge(platform.layout, log, clock)
    mirror = _make_mirror(settings, platform, knowledge)
    directory = PeerDirectory(settings.host, platform.store, settings.peers_address)
    forwarder = _make_forwarder(settings, platform, knowledge, directory)
    burdens = forwarder.burdens
    app = EntryApp(
        platform.reader,
        forwarder,
        lambda: knowledge.declaration.value,
        Freshness(settings.revoke_s, lambda: mirror.mirror.confirmed_at_s),
        log,
        clock,
        int(settings.readiness_address.rpartition(":")[2]),
    )
    weights = _make_weights_controller(settings, platform, knowledge, mirror, burdens)
    mirror.get_batching_delay_s = partial(choose_gather_s, settings, weights.duty)
    forwarder.select = partial(_select_replicas, settings, burdens, weights, clock)
    forwarder.attempts.plan_cache = partial(_plan_cache, knowledge, burdens)
    listeners = (knowledge.update, directory.update, weights.watch_marks)
    mirror.mirror.listeners.extend(listeners)
    peers = _make_exchange(directory, forwarder, weights)
    parts = (knowledge, mirror, app, weights, peers, metrics)
    return EntryRouter(settings, platform, log, *parts)


def _make_exchange(
    directory: PeerDirectory, forwarder: Forwarder, weights: WeightsController
) -> WorkExchange:
    prefixes, clock = forwarder.chooser.prefixes, forwarder.clock
    marks = (weights.make_mark, weights.take_mark)
    peers = WorkExchange(directory, forwarder.burdens, prefixes, clock, *marks)
    weights.tell = peers.wake
    return peers


def _make_mirror(
    settings: EntrySettings, platform: EntryPlatform, knowledge: Knowledge
) -> MirrorController:
    backoff = Backoff(random.Random(settings.host), STORE_WAIT_S, STORE_WAIT_LIMIT_S)
    return MirrorController(
        platform.store,
        Mirror(platform.watched_prefix),
        backoff,
        platform.layout.declaration_key,
        platform.clock,
        record_contact=knowledge.note_contact,
    )


def _make_forwarder(
    settings: EntrySettings,
    platform: EntryPlatform,
    knowledge: Knowledge,
    directory: PeerDirectory,
) -> Forwarder:
    repeats = RepeatBudget(
        settings.repeat_ratio,
        settings.repeat_extra,
        directory.count_routers,
        settings.repeat_window_s,
    )
    source = random.Random(settings.host)
    return make_forwarder(
        platform.client,
        platform.dialect,
        lambda: knowledge.replicas.value,
        HomeChooser(settings.failure_domain, BurdenLedger(), source),
        repeats,
        knowledge.log,
        platform.clock,
    )


def _plan_cache(
    knowledge: Knowledge, burdens: BurdenLedger, call: Call, choice: Choice
) -> CachePlan:
    store = find_cache_store(knowledge.declaration.value)
    known = burdens.find(choice.replica.id).weights
    return plan_cache(call, choice, known, knowledge.goals.value, store)


def _make_weights_controller(
    settings: EntrySettings,
    platform: EntryPlatform,
    knowledge: Knowledge,
    mirror: MirrorController,
    burdens: BurdenLedger,
) -> WeightsController:
    def count_calls(endpoint: EndpointId) -> int:
        return burdens.find(endpoint).count_calls(platform.clock())

    bounds = LeaseBounds(
        ttl_s=max(settings.shortest_lease_s, LEASE_SHARE * settings.holder_gap_s),
        pause_s=settings.holder_gap_s,
        order_s=ORDER_S,
        rank_s=RANK_S,
    )
    return WeightsController(
        Duty(WEIGHTS_DUTY, settings.host, bounds),
        LeaseHolder(platform.store, platform.clock),
        knowledge,
        mirror.mirror,
        platform.orders,
        knowledge.log,
        platform.clock,
        settings.weights_s,
        count_calls,
        lambda: burdens.list_silent(platform.clock()),
    )


def _select_replicas(
    settings: EntrySettings,
    burdens: BurdenLedger,
    weights: WeightsController,
    clock: Clock,
    replicas: Sequence[Replica],
) -> tuple[Sequence[Replica], frozenset[EndpointId]]:
    """Return the replicas whose weights may serve calls, and the outdated of them."""
    now_s = clock()
    goals = weights.knowledge.goals.value
    loading = weights.list_loading()
    usable = []
    outdated = set()
    for replica in replicas:
        known = burdens.find(replica.id).weights
        age_s = compute_lag_s(replica, known, goals, now_s)
        if age_s is not None and age_s > OVERDUE_SHARE * settings.weights_s:
            continue
        usable.append(replica)
        if age_s is not None and age_s > OUTDATED_S:
            outdated.add(replica.id)
    serving = [replica for replica in usable if replica.id not in loading]
    return serving or usable, frozenset(outdated)


def _follow_limits(
    protocol: type, read_declaration: Callable[[], Declaration | None]
) -> None:
    declaration = read_declaration()
    if declaration is None:
        return
    limits = declaration.limits
    set_protocol_bounds(
        protocol,
        limits.header_bytes or USUAL_HEADER_BYTES,
        limits.header_s or USUAL_HEADER_S,
        (limits.idle_s or USUAL_IDLE_S) + IDLE_MARGIN_S,
    )


@contextlib.asynccontextmanager
async def _open_metrics(router: EntryRouter) -> AsyncIterator[None]:
    """Serve the metrics while the context is open, if their address is free."""
    address = router.settings.metrics_address
    async with contextlib.AsyncExitStack() as stack:
        if address:
            server = open_server(router.metrics, address, lambda: CLOSE_S)
            try:
                await stack.enter_async_context(server)
            except (OSError, ExceptionGroup) as error:
                router.log.emit(MetricsUnserved(address, repr(error)))
        yield


@contextlib.asynccontextmanager
async def open_entry_router(router: EntryRouter) -> AsyncIterator[EntryRouter]:
    """Run a router while the context is open."""
    settings = router.settings
    protocol = make_bounded_protocol(USUAL_HEADER_BYTES, USUAL_HEADER_S)
    router.mirror.mirror.listeners.append(
        lambda mirror: _follow_limits(protocol, router.app.read_declaration)
    )
    host, _, port = settings.peers_address.rpartition(":")
    async with (
        await anyio.create_udp_socket(local_host=host, local_port=int(port)) as socket,
        anyio.create_task_group() as group,
        _open_metrics(router),
    ):
        async with open_server(
            router.app,
            settings.callers_address,
            router.compute_grace,
            protocol,
            (settings.readiness_address,),
        ) as router.callers_address:
            router.log.emit(
                RouterStarted(router.callers_address, settings.failure_domain)
            )
            group.start_soon(router.mirror.run)
            group.start_soon(router.refresh)
            group.start_soon(router.weights.run)
            group.start_soon(router.peers.directory.run)
            group.start_soon(router.peers.run, socket)
            yield router
        group.cancel_scope.cancel()
    await router.platform.store.close()
    router.log.close()


async def run_entry_router(
    settings: EntrySettings,
    platform: EntryPlatform,
    reload: Callable[[], EntrySettings],
) -> None:
    """Run a router until the process is told to stop.

    Parameters
    ----------
    reload : callable
        Reads the settings again; raises ``SettingsError``.
    """
    log = make_log(settings.host, settings.logs)
    router = make_entry_router(settings, platform, log)
    with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        async with open_entry_router(router):
            async for found in signals:
                if found in STOP_SIGNALS:
                    break
                router.reload(reload)
            await router.drain()
