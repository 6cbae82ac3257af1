"""Causes of losses, from what lost requests have in common."""

import msgspec

from primrosepier.crash_causes import MIN_LOSSES, Fingerprints
from primrosepier.loss_log import (
    HOLD_S,
    LOSS_TTL_S,
    MAX_LOSSES,
    SURVIVAL_S,
    LossLog,
    LossReport,
)

CRASHING = 99
FIRST = 50


def make_request(number, *parts):
    return Fingerprints(1000 + number, parts)


def lose_requests(log, count=MIN_LOSSES, parts=(FIRST, CRASHING), from_s=10.0):
    """Lose requests one after the other; return the time of the last loss."""
    for number in range(count):
        at_s = from_s + number
        request = make_request(number, *parts)
        log.record_loss(request, f"e{number}", at_s - 0.1, at_s)
    return from_s + count - 1


def is_quarantined(log, *parts, now_s=20.0, request=1):
    return log.compute_quarantine_s(make_request(request, *parts), now_s) is not None


def exchange(sender, receiver, now_s):
    data = msgspec.msgpack.encode(sender.make_report(now_s))
    receiver.merge(msgspec.msgpack.decode(data, type=LossReport), now_s)


def test_a_part_of_requests_lost_one_after_the_other_is_a_cause():
    log = LossLog()
    lose_requests(log, MIN_LOSSES - 1)
    assert not is_quarantined(log, FIRST, CRASHING)
    lose_requests(log)
    assert is_quarantined(log, 7, CRASHING)


def test_an_answered_part_is_no_cause():
    log = LossLog()
    log.record_answer(make_request(8, FIRST, 3), "e9", 9.0, 9.5)
    lose_requests(log)
    assert is_quarantined(log, CRASHING, now_s=12.2)
    assert not is_quarantined(log, FIRST, 3, now_s=12.2)
    log.record_answer(make_request(9, FIRST, CRASHING), "e9", 12.5, 13.0)
    assert not is_quarantined(log, FIRST, CRASHING)


def test_requests_lost_at_the_same_time_are_no_proof():
    log = LossLog()
    for number in range(6):
        at_s = 10.0 + 0.01 * number
        log.record_loss(make_request(number, CRASHING), f"e{number}", 9.5, at_s)
    assert not is_quarantined(log, CRASHING)


def test_endpoints_lost_together_are_no_proof_if_one_did_not_run_the_part():
    log = LossLog()
    for number in range(MIN_LOSSES):
        at_s = 10.0 + number
        log.record_loss(make_request(number, CRASHING), "e0", at_s - 0.1, at_s)
        log.record_loss(make_request(50 + number, 3), "e1", at_s - 0.1, at_s + 0.01)
    assert not is_quarantined(log, CRASHING)


def test_a_request_is_proved_while_others_crash_endpoints_at_the_same_moments():
    log = LossLog()
    for number in range(MIN_LOSSES):
        at_s = 10.0 + number
        for request in range(3):
            lost = make_request(request), f"e{number}-{request}"
            log.record_loss(*lost, at_s - 0.1, at_s + 0.01 * request)
    assert all(is_quarantined(log, request=request) for request in range(3))


def test_a_request_lost_with_causes_that_were_lost_more_often_is_no_cause():
    log = LossLog()
    for number in range(2 * MIN_LOSSES):
        at_s = 10.0 + number
        log.record_loss(make_request(0), f"e{number}", at_s - 0.1, at_s)
        if number < MIN_LOSSES:
            log.record_loss(make_request(1), f"e{number}", at_s - 0.1, at_s)
    assert is_quarantined(log, request=0)
    assert not is_quarantined(log, request=1)


def test_a_request_lost_twice_does_not_crash_endpoints_until_they_are_back():
    log = LossLog()
    for number in range(2):
        at_s = 10.0 + number
        log.record_loss(make_request(0), f"e{number}", at_s - 0.1, at_s)
        log.record_loss(make_request(1 + number), f"e{number}", at_s - 0.1, at_s)
    assert is_quarantined(log, request=0, now_s=11.1)
    assert not is_quarantined(log, request=1, now_s=11.1)
    assert not is_quarantined(log, request=0, now_s=11.0 + HOLD_S + 0.1)


def test_one_endpoint_is_no_proof():
    log = LossLog()
    for number in range(6):
        at_s = 10.0 + 3.0 * number
        log.record_loss(make_request(number, CRASHING), "e0", at_s - 0.1, at_s)
    assert not is_quarantined(log, CRASHING, now_s=30.0)


def test_two_endpoints_that_crash_again_and_again_are_proof():
    log = LossLog()
    for number in range(MIN_LOSSES):
        at_s = 10.0 + 3.0 * number
        for endpoint in ("e0", "e1"):
            log.record_loss(make_request(number, CRASHING), endpoint, at_s, at_s)
    assert is_quarantined(log, CRASHING)


def test_an_endpoint_that_goes_on_with_an_answer_has_not_crashed():
    log, peer = LossLog(), LossLog()
    now_s = lose_requests(log)
    exchange(log, peer, now_s)
    ended_s = now_s + SURVIVAL_S + 0.1
    log.record_answer(make_request(9, 4), f"e{MIN_LOSSES - 1}", now_s - 0.2, ended_s)
    assert not is_quarantined(log, CRASHING)
    exchange(log, peer, ended_s)
    assert not is_quarantined(peer, CRASHING)


def test_repeats_of_one_request_prove_it_but_not_its_parts():
    log = LossLog()
    for number in range(MIN_LOSSES):
        at_s = 10.0 + number
        log.record_loss(make_request(0, CRASHING), f"e{number}", at_s - 0.1, at_s)
    assert is_quarantined(log, CRASHING, request=0)
    assert not is_quarantined(log, CRASHING, request=1)


def test_losses_with_a_cause_prove_nothing_of_other_parts():
    log = LossLog()
    for number in range(6):
        at_s = 10.0 + number
        sent_at_s = at_s - 0.1
        endpoint = f"e{number}"
        log.record_loss(make_request(number, CRASHING), endpoint, sent_at_s, at_s)
        if number % 2:
            log.record_loss(make_request(50 + number, 3), endpoint, sent_at_s, at_s)
    assert is_quarantined(log, CRASHING)
    assert not is_quarantined(log, 3)


def test_losses_of_several_routers_make_a_cause_at_all():
    logs = [LossLog() for _ in range(MIN_LOSSES)]
    for number, log in enumerate(logs):
        at_s = 10.0 + number
        log.record_loss(make_request(number, CRASHING), f"e{number}", at_s - 0.1, at_s)
        for peer in logs:
            if peer is not log:
                exchange(log, peer, at_s + 0.01)
    assert all(is_quarantined(log, CRASHING) for log in logs)


def test_a_router_that_starts_later_learns_the_causes():
    log = LossLog()
    lose_requests(log)
    now_s = 300.0
    for _ in range(2):
        log.make_report(now_s)
    assert not log.must_report(now_s + 10.0)
    started = LossLog()
    started.merge(log.make_summary(now_s), now_s)
    assert is_quarantined(started, CRASHING, now_s=now_s)


def test_changes_are_reported_twice():
    log = LossLog()
    now_s = lose_requests(log)
    assert log.must_report(now_s)
    assert len(log.make_report(now_s).losses) == MIN_LOSSES
    assert not log.must_report(now_s + 0.01)
    assert log.must_report(now_s + 1.0)
    assert len(log.make_report(now_s + 1.0).losses) == MIN_LOSSES
    assert not log.must_report(now_s + 9.0)


def test_an_answer_at_another_router_clears_a_part():
    log, peer = LossLog(), LossLog()
    now_s = lose_requests(log)
    exchange(log, peer, now_s)
    assert is_quarantined(peer, CRASHING)
    peer.record_answer(make_request(9, CRASHING), "e9", now_s + 0.5, now_s + 1.0)
    exchange(peer, log, now_s + 1.0)
    assert not is_quarantined(log, CRASHING)


def test_a_quarantine_ends_when_its_losses_are_old():
    log = LossLog()
    lose_requests(log, from_s=10.0)
    assert is_quarantined(log, CRASHING, now_s=10.0 + LOSS_TTL_S - 0.1)
    assert not is_quarantined(log, CRASHING, now_s=10.0 + LOSS_TTL_S + 0.1)


def test_a_cause_is_kept_among_many_other_losses():
    log = LossLog()
    lose_requests(log)
    for number in range(3 * MAX_LOSSES):
        at_s = 20.0 + number
        request = make_request(100 + number, 200 + number)
        log.record_loss(request, f"x{number % 2}", at_s - 0.1, at_s)
        assert is_quarantined(log, CRASHING, now_s=at_s)
    assert len(log.losses) <= MAX_LOSSES


def test_changes_of_the_causes_are_told():
    changes = []
    log = LossLog(lambda added, ended: changes.append((set(added), set(ended))))
    now_s = lose_requests(log)
    is_quarantined(log, CRASHING, now_s=now_s)
    log.record_answer(make_request(9, FIRST, CRASHING), "e9", now_s + 1.0, now_s + 2.0)
    is_quarantined(log, CRASHING)
    assert changes == [({CRASHING}, set()), (set(), {CRASHING})]


def test_a_report_fits_a_datagram():
    log = LossLog()
    for number in range(500):
        at_s = 10.0 + 0.001 * number
        parts = [number * 2**40 + part for part in range(4)]
        log.record_loss(
            Fingerprints(number * 2**50, tuple(parts)), f"e{number % 50}", 9.0, at_s
        )
    assert len(msgspec.msgpack.encode(log.make_report(11.0))) < 4000
