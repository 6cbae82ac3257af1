"""The commands bench policy and bench decide."""

from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from .bench_decide import measure_decisions
from .bench_plot import plot_measures
from .bench_run import BenchPlan, BenchResult, render_report, run_bench

__all__ = ["BenchDecideCommand", "BenchPolicyCommand"]


class BenchPolicyCommand(Command):
    """Compare placement policies over simulated engines in virtual time."""

    name = "bench policy"
    description = "Compare placement policies over simulated engines in virtual time."
    options = [
        option("deployment", None, "keranvel or registry.", False, default="keranvel"),
        option("seed", None, "Seed of the workload.", False, default="1"),
        option("scale", None, "Multiplier of the fleet size.", False, default="1"),
        option(
            "load", None, "Load relative to the fleet's capacity.", False, default="0.8"
        ),
        option(
            "faults", None, "Inject crashes, router restarts, stale load, event loss."
        ),
        option(
            "steady", None, "Without a shift of hot prefixes or a change of weights."
        ),
        option("trace", None, "Trace in the Mooncake format.", False),
        option("policies", None, "Names, separated by commas.", False, default=""),
        option("plot", None, "File for a plot.", False),
        option("json", None, "Print the measures as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        result = run_bench(self._read_plan())
        if self.option("plot"):
            plot_measures(result, Path(self.option("plot")))
        if self.option("json"):
            self.line(msgspec.json.encode(render_report(result)).decode())
        else:
            self._print_table(result)
        return 0

    def _read_plan(self) -> BenchPlan:
        trace = self.option("trace")
        names = self.option("policies")
        return BenchPlan(
            deployment=self.option("deployment"),
            seed=int(self.option("seed")),
            scale=int(self.option("scale")),
            load=float(self.option("load")),
            faults=bool(self.option("faults")),
            steady=bool(self.option("steady")),
            trace=Path(trace) if trace else None,
            policies=tuple(names.split(",")) if names else (),
        )

    def _print_table(self, result: BenchResult) -> None:
        rows = []
        for name, measures in result.measures.items():
            rows.append(
                [
                    name,
                    f"{measures.hit_rate:.3f}",
                    str(measures.wasted_tokens),
                    f"{measures.get_ttft_quantile(0.5):.3f}",
                    f"{measures.get_ttft_quantile(0.99):.3f}",
                    str(measures.completed),
                    str(measures.shed),
                ]
            )
        self.line(f"pooled hit rate {result.pooled_hit_rate:.3f}")
        header = ["policy", "hit rate", "wasted tokens", "TTFT p50 (s)"]
        header += ["TTFT p99 (s)", "completed", "shed"]
        self.render_table(header, rows)  # type: ignore[arg-type]


class BenchDecideCommand(Command):
    """Measure the CPU time of a placement decision at several fleet sizes."""

    name = "bench decide"
    description = "Measure the CPU time of a decision at several fleet sizes."
    options = [
        option("seed", None, "Seed of the prompts.", False, default="1"),
        option("json", None, "Print the measures as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        times = measure_decisions(int(self.option("seed")))
        if self.option("json"):
            rounded = {str(size): round(us, 1) for size, us in times.items()}
            self.line(msgspec.json.encode({"us_per_decision": rounded}).decode())
        else:
            rows = [[str(size), f"{us:.1f}"] for size, us in times.items()]
            self.render_table(["endpoints", "us per decision"], rows)  # type: ignore[arg-type]
        return 0
