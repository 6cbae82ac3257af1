"""Reads from the store which software versions services have now, or had of late."""

from dataclasses import dataclass

import anyio

from ..clocks import Clock
from ..errors import MessageError
from ..shared_reads import SharedRead
from ..store import Snapshot, Store, Unavailable
from ..stream_origins import StreamOrigin
from .store_view import StoreLayout
from .version_recorder import VERSIONS_KEY, decode_version_record

__all__ = ["make_registered_versions"]

# Time within which the store has to answer, seconds: it does so in milliseconds, and a
# caller waits.
READ_TIMEOUT_S = 0.4


@dataclass(frozen=True, slots=True)
class _VersionReader:
    """Reads the registrations of replicas and the record of versions."""

    store: Store
    layout: StoreLayout

    async def read(self) -> set[StreamOrigin] | None:
        """Return the services with their versions; None if the store does not tell."""
        snapshots: list[Snapshot | Unavailable] = []

        async def read(prefix: str) -> None:
            snapshots.append(await self.store.read(prefix))

        async with anyio.create_task_group() as group:
            group.start_soon(read, self.layout.replicas_prefix)
            group.start_soon(read, VERSIONS_KEY)
        origins: set[StreamOrigin] = set()
        for snapshot in snapshots:
            if isinstance(snapshot, Unavailable):
                return None
            origins |= self._list_origins(snapshot)
        return origins

    def _list_origins(self, snapshot: Snapshot) -> set[StreamOrigin]:
        origins: set[StreamOrigin] = set()
        prefix = self.layout.replicas_prefix
        for key, item in snapshot.items.items():
            if key == VERSIONS_KEY:
                record = decode_version_record(item.value)
                origins |= set() if record is None else record.list_origins()
            elif key.startswith(prefix):
                try:
                    replica = self.layout.decode_replica(key[len(prefix) :], item.value)
                except MessageError:
                    # Logged when it is mirrored; no stream begins there.
                    continue
                origins.add(replica.origin)
        return origins


def make_registered_versions(
    store: Store, layout: StoreLayout, clock: Clock
) -> SharedRead[set[StreamOrigin]]:
    """Return the shared read of the services with their versions."""
    return SharedRead(_VersionReader(store, layout).read, READ_TIMEOUT_S, clock)
