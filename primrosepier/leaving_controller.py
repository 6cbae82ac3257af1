"""Keeps the board's leaving endpoints current and publishes them to peers."""

import time
from dataclasses import dataclass, field
from random import Random

import anyio
import msgspec

from .board import Board, SectionWriter
from .clocks import Clock
from .decoding import decode_msgpack
from .errors import MessageError
from .gossip import Gossip
from .hosts import HostGroup, HostListClient, list_routers, match_hosts
from .ids import EndpointId
from .leaving import LeavingTable, LeavingView, PeerLeavingState, ResponseKind
from .peers import PeerFailure

__all__ = ["LeavingController", "compute_poll_interval"]

DIGEST_NAME = "leaving"
DIGEST_TTL_S = 60.0
REPUBLISH_INTERVAL_S = 20.0
MIN_POLL_INTERVAL_S = 1.0
FLEET_POLLS_PER_S = 20.0


class LeavingDigest(msgspec.Struct, frozen=True, array_like=True):
    """Leaving endpoints that a router publishes to its peers.

    The fields are those of `PeerLeavingState`.
    """

    announced: list[EndpointId] = []
    accepted_from_list: list[EndpointId] = []


def compute_poll_interval(routers: int) -> float:
    """Return the time between reads of the host list at one router, seconds."""
    return max(MIN_POLL_INTERVAL_S, routers / FLEET_POLLS_PER_S)


@dataclass(slots=True)
class LeavingController:
    """Combines the announcements of endpoints, the host list and peers' reports.

    Parameters
    ----------
    hosts : HostListClient or None
        None when there is no host list.
    """

    board: Board
    writer: SectionWriter[frozenset[EndpointId]]
    gossip: Gossip
    hosts: HostListClient | None = None
    clock: Clock = time.monotonic
    random: Random = field(default_factory=Random)
    table: LeavingTable = field(default_factory=LeavingTable)
    view: LeavingView = LeavingView()
    groups: list[HostGroup] = field(default_factory=list)
    merged_versions: dict[str, tuple[int, int]] = field(default_factory=dict)
    published: LeavingDigest = LeavingDigest()
    published_at_s: float = float("-inf")
    failures: int = 0

    async def run(self) -> None:
        """Read the host list periodically until cancelled; return if there is none."""
        while self.hosts is not None:
            await self.read_list()
            interval_s = compute_poll_interval(1 + len(self.board.peers.value))
            await anyio.sleep(interval_s * self.random.uniform(0.8, 1.0))

    async def read_list(self) -> None:
        """Read the host list once and apply it."""
        if self.hosts is None:
            return
        groups = await self.hosts.read()
        if isinstance(groups, PeerFailure):
            self.failures += 1
            return
        self.groups = groups
        self.gossip.add_seeds(list_routers(groups))
        self.update(self.clock())

    def observe_answer(self, endpoint: EndpointId, leaving: bool) -> None:
        """Record whether an answer announces that its endpoint is leaving."""
        self._observe(endpoint, ResponseKind.ANSWER, leaving)

    def observe_report(self, endpoint: EndpointId, leaving: bool) -> None:
        """Record whether a load report announces that its endpoint is leaving."""
        self._observe(endpoint, ResponseKind.LOAD_REPORT, leaving)

    def _observe(self, endpoint: EndpointId, kind: ResponseKind, leaving: bool) -> None:
        now_s = self.clock()
        if self.table.record_response(endpoint, kind, leaving, now_s):
            self.update(now_s)

    def update(self, now_s: float) -> None:
        """Recompute the leaving endpoints, write the board and publish changes."""
        configuration = self.board.configuration.value
        if configuration is None:
            return
        if self.groups:
            self.table.apply_host_list(match_hosts(self.groups, configuration))
        self._merge_peers(now_s)
        self.view = self.table.decide(configuration, now_s)
        self.writer.write(self.view.leaving, now_s)
        announced = sorted(self.table.list_announced_here(now_s))
        digest = LeavingDigest(announced, sorted(self.view.accepted_from_list))
        changed = digest != self.published
        empty = not digest.announced and not digest.accepted_from_list
        due = not empty and now_s - self.published_at_s >= REPUBLISH_INTERVAL_S
        if changed or due:
            self._publish(digest, now_s, changed)

    def _merge_peers(self, now_s: float) -> None:
        digests = self.gossip.membership.digests
        for peer, digest in digests.read(DIGEST_NAME, now_s).items():
            if peer == digests.host or self.merged_versions.get(peer) == digest.version:
                continue
            self.merged_versions[peer] = digest.version
            try:
                received = decode_msgpack(digest.record.data, LeavingDigest)
            except MessageError:
                continue
            state = PeerLeavingState(
                frozenset(received.announced),
                frozenset(received.accepted_from_list),
                digest.expires_at_s,
            )
            self.table.record_peer_state(peer, state)

    def _publish(self, digest: LeavingDigest, now_s: float, urgent: bool) -> None:
        self.published = digest
        self.published_at_s = now_s
        data = msgspec.msgpack.encode(digest)
        digests = self.gossip.membership.digests
        digests.publish(DIGEST_NAME, data, DIGEST_TTL_S, now_s, urgent)
        if urgent:
            self.gossip.start_push()
