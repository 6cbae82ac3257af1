from dataclasses import replace

import pytest

from primrosepier.configuration import load_configuration
from primrosepier.demo import find_example
from primrosepier.hosts import decode_hosts, match_hosts
from primrosepier.leaving import (
    LeavingTable,
    ListedState,
    PeerLeavingState,
    ResponseKind,
)
from primrosepier.peers import PeerFailure

CONFIGURATION = load_configuration([find_example("keranvel")])
ENGINES = [f"note-writers-{n}" for n in range(1, 10)]
ANSWER, REPORT = ResponseKind.ANSWER, ResponseKind.LOAD_REPORT
ENDPOINTS = frozenset(CONFIGURATION.endpoints)


def make_list(leaving=(), dropped=()):
    states = dict.fromkeys(ENDPOINTS - set(dropped), ListedState.LIVE)
    states.update(dict.fromkeys(leaving, ListedState.LEAVING))
    return states


def make_table():
    table = LeavingTable()
    table.apply_host_list(make_list())
    return table


def decide(table, now_s=0.0):
    return table.decide(CONFIGURATION, now_s)


def test_endpoints_listed_as_leaving_or_dropped_get_no_new_requests():
    table = make_table()
    table.apply_host_list(make_list(leaving=ENGINES[:1], dropped=ENGINES[1:2]))
    assert decide(table).leaving == set(ENGINES[:2])
    table.apply_host_list(make_list())
    assert not decide(table).leaving


def test_an_endpoint_that_was_never_listed_is_not_dropped():
    table = LeavingTable()
    table.apply_host_list({ENGINES[0]: ListedState.LIVE})
    assert not decide(table).leaving


@pytest.mark.parametrize("states", [{}, make_list(dropped=ENGINES[:6])])
def test_a_list_that_drops_too_many_endpoints_is_rejected(states):
    table = make_table()
    table.apply_host_list(states)
    view = decide(table)
    assert not view.leaving & set(ENGINES)
    assert len(view.rejected & set(ENGINES)) >= 6


def test_earlier_accepted_entries_stay_when_the_list_becomes_empty():
    table = make_table()
    table.apply_host_list(make_list(leaving=ENGINES[:2]))
    decide(table)
    table.apply_host_list({})
    assert decide(table).leaving & set(ENGINES) == set(ENGINES[:2])


def test_announcements_of_all_endpoints_of_a_service_are_accepted():
    table = make_table()
    table.apply_host_list({})
    for endpoint in ENGINES:
        table.record_response(endpoint, ANSWER, True, 0.0)
    assert set(ENGINES) <= decide(table).leaving
    assert not decide(table, 61.0).announced


def test_a_later_answer_without_the_announcement_revokes_it():
    table = make_table()
    assert table.record_response(ENGINES[0], ANSWER, True, 0.0)
    assert not table.record_response(ENGINES[0], ANSWER, True, 1.0)
    assert not table.record_response(ENGINES[0], ANSWER, False, 2.0)
    assert decide(table, 2.0).leaving
    assert table.record_response(ENGINES[0], ANSWER, False, 5.0)
    assert not decide(table, 5.0).leaving


def test_load_reports_do_not_revoke_the_announcement_of_an_answer():
    table = make_table()
    table.record_response(ENGINES[0], ANSWER, True, 0.0)
    assert not table.record_response(ENGINES[0], REPORT, False, 10.0)
    assert decide(table, 59.0).leaving == {ENGINES[0]}
    assert not decide(table, 61.0).leaving


def test_entries_that_a_peer_revokes_are_removed():
    table = make_table()
    state = PeerLeavingState(frozenset(ENGINES[:1]), frozenset(ENGINES[1:2]), 10.0)
    table.record_peer_state("h", state)
    assert decide(table).leaving == set(ENGINES[:2])
    assert not decide(table, 11.0).leaving
    table.record_peer_state("h", replace(state, until_s=30.0))
    table.record_peer_state("h", PeerLeavingState(frozenset(), frozenset(), 30.0))
    assert not decide(table, 12.0).leaving


def test_entries_from_the_lists_of_peers_are_bounded_too():
    table = make_table()
    for number, endpoint in enumerate(ENGINES):
        state = PeerLeavingState(frozenset(), frozenset([endpoint]), 10.0)
        table.record_peer_state(f"h{number}", state)
    assert len(decide(table).leaving) <= len(ENGINES) // 2


def test_listed_hosts_are_matched_by_address():
    address = CONFIGURATION.endpoints[ENGINES[0]].address
    data = b'[{"targets": ["%s"], "labels": {"state": "leaving"}}]' % address.encode()
    states = match_hosts(decode_hosts(data), CONFIGURATION)
    assert states == {ENGINES[0]: ListedState.LEAVING}


@pytest.mark.parametrize(
    "data", [b"", b"{}", b'[{"targets": 1}]', b"\xff", b"[" * 9999]
)
def test_a_malformed_list_is_a_failure(data):
    assert isinstance(decode_hosts(data), PeerFailure)
