"""Quotas of workspaces at entry routers, over real sockets."""

import contextlib

import anyio
import pytest
from entry_fleet import make_configuration, run_entry
from test_entry_limits import wait_for_peers

from primrosepier.forwarding.peers import SETTLING_S

RATE_PER_S = 20.0


@pytest.mark.sockets
def test_two_routers_keep_a_quota_and_say_when_to_retry():
    """Load of 8 times the quota on two routers for 4 s, in requests.

    Guards against sections that do not reach the other router, against rejected calls
    that have run, and against calls that were charged and not sent.
    """

    async def check(fleet):
        async with fleet.open_router("front-2") as second:
            await wait_for_peers(fleet)
            quota = {"ratePerS": RATE_PER_S, "burst": RATE_PER_S}
            fleet.store.put("op/config", make_configuration(2, **quota))
            quotas = [router.app.quotas for router in fleet.routers]
            await fleet.wait_until(lambda: all(x.share == 1 for x in quotas))
            responses = []

            async def send(number):
                router = fleet.routers[number % 2]
                attempt = f"{number:016x}"
                options = {"method": "GET", "router": router, "attempt": attempt}
                responses.append(await fleet.send("/lookup/1", **options))

            async with anyio.create_task_group() as group:
                for number in range(640):
                    group.start_soon(send, number)
                    await anyio.sleep(4 / 640)
            statuses = [response.status for response in responses]
            served = statuses.count(200)
            assert set(statuses) == {200, 429}
            assert served == len(fleet.list_runs())
            assert served <= 1.1 * RATE_PER_S * 9
            assert served >= RATE_PER_S
            bucket = second.app.quotas.buckets["litter-notes"]
            assert bucket.peers.keys() == {"front-1"}
            for response in responses:
                if response.status == 429:
                    assert 0 < float(response.headers["retry-after"]) <= 0.6

    run_entry(check, names=("app1", "app2"), quota_overshoot=0.1)


@pytest.mark.sockets
def test_calls_that_no_replica_ran_cost_nothing():
    """Guards against a workspace that loses its quota to refusing replicas."""

    async def check(fleet):
        quota = {"ratePerS": 50, "burst": 50}
        fleet.store.put("op/config", make_configuration(2, **quota))
        quotas = fleet.routers[0].app.quotas
        with contextlib.suppress(TimeoutError):
            await fleet.wait_until(lambda: False, limit_s=SETTLING_S + 1)
        assert (await fleet.send("/lookup/1", method="GET")).status == 503
        bucket = quotas.buckets["litter-notes"]
        assert (bucket.asked, bucket.admitted) == (1, 0)

    run_entry(check, names=())
