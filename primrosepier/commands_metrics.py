"""The command that documents the metrics."""

from cleo.commands.command import Command
from cleo.io.outputs.output import Type as OutputType

from .metric_specs import render_metrics_page

__all__ = ["MetricsPageCommand"]


class MetricsPageCommand(Command):
    """Print the page that documents all metrics."""

    name = "metrics-page"
    description = "Print the page that documents all metrics."

    def handle(self) -> int:
        """Run the command."""
        self.io.output.write(render_metrics_page(), type=OutputType.RAW)
        return 0
