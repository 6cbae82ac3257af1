import pytest
from hypothesis import given, settings, strategies as st

from primrosepier.limits import Demand, Limited, WorkspaceLimiter, compute_share


@given(st.lists(st.floats(0.1, 100), min_size=1, max_size=40))
@settings(derandomize=True, deadline=None)
def test_shares_of_all_routers_add_up_to_the_limit(rates):
    total = sum(rates)
    shares = [
        compute_share(60, rate, Demand(total - rate, len(rates), 0.0), 0.0)
        for rate in rates
    ]
    assert sum(shares) == pytest.approx(60, rel=1e-6)


def run_routers(routers, limit_per_s, offered_per_s, seconds):
    """Return the admitted requests per second of routers that share reports."""
    limiters = [WorkspaceLimiter() for _ in range(routers)]
    admitted = 0
    step_s = 1 / (offered_per_s * routers)
    for number in range(int(seconds * offered_per_s * routers)):
        now_s = number * step_s
        index = number % routers
        demands = [x.list_demand(now_s).get("w", 0.0) for x in limiters]
        others = Demand(sum(demands) - demands[index], routers, now_s)
        outcome = limiters[index].admit("w", limit_per_s, 0, others, now_s)
        if not isinstance(outcome, Limited):
            admitted += 1
            limiters[index].release("w")
    return admitted / seconds


def test_a_limit_holds_over_seven_routers():
    assert run_routers(7, 20, 10, 30) <= 20 * 1.1


def test_a_workspace_below_its_limit_is_not_limited():
    assert run_routers(7, 100, 10, 10) >= 70 * 0.97


def test_concurrent_requests_are_bounded():
    limiter = WorkspaceLimiter()
    no_peers = Demand(0.0, 1, 0.0)
    assert limiter.admit("w", 0, 2, no_peers, 0.0) is None
    assert limiter.admit("w", 0, 2, no_peers, 0.0) is None
    assert isinstance(limiter.admit("w", 0, 2, no_peers, 0.0), Limited)
    limiter.release("w")
    assert limiter.admit("w", 0, 2, no_peers, 0.0) is None
