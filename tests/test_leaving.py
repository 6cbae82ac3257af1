from dataclasses import replace

import pytest

from primrosepier.configuration import load_configuration
from primrosepier.demo import find_example
from primrosepier.hosts import decode_hosts, match_hosts
from primrosepier.leaving import LeavingTable, ListedState, PeerSigns, SignSource
from primrosepier.peers import PeerFailure

CONFIGURATION = load_configuration([find_example("keranvel")])
ENGINES = [f"note-writers-{n}" for n in range(1, 10)]
ANSWER, REPORT = SignSource.ANSWER, SignSource.LOAD_REPORT
EVERYTHING = frozenset(CONFIGURATION.endpoints)


def make_list(leaving=(), gone=()):
    states = dict.fromkeys(EVERYTHING - set(gone), ListedState.LIVE)
    states.update(dict.fromkeys(leaving, ListedState.LEAVING))
    return states


def make_ledger():
    ledger = LeavingTable()
    ledger.take_list(make_list())
    return ledger


def decide(ledger, now_s=0.0):
    return ledger.decide(CONFIGURATION, now_s)


def test_what_the_list_shows_as_leaving_or_dropped_gets_nothing_new():
    ledger = make_ledger()
    ledger.take_list(make_list(leaving=ENGINES[:1], gone=ENGINES[1:2]))
    assert decide(ledger).leaving == set(ENGINES[:2])
    ledger.take_list(make_list())
    assert not decide(ledger).leaving


def test_an_endpoint_that_was_never_listed_is_not_dropped():
    ledger = LeavingTable()
    ledger.take_list({ENGINES[0]: ListedState.LIVE})
    assert not decide(ledger).leaving


@pytest.mark.parametrize("states", [{}, make_list(gone=ENGINES[:6])])
def test_a_list_that_drops_too_many_is_not_believed(states):
    ledger = make_ledger()
    ledger.take_list(states)
    view = decide(ledger)
    assert not view.leaving & set(ENGINES)
    assert len(view.distrusted & set(ENGINES)) >= 6


def test_claims_believed_earlier_stay_when_the_list_goes_wrong():
    ledger = make_ledger()
    ledger.take_list(make_list(leaving=ENGINES[:2]))
    decide(ledger)
    ledger.take_list({})
    assert decide(ledger).leaving & set(ENGINES) == set(ENGINES[:2])


def test_an_endpoints_own_word_is_believed_for_all_of_a_service():
    ledger = make_ledger()
    ledger.take_list({})
    for endpoint in ENGINES:
        ledger.record_response(endpoint, ANSWER, True, 0.0)
    assert set(ENGINES) <= decide(ledger).leaving
    assert not decide(ledger, 61.0).signed


def test_a_later_answer_without_the_sign_ends_it():
    ledger = make_ledger()
    assert ledger.record_response(ENGINES[0], ANSWER, True, 0.0)
    assert not ledger.record_response(ENGINES[0], ANSWER, True, 1.0)
    assert not ledger.record_response(ENGINES[0], ANSWER, False, 2.0)
    assert decide(ledger, 2.0).leaving
    assert ledger.record_response(ENGINES[0], ANSWER, False, 5.0)
    assert not decide(ledger, 5.0).leaving


def test_load_reports_without_the_sign_do_not_end_that_of_an_answer():
    ledger = make_ledger()
    ledger.record_response(ENGINES[0], ANSWER, True, 0.0)
    assert not ledger.record_response(ENGINES[0], REPORT, False, 10.0)
    assert decide(ledger, 59.0).leaving == {ENGINES[0]}
    assert not decide(ledger, 61.0).leaving


def test_what_a_peer_takes_back_is_forgotten():
    ledger = make_ledger()
    told = PeerSigns(frozenset(ENGINES[:1]), frozenset(ENGINES[1:2]), 10.0)
    ledger.merge("h", told)
    assert decide(ledger).leaving == set(ENGINES[:2])
    assert not decide(ledger, 11.0).leaving
    ledger.merge("h", replace(told, until_s=30.0))
    ledger.merge("h", PeerSigns(frozenset(), frozenset(), 30.0))
    assert not decide(ledger, 12.0).leaving


def test_the_claims_of_peers_lists_are_bounded_too():
    ledger = make_ledger()
    for number, endpoint in enumerate(ENGINES):
        told = PeerSigns(frozenset(), frozenset([endpoint]), 10.0)
        ledger.merge(f"h{number}", told)
    assert len(decide(ledger).leaving) <= len(ENGINES) // 2


def test_hosts_are_found_by_address():
    address = CONFIGURATION.endpoints[ENGINES[0]].address
    data = b'[{"targets": ["%s"], "labels": {"state": "leaving"}}]' % address.encode()
    states = match_hosts(decode_hosts(data), CONFIGURATION)
    assert states == {ENGINES[0]: ListedState.LEAVING}


@pytest.mark.parametrize(
    "data", [b"", b"{}", b'[{"targets": 1}]', b"\xff", b"[" * 9999]
)
def test_a_malformed_list_is_a_failure(data):
    assert isinstance(decode_hosts(data), PeerFailure)
