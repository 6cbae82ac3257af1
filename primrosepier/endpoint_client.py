"""Calls to endpoints over HTTP."""

import contextlib
import math
import ssl
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Collection, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import httpcore

from .caller_limits import find_max_connections
from .clocks import Clock
from .outcomes import NotRun, Step, UnknownOutcome
from .retry_after import RestRequest, parse_retry_after
from .streamed import StreamedResponse
from .transport import TcpBackend, TcpStream

__all__ = [
    "CONNECT_ERRORS",
    "EndpointCall",
    "EndpointClient",
    "EndpointResponse",
    "HttpEndpointClient",
    "KEEPALIVE_S",
    "RELAY_ERRORS",
    "classify_error",
    "is_connection_lost",
    "is_leaving",
    "make_endpoint_client",
    "read_rest",
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
HTTP_UNAVAILABLE = 503
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64
# Connections beyond the limit for what is not a caller's call: probes and orders. Calls
# are as many as callers' connections at most, whose limit is the same.
SPARE_CONNECTIONS = 64
KEEPALIVE_S = 20.0
# Idle time after which a connection that a probe opened is not used, seconds.
PROBE_IDLE_S = 0.5
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


def ignore_connected() -> None:
    """Do nothing; used where no one follows when a connection is open."""


@dataclass(frozen=True, slots=True)
class EndpointCall:
    """An HTTP request to one endpoint.

    Parameters
    ----------
    attempt : str
        Attempt id that the answer must have if it states one.
    connect_s : float
        Time-out for connecting, seconds.
    request_s : float
        Time-out for each read and write, seconds.
    streamed : bool
        Whether the answer is an event stream.
    idle_s : float
        Longest idle time after which a connection is still reused, seconds.
    repeatable : bool
        Whether the call may run more than once. Only such calls are aborted when
        the endpoint is unresponsive.
    record_connected : callable
        Called when the connection is open, before a byte of the request is written.
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
    record_connected: Callable[[], None] = ignore_connected


class EndpointResponse(Protocol):
    """A response whose body is read as it arrives.

    Attributes
    ----------
    is_framed : bool
        Whether a length or chunks mark the end of the body; otherwise the end of the
        connection does.
    is_first_use : bool
        Whether the connection was opened for this call.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    is_framed: bool
    is_first_use: bool

    def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""


class EndpointClient(Protocol):
    """Client for calls to endpoints."""

    def open(
        self, call: EndpointCall
    ) -> contextlib.AbstractAsyncContextManager[EndpointResponse]:
        """Send a call; leaving the context cancels it if it is still in progress."""

    def abort_unresponsive(self, address: str, receive_gap_s: float) -> int:
        """Abort repeatable calls to an unresponsive address; return how many."""

    async def probe(self, address: str, connect_s: float) -> bool:
        """Return whether an address accepts a connection; keep it for the next call."""

    def prune(self, addresses: Collection[str]) -> None:
        """Close idle connections that have expired, or that lead to other addresses."""

    async def close(self) -> None:
        """Close all idle connections."""


@dataclass(slots=True, eq=False)
class _IdleConnection:
    stream: TcpStream
    idle_since_s: float
    expires_at_s: float


class HttpEndpointClient:
    """HTTP client that reuses connections to endpoints.

    httpcore's pool scans all connections on every request, so its cost grows with the
    square of the number of open streams; here each address has its own list of idle
    connections.

    Parameters
    ----------
    clock : Clock
    max_connections : float
        Connections beyond which the one that has been idle longest is closed for a new
        one; infinite for no limit. `SPARE_CONNECTIONS` more may be in use.
    """

    def __init__(
        self, clock: Clock = time.monotonic, max_connections: float = math.inf
    ) -> None:
        self.clock = clock
        self.max_connections = max_connections
        # Open connections, idle or in use, and those that are being opened.
        self.connections = 0
        self.idle: dict[str, list[_IdleConnection]] = {}
        # Addresses of the idle connections, the one that is idle longest first.
        self.idle_addresses: dict[_IdleConnection, str] = {}
        self.repeatable: dict[str, set[TcpStream]] = defaultdict(set)
        self.backend = TcpBackend(splits_heads=True)

    @contextlib.asynccontextmanager
    async def open(self, call: EndpointCall) -> AsyncIterator[EndpointResponse]:
        """Send a call; leaving the context cancels it if it is still in progress."""
        idle_stream = self._take_idle(call)
        stream = idle_stream or await self._connect(call.address, call.connect_s)
        response: StreamedResponse | None = None
        try:
            call.record_connected()
            if call.repeatable:
                self.repeatable[call.address].add(stream)
            url = _make_url(call)
            connection = httpcore.AsyncHTTP11Connection(url.origin, stream)
            timeout = {"read": call.request_s, "write": call.request_s}
            request = httpcore.Request(
                call.method,
                url,
                headers=_complete_headers(call, url.origin),
                content=call.body,
                extensions={"timeout": timeout},
            )
            received = await _send_request(connection, request, stream)
            response = StreamedResponse(received, stream, call.request_s, call.method)
            response.is_first_use = idle_stream is None
            yield response
        finally:
            self.repeatable[call.address].discard(stream)
            if response is not None and response.is_reusable():
                self._release(call.address, stream, response.keep_alive_s)
            else:
                self._close(stream)

    def abort_unresponsive(self, address: str, receive_gap_s: float) -> int:
        """Abort repeatable calls to an unresponsive address; return how many.

        Idle connections to the address are closed as well and not counted.

        Parameters
        ----------
        receive_gap_s : float
            Time without a received byte, in seconds, after which a connection
            counts as unresponsive.
        """
        unresponsive = [
            stream
            for stream in self.repeatable[address]
            if stream.compute_receive_gap_s() >= receive_gap_s
        ]
        for stream in unresponsive:
            stream.abort()
        for connection in self.idle.pop(address, []):
            self._drop(address, connection)
        return len(unresponsive)

    def _take_idle(self, call: EndpointCall) -> TcpStream | None:
        """Return the most recently used idle connection that is still usable."""
        idle = self.idle.setdefault(call.address, [])
        now_s = self.clock()
        while idle:
            connection = idle.pop()
            self.idle_addresses.pop(connection)
            is_fresh = now_s < min(
                connection.expires_at_s, connection.idle_since_s + call.idle_s
            )
            if is_fresh and not connection.stream.get_extra_info("is_readable"):
                connection.stream.watch_idle(None)
                return connection.stream
            self._drop(call.address, connection)
        return None

    async def _connect(
        self, address: str, connect_s: float, is_limited: bool = True
    ) -> TcpStream:
        self._make_room(is_limited)
        host, _, port = address.rpartition(":")
        self.connections += 1
        try:
            return await self.backend.connect_tcp(host, int(port), connect_s)
        except BaseException:
            self.connections -= 1
            raise

    def _make_room(self, is_limited: bool) -> None:
        """Close idle connections until another may be opened.

        Parameters
        ----------
        is_limited : bool
            Whether the connection is refused if too many are in use.

        Raises
        ------
        httpcore.PoolTimeout
            All are in use, and so many more that other parts would lack descriptors.
        """
        while self.connections >= self.max_connections and self.idle_addresses:
            connection, address = next(iter(self.idle_addresses.items()))
            self._drop(address, connection)
        limit = self.max_connections + SPARE_CONNECTIONS
        if is_limited and self.connections >= limit:
            raise httpcore.PoolTimeout(f"{self.connections} connections are in use")

    def _close(self, stream: TcpStream) -> None:
        self.connections -= 1
        stream.abort()

    async def probe(self, address: str, connect_s: float) -> bool:
        """Return whether an address accepts a connection; keep it for the next call."""
        try:
            # Refused for this router's own limit, the replica would count as lost. The
            # probes are few.
            stream = await self._connect(address, connect_s, is_limited=False)
        except CONNECT_ERRORS:
            return False
        self._release(address, stream, PROBE_IDLE_S)
        return True

    def _release(self, address: str, stream: TcpStream, keep_alive_s: float) -> None:
        idle = self.idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS_PER_ADDRESS or stream.get_extra_info(
            "is_readable"
        ):
            self._close(stream)
            return
        now_s = self.clock()
        connection = _IdleConnection(stream, now_s, now_s + keep_alive_s)
        idle.append(connection)
        self.idle_addresses[connection] = address
        stream.watch_idle(partial(self._drop, address, connection))

    def _drop(self, address: str, connection: _IdleConnection) -> None:
        """Close an idle connection on which bytes or the end have arrived."""
        connection.stream.watch_idle(None)
        self._close(connection.stream)
        self.idle_addresses.pop(connection, None)
        idle = self.idle.get(address, [])
        if connection in idle:
            idle.remove(connection)

    def prune(self, addresses: Collection[str]) -> None:
        """Close idle connections that have expired, or that lead to other addresses."""
        now_s = self.clock()
        for address, idle in list(self.idle.items()):
            is_used = address in addresses
            for connection in list(idle):
                if not is_used or now_s >= connection.expires_at_s:
                    self._drop(address, connection)
            if not is_used:
                del self.idle[address]
                if not self.repeatable.get(address):
                    self.repeatable.pop(address, None)

    async def close(self) -> None:
        """Close all idle connections."""
        self.prune(())


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
    stream.head_bytes = 0
    try:
        return await connection.handle_async_request(request)
    except RELAY_ERRORS as cause:
        if stream.has_written:
            raise
        raise httpcore.ConnectError("the idle connection was closed") from cause


def _make_url(call: EndpointCall) -> httpcore.URL:
    """Return the URL of a call, with its target as it was given.

    A URL that is parsed from text loses an empty query and the parameters of its path.
    """
    host, _, port = call.address.rpartition(":")
    return httpcore.URL(
        scheme=b"http",
        host=host.encode("ascii"),
        port=int(port),
        target=call.path.encode("latin-1"),
    )


def _complete_headers(
    call: EndpointCall, origin: httpcore.Origin
) -> list[tuple[bytes, bytes]]:
    """Return the call's headers with those that HTTP requires."""
    headers = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in call.headers]
    names = {name.lower() for name, _ in headers}
    if b"host" not in names:
        headers.insert(0, (b"Host", call.address.encode("ascii")))
    if b"content-length" not in names and (call.body or call.method in BODY_METHODS):
        headers.append((b"Content-Length", str(len(call.body)).encode("ascii")))
    return headers


def is_leaving(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a response's headers state that its endpoint is leaving."""
    return any(
        name.lower() == LEAVING_HEADER and value.strip() == b"1"
        for name, value in headers
    )


def read_rest(response: EndpointResponse) -> RestRequest | None:
    """Return the rest that an endpoint asks for when it turns a request away.

    The Retry-After of a 429 is for the caller whose rate is exceeded.
    """
    values = {name.lower(): value for name, value in response.headers}
    value = values.get(b"retry-after")
    if response.status != HTTP_UNAVAILABLE or value is None:
        return None
    return parse_retry_after(value, values.get(b"date", b""), time.time())


def classify_error(error: Exception, peer: str) -> NotRun | UnknownOutcome:
    """Return the outcome of a call that failed before its answer was forwarded."""
    if isinstance(error, CONNECT_ERRORS):
        return NotRun(Step.CONNECT, peer, repr(error), retry_after_s=1.0)
    lost = is_connection_lost(error)
    return UnknownOutcome(Step.HEADERS, peer, repr(error), lost)


def is_connection_lost(error: Exception) -> bool:
    """Return whether an error means a lost connection rather than a time-out."""
    return not isinstance(error, httpcore.TimeoutException)


def make_endpoint_client(max_fds: float = math.inf) -> HttpEndpointClient:
    """Return a client with its own connection pool.

    Parameters
    ----------
    max_fds : float
        Descriptors that the process may open; no more than the system's own limit.
    """
    return HttpEndpointClient(max_connections=find_max_connections(max_fds))
