"""The demo command."""

import contextlib
from dataclasses import asdict
from pathlib import Path

import anyio
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from .demo import DEMO_REQUESTS, DEMO_SEED, Demo, open_demo, run_demo_trace
from .replay import ReplayReport

__all__ = ["DemoCommand"]


class DemoCommand(Command):
    """Replay a trace over a demo deployment with embedded stand-ins."""

    name = "demo"
    description = "Replay a trace over a demo deployment with embedded stand-ins."
    options = [
        option(
            "serve",
            None,
            "Keep running; print the addresses and keys as one JSON line.",
        ),
        option("seed", None, "Seed of the trace.", flag=False, default=DEMO_SEED),
        option("logs", None, "Directory for the logs of all processes.", flag=False),
        option("json", None, "Print the results as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        if not str(self.option("seed")).isdecimal():
            self.line_error(f"--seed: {self.option('seed')!r} is not a whole number")
            return 1
        if self.option("serve"):
            with contextlib.suppress(KeyboardInterrupt):
                anyio.run(self._serve)
            return 0
        report = anyio.run(self._replay)
        self._print_report(report)
        return 0 if report.correct == report.requests else 1

    def _make_log_directory(self) -> Path | None:
        if not self.option("logs"):
            return None
        logs = Path(self.option("logs"))
        logs.mkdir(parents=True, exist_ok=True)
        return logs

    async def _serve(self) -> None:
        async with open_demo(logs=self._make_log_directory()) as demo:
            self.line(msgspec.json.encode(describe_demo(demo)).decode())
            await anyio.sleep_forever()

    async def _replay(self) -> ReplayReport:
        quiet = bool(self.option("json"))
        progress = self.progress_bar(DEMO_REQUESTS)
        async with open_demo(logs=self._make_log_directory()) as demo:

            def show_progress(count: int) -> None:
                if not quiet:
                    progress.set_progress(count)

            seed = int(self.option("seed"))
            report = await run_demo_trace(demo, seed, DEMO_REQUESTS, show_progress)
        if not quiet:
            progress.finish()
            self.line("")
        return report

    def _print_report(self, report: ReplayReport) -> None:
        if self.option("json"):
            self.line(msgspec.json.encode(asdict(report)).decode())
            return
        rows = [
            ["requests", str(report.requests)],
            ["complete streams", str(report.complete)],
            ["correct answers", str(report.correct)],
            ["hit rate", f"{report.hit_rate:.3f}"],
            ["wasted tokens", str(report.wasted_tokens)],
            ["TTFT p50 (ms)", f"{report.ttft_p50_s * 1000:.1f}"],
            ["TTFT p99 (ms)", f"{report.ttft_p99_s * 1000:.1f}"],
        ]
        self.render_table(["measure", "value"], rows)  # type: ignore[arg-type]


def describe_demo(demo: Demo) -> dict[str, object]:
    """Return the addresses, API keys and models of a running demo for its clients."""
    return {
        "base_urls": demo.list_urls(),
        "store_url": f"http://{demo.store_address}",
        "workspaces": demo.keys,
        "models": sorted(demo.configuration.models),
    }
