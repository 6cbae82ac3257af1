"""The commands timeline and explain, which read logs."""

import math
from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type as OutputType

from .explain import explain_request, list_requests, render_explanation
from .log_lines import LogReader
from .timeline import Entry, Filter, Timeline, filter_entries, merge_lines
from .timeline_plot import plot_timeline

__all__ = ["ExplainCommand", "TimelineCommand"]

FILES = argument("files", "Log files of all processes.", multiple=True)


def _read_timeline(command: Command) -> Timeline | None:
    reader = LogReader()
    try:
        reader.read_files([Path(file) for file in command.argument("files")])
    except OSError as error:
        command.line_error(str(error))
        return None
    timeline = merge_lines(reader.lines)
    if reader.unreadable or reader.duplicates:
        message = (
            f"skipped {reader.unreadable} unreadable and {reader.duplicates} "
            "duplicate lines"
        )
        command.line_error(message)
    for clock in timeline.clock_offsets.values():
        if not clock.is_consistent:
            command.line_error(
                f"no constant offset fits the clock of {clock.process}, "
                "which may have been stepped"
            )
    return timeline


class TimelineCommand(Command):
    """Merge the logs of all processes into one timeline."""

    name = "timeline"
    description = "Merge the logs of all processes into one timeline."
    arguments = [FILES]
    options = [
        option("request", None, "Show only one request and its tree.", flag=False),
        option("endpoint", None, "Show only one endpoint.", flag=False),
        option("workspace", None, "Show only requests of one workspace.", flag=False),
        option("part", None, "Show only one part, such as dispatch.", flag=False),
        option(
            "since", None, "First time to show, in seconds after the start.", flag=False
        ),
        option(
            "until", None, "Last time to show, in seconds after the start.", flag=False
        ),
        option("clocks", None, "Print the bounds of the clock offsets."),
        option("json", None, "Print one JSON object per line."),
        option("plot", None, "Plot to this .png, .svg or .html file.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        timeline = _read_timeline(self)
        if timeline is None:
            return 1
        if self.option("clocks"):
            self._print_clocks(timeline)
            return 0
        entry_filter = Filter(
            request=self.option("request") or "",
            endpoint=self.option("endpoint") or "",
            workspace=self.option("workspace") or "",
            part=self.option("part") or "",
            since_s=float(self.option("since") or -math.inf),
            until_s=float(self.option("until") or math.inf),
        )
        entries = filter_entries(timeline, entry_filter)
        if self.option("plot"):
            plot_timeline(timeline, entries, Path(self.option("plot")))
            return 0
        for entry in entries:
            self.io.output.write_line(self._format(entry), type=OutputType.RAW)
        return 0

    def _format(self, entry: Entry) -> str:
        line = entry.line
        if self.option("json"):
            raw_line = msgspec.Raw(line.raw)
            return msgspec.json.encode({"at_s": entry.at_s, "line": raw_line}).decode()
        return f"{entry.at_s:12.6f} {line.host:<20} {line.describe()}"

    def _print_clocks(self, timeline: Timeline) -> None:
        for clock in sorted(timeline.clock_offsets.values(), key=lambda c: c.process):
            bounds = f"{clock.low_s:+.6f} to {clock.high_s:+.6f} s"
            self.line(f"{clock.process:<32} {clock.offset_s:+.6f} s, {bounds}")


class ExplainCommand(Command):
    """Explain how a request was routed."""

    name = "explain"
    description = "Explain how a request was routed."
    arguments = [argument("request", "Request id."), FILES]

    def handle(self) -> int:
        """Run the command."""
        timeline = _read_timeline(self)
        if timeline is None:
            return 1
        request = self.argument("request")
        explanation = explain_request(timeline, request)
        if explanation is None:
            count = len(list_requests(timeline))
            self.line_error(f"the logs contain {count} requests, but not {request}")
            return 1
        for line in render_explanation(explanation):
            self.io.output.write_line(line, type=OutputType.RAW)
        return 0
