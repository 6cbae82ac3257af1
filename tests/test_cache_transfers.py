"""Which cache store keeps a prefix, without a network.

Load: long prompts of 13,300 shared tokens on 36 replicas in three failure domains, each
with a cache store.
"""

from collections import Counter
from dataclasses import replace

import pytest
from forwarding_samples import DOMAINS, choose, make_call, make_chooser, make_replica

from primrosepier.forwarding.declarations import CacheStore, Declaration, Service
from primrosepier.forwarding.prefixes import list_prefixes
from primrosepier.forwarding.replica_choice import Choice, ChoiceKind
from primrosepier.forwarding.transfers import (
    SAVED_AGAIN,
    find_cache_store,
    must_save,
    plan_cache_use,
)

PROMPTS = 300
REPLICAS = [
    replace(make_replica("r0"), id=f"r{n}", failure_domain=DOMAINS[n % 3])
    for n in range(36)
]


def make_long_call(number):
    return make_call(((f"rules-{number}", 13_300), ("question", 3_720)))


def make_declaration(*domains):
    stores = [CacheStore(f"10.0.9.{n}:1", x) for n, x in enumerate(domains)]
    services = [Service(f"kv-{n}", None, store) for n, store in enumerate(stores)]
    return Declaration(1, (), {x.id: x for x in [Service("writers"), *services]})


def find_stores(declaration, replicas=REPLICAS):
    calls = [make_long_call(n) for n in range(PROMPTS)]
    return [find_cache_store(declaration, call, replicas) for call in calls]


def test_a_prefix_is_kept_in_the_failure_domain_of_its_first_preferred_replica():
    """Guards against transfers that cross domains, which take twice as long."""
    stores = find_stores(make_declaration(*DOMAINS))
    for number, store in enumerate(stores):
        choice = choose(make_chooser(), make_long_call(number), REPLICAS)
        assert choice.kind is ChoiceKind.PREFERRED
        assert choice.replica.failure_domain == store.failure_domain
    counts = Counter(store.failure_domain for store in stores)
    assert min(counts.values()) >= PROMPTS / 4


def test_a_prefix_is_looked_for_where_it_was_saved():
    """Guards against a store chosen by load, domain of the router or serving replica.

    Of the prefixes, only those whose first preferred replica left may move.
    """
    declaration = make_declaration(*DOMAINS)
    before = find_stores(declaration)
    assert find_stores(declaration, REPLICAS[::-1]) == before
    after = find_stores(declaration, REPLICAS[1:])
    moved = [a for a, b in zip(before, after, strict=True) if a != b]
    assert len(moved) <= 2 * PROMPTS / len(REPLICAS)
    assert {store.failure_domain for store in moved} <= {REPLICAS[0].failure_domain}


def test_domains_without_a_store_share_the_others():
    """Guards against one store that takes over all prefixes of such a domain."""
    first, *others = DOMAINS
    counts = Counter(x.failure_domain for x in find_stores(make_declaration(*others)))
    assert first not in counts
    assert min(counts.values()) >= PROMPTS / 3


def test_stores_in_one_domain_share_its_prefixes():
    stores = find_stores(make_declaration(*DOMAINS, DOMAINS[0]))
    counts = Counter(store.address for store in stores)
    assert len(counts) == 4
    assert min(counts.values()) >= PROMPTS / 10


@pytest.mark.parametrize("replicas", [REPLICAS, ()])
def test_a_single_store_keeps_all_prefixes(replicas):
    """Guards against a change where the configuration names one store, as before."""
    addresses = {x.address for x in find_stores(make_declaration("else"), replicas)}
    assert addresses == {"10.0.9.0:1"}


def test_no_store_is_used_if_none_is_declared_or_the_prefix_is_short():
    assert set(find_stores(make_declaration())) == {None}
    assert find_cache_store(None, make_long_call(0), REPLICAS) is None
    short = make_call((("rules", 90), ("question", 300)))
    assert find_cache_store(make_declaration(*DOMAINS), short, REPLICAS) is None


def count_saved(kind, uncached_tokens):
    choice = Choice(REPLICAS[0], kind, uncached_tokens)
    calls = [replace(make_long_call(0), id=f"call-{n}") for n in range(PROMPTS)]
    return sum(must_save(call, choice) for call in calls)


def test_a_computed_prefix_is_saved_and_a_held_one_now_and_then():
    """Guards against links full of copies, and against a store that stays empty."""
    assert count_saved(ChoiceKind.PREFERRED, 17_020) == PROMPTS
    assert count_saved(ChoiceKind.OVERFLOW, 17_020) == PROMPTS
    assert count_saved(ChoiceKind.HOLDER, 9_000) == PROMPTS
    expected = PROMPTS / SAVED_AGAIN
    assert expected / 2 < count_saved(ChoiceKind.HOLDER, 3_720) < 2 * expected


def test_a_prefix_that_is_not_saved_is_still_looked_for():
    """Guards against a recomputed prefix where a replica has evicted it."""
    store = CacheStore("10.0.9.0:1", DOMAINS[0])
    choice = Choice(REPLICAS[0], ChoiceKind.HOLDER, 3_720)
    plan = plan_cache_use(make_long_call(0), choice, None, {}, store, saves=False)
    assert (plan.fetch_from, plan.save_to) == (store.address, "")


def find_source(holders, seed):
    """Return the chosen replica and the one that it fetches a prefix from."""
    chooser, call = make_chooser(seed=seed), make_long_call(0)
    for prefix in list_prefixes("m0/", call.parts[:-1]):
        for number in holders:
            chooser.prefixes.record(prefix.key, f"r{number}", 1, True, 0.0)
    for number in holders:
        chooser.loads.begin_call(f"r{number}", 200_000)
    choice = choose(chooser, call, REPLICAS)
    assert choice.kind is ChoiceKind.FETCH
    return choice.replica, choice.fetch_from


def test_a_prefix_is_fetched_from_any_of_its_holders_in_the_same_domain():
    """Guards against transfers across domains, and one holder that serves them all."""
    sources = [find_source((1, 2, 3, 4, 6), seed) for seed in range(40)]
    assert all(a.failure_domain == b.failure_domain for a, b in sources)
    assert len({source.id for _, source in sources}) >= 2
    _, source = find_source((1,), 0)
    assert source.id == "r1"
