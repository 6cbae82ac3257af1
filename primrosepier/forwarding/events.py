"""Merges event streams of calls that are continued on another replica."""

import re
from dataclasses import dataclass

from ..decoding import parse_count

__all__ = ["EventBoundaryTracker", "EventStreamMerger"]

EVENT_ENDS = (b"\n\n", b"\n\r\n")
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
MAX_EVENT_END_BYTES = 4
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(slots=True)
class EventBoundaryTracker:
    """Tracks whether the bytes of a stream end between two events.

    Parameters
    ----------
    tail : bytes
        Last bytes of the stream; empty before the first.
    event_bytes : int
        Bytes received since the end of the last event.
    """

    tail: bytes = b""
    event_bytes: int = 0

    def feed(self, data: bytes) -> None:
        """Process bytes of a response."""
        received = self.tail + data
        ends = (received.rfind(end) + len(end) for end in EVENT_ENDS if end in received)
        last_end = max(ends, default=0)
        if last_end > len(self.tail):
            self.event_bytes = len(received) - last_end
        else:
            self.event_bytes += len(data)
        self.tail = received[-MAX_EVENT_END_BYTES:]

    def is_too_large(self) -> bool:
        """Return whether the last event is larger than is allowed."""
        return self.event_bytes > MAX_EVENT_BYTES

    def is_within_event(self) -> bool:
        """Return whether the end of the last event is missing."""
        return bool(self.tail) and not self.tail.endswith(EVENT_ENDS)


@dataclass(slots=True)
class EventStreamMerger:
    """Merges the events of several attempts into one stream.

    Only complete events are forwarded, so that an attempt that breaks off within an
    event leaves no fragment in the stream. Events that the caller already has are
    skipped if their ids are ascending numbers; events with other ids are all forwarded.

    Parameters
    ----------
    last_id : str
        Id of the last event sent to the caller; empty for none.
    partial : bytes
        Received start of an event whose end has not arrived.
    """

    last_id: str = ""
    partial: bytes = b""

    def begin(self) -> None:
        """Start reading the events of another attempt."""
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Process bytes of a response and return the new, complete events in them."""
        data = self.partial + data
        end = 0
        kept = []
        for match in EVENT_END.finditer(data):
            event = data[end : match.end()]
            end = match.end()
            if self._is_new(event):
                kept.append(event)
        self.partial = data[end:]
        return b"".join(kept)

    def _is_new(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        if match is None:
            return True
        event_id = match[1].decode("latin-1")
        number, last_number = parse_count(event_id), parse_count(self.last_id)
        if number is not None and last_number is not None and number <= last_number:
            return False
        self.last_id = event_id
        return True
