"""Checks which software a replica runs whose process may be another one by now.

A replica may start again under its id and address with another version of its software.
The local copy of the store shows that some time later than the replica answers.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from ..clocks import Clock
from ..errors import MessageError
from ..ids import EndpointId
from ..shared_reads import SharedRead
from ..store import Store, Unavailable
from ..stream_origins import StreamOrigin
from .fleet import Replica
from .store_view import StoreLayout

__all__ = ["SoftwareChecks", "make_software_checks"]

# Time within which the store has to answer, seconds: it does so in milliseconds, and a
# caller waits.
READ_TIMEOUT_S = 0.4


@dataclass(frozen=True, slots=True)
class _OriginReader:
    """Reads the origin of streams that begin at each registered replica."""

    store: Store
    layout: StoreLayout

    async def read(self) -> Mapping[EndpointId, StreamOrigin] | None:
        """Return the origins by replica; None if the store does not answer."""
        prefix = self.layout.replicas_prefix
        snapshot = await self.store.read(prefix)
        if isinstance(snapshot, Unavailable):
            return None
        origins: dict[EndpointId, StreamOrigin] = {}
        for key, item in snapshot.items.items():
            try:
                replica = self.layout.decode_replica(key[len(prefix) :], item.value)
            except MessageError:
                # Logged when it is mirrored; no stream goes on there.
                continue
            origins[replica.id] = replica.origin
        return origins


@dataclass(slots=True)
class SoftwareChecks:
    """Replicas that may have started again since their entry was read.

    Parameters
    ----------
    shared_read : SharedRead
        Reads the origins by replica from the store, no earlier than it is called.
    is_connected : callable
        Returns whether the store responds.

    Attributes
    ----------
    losses : dict of EndpointId to int
        How often a connection to each replica was lost or refused since its software
        was last confirmed.
    """

    shared_read: SharedRead[Mapping[EndpointId, StreamOrigin]]
    is_connected: Callable[[], bool]
    losses: dict[EndpointId, int] = field(default_factory=dict)

    def record_lost(self, endpoint: EndpointId) -> None:
        """Record that a connection to a replica was lost or refused."""
        self.losses[endpoint] = self.losses.get(endpoint, 0) + 1

    def select_confirmed(self, replicas: Collection[Replica]) -> list[Replica]:
        """Return the replicas whose software is known."""
        return [x for x in replicas if x.id not in self.losses]

    async def find_origin(
        self, replica: Replica, is_resumed: bool, is_new_connection: bool
    ) -> StreamOrigin | None:
        """Return the origin of streams that begin at a replica that has answered.

        It is None if a connection was lost before and the store does not tell.

        Parameters
        ----------
        is_resumed : bool
            Whether a stream goes on at the replica. It may then have to wait for the
            store, and be refused; one that begins is not held up by an outage.
        is_new_connection : bool
            Whether the replica answered on a new connection, which may lead to a
            process that no entry shows yet.
        """
        losses = self.losses.get(replica.id)
        is_known = losses is None
        if not self.is_connected():
            return replica.origin if is_known or not is_resumed else None
        if is_known and not (is_resumed and is_new_connection):
            return replica.origin
        origins = await self.shared_read.get()
        if origins is None:
            return replica.origin if is_known else None
        origin = origins.get(replica.id)
        if origin == replica.origin and self.losses.get(replica.id) == losses:
            self.losses.pop(replica.id, None)
        return origin

    def retain(self, registered: Collection[EndpointId]) -> None:
        """Forget the replicas that are no longer registered."""
        self.losses = {x: n for x, n in self.losses.items() if x in registered}


def make_software_checks(
    store: Store, layout: StoreLayout, clock: Clock, is_connected: Callable[[], bool]
) -> SoftwareChecks:
    """Return the checks of a router that has lost no connection yet."""
    read = _OriginReader(store, layout).read
    return SoftwareChecks(SharedRead(read, READ_TIMEOUT_S, clock), is_connected)
