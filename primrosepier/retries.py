"""Retry policy for failed attempts."""

import random
from dataclasses import dataclass, replace

from .outcomes import Interrupted, NotRun, Outcome, Refused, UnknownOutcome

__all__ = ["GiveUp", "RetryAfter", "RetryBudget", "decide_retry", "merge_outcomes"]

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0
MAX_ATTEMPTS = 3
BACKOFF_BASE_S = 0.025
BACKOFF_CAP_S = 1.0


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Decision to retry at another endpoint after a delay in seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision to return the outcome to the caller without a retry.

    Parameters
    ----------
    reason : str
    """

    reason: str


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a share of requests, so that failures do not multiply load.

    Each request adds a tenth of a retry, up to `MAX_SAVED_RETRIES`.
    """

    level: float = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Count a first attempt."""
        self.level = min(MAX_SAVED_RETRIES, self.level + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """Take one retry from the budget and return whether there was one."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def decide_retry(
    outcome: Outcome,
    attempts: int,
    idempotent: bool,
    budget: RetryBudget,
    rng: random.Random,
) -> RetryAfter | GiveUp:
    """Decide whether to retry a failed attempt, and after which delay.

    Parameters
    ----------
    outcome : Outcome
        Combined outcome of the attempts so far.
    attempts : int
        Number of attempts so far.
    idempotent : bool
        Whether the request may be executed more than once.
    """
    if isinstance(outcome, Refused | Interrupted) or not isinstance(
        outcome, NotRun | UnknownOutcome
    ):
        return GiveUp("the outcome is final")
    if isinstance(outcome, UnknownOutcome) and not idempotent:
        return GiveUp("the request may have run and may not be repeated")
    if attempts >= MAX_ATTEMPTS:
        return GiveUp("the attempts are used up")
    if not budget.withdraw():
        return GiveUp("the retry budget is used up")
    bound_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** (attempts - 1))
    return RetryAfter(rng.uniform(0, bound_s))


def merge_outcomes(earlier: Outcome | None, outcome: Outcome) -> Outcome:
    """Return the combined outcome of an earlier attempt and a later one.

    When an earlier attempt may have been executed, the outcome stays unknown even if
    a later attempt did not run.
    """
    if isinstance(earlier, UnknownOutcome) and isinstance(outcome, NotRun):
        return replace(earlier, reason=f"{earlier.reason}; then {outcome.reason}")
    return outcome
