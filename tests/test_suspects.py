from hypothesis import given, settings, strategies as st

from primrosepier.suspects import (
    CONFIRMED_QUARANTINE_S,
    MAX_LOST,
    Allowed,
    Quarantined,
    SuspectLedger,
    compute_fingerprint,
)


def crash(ledger, fingerprint, endpoint, now_s, domain="d"):
    raised = ledger.record_loss(fingerprint, endpoint, domain, now_s)
    ledger.record_end(fingerprint, endpoint, False)
    return raised


def test_a_fingerprint_differs_between_workspaces():
    assert compute_fingerprint("a", b"x") != compute_fingerprint("b", b"x")


def test_a_request_is_quarantined_after_two_endpoints():
    ledger = SuspectLedger()
    for number in range(MAX_LOST):
        assert isinstance(ledger.check(1, 10.0 * number), Allowed)
        ledger.record_start(1, f"e{number}")
        crash(ledger, 1, f"e{number}", 10.0 * number)
    assert isinstance(ledger.check(1, 20.0), Quarantined)
    assert ledger.suspicions[1].confirmed


def test_another_router_that_was_told_refuses_the_request():
    first, second = SuspectLedger(), SuspectLedger()
    for number in range(MAX_LOST):
        first.record_start(1, f"e{number}")
        second.merge(crash(first, 1, f"e{number}", 10.0 * number))
    assert isinstance(second.check(1, 20.0), Quarantined)


def test_an_innocent_request_is_cleared_by_its_next_answer():
    ledger = SuspectLedger()
    ledger.record_start(1, "a")
    ledger.record_start(2, "a")
    crash(ledger, 1, "a", 0.0)
    assert ledger.is_suspect(2, 0.0)
    ledger.record_end(2, "a", False)
    ledger.record_start(2, "b")
    ledger.record_end(2, "b", True)
    assert not ledger.is_suspect(2, 1.0)
    assert ledger.is_suspect(1, 1.0)


def test_one_crash_is_counted_once_however_many_requests_it_cut():
    ledger = SuspectLedger()
    ledger.record_start(1, "a")
    ledger.record_start(2, "a")
    assert len(crash(ledger, 1, "a", 0.0)) == 2
    assert crash(ledger, 2, "a", 0.1) == []
    assert ledger.suspicions[2].lost == ("a",)


def test_a_lost_failure_domain_raises_no_suspicion():
    ledger = SuspectLedger()
    for number in range(3):
        ledger.record_start(number, f"e{number}")
    for number in range(3):
        crash(ledger, number, f"e{number}", 0.1 * number)
    assert not ledger.suspicions


def test_false_suspicion_ends_by_itself():
    ledger = SuspectLedger()
    ledger.record_start(1, "a")
    crash(ledger, 1, "a", 0.0)
    assert ledger.is_suspect(1, 599.0)
    assert not ledger.is_suspect(1, 601.0)


@given(st.data())
@settings(derandomize=True, deadline=None, max_examples=150)
def test_a_crashing_request_takes_at_most_two_endpoints(data):
    """Copies of one guilty request among innocent ones, over five endpoints."""
    ledger = SuspectLedger()
    guilty = 99
    lost = set()
    running = []
    for step in range(25):
        now_s = 3.0 * step
        fingerprint = data.draw(st.sampled_from([1, 2, 3, guilty]))
        allowed = ledger.check(fingerprint, now_s)
        if isinstance(allowed, Allowed):
            names = sorted(allowed.only or ("a", "b", "c", "d", "e"))
            endpoint = data.draw(st.sampled_from(names))
            ledger.record_start(fingerprint, endpoint)
            running.append((fingerprint, endpoint))
        guilty_at = sorted({e for f, e in running if f == guilty})
        if guilty_at and data.draw(st.booleans()):
            crashed = data.draw(st.sampled_from(guilty_at))
            lost.add(crashed)
            for f, e in [entry for entry in running if entry[1] == crashed]:
                crash(ledger, f, e, now_s, domain=crashed)
            running = [entry for entry in running if entry[1] != crashed]
    assert CONFIRMED_QUARANTINE_S > 3.0 * 25
    assert len(lost) <= MAX_LOST
