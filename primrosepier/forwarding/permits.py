"""Permits for requests to endpoints that limit their rate, exchanged by datagram."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated

import anyio
import msgspec

from ..clocks import Clock
from ..endpoint_limits import (
    MAX_WAIT_S,
    EndpointLimits,
    Rank,
    SharedLimit,
    rank_granters,
)
from ..endpoint_windows import Brittleness, EndpointWindows
from ..ids import EndpointId, HostId
from .peer_requests import REPLY_TIMEOUTS_S, PeerRequests

__all__ = [
    "PermitExchange",
    "PermitMessage",
    "PermitRelease",
    "PermitReply",
    "PermitRequest",
    "WindowRequest",
]

# Times to wait for a reply about a brittle endpoint before the request is sent again or
# given up, seconds: shorter than for others, since its permits return at once.
BRITTLE_REPLY_TIMEOUTS_S = (0.01, 0.02, 0.03)
# Time for which a reply is kept, in case that the request comes again.
REPLY_TTL_S = 1.0
# Time before a permit is asked for again after a request without a reply, seconds.
RETRY_WAIT_S = 0.1
# Consecutive requests without a reply after which a router counts as unresponsive, each
# sent after the one before was given up: a short pause fails many at once.
MAX_UNANSWERED = 3
# Time for which an unresponsive router is not asked again, seconds.
UNRESPONSIVE_S = 1.0
# Time for which a router that is no longer registered keeps its rank, so that the
# others do not all become granters when the store loses their entries.
RANK_RETENTION_S = 10.0
# Age of a limit that is not known, so that it replaces none, milliseconds.
UNKNOWN_AGE_MS = 10**9

CallCount = Annotated[int, msgspec.Meta(ge=0)]
WaitTime = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WAIT_S)]


class WindowRequest(msgspec.Struct, frozen=True, array_like=True):
    """What a request for a permit tells of a brittle endpoint.

    Parameters
    ----------
    brittleness : Brittleness
        What the endpoint named last, as far as the sender knows.
    held : int
        The sender's calls at the endpoint or on their way, with this one.
    """

    brittleness: Brittleness
    held: CallCount


class PermitRequest(msgspec.Struct, frozen=True, tag="request", omit_defaults=True):
    """Request for a permit.

    Parameters
    ----------
    rank : int
        The receiver's rank among the granters of the endpoint.
    limit : SharedLimit
        What the sender knows of the endpoint's limit.
    window : WindowRequest or None
        None if the endpoint is not brittle.
    """

    sender: HostId
    number: int
    endpoint: EndpointId
    rank: Rank
    limit: SharedLimit
    window: WindowRequest | None = None


class PermitReply(msgspec.Struct, frozen=True, tag="reply"):
    """Reply to a request for a permit.

    Parameters
    ----------
    wait_s : float
        0 if the permit is granted, otherwise the time before the next request.
    """

    number: int
    wait_s: WaitTime


class PermitRelease(msgspec.Struct, frozen=True, tag="release"):
    """Notice that a call at a brittle endpoint has ended.

    Parameters
    ----------
    held : int
        The sender's calls at the endpoint or on their way.
    was_refused : bool
        Whether the endpoint turned the call away for want of room.
    """

    sender: HostId
    endpoint: EndpointId
    held: CallCount
    was_refused: bool


PermitMessage = PermitRequest | PermitReply | PermitRelease
CountCalls = Callable[[EndpointId], int]
SendMessage = Callable[[HostId, PermitMessage], Awaitable[bool]]


def count_none(endpoint: EndpointId) -> int:
    """Return 0; used by a router without calls in progress."""
    return 0


async def send_nowhere(host: HostId, message: PermitMessage) -> bool:
    """Send nothing; used by a router without peers."""
    return False


@dataclass(slots=True)
class PermitExchange:
    """Asks the granters of an endpoint for permits, and grants those of others.

    Parameters
    ----------
    host : HostId
    limits : EndpointLimits
    send : callable
        Sends a message to a router; returns whether its address is known.
    windows : EndpointWindows
    count_calls : callable
        Returns this router's calls in progress at an endpoint.

    Attributes
    ----------
    hosts : frozenset of HostId
        Registered routers.
    departed : dict of HostId to float
        Time at which the entry of a router disappeared, seconds.
    requests : PeerRequests
        Requests that wait for a reply; replies are waits in seconds.
    unanswered : dict of HostId to (int, float)
        Consecutive requests without a reply, and the time of the last, seconds.
    replies : dict of (HostId, int) to (float, float)
        Recent replies by the request's sender and number, with their time, seconds.
    """

    host: HostId
    limits: EndpointLimits
    clock: Clock
    send: SendMessage = send_nowhere
    windows: EndpointWindows = field(default_factory=EndpointWindows)
    count_calls: CountCalls = count_none
    hosts: frozenset[HostId] = frozenset()
    departed: dict[HostId, float] = field(default_factory=dict)
    unanswered: dict[HostId, tuple[int, float]] = field(default_factory=dict)
    requests: PeerRequests[float] = field(default_factory=PeerRequests)
    replies: dict[tuple[HostId, int], tuple[float, float]] = field(default_factory=dict)

    def record_hosts(self, hosts: Iterable[HostId]) -> None:
        """Record which routers are registered."""
        now_s = self.clock()
        current = frozenset(hosts)
        for host in self.hosts - current:
            self.departed[host] = now_s
        self.departed = {
            host: departed_at_s
            for host, departed_at_s in self.departed.items()
            if host not in current and now_s - departed_at_s < RANK_RETENTION_S
        }
        self.hosts = current
        self.windows.retain_holders({*current, *self.departed, self.host})

    def rank_granters_now(self, endpoint: EndpointId, now_s: float) -> list[HostId]:
        """Return the routers that grant permits for an endpoint, the first one first.

        Some of them may no longer be registered.
        """
        departed = {
            host
            for host, departed_at_s in self.departed.items()
            if now_s - departed_at_s < RANK_RETENTION_S
        }
        return rank_granters(endpoint, self.hosts | departed)

    async def acquire(self, endpoint: EndpointId) -> float:
        """Take a permit and return 0, or return the time until there is one, seconds.

        Endpoints that neither name a limit nor are brittle need no permit. May be
        cancelled: a call that asks no longer does not keep its place.
        """
        is_brittle = self.windows.get_brittleness(endpoint) is not None
        if self.limits.get_rate(endpoint) is None and not is_brittle:
            return 0.0
        wait_s = self.compute_wait_s(endpoint, self.clock())
        if wait_s > 0:
            return wait_s
        reply: float | None = None
        try:
            with self.windows.count_asking(endpoint) as asking:
                held = self.count_calls(endpoint) + asking
                reply = await self._ask_granters(endpoint, held)
        finally:
            # The permit may have been granted and the reply lost.
            if reply is None:
                with anyio.CancelScope(shield=True):
                    await self.release(endpoint, was_refused=False)
        wait_s = RETRY_WAIT_S if reply is None else reply
        if wait_s > 0:
            self.limits.record_refusal(endpoint, wait_s, self.clock())
            self.windows.record_refusal(endpoint, wait_s, self.clock())
        return wait_s

    def compute_wait_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the time before a permit may be asked for again, seconds."""
        return max(
            self.limits.compute_wait_s(endpoint, now_s),
            self.windows.compute_wait_s(endpoint, now_s),
        )

    async def release(self, endpoint: EndpointId, was_refused: bool) -> None:
        """Tell the granters of a brittle endpoint that a call there has ended."""
        if self.windows.get_brittleness(endpoint) is None:
            return
        now_s = self.clock()
        held = self.count_calls(endpoint) + self.windows.asking.get(endpoint, 0)
        for host in self.rank_granters_now(endpoint, now_s):
            if host == self.host:
                self.windows.record_end(endpoint, host, held, was_refused, now_s)
            elif host in self.hosts:
                release = PermitRelease(self.host, endpoint, held, was_refused)
                await self.send(host, release)

    def _make_window_request(
        self, endpoint: EndpointId, held: int
    ) -> WindowRequest | None:
        brittleness = self.windows.get_brittleness(endpoint)
        return None if brittleness is None else WindowRequest(brittleness, held)

    def _grant(
        self,
        endpoint: EndpointId,
        rank: int,
        holder: HostId,
        request: WindowRequest | None,
    ) -> float:
        """Grant a permit and return 0, or return the time until there is one."""
        now_s = self.clock()
        if request is not None:
            wait_s = self.windows.grant(
                endpoint,
                request.brittleness,
                holder,
                request.held,
                len(self.hosts),
                now_s,
            )
            if wait_s > 0:
                return wait_s
        wait_s = self.limits.grant(endpoint, rank, now_s)
        if wait_s > 0 and request is not None:
            self.windows.record_end(endpoint, holder, request.held - 1, False, now_s)
        return wait_s

    async def _ask_granters(self, endpoint: EndpointId, held: int) -> float | None:
        """Return the wait that the first responsive granter replies, seconds.

        Returns None if it does not reply in time, or none is responsive.
        """
        for rank, host in enumerate(self.rank_granters_now(endpoint, self.clock())):
            if host == self.host:
                request = self._make_window_request(endpoint, held)
                return self._grant(endpoint, rank, host, request)
            if host not in self.hosts or self._is_unresponsive(host):
                continue
            asked_at_s = self.clock()
            self._begin_trial(host, asked_at_s)
            wait_s = await self._ask(host, rank, endpoint, held)
            if wait_s is None:
                self._record_unanswered(host, asked_at_s)
            else:
                self.unanswered.pop(host, None)
            return wait_s
        return None

    def _begin_trial(self, host: HostId, now_s: float) -> None:
        """Let one request alone find out whether a router has become responsive."""
        count, _ = self.unanswered.get(host, (0, 0.0))
        if count >= MAX_UNANSWERED:
            self.unanswered[host] = count, now_s

    def _record_unanswered(self, host: HostId, asked_at_s: float) -> None:
        count, given_up_at_s = self.unanswered.get(host, (0, float("-inf")))
        if asked_at_s >= given_up_at_s:
            self.unanswered[host] = count + 1, self.clock()

    def _is_unresponsive(self, host: HostId) -> bool:
        count, asked_at_s = self.unanswered.get(host, (0, 0.0))
        return count >= MAX_UNANSWERED and self.clock() < asked_at_s + UNRESPONSIVE_S

    async def _ask(
        self, host: HostId, rank: int, endpoint: EndpointId, held: int
    ) -> float | None:
        limit = self.limits.share(endpoint, self.clock())
        window = self._make_window_request(endpoint, held)
        if limit is None:
            if window is None:
                return 0.0
            limit = SharedLimit(None, UNKNOWN_AGE_MS)
        return await self.requests.ask(
            lambda number: self.send(
                host, PermitRequest(self.host, number, endpoint, rank, limit, window)
            ),
            REPLY_TIMEOUTS_S if window is None else BRITTLE_REPLY_TIMEOUTS_S,
        )

    def _grant_once(self, request: PermitRequest) -> float:
        """Return the wait before a permit; the same if the request comes again."""
        now_s = self.clock()
        for name in list(self.replies):
            if self.replies[name][1] + REPLY_TTL_S > now_s:
                break
            del self.replies[name]
        name = request.sender, request.number
        if name not in self.replies:
            self.limits.merge({request.endpoint: request.limit}, now_s)
            wait_s = self._grant(
                request.endpoint, request.rank, request.sender, request.window
            )
            self.replies[name] = wait_s, now_s
        return self.replies[name][0]

    async def receive(self, message: PermitMessage) -> None:
        """Grant or refuse a permit, or apply a reply."""
        if isinstance(message, PermitReply):
            self.requests.apply(message.number, message.wait_s)
            return
        if isinstance(message, PermitRelease):
            self.windows.record_end(
                message.endpoint,
                message.sender,
                message.held,
                message.was_refused,
                self.clock(),
            )
            return
        wait_s = self._grant_once(message)
        await self.send(message.sender, PermitReply(message.number, wait_s))
