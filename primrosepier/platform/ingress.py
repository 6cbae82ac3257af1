"""Converts callers' requests on the platform into calls."""

import math
from collections.abc import Iterable

from ..asgi import Scope, read_target
from ..decoding import parse_count
from ..errors import MessageError
from ..forwarding.calls import Call, PartId, PromptPart
from ..forwarding.declarations import Route, Workspace
from ..ids import ModelId, RequestId
from . import names

__all__ = ["PlatformRequestReader"]

MS = 0.001
BEARER = "bearer "
# Characters of an odd value that an error message shows.
MAX_SHOWN = 64
# Tokens of one prompt, far more than any model reads. The sum over all calls of a
# router then fits the integers of the messages that it sends.
MAX_PROMPT_TOKENS = 10**9


def _make_header_map(scope: Scope) -> dict[bytes, bytes]:
    return dict(scope["headers"])


def _read_parts(value: str) -> tuple[PromptPart, ...]:
    """Parse a comma-separated list of prompt parts, ``ID:TOKENS`` each."""
    parts = []
    for entry in filter(None, (text.strip() for text in value.split(","))):
        name, _, tokens = entry.rpartition(":")
        length = parse_count(tokens)
        if length is None:
            raise MessageError(f"prompt part {entry[:MAX_SHOWN]!r} has no length")
        parts.append(PromptPart(PartId(name), length))
    if sum(part.tokens for part in parts) > MAX_PROMPT_TOKENS:
        raise MessageError(f"the prompt has more than {MAX_PROMPT_TOKENS} tokens")
    return tuple(parts)


def _read_output_limit(value: str) -> int:
    """Parse the second of two token counts; 0 without a valid one."""
    return min(MAX_PROMPT_TOKENS, parse_count(value.partition(",")[2]) or 0)


def _read_total_tokens(value: str) -> int | None:
    """Parse the sum of two token counts; None without a valid one."""
    counts = [parse_count(text) for text in value.split(",")[:2]]
    known = [count for count in counts if count is not None]
    return min(MAX_PROMPT_TOKENS, sum(known)) if known else None


class PlatformRequestReader:
    """Reads callers' requests in the platform's format."""

    def read_host(self, scope: Scope) -> str:
        """Return the host name that a request is for, without a port."""
        host = _make_header_map(scope).get(b"host", b"").decode("latin-1")
        return host.partition(":")[0]

    def read_id(self, scope: Scope) -> RequestId:
        """Return the caller's id of a request; empty when it sent none."""
        return RequestId(
            _make_header_map(scope).get(names.CALL_ID, b"").decode("latin-1")
        )

    def read_key(self, scope: Scope) -> str:
        """Return the API key of a request; empty when it sent none."""
        value = _make_header_map(scope).get(names.API_KEY, b"").decode("latin-1")
        if not value.lower().startswith(BEARER):
            return ""
        return value[len(BEARER) :].strip()

    def read_caller_timeout_s(self, scope: Scope) -> float:
        """Return the time-out that a caller sent, seconds; infinite without one."""
        value = _make_header_map(scope).get(names.REMAINING_TIME, b"")
        remaining_ms = parse_count(value)
        return math.inf if remaining_ms is None else remaining_ms * MS

    def read_prompt(self, text: str) -> tuple[PromptPart, ...]:
        """Return the parts of a prompt from a comma-separated list of ``ID:TOKENS``.

        Raises
        ------
        MessageError
            A part has no length, or the prompt is too long.
        """
        return _read_parts(text)

    def make_call(
        self,
        scope: Scope,
        body: bytes,
        route: Route,
        workspace: Workspace | None,
        received_at_s: float,
    ) -> Call:
        """Convert a request into a call on a route.

        Raises
        ------
        MessageError
            A header is malformed.
        """
        values = _make_header_map(scope)

        def read_header(name: bytes) -> str:
            return values.get(name, b"").decode("latin-1")

        try:
            parts = _read_parts(read_header(names.PROMPT_PARTS))
        except MessageError as cause:
            field = names.PROMPT_PARTS.decode("ascii")
            raise MessageError(f"header {field}: {cause}") from cause
        return Call(
            id=self.read_id(scope),
            method=scope["method"],
            target=read_target(scope).decode("latin-1"),
            headers=tuple(_select_forwarded(scope["headers"])),
            body=body,
            route=route,
            workspace=workspace,
            received_at_s=received_at_s,
            deadline_s=received_at_s
            + min(route.timeout_s, self.read_caller_timeout_s(scope)),
            model=ModelId(read_header(names.MODEL)),
            parts=parts,
            resume_after=read_header(names.LAST_EVENT),
            api_key=self.read_key(scope),
            resumed_call=RequestId(read_header(names.RESUMED_CALL)),
            output_limit=_read_output_limit(read_header(names.TOKEN_COUNTS)),
            stated_tokens=_read_total_tokens(read_header(names.TOKEN_COUNTS)),
        )

    def write_retry_after(self, after_s: float) -> tuple[bytes, bytes]:
        """Return the header that tells a caller how long to wait before a retry."""
        return names.RETRY_AFTER, f"{after_s:.3f}".encode("ascii")


def _select_forwarded(
    headers: Iterable[tuple[bytes, bytes]],
) -> Iterable[tuple[bytes, bytes]]:
    for name, value in headers:
        if name not in names.HOP_BY_HOP_HEADERS and name not in names.RESERVED_HEADERS:
            yield name, value
