"""Engine for the relay bench with minimal CPU time per token."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import anyio

__all__ = ["open_stream_engine"]

TICK_S = 0.005
HEAD_END = b"\r\n\r\n"
SINGLE_TOKEN_FIELD = b'"max_tokens":1,'
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
EVENT_TEMPLATE = (
    b'data: {"id":"cmpl-%d","object":"text_completion","created":0,"model":"m",'
    b'"choices":[{"index":0,"text":"token ","finish_reason":null}]}\n\n'
)
DONE_EVENT = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class _Stream(asyncio.Protocol):
    """Connection that answers with one token, or with tokens until it is closed."""

    def __init__(self, engine: "_Engine"):
        self.engine = engine
        self.received = bytearray()
        self.event_chunk = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, separator, body = bytes(self.received).partition(HEAD_END)
        if not separator or not body.endswith(b"}"):
            return
        self.received.clear()
        self.engine.response_count += 1
        self.event_chunk = _make_chunk(EVENT_TEMPLATE % self.engine.response_count)
        assert self.transport is not None
        if SINGLE_TOKEN_FIELD in body:
            self.transport.write(
                RESPONSE_HEAD + self.event_chunk + _make_chunk(DONE_EVENT) + LAST_CHUNK
            )
            return
        self.transport.write(RESPONSE_HEAD + self.event_chunk)
        self.engine.streams[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.engine.streams.pop(self, None)


class _Engine:
    """Sends tokens to the open streams in round-robin order, evenly spaced."""

    def __init__(self, token_s: float):
        self.token_s = token_s
        self.streams: dict[_Stream, None] = {}
        self.response_count = 0

    async def run(self) -> None:
        """Send tokens until cancelled."""
        due_tokens = 0.0
        while True:
            await anyio.sleep(TICK_S)
            due_tokens += len(self.streams) * TICK_S / self.token_s
            while due_tokens >= 1:
                due_tokens -= 1
                self._send_next_token()

    def _send_next_token(self) -> None:
        stream = next(iter(self.streams), None)
        if stream is None:
            return
        del self.streams[stream]
        self.streams[stream] = None
        if stream.transport is not None:
            stream.transport.write(stream.event_chunk)


@contextlib.asynccontextmanager
async def open_stream_engine(token_s: float) -> AsyncIterator[str]:
    """Serve on loopback within the context; yield the address."""
    engine = _Engine(token_s)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Stream(engine), "127.0.0.1", 0)
    async with anyio.create_task_group() as group:
        group.start_soon(engine.run)
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"
        server.close()
        group.cancel_scope.cancel()
