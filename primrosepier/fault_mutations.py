"""Mutations that disable one mechanism each, to show that each check can fail."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import anyio

from . import attempt, endpoint_client, stream_continuation
from .claim_writer import StoreClaims
from .claims import Claimed
from .configuration_controller import ConfigurationController
from .ids import RequestId, Revision, WorkspaceId
from .leaving_controller import LeavingController
from .mirror import Mirror, MirrorController
from .outcomes import NotRun, Step
from .router import Router

__all__ = ["MUTATIONS", "apply_mutation"]

START_DELAY_S = 3.0


def omit_cache_salt() -> list[Any]:
    """Omit the cache salt from calls to engines."""

    def make_body(request: Any, endpoint: Any, delivery: Any) -> dict[str, Any]:
        body = original(request, endpoint, delivery)
        return {**body, "cache_salt": ""}

    original = attempt._make_body
    return [mock.patch.object(attempt, "_make_body", make_body)]


def accept_truncation() -> list[Any]:
    """Treat a stream without its end marker as complete."""

    def finish_early(self: stream_continuation.StreamContinuation) -> bytes:
        self.state = stream_continuation.StreamState.ENDED
        return b""

    return [
        mock.patch.object(
            stream_continuation.StreamContinuation, "finish_early", finish_early
        )
    ]


def delay_start() -> list[Any]:
    """Delay the first read of the configuration."""

    async def run(self: MirrorController) -> None:
        await anyio.sleep(START_DELAY_S)
        await original(self)

    original = MirrorController.run
    return [mock.patch.object(MirrorController, "run", run)]


def skip_answer_identity() -> list[Any]:
    """Accept the answer of another attempt."""

    def read_identity(response: Any) -> attempt.AnswerIdentity:
        return attempt.AnswerIdentity("", "")

    return [mock.patch.object(attempt, "_read_identity", read_identity)]


def classify_every_error_as_not_run() -> list[Any]:
    """Treat every broken connection as a request that did not run."""

    def classify(error: Exception, peer: str) -> NotRun:
        return NotRun(Step.HEADERS, peer, repr(error))

    return [
        mock.patch.object(attempt, "classify_error", classify),
        mock.patch.object(endpoint_client, "classify_error", classify),
    ]


def grant_every_claim() -> list[Any]:
    """Run each request with an idempotency key without a claim in the store."""

    async def claim(
        self: StoreClaims, workspace: WorkspaceId, key: str, request: RequestId
    ) -> Claimed:
        return Claimed(key, request, Revision(0))

    return [mock.patch.object(StoreClaims, "claim", claim)]


def ignore_leaving() -> list[Any]:
    """Send requests to endpoints that are leaving."""

    def update(self: LeavingController, now_s: float) -> None:
        return None

    return [mock.patch.object(LeavingController, "update", update)]


def stop_without_draining() -> list[Any]:
    """Stop a router without waiting for its requests."""
    return [mock.patch.object(Router, "compute_grace", lambda self: 0.0)]


def ignore_later_configurations() -> list[Any]:
    """Apply only the first configuration."""

    def update(self: ConfigurationController, mirror: Mirror) -> None:
        if not self.revision:
            original(self, mirror)

    original = ConfigurationController.update
    export_patch = mock.patch.object(
        ConfigurationController, "apply_export", lambda self, revision, data: False
    )
    return [mock.patch.object(ConfigurationController, "update", update), export_patch]


# Each function returns the patches that disable the mechanism behind a promise.
MUTATIONS: dict[str, Callable[[], list[Any]]] = {
    "cache_isolation": omit_cache_salt,
    "complete_streams": accept_truncation,
    "warm_restart": delay_start,
    "own_answer": skip_answer_identity,
    "not_run": classify_every_error_as_not_run,
    "at_most_once": grant_every_claim,
    "leaving": ignore_leaving,
    "graceful_stop": stop_without_draining,
    "configuration": ignore_later_configurations,
}


@contextlib.contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Disable the mechanism behind a promise while the context is open."""
    with contextlib.ExitStack() as stack:
        for patch in MUTATIONS[name]() if name else []:
            stack.enter_context(patch)
        yield
