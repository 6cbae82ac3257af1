"""Continuation of a caller's event stream across attempts at several endpoints.

Selects the events of each attempt that are forwarded to the caller; performs no I/O.
Only whole events are forwarded, each with an ``id:`` line that holds the caller's
position. The text of the answer is located by a regular expression and not decoded.
"""

import re
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec
import xxhash

__all__ = [
    "Position",
    "StreamContinuation",
    "StreamState",
    "format_position",
    "parse_position",
]

END_PAYLOAD = b"[DONE]"
DATA_FIELD = b"data:"
SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
MAX_POSITION_CHARS = 80
ROLE_FIELD = "role"
TEXT = re.compile(rb'"(?:content|text)":\s?"((?:[^"\\]|\\.)*)"')
UNFINISHED = b'"finish_reason":null'
FINISHED = re.compile(rb'"finish_reason":\s?"')
EVENT_START = re.compile(rb'data:\s?\{"id":\s?"(?:[^"\\]|\\.)*"')
CACHED_TOKENS = re.compile(rb'"cached_tokens":\s?(\d+)')
POSITION = re.compile(r"(\d{1,9})\.(\d{1,12})\.([0-9a-f]{16})\.(\d{1,10})")


@dataclass(frozen=True, slots=True)
class Position:
    """Position of a caller in its stream.

    Parameters
    ----------
    number : int
        Events received.
    offset : int
        Length of the answer's text received, JSON-escaped, bytes.
    digest : int
        Hash of that text.
    seed : int
        Sampling seed of the answer.
    """

    number: int
    offset: int
    digest: int
    seed: int


def format_position(position: Position) -> str:
    """Format a position as an event id."""
    return f"{position.number}.{position.offset}.{position.digest:016x}.{position.seed}"


def parse_position(text: str) -> Position | None:
    """Parse an event id; return None when it is malformed."""
    found = POSITION.fullmatch(text) if len(text) <= MAX_POSITION_CHARS else None
    if found is None:
        return None
    return Position(int(found[1]), int(found[2]), int(found[3], 16), int(found[4]))


class StreamState(Enum):
    """State of the current attempt's stream."""

    OPEN = "open"
    ENDED = "ended"
    CROSSED = "crossed"
    MISMATCHED = "mismatched"
    FAILED = "failed"
    OVERSIZED = "oversized"


@dataclass(slots=True)
class StreamContinuation:
    """Stream of one caller, merged from the streams of all attempts.

    Parameters
    ----------
    seed : int
        Sampling seed that all attempts use.
    wants_usage : bool
        Whether the caller requested the usage event.
    continuable : bool
        Whether another attempt can continue from the text alone.
    resumed : Position or None
        Position that the caller reached over an earlier connection.
    text : bytearray
        Text of the answer received, JSON-escaped.
    number : int
        Number of the last event sent to the caller.
    finished : bool
        Whether an event with the finish reason was forwarded.
    expected_bytes : int
        Text that the current attempt repeats before it continues, bytes.
    offset : int
        Position of the current attempt in ``text``, bytes.
    partial : bytes
        Start of an event that has not been received whole.
    identity : bytes
        Common start of the current attempt's events, up to the answer's id.
    """

    seed: int
    wants_usage: bool = False
    continuable: bool = True
    resumed: Position | None = None
    text: bytearray = field(default_factory=bytearray)
    number: int = 0
    cached_tokens: int = 0
    finished: bool = False
    state: StreamState = StreamState.OPEN
    expected_bytes: int = 0
    offset: int = 0
    partial: bytes = b""
    identity: bytes = b""
    attempts: int = 0
    digest: xxhash.xxh64 = field(default_factory=xxhash.xxh64)

    def begin(self, endpoint_resumes: bool) -> None:
        """Start an attempt.

        Parameters
        ----------
        endpoint_resumes : bool
            Whether the endpoint continues after ``text``. Otherwise the answer is
            generated from the start and must repeat ``text``.
        """
        if not self.attempts and self.resumed is not None:
            self.number = self.resumed.number
        self.attempts += 1
        self.state = StreamState.OPEN
        self.partial = b""
        self.identity = b""
        self.offset = len(self.text) if endpoint_resumes else 0

    def feed(self, chunk: bytes) -> bytes:
        """Process bytes of the attempt; return the bytes to send to the caller."""
        last = len(chunk) - len(SEPARATOR)
        if not self.partial and last >= 0 and chunk.find(SEPARATOR) == last:
            return self._process_event(chunk[:last])
        return self._feed_partial_events(chunk)

    def _feed_partial_events(self, chunk: bytes) -> bytes:
        """Process a chunk that is not exactly one whole event."""
        data = self.partial + chunk if self.partial else chunk
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._buffer(data)
            return b""
        self._buffer(data[end + len(SEPARATOR) :])
        output = []
        for event in data[:end].split(SEPARATOR):
            if self.state is not StreamState.OPEN:
                break
            output.append(self._process_event(event))
        return b"".join(output)

    def _buffer(self, partial: bytes) -> None:
        self.partial = partial
        if len(partial) > MAX_EVENT_BYTES:
            self.state = StreamState.OVERSIZED

    def _process_event(self, event: bytes) -> bytes:
        if not self.identity or not event.startswith(self.identity):
            event = self._check_event(event)
            if not event:
                return b""
        match = TEXT.search(event)
        if match is None or match.start(1) == match.end(1):
            return self._process_event_without_text(event)
        if self.offset == len(self.text):
            start, end = match.span(1)
            return self._emit_new_text(event, start, start, end)
        return self._process_text(event, match)

    def _check_event(self, event: bytes) -> bytes:
        """Check an event whose start differs from that of the previous events.

        Returns its data line, or nothing when it belongs to another answer.
        """
        if not event.startswith(DATA_FIELD):
            event = _find_data_line(event)
        if not event.startswith(self.identity):
            if event[len(DATA_FIELD) :].strip() != END_PAYLOAD:
                self.state = StreamState.CROSSED
                return b""
            return event
        if not self.identity:
            found = EVENT_START.match(event)
            self.identity = found[0] if found else b""
        return event

    def _process_end_marker(self) -> bytes:
        resumed_bytes = self.resumed.offset if self.resumed else 0
        if self.offset < max(len(self.text), resumed_bytes):
            self.state = StreamState.MISMATCHED
            return b""
        self.state = StreamState.ENDED
        return DATA_FIELD + b" " + END_PAYLOAD + SEPARATOR

    def _process_text(self, event: bytes, match: re.Match[bytes]) -> bytes:
        """Check the part of an event that repeats ``text``; emit the rest."""
        start, end = match.span(1)
        remaining_bytes = len(self.text) - self.offset
        if remaining_bytes > 0:
            repeated = event[start : min(end, start + remaining_bytes)]
            if self.text[self.offset : self.offset + len(repeated)] != repeated:
                self.state = StreamState.MISMATCHED
                return b""
            self.offset += len(repeated)
            start += len(repeated)
            if start == end:
                return b""
        return self._emit_new_text(event, match.start(1), start, end)

    def _emit_new_text(self, event: bytes, first: int, start: int, end: int) -> bytes:
        new_text = event[start:end]
        previous_bytes = len(self.text)
        self.text += new_text
        self.digest.update(new_text)
        self.offset = len(self.text)
        if UNFINISHED not in event and FINISHED.search(event, end):
            self.finished = True
        if self.resumed is not None:
            delivered = self._count_delivered_bytes(previous_bytes)
            if delivered < 0:
                return b""
            start += delivered
        if start != first:
            event = event[:first] + event[start:]
        return self._add_event_id(event)

    def _count_delivered_bytes(self, previous_bytes: int) -> int:
        """Return how many bytes of the new text the caller has; -1 for all."""
        assert self.resumed is not None
        offset = self.resumed.offset
        if len(self.text) < offset:
            return -1
        if previous_bytes <= offset:
            if xxhash.xxh64_intdigest(self.text[:offset]) != self.resumed.digest:
                self.state = StreamState.MISMATCHED
                return -1
            if len(self.text) == offset and not self.finished:
                return -1
            return offset - previous_bytes
        return 0

    def _process_event_without_text(self, event: bytes) -> bytes:
        payload = event[len(DATA_FIELD) :].strip()
        if payload == END_PAYLOAD:
            return self._process_end_marker()
        try:
            value = msgspec.json.decode(payload, type=_Event)
        except msgspec.DecodeError:
            self.state = StreamState.MISMATCHED
            return b""
        if value.error is not None:
            self.state = StreamState.FAILED
            return b""
        if value.usage is not None:
            found = CACHED_TOKENS.findall(event)
            self.cached_tokens = int(found[-1]) if found else self.cached_tokens
        if not value.choices:
            wanted = self.wants_usage or (
                value.usage is None and self._passes_all_events()
            )
            return self._add_event_id(event) if wanted else b""
        choice = value.choices[0]
        if choice.finish_reason is None and choice.is_empty():
            return self._add_event_id(event) if self._passes_all_events() else b""
        if not self._has_caught_up():
            return b""
        self.finished = self.finished or choice.finish_reason is not None
        self.continuable = self.continuable and choice.is_empty()
        return self._add_event_id(event)

    def _passes_all_events(self) -> bool:
        """Return whether events without content are forwarded as well."""
        return self.attempts == 1 and self.resumed is None

    def _has_caught_up(self) -> bool:
        """Return whether the attempt has repeated all text that the caller has."""
        resumed_bytes = self.resumed.offset if self.resumed else 0
        return self.offset >= max(len(self.text), resumed_bytes)

    def _add_event_id(self, event: bytes) -> bytes:
        self.number += 1
        return b"id: %d.%d.%016x.%d\n%b\n\n" % (
            self.number,
            len(self.text),
            self.digest.intdigest(),
            self.seed,
            event,
        )

    def decode_text(self) -> str:
        """Return the text received, for an endpoint that can continue it."""
        return msgspec.json.decode(b'"' + bytes(self.text) + b'"', type=str)

    def finish_early(self) -> bytes:
        """Return the end marker if nothing else is missing, otherwise nothing."""
        if not self.finished or not self._has_caught_up():
            return b""
        self.state = StreamState.ENDED
        return DATA_FIELD + b" " + END_PAYLOAD + SEPARATOR


def _find_data_line(event: bytes) -> bytes:
    """Return the event's only data line, or nothing."""
    lines = [line for line in event.split(b"\n") if line.startswith(DATA_FIELD)]
    return lines[0] if len(lines) == 1 else b""


class _Choice(msgspec.Struct):
    delta: dict[str, Any] = {}
    finish_reason: str | None = None

    def is_empty(self) -> bool:
        """Return whether the delta has no content besides the role."""
        return not any(
            value for name, value in self.delta.items() if name != ROLE_FIELD
        )


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: dict[str, Any] | None = None
    error: Any = None
