"""Decisions of the forwarding modules, without a network."""

import random

import msgspec
import pytest
from forwarding_samples import LONG_PROMPT, make_call, make_replica

from primrosepier.errors import MessageError
from primrosepier.forwarding.attempts import AttemptRecorder
from primrosepier.forwarding.calls import ReportedLoad, ResponseHead
from primrosepier.forwarding.declarations import (
    CacheStore,
    Declaration,
    Route,
    Workspace,
)
from primrosepier.forwarding.events import EventStreamMerger
from primrosepier.forwarding.freshness import (
    Freshness,
    compute_batching_delay_s,
    compute_watch_timeout_s,
)
from primrosepier.forwarding.peer_reports import PeerReport
from primrosepier.forwarding.peers import PeerDirectory, PeerEntry, PeerExchange
from primrosepier.forwarding.prefixes import PrefillTracker, PrefixIndex
from primrosepier.forwarding.replica_choice import (
    Choice,
    ChoiceKind,
    make_scope,
)
from primrosepier.forwarding.replica_load import PeerLoad, ReplicaLoadTable
from primrosepier.forwarding.retries import RetryBudget
from primrosepier.forwarding.shutdown import make_shutdown_schedule
from primrosepier.forwarding.store_view import RequestedWeights, WeightsHistory
from primrosepier.forwarding.transfers import CachePlan, plan_cache_use
from primrosepier.platform.declarations import decode_declaration, decode_weights
from primrosepier.platform.ingress import PlatformRequestReader
from primrosepier.platform.replicas import PlatformDialect, decode_replica


def test_isolated_workspaces_have_their_own_cache_scope():
    scopes = {make_scope("m0", name, True) for name in ("a", "b")}
    assert len(scopes) == 2
    assert make_scope("m0", "a", False) == make_scope("m0", "b", False)
    assert make_scope("m0", "a", False) not in scopes


def test_workspace_priority_precedes_route_priority():
    first = Workspace("first", priority=0)
    second = Workspace("second", priority=1)
    ranks = [
        make_call(priority=0, workspace=first).urgency,
        make_call(priority=2, workspace=first).urgency,
        make_call(priority=0, workspace=second).urgency,
        make_call(priority=9, workspace=Workspace("last", priority=9)).urgency,
    ]
    assert ranks == sorted(set(ranks))
    assert ranks[-1] <= 9


def test_reported_load_expires():
    table = ReplicaLoadTable()
    table.record_response("r0", ResponseHead(200, (), load=ReportedLoad(3, 2, 4)), 0.0)
    assert table.get_or_create("r0").count_calls(1.0) == 5
    assert table.get_or_create("r0").count_calls(60.0) == 0


def test_backoff_grows_with_consecutive_refusals():
    table = ReplicaLoadTable()
    table.record_refusal("r0", 0.0)
    first_s = table.get_or_create("r0").avoid_until_s
    table.record_refusal("r0", 0.0)
    assert table.get_or_create("r0").avoid_until_s > first_s
    table.record_response("r0", ResponseHead(200, ()), 1.0)
    assert table.get_or_create("r0").refusals == 0


def test_retries_keep_to_the_ratio_in_any_window():
    rng = random.Random(5)
    budget = RetryBudget(0.2, window_s=10.0)
    calls, retries = [], []
    now_s = 0.0
    for _ in range(3000):
        now_s += rng.expovariate(20.0)
        budget.record_call("app", now_s)
        calls.append(now_s)
        if rng.random() < 0.6 and budget.try_acquire("app", now_s):
            retries.append(now_s)
    for end_s in retries:
        retried = sum(end_s - 10.0 < t <= end_s for t in retries)
        received = sum(end_s - 10.0 < t <= end_s for t in calls)
        assert retried <= max(1, 0.2 * received)
    assert len(retries) > 0.15 * len(calls)


def test_keys_are_trusted_only_while_the_store_view_is_fresh():
    last_contact = [0.0]
    freshness = Freshness(5.0, lambda: last_contact[0])
    assert freshness.may_trust_keys(3.9)
    assert not freshness.may_trust_keys(5.0)
    last_contact[0] = 4.0
    assert freshness.may_trust_keys(7.5)
    assert Freshness(None).may_trust_keys(1e9)
    assert not Freshness(5.0).may_trust_keys(0.0)


@pytest.mark.parametrize("revoke_s", [2.0, 3.0, 5.0, 60.0])
@pytest.mark.parametrize("apply_s", [0.5, 2.0, 3.0])
def test_keys_stay_trusted_while_the_store_has_no_changes(revoke_s, apply_s):
    batching_delay_s = compute_batching_delay_s(apply_s, 2.0)
    watch_timeout_s = compute_watch_timeout_s(revoke_s, batching_delay_s)
    requested_at_s, responded_at_s = (
        0.0,
        watch_timeout_s + batching_delay_s + watch_timeout_s + 0.2,
    )
    assert Freshness(revoke_s, lambda: requested_at_s).may_trust_keys(responded_at_s)
    assert batching_delay_s <= apply_s / 2


def test_event_stream_passes_each_whole_event_once():
    merger = EventStreamMerger()
    whole = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
    merger.begin()
    first = merger.feed(whole[:40])
    merger.begin()
    assert first + merger.feed(whole) == whole
    assert not merger.partial


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_event_stream_does_not_depend_on_chunk_sizes(size):
    whole = b"".join(b"id: %d\r\ndata: x\r\n\r\n" % n for n in range(1, 9))
    merger = EventStreamMerger()
    merger.begin()
    parts = [whole[at : at + size] for at in range(0, len(whole), size)]
    assert b"".join(merger.feed(part) for part in parts) == whole


def test_route_with_the_longest_path_prefix_is_found():
    routes = tuple(Route(prefix, "h", prefix, ()) for prefix in ("/", "/a/", "/a/b/"))
    declared = Declaration(1, routes, {})
    assert declared.find_route("h", "/a/b/c").id == "/a/b/"
    assert declared.find_route("h", "/a/x").id == "/a/"
    assert declared.find_route("other", "/a/") is None


def test_malformed_store_values_raise_message_error():
    for value in (b"", b"{}", b"\xff", b'{"version": "x"}'):
        with pytest.raises(MessageError):
            decode_declaration(value)
        with pytest.raises(MessageError):
            decode_weights(value)
        with pytest.raises(MessageError):
            decode_replica("r0", value)


@pytest.mark.parametrize(
    ("status", "header", "not_run"),
    [(503, (b"Not-Executed", b"1"), True), (421, (b"a", b"b"), True)]
    + [(503, (b"a", b"b"), False), (500, (b"a", b"b"), False)],
)
def test_only_the_header_or_status_421_means_not_run(status, header, not_run):
    assert PlatformDialect().read_head(status, [header]).not_run is not_run


def test_malformed_load_headers_are_ignored():
    for value in (b"", b"1,2", b"a,b,c", b"1,2,-3", b"0,0," + b"9" * 20):
        head = PlatformDialect().read_head(200, [(b"Instance-Load", value)])
        assert head.load is None


@pytest.mark.parametrize(
    ("value", "rate_per_s"),
    [(b"4.3", 4.3), (b"12", 12.0), (b"0", None), (b"-1", None), (b"1e3", None)]
    + [(b"nan", None), (b"", None), (b"\xb2", None)],
)
def test_only_a_positive_decimal_number_limits_a_replica(value, rate_per_s):
    head = PlatformDialect().read_head(200, [(b"Server-Limit", value)])
    assert head.rate_limit_per_s == rate_per_s


@pytest.mark.parametrize(
    ("header", "is_leaving"),
    [((b"Server-Leaving", b"1"), True), ((b"server-leaving", b" 1 "), True)]
    + [((b"Server-Leaving", value), False) for value in (b"0", b"", b"11", b"\xb9")]
    + [((b"a", b"1"), False)],
)
@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_only_the_header_with_the_value_1_says_that_a_replica_leaves(
    status, header, is_leaving
):
    head = PlatformDialect().read_head(status, [(b"a", b"b"), header])
    assert head.is_leaving is is_leaving


ENTRY = {
    "service": "writers",
    "address": "10.0.0.1:1",
    "zone": "rennes",
    "state": "ready",
    "slots": 4,
    "version": "v1",
}


def test_the_start_of_a_replica_is_read_from_its_entry():
    entry = {**ENTRY, "born": 1_700_000_000_001}
    assert decode_replica("w1", msgspec.json.encode(entry)).born_ms == entry["born"]
    assert decode_replica("w1", msgspec.json.encode(ENTRY)).born_ms == 0


@pytest.mark.parametrize("born", ["1", 1.5, None, [1]])
def test_an_entry_with_a_malformed_start_names_no_replica(born):
    with pytest.raises(MessageError):
        decode_replica("w1", msgspec.json.encode({**ENTRY, "born": born}))


CACHE_STORE = CacheStore("10.0.9.9:1", "rennes")


def plan_at(
    replicas, choice, reported_version=None, requested_weights=None, parts=LONG_PROMPT
):
    return plan_cache_use(
        make_call(parts), choice, reported_version, requested_weights or {}, CACHE_STORE
    )


def test_preferred_replica_uses_the_cache_store():
    preferred = make_replica("r0", weights=3)
    plan = plan_at([preferred], Choice(preferred, ChoiceKind.PREFERRED))
    assert plan == CachePlan("m0//3/v1", 3, CACHE_STORE.address, CACHE_STORE.address)


def test_other_replicas_fetch_from_a_prefix_holder_or_the_cache_store():
    preferred, other = make_replica("r0", weights=3), make_replica("r1", weights=3)
    plan = plan_at([preferred], Choice(other, ChoiceKind.FETCH, 0, preferred))
    assert plan.fetch_from == preferred.address
    plan = plan_at([preferred], Choice(other, ChoiceKind.OVERFLOW))
    assert plan.fetch_from == CACHE_STORE.address


def test_no_cache_transfer_for_outdated_weights():
    preferred = make_replica("r0", weights=3)
    choice = Choice(preferred, ChoiceKind.PREFERRED)
    history = WeightsHistory((RequestedWeights(4, 0.0),))
    plan = plan_at([preferred], choice, requested_weights={"m0": history})
    assert plan == CachePlan("m0/")
    assert plan_at([preferred], choice, reported_version=4).scope == "m0//4/v1"


def test_short_prefixes_are_not_transferred():
    preferred = make_replica("r0")
    choice = Choice(preferred, ChoiceKind.PREFERRED)
    short = (("system", 90), ("question", 300))
    assert plan_at([preferred], choice, parts=short) == CachePlan("m0/")


def test_peer_reports_expire():
    table = ReplicaLoadTable()
    table.record_peer_load("front-2", PeerLoad({"r0": 5000}, 0.0))
    table.record_peer_load("front-3", PeerLoad({"r0": 1000}, 0.0))
    assert table.count_peer_tokens("r0", 0.5) == 6000
    table.record_peer_load("front-2", PeerLoad({}, 0.6))
    assert table.count_peer_tokens("r0", 0.7) == 1000
    assert table.count_peer_tokens("r0", 9.0) == 0


def test_peers_totals_are_those_of_their_recent_reports():
    table, rng, latest = ReplicaLoadTable(), random.Random(1), {}
    for step in range(500):
        now_s = 0.02 * step
        host = f"front-{rng.randrange(40)}"
        counts = {f"r{rng.randrange(4)}": rng.randrange(3) for _ in range(2)}
        latest[host] = PeerLoad(counts, now_s, counts)
        table.record_peer_load(host, latest[host])
        recent = [x for x in latest.values() if now_s - x.received_at_s < 1.2]
        for endpoint in ("r0", "r1", "r2", "r3"):
            expected = sum(x.decoding.get(endpoint, 0) for x in recent)
            assert table.count_peer_tokens(endpoint, now_s) == expected
            assert table.count_decoding(endpoint, now_s) == expected


def make_exchange(token="t1"):
    directory = PeerDirectory("front-1", None, "127.0.0.1:1", token)
    return PeerExchange(directory, ReplicaLoadTable(), PrefixIndex(), lambda: 0.0)


def test_malformed_reports_and_those_with_another_token_are_rejected():
    exchange = make_exchange()
    for data in (b"", b"\x00", msgspec.msgpack.encode(PeerReport("t2", "x", {}))):
        exchange.receive(data)
    assert exchange.loads.rejected_reports == 3
    exchange.receive(msgspec.msgpack.encode(PeerReport("t1", "x", {"r0": 7000})))
    assert exchange.loads.count_peer_tokens("r0", 0.0) == 7000


def test_only_large_changes_are_reported():
    exchange = make_exchange()
    exchange.loads.begin_call("r0", 300)
    assert not exchange.must_report(exchange.list_pending_tokens())
    exchange.loads.begin_call("r0", 15_000)
    pending_tokens = exchange.list_pending_tokens()
    assert exchange.must_report(pending_tokens)
    exchange.reported_tokens = pending_tokens
    assert not exchange.must_report(pending_tokens)
    exchange.loads.end_prefill("r0", 15_000)
    assert exchange.must_report(exchange.list_pending_tokens())


def test_calls_that_replicas_decode_are_reported():
    first, second = make_exchange(), make_exchange()
    first.directory.peers = {"front-2": PeerEntry("127.0.0.1:2", "t1")}
    recorder = AttemptRecorder(
        first.loads, PrefillTracker(first.prefixes, (), "r0", 1), 300
    )
    recorder.begin(0.0)
    assert not first.list_decoding()
    recorder.record_response(ResponseHead(200, ()), 0.1)
    ((_, data),) = first.make_reports({})
    second.receive(data)
    assert second.loads.count_decoding("r0", 0.0) == 1
    recorder.end(0.2)
    assert not first.list_decoding()


def test_refused_calls_do_not_count_as_decoded():
    loads = ReplicaLoadTable()
    recorder = AttemptRecorder(loads, PrefillTracker(PrefixIndex(), (), "r0", 1), 300)
    recorder.begin(0.0)
    recorder.record_response(ResponseHead(503, (), not_run=True), 0.1)
    assert loads.count_decoding("r0", 0.1) == 0


def test_routers_share_the_extra_retries():
    budgets = [RetryBudget(0.0, extra=54, count_routers=lambda: 7) for _ in range(7)]
    retried = sum(
        budget.try_acquire("app", 0.0) for budget in budgets for _ in range(54)
    )
    assert 7 <= retried <= 54


def test_long_calls_are_accepted_only_early_in_a_shutdown():
    shutdown = make_shutdown_schedule(100.0, grace_s=8.0)
    assert shutdown.accepts(102.0, limit_s=12.0)
    assert not shutdown.accepts(102.9, limit_s=12.0)
    assert shutdown.accepts(105.0, limit_s=0.6)
    assert not shutdown.accepts(106.8, limit_s=0.6)


def test_shutdown_ends_within_a_short_grace_period():
    shutdown = make_shutdown_schedule(0.0, grace_s=2.0)
    assert not shutdown.accepts(1.5, limit_s=5.0)


@pytest.mark.parametrize(
    ("value", "limit"), [(b"291,180", 180), (b"291", 0), (b"291,\xb2", 0)]
)
def test_output_limit_is_the_second_token_count(value, limit):
    scope = {
        "method": "POST",
        "raw_path": b"/notes/",
        "query_string": b"",
        "headers": [(b"token-usage", value)],
    }
    route = make_call().route
    call = PlatformRequestReader().make_call(scope, b"", route, None, 0.0)
    assert call.output_limit == limit
