"""A report on where a call would go, as lines of text."""

from collections.abc import Iterator, Sequence

from .report import (
    Answer,
    AnswerKind,
    CandidateReport,
    ExcludedReplica,
    PermitReport,
    PlacementReport,
    QuotaReport,
    ViewReport,
)

__all__ = ["describe_report"]


def describe_report(report: PlacementReport) -> Iterator[str]:
    """Describe a report, with the answer first."""
    yield from _describe_answer(report.answer)
    subject = f"route {report.route or '-'}, workspace {report.workspace or '-'}"
    yield (
        f"Call: {subject}, {report.prompt_tokens} prompt tokens, "
        f"{report.remaining_s:.3f} s before its deadline."
    )
    yield _describe_view(report)
    if report.quota is not None:
        yield from _describe_quota(report.quota)
    if len(report.services) > 1:
        shares = (f"{x.service} {x.share:.0%}" for x in report.services)
        yield f"Services: {', '.join(shares)}; this report is about {report.service}."
    if report.service is not None:
        yield f"Candidates of {report.service}, the cheapest first:"
        for candidate in report.candidates:
            yield from _describe_candidate(candidate)
        yield from _describe_excluded(report.excluded)
    if report.omitted:
        yield f"  {report.omitted} more replicas are not listed."
    for permit in report.permits:
        yield _describe_permit(permit)


def _describe_answer(answer: Answer) -> Iterator[str]:
    wait = f" after {answer.wait_s:.3f} s" if answer.wait_s else ""
    if answer.kind is AnswerKind.REPLICA:
        yield f"Answer: {answer.kind.value}{wait}: {' or '.join(answer.replicas)}."
    elif answer.kind is AnswerKind.PASSED_ON:
        routers = ", ".join(answer.routers)
        yield f"Answer: {answer.kind.value}: {routers}; {answer.reason}."
    else:
        code = f" {answer.code}" if answer.code else ""
        reason = answer.reason.rstrip(".")
        yield f"Answer: {answer.kind.value} with {answer.status}{code}: {reason}."
    if answer.retry_after_s is not None:
        yield f"  Retry-After {_describe_bounds(answer.retry_after_s)}."
    for condition in answer.conditions:
        yield f"  If {condition}."


def _describe_bounds(bounds: Sequence[float]) -> str:
    least_s, most_s = bounds
    if least_s == most_s:
        return f"{least_s:.3f} s"
    return f"{least_s:.3f} to {most_s:.3f} s"


def _describe_age(age_s: float | None) -> str:
    return "never" if age_s is None else f"{age_s:.2f} s ago"


def _describe_view(report: PlacementReport) -> str:
    view: ViewReport = report.view
    others = "no other router has reported"
    if view.routers:
        age = _describe_age(view.oldest_report_s)
        others = f"{view.routers} other routers have reported, the first {age}"
    return (
        f"View of {report.host}: declaration {view.declaration}, store heard "
        f"{_describe_age(view.store_age_s)}; {others}."
    )


def _describe_quota(quota: QuotaReport) -> Iterator[str]:
    yield (
        f"Quota: {quota.asked_per_s:.0f} of {quota.rate_per_s:.0f} {quota.unit}/s are "
        f"requested, {quota.allowed_per_s:.0f}/s may be admitted; this call costs "
        f"{quota.cost:.0f} and is admitted with probability {quota.probability:.3f}."
    )
    yield (
        f"  The bucket holds {quota.level:.0f} of {quota.burst:.0f}; the share in use "
        f"is {quota.share:.2f}, worked out {_describe_age(quota.view_age_s)}, "
        f"{quota.silent} routers are silent."
    )


def _describe_candidate(candidate: CandidateReport) -> Iterator[str]:
    yield (
        f"  {candidate.endpoint} ({candidate.failure_domain}): cost "
        f"{candidate.cost:.2f} = (prompt {candidate.own_cost:.2f} + work "
        f"{candidate.work:.2f}) x slowness {candidate.slowness:.2f} + outdated "
        f"{candidate.outdated:.2f} + remote {candidate.remote:.2f}; {candidate.kind}"
    )
    source = f", fetched from {candidate.fetch_from}" if candidate.fetch_from else ""
    yield (
        f"    prompt: {candidate.uncached_tokens} tokens to compute, "
        f"{candidate.cached_tokens} cached, {candidate.reusable_tokens} cached or "
        f"being computed{source}"
    )
    figures = "none"
    if candidate.running is not None:
        figures = f"{candidate.running} running, {candidate.waiting} waiting"
    yield (
        f"    queue: {candidate.pending_tokens} own and {candidate.peer_tokens} other "
        f"prompt tokens, {candidate.calls} own calls, {candidate.decoding} outputs; "
        f"reported {figures} of {candidate.slots} slots "
        f"({_describe_age(candidate.report_age_s)})"
    )
    full = f", full for {candidate.full_for_s:.3f} s" if candidate.full_for_s else ""
    yield (
        f"    speed: slowness reported {_describe_age(candidate.speed_age_s)}, "
        f"{candidate.prefill_per_s:.0f} prompt tokens/s measured{full}"
    )


def _describe_excluded(excluded: Sequence[ExcludedReplica]) -> Iterator[str]:
    if excluded:
        yield "Not used:"
    for replica in excluded:
        wait = "" if replica.wait_s is None else f", for {replica.wait_s:.3f} s"
        yield f"  {replica.endpoint}: {replica.reason.value}{wait}"


def _describe_permit(permit: PermitReport) -> str:
    granter = permit.granter or "this router, as the granter is silent"
    tokens = f" for {permit.tokens} tokens" if permit.tokens else ""
    wait = f", next in {permit.wait_s:.3f} s" if permit.wait_s else ""
    return (
        f"Permit: {permit.kind.value} at {permit.endpoint}{tokens}, from {granter}: "
        f"{permit.answer.value}{wait}."
    )
