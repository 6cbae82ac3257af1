"""Registration of routers, and the exchange of load reports between them.

A router sees its own calls at once, but the calls of its peers only seconds later, in
the loads that replicas report. So each router announces to its peers by datagrams how
many prompt tokens replicas have yet to prefill for it. A later report replaces one
that was lost.
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

__all__ = ["PeerDirectory", "PeerExchange", "PeerRecord", "PeerReport"]

ROUTERS_PREFIX = STATE_PREFIX + "routers/"
TOKEN_BYTES = 8
# Time to live of a router's entry, after which the other routers use the share of a
# failed router in the shared budgets.
ENTRY_TTL_S = 6.0
RENEWAL_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 1.0
# Routers that start together register at random times in this interval, which is short
# compared with the time until callers arrive.
START_JITTER_S = 1.0
# Bounds of the time between two reports while there are pending tokens or loads.
MIN_REPORT_INTERVAL_S = 0.02
MAX_REPORT_INTERVAL_S = 0.5
# Rate of datagrams to all peers together.
DATAGRAMS_PER_S = 400.0
# Smallest change of the pending tokens of a replica that is announced at once: about a
# millisecond of the prefill of several engines.
MIN_ANNOUNCED_TOKENS = 1000


class PeerRecord(msgspec.Struct, frozen=True):
    """A router's entry in the store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for datagrams.
    token : str
        Proves to this router that a sender has read its entry in the store.
    """

    address: str
    token: str


class PeerReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one router to a peer.

    Parameters
    ----------
    tokens : Mapping of EndpointId to int
        Prompt tokens that replicas have yet to prefill for the sender.
    prefixes : sequence of PrefixUpdate
        Prefixes that replicas compute or have cached for the sender's calls.
    loading_record : LoadingRecord or None
        Replicas that load by the sender's orders; None without the weights duty.
    """

    token: str
    sender: HostId
    tokens: Mapping[EndpointId, int]
    prefixes: Sequence[PrefixUpdate] = ()
    loading_record: LoadingRecord | None = None


def make_no_loading_record() -> LoadingRecord | None:
    """Return None, as a router without the weights duty."""
    return None


def ignore_loading_record(loading_record: LoadingRecord) -> None:
    """Ignore a peer's loading record."""


def _decode_record(value: bytes) -> PeerRecord | None:
    try:
        return msgspec.json.decode(value, type=PeerRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


@dataclass(slots=True)
class PeerDirectory:
    """Registers this router in the store and lists its peers."""

    host: HostId
    store: Store
    address: str
    token: str = field(default_factory=lambda: secrets.token_hex(TOKEN_BYTES))
    peers: dict[HostId, PeerRecord] = field(default_factory=dict)
    source: random.Random = field(default_factory=random.Random)

    def update(self, mirror: Mirror) -> None:
        """Update the peers from the entries of the store."""
        peers = {}
        for key, item in mirror.select(ROUTERS_PREFIX).items():
            record = _decode_record(item.value)
            host = HostId(key[len(ROUTERS_PREFIX) :])
            if record is not None and host != self.host:
                peers[host] = record
        self.peers = peers

    def count_routers(self) -> int:
        """Return the number of known routers, including this one."""
        return 1 + len(self.peers)

    async def run(self) -> None:
        """Keep this router registered until cancelled."""
        await anyio.sleep(self.source.uniform(0.0, START_JITTER_S))
        while True:
            granted = await self.store.grant_lease(ENTRY_TTL_S)
            if isinstance(granted, LeaseGranted) and await self._register(
                granted.lease
            ):
                await self._renew(granted.lease)
            await anyio.sleep(RETRY_INTERVAL_S * self.source.uniform(0.5, 1.5))

    async def _register(self, lease: int) -> bool:
        value = msgspec.json.encode(PeerRecord(self.address, self.token))
        put = Put(ROUTERS_PREFIX + self.host, value, lease)
        return isinstance(await self.store.transact([], [put]), Applied)

    async def _renew(self, lease: int) -> None:
        """Renew the lease of the entry until it is lost."""
        while True:
            await anyio.sleep(RENEWAL_INTERVAL_S)
            if isinstance(await self.store.keep_alive(lease), LeaseLost):
                return


@dataclass(slots=True)
class PeerExchange:
    """Sends reports to peers and applies theirs.

    Parameters
    ----------
    make_loading_record : callable
        Returns the replicas that load by this router's orders, or None.
    apply_loading_record : callable
        Applies a peer's loading record.

    Attributes
    ----------
    announced : dict of EndpointId to int
        Pending tokens in the last report.
    announced_sort_key : (int, int)
        Fencing number and serial of the last loading record that was sent.
    """

    directory: PeerDirectory
    loads: ReplicaLoadTable
    prefixes: PrefixIndex
    clock: Clock
    make_loading_record: Callable[[], LoadingRecord | None] = make_no_loading_record
    apply_loading_record: Callable[[LoadingRecord], None] = ignore_loading_record
    announced: dict[EndpointId, int] = field(default_factory=dict)
    announced_sort_key: tuple[int, int] = (0, 0)

    def list_pending_tokens(self) -> dict[EndpointId, int]:
        """Return the tokens that replicas have yet to prefill for this router."""
        return {
            name: load.pending_tokens
            for name, load in self.loads.loads.items()
            if load.pending_tokens >= MIN_ANNOUNCED_TOKENS
        }

    def _must_repeat(self, pending_tokens: Mapping[EndpointId, int]) -> bool:
        """Return whether to repeat a report before the peers' copies expire."""
        loading_record = self.make_loading_record()
        return bool(pending_tokens) or (
            loading_record is not None and bool(loading_record.endpoints)
        )

    def must_announce(self, pending_tokens: Mapping[EndpointId, int]) -> bool:
        """Return whether there is a change to announce at once."""
        names = pending_tokens.keys() | self.announced.keys()
        loading_record = self.make_loading_record()
        if (
            loading_record is not None
            and loading_record.sort_key > self.announced_sort_key
        ):
            return True
        if self.prefixes.pending_updates:
            return True
        return any(
            abs(pending_tokens.get(name, 0) - self.announced.get(name, 0))
            >= MIN_ANNOUNCED_TOKENS
            for name in names
        )

    def request_report(self) -> None:
        """Check at once whether there is something to announce."""
        self.loads.changed.set()

    async def run(self, socket: UDPSocket) -> None:
        """Send and receive reports until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive, socket)
            await self._send_changes(socket)

    async def _send_changes(self, socket: UDPSocket) -> None:
        sent_at_s = self.clock()
        while True:
            interval_s = max(
                MIN_REPORT_INTERVAL_S, len(self.directory.peers) / DATAGRAMS_PER_S
            )
            with anyio.move_on_after(MAX_REPORT_INTERVAL_S):
                await self.loads.changed.wait()
            self.loads.changed = anyio.Event()
            await anyio.sleep(max(0.0, sent_at_s + interval_s - self.clock()))
            pending_tokens = self.list_pending_tokens()
            must_repeat = (
                self._must_repeat(pending_tokens)
                and self.clock() > sent_at_s + MAX_REPORT_INTERVAL_S
            )
            if must_repeat or self.must_announce(pending_tokens):
                sent_at_s = self.clock()
                await self._send(socket, pending_tokens)

    async def _send(
        self, socket: UDPSocket, pending_tokens: dict[EndpointId, int]
    ) -> None:
        self.announced = pending_tokens
        updates = self.prefixes.take_updates()
        loading_record = self.make_loading_record()
        if loading_record is not None:
            self.announced_sort_key = loading_record.sort_key
        for record in list(self.directory.peers.values()):
            host, _, port = record.address.rpartition(":")
            report = PeerReport(
                record.token,
                self.directory.host,
                pending_tokens,
                updates,
                loading_record,
            )
            await socket.sendto(msgspec.msgpack.encode(report), host, int(port))

    async def _receive(self, socket: UDPSocket) -> None:
        async for data, _ in socket:
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Apply a datagram if it is a report for this router."""
        try:
            report = msgspec.msgpack.decode(data, type=PeerReport)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.loads.rejected_reports += 1
            return
        if report.token != self.directory.token:
            self.loads.rejected_reports += 1
            return
        now_s = self.clock()
        self.loads.record_peer_load(report.sender, report.tokens, now_s)
        self.prefixes.apply_updates(report.prefixes, now_s)
        if report.loading_record is not None:
            self.apply_loading_record(report.loading_record)
