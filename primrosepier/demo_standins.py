"""Stand-ins of the endpoints of a deployment, embedded in one process."""

import contextlib
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
from anyio.abc import TaskStatus

from .asgi import App, open_server
from .configuration import Configuration, Endpoint, ServiceKind
from .ids import EndpointId, HostId
from .logs import LoggedEngine, make_log
from .settings import LogSettings
from .standin_engine import EngineRates, EngineStandin, make_engine_standin
from .standin_hosts import HostEntry, HostsStandin
from .standin_kvcache import KvCacheStandin
from .standin_plain import PlainStandin

__all__ = ["LOOPBACK", "Standins", "make_log_settings", "open_standins"]

LOOPBACK = "127.0.0.1:0"
DEMO_ENGINE_RATES = EngineRates(flush_s=0.01)


@dataclass(slots=True)
class Standins:
    """Running stand-ins of the endpoints of a deployment.

    Parameters
    ----------
    engines, plain, caches : dict
        Stand-ins by endpoint id, one dict for each service kind.
    endpoints : dict of EndpointId to Endpoint
        Declared endpoints with the addresses of their stand-ins.
    hosts : HostsStandin
        Stand-in of the host list.
    closing : anyio.Event
        Set to stop all stand-ins.
    """

    engines: dict[EndpointId, EngineStandin] = field(default_factory=dict)
    plain: dict[EndpointId, PlainStandin] = field(default_factory=dict)
    caches: dict[EndpointId, KvCacheStandin] = field(default_factory=dict)
    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    hosts: HostsStandin = field(default_factory=HostsStandin)
    closing: anyio.Event = field(default_factory=anyio.Event)

    def make_app(self, endpoint: Endpoint, kind: ServiceKind) -> App:
        """Create the stand-in of an endpoint."""
        if kind is ServiceKind.ENGINE:
            engine = make_engine_standin(
                DEMO_ENGINE_RATES,
                fencing=endpoint.fencing,
                priorities=endpoint.priorities,
                resume=endpoint.resume,
            )
            self.engines[endpoint.id] = engine
            return engine
        if kind is ServiceKind.CACHE:
            cache = self.caches[endpoint.id] = KvCacheStandin()
            return cache
        plain = self.plain[endpoint.id] = PlainStandin()
        return plain


async def open_standins(
    stack: contextlib.AsyncExitStack, declared: Configuration, logs: Path | None
) -> Standins:
    """Run a stand-in for each declared endpoint until the stack closes."""
    standins = Standins()
    group = await stack.enter_async_context(anyio.create_task_group())
    stack.callback(standins.closing.set)
    for endpoint in declared.endpoints.values():
        kind = declared.services[endpoint.service].kind
        app = standins.make_app(endpoint, kind)
        if endpoint.id in standins.engines and logs is not None:
            app = _log_engine(stack, app, endpoint.id, logs)
        address = await group.start(_serve, app, standins.closing)
        standins.endpoints[endpoint.id] = replace(endpoint, address=address)
        entry = HostEntry(endpoint.id, address, endpoint.failure_domain)
        standins.hosts.set_host(entry)
    return standins


async def _serve(
    app: App, closing: anyio.Event, *, task_status: TaskStatus[str]
) -> None:
    async with open_server(app, LOOPBACK) as address:
        task_status.started(address)
        await closing.wait()


def _log_engine(
    stack: contextlib.AsyncExitStack, engine: App, endpoint: EndpointId, logs: Path
) -> App:
    log = make_log(HostId(endpoint), make_log_settings(logs, endpoint))
    stack.callback(log.close)
    return LoggedEngine(engine, log)


def make_log_settings(logs: Path | None, name: str) -> LogSettings:
    """Return settings for a log file in a directory; for None, logging is off."""
    if logs is None:
        return LogSettings()
    return LogSettings("info", str(logs / f"{name}.log"))
