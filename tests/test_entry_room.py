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
