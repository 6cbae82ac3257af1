"""Permits that routers ask each other for, when datagrams are lost."""

import anyio
import pytest

from primrosepier.endpoint_limits import EndpointLimits, rank_granters
from primrosepier.endpoint_windows import EXTRA_CALLS, Brittleness
from primrosepier.forwarding.permits import (
    MAX_UNANSWERED,
    UNRESPONSIVE_S,
    PermitExchange,
    PermitReply,
    PermitRequest,
)
from primrosepier.virtualtime import run_in_virtual_time

ENDPOINT = "e1"
HOSTS = ("front-1", "front-2")
BRITTLE = Brittleness(8.0, 4)


class Pair:
    """The granter of an endpoint, and another router that asks it."""

    def __init__(self):
        self.sent = []
        self.lost = []
        self.routers = {host: self.make_router(host) for host in HOSTS}
        first, second = rank_granters(ENDPOINT, HOSTS)
        self.granter, self.asker = self.routers[first], self.routers[second]
        for router in self.routers.values():
            router.record_hosts(HOSTS)
            router.windows.record_answer(ENDPOINT, BRITTLE, 0.0)

    def make_router(self, host):
        async def send(receiver, message):
            self.sent.append(message)
            if not any(isinstance(message, kind) for kind in self.lost):
                await self.routers[receiver].receive(message)
            return True

        return PermitExchange(host, EndpointLimits(), anyio.current_time, send)

    def count_held(self):
        window = self.granter.windows.windows[ENDPOINT]
        return window.count_held(anyio.current_time())


def test_a_lost_datagram_delays_a_permit_by_little():
    async def check():
        pair = Pair()
        pair.lost = [PermitRequest]
        async with anyio.create_task_group() as group:
            group.start_soon(pair.asker.acquire, ENDPOINT)
            await anyio.sleep(0.005)
            pair.lost = []
        assert anyio.current_time() <= 0.02
        assert len({x.number for x in pair.sent if isinstance(x, PermitRequest)}) == 1
        assert pair.count_held() == 1

    run_in_virtual_time(check)


def test_a_permit_whose_reply_is_lost_keeps_no_place():
    async def check():
        pair = Pair()
        pair.lost = [PermitReply]
        assert await pair.asker.acquire(ENDPOINT) > 0
        assert pair.count_held() == 0

    run_in_virtual_time(check)


@pytest.mark.parametrize("after_s", [0.0, 0.015])
def test_a_call_that_ends_while_it_asks_keeps_no_place(after_s):
    async def check():
        pair = Pair()
        pair.lost = [PermitReply]
        with anyio.move_on_after(after_s):
            await pair.asker.acquire(ENDPOINT)
        assert pair.count_held() == 0

    run_in_virtual_time(check)


def test_a_short_pause_of_a_granter_does_not_let_a_second_one_grant_as_well():
    async def check():
        pair = Pair()
        room = BRITTLE.slots + EXTRA_CALLS
        pair.granter.count_calls = lambda endpoint: room - 1
        assert await pair.granter.acquire(ENDPOINT) == 0
        pair.lost = [PermitRequest]
        async with anyio.create_task_group() as group:
            for _ in range(10):
                group.start_soon(pair.asker.acquire, ENDPOINT)
        pair.lost = []
        await anyio.sleep(0.2)
        assert await pair.asker.acquire(ENDPOINT) > 0

    run_in_virtual_time(check)


def test_one_call_at_a_time_finds_out_whether_a_granter_is_back():
    async def check():
        pair = Pair()
        pair.lost = [PermitRequest]
        for _ in range(MAX_UNANSWERED):
            await pair.asker._ask_granters(ENDPOINT, 1)
        await anyio.sleep(UNRESPONSIVE_S)
        async with anyio.create_task_group() as group:
            for _ in range(10):
                group.start_soon(pair.asker.acquire, ENDPOINT)
            await anyio.sleep(0.005)
            asked = len(pair.asker.requests.pending)
        assert asked == 1

    run_in_virtual_time(check)
