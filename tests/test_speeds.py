"""Slowness of replicas, from their responses to the choice of a replica."""

import math
import random

import pytest
from forwarding_samples import (
    LONG_PROMPT,
    choose,
    make_call,
    make_chooser,
    make_replicas,
)

from primrosepier.forwarding.calls import ReportedLoad, ResponseHead
from primrosepier.forwarding.speeds import HomeWeights, SpeedTable, rank_homes
from primrosepier.forwarding.speeds.slowness import MAX_ESTIMATE
from primrosepier.platform.replicas import PlatformDialect


def read_load(value):
    return PlatformDialect().read_head(200, [(b"Instance-Load", value)]).load


def record_slowness(chooser, endpoint, slowness, now_s=0.0):
    head = ResponseHead(200, (), load=ReportedLoad(0, 0, 4, slowness))
    chooser.loads.record_response(endpoint, head, now_s)


@pytest.mark.parametrize(
    ("value", "slowness"),
    [
        (b"3,2,12", None),
        (b"3,2,12,100", 1.0),
        (b"3, 2, 12, 250", 2.5),
        (b"3,2,12,87.5", 0.875),
        (b"3,2,12,100,7", 1.0),
        (b"3,2,12,100,x,,", 1.0),
        *((b"3,2,12," + x, None) for x in (b"", b"0", b"-5", b"10001", b"nan", b"1e2")),
        (b"3,2,12," + b"9" * 5000, None),
    ],
)
def test_load_is_read_whatever_figures_follow(value, slowness):
    """Guards against dropping the whole load, as with exactly three figures."""
    assert read_load(value) == ReportedLoad(3, 2, 12, slowness)


def test_estimate_follows_figures_and_returns_to_usual_without_them():
    table = SpeedTable()
    assert table.get_slowness("r0", 0.0) == 1.0
    for step in range(100):
        table.record_figure("r0", 2.0, step * 0.1)
    assert table.get_slowness("r0", 9.9) == pytest.approx(2.0, abs=0.05)
    assert 1.0 < table.get_slowness("r0", 20.0) < table.get_slowness("r0", 12.0)
    assert table.get_slowness("r0", 900.0) == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize("figure", [None, 0.0, -1.0, 1000.0, float("nan")])
def test_invalid_figures_count_as_usual(figure):
    table = SpeedTable()
    table.record_figure("r0", figure, 0.0)
    assert table.get_slowness("r0", 0.0) == 1.0


def test_one_extreme_figure_does_not_exclude_a_replica():
    """Guards against no calls, thus no new figures, after one figure of 100 times."""
    table = SpeedTable()
    for step in range(50):
        table.record_figure("r0", 1.0, step * 0.1)
    table.record_figure("r0", 100.0, 5.0)
    assert table.get_slowness("r0", 5.0) <= MAX_ESTIMATE
    assert table.get_slowness("r0", 15.0) < 2.0


def test_slow_replicas_get_less_work_and_not_none():
    """Load of harvest: short prompts on replicas of which a third is half as fast."""
    chooser, replicas = make_chooser(), make_replicas(9)
    for number in range(9):
        record_slowness(chooser, f"r{number}", 2.0 if number < 3 else 1.0)
        record_slowness(chooser, f"r{number}", 2.0 if number < 3 else 1.0)
    chooser.loads.mean_tokens = 500.0
    counts = dict.fromkeys((replica.id for replica in replicas), 0)
    for number in range(900):
        call = make_call(((f"p{number}", 50), ("own", 450)))
        choice = choose(chooser, call, replicas)
        counts[choice.replica.id] += 1
        chooser.loads.begin_call(choice.replica.id, choice.uncached_tokens)
    slow = sum(counts[f"r{number}"] for number in range(3)) / 3
    usual = sum(counts[f"r{number}"] for number in range(3, 9)) / 6
    assert 0.45 < slow / usual < 0.6


def test_calls_leave_a_holder_that_is_slow():
    chooser, replicas = make_chooser(), make_replicas(9)
    choice = choose(chooser, make_call(LONG_PROMPT), replicas)
    for _ in range(20):
        record_slowness(chooser, choice.replica.id, 8.0)
    other = choose(chooser, make_call(LONG_PROMPT), replicas)
    assert other.replica.id != choice.replica.id


def test_weights_and_restarts_reset_the_slowness():
    chooser = make_chooser()
    speeds = chooser.loads.speeds
    record_slowness(chooser, "r0", 3.0)
    assert speeds.get_slowness("r0", 0.0) > 1.0
    chooser.loads.record_unreachable("r0", 0.0)
    assert speeds.get_slowness("r0", 0.0) == 1.0
    for weights, slowness in ((1, 3.0), (2, None)):
        load = ReportedLoad(0, 0, 4, slowness)
        head = ResponseHead(200, (), load=load, weights=weights)
        chooser.loads.record_response("r0", head, 0.0)
    assert speeds.get_slowness("r0", 0.0) == 1.0
    record_slowness(chooser, "r0", 3.0)
    chooser.loads.retain([])
    assert not speeds.speeds


class UsualSpeeds(SpeedTable):
    """A table that takes all replicas for equal, whatever is recorded."""

    def record_figure(self, endpoint, figure, now_s):
        pass

    def get_slowness(self, endpoint, now_s):
        return 1.0


@pytest.mark.parametrize("figure", [None, 1.0])
def test_choices_do_not_change_where_all_replicas_perform_alike(figure):
    """Guards services without a fourth figure against other choices than before."""
    choosers = [make_chooser(), make_chooser()]
    choosers[1].loads.speeds = UsualSpeeds()
    replicas = make_replicas(9)
    rng = random.Random(5)
    for number in range(400):
        now_s = number * 0.02
        parts = ((f"p{rng.randrange(30)}", 12_000), ("own", rng.randrange(10, 4000)))
        call = make_call(parts if number % 5 else ())
        choices = [choose(chooser, call, replicas, now_s) for chooser in choosers]
        assert choices[0] == choices[1]
        endpoint = choices[0].replica.id
        is_computed = rng.random() < 0.5
        for chooser in choosers:
            chooser.loads.begin_call(endpoint, choices[0].uncached_tokens)
            record_slowness(chooser, endpoint, figure, now_s)
            if is_computed:
                chooser.loads.end_prefill(endpoint, choices[0].uncached_tokens)


def record_waits(table, slow, reported, factor=4.0, count=20):
    """Record calls at nine replicas, of which one takes ``factor`` times as long."""
    rng = random.Random(3)
    for number in range(9 * count):
        endpoint, now_s = f"r{number % 9}", number * 0.05
        time_s = 0.02 * rng.uniform(0.8, 1.6)
        if endpoint == slow:
            time_s *= factor
            table.record_figure(endpoint, reported, now_s)
        table.record_wait(endpoint, 3000, time_s, now_s)
    return now_s


@pytest.mark.parametrize("reported", [None, 1.0, 4.0])
def test_slow_replica_is_found_whether_it_reports_so_or_not(reported):
    """Guards against replicas that report false figures, or none."""
    table = SpeedTable()
    now_s = record_waits(table, "r4", reported, count=80)
    assert 2.5 < table.get_slowness("r4", now_s) < 6.0
    assert 2.5 < table.get_lasting_slowness("r4") < 6.0
    assert table.get_slowness("r5", now_s) == 1.0


def test_replica_that_falsely_reports_slowness_counts_as_usual():
    table = SpeedTable()
    now_s = record_waits(table, "r4", reported=5.0, factor=1.0, count=40)
    assert 0.6 < table.get_slowness("r4", now_s) < 1.6


HOMES = [f"r{number}" for number in range(24)]


def find_homes(weights):
    return [rank_homes(key * 7919, HOMES, weights)[0] for key in range(4000)]


def test_homes_follow_lasting_speed_and_few_prefixes_move():
    """Load of harvest: 24 replicas, one of which becomes half as fast."""
    table, weights = SpeedTable(), HomeWeights()
    before = find_homes(weights)
    for step in range(400):
        table.record_figure("r3", 2.0, step * 0.5)
    weights.update("writers", HOMES, table, 200.0)
    after = find_homes(weights)
    moved = [b for b, a in zip(before, after, strict=True) if b != a]
    assert set(moved) == {3}
    assert 0.3 < len(moved) / before.count(3) < 0.75


def test_homes_stay_while_load_of_the_machines_comes_in_waves():
    """Load of harvest: waves of 13 s, a figure every 3 s, with noise.

    Guards against homes that follow each wave, so that prefixes are computed again.
    """
    table, weights = SpeedTable(), HomeWeights()
    rng = random.Random(4)
    homes, moved = find_homes(weights), 0
    for step in range(960):
        now_s = step * 0.125
        index = rng.randrange(24)
        wave = 0.5 * math.sin(2 * math.pi * (now_s / 13 + (index % 3) / 3))
        figure = (1.3 + wave) * rng.lognormvariate(0, 0.3)
        table.record_figure(f"r{index}", figure, now_s)
        weights.update("writers", HOMES, table, now_s)
        if step % 40 == 0:
            previous, homes = homes, find_homes(weights)
            moved += sum(b != a for b, a in zip(previous, homes, strict=True))
    assert moved / len(homes) < 0.5
