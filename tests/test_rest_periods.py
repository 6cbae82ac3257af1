import pytest

from primrosepier.forwarding.peer_headers import NOT_RUN_HEADER
from primrosepier.forwarding.peer_relay import make_peer_relay
from primrosepier.platform.replicas import PlatformDialect
from primrosepier.rest_periods import MARGIN_S, TRIAL_INTERVAL_S, RestPeriods


def test_an_endpoint_gets_no_request_before_its_rest_ends():
    rests = RestPeriods()
    rests.begin("e1", 1.5, 10.0)
    assert not rests.try_begin_request("e1", 10.0)
    assert not rests.try_begin_request("e1", 11.5)
    assert rests.compute_wait_s("e1", 11.0) == pytest.approx(0.5 + MARGIN_S)
    assert rests.try_begin_request("e2", 10.0)
    assert rests.try_begin_request("e1", 11.5 + MARGIN_S)


def test_a_shorter_rest_does_not_cut_a_longer_one():
    rests = RestPeriods()
    rests.begin("e1", 3.0, 10.0)
    for rest_s in (0.5, 0.0, -1.0):
        rests.begin("e1", rest_s, 11.0)
        assert rests.compute_wait_s("e1", 12.9) > 0
    rests.begin("e1", 3.0, 11.0)
    assert rests.compute_wait_s("e1", 13.9) > 0


def test_answers_to_requests_that_were_sent_before_do_not_end_a_rest():
    rests = RestPeriods()
    rests.begin("e1", 1.0, 10.0)
    rests.record_answer("e1", 9.5)
    assert not rests.try_begin_request("e1", 10.5)
    assert rests.try_begin_request("e1", 11.1)
    rests.record_answer("e1", 9.5)
    assert not rests.try_begin_request("e1", 11.1)


def test_requests_return_one_at_a_time_until_one_is_answered():
    rests = RestPeriods()
    rests.begin("e1", 1.0, 10.0)
    assert [rests.try_begin_request("e1", 11.1) for _ in range(5)].count(True) == 1
    lapsed_s = 11.1 + TRIAL_INTERVAL_S
    assert [rests.try_begin_request("e1", lapsed_s) for _ in range(5)].count(True) == 1
    rests.record_answer("e1", lapsed_s)
    assert all(rests.try_begin_request("e1", lapsed_s) for _ in range(5))


def test_a_rest_that_is_named_again_by_the_first_answer_counts_anew():
    rests = RestPeriods()
    rests.begin("e1", 1.0, 10.0)
    assert rests.try_begin_request("e1", 11.1)
    rests.begin("e1", 0.5, 11.2)
    assert not rests.try_begin_request("e1", 11.7)
    assert rests.try_begin_request("e1", 11.8)


def test_unregistered_endpoints_are_forgotten_when_their_rest_has_ended():
    rests = RestPeriods()
    rests.begin("e1", 1.0, 10.0)
    rests.retain(["e2"], 10.5)
    assert rests.count_resting(10.5) == 1
    rests.retain(["e1"], 11.5)
    assert rests.periods
    rests.retain(["e2"], 11.5)
    assert not rests.periods


@pytest.mark.parametrize(
    ("status", "rest_s"), [(503, 1.5), (429, None), (421, None), (200, None)]
)
def test_only_replicas_that_turn_calls_away_with_503_ask_for_rest(status, rest_s):
    head = PlatformDialect().read_head(status, [(b"Retry-After", b"1.5")])
    assert (head.rest.rest_s if head.rest else None) == rest_s


def test_a_refusal_of_another_router_asks_for_no_rest():
    dialect = make_peer_relay(None, PlatformDialect(), None, None).sender.dialect
    headers = [(b"retry-after", b"1.5"), (NOT_RUN_HEADER, b"1")]
    assert dialect.read_head(503, headers).rest is None


def test_an_endpoint_is_unproven_for_a_time_until_it_answers_after_its_rest():
    rests = RestPeriods()
    assert not rests.is_unproven("e1", 0.0)
    rests.begin("e1", 1.0, 0.0)
    assert rests.is_unproven("e1", 1.5)
    assert not rests.is_unproven("e1", 3.0)
    rests.record_answer("e1", 1.5)
    assert not rests.is_unproven("e1", 1.6)
