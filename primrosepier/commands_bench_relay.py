"""The command bench relay."""

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from .bench_relay import RelayPlan, run_relay_bench

__all__ = ["BenchRelayCommand"]


class BenchRelayCommand(Command):
    """Measure the router against a direct connection."""

    name = "bench relay"
    description = "Measure the router against a direct connection, in one run."
    options = [
        option("streams", None, "Open streams per target.", flag=False, default="1000"),
        option(
            "token-ms", None, "Milliseconds between tokens.", flag=False, default="200"
        ),
        option("requests", None, "Requests per target.", flag=False, default="400"),
        option("json", None, "Print the measures as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            plan = RelayPlan(
                streams=int(self.option("streams")),
                token_s=float(self.option("token-ms")) / 1000,
                requests=int(self.option("requests")),
            )
        except ValueError as error:
            self.line_error(f"wrong option: {error}")
            return 1
        report = run_relay_bench(plan)
        if self.option("json"):
            self.line(msgspec.json.encode(report).decode())
        else:
            for name, value in msgspec.structs.asdict(report).items():
                self.line(f"{name:22} {value}")
        return 0 if not report.failed else 1
