"""TCP streams for httpcore with a low cost per read."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from typing import Any

import httpcore

__all__ = ["TcpBackend", "TcpStream"]

HEAD_END = b"\r\n\r\n"
# Bytes that are read at once, and beyond which a connection is not read further: a
# caller that does not read its stream makes the process hold both. With many
# connections, each reads fewer, so that all together hold a few times the total.
READ_BYTES = 64 * 1024
LEAST_READ_BYTES = 8 * 1024
TOTAL_READ_BYTES = 4 * 1024 * 1024
# Bytes that are written at once: asyncio copies what it can't send at once.
WRITE_BYTES = 64 * 1024
# Limit on all heads before a response's body: httpcore limits each, but not how many
# interim responses come before the final one.
MAX_HEADS_BYTES = 256 * 1024
# Keep-alive probes: the shortest times that Linux accepts (whole seconds), with a
# second probe because a single datagram may be lost.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Maximum time that sent bytes stay unacknowledged before the connection counts as
# dead: long enough for two retransmissions, usually after 200 and 400 ms.
USER_TIMEOUT_MS = 1000


class _ReadBuffer:
    """Buffer into which connections read, and how much each reads at once.

    They share it: what one has read is copied before the event loop reads the next.

    Attributes
    ----------
    part : memoryview
        What a connection reads into.
    """

    def __init__(self) -> None:
        self.whole = memoryview(bytearray(READ_BYTES))
        self.part = self.whole
        self.connections = 0

    def count(self, change: int) -> None:
        """Add to the number of open connections."""
        self.connections += change
        share = TOTAL_READ_BYTES // max(1, self.connections)
        size = min(READ_BYTES, max(LEAST_READ_BYTES, share))
        if size != len(self.part):
            self.part = self.whole[:size]


class _ReceiveBuffer(asyncio.BufferedProtocol):
    """Protocol that buffers received bytes until they are read.

    Parameters
    ----------
    read_buffer : _ReadBuffer
    """

    def __init__(self, read_buffer: _ReadBuffer) -> None:
        self.read_buffer = read_buffer
        self.transport: asyncio.Transport | None = None
        self.loop = asyncio.get_running_loop()
        self.received = bytearray()
        self.ended = False
        self.error: Exception | None = None
        self.paused = False
        self.read_waiter: asyncio.Future[None] | None = None
        self.deadline_s = float("inf")
        self.timer: asyncio.TimerHandle | None = None
        self.write_waiter: asyncio.Future[None] | None = None
        # Called when something happens on the connection while no call uses it.
        self.notify_idle: Callable[[], None] | None = None
        self.received_at_s = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.read_buffer.count(1)
        try:
            _enable_keepalive_probes(transport)
        except OSError as error:
            self.error = error
            transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.read_buffer.part

    def buffer_updated(self, nbytes: int) -> None:
        self.received += self.read_buffer.whole[:nbytes]
        self.received_at_s = self.loop.time()
        if (
            len(self.received) > len(self.read_buffer.part)
            and self.transport is not None
        ):
            self.transport.pause_reading()
            self.paused = True
        self._wake_reader()

    def eof_received(self) -> bool:
        self.ended = True
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.read_buffer.count(-1)
        self.ended = True
        self.error = self.error or exc
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._wake_reader()
        self.resume_writing()

    def resume_writing(self) -> None:
        waiter, self.write_waiter = self.write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def pause_writing(self) -> None:
        if self.write_waiter is None:
            self.write_waiter = asyncio.get_running_loop().create_future()

    def _wake_reader(self) -> None:
        if self.notify_idle is not None:
            self.notify_idle()
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)

    async def wait(self, timeout_s: float | None) -> None:
        """Wait until data arrives or the stream ends."""
        loop = self.loop
        self.read_waiter = loop.create_future()
        if timeout_s is not None:
            self.deadline_s = loop.time() + timeout_s
            if self.timer is None or self.timer.when() > self.deadline_s:
                self._set_timer(loop, self.deadline_s)
        try:
            await self.read_waiter
        finally:
            self.read_waiter = None
            self.deadline_s = float("inf")

    def _set_timer(self, loop: asyncio.AbstractEventLoop, when_s: float) -> None:
        """Start the timer, which all waits share and which outlives each of them."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = loop.call_at(when_s, self._check_deadline, loop)

    def _check_deadline(self, loop: asyncio.AbstractEventLoop) -> None:
        self.timer = None
        waiter = self.read_waiter
        if waiter is None or waiter.done():
            return
        if loop.time() < self.deadline_s:
            self._set_timer(loop, self.deadline_s)
        else:
            waiter.set_exception(httpcore.ReadTimeout("no byte in time"))

    def take_all(self) -> bytes:
        """Remove and return all received bytes."""
        if self.paused:
            return self.take(len(self.received))
        data = bytes(self.received)
        self.received.clear()
        return data

    def take(self, max_bytes: int) -> bytes:
        """Remove and return up to ``max_bytes`` received bytes."""
        data = bytes(self.received[:max_bytes])
        del self.received[:max_bytes]
        if self.paused and not self.received and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()
        return data


class TcpStream(httpcore.AsyncNetworkStream):
    """One TCP connection over an asyncio transport.

    Parameters
    ----------
    splits_heads : bool
        Whether ``read`` stops after the head of a response, so that the whole body
        stays in ``buffer``. The bytes of the head are stored in ``head``.

    Attributes
    ----------
    has_written : bool
        Whether a byte was written since the attribute was last reset.
    aborted : bool
        Whether the connection was closed on this side.
    head_bytes : int
        Bytes read by ``read`` since the attribute was last reset.
    """

    def __init__(self, buffer: _ReceiveBuffer, splits_heads: bool = False):
        self.buffer = buffer
        self.splits_heads = splits_heads
        self.head = b""
        self.has_written = False
        self.aborted = False
        self.head_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return bytes as soon as any arrive; empty at the end of the stream."""
        if not self.splits_heads:
            return await self.read_body(max_bytes, timeout)
        await self.wait_for_bytes(timeout)
        if self.head.endswith(HEAD_END):
            self.head = b""
        received = self.buffer.received
        overlap = self.head[1 - len(HEAD_END) :]
        end = (overlap + received[: max_bytes - len(overlap)]).find(HEAD_END)
        if end >= 0:
            max_bytes = end + len(HEAD_END) - len(overlap)
        data = self.buffer.take(max_bytes)
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEADS_BYTES:
            raise httpcore.ReadError("the heads of the response are too large")
        self.head += data
        return data

    async def read_body(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return bytes as soon as any arrive, without splitting at the head."""
        await self.wait_for_bytes(timeout)
        return self.buffer.take(max_bytes)

    async def wait_for_bytes(self, timeout: float | None) -> None:
        """Wait until data arrives or the stream ends."""
        buffer = self.buffer
        if not buffer.received and not buffer.ended:
            await buffer.wait(timeout)
        if not buffer.received and buffer.error is not None:
            raise httpcore.ReadError(repr(buffer.error))

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; wait while the write buffer is full."""
        state = self.buffer
        if state.transport is None or state.transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        if not buffer:
            return
        self.has_written = True
        if len(buffer) <= WRITE_BYTES:
            await self._write_part(buffer, timeout)
            return
        for start in range(0, len(buffer), WRITE_BYTES):
            await self._write_part(buffer[start : start + WRITE_BYTES], timeout)

    async def _write_part(self, data: bytes, timeout: float | None) -> None:
        state = self.buffer
        if state.transport is None or state.transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        state.transport.write(data)
        if state.write_waiter is not None:
            try:
                await asyncio.wait_for(asyncio.shield(state.write_waiter), timeout)
            except TimeoutError as cause:
                raise httpcore.WriteTimeout("the peer does not read") from cause

    async def aclose(self) -> None:
        """Close the connection without waiting."""
        self.abort()

    def abort(self) -> None:
        """Close the connection without waiting."""
        self.aborted = True
        if self.buffer.transport is not None:
            self.buffer.transport.abort()

    def watch_idle(self, notify: Callable[[], None] | None) -> None:
        """Call a function when bytes or the end arrive; None ends that."""
        self.buffer.notify_idle = notify

    def compute_receive_gap_s(self) -> float:
        """Return the time in seconds since the last received byte or the connect."""
        return self.buffer.loop.time() - self.buffer.received_at_s

    def get_extra_info(self, info: str) -> Any:
        """Return information on the connection, as httpcore requests it.

        ``is_readable`` is also true for an idle connection that the peer closed.
        """
        if info == "is_readable":
            return self.buffer.ended or bool(self.buffer.received)
        if info == "socket" and self.buffer.transport is not None:
            return self.buffer.transport.get_extra_info("socket")
        return None


def _enable_keepalive_probes(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close a connection whose peer vanished without closing it.

    Raises
    ------
    OSError
        The socket is already closed.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class TcpBackend(httpcore.AsyncNetworkBackend):
    """Network backend of httpcore that opens TCP connections.

    Parameters
    ----------
    splits_heads : bool
        See ``TcpStream``.
    """

    def __init__(self, splits_heads: bool = False):
        self.splits_heads = splits_heads
        self.read_buffer = _ReadBuffer()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> TcpStream:
        """Open a connection.

        Raises
        ------
        httpcore.ConnectTimeout
            The connection is not open in time.
        httpcore.ConnectError
            It is refused, or the peer has closed it at once.
        """
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            lambda: _ReceiveBuffer(self.read_buffer), host, port
        )
        try:
            _, buffer = await asyncio.wait_for(connecting, timeout)
        except TimeoutError as cause:
            raise httpcore.ConnectTimeout(f"{host}:{port}") from cause
        except OSError as cause:
            raise httpcore.ConnectError(str(cause)) from cause
        stream = TcpStream(buffer, self.splits_heads)
        if buffer.ended or buffer.error is not None:
            stream.abort()
            raise httpcore.ConnectError(
                f"{host}:{port} closed the connection at once: {buffer.error!r}"
            )
        return stream

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await asyncio.sleep(seconds)
