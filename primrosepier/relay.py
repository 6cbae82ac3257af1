"""Relaying of an endpoint's answer to the caller."""

import re
from dataclasses import dataclass

from .asgi import Send, send_chunk
from .endpoint_client import RELAY_ERRORS, EndpointResponse, is_connection_lost
from .outcomes import Completed, Interrupted, Outcome, Step
from .stream_continuation import StreamContinuation, StreamState

__all__ = ["END_MARKER", "Tail", "read_whole_body", "relay_stream"]

END_MARKER = b"data: [DONE]"
BODY_MESSAGE = "http.response.body"
TAIL_BYTES = 2048
MAX_ANSWER_BYTES = 64 * 1024 * 1024
CACHED_TOKENS_PATTERN = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')
REASONS = {
    StreamState.OPEN: "the stream has no end marker",
    StreamState.CROSSED: "an event of another answer arrived",
    StreamState.MISMATCHED: "the answer differs from what the caller has",
    StreamState.FAILED: "the endpoint sent an error",
    StreamState.OVERSIZED: "an event is too large",
}


@dataclass(slots=True)
class Tail:
    """Last bytes of an answer, which hold the usage and the end marker."""

    data: bytes = b""

    def add(self, chunk: bytes) -> None:
        """Append the next bytes."""
        self.data = (self.data + chunk)[-TAIL_BYTES:]

    def has_end_marker(self) -> bool:
        """Return whether the answer ends with the end marker."""
        return self.data.rstrip().endswith(END_MARKER)

    def read_cached_tokens(self) -> int:
        """Return the cached prompt tokens reported in the usage, or 0."""
        matches = CACHED_TOKENS_PATTERN.findall(self.data)
        return int(matches[-1]) if matches else 0


async def read_whole_body(
    response: EndpointResponse, limit_bytes: int = MAX_ANSWER_BYTES
) -> bytes | None:
    """Read a whole body; return None when it exceeds the limit."""
    parts = []
    size = 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > limit_bytes:
            return None
        parts.append(part)
    return b"".join(parts)


async def relay_stream(
    response: EndpointResponse, send: Send, continuation: StreamContinuation, peer: str
) -> Outcome:
    """Relay one attempt's event stream to the caller."""
    reason = ""
    lost = False
    try:
        async for chunk in response.aiter_stream():
            data = continuation.feed(chunk)
            if data:
                await send({"type": BODY_MESSAGE, "body": data, "more_body": True})
            if continuation.state is not StreamState.OPEN:
                break
    except RELAY_ERRORS as error:
        reason = repr(error)
        lost = is_connection_lost(error)
    if continuation.state is StreamState.OPEN:
        end_marker = continuation.finish_early()
        if end_marker:
            await send_chunk(send, end_marker)
    if continuation.state is StreamState.ENDED:
        return Completed(Step.RELAY, peer, continuation.cached_tokens)
    resumable = continuation.continuable and continuation.state in (
        StreamState.OPEN,
        StreamState.CROSSED,
        StreamState.FAILED,
    )
    reason = reason or REASONS[continuation.state]
    return Interrupted(Step.RELAY, peer, reason, resumable, lost)
