"""The entry router on the platform, over real sockets."""

from dataclasses import replace

import anyio
import pytest
from entry_fleet import KEY, ROUTES, make_configuration, make_route, run_entry

from primrosepier.crash_causes import ORDER_MARGIN_S
from primrosepier.errors import SettingsError

pytestmark = pytest.mark.sockets
EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3))


def test_a_replica_gets_the_headers_of_caller_and_router():
    async def check(fleet):
        reply = await fleet.send("/lookup/2f?a=b", method="GET", **{"X-Own": "kept"})
        assert reply.status == 200
        assert reply.headers["server-stamp"]
        assert reply.headers["attempt-id"] == "a1"
        (run,) = fleet.list_runs()
        assert run["attempt-id"] == "a1"
        assert run["tenant"] == "litter-notes"
        assert run["x-own"] == "kept"
        assert run["expect-instance"] in fleet.replicas
        assert "authorization" not in run
        assert 0 < int(run["deadline-ms"]) <= 2000

    run_entry(check)


def test_reserved_headers_of_callers_are_removed():
    async def check(fleet):
        forged = {
            "Cache-Salt": "other",
            "Tenant": "other",
            "Hold": "1",
            "Kv-From": "x",
            "Pin-Ms": "9",
            "Kv-Backup": "x",
            "Request-Urgency": "0",
        }
        await fleet.send("/lookup/2f", method="GET", **forged)
        (run,) = fleet.list_runs()
        assert run["tenant"] == "litter-notes"
        for name in ("hold", "kv-from", "pin-ms", "kv-backup", "cache-salt"):
            assert name not in run

    run_entry(check)


def test_prompts_carry_a_cache_scope_and_an_urgency():
    async def check(fleet):
        prompt = {"Model": "m0", "Prefix-Hash": "aa:100,bb:20"}
        reply = await fleet.send("/stream/notes/1", **prompt)
        assert reply.body == EVENTS
        (run,) = fleet.list_runs()
        assert run["cache-salt"] == "m0/"
        assert run["request-urgency"] == "1"
        assert run["prefix-hash"] == "aa:100,bb:20"

    run_entry(check)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/lookup/1", "unknown", 401),
        ("/lookup/1", "", 401),
        ("/elsewhere/1", KEY, 404),
    ],
)
def test_calls_without_a_valid_key_or_a_route_are_rejected(path, key, status):
    async def check(fleet):
        assert (await fleet.send(path, key=key)).status == status
        assert fleet.count_arrivals() == 0

    run_entry(check)


def test_a_body_over_the_declared_limit_is_refused():
    async def check(fleet):
        assert (await fleet.send("/booking/1", b"x" * 2000)).status == 413
        assert fleet.count_arrivals() == 0

    run_entry(check)


def test_a_router_without_configuration_refuses_calls_and_is_not_ready():
    async def check(fleet):
        reply = await fleet.send("/lookup/1")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert await fleet.read_ready() == 503
        fleet.store.put("op/config", make_configuration())
        store_view = fleet.routers[0].store_view
        await fleet.wait_until(lambda: store_view.declaration.value is not None)
        assert await fleet.read_ready() == 200
        assert (await fleet.send("/lookup/1")).status == 200

    run_entry(check, configured=False)


def test_a_refused_call_goes_to_another_replica():
    async def check(fleet):
        fleet.replicas["app1"].faults.refuse = True
        for number in range(4):
            reply = await fleet.send("/booking/1", attempt=f"a{number}")
            assert reply.status == 200
        assert len(fleet.replicas["app2"].runs) == 4

    run_entry(check, repeat_ratio=1.0)


def test_a_call_that_all_replicas_refuse_gets_503_with_retry_after():
    async def check(fleet):
        for name in ("app1", "app2"):
            fleet.replicas[name].faults.refuse = True
        reply = await fleet.send("/booking/1", limit_ms=600)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 0.2
        assert not fleet.list_runs()

    run_entry(check)


def test_a_call_that_may_have_run_is_not_retried_and_gets_502():
    async def check(fleet):
        for name in ("app1", "app2"):
            fleet.replicas[name].faults.break_after = 0
        reply = await fleet.send("/booking/1")
        assert reply.status == 502
        assert len(fleet.list_runs()) == 1

    run_entry(check)


def test_an_idempotent_call_is_retried_after_a_lost_response():
    async def check(fleet):
        fleet.replicas["app1"].faults.break_after = 0
        for number in range(3):
            reply = await fleet.send("/lookup/1", attempt=f"a{number}")
            assert reply.status == 200

    run_entry(check)


def test_the_response_to_another_call_is_not_relayed():
    async def check(fleet):
        for name in ("app1", "app2"):
            fleet.replicas[name].faults.wrong_id = True
        assert (await fleet.send("/booking/1")).status == 502

    run_entry(check)


def test_a_replicas_5xx_response_is_relayed_unchanged():
    async def check(fleet):
        for name in ("app1", "app2"):
            fleet.replicas[name].faults.status = 500
        reply = await fleet.send("/lookup/1", b"why")
        assert (reply.status, reply.body) == (500, b"why")
        assert reply.headers["server-stamp"]
        assert len(fleet.list_runs()) == 2

    run_entry(check)


def test_a_resumable_stream_continues_on_another_replica_without_gap_or_duplicate():
    async def check(fleet):
        fleet.replicas["w1"].faults.break_after = 2
        fleet.replicas["w2"].faults.break_after = None
        for number in range(4):
            reply = await fleet.send("/stream/queries/1", attempt=f"a{number}")
            assert reply.body == EVENTS
        resumed = [r for r in fleet.list_runs() if "last-event-id" in r]
        assert all(run["last-event-id"] == "1" for run in resumed)
        assert resumed

    run_entry(check, repeat_ratio=1.0)


def test_an_interrupted_stream_that_is_not_resumable_ends_incomplete():
    async def check(fleet):
        for name in ("w1", "w2"):
            fleet.replicas[name].faults.break_after = 2
        with pytest.raises(Exception, match="closed|incomplete|RemoteProtocol"):
            await fleet.send("/stream/notes/1")
        assert len(fleet.list_runs()) == 1

    run_entry(check)


def test_a_call_that_runs_out_of_time_gets_its_answer_then():
    async def check(fleet):
        for name in ("app1", "app2"):
            fleet.replicas[name].faults.delay_s = 5.0
        started_at_s = anyio.current_time()
        reply = await fleet.send("/booking/1", limit_ms=300)
        assert reply.status == 504
        assert anyio.current_time() - started_at_s < 0.5

    run_entry(check)


def test_a_draining_replica_gets_no_new_calls():
    async def check(fleet):
        fleet.register("app1", state="draining")
        replicas = fleet.routers[0].store_view.replicas
        await fleet.wait_until(lambda: len(replicas.value.list_replicas("app")) == 1)
        for number in range(3):
            await fleet.send("/lookup/1", attempt=f"a{number}")
        assert not fleet.replicas["app1"].runs

    run_entry(check)


def test_a_revoked_key_is_refused_and_older_versions_are_ignored():
    async def check(fleet):
        fleet.store.put("op/config", make_configuration(3, keys=("new",)))
        declaration = fleet.routers[0].store_view.declaration
        await fleet.wait_until(lambda: declaration.value.version == 3)
        assert (await fleet.send("/lookup/1")).status == 401
        fleet.store.put("op/config", make_configuration(2))
        await anyio.sleep(0.2)
        assert (await fleet.send("/lookup/1")).status == 401
        assert (await fleet.send("/lookup/1", key="new")).status == 200

    run_entry(check)


def test_keys_are_refused_when_the_store_is_unresponsive():
    async def check(fleet):
        fleet.store.faults.unresponsive = True
        await anyio.sleep(2.1)
        reply = await fleet.send("/lookup/1")
        assert reply.status == 503
        assert await fleet.read_ready() == 503
        fleet.store.faults.unresponsive = False
        router = fleet.routers[0]
        await fleet.wait_until(router.app.is_ready)
        assert (await fleet.send("/lookup/1")).status == 200

    run_entry(check, revoke_s=2.5)


def test_public_routes_need_no_key():
    async def check(fleet):
        routes = [*ROUTES, make_route("open", "/open/", "idempotent", "app")]
        routes[-1]["public"] = True
        fleet.store.put("op/config", make_configuration(2, routes))
        declaration = fleet.routers[0].store_view.declaration
        await fleet.wait_until(lambda: declaration.value.version == 2)
        assert (await fleet.send("/open/1", key="")).status == 200
        (run,) = fleet.list_runs()
        assert "tenant" not in run
        assert "authorization" not in run

    run_entry(check)


def test_a_callers_disconnect_ends_its_call():
    async def check(fleet):
        for name in ("app1", "app2"):
            fleet.replicas[name].faults.delay_s = 30.0
        with anyio.move_on_after(0.3):
            await fleet.send("/lookup/1", limit_ms=30_000)
        app = fleet.routers[0].app
        await fleet.wait_until(lambda: app.in_progress == 0, limit_s=0.5)

    run_entry(check)


def test_a_planned_stop_finishes_calls_and_refuses_long_ones():
    async def check(fleet):
        router = fleet.routers[0]
        fleet.replicas["app1"].faults.delay_s = 1.0
        fleet.replicas["app2"].faults.delay_s = 1.0
        replies = []

        async def send():
            replies.append(await fleet.send("/booking/1"))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await fleet.wait_until(lambda: router.app.in_progress == 1)
            group.start_soon(router.drain)
            await anyio.sleep(0.1)
            assert await fleet.read_ready() == 503
        assert replies[0].status == 200
        assert replies[0].headers["connection"] == "close"
        for name in ("app1", "app2"):
            fleet.replicas[name].faults.delay_s = 0.0
        assert (await fleet.send("/booking/1", limit_ms=300)).status == 200
        refusal = await fleet.send("/booking/1", limit_ms=60_000)
        assert (refusal.status, refusal.headers["connection"]) == (503, "close")

    run_entry(check, grace_s=5.5)


def test_invalid_replica_entries_are_ignored():
    async def check(fleet):
        fleet.store.put("servers/ghost", b"\xff\xfe")
        fleet.store.put("servers/odd", {"service": "app", "address": 5})
        fleet.register("app1", state="unheard-of")
        replicas = fleet.routers[0].store_view.replicas
        await fleet.wait_until(lambda: len(replicas.value.list_replicas("app")) == 1)
        assert (await fleet.send("/lookup/1")).status == 200

    run_entry(check)


def test_streams_of_an_unresponsive_replica_continue_on_another():
    async def check(fleet):
        router = fleet.routers[0]
        fleet.replicas["w1"].faults.delay_s = 30.0
        replies = []

        async def send(number):
            replies.append(
                await fleet.send(
                    "/stream/queries/1", attempt=f"a{number}", limit_ms=8000
                )
            )

        async with anyio.create_task_group() as group:
            for number in range(6):
                group.start_soon(send, number)
            await fleet.wait_until(lambda: len(fleet.list_runs()) == 6)
            assert fleet.replicas["w1"].runs
            await anyio.sleep(1.0)
            replica = router.store_view.find_replica("w1")
            for _ in range(2):
                router.app.forwarder._record_unreachable(replica, anyio.current_time())
        assert all(reply.body == EVENTS for reply in replies)

    run_entry(check, repeat_ratio=2.0)


def test_retry_after_is_at_most_a_third_of_the_callers_timeout():
    async def check(fleet):
        reply = await fleet.send("/lookup/1", limit_ms=300)
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 0.1

    run_entry(check, configured=False)


def test_rereading_the_settings_logs_changes_and_errors():
    async def check(fleet):
        router = fleet.routers[0]
        events = []
        router.log.observers.append(events.append)
        router.reload(lambda: replace(router.settings, revoke_s=9.0))
        assert events[-1].changed == ("revoke_s",)

        def fail():
            raise SettingsError("file", "bounds", "revoke", "not a number")

        router.reload(fail)
        assert "not a number" in events[-1].error
        assert (await fleet.send("/lookup/1")).status == 200

    run_entry(check)


def test_frequent_changes_cause_few_store_calls():
    async def check(fleet):
        (holder,) = fleet.routers
        await fleet.wait_until(lambda: holder.weights_controller.duty.fencing_number)
        async with fleet.open_router("front-2") as router:
            await fleet.wait_until(lambda: router.store_view.declaration.value)
            fleet.store.calls.clear()
            for version in range(2, 52):
                fleet.store.put("op/config", make_configuration(version))
                await anyio.sleep(0.04)
            await fleet.wait_until(
                lambda: router.store_view.declaration.value.version == 51, 1.0
            )
        # The holder of the weights duty does not batch. The other router watches once
        # per batching delay of 0.5 s in 3 s, with a margin of a factor of 2.
        watches_of_holder = 52
        watches = fleet.store.calls.count("/kv-watch") - watches_of_holder
        assert watches <= 2 * 3.0 / 0.5

    run_entry(check, apply_s=2.0, drain_s=2.0)


def test_a_router_keeps_to_its_share_of_the_stores_rates():
    async def check(fleet):
        fleet.store.calls.clear()
        for version in range(2, 102):
            fleet.store.put("op/config", make_configuration(version))
            await anyio.sleep(0.02)
        reads = [p for p in fleet.store.calls if p in ("/kv-watch", "/kv-range")]
        # 10 reads per second for the 2 s of changes.
        assert len(reads) <= 2 * 10

    run_entry(check, apply_s=0.1, store_reads_per_s=10.0)


def test_a_part_that_crashes_replicas_is_refused_by_all_routers():
    async def check(fleet):
        for replica in fleet.replicas.values():
            replica.faults.crash_on = "bad"

        def send(own, router, shared="first:50,bad:20"):
            prompt = {"Model": "m0", "Prefix-Hash": f"{shared},{own}:30"}
            return fleet.send("/stream/notes/1", own.encode(), router=router, **prompt)

        first = fleet.routers[0]
        async with fleet.open_router("front-2") as second:
            peers = first.peers.directory
            await fleet.wait_until(lambda: second.store_view.declaration.value)
            await fleet.wait_until(lambda: peers.peers and second.peers.directory.peers)
            for number in range(3):
                assert (await send(f"a{number}", first)).status == 502
                # A call that follows at once may have been sent before the loss.
                await anyio.sleep(2 * ORDER_MARGIN_S)
            loss_log = second.app.forwarder.suspects.loss_log
            await fleet.wait_until(lambda: len(loss_log.losses) == 3)
            arrivals = fleet.count_arrivals()
            for router in (first, second):
                reply = await send("b", router)
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0
            assert fleet.count_arrivals() == arrivals
            assert (await send("c", second, "first:50,good:20")).status == 200

    run_entry(check, names=("w1", "w2", "w3", "w4"))
