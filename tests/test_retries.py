import random

from primrosepier.outcomes import Interrupted, NotRun, Step, UnknownOutcome
from primrosepier.retries import GiveUp, RetryAfter, RetryBudget, decide_retry

NOT_RUN = NotRun(Step.CONNECT, "e", "refused")
UNKNOWN = UnknownOutcome(Step.HEADERS, "e", "lost")


def decide(outcome, attempts=1, idempotent=True, budget=None):
    return decide_retry(
        outcome, attempts, idempotent, budget or RetryBudget(), random.Random(1)
    )


def test_unknown_outcome_is_retried_only_when_idempotent():
    assert isinstance(decide(UNKNOWN), RetryAfter)
    assert isinstance(decide(UNKNOWN, idempotent=False), GiveUp)
    assert isinstance(decide(NOT_RUN, idempotent=False), RetryAfter)


def test_interrupted_answer_and_third_failure_are_final():
    assert isinstance(decide(Interrupted(Step.RELAY, "e", "cut")), GiveUp)
    assert isinstance(decide(NOT_RUN, attempts=3), GiveUp)


def test_retry_budget_allows_a_tenth_of_the_requests():
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += isinstance(decide(NOT_RUN, budget=budget), RetryAfter)
    assert retries <= 0.1 * 1000 + 10
