"""Commands that run stand-ins for the external systems."""

import anyio
from cleo.commands.command import Command
from cleo.helpers import argument, option

from .asgi import App, open_server
from .standin_engine import EngineRates, make_engine_standin
from .standin_hosts import HostEntry, HostsStandin
from .standin_kvcache import KvCacheStandin
from .standin_plain import PlainStandin
from .standin_store import StoreStandin
from .standin_weights import ByteRateLimiter, WeightsStandin

__all__ = [
    "StandinEngineCommand",
    "StandinHostsCommand",
    "StandinKvCacheCommand",
    "StandinServiceCommand",
    "StandinStoreCommand",
    "StandinWeightsCommand",
]

ADDRESS = option(
    "address", None, "IP:PORT to listen on.", flag=False, default="127.0.0.1:0"
)
MIB = 1024 * 1024


async def _serve(app: App, address: str) -> None:
    async with open_server(app, address) as bound_address:
        print(bound_address, flush=True)
        await anyio.sleep_forever()


class _StandinCommand(Command):
    """Prints the address of an app and serves it until interrupted."""

    options = [ADDRESS]

    def make_app(self) -> App:
        """Return the app."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command."""
        try:
            app = self.make_app()
        except ValueError as error:
            self.line_error(f"wrong option: {error}")
            return 1
        try:
            anyio.run(_serve, app, self.option("address"))
        except (OSError, ValueError) as error:
            self.line_error(f"cannot listen on {self.option('address')}: {error}")
            return 1
        except KeyboardInterrupt:
            return 0
        return 0


class StandinEngineCommand(_StandinCommand):
    """Run the stand-in for a model engine."""

    name = "standin engine"
    description = "Run the stand-in for a model engine."
    options = [
        ADDRESS,
        option("token-ms", None, "Time between tokens.", flag=False, default="2"),
        option("slots", None, "Requests in the batch.", flag=False, default="32"),
        option("blocks", None, "Blocks in the cache.", flag=False, default="256"),
        option("load-ms", None, "Time to load weights.", flag=False, default="1000"),
        option("lag-ms", None, "Age of the reported load.", flag=False, default="0"),
        option("event-loss", None, "Fraction of lost events.", flag=False, default="0"),
        option("no-fencing", None, "Accept orders with old fencing numbers."),
        option("no-resume", None, "Refuse requests to resume an answer."),
        option("no-priorities", None, "Serve in the order of arrival."),
    ]

    def make_app(self) -> App:
        """Return an engine with an empty cache."""
        rates = EngineRates(
            token_s=float(self.option("token-ms")) / 1000,
            slots=int(self.option("slots")),
            cache_blocks=int(self.option("blocks")),
            load_s=float(self.option("load-ms")) / 1000,
            load_lag_s=float(self.option("lag-ms")) / 1000,
        )
        return make_engine_standin(
            rates,
            fencing=not self.option("no-fencing"),
            priorities=not self.option("no-priorities"),
            resume=not self.option("no-resume"),
            event_loss=float(self.option("event-loss")),
        )


class StandinServiceCommand(_StandinCommand):
    """Run the stand-in for a plain HTTP service."""

    name = "standin service"
    description = "Run the stand-in for a plain HTTP service."

    def make_app(self) -> App:
        """Return a service without recorded calls."""
        return PlainStandin()


class StandinStoreCommand(_StandinCommand):
    """Run the stand-in for the key-value service."""

    name = "standin store"
    description = "Run the stand-in for the key-value service."

    def make_app(self) -> App:
        """Return an empty store."""
        return StoreStandin()


class StandinHostsCommand(_StandinCommand):
    """Run the stand-in for the host list."""

    name = "standin hosts"
    description = "Run the stand-in for the host list."
    arguments = [
        argument("hosts", "NAME=IP:PORT@FAILURE_DOMAIN", optional=True, multiple=True)
    ]

    def make_app(self) -> App:
        """Return a host list with the given hosts."""
        app = HostsStandin()
        for text in self.argument("hosts") or []:
            name, _, rest = text.partition("=")
            address, separator, domain = rest.partition("@")
            if not name or not address or not separator:
                raise ValueError(f"{text!r} is not NAME=IP:PORT@FAILURE_DOMAIN")
            app.set_host(HostEntry(name, address, domain))
        return app


class StandinWeightsCommand(_StandinCommand):
    """Run the stand-in for the weight store."""

    name = "standin weights"
    description = "Run the stand-in for the weight store."
    options = [
        ADDRESS,
        option("rate-mib", None, "MiB per second.", flag=False, default="64"),
        option("size-mib", None, "MiB of each file.", flag=False, default="8"),
    ]

    def make_app(self) -> App:
        """Return a weight store with the given rate."""
        rate_bytes = float(self.option("rate-mib")) * MIB
        size_bytes = int(float(self.option("size-mib")) * MIB)
        return WeightsStandin(size_bytes, ByteRateLimiter(rate_bytes))


class StandinKvCacheCommand(_StandinCommand):
    """Run the stand-in for a service that stores KV cache blocks."""

    name = "standin kvcache"
    description = "Run the stand-in for a service that stores KV cache blocks."

    def make_app(self) -> App:
        """Return an empty cache."""
        return KvCacheStandin()
