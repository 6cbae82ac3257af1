from hypothesis import given, settings, strategies as st

from primrosepier.suspects import (
    CONFIRMED_QUARANTINE_S,
    MAX_LOST_ENDPOINTS,
    Allowed,
    Quarantined,
    SuspectTable,
    compute_fingerprint,
)


def crash(table, fingerprint, endpoint, now_s, domain="d"):
    raised = table.record_loss(fingerprint, endpoint, domain, now_s)
    table.record_end(fingerprint, endpoint, False)
    return raised


def test_a_fingerprint_differs_between_workspaces():
    assert compute_fingerprint("a", b"x") != compute_fingerprint("b", b"x")


def test_a_request_is_quarantined_after_two_lost_endpoints():
    table = SuspectTable()
    for number in range(MAX_LOST_ENDPOINTS):
        assert isinstance(table.check(1, 10.0 * number), Allowed)
        table.record_start(1, f"e{number}")
        crash(table, 1, f"e{number}", 10.0 * number)
    assert isinstance(table.check(1, 20.0), Quarantined)
    assert table.suspicions[1].confirmed


def test_merged_suspicions_quarantine_the_request():
    first, second = SuspectTable(), SuspectTable()
    for number in range(MAX_LOST_ENDPOINTS):
        first.record_start(1, f"e{number}")
        second.merge(crash(first, 1, f"e{number}", 10.0 * number))
    assert isinstance(second.check(1, 20.0), Quarantined)


def test_complete_answer_clears_a_suspicion():
    table = SuspectTable()
    table.record_start(1, "a")
    table.record_start(2, "a")
    crash(table, 1, "a", 0.0)
    assert table.is_suspect(2, 0.0)
    table.record_end(2, "a", False)
    table.record_start(2, "b")
    table.record_end(2, "b", True)
    assert not table.is_suspect(2, 1.0)
    assert table.is_suspect(1, 1.0)


def test_one_crash_counts_once_for_all_requests_it_cut():
    table = SuspectTable()
    table.record_start(1, "a")
    table.record_start(2, "a")
    assert len(crash(table, 1, "a", 0.0)) == 2
    assert crash(table, 2, "a", 0.1) == []
    assert table.suspicions[2].lost == ("a",)


def test_lost_failure_domain_raises_no_suspicion():
    table = SuspectTable()
    for number in range(3):
        table.record_start(number, f"e{number}")
    for number in range(3):
        crash(table, number, f"e{number}", 0.1 * number)
    assert not table.suspicions


def test_suspicion_expires():
    table = SuspectTable()
    table.record_start(1, "a")
    crash(table, 1, "a", 0.0)
    assert table.is_suspect(1, 599.0)
    assert not table.is_suspect(1, 601.0)


@given(st.data())
@settings(derandomize=True, deadline=None, max_examples=150)
def test_crashing_request_loses_at_most_two_endpoints(data):
    """Run copies of one crashing request among harmless ones on five endpoints."""
    table = SuspectTable()
    crashing = 99
    lost = set()
    running = []
    for step in range(25):
        now_s = 3.0 * step
        fingerprint = data.draw(st.sampled_from([1, 2, 3, crashing]))
        allowed = table.check(fingerprint, now_s)
        if isinstance(allowed, Allowed):
            names = sorted(allowed.endpoints or ("a", "b", "c", "d", "e"))
            endpoint = data.draw(st.sampled_from(names))
            table.record_start(fingerprint, endpoint)
            running.append((fingerprint, endpoint))
        crashing_at = sorted({e for f, e in running if f == crashing})
        if crashing_at and data.draw(st.booleans()):
            crashed = data.draw(st.sampled_from(crashing_at))
            lost.add(crashed)
            for f, e in [entry for entry in running if entry[1] == crashed]:
                crash(table, f, e, now_s, domain=crashed)
            running = [entry for entry in running if entry[1] != crashed]
    assert CONFIRMED_QUARANTINE_S > 3.0 * 25
    assert len(lost) <= MAX_LOST_ENDPOINTS
