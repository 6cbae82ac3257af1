"""Answers that a faulty replica sends once more on a kept connection."""

import pytest
from entry_fleet import run_entry
from raw_replicas import StaleReplica, make_answer, open_raw_replica

pytestmark = pytest.mark.sockets
REFUSAL = b"Not-Executed: 1\r\n"
EARLIER = b"Attempt-Id: earlier\r\n"


def run_with_stale_answer(stale, check):
    """Run ``check(fleet, replica)`` after a call that left a kept connection."""

    async def run(fleet):
        replica = StaleReplica(stale)
        async with open_raw_replica(fleet, "app1", replica, "app"):
            other = fleet.replicas["app2"]
            fleet.register("app2", state="draining")
            await fleet.wait_until(lambda: len(list_ready(fleet)) == 1)
            assert (await fleet.send("/booking/1", attempt="a1")).body == b"sound"
            fleet.register("app2")
            await fleet.wait_until(lambda: len(list_ready(fleet)) == 2)
            await check(fleet, replica, other)

    run_entry(run, names=("app1", "app2"), repeat_ratio=1.0)


def list_ready(fleet):
    return fleet.routers[0].store_view.replicas.value.list_replicas("app")


async def send_until_stale(fleet, replica, path):
    """Send calls until one meets a stale answer; return its id and its reply."""
    for number in range(20):
        attempt = f"a{number + 2}"
        reply = await fleet.send(path, attempt=attempt)
        if replica.misled:
            assert attempt.encode() in replica.misled[0]
            return attempt, reply
    raise AssertionError("no call met a stale answer")


@pytest.mark.parametrize(
    "stale",
    [
        make_answer(REFUSAL, b"", 503),
        make_answer(REFUSAL + EARLIER, b"", 503),
        make_answer(b"Instance-Id: app9\r\n", b"", 421),
    ],
    ids=["no id", "earlier id", "misdirected"],
)
def test_a_stale_refusal_makes_no_call_run_twice_or_count_as_not_run(stale):
    """Guards against a call told "not run", or run elsewhere, that has run."""

    async def check(fleet, replica, other):
        attempt, reply = await send_until_stale(fleet, replica, "/booking/2")
        assert reply.status == 502
        assert attempt not in {run["attempt-id"] for run in other.runs}

    run_with_stale_answer(stale, check)


def test_the_body_of_a_stale_answer_reaches_no_caller():
    """Guards against a caller that gets an answer without an id to another call."""

    async def check(fleet, replica, other):
        _, reply = await send_until_stale(fleet, replica, "/booking/2")
        assert (reply.status, reply.body) == (502, b"")

    run_with_stale_answer(make_answer(b"", b"stale"), check)


def test_a_call_that_may_run_twice_is_served_elsewhere_after_a_stale_answer():
    async def check(fleet, replica, other):
        _, reply = await send_until_stale(fleet, replica, "/lookup/2")
        assert (reply.status, reply.body) in {(200, b"done"), (200, b"sound")}

    run_with_stale_answer(make_answer(b"", b"stale"), check)
