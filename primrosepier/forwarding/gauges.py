"""Gauges of an entry router's current state."""

from ..leases import Duty
from ..metric_table import MetricTable
from .entry import EntryApp
from .speeds import set_speed_gauges
from .store_view import StoreView

__all__ = ["set_gauges"]


def set_gauges(
    table: MetricTable, store_view: StoreView, app: EntryApp, duty: Duty
) -> None:
    """Set all gauges; called just before the metrics are rendered."""
    declaration = store_view.declaration.value
    version = 0 if declaration is None else declaration.version
    age_s = app.freshness.compute_age_s(app.clock())
    table.set("primrosepier_calls_in_progress", app.in_progress)
    table.set("primrosepier_declaration_version", version)
    table.set("primrosepier_declaration_age_seconds", age_s)
    notices = app.forwarder.notices
    room = app.forwarder.permitted.room
    permits, waiting = room.granter.count()
    table.set("primrosepier_prefill_permits", permits)
    table.set("primrosepier_prefill_permits_awaited", waiting)
    table.set("primrosepier_silent_granters_total", room.unanswered)
    limited = len(notices.permits.limits.list_limited())
    table.set("primrosepier_limited_replicas", limited)
    resting = notices.rests.count_resting(app.clock())
    table.set("primrosepier_resting_replicas", resting)
    leaving = map(notices.leaving.is_leaving, store_view.fleet.list_registered())
    table.set("primrosepier_leaving_replicas", sum(leaving))
    rejected = app.forwarder.loads.rejected_reports
    table.set("primrosepier_rejected_datagrams_total", rejected)
    quarantined = len(app.forwarder.suspects.loss_log.causes)
    table.set("primrosepier_quarantined", quarantined)
    table.set("primrosepier_duty_held", int(bool(duty.fencing_number)), duty=duty.name)
    table.set("primrosepier_cut_off", int(app.forwarder.links.is_cut))
    if app.quotas is not None:
        table.set("primrosepier_quota_share", app.quotas.share)
        limited = len(app.quotas.limits)
        table.set("primrosepier_quota_limited_workspaces", limited)
        table.set("primrosepier_quota_silent_routers", app.quotas.silent)
    versions = app.forwarder.origins.versions
    for service, seen_at_s in versions.seen_at_s.items():
        table.set("primrosepier_software_versions", len(seen_at_s), service=service)
    chooser = app.forwarder.chooser
    set_speed_gauges(table, chooser.loads.speeds, chooser.homes, app.clock())
    for service, replicas in store_view.replicas.value.by_service.items():
        table.set("primrosepier_replicas", len(replicas), service=service)
