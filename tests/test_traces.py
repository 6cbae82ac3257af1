import msgspec
import pytest
from cleo.testers.application_tester import ApplicationTester
from hypothesis import given, settings, strategies as st

from primrosepier.cli import make_application
from primrosepier.errors import TraceError
from primrosepier.replay import parse_address
from primrosepier.traces import format_trace, generate_trace, parse_trace

VALID_LINE = (
    '{"timestamp": 0, "input_length": 512, "output_length": 1, "hash_ids": [1]}'
)


def run_command(text):
    tester = ApplicationTester(make_application())
    code = tester.execute(text, supports_utf8=True)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_a_generated_trace_round_trips():
    trace = generate_trace(3, 20, 50.0, ["a", "b"], "m")
    assert list(parse_trace(format_trace(trace))) == trace


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("{", "line 2"),
        ('{"timestamp": 0}', "input_length"),
        (VALID_LINE.replace("512", "513"), "2 blocks"),
        (VALID_LINE.replace('"output_length": 1', '"output_length": 0'), "at least 1"),
        (VALID_LINE.replace('"timestamp": 0', '"timestamp": -1'), "timestamp"),
        (b'{"timestamp": "\xff"}', "line 2"),
    ],
)
def test_the_error_has_the_number_of_a_malformed_line(line, expected):
    with pytest.raises(TraceError, match="line 2") as caught:
        list(parse_trace([VALID_LINE, line]))
    assert expected in str(caught.value)


@given(data=st.binary(max_size=80))
@settings(derandomize=True, deadline=None)
def test_arbitrary_bytes_parse_or_raise_a_trace_error(data):
    try:
        list(parse_trace(data.splitlines()))
    except TraceError as error:
        assert "line" in str(error)


@pytest.mark.parametrize("url", ["https://a:1", "http://a", "http://a:1/v1", "a:1"])
def test_an_address_of_another_form_raises(url):
    with pytest.raises(TraceError):
        parse_address(url)


def test_commands_report_invalid_arguments_and_files(tmp_path):
    file = tmp_path / "trace.jsonl"
    file.write_text(VALID_LINE + "\n{\n")
    code, _, error = run_command(f"trace replay --url http://127.0.0.1:1 {file}")
    assert code == 1 and "line 2 is malformed" in error
    file.write_text(VALID_LINE + "\n")
    code, _, error = run_command(f"trace replay --url http://127.0.0.1:1 {file}")
    assert code == 1 and "can't be reached" in error
    code, _, error = run_command(f"trace replay {file}")
    assert code == 1 and "--url" in error
    code, _, error = run_command("trace generate --count none")
    assert code == 1 and "wrong option" in error


def test_the_command_prints_a_trace():
    code, output, _ = run_command("trace generate --count 3 --workspaces a,b")
    lines = [msgspec.json.decode(line) for line in output.splitlines()]
    assert code == 0 and len(lines) == 3
    assert {line["workspace"] for line in lines} <= {"a", "b"}
