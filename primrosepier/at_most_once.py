"""Runs a request under a claim, so that it runs at most once."""

import time
from collections.abc import Awaitable, Callable

import anyio

from .claims import AlreadyClaimed, Claimed, ClaimEnd, Claims
from .errors import RequestError
from .ids import RequestId, WorkspaceId
from .log_events import ClaimSettled
from .logs import emit
from .outcomes import Completed, NotRun, Outcome, Refused, UnknownOutcome

__all__ = ["classify_end", "run_claimed", "claim_key"]

SERVER_ERROR = 500


def classify_end(outcome: Outcome | None) -> ClaimEnd:
    """Return how the only attempt under a claim ended.

    A refusal with a status below 500 counts as not run. Without an outcome, the end is
    unknown: the run was cancelled or raised an exception, or the caller disconnected.
    """
    if isinstance(outcome, NotRun):
        return ClaimEnd.NOT_RUN
    if isinstance(outcome, Refused) and outcome.status < SERVER_ERROR:
        return ClaimEnd.NOT_RUN
    if isinstance(outcome, Completed):
        return ClaimEnd.COMPLETED
    return ClaimEnd.UNKNOWN


async def claim_key(
    claims: Claims, workspace: WorkspaceId, key: str, request: RequestId
) -> Claimed | NotRun | UnknownOutcome:
    """Claim an idempotency key.

    Raises
    ------
    RequestError
        An earlier request with the key completed.
    """
    started_s = time.monotonic()
    result = await claims.claim(workspace, key, request)
    duration_s = time.monotonic() - started_s
    emit(ClaimSettled(request, workspace, type(result).__name__, duration_s))
    if isinstance(result, AlreadyClaimed):
        text = f"Request {result.request} with this Idempotency-Key ran to its end."
        raise RequestError(409, "already_run", text)
    return result


async def run_claimed(
    claims: Claims, claimed: Claimed, run: Callable[[], Awaitable[Outcome | None]]
) -> Outcome | None:
    """Run a request under its claim; settle the claim even if the run is cancelled."""
    outcome: Outcome | None = None
    try:
        outcome = await run()
        return outcome
    finally:
        with anyio.CancelScope(shield=True):
            await claims.settle(claimed, classify_end(outcome))
