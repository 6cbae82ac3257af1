"""The commands bench load, bench compare and bench experiment."""

from dataclasses import asdict
from pathlib import Path

import anyio
import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from .bench_compare import Ratio, compare_reports
from .bench_load import LoadPlan, LoadReport, run_load
from .bench_load_plot import plot_reports
from .decoding import decode_json
from .errors import MessageError, PrimrosepierError
from .experiments import load_experiment, run_experiment

__all__ = ["BenchCompareCommand", "BenchExperimentCommand", "BenchLoadCommand"]

MAX_SENDER_LAG_S = 0.010


class BenchLoadCommand(Command):
    """Send open-loop load to routers."""

    name = "bench load"
    description = "Send open-loop load to routers."
    options = [
        option("url", None, "Base address; repeatable.", False, multiple=True),
        option("key", None, "WORKSPACE=KEY; repeatable.", False, multiple=True),
        option("model", None, "Model to request.", flag=False),
        option("rate", None, "Requests per second.", flag=False, default="10"),
        option("duration", None, "Seconds.", flag=False, default="10"),
        option("seed", None, "Seed of the requests.", flag=False, default="1"),
        option("plot", None, "File for a plot.", flag=False),
        option("json", None, "Print the report as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        keys = dict(entry.partition("=")[::2] for entry in self.option("key"))
        if not self.option("url") or not keys or not self.option("model"):
            self.line_error("--url, --key and --model are required")
            return 1
        plan = LoadPlan(
            urls=tuple(self.option("url")),
            keys=keys,
            model=self.option("model"),
            rate_per_s=float(self.option("rate")),
            duration_s=float(self.option("duration")),
            seed=int(self.option("seed")),
        )
        try:
            report = anyio.run(run_load, plan)
        except PrimrosepierError as error:
            self.line_error(str(error))
            return 1
        if self.option("plot"):
            plot_reports({"load": report}, Path(self.option("plot")))
        self._print_report(report)
        return 0 if report.completed == report.requests else 1

    def _print_report(self, report: LoadReport) -> None:
        if report.lag.p99_s > MAX_SENDER_LAG_S:
            text = f"the load generator lagged by {report.lag.p99_s:.3f} s at p99"
            self.line_error(f"{text}; the times include the lag")
        if self.option("json"):
            self.line(msgspec.json.encode(report).decode())
            return
        for name in ("requests", "completed", "unsent", "unfinished", "failures"):
            self.line(f"{name}: {getattr(report, name)}")
        for kind in ("ttft", "total", "service", "lag", "gap"):
            times = getattr(report, kind)
            quantiles = f"{times.p50_s:.4f} {times.p95_s:.4f} {times.p99_s:.4f}"
            self.line(f"{kind} p50 p95 p99 (s): {quantiles}")


def _read_report(path: str) -> LoadReport:
    return decode_json(Path(path).read_bytes(), LoadReport)


class BenchCompareCommand(Command):
    """Compare two reports of bench load."""

    name = "bench compare"
    description = "Compare two reports of bench load."
    arguments = [argument("first", "Report."), argument("second", "Report.")]
    options = [
        option("plot", None, "File for a plot.", flag=False),
        option("json", None, "Print the ratios as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        paths = (self.argument("first"), self.argument("second"))
        try:
            first, second = (_read_report(path) for path in paths)
        except (OSError, MessageError) as error:
            self.line_error(str(error))
            return 1
        ratios = compare_reports(first, second)
        if self.option("plot"):
            plot_reports({"first": first, "second": second}, Path(self.option("plot")))
        if self.option("json"):
            values = [{**asdict(r), "differs": r.differs} for r in ratios]
            self.line(msgspec.json.encode(values).decode())
            return 0
        self.render_table(_COLUMNS, [_format_row(ratio) for ratio in ratios])  # type: ignore[arg-type]
        return 0


class BenchExperimentCommand(Command):
    """Run an experiment file and write its report."""

    name = "bench experiment"
    description = "Run an experiment file and write its report."
    arguments = [argument("file", "Experiment file.")]
    options = [option("out", None, "Directory for the report.", False, default="out")]

    def handle(self) -> int:
        """Run the command."""
        try:
            experiment = load_experiment(Path(self.argument("file")))
            path = run_experiment(
                experiment, Path(self.option("out")), self._print_progress
            )
        except PrimrosepierError as error:
            self.line_error(str(error))
            return 1
        self.line(str(path))
        return 0

    def _print_progress(self, seed: int) -> None:
        self.line_error(f"seed {seed} completed")


_COLUMNS = [
    "times",
    "quantile",
    "first (s)",
    "second (s)",
    "ratio",
    "spread",
    "differs",
]


def _format_row(ratio: Ratio) -> list[str]:
    return [
        ratio.kind,
        f"{ratio.quantile:g}",
        f"{ratio.first_s:.4f}",
        f"{ratio.second_s:.4f}",
        f"{ratio.ratio:.3f}",
        f"{ratio.low:.3f} to {ratio.high:.3f}",
        "yes" if ratio.differs else "no",
    ]
