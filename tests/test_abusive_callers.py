"""A router's process under callers that send without end or never read.

Each test floods one process on loopback for a bounded time and checks that it lives,
stays within the memory and the descriptors of its settings, and answers an ordinary
request afterwards.
"""

import contextlib
import os
import re
import selectors
import socket
import sys
import time
from pathlib import Path

import anyio
import pytest
from clients import call
from entry_fleet import HOST, KEY, make_configuration
from node_settings import make_node_settings
from test_memory import Installation, wait_until_ready

from primrosepier.asgi import open_server
from primrosepier.platform.settings import METRICS_PORT
from primrosepier.platform.standins import StandinReplica, StandinStore

# Beside other tests, the machine would be short of processor time for both.
pytestmark = [pytest.mark.sockets, pytest.mark.alone]
MEMORY_MB = 100
MAX_FDS = 1000
MIB = 1024 * 1024
BODY_BYTES = 4 * MIB
HEAD_BYTES = 16384
FLOOD_S = 3.0
WATCH_INTERVAL_S = 0.02
# A flood ends early at this multiple of the bound, to spare the machine.
STOP_FACTOR = 4
# Connections that a flood may open anew, each time that one is closed.
MAX_REOPENED = 2000
# Not an address that another test's process listens on: the port of metrics is fixed.
INTERNAL_IP = f"127.0.{os.getpid() % 250 + 1}.77"

USUAL = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nDeadline-Ms: 20000\r\n"


def make_head(path="/lookup/1", method="POST", more="", attempt="x1"):
    return (
        f"{method} {path} HTTP/1.1\r\n{USUAL}Attempt-Id: {attempt}\r\n{more}".encode()
    )


LINES = b"a:\r\n" * 4096
MANY_LINES = make_head(more="Content-Length: 0\r\n") + LINES[: 4 * 3000] + b"\r\n"
CHUNKED = make_head(more="Transfer-Encoding: chunked\r\n") + b"\r\n"
LONG_BODY = make_head(more=f"Content-Length: {BODY_BYTES}\r\n")
BARE_GET = b"GET / HTTP/1.1\r\n\r\n"
# Bytes that each connection sends first, and then again and again.
ENDLESS = {
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", LINES),
    "a long trailer": (CHUNKED + b"1\r\nx\r\n0\r\na: ", b"x" * 16384),
    "chunk extensions": (CHUNKED + b"1;a=", b"x" * 16384),
    "small chunks": (CHUNKED, b"2\r\nxx\r\n" * 2048),
    "pipelined heads of many lines": (b"", MANY_LINES),
    "pipelined bare requests": (b"", BARE_GET * 500),
    "pipelined usual requests": (
        b"",
        make_head(method="GET", more="Content-Length: 0\r\n") + b"\r\n",
    ),
    "lines of a head": (b"POST /lookup/1 HTTP/1.1\r\n", LINES),
    "a long header": (b"POST /lookup/1 HTTP/1.1\r\na: ", b"x" * 16384),
    "empty lines": (b"", b"\r\n" * 8192),
}


class LargeReplica(StandinReplica):
    """Replica whose streams and responses are far longer than buffers."""

    async def _run(self, scope, body, receive, send):
        if scope["path"] == "/lookup/9":
            body = bytes(BODY_BYTES)
        await super()._run(scope, body, receive, send)

    async def _stream(self, headers, response_headers, send):
        async def send_large(message):
            if message["type"] == "http.response.body" and message.get("body"):
                message = {**message, "body": b": " + b"x" * 50000 + b"\n\n"}
            await send(message)

        await super()._stream(headers, response_headers, send_large)


class Watch:
    """Peak memory and descriptors of a process."""

    def __init__(self, installation):
        self.installation = installation
        self.fds = 0
        self.checked_at_s = 0.0

    def is_over(self):
        """Measure, and return whether the load must end to spare the machine."""
        now_s = time.monotonic()
        if now_s < self.checked_at_s + WATCH_INTERVAL_S:
            return False
        self.checked_at_s = now_s
        pid = self.installation.process.pid
        if self.installation.process.returncode is not None:
            return True
        with contextlib.suppress(OSError):
            self.fds = max(self.fds, len(os.listdir(f"/proc/{pid}/fd")))
        return self.installation.read_peak_mib() > STOP_FACTOR * MEMORY_MB


@contextlib.asynccontextmanager
async def open_installation(
    folder, replica_type=StandinReplica, events=3, max_fds=MAX_FDS
):
    """Run a router as a process with low limits."""
    async with contextlib.AsyncExitStack() as stack:

        async def serve(app):
            return await stack.enter_async_context(open_server(app, "127.0.0.1:0"))

        store = StandinStore()
        configuration = make_configuration()
        configuration["limits"].update(
            maxBodyBytes=BODY_BYTES,
            maxHeaderBytes=HEAD_BYTES,
            headerTimeoutMs=3000,
            idleTimeoutMs=15000,
        )
        for route in configuration["routes"]:
            route["timeoutMs"] = 20000
        store.put("op/config", configuration)
        replicas = {}
        for name, service in (("w1", "writers"), ("app1", "app")):
            replica = replicas[name] = replica_type(name, events=events)
            entry = replica.make_entry(service, await serve(replica), slots=64)
            store.put(f"servers/{name}", entry)
        text, ports = make_node_settings(
            await serve(store),
            f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {max_fds}",
        )
        text = text.replace('ip = "127.0.0.1"', f'ip = "{INTERNAL_IP}"')
        settings = folder / "node.toml"
        settings.write_text(text)
        process = await anyio.open_process(
            [sys.executable, "-m", "primrosepier", "entry-router"],
            env={**os.environ, "PRIMROSEPIER_CONFIG": str(settings)},
            stdout=(folder / "output").open("wb"),
            stderr=None,
        )
        installation = Installation(process, f"127.0.0.1:{ports[1]}")
        installation.replicas = replicas
        installation.addresses = {
            "callers": installation.address,
            "readiness": f"127.0.0.1:{ports[2]}",
            "peers": f"{INTERNAL_IP}:{ports[0]}",
            "metrics": f"{INTERNAL_IP}:{METRICS_PORT}",
        }
        try:
            await wait_until_ready(installation, installation.addresses["readiness"])
            yield installation
        finally:
            process.kill()
            await process.wait()
            await installation.client.close()


def connect(address):
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=1.0)
    connection.setblocking(False)
    return connection


def flood(address, watch, count, first, repeated=b"", reads=False, limit_s=FLOOD_S):
    """Send on connections as fast as they take it; return them.

    Connections that the router closes are opened anew.
    """
    ends_at_s = time.monotonic() + limit_s
    selector = selectors.DefaultSelector()
    reopened = 0
    events = selectors.EVENT_WRITE | (selectors.EVENT_READ if reads else 0)

    def start():
        with contextlib.suppress(OSError):
            selector.register(connect(address), events, [memoryview(first)])

    def send(key):
        unsent = key.data
        if not unsent[0]:
            unsent[0] = memoryview(repeated)
        if not unsent[0]:
            selector.modify(key.fileobj, selectors.EVENT_READ, unsent)
            return
        unsent[0] = unsent[0][key.fileobj.send(unsent[0]) :]

    for _ in range(count):
        start()
        if watch.is_over():
            break
    while selector.get_map() and time.monotonic() < ends_at_s and not watch.is_over():
        for key, mask in selector.select(0.05):
            try:
                if mask & selectors.EVENT_WRITE:
                    send(key)
                elif reads and not key.fileobj.recv(65536):
                    raise ConnectionResetError
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(key.fileobj)
                key.fileobj.close()
                reopened += 1
                if reopened < MAX_REOPENED:
                    start()
        if not repeated and not reads:
            time.sleep(WATCH_INTERVAL_S)
    connections = [key.fileobj for key in selector.get_map().values()]
    selector.close()
    return connections


async def read_response(stream):
    """Return the bytes of a response with a length or chunks."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += await stream.receive()
    length = re.search(rb"content-length: (\d+)", received)
    if length:
        size = received.index(b"\r\n\r\n") + 4 + int(length[1])
        while len(received) < size:
            received += await stream.receive()
    else:
        while not received.endswith(b"\r\n0\r\n\r\n"):
            received += await stream.receive()
    return received


def check_installation(
    folder, load, replica_type=StandinReplica, events=3, max_fds=MAX_FDS
):
    """Run a load in a thread; check the router during and after it."""

    async def check(installation):
        watch = Watch(installation)
        connections = []
        try:
            loaded = await anyio.to_thread.run_sync(load, installation, watch)
            connections.extend(loaded)
            watch.checked_at_s = 0.0
            watch.is_over()
            peak_mib = installation.read_peak_mib()
            print(f"peak {peak_mib:.0f} MiB, {watch.fds} descriptors")
            during = await installation.send("/lookup/1", "d1")
        finally:
            for connection in connections:
                connection.close()
        await anyio.sleep(0.5)
        after = await installation.send("/lookup/1", "d2")
        assert installation.process.returncode is None
        peak_mib = installation.read_peak_mib()
        print(f"peak {peak_mib:.0f} MiB, {watch.fds} descriptors")
        assert peak_mib < MEMORY_MB
        assert watch.fds < max_fds
        assert during.status == 200
        assert after.status == 200

    async def run():
        with anyio.fail_after(60):
            async with open_installation(
                folder, replica_type, events, max_fds
            ) as installation:
                await check(installation)

    anyio.run(run)


@pytest.mark.parametrize("shape", ENDLESS)
def test_requests_without_end_stay_within_the_memory(tmp_path, shape):
    """Guards against a router that parses what it can't serve, and runs out of memory.

    The responses are not read.
    """
    first, repeated = ENDLESS[shape]
    check_installation(
        tmp_path, lambda x, watch: flood(x.address, watch, 12, first, repeated)
    )


@pytest.mark.parametrize("shape", ["pipelined bare requests", "trailers"])
@pytest.mark.parametrize("name", ["readiness", "peers", "metrics"])
def test_each_address_of_the_process_is_bounded(tmp_path, name, shape):
    """Guards against limits that hold for the callers' address alone."""
    first, repeated = ENDLESS[shape]
    check_installation(
        tmp_path, lambda x, watch: flood(x.addresses[name], watch, 12, first, repeated)
    )


HELD = {
    "bodies": LONG_BODY + LINES[: 4 * 3900] + b"\r\n",
    "chunks": CHUNKED[:-2] + LINES[: 4 * 3900] + b"\r\n1\r\nx\r\n",
    "heads": make_head() + LINES[: 4 * 3900],
    "names": LONG_BODY
    + b"".join(b"%x:\r\n" % n for n in range(2600))[: HEAD_BYTES - 300].rpartition(
        b"\n"
    )[0]
    + b"\n\r\n",
}


@pytest.mark.parametrize("shape", HELD)
def test_many_requests_that_never_end_stay_within_the_memory(tmp_path, shape):
    """Guards against heads of many lines, each within the limits, that add up."""
    check_installation(
        tmp_path, lambda x, watch: flood(x.address, watch, 180, HELD[shape])
    )


def test_many_calls_with_long_heads_at_a_slow_replica_stay_within_the_memory(tmp_path):
    """Guards against copies of long heads that calls in progress hold."""

    class SlowReplica(StandinReplica):
        async def __call__(self, scope, receive, send):
            if scope["path"] == "/lookup/9":
                await anyio.sleep(FLOOD_S + 1)
            await super().__call__(scope, receive, send)

    head = make_head("/lookup/9", more="Content-Length: 0\r\n")
    request = head + LINES[: 4 * 3800] + b"\r\n"
    check_installation(
        tmp_path, lambda x, watch: flood(x.address, watch, 100, request), SlowReplica
    )


def test_streams_to_callers_that_do_not_read_stay_within_the_memory(tmp_path):
    """Guards against a router that reads on from replicas for callers that don't."""
    request = make_head("/stream/notes/1", more="Content-Length: 0\r\n") + b"\r\n"
    check_installation(
        tmp_path,
        lambda x, watch: flood(x.address, watch, 60, request),
        LargeReplica,
        events=400,
    )


@pytest.mark.parametrize("path", ["/stream/notes/1", "/lookup/9"])
def test_responses_to_many_callers_stay_within_the_memory(tmp_path, path):
    """Guards against buffers that are bounded for each call, and add up."""
    request = make_head(path, more="Content-Length: 0\r\n") + b"\r\n"
    check_installation(
        tmp_path,
        lambda x, watch: flood(x.address, watch, 360, request),
        LargeReplica,
        events=400,
    )


@pytest.mark.parametrize("name", ["callers", "readiness", "peers", "metrics"])
def test_idle_connections_leave_descriptors_for_calls(tmp_path, name):
    """Guards against callers that connect and send nothing until no call can."""
    check_installation(
        tmp_path,
        lambda x, watch: flood(x.addresses[name], watch, 600, b""),
        max_fds=400,
    )


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("lines", [10, 3800])
def test_a_large_request_within_the_limits_is_served(tmp_path, lines, is_chunked):
    """Guards against limits that refuse a single legal request."""

    async def check(installation):
        head = make_head(attempt="legal")
        head += (
            b"Transfer-Encoding: chunked\r\n"
            if is_chunked
            else b"Content-Length: %d\r\n" % BODY_BYTES
        )
        head += LINES[: 4 * lines]
        head += b"b: " + b"x" * (HEAD_BYTES - len(head) - 7) + b"\r\n\r\n"
        assert len(head) == HEAD_BYTES
        body = bytes(range(256)) * (BODY_BYTES // 256)
        data = body
        if is_chunked:
            half = BODY_BYTES // 2
            parts = (b"%x\r\n%b\r\n" % (half, x) for x in (body[:half], body[half:]))
            data = b"".join(parts) + b"0\r\nchecksum: 1\r\n\r\n"
        host, _, port = installation.address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            for _ in range(2):
                await stream.send(head + data)
                received = await read_response(stream)
                assert received.startswith(b"HTTP/1.1 200"), received[:200]

    async def run():
        with anyio.fail_after(40):
            async with open_installation(tmp_path) as installation:
                await check(installation)

    anyio.run(run)


def test_pipelined_requests_are_answered_in_order(tmp_path):
    """Guards against clients that pipeline a few requests and get no or odd answers."""

    async def check(installation):
        host, _, port = installation.address.rpartition(":")
        body = b"\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"
        sent = b""
        for number in range(6):
            chunks = b"%x\r\n%b\r\n0\r\na: b\r\n\r\n" % (len(body), body)
            framing, data = (
                ("Transfer-Encoding: chunked\r\n", chunks)
                if number % 2
                else (f"Content-Length: {len(body)}\r\n", body)
            )
            sent += make_head("/lookup/1", more=framing, attempt=f"p{number}")
            sent += b"\r\n" + data
        sent += make_head(more="Connection: close\r\n", attempt="p6") + b"\r\n"
        for step in (1, 7, len(sent)):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                for start in range(0, len(sent), step):
                    await stream.send(sent[start : start + step])
                received = b""
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        received += await stream.receive()
                assert received.count(b"HTTP/1.1 200 OK") == 7, received

    async def run():
        with anyio.fail_after(40):
            async with open_installation(tmp_path) as installation:
                await check(installation)

    anyio.run(run)


def test_an_ordinary_caller_is_answered_during_a_flood(tmp_path):
    """Guards against connections that take all of the process's time."""

    async def check(installation):
        watch = Watch(installation)
        first, repeated = ENDLESS["pipelined bare requests"]
        statuses = []

        async def send_one():
            await anyio.sleep(FLOOD_S / 2)
            statuses.append((await installation.send("/lookup/1", "d1")).status)

        async with anyio.create_task_group() as group:
            group.start_soon(send_one)
            connections = await anyio.to_thread.run_sync(
                lambda: flood(installation.address, watch, 12, first, repeated, True)
            )
        for connection in connections:
            connection.close()
        assert statuses == [200]
        assert installation.read_peak_mib() < MEMORY_MB

    async def run():
        with anyio.fail_after(40):
            async with open_installation(tmp_path) as installation:
                await check(installation)

    anyio.run(run)


def test_the_metrics_page_names_the_limits(tmp_path):
    """Guards against connections that are closed without a count of the reason."""

    async def check(installation):
        watch = Watch(installation)
        first, repeated = ENDLESS["trailers"]
        load = flood(installation.address, watch, 1, first, repeated, limit_s=0.5)
        for connection in load:
            connection.close()
        reply = await call(
            installation.client, installation.addresses["metrics"], "GET", "/metrics"
        )
        assert b'primrosepier_limited_connections_total{reason="framing"}' in reply.body
        output = Path(tmp_path / "output").read_text()
        assert "ConnectionsLimited" in output

    async def run():
        with anyio.fail_after(40):
            async with open_installation(tmp_path) as installation:
                await check(installation)

    anyio.run(run)
