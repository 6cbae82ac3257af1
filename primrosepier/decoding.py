"""Decoding of bytes from other processes, within bounds on size, depth and numbers."""

import re
from typing import Annotated, TypeVar

import msgspec

from .errors import MessageError

__all__ = [
    "MAX_COUNT",
    "MAX_DEPTH",
    "MAX_DOCUMENT_BYTES",
    "Count",
    "DurationMs",
    "HeaderText",
    "decode_json",
    "decode_msgpack",
    "decode_toml",
    "is_json",
    "parse_count",
]

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
# Nested arrays and objects of a JSON document. The interpreter's own limit depends on
# the depth of the call.
MAX_DEPTH = 256
MAX_COUNT = 2**63 - 1
# Decimal digits of the largest number that is parsed, less than those of MAX_COUNT.
MAX_DIGITS = 18
MAX_DURATION_MS = 7 * 24 * 3600 * 1000
MAX_TEXT_CHARS = 1024

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS)]
# Text that a header can hold: printable characters of ISO 8859-1.
HeaderText = Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT_CHARS, pattern=r"^[ -~\xa0-\xff]*\Z")
]

STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)
BRACKET = re.compile(rb"[\[\]{}]")
OPENING = (b"[", b"{")
DIGITS = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}")

T = TypeVar("T")


def _check_size(data: bytes, max_bytes: int) -> None:
    if len(data) > max_bytes:
        raise MessageError(f"{len(data)} bytes; at most {max_bytes} are allowed")


def _check_depth(data: bytes) -> None:
    if sum(data.count(opening) for opening in OPENING) <= MAX_DEPTH:
        return
    depth = 0
    for bracket in BRACKET.findall(STRING.sub(b"", data)):
        depth += 1 if bracket in OPENING else -1
        if depth > MAX_DEPTH:
            raise MessageError(f"nested deeper than {MAX_DEPTH}")


def decode_json(data: bytes, schema: type[T], max_bytes: int = MAX_DOCUMENT_BYTES) -> T:
    """Decode JSON as a type.

    Raises
    ------
    MessageError
        The data is too long, nested too deep, or not a valid document of the type.
    """
    _check_size(data, max_bytes)
    _check_depth(data)
    try:
        return msgspec.json.decode(data, type=schema)
    except (ValueError, RecursionError) as cause:
        raise MessageError(str(cause)) from cause


def decode_msgpack(
    data: bytes, schema: type[T], max_bytes: int = MAX_DOCUMENT_BYTES
) -> T:
    """Decode MessagePack as a type.

    Raises
    ------
    MessageError
        The data is too long, nested too deep, or not a valid message of the type.
    """
    _check_size(data, max_bytes)
    try:
        return msgspec.msgpack.decode(data, type=schema)
    except (ValueError, RecursionError) as cause:
        raise MessageError(str(cause)) from cause


def decode_toml(data: bytes, schema: type[T], max_bytes: int = MAX_DOCUMENT_BYTES) -> T:
    """Decode TOML as a type.

    Raises
    ------
    MessageError
        The data is too long, nested too deep, or not a valid document of the type.
    """
    _check_size(data, max_bytes)
    try:
        return msgspec.toml.decode(data, type=schema)
    except (ValueError, RecursionError) as cause:
        raise MessageError(str(cause)) from cause


def is_json(data: bytes) -> bool:
    """Return whether the data is a JSON document."""
    try:
        msgspec.json.decode(data)
    except (ValueError, RecursionError):
        return False
    return True


def parse_count(text: bytes | str) -> int | None:
    """Parse ASCII digits, with spaces around them; return None for anything else."""
    digits = (text.decode("latin-1") if isinstance(text, bytes) else text).strip()
    return int(digits) if DIGITS.fullmatch(digits) else None
