import re

import anyio
import msgspec
import pytest
from clients import call
from hypothesis import given, settings, strategies as st

from primrosepier.attempt import RelayCount
from primrosepier.configuration import Model
from primrosepier.demo import open_demo
from primrosepier.endpoint_client import EndpointCall, HttpEndpointClient
from primrosepier.errors import RequestError
from primrosepier.plain import is_not_repeatable, normalize_path
from primrosepier.request_checks import (
    check_chat_body,
    check_completion_body,
    check_headers,
    read_idempotency_key,
    read_resume_position,
)
from primrosepier.standin_engine import CRASH_MARKER, make_output_tokens

MODEL = "armor-note-8b"
WORKSPACE = ("authorization", "Bearer demo-handovers")
KEY = ("idempotency-key", "k-1")


def run_with_demo(check):
    async def run():
        async with open_demo() as demo:
            client = HttpEndpointClient()

            async def send(method, path, body=None, headers=(), router=0, wait_s=10.0):
                address = demo.routers[router].callers_address
                sent = [WORKSPACE, *headers]
                return await call(client, address, method, path, body, sent, wait_s)

            try:
                with anyio.fail_after(20):
                    await check(demo, send)
            except Exception as error:
                failures.append(error)
            await client.close()

    failures = []
    anyio.run(run)
    if failures:
        raise failures[0]


def make_body(**more):
    return {"model": MODEL, "prompt": "p" * 3000, "max_tokens": 6, **more}


def read_code(reply):
    assert "x-request-id" in reply.headers
    error = reply.decode()["error"]
    assert error["message"] and error["request_id"] == reply.headers["x-request-id"]
    return error["code"]


@pytest.mark.sockets
def test_invalid_requests_get_their_status_and_code():
    deep = b'{"model":"armor-note-8b","prompt":"p","x":' + b"[" * 90 + b"]" * 90 + b"}"
    invalid_bodies = [
        (b"{", 400, "invalid_json"),
        (b"[]", 400, "invalid_json"),
        (b'{"prompt": "\xff"}', 400, "invalid_json"),
        (b'{"prompt": "\\ud800"}', 400, "invalid_json"),
        (b"[" * 100_000, 400, "invalid_json"),
        (deep, 400, "invalid_json"),
        (b" " * 5_000_000, 413, "body_too_large"),
        (make_body(model="other"), 404, "model_not_found"),
        (make_body(model=3), 400, "invalid_value"),
        (make_body(prompt=["p"]), 400, "invalid_value"),
        (make_body(n=0), 400, "invalid_value"),
        (make_body(max_tokens=-1), 400, "invalid_value"),
        (make_body(max_tokens=True), 400, "invalid_value"),
        (make_body(stream="yes"), 400, "invalid_value"),
        (make_body(cache_salt="other-workspace"), 400, "invalid_value"),
        (make_body(adapter="none"), 404, "adapter_not_found"),
    ]

    async def check(demo, send):
        for body, status, code in invalid_bodies:
            reply = await send("POST", "/v1/completions", body)
            assert (reply.status, read_code(reply)) == (status, code)
        chat = {"model": MODEL, "messages": "hello"}
        assert (await send("POST", "/v1/chat/completions", chat)).status == 400
        assert (await send("GET", "/v1/completions")).status == 405
        assert (await send("GET", "/nothing")).status == 404

    run_with_demo(check)


@pytest.mark.sockets
def test_invalid_headers_get_their_status_and_code():
    async def check(demo, send):
        duplicated = await send("GET", "/v1/models", headers=[WORKSPACE])
        assert (duplicated.status, read_code(duplicated)) == (400, "duplicate_header")
        large = await send("GET", "/v1/models", headers=[("x-large", "y" * 40_000)])
        assert (large.status, read_code(large)) == (431, "headers_too_large")
        event = ("last-event-id", "7")
        reply = await send("POST", "/v1/completions", make_body(stream=True), [event])
        assert (reply.status, read_code(reply)) == (400, "invalid_last_event_id")
        key = ("idempotency-key", "")
        reply = await send("POST", "/v1/completions", make_body(), [key])
        assert (reply.status, read_code(reply)) == (400, "invalid_idempotency_key")
        address = demo.routers[0].callers_address
        other_key = [("authorization", "Bearer other")]
        client = HttpEndpointClient()
        reply = await call(client, address, "GET", "/v1/models", headers=other_key)
        await client.close()
        assert (reply.status, read_code(reply)) == (401, "invalid_api_key")

    run_with_demo(check)


@pytest.mark.sockets
def test_a_router_without_configuration_answers_not_run_with_retry_after():
    async def check(demo, send):
        board = demo.routers[0].app.board
        configuration, board.configuration.value = board.configuration.value, None
        reply = await send("POST", "/v1/completions", make_body())
        board.configuration.value = configuration
        assert (reply.status, read_code(reply)) == (503, "not_run")
        assert int(reply.headers["retry-after"]) >= 1

    run_with_demo(check)


@pytest.mark.sockets
def test_a_not_repeatable_call_runs_once_through_any_router():
    async def check(demo, send):
        path = "/services/roster-app/handovers?litter=3"
        missing = await send("POST", path, {})
        assert (missing.status, read_code(missing)) == (400, "idempotency_key_missing")
        first = await send("POST", path, {"puppy": 1}, [KEY])
        assert first.status == 200
        for router in range(3):
            again = await send("POST", path, {"puppy": 1}, [KEY], router)
            assert (again.status, read_code(again)) == (409, "already_run")
        runs = [len(app.calls) for app in demo.standins.plain.values()]
        assert sum(runs) == 1

    run_with_demo(check)


@pytest.mark.sockets
def test_a_body_without_room_is_refused_with_a_time_to_come_back():
    """Guards against a router that is killed for its memory, with all its requests."""

    async def check(demo, send):
        budget = demo.routers[0].app.body_budget
        budget.limit_bytes = 1000.0
        for path in ("/v1/completions", "/services/roster-app/walkers"):
            reply = await send("POST", path, make_body(), [KEY])
            assert (reply.status, read_code(reply)) == (503, "memory_full")
            assert int(reply.headers["retry-after"]) >= 1
        assert budget.used_bytes == 0
        budget.limit_bytes = 10_000.0
        assert (await send("POST", "/v1/completions", make_body())).status == 200

    run_with_demo(check)


@pytest.mark.sockets
def test_an_error_in_a_background_task_ends_no_router():
    """Guards against calls in progress that end with a router's background task."""

    async def check(demo, send):
        def fail(now_s):
            failures.append(now_s)
            raise ValueError("unforeseen")

        failures = []
        listeners = demo.routers[0].peering.gossip.on_round
        listeners.append(fail)
        with anyio.fail_after(5.0):
            while len(failures) < 2:
                await anyio.sleep(0.05)
        listeners.remove(fail)
        assert (await send("POST", "/v1/completions", make_body())).status == 200
        metrics = (await send("GET", "/metrics")).body.decode()
        (line,) = re.findall(
            r"^primrosepier_task_failures_total.* (\d+)", metrics, re.M
        )
        assert int(line) >= 1

    run_with_demo(check)


@pytest.mark.sockets
def test_an_idle_connection_that_leads_to_no_endpoint_is_closed():
    """Guards against descriptors that are kept for endpoints that have left."""

    async def check(demo, send):
        client = demo.routers[0].platform.client
        address = demo.routers[1].callers_address
        assert await client.probe(address, 1.0)
        assert client.idle[address]
        with anyio.fail_after(3.0):
            while client.idle.get(address):
                await anyio.sleep(0.05)

    run_with_demo(check)


@pytest.mark.sockets
def test_an_encoded_slash_names_no_service():
    """Guards against a call that is checked by another path than the endpoint sees."""

    async def check(demo, send):
        for path in (
            "/services%2Froster-app/handovers",
            "/services/roster-app%2Fhandovers",
        ):
            assert (await send("POST", path, {}, [KEY])).status == 404
        assert not any(app.calls for app in demo.standins.plain.values())

    run_with_demo(check)


@pytest.mark.sockets
def test_a_not_repeatable_call_whose_answer_is_lost_has_an_unknown_outcome():
    async def check(demo, send):
        for app in demo.standins.plain.values():
            app.lose_answers = 1
        for router in range(3):
            reply = await send(
                "POST", "/services/roster-app/handovers", {}, [KEY], router
            )
            assert (reply.status, read_code(reply)) == (502, "unknown_outcome")
        assert sum(len(app.calls) for app in demo.standins.plain.values()) == 1

    run_with_demo(check)


@pytest.mark.sockets
def test_a_not_repeatable_call_is_not_run_while_the_store_is_down():
    async def check(demo, send):
        demo.store.faults.down = True
        reply = await send("POST", "/services/roster-app/handovers", {}, [KEY])
        assert (reply.status, read_code(reply)) == (503, "not_run")
        assert "retry-after" in reply.headers
        assert (await send("GET", "/services/roster-app/walkers")).status == 200
        assert (await send("POST", "/v1/completions", make_body())).status == 200
        calls = [c for app in demo.standins.plain.values() for c in app.calls]
        assert [call.method for call in calls] == ["GET"]

    run_with_demo(check)


@pytest.mark.sockets
def test_a_repeatable_call_is_retried_after_a_lost_answer():
    async def check(demo, send):
        for app in list(demo.standins.plain.values())[:2]:
            app.lose_answers = 1
        reply = await send("GET", "/services/roster-app/walkers")
        assert reply.status == 200

    run_with_demo(check)


@pytest.mark.sockets
def test_a_disconnect_of_the_caller_cancels_the_request_at_the_engine():
    async def check(demo, send):
        body = msgspec.json.encode(make_body(max_tokens=20_000, stream=True))
        address = demo.routers[0].callers_address
        path = "/v1/completions"
        sent = EndpointCall(address, "POST", path, (WORKSPACE,), body, 1.0, 10.0)
        client = HttpEndpointClient()
        async with client.open(sent) as response:
            async for _ in response.aiter_stream():
                break
        while not sum(e.counts.cancelled for e in demo.engines.values()):
            await anyio.sleep(0.005)
        assert not any(e.batch_slots.running for e in demo.engines.values())

    run_with_demo(check)


@pytest.mark.sockets
def test_a_stream_of_a_crashed_engine_continues_at_another_engine():
    async def check(demo, send):
        for engine in list(demo.engines.values())[:5]:
            engine.faults.crash_after_tokens = 3
        for _ in range(4):
            reply = await send("POST", "/v1/completions", make_body(stream=True))
            assert read_answer(reply.body) == "".join(make_output_tokens("p" * 3000, 6))
            assert reply.body.endswith(b"data: [DONE]\n\n")
            assert b'"usage"' not in reply.body

    run_with_demo(check)


@pytest.mark.sockets
def test_all_streams_of_a_crashed_engine_continue():
    async def check(demo, send):
        answers = {}

        async def stream(prompt):
            body = make_body(stream=True, max_tokens=100, prompt=prompt)
            answers[prompt] = (await send("POST", "/v1/completions", body)).body

        engines = demo.engines.values()
        async with anyio.create_task_group() as group:
            for number in range(30):
                group.start_soon(stream, "p" * 3000 + str(number))
            while sum(engine.counts.sent_tokens for engine in engines) < 300:
                await anyio.sleep(0.001)
            max(engines, key=lambda engine: engine.batch_slots.running).crash()
        for prompt, data in answers.items():
            assert read_answer(data) == "".join(make_output_tokens(prompt, 100))
            assert data.endswith(b"data: [DONE]\n\n")
        assert len(answers) == 30

    run_with_demo(check)


def read_answer(data):
    lines = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: {")]
    events = [msgspec.json.decode(line) for line in lines]
    return "".join(e["choices"][0]["text"] for e in events if e["choices"])


@pytest.mark.sockets
def test_answers_and_events_of_other_requests_do_not_reach_the_caller():
    async def check(demo, send):
        expected = "".join(make_output_tokens("p" * 3000, 6))
        await send("POST", "/v1/completions", make_body())
        used_engine = next(e for e in demo.engines.values() if e.counts.started)
        for stream in (False, True):
            used_engine.faults.crossed_events = used_engine.faults.crossed_answers = 1
            reply = await send("POST", "/v1/completions", make_body(stream=stream))
            assert reply.status == 200
            text = (
                read_answer(reply.body)
                if stream
                else reply.decode()["choices"][0]["text"]
            )
            assert text == expected
        counts = demo.routers[0].app.dispatcher.attempts.counts
        assert counts[RelayCount.CROSSED_ANSWER] == 2
        used_engine.faults.crossed_events = 1
        await send("POST", "/v1/completions", make_body(stream=True))
        assert counts[RelayCount.CROSSED_EVENT] == 1

    run_with_demo(check)


@pytest.mark.sockets
def test_a_caller_resumes_at_another_router_with_the_last_event_id():
    async def check(demo, send):
        whole = await send("POST", "/v1/completions", make_body(stream=True))
        events = whole.body.split(b"\n\n")
        last = events[2].split(b"\n")[0].removeprefix(b"id: ").decode()
        header = ("last-event-id", last)
        rest = await send(
            "POST", "/v1/completions", make_body(stream=True), [header], 1
        )
        text = read_answer(b"\n\n".join(events[:3])) + read_answer(rest.body)
        assert text == read_answer(whole.body)
        assert rest.body.startswith(b"id: 4.")

    run_with_demo(check)


@pytest.mark.sockets
def test_a_stream_that_cannot_continue_ends_with_an_error_event():
    async def check(demo, send):
        for engine in demo.engines.values():
            engine.faults.cut_streams = 1
        for engine in demo.engines.values():
            engine.faults.crash_after_tokens = 2
        key = ("idempotency-key", "once")
        body = make_body(stream=True, prompt="q")
        reply = await send("POST", "/v1/completions", body, [key])
        assert b"event: error\n" in reply.body and b"[DONE]" not in reply.body
        assert b"stream_interrupted" in reply.body

    run_with_demo(check)


class ModelsOfOneRequest(frozenset):
    """Models that engines serve until one of them has taken a request."""

    taken = False

    def __contains__(self, model):
        was_taken, self.taken = self.taken, True
        return not was_taken and super().__contains__(model)


@pytest.mark.sockets
def test_a_refusal_after_a_stream_began_ends_it_with_an_error_event():
    """Guards against a second head, and a stream that breaks off without a reason."""

    async def check(demo, send):
        models = ModelsOfOneRequest({MODEL})
        for engine in demo.engines.values():
            engine.faults.crash_after_tokens = 2
            engine.models = models
        reply = await send("POST", "/v1/completions", make_body(stream=True))
        assert reply.status == 200
        assert b"event: error\n" in reply.body and b"[DONE]" not in reply.body
        assert b"stream_interrupted" in reply.body

    run_with_demo(check)


@pytest.mark.sockets
def test_a_request_that_crashes_engines_gets_an_answer():
    async def check(demo, send):
        reply = await send("POST", "/v1/completions", make_body(prompt=CRASH_MARKER))
        assert read_code(reply) in ("not_run", "unknown_outcome")

    run_with_demo(check)


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/handovers", True),
        ("/handovers/", True),
        ("//Handovers", True),
        ("/./handovers/7", True),
        ("/handovers-list", False),
        ("/", False),
    ],
)
def test_not_repeatable_calls_are_recognised_for_equivalent_paths(path, expected):
    class Roster:
        not_repeatable = ("POST /handovers",)

    assert is_not_repeatable(Roster, "POST", path) is expected
    assert not is_not_repeatable(Roster, "GET", path)


def test_a_path_with_parent_segments_is_refused():
    with pytest.raises(RequestError):
        normalize_path("/a/../handovers")


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=8,
)
FIELDS = ["messages", "prompt", "n", "max_tokens", "stream", "stream_options"]
FIELDS += ["adapter", "priority", "seed", "temperature"]


@given(body=st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=6))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_arbitrary_bodies_are_accepted_or_refused(body):
    model = Model("m", "1")
    for check in (check_chat_body, check_completion_body):
        try:
            check(dict(body), model)
        except RequestError as error:
            assert 400 <= error.status < 500 and error.code


HEADER_NAMES = [b"idempotency-key", b"last-event-id", b"content-length", b"x-trace"]
HEADER_VALUES = st.one_of(
    st.binary(max_size=40),
    st.integers(0, 10**20).map(lambda number: str(number).encode()),
    st.integers(0, 10**20).map(lambda number: b"%x-%d" % (number, number)),
)


@given(st.lists(st.tuples(st.sampled_from(HEADER_NAMES), HEADER_VALUES), max_size=5))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_arbitrary_headers_are_accepted_or_refused(headers):
    """Guards against values of headers that no wire can hold."""
    scope = {"headers": headers}
    reads = (
        lambda scope: check_headers(scope, 100),
        read_idempotency_key,
        read_resume_position,
    )
    for read in reads:
        try:
            value = read(scope)
        except RequestError as error:
            assert 400 <= error.status < 500 and error.code
        else:
            msgspec.json.encode(value)
            msgspec.msgpack.encode(value)
