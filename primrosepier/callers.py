"""ASGI app for callers: the OpenAI HTTP API and calls of plain services."""

import contextlib
import math
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field, replace

import anyio

from .asgi import (
    Receive,
    Scope,
    Send,
    close_connection_after,
    decode_object,
    find_header,
    has_disconnected,
    read_path,
    send_bytes,
    send_chunk,
    send_json,
    wait_for_disconnect,
)
from .at_most_once import claim_key, run_claimed
from .board import Board
from .bodies import read_admitted_body
from .byte_budget import ByteBudget, Reservation
from .claims import Claimed, Claims
from .configuration import Configuration, Workspace, find_workspace
from .dispatch import Dispatcher
from .errors import RequestError
from .ids import RequestId, make_request_id
from .log_events import RequestReceived, RequestRefused
from .logs import TRACE_HEADER, Log, emit, open_action
from .metrics import Metrics
from .outcomes import Interrupted, NotRun, Outcome, Refused, Step, UnknownOutcome
from .plain import PlainDispatcher, PlainRequest, find_plain_service, make_plain_request
from .request_checks import check_headers, read_idempotency_key
from .request_log import TimedSend, record_request
from .requests import ModelRequest, make_model_request
from .responses import (
    make_request_id_header,
    send_failure,
    send_interruption,
    send_refusal,
    send_request_error,
)
from .settings import Limits

__all__ = ["CallersApp"]

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
UNLOGGED_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
SERVICES_PREFIX = "/services/"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BEARER_PREFIX = "Bearer "
NOT_READY_RETRY_S = 1.0
BUSY_RETRY_S = 1.0


@dataclass(slots=True)
class CallersApp:
    """ASGI app that serves callers.

    Parameters
    ----------
    board : Board
    dispatcher : Dispatcher
    limits : Limits
    log : Log
    claims : Claims
    plain : PlainDispatcher
    prepared : bool
        Whether the router has learned which endpoints are leaving, or stopped waiting
        for that.
    in_progress : int
        Number of requests in progress.
    metrics : Metrics
    body_budget : ByteBudget
        Memory for the bodies of the requests in progress.
    """

    board: Board
    dispatcher: Dispatcher
    limits: Limits
    log: Log
    claims: Claims
    plain: PlainDispatcher
    metrics: Metrics
    body_budget: ByteBudget = field(default_factory=ByteBudget)
    stopping: bool = False
    prepared: bool = True
    in_progress: int = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = make_request_id()
        if self.stopping:
            send = close_connection_after(send)
        if scope["path"] in UNLOGGED_PATHS:
            await self._answer(request, scope, receive, send)
            return
        with open_action(self.log, "request", find_header(scope, TRACE_HEADER)):
            emit(RequestReceived(request))
            await self._answer(request, scope, receive, send)

    async def _answer(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        try:
            check_headers(scope, self.limits.header_bytes)
            await self._route(request, scope, receive, send)
        except RequestError as error:
            emit(RequestRefused(request, error.status, error.code))
            await send_request_error(request, error, send)

    async def _route(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        path = read_path(scope)
        if path == "/healthz":
            await send_bytes(send, 200, b"ok\n")
        elif path == "/readyz":
            await self._send_readiness(send)
        elif path == "/metrics":
            text = self.metrics.render()
            await send_bytes(send, 200, text, [("content-type", METRICS_CONTENT_TYPE)])
        elif path == "/v1/models":
            await self._send_models(scope, send, request)
        elif path in MODEL_PATHS:
            await self._serve_model(request, scope, receive, send)
        elif path.startswith(SERVICES_PREFIX):
            await self._serve_plain(request, scope, receive, send)
        else:
            raise RequestError(404, "unknown_path", f"There is nothing at {path!r}.")

    def is_ready(self) -> bool:
        """Return whether the router is ready for new requests."""
        configured = self.board.configuration.value is not None
        return configured and self.prepared and not self.stopping

    async def _send_readiness(self, send: Send) -> None:
        if self.is_ready():
            await send_bytes(send, 200, b"ready\n")
        else:
            await send_bytes(send, 503, b"not ready\n", [("retry-after", "1")])

    def _authenticate(self, scope: Scope) -> tuple[Configuration, Workspace]:
        configuration = self.board.configuration.value
        if configuration is None:
            text = "The router has no configuration yet."
            raise RequestError(503, "not_run", text, retry_after_s=NOT_READY_RETRY_S)
        authorization = find_header(scope, "authorization")
        key = (
            authorization[len(BEARER_PREFIX) :]
            if authorization.startswith(BEARER_PREFIX)
            else ""
        )
        workspace = find_workspace(configuration, key)
        if workspace is None:
            raise RequestError(401, "invalid_api_key", "The key is not known.")
        return configuration, workspace

    async def _send_models(self, scope: Scope, send: Send, request: RequestId) -> None:
        if scope["method"] not in ("GET", "HEAD"):
            raise RequestError(405, "method_not_allowed", "Use GET.")
        configuration, _ = self._authenticate(scope)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "primrosepier"}
            for name in sorted(configuration.models)
        ]
        body = {"object": "list", "data": models}
        await send_json(send, 200, body, [make_request_id_header(request)])

    @contextlib.contextmanager
    def _track_in_progress(self) -> Iterator[None]:
        if self.in_progress >= self.limits.streams:
            text = f"The router has {self.in_progress} requests in progress."
            raise RequestError(503, "not_run", text, retry_after_s=BUSY_RETRY_S)
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1

    async def _serve_model(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope["method"] != "POST":
            raise RequestError(405, "method_not_allowed", "Use POST.")
        configuration, workspace = self._authenticate(scope)
        key = read_idempotency_key(scope)
        with self._track_in_progress(), self.body_budget.open() as reservation:
            body = decode_object(await self._read_body(scope, receive, reservation))
            validated = make_model_request(
                request, configuration, workspace, scope, body
            )
            timed_send = TimedSend(send)
            with record_request(
                validated, timed_send, validated.prompt.tokens
            ) as record:
                if not await has_disconnected(send):
                    record.outcome = await self._run_model(
                        validated, key, receive, timed_send
                    )
                if record.outcome is not None:
                    await self._send_outcome(
                        request, validated, record.outcome, timed_send
                    )

    async def _read_body(
        self, scope: Scope, receive: Receive, reservation: Reservation
    ) -> bytes:
        limits, rng = self.limits, self.dispatcher.rng
        return await read_admitted_body(
            scope, receive, limits.body_bytes, limits.body_s, reservation, rng
        )

    async def _run_model(
        self, validated: ModelRequest, key: str, receive: Receive, send: Send
    ) -> Outcome | None:
        def run(send_by_s: float) -> Awaitable[Outcome]:
            with_deadline = replace(validated, send_by_s=send_by_s)
            return self.dispatcher.dispatch(
                with_deadline, send, self.dispatcher.clock()
            )

        if not key:
            return await self._run_until_disconnect(lambda: run(math.inf), receive)
        return await self._run_once(
            validated.workspace, key, validated.id, run, receive
        )

    async def _run_once(
        self,
        workspace: Workspace,
        key: str,
        request: RequestId,
        run: Callable[[float], Awaitable[Outcome]],
        receive: Receive,
    ) -> Outcome | None:
        claimed = await claim_key(self.claims, workspace.id, key, request)
        if not isinstance(claimed, Claimed):
            return claimed
        send_by_s = claimed.valid_until_s

        def run_limited() -> Awaitable[Outcome | None]:
            return self._run_until_disconnect(lambda: run(send_by_s), receive)

        return await run_claimed(self.claims, claimed, run_limited)

    async def _serve_plain(
        self, request: RequestId, scope: Scope, receive: Receive, send: Send
    ) -> None:
        configuration, workspace = self._authenticate(scope)
        service = find_plain_service(configuration, read_path(scope))
        with self._track_in_progress(), self.body_budget.open() as reservation:
            body = await self._read_body(scope, receive, reservation)
            validated = make_plain_request(request, workspace, service, scope, body)
            key = read_idempotency_key(scope)
            if validated.needs_claim and not key:
                text = "This call runs at most once; it needs an Idempotency-Key."
                raise RequestError(400, "idempotency_key_missing", text)
            timed_send = TimedSend(send)
            with record_request(validated, timed_send) as record:
                outcome: Outcome | None = None
                if not await has_disconnected(send):
                    outcome = await self._run_plain(validated, key, receive, timed_send)
                record.outcome = outcome
                if isinstance(outcome, NotRun | UnknownOutcome):
                    await send_failure(request, outcome, timed_send)

    async def _run_plain(
        self, validated: PlainRequest, key: str, receive: Receive, send: Send
    ) -> Outcome | None:
        def run(send_by_s: float) -> Awaitable[Outcome]:
            with_deadline = replace(validated, send_by_s=send_by_s)
            return self.plain.dispatch(with_deadline, send)

        if not validated.needs_claim:
            return await self._run_until_disconnect(lambda: run(math.inf), receive)
        return await self._run_once(
            validated.workspace, key, validated.id, run, receive
        )

    async def _run_until_disconnect(
        self, run: Callable[[], Awaitable[Outcome]], receive: Receive
    ) -> Outcome | None:
        """Return the outcome, or None when the caller disconnected."""
        outcome: Outcome | None = None
        disconnected = False

        async def watch_caller() -> None:
            nonlocal disconnected
            await wait_for_disconnect(receive)
            disconnected = True
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            with anyio.move_on_after(self.limits.request_s):
                outcome = await run()
            group.cancel_scope.cancel()
        if outcome is None and not disconnected:
            return UnknownOutcome(Step.RELAY, "-", "the time of the request is used up")
        return outcome

    async def _send_outcome(
        self,
        request: RequestId,
        validated: ModelRequest,
        outcome: Outcome,
        send: TimedSend,
    ) -> None:
        if isinstance(outcome, Refused):
            await send_refusal(request, outcome, send)
        elif isinstance(outcome, Interrupted):
            await send_interruption(request, outcome, send)
        elif isinstance(outcome, NotRun | UnknownOutcome):
            await self._send_failure(request, outcome, send)
        elif validated.streamed:
            await send_chunk(send, b"", more=False)

    async def _send_failure(
        self, request: RequestId, outcome: NotRun | UnknownOutcome, send: TimedSend
    ) -> None:
        if not send.started:
            await send_failure(request, outcome, send)
            return
        interruption = Interrupted(outcome.step, outcome.peer, outcome.reason)
        await send_interruption(request, interruption, send)
