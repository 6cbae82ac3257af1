"""Relay of an endpoint's answer to the caller."""

import re
from dataclasses import dataclass

from .asgi import Send, send_chunk
from .engines import RELAY_ERRORS, EndpointResponse, is_connection_lost
from .outcomes import Completed, Interrupted, Outcome, Step

__all__ = ["END_MARKER", "Tail", "relay_stream"]

END_MARKER = b"data: [DONE]"
TAIL_BYTES = 2048
CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')


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


async def relay_stream(response: EndpointResponse, send: Send, peer: str) -> Outcome:
    """Relay an event stream by bytes and check its end marker."""
    tail = Tail()
    try:
        async for chunk in response.aiter_stream():
            tail.add(chunk)
            await send_chunk(send, chunk)
    except RELAY_ERRORS as error:
        lost = is_connection_lost(error)
        return Interrupted(Step.RELAY, peer, repr(error), lost=lost)
    if not tail.has_end_marker():
        return Interrupted(Step.RELAY, peer, "the stream has no end marker")
    return Completed(Step.RELAY, peer, tail.read_cached_tokens())
