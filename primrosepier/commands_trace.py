"""Commands that generate and replay traces."""

import sys
from dataclasses import asdict
from pathlib import Path

import anyio
import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from .errors import TraceError
from .replay import ReplayReport, fetch_first_model, replay_trace
from .traces import TraceRequest, format_trace, generate_trace, parse_trace

__all__ = ["TraceGenerateCommand", "TraceReplayCommand"]

STANDARD_INPUT = "-"


class TraceGenerateCommand(Command):
    """Print a seeded trace of nested prompts."""

    name = "trace generate"
    description = "Print a seeded trace of nested prompts, one request per line."
    options = [
        option("seed", None, "Seed.", flag=False, default="7"),
        option("count", None, "Requests.", flag=False, default="600"),
        option("rate", None, "Requests per second.", flag=False, default="80"),
        option(
            "workspaces",
            None,
            "Names, separated by commas.",
            flag=False,
            default="default",
        ),
        option(
            "model",
            None,
            "Model; if empty, the replay uses the first one.",
            flag=False,
            default="",
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            seed, count = int(self.option("seed")), int(self.option("count"))
            rate = float(self.option("rate"))
            if count < 1 or not 0 < rate < float("inf"):
                raise ValueError("count and rate must be above 0")
        except ValueError as error:
            self.line_error(f"wrong option: {error}")
            return 1
        workspaces = [name for name in self.option("workspaces").split(",") if name]
        model = self.option("model") or ""
        for line in format_trace(generate_trace(seed, count, rate, workspaces, model)):
            self.line(line)
        return 0


def _read_trace(file: str) -> list[TraceRequest]:
    try:
        if file == STANDARD_INPUT:
            return list(parse_trace(sys.stdin.buffer))
        return list(parse_trace(Path(file).read_bytes().splitlines()))
    except OSError as cause:
        raise TraceError(str(cause)) from cause


async def _replay(url: str, key: str, requests: list[TraceRequest]) -> ReplayReport:
    model = ""
    if not all(request.model for request in requests):
        model = await fetch_first_model(url, key)
    return await replay_trace(requests, [url], {"": key}, model=model)


class TraceReplayCommand(Command):
    """Send a trace to an address and print the measures."""

    name = "trace replay"
    description = "Send a trace to an OpenAI-compatible address at its own pace."
    arguments = [argument("file", "Trace, one request per line; - for standard input.")]
    options = [
        option("url", None, "Base address, http://IP:PORT.", flag=False),
        option("key", None, "Key of the workspace.", flag=False, default=""),
        option("json", None, "Print the measures as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        if not self.option("url"):
            self.line_error("--url is required: http://IP:PORT")
            return 1
        try:
            requests = _read_trace(self.argument("file"))
            report = anyio.run(
                _replay, self.option("url"), self.option("key"), requests
            )
        except TraceError as error:
            self.line_error(f"{self.argument('file')}: {error}")
            return 1
        if self.option("json"):
            self.line(msgspec.json.encode(asdict(report)).decode())
        else:
            for name, value in asdict(report).items():
                self.line(f"{name:16} {value}")
        return 0 if report.complete == report.requests else 1
