"""Several routers in one process, with stand-ins for the platform and engines."""

import contextlib
from dataclasses import dataclass, field, replace

import anyio

from primrosepier.asgi import open_server
from primrosepier.configuration import Configuration, load_configuration
from primrosepier.demo import find_example
from primrosepier.etcd import make_etcd_store
from primrosepier.publishing import apply_configuration
from primrosepier.router import Router, open_router
from primrosepier.settings import RouterSettings
from primrosepier.standin_engine import EngineRates, make_engine_standin
from primrosepier.standin_hosts import HostEntry, HostsStandin
from primrosepier.standin_store import StoreStandin

LOOPBACK = "127.0.0.1:0"


class LeavingEngine:
    """Stand-in of an engine that can announce that it is leaving."""

    def __init__(self):
        self.engine = make_engine_standin(EngineRates(token_s=0.0))
        self.leaving = False
        self.served = 0

    async def __call__(self, scope, receive, send):
        if scope["path"] != "/metrics":
            self.served += 1

        async def add_leaving_header(message):
            if self.leaving and message["type"] == "http.response.start":
                header = (b"x-endpoint-leaving", b"1")
                message = {**message, "headers": [*message["headers"], header]}
            await send(message)

        await self.engine(scope, receive, add_leaving_header)


@dataclass
class Fleet:
    configuration: Configuration
    store: StoreStandin
    store_address: str
    hosts: HostsStandin
    hosts_url: str
    engines: dict[str, LeavingEngine]
    routers: list[Router] = field(default_factory=list)

    def make_settings(self, number, **changes):
        settings = RouterSettings(
            host=f"entry-{number}",
            failure_domain="Rennes",
            callers_address=LOOPBACK,
            peers_address=LOOPBACK,
            store_address=self.store_address,
            peers=tuple(router.peers_address for router in self.routers),
            hosts_url=self.hosts_url,
            peer_key="key",
            stop_wait_s=0.0,
            stop_streams_s=10.0,
        )
        return replace(settings, **changes)


async def wait_for(condition, limit_s=20.0):
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_platform(engines=6):
    """Run the stand-ins of the platform and engines and apply a configuration."""
    declared = load_configuration([find_example("keranvel")])
    names = [f"note-writers-{number}" for number in range(1, engines + 1)]
    engine_apps = {name: LeavingEngine() for name in names}
    store, hosts = StoreStandin(), HostsStandin()
    async with contextlib.AsyncExitStack() as stack:
        endpoints = {}
        for name, app in engine_apps.items():
            address = await stack.enter_async_context(open_server(app, LOOPBACK))
            endpoints[name] = replace(declared.endpoints[name], address=address)
            hosts.set_host(HostEntry(name, address, endpoints[name].failure_domain))
        configuration = replace(declared, endpoints=endpoints)
        store_address = await stack.enter_async_context(open_server(store, LOOPBACK))
        hosts_address = await stack.enter_async_context(open_server(hosts, LOOPBACK))
        client = make_etcd_store(store_address)
        await apply_configuration(client, configuration)
        await client.close()
        url = f"http://{hosts_address}/"
        yield Fleet(configuration, store, store_address, hosts, url, engine_apps)


@contextlib.asynccontextmanager
async def open_fleet(routers=3, engines=6):
    """Run routers; enter when all are ready and connected to each other."""
    async with (
        open_platform(engines) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        for number in range(1, routers + 1):
            settings = fleet.make_settings(number)
            router = await stack.enter_async_context(open_router(settings))
            fleet.routers.append(router)
        await wait_for(lambda: all(is_joined(r, routers) for r in fleet.routers))
        yield fleet


def is_joined(router, routers):
    return router.app.is_ready() and len(router.board.peers.value) == routers - 1
