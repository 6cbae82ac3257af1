"""Windows of calls in progress at brittle endpoints."""

from primrosepier.endpoint_windows import (
    EXTRA_CALLS,
    HOLDER_TTL_S,
    REFUSAL_PAUSE_S,
    RETENTION_S,
    Brittleness,
    EndpointWindows,
)

ENDPOINT = "e1"
BRITTLE = Brittleness(8.0, 4)


def fill(windows, holder="front-1", now_s=0.0):
    """Take permits until one is refused; return their number."""
    held = 0
    while grant(windows, holder, held + 1, now_s) == 0:
        held += 1
    return held


def grant(windows, holder, held, now_s, brittleness=BRITTLE):
    return windows.grant(ENDPOINT, brittleness, holder, held, 3, now_s)


def test_routers_together_get_the_slots_and_little_more():
    windows = EndpointWindows()
    assert fill(windows, "front-1") == BRITTLE.slots + EXTRA_CALLS
    assert grant(windows, "front-2", 1, 0.0) > 0
    windows.record_end(ENDPOINT, "front-1", BRITTLE.slots, False, 0.01)
    assert grant(windows, "front-2", 1, 0.01) == 0


def test_a_refusal_shrinks_the_window_to_what_was_taken():
    windows = EndpointWindows()
    held = fill(windows)
    windows.record_end(ENDPOINT, "front-1", held - 1, True, 0.0)
    assert windows.windows[ENDPOINT].limit == held - 1
    assert grant(windows, "front-1", held, 0.0) > 0


def test_growth_causes_far_fewer_refusals_than_the_endpoint_survives():
    windows = EndpointWindows()
    room = fill(windows)
    refusals = 0
    for step in range(1000):
        now_s = step / 100
        if grant(windows, "front-1", room + 1, now_s) == 0:
            refusals += 1
            windows.record_end(ENDPOINT, "front-1", room, True, now_s)
    assert 0 < refusals <= 0.25 * BRITTLE.refusals_per_s * 10


def test_a_window_that_is_not_full_does_not_grow():
    windows = EndpointWindows()
    for step in range(100):
        assert grant(windows, "front-1", 1, float(step)) == 0
    assert windows.windows[ENDPOINT].limit == BRITTLE.slots + EXTRA_CALLS


def test_calls_of_routers_that_are_gone_or_silent_do_not_count():
    windows = EndpointWindows()
    held = fill(windows)
    windows.retain_holders({"front-2"})
    assert fill(windows, "front-2") == held
    assert grant(windows, "front-3", 1, HOLDER_TTL_S) == 0


def test_an_older_word_of_another_router_does_not_bring_brittleness_back():
    windows, other = EndpointWindows(), EndpointWindows()
    other.record_answer(ENDPOINT, BRITTLE, 0.0)
    windows.merge(other.make_summary(1.0), 1.0)
    assert windows.get_brittleness(ENDPOINT) == BRITTLE
    assert windows.record_answer(ENDPOINT, None, 2.0)
    windows.merge(other.make_summary(3.0), 3.0)
    assert windows.get_brittleness(ENDPOINT) is None


def test_an_endpoint_whose_entry_lapses_stays_brittle_and_full():
    windows = EndpointWindows()
    windows.record_answer(ENDPOINT, BRITTLE, 0.0)
    held = fill(windows)
    windows.retain([], 1.0)
    assert windows.get_brittleness(ENDPOINT) == BRITTLE
    assert windows.windows[ENDPOINT].count_held(1.0) == held
    windows.retain([], RETENTION_S)
    assert windows.get_brittleness(ENDPOINT) is None


def test_calls_that_run_for_long_keep_their_place():
    windows = EndpointWindows()
    held = fill(windows)
    assert windows.windows[ENDPOINT].count_held(60.0) == held


def test_a_call_may_ask_again_as_soon_as_one_of_many_short_calls_ends():
    windows = EndpointWindows()
    held = fill(windows)
    for step in range(40):
        now_s = 0.005 * step
        windows.record_end(ENDPOINT, "front-1", held - 1, False, now_s)
        assert grant(windows, "front-1", held, now_s) == 0
    assert 0 < grant(windows, "front-1", held + 1, 0.05) <= 0.008


def test_calls_that_a_granter_does_not_know_of_do_not_cause_refusals_in_a_row():
    windows = EndpointWindows()
    assert grant(windows, "front-1", 1, 0.0) == 0
    windows.record_end(ENDPOINT, "front-1", 0, True, 0.0)
    assert grant(windows, "front-2", 1, 0.01) > 0
    windows.record_end(ENDPOINT, "front-3", 1, False, 0.02)
    windows.record_end(ENDPOINT, "front-3", 0, False, 0.03)
    assert grant(windows, "front-2", 1, 0.04) == 0
    windows.record_end(ENDPOINT, "front-2", 0, True, 0.05)
    assert grant(windows, "front-2", 1, 0.06) > 0
    assert grant(windows, "front-2", 1, 0.05 + REFUSAL_PAUSE_S) == 0
