"""Long prompts at the replicas of engines, over real sockets."""

import anyio
import pytest
from entry_fleet import run_entry

pytestmark = pytest.mark.sockets

LONG = {"Model": "m0"}


def test_routers_send_a_replica_one_long_prompt_at_a_time_until_they_know_its_rate():
    """Guards against routers that each send a long prompt to the same replica."""

    async def check(fleet):
        async with fleet.open_router("front-2") as other:
            routers = [fleet.routers[0], other]
            await fleet.wait_until(
                lambda: all(len(x.peers.directory.list_hosts()) == 2 for x in routers)
            )
            for name in ("w1", "w2"):
                fleet.replicas[name].faults.delay_s = 0.2
            statuses = []

            async def send(number):
                prompt = {"Model": "m0", "Prefix-Hash": f"p{number}:9000,q{number}:9"}
                reply = await fleet.send(
                    "/stream/notes/1",
                    router=routers[number % 2],
                    attempt=f"a{number}",
                    **prompt,
                )
                statuses.append(reply.status)

            async with anyio.create_task_group() as group:
                for number in range(6):
                    group.start_soon(send, number)
                await anyio.sleep(0.1)
                in_progress = [
                    sum(
                        x.app.forwarder.loads.get_or_create(name).outstanding
                        for x in routers
                    )
                    for name in ("w1", "w2")
                ]
            assert in_progress == [1, 1]
            assert statuses == [200] * 6
            rooms = [x.app.forwarder.permitted.room for x in routers]
            assert [room.granter.count() for room in rooms] == [(0, 0)] * 2

    run_entry(check)


def test_a_call_is_not_sent_to_one_full_replica_after_the_other():
    """Guards against calls that four full replicas reject in turn."""

    async def check(fleet):
        for replica in fleet.replicas.values():
            replica.faults.refuse = True
        reply = await fleet.send("/stream/notes/1", limit_ms=2000, **LONG)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 0.6
        assert fleet.count_arrivals() == 2

    run_entry(check, names=("w1", "w2", "w3", "w4"), repeat_ratio=1.0)


def test_a_call_that_finds_all_replicas_full_waits_for_the_first_with_room():
    """Guards against rejections although a replica has room before the deadline."""

    async def check(fleet):
        forwarder = fleet.routers[0].app.forwarder
        full_until_s = forwarder.clock() + 0.6
        for name in fleet.replicas:
            load = forwarder.loads.get_or_create(name)
            load.avoid_until_s = forwarder.permitted.full_until_s[name] = full_until_s
        reply = await fleet.send("/stream/notes/1", attempt="b1", limit_ms=100, **LONG)
        assert reply.status == 503
        assert fleet.count_arrivals() == 0
        reply = await fleet.send("/stream/notes/1", attempt="b2", **LONG)
        assert reply.status == 200
        assert forwarder.clock() >= full_until_s
        assert fleet.count_arrivals() == 1

    run_entry(check, names=("w1", "w2"), repeat_ratio=1.0)
