"""Metrics of an entry router, served over HTTP."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from ..asgi import App, Receive, Scope, Send, send_bytes
from ..log_events import Event, MirrorFailed, RestRequested, TaskFailed
from ..logs import Log
from ..metric_table import MetricTable
from .losses.records import LossUnconfirmed, ReplicaLost
from .metric_specs import ENTRY_SPECS
from .quotas.records import QuotaExceeded
from .records import (
    CallEnded,
    CallFailed,
    CallLost,
    CallPassedOn,
    CallPlaced,
    CallRejected,
    CallRepeated,
    CallWithdrawn,
    EntryUnreadable,
    PermitRefused,
    StreamTakenUp,
)
from .room.records import PrefillRejected, PrefillWaited

__all__ = ["EntryMetrics", "make_entry_metrics"]

METRICS_PATH = "/metrics"
NO_PAGES: Mapping[str, App] = MappingProxyType({})
CONTENT_TYPE = ("content-type", "text/plain; version=0.0.4")


class EntryMetrics(MetricTable):
    """Metrics updated by log events and store calls; an ASGI app that serves them.

    Parameters
    ----------
    pages : Mapping of str to App
        Other pages for operators that are served at the same address, by their paths.
    """

    def __init__(self, pages: Mapping[str, App] = NO_PAGES) -> None:
        super().__init__(ENTRY_SPECS)
        self.pages = pages

    def observe(self, event: Event) -> None:
        """Update the metrics for one log event."""
        if isinstance(event, CallEnded):
            self._observe_end(event)
        elif isinstance(event, CallPlaced):
            self.add("primrosepier_choices_total", 1, kind=event.kind)
        elif isinstance(event, CallRepeated):
            self.add("primrosepier_repeats_total", 1, outcome=event.outcome)
        elif isinstance(event, CallLost):
            self.add("primrosepier_lost_attempts_total", 1)
        elif isinstance(event, ReplicaLost):
            source = "report" if event.reporter else "own"
            self.add("primrosepier_lost_replicas_total", 1, source=source)
        elif isinstance(event, LossUnconfirmed):
            self.add("primrosepier_unconfirmed_losses_total", 1)
        elif isinstance(event, CallWithdrawn):
            self.add("primrosepier_withdrawn_attempts_total", 1)
        elif isinstance(event, PermitRefused):
            self.add("primrosepier_refused_permits_total", 1)
        elif isinstance(event, QuotaExceeded):
            self.add("primrosepier_quota_rejections_total", 1)
            self.add("primrosepier_quota_rejected_cost_total", event.cost)
        elif isinstance(event, PrefillWaited):
            self.add("primrosepier_prefill_waits_total", 1)
            self.observe_value("primrosepier_prefill_wait_seconds", event.wait_s)
        elif isinstance(event, PrefillRejected):
            self.add("primrosepier_prefill_rejections_total", 1)
        elif isinstance(event, RestRequested):
            self.add("primrosepier_rests_total", 1)
        elif isinstance(event, EntryUnreadable):
            self.add("primrosepier_unreadable_entries_total", 1)
        elif isinstance(event, MirrorFailed):
            self.add("primrosepier_mirror_failures_total", 1)
        elif isinstance(event, TaskFailed):
            self.add("primrosepier_task_failures_total", 1)
        elif isinstance(event, CallFailed):
            self.add("primrosepier_call_failures_total", 1)
        elif isinstance(event, CallPassedOn):
            self.add("primrosepier_passed_on_total", 1)
        elif isinstance(event, StreamTakenUp):
            self.add("primrosepier_streams_taken_up_total", 1, result=event.result)
        elif isinstance(event, CallRejected):
            self.add("primrosepier_rejected_calls_total", 1, code=event.code)

    def _observe_end(self, event: CallEnded) -> None:
        labels = {"outcome": event.outcome, "status": str(event.status)}
        self.add("primrosepier_calls_total", 1, **labels)
        name = "primrosepier_call_seconds"
        self.observe_value(name, event.duration_s, outcome=event.outcome)
        if event.first_byte_s is not None:
            self.observe_value("primrosepier_first_byte_seconds", event.first_byte_s)
            output_s = event.duration_s - event.first_byte_s
            name = "primrosepier_output_seconds"
            self.observe_value(name, output_s, outcome=event.outcome)

    def record_store_call(self, call: str, outcome: str, wait_s: float) -> None:
        """Record a call on the store and the time that it waited for the rate limit."""
        self.add("primrosepier_store_calls_total", 1, call=call, outcome=outcome)
        self.observe_value("primrosepier_store_wait_seconds", wait_s)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve the metrics page, or another page for operators."""
        page = self.pages.get(scope["path"])
        if page is not None:
            await page(scope, receive, send)
            return
        if scope["path"] != METRICS_PATH:
            await send_bytes(send, 404, b"")
            return
        await send_bytes(send, 200, self.render(), (CONTENT_TYPE,))


def make_entry_metrics(
    log: Log,
    set_gauges: Callable[[MetricTable], None],
    pages: Mapping[str, App] = NO_PAGES,
) -> EntryMetrics:
    """Return the metrics of a router.

    Parameters
    ----------
    set_gauges : callable
        Sets the gauges; called before each response.
    pages : Mapping of str to App
        Other pages that are served at the same address.
    """
    metrics = EntryMetrics(pages)
    log.observers.append(metrics.observe)

    def count_dropped(table: MetricTable) -> None:
        table.set("primrosepier_log_lines_dropped_total", log.dropped)

    metrics.callbacks += [count_dropped, set_gauges]
    return metrics
