"""Brittle replicas before three entry routers over real sockets."""

import anyio
from entry_fleet import run_entry
from test_entry_limits import run_routers

from primrosepier.forwarding.permits import PermitExchange
from primrosepier.platform.standin_room import Room

NAMES = ("app1", "app2", "app3", "app4")
SLOTS = 4
QUEUE = 12
LESSENED_QUEUE = 2
RUN_S = 0.2
TOLERATED = 4
ROOM_PER_S = len(NAMES) * SLOTS / RUN_S
STABLE_S = 3.0
MEASURED_S = 3.0


async def send_calls(fleet, load, duration_s, results):
    async def send(number):
        sent_at_s = anyio.current_time()
        router = fleet.routers[number % len(fleet.routers)]
        attempt = f"{number:016x}"
        response = await fleet.send(
            "/lookup/1", method="GET", router=router, attempt=attempt
        )
        results.append((response, anyio.current_time() - sent_at_s))

    count = int(load * ROOM_PER_S * duration_s)
    start_s = anyio.current_time()
    async with anyio.create_task_group() as group:
        for number in range(count):
            due_s = start_s + number * duration_s / count
            await anyio.sleep(max(0.0, due_s - anyio.current_time()))
            group.start_soon(send, number)


def test_brittle_replicas_do_not_fall_over_and_their_room_is_used():
    async def check(fleet):
        rooms = [Room(SLOTS, QUEUE, TOLERATED) for _ in NAMES]
        for name, room in zip(NAMES, rooms, strict=True):
            fleet.replicas[name].room = room
            fleet.replicas[name].faults.delay_s = RUN_S
        await send_calls(fleet, 1.3, STABLE_S, [])
        for room in rooms:
            room.queue = LESSENED_QUEUE
        results = []
        await send_calls(fleet, 1.3, MEASURED_S, results)
        assert sum(len(room.fallen_at_s) for room in rooms) <= 2
        served = [response for response, _ in results if response.status == 200]
        refused = [result for result in results if result[0].status == 503]
        assert len(served) >= 0.9 * ROOM_PER_S * MEASURED_S
        assert len(served) + len(refused) == len(results)
        assert all(float(x.headers["retry-after"]) > 0 for x, _ in refused)

    run_routers(check, names=NAMES)


def test_a_call_does_not_ask_full_replicas_without_end(monkeypatch):
    asked = []

    async def refuse(permits, endpoint):
        asked.append(endpoint)
        await anyio.sleep(0.02)
        return 0.01

    async def check(fleet):
        with anyio.move_on_after(1.0):
            response = await fleet.send("/lookup/1", method="GET")
            assert response.status == 503
        assert sorted(asked) == ["app1", "app2"]

    monkeypatch.setattr(PermitExchange, "acquire", refuse)
    run_entry(check, names=("app1", "app2"))
