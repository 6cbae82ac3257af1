"""Choice of a replica for which a call has all permits that it needs."""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from ..clocks import Clock
from ..ids import EndpointId
from ..logs import Log
from ..outcomes import NotRun, Step
from ..rest_periods import spread_return
from .attempts import RETRY_AFTER_S, Delivery
from .calls import Call
from .candidates import Candidates
from .fleet import Replica
from .notices import ReplicaNotices
from .records import PermitRefused
from .replica_choice import AvoidedReplicas, Choice, ReplicaChooser, make_call_scope
from .room.division import ReplicaDivision
from .room.exchange import PrefillTurn, ReplicaRoom
from .room.granter import Demand
from .room.records import PrefillRejected, PrefillWaited

__all__ = ["ListCandidates", "PermittedChoice", "PermittedChooser"]

# Time for which one call may ask for permits of brittle replicas, over all attempts,
# seconds: a call that gets none is refused soon, even if datagrams are lost.
MAX_ASKING_S = 0.08
# Replicas whose granters a call with a long prompt asks before it waits.
MAX_ASKED = 3
# Interval at which a waiting call looks for a replica that has cached its prompt since,
# seconds: about as long as the prefill of a long prompt, as each look at all replicas
# takes half a millisecond. It repeats its request no sooner, since the granter sends
# the permit when it is the call's turn.
RECHECK_INTERVAL_S = 0.25
# Longest time before a waiting call repeats its request, seconds: a granter forgets
# those that it does not hear of.
REPEAT_INTERVAL_S = 0.4
# Longest time for which a replica that rejected a call gets none, seconds: the reports
# of what it has yet to compute may be out of date.
MAX_DRAIN_S = 0.8
# Replicas that may reject a call for lack of capacity before it is refused. The second
# one is chosen without those that this router knows to be full.
MAX_REJECTIONS = 2
# Time over which calls that wait for a full replica are spread, seconds.
RETURN_SPREAD_S = 0.05
ROOM_REASON = "no replica has room for the prompt before the call's deadline"
FULL_REASON = "all replicas have rejected calls for lack of capacity"

ListCandidates = Callable[[set[EndpointId], float], Candidates]


@dataclass(frozen=True, slots=True)
class PermittedChoice:
    """A replica that a call may be sent to now.

    Parameters
    ----------
    candidates : int
        Replicas among which it was chosen.
    prefill : PrefillTurn or None
        The permit of a long prompt, to be given back; None for others.
    """

    choice: Choice
    candidates: int
    prefill: PrefillTurn | None = None


@dataclass(frozen=True, slots=True)
class _RefusedPrefill:
    """A replica that has no room for a long prompt yet."""

    choice: Choice
    demand: Demand
    turn_at_s: float


@dataclass(slots=True)
class PermittedChooser:
    """Chooses replicas, asks for the permits that they require, and waits for room.

    Parameters
    ----------
    room : ReplicaRoom
        Permits for long prompts.
    division : ReplicaDivision
        Replicas that short and long prompts may use.

    Attributes
    ----------
    full_until_s : dict of EndpointId to float
        Time until which a replica that rejected a call for lack of capacity gets no
        other, seconds.
    """

    chooser: ReplicaChooser
    notices: ReplicaNotices
    room: ReplicaRoom
    division: ReplicaDivision
    log: Log
    clock: Clock
    rng: random.Random
    full_until_s: dict[EndpointId, float] = field(default_factory=dict)

    async def choose(
        self,
        call: Call,
        tried: set[EndpointId],
        delivery: Delivery,
        list_candidates: ListCandidates,
    ) -> PermittedChoice | None:
        """Choose a replica that takes calls now; return None if there is none.

        Each replica is asked once, since the first may have room again before the last
        has refused.
        """
        asked: set[EndpointId] = set()
        refused: list[_RefusedPrefill] = []
        delivery.refusal = None
        is_counted = bool(tried)
        while True:
            chosen = None
            if len(refused) < MAX_ASKED:
                chosen = self._choose(call, tried | asked, list_candidates)
            if chosen is not None and not is_counted:
                is_counted = True
                self._count_demand(call, chosen.choice)
            if chosen is not None and self.is_full(chosen.choice.replica.id):
                if refused:
                    chosen = None
                elif not await self._wait_until_ready(
                    call, tried | asked, delivery, list_candidates
                ):
                    return None
                else:
                    continue
            if chosen is not None:
                asked.add(chosen.choice.replica.id)
                demand = self.room.find_demand(call, chosen.choice)
                if demand is not None:
                    chosen = await self._acquire_room(chosen, demand, refused)
            elif refused:
                chosen = await self._wait_for_room(
                    call, tried, delivery, refused, list_candidates
                )
                refused = []
                if chosen is None and delivery.refusal is not None:
                    return None
                if chosen is None:
                    asked.clear()
                else:
                    asked.add(chosen.choice.replica.id)
            else:
                return None
            if chosen is not None and await self._may_send(call, chosen, delivery):
                return chosen

    def _choose(
        self, call: Call, excluded: set[EndpointId], list_candidates: ListCandidates
    ) -> PermittedChoice | None:
        now_s = self.clock()
        replicas, avoided = list_candidates(excluded, now_s)
        is_long = self.is_long(call, replicas)
        if is_long is not None:
            replicas = self.division.select(is_long, replicas, now_s)
        scope = make_call_scope(call)
        choice = self.chooser.choose(call, scope, replicas, avoided, now_s)
        return None if choice is None else PermittedChoice(choice, len(replicas))

    def is_long(self, call: Call, replicas: Sequence[Replica]) -> bool | None:
        """Return whether a call has a long prompt; None where that does not matter."""
        if not replicas or not call.parts:
            return None
        short_tokens = self.room.find_short_tokens(replicas[0])
        return None if short_tokens is None else call.prompt_tokens > short_tokens

    def _count_demand(self, call: Call, choice: Choice) -> None:
        is_long = self.is_long(call, [choice.replica])
        if is_long is not None:
            service, tokens = choice.replica.service, choice.uncached_tokens
            self.division.demand.add(service, tokens, is_long, self.clock())

    def is_full(self, endpoint: EndpointId) -> bool:
        """Return whether a replica has just rejected a call for lack of capacity."""
        until_s = self.full_until_s.get(endpoint, -math.inf)
        return until_s > self.clock()

    async def _wait_until_ready(
        self,
        call: Call,
        excluded: set[EndpointId],
        delivery: Delivery,
        list_candidates: ListCandidates,
    ) -> bool:
        """Wait until a full replica may take calls; return False if that is too late.

        The chooser chooses a full replica only if there is no other.
        """
        candidates = list_candidates(excluded, self.clock())
        wait_s, is_late = self.compute_full_wait_s(call, candidates)
        if is_late:
            after_s = spread_return(wait_s, self.rng)
            delivery.refusal = NotRun(Step.PLACE, "-", FULL_REASON, after_s)
            return False
        await anyio.sleep(wait_s + self.rng.uniform(0.0, RETURN_SPREAD_S))
        return True

    def compute_full_wait_s(
        self, call: Call, candidates: Candidates
    ) -> tuple[float, bool]:
        """Return the time until a full replica is ready, and whether that is too late.

        The time is in seconds.
        """
        replicas, avoided = candidates
        healthy = [x for x in replicas if x.id not in avoided.ejected]
        wait_s = self._compute_ready_s(healthy or replicas)
        return wait_s, self.clock() + wait_s + RETURN_SPREAD_S >= call.deadline_s

    def _compute_ready_s(self, replicas: Sequence[Replica]) -> float:
        """Return the time until a replica may take calls again, seconds."""
        ready_at_s = min(
            (self.chooser.loads.read(x.id).avoid_until_s for x in replicas),
            default=-math.inf,
        )
        return max(0.0, ready_at_s - self.clock())

    def record_rejection(
        self, replica: Replica, delivery: Delivery, now_s: float
    ) -> None:
        """Avoid a replica that rejected a call until its queue is drained.

        Does nothing for services without an engine, and for brittle replicas, whose
        permits count the calls that they have.
        """
        loads = self.chooser.loads
        tokens = loads.count_pending_tokens(replica.id, now_s)
        drain_s = self.room.compute_drain_s(replica, tokens)
        windows = self.notices.permits.windows
        if drain_s is None or windows.get_brittleness(replica.id) is not None:
            return
        delivery.rejections += 1
        load = loads.get_or_create(replica.id)
        until_s = now_s + min(MAX_DRAIN_S, drain_s)
        load.avoid_until_s = max(load.avoid_until_s, until_s)
        self.full_until_s = {
            endpoint: full_until_s
            for endpoint, full_until_s in self.full_until_s.items()
            if full_until_s > now_s
        }
        self.full_until_s[replica.id] = load.avoid_until_s

    def may_retry_rejected(self, delivery: Delivery) -> bool:
        """Return whether a call that replicas rejected may go to another one."""
        return delivery.rejections < MAX_REJECTIONS

    def compute_return_s(self, replicas: Sequence[Replica], least_s: float) -> float:
        """Return when a caller whose call was rejected may return, seconds."""
        wait_s = max(least_s, self._compute_ready_s(replicas))
        return spread_return(wait_s, self.rng)

    async def _may_send(
        self, call: Call, chosen: PermittedChoice, delivery: Delivery
    ) -> bool:
        """Take the permits that a replica requires itself; return whether it did."""
        endpoint, permits = chosen.choice.replica.id, self.notices.permits
        may_send = False
        try:
            if permits.windows.get_brittleness(endpoint) is None:
                wait_s = await permits.acquire(endpoint)
            else:
                wait_s = await self._acquire_soon(endpoint, delivery)
            if wait_s > 0:
                rate_per_s = permits.limits.get_rate(endpoint)
                self.log.emit(PermitRefused(call.id, endpoint, rate_per_s, wait_s))
            else:
                may_send = self.notices.rests.try_begin_request(endpoint, self.clock())
        finally:
            if chosen.prefill is not None and not may_send:
                chosen.prefill.end()
        return may_send

    async def _acquire_soon(self, endpoint: EndpointId, delivery: Delivery) -> float:
        """Ask for a permit until the call has asked for long enough in all."""
        remaining_s = MAX_ASKING_S - delivery.asking_s
        wait_s = RETRY_AFTER_S
        if remaining_s > 0:
            started_s = self.clock()
            with anyio.move_on_after(remaining_s):
                wait_s = await self.notices.permits.acquire(endpoint)
            delivery.asking_s += self.clock() - started_s
        return wait_s

    async def _acquire_room(
        self, chosen: PermittedChoice, demand: Demand, refused: list[_RefusedPrefill]
    ) -> PermittedChoice | None:
        """Ask for room for a long prompt; return None, and add to those that refused.

        Parameters
        ----------
        refused : list of _RefusedPrefill
            Replicas that have refused the call.
        """
        choice = chosen.choice
        with self.room.open_turn(choice, demand) as turn:
            wait_s = await turn.ask(waits=False)
        if wait_s <= 0:
            return PermittedChoice(choice, chosen.candidates, turn)
        refused.append(_RefusedPrefill(choice, demand, self.clock() + wait_s))
        return None

    async def _wait_for_room(
        self,
        call: Call,
        tried: set[EndpointId],
        delivery: Delivery,
        refused: Sequence[_RefusedPrefill],
        list_candidates: ListCandidates,
    ) -> PermittedChoice | None:
        """Wait until a replica has room, or another one has cached the prompt.

        Returns None if the replica may no longer receive the call, and with the refusal
        in the delivery if the call would begin too late to make its deadline.
        """
        started_s = self.clock()
        first = min(refused, key=lambda x: x.turn_at_s)
        latest_s = self.room.compute_latest_s(call, first.demand)
        with self.room.open_turn(first.choice, first.demand) as turn:
            while True:
                turn_at_s = self.clock() + await turn.ask(waits=True)
                if turn.granted_at_s is not None:
                    break
                if turn_at_s > latest_s:
                    self._reject(call, delivery, first, turn_at_s)
                    return None
                earliest_s = self.clock() + RECHECK_INTERVAL_S
                until_s = max(earliest_s, turn_at_s)
                until_s = min(until_s, self.clock() + REPEAT_INTERVAL_S)
                chosen = await self._wait_until(
                    turn, until_s, call, tried, list_candidates
                )
                if chosen is not None:
                    return chosen
                if turn.granted_at_s is not None:
                    break
                replicas, _ = list_candidates(tried, self.clock())
                if all(x.id != turn.endpoint for x in replicas):
                    return None
                turn.demand = self.room.find_demand(call, first.choice) or turn.demand
        wait_s = self.clock() - started_s
        tokens, endpoint = first.demand.tokens, turn.endpoint
        self.log.emit(PrefillWaited(call.id, endpoint, tokens, wait_s, len(refused)))
        choice = self._refresh(call, first.choice)
        return PermittedChoice(choice, len(refused), turn)

    async def _wait_until(
        self,
        turn: PrefillTurn,
        until_s: float,
        call: Call,
        tried: set[EndpointId],
        list_candidates: ListCandidates,
    ) -> PermittedChoice | None:
        """Wait for a turn; return a replica that needs no permit if there is one."""
        while self.clock() < until_s:
            timeout_s = min(RECHECK_INTERVAL_S, until_s - self.clock())
            if await turn.wait(timeout_s):
                return None
            chosen = self._choose(call, tried, list_candidates)
            if chosen is not None and (
                self.room.find_demand(call, chosen.choice) is None
            ):
                return chosen
        return None

    def _refresh(self, call: Call, choice: Choice) -> Choice:
        """Return a choice with what its replica has cached by now."""
        scope, replicas = make_call_scope(call), [choice.replica]
        avoided, now_s = AvoidedReplicas(), self.clock()
        refreshed = self.chooser.choose(call, scope, replicas, avoided, now_s)
        return choice if refreshed is None else refreshed

    def _reject(
        self,
        call: Call,
        delivery: Delivery,
        first: _RefusedPrefill,
        turn_at_s: float,
    ) -> None:
        """Record that a call would begin too late, and when there is room."""
        now_s = self.clock()
        wait_s = turn_at_s - now_s
        endpoint, tokens = first.choice.replica.id, first.demand.tokens
        remaining_s = call.deadline_s - now_s
        self.log.emit(PrefillRejected(call.id, endpoint, tokens, wait_s, remaining_s))
        after_s = spread_return(wait_s, self.rng) if wait_s < math.inf else wait_s
        delivery.refusal = NotRun(Step.PLACE, "-", ROOM_REASON, after_s)
