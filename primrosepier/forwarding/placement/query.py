"""Query string that describes the call of a report."""

import re
from collections.abc import Sequence
from dataclasses import replace
from typing import Annotated
from urllib.parse import parse_qsl

import msgspec

from ...asgi import Scope
from ...decoding import MAX_DURATION_MS, HeaderText
from ...errors import MessageError
from ...ids import ModelId
from ..calls import Call
from ..declarations import Declaration, Route, Workspace
from ..entry import RequestReader

__all__ = [
    "PlacementQuery",
    "make_call",
    "make_scope",
    "parse_query",
    "read_timeout_s",
]

MAX_QUERY_BYTES = 16 * 1024
MAX_FIELDS = 64
MAX_TOKENS = 10**9
MS = 0.001
HEADER = re.compile(r"([!#-'*+.0-9A-Z^-z|~-]{1,64}):[ \t]*([ -~\xa0-\xff]*)")
HEADERS_FIELD = "header"

Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,16}\Z")]
Path = Annotated[str, msgspec.Meta(pattern=r"^/[!-~]*\Z", max_length=2048)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Deadline = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DURATION_MS)]


class PlacementQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call as a query describes it.

    Parameters
    ----------
    host : str
        Host name of the call; empty for that of the only declared host.
    workspace : str
        Name of the workspace; empty for none.
    prompt : str
        Parts of the prompt, as a caller's header names them.
    tokens : int or None
        Length of the prompt and limit on the output together, tokens.
    deadline_ms : float or None
        Time-out of the caller, milliseconds.
    service : str
        Service of the route to report on; empty for the one with most calls.
    header : tuple of str
        Headers that the caller would send, ``NAME: VALUE`` each.
    """

    method: Method
    path: Path
    host: HeaderText = ""
    workspace: HeaderText = ""
    model: HeaderText = ""
    prompt: str = ""
    tokens: Tokens | None = None
    deadline_ms: Deadline | None = None
    service: HeaderText = ""
    header: tuple[str, ...] = ()


def parse_query(query_string: bytes) -> PlacementQuery:
    """Parse a query string.

    Raises
    ------
    MessageError
        A field is unknown, missing, repeated or odd; the text names it.
    """
    if len(query_string) > MAX_QUERY_BYTES:
        raise MessageError(f"the query has more than {MAX_QUERY_BYTES} bytes")
    try:
        pairs = parse_qsl(
            query_string.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=True,
            errors="strict",
            max_num_fields=MAX_FIELDS,
        )
    except ValueError as cause:
        raise MessageError("the query is malformed") from cause
    fields: dict[str, str | list[str]] = {HEADERS_FIELD: []}
    for name, value in pairs:
        if name == HEADERS_FIELD:
            fields[HEADERS_FIELD] = [*fields[HEADERS_FIELD], value]
        elif name in fields:
            raise MessageError(f"the field {name} is repeated")
        else:
            fields[name] = value
    try:
        return msgspec.convert(fields, PlacementQuery, strict=False)
    except msgspec.ValidationError as cause:
        raise MessageError(str(cause)) from cause


def make_scope(query: PlacementQuery, declaration: Declaration) -> Scope:
    """Return the request that a query describes, as a server would pass it on.

    Raises
    ------
    MessageError
        A header is malformed, or the host is needed.
    """
    host = query.host or _find_only_host(declaration)
    path, _, query_string = query.path.encode("ascii").partition(b"?")
    return {
        "method": query.method,
        "path": path.decode("ascii"),
        "raw_path": path,
        "query_string": query_string,
        "target": query.path.encode("ascii"),
        "headers": [(b"host", host.encode("latin-1")), *_read_headers(query.header)],
    }


def _find_only_host(declaration: Declaration) -> str:
    hosts = {route.host for route in declaration.routes}
    if len(hosts) > 1:
        raise MessageError("the field host is needed: there are several")
    return hosts.pop() if hosts else ""


def _read_headers(lines: Sequence[str]) -> list[tuple[bytes, bytes]]:
    headers = []
    for line in lines:
        match = HEADER.fullmatch(line)
        if match is None:
            raise MessageError("the field header is not NAME: VALUE")
        name, value = match[1].lower(), match[2].strip()
        if name == "host":
            raise MessageError("the field header holds a host; use the field host")
        headers.append((name.encode("ascii"), value.encode("latin-1")))
    return headers


def read_timeout_s(reader: RequestReader, query: PlacementQuery, scope: Scope) -> float:
    """Return the time-out of the caller, seconds; infinity if the query has none."""
    if query.deadline_ms is not None:
        return query.deadline_ms * MS
    return reader.read_caller_timeout_s(scope)


def make_call(
    reader: RequestReader,
    query: PlacementQuery,
    scope: Scope,
    route: Route,
    workspace: Workspace | None,
    now_s: float,
) -> Call:
    """Return the call that a query describes.

    Raises
    ------
    MessageError
        A field can't be read as the call's header would be.
    """
    if reader.read_key(scope):
        text = "the field header holds an API key; use the field workspace"
        raise MessageError(text)
    try:
        call = reader.make_call(scope, b"", route, workspace, now_s)
    except MessageError as cause:
        # The text of the cause shows a part of the value.
        raise MessageError("the field header has a malformed value") from cause
    if call.is_resumed:
        text = "the field header resumes a stream, whose origin is not looked up here"
        raise MessageError(text)
    if query.prompt:
        try:
            call = replace(call, parts=reader.read_prompt(query.prompt))
        except MessageError as cause:
            raise MessageError("the field prompt is malformed") from cause
    if query.model:
        call = replace(call, model=ModelId(query.model))
    if query.tokens is not None:
        call = replace(call, stated_tokens=query.tokens)
    timeout_s = min(route.timeout_s, read_timeout_s(reader, query, scope))
    return replace(call, deadline_s=now_s + timeout_s)
