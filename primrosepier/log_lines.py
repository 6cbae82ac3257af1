"""Parsing of log files."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from .forwarding.losses.records import LOSS_EVENT
from .forwarding.quotas.records import QUOTA_EVENT
from .forwarding.records import FORWARDING_EVENT
from .forwarding.room.records import ROOM_EVENT
from .log_events import ANY_EVENT, Event

__all__ = ["LogLine", "LogReader", "decode_event"]

MAX_LINE_BYTES = 1024 * 1024
MAX_TIMESTAMP_S = 1e11
MAX_LEVELS = 64
# Longest prefix, such as a time and a host, that a log collector may add to a line.
MAX_PREFIX_BYTES = 200


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """A parsed log line.

    Parameters
    ----------
    process : str
        Name of one run of a process.
    number : int
        Position among the lines of that run.
    timestamp : float
        Wall clock of the host, seconds.
    task_uuid : str
        Task tree that the line belongs to; empty for none.
    task_level : tuple of int
        Position in the task tree.
    hop : str
        Trace header sent with an attempt.
    headers_s : float or None
        Time from an attempt's start to the answer's headers, seconds.
    raw : bytes
        The line as it was read, without a prefix.
    """

    host: str
    process: str
    number: int
    timestamp: float
    task_uuid: str = ""
    task_level: tuple[int, ...] = ()
    message_type: str = ""
    action_type: str = ""
    action_status: str = ""
    error: str = ""
    part: str = ""
    message: str = ""
    request: str = ""
    attempt: str | int = ""
    endpoint: str = ""
    workspace: str = ""
    hop: str = ""
    headers_s: float | None = None
    raw: bytes = b""

    def describe(self) -> str:
        """Return the line's message, or its action and status."""
        if self.message:
            return self.message
        ending = f" with {self.error}" if self.error else ""
        return f"{self.action_type}: {self.action_status}{ending}"


LINE_DECODER = msgspec.json.Decoder(LogLine)
EVENT_DECODER = msgspec.json.Decoder(
    ANY_EVENT | FORWARDING_EVENT | LOSS_EVENT | QUOTA_EVENT | ROOM_EVENT
)


def decode_event(line: LogLine) -> Event | None:
    """Return a line's typed event, or None if it has none."""
    if not line.message_type:
        return None
    try:
        return EVENT_DECODER.decode(line.raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


@dataclass(slots=True)
class LogReader:
    """Reads lines of several files; counts unreadable lines and duplicates.

    Parameters
    ----------
    unreadable : int
        Lines that could not be parsed, including truncated ones.
    duplicates : int
        Lines that had already been read.
    """

    lines: list[LogLine] = field(default_factory=list)
    unreadable: int = 0
    duplicates: int = 0
    seen_keys: set[tuple[str, int]] = field(default_factory=set)

    def read_files(self, paths: Iterable[Path]) -> None:
        """Read whole files."""
        for path in paths:
            with path.open("rb") as stream:
                self.read(iter(lambda: stream.readline(MAX_LINE_BYTES), b""))

    def read(self, lines: Iterable[bytes]) -> None:
        """Read lines; skip blank ones."""
        for raw in lines:
            if raw.strip():
                self._add(raw)

    def _add(self, raw: bytes) -> None:
        line = _decode_line(raw)
        if line is None:
            self.unreadable += 1
            return
        key = (line.process, line.number)
        if key in self.seen_keys:
            self.duplicates += 1
            return
        self.seen_keys.add(key)
        self.lines.append(line)

    def iterate_events(self, request: str) -> Iterator[tuple[LogLine, Event]]:
        """Yield a request's lines that hold typed events, with these events."""
        for line in self.lines:
            event = decode_event(line) if line.request == request else None
            if event is not None:
                yield line, event


def _decode_line(raw: bytes) -> LogLine | None:
    """Parse a line, without the time and host that a log collector may prepend."""
    start = raw.find(b"{")
    if 0 < start <= MAX_PREFIX_BYTES:
        raw = raw[start:]
    try:
        line = LINE_DECODER.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if not math.isfinite(line.timestamp) or abs(line.timestamp) > MAX_TIMESTAMP_S:
        return None
    if len(line.task_level) > MAX_LEVELS:
        return None
    return msgspec.structs.replace(line, raw=raw.strip())
