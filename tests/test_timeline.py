import json
import random

import anyio
import msgspec
import pytest
from cleo.testers.application_tester import ApplicationTester
from hypothesis import given, settings, strategies as st

from primrosepier.cli import make_application
from primrosepier.demo import open_demo, run_demo_trace
from primrosepier.explain import explain_request, render_explanation
from primrosepier.log_lines import LogReader
from primrosepier.timeline import Filter, filter_entries, merge_lines

TASK = "0" * 36
NETWORK_S = 0.001
SERVICE_S = 0.010


def make_line(process, number, at_s, **fields):
    line = {"host": process, "process": process, "number": number, "timestamp": at_s}
    return {**line, **fields}


def make_request_lines(count, skews):
    """Return lines of requests from a router to the first engine of ``skews``."""
    lines = []
    numbers = dict.fromkeys(("router", *skews), 0)

    def add(process, at_s, task, level, **fields):
        numbers[process] += 1
        stamp = at_s + skews.get(process, 0.0)
        place = {"task_uuid": task, "task_level": level}
        lines.append(make_line(process, numbers[process], stamp, **place, **fields))

    for request in range(count):
        task = f"{request:036d}"
        sent_s = 100.0 + request
        for engine in skews:
            name = {"attempt": f"{request}-{engine}", "request": f"req-{request}"}
            hop = f"{task}@/1"
            start = {"message_type": "AttemptStarted", "hop": hop, **name}
            add("router", sent_s, task, [2], **start)
            add(engine, sent_s + NETWORK_S, task, [1, 1], action_type="engine")
            end = {"message_type": "AttemptEnded", "headers_s": SERVICE_S, **name}
            add("router", sent_s + SERVICE_S, task, [3], **end)
            break
    return lines


def read(lines):
    reader = LogReader()
    reader.read(msgspec.json.encode(line) for line in lines)
    return reader


@pytest.mark.parametrize("skew_s", [0.0, 3600.0, -3600.0, 0.05])
def test_calls_bound_the_offset_of_a_skewed_clock(skew_s):
    lines = make_request_lines(5, {"engine": skew_s})
    timeline = merge_lines(read(lines).lines)
    clock = timeline.clock_offsets["engine"]
    assert clock.low_s <= -skew_s <= clock.high_s
    assert clock.high_s - clock.low_s <= SERVICE_S + 1e-6
    hosts = [entry.line.host for entry in timeline.entries]
    assert hosts == ["router", "engine", "router"] * 5
    assert timeline.entries[-1].at_s == pytest.approx(4 + SERVICE_S)


def test_a_stepped_clock_is_reported_and_causes_precede_effects():
    lines = make_request_lines(2, {"engine": 10.0})
    engine = [line for line in lines if line["host"] == "engine"]
    engine[1]["timestamp"] -= 25.0
    timeline = merge_lines(read(lines).lines)
    assert not timeline.clock_offsets["engine"].is_consistent
    hosts = [entry.line.host for entry in timeline.entries]
    assert hosts == ["router", "engine", "router"] * 2


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.randoms(use_true_random=False), st.floats(-100, 100))
def test_the_timeline_does_not_depend_on_the_order_of_input_lines(rng, skew_s):
    lines = make_request_lines(4, {"engine": skew_s})
    expected = merge_lines(read(lines).lines)
    rng.shuffle(lines)
    shuffled = merge_lines(read(lines).lines)
    assert [e.line.raw for e in shuffled.entries] == [
        e.line.raw for e in expected.entries
    ]


GARBAGE = st.one_of(
    st.binary(max_size=40),
    st.recursive(
        st.none() | st.integers() | st.text(max_size=5) | st.floats(allow_nan=False),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=5), inner),
        max_leaves=5,
    ).map(lambda value: json.dumps(value).encode()),
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(GARBAGE, max_size=8), st.integers(0, 400), st.integers(0, 2**32))
def test_unreadable_lines_are_counted(garbage, cut, seed):
    raw = [msgspec.json.encode(line) for line in make_request_lines(3, {"engine": 1.0})]
    truncated = raw[0][: min(cut, len(raw[0]) - 1)]
    mixed = [*raw, *garbage, truncated]
    random.Random(seed).shuffle(mixed)
    reader = LogReader()
    reader.read(mixed)
    blank = sum(not line.strip() for line in mixed)
    assert len(reader.lines) == len(raw)
    assert reader.unreadable == len(mixed) - blank - len(raw)
    assert len(merge_lines(reader.lines).entries) == len(raw)


VALUES = st.one_of(st.integers(-3, 3), st.sampled_from(["", "a", "b"]))
LEVELS = st.lists(st.integers(-1, 3), max_size=3)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(
        st.builds(
            make_line,
            process=st.sampled_from(["a", "b", "c"]),
            number=st.integers(0, 20),
            at_s=st.floats(-10, 10),
            task_uuid=st.sampled_from(["", TASK]),
            task_level=LEVELS,
            hop=st.sampled_from(["", f"{TASK}@/1", f"{TASK}@/2/1"]),
            message_type=st.sampled_from(["", "AttemptStarted", "AttemptEnded"]),
            headers_s=st.none() | st.floats(-1, 1),
        ),
        max_size=20,
    )
)
def test_contradictory_lines_are_all_kept(lines):
    reader = read(lines)
    timeline = merge_lines(reader.lines)
    assert len(timeline.entries) == len(reader.lines)
    times = [entry.at_s for entry in timeline.entries]
    assert times == sorted(times)


def test_duplicate_lines_are_read_once():
    lines = make_request_lines(2, {"engine": 0.0})
    reader = read(lines + lines)
    assert (len(reader.lines), reader.duplicates) == (6, 6)


def test_filters():
    timeline = merge_lines(read(make_request_lines(3, {"engine": 0.0})).lines)
    selected = filter_entries(timeline, Filter(request="req-1"))
    assert {entry.line.task_uuid for entry in selected} == {f"{1:036d}"}
    assert len(selected) == 3
    assert len(filter_entries(timeline, Filter(since_s=0.5, until_s=1.5))) == 3
    assert len(filter_entries(timeline, Filter(endpoint="engine"))) == 3


@pytest.fixture(scope="module")
def crash_logs(tmp_path_factory):
    """Logs of a demo in which engines interrupted streams."""
    directory = tmp_path_factory.mktemp("logs")

    async def run():
        async with open_demo(logs=directory) as demo:
            for engine in demo.engines.values():
                engine.faults.crash_after_tokens = 3
            await run_demo_trace(demo, 5, 60, lambda count: None)
            return sum(engine.counts.crashes for engine in demo.engines.values())

    assert anyio.run(run) > 0
    return directory


def run_command(line):
    tester = ApplicationTester(make_application())
    code = tester.execute(line)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


@pytest.mark.sockets
def test_explain_describes_a_stream_that_an_engine_interrupted(crash_logs):
    reader = LogReader()
    reader.read_files(crash_logs.iterdir())
    timeline = merge_lines(reader.lines)
    interrupted = [
        e.line
        for e in timeline.entries
        if e.line.message_type == "AttemptEnded" and b'"Interrupted"' in e.line.raw
    ]
    line = interrupted[0]
    explanation = explain_request(timeline, line.request)
    text = "\n".join(render_explanation(explanation))
    assert f"Sent to {line.endpoint}" in text
    assert f"{line.endpoint}: the answer began and broke off at step relay" in text
    assert "End after" in text
    tree = filter_entries(timeline, Filter(request=line.request))
    assert {line.host, line.endpoint} <= {entry.line.host for entry in tree}
    assert f"engine: lost {line.request}" in [e.line.message for e in tree]


@pytest.mark.sockets
@pytest.mark.parametrize("suffix", ["png", "svg", "html"])
def test_timeline_is_plotted(crash_logs, tmp_path, suffix):
    files = " ".join(str(path) for path in crash_logs.iterdir())
    target = tmp_path / f"out.{suffix}"
    code, _, _ = run_command(f"timeline --until 0.1 --plot {target} {files}")
    assert code == 0
    assert target.stat().st_size > 1000


@pytest.mark.sockets
def test_commands_report_unreadable_lines(crash_logs, tmp_path):
    (tmp_path / "foreign.log").write_text("not a line\n{}\n")
    files = " ".join(str(path) for path in [*crash_logs.iterdir(), tmp_path])
    files = files.replace(str(tmp_path), str(tmp_path / "foreign.log"))
    code, output, error = run_command(f"timeline --part dispatch --json {files}")
    assert code == 0
    assert "skipped 2 unreadable" in error
    lines = [json.loads(line) for line in output.splitlines()]
    assert all(line["line"]["part"] == "dispatch" for line in lines)
    request = lines[0]["line"]["request"]
    code, output, _ = run_command(f"explain {request} {files}")
    assert code == 0
    assert "candidates of note-writers" in output
    code, _, error = run_command(f"explain req-unknown {files}")
    assert code == 1
    assert "not req-unknown" in error
