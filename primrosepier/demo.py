"""A demo deployment in one process: its routers and embedded stand-ins."""

import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from importlib import resources
from pathlib import Path

import anyio

from .asgi import open_server
from .configuration import Configuration, load_configuration
from .demo_standins import LOOPBACK, Standins, make_log_settings, open_standins
from .errors import ConfigurationError
from .etcd import make_etcd_store
from .ids import EndpointId, FailureDomain, HostId
from .publishing import ApplyResult, apply_configuration
from .replay import ReplayReport, replay_trace
from .router import Router, open_router
from .settings import RouterSettings
from .standin_engine import EngineStandin
from .standin_store import StoreStandin
from .traces import generate_trace

__all__ = ["Demo", "find_example", "open_demo", "run_demo_trace", "wait_until_ready"]

DEMO_SEED = 7
DEMO_REQUESTS = 600
DEMO_RATE_PER_S = 80.0
READY_POLL_S = 0.01


@dataclass(slots=True)
class Demo:
    """A running demo.

    Parameters
    ----------
    store : StoreStandin
        Stand-in of the key-value service.
    configuration : Configuration
        Applied configuration, with the addresses of the stand-ins.
    keys : dict of str to str
        API key of each workspace.
    """

    store: StoreStandin
    store_address: str
    routers: list[Router]
    standins: Standins
    configuration: Configuration
    keys: dict[str, str]

    @property
    def engines(self) -> dict[EndpointId, EngineStandin]:
        """Stand-in engines by endpoint id."""
        return self.standins.engines

    def list_urls(self) -> list[str]:
        """Return the base URLs of the routers."""
        return [f"http://{router.callers_address}" for router in self.routers]


def find_example(name: str) -> Path:
    """Return the path of the configuration file of an example deployment."""
    root = Path(str(resources.files(__package__))).parent
    return root / "examples" / name / f"{name}.ini"


@contextlib.asynccontextmanager
async def open_demo(
    deployment: str = "keranvel", logs: Path | None = None
) -> AsyncIterator[Demo]:
    """Run stand-ins and one router per failure domain while the context is open.

    Parameters
    ----------
    deployment : str
        Name of an example deployment.
    logs : Path or None
        Directory for one log file of each router and engine; None for no logs.
    """
    declared = load_configuration([find_example(deployment)])
    async with contextlib.AsyncExitStack() as stack:
        store_standin = StoreStandin()
        store_address = await stack.enter_async_context(
            open_server(store_standin, LOOPBACK)
        )
        standins = await open_standins(stack, declared, logs)
        configuration = replace(declared, endpoints=standins.endpoints)
        store = make_etcd_store(store_address)
        stack.push_async_callback(store.close)
        outcome = await apply_configuration(store, configuration)
        if outcome.result is not ApplyResult.APPLIED:
            raise ConfigurationError(deployment, "-", "-", outcome.reason)
        domains = sorted({e.failure_domain for e in standins.endpoints.values()})
        routers: list[Router] = []
        for number, domain in enumerate(domains, start=1):
            peers = tuple(router.peers_address for router in routers)
            settings = _make_settings(number, domain, store_address, logs, peers)
            routers.append(await stack.enter_async_context(open_router(settings)))
        keys = {str(name): f"demo-{name}" for name in configuration.workspaces}
        demo = Demo(
            store_standin, store_address, routers, standins, configuration, keys
        )
        await wait_until_ready(demo)
        yield demo


def _make_settings(
    number: int,
    domain: FailureDomain,
    store_address: str,
    logs: Path | None,
    peers: tuple[str, ...],
) -> RouterSettings:
    return RouterSettings(
        host=HostId(f"entry-{number}"),
        failure_domain=domain,
        callers_address=LOOPBACK,
        peers_address=LOOPBACK,
        store_address=store_address,
        peers=peers,
        logs=make_log_settings(logs, f"entry-{number}"),
    )


async def wait_until_ready(demo: Demo) -> None:
    """Wait until every router is ready."""
    while not all(router.app.is_ready() for router in demo.routers):
        await anyio.sleep(READY_POLL_S)


async def run_demo_trace(
    demo: Demo, seed: int, count: int, on_progress: Callable[[int], None]
) -> ReplayReport:
    """Replay a generated trace of nested prompts over the routers of a demo."""
    model = next(iter(demo.configuration.models))
    workspaces = sorted(demo.keys)
    trace = generate_trace(seed, count, DEMO_RATE_PER_S, workspaces, model)
    return await replay_trace(trace, demo.list_urls(), demo.keys, True, on_progress)
