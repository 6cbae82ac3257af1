"""Command that runs a router on the users' platform."""

import anyio
from cleo.commands.command import Command

from .errors import SettingsError
from .forwarding.router import run_entry_router
from .garbage_collection import tune_garbage_collection
from .platform.router import make_entry_platform
from .platform.settings import load_entry_settings

__all__ = ["EntryRouterCommand"]


class EntryRouterCommand(Command):
    """Run one router with the platform's settings file."""

    name = "entry-router"
    description = "Run one router with the platform's settings file."

    def handle(self) -> int:
        """Run the command."""
        try:
            settings = load_entry_settings()
        except SettingsError as error:
            self.line_error(str(error))
            return 1
        tune_garbage_collection()
        platform = make_entry_platform(settings)
        anyio.run(run_entry_router, settings, platform, load_entry_settings)
        return 0
