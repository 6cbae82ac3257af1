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


async def _read_fleet(address: str, key: str) -> FleetStatus | PeerFailure:
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
    """Show the state and the active revision of each router."""

    name = "status"
    description = "Show the state and the active revision of each router."
    options = [
        option("settings", "s", "Settings file of a router.", flag=False),
        option("address", None, "Peers address of the router to query.", flag=False),
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
        fleet = anyio.run(_read_fleet, address, settings.peer_key)
        if isinstance(fleet, PeerFailure):
            self.line_error(f"{fleet.peer}: {fleet.reason}")
            return 1
        self._print_status(fleet, anyio.run(_read_store, settings.store_address))
        return 0

    def _print_status(self, fleet: FleetStatus, store: StoreStatus) -> None:
        if self.option("json"):
            routers = [asdict(router) for router in fleet.routers]
            report = {
                "revision": fleet.revision,
                "behind": fleet.list_outdated(),
                "routers": routers,
                "store": asdict(store),
            }
            self.line(msgspec.json.encode(report).decode())
            return
        rows = [_make_row(router) for router in fleet.routers]
        self.render_table(HEADER, rows)  # type: ignore[arg-type]
        outdated = fleet.list_outdated()
        self.line(f"newest revision {fleet.revision}, behind: {len(outdated)}")
        for line in describe_store(store, fleet.revision):
            self.line(line)
