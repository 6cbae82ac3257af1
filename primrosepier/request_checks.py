"""Validation of callers' requests before routing."""

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from .asgi import Scope, find_header
from .configuration import Model
from .errors import RequestError
from .stream_continuation import Position, parse_position

__all__ = [
    "check_chat_body",
    "check_completion_body",
    "check_headers",
    "read_idempotency_key",
    "read_resume_position",
]

MAX_CHOICES = 16
MAX_PRIORITY = 1000
MAX_NESTING = 64
MAX_KEY_CHARS = 255
MAX_SEED = 2**63
UNIQUE_HEADERS = (
    b"authorization",
    b"content-length",
    b"content-type",
    b"host",
    b"idempotency-key",
    b"last-event-id",
)
INTERNAL_FIELDS = ("cache_salt", "resume")


def _make_error(name: str, message: str) -> RequestError:
    return RequestError(400, "invalid_value", f"{name}: {message}", name)


def check_headers(scope: Scope, limit_bytes: int) -> None:
    """Check the size of the headers and that none of `UNIQUE_HEADERS` is repeated.

    Raises
    ------
    RequestError
        The headers are too large, or one of them is repeated.
    """
    headers = scope.get("headers", [])
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limit_bytes:
        text = f"The headers are larger than {limit_bytes} bytes."
        raise RequestError(431, "headers_too_large", text)
    counts = Counter(name for name, _ in headers)
    for name in UNIQUE_HEADERS:
        if counts[name] > 1:
            text = f"The header {name.decode()} stands twice."
            raise RequestError(400, "duplicate_header", text)


def read_idempotency_key(scope: Scope) -> str:
    """Return the idempotency key, or an empty string if the request has none.

    Raises
    ------
    RequestError
        The key is empty, too long or has characters that aren't printable ASCII.
    """
    if not any(name == b"idempotency-key" for name, _ in scope.get("headers", [])):
        return ""
    key = find_header(scope, "idempotency-key")
    if not key or len(key) > MAX_KEY_CHARS or not (key.isascii() and key.isprintable()):
        text = f"Idempotency-Key: 1 to {MAX_KEY_CHARS} printable ASCII characters"
        raise RequestError(400, "invalid_idempotency_key", text)
    return key


def read_resume_position(scope: Scope) -> Position | None:
    """Return the position at which a caller resumes a stream, or None.

    Raises
    ------
    RequestError
        ``Last-Event-ID`` is not an event id that routers issue.
    """
    text = find_header(scope, "last-event-id")
    if not text:
        return None
    position = parse_position(text)
    if position is None:
        reason = "Last-Event-ID is not an id of an event of this API."
        raise RequestError(400, "invalid_last_event_id", reason)
    return position


def check_chat_body(body: dict[str, Any], model: Model) -> None:
    """Validate the body of a chat completion."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _make_error("messages", "is not a list of at least one message")
    for index, message in enumerate(messages):
        name = f"messages[{index}]"
        if not isinstance(message, dict):
            raise _make_error(name, "is not an object")
        if not isinstance(message.get("role"), str):
            raise _make_error(f"{name}.role", "is not a text")
        content = message.get("content")
        if not isinstance(content, str | list | None):
            raise _make_error(
                f"{name}.content", "is neither a text nor a list of parts"
            )
        if isinstance(content, list) and not all(isinstance(p, dict) for p in content):
            raise _make_error(f"{name}.content", "holds a part that is not an object")
    _check_common(body, model)


def check_completion_body(body: dict[str, Any], model: Model) -> None:
    """Validate the body of a completion."""
    if not isinstance(body.get("prompt"), str):
        raise _make_error("prompt", "is not a text")
    _check_common(body, model)


def _check_common(body: dict[str, Any], model: Model) -> None:
    _check_nesting(body)
    for name in INTERNAL_FIELDS:
        if name in body:
            raise _make_error(name, "is not a field of this API")
    _check_int(body, "n", 1, MAX_CHOICES)
    _check_int(body, "max_tokens", 1, model.context_tokens)
    _check_int(body, "max_completion_tokens", 1, model.context_tokens)
    _check_int(body, "priority", -MAX_PRIORITY, MAX_PRIORITY)
    _check_int(body, "seed", -MAX_SEED, MAX_SEED - 1)
    _check_number(body, "temperature", 0.0, 2.0)
    _check_number(body, "top_p", 0.0, 1.0)
    _check_type(body, "stream", bool, "is neither true nor false")
    _check_type(body, "stream_options", dict, "is not an object")
    _check_type(body, "adapter", str, "is not a text")
    options = body.get("stream_options") or {}
    _check_type(options, "include_usage", bool, "is neither true nor false")
    if body.get("stream_options") and not body.get("stream"):
        raise _make_error("stream_options", "needs stream to be true")
    adapter = body.get("adapter")
    if adapter and adapter not in model.adapters:
        text = f"The model {model.id!r} has no adapter {adapter!r}."
        raise RequestError(404, "adapter_not_found", text, "adapter")


def _check_type(
    body: dict[str, Any],
    name: str,
    expected: type | Callable[..., Any],
    message: str,
) -> None:
    value = body.get(name)
    if value is not None and not isinstance(value, expected):  # type: ignore[arg-type]
        raise _make_error(name, message)


def _check_int(body: dict[str, Any], name: str, low: int, high: int) -> None:
    value = body.get(name)
    if value is None:
        return
    if isinstance(value, bool) or not isinstance(value, int):
        raise _make_error(name, "is not a whole number")
    if not low <= value <= high:
        raise _make_error(name, f"is not from {low} to {high}")


def _check_number(body: dict[str, Any], name: str, low: float, high: float) -> None:
    value = body.get(name)
    if value is None:
        return
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _make_error(name, "is not a number")
    if not math.isfinite(value) or not low <= value <= high:
        raise _make_error(name, f"is not from {low} to {high}")


def _check_nesting(body: dict[str, Any]) -> None:
    level: list[Any] = [body]
    for _ in range(MAX_NESTING):
        inner: list[Any] = []
        for value in level:
            values = value.values() if isinstance(value, dict) else value
            inner.extend(v for v in values if isinstance(v, dict | list))
        if not inner:
            return
        level = inner
    raise RequestError(400, "invalid_json", f"It nests deeper than {MAX_NESTING}.")
