"""The brief's promises as checks on what was seen from outside."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .fault_record import AnswerKind, FleetSample, LeavingSign, ScheduleRecord
from .ids import HostId, Revision

__all__ = ["PROMISES", "Verdict", "check_record"]

LEAVING_BOUND_S = 3.0
IN_FORCE_BOUND_S = 5.0
START_BOUND_S = 1.0
SAMPLE_GAP_S = 0.3


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one check over one schedule.

    Parameters
    ----------
    checked : int
        Cases to which the promise applied.
    violations : tuple of str
        One sentence for each broken case.
    """

    checked: int
    violations: tuple[str, ...]


def check_cache_isolation(record: ScheduleRecord) -> Verdict:
    """No run uses cache entries of another workspace, incarnation or version."""
    broken = [
        f"{run.request} used {run.foreign_blocks} foreign blocks at {run.endpoint}"
        for run in record.runs
        if run.foreign_blocks
    ]
    return Verdict(len(record.runs), tuple(broken))


def check_complete_streams(record: ScheduleRecord) -> Verdict:
    """No stream ends without its end marker, an error event or a broken connection."""
    broken = [
        f"{answer.request} was truncated without a sign"
        for answer in record.answers
        if answer.kind is AnswerKind.TRUNCATED
    ]
    broken += [
        f"{answer.request} had a part that is not the start of its answer"
        for answer in record.answers
        if answer.kind in (AnswerKind.ERROR_EVENT, AnswerKind.CUT)
        and not answer.expected.startswith(answer.text)
    ]
    return Verdict(len(record.answers), tuple(broken))


def check_warm_restart(record: ScheduleRecord) -> Verdict:
    """A router that reaches the store is ready a second after its start."""
    checked = 0
    broken = []
    for start in record.starts:
        due_s = start.at_s + START_BOUND_S
        samples = [s for s in record.list_process(start.process) if s.at_s <= due_s]
        later = [s for s in record.list_process(start.process) if s.at_s > due_s]
        reached = start.has_store and all(sample.has_store for sample in samples)
        if not samples or not later or not reached or later[0].stopping:
            continue
        checked += 1
        if not later[0].ready:
            broken.append(f"{start.router} was not ready at {later[0].at_s:.2f} s")
    return Verdict(checked, tuple(broken))


def check_own_answer(record: ScheduleRecord) -> Verdict:
    """Each complete answer is the whole answer to its own request."""
    complete = [a for a in record.answers if a.kind is AnswerKind.COMPLETE]
    broken = [
        f"{answer.request} got {answer.text[:24]!r} for {answer.expected[:24]!r}"
        for answer in complete
        if answer.text != answer.expected
    ]
    return Verdict(len(complete), tuple(broken))


def check_not_run(record: ScheduleRecord) -> Verdict:
    """A caller that was told "not run" sent a request that did not run."""
    ran = {run.request for run in record.runs}
    told = [a for a in record.answers if a.code == "not_run"]
    broken = [
        f"{answer.request} ran and was told not_run"
        for answer in told
        if answer.request in ran
    ]
    return Verdict(len(told), tuple(broken))


def check_at_most_once(record: ScheduleRecord) -> Verdict:
    """A request with an idempotency key runs at most once."""
    counts = Counter((run.workspace, run.key) for run in record.runs if run.key)
    broken = [f"{key} ran {count} times" for key, count in counts.items() if count > 1]
    return Verdict(len(counts), tuple(broken))


def check_leaving(record: ScheduleRecord) -> Verdict:
    """A leaving endpoint gets nothing new three seconds after the first sign."""
    broken = []
    for sign in record.signs:
        late = [
            run
            for run in record.runs
            if run.endpoint == sign.endpoint
            and run.at_s > _find_first_sight(record, sign, run.router) + LEAVING_BOUND_S
        ]
        broken += [
            f"{run.endpoint} got {run.request} {run.at_s - sign.at_s:.1f} s after its "
            f"sign at {sign.at_s:.1f} s from {run.router}"
            for run in late
        ]
    return Verdict(len(record.signs), tuple(broken))


def _find_first_sight(
    record: ScheduleRecord, sign: LeavingSign, router: HostId
) -> float:
    """Return when a router could know a sign: not while its process is paused."""
    ends = [
        outage.at_s + outage.duration_s
        for outage in record.outages
        if outage.kind == "router_freeze"
        and outage.target == router
        and outage.at_s <= sign.at_s
    ]
    return max([sign.at_s, *ends])


def check_graceful_stop(record: ScheduleRecord) -> Verdict:
    """A planned stop cuts no request in progress."""
    drained = [answer for answer in record.answers if answer.drained]
    broken = [
        f"{answer.request} was cut by the planned stop of {answer.router}"
        for answer in drained
        if answer.kind is AnswerKind.CUT
    ]
    return Verdict(len(drained), tuple(broken))


def check_configuration(record: ScheduleRecord) -> Verdict:
    """Accepted configurations come into force in seconds and never revert."""
    processes = defaultdict(list)
    for sample in record.samples:
        processes[sample.process].append(sample)
    checked = 0
    broken = []
    for samples in processes.values():
        broken += _find_reverts(samples)
        for acceptance in record.acceptances:
            late = _find_late(samples, acceptance.at_s, acceptance.revision)
            checked += 1
            if late is not None:
                broken.append(
                    f"{late.router} was at {late.revision} and not at "
                    f"{acceptance.revision}, accepted {acceptance.at_s:.1f} s, at "
                    f"{late.at_s:.1f} s"
                )
    return Verdict(checked, tuple(broken))


def _find_reverts(samples: list[FleetSample]) -> list[str]:
    return [
        f"{after.router} went from {before.revision} to {after.revision}"
        for before, after in zip(samples, samples[1:], strict=False)
        if after.revision < before.revision
    ]


def _find_late(
    samples: list[FleetSample], accepted_at_s: float, revision: Revision
) -> FleetSample | None:
    """Return a ready sample that is behind after the store was in reach for long."""
    reached_since_s: float | None = None
    last_s = accepted_at_s
    for sample in samples:
        if sample.at_s < accepted_at_s:
            continue
        if not sample.has_store or sample.at_s - last_s > SAMPLE_GAP_S:
            reached_since_s = None
        elif reached_since_s is None:
            reached_since_s = sample.at_s
        last_s = sample.at_s
        if reached_since_s is None or not sample.ready:
            continue
        overdue = sample.at_s - reached_since_s > IN_FORCE_BOUND_S
        if overdue and sample.revision < revision:
            return sample
    return None


PROMISES: dict[str, Callable[[ScheduleRecord], Verdict]] = {
    "cache_isolation": check_cache_isolation,
    "complete_streams": check_complete_streams,
    "warm_restart": check_warm_restart,
    "own_answer": check_own_answer,
    "not_run": check_not_run,
    "at_most_once": check_at_most_once,
    "leaving": check_leaving,
    "graceful_stop": check_graceful_stop,
    "configuration": check_configuration,
}


def check_record(record: ScheduleRecord) -> dict[str, Verdict]:
    """Return the verdict on each promise."""
    return {name: check(record) for name, check in PROMISES.items()}
