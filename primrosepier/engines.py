"""Calls to endpoints over HTTP."""

import contextlib
import ssl
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from typing import Protocol

import httpcore

from .clocks import Clock
from .outcomes import NotRun, Step, UnknownOutcome
from .streamed import StreamedResponse
from .transport import TcpBackend, TcpStream

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
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """One attempt at one endpoint.

    Parameters
    ----------
    attempt : str
        Id that the answer must carry, if it carries one.
    streamed : bool
        Whether the answer is an event stream.
    idle_s : float
        Longest time that the connection may have been idle, seconds.
    repeatable : bool
        Whether the call can be made again, so that it may be given up early.
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
    idle_s: float = KEEPALIVE_S
    repeatable: bool = False


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

    def give_up(self, address: str, silence_s: float) -> int:
        """Break repeatable calls at an address that seems gone; return how many."""

    async def close(self) -> None:
        """Close all connections."""


@dataclass(slots=True)
class _IdleConnection:
    stream: TcpStream
    since_s: float
    expires_at_s: float


class HttpEndpointClient:
    """HTTP connections to endpoints, kept open and used again.

    A pool of httpcore looks at every connection for every request, so its cost
    grows with the square of the open streams; here each address has a list of
    idle connections of its own.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock = time.monotonic) -> None:
        self.clock = clock
        self.idle: dict[str, list[_IdleConnection]] = {}
        self.repeatable: dict[str, set[TcpStream]] = defaultdict(set)
        self.backend = TcpBackend(splits_heads=True)

    @contextlib.asynccontextmanager
    async def open(self, call: EndpointCall) -> AsyncIterator[EndpointResponse]:
        """Send a call; leaving the context cancels what is left of it."""
        stream = self._take(call) or await self._connect(call)
        if call.repeatable:
            self.repeatable[call.address].add(stream)
        url = httpcore.URL(f"http://{call.address}{call.path}")
        connection = httpcore.AsyncHTTP11Connection(url.origin, stream)
        timeout = {"read": call.request_s, "write": call.request_s}
        request = httpcore.Request(
            call.method,
            url,
            headers=_complete_headers(call, url.origin),
            content=call.body,
            extensions={"timeout": timeout},
        )
        response: StreamedResponse | None = None
        try:
            found = await _send_request(connection, request, stream)
            response = StreamedResponse(found, stream, call.request_s, call.method)
            yield response
        finally:
            self.repeatable[call.address].discard(stream)
            if response is not None and response.is_reusable():
                await self._give_back(call.address, stream, response.keep_alive_s)
            else:
                await stream.aclose()

    def give_up(self, address: str, silence_s: float) -> int:
        """Break repeatable calls at an address that seems gone; return how many.

        Parameters
        ----------
        silence_s : float
            Only connections without a byte for this long, seconds.
        """
        silent = [
            stream
            for stream in self.repeatable[address]
            if stream.compute_silence_s() >= silence_s
        ]
        for stream in silent:
            stream.abort()
        for found in self.idle.pop(address, []):
            found.stream.abort()
        return len(silent)

    def _take(self, call: EndpointCall) -> TcpStream | None:
        """Return the connection that was used last, unless it may be closing."""
        idle = self.idle.setdefault(call.address, [])
        now_s = self.clock()
        while idle:
            found = idle.pop()
            fresh = now_s < min(found.expires_at_s, found.since_s + call.idle_s)
            if fresh and not found.stream.get_extra_info("is_readable"):
                return found.stream
            found.stream.abort()
        return None

    async def _connect(self, call: EndpointCall) -> TcpStream:
        host, _, port = call.address.rpartition(":")
        return await self.backend.connect_tcp(host, int(port), call.connect_s)

    async def _give_back(
        self, address: str, stream: TcpStream, keep_alive_s: float
    ) -> None:
        idle = self.idle.setdefault(address, [])
        if len(idle) >= IDLE_CONNECTIONS or stream.get_extra_info("is_readable"):
            await stream.aclose()
            return
        now_s = self.clock()
        idle.append(_IdleConnection(stream, now_s, now_s + keep_alive_s))

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            for found in idle:
                await found.stream.aclose()
        self.idle.clear()


async def _send_request(
    connection: httpcore.AsyncHTTP11Connection,
    request: httpcore.Request,
    stream: TcpStream,
) -> httpcore.Response:
    """Send a request and read the head of its response.

    Raises
    ------
    httpcore.ConnectError
        The connection was closed before a byte of the request was written.
    """
    stream.has_written = False
    try:
        return await connection.handle_async_request(request)
    except RELAY_ERRORS as cause:
        if stream.has_written:
            raise
        raise httpcore.ConnectError("the idle connection was closed") from cause


def _complete_headers(
    call: EndpointCall, origin: httpcore.Origin
) -> list[tuple[bytes, bytes]]:
    """Return the call's headers with those that HTTP asks for."""
    headers = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in call.headers]
    names = {name.lower() for name, _ in headers}
    if b"host" not in names:
        headers.insert(0, (b"Host", call.address.encode("ascii")))
    if b"content-length" not in names and (call.body or call.method in BODY_METHODS):
        headers.append((b"Content-Length", str(len(call.body)).encode("ascii")))
    return headers


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
