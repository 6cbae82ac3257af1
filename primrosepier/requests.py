"""Checked requests of callers."""

from dataclasses import dataclass
from typing import Any

from .configuration import Model, Service, Workspace
from .ids import AdapterId, RequestId
from .prompts import CacheScope, Prompt, find_levels, make_prompt, render_messages

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


def build_prompt(workspace: Workspace, model: Model, body: dict[str, Any]) -> Prompt:
    """Return the prompt that a request's body holds."""
    adapter = AdapterId(str(body.get("adapter", "")))
    scope = CacheScope(workspace.id, model.id, adapter, model.version)
    messages = body.get("messages")
    if messages:
        return make_prompt(scope, render_messages(messages), find_levels(messages))
    return make_prompt(scope, str(body.get("prompt", "")))
