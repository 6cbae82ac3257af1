"""Origins of streams, told to the routers that keep them and asked for by the others.

Each stream that begins is told to a few routers that are found by its call's id, so
that any router can ask for it, also after the one that began it has ended. While a
service has several software versions it is stored as well, for the case that all end.
"""

from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import anyio
import msgspec

from ..clocks import Clock
from ..host_ranking import rank_hosts
from ..ids import HostId, RequestId, ServiceId, SoftwareVersion
from ..stream_origins import StreamOrigin, StreamOrigins, VersionHistory
from .origin_journal import OriginJournal
from .peer_requests import PeerRequests

__all__ = [
    "FoundOrigin",
    "OriginExchange",
    "OriginMessage",
    "OriginReply",
    "OriginRequest",
    "OriginResult",
    "StreamsBegun",
]

# Routers other than its own that keep the origin of a stream.
KEEPERS = 2
# Routers that are asked for an origin: one more than keep it, since a router that has
# just joined may have taken the place of a keeper.
ASKED = KEEPERS + 1
# Routers that are asked for the only version of a service when this one has started.
ASKED_AT_START = 8
# Time within which a replica that crashed is back, seconds.
REPLICA_RESTART_S = 10.0
# Limits the size of a datagram.
MAX_TOLD = 500
# In a request that is not for the origin of a stream.
NO_CALL = RequestId("")


class StreamsBegun(msgspec.Struct, frozen=True, tag="streams"):
    """Origins of streams that the sender began."""

    origins: Mapping[RequestId, StreamOrigin]


class OriginRequest(msgspec.Struct, frozen=True, tag="origin"):
    """Request for the origin of a stream.

    Parameters
    ----------
    services : tuple of ServiceId
        Services at which it may have begun.
    """

    sender: HostId
    number: int
    call: RequestId
    services: tuple[ServiceId, ...]


class OriginReply(msgspec.Struct, frozen=True, tag="origin_reply"):
    """Reply to a request for the origin of a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        None if the sender has no record of the stream.
    sole : StreamOrigin or None
        The only origin that is possible; None if there may be several.
    is_mixed : bool
        Whether the sender has seen several software versions.
    """

    number: int
    origin: StreamOrigin | None = None
    sole: StreamOrigin | None = None
    is_mixed: bool = False


OriginMessage = StreamsBegun | OriginRequest | OriginReply
SendMessage = Callable[[HostId, OriginMessage], Awaitable[bool]]
ReadRegistered = Callable[[], Awaitable[Collection[StreamOrigin] | None]]


class OriginResult(Enum):
    """How the origin of a stream was found."""

    RECORDED = "recorded by this router"
    REPLIED = "replied by another router"
    STORED = "stored by a router"
    SOLE = "the only version of late"
    FORMER = "the only version before the router's start"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """Origin of a stream, None if it is not known, and how it was found."""

    origin: StreamOrigin | None
    result: OriginResult


async def send_nowhere(host: HostId, message: OriginMessage) -> bool:
    """Send nothing; used by a router without peers."""
    return False


async def read_nothing() -> None:
    """Return None; used where no store tells what is registered."""


@dataclass(slots=True)
class OriginExchange:
    """Records where streams begin, and finds the origins of those taken up here.

    Parameters
    ----------
    host : HostId
    send : callable
        Sends a message to a router; returns whether it is on its way.
    journal : OriginJournal or None
        None where nothing is stored.
    read_registered : callable
        Reads from the store which services have had which versions of late, no earlier
        than it is called; returns None if the store does not answer in time.

    Attributes
    ----------
    hosts : frozenset of HostId
        The other registered routers.
    sole : dict of ServiceId to SoftwareVersion or None
        The only version of each service at the last look.
    inherited : dict of ServiceId to SoftwareVersion or None
        The only version of each service, as told by routers that have run before this
        one; used while no record tells.
    """

    host: HostId
    clock: Clock
    send: SendMessage = send_nowhere
    journal: OriginJournal | None = None
    read_registered: ReadRegistered = read_nothing
    hosts: frozenset[HostId] = frozenset()
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    versions: VersionHistory = field(default_factory=VersionHistory)
    sole: dict[ServiceId, SoftwareVersion | None] = field(default_factory=dict)
    inherited: dict[ServiceId, SoftwareVersion | None] = field(default_factory=dict)
    requests: PeerRequests[OriginReply] = field(default_factory=PeerRequests)

    def record_hosts(self, hosts: Iterable[HostId]) -> None:
        """Record which routers are registered."""
        self.hosts = frozenset(hosts) - {self.host}

    async def record_versions(self, origins: Iterable[StreamOrigin]) -> None:
        """Record the versions that serve; store streams that began before a new one.

        They are told again, as the routers that kept them may have ended.
        """
        now_s = self.clock()
        self.versions.record(origins, now_s)
        for service in list(self.versions.seen_at_s):
            sole = self.versions.find_sole(service)
            if self.sole.get(service) not in (None, sole):
                own = self.origins.list_own(service, now_s)
                self._store(own)
                await self._tell(own)
            self.sole[service] = sole
        async with anyio.create_task_group() as group:
            for origin in self.versions.list_unrecorded():
                if origin.service not in self.inherited:
                    group.start_soon(self._inherit, origin.service)

    async def _inherit(self, service: ServiceId) -> None:
        """Ask other routers for the only version of a service, until one replies.

        Routers of a build that keeps no record have begun streams that they alone know
        of. Once they have ended, no one else tells where these began.
        """
        asked = rank_hosts(service, self.hosts)[:ASKED_AT_START]
        replies = list((await self._ask(asked, NO_CALL, (service,))).values())
        if not replies:
            return
        named = {reply.sole for reply in replies if reply.sole is not None}
        is_mixed = any(reply.is_mixed for reply in replies)
        sole = named.pop() if len(named) == 1 and not is_mixed else None
        self.inherited[service] = None if sole is None else sole.software

    async def record_begun(
        self, call: RequestId, services: tuple[ServiceId, ...], origin: StreamOrigin
    ) -> StreamOrigin | None:
        """Record where a stream begins, before its first event is sent; return it.

        Parameters
        ----------
        services : tuple of ServiceId
            Services that might have served the stream.
        """
        now_s = self.clock()
        self.origins.record(call, origin, now_s, is_own=True)
        self.versions.record([origin], now_s)
        if self._find_sole(services) != origin:
            self._store({call: origin})
        await self._tell({call: origin})
        return origin

    def _find_sole(self, services: tuple[ServiceId, ...]) -> StreamOrigin | None:
        """Return where any stream of the services began; None if there are several."""
        if len(services) != 1:
            return None
        software = self.versions.find_sole(services[0])
        return None if software is None else StreamOrigin(services[0], software)

    def _find_inherited(self, services: tuple[ServiceId, ...]) -> StreamOrigin | None:
        """Return what other routers told at this one's start, if it still holds."""
        software = self.inherited.get(services[0]) if len(services) == 1 else None
        if software is None:
            return None
        origin = StreamOrigin(services[0], software)
        return origin if origin in self.versions.list_unrecorded() else None

    def is_lost(self, origin: StreamOrigin) -> bool:
        """Return whether a version that no longer serves has left for good."""
        seen_at_s = self.versions.get_seen_at_s(origin)
        started_at_s = self.versions.started_at_s or 0.0
        return self.clock() - max(seen_at_s, started_at_s) > REPLICA_RESTART_S

    def record_complete(self, call: RequestId) -> None:
        """Record that a stream has ended."""
        self.origins.complete(call, self.clock())
        if self.journal is not None:
            self.journal.complete(call)

    def _store(self, origins: Mapping[RequestId, StreamOrigin]) -> None:
        if self.journal is not None and origins:
            self.journal.add(origins)

    async def _tell(self, origins: Mapping[RequestId, StreamOrigin]) -> None:
        """Tell the keepers of streams where they began."""
        by_keeper: dict[HostId, dict[RequestId, StreamOrigin]] = {}
        for call, origin in origins.items():
            for host in rank_hosts(call, self.hosts)[:KEEPERS]:
                by_keeper.setdefault(host, {})[call] = origin
        for host, kept in by_keeper.items():
            calls = list(kept)
            for start in range(0, len(calls), MAX_TOLD):
                part = calls[start : start + MAX_TOLD]
                await self.send(host, StreamsBegun({x: kept[x] for x in part}))

    async def find(
        self, call: RequestId, services: tuple[ServiceId, ...]
    ) -> FoundOrigin:
        """Return where a stream began that one of the services may have served."""
        asked_at_s = self.clock()
        origin = self.origins.find(call, asked_at_s)
        if origin is not None:
            return FoundOrigin(origin, OriginResult.RECORDED)
        stored = None if self.journal is None else self.journal.find(call)
        if stored is not None:
            self.origins.record(call, stored, self.clock())
            return FoundOrigin(stored, OriginResult.STORED)
        asked = rank_hosts(call, self.hosts)[:ASKED]
        replies = await self._ask(asked, call, services)
        replied = self._record_reply(call, replies.values())
        if replied is not None:
            return replied
        have_keepers_replied = replies.keys() >= set(asked[:KEEPERS])
        if not have_keepers_replied and not await self._read_versions():
            return FoundOrigin(None, OriginResult.UNKNOWN)
        known = [*replies.values(), self._make_reply(0, call, services)]
        sole = {reply.sole for reply in known if reply.sole is not None}
        is_mixed = any(reply.is_mixed for reply in known)
        if len(sole) == 1 and not is_mixed:
            return FoundOrigin(sole.pop(), OriginResult.SOLE)
        if is_mixed and not have_keepers_replied:
            return await self._find_written(call, services, sole, asked_at_s)
        return await self._find_former(call, services, sole)

    def _record_reply(
        self, call: RequestId, replies: Iterable[OriginReply]
    ) -> FoundOrigin | None:
        """Record and return the origin that a router replied; None if none did."""
        for reply in replies:
            if reply.origin is not None:
                self.origins.record(call, reply.origin, self.clock())
                return FoundOrigin(reply.origin, OriginResult.REPLIED)
        return None

    async def _read_versions(self) -> bool:
        """Record the versions that the store lists now; return False if it fails.

        What this router has seen before does not tell where a stream began, as it may
        have been cut off or stood still while a version came.
        """
        registered = await self.read_registered()
        if registered is None:
            return False
        self.versions.record(registered, self.clock())
        return True

    async def _find_written(
        self,
        call: RequestId,
        services: tuple[ServiceId, ...],
        sole: set[StreamOrigin],
        asked_at_s: float,
    ) -> FoundOrigin:
        """Return where a stream began whose keepers are silent beside two versions.

        It began before the routers' start only if none of them has stored it since.
        One that began within the last interval between two writes is not in the store
        yet, so the next writes are waited for.
        """
        if self.journal is None:
            return FoundOrigin(None, OriginResult.UNKNOWN)
        is_read, stored = await self.journal.find_written(call, asked_at_s)
        if stored is not None:
            self.origins.record(call, stored, self.clock())
            return FoundOrigin(stored, OriginResult.STORED)
        if not is_read:
            return FoundOrigin(None, OriginResult.UNKNOWN)
        return await self._find_former(call, services, sole)

    async def _find_former(
        self,
        call: RequestId,
        services: tuple[ServiceId, ...],
        sole: set[StreamOrigin],
    ) -> FoundOrigin:
        """Return where a stream that no router knows began before the routers' start.

        All routers are asked, since those that keep a stream may not have known of one
        another yet when it began. One that names another version as the only one is of
        a build that does not keep the record, and has run since.

        Parameters
        ----------
        sole : set of StreamOrigin
            What the routers that were asked before name as the only version.
        """
        former = self._get_former(services)
        if former is None:
            return FoundOrigin(None, OriginResult.UNKNOWN)
        others = rank_hosts(call, self.hosts)[ASKED:]
        replies = await self._ask(others, call, services)
        replied = self._record_reply(call, replies.values())
        if replied is not None:
            return replied
        named = sole | {x.sole for x in replies.values() if x.sole is not None}
        if named - {former}:
            return FoundOrigin(None, OriginResult.UNKNOWN)
        return FoundOrigin(former, OriginResult.FORMER)

    def _get_former(self, services: tuple[ServiceId, ...]) -> StreamOrigin | None:
        if len(services) != 1:
            return None
        software = self.versions.find_former(services[0], self.clock())
        return None if software is None else StreamOrigin(services[0], software)

    async def _ask(
        self,
        hosts: Iterable[HostId],
        call: RequestId,
        services: tuple[ServiceId, ...],
    ) -> dict[HostId, OriginReply]:
        """Return the replies of routers, or those up to the first with a record."""
        replies: dict[HostId, OriginReply] = {}

        async def ask(host: HostId) -> None:
            reply = await self.requests.ask(
                lambda number: self.send(
                    host, OriginRequest(self.host, number, call, services)
                )
            )
            if reply is not None:
                replies[host] = reply
                if reply.origin is not None:
                    group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for host in hosts:
                group.start_soon(ask, host)
        return replies

    def _make_reply(
        self, number: int, call: RequestId, services: tuple[ServiceId, ...]
    ) -> OriginReply:
        now_s = self.clock()
        return OriginReply(
            number,
            self.origins.find(call, now_s),
            self._find_sole(services) or self._find_inherited(services),
            any(self.versions.is_mixed(service) for service in services),
        )

    async def receive(self, message: OriginMessage) -> None:
        """Keep the origins that a router tells of, or answer its request."""
        if isinstance(message, OriginReply):
            self.requests.apply(message.number, message)
        elif isinstance(message, StreamsBegun):
            now_s = self.clock()
            for call, origin in message.origins.items():
                self.origins.record(call, origin, now_s)
        else:
            reply = self._make_reply(message.number, message.call, message.services)
            await self.send(message.sender, reply)
