"""Reading of log files line by line."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from .forwarding.records import FORWARDING_EVENT
from .log_events import ANY_EVENT, Event

__all__ = ["LogLine", "LogReader", "decode_event"]

MAX_LINE_BYTES = 1024 * 1024
MAX_TIMESTAMP_S = 1e11
MAX_LEVELS = 64
# Longest text that a collector of logs puts before a line, bytes.
MAX_PREFIX_BYTES = 200


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """The fields that every part of the log shares.

    Parameters
    ----------
    process : str
        Name of one run of a process.
    number : int
        Position among the lines of that run.
    timestamp : float
        Wall clock of the host, seconds.
    task_uuid : str
        Tree of actions that the line belongs to; empty when to none.
    task_level : tuple of int
        Place in the tree.
    hop : str
        Trace header that an attempt sent.
    headers_s : float or None
        Time from an attempt's start to the answer's headers.
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
        """Return the line's sentence."""
        if self.message:
            return self.message
        ending = f" with {self.error}" if self.error else ""
        return f"{self.action_type}: {self.action_status}{ending}"


LINE_DECODER = msgspec.json.Decoder(LogLine)
EVENT_DECODER = msgspec.json.Decoder(ANY_EVENT | FORWARDING_EVENT)


def decode_event(line: LogLine) -> Event | None:
    """Return the typed event that a line holds, or None for another kind."""
    if not line.message_type:
        return None
    try:
        return EVENT_DECODER.decode(line.raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


@dataclass(slots=True)
class LogReader:
    """Reads lines of several files and counts those that are no log lines.

    Parameters
    ----------
    foreign : int
        Lines that could not be read, truncated ones among them.
    repeated : int
        Lines that were read before.
    """

    lines: list[LogLine] = field(default_factory=list)
    foreign: int = 0
    repeated: int = 0
    seen: set[tuple[str, int]] = field(default_factory=set)

    def read_files(self, paths: Iterable[Path]) -> None:
        """Read whole files."""
        for path in paths:
            with path.open("rb") as stream:
                self.read(iter(lambda: stream.readline(MAX_LINE_BYTES), b""))

    def read(self, lines: Iterable[bytes]) -> None:
        """Read lines."""
        for raw in lines:
            if raw.strip():
                self._add(raw)

    def _add(self, raw: bytes) -> None:
        line = _decode_line(raw)
        if line is None:
            self.foreign += 1
            return
        key = (line.process, line.number)
        if key in self.seen:
            self.repeated += 1
            return
        self.seen.add(key)
        self.lines.append(line)

    def iterate_events(self, request: str) -> Iterator[tuple[LogLine, Event]]:
        """Yield the lines of a request that hold typed events."""
        for line in self.lines:
            event = decode_event(line) if line.request == request else None
            if event is not None:
                yield line, event


def _decode_line(raw: bytes) -> LogLine | None:
    """Return a line, without the time and host that a collector put before it."""
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
