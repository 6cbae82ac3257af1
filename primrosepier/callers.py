"""The callers' side: the OpenAI HTTP API over ASGI."""

import math
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from .asgi import (
    Receive,
    Scope,
    Send,
    close_connection_after,
    find_header,
    read_json,
    send_bytes,
    send_chunk,
    send_json,
    wait_for_disconnect,
)
from .board import Board
from .configuration import Configuration, Workspace, find_workspace
from .dispatch import Dispatcher
from .errors import RequestError
from .ids import ModelId, RequestId, make_request_id
from .log_events import RequestReceived, RequestRefused
from .logs import TRACE_HEADER, Log, emit, open_action
from .metrics import Metrics
from .outcomes import Interrupted, NotRun, Outcome, Refused, UnknownOutcome
from .request_log import TimedSend, record_request
from .requests import ModelRequest, build_prompt
from .settings import Limits

__all__ = ["CallersApp", "make_error_body"]

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
QUIET_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BEARER = "Bearer "


def make_error_body(
    code: str, message: str, request: RequestId, step: str = "", peer: str = ""
) -> dict[str, Any]:
    """Return an error in OpenAI's form, with step and peer."""
    kind = "invalid_request_error" if not step else "router_error"
    error = {"message": message, "type": kind, "param": None, "code": code}
    error.update(step=step, peer=peer, request_id=request)
    return {"error": error}


@dataclass(slots=True)
class CallersApp:
    """ASGI app that serves callers.

    Parameters
    ----------
    board : Board
    dispatcher : Dispatcher
    limits : Limits
    log : Log
    metrics : Metrics
    """

    board: Board
    dispatcher: Dispatcher
    limits: Limits
    log: Log
    metrics: Metrics
    stopping: bool = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = make_request_id()
        if self.stopping:
            send = close_connection_after(send)
        if scope["path"] in QUIET_PATHS:
            await self._answer(request, scope, receive, send)
            return
        with open_action(self.log, "request", find_header(scope, TRACE_HEADER)):
            emit(RequestReceived(request))
            await self._answer(request, scope, receive, send)

    async def _answer(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        identity = ("x-request-id", request)
        try:
            await self._route(request, scope, receive, send)
        except RequestError as error:
            emit(RequestRefused(request, error.status, error.code))
            body = make_error_body(error.code, error.message, request)
            await send_json(send, error.status, body, [identity])

    async def _route(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        path = scope["path"]
        if path == "/healthz":
            await send_bytes(send, 200, b"ok\n")
        elif path == "/readyz":
            await self._send_readiness(send)
        elif path == "/metrics":
            text = self.metrics.render()
            await send_bytes(send, 200, text, [("content-type", METRICS_TYPE)])
        elif path == "/v1/models":
            await self._send_models(scope, send, request)
        elif path in MODEL_PATHS:
            await self._serve_model(request, scope, receive, send)
        else:
            raise RequestError(404, "unknown_path", f"There is nothing at {path}.")

    def is_ready(self) -> bool:
        """Return whether the router may get new requests."""
        return not self.stopping and self.board.configuration.value is not None

    async def _send_readiness(self, send: Send) -> None:
        if self.is_ready():
            await send_bytes(send, 200, b"ready\n")
        else:
            await send_bytes(send, 503, b"not ready\n", [("retry-after", "1")])

    def _authenticate(self, scope: Scope) -> tuple[Configuration, Workspace]:
        configuration = self.board.configuration.value
        if configuration is None:
            raise RequestError(503, "not_run", "The router has no configuration yet.")
        value = find_header(scope, "authorization")
        key = value[len(BEARER) :] if value.startswith(BEARER) else ""
        workspace = find_workspace(configuration, key)
        if workspace is None:
            raise RequestError(401, "invalid_api_key", "The key is not known.")
        return configuration, workspace

    async def _send_models(self, scope: Scope, send: Send, request: RequestId) -> None:
        configuration, _ = self._authenticate(scope)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "primrosepier"}
            for name in sorted(configuration.models)
        ]
        body = {"object": "list", "data": models}
        await send_json(send, 200, body, [("x-request-id", request)])

    async def _serve_model(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope["method"] != "POST":
            raise RequestError(405, "method_not_allowed", "Use POST.")
        configuration, workspace = self._authenticate(scope)
        body = await read_json(receive, self.limits.body_bytes)
        checked = self._check_request(request, configuration, workspace, scope, body)
        timed = TimedSend(send)
        with record_request(checked, timed) as record:
            record.outcome = await self._run(checked, receive, timed)
            if record.outcome is not None:
                await self._finish(checked, record.outcome, timed)

    def _check_request(
        self,
        request: RequestId,
        configuration: Configuration,
        workspace: Workspace,
        scope: Scope,
        body: dict[str, Any],
    ) -> ModelRequest:
        name = body.get("model")
        model = configuration.models.get(ModelId(str(name)))
        if model is None:
            raise RequestError(404, "model_not_found", f"There is no model {name!r}.")
        service = configuration.find_service(model.id)
        if service is None:
            text = f"No service runs the model {name!r}."
            raise RequestError(404, "model_not_found", text)
        return ModelRequest(
            id=request,
            workspace=workspace,
            model=model,
            service=service,
            path=scope["path"],
            body=body,
            streamed=bool(body.get("stream", False)),
            prompt=build_prompt(workspace, model, body),
        )

    async def _run(
        self, request: ModelRequest, receive: Receive, send: Send
    ) -> Outcome | None:
        """Return the outcome, or None when the caller left."""
        outcome: Outcome | None = None

        async def watch_caller() -> None:
            await wait_for_disconnect(receive)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            now_s = self.dispatcher.clock()
            outcome = await self.dispatcher.dispatch(request, send, now_s)
            group.cancel_scope.cancel()
        return outcome

    async def _finish(
        self, request: ModelRequest, outcome: Outcome, send: Send
    ) -> None:
        identity = ("x-request-id", request.id)
        if isinstance(outcome, Refused):
            headers = [("content-type", "application/json"), identity]
            await send_bytes(send, outcome.status, outcome.body, headers)
            return
        if isinstance(outcome, Interrupted):
            await self._send_interruption(request, outcome, send)
            return
        if isinstance(outcome, NotRun | UnknownOutcome):
            await self._send_failure(request, outcome, send)
            return
        if request.streamed:
            await send_chunk(send, b"", more=False)

    async def _send_failure(
        self, request: ModelRequest, outcome: NotRun | UnknownOutcome, send: Send
    ) -> None:
        headers: list[tuple[str, str]] = [("x-request-id", request.id)]
        code, status = "unknown_outcome", 502
        if isinstance(outcome, NotRun):
            code, status = "not_run", 429 if outcome.limited else 503
            headers.append(
                ("retry-after", str(max(1, math.ceil(outcome.retry_after_s))))
            )
        body = make_error_body(
            code, outcome.reason, request.id, outcome.step.value, outcome.peer
        )
        await send_json(send, status, body, headers)

    async def _send_interruption(
        self, request: ModelRequest, outcome: Interrupted, send: Send
    ) -> None:
        body = make_error_body(
            "stream_interrupted",
            outcome.reason,
            request.id,
            outcome.step.value,
            outcome.peer,
        )
        data = b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n"
        await send_chunk(send, data, more=False)
