"""Event streams that are continued on another replica after a failure."""

import re
from dataclasses import dataclass

__all__ = ["EventStreamMerger"]

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


@dataclass(slots=True)
class EventStreamMerger:
    """Merges the events of several attempts into one stream.

    Only complete events are forwarded, so that an attempt that breaks off within an
    event leaves no fragment in the stream. Events whose ids the caller already has
    are skipped.

    Parameters
    ----------
    last_id : str
        Id of the last event sent to the caller; empty for none.
    partial : bytes
        Start of an event whose end has not arrived yet.
    """

    last_id: str = ""
    partial: bytes = b""

    def begin(self) -> None:
        """Start reading the events of another attempt."""
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Process bytes of an answer and return the new, complete events in them."""
        data = self.partial + data
        end = 0
        kept = []
        for found in EVENT_END.finditer(data):
            event = data[end : found.end()]
            end = found.end()
            if self._is_new(event):
                kept.append(event)
        self.partial = data[end:]
        return b"".join(kept)

    def _is_new(self, event: bytes) -> bool:
        found = EVENT_ID.search(event)
        if found is None:
            return True
        name = found[1].decode("latin-1")
        if name.isdigit() and self.last_id.isdigit() and int(name) <= int(self.last_id):
            return False
        self.last_id = name
        return True
