"""Relay of an endpoint's answer to the caller."""

import re
from dataclasses import dataclass

from .asgi import Send, send_chunk
from .engines import RELAY_ERRORS, EndpointResponse, is_connection_lost
from .outcomes import Completed, Interrupted, Outcome, Step
from .splice import Splice, SpliceState

__all__ = ["END_MARKER", "Tail", "read_whole", "relay_stream"]

END_MARKER = b"data: [DONE]"
BODY = "http.response.body"
TAIL_BYTES = 2048
MAX_ANSWER_BYTES = 64 * 1024 * 1024
CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')
REASONS = {
    SpliceState.OPEN: "the stream has no end marker",
    SpliceState.CROSSED: "an event of another answer arrived",
    SpliceState.MISMATCHED: "the answer differs from what the caller has",
    SpliceState.FAILED: "the endpoint sent an error",
    SpliceState.OVERSIZED: "an event is too large",
}


@dataclass(slots=True)
class Tail:
    """The last bytes of an answer, enough for usage and the end marker."""

    data: bytes = b""

    def add(self, chunk: bytes) -> None:
        """Take in the next bytes."""
        self.data = (self.data + chunk)[-TAIL_BYTES:]

    def has_end_marker(self) -> bool:
        """Return whether the answer ended with its marker."""
        return self.data.rstrip().endswith(END_MARKER)

    def read_cached_tokens(self) -> int:
        """Return the cached prompt tokens that the usage states, or 0."""
        found = CACHED_TOKENS.findall(self.data)
        return int(found[-1]) if found else 0


async def read_whole(
    response: EndpointResponse, limit_bytes: int = MAX_ANSWER_BYTES
) -> bytes | None:
    """Return a whole body, or None when it is too large."""
    parts = []
    size = 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > limit_bytes:
            return None
        parts.append(part)
    return b"".join(parts)


async def relay_stream(
    response: EndpointResponse, send: Send, splice: Splice, peer: str
) -> Outcome:
    """Relay one attempt's event stream through the caller's splice."""
    reason = ""
    lost = False
    try:
        async for chunk in response.aiter_stream():
            data = splice.take(chunk)
            if data:
                await send({"type": BODY, "body": data, "more_body": True})
            if splice.state is not SpliceState.OPEN:
                break
    except RELAY_ERRORS as error:
        reason = repr(error)
        lost = is_connection_lost(error)
    if splice.state is SpliceState.OPEN:
        ending = splice.finish_early()
        if ending:
            await send_chunk(send, ending)
    if splice.state is SpliceState.ENDED:
        return Completed(Step.RELAY, peer, splice.cached_tokens)
    resumable = splice.continuable and splice.state in (
        SpliceState.OPEN,
        SpliceState.CROSSED,
        SpliceState.FAILED,
    )
    reason = reason or REASONS[splice.state]
    return Interrupted(Step.RELAY, peer, reason, resumable, lost)
