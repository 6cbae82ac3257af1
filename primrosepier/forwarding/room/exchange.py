"""Prefill permits that a router asks for, and those that it grants to others."""

import contextlib
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field, replace

from ...clocks import Clock
from ...endpoint_limits import rank_granters
from ...ids import EndpointId, HostId
from ..calls import Call
from ..fleet import Replica
from ..peer_requests import PeerRequests, PendingRequest
from ..replica_choice import Choice
from .bounds import DeclaredBounds
from .granter import Demand, Grant, PermitName, PrefillGranter
from .messages import PrefillMessage, PrefillRelease, PrefillReply, PrefillRequest
from .rates import PrefillRates

__all__ = ["PrefillTurn", "ReplicaRoom"]

# Times to wait for a granter's reply before the request is sent again and given up,
# seconds: several round trips each.
REPLY_TIMEOUTS_S = (0.015, 0.015)
# Time for which a granter that did not reply is not asked, seconds.
SILENT_S = 1.0
MS = 0.001
# Bounds of the remaining time in a request, milliseconds.
MAX_DUE_MS = 10**6
# Largest number of tokens in a request.
MAX_TOKENS = 10**9

SendMessage = Callable[[HostId, PrefillMessage], bool]


def send_nowhere(host: HostId, message: PrefillMessage) -> bool:
    """Send nothing; used by a router without peers."""
    return False


def has_none() -> bool:
    """Return False; used where the other routers' reports are recent."""
    return False


def list_no_hosts() -> Collection[HostId]:
    """Return no router; used by a router without peers."""
    return ()


@dataclass(eq=False, slots=True)
class PrefillTurn:
    """A call that asks for, waits for or holds a prefill permit of one replica.

    Parameters
    ----------
    granter : HostId or None
        Router that grants the permits; None if it is silent, so that this router counts
        its own calls alone.
    pending : PendingRequest
        Replies of the granter.

    Attributes
    ----------
    granted_at_s : float or None
        Time at which the permit was granted, seconds; None while it is not held.
    is_open : bool
        Whether the granter may still count the call.
    """

    room: "ReplicaRoom"
    choice: Choice
    demand: Demand
    granter: HostId | None
    pending: PendingRequest[Grant]
    granted_at_s: float | None = None
    is_open: bool = True

    @property
    def endpoint(self) -> EndpointId:
        """Id of the replica."""
        return self.choice.replica.id

    async def ask(self, waits: bool) -> float:
        """Take the permit and return 0, or return the time until there is one, seconds.

        Parameters
        ----------
        waits : bool
            Whether the call keeps a place among the waiting ones if it is refused.
        """
        if self.granter not in (None, self.room.host):
            for timeout_s in REPLY_TIMEOUTS_S:
                if not self.room.send_request(self, waits):
                    break
                grant = await self.pending.wait(timeout_s)
                if grant is not None:
                    return self._apply(grant)
            self._give_up_granter()
        return self._apply(self.room.ask_itself(self, waits))

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the permit of a call in the queue; return whether it has come."""
        grant = await self.pending.wait(timeout_s)
        return grant is not None and self._apply(grant) <= 0

    def _give_up_granter(self) -> None:
        if self.granter is not None:
            self.room.record_silent(self.granter)
            self.room.send_release(self, None, False)
        self.granter = None

    def _apply(self, grant: Grant) -> float:
        replica = self.choice.replica
        self.room.rates.record(replica.service, replica.id, grant.tokens_per_s)
        if grant.wait_s <= 0:
            self.granted_at_s = self.room.clock()
        return grant.wait_s

    def record_begun(self) -> None:
        """Give the permit back, since the call's output begins."""
        if self.is_open and self.granted_at_s is not None:
            self.is_open = False
            prefill_s = self.room.clock() - self.granted_at_s
            self.room.send_release(self, prefill_s, False)

    def end(self, lacked_room: bool = False) -> None:
        """Give the permit or the place in the queue back, unless that is done.

        Parameters
        ----------
        lacked_room : bool
            Whether the replica rejected the call for lack of capacity.
        """
        if self.is_open:
            self.is_open = False
            self.room.send_release(self, None, lacked_room)


@dataclass(slots=True)
class ReplicaRoom:
    """Asks the granters of replicas for prefill permits, and grants those of others.

    Sends without waiting, so that a permit is given back also by a call that is
    cancelled.

    Parameters
    ----------
    bounds : DeclaredBounds
        Which services need permits.
    read_hosts : callable
        Returns the registered routers.
    send : callable
        Sends a message to a router; returns whether it is on its way.
    has_late_reports : callable
        Returns whether the other routers' reports are passed on by collectors, so that
        they are older than most prefills.

    Attributes
    ----------
    granter : PrefillGranter
        Permits of the replicas that this router is the granter of.
    own_calls : PrefillGranter
        Permits of this router's calls at replicas whose granter is silent.
    silent_until_s : dict of HostId to float
        Time until which a router that did not reply is not asked, seconds.
    unanswered : int
        Requests that had no reply.
    """

    host: HostId
    clock: Clock
    bounds: DeclaredBounds = field(default_factory=DeclaredBounds)
    read_hosts: Callable[[], Collection[HostId]] = list_no_hosts
    send: SendMessage = send_nowhere
    has_late_reports: Callable[[], bool] = has_none
    granter: PrefillGranter = field(default_factory=PrefillGranter)
    own_calls: PrefillGranter = field(
        default_factory=lambda: PrefillGranter(is_single=True)
    )
    rates: PrefillRates = field(default_factory=PrefillRates)
    requests: PeerRequests[Grant] = field(default_factory=PeerRequests)
    silent_until_s: dict[HostId, float] = field(default_factory=dict)
    unanswered: int = 0

    def find_short_tokens(self, replica: Replica) -> float | None:
        """Return the length up to which a prompt needs no permit, tokens.

        Returns None where prompts need none, or where reports are recent.
        """
        bounds = self.bounds.get(replica.service)
        if bounds is None or not self.has_late_reports():
            return None
        rate = self.rates.get(replica.service, replica.id)
        return bounds.compute_short_tokens(rate)

    def compute_drain_s(self, replica: Replica, tokens: float) -> float | None:
        """Return how long a replica takes for its queue, seconds; None if unknown.

        Parameters
        ----------
        tokens : float
            Prompt tokens that it has yet to compute.
        """
        if self.bounds.get(replica.service) is None:
            return None
        rate = self.rates.get(replica.service, replica.id)
        return tokens / rate if rate else 0.0

    def find_demand(self, call: Call, choice: Choice) -> Demand | None:
        """Return what a call asks of its replica; None if it needs no permit."""
        replica = choice.replica
        bounds = self.bounds.get(replica.service)
        if bounds is None:
            return None
        tokens, rate = choice.uncached_tokens, 0.0
        if tokens > 0:
            rate = self.rates.get(replica.service, replica.id)
        if tokens <= bounds.compute_short_tokens(rate):
            return None
        demand = Demand(tokens, bounds.budget_s, math.inf, call.urgency, rate)
        due_at_s = call.received_at_s + call.route.target_s
        latest_s = self.compute_latest_s(call, demand)
        due_at_s = min(latest_s, due_at_s - demand.compute_duration_s(0.0))
        if due_at_s < self.clock():
            # The target is missed, so that the deadline is what counts.
            due_at_s = latest_s
        return replace(demand, due_at_s=due_at_s)

    def compute_latest_s(self, call: Call, demand: Demand) -> float:
        """Return the time at which a call has to begin to make its deadline."""
        return call.deadline_s - demand.compute_duration_s(0.0)

    @contextlib.contextmanager
    def open_turn(self, choice: Choice, demand: Demand) -> Iterator[PrefillTurn]:
        """Provide a turn, given back unless its permit is held at the end."""
        granter = self.find_granter(choice.replica.id)
        with self.requests.open() as pending:
            turn = PrefillTurn(self, choice, demand, granter, pending)
            is_kept = False
            try:
                yield turn
                is_kept = turn.granted_at_s is not None
            finally:
                if not is_kept:
                    turn.end()

    def find_granter(self, endpoint: EndpointId) -> HostId | None:
        """Return the router to ask; None if it did not reply recently."""
        host = rank_granters(endpoint, {*self.read_hosts(), self.host})[0]
        if self.silent_until_s.get(host, -math.inf) > self.clock():
            return None
        return host

    def preview_grant(self, endpoint: EndpointId, demand: Demand) -> Grant | None:
        """Return the reply to a request that is not made; None if another decides."""
        host = self.find_granter(endpoint)
        if host not in (None, self.host):
            return None
        granter = self.own_calls if host is None else self.granter
        return granter.preview(endpoint, demand, self.clock())

    def record_silent(self, host: HostId) -> None:
        """Record that a granter did not reply."""
        self.unanswered += 1
        self.silent_until_s[host] = self.clock() + SILENT_S

    def send_request(self, turn: PrefillTurn, waits: bool) -> bool:
        """Send a request to a granter; return whether it is on its way."""
        if turn.granter is None:
            return False
        demand = turn.demand
        due_ms = round((demand.due_at_s - self.clock()) / MS)
        request = PrefillRequest(
            self.host,
            turn.pending.number,
            turn.endpoint,
            min(MAX_TOKENS, demand.tokens),
            min(MAX_DUE_MS, round(demand.budget_s / MS)),
            max(-MAX_DUE_MS, min(MAX_DUE_MS, due_ms)),
            max(0, demand.urgency),
            waits,
            demand.tokens_per_s,
        )
        return self.send(turn.granter, request)

    def ask_itself(self, turn: PrefillTurn, waits: bool) -> Grant:
        """Return the grant of this router itself."""
        granter = self.own_calls if turn.granter is None else self.granter
        name = PermitName(self.host, turn.pending.number)
        grant, granted = granter.request(
            turn.endpoint, name, turn.demand, waits, self.clock()
        )
        self._notify(turn.endpoint, granted)
        return grant

    def send_release(
        self, turn: PrefillTurn, prefill_s: float | None, lacked_room: bool
    ) -> None:
        """Tell the granter that a permit or a wait has ended."""
        endpoint, number = turn.endpoint, turn.pending.number
        if turn.granter in (None, self.host):
            granter = self.own_calls if turn.granter is None else self.granter
            name = PermitName(self.host, number)
            granted = granter.release(
                endpoint, name, prefill_s, lacked_room, self.clock()
            )
            self._notify(endpoint, granted)
            return
        prefill_ms = (
            None if prefill_s is None else min(MAX_DUE_MS, round(prefill_s / MS))
        )
        release = PrefillRelease(self.host, number, endpoint, prefill_ms, lacked_room)
        self.send(turn.granter, release)

    def _notify(self, endpoint: EndpointId, granted: Iterable[PermitName]) -> None:
        """Tell waiting calls that they have their permits."""
        rate = self.granter.get_rate(endpoint)
        for name in granted:
            if name.holder == self.host:
                self._record_reply(name.number, Grant(0.0, rate))
            else:
                self.send(name.holder, PrefillReply(name.number, 0.0, rate))

    def _record_reply(self, number: int, grant: Grant) -> None:
        pending = self.requests.pending.get(number)
        # Datagrams may overtake each other: a permit that has come stays.
        if pending is None or pending.reply is None or pending.reply.wait_s > 0:
            self.requests.apply(number, grant)

    async def receive(self, message: PrefillMessage) -> None:
        """Grant or refuse a permit, apply a reply, or record the end of a permit."""
        now_s = self.clock()
        if isinstance(message, PrefillReply):
            grant = Grant(message.wait_s, message.tokens_per_s)
            self._record_reply(message.number, grant)
            return
        name = PermitName(message.sender, message.number)
        if isinstance(message, PrefillRelease):
            ms = message.prefill_ms
            prefill_s = None if ms is None else ms * MS
            lacked_room = message.lacked_room
            granted = self.granter.release(
                message.endpoint, name, prefill_s, lacked_room, now_s
            )
            self._notify(message.endpoint, granted)
            return
        demand = Demand(
            message.tokens,
            message.budget_ms * MS,
            now_s + message.due_ms * MS,
            message.urgency,
            message.tokens_per_s,
        )
        grant, granted = self.granter.request(
            message.endpoint, name, demand, message.waits, now_s
        )
        self.send(message.sender, PrefillReply(message.number, *grant))
        self._notify(message.endpoint, granted)

    def retain(self, endpoints: set[EndpointId]) -> None:
        """Forget the replicas and routers that are no longer registered."""
        hosts = {*self.read_hosts(), self.host}
        self.granter.retain(endpoints, hosts)
        self.own_calls.retain(endpoints, hosts)
        self.rates.retain(endpoints)
        now_s = self.clock()
        self.silent_until_s = {
            host: until_s
            for host, until_s in self.silent_until_s.items()
            if until_s > now_s
        }
