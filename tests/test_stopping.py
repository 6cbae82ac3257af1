import contextlib
import signal
import subprocess
import sys
import time
from dataclasses import replace

import anyio
import httpcore
import msgspec
import pytest
from ports import find_free_port

from primrosepier.asgi import open_server
from primrosepier.configuration import load_configuration
from primrosepier.demo import find_example
from primrosepier.etcd import make_etcd_store
from primrosepier.publishing import apply_configuration
from primrosepier.standin_engine import EngineRates, make_engine_standin
from primrosepier.standin_store import StoreStandin

pytestmark = pytest.mark.sockets

SETTINGS = """
[router]
host = entry-1
failure_domain = Rennes
callers_address = 127.0.0.1:{callers}
peers_address = 127.0.0.1:0
stop_wait_s = 0.5
stop_streams_s = 20
[platform]
store_address = {store}
"""
STREAM_TOKENS = 400


@contextlib.asynccontextmanager
async def open_platform():
    """Run a store that holds a configuration with one engine."""
    declared = load_configuration([find_example("keranvel")])
    endpoint = declared.endpoints["note-writers-1"]
    engine = make_engine_standin(EngineRates(token_s=0.005))
    standin = StoreStandin()
    async with (
        open_server(standin, "127.0.0.1:0") as store_address,
        open_server(engine, "127.0.0.1:0") as engine_address,
    ):
        served = replace(endpoint, address=engine_address)
        store = make_etcd_store(store_address)
        await apply_configuration(
            store, replace(declared, endpoints={served.id: served})
        )
        await store.close()
        yield store_address


def start_router(directory, store, port):
    path = directory / "router.ini"
    path.write_text(SETTINGS.format(callers=port, store=store))
    command = [sys.executable, "-m", "primrosepier", "router", "--settings", str(path)]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL)


async def is_ready(url):
    """Check readiness like a load balancer: new connection, errors as not ready."""
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            return (await pool.request("GET", f"{url}/readyz")).status == 200
        except httpcore.NetworkError:
            return False


async def stream(pool, url):
    """Return whether a streamed answer ended with its end marker."""
    body = {
        "model": "armor-note-8b",
        "messages": [{"role": "user", "content": "x" * 600}],
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    headers = {"authorization": "Bearer demo-handovers"}
    response = await pool.request(
        "POST",
        f"{url}/v1/chat/completions",
        headers=headers,
        content=msgspec.json.encode(body),
    )
    return response.content.endswith(b"data: [DONE]\n\n")


def test_a_graceful_stop_completes_all_requests(tmp_path):
    """Callers stop sending when the router is not ready, as behind a load balancer."""

    async def check():
        complete = []
        ended_s = []

        async def call_until_not_ready():
            async with httpcore.AsyncConnectionPool() as pool:
                while await is_ready(url):
                    complete.append(await stream(pool, url))
                    ended_s.append(time.monotonic())

        async with open_platform() as store:
            port = find_free_port()
            url = f"http://127.0.0.1:{port}"
            process = start_router(tmp_path, store, port)
            try:
                with anyio.fail_after(30):
                    while not await is_ready(url):
                        await anyio.sleep(0.01)
                    async with anyio.create_task_group() as group:
                        for _ in range(8):
                            group.start_soon(call_until_not_ready)
                        await anyio.sleep(1.0)
                        signalled_s = time.monotonic()
                        process.send_signal(signal.SIGTERM)
                    code = await anyio.to_thread.run_sync(process.wait)
            finally:
                process.kill()
                process.wait()
        assert code == 0
        assert len(complete) >= 8
        assert all(complete)
        assert max(ended_s) > signalled_s + 0.5

    anyio.run(check)
