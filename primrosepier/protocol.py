"""HTTP protocol for callers' connections, with limits on the request head."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

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


class _BoundedProtocol(HttpToolsProtocol):
    """Protocol that refuses a request head that is too large or too slow.

    It adds the request's target, as it was received, to the scope. The parser stops
    at the head of a request that asks for another protocol, so such a request is
    refused if it has a body.
    """

    limit_bytes = 0
    limit_s = 0.0
    idle_s: float | None = None
    head_bytes = 0
    head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        if self.idle_s is not None:
            self.timeout_keep_alive = self.idle_s  # type: ignore[assignment]
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self.head_timer is not None:
            self.head_bytes += len(data)
        super().data_received(data)
        if self.head_timer is not None and self.head_bytes > self.limit_bytes:
            self._refuse(HEADERS_TOO_LARGE_RESPONSE)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        if self.head_timer is None:
            self._start_timer()

    def on_headers_complete(self) -> None:
        self._stop_timer()
        if self.parser.should_upgrade() and self._has_body():
            self._refuse(UPGRADE_WITH_BODY_RESPONSE)
            return
        self.scope["target"] = self.url  # type: ignore[typeddict-unknown-key]
        super().on_headers_complete()

    def _has_body(self) -> bool:
        return any(
            name in BODY_HEADERS and value != b"0" for name, value in self.headers
        )

    def on_body(self, body: bytes) -> None:
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        if not self.transport.is_closing():
            super().on_message_complete()

    def _start_timer(self) -> None:
        self.head_bytes = 0
        self.head_timer = self.loop.call_later(
            self.limit_s, self._refuse, REQUEST_TIMEOUT_RESPONSE
        )

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _refuse(self, response: bytes) -> None:
        self._stop_timer()
        if self.transport.is_closing():
            return
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(response)
        self.transport.close()


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


def make_bounded_protocol(header_bytes: int, header_s: float) -> type:
    """Return a protocol for uvicorn that refuses large and slow request heads.

    Parameters
    ----------
    header_bytes : int
    header_s : float
        Time-out from the first byte of a head to its last, seconds; for the first
        head of a connection, from the opening of the connection.
    """
    bounds = {"limit_bytes": header_bytes, "limit_s": header_s}
    return type("BoundedProtocol", (_BoundedProtocol,), bounds)
