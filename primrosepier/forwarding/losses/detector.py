"""Probes replicas after failures and reports, and aborts calls at those that are lost.

A replica whose host has lost power answers nothing: a call that waits there would learn
of it only from the kernel's keep-alive probes after three seconds, and each router by
itself. One failed connection, or one that is lost, therefore leads to a probe at once.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ...clocks import Clock
from ...endpoint_client import EndpointClient
from ...ids import EndpointId, HostId
from ...logs import Log
from ..cuts import CutDetector
from ..fleet import Replica
from ..peer_reports import SectionName
from ..records import ReplicaGivenUp
from ..replica_load import ReplicaLoadTable
from .messages import decode_losses, encode_losses
from .records import LossUnconfirmed, ReplicaLost, ReplicaReached
from .table import LossTable, ProbeResult

__all__ = ["LossDetector", "make_loss_detector"]

# Time without a received byte after which a call at a lost replica counts as
# unresponsive: far above the pause between the events of a stream.
UNRESPONSIVE_S = 0.8
# Time between two searches for such calls while replicas are lost, seconds.
ABORT_INTERVAL_S = 0.1
# Time before the end of a lost replica's backoff at which it is probed, seconds: the
# time-out of the probe and a margin, so that no call is sent to it before the result.
PROBE_AHEAD_S = 0.35
# Time after calls at a replica were given up in which others that end there count as
# lost in the same way, seconds: a few times the time between two searches.
GIVEN_UP_S = 0.5


def ignore_request() -> None:
    """Do nothing; used by a router without peers."""


@dataclass(slots=True)
class LossDetector:
    """Finds lost replicas, and is the section ``u`` of the routers' reports.

    Parameters
    ----------
    links : CutDetector
        Probes replicas. Nothing is believed or reported while this router is, or may
        be, cut off from them.
    request_report : callable
        Called when there is a loss to report.

    Attributes
    ----------
    wake : anyio.Event
        Set when a replica is to be probed or is lost.
    updated_at_s : float
        When calls at lost replicas were last looked for, seconds.
    given_up_at_s : dict of EndpointId to float
        When calls at each replica were last aborted, seconds.
    """

    client: EndpointClient
    loads: ReplicaLoadTable
    links: CutDetector
    log: Log
    clock: Clock
    table: LossTable
    request_report: Callable[[], None] = ignore_request
    name: SectionName = SectionName("u")
    wake: anyio.Event = field(default_factory=anyio.Event)
    updated_at_s: float = float("-inf")
    given_up_at_s: dict[EndpointId, float] = field(default_factory=dict)

    def record_failed(self, replica: Replica, now_s: float) -> None:
        """Record that a call could not reach a replica, or lost it without a response.

        Retryable calls at a lost replica would otherwise hang until their deadlines.
        """
        self.links.record_failed(replica.id)
        self._count_failure(replica, now_s)

    def _count_failure(self, replica: Replica, now_s: float) -> None:
        self.loads.record_unreachable(replica.id, now_s)
        failures = self.loads.get_or_create(replica.id).connection_failures
        if self.table.record_failed(replica, failures, now_s):
            self._begin_loss(replica, HostId(""))
        self.wake.set()

    def suspect(self, replica: Replica) -> None:
        """Probe a replica, as a connection broke off during its response."""
        self.table.record_failed(replica, 0, self.clock())
        self.wake.set()

    def _begin_loss(self, replica: Replica, reporter: HostId) -> None:
        self.log.emit(ReplicaLost(replica.id, replica.born_ms, reporter))
        self._schedule_probe(replica.id)
        self._abort_calls(replica)
        self.request_report()

    def _schedule_probe(self, endpoint: EndpointId) -> None:
        avoid_until_s = self.loads.get_or_create(endpoint).avoid_until_s
        self.table.schedule_probe(endpoint, avoid_until_s - PROBE_AHEAD_S)

    def _end_backoff(self, endpoint: EndpointId, now_s: float) -> None:
        load = self.loads.get_or_create(endpoint)
        load.avoid_until_s = min(load.avoid_until_s, now_s)

    def _abort_calls(self, replica: Replica) -> None:
        aborted = self.client.abort_unresponsive(replica.address, UNRESPONSIVE_S)
        if aborted:
            self.given_up_at_s[replica.id] = self.clock()
            self.log.emit(ReplicaGivenUp(replica.id, aborted))

    def explains(self, endpoint: EndpointId) -> bool:
        """Return whether a call that was lost says nothing about its request.

        A process that crashes closes its connections. Calls that have to be aborted
        were at a host that answers nothing, or this router is cut off.
        """
        given_up_at_s = self.given_up_at_s.get(endpoint, float("-inf"))
        return self.links.is_cut or self.clock() < given_up_at_s + GIVEN_UP_S

    async def run(self) -> None:
        """Probe replicas and abort the calls of lost ones, until cancelled."""
        self.table.probing.clear()
        async with anyio.create_task_group() as group:
            while True:
                delay_s = self.table.compute_delay_s(self.clock())
                if self.table.lost:
                    delay_s = min(delay_s, ABORT_INTERVAL_S)
                with anyio.move_on_after(delay_s):
                    await self.wake.wait()
                self.wake = anyio.Event()
                self._update()
                for replica in self.table.take_due(self.clock()):
                    group.start_soon(self._probe, replica)

    def _update(self) -> None:
        """Drop the losses that have ended, and abort calls at the others."""
        if self.links.is_cut:
            self.table.clear()
            return
        now_s = self.clock()
        if now_s < self.updated_at_s + ABORT_INTERVAL_S:
            return
        self.updated_at_s = now_s
        for endpoint, given_up_at_s in list(self.given_up_at_s.items()):
            if now_s >= given_up_at_s + GIVEN_UP_S:
                del self.given_up_at_s[endpoint]
        for endpoint in self.table.expire(self._list_registered(), now_s):
            self.loads.get_or_create(endpoint).connection_failures = 0
            self._end_backoff(endpoint, now_s)
        for endpoint, lost in list(self.table.lost.items()):
            load = self.loads.loads.get(endpoint)
            if load is None:
                # It is no longer registered, and no call waits for it.
                self.table.drop(endpoint)
            elif load.connection_failures:
                self._abort_calls(lost.replica)
            else:
                # A response has reset the count.
                self.table.drop(endpoint)
                self.log.emit(ReplicaReached(endpoint, now_s - lost.lost_at_s))

    def _list_registered(self) -> dict[EndpointId, Replica]:
        return {x.id: x for x in self.links.list_replicas()}

    async def _probe(self, replica: Replica) -> None:
        lost = self.table.lost.get(replica.id)
        accepted = await self.links.probe(replica)
        now_s = self.clock()
        if self.links.is_cut:
            self.table.probing.discard(replica.id)
            return
        result, reporter = self.table.record_probe(replica, accepted, now_s)
        if not accepted:
            self.loads.record_unreachable(replica.id, now_s)
        if result is ProbeResult.LOST:
            self._begin_loss(replica, reporter)
        elif result is ProbeResult.STILL_LOST:
            self._schedule_probe(replica.id)
        elif result is ProbeResult.REACHED and lost is not None:
            self._end_backoff(replica.id, now_s)
            self.log.emit(ReplicaReached(replica.id, now_s - lost.lost_at_s))
        elif result is ProbeResult.ACCEPTED and reporter:
            self.log.emit(LossUnconfirmed(replica.id, reporter))
        self.wake.set()

    def _is_certain(self, now_s: float) -> bool:
        """Return whether the failures are surely not those of this router's links."""
        return not self.links.is_cut and not self.links.monitor.seems_cut(now_s)

    def must_report(self, now_s: float) -> bool:
        """Return whether there is a loss to report at once."""
        return self.table.must_report(now_s) and self._is_certain(now_s)

    def make(self, now_s: float) -> bytes:
        """Return the section's content; empty if there is nothing to report."""
        if not self._is_certain(now_s):
            return b""
        return encode_losses(self.table.make_report(now_s))

    def apply(self, sender: HostId, content: bytes, now_s: float) -> None:
        """Probe the replicas that another router has lost.

        Raises
        ------
        MessageError
            The content can't be read.
        """
        losses = decode_losses(content)
        if self.links.is_cut:
            return

        def has_calls(endpoint: EndpointId) -> bool:
            return self.loads.get_or_create(endpoint).outstanding > 0

        registered = self._list_registered()
        self.table.hear(sender, losses, registered, has_calls, now_s)
        self.wake.set()


def make_loss_detector(
    client: EndpointClient,
    loads: ReplicaLoadTable,
    links: CutDetector,
    log: Log,
    clock: Clock,
    rng: random.Random,
) -> LossDetector:
    """Return a detector that has lost no replica yet."""
    return LossDetector(client, loads, links, log, clock, LossTable(rng.uniform))
