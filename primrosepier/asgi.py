"""ASGI helpers shared by the router and the stand-ins."""

import contextlib
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from typing import Any

import anyio
import msgspec
import uvicorn
from anyio.lowlevel import checkpoint

from .decoding import decode_json
from .errors import MessageError, RequestError

__all__ = [
    "App",
    "Headers",
    "JSON_TYPE",
    "Receive",
    "Scope",
    "Send",
    "abort_connection",
    "check_size",
    "decode_object",
    "find_header",
    "has_disconnected",
    "open_server",
    "read_body",
    "read_json",
    "read_path",
    "read_target",
    "send_bytes",
    "send_chunk",
    "send_json",
    "start_response",
    "wait_for_disconnect",
]

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Sequence[tuple[str, str]]

START_POLL_S = 0.005
KEEP_ALIVE_S = 30
# Connections that each listener accepts in one iteration of the event loop. Those that
# are too many are closed three iterations later.
ACCEPTS_PER_TURN = 8
# Connections that the kernel keeps until they are accepted.
LISTEN_BACKLOG = 2048
# Resolution of the date of responses, seconds (RFC 9110, section 5.6.7).
DATE_INTERVAL_S = 1.0
SHUTDOWN_GRACE_S = 1.0
JSON_TYPE = ("content-type", "application/json")
ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
# Reserved characters of RFC 3986, section 2.2, and the percent sign itself.
RESERVED = b":/?#[]@!$&'()*+,;=%"


def find_header(scope: Scope, name: str) -> str:
    """Return the first value of a request header, or an empty string."""
    encoded_name = name.lower().encode()
    for key, value in scope.get("headers", []):
        if key == encoded_name:
            return value.decode("latin-1")
    return ""


def check_size(size: int, limit_bytes: int) -> None:
    """Raise ``RequestError`` if a body has more bytes than are allowed."""
    if size > limit_bytes:
        text = f"The body is larger than {limit_bytes} bytes."
        raise RequestError(413, "body_too_large", text)


def admit_all(size: int) -> None:
    """Do nothing; used where only the size of a single body is limited."""


async def read_body(
    receive: Receive,
    limit_bytes: int,
    limit_s: float | None = None,
    admit: Callable[[int], None] = admit_all,
) -> bytes:
    """Read a request body.

    Parameters
    ----------
    admit : callable
        Called with the size so far, bytes, as parts arrive; raises ``RequestError`` if
        the body is to be read no further.

    Raises
    ------
    RequestError
        The body exceeds the limit or the time-out, or the caller disconnected.
    """
    try:
        with anyio.fail_after(limit_s):
            return await _read_parts(receive, limit_bytes, admit)
    except TimeoutError as cause:
        text = f"The body did not arrive within {limit_s} s."
        raise RequestError(408, "body_too_slow", text) from cause


async def _read_parts(
    receive: Receive, limit_bytes: int, admit: Callable[[int], None]
) -> bytes:
    # One buffer: parts of a few bytes would cost ten times their size as objects.
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise RequestError(400, "incomplete_body", "The body ended early.")
        part = message.get("body", b"")
        size = len(body) + len(part)
        check_size(size, limit_bytes)
        admit(size)
        body += part
        if not message.get("more_body", False):
            return bytes(body)


async def read_json(
    receive: Receive, limit_bytes: int, limit_s: float | None = None
) -> dict[str, Any]:
    """Read a request body that holds a JSON object."""
    return decode_object(await read_body(receive, limit_bytes, limit_s))


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a request body that holds a JSON object.

    Raises
    ------
    RequestError
        It holds something else.
    """
    try:
        return decode_json(body or b"{}", dict[str, Any])
    except MessageError as cause:
        text = f"The body is not a JSON object: {cause}"
        raise RequestError(400, "invalid_json", text) from cause


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller disconnects."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def start_response(send: Send, status: int, headers: Headers = ()) -> None:
    """Send the status line and headers."""
    raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    await send({"type": "http.response.start", "status": status, "headers": raw})


async def send_chunk(send: Send, data: bytes, more: bool = True) -> None:
    """Send a part of the body."""
    await send({"type": "http.response.body", "body": data, "more_body": more})


def read_path(scope: Scope) -> str:
    """Return a request's path for comparison with declared prefixes.

    Characters that RFC 3986 reserves stay encoded if they were sent so: an encoded
    slash separates no segments (section 2.2). A server need not tell what was sent.
    """
    raw_path: bytes | None = scope.get("raw_path")
    if raw_path is None:
        return str(scope["path"])

    def decode(match: re.Match[bytes]) -> bytes:
        byte = bytes([int(match[1], 16)])
        return match[0].upper() if byte in RESERVED else byte

    return ENCODED.sub(decode, raw_path).decode("utf-8", "replace")


def read_target(scope: Scope) -> bytes:
    """Return a request's path and query, byte for byte if the server tells them."""
    target: bytes = scope.get("target", b"")
    if target.startswith(b"/") and b"#" not in target:
        return target
    # It names the scheme and the host as well, or a fragment.
    path: bytes = scope["raw_path"]
    query = scope.get("query_string", b"")
    return b"%b?%b" % (path, query) if query else path


async def send_bytes(
    send: Send, status: int, data: bytes, headers: Headers = ()
) -> None:
    """Send a whole response."""
    length = ("content-length", str(len(data)))
    await start_response(send, status, [*headers, length])
    await send_chunk(send, data, more=False)


async def send_json(send: Send, status: int, value: Any, headers: Headers = ()) -> None:
    """Send a whole response that holds JSON."""
    await send_bytes(send, status, msgspec.json.encode(value), [JSON_TYPE, *headers])


def abort_connection(send: Send) -> None:
    """Abort the caller's connection, as a crash of this process would.

    Parameters
    ----------
    send : callable
        The ``send`` that uvicorn passed to the app.
    """
    transport = _find_transport(send)
    if transport is not None:
        transport.abort()


async def has_disconnected(send: Send) -> bool:
    """Return whether the caller has closed its connection by now.

    The event loop runs once, since an end that arrived together with the request is
    read after it.

    Parameters
    ----------
    send : callable
        The ``send`` that uvicorn passed to the app.
    """
    await checkpoint()
    transport = _find_transport(send)
    return transport is not None and transport.is_closing()


def _find_transport(send: Send) -> Any:
    """Return the transport of the connection, or None if the server tells none."""
    cycle = getattr(send, "__self__", None)
    return getattr(cycle, "transport", None)


def close_connection_after(send: Send) -> Send:
    """Return a ``send`` that adds ``connection: close`` to the response."""

    async def send_and_close(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"connection", b"close")]
            message = {**message, "headers": headers}
        await send(message)

    return send_and_close


class _EmbeddedServer(uvicorn.Server):
    """Server that installs no signal handlers and does not poll for its end."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stop_requested = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def main_loop(self) -> None:
        """Update the date of responses until the server is to stop."""
        while not await self.on_tick(0):
            with anyio.move_on_after(DATE_INTERVAL_S):
                await self.stop_requested.wait()

    def stop(self) -> None:
        """Stop accepting connections and finish the requests in progress."""
        self.should_exit = True
        self.stop_requested.set()


def _make_config(app: App, address: str, protocol: Any) -> uvicorn.Config:
    host, _, port = address.rpartition(":")
    return uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_level="critical",
        access_log=False,
        lifespan="off",
        loop="asyncio",
        http=protocol,
        ws="none",
        backlog=ACCEPTS_PER_TURN,
        timeout_graceful_shutdown=1,
        timeout_keep_alive=KEEP_ALIVE_S,
    )


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    # With the protocol named, asyncio sets TCP_NODELAY on accepted connections. Without
    # it, a body written after its head waits for the caller's delayed acknowledgement.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    return listener


@contextlib.asynccontextmanager
async def open_server(
    app: App,
    address: str,
    compute_grace: Callable[[], float] = lambda: SHUTDOWN_GRACE_S,
    protocol: Any = "httptools",
    more_addresses: Sequence[str] = (),
) -> AsyncIterator[str]:
    """Serve an app while the context is open.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 selects a free port.
    compute_grace : callable
        Returns the time in seconds that requests in progress may take at shutdown.
    protocol : str or type
        HTTP protocol, as uvicorn's ``http`` option.
    more_addresses : sequence of str
        Further addresses at which the app is served.

    Yields
    ------
    str
        Address that the server listens on.
    """
    config = _make_config(app, address, protocol)
    server = _EmbeddedServer(config)
    async with anyio.create_task_group() as group:
        sockets = [
            _listen(listen_address) for listen_address in (address, *more_addresses)
        ]
        group.start_soon(server.serve, sockets)
        while not server.started:
            if server.should_exit:
                raise OSError(f"cannot listen on {address}")
            await anyio.sleep(START_POLL_S)
        for listener in sockets:
            # The server has set the backlog to the connections of one turn.
            listener.listen(LISTEN_BACKLOG)
        bound = sockets[0].getsockname()
        try:
            yield f"{bound[0]}:{bound[1]}"
        finally:
            config.timeout_graceful_shutdown = compute_grace()  # type: ignore[assignment]
            server.stop()
