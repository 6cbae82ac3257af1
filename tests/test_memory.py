"""Memory of a router's process that gets many large bodies at once."""

import contextlib
import os
import signal
import sys
from pathlib import Path

import anyio
import pytest
from clients import call
from entry_fleet import HOST, KEY, make_configuration, run_entry
from node_settings import make_node_settings

from primrosepier.asgi import open_server
from primrosepier.endpoint_client import HttpEndpointClient
from primrosepier.platform.standins import StandinReplica, StandinStore

pytestmark = pytest.mark.sockets
MEMORY_MB = 150
MIB = 1024 * 1024
BODY_BYTES = 4 * MIB


class SlowReplica(StandinReplica):
    """Replica that reads bodies late and paces the events of its streams."""

    async def __call__(self, scope, receive, send):
        if not scope["path"].startswith("/stream/"):
            await anyio.sleep(1.0)
        await super().__call__(scope, receive, send)

    async def _run(self, scope, body, receive, send):
        await super()._run(scope, b"", receive, send)

    async def _stream(self, headers, response_headers, send):
        async def send_paced(message):
            await anyio.sleep(0.02)
            await send(message)

        await super()._stream(headers, response_headers, send_paced)


class Installation:
    """A router as a process, with a store and replicas in this one."""

    def __init__(self, process, address):
        self.process, self.address = process, address
        self.client = HttpEndpointClient()

    async def send(self, path, attempt, body=b"", limit_ms=20000):
        headers = (
            ("Host", HOST),
            ("Attempt-Id", attempt),
            ("Authorization", f"Bearer {KEY}"),
            ("Deadline-Ms", str(limit_ms)),
        )
        return await call(
            self.client, self.address, "POST", path, body, headers, request_s=20.0
        )

    def read_peak_mib(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [x for x in status.splitlines() if x.startswith("VmHWM")]
        return int(line.split()[1]) / 1024


@contextlib.asynccontextmanager
async def open_installation(folder):
    async with contextlib.AsyncExitStack() as stack:

        async def serve(app):
            return await stack.enter_async_context(open_server(app, "127.0.0.1:0"))

        store = StandinStore()
        configuration = make_configuration()
        configuration["limits"]["maxBodyBytes"] = BODY_BYTES
        for route in configuration["routes"]:
            route["timeoutMs"] = 20000
        store.put("op/config", configuration)
        for name, service in (("w1", "writers"), ("app1", "app")):
            replica = SlowReplica(name, events=100)
            entry = replica.make_entry(service, await serve(replica), slots=64)
            store.put(f"servers/{name}", entry)
        text, ports = make_node_settings(
            await serve(store), f"[limits]\nmemoryMb = {MEMORY_MB}"
        )
        settings = folder / "node.toml"
        settings.write_text(text)
        process = await anyio.open_process(
            [sys.executable, "-m", "primrosepier", "entry-router"],
            env={**os.environ, "PRIMROSEPIER_CONFIG": str(settings)},
            stdout=(folder / "output").open("wb"),
            stderr=None,
        )
        installation = Installation(process, f"127.0.0.1:{ports[1]}")
        try:
            await wait_until_ready(installation, f"127.0.0.1:{ports[2]}")
            yield installation
        finally:
            process.send_signal(signal.SIGKILL)
            await process.wait()
            await installation.client.close()


async def wait_until_ready(installation, address):
    with anyio.fail_after(15):
        while True:
            await anyio.sleep(0.1)
            with contextlib.suppress(Exception):
                ready = await call(installation.client, address, "GET", "/readyz")
                if ready.status == 200:
                    break
    # Each replica has answered once.
    assert (await installation.send("/lookup/0", "a0")).status == 200


async def send_many(send, count):
    """Send calls at once; return their replies."""
    replies = []

    async def send_one(number):
        replies.append(await send(number))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send_one, number)
    return replies


@pytest.mark.parametrize("count", [20, 40])
def test_large_bodies_do_not_exceed_the_memory_of_the_settings(tmp_path, count):
    """Guards against a router that is killed for its memory, with all its calls."""

    async def check(installation):
        streams, replies = [], []

        async def stream():
            streams.extend(
                await send_many(
                    lambda n: installation.send("/stream/notes/1", f"b{n}"), 20
                )
            )

        async with anyio.create_task_group() as group:
            group.start_soon(stream)
            await anyio.sleep(0.5)
            body = bytes(BODY_BYTES)
            replies = await send_many(
                lambda n: installation.send("/lookup/1", f"c{n}", body), count
            )
        peak_mib = installation.read_peak_mib()
        statuses = [reply.status for reply in replies]
        assert peak_mib < MEMORY_MB
        assert set(statuses) <= {200, 503}
        assert 200 in statuses
        for reply in replies:
            assert reply.status == 200 or float(reply.headers["retry-after"]) > 0
        assert all(b"token 100" in reply.body for reply in streams)
        assert (await installation.send("/lookup/1", "d1")).status == 200

    async def run():
        with anyio.fail_after(40):
            async with open_installation(tmp_path) as installation:
                await check(installation)

    anyio.run(run)


async def exchange(stream, headers, body):
    """Send a request on a connection and return its status and Retry-After."""
    lines = ["POST /lookup/1 HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {KEY}"]
    lines += ["Attempt-Id: a1", "Deadline-Ms: 3000", *headers, "", ""]
    await stream.send("\r\n".join(lines).encode() + body)
    received = b""
    while b"\r\n\r\n" not in received:
        received += await stream.receive()
    head, _, rest = received.partition(b"\r\n\r\n")
    fields = dict(x.lower().split(b": ", 1) for x in head.split(b"\r\n")[1:])
    while len(rest) < int(fields[b"content-length"]):
        rest += await stream.receive()
    return int(head.split()[1]), float(fields.get(b"retry-after", 0))


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_without_room_is_refused_and_its_connection_goes_on(is_chunked):
    async def check(fleet):
        budget = fleet.routers[0].app.body_budget
        budget.limit_bytes = 400.0
        host, _, port = fleet.routers[0].callers_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            body = bytes(500)
            headers = ["Content-Length: 500"]
            if is_chunked:
                headers = ["Transfer-Encoding: chunked"]
                body = b"1f4\r\n" + body + b"\r\n0\r\n\r\n"
            status, after_s = await exchange(stream, headers, body)
            assert status == 503
            assert 0.5 <= after_s <= 1.5
            assert not fleet.count_arrivals()
            status, _ = await exchange(stream, ["Content-Length: 300"], bytes(300))
            assert status == 200
        assert budget.used_bytes == 0

    run_entry(check)


def test_a_body_that_is_too_large_is_refused_before_it_is_read():
    async def check(fleet):
        host, _, port = fleet.routers[0].callers_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with anyio.fail_after(1.0):
                status, _ = await exchange(stream, ["Content-Length: 1001"], b"")
            assert status == 413

    run_entry(check)
