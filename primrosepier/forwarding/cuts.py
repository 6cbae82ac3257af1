"""Detects that this router is cut off from the replicas while other routers are not.

When many replicas are lost at once, the other routers are asked whether they reach
replicas. If one does, this router counts as cut off: its calls are passed on, and it
probes replicas until they are reached again.
"""

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Annotated

import anyio
import msgspec

from ..clocks import Clock
from ..ids import EndpointId, HostId
from ..links import LinkMonitor
from .fleet import Replica
from .peer_requests import PeerRequests

__all__ = ["CutDetector", "LinksMessage", "LinksReply", "LinksRequest"]

# Time between two rounds of questions and probes, seconds.
CHECK_INTERVAL_S = 0.25
# Time after which routers that had to probe the replicas are asked again, seconds.
REPEAT_INTERVAL_S = 0.05
# Routers that are asked in a round, and how many of them have not helped so far.
MAX_ASKED = 8
MIN_NEW = 2
# Times to wait for a reply before a question is repeated or, after the last, given up,
# seconds: a busy router takes longer than the round trip.
REPLY_TIMEOUTS_S = (0.05, 0.1, 0.2)
# Time for which a router counts as a helper after it last said that it reaches
# replicas, seconds: several rounds, as a reply may be lost or late.
HELPER_TTL_S = 1.5
# Time within which a helper must have reached replicas, seconds: longer than a round,
# as a router with few calls reaches them only when it is asked.
RENEWAL_S = 1.0
# Longest time for which others are asked whether they have reached replicas, seconds:
# what they reached before that may be lost by now.
MAX_LOST_S = 2.0
# Lost replicas that a question names.
MAX_NAMED = 16
MS = 0.001
# Replicas that are probed in a round; the cut has ended when most are reached.
PROBED = 3


DurationMs = Annotated[int, msgspec.Meta(ge=0, le=int(MAX_LOST_S / MS))]


class LinksRequest(msgspec.Struct, frozen=True, tag="links"):
    """Question whether a router reaches the replicas that the sender has lost.

    Parameters
    ----------
    lost : tuple of EndpointId
    lost_ms : int
        Time since the last of them was lost, milliseconds.
    """

    sender: HostId
    number: int
    lost: tuple[EndpointId, ...]
    lost_ms: DurationMs


class LinksReply(msgspec.Struct, frozen=True, tag="links_reply", omit_defaults=True):
    """Whether the sender has reached most of these replicas since then.

    Parameters
    ----------
    is_cut : bool
        Whether the sender is cut off itself; otherwise it may only not know.
    """

    number: int
    has_reached: bool
    is_cut: bool = False


LinksMessage = LinksRequest | LinksReply
SendMessage = Callable[[HostId, LinksMessage], Awaitable[bool]]
ProbeReplica = Callable[[Replica], Awaitable[bool]]
NotifyCut = Callable[[bool, int, Sequence[HostId]], None]
NotifyLost = Callable[[HostId, str, float], None]


async def send_nowhere(host: HostId, message: LinksMessage) -> bool:
    """Send nothing; used by a router without peers."""
    return False


async def probe_nothing(replica: Replica) -> bool:
    """Return False; used where no replica is probed."""
    return False


def list_no_replicas() -> Sequence[Replica]:
    """Return no replicas."""
    return ()


def ignore_cut(is_cut: bool, lost: int, helpers: Sequence[HostId]) -> None:
    """Do nothing; used where no one follows the state of the links."""


def ignore_lost_helper(host: HostId, reason: str, age_s: float) -> None:
    """Do nothing; used where no one follows the helpers."""


@dataclass(slots=True)
class CutDetector:
    """Decides whether this router is cut off from the replicas.

    Parameters
    ----------
    host : HostId
    rng : random.Random
    list_replicas : callable
        Returns the replicas of all services.
    probe : callable
        Returns whether a replica accepts a connection.
    ask : callable
        Returns whether a replica responds, at the price of a request.
    notify : callable
        Called when a cut begins or ends, with the number of lost replicas and the
        routers that reach replicas.
    notify_lost : callable
        Called with a router that no longer helps, the reason, and the time since it
        last said that it reaches replicas, seconds.

    Attributes
    ----------
    hosts : frozenset of HostId
        The other registered routers.
    helpers : dict of HostId to float
        When routers that reach replicas last said so, seconds.
    named : frozenset of EndpointId
        Replicas that another router has lost and this one is to probe.
    wake : anyio.Event
        Set when the links are to be checked.
    """

    host: HostId
    clock: Clock
    rng: random.Random = field(default_factory=random.Random)
    list_replicas: Callable[[], Sequence[Replica]] = list_no_replicas
    probe: ProbeReplica = probe_nothing
    ask: ProbeReplica = probe_nothing
    send: SendMessage = send_nowhere
    notify: NotifyCut = ignore_cut
    notify_lost: NotifyLost = ignore_lost_helper
    monitor: LinkMonitor = field(default_factory=LinkMonitor)
    requests: PeerRequests[LinksReply] = field(default_factory=PeerRequests)
    hosts: frozenset[HostId] = frozenset()
    is_cut: bool = False
    helpers: dict[HostId, float] = field(default_factory=dict)
    named: frozenset[EndpointId] = frozenset()
    wake: anyio.Event = field(default_factory=anyio.Event)

    def record_hosts(self, hosts: Iterable[HostId]) -> None:
        """Record which routers are registered."""
        self.hosts = frozenset(hosts) - {self.host}

    def record_reached(self, endpoint: EndpointId, is_new_connection: bool) -> None:
        """Record a response of a replica."""
        self.monitor.record_reached(endpoint, self.clock(), is_new_connection)

    def record_failed(self, endpoint: EndpointId) -> None:
        """Record that a replica could not be reached."""
        self.monitor.record_failed(endpoint, self.clock())
        self.wake.set()

    async def run(self) -> None:
        """Check the links whenever a replica is lost, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            is_reached = await self._check()
            while self.is_cut or (not is_reached and self._seems_cut()):
                await anyio.sleep(CHECK_INTERVAL_S)
                is_reached = await self._check()
            await anyio.sleep(CHECK_INTERVAL_S)

    def _seems_cut(self) -> bool:
        return self.monitor.seems_cut(self.clock())

    async def _check(self) -> bool:
        """Probe replicas, ask other routers, and begin or end a cut by both.

        Returns
        -------
        bool
            Whether most of the probed replicas were reached.
        """
        is_reached = await self._probe()
        if is_reached and self.is_cut:
            self._end()
        elif not is_reached and self._seems_cut():
            await self._ask_routers()
            if not self.helpers:
                await anyio.sleep(REPEAT_INTERVAL_S)
                await self._ask_routers()
        return is_reached

    async def _ask_routers(self) -> None:
        """Find the routers that reach replicas, and give up those that no longer do."""
        async with anyio.create_task_group() as group:
            for host in self._choose_asked():
                group.start_soon(self._ask, host)
        now_s = self.clock()
        for host, confirmed_at_s in list(self.helpers.items()):
            if host not in self.hosts:
                self._give_up(host, "it is no longer registered")
            elif now_s >= confirmed_at_s + HELPER_TTL_S:
                self._give_up(host, "it has not said that it reaches replicas")

    def _choose_asked(self) -> list[HostId]:
        """Return helpers, and others that may help."""
        helpers = [host for host in self.helpers if host in self.hosts]
        helpers = helpers[: MAX_ASKED - MIN_NEW]
        others = sorted(self.hosts - set(helpers))
        count = min(MAX_ASKED - len(helpers), len(others))
        return helpers + self.rng.sample(others, count)

    def _give_up(self, host: HostId, reason: str) -> None:
        self.notify_lost(host, reason, self.clock() - self.helpers.pop(host))

    async def _ask(self, host: HostId) -> None:
        now_s = self.clock()
        lost = tuple(sorted(self.monitor.list_lost(now_s))[:MAX_NAMED])
        lost_s = self.monitor.compute_lost_s(now_s)
        if self.is_cut:
            lost_s = max(lost_s, RENEWAL_S)
        lost_ms = int(min(MAX_LOST_S, lost_s) / MS)
        reply = await self.requests.ask(
            lambda number: self.send(
                host, LinksRequest(self.host, number, lost, lost_ms)
            ),
            REPLY_TIMEOUTS_S,
        )
        if reply is None:
            return
        if reply.has_reached:
            self.helpers[host] = self.clock()
            if not self.is_cut:
                self._begin()
        elif reply.is_cut and host in self.helpers:
            self._give_up(host, "it is cut off itself")

    async def _probe(self) -> bool:
        """Return whether most of some replicas are reached.

        They have to respond if there seems to be a cut, here or at a router that asked.
        """
        replicas = self.list_replicas()
        named, self.named = self.named, frozenset()
        replicas = [x for x in replicas if x.id in named] or replicas
        must_ask = self.is_cut or bool(named) or self._seems_cut()
        probed = self.rng.sample(replicas, min(PROBED, len(replicas)))
        reached = []

        async def probe(replica: Replica) -> None:
            if not await (self.ask if must_ask else self.probe)(replica):
                self.monitor.record_failed(replica.id, self.clock())
                return
            reached.append(replica)
            if must_ask:
                self.monitor.record_reached(replica.id, self.clock(), True)

        async with anyio.create_task_group() as group:
            for replica in probed:
                group.start_soon(probe, replica)
        return 2 * len(reached) > len(probed)

    def _begin(self) -> None:
        self.is_cut = True
        lost = len(self.monitor.list_lost(self.clock()))
        self.notify(True, lost, tuple(self.helpers))

    def _end(self) -> None:
        self.is_cut = False
        self.helpers.clear()
        self.monitor.forget_losses()
        self.notify(False, 0, ())

    async def receive(self, message: LinksMessage) -> None:
        """Answer another router's question, or apply its reply."""
        if isinstance(message, LinksReply):
            self.requests.apply(message.number, message)
            return
        since_s = self.clock() - message.lost_ms * MS
        has_reached = not self.is_cut and self.monitor.reaches(message.lost, since_s)
        if not has_reached:
            # A router with few calls may not know; it does when it is asked again.
            self.named = frozenset(message.lost)
            self.wake.set()
        reply = LinksReply(message.number, has_reached, self.is_cut)
        await self.send(message.sender, reply)
