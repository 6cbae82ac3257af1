"""Helpers for calls over real sockets."""

from dataclasses import dataclass

import anyio
import msgspec

from primrosepier.asgi import open_server
from primrosepier.endpoint_client import EndpointCall, HttpEndpointClient


@dataclass
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes

    def decode(self):
        return msgspec.json.decode(self.body)


async def call(client, address, method, path, body=None, headers=(), request_s=10.0):
    data = b"" if body is None else body
    if not isinstance(data, bytes):
        data = msgspec.json.encode(data)
    sent = EndpointCall(address, method, path, tuple(headers), data, 2.0, request_s)
    async with client.open(sent) as response:
        parts = [part async for part in response.aiter_stream()]
        pairs = [(k.decode().lower(), v.decode()) for k, v in response.headers]
        return Reply(response.status, dict(pairs), b"".join(parts))


def run_with_app(app, check):
    """Serve an app on loopback and run ``check(send)``, which may call it."""

    async def run():
        async with open_server(app, "127.0.0.1:0") as address:
            client = HttpEndpointClient()

            async def send(method, path, body=None, headers=(), request_s=10.0):
                return await call(
                    client, address, method, path, body, headers, request_s
                )

            with anyio.fail_after(30):
                await check(send)
            await client.close()

    anyio.run(run)
