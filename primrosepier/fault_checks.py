"""The router's promises as checks on the record of a schedule."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from .fault_record import AnswerKind, LeavingSignal, ProcessSample, ScheduleRecord
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
        Description of each case that broke the promise.
    """

    checked: int
    violations: tuple[str, ...]


def check_cache_isolation(record: ScheduleRecord) -> Verdict:
    """Check that no run uses cached blocks of another workspace or weights version."""
    violations = [
        f"{run.request_id} used {run.mismatched_blocks} blocks of another workspace or "
        f"weights version at {run.endpoint}"
        for run in record.runs
        if run.mismatched_blocks
    ]
    return Verdict(len(record.runs), tuple(violations))


def check_complete_streams(record: ScheduleRecord) -> Verdict:
    """Check that each stream ends with its end marker or a visible error.

    A visible error is an error event or a broken connection; the partial output before
    it has to be a prefix of the answer.
    """
    violations = [
        f"{answer.request_id} was truncated without an error"
        for answer in record.answers
        if answer.kind is AnswerKind.TRUNCATED
    ]
    violations += [
        f"{answer.request_id} had partial output that is not a prefix of its answer"
        for answer in record.answers
        if answer.kind in (AnswerKind.ERROR_EVENT, AnswerKind.CUT)
        and not answer.expected_output.startswith(answer.output)
    ]
    return Verdict(len(record.answers), tuple(violations))


def check_warm_restart(record: ScheduleRecord) -> Verdict:
    """Check that a router that reaches the store is ready a second after its start."""
    checked = 0
    violations = []
    for start in record.starts:
        due_s = start.at_s + MAX_START_DELAY_S
        samples_until_due = [
            s for s in record.list_process_samples(start.process) if s.at_s <= due_s
        ]
        samples_after_due = [
            s for s in record.list_process_samples(start.process) if s.at_s > due_s
        ]
        store_reachable = start.store_reachable and all(
            sample.store_reachable for sample in samples_until_due
        )
        if (
            not samples_until_due
            or not samples_after_due
            or not store_reachable
            or samples_after_due[0].stopping
        ):
            continue
        checked += 1
        if not samples_after_due[0].ready:
            violations.append(
                f"{start.router} was not ready at {samples_after_due[0].at_s:.2f} s"
            )
    return Verdict(checked, tuple(violations))


def check_own_answer(record: ScheduleRecord) -> Verdict:
    """Check that a complete answer is the full answer to its own request."""
    complete_answers = [a for a in record.answers if a.kind is AnswerKind.COMPLETE]
    violations = [
        f"{answer.request_id} got {answer.output[:24]!r} for "
        f"{answer.expected_output[:24]!r}"
        for answer in complete_answers
        if answer.output != answer.expected_output
    ]
    return Verdict(len(complete_answers), tuple(violations))


def check_not_run(record: ScheduleRecord) -> Verdict:
    """Check that a request that was answered with ``not_run`` did not run."""
    executed_requests = {run.request_id for run in record.runs}
    not_run_answers = [a for a in record.answers if a.code == "not_run"]
    violations = [
        f"{answer.request_id} ran and was answered with not_run"
        for answer in not_run_answers
        if answer.request_id in executed_requests
    ]
    return Verdict(len(not_run_answers), tuple(violations))


def check_at_most_once(record: ScheduleRecord) -> Verdict:
    """Check that a request with an idempotency key runs at most once."""
    counts = Counter((run.workspace, run.key) for run in record.runs if run.key)
    violations = [
        f"{workspace_key} ran {count} times"
        for workspace_key, count in counts.items()
        if count > 1
    ]
    return Verdict(len(counts), tuple(violations))


def check_leaving(record: ScheduleRecord) -> Verdict:
    """Check that an endpoint gets no request more than 3 s after its leaving signal."""
    violations = []
    for signal in record.leaving_signals:
        late_runs = [
            run
            for run in record.runs
            if run.endpoint == signal.endpoint
            and run.at_s
            > _compute_notice_time(record, signal, run.router) + MAX_LEAVING_DELAY_S
        ]
        violations += [
            f"{run.endpoint} got {run.request_id} {run.at_s - signal.at_s:.1f} s after "
            f"its leaving signal at {signal.at_s:.1f} s from {run.router}"
            for run in late_runs
        ]
    return Verdict(len(record.leaving_signals), tuple(violations))


def _compute_notice_time(
    record: ScheduleRecord, signal: LeavingSignal, router: HostId
) -> float:
    """Return the earliest time at which a router could learn of a signal.

    A router that is frozen at the time of the signal learns of it afterwards.
    """
    freeze_ends_s = [
        fault.at_s + fault.duration_s
        for fault in record.injected_faults
        if fault.kind == "router_freeze"
        and fault.target == router
        and fault.at_s <= signal.at_s
    ]
    return max([signal.at_s, *freeze_ends_s])


def check_graceful_stop(record: ScheduleRecord) -> Verdict:
    """Check that a graceful stop cuts no request in progress."""
    answers_during_stop = [
        answer for answer in record.answers if answer.router_stopping
    ]
    violations = [
        f"{answer.request_id} was cut by the graceful stop of {answer.router}"
        for answer in answers_during_stop
        if answer.kind is AnswerKind.CUT
    ]
    return Verdict(len(answers_during_stop), tuple(violations))


def check_configuration(record: ScheduleRecord) -> Verdict:
    """Check that accepted configurations take effect in time and are not reverted."""
    samples_by_process = defaultdict(list)
    for sample in record.samples:
        samples_by_process[sample.process].append(sample)
    checked = 0
    violations = []
    for samples in samples_by_process.values():
        violations += _find_reverts(samples)
        for acceptance in record.acceptances:
            overdue = _find_overdue_sample(
                samples, acceptance.at_s, acceptance.revision
            )
            checked += 1
            if overdue is not None:
                violations.append(
                    f"{overdue.router} was still at revision {overdue.revision} "
                    f"instead of {acceptance.revision} (accepted at "
                    f"{acceptance.at_s:.1f} s) at {overdue.at_s:.1f} s"
                )
    return Verdict(checked, tuple(violations))


def _find_reverts(samples: list[ProcessSample]) -> list[str]:
    return [
        f"{current.router} went from revision {previous.revision} back to "
        f"{current.revision}"
        for previous, current in zip(samples, samples[1:], strict=False)
        if current.revision < previous.revision
    ]


def _find_overdue_sample(
    samples: list[ProcessSample], accepted_at_s: float, revision: Revision
) -> ProcessSample | None:
    """Return the first sample with an older revision after the permitted delay.

    A sample counts if the router was ready and the store had been reachable, without
    a gap in the samples, for longer than the permitted delay. A gap restarts the
    delay, because a frozen router is not sampled.
    """
    reachable_since_s: float | None = None
    previous_at_s = accepted_at_s
    for sample in samples:
        if sample.at_s < accepted_at_s:
            continue
        if not sample.store_reachable or sample.at_s - previous_at_s > MAX_SAMPLE_GAP_S:
            reachable_since_s = None
        elif reachable_since_s is None:
            reachable_since_s = sample.at_s
        previous_at_s = sample.at_s
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
