"""Exchanges suspicions and the demand of workspaces among routers."""

import time
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from .board import SectionWriter
from .clocks import Clock
from .decoding import decode_msgpack
from .digests import Digest
from .errors import MessageError
from .gossip import Gossip
from .ids import EndpointId, HostId, WorkspaceId
from .limits import Demand, WorkspaceLimiter
from .load_reports import compute_publish_interval
from .loss_log import LossReport
from .suspects import SuspectTable, Suspicion

__all__ = ["Sharing"]

SUSPECTS_DIGEST_NAME = "suspects"
LOSSES_DIGEST_NAME = "losses"
USAGE_DIGEST_NAME = "usage"
SUSPECTS_RENEWAL_S = 60.0
SUSPECTS_TTL_S = 180.0
# Shortest time between two reports of losses that answers and peers require.
LOSSES_INTERVAL_S = 1.0
MAX_SHARED_SUSPECTS = 64
MAX_SHARED_WORKSPACES = 16
MIN_SHARED_RATE = 0.01


class SharedSuspicion(msgspec.Struct, frozen=True, array_like=True):
    """Suspicion in a digest, with its remaining time in seconds."""

    fingerprint: int
    lost: list[EndpointId] = []
    confirmed: bool = False
    remaining_s: float = 0.0


class SharedRate(msgspec.Struct, frozen=True, array_like=True):
    """Request rate of one workspace at one router."""

    workspace: WorkspaceId
    requests_per_s: float = 0.0


@dataclass(slots=True)
class Sharing:
    """Publishes this router's suspicions and demand, and merges those of others.

    Parameters
    ----------
    writer : SectionWriter
        Writer of the board's ``usage`` section.
    """

    gossip: Gossip
    suspects: SuspectTable
    limiter: WorkspaceLimiter
    writer: SectionWriter[dict[WorkspaceId, Demand]]
    clock: Clock = time.monotonic
    merged_versions: dict[tuple[str, HostId], tuple[int, int]] = field(
        default_factory=dict
    )
    usage_published_at_s: float = float("-inf")
    suspects_published_at_s: float = float("-inf")

    async def share(self, suspicions: Sequence[Suspicion]) -> None:
        """Push the suspicions and losses of the table to the neighbours.

        Returns when they have answered or timed out.

        Parameters
        ----------
        suspicions : sequence of Suspicion
            Unused: new suspicions are in the table already.
        """
        now_s = self.clock()
        if self.suspects.suspicions:
            self._publish_suspects(now_s, urgent=True)
        if self.suspects.loss_log.unreported:
            self._publish_losses(now_s, urgent=True)
        await self.gossip.push()

    def update(self, now_s: float) -> None:
        """Merge the digests of other routers, and renew this router's when due."""
        self._merge_suspects(now_s)
        self._merge_losses(now_s)
        self._write_demands(now_s)
        if now_s - self.usage_published_at_s >= self._compute_publish_interval():
            self._publish_usage(now_s)
        if (
            self.suspects.suspicions
            and now_s - self.suspects_published_at_s >= SUSPECTS_RENEWAL_S
        ):
            self._publish_suspects(now_s, urgent=False)
        if self._must_publish_losses(now_s):
            self._publish_losses(now_s, urgent=False)

    def _compute_publish_interval(self) -> float:
        return compute_publish_interval(1 + len(self.gossip.membership.list_live()))

    def _publish_suspects(self, now_s: float, urgent: bool) -> None:
        self.suspects_published_at_s = now_s
        latest_expiring = sorted(
            self.suspects.suspicions.values(), key=lambda s: -s.until_s
        )
        shared = [
            SharedSuspicion(s.fingerprint, list(s.lost), s.confirmed, s.until_s - now_s)
            for s in latest_expiring[:MAX_SHARED_SUSPECTS]
        ]
        data = msgspec.msgpack.encode(shared)
        digests = self.gossip.membership.digests
        digests.publish(SUSPECTS_DIGEST_NAME, data, SUSPECTS_TTL_S, now_s, urgent)

    def _must_publish_losses(self, now_s: float) -> bool:
        loss_log = self.suspects.loss_log
        age_s = now_s - loss_log.reported_at_s
        if loss_log.unreported:
            return age_s >= LOSSES_INTERVAL_S
        return bool(loss_log.causes) and age_s >= SUSPECTS_RENEWAL_S

    def _publish_losses(self, now_s: float, urgent: bool) -> None:
        loss_log = self.suspects.loss_log
        data = msgspec.msgpack.encode(loss_log.make_summary(now_s))
        loss_log.mark_reported(now_s)
        digests = self.gossip.membership.digests
        digests.publish(LOSSES_DIGEST_NAME, data, SUSPECTS_TTL_S, now_s, urgent)

    def _read_new_digests(self, name: str, now_s: float) -> Iterator[Digest]:
        """Yield the digests of other routers that were not read yet."""
        digests = self.gossip.membership.digests
        for host, digest in digests.read(name, now_s).items():
            is_read = self.merged_versions.get((name, host)) == digest.version
            if host != digests.host and not is_read:
                self.merged_versions[name, host] = digest.version
                yield digest

    def _merge_suspects(self, now_s: float) -> None:
        for digest in self._read_new_digests(SUSPECTS_DIGEST_NAME, now_s):
            received = _decode_suspicions(digest.record.data, digest.received_at_s)
            self.suspects.merge(s for s in received if s.until_s > now_s)

    def _merge_losses(self, now_s: float) -> None:
        for digest in self._read_new_digests(LOSSES_DIGEST_NAME, now_s):
            try:
                report = decode_msgpack(digest.record.data, LossReport)
            except MessageError:
                continue
            self.suspects.loss_log.merge(report, digest.received_at_s)

    def _publish_usage(self, now_s: float) -> None:
        self.usage_published_at_s = now_s
        rates = self.limiter.list_demand(now_s)
        busiest = sorted(rates.items(), key=lambda item: -item[1])
        shared = [
            SharedRate(workspace, round(rate, 3))
            for workspace, rate in busiest[:MAX_SHARED_WORKSPACES]
            if rate >= MIN_SHARED_RATE
        ]
        data = msgspec.msgpack.encode(shared)
        ttl_s = 2 * self._compute_publish_interval()
        self.gossip.membership.digests.publish(USAGE_DIGEST_NAME, data, ttl_s, now_s)

    def _write_demands(self, now_s: float) -> None:
        digests = self.gossip.membership.digests
        totals: dict[WorkspaceId, float] = {}
        oldest_s = now_s
        received = digests.read(USAGE_DIGEST_NAME, now_s)
        received.pop(digests.host, None)
        for digest in received.values():
            oldest_s = min(oldest_s, digest.received_at_s)
            for entry in _decode_rates(digest.record.data):
                rate = totals.get(entry.workspace, 0.0) + entry.requests_per_s
                totals[entry.workspace] = rate
        routers = 1 + len(self.gossip.membership.list_live())
        workspaces = {*totals, *self.limiter.usage}
        demands = {
            workspace: Demand(totals.get(workspace, 0.0), routers, oldest_s)
            for workspace in workspaces
        }
        self.writer.write(demands, now_s)


def _decode_suspicions(data: bytes, received_at_s: float) -> Iterable[Suspicion]:
    try:
        shared = decode_msgpack(data, list[SharedSuspicion])
    except MessageError:
        return []
    return [
        Suspicion(
            s.fingerprint, tuple(s.lost), s.confirmed, received_at_s + s.remaining_s
        )
        for s in shared
    ]


def _decode_rates(data: bytes) -> list[SharedRate]:
    try:
        return decode_msgpack(data, list[SharedRate])
    except MessageError:
        return []
