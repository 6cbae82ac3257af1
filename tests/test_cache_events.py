import random

from hypothesis import given, settings, strategies as st

from primrosepier.cache_events import CacheEvent, CacheEventIndex, CacheEventKind

STORED, EVICTED = CacheEventKind.STORED, CacheEventKind.EVICTED
SETTINGS = settings(derandomize=True, deadline=None, max_examples=60)


def make_event(sequence, block, kind=STORED, incarnation="1", version="1"):
    return CacheEvent("e", incarnation, version, sequence, kind, block)


def count_held(index, *blocks):
    numbered = list(reversed(list(enumerate(blocks, start=1))))
    return index.count_held("e", numbered)


def test_stored_blocks_are_held_until_evicted():
    index = CacheEventIndex()
    index.apply(make_event(1, 10))
    index.apply(make_event(2, 11))
    assert count_held(index, 10, 11) == 2
    index.apply(make_event(3, 11, EVICTED))
    assert count_held(index, 10, 11) == 1


def test_a_large_gap_in_the_sequence_clears_the_blocks():
    index = CacheEventIndex()
    index.apply(make_event(1, 10))
    index.apply(make_event(9, 11))
    assert count_held(index, 10) == 0
    assert not index.is_complete("e")


def test_an_older_event_changes_nothing():
    index = CacheEventIndex()
    index.apply(make_event(5, 10))
    index.apply(make_event(4, 10, EVICTED))
    assert count_held(index, 10) == 1


@SETTINGS
@given(
    st.lists(
        st.tuples(
            st.integers(1, 3), st.integers(1, 2), st.integers(1, 6), st.booleans()
        ),
        max_size=60,
    )
)
def test_blocks_are_dropped_when_the_incarnation_or_version_changes(steps):
    index = CacheEventIndex()
    stored_blocks = {}
    current = ("1", "1")
    for sequence, (incarnation, version, block, stored) in enumerate(steps, start=1):
        seen = (str(incarnation), str(version))
        if seen != current:
            stored_blocks.clear()
            current = seen
        kind = STORED if stored else EVICTED
        index.apply(make_event(sequence, block, kind, *seen))
        stored_blocks[block] = stored
        assert index.has_events("e", *seen)
        for other in range(1, 7):
            held = count_held(index, other) == 1
            assert held == stored_blocks.get(other, False)


def test_memory_is_bounded():
    index = CacheEventIndex()
    rng = random.Random(1)
    for number in range(1, 6000):
        index.apply(make_event(number, rng.getrandbits(64)))
    assert len(index.streams["e"].blocks) <= 2048
    assert len(index.holders) <= 2048
