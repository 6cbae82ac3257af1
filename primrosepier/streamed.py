"""Bodies of event streams, read at little cost for each event.

httpcore connects, sends the request and reads the head. Its own reading of a body
costs more for each chunk than the rest of the relay together, so the body is read
from its network stream and parsed by httptools, with all bytes that are ready in
one piece. Such a connection is not used again.
"""

from collections.abc import AsyncIterator

import httpcore
import httptools

from .transport import TcpStream

__all__ = ["StreamedResponse"]


class _BodyParser:
    """Collects the body of one response."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.is_complete = False

    def on_body(self, data: bytes) -> None:
        self.parts.append(data)

    def on_message_complete(self) -> None:
        self.is_complete = True

    def feed(self, data: bytes) -> bytes:
        """Take in bytes of the connection; return bytes of the body."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as cause:
            raise httpcore.RemoteProtocolError(repr(cause)) from cause
        if len(self.parts) == 1:
            return self.parts.pop()
        body = b"".join(self.parts)
        self.parts.clear()
        return body


class StreamedResponse:
    """A response whose head httpcore has read and whose body is an event stream.

    Parameters
    ----------
    response : httpcore.Response
    silence_s : float
        Longest time without a byte, seconds.
    """

    def __init__(self, response: httpcore.Response, silence_s: float):
        self.status = response.status
        self.headers = response.headers
        self.silence_s = silence_s
        self.stream: TcpStream = response.extensions["network_stream"]

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        parser = _BodyParser()
        parser.feed(self.stream.head)
        buffer = self.stream.buffer
        while not parser.is_complete:
            if not buffer.parts:
                await self.stream.wait_for_bytes(self.silence_s)
            data = buffer.take_all()
            if not data:
                raise httpcore.RemoteProtocolError("the connection closed early")
            body = parser.feed(data)
            if body:
                yield body
