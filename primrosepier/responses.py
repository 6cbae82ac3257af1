"""Error responses to callers in OpenAI's format, with request id, step and peer."""

import math
from typing import Any

import msgspec

from .asgi import Send, send_bytes, send_chunk, send_json
from .decoding import is_json
from .errors import RequestError
from .ids import RequestId
from .outcomes import Interrupted, NotRun, Refused, UnknownOutcome

__all__ = [
    "make_error_body",
    "make_request_id_header",
    "send_failure",
    "send_interruption",
    "send_refusal",
    "send_request_error",
]

JSON_TYPE = ("content-type", "application/json")


def make_request_id_header(request: RequestId) -> tuple[str, str]:
    """Return the header with the request id."""
    return ("x-request-id", request)


def make_error_body(
    code: str,
    message: str,
    request: RequestId,
    step: str = "",
    peer: str = "",
    field: str | None = None,
) -> dict[str, Any]:
    """Return an error in OpenAI's format, with step and peer."""
    kind = "invalid_request_error" if not step else "router_error"
    error = {"message": message, "type": kind, "param": field, "code": code}
    error.update(step=step, peer=peer, request_id=request)
    return {"error": error}


def _make_retry_after(seconds: float) -> list[tuple[str, str]]:
    return [("retry-after", str(max(1, math.ceil(seconds))))]


async def send_request_error(
    request: RequestId, error: RequestError, send: Send
) -> None:
    """Send the error response for a request that was refused before routing."""
    step = "admit" if error.status >= 500 else ""
    body = make_error_body(
        error.code, error.message, request, step, "", error.field or None
    )
    headers = [make_request_id_header(request)]
    if error.retry_after_s:
        headers += _make_retry_after(error.retry_after_s)
    await send_json(send, error.status, body, headers)


async def send_failure(
    request: RequestId, outcome: NotRun | UnknownOutcome, send: Send
) -> None:
    """Send the error response for a request that did not run or may have run."""
    headers = [make_request_id_header(request)]
    code, status = "unknown_outcome", 502
    if isinstance(outcome, NotRun):
        code, status = "not_run", 429 if outcome.limited else 503
        headers += _make_retry_after(outcome.retry_after_s)
    step, peer = outcome.step.value, outcome.peer
    body = make_error_body(code, outcome.reason, request, step, peer)
    await send_json(send, status, body, headers)


async def send_refusal(request: RequestId, outcome: Refused, send: Send) -> None:
    """Forward an endpoint's error response, wrapped when it is not JSON."""
    data = outcome.body
    if not is_json(data):
        message = f"The endpoint refused with status {outcome.status}."
        step, peer = outcome.step.value, outcome.peer
        body = make_error_body("endpoint_refused", message, request, step, peer)
        data = msgspec.json.encode(body)
    await send_bytes(
        send, outcome.status, data, [JSON_TYPE, make_request_id_header(request)]
    )


async def send_interruption(
    request: RequestId, outcome: Interrupted, send: Send
) -> None:
    """End an event stream with an error event."""
    step, peer = outcome.step.value, outcome.peer
    body = make_error_body("stream_interrupted", outcome.reason, request, step, peer)
    data = b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n"
    await send_chunk(send, data, more=False)
