"""Replicas that start again in place with another version of their software."""

import contextlib

import httpcore
import pytest
from entry_fleet import run_entry

pytestmark = pytest.mark.sockets
PATH = "/stream/queries/1"
BROKEN_OFF = (httpcore.NetworkError, httpcore.ProtocolError)


def run_with_upgraded_replica(check, **faults):
    """Run ``check(fleet)`` after w2 has started again as v2, which no mirror shows yet.

    The router has lost a connection to w2 before.
    """

    async def run(fleet):
        upgraded = fleet.replicas["w2"]
        upgraded.faults.break_after = 0
        count = 0
        while not upgraded.runs:
            count += 1
            with contextlib.suppress(*BROKEN_OFF):
                await fleet.send(PATH, attempt=f"lost-{count}")
        for name, value in faults.items():
            setattr(fleet.replicas["w1"].faults, name, value)
        fleet.routers[0].mirror_controller.mirror.listeners.clear()
        fleet.versions["w2"] = "v2"
        upgraded.restart()
        upgraded.runs.clear()
        fleet.replicas["w1"].runs.clear()
        await check(fleet)

    run_entry(run, names=("w1", "w2"), repeat_ratio=1.0, repeat_extra=100.0)


def test_a_stream_does_not_go_on_at_a_replica_that_may_be_upgraded():
    """Guards against a stream of two versions while replicas are upgraded in place."""

    async def check(fleet):
        joined = []
        for number in range(12):
            attempt = f"a{number}"
            with contextlib.suppress(*BROKEN_OFF):
                await fleet.send(PATH, attempt=attempt)
                if len(fleet.find_versions({attempt})) > 1:
                    joined.append(attempt)
        assert any(fleet.replicas["w1"].runs)
        assert not joined

    run_with_upgraded_replica(check, break_after=2)


def test_a_stream_that_begins_at_an_upgraded_replica_has_its_version():
    """Guards against a stream that is recorded at the version before an upgrade."""

    async def check(fleet):
        origins = fleet.routers[0].app.forwarder.origins
        begun = 0
        for number in range(20):
            attempt = f"a{number}"
            reply = await fleet.send(PATH, attempt=attempt)
            if reply.status == 200:
                begun += 1
                found = await origins.find(attempt, ("writers",))
                assert found.origin.software == "v2"
        assert begun

    run_with_upgraded_replica(check, refuse=True)


def test_a_stream_is_taken_up_only_where_the_store_confirms_the_version():
    """Guards against a stream of two versions at a router that lost no connection."""

    async def check(fleet):
        async with fleet.open_router("front-2") as other:
            await fleet.wait_until(lambda: other.store_view.replicas.value.by_service)
            await fleet.wait_until(lambda: other.peers.directory.peers)
            other.mirror_controller.mirror.listeners.clear()
            begun = await fleet.send(PATH, attempt="first")
            assert begun.status == 200
            fleet.versions["w1"] = "v2"
            fleet.replicas["w1"].restart()
            resumes = {"Last-Event-Id": "1", "Resumes": "first"}
            for number in range(4):
                attempt = f"a{number}"
                with contextlib.suppress(*BROKEN_OFF):
                    reply = await fleet.send(
                        PATH, attempt=attempt, router=other, **resumes
                    )
                    assert reply.status != 200

    run_entry(check, names=("w1",))


def test_a_store_that_does_not_answer_lets_no_stream_go_on_where_it_may_be_upgraded():
    async def check(fleet):
        fleet.store.faults.status = 503
        for number in range(6):
            attempt = f"a{number}"
            with contextlib.suppress(*BROKEN_OFF):
                await fleet.send(PATH, attempt=attempt)
                assert len(fleet.find_versions({attempt})) == 1

    run_with_upgraded_replica(check, break_after=2)


def test_a_confirmed_replica_costs_no_call_of_the_store():
    async def check(fleet):
        replica = fleet.replicas["w1"]
        replica.faults.break_after = 0
        with contextlib.suppress(*BROKEN_OFF):
            assert (await fleet.send(PATH)).status == 502
        replica.faults.break_after = None
        checks = fleet.routers[0].app.forwarder.software_checks
        assert checks.losses
        for number in range(3):
            assert (await fleet.send(PATH, attempt=f"a{number}")).status == 200
        assert not checks.losses
        reads = checks.shared_read.started_at_s
        assert (await fleet.send(PATH, attempt="last")).status == 200
        assert checks.shared_read.started_at_s == reads

    run_entry(check, names=("w1",))
