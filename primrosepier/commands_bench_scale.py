"""The commands bench scale and capacity-page."""

from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type as OutputType

from .bench_scale import ScaleReport, run_scale
from .capacity_page import render_capacity_page
from .decoding import decode_json
from .errors import MessageError

__all__ = ["BenchScaleCommand", "CapacityPageCommand"]


class BenchScaleCommand(Command):
    """Measure on this machine how costs grow with sizes."""

    name = "bench scale"
    description = "Measure on this machine how costs grow with sizes."
    options = [option("json", None, "Print the report as JSON.")]

    def handle(self) -> int:
        """Run the command."""
        report = run_scale()
        if self.option("json"):
            data = msgspec.json.format(msgspec.json.encode(report))
            self.io.output.write_line(data.decode(), type=OutputType.RAW)
            return 0
        rows = [
            [
                slope.name,
                slope.x,
                slope.y,
                f"{slope.slope:.4g}",
                f"{slope.intercept:.4g}",
                f"{slope.residual:.3f}",
            ]
            for slope in report.slopes.values()
        ]
        header = ["name", "against", "cost", "slope", "at 0", "residual"]
        self.render_table(header, rows)  # type: ignore[arg-type]
        return 0


class CapacityPageCommand(Command):
    """Print the capacity page computed from a report of bench scale."""

    name = "capacity-page"
    description = "Print the capacity page computed from a report of bench scale."
    arguments = [argument("report", "JSON report of bench scale.")]

    def handle(self) -> int:
        """Run the command."""
        try:
            data = Path(self.argument("report")).read_bytes()
            report = decode_json(data, ScaleReport)
        except (OSError, MessageError) as error:
            self.line_error(str(error))
            return 1
        self.io.output.write(render_capacity_page(report), type=OutputType.RAW)
        return 0
