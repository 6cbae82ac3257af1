"""Response bodies, read with a low cost per chunk.

httpcore sends the request and reads the head. Its own body reader costs more per
chunk than the rest of the relay together, so the body is read directly from the
network stream, all available bytes at a time, and parsed by httptools.
"""

import re
from collections.abc import AsyncIterator

import httpcore
import httptools

from .decoding import parse_count
from .transport import TcpStream

__all__ = ["StreamedResponse"]

# Idle time-out when the peer announces none: below 1 s, the shortest that it could
# announce.
KEEP_ALIVE_S = 0.8
# Fraction of the peer's announced idle time-out that is used, so that a request is
# not sent while the peer closes the connection.
KEEP_ALIVE_FRACTION = 0.7
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
BODILESS = frozenset({204, 304})
# Limit on the bytes of chunk sizes, extensions and trailers before the next byte of the
# body.
MAX_FRAMING_BYTES = 256 * 1024


class _BodyParser:
    """Parser of one response's body; ignores any data after it."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.is_complete = False
        self.has_extra_data = False

    def on_message_begin(self) -> None:
        self.has_extra_data = self.is_complete

    def on_body(self, data: bytes) -> None:
        if not self.is_complete:
            self.parts.append(data)

    def on_message_complete(self) -> None:
        self.is_complete = True

    def feed(self, data: bytes) -> bytes:
        """Parse bytes of the connection; return bytes of the body."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as cause:
            if not self.is_complete:
                raise httpcore.RemoteProtocolError(repr(cause)) from cause
            self.has_extra_data = True
        if len(self.parts) == 1:
            return self.parts.pop()
        body = b"".join(self.parts)
        self.parts.clear()
        return body


class StreamedResponse:
    """Response whose head was read by httpcore and whose body is read as it arrives.

    Parameters
    ----------
    response : httpcore.Response
    stream : TcpStream
    read_timeout_s : float
        Time-out for each read, seconds.
    method : str
        Method of the request.

    Attributes
    ----------
    keep_alive_s : float
        Maximum time that the connection may stay idle, seconds.
    is_first_use : bool
        Whether the connection was opened for this call.
    """

    def __init__(
        self,
        response: httpcore.Response,
        stream: TcpStream,
        read_timeout_s: float,
        method: str,
    ):
        self.status = response.status
        self.headers = response.headers
        self.read_timeout_s = read_timeout_s
        self.stream = stream
        self.is_complete = False
        self.keep_alive_s = KEEP_ALIVE_S
        self.closes = False
        self.is_first_use = False
        self.is_framed = method == "HEAD" or response.status in BODILESS
        self.has_body = not self.is_framed
        for name, value in response.headers:
            self._read_header(name.lower(), value)

    def _read_header(self, name: bytes, value: bytes) -> None:
        if name == b"connection":
            self.closes = self.closes or value.strip().lower() == b"close"
        elif name in (b"content-length", b"transfer-encoding"):
            self.is_framed = True
        elif name == b"keep-alive":
            match = KEEP_ALIVE_TIMEOUT.search(value)
            timeout_s = parse_count(match[1]) if match else None
            if timeout_s is not None:
                self.keep_alive_s = timeout_s * KEEP_ALIVE_FRACTION

    def is_reusable(self) -> bool:
        """Return whether the connection can be reused for another request."""
        return self.is_complete and self.is_framed and not self.closes

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        if not self.has_body:
            self.is_complete = True
            return
        parser = _BodyParser()
        parser.feed(self.stream.head)
        buffer = self.stream.buffer
        framing_bytes = 0
        while not parser.is_complete:
            if not buffer.received:
                await self.stream.wait_for_bytes(self.read_timeout_s)
            data = buffer.take_all()
            if not data:
                if self.is_framed or self.stream.aborted:
                    raise httpcore.RemoteProtocolError("the connection closed early")
                break
            body = parser.feed(data)
            framing_bytes = 0 if body else framing_bytes + len(data)
            if body:
                yield body
            elif framing_bytes > MAX_FRAMING_BYTES:
                raise httpcore.RemoteProtocolError("the framing has no end")
        self.closes = self.closes or parser.has_extra_data
        self.is_complete = True
