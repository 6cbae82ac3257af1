import random

from primrosepier.outcomes import Interrupted, NotRun, Step, UnknownOutcome
from primrosepier.retries import GiveUp, RetryAt, RetryBudget, decide_retry

NOT_RUN = NotRun(Step.CONNECT, "e", "refused")
UNKNOWN = UnknownOutcome(Step.HEADERS, "e", "lost")


def decide(outcome, attempts=1, idempotent=True, budget=None):
    return decide_retry(
        outcome, attempts, idempotent, budget or RetryBudget(), random.Random(1)
    )


def test_what_may_have_run_is_repeated_only_when_it_is_idempotent():
    assert isinstance(decide(UNKNOWN), RetryAt)
    assert isinstance(decide(UNKNOWN, idempotent=False), GiveUp)
    assert isinstance(decide(NOT_RUN, idempotent=False), RetryAt)


def test_an_interrupted_answer_and_a_third_failure_are_final():
    assert isinstance(decide(Interrupted(Step.RELAY, "e", "cut")), GiveUp)
    assert isinstance(decide(NOT_RUN, attempts=3), GiveUp)


def test_retries_are_a_tenth_of_the_requests_when_everything_fails():
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += isinstance(decide(NOT_RUN, budget=budget), RetryAt)
    assert retries <= 0.1 * 1000 + 10
