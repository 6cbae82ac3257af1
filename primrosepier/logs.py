"""Structured logs with eliot, written by a background thread."""

import contextlib
import itertools
import os
import re
import secrets
import sys
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import IO, Any

import msgspec
from eliot import Action, start_action

from .asgi import App, Receive, Scope, Send, find_header
from .errors import SettingsError, describe_errors
from .ids import HostId
from .log_events import (
    DecisionMade,
    EngineAnswered,
    Event,
    EventsDropped,
    LogLevel,
    RouterEnded,
    RouterFailed,
    select_candidates,
)
from .settings import LogSettings

__all__ = [
    "Log",
    "LoggedEngine",
    "TRACE_HEADER",
    "close_at_end",
    "emit",
    "make_log",
    "make_trace_header",
    "open_action",
    "render_event",
]

TRACE_HEADER = "x-trace"
TRACE_PATTERN = re.compile(r"[0-9a-f-]{36}@(?:/[0-9]{1,6}){1,12}")
MAX_QUEUED_EVENTS = 20_000
# Characters of callers' request ids in queued lines: ids may be as long as a head.
MAX_QUEUED_ID_CHARACTERS = 4 * 1024 * 1024
MAX_BATCH_LINES = 500
FLUSH_INTERVAL_S = 0.05
JOIN_TIMEOUT_S = 2.0
PROCESS_ID_BYTES = 4
EVENT_FIELD = "event"
LOG_FILE_MODE = 0o640

Observer = Callable[[Event], None]


def render_event(event: Event) -> dict[str, Any]:
    """Return the logged fields of an event, with its part and message."""
    fields = msgspec.structs.asdict(event)
    if isinstance(event, DecisionMade):
        fields["seen"] = select_candidates(event.endpoint, fields.pop("views"))
    fields["part"] = event.part
    fields["message"] = f"{event.part}: {event.describe()}"
    return fields


@dataclass(slots=True)
class _Writer:
    """Writes queued lines to a stream from its own thread."""

    stream: IO[bytes]
    owns_stream: bool
    queue: deque[dict[str, Any]] = field(default_factory=deque)
    lost_lines: int = 0
    # Characters of ids; each counter is changed by one thread.
    queued_characters: int = 0
    written_characters: int = 0
    stopping: threading.Event = field(default_factory=threading.Event)
    has_lines: threading.Event = field(default_factory=threading.Event)
    thread: threading.Thread = field(init=False)

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self.thread.start()

    def add(self, line: dict[str, Any]) -> bool:
        """Queue a line; return False if the queue is full."""
        waiting = self.queued_characters - self.written_characters
        if len(self.queue) >= MAX_QUEUED_EVENTS or waiting > MAX_QUEUED_ID_CHARACTERS:
            return False
        self.queued_characters += _count_characters(line)
        self.queue.append(line)
        if not self.has_lines.is_set():
            self.has_lines.set()
        return True

    def _run(self) -> None:
        while self.has_lines.wait() and not self.stopping.wait(FLUSH_INTERVAL_S):
            self.has_lines.clear()
            self._drain()
        self._drain()

    def _drain(self) -> None:
        while self.queue:
            count = min(len(self.queue), MAX_BATCH_LINES)
            taken = [self.queue.popleft() for _ in range(count)]
            characters = sum(map(_count_characters, taken))
            lines = [_encode_line(line) for line in taken]
            del taken
            self.written_characters += characters
            try:
                self.stream.write(b"".join(lines))
                self.stream.flush()
            except OSError:
                self.lost_lines += count

    def close(self) -> None:
        """Write the queued lines and stop the thread, within ``JOIN_TIMEOUT_S``."""
        self.stopping.set()
        self.has_lines.set()
        self.thread.join(JOIN_TIMEOUT_S)
        if self.owns_stream and not self.thread.is_alive():
            with contextlib.suppress(OSError):
                self.stream.close()


def _count_characters(line: dict[str, Any]) -> int:
    """Return the length of the request's id in a line."""
    return len(getattr(line.get(EVENT_FIELD), "request", ""))


def _encode_line(line: dict[str, Any]) -> bytes:
    event = line.pop(EVENT_FIELD, None)
    if event is not None:
        line.update(render_event(event))
    return msgspec.json.encode(line) + b"\n"


class Log:
    """Log of one process, used as the logger of eliot's actions.

    Parameters
    ----------
    host : HostId
    settings : LogSettings

    Attributes
    ----------
    process : str
        Unguessable name of this run of the process, within which lines are numbered.
    observers : list of callable
        Called with each event, at every level; they must not block.
    dropped : int
        Log lines dropped because the queue was full.
    """

    def __init__(self, host: HostId, settings: LogSettings):
        self.host = host
        self.level = LogLevel[settings.level.upper()]
        self.process = f"{host}.{secrets.token_hex(PROCESS_ID_BYTES)}"
        self.observers: list[Observer] = []
        self.dropped = 0
        self.unreported_drops = 0
        self.line_numbers = itertools.count(1)
        self.writer = _open_writer(settings) if self.level else None

    def write(self, dictionary: dict[str, Any], serializer: object = None) -> None:
        """Queue one of eliot's messages without blocking."""
        event = dictionary.get(EVENT_FIELD)
        if self.writer is None or (event is not None and event.level > self.level):
            return
        if event is None and self.level < LogLevel.INFO:
            return
        if self.unreported_drops and self.writer.add(self._make_drop_report()):
            self.unreported_drops = 0
        line = {"host": self.host, "process": self.process, **dictionary}
        line["number"] = next(self.line_numbers)
        if not self.writer.add(line):
            self.dropped += 1
            self.unreported_drops += 1

    def _make_drop_report(self) -> dict[str, Any]:
        report = {"host": self.host, "process": self.process}
        number = next(self.line_numbers)
        event = EventsDropped(self.unreported_drops)
        return {**report, "timestamp": time.time(), "number": number, "event": event}

    def emit(self, event: Event) -> None:
        """Log an event outside any action."""
        for observe in self.observers:
            observe(event)
        line = {"timestamp": time.time(), EVENT_FIELD: event}
        line["message_type"] = type(event).__name__
        self.write(line)

    def close(self) -> None:
        """Write the queued lines and stop the writer."""
        if self.writer is not None:
            self.writer.close()


@dataclass(frozen=True, slots=True)
class _LogContext:
    """Log and action that `emit` uses."""

    log: Log
    action: Action | None


_CURRENT_CONTEXT: ContextVar[_LogContext | None] = ContextVar(
    "current_log", default=None
)


def emit(event: Event) -> None:
    """Pass an event to the current log's observers and log it in the current action."""
    current = _CURRENT_CONTEXT.get()
    if current is None:
        return
    for observe in current.log.observers:
        observe(event)
    if current.action is not None:
        current.action.log(type(event).__name__, **{EVENT_FIELD: event})


def make_trace_header() -> str:
    """Return the trace header for a call to another process, if any."""
    current = _CURRENT_CONTEXT.get()
    if current is None or current.action is None:
        return ""
    return current.action.serialize_task_id().decode()


@contextlib.contextmanager
def open_action(log: Log, name: str, trace_header: str = "") -> Iterator[None]:
    """Log the events in the context as one action.

    Parameters
    ----------
    log : Log
    name : str
        Type of the action.
    trace_header : str
        Trace header of the calling process; a malformed one is ignored.
    """
    if not log.level:
        with _set_current(_LogContext(log, None)):
            yield
        return
    action = _start_action(log, name, trace_header)
    error = ""
    try:
        with _set_current(_LogContext(log, action)):
            yield
    except BaseException as cause:
        error = type(cause).__name__
        raise
    finally:
        if error:
            action.add_success_fields(error=error)
        action.finish()


def _start_action(log: Log, name: str, trace_header: str) -> Action:
    if TRACE_PATTERN.fullmatch(trace_header):
        return Action.continue_task(log, trace_header, action_type=name)
    return start_action(log, name)


@contextlib.contextmanager
def _set_current(current: _LogContext) -> Iterator[None]:
    token = _CURRENT_CONTEXT.set(current)
    try:
        yield
    finally:
        _CURRENT_CONTEXT.reset(token)


def _open_writer(settings: LogSettings) -> _Writer | None:
    if settings.sink == "none":
        return None
    if settings.sink in ("stderr", "stdout"):
        return _Writer(getattr(sys, settings.sink).buffer, owns_stream=False)
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    try:
        descriptor = os.open(settings.sink, flags, LOG_FILE_MODE)
    except OSError as cause:
        raise SettingsError("-", "logs", "sink", str(cause)) from cause
    return _Writer(os.fdopen(descriptor, "ab"), owns_stream=True)


def make_log(host: HostId, settings: LogSettings) -> Log:
    """Return the log of one process."""
    return Log(host, settings)


@contextlib.contextmanager
def close_at_end(log: Log) -> Iterator[None]:
    """Log how the process ends, and close the log, when the context is left."""
    try:
        yield
    except BaseException as error:
        log.emit(RouterFailed(describe_errors(error)))
        raise
    else:
        log.emit(RouterEnded())
    finally:
        log.close()


class _TrackedSend:
    """Wrapper of ``send`` that tracks whether the response ended.

    `abort_connection` finds ``transport`` through the bound method ``send``.
    """

    def __init__(self, send: Send):
        self.transport = getattr(getattr(send, "__self__", None), "transport", None)
        self.inner = send
        self.ended = False

    async def send(self, message: dict[str, Any]) -> None:
        """Send one ASGI message."""
        await self.inner(message)
        if message["type"] == "http.response.body":
            self.ended = not message.get("more_body", False)


@dataclass(slots=True)
class LoggedEngine:
    """ASGI app that logs the calls with a trace header that an engine stand-in serves.

    Parameters
    ----------
    app : App
    log : Log
    """

    app: App
    log: Log

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call within an action of the caller's task tree."""
        trace_header = find_header(scope, TRACE_HEADER)
        if not trace_header:
            await self.app(scope, receive, send)
            return
        request = find_header(scope, "x-request-id")
        tracked = _TrackedSend(send)
        with open_action(self.log, "engine", trace_header):
            emit(EngineAnswered(request, "received"))
            try:
                await self.app(scope, receive, tracked.send)
            finally:
                result = "answered" if tracked.ended else "lost"
                emit(EngineAnswered(request, result))
