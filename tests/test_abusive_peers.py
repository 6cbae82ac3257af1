"""The other interface's process under callers and peers that send without end.

See `test_abusive_callers.py`; here the router is the one of `primrosepier router`.
"""

import contextlib
import sys

import anyio
import pytest
from clients import call
from entry_fleet import HOST
from fleet import open_platform
from h2.connection import H2Connection
from ports import find_free_port
from test_abusive_callers import BARE_GET, CHUNKED, FLOOD_S, LINES, Watch, flood
from test_memory import Installation

# Beside other tests, the machine would be short of processor time for both.
pytestmark = [pytest.mark.sockets, pytest.mark.alone]
MEMORY_MB = 140
MAX_FDS = 400
MIB = 1024 * 1024
SETTINGS = """
[router]
host = entry-1
failure_domain = Rennes
callers_address = 127.0.0.1:{callers}
peers_address = 127.0.0.1:{peers}
[platform]
store_address = {store}
[limits]
memory_bytes = {memory}
header_bytes = 16384
header_s = 3
[logs]
sink = {log}
"""
CALL = (("Host", HOST), ("Authorization", "Bearer demo-handovers"))


@contextlib.asynccontextmanager
async def open_router_process(folder):
    """Run a router with low limits, whose engines are in this process."""
    async with open_platform() as fleet:
        ports = [find_free_port() for _ in range(2)]
        text = SETTINGS.format(
            callers=ports[0],
            peers=ports[1],
            store=fleet.store_address,
            memory=MEMORY_MB * MIB,
            log=folder / "log",
        )
        (folder / "router.ini").write_text(text)
        process = await anyio.open_process(
            ["sh", "-c", f'ulimit -n {MAX_FDS}; exec "$0" "$@"', sys.executable]
            + ["-m", "primrosepier", "router", "-s", str(folder / "router.ini")],
            stdout=(folder / "output").open("wb"),
            stderr=None,
        )
        installation = Installation(process, f"127.0.0.1:{ports[0]}")
        installation.peers_address = f"127.0.0.1:{ports[1]}"
        try:
            with anyio.fail_after(15):
                while await send(installation, "GET", "/readyz") != 200:
                    await anyio.sleep(0.1)
            yield installation
        finally:
            process.kill()
            await process.wait()
            await installation.client.close()


async def send(installation, method="POST", path="/v1/completions"):
    """Return the status of an ordinary call; 0 if there is no connection."""
    body = {"model": "armor-note-8b", "prompt": "p" * 300, "max_tokens": 2}
    with contextlib.suppress(Exception):
        reply = await call(
            installation.client,
            installation.address,
            method,
            path,
            body if method == "POST" else None,
            CALL,
            request_s=20.0,
        )
        return reply.status
    return 0


def check_process(folder, load):
    """Run a load in a thread; check the router during and after it."""

    async def check(installation):
        assert await send(installation) == 200
        print(f"at rest {installation.read_peak_mib():.0f} MiB")
        watch = Watch(installation)
        statuses = []

        async def send_one():
            await anyio.sleep(FLOOD_S / 2)
            statuses.append(await send(installation))

        async with anyio.create_task_group() as group:
            group.start_soon(send_one)
            connections = await anyio.to_thread.run_sync(load, installation, watch)
        for connection in connections:
            connection.close()
        await anyio.sleep(0.5)
        statuses.append(await send(installation))
        peak_mib = installation.read_peak_mib()
        print(f"peak {peak_mib:.0f} MiB, {watch.fds} descriptors, {statuses}")
        assert peak_mib < MEMORY_MB
        assert watch.fds < MAX_FDS
        assert statuses == [200, 200]

    async def run():
        with anyio.fail_after(60):
            async with open_router_process(folder) as installation:
                await check(installation)

    anyio.run(run)


# The server sends its settings twice; its larger windows hold from then on.
SETTINGS_ACK = b"\0\0\0\x04\x01\0\0\0\0"


def make_opening(streams, size=0, header_bytes=0):
    """Return the bytes that open calls of which each announces a large message."""
    client = H2Connection()
    client.initiate_connection()
    parts = [client.data_to_send(), 2 * SETTINGS_ACK]
    for stream in range(1, 2 * streams, 2):
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", "/primrosepier.Peers/Exchange"),
            (":authority", "a"),
            ("te", "trailers"),
            ("content-type", "application/grpc+msgpack"),
        ]
        # The same line again and again takes a byte of the connection for each.
        headers += [("x", "y" * 3000)] * (header_bytes // 3000)
        client.send_headers(stream, headers)
        parts.append(client.data_to_send())
        message = b"\0" + (4 * MIB).to_bytes(4, "big") + bytes(size)
        for start in range(0, size, 16384):
            data = message[start : start + 16384]
            head = len(data).to_bytes(3, "big") + b"\0\0" + stream.to_bytes(4, "big")
            parts.append(head + data)
    return b"".join(parts)


PING = b"\0\0\x08\x06\0\0\0\0\0" + bytes(8)
# Connections, and the bytes that each of them sends first, and then again and again.
PEER_LOADS = {
    "pings": (12, make_opening(0), PING * 4000),
    "messages that never end": (20, make_opening(8, 3 * MIB), b""),
    "calls with long heads": (60, make_opening(100, 0, 60000), b""),
    "idle connections": (500, b"", b""),
}


@pytest.mark.parametrize("name", PEER_LOADS)
def test_peers_that_send_without_end_stay_within_the_limits(tmp_path, name):
    """Guards against limits that hold for the callers' address alone.

    What is sent back is not read.
    """
    load = PEER_LOADS[name]
    check_process(tmp_path, lambda x, watch: flood(x.peers_address, watch, *load))


CALLER_LOADS = {
    "trailers": (12, CHUNKED + b"1\r\nx\r\n0\r\n", LINES),
    "pipelined bare requests": (12, b"", BARE_GET * 500),
    "heads of many lines": (180, b"POST / HTTP/1.1\r\n" + LINES[: 4 * 3900], b""),
    "idle connections": (500, b"", b""),
}


@pytest.mark.parametrize("name", CALLER_LOADS)
def test_callers_of_the_other_interface_stay_within_the_limits(tmp_path, name):
    """Guards against limits that hold for one of the interfaces alone."""
    load = CALLER_LOADS[name]
    check_process(tmp_path, lambda x, watch: flood(x.address, watch, *load))
