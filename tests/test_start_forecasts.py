"""Forecasts of when calls begin at a replica, without a network."""

import pytest

from primrosepier.forwarding.replica_load import (
    PEER_REPORT_TTL_S,
    PeerLoad,
    ReplicaLoadTable,
)
from primrosepier.forwarding.start_forecasts import (
    MIN_REPORTED_WAIT_S,
    RECENT_S,
    StartForecasts,
)


class Waits:
    """Forecasts on a clock that the test sets."""

    def __init__(self):
        self.now_s = 0.0
        self.loads = ReplicaLoadTable()
        self.forecasts = StartForecasts(self.loads, lambda: self.now_s)

    def send(self, tokens=0):
        self.loads.begin_call("w1", tokens)
        return self.forecasts.record_sent("w1")

    def begin(self, sent, tokens=0):
        self.loads.end_prefill("w1", tokens)
        self.forecasts.record_begun(sent)

    def forecast(self, endpoint="w1"):
        return self.forecasts.forecast_wait_s(endpoint)


def test_a_replica_without_calls_is_expected_to_begin_at_once():
    assert Waits().forecast() == 0.0


def test_a_call_is_expected_to_wait_as_long_as_the_longest_of_late():
    waits = Waits()
    for wait_s in (2.5, 0.5):
        sent = waits.send()
        waits.now_s += wait_s
        waits.begin(sent)
    assert waits.forecast() == pytest.approx(2.5)
    assert waits.forecast("w2") == 0.0
    waits.now_s += RECENT_S
    assert waits.forecast() == pytest.approx(0.5)
    waits.now_s += RECENT_S
    assert waits.forecast() == 0.0


def test_the_age_of_a_call_that_has_not_begun_raises_the_forecast():
    waits = Waits()
    first = waits.send()
    waits.now_s = 1.0
    second = waits.send()
    waits.now_s = 3.0
    assert waits.forecast() == 3.0
    waits.forecasts.record_begun(first)
    waits.now_s = 6.0
    assert waits.forecast() == 5.0
    waits.forecasts.record_ended(second)
    waits.now_s += RECENT_S
    assert waits.forecast() == 5.0
    waits.now_s += 0.1
    assert waits.forecast() == 0.0


def test_a_call_that_waited_in_vain_raises_the_forecast():
    waits = Waits()
    sent = waits.send(1000)
    waits.now_s = 2.0
    waits.begin(sent, 1000)
    sent = waits.send(1000)
    waits.now_s = 4.5
    waits.loads.end_prefill("w1", 1000)
    waits.forecasts.record_ended(sent)
    waits.forecasts.record_ended(sent)
    assert waits.forecast() == 2.5
    waits.now_s += RECENT_S + 0.1
    per_token_s = 2.0 / 1000
    expected_s = waits.loads.mean_tokens * per_token_s
    assert waits.forecast() == pytest.approx(expected_s)


def test_prompts_ahead_are_expected_to_take_their_time():
    waits = Waits()
    sent = waits.send(1000)
    waits.now_s = 0.5
    waits.begin(sent, 1000)
    waits.now_s = 100.0
    waits.loads.record_peer_load("front-2", PeerLoad({"w1": 4000}, waits.now_s))
    waits.send(2000)
    per_token_s = 0.5 / 1000
    expected_s = (6000 + waits.loads.mean_tokens) * per_token_s
    assert waits.forecast() == pytest.approx(expected_s)


def test_waits_that_others_report_raise_the_forecast_until_they_expire():
    waits = Waits()
    report = PeerLoad({}, waits.now_s, waits_ms={"w1": 2500, "w2": 400})
    waits.loads.record_peer_load("front-2", report)
    waits.loads.record_peer_load("front-3", PeerLoad({}, 0.0, waits_ms={"w1": 900}))
    assert waits.forecast() == pytest.approx(2.5)
    assert waits.forecast("w2") == pytest.approx(0.4)
    sent = waits.send()
    waits.now_s = 1.0
    assert waits.forecast() == pytest.approx(2.5)
    waits.forecasts.record_ended(sent)
    waits.now_s = PEER_REPORT_TTL_S
    assert waits.forecast() == 1.0
    assert waits.forecast("w2") == 0.0


def test_only_long_waits_of_late_are_listed_for_others():
    waits = Waits()
    short, long = waits.send(), waits.forecasts.record_sent("w2")
    waits.now_s = MIN_REPORTED_WAIT_S / 2
    waits.begin(short)
    assert waits.forecasts.list_long_waits() == {}
    waits.now_s = 1.5
    assert waits.forecasts.list_long_waits() == {"w2": 1.5}
    waits.forecasts.record_begun(long)
    waits.now_s += RECENT_S + 0.1
    assert waits.forecasts.list_long_waits() == {}


def test_replicas_that_are_gone_are_forgotten():
    waits = Waits()
    sent = waits.send()
    waits.forecasts.retain([])
    waits.now_s = 1.0
    assert waits.forecast() == 1.0
    waits.forecasts.record_ended(sent)
    waits.forecasts.retain([])
    assert not waits.forecasts.replicas
    waits.forecasts.record_begun(sent)
    assert waits.forecast() == 0.0


@pytest.mark.parametrize("has_figures", [False, True])
def test_waits_tell_of_speeds_only_where_replicas_report_them(has_figures):
    """Guards against replicas that count as slow for their queues and caches."""
    waits = Waits()
    if has_figures:
        waits.loads.speeds.record_figure("w1", 1.0, 0.0)
    for _ in range(30):
        for endpoint, time_s in (("w1", 0.4), ("w2", 0.02), ("w3", 0.02), ("w4", 0.02)):
            waits.loads.begin_call(endpoint, 3000)
            sent = waits.forecasts.record_sent(endpoint)
            waits.now_s += time_s
            waits.loads.end_prefill(endpoint, 3000)
            waits.forecasts.record_begun(sent)
    slowness = waits.loads.speeds.get_slowness("w1", waits.now_s)
    assert (slowness > 2.0) is has_figures
