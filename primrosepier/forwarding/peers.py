"""The other routers, and the prompts that they have under way.

A router sees only its own calls at once; what the others sent shows seconds later in a
replica's load. So each tells the others by datagrams which replicas have prompts of
its own to read. A lost datagram is made good by the next one.
"""

import random
import secrets
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import msgspec
from anyio.abc import UDPSocket

from ..clocks import Clock
from ..ids import EndpointId, HostId
from ..mirror import Mirror
from ..revisions import STATE_PREFIX
from ..store import Applied, LeaseGranted, LeaseLost, Put, Store
from .loading_record import LoadingRecord
from .prefixes import PrefixIndex, PrefixUpdate
from .replica_load import ReplicaLoadTable

__all__ = ["PeerDirectory", "PeerRecord", "WorkExchange", "WorkReport"]

ROUTERS_PREFIX = STATE_PREFIX + "routers/"
TOKEN_BYTES = 8
# Time to live of a router's entry, seconds: the share of a shared budget that a lost
# router held is free after it.
ENTRY_S = 6.0
# Waits between renewals, and before another try, seconds.
RENEW_S = 2.0
RETRY_S = 1.0
# Time over which routers that start together spread their entries, seconds: short
# against the time before callers come.
SPREAD_S = 1.0
# Shortest and longest time between two reports while there is work, seconds.
MIN_GAP_S = 0.02
REPEAT_S = 0.5
# Datagrams a second that a router sends to all others together.
DATAGRAMS_PER_S = 400.0
# Smallest change of the work at a replica that is told at once, tokens: about a
# millisecond of each of several engines.
TOLD_TOKENS = 1000


class PeerRecord(msgspec.Struct, frozen=True):
    """A router's entry in the store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for datagrams.
    token : str
        Proves to this router that a sender has read its entry.
    """

    address: str
    token: str


class WorkReport(msgspec.Struct, frozen=True, array_like=True):
    """One router's prompts that replicas have not read yet.

    Parameters
    ----------
    tokens : Mapping of EndpointId to int
    prefixes : sequence of PrefixNews
        Prefixes that replicas read for this router's calls.
    mark : OrdersMark or None
        Replicas that load by this router's orders; None where it gives none.
    """

    token: str
    sender: HostId
    tokens: Mapping[EndpointId, int]
    prefixes: Sequence[PrefixUpdate] = ()
    mark: LoadingRecord | None = None


def make_no_loading_record() -> LoadingRecord | None:
    """Give no orders."""
    return None


def ignore_loading_record(mark: LoadingRecord) -> None:
    """Leave other routers' orders to the store."""


def _decode_record(value: bytes) -> PeerRecord | None:
    try:
        return msgspec.json.decode(value, type=PeerRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


@dataclass(slots=True)
class PeerDirectory:
    """Keeps this router's entry, and knows those of the others."""

    host: HostId
    store: Store
    address: str
    token: str = field(default_factory=lambda: secrets.token_hex(TOKEN_BYTES))
    peers: dict[HostId, PeerRecord] = field(default_factory=dict)
    source: random.Random = field(default_factory=random.Random)

    def update(self, mirror: Mirror) -> None:
        """Take in the entries of the store."""
        found = {}
        for key, item in mirror.select(ROUTERS_PREFIX).items():
            record = _decode_record(item.value)
            host = HostId(key[len(ROUTERS_PREFIX) :])
            if record is not None and host != self.host:
                found[host] = record
        self.peers = found

    def count_routers(self) -> int:
        """Return how many routers are known, this one among them."""
        return 1 + len(self.peers)

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        await anyio.sleep(self.source.uniform(0.0, SPREAD_S))
        while True:
            granted = await self.store.grant_lease(ENTRY_S)
            if isinstance(granted, LeaseGranted) and await self._enter(granted.lease):
                await self._keep(granted.lease)
            await anyio.sleep(RETRY_S * self.source.uniform(0.5, 1.5))

    async def _enter(self, lease: int) -> bool:
        value = msgspec.json.encode(PeerRecord(self.address, self.token))
        put = Put(ROUTERS_PREFIX + self.host, value, lease)
        return isinstance(await self.store.transact([], [put]), Applied)

    async def _keep(self, lease: int) -> None:
        """Renew the entry until its lease is lost."""
        while True:
            await anyio.sleep(RENEW_S)
            if isinstance(await self.store.keep_alive(lease), LeaseLost):
                return


@dataclass(slots=True)
class WorkExchange:
    """Tells the other routers of this one's work, and takes in theirs.

    Parameters
    ----------
    make_mark : callable
        Returns which replicas load by this router's orders, or None.
    take_mark : callable
        Takes in those of another one.
    """

    directory: PeerDirectory
    loads: ReplicaLoadTable
    prefixes: PrefixIndex
    clock: Clock
    make_loading_record: Callable[[], LoadingRecord | None] = make_no_loading_record
    apply_loading_record: Callable[[LoadingRecord], None] = ignore_loading_record
    told: dict[EndpointId, int] = field(default_factory=dict)
    told_order: tuple[int, int] = (0, 0)

    def list_work(self) -> dict[EndpointId, int]:
        """Return the tokens that replicas have to read for this router's calls."""
        return {
            name: load.pending_tokens
            for name, load in self.loads.loads.items()
            if load.pending_tokens >= TOLD_TOKENS
        }

    def _has_more(self, work: Mapping[EndpointId, int]) -> bool:
        """Return whether something goes on that others forget without reports."""
        mark = self.make_loading_record()
        return bool(work) or (mark is not None and bool(mark.endpoints))

    def must_tell(self, work: Mapping[EndpointId, int]) -> bool:
        """Return whether the others should hear of the work at once."""
        names = work.keys() | self.told.keys()
        mark = self.make_loading_record()
        if mark is not None and mark.order > self.told_order:
            return True
        if self.prefixes.pending_updates:
            return True
        return any(
            abs(work.get(name, 0) - self.told.get(name, 0)) >= TOLD_TOKENS
            for name in names
        )

    def wake(self) -> None:
        """Look at once whether there is something to tell."""
        self.loads.changed.set()

    async def run(self, socket: UDPSocket) -> None:
        """Send and receive reports until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive, socket)
            await self._send_changes(socket)

    async def _send_changes(self, socket: UDPSocket) -> None:
        sent_at_s = self.clock()
        while True:
            gap_s = max(MIN_GAP_S, len(self.directory.peers) / DATAGRAMS_PER_S)
            with anyio.move_on_after(REPEAT_S):
                await self.loads.changed.wait()
            self.loads.changed = anyio.Event()
            await anyio.sleep(max(0.0, sent_at_s + gap_s - self.clock()))
            work = self.list_work()
            repeats = self._has_more(work) and self.clock() > sent_at_s + REPEAT_S
            if repeats or self.must_tell(work):
                sent_at_s = self.clock()
                await self._send(socket, work)

    async def _send(self, socket: UDPSocket, work: dict[EndpointId, int]) -> None:
        self.told = work
        pending_updates = self.prefixes.take_updates()
        mark = self.make_loading_record()
        if mark is not None:
            self.told_order = mark.order
        for record in list(self.directory.peers.values()):
            host, _, port = record.address.rpartition(":")
            report = WorkReport(
                record.token, self.directory.host, work, pending_updates, mark
            )
            await socket.sendto(msgspec.msgpack.encode(report), host, int(port))

    async def _receive(self, socket: UDPSocket) -> None:
        async for data, _ in socket:
            self.take(data)

    def take(self, data: bytes) -> None:
        """Take in a datagram, if it is a report for this router."""
        try:
            report = msgspec.msgpack.decode(data, type=WorkReport)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.loads.malformed_reports += 1
            return
        if report.token != self.directory.token:
            self.loads.malformed_reports += 1
            return
        now_s = self.clock()
        self.loads.record_peer_load(report.sender, report.tokens, now_s)
        self.prefixes.apply_updates(report.prefixes, now_s)
        if report.mark is not None:
            self.apply_loading_record(report.mark)
