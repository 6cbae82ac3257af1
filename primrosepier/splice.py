"""One caller's event stream made from the streams of one or more attempts.

It decides what of an endpoint's bytes goes to the caller and does no I/O. Whole
events only are passed on, each with an ``id:`` line that tells how far the caller
is; the text of the answer is found by a pattern and is not decoded.
"""

import re
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec
import xxhash

__all__ = [
    "Position",
    "Splice",
    "SpliceState",
    "format_position",
    "parse_position",
]

END = b"[DONE]"
DATA = b"data:"
SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
MAX_POSITION_CHARS = 80
ROLE_FIELD = "role"
TEXT = re.compile(rb'"(?:content|text)":\s?"((?:[^"\\]|\\.)*)"')
UNFINISHED = b'"finish_reason":null'
FINISHED = re.compile(rb'"finish_reason":\s?"')
IDENTITY = re.compile(rb'data:\s?\{"id":\s?"(?:[^"\\]|\\.)*"')
CACHED_TOKENS = re.compile(rb'"cached_tokens":\s?(\d+)')
POSITION = re.compile(r"(\d{1,9})\.(\d{1,12})\.([0-9a-f]{16})\.(\d{1,10})")


@dataclass(frozen=True, slots=True)
class Position:
    """How far a caller is in its stream.

    Parameters
    ----------
    number : int
        Events so far.
    offset : int
        Bytes of the answer's text so far, as JSON holds them.
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
    """Return a position as the id of an event."""
    return f"{position.number}.{position.offset}.{position.digest:016x}.{position.seed}"


def parse_position(text: str) -> Position | None:
    """Return the position that an event's id holds, or None when malformed."""
    found = POSITION.fullmatch(text) if len(text) <= MAX_POSITION_CHARS else None
    if found is None:
        return None
    return Position(int(found[1]), int(found[2]), int(found[3], 16), int(found[4]))


class SpliceState(Enum):
    """Where the stream of the current attempt stands."""

    OPEN = "open"
    ENDED = "ended"
    CROSSED = "crossed"
    MISMATCHED = "mismatched"
    FAILED = "failed"
    OVERSIZED = "oversized"


@dataclass(slots=True)
class Splice:
    """Stream of one caller over all attempts.

    Parameters
    ----------
    seed : int
        Sampling seed that all attempts use.
    wants_usage : bool
        Whether the caller asked for the event that holds the usage.
    continuable : bool
        Whether the text so far is all that another attempt needs to go on.
    resumed : Position or None
        How far the caller is already, from an earlier connection.
    text : bytearray
        Text of the answer so far, as JSON holds it.
    expected_bytes : int
        Text that the current attempt repeats before it goes on, bytes.
    finished : bool
        Whether the reason of the end was passed on.
    """

    seed: int
    wants_usage: bool = False
    continuable: bool = True
    resumed: Position | None = None
    text: bytearray = field(default_factory=bytearray)
    number: int = 0
    cached_tokens: int = 0
    finished: bool = False
    state: SpliceState = SpliceState.OPEN
    expected_bytes: int = 0
    place: int = 0
    rest: bytes = b""
    identity: bytes = b""
    attempts: int = 0
    digest: xxhash.xxh64 = field(default_factory=xxhash.xxh64)

    def begin(self, endpoint_resumes: bool) -> None:
        """Start an attempt.

        Parameters
        ----------
        endpoint_resumes : bool
            The attempt goes on after the text so far; without it the answer comes
            from its start, and its text must repeat what there is.
        """
        if not self.attempts and self.resumed is not None:
            self.number = self.resumed.number
        self.attempts += 1
        self.state = SpliceState.OPEN
        self.rest = b""
        self.identity = b""
        self.place = len(self.text) if endpoint_resumes else 0

    def take(self, chunk: bytes) -> bytes:
        """Take in bytes of the attempt and return what goes to the caller."""
        last = len(chunk) - len(SEPARATOR)
        if not self.rest and last >= 0 and chunk.find(SEPARATOR) == last:
            return self._pass_event(chunk[:last])
        return self._take_pieces(chunk)

    def _take_pieces(self, chunk: bytes) -> bytes:
        """Take in bytes that are not just one event."""
        data = self.rest + chunk if self.rest else chunk
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._keep(data)
            return b""
        self._keep(data[end + len(SEPARATOR) :])
        passed = []
        for event in data[:end].split(SEPARATOR):
            if self.state is not SpliceState.OPEN:
                break
            passed.append(self._pass_event(event))
        return b"".join(passed)

    def _keep(self, rest: bytes) -> None:
        self.rest = rest
        if len(rest) > MAX_EVENT_BYTES:
            self.state = SpliceState.OVERSIZED

    def _pass_event(self, event: bytes) -> bytes:
        if not self.identity or not event.startswith(self.identity):
            event = self._check_event(event)
            if not event:
                return b""
        match = TEXT.search(event)
        if match is None or match.start(1) == match.end(1):
            return self._pass_bare(event)
        if self.place == len(self.text):
            start, end = match.span(1)
            return self._pass_new(event, start, start, end)
        return self._pass_text(event, match)

    def _check_event(self, event: bytes) -> bytes:
        """Return an event that does not start as the ones before, if it is ours."""
        if not event.startswith(DATA):
            event = _find_data_line(event)
        if not event.startswith(self.identity):
            if event[len(DATA) :].strip() != END:
                self.state = SpliceState.CROSSED
                return b""
            return event
        if not self.identity:
            found = IDENTITY.match(event)
            self.identity = found[0] if found else b""
        return event

    def _end(self) -> bytes:
        owed = self.resumed.offset if self.resumed else 0
        if self.place < max(len(self.text), owed):
            self.state = SpliceState.MISMATCHED
            return b""
        self.state = SpliceState.ENDED
        return DATA + b" " + END + SEPARATOR

    def _pass_text(self, event: bytes, match: re.Match[bytes]) -> bytes:
        start, end = match.span(1)
        repeated = len(self.text) - self.place
        if repeated > 0:
            known = event[start : min(end, start + repeated)]
            if self.text[self.place : self.place + len(known)] != known:
                self.state = SpliceState.MISMATCHED
                return b""
            self.place += len(known)
            start += len(known)
            if start == end:
                return b""
        return self._pass_new(event, match.start(1), start, end)

    def _pass_new(self, event: bytes, first: int, start: int, end: int) -> bytes:
        fresh = event[start:end]
        before = len(self.text)
        self.text += fresh
        self.digest.update(fresh)
        self.place = len(self.text)
        if UNFINISHED not in event and FINISHED.search(event, end):
            self.finished = True
        if self.resumed is not None:
            shown = self._skip_shown(before)
            if shown < 0:
                return b""
            start += shown
        if start != first:
            event = event[:first] + event[start:]
        return self._number(event)

    def _skip_shown(self, before: int) -> int:
        """Return how much of the new text the caller has; -1 for all of it."""
        assert self.resumed is not None
        offset = self.resumed.offset
        if len(self.text) < offset:
            return -1
        if before <= offset:
            if xxhash.xxh64_intdigest(self.text[:offset]) != self.resumed.digest:
                self.state = SpliceState.MISMATCHED
                return -1
            if len(self.text) == offset and not self.finished:
                return -1
            return offset - before
        return 0

    def _pass_bare(self, event: bytes) -> bytes:
        payload = event[len(DATA) :].strip()
        if payload == END:
            return self._end()
        try:
            value = msgspec.json.decode(payload, type=_Event)
        except msgspec.DecodeError:
            self.state = SpliceState.MISMATCHED
            return b""
        if value.error is not None:
            self.state = SpliceState.FAILED
            return b""
        if value.usage is not None:
            found = CACHED_TOKENS.findall(event)
            self.cached_tokens = int(found[-1]) if found else self.cached_tokens
        if not value.choices:
            asked = self.wants_usage or (value.usage is None and self._is_only())
            return self._number(event) if asked else b""
        choice = value.choices[0]
        if choice.finish_reason is None and choice.is_bare():
            return self._number(event) if self._is_only() else b""
        if not self._is_new():
            return b""
        self.finished = self.finished or choice.finish_reason is not None
        self.continuable = self.continuable and choice.is_bare()
        return self._number(event)

    def _is_only(self) -> bool:
        """Return whether the caller gets all of the first attempt's events."""
        return self.attempts == 1 and self.resumed is None

    def _is_new(self) -> bool:
        owed = self.resumed.offset if self.resumed else 0
        return self.place >= max(len(self.text), owed)

    def _number(self, event: bytes) -> bytes:
        self.number += 1
        return b"id: %d.%d.%016x.%d\n%b\n\n" % (
            self.number,
            len(self.text),
            self.digest.intdigest(),
            self.seed,
            event,
        )

    def decode_text(self) -> str:
        """Return the text so far, for an endpoint that goes on after it."""
        return msgspec.json.decode(b'"' + bytes(self.text) + b'"', type=str)

    def finish_early(self) -> bytes:
        """Return the end marker if only that is missing, or nothing."""
        if not self.finished or not self._is_new():
            return b""
        self.state = SpliceState.ENDED
        return DATA + b" " + END + SEPARATOR


def _find_data_line(event: bytes) -> bytes:
    """Return the line of an event that holds its data, or nothing."""
    lines = [line for line in event.split(b"\n") if line.startswith(DATA)]
    return lines[0] if len(lines) == 1 else b""


class _Choice(msgspec.Struct):
    delta: dict[str, Any] = {}
    finish_reason: str | None = None

    def is_bare(self) -> bool:
        """Return whether the event holds nothing of the answer itself."""
        return not any(
            value for name, value in self.delta.items() if name != ROLE_FIELD
        )


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: dict[str, Any] | None = None
    error: Any = None
