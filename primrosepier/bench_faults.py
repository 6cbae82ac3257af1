"""Benchmark that checks the promises over many random schedules of faults."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .fault_checks import PROMISES, check_record
from .fault_mutations import apply_mutation
from .fault_record import ScheduleRecord
from .fault_schedule import FAULTS, run_schedule
from .virtualtime import run_in_virtual_time

__all__ = ["describe_record", "run_fault_bench"]

SEED_STRIDE = 1_000_003


def describe_record(record: ScheduleRecord) -> list[str]:
    """Return the timeline of one schedule, one line per event."""
    events = [
        (f.at_s, f"{f.kind} of {f.target} for {f.duration_s:.2f} s")
        for f in record.injected_faults
    ]
    events += [(s.at_s, f"{s.router} started") for s in record.starts]
    events += [
        (s.at_s, f"{s.endpoint} signals that it is leaving")
        for s in record.leaving_signals
    ]
    events += [(a.at_s, f"revision {a.revision} accepted") for a in record.acceptances]
    events += [
        (r.at_s, f"{r.request_id} runs at {r.endpoint} for {r.router} key {r.key!r}")
        for r in record.runs
    ]
    events += [
        (a.at_s, f"{a.request_id} ends at {a.router}: {a.kind.value} {a.code}".rstrip())
        for a in record.answers
    ]
    return [f"{at_s:8.3f} s {text}" for at_s, text in sorted(events)]


@dataclass(slots=True)
class Tally:
    """Verdicts over many schedules.

    Parameters
    ----------
    checked : Counter of str
        Number of cases to which a promise applied, by promise.
    violations : Counter of str
        Number of cases that broke a promise, by promise.
    faults : Counter of str
        Number of injected faults by kind.
    first_violation : dict or None
        Seed and trace of the first schedule with a violation.
    """

    schedules: int = 0
    checked: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    first_violation: dict[str, Any] | None = None

    def add(self, record: ScheduleRecord) -> None:
        """Check one schedule and add the verdicts."""
        self.schedules += 1
        self.faults.update(fault.kind for fault in record.injected_faults)
        violations = []
        for name, verdict in check_record(record).items():
            self.checked[name] += verdict.checked
            self.violations[name] += len(verdict.violations)
            violations += [f"{name}: {text}" for text in verdict.violations]
        if violations and self.first_violation is None:
            trace = [*violations, *describe_record(record)]
            self.first_violation = {"seed": record.seed, "trace": trace}

    def render(self) -> dict[str, Any]:
        """Return the tally as the JSON object that the command prints."""
        promises = {
            name: {"checked": self.checked[name], "violations": self.violations[name]}
            for name in PROMISES
        }
        return {
            "schedules": self.schedules,
            "promises": promises,
            "faults": {kind: self.faults[kind] for kind in sorted(FAULTS)},
            "first_violation": self.first_violation,
        }


def run_fault_bench(seeds: int, seed: int, mutation: str = "") -> dict[str, Any]:
    """Run schedules and return the JSON object that the command prints.

    Parameters
    ----------
    seeds : int
        Number of schedules.
    seed : int
        Number from which the seed of each schedule is derived.
    mutation : str
        Promise whose mechanism is disabled; empty to disable none.
    """
    tally = Tally()
    with apply_mutation(mutation):
        for index in range(seeds):
            schedule_seed = seed * SEED_STRIDE + index
            tally.add(run_in_virtual_time(run_schedule, schedule_seed))
    return tally.render()
