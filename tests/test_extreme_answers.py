"""Replicas and stores whose answers hold extreme numbers, over real sockets."""

import pytest
from entry_fleet import run_entry
from raw_replicas import RawReplica, open_raw_replica

pytestmark = pytest.mark.sockets
DIGITS = [b"9" * count for count in (9, 18, 19, 20, 309, 5000)]
NAMES = (
    b"Instance-Load",
    b"Server-Limit",
    b"Server-Brittle",
    b"Weight-Versions",
    b"Store-Era",
    b"Age",
    b"Content-Range",
)
HEADERS = [
    *(name + b": " + value for name in NAMES for value in DIGITS),
    *(b"Instance-Load: " + b",".join([value] * 3) for value in DIGITS),
    *(b"Keep-Alive: timeout=" + value for value in DIGITS),
    *(b"Retry-After: " + value for value in [*DIGITS, b"1e400", b"-1e400", b"nan"]),
    *(b"Date: Sat, 05 Dec " + value + b" 00:00:00 GMT" for value in DIGITS),
]
FRAMINGS = [
    *(b"Content-Length: " + value + b"\r\n\r\nx" for value in DIGITS),
    *(
        b"Transfer-Encoding: chunked\r\n\r\n" + value.replace(b"9", b"f") + b"\r\nx"
        for value in DIGITS
    ),
]


async def call_replica(fleet, number, replica):
    """Send a call to a replica that no call has reached before."""
    name = f"app{number}"
    async with open_raw_replica(fleet, name, replica, "app"):
        reply = await fleet.send(
            f"/lookup/{number}", attempt=f"a{number}", limit_ms=500
        )
    fleet.store.remove(f"servers/{name}")
    assert replica.runs, (number, reply)
    return reply


def run_odd(check):
    run_entry(check, names=("w1",), repeat_ratio=10.0)


@pytest.mark.parametrize("status", [200, 503])
def test_no_number_in_the_head_of_an_answer_is_an_error_of_the_router(status):
    """Guards against a replica whose answers end calls by an unforeseen error."""

    async def check(fleet):
        for number, header in enumerate(HEADERS):
            headers = header + b"\r\nContent-Length: 0\r\n"
            replica = RawReplica(b"", headers, status=status)
            reply = await call_replica(fleet, number, replica)
            assert reply.status in (200, 502), header[:60]

    run_odd(check)


def test_no_number_in_the_framing_of_an_answer_is_an_error_of_the_router():
    async def check(fleet):
        for number, framing in enumerate(FRAMINGS):
            head, _, body = framing.partition(b"\r\n\r\n")
            replica = RawReplica(body, head + b"\r\n")
            reply = await call_replica(fleet, number, replica)
            assert reply.status == 502, framing[:60]

    run_odd(check)
