"""Choice of replicas and the prefix index, without a network."""

import time
from dataclasses import replace

import msgspec
from forwarding_samples import (
    DOMAINS,
    LONG_PROMPT,
    choose,
    make_call,
    make_chooser,
    make_replica,
    make_replicas,
)

from primrosepier.forwarding.peer_reports import PeerReport
from primrosepier.forwarding.peers import PeerDirectory, PeerExchange
from primrosepier.forwarding.prefixes import PrefillTracker, PrefixIndex, list_prefixes
from primrosepier.forwarding.replica_choice import ChoiceKind
from primrosepier.forwarding.replica_load import ReplicaLoadTable


def test_routers_agree_on_the_preferred_replica():
    replicas = make_replicas(9)
    for number in range(50):
        parts = ((f"history-{number}", 12_000), ("note", 3_000))
        choices = {
            choose(make_chooser(d, seed), make_call(parts), replicas).replica.id
            for seed, d in enumerate(DOMAINS)
        }
        assert len(choices) == 1


def test_removing_a_replica_moves_only_its_own_prompts():
    replicas = make_replicas(9)
    chooser = make_chooser()

    def find_preferred(candidates):
        return [
            choose(
                chooser, make_call(((f"p{n}", 12_000), ("x", 10))), candidates
            ).replica.id
            for n in range(200)
        ]

    before, after = find_preferred(replicas), find_preferred(replicas[:-1])
    assert len(set(before)) == 9
    moved = [b for b, a in zip(before, after, strict=True) if b != a]
    assert all(preferred == "r8" for preferred in moved)


def test_overloaded_preferred_replica_is_not_chosen():
    replicas = make_replicas(9)
    chooser = make_chooser()
    preferred = choose(chooser, make_call(LONG_PROMPT), replicas)
    assert preferred.kind is ChoiceKind.PREFERRED
    assert preferred.uncached_tokens == 15_000
    chooser.loads.begin_call(preferred.replica.id, 200_000)
    other = choose(chooser, make_call(LONG_PROMPT), replicas)
    assert other.replica.id != preferred.replica.id


def record_prefix(chooser, endpoint, is_cached, now_s=0.0, weights=1):
    for prefix in list_prefixes("m0/", make_call(LONG_PROMPT).parts[:-1]):
        chooser.prefixes.record(prefix.key, endpoint, weights, is_cached, now_s)


def test_call_waits_for_a_prefix_in_prefill():
    replicas = make_replicas(9)
    chooser = make_chooser()
    chooser.loads.begin_call("r4", 15_000)
    record_prefix(chooser, "r4", is_cached=False)
    choice = choose(chooser, make_call(LONG_PROMPT), replicas)
    assert (choice.replica.id, choice.kind) == ("r4", ChoiceKind.HOLDER)
    assert choice.uncached_tokens == 3_000
    chooser.loads.begin_call("r4", 60_000)
    assert choose(chooser, make_call(LONG_PROMPT), replicas).replica.id != "r4"


def test_less_loaded_replica_fetches_a_cached_prefix():
    replicas = make_replicas(9)
    chooser = make_chooser()
    record_prefix(chooser, "r4", is_cached=True)
    assert choose(chooser, make_call(LONG_PROMPT), replicas).replica.id == "r4"
    chooser.loads.begin_call("r4", 20_000)
    choice = choose(chooser, make_call(LONG_PROMPT), replicas)
    assert choice.kind is ChoiceKind.FETCH
    assert choice.fetch_from.id == "r4"
    assert choice.uncached_tokens == 3_000


def test_no_cache_is_fetched_from_another_software_version():
    replicas = make_replicas(3, software="v2")
    replicas += [make_replica(f"r{number}") for number in range(3, 9)]
    chooser = make_chooser()
    record_prefix(chooser, "r1", is_cached=True)
    for name in ("r0", "r1", "r2"):
        chooser.loads.begin_call(name, 200_000)
    choice = choose(chooser, make_call(LONG_PROMPT), replicas)
    assert choice.replica.software == "v1"
    assert choice.fetch_from is None


def test_choice_time_is_not_quadratic_in_the_replicas():
    chooser = make_chooser()
    replicas = [replace(make_replica("r0"), id=f"r{n}") for n in range(2000)]
    record_prefix(chooser, "r7", is_cached=True)
    started_s = time.process_time()
    assert choose(chooser, make_call(LONG_PROMPT), replicas).replica.id == "r7"
    assert time.process_time() - started_s < 0.5


def test_prefixes_of_other_weights_and_expired_ones_are_ignored():
    replicas = make_replicas(9)
    call = make_call(LONG_PROMPT)
    for weights, now_s in ((2, 0.0), (1, 60.0)):
        chooser = make_chooser()
        record_prefix(chooser, "r4", is_cached=True, weights=weights)
        choice = choose(chooser, call, replicas, now_s)
        assert choice.uncached_tokens == call.prompt_tokens
        assert choice.kind is ChoiceKind.PREFERRED
    chooser.prefixes.prune(60.0)
    assert not chooser.prefixes.holders


def test_prefix_updates_reach_peers():
    first, second = (
        PeerExchange(
            PeerDirectory(name, None, "127.0.0.1:1", "t1"),
            ReplicaLoadTable(),
            PrefixIndex(),
            lambda: 0.5,
        )
        for name in ("front-1", "front-2")
    )
    (prefix,) = list_prefixes("m0/", make_call(LONG_PROMPT).parts[:-1])
    prefill = PrefillTracker(first.prefixes, [prefix], "r4", 1)
    prefill.begin(0.0)
    assert first.must_report({})
    prefill.end(succeeded=True, now_s=0.4)
    report = PeerReport("t1", "front-1", {}, first.prefixes.take_updates())
    second.receive(msgspec.msgpack.encode(report))
    assert second.prefixes.count_tokens([prefix], "r4", 1, 0.5) == (12_000, 12_000)
    assert not first.must_report({})


def test_failed_prefill_is_removed():
    index = PrefixIndex()
    (prefix,) = list_prefixes("m0/", make_call(LONG_PROMPT).parts[:-1])
    prefill = PrefillTracker(index, [prefix], "r4", 1)
    prefill.begin(0.0)
    assert index.count_tokens([prefix], "r4", 1, 0.1) == (0, 12_000)
    prefill.end(succeeded=False, now_s=0.2)
    assert index.count_tokens([prefix], "r4", 1, 0.3) == (0, 0)


def test_long_prompts_avoid_replicas_that_decode_many_calls():
    replicas = make_replicas(9)
    chooser = make_chooser()
    chooser.loads.mean_tokens = 2000.0
    preferred = choose(chooser, make_call(LONG_PROMPT), replicas).replica.id
    for _ in range(20):
        chooser.loads.begin_decoding(preferred)
    assert choose(chooser, make_call(LONG_PROMPT), replicas).replica.id != preferred


def test_short_prompts_go_to_the_least_loaded_replica():
    replicas = make_replicas(3)
    chooser = make_chooser()
    for name in ("r0", "r1"):
        chooser.loads.begin_call(name, 50_000)
    assert (
        choose(chooser, make_call((("x", 90), ("y", 9))), replicas).replica.id == "r2"
    )


def test_calls_without_prompt_prefer_the_failure_domain_of_the_router():
    replicas = make_replicas(3, service="app")
    chooser = make_chooser("rennes")
    assert choose(chooser, make_call(), replicas).replica.id == "r0"
    for _ in range(3):
        chooser.loads.begin_call("r0", 0)
    assert choose(chooser, make_call(), replicas).replica.id != "r0"


def test_ejected_and_unreachable_replicas_are_a_last_resort():
    replicas = make_replicas(2)
    chooser = make_chooser()
    chooser.loads.record_unreachable("r0", 0.0)
    for _ in range(5):
        assert choose(chooser, make_call(), replicas, 0.1).replica.id == "r1"
    chosen = choose(chooser, make_call(), replicas, 0.1, ejected=frozenset({"r1"}))
    assert chosen.replica.id == "r0"
    assert choose(chooser, make_call(), []) is None
