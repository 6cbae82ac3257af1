"""Event streams that another replica may go on with."""

import re
from dataclasses import dataclass

__all__ = ["EventSplice"]

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")


@dataclass(slots=True)
class EventSplice:
    """Joins the events of several attempts into one stream.

    Only whole events are passed on, so that an attempt that ends in the middle of
    one leaves nothing behind.

    Parameters
    ----------
    last_id : str
        Id of the last event that the caller has; empty for none.
    """

    last_id: str = ""
    partial: bytes = b""

    def begin(self) -> None:
        """Start the events of another attempt."""
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Take in bytes of an answer; return the whole events among them."""
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
