"""An engine for the relay bench that costs next to nothing for each token."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import anyio

__all__ = ["open_stream_engine"]

TICK_S = 0.005
BODY_START = b"\r\n\r\n"
SINGLE = b'"max_tokens":1,'
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
ENTRY = (
    b'data: {"id":"cmpl-%d","object":"text_completion","created":0,"model":"m",'
    b'"choices":[{"index":0,"text":"token ","finish_reason":null}]}\n\n'
)
LAST = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class _Stream(asyncio.Protocol):
    """Answers each request with one token, or with tokens until it is closed."""

    def __init__(self, engine: "_Engine"):
        self.engine = engine
        self.received = bytearray()
        self.event = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, found, body = bytes(self.received).partition(BODY_START)
        if not found or not body.endswith(b"}"):
            return
        self.received.clear()
        self.engine.count += 1
        self.event = _make_chunk(ENTRY % self.engine.count)
        assert self.transport is not None
        if SINGLE in body:
            self.transport.write(HEAD + self.event + _make_chunk(LAST) + LAST_CHUNK)
            return
        self.transport.write(HEAD + self.event)
        self.engine.streams[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.engine.streams.pop(self, None)


class _Engine:
    """Gives each stream a token in turn, at an even pace."""

    def __init__(self, token_s: float):
        self.token_s = token_s
        self.streams: dict[_Stream, None] = {}
        self.count = 0

    async def run(self) -> None:
        """Give tokens until cancelled."""
        owed = 0.0
        while True:
            await anyio.sleep(TICK_S)
            owed += len(self.streams) * TICK_S / self.token_s
            while owed >= 1:
                owed -= 1
                self._give_next()

    def _give_next(self) -> None:
        stream = next(iter(self.streams), None)
        if stream is None:
            return
        del self.streams[stream]
        self.streams[stream] = None
        if stream.transport is not None:
            stream.transport.write(stream.event)


@contextlib.asynccontextmanager
async def open_stream_engine(token_s: float) -> AsyncIterator[str]:
    """Serve on loopback while the context is open; yield the address."""
    engine = _Engine(token_s)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Stream(engine), "127.0.0.1", 0)
    async with anyio.create_task_group() as group:
        group.start_soon(engine.run)
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"
        server.close()
        group.cancel_scope.cancel()
