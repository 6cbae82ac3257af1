import glob
import re
import shlex
from pathlib import Path

import anyio
import msgspec
import pytest
from cleo.io.inputs.argv_input import ArgvInput
from cleo.testers.application_tester import ApplicationTester
from test_bench_load import make_report

import primrosepier
from primrosepier.board import make_board
from primrosepier.board_picture import draw_board, find_sections
from primrosepier.cli import COMMANDS, make_application
from primrosepier.demo import open_demo, run_demo_trace
from primrosepier.log_lines import LogReader

ROOT = Path(__file__).parent.parent
PAGES = sorted(
    [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *ROOT.glob("docs/**/*.md")]
)
COMMAND = re.compile(r"^ {4}(?:\.venv/bin/)?primrosepier (.+)$", re.M)
INLINE = re.compile(r"`(?:\.venv/bin/)?primrosepier ([^`]+)`")
TARGET = re.compile(r"^ {4}make ([a-z]+)|`make ([a-z]+)`", re.M)
LINK = re.compile(r"\]\(([^)#:]+\.(?:md|svg|png|json|ini))\)")
PLACEHOLDER = re.compile(r"\b[A-Z]{2,}\b")
FAST = (
    "bench compare",
    "bench experiment",
    "capacity-page",
    "check",
    "explain",
    "metrics-page",
    "timeline",
)


def list_commands():
    commands = set()
    for page in PAGES:
        text = page.read_text()
        for command in [*COMMAND.findall(text), *INLINE.findall(text)]:
            if command.startswith("("):
                continue
            commands.add(command.partition(" #")[0].strip())
    return sorted(commands)


def is_fast(command):
    """Return whether a command ends soon and needs no values for placeholders."""
    names = PLACEHOLDER.findall(command.replace("REQUEST_ID", ""))
    return command.startswith(FAST) and not names


def find_command(command):
    names = sorted(COMMANDS, key=len, reverse=True)
    for name in names:
        if command == name or command.startswith(name + " "):
            return name
    return None


@pytest.fixture(scope="module")
def command_directory(tmp_path_factory):
    """A directory with the files that the documented commands read."""
    directory = tmp_path_factory.mktemp("docs")
    logs = directory / "out" / "logs"
    logs.mkdir(parents=True)
    for name in ("examples", "docs", "deploy"):
        (directory / name).symlink_to(ROOT / name)
    for name in ("first.json", "second.json"):
        (directory / name).write_bytes(msgspec.json.encode(make_report(1.0)))

    async def run():
        async with open_demo(logs=logs) as demo:
            await run_demo_trace(demo, 5, 20, lambda count: None)

    anyio.run(run)
    return directory


def fill_in_command(command, directory):
    reader = LogReader()
    reader.read_files((directory / "out" / "logs").iterdir())
    request = next(line.request for line in reader.lines if line.request)
    words = []
    for word in shlex.split(command.replace("REQUEST_ID", request)):
        words += sorted(glob.glob(word)) if "*" in word else [word]
    return shlex.join(words)


def test_pages_have_commands():
    assert len(list_commands()) > 10
    assert {c for c in list_commands() if is_fast(c)}


@pytest.mark.parametrize("command", list_commands())
def test_each_documented_command_exists_with_its_options(command):
    name = find_command(command)
    assert name, f"there is no command for {command!r}"
    words = shlex.split(command)
    arguments = words[len(name.split()) :]
    definition = make_application().find(name).definition
    argv = ArgvInput(["primrosepier", *arguments])
    argv.bind(definition)
    argv.validate()


@pytest.mark.sockets
@pytest.mark.parametrize("command", [c for c in list_commands() if is_fast(c)])
def test_each_fast_documented_command_runs(command, command_directory, monkeypatch):
    monkeypatch.chdir(command_directory)
    tester = ApplicationTester(make_application())
    code = tester.execute(fill_in_command(command, command_directory))
    assert code == 0, tester.io.fetch_error()


def test_documented_make_targets_exist():
    targets = set(re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.M))
    documented = set()
    for page in PAGES:
        documented |= {a or b for a, b in TARGET.findall(page.read_text())}
    assert documented
    assert documented <= targets


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_point_to_existing_files(page):
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).is_file(), target


def test_the_indexes_list_every_page():
    for directory in (ROOT / "docs", ROOT / "docs" / "operators"):
        text = (directory / "index.md").read_text()
        if directory.name == "operators":
            text += (ROOT / "docs" / "index.md").read_text()
        for page in directory.glob("*.md"):
            assert page.name == "index.md" or f"{page.name})" in text, page.name


def test_the_board_picture_shows_each_section_with_its_only_writer():
    sections = find_sections(Path(primrosepier.__file__).parent)
    assert set(sections) == {s.name for s in make_board().list_sections()}
    committed = (ROOT / "docs" / "board.svg").read_text()
    text = (ROOT / "docs" / "architecture.md").read_text()
    for name, use in sections.items():
        (writer,) = use.writers
        assert f">{name}</text>" in committed
        assert f">{writer}</text>" in committed
        assert f"| {name} | `{writer}.py` |" in text
        assert use.readers
    assert draw_board(sections).startswith("<svg")
