"""Choice of replicas, and what is known of prefixes, without a network."""

import time
from dataclasses import replace

import msgspec
from forwarding_samples import (
    DOMAINS,
    LONG,
    choose,
    make_call,
    make_chooser,
    make_replica,
    make_replicas,
)

from primrosepier.forwarding.peers import PeerDirectory, WorkExchange, WorkReport
from primrosepier.forwarding.prefixes import PrefixIndex, Reading, list_prefixes
from primrosepier.forwarding.replica_choice import ChoiceKind
from primrosepier.forwarding.replica_load import ReplicaLoadTable


def test_idle_routers_agree_on_the_home_of_a_prompt():
    replicas = make_replicas(9)
    for number in range(50):
        parts = ((f"history-{number}", 12_000), ("note", 3_000))
        homes = {
            choose(make_chooser(d, seed), make_call(parts), replicas).replica.id
            for seed, d in enumerate(DOMAINS)
        }
        assert len(homes) == 1


def test_homes_are_spread_and_most_stay_when_a_replica_goes():
    replicas = make_replicas(9)
    chooser = make_chooser()

    def find_homes(found):
        return [
            choose(chooser, make_call(((f"p{n}", 12_000), ("x", 10))), found).replica.id
            for n in range(200)
        ]

    before, after = find_homes(replicas), find_homes(replicas[:-1])
    assert len(set(before)) == 9
    moved = [b for b, a in zip(before, after, strict=True) if b != a]
    assert all(home == "r8" for home in moved)


def test_a_home_with_much_more_work_than_a_recomputation_is_passed_over():
    replicas = make_replicas(9)
    chooser = make_chooser()
    home = choose(chooser, make_call(LONG), replicas)
    assert home.kind is ChoiceKind.HOME
    assert home.uncached_tokens == 15_000
    chooser.loads.begin(home.replica.id, 200_000)
    other = choose(chooser, make_call(LONG), replicas)
    assert other.replica.id != home.replica.id


def note_prefix(chooser, endpoint, is_read, now_s=0.0, weights=1):
    for prefix in list_prefixes("m0/", make_call(LONG).parts[:-1]):
        chooser.prefixes.note(prefix.key, endpoint, weights, is_read, now_s)


def test_a_prefix_that_is_being_read_is_waited_for_rather_than_read_twice():
    replicas = make_replicas(9)
    chooser = make_chooser()
    chooser.loads.begin("r4", 15_000)
    note_prefix(chooser, "r4", is_read=False)
    found = choose(chooser, make_call(LONG), replicas)
    assert (found.replica.id, found.kind) == ("r4", ChoiceKind.HOLDER)
    assert found.uncached_tokens == 3_000
    chooser.loads.begin("r4", 60_000)
    assert choose(chooser, make_call(LONG), replicas).replica.id != "r4"


def test_a_prefix_that_was_read_is_fetched_by_a_replica_with_less_work():
    replicas = make_replicas(9)
    chooser = make_chooser()
    note_prefix(chooser, "r4", is_read=True)
    assert choose(chooser, make_call(LONG), replicas).replica.id == "r4"
    chooser.loads.begin("r4", 20_000)
    found = choose(chooser, make_call(LONG), replicas)
    assert found.kind is ChoiceKind.FETCH
    assert found.source.id == "r4"
    assert found.uncached_tokens == 3_000


def test_the_cost_of_a_choice_does_not_grow_with_the_square_of_the_replicas():
    chooser = make_chooser()
    replicas = [replace(make_replica("r0"), id=f"r{n}") for n in range(2000)]
    note_prefix(chooser, "r7", is_read=True)
    started_s = time.process_time()
    assert choose(chooser, make_call(LONG), replicas).replica.id == "r7"
    assert time.process_time() - started_s < 0.5


def test_what_was_read_with_other_weights_or_long_ago_counts_for_nothing():
    replicas = make_replicas(9)
    call = make_call(LONG)
    for weights, now_s in ((2, 0.0), (1, 60.0)):
        chooser = make_chooser()
        note_prefix(chooser, "r4", is_read=True, weights=weights)
        found = choose(chooser, call, replicas, now_s)
        assert found.uncached_tokens == call.prompt_tokens
        assert found.kind is ChoiceKind.HOME
    chooser.prefixes.forget(60.0)
    assert not chooser.prefixes.holders


def test_what_one_router_sees_read_the_others_hear():
    first, second = (
        WorkExchange(
            PeerDirectory(name, None, "127.0.0.1:1", "t1"),
            ReplicaLoadTable(),
            PrefixIndex(),
            lambda: 0.5,
        )
        for name in ("front-1", "front-2")
    )
    (prefix,) = list_prefixes("m0/", make_call(LONG).parts[:-1])
    reading = Reading(first.prefixes, [prefix], "r4", 1)
    reading.begin(0.0)
    assert first.must_tell({})
    reading.end(has_read=True, now_s=0.4)
    report = WorkReport("t1", "front-1", {}, first.prefixes.take_news())
    second.take(msgspec.msgpack.encode(report))
    assert second.prefixes.find_tokens([prefix], "r4", 1, 0.5) == (12_000, 12_000)
    assert not first.must_tell({})


def test_a_reading_that_failed_is_forgotten():
    ledger = PrefixIndex()
    (prefix,) = list_prefixes("m0/", make_call(LONG).parts[:-1])
    reading = Reading(ledger, [prefix], "r4", 1)
    reading.begin(0.0)
    assert ledger.find_tokens([prefix], "r4", 1, 0.1) == (0, 12_000)
    reading.end(has_read=False, now_s=0.2)
    assert ledger.find_tokens([prefix], "r4", 1, 0.3) == (0, 0)


def test_short_prompts_go_where_the_least_work_is():
    replicas = make_replicas(3)
    chooser = make_chooser()
    for name in ("r0", "r1"):
        chooser.loads.begin(name, 50_000)
    assert (
        choose(chooser, make_call((("x", 90), ("y", 9))), replicas).replica.id == "r2"
    )


def test_plain_calls_prefer_the_own_failure_domain_until_it_is_busy():
    replicas = make_replicas(3, service="app")
    chooser = make_chooser("rennes")
    assert choose(chooser, make_call(), replicas).replica.id == "r0"
    for _ in range(3):
        chooser.loads.begin("r0", 0)
    assert choose(chooser, make_call(), replicas).replica.id != "r0"


def test_ejected_and_unreachable_replicas_are_passed_over_while_there_are_others():
    replicas = make_replicas(2)
    chooser = make_chooser()
    chooser.loads.record_unreachable("r0", 0.0)
    for _ in range(5):
        assert choose(chooser, make_call(), replicas, 0.1).replica.id == "r1"
    chosen = choose(chooser, make_call(), replicas, 0.1, ejected=frozenset({"r1"}))
    assert chosen.replica.id == "r0"
    assert choose(chooser, make_call(), []) is None
