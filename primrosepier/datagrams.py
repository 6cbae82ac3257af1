"""Datagrams between routers, sent by one task that owns the socket."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import UDPSocket
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from .addresses import Address, parse_address
from .clocks import Clock

__all__ = ["DatagramPort", "OpenSocket"]

# Limit on the content of a datagram (RFC 768), less the headers of IPv4.
MAX_DATAGRAM_BYTES = 65_507
# Datagrams that wait for the socket; further ones are dropped.
MAX_QUEUED = 1000
# Minimum time between two reports of failures, seconds.
REPORT_INTERVAL_S = 1.0
# Time before a broken socket is opened again, seconds.
REOPEN_DELAY_S = 0.5
SOCKET_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)

Datagram = tuple[bytes, Address]
OpenSocket = Callable[[], Awaitable[UDPSocket]]
HandleDatagram = Callable[[bytes], Awaitable[None]]
NotifyFailure = Callable[[str, int], None]


def ignore_failure(reason: str, count: int) -> None:
    """Do nothing; used where no one follows the failures."""


def _make_queue() -> tuple[
    MemoryObjectSendStream[Datagram], MemoryObjectReceiveStream[Datagram]
]:
    return anyio.create_memory_object_stream[Datagram](MAX_QUEUED)


@dataclass(slots=True)
class DatagramPort:
    """Sends datagrams from a queue and passes received ones to a handler.

    A datagram that can't be sent, or whose handler fails, is dropped and counted.

    Parameters
    ----------
    clock : Clock
    notify_failure : callable
        Called with the error of a datagram that was dropped, or not read in full, and
        the number of such datagrams since the last call.

    Attributes
    ----------
    unreported_failures : int
        Such datagrams that ``notify_failure`` was not called for.
    """

    clock: Clock
    notify_failure: NotifyFailure = ignore_failure
    queue: tuple[
        MemoryObjectSendStream[Datagram], MemoryObjectReceiveStream[Datagram]
    ] = field(default_factory=_make_queue)
    unreported_failures: int = 0
    reported_at_s: float = float("-inf")

    def send(self, address: str, data: bytes) -> bool:
        """Queue a datagram; return whether it will be sent."""
        parsed = parse_address(address)
        if parsed is None:
            self.record_failure(f"{address!r} is not IP:PORT")
            return False
        if len(data) > MAX_DATAGRAM_BYTES:
            self.record_failure(f"a message of {len(data)} bytes is too long")
            return False
        try:
            self.queue[0].send_nowait((data, parsed))
        except anyio.WouldBlock:
            self.record_failure("too many datagrams wait for the socket")
            return False
        return True

    async def run(
        self, socket: UDPSocket, reopen: OpenSocket, handle: HandleDatagram
    ) -> None:
        """Send and receive until cancelled; replace the socket when it breaks."""
        while True:
            async with socket, anyio.create_task_group() as group:
                group.start_soon(self._send_queued, socket)
                await self._receive(socket, handle)
                group.cancel_scope.cancel()
            socket = await self._reopen(reopen)

    async def _reopen(self, reopen: OpenSocket) -> UDPSocket:
        while True:
            await anyio.sleep(REOPEN_DELAY_S)
            try:
                return await reopen()
            except OSError as error:
                self.record_failure(repr(error))

    async def _send_queued(self, socket: UDPSocket) -> None:
        async for data, (host, port) in self.queue[1]:
            try:
                await socket.sendto(data, host, port)
            except SOCKET_ERRORS as error:
                self.record_failure(repr(error))

    async def _receive(self, socket: UDPSocket, handle: HandleDatagram) -> None:
        """Handle datagrams until the socket breaks."""
        while True:
            try:
                data, _ = await socket.receive()
            except SOCKET_ERRORS as error:
                self.record_failure(repr(error))
                return
            try:
                await handle(data)
            # A peer's message must not end the router, whatever it holds.
            except Exception as error:
                self.record_failure(f"a message could not be handled: {error!r}")

    def record_failure(self, reason: str) -> None:
        """Count a datagram that was dropped, or that could not be read in full."""
        self.unreported_failures += 1
        now_s = self.clock()
        if now_s < self.reported_at_s + REPORT_INTERVAL_S:
            return
        self.reported_at_s = now_s
        self.notify_failure(reason, self.unreported_failures)
        self.unreported_failures = 0
