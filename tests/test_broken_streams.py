"""Streams that replicas break off, with and without a length, over real sockets."""

import anyio
import httpcore
import pytest
from entry_fleet import HOST, KEY, run_entry
from raw_replicas import ConnectionEnd, RawReplica, open_raw_replica

from primrosepier.endpoint_client import EndpointCall
from primrosepier.platform.orders import PlatformOrders

pytestmark = pytest.mark.sockets
EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3))
BROKEN = EVENTS[: EVENTS.rindex(b"token")]
CHUNKED = b"Transfer-Encoding: chunked\r\n"
PATHS = ("/stream/notes/1", "/stream/queries/1")
BROKEN_OFF = (httpcore.NetworkError, httpcore.ProtocolError)


def make_chunks(body):
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def run_with_replicas(check, **replicas):
    async def run(fleet):
        async with open_raw_replica(fleet, "w1", replicas["w1"]):
            if "w2" not in replicas:
                await check(fleet)
                return
            async with open_raw_replica(fleet, "w2", replicas["w2"]):
                await check(fleet)

    run_entry(run, names=("w1", "w2") if "w2" in replicas else ("w1",))


@pytest.mark.parametrize("path", PATHS)
def test_a_stream_that_ends_within_an_event_is_not_passed_on_as_complete(path):
    async def check(fleet):
        with pytest.raises(BROKEN_OFF):
            await fleet.send(path)

    run_with_replicas(check, w1=RawReplica(BROKEN))


@pytest.mark.parametrize("path", PATHS)
def test_a_chunked_stream_that_ends_within_an_event_is_not_passed_on_as_complete(path):
    async def check(fleet):
        with pytest.raises(BROKEN_OFF):
            await fleet.send(path)

    run_with_replicas(check, w1=RawReplica(make_chunks(BROKEN), CHUNKED))


@pytest.mark.parametrize("path", PATHS)
def test_a_stream_that_is_reset_within_an_event_is_not_passed_on_as_complete(path):
    async def check(fleet):
        with pytest.raises(BROKEN_OFF):
            await fleet.send(path)

    run_with_replicas(check, w1=RawReplica(BROKEN, end=ConnectionEnd.RESET))


def test_a_stream_that_ends_within_an_event_continues_at_another_replica():
    async def check(fleet):
        replica = RawReplica(BROKEN)
        async with open_raw_replica(fleet, "w1", replica):
            while not replica.runs:
                assert (await fleet.send("/stream/queries/1")).body == EVENTS

    run_entry(check, names=("w1", "w2"), repeat_ratio=1.0)


@pytest.mark.parametrize("path", PATHS)
def test_a_response_that_ends_before_its_first_event_gets_502(path):
    async def check(fleet):
        assert (await fleet.send(path)).status == 502

    run_with_replicas(check, w1=RawReplica(b""))


@pytest.mark.parametrize("path", PATHS)
def test_a_whole_stream_without_a_length_is_passed_on_as_complete(path):
    async def check(fleet):
        assert (await fleet.send(path)).body == EVENTS

    run_with_replicas(check, w1=RawReplica(EVENTS))


@pytest.mark.parametrize("path", PATHS)
def test_a_whole_stream_with_carriage_returns_is_passed_on_as_complete(path):
    events = EVENTS.replace(b"\n", b"\r\n")

    async def check(fleet):
        assert (await fleet.send(path)).body == events

    run_with_replicas(check, w1=RawReplica(events))


# What the socket buffers of both ends hold, and what is read at a time.
MAX_ENDLESS_BYTES = 16 * 1024 * 1024
# Shorter than the time-out of the routes.
GIVEN_UP_S = 2.5


@pytest.mark.parametrize("path", PATHS)
def test_an_event_without_end_is_given_up(path):
    replica = RawReplica(EVENTS + b"data: ", endless=b"x" * 8000)

    async def check(fleet):
        with anyio.fail_after(GIVEN_UP_S), pytest.raises(BROKEN_OFF):
            await fleet.send(path, limit_ms=8000)
        assert replica.sent < MAX_ENDLESS_BYTES

    run_with_replicas(check, w1=replica)


def test_an_error_without_end_is_given_up():
    replica = RawReplica(b"", status=500, endless=b"x" * 8000)

    async def check(fleet):
        with anyio.fail_after(GIVEN_UP_S):
            assert (await fleet.send(PATHS[0], limit_ms=8000)).status == 502
        assert replica.sent < MAX_ENDLESS_BYTES

    run_with_replicas(check, w1=replica)


def test_a_report_without_end_is_given_up():
    replica = RawReplica(b"", endless=b"x" * 8000)

    async def check(fleet):
        (listed,) = fleet.routers[0].store_view.replicas.value.list_replicas("writers")
        assert await PlatformOrders(fleet.client).read_state(listed) is None
        assert replica.sent < MAX_ENDLESS_BYTES

    run_with_replicas(check, w1=replica)


ERROR = b"data: an error\n\n"


@pytest.mark.parametrize("status", [204, 206, 301, 400, 404, 409, 500, 502, 504])
def test_an_error_of_the_next_replica_is_no_part_of_a_stream(status):
    """Guards against an error's text, or its head, within a stream that had begun."""
    length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(ERROR)
    failing = RawReplica(b"" if status == 204 else ERROR, length, status=status)

    async def check(fleet):
        replica = RawReplica(BROKEN)
        async with (
            open_raw_replica(fleet, "w1", replica),
            open_raw_replica(fleet, "w2", failing),
        ):
            while not replica.runs or not failing.runs:
                replica.runs.clear()
                failing.runs.clear()
                received = await receive_stream(fleet)
        whole = EVENTS[: EVENTS.rindex(b"id:")]
        assert received == (whole, False)

    run_entry(check, names=("w1", "w2"), repeat_ratio=1.0, repeat_extra=100.0)


async def receive_stream(fleet, path="/stream/queries/1"):
    """Return the bytes of a stream's body, and whether it ended as complete."""
    parts = []
    router = fleet.routers[0]
    headers = {"Host": HOST, "Attempt-Id": "a1", "Authorization": f"Bearer {KEY}"}
    call = EndpointCall(
        router.callers_address,
        "POST",
        path,
        (*headers.items(), ("Deadline-Ms", "2000")),
        b"",
        1.0,
        3.0,
    )
    try:
        async with fleet.client.open(call) as response:
            async for part in response.aiter_stream():
                parts.append(part)
    except BROKEN_OFF:
        return b"".join(parts), False
    return b"".join(parts), True


@pytest.mark.parametrize("status", [404, 500])
def test_an_error_of_another_router_is_no_part_of_a_stream(status):
    """Guards against an error's head in a stream that is passed on after it began."""
    failing = RawReplica(ERROR, b"Content-Length: %d\r\n" % len(ERROR), status=status)

    async def check(fleet):
        replica = RawReplica(BROKEN)
        links = fleet.routers[0].app.forwarder.links
        async with (
            fleet.open_router("front-2"),
            open_raw_replica(fleet, "w1", replica),
            open_raw_replica(fleet, "w2", failing),
        ):
            await fleet.wait_until(lambda: fleet.routers[0].peers.directory.peers)
            serve = replica.serve

            async def serve_and_cut(stream):
                links.helpers = {"front-2": anyio.current_time()}
                await serve(stream)
                links.is_cut = True

            replica.serve = serve_and_cut
            while not replica.runs or not failing.runs:
                replica.runs.clear()
                failing.runs.clear()
                links.is_cut = False
                received = await receive_stream(fleet)
        whole = EVENTS[: EVENTS.rindex(b"id:")]
        assert received == (whole, False)

    run_entry(check, names=("w1", "w2"), repeat_ratio=1.0, repeat_extra=100.0)
