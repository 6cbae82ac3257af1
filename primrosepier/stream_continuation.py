"""Continuation of a caller's event stream across attempts at several endpoints.

Selects the events of each attempt that are forwarded to the caller; performs no I/O.
Only whole events are forwarded, each except the end marker with an ``id:`` line that
holds the caller's position. The text of the answer is located by a regular expression
and not decoded.
"""

import re
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec
import xxhash

from .decoding import decode_json
from .errors import MessageError

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
TEXT_PATTERN = re.compile(rb'"(?:content|text)":\s?"((?:[^"\\]|\\.)*)"')
UNFINISHED_FIELD = b'"finish_reason":null'
FINISHED_PATTERN = re.compile(rb'"finish_reason":\s?"')
EVENT_PREFIX_PATTERN = re.compile(rb'data:\s?\{"id":\s?"(?:[^"\\]|\\.)*"')
CACHED_TOKENS_PATTERN = re.compile(rb'"cached_tokens":\s?(\d+)')
POSITION_PATTERN = re.compile(r"(\d{1,9})\.(\d{1,12})\.([0-9a-f]{16})\.(\d{1,10})")


@dataclass(frozen=True, slots=True)
class Position:
    """How much of its stream a caller has received.

    Parameters
    ----------
    event_number : int
        Number of the last event received.
    text_bytes : int
        Length in bytes of the answer's text received, JSON-escaped.
    digest : int
        Hash of that text.
    seed : int
        Sampling seed of the answer.
    """

    event_number: int
    text_bytes: int
    digest: int
    seed: int


def format_position(position: Position) -> str:
    """Format a position as the ``id:`` of an event."""
    return (
        f"{position.event_number}.{position.text_bytes}."
        f"{position.digest:016x}.{position.seed}"
    )


def parse_position(text: str) -> Position | None:
    """Parse the ``id:`` of an event; return None when it is malformed."""
    match = (
        POSITION_PATTERN.fullmatch(text) if len(text) <= MAX_POSITION_CHARS else None
    )
    if match is None:
        return None
    return Position(int(match[1]), int(match[2]), int(match[3], 16), int(match[4]))


class StreamState(Enum):
    """State of the current attempt's stream.

    ``CROSSED``: an event of another answer arrived. ``MISMATCHED``: the attempt did not
    repeat the text that the caller has, or sent an event that is not valid.
    ``FAILED``: the endpoint sent an error. ``OVERSIZED``: an event exceeded
    `MAX_EVENT_BYTES`.
    """

    OPEN = "open"
    ENDED = "ended"
    CROSSED = "crossed"
    MISMATCHED = "mismatched"
    FAILED = "failed"
    OVERSIZED = "oversized"


@dataclass(slots=True)
class StreamContinuation:
    """The event stream of one caller, merged from the streams of all attempts.

    Parameters
    ----------
    seed : int
        Sampling seed that all attempts use.
    wants_usage : bool
        Whether the caller requested the usage event.
    continuable : bool
        Whether another attempt can continue from the text alone.
    resume_position : Position or None
        Position that the caller reached over an earlier connection.
    text : bytearray
        Text of the answer received, JSON-escaped.
    event_number : int
        Number of the last event sent to the caller.
    finished : bool
        Whether an event with the finish reason was forwarded.
    expected_bytes : int
        Unused; always 0.
    attempt_bytes : int
        Length of the start of ``text`` that the current attempt has covered, bytes.
    partial_event : bytes
        Bytes received of an incomplete event.
    event_prefix : bytes
        Common start of the current attempt's events, up to and including the
        answer's id; empty before the first event.
    """

    seed: int
    wants_usage: bool = False
    continuable: bool = True
    resume_position: Position | None = None
    text: bytearray = field(default_factory=bytearray)
    event_number: int = 0
    cached_tokens: int = 0
    finished: bool = False
    state: StreamState = StreamState.OPEN
    expected_bytes: int = 0
    attempt_bytes: int = 0
    partial_event: bytes = b""
    event_prefix: bytes = b""
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
        if not self.attempts and self.resume_position is not None:
            self.event_number = self.resume_position.event_number
        self.attempts += 1
        self.state = StreamState.OPEN
        self.partial_event = b""
        self.event_prefix = b""
        self.attempt_bytes = len(self.text) if endpoint_resumes else 0

    def feed(self, chunk: bytes) -> bytes:
        """Process bytes of the current attempt; return those to send to the caller."""
        event_end = len(chunk) - len(SEPARATOR)
        if (
            not self.partial_event
            and event_end >= 0
            and chunk.find(SEPARATOR) == event_end
        ):
            return self._process_event(chunk[:event_end])
        return self._feed_partial_events(chunk)

    def _feed_partial_events(self, chunk: bytes) -> bytes:
        """Process a chunk that is not exactly one whole event."""
        data = self.partial_event + chunk if self.partial_event else chunk
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
        self.partial_event = partial
        if len(partial) > MAX_EVENT_BYTES:
            self.state = StreamState.OVERSIZED

    def _process_event(self, event: bytes) -> bytes:
        if not self.event_prefix or not event.startswith(self.event_prefix):
            event = self._check_event(event)
            if not event:
                return b""
        match = TEXT_PATTERN.search(event)
        if match is None or match.start(1) == match.end(1):
            return self._process_event_without_text(event)
        if self.attempt_bytes == len(self.text):
            start, end = match.span(1)
            return self._emit_new_text(event, start, start, end)
        return self._process_text(event, match)

    def _check_event(self, event: bytes) -> bytes:
        """Check an event whose start differs from that of the previous events.

        Returns its data line, or empty bytes when it belongs to another answer or has
        no single data line. The latter is ignored before the first event of the answer
        and counts as an event of another answer after it.
        """
        if not event.startswith(DATA_FIELD):
            event = _find_data_line(event)
        if not event.startswith(self.event_prefix):
            if event[len(DATA_FIELD) :].strip() != END_PAYLOAD:
                self.state = StreamState.CROSSED
                return b""
            return event
        if not self.event_prefix:
            match = EVENT_PREFIX_PATTERN.match(event)
            self.event_prefix = match[0] if match else b""
        return event

    def _process_end_marker(self) -> bytes:
        resumed_bytes = self.resume_position.text_bytes if self.resume_position else 0
        if self.attempt_bytes < max(len(self.text), resumed_bytes):
            self.state = StreamState.MISMATCHED
            return b""
        self.state = StreamState.ENDED
        return DATA_FIELD + b" " + END_PAYLOAD + SEPARATOR

    def _process_text(self, event: bytes, match: re.Match[bytes]) -> bytes:
        """Check the part of an event that repeats ``text``; emit the rest."""
        start, end = match.span(1)
        remaining_bytes = len(self.text) - self.attempt_bytes
        if remaining_bytes > 0:
            repeated = event[start : min(end, start + remaining_bytes)]
            if (
                self.text[self.attempt_bytes : self.attempt_bytes + len(repeated)]
                != repeated
            ):
                self.state = StreamState.MISMATCHED
                return b""
            self.attempt_bytes += len(repeated)
            start += len(repeated)
            if start == end:
                return b""
        return self._emit_new_text(event, match.start(1), start, end)

    def _emit_new_text(
        self, event: bytes, text_start: int, start: int, end: int
    ) -> bytes:
        new_text = event[start:end]
        previous_bytes = len(self.text)
        self.text += new_text
        self.digest.update(new_text)
        self.attempt_bytes = len(self.text)
        if UNFINISHED_FIELD not in event and FINISHED_PATTERN.search(event, end):
            self.finished = True
        if self.resume_position is not None:
            delivered = self._count_delivered_bytes(previous_bytes)
            if delivered < 0:
                return b""
            start += delivered
        if start != text_start:
            event = event[:text_start] + event[start:]
        return self._add_event_id(event)

    def _count_delivered_bytes(self, previous_bytes: int) -> int:
        """Return how many bytes of the new text the caller already has.

        Returns -1 when nothing is to be forwarded: the caller has all of the text, or
        the text differs from what the caller has.
        """
        assert self.resume_position is not None
        resumed_bytes = self.resume_position.text_bytes
        if len(self.text) < resumed_bytes:
            return -1
        if previous_bytes <= resumed_bytes:
            if (
                xxhash.xxh64_intdigest(self.text[:resumed_bytes])
                != self.resume_position.digest
            ):
                self.state = StreamState.MISMATCHED
                return -1
            if len(self.text) == resumed_bytes and not self.finished:
                return -1
            return resumed_bytes - previous_bytes
        return 0

    def _process_event_without_text(self, event: bytes) -> bytes:
        payload = event[len(DATA_FIELD) :].strip()
        if payload == END_PAYLOAD:
            return self._process_end_marker()
        try:
            value = decode_json(payload, _Event)
        except MessageError:
            self.state = StreamState.MISMATCHED
            return b""
        if value.error is not None:
            self.state = StreamState.FAILED
            return b""
        if value.usage is not None:
            counts = CACHED_TOKENS_PATTERN.findall(event)
            self.cached_tokens = int(counts[-1]) if counts else self.cached_tokens
        if not value.choices:
            is_forwarded = self.wants_usage or (
                value.usage is None and self._forwards_empty_events()
            )
            return self._add_event_id(event) if is_forwarded else b""
        choice = value.choices[0]
        if choice.finish_reason is None and choice.is_empty():
            return self._add_event_id(event) if self._forwards_empty_events() else b""
        if not self._has_caught_up():
            return b""
        self.finished = self.finished or choice.finish_reason is not None
        self.continuable = self.continuable and choice.is_empty()
        return self._add_event_id(event)

    def _forwards_empty_events(self) -> bool:
        """Return whether events without content are forwarded."""
        return self.attempts == 1 and self.resume_position is None

    def _has_caught_up(self) -> bool:
        """Return whether the attempt has repeated all text that the caller has."""
        resumed_bytes = self.resume_position.text_bytes if self.resume_position else 0
        return self.attempt_bytes >= max(len(self.text), resumed_bytes)

    def _add_event_id(self, event: bytes) -> bytes:
        self.event_number += 1
        return b"id: %d.%d.%016x.%d\n%b\n\n" % (
            self.event_number,
            len(self.text),
            self.digest.intdigest(),
            self.seed,
            event,
        )

    def decode_text(self) -> str:
        """Return the text received, for an endpoint that can continue it."""
        return msgspec.json.decode(b'"' + bytes(self.text) + b'"', type=str)

    def finish_early(self) -> bytes:
        """End the stream if only the end marker is missing.

        Returns the end marker, or empty bytes if more is missing.
        """
        if not self.finished or not self._has_caught_up():
            return b""
        self.state = StreamState.ENDED
        return DATA_FIELD + b" " + END_PAYLOAD + SEPARATOR


def _find_data_line(event: bytes) -> bytes:
    """Return the event's only data line; empty bytes when it has none or several."""
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
