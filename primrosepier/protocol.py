"""HTTP protocol for callers' connections, with limits on what they make it hold.

The parser is fed in pieces that end where a message may end, and not before the
previous request of the connection has its response. Bytes that can't be parsed yet
stay in the kernel's buffers beyond a small amount, so that TCP slows the caller down.
"""

import asyncio
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .caller_limits import CallerBudget, Limit
from .decoding import parse_count

__all__ = ["make_bounded_protocol", "set_protocol_bounds"]

REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n"
HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n\r\n"
)


UPGRADE_WITH_BODY_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n"
    b"A request that asks for another protocol can't have a body.\n"
)
BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# End of a head, and of a chunked body with its trailers.
SECTION_END = b"\r\n\r\n"
# Bytes that are read from a socket at once.
READ_BYTES = 64 * 1024
# Bytes of a head or a chunked body that the parser gets at once.
PIECE_BYTES = 4096
# Parsing by one connection before others get their turn: bytes, and header lines or
# parts of a body. A head of 4-byte lines takes 0.5 ms for 512 lines.
TURN_BYTES = 64 * 1024
TURN_CALLBACKS = 512
# Unparsed bytes beyond which a connection is not read further. Up to there it is, so
# that the end of a connection is noticed while its call runs.
UNPARSED_BYTES = 16 * 1024
# Response bytes that wait at a connection before its app has to.
WRITE_BYTES = 16 * 1024
# Time after which a closed connection whose caller does not read the rest of its
# response is aborted, seconds.
LINGER_S = 5.0
# Memory of an open connection, of a request in progress, and of a header line in
# addition to its bytes, before the request is complete and while its call runs.
CONNECTION_BYTES = 10 * 1024
REQUEST_BYTES = 32 * 1024
HEAD_LINE_BYTES = 140
CALL_LINE_BYTES = 350
# Bodies are copied when their parts are joined.
BODY_COPIES = 2
# Response bytes that wait at the replica's connection for a caller that does not read.
RELAY_BYTES = 192 * 1024


class _Flow(FlowControl):
    """Flow control that leaves pausing of the transport to the protocol."""

    def __init__(self, protocol: "_BoundedProtocol") -> None:
        super().__init__(protocol.transport)
        self._protocol = protocol

    def pause_reading(self) -> None:
        self.read_paused = True

    def resume_reading(self) -> None:
        if self.read_paused:
            self.read_paused = False
            self._protocol.continue_soon()


class _BoundedProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Protocol that refuses a request head that is too large or too slow.

    It adds the request's target, as it was received, to the scope. The parser stops
    at the head of a request that asks for another protocol, so such a request is
    refused if it has a body. One request of a connection is parsed and served at a
    time, and its trailers are discarded.
    """

    limit_bytes = 0
    limit_s = 0.0
    idle_s: float | None = None
    budget: CallerBudget
    # Shared by the connections of a server: a buffer is parsed or copied before the
    # event loop reads the next connection.
    read_buffer: memoryview

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.held_bytes = 0
        self.head_bytes = 0
        self.head_timer: asyncio.TimerHandle | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        self.is_reading_paused = False
        self.will_continue = False
        self.unparsed = b""
        # Within a message: from its first byte to its last.
        self.in_message = False
        self.in_head = False
        # Bytes of the body that follow; None for a chunked body.
        self.body_left: int | None = 0
        self.body_bytes = 0
        # Bytes of a chunked body since the last byte of its content.
        self.framing_bytes = 0
        # Last bytes of a head or a chunked body, which may begin the end of it.
        self.section_tail = b""
        self.callbacks = 0
        self.lines = 0

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.flow = _Flow(self)
        transport.set_write_buffer_limits(high=WRITE_BYTES)
        if self.idle_s is not None:
            self.timeout_keep_alive = self.idle_s  # type: ignore[assignment]
        self._start_timer()
        self.budget.open(self, CONNECTION_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_timer()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.unparsed = b""
        self.budget.close(self)
        super().connection_lost(exc)
        # The protocol is part of reference cycles, so that only the garbage collector
        # frees it: what is large must not wait for that.
        self.headers = []
        self.scope = self.cycle = None  # type: ignore[assignment]

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._must_wait():
            return self.read_buffer[: max(1, UNPARSED_BYTES - len(self.unparsed))]
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        self._parse(self.unparsed + data if self.unparsed else data)

    def continue_soon(self) -> None:
        """Parse what is left, and go on reading, in the loop's next iteration."""
        if not self.will_continue:
            self.will_continue = True
            self.loop.call_soon(self._continue)

    def _continue(self) -> None:
        self.will_continue = False
        self._parse(self.unparsed)

    def _must_wait(self) -> bool:
        """Return whether the next bytes can't be parsed before the app does its part.

        The app has to read the body so far, or to respond to the previous request.
        """
        if self.flow.read_paused:
            return True
        return not self.in_message and self._is_serving()

    def _is_serving(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _parse(self, data: bytes) -> None:
        position = 0
        self.callbacks = 0
        while position < len(data) and not self.transport.is_closing():
            if self._must_wait():
                break
            if position >= TURN_BYTES or self.callbacks >= TURN_CALLBACKS:
                self.continue_soon()
                break
            position += self._feed_piece(data, position)
        if self.transport.is_closing():
            self.unparsed = b""
            return
        had_unparsed = bool(self.unparsed)
        self.unparsed = data[position:] if position else data
        self._update_reading()
        if self.unparsed or had_unparsed or self.in_message:
            self._record_held()

    def _feed_piece(self, data: bytes, position: int) -> int:
        """Let the parser read up to where a message may end; return how many bytes."""
        if not self.in_message and data[position] in b"\r\n":
            # Empty lines before a request.
            rest = data[position : position + PIECE_BYTES]
            skipped = len(rest) - len(rest.lstrip(b"\r\n"))
            self.callbacks += 1
            return skipped
        self.callbacks += 1
        if self.in_message and not self.in_head and self.body_left:
            piece = data[position : position + self.body_left]
            self._feed(piece)
            return len(piece)
        piece = data[position : position + PIECE_BYTES]
        tail = self.section_tail
        window = tail + piece
        end = window.find(SECTION_END)
        if end >= 0:
            piece = piece[: end + len(SECTION_END) - len(tail)]
            self.section_tail = b""
        else:
            self.section_tail = window[1 - len(SECTION_END) :]
        if self.head_timer is not None or not self.in_message:
            self.head_bytes += len(piece)
        else:
            self.framing_bytes += len(piece)
        self._feed(piece)
        if self.head_timer is not None:
            if self.head_bytes > self.limit_bytes:
                self._refuse(HEADERS_TOO_LARGE_RESPONSE, Limit.HEAD_SIZE)
        elif self.framing_bytes > self.limit_bytes:
            self._refuse(HEADERS_TOO_LARGE_RESPONSE, Limit.FRAMING)
        return len(piece)

    def _feed(self, piece: bytes) -> None:
        super().data_received(piece)

    def _update_reading(self) -> None:
        must_pause = (
            self.will_continue
            or self.flow.read_paused
            or len(self.unparsed) >= UNPARSED_BYTES
        )
        if must_pause != self.is_reading_paused:
            self.is_reading_paused = must_pause
            if must_pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def _record_held(self) -> None:
        """Record the memory that the connection makes the process hold."""
        size = CONNECTION_BYTES + len(self.unparsed)
        if self.in_head or self._is_serving():
            line_bytes = HEAD_LINE_BYTES if self.in_message else CALL_LINE_BYTES
            size += REQUEST_BYTES + self.head_bytes + line_bytes * self.lines
            size += BODY_COPIES * self.body_bytes
        if self.flow.write_paused:
            size += self.transport.get_write_buffer_size() + RELAY_BYTES
        self.budget.record_held(self, size)

    def pause_writing(self) -> None:
        super().pause_writing()
        self.budget.record_waiting(self, True)
        self._record_held()

    def resume_writing(self) -> None:
        super().resume_writing()
        self.budget.record_waiting(self, self.in_message or not self._is_serving())
        self._record_held()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.in_message = self.in_head = True
        self.lines = self.body_bytes = self.framing_bytes = 0
        if self.head_timer is None:
            self._start_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.callbacks += 1
        if self.in_head:
            self.lines += 1
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._stop_timer()
        self.in_head = False
        self.body_left = self._find_length()
        if self.parser.should_upgrade() and self._has_body():
            self._refuse(UPGRADE_WITH_BODY_RESPONSE)
            return
        self.scope["target"] = self.url  # type: ignore[typeddict-unknown-key]
        super().on_headers_complete()

    def _find_length(self) -> int | None:
        """Return the length of the body that the head names; None for chunks."""
        length: int | None = 0
        for name, value in self.headers:
            if name == b"transfer-encoding":
                return None
            if name == b"content-length":
                length = parse_count(value.decode("latin-1"))
        return length

    def _has_body(self) -> bool:
        return any(
            name in BODY_HEADERS and value != b"0" for name, value in self.headers
        )

    def on_body(self, body: bytes) -> None:
        self.callbacks += 1
        self.framing_bytes = 0
        if self.body_left:
            self.body_left -= len(body)
        if not self.transport.is_closing():
            if self._is_serving():
                self.body_bytes += len(body)
            super().on_body(body)

    def on_message_complete(self) -> None:
        self.in_message = False
        if not self.transport.is_closing():
            super().on_message_complete()
            if self._is_serving():
                self.budget.record_waiting(self, False)
                self._record_held()

    def on_response_complete(self) -> None:
        super().on_response_complete()
        self._release_head()
        self.budget.record_waiting(self, True)
        self._record_held()
        if self.transport.is_closing():
            self._start_lingering()
        elif self.unparsed:
            self.continue_soon()

    def _release_head(self) -> None:
        """Let go of the head of the request, which the app has responded to."""
        self.headers = []
        self.scope = self.cycle.scope = {}  # type: ignore[typeddict-item]

    def timeout_keep_alive_handler(self) -> None:
        super().timeout_keep_alive_handler()
        self._start_lingering()

    def _start_lingering(self) -> None:
        """Abort the connection later if its caller does not read what is unsent."""
        if self.linger_timer is None:
            self.linger_timer = self.loop.call_later(LINGER_S, self._end_lingering)

    def _end_lingering(self) -> None:
        self.budget.count(Limit.LINGERING)
        self.transport.abort()

    def _start_timer(self) -> None:
        self.head_bytes = 0
        self.head_timer = self.loop.call_later(
            self.limit_s, self._refuse, REQUEST_TIMEOUT_RESPONSE, Limit.HEAD_TIME
        )

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _refuse(self, response: bytes, limit: Limit | None = None) -> None:
        self._stop_timer()
        if self.transport.is_closing():
            return
        if limit is not None:
            self.budget.count(limit)
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(response)
        self.transport.close()
        self._start_lingering()

    def abort_for(self, limit: Limit) -> None:
        """Close the connection at once because of a limit."""
        self._stop_timer()
        self.unparsed = b""
        self.transport.abort()


def set_protocol_bounds(
    protocol: type, header_bytes: int, header_s: float, idle_s: float
) -> None:
    """Change the limits of a protocol for future connections and request heads.

    Parameters
    ----------
    idle_s : float
        Time-out of idle connections, seconds.
    """
    protocol.limit_bytes = header_bytes  # type: ignore[attr-defined]
    protocol.limit_s = header_s  # type: ignore[attr-defined]
    protocol.idle_s = idle_s  # type: ignore[attr-defined]


def make_bounded_protocol(
    header_bytes: int, header_s: float, budget: CallerBudget | None = None
) -> type:
    """Return a protocol for uvicorn that refuses large and slow request heads.

    Parameters
    ----------
    header_bytes : int
    header_s : float
        Time-out from the first byte of a head to its last, seconds; for the first
        head of a connection, from the opening of the connection.
    budget : CallerBudget or None
        What the connections may hold together; None for no limit.
    """
    bounds = {
        "limit_bytes": header_bytes,
        "limit_s": header_s,
        "budget": CallerBudget() if budget is None else budget,
        "read_buffer": memoryview(bytearray(READ_BYTES)),
    }
    return type("BoundedProtocol", (_BoundedProtocol,), bounds)
