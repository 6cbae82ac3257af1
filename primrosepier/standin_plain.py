"""Stand-in for a plain HTTP service.

Every call runs once and is answered with ``{"run", "method", "path", "key",
"request_id", "body_bytes"}``, where ``run`` counts the runs of that
``Idempotency-Key``. ``GET /calls`` lists the calls so far and is not counted itself.
``/slow/SECONDS`` waits before it runs; ``/broken`` runs and answers 500.
"""

from collections import Counter
from dataclasses import dataclass, field

import anyio
import msgspec

from .asgi import (
    Receive,
    Scope,
    Send,
    abort_connection,
    find_header,
    read_body,
    send_json,
)
from .errors import RequestError

__all__ = ["PlainCall", "PlainStandin"]

MAX_BODY_BYTES = 16 * 1024 * 1024


class PlainCall(msgspec.Struct, frozen=True):
    """One call that ran."""

    run: int
    method: str
    path: str
    key: str
    request_id: str
    body_bytes: int


@dataclass(slots=True)
class PlainStandin:
    """ASGI app that records the calls that ran.

    Parameters
    ----------
    lose_answers : int
        Number of next calls that run but whose answers are lost.
    refuse : int
        Number of next calls that are refused with 503 before they run.
    """

    calls: list[PlainCall] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    lose_answers: int = 0
    refuse: int = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        if scope["path"] == "/calls":
            await send_json(send, 200, self.calls)
            return
        try:
            body = await read_body(receive, MAX_BODY_BYTES)
        except RequestError as error:
            await send_json(send, error.status, {"error": error.message})
            return
        await self._run(scope, body, send)

    async def _run(self, scope: Scope, body: bytes, send: Send) -> None:
        if self.refuse:
            self.refuse -= 1
            await send_json(send, 503, {"error": "refused"}, [("retry-after", "1")])
            return
        path = scope["path"]
        if path.startswith("/slow/"):
            await anyio.sleep(float(path.removeprefix("/slow/")))
        call = self.record(scope, body)
        if self.lose_answers:
            self.lose_answers -= 1
            abort_connection(send)
            return
        await send_json(send, 500 if path == "/broken" else 200, call)

    def record(self, scope: Scope, body: bytes) -> PlainCall:
        """Record a run."""
        key = find_header(scope, "idempotency-key")
        self.runs[key] += 1
        request_id = find_header(scope, "x-request-id")
        call = PlainCall(
            self.runs[key], scope["method"], scope["path"], key, request_id, len(body)
        )
        self.calls.append(call)
        return call
