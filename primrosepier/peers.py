"""gRPC transport between routers."""

import asyncio
import contextlib
import socket
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

import grpclib
import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from .caller_limits import CallerBudget
from .errors import MessageError
from .grpc_traces import trace_channel, trace_server
from .logs import Log
from .messages import (
    MAX_MESSAGE_BYTES,
    ConfigurationReply,
    ConfigurationRequest,
    Exchange,
    PeerCodec,
    ProbeReply,
    ProbeRequest,
    StatusReply,
    StatusRequest,
)
from .outcomes import Step
from .peer_protocol import BoundedServer, bind_listener

__all__ = [
    "GrpcTransport",
    "PeerFailure",
    "PeerHandlers",
    "PeerTransport",
    "bind_listener",
    "make_transport",
    "open_peer_server",
]

T = TypeVar("T")

MAX_CHANNELS = 32
SERVICE = "/primrosepier.Peers"
CALL_ERRORS = (
    asyncio.TimeoutError,
    GRPCError,
    MessageError,
    OSError,
    StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """The call to a peer gave no usable answer."""

    step: Step
    peer: str
    reason: str


class PeerHandlers(Protocol):
    """Answers the calls of other routers."""

    async def answer_exchange(self, message: Exchange) -> Exchange:
        """Answer a probe."""

    async def answer_probe(self, message: ProbeRequest) -> ProbeReply:
        """Probe another router on behalf of the sender."""

    async def answer_configuration(
        self, message: ConfigurationRequest
    ) -> ConfigurationReply:
        """Return this router's configuration if it is newer."""

    async def answer_status(self, message: StatusRequest) -> StatusReply:
        """Return the state of this router."""


class PeerTransport(Protocol):
    """Calls to other routers."""

    async def exchange(
        self, address: str, message: Exchange, timeout_s: float
    ) -> Exchange | PeerFailure:
        """Send a probe and return its answer."""

    async def probe(
        self, address: str, message: ProbeRequest, timeout_s: float
    ) -> ProbeReply | PeerFailure:
        """Request that a router probe another."""

    async def fetch_configuration(
        self, address: str, message: ConfigurationRequest, timeout_s: float
    ) -> ConfigurationReply | PeerFailure:
        """Request a newer configuration."""

    async def read_status(
        self, address: str, timeout_s: float
    ) -> StatusReply | PeerFailure:
        """Request a router's state."""


@dataclass(slots=True)
class GrpcTransport:
    """Calls over a bounded pool of connections.

    Parameters
    ----------
    codec : PeerCodec
    channels : OrderedDict of str to Channel
        Connections by address, the least recently used first.
    """

    codec: PeerCodec
    channels: OrderedDict[str, Channel] = field(default_factory=OrderedDict)

    def _open_channel(self, address: str) -> Channel:
        channel = self.channels.pop(address, None)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), codec=self.codec)
            trace_channel(channel)
        self.channels[address] = channel
        while len(self.channels) > MAX_CHANNELS:
            _, least_recent = self.channels.popitem(last=False)
            least_recent.close()
        return channel

    async def _call(
        self,
        address: str,
        name: str,
        message: msgspec.Struct,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | PeerFailure:
        task = asyncio.current_task()
        cancelled = task.cancelling() if task else 0
        try:
            channel = self._open_channel(address)
            method = UnaryUnaryMethod[Any, T](
                channel, f"{SERVICE}/{name}", type(message), reply_type
            )
            return await method(message, timeout=timeout_s)
        except (*CALL_ERRORS, ValueError) as error:
            _undo_cancellations(task, cancelled)
            return PeerFailure(Step.HEADERS, address, repr(error))

    async def exchange(
        self, address: str, message: Exchange, timeout_s: float
    ) -> Exchange | PeerFailure:
        """Send a probe and return its answer."""
        return await self._call(address, "Exchange", message, Exchange, timeout_s)

    async def probe(
        self, address: str, message: ProbeRequest, timeout_s: float
    ) -> ProbeReply | PeerFailure:
        """Request that a router probe another."""
        return await self._call(address, "Probe", message, ProbeReply, timeout_s)

    async def fetch_configuration(
        self, address: str, message: ConfigurationRequest, timeout_s: float
    ) -> ConfigurationReply | PeerFailure:
        """Request a newer configuration."""
        return await self._call(
            address, "Configuration", message, ConfigurationReply, timeout_s
        )

    async def read_status(
        self, address: str, timeout_s: float
    ) -> StatusReply | PeerFailure:
        """Request a router's state."""
        return await self._call(
            address, "Status", StatusRequest(), StatusReply, timeout_s
        )

    def close(self) -> None:
        """Close all connections."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()


def _undo_cancellations(task: asyncio.Task[Any] | None, count: int) -> None:
    """Undo the cancellations by which grpclib ends its own waits.

    They would otherwise cancel the next cancel scope and the tasks around it.
    """
    while task is not None and task.cancelling() > count:
        task.uncancel()


def make_transport(key: str) -> GrpcTransport:
    """Return a transport that authenticates messages by a shared key."""
    return GrpcTransport(PeerCodec(key))


def _limit_message_size(stream: Any) -> None:
    """Reject a message by its announced length, before its body is read.

    grpclib reads messages of up to 4 GB from any client, before authentication.
    """
    inner = stream._stream
    receive = inner.recv_data

    async def receive_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise MessageError(f"the message has {size} bytes")
        return await receive(size)

    inner.recv_data = receive_limited


def _make_handler(
    answer: Callable[[Any], Awaitable[Any]], request_type: type, reply_type: type
) -> Handler:
    async def serve(stream: Any) -> None:
        _limit_message_size(stream)
        try:
            message = await stream.recv_message()
        except MessageError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        if message is not None:
            await stream.send_message(await answer(message))

    return Handler(serve, Cardinality.UNARY_UNARY, request_type, reply_type)


@dataclass(slots=True)
class _PeerService:
    """Handlers of a router's RPC methods, in the form that grpclib expects."""

    handlers: PeerHandlers

    def __mapping__(self) -> dict[str, Handler]:
        handlers = self.handlers
        return {
            f"{SERVICE}/Exchange": _make_handler(
                handlers.answer_exchange, Exchange, Exchange
            ),
            f"{SERVICE}/Probe": _make_handler(
                handlers.answer_probe, ProbeRequest, ProbeReply
            ),
            f"{SERVICE}/Configuration": _make_handler(
                handlers.answer_configuration, ConfigurationRequest, ConfigurationReply
            ),
            f"{SERVICE}/Status": _make_handler(
                handlers.answer_status, StatusRequest, StatusReply
            ),
        }


@contextlib.asynccontextmanager
async def open_peer_server(
    handlers: PeerHandlers,
    codec: PeerCodec,
    listener: socket.socket,
    log: Log | None = None,
    budget: CallerBudget | None = None,
) -> AsyncIterator[None]:
    """Serve the calls of other routers while the context is open."""
    server = BoundedServer([_PeerService(handlers)], codec, budget or CallerBudget())
    if log is not None:
        trace_server(server, log)
    await server.start_on(listener)
    try:
        yield
    finally:
        server.close()
        await server.wait_closed()
