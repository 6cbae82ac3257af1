"""HTTP/2 protocol for other routers' connections, with limits on what they hold.

grpclib limits the calls of a connection and the bytes of each, but neither the
connections nor the answers to frames that need one, such as pings.
"""

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Any

from grpclib.encoding.base import CodecBase
from grpclib.protocol import H2Protocol
from grpclib.server import Handler, Server

from .asgi import ACCEPTS_PER_TURN, LISTEN_BACKLOG
from .caller_limits import CallerBudget, Limit

__all__ = ["BoundedServer", "bind_listener"]

# Bytes that a connection reads in one iteration of the event loop.
READ_BYTES = 8 * 1024
# Bytes of a call's headers, with 32 for every line (RFC 9113, section 6.5.2). Those of
# a router have some hundred. A connection may have 100 calls in progress, and one byte
# may stand for a header line of 4 KiB.
MAX_HEADERS_BYTES = 8 * 1024
# Memory of an open connection (measured: 20 KiB), and of a call in progress with its
# headers (14 KiB, 20 KiB with the longest).
CONNECTION_BYTES = 32 * 1024
CALL_BYTES = 24 * 1024
# Messages are copied when their parts are joined.
MESSAGE_COPIES = 2


class _ReleasingHandler(Handler):
    """Handler that lets go of a call when it ends, and tells its connection.

    grpclib keeps the tasks of ended calls, with their headers and messages, until more
    calls or connections follow.
    """

    notify: Callable[[], None]

    def accept(
        self, stream: Any, headers: Any, release_stream: Callable[[], None]
    ) -> None:
        is_released = False

        def release() -> None:
            nonlocal is_released
            if not is_released:
                is_released = True
                release_stream()

        super().accept(stream, headers, release)

        def forget(task: asyncio.Task[None]) -> None:
            # A task that is cancelled before it starts releases nothing.
            release()
            self._tasks.pop(stream, None)
            self._cancelled.discard(task)
            # An ended call is part of reference cycles, so that only the garbage
            # collector frees it: its message must not wait for that.
            stream.buffer.unacked_size()
            stream.buffer._acked.clear()
            self.notify()

        self._tasks[stream].add_done_callback(forget)


class _BoundedPeerProtocol(H2Protocol, asyncio.BufferedProtocol):
    """Protocol that reads no faster than its answers are read.

    Every connection may be closed for another one, but those that have sent something
    lately come last: other routers send something every second.
    """

    def __init__(
        self,
        handler: _ReleasingHandler,
        config: Any,
        h2_config: Any,
        budget: CallerBudget,
        read_buffer: memoryview,
    ) -> None:
        super().__init__(handler, config, h2_config)
        handler.notify = self._record_held
        self.budget = budget
        self.held_bytes = 0
        # Bytes received since the connection last had no call in progress.
        self.message_bytes = 0
        self.read_buffer = read_buffer

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        super().connection_made(transport)
        decoder = self.connection._connection.decoder
        decoder.max_header_list_size = MAX_HEADERS_BYTES
        self.budget.open(self, CONNECTION_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.budget.close(self)
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.message_bytes += nbytes
        self.data_received(bytes(self.read_buffer[:nbytes]))
        # The longest wait for a caller comes first; this one's begins anew.
        self.budget.record_waiting(self, False)
        self.budget.record_waiting(self, True)
        self._record_held()

    def _record_held(self) -> None:
        calls = len(self.processor.streams)
        if not calls:
            self.message_bytes = 0
        size = CONNECTION_BYTES + CALL_BYTES * calls
        size += MESSAGE_COPIES * self.message_bytes
        size += self.transport.get_write_buffer_size()
        self.budget.record_held(self, size)

    def pause_writing(self) -> None:
        super().pause_writing()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        super().resume_writing()
        self.transport.resume_reading()

    def abort_for(self, limit: Limit) -> None:
        """Close the connection at once because of a limit."""
        self.transport.abort()


class BoundedServer(Server):
    """Server of other routers' calls whose connections share a budget.

    Parameters
    ----------
    budget : CallerBudget
    """

    def __init__(
        self, services: Sequence[Any], codec: CodecBase, budget: CallerBudget
    ) -> None:
        super().__init__(services, codec=codec)
        self.budget = budget
        # Shared by the connections: it is copied before the event loop reads the next.
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    async def start_on(self, listener: socket.socket) -> None:
        """Accept connections of a listening socket, a few in one iteration."""
        await self.start(sock=listener, backlog=ACCEPTS_PER_TURN)
        # The server has set the backlog to the connections of one turn.
        listener.listen(LISTEN_BACKLOG)

    def _protocol_factory(self) -> H2Protocol:
        self.__gc_step__()
        handler = _ReleasingHandler(
            self._mapping, self._codec, self._status_details_codec, self.__dispatch__
        )
        self._handlers.add(handler)
        return _BoundedPeerProtocol(
            handler, self._config, self._h2_config, self.budget, self.read_buffer
        )


def bind_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``IP:PORT``; port 0 selects a free port."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host.strip("[]"), int(port)), family=family)
