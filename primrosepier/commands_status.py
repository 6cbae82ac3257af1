"""The status command."""

from dataclasses import asdict
from pathlib import Path

import anyio
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from .errors import SettingsError
from .etcd import make_etcd_store
from .peers import PeerFailure, make_transport
from .settings import load_settings
from .status import FleetStatus, RouterStatus, read_fleet_status
from .store_status import StoreStatus, describe_store, read_store_status

__all__ = ["StatusCommand"]

HEADER = ["host", "state", "revision", "ready", "version", "leaving endpoints"]


async def _read_store(address: str) -> StoreStatus:
    store = make_etcd_store(address)
    try:
        return await read_store_status(store)
    finally:
        await store.close()


async def _read(address: str, key: str) -> FleetStatus | PeerFailure:
    transport = make_transport(key)
    try:
        return await read_fleet_status(transport, address)
    finally:
        transport.close()


def _make_row(router: RouterStatus) -> list[str]:
    ready = "stopping" if router.stopping else "yes" if router.ready else "no"
    return [
        router.host,
        router.state if router.reachable else f"{router.state}, no answer",
        "-" if router.revision is None else str(router.revision),
        ready if router.reachable else "-",
        router.version or "-",
        ", ".join(router.leaving) or "-",
    ]


class StatusCommand(Command):
    """Show the members and the revision in force on each router."""

    name = "status"
    description = "Show the members and the revision in force on each router."
    options = [
        option("settings", "s", "Settings file of a router.", flag=False),
        option("address", None, "Peers address of a router to ask.", flag=False),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            settings = load_settings(Path(self.option("settings") or ""))
        except SettingsError as error:
            self.line_error(str(error))
            return 1
        address = self.option("address") or settings.peers_address
        found = anyio.run(_read, address, settings.peer_key)
        if isinstance(found, PeerFailure):
            self.line_error(f"{found.peer}: {found.reason}")
            return 1
        self._print(found, anyio.run(_read_store, settings.store_address))
        return 0

    def _print(self, found: FleetStatus, store: StoreStatus) -> None:
        if self.option("json"):
            routers = [asdict(router) for router in found.routers]
            report = {
                "revision": found.revision,
                "behind": found.list_outdated(),
                "routers": routers,
                "store": asdict(store),
            }
            self.line(msgspec.json.encode(report).decode())
            return
        rows = [_make_row(router) for router in found.routers]
        self.render_table(HEADER, rows)  # type: ignore[arg-type]
        behind = found.list_outdated()
        self.line(f"newest revision {found.revision}, behind: {len(behind)}")
        for line in describe_store(store, found.revision):
            self.line(line)
