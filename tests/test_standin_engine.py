import anyio
import httpcore
import pytest
from clients import run_with_app

from primrosepier.standin_batch import LoadHistory, PriorityLimiter
from primrosepier.standin_cache import BlockCache, CacheEvents
from primrosepier.standin_engine import (
    CRASH_MARKER,
    EngineRates,
    make_answer,
    make_engine_standin,
)

pytestmark = pytest.mark.sockets
FAST = EngineRates(token_s=0.0, event_lag_s=0.0, load_s=0.05)
PROMPT = "p" * 6000


def ask(prompt=PROMPT, **more):
    return {"model": "m", "prompt": prompt, "max_tokens": 4, **more}


def test_a_second_request_reads_the_cache_and_another_workspace_does_not():
    async def check(send):
        cached = []
        for salt in ("a", "a", "b"):
            reply = await send("POST", "/v1/completions", ask(cache_salt=salt))
            usage = reply.decode()["usage"]
            cached.append(usage["prompt_tokens_details"]["cached_tokens"])
        assert cached == [0, 1024, 0]

    run_with_app(make_engine_standin(FAST), check)


def test_resume_goes_on_after_given_output_and_refuses_other_output():
    async def check(send):
        tokens = make_answer(PROMPT, 4)
        resume = {"text": "".join(tokens[:2])}
        body = ask(stream=True, resume=resume)
        reply = await send("POST", "/v1/completions", body)
        assert tokens[1].encode() not in reply.body
        assert tokens[2].encode() in reply.body and reply.body.endswith(b"[DONE]\n\n")
        body["resume"] = {"text": "other"}
        assert (await send("POST", "/v1/completions", body)).status == 409

    run_with_app(make_engine_standin(FAST), check)


def test_an_engine_without_resume_refuses_it():
    async def check(send):
        body = ask(resume={"text": "x"})
        assert (await send("POST", "/v1/completions", body)).status == 400

    run_with_app(make_engine_standin(FAST, resume=False), check)


def test_a_marked_prompt_crashes_the_engine_and_it_comes_back_empty():
    engine = make_engine_standin(FAST)

    async def check(send):
        await send("POST", "/v1/completions", ask())
        before = engine.orders.state.incarnation
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            await send("POST", "/v1/completions", ask(CRASH_MARKER))
        assert engine.orders.state.incarnation != before
        reply = await send("POST", "/v1/completions", ask())
        usage = reply.decode()["usage"]
        assert usage["prompt_tokens_details"]["cached_tokens"] == 0

    run_with_app(engine, check)


@pytest.mark.parametrize(("fencing", "status"), [(True, 409), (False, 200)])
def test_old_fencing_numbers_are_refused_or_ignored(fencing, status):
    async def check(send):
        order = {"fencing": 5, "kind": "adapter", "adapter": "x"}
        assert (await send("POST", "/orders", order)).status == 200
        order["fencing"] = 4
        assert (await send("POST", "/orders", order)).status == status
        assert (await send("POST", "/orders", {"kind": "load"})).status == 400

    run_with_app(make_engine_standin(FAST, fencing=fencing), check)


def test_a_load_takes_time_refuses_requests_and_drops_the_cache():
    engine = make_engine_standin(FAST)

    async def check(send):
        await send("POST", "/v1/completions", ask())
        order = {"fencing": 1, "kind": "load", "model": "m", "version": "2"}
        reply = await send("POST", "/orders", order)
        assert reply.decode()["loading"] == "2"
        assert (await send("POST", "/v1/completions", ask())).status == 503
        while (await send("GET", "/orders")).decode()["version"] != "2":
            await anyio.sleep(0.005)
        reply = await send("POST", "/v1/completions", ask())
        assert reply.headers["x-weights-version"] == "2"
        details = reply.decode()["usage"]["prompt_tokens_details"]
        assert details["cached_tokens"] == 0

    run_with_app(engine, check)


def test_a_caller_who_leaves_is_counted_as_cancelled():
    engine = make_engine_standin(EngineRates(token_s=10.0))

    async def check(send):
        with pytest.raises(httpcore.ReadTimeout):
            await send("POST", "/v1/completions", ask(stream=True), request_s=0.05)
        while not engine.counts.cancelled:
            await anyio.sleep(0.005)
        assert engine.batch.running == 0

    run_with_app(engine, check)


def test_blocks_move_between_engines_of_one_version():
    source, target = make_engine_standin(FAST), make_engine_standin(FAST)
    source.cache.add([1, 2, 3])

    async def export(send):
        reply = await send("POST", "/kv/export", {"blocks": [1, 2, 9]})
        assert reply.decode()["blocks"] == [1, 2]

    async def take(send):
        body = {"version": "1", "blocks": [1, 2]}
        assert (await send("POST", "/kv/import", body)).decode()["imported"] == 2
        body["version"] = "2"
        assert (await send("POST", "/kv/import", body)).status == 409

    run_with_app(source, export)
    run_with_app(target, take)
    assert target.cache.count_cached([1, 2, 3]) == 2


def test_events_are_late_lost_and_numbered():
    events = CacheEvents(lag_s=1.0, loss=0.5)
    cache = BlockCache(4, events)
    for number in range(40):
        cache.add([number], now_s=0.0)
    assert events.list_after(0, now_s=0.5) == []
    seen = [event.sequence for event in events.list_after(0, now_s=1.0)]
    assert seen == sorted(set(seen)) and 0 < len(seen) < events.sequence


def test_load_is_reported_late():
    history = LoadHistory(lag_s=1.0)
    history.record(0.0, 1, 0)
    history.record(2.0, 5, 3)
    assert history.read(2.5) == (1, 0)
    assert history.read(3.0) == (5, 3)


def test_priority_orders_the_queue_and_a_cancelled_waiter_leaves_it():
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
