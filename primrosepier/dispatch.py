"""The path of one model request from admission to its outcome."""

import contextlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .asgi import Send, send_bytes, start_response
from .board import Board
from .configuration import Configuration, Endpoint, Model, Service, Workspace
from .engines import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    EndpointResponse,
    classify_error,
)
from .ids import AdapterId, EndpointId, RequestId, make_attempt_id
from .loads import EndpointLoad
from .outcomes import Completed, NotRun, Outcome, Refused, Step, UnknownOutcome
from .placement import Decision, EndpointView, Feedback, Placement
from .prompts import CacheScope, Prompt, make_prompt, render_messages
from .relay import Tail, relay_stream
from .settings import Limits

__all__ = ["Dispatcher", "ModelRequest", "build_prompt"]

MAX_ATTEMPTS = 3
HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
EVENT_STREAM = ("content-type", "text/event-stream")


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A checked request of a caller.

    Parameters
    ----------
    path : str
        Path of the API that was called.
    body : dict
        The JSON body.
    streamed : bool
        Whether the answer is an event stream.
    """

    id: RequestId
    workspace: Workspace
    model: Model
    service: Service
    path: str
    body: dict[str, Any]
    streamed: bool
    prompt: Prompt


def build_prompt(workspace: Workspace, model: Model, body: dict[str, Any]) -> Prompt:
    """Return the prompt that a request's body holds."""
    adapter = AdapterId(str(body.get("adapter", "")))
    scope = CacheScope(workspace.id, model.id, adapter, model.version)
    messages = body.get("messages")
    text = render_messages(messages) if messages else str(body.get("prompt", ""))
    return make_prompt(scope, text)


@dataclass(slots=True)
class Dispatcher:
    """Sends requests to endpoints and relays their answers.

    Parameters
    ----------
    board : Board
    client : EndpointClient
    placement : Placement
    limits : Limits
    """

    board: Board
    client: EndpointClient
    placement: Placement
    limits: Limits
    outstanding: Counter[EndpointId] = field(default_factory=Counter)

    async def dispatch(
        self, request: ModelRequest, send: Send, now_s: float
    ) -> Outcome:
        """Serve a request; answers of endpoints go out through ``send``.

        Returns
        -------
        Outcome
            ``NotRun`` and ``UnknownOutcome`` have sent nothing to the caller.
        """
        tried: set[EndpointId] = set()
        outcome: Outcome = NotRun(Step.PLACE, "-", "no endpoint has room", 1.0)
        for _ in range(MAX_ATTEMPTS):
            decision = self.choose(request, tried, now_s)
            if decision is None:
                return outcome
            tried.add(decision.endpoint)
            outcome = await self._attempt(request, decision, send)
            if not isinstance(outcome, NotRun):
                self._observe(request, decision, outcome, now_s)
                return outcome
        return outcome

    def choose(
        self, request: ModelRequest, tried: set[EndpointId], now_s: float
    ) -> Decision | None:
        """Choose among the endpoints that were not tried."""
        configuration = self.board.configuration.value
        if configuration is None:
            return None
        views = self._make_views(configuration, request.service, tried, now_s)
        return self.placement.choose(request.prompt, views, now_s)

    def _make_views(
        self,
        configuration: Configuration,
        service: Service,
        tried: set[EndpointId],
        now_s: float,
    ) -> list[EndpointView]:
        load = self.board.load.value
        leaving = self.board.leaving.value
        views = []
        for endpoint in configuration.list_endpoints(service.id):
            if endpoint.id in tried or endpoint.id in leaving:
                continue
            views.append(self._make_view(endpoint, load.get(endpoint.id), now_s))
        return views

    def _make_view(
        self, endpoint: Endpoint, report: EndpointLoad | None, now_s: float
    ) -> EndpointView:
        return EndpointView(
            id=endpoint.id,
            failure_domain=endpoint.failure_domain,
            outstanding=self.outstanding[endpoint.id],
            reported=report.running + report.waiting if report else 0,
            report_age_s=now_s - report.reported_at_s if report else float("inf"),
            capacity=endpoint.concurrent,
        )

    def _observe(
        self, request: ModelRequest, decision: Decision, outcome: Outcome, now_s: float
    ) -> None:
        if isinstance(outcome, Completed):
            self.placement.observe(
                Feedback(
                    endpoint=decision.endpoint,
                    prompt=request.prompt,
                    cached_tokens=outcome.cached_tokens,
                    expected_cached_tokens=decision.expected_cached_tokens,
                    now_s=now_s,
                )
            )

    @contextlib.contextmanager
    def _count(self, endpoint: EndpointId) -> Iterator[None]:
        self.outstanding[endpoint] += 1
        try:
            yield
        finally:
            self.outstanding[endpoint] -= 1

    async def _attempt(
        self, request: ModelRequest, decision: Decision, send: Send
    ) -> Outcome:
        configuration = self.board.configuration.value
        if configuration is None or decision.endpoint not in configuration.endpoints:
            return NotRun(Step.PLACE, decision.endpoint, "the endpoint is gone")
        endpoint = configuration.endpoints[decision.endpoint]
        call = self._make_call(request, endpoint)
        with self._count(endpoint.id):
            try:
                async with self.client.open(call) as response:
                    return await self._relay(request, endpoint, response, send)
            except (*CONNECT_ERRORS, *RELAY_ERRORS) as error:
                return classify_error(error, endpoint.id)

    def _make_call(self, request: ModelRequest, endpoint: Endpoint) -> EndpointCall:
        body = dict(request.body)
        body["cache_salt"] = request.workspace.id
        if request.streamed:
            body["stream_options"] = {"include_usage": True}
        headers = (
            ("content-type", "application/json"),
            ("x-request-id", request.id),
            ("x-attempt-id", make_attempt_id()),
        )
        return EndpointCall(
            address=endpoint.address,
            method="POST",
            path=request.path,
            headers=headers,
            body=msgspec.json.encode(body),
            connect_s=self.limits.connect_s,
            request_s=self.limits.request_s,
        )

    async def _relay(
        self,
        request: ModelRequest,
        endpoint: Endpoint,
        response: EndpointResponse,
        send: Send,
    ) -> Outcome:
        if response.status in (HTTP_TOO_MANY, HTTP_UNAVAILABLE):
            reason = f"the endpoint refused with status {response.status}"
            return NotRun(Step.HEADERS, endpoint.id, reason, retry_after_s=1.0)
        identity = ("x-request-id", request.id)
        if request.streamed and response.status == HTTP_OK:
            await start_response(send, HTTP_OK, [EVENT_STREAM, identity])
            return await relay_stream(response, send, endpoint.id)
        parts = [part async for part in response.aiter_stream()]
        data = b"".join(parts)
        if response.status != HTTP_OK:
            return Refused(Step.HEADERS, endpoint.id, response.status, data)
        tail = Tail()
        tail.add(data)
        try:
            msgspec.json.decode(data)
        except msgspec.DecodeError:
            return UnknownOutcome(Step.RELAY, endpoint.id, "the answer is not JSON")
        await send_bytes(
            send, HTTP_OK, data, [("content-type", "application/json"), identity]
        )
        return Completed(Step.RELAY, endpoint.id, tail.read_cached_tokens())
