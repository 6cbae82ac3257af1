"""Permits for long prompts, over the real decision code in virtual time."""

from itertools import pairwise

import anyio
import pytest
from forwarding_samples import LONG_PROMPT, make_call, make_chooser, make_replica
from room_model import DECLARATION, RoomModel

from primrosepier.endpoint_limits import rank_granters
from primrosepier.forwarding.replica_choice import Choice, ChoiceKind
from primrosepier.forwarding.room.bounds import DeclaredBounds
from primrosepier.forwarding.room.exchange import SILENT_S, ReplicaRoom
from primrosepier.forwarding.room.granter import Demand, PermitName, PrefillGranter
from primrosepier.forwarding.room.messages import PrefillRelease, PrefillReply
from primrosepier.virtualtime import run_in_virtual_time

HOSTS = ("front-1", "front-2")
REPLICA = make_replica("r1")
TOKENS = 17_020
RATE = 48_200.0


def make_demand(tokens=TOKENS, budget_s=0.3, due_at_s=5.0, urgency=1, rate=RATE):
    return Demand(tokens, budget_s, due_at_s, urgency, rate)


def ask(granter, number, now_s, waits=False, **demand):
    name = PermitName("front-1", number)
    grant, granted = granter.request("r1", name, make_demand(**demand), waits, now_s)
    return grant.wait_s, [x.number for x in granted]


def release(granter, number, now_s, prefill_s=None, lacked_room=False):
    name = PermitName("front-1", number)
    granted = granter.release("r1", name, prefill_s, lacked_room, now_s)
    return [x.number for x in granted]


def test_no_more_long_tokens_run_at_once_than_short_prompts_can_wait_for():
    """Guards against long prompts that meet, and against permits that are lost."""
    granter = PrefillGranter()
    assert ask(granter, 0, 0.0) == (0.0, [])
    release(granter, 0, 1.0)
    tokens = [4000, 4000, 4000, 4000]
    waits_s = [ask(granter, 1 + n, 1.0, tokens=x)[0] for n, x in enumerate(tokens)]
    assert waits_s[:3] == [0.0, 0.0, 0.0]
    assert 0.0 < waits_s[3] < 0.1
    assert ask(granter, 9, 1.0, tokens=10**6)[0] > 0
    for number in (1, 2, 3):
        release(granter, number, 1.1)
    assert ask(granter, 10, 1.1, tokens=10**6) == (0.0, [])


def test_waiting_calls_get_permits_in_order_of_urgency_then_deadline():
    """Guards against late calls overtaking, and a second permit for a repeat."""
    granter = PrefillGranter()
    assert ask(granter, 0, 0.0)[0] == 0
    assert ask(granter, 0, 0.0)[0] == 0
    assert ask(granter, 1, 0.1, waits=True, due_at_s=4.0)[0] > 0.2
    assert ask(granter, 2, 0.1, waits=True, due_at_s=3.0)[0] > 0.2
    assert ask(granter, 3, 0.1, waits=True, due_at_s=5.0, urgency=0)[0] > 0.2
    assert release(granter, 0, 0.3, 0.3) == [3]
    assert ask(granter, 4, 0.3, due_at_s=9.0)[0] > 0.9
    assert release(granter, 3, 0.6) == [2]
    assert release(granter, 2, 0.9) == [1]
    assert ask(granter, 2, 0.95, waits=True)[0] > 0


def test_expired_permits_and_calls_that_left_free_their_tokens():
    """Guards against replicas that get no long prompt after a lost release."""
    granter = PrefillGranter()
    assert ask(granter, 0, 0.0)[0] == 0
    assert ask(granter, 1, 0.0, waits=True)[0] > 0
    assert ask(granter, 2, 3.0, waits=False)[0] == 0
    granter.retain({"r1"}, {"front-2"})
    assert ask(granter, 3, 3.0)[0] == 0


def test_a_rejection_for_lack_of_capacity_pauses_the_replica():
    """Guards against calls sent to a replica that has just said that it is full."""
    granter = PrefillGranter()
    assert ask(granter, 0, 0.0)[0] == 0
    release(granter, 0, 0.01, lacked_room=True)
    assert 0.3 < ask(granter, 1, 0.01)[0] < 0.4
    assert ask(granter, 2, 0.4)[0] == 0


class Pair:
    """Two routers of which the first in rank grants the permits of a replica."""

    def __init__(self, rate=0.0):
        self.lost = ()
        bounds = DeclaredBounds(lambda: DECLARATION)
        self.routers = {
            host: ReplicaRoom(host, anyio.current_time, bounds, lambda: HOSTS)
            for host in HOSTS
        }
        for router in self.routers.values():
            router.send = self.send
            router.rates.record("writers", "r1", rate)
        granter = rank_granters("r1", HOSTS)[0]
        (asker,) = set(HOSTS) - {granter}
        self.granter, self.asker = self.routers[granter], self.routers[asker]

    def send(self, host, message):
        if not isinstance(message, self.lost):
            self.group.start_soon(self.routers[host].receive, message)
        return True

    async def acquire(self, room, waits=False):
        choice = Choice(REPLICA, ChoiceKind.OVERFLOW, TOKENS)
        demand = room.find_demand(make_call(LONG_PROMPT), choice)
        with room.open_turn(choice, demand) as turn:
            wait_s = await turn.ask(waits)
            while waits and turn.granted_at_s is None:
                await turn.wait(1.0)
        return wait_s, turn

    def run(self, check):
        async def run_check():
            async with anyio.create_task_group() as self.group:
                await check()

        run_in_virtual_time(run_check)


def test_a_waiting_call_gets_its_permit_when_the_one_before_it_begins():
    """Guards against replicas that idle until a waiting call asks again."""
    pair = Pair(RATE)

    async def check():
        wait_s, first = await pair.acquire(pair.granter)
        assert wait_s == 0
        pair.group.start_soon(pair.acquire, pair.asker, True)
        await anyio.sleep(0.2)
        assert pair.granter.granter.count() == (1, 1)
        first.record_begun()
        first.end()
        await anyio.sleep(0.0)
        assert pair.granter.granter.count() == (1, 0)

    pair.run(check)


@pytest.mark.parametrize("waits", [False, True])
def test_a_call_that_is_cancelled_keeps_neither_permit_nor_place(waits):
    """Guards against callers who leave and still hold room at a replica."""
    pair = Pair(RATE)

    async def check():
        if waits:
            await pair.acquire(pair.granter)
        else:
            pair.lost = (PrefillReply,)
        with anyio.move_on_after(0.01):
            await pair.acquire(pair.asker, waits)
        await anyio.sleep(0.0)
        assert pair.granter.granter.count() == (int(waits), 0)

    pair.run(check)


def test_a_silent_granter_leaves_each_router_one_long_call_at_a_replica():
    """Guards against calls that wait for a router that is frozen or gone."""
    pair = Pair(RATE)
    pair.lost = (PrefillReply, PrefillRelease)

    async def check():
        wait_s, turn = await pair.acquire(pair.asker)
        assert wait_s == 0
        assert 0.029 < anyio.current_time() < 0.031
        assert (await pair.acquire(pair.asker))[0] > 0
        assert anyio.current_time() < 0.031
        turn.end()
        assert (await pair.acquire(pair.asker))[0] == 0
        pair.lost = ()
        await anyio.sleep(SILENT_S)
        await pair.acquire(pair.asker)
        assert pair.granter.granter.count()[0] == 1

    pair.run(check)


def test_services_without_an_engine_and_short_prompts_need_no_permit():
    """Guards against permits on the path of short calls."""
    room = ReplicaRoom("front-1", lambda: 0.0, DeclaredBounds(lambda: DECLARATION))
    call = make_call(LONG_PROMPT)
    other = make_replica("r1", service="other")
    assert room.find_demand(call, Choice(REPLICA, ChoiceKind.OVERFLOW, 383)) is None
    assert room.find_demand(call, Choice(other, ChoiceKind.OVERFLOW, TOKENS)) is None
    assert room.find_demand(call, Choice(REPLICA, ChoiceKind.OVERFLOW, TOKENS))
    assert make_chooser().find_short_tokens(REPLICA) is None


def test_late_reports_do_not_make_routers_send_all_calls_to_the_same_replicas():
    """Guards against synchronized oscillation.

    66 routers, 27 replicas, 875 short and 62 long calls a second for 5 s, and reports
    that are 0.5 to 3 s old.
    """
    busiest = {}
    for has_permits in (False, True):
        model = RoomModel(has_permits, report_delays_s=(0.5, 2.5))
        run_in_virtual_time(model.run, 5.0)
        peaks = model.find_peaks(1, 5)
        busiest[has_permits] = max(map(max, peaks.values()))
        if has_permits:
            for shares in peaks.values():
                assert all(min(pair) <= 2 for pair in pairwise(shares))
    assert busiest[True] < 2.5 < busiest[False]


def test_short_and_long_prompts_meet_their_targets_on_the_same_replicas():
    """Guards against long prompts that delay short ones, and short ones that herd.

    66 routers, 27 replicas, 875 short and 62 long calls a second for 3 s.
    """
    shares = {}
    for has_permits in (False, True):
        model = RoomModel(has_permits)
        run_in_virtual_time(model.run, 3.0)
        shares[has_permits] = [model.compute_share(x) for x in ("short", "long")]
    assert shares[True][0] > max(0.95, shares[False][0] + 0.1)
    assert shares[True][1] > max(0.95, shares[False][1])
