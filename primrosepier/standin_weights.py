"""Stand-in for the weight store: HTTP with range requests and a rate limit.

``GET /MODEL/VERSION`` returns a fixed number of zero bytes. A request with
``Range: bytes=A-B`` is answered with 206 and a part of them, or with 416 if the range
is invalid. Requests above the rate limit in bytes per second are answered with 429 and
``Retry-After``.
"""

import re
import time
from dataclasses import dataclass, field

from .asgi import Receive, Scope, Send, find_header, send_bytes, send_json

__all__ = ["ByteRateLimiter", "WeightsStandin", "parse_range"]

MIB = 1024 * 1024
RANGE_PATTERN = re.compile(r"bytes=(\d+)-(\d*)")


@dataclass(slots=True)
class ByteRateLimiter:
    """Token bucket of bytes.

    Parameters
    ----------
    rate_bytes : float
        Bytes per second; also the burst size.
    """

    rate_bytes: float
    level_bytes: float = 0.0
    updated_s: float = float("-inf")

    def acquire(self, size: int, now_s: float) -> float:
        """Consume bytes, or return the seconds to wait before a retry.

        Returns 0 if the bytes were consumed.
        """
        refilled_bytes = (now_s - self.updated_s) * self.rate_bytes
        self.level_bytes = min(self.rate_bytes, self.level_bytes + refilled_bytes)
        self.updated_s = now_s
        if self.level_bytes <= 0:
            return -self.level_bytes / self.rate_bytes + 1 / self.rate_bytes
        self.level_bytes -= size
        return 0.0


def parse_range(text: str, size: int) -> tuple[int, int] | None:
    """Return the start and end offset of a range, or None if it is invalid."""
    if not text:
        return 0, size
    match = RANGE_PATTERN.fullmatch(text.strip())
    if match is None:
        return None
    first = int(match[1])
    last = int(match[2]) if match[2] else size - 1
    if first >= size or last < first:
        return None
    return first, min(last + 1, size)


@dataclass(slots=True)
class WeightsStandin:
    """ASGI app that serves weight files.

    Parameters
    ----------
    size_bytes : int
        Size of every file.
    refused : int
        Number of requests refused because of the rate limit.
    """

    size_bytes: int = 8 * MIB
    limiter: ByteRateLimiter = field(
        default_factory=lambda: ByteRateLimiter(64.0 * MIB)
    )
    refused: int = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        byte_range = parse_range(find_header(scope, "range"), self.size_bytes)
        if scope["path"].count("/") != 2:
            await send_json(send, 404, {"error": "use /MODEL/VERSION"})
            return
        if byte_range is None:
            total_size = ("content-range", f"bytes */{self.size_bytes}")
            await send_bytes(send, 416, b"", [total_size])
            return
        start, end = byte_range
        wait_s = self.limiter.acquire(end - start, time.monotonic())
        if wait_s:
            self.refused += 1
            await send_bytes(send, 429, b"", [("retry-after", str(int(wait_s) + 1))])
            return
        content_range = ("content-range", f"bytes {start}-{end - 1}/{self.size_bytes}")
        status = 206 if find_header(scope, "range") else 200
        await send_bytes(send, status, bytes(end - start), [content_range])
