"""The embedded HTTP server."""

import anyio
import pytest
import uvicorn

from primrosepier.asgi import open_server, send_json

pytestmark = pytest.mark.sockets


async def respond(scope, receive, send):
    await send_json(send, 200, {})


def test_an_idle_server_wakes_about_once_a_second_and_stops_soon(monkeypatch):
    ticks = []
    on_tick = uvicorn.Server.on_tick

    async def count(server, counter):
        ticks.append(counter)
        return await on_tick(server, counter)

    monkeypatch.setattr(uvicorn.Server, "on_tick", count)

    async def play():
        async with open_server(respond, "127.0.0.1:0"):
            await anyio.sleep(2.2)
            assert 3 <= len(ticks) <= 4
            stopped_at_s = anyio.current_time()
        assert anyio.current_time() < stopped_at_s + 0.5

    anyio.run(play)
