"""The command bench faults."""

from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

__all__ = ["BenchFaultsCommand"]


class BenchFaultsCommand(Command):
    """Run random schedules of faults and check the promises."""

    name = "bench faults"
    description = "Run random schedules of faults and check the promises."
    options = [
        option("seeds", None, "Number of schedules.", flag=False, default=100),
        option(
            "seed",
            None,
            "Number from which the seeds are derived.",
            flag=False,
            default=0,
        ),
        option("break", None, "Promise whose mechanism is disabled.", flag=False),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        from .bench_faults import run_fault_bench
        from .fault_checks import PROMISES

        mutation = self.option("break") or ""
        if mutation and mutation not in PROMISES:
            self.line_error(f"--break takes one of {', '.join(PROMISES)}")
            return 2
        result = run_fault_bench(
            int(self.option("seeds")), int(self.option("seed")), mutation
        )
        if self.option("json"):
            self.line(msgspec.json.encode(result).decode())
        else:
            self._print_table(result)
        failed = any(counts["violations"] for counts in result["promises"].values())
        return 1 if failed else 0

    def _print_table(self, result: dict[str, Any]) -> None:
        rows = [
            [name, str(counts["checked"]), str(counts["violations"])]
            for name, counts in result["promises"].items()
        ]
        self.render_table(["promise", "checked", "violations"], rows)  # type: ignore[arg-type]
        for line in (result["first_violation"] or {}).get("trace", []):
            self.line(line)
