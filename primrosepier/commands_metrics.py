"""Commands that generate parts of the documentation."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.io.outputs.output import Type as OutputType

from .board_picture import draw_board, find_sections
from .metric_specs import render_metrics_page

__all__ = ["BoardPictureCommand", "MetricsPageCommand"]


class MetricsPageCommand(Command):
    """Print the documentation of all metrics."""

    name = "metrics-page"
    description = "Print the documentation of all metrics."

    def handle(self) -> int:
        """Run the command."""
        self.io.output.write(render_metrics_page(), type=OutputType.RAW)
        return 0


class BoardPictureCommand(Command):
    """Print a diagram of the board as SVG."""

    name = "board-picture"
    description = "Print a diagram of the board as SVG."

    def handle(self) -> int:
        """Run the command."""
        sections = find_sections(Path(__file__).parent)
        self.io.output.write(draw_board(sections), type=OutputType.RAW)
        return 0
