"""Requests with odd values, over real sockets and by the decoders."""

import contextlib

import anyio
import msgspec
import pytest
from entry_fleet import HOST, KEY, run_entry
from hypothesis import Phase, given, settings, strategies as st
from raw_replicas import RawReplica, open_raw_replica

from primrosepier.errors import MessageError
from primrosepier.forwarding.declarations import RetryPolicy, Route
from primrosepier.forwarding.fleet import Fleet
from primrosepier.forwarding.forwarder import Forwarder
from primrosepier.forwarding.metrics import EntryMetrics
from primrosepier.forwarding.records import CallFailed
from primrosepier.logs import Log
from primrosepier.platform.ingress import MAX_PROMPT_TOKENS, PlatformRequestReader
from primrosepier.supervision import RESTART_PAUSE_S, run_supervised
from primrosepier.virtualtime import run_in_virtual_time

HUGE = 10**18 - 1
ROUTE = Route("r", "h", "/", (("writers", 1),), RetryPolicy.NEVER, timeout_s=1.0)
VALUES = st.one_of(
    st.text(st.characters(max_codepoint=255), max_size=60),
    st.integers(0, 10**20).map(str),
    st.lists(st.integers(0, 10**19), max_size=30).map(
        lambda counts: ",".join(f"{n:x}:{count}" for n, count in enumerate(counts))
    ),
)
HEADERS = (
    b"prefix-hash",
    b"token-usage",
    b"deadline-ms",
    b"last-event-id",
    b"resumes",
    b"model",
    b"authorization",
    b"host",
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.dictionaries(st.sampled_from(HEADERS), VALUES))
def test_any_header_of_a_caller_is_read_within_bounds_or_rejected(values):
    """Guards against numbers from outside that fit no message between routers."""
    reader = PlatformRequestReader()
    headers = [(name, value.encode("latin-1")) for name, value in values.items()]
    scope = {
        "method": "POST",
        "raw_path": b"/a",
        "query_string": b"",
        "headers": headers,
    }
    reader.read_host(scope)
    reader.read_key(scope)
    assert reader.read_caller_timeout_s(scope) >= 0
    try:
        call = reader.make_call(scope, b"", ROUTE, None, 0.0)
    except MessageError:
        return
    assert 0 <= call.prompt_tokens <= MAX_PROMPT_TOKENS
    assert 0 <= call.output_limit <= MAX_PROMPT_TOKENS
    assert 0 <= call.deadline_s <= ROUTE.timeout_s
    tokens = {part.id: part.tokens for part in call.parts}
    for encode in (msgspec.json.encode, msgspec.msgpack.encode):
        encode([tokens, call.prompt_tokens * 10**6, call.output_limit, call.model])


@pytest.mark.sockets
def test_a_prompt_of_huge_parts_ends_no_router():
    """Guards against one request that ends a router."""

    async def check(fleet):
        async with fleet.open_router("front-2"):
            await fleet.wait_until(lambda: fleet.routers[0].peers.directory.peers)
            parts = ",".join(f"{number:x}:{HUGE}" for number in range(20))
            headers = {"Model": "m0", "Prefix-Hash": parts}
            reply = await fleet.send("/stream/notes/1", **headers)
            assert reply.status == 400
            assert b"prefix-hash" in reply.body
            await anyio.sleep(1.0)
            assert (await fleet.send("/lookup/1", attempt="a2")).status == 200

    run_entry(check)


@pytest.mark.sockets
def test_an_error_in_a_background_task_ends_no_router(monkeypatch):
    """Guards against calls in progress that end with a router's background task."""

    async def check(fleet):
        def fail(replicas, now_s):
            failures.append(now_s)
            raise ValueError("unforeseen")

        failures = []
        with monkeypatch.context() as patch:
            patch.setattr(Fleet, "make_list", fail)
            await fleet.wait_until(lambda: len(failures) >= 2, 5.0)
        assert (await fleet.send("/lookup/1")).status == 200

    run_entry(check)


@pytest.mark.sockets
def test_an_unexpected_error_in_a_call_is_logged_and_counted(monkeypatch):
    """Guards against calls that fail without a line that tells why."""

    async def check(fleet):
        def fail(forwarder, call, delivery):
            raise ValueError("unforeseen")

        router, events = fleet.routers[0], []
        monkeypatch.setattr(Forwarder, "forward", fail)
        monkeypatch.setattr(Log, "emit", lambda log, event: events.append(event))
        assert (await fleet.send("/lookup/1", attempt="a7")).status == 500
        (failed,) = [event for event in events if isinstance(event, CallFailed)]
        assert failed.request == "a7"
        assert any("unforeseen" in error for error in failed.errors)
        metrics = EntryMetrics()
        metrics.observe(failed)
        assert "primrosepier_call_failures_total" in metrics.render().decode()
        assert router.app.in_progress == 0

    run_entry(check)


def test_a_failed_task_begins_anew_after_a_pause():
    async def run():
        async def fail_twice():
            started_at_s.append(anyio.current_time())
            if len(started_at_s) <= 2:
                raise ValueError(str(len(started_at_s)))

        started_at_s, errors = [], []
        await run_supervised(fail_twice, lambda error: errors.append(str(error)))
        pauses = [b - a for a, b in zip(started_at_s, started_at_s[1:], strict=False)]
        assert pauses == pytest.approx([RESTART_PAUSE_S] * 2)
        assert errors == ["1", "2"]

    run_in_virtual_time(run)


TARGETS = (
    "/lookup/a;version=2",
    "/lookup/litter;a=1/7;b",
    "/lookup/a?",
    "/lookup/a??b=?",
    "/lookup/a;x?y;z",
    "/lookup/%41%2f%3B?%00&a=%20+",
    "/lookup/a//b/./../c",
    "/lookup/~!$&'()*+,=:@",
)


@pytest.mark.sockets
def test_a_replica_gets_the_target_that_the_caller_sent():
    """Guards against a replica that runs another request than was sent."""

    async def check(fleet):
        replica = RawReplica(b"", b"Content-Length: 0\r\n")
        async with open_raw_replica(fleet, "app1", replica, "app"):
            for number, target in enumerate(TARGETS):
                reply = await send_raw(fleet, target, f"a{number}")
                assert reply.startswith(b"HTTP/1.1 200 ")
        seen = [head.split(b" ")[1].decode() for head in replica.runs]
        assert seen == list(TARGETS)

    run_entry(check, names=("app1",))


PATH_CHARACTERS = st.one_of(
    st.sampled_from("abzAZ09-._~!$&'()*+,;=:@/"),
    st.integers(0, 255).map("%{:02x}".format),
    st.integers(0, 255).map("%{:02X}".format),
)
SUFFIXES = st.builds(
    lambda path, queries: "?".join(["".join(path), *map("".join, queries)]),
    st.lists(PATH_CHARACTERS, max_size=12),
    st.lists(st.lists(PATH_CHARACTERS, max_size=8), max_size=2),
)
# Shrinking would open the fleet hundreds of times.
MANY_TARGETS = settings(
    derandomize=True, deadline=None, max_examples=3, phases=[Phase.generate]
)


def list_targets(replicas):
    """Return the target that replicas got by call id."""
    targets = {}
    for head in [head for replica in replicas for head in replica.runs]:
        fields = dict(x.lower().split(b": ", 1) for x in head.split(b"\r\n")[1:])
        call_id = fields[b"attempt-id"].decode()
        targets.setdefault(call_id, set()).add(head.split(b" ")[1].decode())
    return targets


@pytest.mark.sockets
@pytest.mark.parametrize("is_passed_on", [False, True])
@MANY_TARGETS
@given(suffixes=st.lists(SUFFIXES, min_size=40, max_size=40))
def test_any_target_reaches_a_replica_byte_for_byte(suffixes, is_passed_on):
    """Guards against a replica that runs another request than was sent."""

    async def check(fleet):
        replica = RawReplica(b"", b"Content-Length: 0\r\n")
        async with (
            fleet.open_router("front-2"),
            open_raw_replica(fleet, "app1", replica, "app"),
        ):
            first, second = fleet.routers
            await fleet.wait_until(
                lambda: (
                    first.peers.directory.peers
                    and second.store_view.replicas.value
                    == first.store_view.replicas.value
                    and second.store_view.declaration.value is not None
                )
            )
            if is_passed_on:
                first.app.forwarder.links.is_cut = True
                first.app.forwarder.links.helpers[second.settings.host] = None
            for number, suffix in enumerate(suffixes):
                reply = await send_raw(fleet, f"/lookup/{suffix}", f"a{number}")
                assert reply.startswith(b"HTTP/1.1 200 ")
        expected = {f"a{n}": {f"/lookup/{x}"} for n, x in enumerate(suffixes)}
        assert list_targets([replica]) == expected

    run_entry(check, names=("app1",))


@pytest.mark.sockets
@MANY_TARGETS
@given(suffixes=st.lists(SUFFIXES, min_size=20, max_size=20))
def test_a_stream_goes_on_with_the_target_that_the_caller_sent(suffixes):
    async def check(fleet):
        event = b"f\r\nid: 1\ndata: a\n\n\r\n"
        headers = b"Transfer-Encoding: chunked\r\n"
        breaking = RawReplica(event, headers)
        whole = RawReplica(event + b"0\r\n\r\n", headers)
        targets = [f"/stream/queries/{n}/{x}" for n, x in enumerate(suffixes)]
        async with (
            open_raw_replica(fleet, "w1", breaking),
            open_raw_replica(fleet, "w2", whole),
        ):
            for number, target in enumerate(targets):
                reply = await send_raw(fleet, target, f"a{number}")
                assert reply.endswith(b"0\r\n\r\n")
        expected = {f"a{number}": {target} for number, target in enumerate(targets)}
        assert list_targets([breaking, whole]) == expected
        assert breaking.runs

    run_entry(check, names=("w1", "w2"), repeat_ratio=10.0)


@pytest.mark.sockets
def test_an_encoded_slash_separates_no_segments_of_a_path():
    """Guards against a call that is routed by another path than the replica sees."""

    async def check(fleet):
        for target, status in (
            ("/lookup%2Fa/b", 404),
            ("/lookup%2fa/b", 404),
            ("/%6cookup/a%2Fb", 200),
            ("/lookup/%2Fb", 200),
        ):
            reply = await send_raw(fleet, target, "a1")
            assert reply.startswith(b"HTTP/1.1 %d " % status)

    run_entry(check)


async def send_raw(fleet, target, attempt, headers=(), body=b""):
    """Send a request on a connection of its own; return the bytes of its answer."""
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"Attempt-Id: {attempt}",
        "Deadline-Ms: 2000",
        f"Content-Length: {len(body)}",
        *(headers or ["Connection: close"]),
    ]
    host, _, port = fleet.routers[0].callers_address.rpartition(":")
    received = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        with anyio.move_on_after(2.0), contextlib.suppress(anyio.EndOfStream):
            while True:
                received += await stream.receive()
    return received


@pytest.mark.sockets
def test_a_target_that_is_not_ascii_is_rejected_and_costs_no_replica():
    """Guards against a caller's odd byte that counts as a failure of replicas."""

    async def check(fleet):
        for number in range(6):
            reply = await send_raw(fleet, "/lookup/a?b=\xff", f"a{number}")
            assert reply.startswith(b"HTTP/1.1 400 ")
        assert not fleet.routers[0].app.forwarder.software_checks.losses
        assert (await fleet.send("/lookup/1")).status == 200

    run_entry(check)


@pytest.mark.sockets
def test_a_request_for_another_protocol_runs_with_its_body_or_not_at_all():
    """Guards against a request that runs with an empty body."""

    async def check(fleet):
        upgrade = ["Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c"]
        reply = await send_raw(fleet, "/booking/1", "a1", upgrade, b"book")
        assert reply.startswith(b"HTTP/1.1 400 ")
        assert not fleet.list_runs()
        await send_raw(fleet, "/booking/1", "a2", upgrade)
        assert [run["attempt-id"] for run in fleet.list_runs()] == ["a2"]

    run_entry(check)
