"""Propagation of trace headers over grpclib."""

from typing import Any

from grpclib.client import Channel
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.server import Server

from .logs import TRACE_HEADER, Log, make_trace_header, open_action

__all__ = ["trace_channel", "trace_server"]


async def _add_trace_header(event: SendRequest) -> None:
    trace_header = make_trace_header()
    if trace_header:
        event.metadata[TRACE_HEADER] = trace_header


def trace_channel(channel: Channel) -> None:
    """Add the trace header of the current action to each call."""
    listen(channel, SendRequest, _add_trace_header)


def trace_server(server: Server, log: Log) -> None:
    """Run each call with a trace header in an action of the sender's task tree."""

    async def trace_call(event: RecvRequest) -> None:
        trace_header = str(event.metadata.get(TRACE_HEADER, ""))
        method = event.method_func
        name = event.method_name

        async def serve(stream: Any) -> None:
            with open_action(log, name, trace_header):
                await method(stream)

        if trace_header:
            event.method_func = serve

    listen(server, RecvRequest, trace_call)
