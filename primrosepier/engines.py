"""Calls to endpoints over HTTP."""

import contextlib
import ssl
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from typing import Protocol

import anyio
import httpcore

from .outcomes import NotRun, Step, UnknownOutcome
from .streamed import StreamedResponse
from .transport import TcpBackend

__all__ = [
    "CONNECT_ERRORS",
    "EndpointCall",
    "EndpointClient",
    "EndpointResponse",
    "HttpEndpointClient",
    "RELAY_ERRORS",
    "classify_error",
    "is_connection_lost",
    "is_leaving",
    "make_endpoint_client",
]

CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    ssl.SSLError,
)
RELAY_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
LEAVING_HEADER = b"x-endpoint-leaving"
IDLE_CONNECTIONS = 64
KEEPALIVE_S = 20.0


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """One attempt at one endpoint.

    Parameters
    ----------
    attempt : str
        Id that the answer must carry, if it carries one.
    streamed : bool
        Whether the answer is an event stream, whose bytes are worth saving time on.
    """

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connect_s: float
    request_s: float
    attempt: str = ""
    streamed: bool = False


class EndpointResponse(Protocol):
    """A response whose body may still be arriving."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""


class EndpointClient(Protocol):
    """Opens calls to endpoints."""

    def open(
        self, call: EndpointCall
    ) -> contextlib.AbstractAsyncContextManager[EndpointResponse]:
        """Send a call; leaving the context cancels what is left of it."""

    async def close(self) -> None:
        """Close all connections."""


class HttpEndpointClient:
    """HTTP connections to endpoints, kept open and used again.

    A pool of httpcore looks at every connection for every request, so its cost
    grows with the square of the open streams; here each address has a list of
    idle connections of its own.
    """

    def __init__(self) -> None:
        self.idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}
        self.backend = TcpBackend()
        self.streams_backend = TcpBackend(splits_heads=True)

    @contextlib.asynccontextmanager
    async def open(self, call: EndpointCall) -> AsyncIterator[EndpointResponse]:
        """Send a call; leaving the context cancels what is left of it."""
        timeout = {
            "connect": call.connect_s,
            "pool": call.connect_s,
            "read": call.request_s,
            "write": call.request_s,
        }
        connection = self._take(call) or self._connect(call)
        try:
            async with connection.stream(
                call.method,
                f"http://{call.address}{call.path}",
                headers=list(call.headers),
                content=call.body,
                extensions={"timeout": timeout},
            ) as response:
                if call.streamed:
                    yield StreamedResponse(response, call.request_s)
                else:
                    yield response
        finally:
            await self._give_back(call.address, connection)

    def _take(self, call: EndpointCall) -> httpcore.AsyncHTTPConnection | None:
        idle = [] if call.streamed else self.idle.get(call.address, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
        return None

    def _connect(self, call: EndpointCall) -> httpcore.AsyncHTTPConnection:
        host, _, port = call.address.rpartition(":")
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode("ascii"), int(port)),
            keepalive_expiry=KEEPALIVE_S,
            network_backend=self.streams_backend if call.streamed else self.backend,
        )

    async def _give_back(
        self, address: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        idle = self.idle.setdefault(address, [])
        reusable = connection.is_available() and not connection.is_closed()
        if reusable and len(idle) < IDLE_CONNECTIONS:
            idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                await connection.aclose()
        self.idle.clear()


def is_leaving(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a response's headers say that its endpoint is leaving."""
    return any(
        name.lower() == LEAVING_HEADER and value.strip() == b"1"
        for name, value in headers
    )


def classify_error(error: Exception, peer: str) -> NotRun | UnknownOutcome:
    """Return what an error before the first byte of the answer means."""
    if isinstance(error, CONNECT_ERRORS):
        return NotRun(Step.CONNECT, peer, repr(error), retry_after_s=1.0)
    lost = is_connection_lost(error)
    return UnknownOutcome(Step.HEADERS, peer, repr(error), lost)


def is_connection_lost(error: Exception) -> bool:
    """Return whether an error means that the peer closed the connection."""
    return not isinstance(error, httpcore.TimeoutException)


def make_endpoint_client() -> HttpEndpointClient:
    """Return a client with its own connection pool."""
    return HttpEndpointClient()
