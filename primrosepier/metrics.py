"""Metrics of one router by aioprometheus."""

import time
from collections import defaultdict
from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from .board import Board
from .clocks import Clock
from .log_events import (
    AttemptEnded,
    ClaimSettled,
    Event,
    RequestEnded,
    RequestRefused,
    RetryChosen,
    ReuseObserved,
    SlideFound,
)
from .logs import Log
from .metric_specs import SPECS, MetricKind, MetricSpec, Promise
from .promise_watch import PromiseWatch

__all__ = ["Metrics", "make_metrics"]

MAX_LABEL_VALUES = 64
OTHER = "other"
TTFT_BUCKETS_S = (
    *(0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.55),
    *(0.75, 1.0, 2.0, 5.0, 10.0, 30.0, float("inf")),
)

Collector = Counter | Gauge | Histogram
Source = Callable[["Metrics"], None]


class Metrics:
    """All metrics of one router.

    Parameters
    ----------
    board : Board
    clock : Clock
    """

    def __init__(self, board: Board, clock: Clock = time.monotonic):
        self.board = board
        self.clock = clock
        self.registry = Registry()
        self.collectors: dict[str, Collector] = {}
        self.label_values: dict[tuple[str, str], set[str]] = defaultdict(set)
        self.sources: list[Source] = []
        for spec in SPECS:
            self.declare(spec)
        self.promises = PromiseWatch(
            self.report_broken, board.leaving, board.configuration, clock
        )
        for promise in Promise:
            self.add("primrosepier_broken_promises_total", 0, promise=promise.value)

    def declare(self, spec: MetricSpec) -> None:
        """Add a metric to the registry.

        Raises
        ------
        ValueError
            The name is taken.
        """
        self.collectors[spec.name] = _make_collector(spec, self.registry)

    def register(self, source: Source) -> None:
        """Call a source before each scrape, so that it sets its gauges."""
        self.sources.append(source)

    def add(self, name: str, value: float, **labels: str) -> None:
        """Add to a counter."""
        collector = self.collectors[name]
        assert isinstance(collector, Counter)
        collector.add(self._bound(name, labels), value)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge, or a counter that is kept elsewhere."""
        self.collectors[name].set_value(self._bound(name, labels), value)

    def observe_value(self, name: str, value: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        collector = self.collectors[name]
        assert isinstance(collector, Histogram)
        collector.observe(self._bound(name, labels), value)

    def _bound(self, name: str, labels: dict[str, str]) -> dict[str, str]:
        """Replace label values beyond the bound."""
        for label, value in labels.items():
            known = self.label_values[name, label]
            if value in known:
                continue
            if len(known) < MAX_LABEL_VALUES:
                known.add(value)
            else:
                labels[label] = OTHER
        return labels

    def report_broken(self, promise: Promise) -> None:
        """Count a broken promise."""
        self.add("primrosepier_broken_promises_total", 1, promise=promise.value)

    def observe(self, event: Event) -> None:
        """Take in one event of the log."""
        self.promises.observe(event)
        if isinstance(event, RequestEnded):
            self._observe_end(event)
        elif isinstance(event, ReuseObserved):
            self._observe_reuse(event)
        elif isinstance(event, AttemptEnded):
            self.add("primrosepier_attempts_total", 1, outcome=event.outcome)
        elif isinstance(event, RetryChosen):
            self.add("primrosepier_retries_total", 1)
        elif isinstance(event, ClaimSettled):
            self.add("primrosepier_claims_total", 1, result=event.result)
        elif isinstance(event, RequestRefused):
            self.add("primrosepier_refused_requests_total", 1, code=event.code)
        elif isinstance(event, SlideFound):
            self.add("primrosepier_reuse_slides_total", 1, cause=event.cause)

    def _observe_end(self, event: RequestEnded) -> None:
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
        """Return all metrics as Prometheus text."""
        now_s = self.clock()
        for section in self.board.list_sections():
            if section.was_written():
                name = "primrosepier_section_age_seconds"
                self.set(name, section.compute_age(now_s), section=section.name)
        for source in self.sources:
            source(self)
        return render(self.registry, [])[0]


def _make_collector(spec: MetricSpec, registry: Registry) -> Collector:
    if spec.kind is MetricKind.HISTOGRAM:
        buckets = TTFT_BUCKETS_S
        meaning = spec.meaning
        return Histogram(spec.name, meaning, registry=registry, buckets=buckets)
    kind = Counter if spec.kind is MetricKind.COUNTER else Gauge
    return kind(spec.name, spec.meaning, registry=registry)


def make_metrics(board: Board, log: Log, clock: Clock = time.monotonic) -> Metrics:
    """Return the metrics of a router, fed by the events of its log."""
    metrics = Metrics(board, clock)
    log.observers.append(metrics.observe)

    def count_dropped(found: Metrics) -> None:
        found.set("primrosepier_log_events_dropped_total", log.dropped)

    metrics.register(count_dropped)
    return metrics
