"""Switches off one mechanism at a time, so that each check is seen to fail."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import anyio

from . import attempt, engines, stream_continuation
from .claim_writer import StoreClaims
from .claims import Claimed
from .configuration_controller import ConfigurationController
from .ids import RequestId, Revision, WorkspaceId
from .leaving_controller import LeavingController
from .mirror import Mirror, MirrorController
from .outcomes import NotRun, Step
from .router import Router

__all__ = ["BREAKS", "break_mechanism"]

SLOW_START_S = 3.0


def ignore_salt() -> list[Any]:
    """Leave the cache salt out of calls to engines."""

    def make_body(request: Any, endpoint: Any, delivery: Any) -> dict[str, Any]:
        body = original(request, endpoint, delivery)
        return {**body, "cache_salt": ""}

    original = attempt._make_body
    return [mock.patch.object(attempt, "_make_body", make_body)]


def accept_truncation() -> list[Any]:
    """Take a stream without its end marker for a complete one."""

    def finish_early(self: stream_continuation.StreamContinuation) -> bytes:
        self.state = stream_continuation.StreamState.ENDED
        return b""

    return [
        mock.patch.object(
            stream_continuation.StreamContinuation, "finish_early", finish_early
        )
    ]


def start_slowly() -> list[Any]:
    """Wait before the first read of the configuration."""

    async def run(self: MirrorController) -> None:
        await anyio.sleep(SLOW_START_S)
        await original(self)

    original = MirrorController.run
    return [mock.patch.object(MirrorController, "run", run)]


def trust_any_answer() -> list[Any]:
    """Take the answer of another attempt for this attempt's."""

    def read_identity(response: Any) -> attempt.AnswerIdentity:
        return attempt.AnswerIdentity("", "")

    return [mock.patch.object(attempt, "_read_identity", read_identity)]


def call_everything_not_run() -> list[Any]:
    """Take every broken connection for a request that did not run."""

    def classify(error: Exception, peer: str) -> NotRun:
        return NotRun(Step.HEADERS, peer, repr(error))

    return [
        mock.patch.object(attempt, "classify_error", classify),
        mock.patch.object(engines, "classify_error", classify),
    ]


def grant_every_claim() -> list[Any]:
    """Let every request with a key run without asking the store."""

    async def claim(
        self: StoreClaims, workspace: WorkspaceId, key: str, request: RequestId
    ) -> Claimed:
        return Claimed(key, request, Revision(0))

    return [mock.patch.object(StoreClaims, "claim", claim)]


def ignore_leaving() -> list[Any]:
    """Send work to endpoints that are leaving."""

    def update(self: LeavingController, now_s: float) -> None:
        return None

    return [mock.patch.object(LeavingController, "update", update)]


def stop_at_once() -> list[Any]:
    """End a router without waiting for its requests."""
    return [mock.patch.object(Router, "compute_grace", lambda self: 0.0)]


def keep_first_configuration() -> list[Any]:
    """Take the first configuration and no later one."""

    def update(self: ConfigurationController, mirror: Mirror) -> None:
        if not self.revision:
            original(self, mirror)

    original = ConfigurationController.update
    offer = mock.patch.object(
        ConfigurationController, "apply_export", lambda self, revision, data: False
    )
    return [mock.patch.object(ConfigurationController, "update", update), offer]


BREAKS: dict[str, Callable[[], list[Any]]] = {
    "cache_isolation": ignore_salt,
    "complete_streams": accept_truncation,
    "warm_restart": start_slowly,
    "own_answer": trust_any_answer,
    "not_run": call_everything_not_run,
    "at_most_once": grant_every_claim,
    "leaving": ignore_leaving,
    "graceful_stop": stop_at_once,
    "configuration": keep_first_configuration,
}


@contextlib.contextmanager
def break_mechanism(name: str) -> Iterator[None]:
    """Switch off the mechanism behind a promise while the context is open."""
    with contextlib.ExitStack() as stack:
        for patch in BREAKS[name]() if name else []:
            stack.enter_context(patch)
        yield
