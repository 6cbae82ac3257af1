"""Serves reports on where a call would go, on the address of the metrics."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ...asgi import Receive, Scope, Send, send_bytes, send_json
from ...errors import MessageError, RequestError
from ...ids import HostId, ServiceId
from ..calls import Call
from ..declarations import Declaration, DeclarationVersion, Route, Workspace
from ..entry import EntryApp, limit_retry_after
from ..quotas.preview import AdmissionPreview, preview_admission
from .planner import PlacementPlanner, Plan
from .query import PlacementQuery, make_call, make_scope, parse_query, read_timeout_s
from .replicas import describe_candidate
from .report import Answer, AnswerKind, PlacementReport, QuotaReport, ViewReport

__all__ = ["PlacementPage"]

# Replicas listed in a report, the cheapest first.
MAX_LISTED = 50
# Time before the next report, as a multiple of that which the last one took: reports
# use up to a tenth of the process's time, however many are requested.
PAUSE_FACTOR = 9.0
TEXT_TYPE = ("content-type", "text/plain; charset=utf-8")
RETRY_HEADER = ("retry-after", "1")
QUOTA_STATUS = 429
NO_VERSION = DeclarationVersion(0)


@dataclass(slots=True)
class PlacementPage:
    """An ASGI app that serves reports. It reads the state of the router only.

    Parameters
    ----------
    read_app : callable
        Returns the app that accepts callers' requests.

    Attributes
    ----------
    next_at_s : float
        Time before which no further report is made, seconds.
    """

    host: HostId
    read_app: Callable[[], EntryApp]
    next_at_s: float = -math.inf

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one report."""
        clock = self.read_app().clock
        if scope["method"] != "GET":
            await send_bytes(send, 405, b"", [("allow", "GET")])
            return
        started_s = clock()
        try:
            query = parse_query(scope["query_string"])
            if started_s < self.next_at_s:
                await send_bytes(send, 429, b"", [RETRY_HEADER])
                return
            report = self.make_report(query)
        except MessageError as error:
            await send_bytes(send, 400, f"{error}\n".encode(), [TEXT_TYPE])
            return
        now_s = clock()
        self.next_at_s = now_s + PAUSE_FACTOR * (now_s - started_s)
        await send_json(send, 200, report)

    def make_report(self, query: PlacementQuery) -> PlacementReport:
        """Return where the call that a query describes would go now.

        Raises
        ------
        MessageError
            A field of the query is odd; the text names it.
        """
        app = self.read_app()
        now_s = app.clock()
        view, timeout_s = _describe_view(app, now_s), math.inf
        try:
            declaration = app.require_declaration()
            scope = make_scope(query, declaration)
            timeout_s = read_timeout_s(app.reader, query, scope)
            route = app.find_route(scope, declaration)
            app.require_time_before_stop(min(route.timeout_s, timeout_s))
            workspace = _find_workspace(app, query, declaration, route)
            call = make_call(app.reader, query, scope, route, workspace, now_s)
        except RequestError as error:
            return PlacementReport(self.host, _make_rejection(error, timeout_s), view)
        return self._report_call(app, query, call, view, now_s)

    def _report_call(
        self,
        app: EntryApp,
        query: PlacementQuery,
        call: Call,
        view: ViewReport,
        now_s: float,
    ) -> PlacementReport:
        quotas, forwarder = app.quotas, app.forwarder
        admission = None if quotas is None else preview_admission(quotas, call, now_s)
        named = ServiceId(query.service) if query.service else None
        if named is not None and named not in call.route.list_services():
            raise MessageError("the field service names none of the route's services")
        plan = PlacementPlanner(forwarder, app.clock).plan(call, named, now_s)
        ranked, excluded = plan.ranking.ranked, plan.ranking.excluded
        candidates = [
            describe_candidate(forwarder, row, now_s) for row in ranked[:MAX_LISTED]
        ]
        omitted = len(ranked[MAX_LISTED:]) + len(excluded[MAX_LISTED:])
        silent = 0 if quotas is None else quotas.silent
        return PlacementReport(
            host=self.host,
            answer=_apply_quota(plan, admission, call, now_s),
            view=view,
            route=call.route.id,
            workspace=None if call.workspace is None else call.workspace.id,
            remaining_s=call.deadline_s - now_s,
            prompt_tokens=call.prompt_tokens,
            quota=None if admission is None else _describe_quota(admission, silent),
            service=plan.service,
            services=tuple(plan.services),
            candidates=tuple(candidates),
            excluded=tuple(excluded[:MAX_LISTED]),
            omitted=omitted,
            permits=tuple(plan.permits),
        )


def _find_workspace(
    app: EntryApp, query: PlacementQuery, declaration: Declaration, route: Route
) -> Workspace | None:
    """Return the workspace that a query names, where the route needs a key."""
    workspaces = declaration.workspaces
    known = () if workspaces is None else workspaces.values()
    named = next((x for x in known if x.id == query.workspace), None)
    if query.workspace and named is None:
        raise MessageError("the field workspace names none that is declared")
    if route.public or workspaces is None:
        return None
    app.require_fresh_keys()
    return named


def _make_rejection(error: RequestError, timeout_s: float) -> Answer:
    after_s = limit_retry_after(error.retry_after_s or 0.0, timeout_s)
    return Answer(
        AnswerKind.REJECTED,
        status=error.status,
        code=error.code,
        reason=error.message,
        retry_after_s=(after_s, after_s) if after_s else None,
    )


def _describe_view(app: EntryApp, now_s: float) -> ViewReport:
    declaration = app.read_declaration()
    age_s = app.freshness.compute_age_s(now_s)
    reports = app.forwarder.loads.peer_loads.values()
    ages_s = [now_s - report.received_at_s for report in reports]
    return ViewReport(
        declaration=NO_VERSION if declaration is None else declaration.version,
        store_age_s=age_s if math.isfinite(age_s) else None,
        routers=len(ages_s),
        oldest_report_s=max(ages_s, default=None),
    )


def _describe_quota(admission: AdmissionPreview, silent: int) -> QuotaReport:
    bucket, age_s = admission.bucket, admission.view_age_s
    return QuotaReport(
        unit="tokens" if bucket.quota.counts_tokens else "requests",
        cost=admission.cost,
        rate_per_s=bucket.quota.rate_per_s,
        burst=bucket.quota.burst,
        share=bucket.share,
        level=bucket.level,
        asked_per_s=bucket.compute_asked_rate(),
        allowed_per_s=bucket.compute_allowed_rate().now_per_s,
        probability=admission.probability,
        retry_after_s=admission.retry_after_s,
        view_age_s=age_s if math.isfinite(age_s) else None,
        silent=silent,
    )


def _apply_quota(
    plan: Plan, admission: AdmissionPreview | None, call: Call, now_s: float
) -> Answer:
    """Return the answer of the quota if it rejects the call, or that of the plan."""
    answer = plan.answer
    if admission is None or admission.probability >= 1:
        return answer
    if admission.probability > 0:
        condition = f"the quota admits it, as {admission.probability:.1%} of its calls"
        conditions = (condition, *answer.conditions)
        return msgspec.structs.replace(answer, conditions=conditions)
    remaining_s = max(0.0, call.deadline_s - now_s)
    least_s, most_s = admission.retry_after_s
    return Answer(
        AnswerKind.REJECTED,
        status=QUOTA_STATUS,
        code="quota_exceeded",
        reason="the quota of the workspace is exceeded",
        retry_after_s=(
            limit_retry_after(least_s, remaining_s),
            limit_retry_after(most_s, remaining_s),
        ),
    )
