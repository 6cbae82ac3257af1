import time

import anyio
import msgspec
import pytest

from primrosepier.asgi import open_server, send_chunk, start_response
from primrosepier.bench_compare import compare_reports
from primrosepier.bench_load import LoadPlan, LoadReport, plan_requests, run_load
from primrosepier.errors import SettingsError
from primrosepier.experiments import load_experiment, run_experiment
from primrosepier.histograms import TimeHistogram

STALL_S = 0.6
KEYS = {"a": "key-a", "b": "key-b"}


class StallingApp:
    """Answers at once, except that the 20th request blocks the whole process."""

    def __init__(self, block=True):
        self.block = block
        self.count = 0

    async def __call__(self, scope, receive, send):
        self.count += 1
        if self.count == 20 and self.block:
            time.sleep(STALL_S)
        await start_response(send, 200)
        await send_chunk(send, b"data: x\n\n")
        await send_chunk(send, b"data: [DONE]\n\n", more=False)


def run_plan(app, **options):
    async def run():
        async with open_server(app, "127.0.0.1:0") as address:
            plan = LoadPlan((f"http://{address}",), KEYS, "m", **options)
            return plan, await run_load(plan)

    return anyio.run(run)


@pytest.mark.sockets
def test_a_stall_delays_every_request_due_during_it():
    plan, report = run_plan(StallingApp(), rate_per_s=100, duration_s=1.2)
    planned = plan_requests(plan)
    assert report.requests == report.completed == len(planned)
    stall_s = planned[19].timestamp / 1000
    due_after_stall_s = [r.timestamp / 1000 - stall_s for r in planned]
    delayed = sum(0 <= due_s < STALL_S / 2 for due_s in due_after_stall_s)
    assert delayed > 10
    undelayed_share = 1 - delayed / len(planned)
    assert report.total.p99_s >= STALL_S / 2
    assert 0.5 < undelayed_share < 0.9
    assert report.total.p90_s >= STALL_S / 2
    assert report.lag.max_s >= STALL_S / 2
    assert report.service.p50_s <= report.total.p50_s + 0.001


@pytest.mark.sockets
def test_unsent_and_unfinished_requests_are_counted():
    class UnresponsiveApp:
        async def __call__(self, scope, receive, send):
            await anyio.sleep_forever()

    options = {"max_in_progress": 3, "drain_s": 0.1}
    _, report = run_plan(UnresponsiveApp(), rate_per_s=50, duration_s=0.4, **options)
    assert report.unfinished == 3
    assert report.unsent == report.requests - 3
    assert report.completed == 0
    assert report.total.count == 3


@pytest.mark.sockets
def test_truncated_and_refused_answers_are_failures():
    class BrokenApp:
        count = 0

        async def __call__(self, scope, receive, send):
            self.count += 1
            status = 429 if self.count % 2 else 200
            await start_response(send, status)
            await send_chunk(send, b"data: x\n\n", more=False)

    _, report = run_plan(BrokenApp(), rate_per_s=50, duration_s=0.3)
    assert report.completed == 0
    assert set(report.failures) == {"status 429", "no end marker"}
    assert sum(report.failures.values()) == report.requests


def make_report(factor):
    times = {}
    for kind in ("ttft", "total", "service", "lag", "gap"):
        histogram = TimeHistogram(10)
        for number in range(1000):
            histogram.add(number // 100, factor * (1 + number % 100) / 1000)
        times[kind] = histogram.make_report()
    zeros = dict.fromkeys(("completed", "unsent", "unfinished"), 0)
    tokens = {"prompt_tokens": 0, "cached_tokens": 0}
    head = {"rate_per_s": 1.0, "duration_s": 1.0, "seed": 1, "requests": 1000}
    return LoadReport(**head, **zeros, failures={}, **tokens, **times)


def test_compare_returns_ratios_with_their_spread():
    first = msgspec.json.decode(msgspec.json.encode(make_report(1.0)), type=LoadReport)
    for ratio in compare_reports(first, make_report(1.5)):
        assert ratio.ratio == pytest.approx(1.5, rel=0.01)
        assert ratio.low <= ratio.ratio <= ratio.high
        assert ratio.differs
    assert not any(ratio.differs for ratio in compare_reports(first, first))


def test_an_experiment_writes_a_report_with_plots(tmp_path):
    file = tmp_path / "small.ini"
    text = "[experiment]\npolicies = random, primrosepier\nseeds = 1, 2\nsteady = yes\n"
    file.write_text(text + "requests = 300\n")
    path = run_experiment(load_experiment(file), tmp_path / "out")
    report = path.read_text()
    assert "| primrosepier |" in report
    assert "seeds 1, 2" in report
    names = {entry.name for entry in path.parent.iterdir()}
    assert {"seed-1.png", "seed-2.png", "seed-1.json", "seed-2.json"} < names


@pytest.mark.parametrize(
    ("line", "key"),
    [("seeds = x", "seeds"), ("colour = red", "colour"), ("load = 0", "load")],
)
def test_an_invalid_experiment_names_the_key(tmp_path, line, key):
    file = tmp_path / "wrong.ini"
    file.write_text(f"[experiment]\n{line}\n")
    with pytest.raises(SettingsError) as caught:
        load_experiment(file)
    assert caught.value.key == key
