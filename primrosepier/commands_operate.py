"""The commands check, apply and router."""

from pathlib import Path

import anyio
from cleo.commands.command import Command
from cleo.helpers import argument, option

from .configuration import Configuration, load_configuration
from .errors import SettingsError
from .etcd import make_etcd_store
from .garbage_collection import tune_garbage_collection
from .ids import Revision
from .platform.checks import check_platform_file
from .publishing import ApplyOutcome, ApplyResult, apply_configuration
from .settings import load_settings
from .stopping import run_router

__all__ = ["ApplyCommand", "CheckCommand", "RouterCommand"]

FILES = argument("files", "Configuration files.", multiple=True)


class CheckCommand(Command):
    """Validate configuration files, or settings and deploy files of the platform."""

    name = "check"
    description = "Validate configuration files, or TOML files of the users' platform."
    arguments = [FILES]

    def handle(self) -> int:
        """Run the command."""
        files = [Path(name) for name in self.argument("files")]
        try:
            if all(file.suffix == ".toml" for file in files):
                for file in files:
                    self.line(f"{file}: {check_platform_file(file)}")
                return 0
            configuration = load_configuration(files)
        except SettingsError as error:
            self.line_error(str(error))
            return 1
        self.line(
            f"valid: {len(configuration.workspaces)} workspaces, "
            f"{len(configuration.models)} models, "
            f"{len(configuration.services)} services, "
            f"{len(configuration.endpoints)} endpoints"
        )
        return 0


async def _apply(
    address: str, configuration: Configuration, expected: Revision | None
) -> ApplyOutcome:
    store = make_etcd_store(address)
    try:
        return await apply_configuration(store, configuration, expected=expected)
    finally:
        await store.close()


class ApplyCommand(Command):
    """Apply configuration files atomically."""

    name = "apply"
    description = "Apply configuration files atomically."
    arguments = [FILES]
    options = [
        option("store", None, "Address of the key-value service.", flag=False),
        option("expect", None, "Expected active revision.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        address = self.option("store")
        expected = self.option("expect")
        if not address or (expected and not expected.isdigit()):
            self.line_error("apply needs --store IP:PORT; --expect takes a number")
            return 2
        try:
            configuration = load_configuration(
                [Path(f) for f in self.argument("files")]
            )
            revision = Revision(int(expected)) if expected else None
            outcome = anyio.run(_apply, address, configuration, revision)
        except SettingsError as error:
            self.line_error(str(error))
            return 1
        return self._print_outcome(outcome)

    def _print_outcome(self, outcome: ApplyOutcome) -> int:
        for line in outcome.changes:
            self.line(line)
        self.line(
            f"{outcome.result.value}: revision {outcome.revision} is in the store"
        )
        if outcome.reason:
            self.line_error(outcome.reason)
        successes = (ApplyResult.APPLIED, ApplyResult.UNCHANGED)
        return 0 if outcome.result in successes else 1


class RouterCommand(Command):
    """Run one router."""

    name = "router"
    description = "Run one router."
    options = [option("settings", "s", "Settings file.", flag=False)]

    def handle(self) -> int:
        """Run the command."""
        if not self.option("settings"):
            self.line_error("--settings is required: the router's settings file")
            return 1
        try:
            settings = load_settings(Path(self.option("settings")))
        except SettingsError as error:
            self.line_error(str(error))
            return 1
        tune_garbage_collection()
        anyio.run(run_router, settings)
        return 0
