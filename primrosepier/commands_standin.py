"""Commands that run stand-ins of the outside systems."""

import anyio
from cleo.commands.command import Command
from cleo.helpers import option

from .asgi import App, open_server
from .standin_engine import EngineStandin
from .standin_store import StoreStandin

__all__ = ["StandinEngineCommand", "StandinStoreCommand"]

ADDRESS = option("address", None, "IP:PORT to listen on.", flag=False)


async def _serve(app: App, address: str) -> None:
    async with open_server(app, address) as bound:
        print(bound, flush=True)
        await anyio.sleep_forever()


class StandinEngineCommand(Command):
    """Run a model engine's stand-in."""

    name = "standin engine"
    description = "Run a model engine's stand-in."
    options = [ADDRESS]

    def handle(self) -> int:
        """Run the command."""
        anyio.run(_serve, EngineStandin(), self.option("address") or "127.0.0.1:0")
        return 0


class StandinStoreCommand(Command):
    """Run a key-value service's stand-in."""

    name = "standin store"
    description = "Run a key-value service's stand-in."
    options = [ADDRESS]

    def handle(self) -> int:
        """Run the command."""
        anyio.run(_serve, StoreStandin(), self.option("address") or "127.0.0.1:0")
        return 0
