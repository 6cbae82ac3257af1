"""Many random schedules of faults, and how the promises held under them."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .fault_breaks import break_mechanism
from .fault_checks import PROMISES, check_record
from .fault_record import ScheduleRecord
from .fault_schedule import FAULTS, run_schedule
from .virtualtime import run_in_virtual_time

__all__ = ["describe_record", "run_fault_bench"]

SEED_STRIDE = 1_000_003


def describe_record(record: ScheduleRecord) -> list[str]:
    """Return the time line of one schedule, a sentence a line."""
    events = [
        (o.at_s, f"{o.kind} of {o.target} for {o.duration_s:.2f} s")
        for o in record.outages
    ]
    events += [(s.at_s, f"{s.router} started") for s in record.starts]
    events += [(s.at_s, f"{s.endpoint} shows that it leaves") for s in record.signs]
    events += [(a.at_s, f"revision {a.revision} accepted") for a in record.acceptances]
    events += [
        (r.at_s, f"{r.request} runs at {r.endpoint} for {r.router} key {r.key!r}")
        for r in record.runs
    ]
    events += [
        (a.at_s, f"{a.request} ends at {a.router}: {a.kind.value} {a.code}".rstrip())
        for a in record.answers
    ]
    return [f"{at_s:8.3f} s {text}" for at_s, text in sorted(events)]


@dataclass(slots=True)
class Tally:
    """Verdicts over many schedules.

    Parameters
    ----------
    checked, violations : Counter of str
        By promise.
    faults : Counter of str
        Faults that struck, by kind.
    first : dict or None
        Seed and trace of the first schedule with a violation.
    """

    schedules: int = 0
    checked: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    first: dict[str, Any] | None = None

    def add(self, record: ScheduleRecord) -> None:
        """Check one schedule."""
        self.schedules += 1
        self.faults.update(outage.kind for outage in record.outages)
        found = []
        for name, verdict in check_record(record).items():
            self.checked[name] += verdict.checked
            self.violations[name] += len(verdict.violations)
            found += [f"{name}: {text}" for text in verdict.violations]
        if found and self.first is None:
            trace = [*found, *describe_record(record)]
            self.first = {"seed": record.seed, "trace": trace}

    def render(self) -> dict[str, Any]:
        """Return the tally in the form of the command's JSON."""
        promises = {
            name: {"checked": self.checked[name], "violations": self.violations[name]}
            for name in PROMISES
        }
        return {
            "schedules": self.schedules,
            "promises": promises,
            "faults": {kind: self.faults[kind] for kind in sorted(FAULTS)},
            "first_violation": self.first,
        }


def run_fault_bench(seeds: int, seed: int, broken: str = "") -> dict[str, Any]:
    """Run schedules and return the verdicts in the form of the command's JSON.

    Parameters
    ----------
    seeds : int
        Schedules.
    seed : int
        Seed of the first one; the others follow from it.
    broken : str
        Promise whose mechanism is switched off; empty for none.
    """
    tally = Tally()
    with break_mechanism(broken):
        for index in range(seeds):
            number = seed * SEED_STRIDE + index
            tally.add(run_in_virtual_time(run_schedule, number))
    return tally.render()
