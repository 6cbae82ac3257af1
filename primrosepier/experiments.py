"""Experiments with the policy bench, defined by INI files."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from .bench_plot import plot_measures
from .bench_run import BenchPlan, BenchResult, render_report, run_bench
from .errors import SettingsError
from .ini import SectionReader, parse_ini

__all__ = ["Experiment", "load_experiment", "run_experiment"]

DEPLOYMENTS = ("keranvel", "registry")
MEASURES = (
    ("hit_rate", "hit rate"),
    ("wasted_tokens", "wasted tokens"),
    ("ttft_p50_s", "TTFT p50 (s)"),
    ("ttft_p99_s", "TTFT p99 (s)"),
    ("completed", "completed"),
    ("shed", "shed"),
    ("lost", "lost"),
)


@dataclass(frozen=True, slots=True)
class Experiment:
    """A bench plan that is run once for each seed.

    Parameters
    ----------
    plan : BenchPlan
        The seed is replaced by each of ``seeds``.
    """

    name: str
    plan: BenchPlan
    seeds: tuple[int, ...]


def load_experiment(path: Path) -> Experiment:
    """Read an experiment file.

    Raises
    ------
    SettingsError
        The file can't be read or contains an invalid value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        raise SettingsError(str(path), "-", "-", str(cause)) from cause
    parser = parse_ini(text, str(path))
    if parser.sections() != ["experiment"]:
        raise SettingsError(
            str(path), "-", "-", "the only section must be [experiment]"
        )
    values = parser["experiment"]
    reader = SectionReader(str(path), "experiment", values, SettingsError)
    experiment = _read_experiment(reader, path.stem)
    reader.check_unknown()
    return experiment


def _read_experiment(reader: SectionReader, name: str) -> Experiment:
    seeds = reader.read_list("seeds", "1")
    if not seeds or not all(seed.isdigit() for seed in seeds):
        raise reader.make_error("seeds", "is not a list of whole numbers")
    plan = BenchPlan(
        deployment=reader.read_choice("deployment", DEPLOYMENTS, "keranvel"),
        policies=reader.read_list("policies"),
        load=reader.read_float("load", 0.8, minimum=0.01),
        faults=reader.read_bool("faults", False),
        steady=reader.read_bool("steady", False),
        scale=reader.read_int("scale", 1, minimum=1),
        requests=reader.read_int("requests", BenchPlan().requests, minimum=100),
    )
    return Experiment(name, plan, tuple(int(seed) for seed in seeds))


def run_experiment(
    experiment: Experiment,
    directory: Path,
    on_seed: Callable[[int], None] = lambda seed: None,
) -> Path:
    """Run all seeds and write a Markdown report, plots and JSON.

    Returns
    -------
    Path
        Path of the Markdown report.
    """
    directory.mkdir(parents=True, exist_ok=True)
    reports = []
    for seed in experiment.seeds:
        result = run_bench(replace(experiment.plan, seed=seed))
        plot_measures(result, directory / f"seed-{seed}.png")
        reports.append(_write_report(result, directory, seed))
        on_seed(seed)
    path = directory / "report.md"
    path.write_text(_render_markdown(experiment, reports), encoding="utf-8")
    return path


def _write_report(result: BenchResult, directory: Path, seed: int) -> dict[str, Any]:
    report = render_report(result)
    data = msgspec.json.format(msgspec.json.encode(report))
    (directory / f"seed-{seed}.json").write_bytes(data + b"\n")
    return report


def _render_markdown(experiment: Experiment, reports: Sequence[dict[str, Any]]) -> str:
    plan = experiment.plan
    faults = "with" if plan.faults else "without"
    seeds = ", ".join(str(seed) for seed in experiment.seeds)
    lines = [
        f"# Experiment {experiment.name}",
        "",
        f"Deployment {plan.deployment} times {plan.scale}, load {plan.load}, {faults}",
        f"faults, {reports[0]['requests']} requests, seeds {seeds}. Each cell is the",
        "mean over the seeds with the lowest and the highest.",
        "",
        "| policy | " + " | ".join(title for _, title in MEASURES) + " |",
        "|" + "---|" * (len(MEASURES) + 1),
    ]
    for policy in reports[0]["policies"]:
        measures = [report["policies"][policy] for report in reports]
        cells = [_format_cell([m[key] for m in measures]) for key, _ in MEASURES]
        lines.append(f"| {policy} | {' | '.join(cells)} |")
    lines.append("")
    for seed in experiment.seeds:
        lines.append(f"![Measures over time, seed {seed}](seed-{seed}.png)")
    return "\n".join(lines) + "\n"


def _format_cell(values: Sequence[float]) -> str:
    mean = sum(values) / len(values)
    return f"{mean:.4g} ({min(values):.4g} to {max(values):.4g})"
