from primrosepier.ejection import FAILURES_TO_EJECT, Ejections

NAMES = [f"e{number}" for number in range(9)]


def fail(ejections, name, now_s):
    for _ in range(FAILURES_TO_EJECT):
        ejections.record_failure(name, now_s)


def test_at_most_a_third_of_the_endpoints_is_ejected():
    ejections = Ejections()
    for name in NAMES[:8]:
        fail(ejections, name, 0.0)
    assert len(ejections.list_ejected(NAMES, 0.0)) == 3


def test_failed_probe_ejects_the_endpoint_for_longer():
    ejections = Ejections()
    fail(ejections, "e0", 0.0)
    assert ejections.list_ejected(NAMES, 1.9) == {"e0"}
    assert ejections.list_ejected(NAMES, 2.1) == frozenset()
    ejections.record_failure("e0", 2.1)
    assert ejections.list_ejected(NAMES, 5.0) == {"e0"}


def test_a_slow_endpoint_is_ejected():
    ejections = Ejections()
    for _ in range(10):
        for name in NAMES:
            ejections.record_success(name, 0.5 if name == "e4" else 0.01, 0.0)
    assert ejections.list_ejected(NAMES, 0.1) == {"e4"}
