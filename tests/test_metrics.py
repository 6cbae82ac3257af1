import json
import re
import time
from pathlib import Path

import anyio
import httpcore
import pytest

from primrosepier.board import make_board
from primrosepier.clocks import ManualClock
from primrosepier.configuration import Configuration
from primrosepier.demo import open_demo, run_demo_trace
from primrosepier.log_events import (
    AttemptEnded,
    AttemptStarted,
    ClaimSettled,
    PromiseBroken,
    RequestEnded,
    RequestRefused,
    ReuseObserved,
)
from primrosepier.metric_specs import SPECS, Promise, render_metrics_page
from primrosepier.metric_table import MAX_LABEL_VALUES
from primrosepier.metrics import Metrics

ROOT = Path(__file__).parent.parent
NAME = re.compile(r"primrosepier_[a-z_]+")
SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$")


def parse(text):
    samples = {}
    for line in text.decode().splitlines():
        match = SAMPLE.match(line)
        if match and not line.startswith("#"):
            samples[match[1], match[2] or ""] = float(match[3])
    return samples


def count_broken(metrics):
    samples = parse(metrics.render())
    name = "primrosepier_broken_promises_total"
    return {
        p: int(samples[name, f'promise="{p.value}"'])
        for p in Promise
        if samples[name, f'promise="{p.value}"']
    }


def make_end(outcome, request="req-1"):
    return RequestEnded(request, "w", "s", outcome, "relay", "e", "", 100, 50, 1.0, 0.1)


def make_start(endpoint="e", request="req-1"):
    return AttemptStarted(request, "att-1", endpoint, "")


def make_attempt_end(outcome, request="req-1"):
    return AttemptEnded(request, "att-1", "e", outcome, "relay", "", 0, 0.1)


def strip_suffix(name):
    return re.sub(r"_(bucket|sum|count)$", "", name)


def test_the_metrics_page_matches_the_registry():
    assert (ROOT / "docs" / "metrics.md").read_text() == render_metrics_page()
    metrics = Metrics(make_board())
    assert {c.name for c in metrics.registry.get_all()} == {s.name for s in SPECS}


@pytest.mark.parametrize("file", ["alerts.yml", "dashboard.json"])
def test_deployed_files_name_known_metrics(file):
    text = (ROOT / "deploy" / file).read_text()
    names = {strip_suffix(name) for name in NAME.findall(text)}
    assert names
    assert names <= {spec.name for spec in SPECS}
    if file == "dashboard.json":
        assert len(json.loads(text)["panels"]) > 5
    for page in re.findall(r"runbook: (\S+)", text):
        assert (ROOT / page).is_file()


@pytest.mark.parametrize(
    ("promise", "events"),
    [
        (Promise.COMPLETE_STREAM, [make_end("Interrupted")]),
        (Promise.GRACEFUL_STOP, [make_end("Cut")]),
        (Promise.WARM_RESTART, [RequestRefused("req-1", 503, "not_run")]),
        (Promise.NOT_RUN, [make_attempt_end("Interrupted"), make_end("NotRun")]),
        (
            Promise.AT_MOST_ONCE,
            [
                ClaimSettled("req-1", "w", "Claimed", 0.01),
                make_start(),
                make_attempt_end("UnknownOutcome"),
                make_start(),
            ],
        ),
        (Promise.OWN_ANSWER, [PromiseBroken("own_answer", "req-1", "crossed")]),
        (Promise.CACHE_SCOPE, [PromiseBroken("cache_scope", "req-1", "old weights")]),
    ],
)
def test_a_broken_promise_is_counted(promise, events):
    metrics = Metrics(make_board())
    assert count_broken(metrics) == {}
    for event in events:
        metrics.observe(event)
    assert count_broken(metrics) == {promise: 1}


def test_kept_promises_are_not_counted():
    metrics = Metrics(make_board())
    events = [
        ClaimSettled("req-1", "w", "Claimed", 0.01),
        make_start(),
        make_attempt_end("NotRun"),
        make_start(),
        make_attempt_end("Completed"),
        make_end("Completed"),
        make_start(request="req-2"),
        make_attempt_end("NotRun", "req-2"),
        make_end("NotRun", "req-2"),
        make_end("CallerLeft", "req-3"),
    ]
    for event in events:
        metrics.observe(event)
    metrics.promise_monitor.observe_revision(7)
    metrics.promise_monitor.observe_revision(7)
    assert count_broken(metrics) == {}
    assert not metrics.promise_monitor.executed_requests
    assert not metrics.promise_monitor.claimed_requests


def test_attempts_at_a_leaving_endpoint_count_after_3_s():
    board, clock = make_board(), ManualClock()
    metrics = Metrics(board, clock)
    writer = board.leaving.take_writer("test")
    writer.write(frozenset({"e"}), clock())
    metrics.observe(make_start("other"))
    clock.advance(2.9)
    metrics.observe(make_start("e"))
    assert count_broken(metrics) == {}
    clock.advance(0.2)
    metrics.observe(make_start("e"))
    assert count_broken(metrics) == {Promise.LEAVING: 1}


def test_refusals_by_a_configured_router_do_not_break_a_promise():
    board = make_board()
    metrics = Metrics(board)
    board.configuration.take_writer("test").write(Configuration(), 0.0)
    metrics.observe(RequestRefused("req-1", 503, "not_run"))
    assert count_broken(metrics) == {}


def test_a_decreasing_revision_is_counted():
    metrics = Metrics(make_board())
    metrics.promise_monitor.observe_revision(7)
    metrics.promise_monitor.observe_revision(6)
    assert count_broken(metrics) == {Promise.CONFIGURATION: 1}


def test_label_values_are_bounded():
    metrics = Metrics(make_board())
    for number in range(3 * MAX_LABEL_VALUES):
        metrics.observe(RequestRefused(f"req-{number}", 400, f"code-{number}"))
    samples = parse(metrics.render())
    name = "primrosepier_refused_requests_total"
    series = {key: value for key, value in samples.items() if key[0] == name}
    assert len(series) == MAX_LABEL_VALUES + 1
    assert series[name, 'code="other"'] == 2 * MAX_LABEL_VALUES


def test_wasted_tokens_were_expected_but_not_cached():
    metrics = Metrics(make_board())
    metrics.observe(ReuseObserved("req-1", "w", "s", "e", 1000, 800, 300))
    metrics.observe(ReuseObserved("req-2", "w", "s", "e", 1000, 100, 300))
    samples = parse(metrics.render())
    label = 'service="s"'
    assert samples["primrosepier_wasted_prompt_tokens_total", label] == 500
    assert samples["primrosepier_cached_prompt_tokens_total", label] == 600
    assert samples["primrosepier_prompt_tokens_total", label] == 2000


@pytest.mark.sockets
def test_routers_serve_their_metrics():
    async def run():
        async with open_demo() as demo:
            await run_demo_trace(demo, 5, 30, lambda count: None)
            scrapes = []
            async with httpcore.AsyncConnectionPool() as pool:
                for url in demo.list_urls():
                    answer = await pool.request("GET", f"{url}/metrics")
                    scrapes.append(parse(answer.content))
            return scrapes

    scrapes = anyio.run(run)
    name = "primrosepier_requests_total"
    labels = 'outcome="Completed",service="note-writers"'
    assert sum(samples[name, labels] for samples in scrapes) == 30
    for samples in scrapes:
        broken = [
            v for k, v in samples.items() if k[0].endswith("broken_promises_total")
        ]
        assert broken == [0] * len(Promise)
        assert samples["primrosepier_configuration_revision", ""] > 0


def test_observing_a_request_takes_under_a_millisecond():
    metrics = Metrics(make_board())
    started = time.thread_time()
    for _ in range(300):
        for event in (
            make_start(),
            make_attempt_end("Completed"),
            make_end("Completed"),
        ):
            metrics.observe(event)
    assert (time.thread_time() - started) / 300 < 0.001
