"""Stand-in of the weight store: HTTP with range requests and a rate.

``GET /MODEL/VERSION`` returns zeros of a fixed size; ``Range: bytes=A-B`` returns
a part with 206, and 416 when it lies outside. Beyond its rate in bytes a second
it answers 429 with ``Retry-After``.
"""

import re
import time
from dataclasses import dataclass, field

from .asgi import Receive, Scope, Send, find_header, send_bytes, send_json

__all__ = ["ByteBudget", "WeightsStandin", "parse_range"]

MIB = 1024 * 1024
RANGE = re.compile(r"bytes=(\d+)-(\d*)")


@dataclass(slots=True)
class ByteBudget:
    """Token bucket of bytes.

    Parameters
    ----------
    rate_bytes : float
        Bytes a second; also what may be taken at once.
    """

    rate_bytes: float
    level_bytes: float = 0.0
    updated_s: float = float("-inf")

    def take(self, size: int, now_s: float) -> float:
        """Take bytes; return 0, or the seconds after which to ask again."""
        gained = (now_s - self.updated_s) * self.rate_bytes
        self.level_bytes = min(self.rate_bytes, self.level_bytes + gained)
        self.updated_s = now_s
        if self.level_bytes <= 0:
            return -self.level_bytes / self.rate_bytes + 1 / self.rate_bytes
        self.level_bytes -= size
        return 0.0


def parse_range(text: str, size: int) -> tuple[int, int] | None:
    """Return the first byte and the one after the last, or None when outside."""
    if not text:
        return 0, size
    found = RANGE.fullmatch(text.strip())
    if found is None:
        return None
    first = int(found[1])
    last = int(found[2]) if found[2] else size - 1
    if first >= size or last < first:
        return None
    return first, min(last + 1, size)


@dataclass(slots=True)
class WeightsStandin:
    """ASGI app that serves weights.

    Parameters
    ----------
    size_bytes : int
        Size of every file.
    """

    size_bytes: int = 8 * MIB
    budget: ByteBudget = field(default_factory=lambda: ByteBudget(64.0 * MIB))
    refused: int = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        wanted = parse_range(find_header(scope, "range"), self.size_bytes)
        if scope["path"].count("/") != 2:
            await send_json(send, 404, {"error": "use /MODEL/VERSION"})
            return
        if wanted is None:
            size = ("content-range", f"bytes */{self.size_bytes}")
            await send_bytes(send, 416, b"", [size])
            return
        start, end = wanted
        wait_s = self.budget.take(end - start, time.monotonic())
        if wait_s:
            self.refused += 1
            await send_bytes(send, 429, b"", [("retry-after", str(int(wait_s) + 1))])
            return
        place = ("content-range", f"bytes {start}-{end - 1}/{self.size_bytes}")
        status = 206 if find_header(scope, "range") else 200
        await send_bytes(send, status, bytes(end - start), [place])
