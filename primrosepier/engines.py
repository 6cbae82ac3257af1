"""Calls to endpoints over HTTP."""

import contextlib
import ssl
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

import httpcore

from .outcomes import NotRun, Step, UnknownOutcome

__all__ = [
    "CONNECT_ERRORS",
    "EndpointCall",
    "EndpointClient",
    "EndpointResponse",
    "HttpEndpointClient",
    "RELAY_ERRORS",
    "classify_error",
    "is_connection_lost",
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
MAX_CONNECTIONS = 8192
KEEPALIVE_CONNECTIONS = 512
KEEPALIVE_S = 20.0


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """One attempt at one endpoint."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connect_s: float
    request_s: float


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


class HttpEndpointClient:
    """Pooled HTTP connections to endpoints."""

    def __init__(self) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=KEEPALIVE_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_S,
        )

    @contextlib.asynccontextmanager
    async def open(self, call: EndpointCall) -> AsyncIterator[EndpointResponse]:
        """Send a call; leaving the context cancels what is left of it."""
        timeout = {
            "connect": call.connect_s,
            "pool": call.connect_s,
            "read": call.request_s,
            "write": call.request_s,
        }
        async with self.pool.stream(
            call.method,
            f"http://{call.address}{call.path}",
            headers=list(call.headers),
            content=call.body,
            extensions={"timeout": timeout},
        ) as response:
            yield response

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


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
