"""Runs the membership protocol over a transport."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from . import __version__
from .board import Board, SectionWriter
from .clocks import Clock
from .ids import HostId, Revision
from .members import MemberState
from .membership import Membership, Round, make_membership
from .messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Exchange,
    MemberRecord,
    ProbeReply,
    ProbeRequest,
    StatusReply,
    StatusRequest,
)
from .peers import PeerFailure, PeerTransport
from .settings import RouterSettings

__all__ = ["ConfigurationSource", "Gossip", "make_gossip"]

MS_PER_S = 1000

PROBE_TIMEOUT_S = 0.5
PUSH_TIMEOUT_S = 0.5
JOIN_TIMEOUT_S = 2.0
MAX_JOIN_SEEDS = 3
FETCH_TIMEOUT_S = 5.0
WATCH_WAIT_S = 1.0
MAX_SEEDS = 1024


class ConfigurationSource(Protocol):
    """Exports this router's configuration to peers and applies theirs."""

    @property
    def revision(self) -> Revision:
        """Configuration revision in force; 0 for none."""

    def export(self, revision: Revision) -> tuple[Revision, bytes] | None:
        """Return the configuration if it is newer than a revision, else None."""

    def apply_export(self, revision: Revision, data: bytes) -> bool:
        """Apply a configuration exported by a peer, if it is newer and valid."""


@dataclass(slots=True)
class Gossip:
    """Exchanges messages with other routers.

    Parameters
    ----------
    membership : Membership
    transport : PeerTransport
    configuration_source : ConfigurationSource
        Configuration that this router offers to peers and updates from theirs.
    writer : SectionWriter
        Writer of the board section of live peers.
    is_ready, is_stopping : callable
        Return this router's state for status requests.
    on_round : list of callable
        Called with the time at the start of each round, and when urgent digests
        arrived.
    """

    membership: Membership
    transport: PeerTransport
    configuration_source: ConfigurationSource
    board: Board
    writer: SectionWriter[frozenset[HostId]]
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
    clock: Clock = time.monotonic
    on_round: list[Callable[[float], None]] = field(default_factory=list)
    group: TaskGroup | None = None
    fetching: bool = False
    failures: int = 0

    async def run(self) -> None:
        """Probe one member each round until cancelled."""
        round_s = self.membership.rules.round_s
        async with anyio.create_task_group() as group:
            self.group = group
            due_s = self.clock()
            while True:
                now_s = self.clock()
                self._start_round(now_s, group)
                due_s = max(due_s + round_s, now_s)
                await anyio.sleep(due_s - now_s)

    async def join(self) -> None:
        """Read the full member tables of a few of the configured routers."""
        seeds = self.membership.seeds
        count = min(MAX_JOIN_SEEDS, len(seeds))
        async with anyio.create_task_group() as group:
            for address in self.membership.random.sample(seeds, count):
                group.start_soon(self._synchronize, address, None)

    def _start_round(self, now_s: float, group: TaskGroup) -> None:
        self.membership.revision = self.configuration_source.revision
        self._call_listeners(now_s)
        started_round = self.membership.start_round(now_s)
        if started_round.probe is not None:
            group.start_soon(self._probe, started_round, started_round.probe)
        for address in started_round.reconnect:
            group.start_soon(self._synchronize, address, None)
        self._write_peers(now_s)

    def _write_peers(self, now_s: float) -> None:
        self.writer.write(frozenset(self.membership.list_live()), now_s)

    def _call_listeners(self, now_s: float) -> None:
        for listener in self.on_round:
            listener(now_s)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses of routers to the seeds."""
        own_address = self.membership.own_record.address
        seeds = dict.fromkeys([*self.membership.seeds, *addresses])
        self.membership.seeds = tuple(a for a in seeds if a != own_address)[-MAX_SEEDS:]

    def start_push(self) -> None:
        """Start a push of urgent digests without waiting for the answers."""
        if self.group is not None:
            self.group.start_soon(self.push)

    async def _probe(self, started_round: Round, target: MemberRecord) -> None:
        host = HostId(target.host)
        if await self._exchange(target.address, host, PROBE_TIMEOUT_S):
            if self.membership.start_sync_if_due(self.clock()):
                await self._synchronize(target.address, host)
            return
        self.failures += 1
        if not await self._probe_indirectly(target):
            self.membership.report_unreachable(host, started_round, self.clock())

    async def _exchange(
        self,
        address: str,
        host: HostId | None,
        timeout_s: float,
        wants_all: bool = False,
    ) -> bool:
        message = self.membership.make_exchange(host, self.clock(), wants_all)
        reply = await self.transport.exchange(address, message, timeout_s)
        if isinstance(reply, PeerFailure):
            return False
        self.membership.receive(reply, self.clock())
        self._follow_up(reply)
        return True

    async def _probe_indirectly(self, target: MemberRecord) -> bool:
        reached = []
        message = ProbeRequest(self.membership.own_record, target)

        async def probe_through(helper: MemberRecord) -> None:
            timeout_s = 2 * PROBE_TIMEOUT_S
            reply = await self.transport.probe(helper.address, message, timeout_s)
            if isinstance(reply, ProbeReply) and reply.reached:
                reached.append(helper.host)
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for helper in self.membership.choose_helpers(HostId(target.host)):
                group.start_soon(probe_through, helper)
        return bool(reached)

    async def _synchronize(self, address: str, host: HostId | None) -> None:
        await self._exchange(address, host, JOIN_TIMEOUT_S, wants_all=True)

    def _follow_up(self, message: Exchange) -> None:
        """Update the board, forward urgent digests and fetch a newer configuration."""
        if len(self.board.peers.value) != len(self.membership.list_live()):
            self._write_peers(time.monotonic())
        if self.group is None:
            return
        if self.membership.digests.urgent:
            self.start_push()
            self._call_listeners(self.clock())
        if message.revision > self.configuration_source.revision and not self.fetching:
            self.fetching = True
            address = message.sender.address
            self.group.start_soon(self._fetch, address, Revision(message.revision))

    async def _fetch(self, address: str, revision: Revision) -> None:
        """Fetch a newer configuration from a peer.

        A router that has a configuration first waits `WATCH_WAIT_S`, so that the watch
        of the store can deliver the newer one.
        """
        try:
            if self.configuration_source.revision:
                await anyio.sleep(WATCH_WAIT_S)
            if self.configuration_source.revision >= revision:
                return
            request = ConfigurationRequest(self.configuration_source.revision)
            reply = await self.transport.fetch_configuration(
                address, request, FETCH_TIMEOUT_S
            )
            if isinstance(reply, ConfigurationReply) and reply.revision:
                self.configuration_source.apply_export(
                    Revision(reply.revision), reply.data
                )
        finally:
            self.fetching = False

    async def push(self) -> int:
        """Send urgent digests to all neighbours at once.

        Returns
        -------
        int
            Number of neighbours that answered.
        """
        now_s = self.clock()
        digests = self.membership.digests.pop_urgent(now_s)
        if not digests and self.membership.own_record.state != MemberState.LEFT:
            return 0
        message = Exchange(
            sender=self.membership.own_record,
            revision=self.configuration_source.revision,
            checksum=self.membership.compute_checksum(),
            digests=digests,
        )
        answered = []

        async def send(neighbour: MemberRecord) -> None:
            reply = await self.transport.exchange(
                neighbour.address, message, PUSH_TIMEOUT_S
            )
            if isinstance(reply, Exchange):
                answered.append(neighbour.host)
                self.membership.receive(reply, self.clock())
                self._follow_up(reply)

        async with anyio.create_task_group() as group:
            for neighbour in self.membership.list_neighbours():
                group.start_soon(send, neighbour)
        return len(answered)

    async def leave(self) -> None:
        """Announce to the neighbours that this router has left."""
        self.membership.leave()
        await self.push()

    async def answer_exchange(self, message: Exchange) -> Exchange:
        """Answer a probe."""
        self.membership.revision = self.configuration_source.revision
        reply = self.membership.answer(message, self.clock())
        self._follow_up(message)
        return reply

    async def answer_probe(self, message: ProbeRequest) -> ProbeReply:
        """Probe another router on behalf of the sender."""
        target = message.target
        host = HostId(target.host)
        return ProbeReply(await self._exchange(target.address, host, PROBE_TIMEOUT_S))

    async def answer_configuration(
        self, message: ConfigurationRequest
    ) -> ConfigurationReply:
        """Return this router's configuration if it is newer."""
        exported = self.configuration_source.export(Revision(message.revision))
        if exported is None:
            return ConfigurationReply()
        return ConfigurationReply(*exported)

    async def answer_status(self, message: StatusRequest) -> StatusReply:
        """Return the state of this router."""
        return StatusReply(
            member=self.membership.own_record,
            version=__version__,
            revision=self.configuration_source.revision,
            ready=self.is_ready(),
            stopping=self.is_stopping(),
            members=self.membership.list_records(),
            leaving=sorted(self.board.leaving.value),
        )


def make_gossip(
    settings: RouterSettings,
    address: str,
    transport: PeerTransport,
    configuration_source: ConfigurationSource,
    board: Board,
    is_ready: Callable[[], bool],
    is_stopping: Callable[[], bool],
    clock: Clock = time.monotonic,
    wall_clock: Clock = time.time,
) -> Gossip:
    """Return the `Gossip` of a router at an address.

    The router's incarnation is the wall-clock time in milliseconds, so that a restarted
    router supersedes its earlier process.
    """
    incarnation = int(wall_clock() * MS_PER_S)
    own_record = MemberRecord(
        settings.host, address, settings.failure_domain, incarnation
    )
    membership = make_membership(own_record, random.Random(incarnation), settings.peers)
    writer = board.peers.take_writer("gossip")
    return Gossip(
        membership,
        transport,
        configuration_source,
        board,
        writer,
        is_ready,
        is_stopping,
        clock,
    )
