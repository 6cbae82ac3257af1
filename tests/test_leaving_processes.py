"""Which processes of replicas are leaving by their own word, without a network."""

from dataclasses import replace

from forwarding_samples import make_replica

from primrosepier.forwarding.leaving import RETENTION_S, LeavingReplicas

DRAIN_S = 2.0
FIRST, SECOND = (replace(make_replica(name), born_ms=5) for name in ("r0", "r1"))


def make_leaving(*replicas):
    leaving = LeavingReplicas(DRAIN_S)
    for replica in replicas:
        leaving.record(replica, 1.0)
    return leaving


def test_a_leaving_replica_is_left_out_while_another_stays():
    leaving = make_leaving(FIRST)
    for now_s in (1.0, 1.0 + DRAIN_S, 100.0):
        assert list(leaving.select([FIRST, SECOND], now_s)) == [SECOND]


def test_leaving_replicas_are_a_last_resort_within_their_drain_time():
    leaving = make_leaving(FIRST)
    leaving.record(SECOND, 2.0)
    assert list(leaving.select([FIRST, SECOND], 1.0 + DRAIN_S)) == [FIRST, SECOND]
    assert list(leaving.select([FIRST, SECOND], 1.1 + DRAIN_S)) == [SECOND]
    assert not leaving.select([FIRST, SECOND], 2.1 + DRAIN_S)


def test_a_later_answer_does_not_extend_the_drain_time():
    leaving = make_leaving(FIRST)
    leaving.record(FIRST, 2.5)
    assert not leaving.select([FIRST], 1.1 + DRAIN_S)


def test_a_replica_is_told_of_once_for_each_of_its_starts():
    told = []
    leaving = LeavingReplicas(DRAIN_S, told.append)
    restarted = replace(FIRST, born_ms=6)
    for replica in (FIRST, FIRST, restarted):
        leaving.record(replica, 1.0)
    assert told == [FIRST, restarted]


def test_a_new_start_or_another_id_at_the_address_owes_nothing():
    leaving = make_leaving(FIRST)
    assert not leaving.is_leaving(replace(FIRST, born_ms=6))
    assert not leaving.is_leaving(replace(SECOND, address=FIRST.address))


def test_an_entry_of_the_same_process_that_says_ready_does_not_revoke_the_word():
    leaving = make_leaving(FIRST)
    leaving.retain([replace(FIRST, draining=True)], 2.0)
    leaving.retain([replace(FIRST, slots=9)], 3.0)
    assert leaving.is_leaving(FIRST)


def test_an_entry_that_comes_back_is_leaving_unless_its_start_is_unknown():
    unknown = replace(SECOND, born_ms=0)
    leaving = make_leaving(FIRST, unknown)
    leaving.retain([FIRST, unknown], 2.0)
    assert leaving.is_leaving(FIRST) and leaving.is_leaving(unknown)
    leaving.retain([], 3.0)
    assert leaving.is_leaving(FIRST)
    assert not leaving.is_leaving(unknown)


def test_processes_that_are_gone_are_forgotten():
    leaving = make_leaving(FIRST, SECOND)
    leaving.retain([SECOND], 2.0 + RETENTION_S)
    assert list(leaving.told_at_s) == [(SECOND.id, SECOND.born_ms)]
