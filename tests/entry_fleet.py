"""Fleet of entry routers, a store and replicas for tests, over real sockets."""

import contextlib
import functools
from dataclasses import dataclass, field, replace

import anyio
from clients import call
from ports import find_free_port

from primrosepier.asgi import open_server
from primrosepier.endpoint_client import HttpEndpointClient
from primrosepier.forwarding.router import make_entry_router, open_entry_router
from primrosepier.forwarding.settings import EntrySettings
from primrosepier.logs import make_log
from primrosepier.platform.router import make_entry_platform
from primrosepier.platform.standins import StandinReplica, StandinStore
from primrosepier.settings import LogSettings

KEY = "key-of-litter-notes"
HOST = "apps.example"


def make_route(name, prefix, route_type, service, **changes):
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": route_type,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    return {**route, **changes}


ROUTES = (
    make_route("notes", "/stream/notes/", "streaming", "writers", maxAttempts=1),
    make_route("queries", "/stream/queries/", "streaming", "writers", resumable=True),
    make_route("booking", "/booking/", "non_idempotent", "app", maxAttempts=1),
    make_route("lookup", "/lookup/", "idempotent", "app"),
)


def make_configuration(version=1, routes=ROUTES, keys=(KEY,), **workspace):
    entry = {"name": "litter-notes", "apiKeys": list(keys), "priority": 0}
    engine = {"slots": 4, "kvCapacity": 100_000}
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "writers", "engine": engine}, {"name": "app"}],
        "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 5000},
        "tenants": [{**entry, **workspace}],
    }


@dataclass
class EntryFleet:
    store: StandinStore
    replicas: dict[str, StandinReplica]
    addresses: dict[str, str]
    client: HttpEndpointClient
    settings: EntrySettings
    routers: list = field(default_factory=list)
    versions: dict[str, str] = field(default_factory=dict)

    def register(self, name, **changes):
        replica = self.replicas[name]
        changes.setdefault("version", self.versions.get(name, "v1"))
        service = "writers" if name.startswith("w") else "app"
        entry = replica.make_entry(service, self.addresses[name], **changes)
        self.store.put(f"servers/{name}", entry)

    def find_versions(self, attempts):
        """Return the software versions that ran any of the given attempts."""
        return {
            self.versions.get(name, "v1")
            for name, replica in self.replicas.items()
            if any(run["attempt-id"] in attempts for run in replica.runs)
        }

    def list_runs(self):
        return [run for replica in self.replicas.values() for run in replica.runs]

    def count_arrivals(self):
        return sum(replica.arrivals for replica in self.replicas.values())

    @contextlib.asynccontextmanager
    async def open_router(self, host="front-1", **changes):
        settings = replace(
            self.settings,
            **changes,
            host=host,
            callers_address=f"127.0.0.1:{find_free_port()}",
            readiness_address=f"127.0.0.1:{find_free_port()}",
            peers_address=f"127.0.0.1:{find_free_port()}",
        )
        log = make_log(settings.host, settings.logs)
        router = make_entry_router(settings, make_entry_platform(settings), log)
        async with open_entry_router(router):
            self.routers.append(router)
            yield router
            self.routers.remove(router)

    async def send(self, path, body=b"", method="POST", router=None, **options):
        router = router or self.routers[0]
        key = options.pop("key", KEY)
        headers = {
            "Host": HOST,
            "Attempt-Id": options.pop("attempt", "a1"),
            **({"Authorization": f"Bearer {key}"} if key else {}),
            "Deadline-Ms": str(options.pop("limit_ms", 2000)),
            **options,
        }
        return await call(
            self.client,
            router.callers_address,
            method,
            path,
            body,
            tuple(headers.items()),
        )

    async def read_ready(self, router=None):
        router = router or self.routers[0]
        address = router.settings.readiness_address
        return (await call(self.client, address, "GET", "/readyz")).status

    async def wait_until(self, condition, limit_s=10.0):
        with anyio.fail_after(limit_s):
            while not condition():
                await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def open_fleet(names, configured, settings, versions, registered=None):
    """Serve the store and replica stand-ins while the context is open."""
    async with contextlib.AsyncExitStack() as stack:

        async def serve(app):
            return await stack.enter_async_context(open_server(app, "127.0.0.1:0"))

        store = StandinStore()
        defaults = EntrySettings(
            host="front-1",
            failure_domain="rennes",
            callers_address="127.0.0.1:0",
            readiness_address="127.0.0.1:0",
            peers_address="127.0.0.1:0",
            store_address=await serve(store),
            logs=LogSettings(level="off", sink="none"),
        )
        replicas = {name: StandinReplica(name) for name in names}
        addresses = {name: await serve(replicas[name]) for name in names}
        client = HttpEndpointClient()
        stack.push_async_callback(client.close)
        fleet_settings = replace(defaults, **settings)
        fleet = EntryFleet(store, replicas, addresses, client, fleet_settings)
        fleet.versions = versions
        if configured:
            store.put("op/config", make_configuration())
        for name in names:
            if registered is None or name in registered:
                fleet.register(name)
            replicas[name].register = functools.partial(fleet.register, name)
        yield fleet


def run_entry(
    check,
    names=("w1", "w2", "app1", "app2"),
    configured=True,
    versions=None,
    **settings,
):
    """Run ``check(fleet)`` with one router, once it has read the configuration."""

    async def run():
        async with open_fleet(names, configured, settings, versions or {}) as fleet:
            with anyio.fail_after(45):
                async with fleet.open_router() as router:
                    store_view = router.store_view
                    await fleet.wait_until(
                        lambda: (
                            store_view.is_connected
                            and (
                                not configured
                                or store_view.declaration.value is not None
                            )
                        )
                    )
                    await check(fleet)

    anyio.run(run)
