"""Checked requests of callers."""

from dataclasses import dataclass
from typing import Any

from .configuration import Model, Service, Workspace
from .ids import AdapterId, RequestId
from .prompts import CacheScope, Prompt, make_prompt, render_messages
from .splice import Position

__all__ = ["ModelRequest", "build_prompt"]


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
    priority : int
        Smaller is served earlier within the workspace.
    idempotent : bool
        Whether the request may run more than once.
    wants_usage : bool
        Whether the caller asked for the usage of a stream.
    resumed : Position or None
        How far the caller is already, from an earlier connection.
    idempotency_key : str
        Under which the request runs at most once; empty for none.
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
    resumed: Position | None = None
    idempotency_key: str = ""


def build_prompt(workspace: Workspace, model: Model, body: dict[str, Any]) -> Prompt:
    """Return the prompt that a request's body holds."""
    adapter = AdapterId(str(body.get("adapter", "")))
    scope = CacheScope(workspace.id, model.id, adapter, model.version)
    messages = body.get("messages")
    text = render_messages(messages) if messages else str(body.get("prompt", ""))
    return make_prompt(scope, text)
