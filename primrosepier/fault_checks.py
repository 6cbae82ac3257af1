"""The router's promises as checks on the record of a schedule."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .fault_record import AnswerKind, FleetSample, LeavingSignal, ScheduleRecord
from .ids import HostId, Revision

__all__ = ["PROMISES", "Verdict", "check_record"]

MAX_LEAVING_DELAY_S = 3.0
MAX_CONFIGURATION_DELAY_S = 5.0
MAX_START_DELAY_S = 1.0
MAX_SAMPLE_GAP_S = 0.3


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one check over one schedule.

    Parameters
    ----------
    checked : int
        Number of cases to which the promise applied.
    violations : tuple of str
        A description of each case that broke the promise.
    """

    checked: int
    violations: tuple[str, ...]


def check_cache_isolation(record: ScheduleRecord) -> Verdict:
    """No run uses cache entries of another workspace, incarnation or version."""
    violations = [
        f"{run.request} used {run.mismatched_blocks} blocks of another workspace or "
        f"version at {run.endpoint}"
        for run in record.runs
        if run.mismatched_blocks
    ]
    return Verdict(len(record.runs), tuple(violations))


def check_complete_streams(record: ScheduleRecord) -> Verdict:
    """No stream ends without its end marker, an error event or a broken connection."""
    violations = [
        f"{answer.request} was truncated without an error"
        for answer in record.answers
        if answer.kind is AnswerKind.TRUNCATED
    ]
    violations += [
        f"{answer.request} had partial output that is not a prefix of its answer"
        for answer in record.answers
        if answer.kind in (AnswerKind.ERROR_EVENT, AnswerKind.CUT)
        and not answer.expected.startswith(answer.text)
    ]
    return Verdict(len(record.answers), tuple(violations))


def check_warm_restart(record: ScheduleRecord) -> Verdict:
    """A router that reaches the store is ready one second after its start."""
    checked = 0
    violations = []
    for start in record.starts:
        due_s = start.at_s + MAX_START_DELAY_S
        samples = [
            s for s in record.list_process_samples(start.process) if s.at_s <= due_s
        ]
        later = [
            s for s in record.list_process_samples(start.process) if s.at_s > due_s
        ]
        store_reachable = start.has_store and all(
            sample.has_store for sample in samples
        )
        if not samples or not later or not store_reachable or later[0].stopping:
            continue
        checked += 1
        if not later[0].ready:
            violations.append(f"{start.router} was not ready at {later[0].at_s:.2f} s")
    return Verdict(checked, tuple(violations))


def check_own_answer(record: ScheduleRecord) -> Verdict:
    """A complete answer is the full answer to its own request."""
    complete = [a for a in record.answers if a.kind is AnswerKind.COMPLETE]
    violations = [
        f"{answer.request} got {answer.text[:24]!r} for {answer.expected[:24]!r}"
        for answer in complete
        if answer.text != answer.expected
    ]
    return Verdict(len(complete), tuple(violations))


def check_not_run(record: ScheduleRecord) -> Verdict:
    """A request that was answered with ``not_run`` did not run."""
    executed = {run.request for run in record.runs}
    not_run_answers = [a for a in record.answers if a.code == "not_run"]
    violations = [
        f"{answer.request} ran and was answered with not_run"
        for answer in not_run_answers
        if answer.request in executed
    ]
    return Verdict(len(not_run_answers), tuple(violations))


def check_at_most_once(record: ScheduleRecord) -> Verdict:
    """A request with an idempotency key runs at most once."""
    counts = Counter((run.workspace, run.key) for run in record.runs if run.key)
    violations = [
        f"{key} ran {count} times" for key, count in counts.items() if count > 1
    ]
    return Verdict(len(counts), tuple(violations))


def check_leaving(record: ScheduleRecord) -> Verdict:
    """A leaving endpoint gets no new request three seconds after the first signal."""
    violations = []
    for signal in record.leaving_signals:
        late = [
            run
            for run in record.runs
            if run.endpoint == signal.endpoint
            and run.at_s
            > _compute_notice_time(record, signal, run.router) + MAX_LEAVING_DELAY_S
        ]
        violations += [
            f"{run.endpoint} got {run.request} {run.at_s - signal.at_s:.1f} s after "
            f"its leaving signal at {signal.at_s:.1f} s from {run.router}"
            for run in late
        ]
    return Verdict(len(record.leaving_signals), tuple(violations))


def _compute_notice_time(
    record: ScheduleRecord, signal: LeavingSignal, router: HostId
) -> float:
    """Return when a router could learn of a signal: not while it is frozen."""
    ends = [
        fault.at_s + fault.duration_s
        for fault in record.injected_faults
        if fault.kind == "router_freeze"
        and fault.target == router
        and fault.at_s <= signal.at_s
    ]
    return max([signal.at_s, *ends])


def check_graceful_stop(record: ScheduleRecord) -> Verdict:
    """A graceful stop cuts no request in progress."""
    drained = [answer for answer in record.answers if answer.drained]
    violations = [
        f"{answer.request} was cut by the graceful stop of {answer.router}"
        for answer in drained
        if answer.kind is AnswerKind.CUT
    ]
    return Verdict(len(drained), tuple(violations))


def check_configuration(record: ScheduleRecord) -> Verdict:
    """Accepted configurations take effect in seconds and are never reverted."""
    processes = defaultdict(list)
    for sample in record.samples:
        processes[sample.process].append(sample)
    checked = 0
    violations = []
    for samples in processes.values():
        violations += _find_reverts(samples)
        for acceptance in record.acceptances:
            late = _find_overdue_sample(samples, acceptance.at_s, acceptance.revision)
            checked += 1
            if late is not None:
                violations.append(
                    f"{late.router} was at {late.revision} and not at "
                    f"{acceptance.revision}, accepted {acceptance.at_s:.1f} s, at "
                    f"{late.at_s:.1f} s"
                )
    return Verdict(checked, tuple(violations))


def _find_reverts(samples: list[FleetSample]) -> list[str]:
    return [
        f"{after.router} went from {before.revision} to {after.revision}"
        for before, after in zip(samples, samples[1:], strict=False)
        if after.revision < before.revision
    ]


def _find_overdue_sample(
    samples: list[FleetSample], accepted_at_s: float, revision: Revision
) -> FleetSample | None:
    """Return a ready sample on an old revision although the store was reachable."""
    reachable_since_s: float | None = None
    last_s = accepted_at_s
    for sample in samples:
        if sample.at_s < accepted_at_s:
            continue
        if not sample.has_store or sample.at_s - last_s > MAX_SAMPLE_GAP_S:
            reachable_since_s = None
        elif reachable_since_s is None:
            reachable_since_s = sample.at_s
        last_s = sample.at_s
        if reachable_since_s is None or not sample.ready:
            continue
        overdue = sample.at_s - reachable_since_s > MAX_CONFIGURATION_DELAY_S
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
