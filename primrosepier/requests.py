"""Validated requests of callers."""

from dataclasses import dataclass
from typing import Any

import msgspec

from .asgi import Scope
from .configuration import Configuration, Model, Service, Workspace
from .crash_causes import Fingerprints
from .errors import RequestError
from .ids import AdapterId, ModelId, RequestId
from .prompts import CacheScope, Prompt, find_levels, make_prompt, render_messages
from .request_checks import (
    check_chat_body,
    check_completion_body,
    read_idempotency_key,
    read_resume_position,
)
from .stream_continuation import Position
from .suspects import compute_fingerprint, compute_part_fingerprint

__all__ = ["ModelRequest", "build_prompt", "make_fingerprints", "make_model_request"]

# Bounds the cost of a long conversation; nested prompts share their first parts.
MAX_FINGERPRINTED_PARTS = 32


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A validated model request.

    Parameters
    ----------
    path : str
        API path.
    body : dict
        JSON body.
    streamed : bool
        Whether the answer is an event stream.
    priority : int
        Priority within the workspace; smaller values are served first.
    idempotent : bool
        Whether the request may run more than once.
    wants_usage : bool
        Whether the caller requested the usage event of a stream.
    resume_position : Position or None
        Position that the caller reached over an earlier connection.
    send_by_s : float
        Monotonic time after which the request must not be sent, seconds.
    """

    id: RequestId
    workspace: Workspace
    model: Model
    service: Service
    path: str
    body: dict[str, Any]
    streamed: bool
    prompt: Prompt
    priority: int = 0
    idempotent: bool = True
    wants_usage: bool = False
    resume_position: Position | None = None
    send_by_s: float = float("inf")


def make_model_request(
    request: RequestId,
    configuration: Configuration,
    workspace: Workspace,
    scope: Scope,
    body: dict[str, Any],
) -> ModelRequest:
    """Validate a model request.

    Raises
    ------
    RequestError
        The body is not valid, or the model does not exist.
    """
    model, service = _find_model(configuration, body.get("model"))
    if scope["path"].endswith("/chat/completions"):
        check_chat_body(body, model)
    else:
        check_completion_body(body, model)
    streamed = bool(body.get("stream"))
    return ModelRequest(
        id=request,
        workspace=workspace,
        model=model,
        service=service,
        path=scope["path"],
        body=body,
        streamed=streamed,
        prompt=build_prompt(workspace, model, body),
        priority=body.get("priority") or 0,
        idempotent=not read_idempotency_key(scope),
        wants_usage=bool((body.get("stream_options") or {}).get("include_usage")),
        resume_position=read_resume_position(scope) if streamed else None,
    )


def make_fingerprints(request: ModelRequest) -> Fingerprints:
    """Return the fingerprints of a request and of what it may share with others.

    Its parts are the messages but the last, or the whole blocks of a text.
    """
    body = msgspec.json.encode(request.body, order="deterministic")
    messages = request.body.get("messages") or ()
    parts = [msgspec.json.encode(x, order="deterministic") for x in messages[:-1]]
    if not messages:
        parts = [b"%x" % block for block in request.prompt.blocks]
    return Fingerprints(
        compute_fingerprint(request.workspace.id, body),
        tuple(
            compute_part_fingerprint(request.model.id, part)
            for part in parts[:MAX_FINGERPRINTED_PARTS]
        ),
    )


def _find_model(configuration: Configuration, name: object) -> tuple[Model, Service]:
    if not isinstance(name, str):
        raise RequestError(400, "invalid_value", "model: is not a text", "model")
    model = configuration.models.get(ModelId(name))
    if model is None:
        text = f"There is no model {name!r}."
        raise RequestError(404, "model_not_found", text, "model")
    service = configuration.find_service(model.id)
    if service is None:
        text = f"No service runs the model {name!r}."
        raise RequestError(404, "model_not_found", text, "model")
    return model, service


def build_prompt(workspace: Workspace, model: Model, body: dict[str, Any]) -> Prompt:
    """Return the prompt in a request's body."""
    adapter = AdapterId(str(body.get("adapter") or ""))
    scope = CacheScope(workspace.id, model.id, adapter, model.version)
    messages = body.get("messages")
    if messages:
        return make_prompt(scope, render_messages(messages), find_levels(messages))
    return make_prompt(scope, str(body.get("prompt", "")))
