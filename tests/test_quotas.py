"""Quotas over the real decision code, in virtual time."""

import random
from typing import get_args

import msgspec
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from quota_fleet import (
    LONG,
    ROUTE,
    SHORT,
    QuotaFleet,
    RandomFaults,
    make_declaration,
    make_quota_call,
)

from primrosepier.errors import MessageError
from primrosepier.explain import explain_request, render_explanation
from primrosepier.forwarding.declarations import Quota
from primrosepier.forwarding.metrics import make_entry_metrics
from primrosepier.forwarding.quotas import records
from primrosepier.forwarding.quotas.bucket import QuotaBounds, make_bucket
from primrosepier.forwarding.quotas.reports import (
    QuotaReport,
    WorkspaceTotals,
    decode_quota_report,
)
from primrosepier.log_lines import LogReader, decode_event
from primrosepier.logs import make_log
from primrosepier.platform.declarations import decode_declaration
from primrosepier.platform.ingress import PlatformRequestReader
from primrosepier.settings import LogSettings
from primrosepier.timeline import merge_lines

USUAL = 0.55


def usual(rate):
    return lambda now_s: USUAL * rate


def make_hot(rate, factor=8, from_s=4.0, until_s=1e9):
    """Return the usual rate, and a multiple of it within a time."""

    def compute(now_s):
        return USUAL * rate * (factor if from_s <= now_s < until_s else 1)

    return compute


@pytest.mark.parametrize(
    "count, rate, until_s",
    [
        (9, 47_000, 30),
        (9, 400_000, 20),
        (66, 47_000, 14),
        (66, 400_000, 10),
        (195, 190_000, 9),
    ],
)
def test_a_hot_workspace_stays_within_its_bound_and_uses_its_quota(
    count, rate, until_s
):
    """Load of charging: half of the tokens in long calls, 8 times the usual rate.

    Guards against routers that learn too late of each other's calls, and against a
    control loop that admits less than the quota afterwards.
    """
    # Fewer reports that arrive sooner, since more routers take long to simulate.
    pace = {"report_s": 0.45, "delay_s": (0.05, 0.25)} if count > 100 else {}
    fleet = QuotaFleet(count, make_declaration(hot=rate, usual=rate), **pace)
    fleet.load("hot", make_hot(rate))
    fleet.load("usual", usual(rate))
    fleet.run(until_s)
    assert fleet.measure_excess("hot", rate) <= 1
    assert fleet.measure_excess("usual", rate) <= 1
    # All that the bucket offers since the hot time began, but for what is kept back.
    offered = rate * (until_s - 4)
    assert fleet.sum_runs("hot", 4, until_s) >= 0.97 * offered
    assert fleet.compute_admitted_share("usual") >= 0.97


def test_long_calls_get_a_quarter_where_short_ones_would_use_all():
    """Load of charging at its smallest quota, 8 times the usual rate for 26 s.

    Guards against short calls that starve the long ones, and against a decision that
    counts the call itself, which would admit long calls less often than planned.
    """
    admitted = dict.fromkeys((LONG, SHORT), 0.0)
    for seed in range(8):
        fleet = QuotaFleet(9, make_declaration(hot=47_000), seed)
        fleet.load("hot", make_hot(47_000))
        fleet.run(30)
        assert fleet.measure_excess("hot", 47_000) <= 1
        for at_s, cost, _, is_admitted in fleet.exact["hot"].attempts:
            admitted[cost] += cost if is_admitted and at_s >= 6 else 0
    long, short = admitted[LONG], admitted[SHORT]
    assert long / (long + short) == pytest.approx(0.25, rel=0.15)
    assert long + short >= 0.97 * 8 * 24 * 47_000


@pytest.mark.parametrize("rate", [150_000, 400_000])
@pytest.mark.parametrize(
    "count, factor, restarted_s, least",
    [(66, 4, 99, 0.93), (9, 4, 99, 0.93), (9, 0.9 / USUAL, 99, 0.97), (9, 1, 4, 0.92)],
)
def test_routers_admit_what_an_exact_bucket_would(
    count, rate, factor, restarted_s, least
):
    """Load of charging's burst: a quarter of the tokens in calls of 383.

    At 2.2 times the fill rate, below it, and at the usual rate after all routers were
    restarted. Guards against small calls that are rejected with the large ones.
    """
    options = {"short": 383, "long_share": 0.75, "settling_s": 1.0}
    fleet = QuotaFleet(count, make_declaration(hot=rate), **options)
    fleet.load("hot", make_hot(rate, factor))
    for host in fleet.hosts:
        fleet.schedule(restarted_s + 0.3 * fleet.rng.random(), fleet.start, host)
    fleet.run(8)
    assert fleet.measure_excess("hot", rate) <= 1
    assert fleet.exact["hot"].compare(4.0)[0] >= least
    if factor > 2:
        # A rejected small call is asked back sooner, as small ones are admitted first.
        bucket = fleet.routers["front-0"].buckets["hot"]
        small, large = (
            [bucket.compute_retry_after(cost, 1e9) for _ in range(100)]
            for cost in (383, LONG)
        )
        assert max(small) < max(large)


@pytest.mark.parametrize("rate", [47_000, 400_000])
@pytest.mark.parametrize("count", [9, 24])
def test_a_workspace_whose_calls_move_between_routers_stays_within_its_bound(
    count, rate
):
    """Load of a load balancer that sends most calls to one router, another each 3 s.

    Guards against decisions that depend on a router's own part of the calls.
    """
    fleet = QuotaFleet(count, make_declaration(hot=rate, usual=rate))

    def weigh(now_s):
        favoured = int(now_s // 3) % count
        return [1.0 if x == favoured else 0.02 for x in range(count)]

    fleet.load("hot", make_hot(rate), weigh)
    fleet.load("usual", usual(rate), weigh)
    fleet.run(16)
    assert fleet.measure_excess("hot", rate) <= 1
    assert fleet.sum_runs("hot", 4, 16) >= 0.97 * rate * 12
    assert fleet.compute_admitted_share("usual") >= 0.97


@pytest.mark.parametrize("rate", [47_000, 400_000])
def test_routers_that_all_restart_in_a_burst_stay_within_the_bound(rate):
    """Load of charging at 8 times the usual rate while 24 routers restart.

    Guards against buckets that are full after a start.
    """
    fleet = QuotaFleet(24, make_declaration(hot=rate))
    fleet.load("hot", make_hot(rate))
    for host in fleet.hosts:
        fleet.schedule(fleet.rng.uniform(6.0, 6.3), fleet.start, host)
    fleet.run(16)
    assert fleet.measure_excess("hot", rate) <= 1
    assert fleet.sum_runs("hot", 8, 16) >= 0.8 * rate * 8


@pytest.mark.parametrize("rate", [47_000, 400_000])
def test_a_third_of_the_routers_cut_off_leaves_the_bound(rate):
    """Load of charging at 8 times the usual rate, while the limit is lowered to half.

    Guards against two sides that each use the whole quota, as of the moment the calls
    increase, and against a lowered limit that is not applied on one side.
    """
    fleet = QuotaFleet(24, make_declaration(hot=rate))
    fleet.load("hot", make_hot(rate))

    def cut():
        fleet.parts.update(dict.fromkeys(fleet.hosts[:8], "cut off"))

    def lower():
        lowered = make_declaration(2, hot=rate / 2)
        for host in fleet.hosts:
            args = (host, lowered)
            after_s = fleet.rng.uniform(0, 3)
            fleet.schedule(after_s, fleet.declared.__setitem__, *args)

    fleet.schedule(3.8, cut)
    fleet.schedule(8, lower)
    fleet.schedule(16, fleet.parts.clear)
    fleet.run(24)
    assert fleet.measure_excess("hot", rate) <= 1
    # The routers have applied it after 3 s, and it is binding one window later.
    assert fleet.measure_excess("hot", rate / 2, from_s=11) <= 1
    assert fleet.sum_runs("hot", 11, 24) >= 0.8 * rate / 2 * 13


def test_routers_of_the_previous_build_keep_the_equal_share():
    """Load of charging where 6 of 9 routers have not been upgraded yet.

    Guards against a new router that uses the part of routers that report nothing, and
    against one that rejects calls of a workspace within its quota.
    """
    rate = 400_000
    fleet = QuotaFleet(9, make_declaration(hot=rate, usual=rate))
    fleet.previous_build = set(fleet.hosts[:6])
    fleet.load("hot", make_hot(rate), lambda now_s: [0] * 6 + [1] * 3)
    fleet.load("usual", usual(rate))
    fleet.run(16)
    assert fleet.sum_runs("hot", 6, 16) <= 1.3 * rate * 10 / 3
    assert fleet.sum_runs("hot", 6, 16) >= 0.8 * rate * 10 / 3
    assert fleet.compute_admitted_share("usual") >= 0.97


def test_a_router_that_is_alone_admits_its_share_also_of_long_calls():
    """Load of charging at one of 66 routers that hears no other one.

    Guards against a share that no long call fits, as it costs 24 s of it.
    """
    rate = 47_000
    admitted = dict.fromkeys((LONG, SHORT), 0.0)
    for seed in range(10):
        fleet = QuotaFleet(66, make_declaration(hot=rate), seed)
        fleet.previous_build = set(fleet.hosts[1:])
        fleet.load("hot", lambda now_s: 4 * rate / 66, lambda now_s: [1] + [0] * 65)
        fleet.run(240)
        for cost in (LONG, SHORT):
            admitted[cost] += fleet.tallies["hot", cost].admitted
    total = sum(admitted.values())
    assert total == pytest.approx(10 * 240 * rate / 66, rel=0.2)
    assert admitted[LONG] >= 0.2 * total


def test_rejected_calls_of_a_wave_are_asked_back_at_different_times():
    """Load of a workspace that sends 400 calls at once after it used up its burst.

    Guards against a second wave; callers honour a third of their remaining time.
    """
    fleet = QuotaFleet(1, make_declaration(hot=100_000))
    fleet.run(1)
    for _ in range(800):
        fleet.call("hot", 2000, "front-0", attempt=2)
    assert len(fleet.retries_s) >= 400
    delays_s = sorted(at_s - fleet.now_s for at_s in fleet.retries_s)
    assert delays_s[0] > 0
    assert delays_s[-1] <= 2.0
    most = max(sum(x <= y < x + 0.1 for y in delays_s) for x in delays_s)
    assert most <= len(delays_s) / 4


def test_charges_follow_where_a_call_ran():
    """Guards against tokens lost to calls that did not run, and unpaid second runs."""
    fleet = QuotaFleet(1, make_declaration(w=100_000))
    fleet.run(0.5)
    quotas = fleet.routers["front-0"]
    for runs, expected in ((0, 0), (1, 5000), (2, 15_000)):
        fleet.call("w", 5000, "front-0", runs=runs)
        assert quotas.buckets["w"].admitted == expected
    workspace = fleet.declaration.workspaces["w"]
    passed_on = make_quota_call(workspace, 5000, is_passed_on=True)
    assert quotas.admit(passed_on, fleet.now_s) == 0
    assert quotas.admit(make_quota_call(workspace, None), fleet.now_s) == 200
    assert quotas.buckets["w"].admitted == 15_200


def test_without_quotas_nothing_is_reported_or_stored():
    """Guards against bytes that only some deployments need."""
    fleet = QuotaFleet(2, make_declaration())
    quotas = fleet.routers["front-0"]
    assert not quotas.must_report(5.0)
    assert quotas.make(5.0) == b""
    quotas.apply("front-1", msgspec.msgpack.encode(QuotaReport(1, 5)), 5.0)
    assert not quotas.peers
    assert not quotas.buckets


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([1, 2, [["w", float("nan"), 1.0]]]),
        msgspec.msgpack.encode([1, 2, [["w", 1.0, 1e300]]]),
        msgspec.msgpack.encode([1, -1, []]),
    ],
)
def test_sections_that_are_no_totals_are_refused(content):
    """Guards against a number that would spoil a bucket for good."""
    with pytest.raises(MessageError):
        decode_quota_report(content)


def test_a_later_build_may_add_fields():
    """Guards against a new build whose reports the earlier ones can't read."""
    fields = ["w", 3.0, 4.0, 1.0, 2.0, 3.0, 1.0, "new"]
    content = msgspec.msgpack.encode([1, 2, [fields], "new"])
    totals = [WorkspaceTotals("w", 3.0, 4.0, 1.0, 2.0, 3.0, 1.0)]
    assert decode_quota_report(content) == QuotaReport(1, 2, totals)


def test_an_earlier_build_reports_no_small_calls():
    """Guards against bytes of the build before small calls that can't be read."""
    content = bytes.fromhex("9305cd04b09195a66c6974746572cd0190cd03840a14")
    totals = [WorkspaceTotals("litter", 400, 900, 10, 20)]
    assert decode_quota_report(content) == QuotaReport(5, 1200, totals)
    assert totals[0].asked_small == 0


def test_the_configuration_declares_quotas():
    """Guards against quotas that are misread; 0 or absent means none."""
    tenants = [
        {"name": "a", "apiKeys": ["k1"], "ratePerS": 379975, "burst": 379975}
        | {"unit": "tokens", "uncachedTokens": 200},
        {"name": "b", "apiKeys": ["k2"], "ratePerS": 50.5, "burst": 60},
        {"name": "c", "apiKeys": ["k3"], "ratePerS": 0, "burst": 60},
        {"name": "d", "apiKeys": ["k4"]},
    ]
    value = {"version": 1, "routes": [], "services": [], "tenants": tenants}
    workspaces = decode_declaration(msgspec.json.encode(value)).workspaces
    assert workspaces["k1"].quota == Quota(379_975, 379_975, True, 200)
    assert workspaces["k2"].quota == Quota(50.5, 60, False, 0)
    assert workspaces["k3"].quota is None
    assert workspaces["k4"].quota is None


@pytest.mark.parametrize(
    "value, stated",
    [("383,17", 400), ("383", 383), ("", None), ("x,y", None), ("-1,5", 5)],
)
def test_calls_state_their_tokens(value, stated):
    """Guards against calls that cost nothing because of an odd header."""
    headers = [(b"token-usage", value.encode())] if value else []
    scope = {"method": "POST", "path": "/", "raw_path": b"/", "query_string": b""}
    reader = PlatformRequestReader()
    call = reader.make_call({**scope, "headers": headers}, b"", ROUTE, None, 0.0)
    assert call.stated_tokens == stated


def test_quota_events_can_be_read_and_explained(tmp_path):
    """Guards against rejected calls that an operator can't trace to their quota."""
    path = tmp_path / "front.jsonl"
    log = make_log("front-1", LogSettings(level="info", sink=str(path)))
    metrics = make_entry_metrics(log, lambda table: None)
    log.emit(records.QuotaExceeded("a1", "w", 400, 0.25, 8e5, 2e5, -3e4, 0.7))
    log.emit(records.QuotaLimitChanged("w", True, 1))
    log.emit(records.QuotaShareChanged(0.5, 4, 2))
    log.close()
    reader = LogReader()
    reader.read_files([path])
    explanation = explain_request(merge_lines(reader.lines), "a1")
    text = "\n".join(render_explanation(explanation))
    assert "800000/s of a quota of 200000/s; 25.0% of its calls" in text
    assert b"primrosepier_quota_rejected_cost_total 400" in metrics.render()
    kinds = {type(decode_event(line)) for line in reader.lines}
    assert kinds == set(get_args(records.QUOTA_EVENT))


class QuotaMachine(RuleBasedStateMachine):
    """Routers, their reports and their faults, in any order.

    Represents the load of charging on a few routers, with bursts of up to 4.4 times
    the fill rate, while any of them restarts, freezes or is cut off. Guards against an
    order of events after which the bound is exceeded.
    """

    rate = 100_000

    @initialize(count=st.sampled_from([2, 3, 9]), seed=st.integers(0, 99))
    def set_up(self, count, seed):
        self.fleet = QuotaFleet(count, make_declaration(w=self.rate), seed, loss=0.1)
        self.factor = 1.0
        self.version = 1
        self.lowered_at_s = None
        self.fleet.load("w", lambda now_s: USUAL * self.rate * self.factor)

    @rule(duration_s=st.sampled_from([0.1, 0.5, 1.0, 3.0]))
    def wait(self, duration_s):
        self.fleet.run(self.fleet.now_s + duration_s)

    @rule(factor=st.sampled_from([0.0, 0.5, 1.0, 2.0, 8.0]))
    def change_load(self, factor):
        self.factor = factor
        self.fleet.run(self.fleet.now_s + 0.5)

    @rule(number=st.integers(0, 8))
    def restart(self, number):
        host = self.fleet.hosts[number % self.fleet.count]
        self.fleet.frozen.discard(host)
        self.fleet.start(host)

    @rule(number=st.integers(0, 8))
    def freeze(self, number):
        self.fleet.frozen.add(self.fleet.hosts[number % self.fleet.count])

    @precondition(lambda self: self.fleet.frozen)
    @rule()
    def resume(self):
        self.fleet.frozen.clear()

    @rule(numbers=st.sets(st.integers(0, 8), max_size=4))
    def cut_off(self, numbers):
        hosts = {self.fleet.hosts[number % self.fleet.count] for number in numbers}
        self.fleet.parts = dict.fromkeys(hosts, "cut off")
        self.fleet.run(self.fleet.now_s + 0.5)

    @precondition(lambda self: self.lowered_at_s is None)
    @rule()
    def lower(self):
        self.lowered_at_s = self.fleet.now_s + 3
        declaration = make_declaration(2, w=self.rate / 2)
        self.fleet.declaration = declaration
        for host in self.fleet.hosts:
            after_s = self.fleet.rng.uniform(0, 3)
            args = (host, declaration)
            self.fleet.schedule(after_s, self.fleet.declared.__setitem__, *args)

    @invariant()
    def stay_within_bound(self):
        assert self.fleet.measure_excess("w", self.rate) <= 1
        if self.lowered_at_s is not None:
            from_s = self.lowered_at_s
            assert self.fleet.measure_excess("w", self.rate / 2, from_s) <= 1


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)


@pytest.mark.parametrize("cost", [383.0, 1000.0])
def test_a_lone_call_is_asked_back_as_soon_as_the_bucket_is_refilled(cost):
    """Load of one call after a surge. Guards against waits several times too long."""
    bounds = QuotaBounds(8.0, 0.1, 190_000)
    quota = Quota(47_000, 47_000, True, 200)
    bucket = make_bucket(quota, bounds, random.Random(1), 0.0, 1.0)
    bucket.advance(1.0, 1.0, False)
    bucket.level = bucket.compute_reference() - 2 * quota.rate_per_s
    bucket.admit(cost)
    _, latest_s = bucket.compute_retry_range(cost, 18.0)
    assert latest_s <= 2 * 2.1


@pytest.mark.parametrize("seed", [41, 58])
def test_random_loads_and_faults_stay_within_the_quota(seed):
    """Guards against sequences of faults that admit more than a window may cost."""
    assert RandomFaults(9, 400_000, seed).play() <= 1.0
