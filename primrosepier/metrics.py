"""Metrics of one router."""

import time

from .board import Board
from .clocks import Clock
from .log_events import (
    AttemptEnded,
    ClaimSettled,
    Event,
    MirrorFailed,
    RequestEnded,
    RequestRefused,
    RestRequested,
    RetryChosen,
    ReuseObserved,
    SlideFound,
    TaskFailed,
)
from .logs import Log
from .metric_specs import SPECS, Promise
from .metric_table import MetricTable
from .promise_monitor import PromiseMonitor

__all__ = ["Metrics", "make_metrics"]


class Metrics(MetricTable):
    """All metrics of one router.

    Parameters
    ----------
    board : Board
    clock : Clock
    """

    def __init__(self, board: Board, clock: Clock = time.monotonic):
        super().__init__(SPECS)
        self.board = board
        self.clock = clock
        self.promise_monitor = PromiseMonitor(
            self.count_broken_promise, board.leaving, board.configuration, clock
        )
        for promise in Promise:
            self.add("primrosepier_broken_promises_total", 0, promise=promise.value)

    def count_broken_promise(self, promise: Promise) -> None:
        """Count one case of a broken promise."""
        self.add("primrosepier_broken_promises_total", 1, promise=promise.value)

    def observe(self, event: Event) -> None:
        """Update the metrics from a log event."""
        self.promise_monitor.observe(event)
        if isinstance(event, RequestEnded):
            self._observe_request_end(event)
        elif isinstance(event, ReuseObserved):
            self._observe_reuse(event)
        elif isinstance(event, AttemptEnded):
            self.add("primrosepier_attempts_total", 1, outcome=event.outcome)
        elif isinstance(event, RetryChosen):
            self.add("primrosepier_retries_total", 1)
        elif isinstance(event, RestRequested):
            self.add("primrosepier_rests_total", 1)
        elif isinstance(event, MirrorFailed):
            self.add("primrosepier_mirror_failures_total", 1)
        elif isinstance(event, TaskFailed):
            self.add("primrosepier_task_failures_total", 1)
        elif isinstance(event, ClaimSettled):
            self.add("primrosepier_claims_total", 1, result=event.result)
        elif isinstance(event, RequestRefused):
            self.add("primrosepier_refused_requests_total", 1, code=event.code)
        elif isinstance(event, SlideFound):
            self.add("primrosepier_reuse_slides_total", 1, cause=event.cause)

    def _observe_request_end(self, event: RequestEnded) -> None:
        labels = {"service": event.service, "outcome": event.outcome}
        self.add("primrosepier_requests_total", 1, **labels)
        if event.ttft_s is not None:
            name = "primrosepier_ttft_seconds"
            self.observe_value(name, event.ttft_s, service=event.service)

    def _observe_reuse(self, event: ReuseObserved) -> None:
        wasted = max(0, event.expected_cached_tokens - event.cached_tokens)
        prefix, service = "primrosepier_", event.service
        self.add(f"{prefix}prompt_tokens_total", event.prompt_tokens, service=service)
        cached = event.cached_tokens
        self.add(f"{prefix}cached_prompt_tokens_total", cached, service=service)
        self.add(f"{prefix}wasted_prompt_tokens_total", wasted, service=service)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        now_s = self.clock()
        for section in self.board.list_sections():
            if section.was_written():
                name = "primrosepier_section_age_seconds"
                self.set(name, section.compute_age(now_s), section=section.name)
        return super().render()


def make_metrics(board: Board, log: Log, clock: Clock = time.monotonic) -> Metrics:
    """Return the metrics of a router, updated from the events of its log."""
    metrics = Metrics(board, clock)
    log.observers.append(metrics.observe)

    def count_dropped(table: MetricTable) -> None:
        table.set("primrosepier_log_events_dropped_total", log.dropped)

    metrics.register_callback(count_dropped)
    return metrics
