"""Whether and when a failed attempt is tried again."""

import random
from dataclasses import dataclass, replace

from .outcomes import Interrupted, NotRun, Outcome, Refused, UnknownOutcome

__all__ = ["GiveUp", "RetryAt", "RetryBudget", "decide_retry", "keep_unknown"]

DEPOSIT = 0.1
RESERVE = 10.0
MAX_ATTEMPTS = 3
BACKOFF_BASE_S = 0.025
BACKOFF_CAP_S = 1.0


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Try again at another endpoint after a delay, seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now.

    Parameters
    ----------
    reason : str
    """

    reason: str


@dataclass(slots=True)
class RetryBudget:
    """Retries in proportion to requests, so that failures do not multiply load.

    Each request adds a tenth of a retry; the reserve bounds what is saved up.
    """

    level: float = RESERVE

    def deposit(self) -> None:
        """Count a first attempt."""
        self.level = min(RESERVE, self.level + DEPOSIT)

    def withdraw(self) -> bool:
        """Take one retry, if there is one."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def decide_retry(
    outcome: Outcome,
    attempts: int,
    idempotent: bool,
    budget: RetryBudget,
    source: random.Random,
) -> RetryAt | GiveUp:
    """Decide after a failed attempt.

    Parameters
    ----------
    outcome : Outcome
        What the last attempt ended with, before the caller got a byte.
    attempts : int
        Attempts so far.
    idempotent : bool
        Whether the request may run more than once.
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
    return RetryAt(source.uniform(0, bound_s))


def keep_unknown(before: Outcome | None, outcome: Outcome) -> Outcome:
    """Return what all attempts together mean.

    A request that may have run in an earlier attempt did not become "not run" by a
    later attempt that was refused.
    """
    if isinstance(before, UnknownOutcome) and isinstance(outcome, NotRun):
        return replace(before, reason=f"{before.reason}; then {outcome.reason}")
    return outcome
