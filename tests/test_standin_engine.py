import anyio
import httpcore
import pytest
from clients import run_with_app

from primrosepier.standin_batch import LoadHistory, PriorityLimiter
from primrosepier.standin_cache import BlockCache, CacheEvents
from primrosepier.standin_engine import (
    CRASH_MARKER,
    EngineRates,
    make_engine_standin,
    make_output_tokens,
)

pytestmark = pytest.mark.sockets
FAST = EngineRates(token_s=0.0, event_lag_s=0.0, load_s=0.05)
PROMPT = "p" * 6000


def make_body(prompt=PROMPT, **fields):
    return {"model": "m", "prompt": prompt, "max_tokens": 4, **fields}


def test_cache_hits_only_within_one_cache_salt():
    async def check(send):
        cached = []
        for salt in ("a", "a", "b"):
            reply = await send("POST", "/v1/completions", make_body(cache_salt=salt))
            usage = reply.decode()["usage"]
            cached.append(usage["prompt_tokens_details"]["cached_tokens"])
        assert cached == [0, 1024, 0]

    run_with_app(make_engine_standin(FAST), check)


def test_resume_continues_known_output_and_refuses_other_output():
    async def check(send):
        tokens = make_output_tokens(PROMPT, 4)
        resume = {"text": "".join(tokens[:2])}
        body = make_body(stream=True, resume=resume)
        reply = await send("POST", "/v1/completions", body)
        assert tokens[1].encode() not in reply.body
        assert tokens[2].encode() in reply.body and reply.body.endswith(b"[DONE]\n\n")
        body["resume"] = {"text": "other"}
        assert (await send("POST", "/v1/completions", body)).status == 409

    run_with_app(make_engine_standin(FAST), check)


def test_engine_without_resume_answers_400():
    async def check(send):
        body = make_body(resume={"text": "x"})
        assert (await send("POST", "/v1/completions", body)).status == 400

    run_with_app(make_engine_standin(FAST, resume=False), check)


def test_crash_marker_crashes_the_engine_and_clears_its_cache():
    engine = make_engine_standin(FAST)

    async def check(send):
        await send("POST", "/v1/completions", make_body())
        old_incarnation = engine.orders.state.incarnation
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            await send("POST", "/v1/completions", make_body(CRASH_MARKER))
        assert engine.orders.state.incarnation != old_incarnation
        reply = await send("POST", "/v1/completions", make_body())
        usage = reply.decode()["usage"]
        assert usage["prompt_tokens_details"]["cached_tokens"] == 0

    run_with_app(engine, check)


@pytest.mark.parametrize(("fencing", "status"), [(True, 409), (False, 200)])
def test_old_fencing_numbers_are_refused_only_with_fencing(fencing, status):
    async def check(send):
        order = {"fencing": 5, "kind": "adapter", "adapter": "x"}
        assert (await send("POST", "/orders", order)).status == 200
        order["fencing"] = 4
        assert (await send("POST", "/orders", order)).status == status
        assert (await send("POST", "/orders", {"kind": "load"})).status == 400

    run_with_app(make_engine_standin(FAST, fencing=fencing), check)


def test_weight_load_refuses_requests_and_clears_the_cache():
    engine = make_engine_standin(FAST)

    async def check(send):
        await send("POST", "/v1/completions", make_body())
        order = {"fencing": 1, "kind": "load", "model": "m", "version": "2"}
        reply = await send("POST", "/orders", order)
        assert reply.decode()["loading"] == "2"
        assert (await send("POST", "/v1/completions", make_body())).status == 503
        while (await send("GET", "/orders")).decode()["version"] != "2":
            await anyio.sleep(0.005)
        reply = await send("POST", "/v1/completions", make_body())
        assert reply.headers["x-weights-version"] == "2"
        details = reply.decode()["usage"]["prompt_tokens_details"]
        assert details["cached_tokens"] == 0

    run_with_app(engine, check)


def test_disconnect_of_a_caller_cancels_its_request():
    engine = make_engine_standin(EngineRates(token_s=10.0))

    async def check(send):
        with pytest.raises(httpcore.ReadTimeout):
            await send(
                "POST", "/v1/completions", make_body(stream=True), request_s=0.05
            )
        while not engine.counts.cancelled:
            await anyio.sleep(0.005)
        assert engine.batch_slots.running == 0

    run_with_app(engine, check)


def test_blocks_are_exported_and_imported_within_a_weights_version():
    source, target = make_engine_standin(FAST), make_engine_standin(FAST)
    source.cache.add([1, 2, 3])

    async def export(send):
        reply = await send("POST", "/kv/export", {"blocks": [1, 2, 9]})
        assert reply.decode()["blocks"] == [1, 2]

    async def import_blocks(send):
        body = {"version": "1", "blocks": [1, 2]}
        assert (await send("POST", "/kv/import", body)).decode()["imported"] == 2
        body["version"] = "2"
        assert (await send("POST", "/kv/import", body)).status == 409

    run_with_app(source, export)
    run_with_app(target, import_blocks)
    assert target.cache.count_cached([1, 2, 3]) == 2


def test_cache_events_are_delayed_lost_and_numbered():
    events = CacheEvents(lag_s=1.0, loss=0.5)
    cache = BlockCache(4, events)
    for number in range(40):
        cache.add([number], now_s=0.0)
    assert events.list_after(0, now_s=0.5) == []
    visible = [event.sequence for event in events.list_after(0, now_s=1.0)]
    assert visible == sorted(set(visible)) and 0 < len(visible) < events.sequence


def test_load_is_reported_with_a_lag():
    history = LoadHistory(lag_s=1.0)
    history.record(0.0, 1, 0)
    history.record(2.0, 5, 3)
    assert history.read(2.5) == (1, 0)
    assert history.read(3.0) == (5, 3)


def test_queue_is_ordered_by_priority_and_drops_cancelled_waiters():
    async def run():
        limiter = PriorityLimiter(1)
        order = []

        async def work(name, priority):
            await limiter.acquire(priority)
            order.append(name)
            limiter.release()

        await limiter.acquire()
        async with anyio.create_task_group() as group:
            group.start_soon(work, "low", 9)
            group.start_soon(work, "high", 1)
            with anyio.move_on_after(0.01):
                await limiter.acquire(0)
            limiter.release()
        assert order == ["high", "low"] and limiter.running == 0

    anyio.run(run)
