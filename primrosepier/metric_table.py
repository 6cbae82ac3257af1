"""Registry of specified metrics, based on aioprometheus."""

from collections import defaultdict
from collections.abc import Callable, Iterable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from .metric_specs import MetricKind, MetricSpec

__all__ = ["MAX_LABEL_VALUES", "MetricTable"]

MAX_LABEL_VALUES = 64
OVERFLOW_VALUE = "other"
HISTOGRAM_BUCKETS_S = (
    *(0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.55),
    *(0.75, 1.0, 2.0, 5.0, 10.0, 30.0, float("inf")),
)

Collector = Counter | Gauge | Histogram
Callback = Callable[["MetricTable"], None]


class MetricTable:
    """Metrics by name, with a limited number of values for each label.

    Parameters
    ----------
    specs : iterable of MetricSpec
    """

    def __init__(self, specs: Iterable[MetricSpec]):
        self.registry = Registry()
        self.collectors: dict[str, Collector] = {}
        self.label_values: dict[tuple[str, str], set[str]] = defaultdict(set)
        self.callbacks: list[Callback] = []
        for spec in specs:
            self.declare(spec)

    def declare(self, spec: MetricSpec) -> None:
        """Add a metric to the registry.

        Raises
        ------
        ValueError
            A metric of that name exists already.
        """
        self.collectors[spec.name] = _make_collector(spec, self.registry)

    def register_callback(self, callback: Callback) -> None:
        """Register a callback that sets gauges before each scrape."""
        self.callbacks.append(callback)

    def add(self, name: str, value: float, **labels: str) -> None:
        """Increase a counter."""
        collector = self.collectors[name]
        assert isinstance(collector, Counter)
        collector.add(self._limit_labels(name, labels), value)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge, or a counter that is maintained elsewhere."""
        self.collectors[name].set_value(self._limit_labels(name, labels), value)

    def observe_value(self, name: str, value: float, **labels: str) -> None:
        """Record an observation in a histogram."""
        collector = self.collectors[name]
        assert isinstance(collector, Histogram)
        collector.observe(self._limit_labels(name, labels), value)

    def _limit_labels(self, name: str, labels: dict[str, str]) -> dict[str, str]:
        """Replace values beyond the limit of their label by ``other``."""
        for label, value in labels.items():
            seen_values = self.label_values[name, label]
            if value in seen_values:
                continue
            if len(seen_values) < MAX_LABEL_VALUES:
                seen_values.add(value)
            else:
                labels[label] = OVERFLOW_VALUE
        return labels

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for callback in self.callbacks:
            callback(self)
        return render(self.registry, [])[0]


def _make_collector(spec: MetricSpec, registry: Registry) -> Collector:
    if spec.kind is MetricKind.HISTOGRAM:
        buckets = HISTOGRAM_BUCKETS_S
        meaning = spec.meaning
        return Histogram(spec.name, meaning, registry=registry, buckets=buckets)
    kind = Counter if spec.kind is MetricKind.COUNTER else Gauge
    return kind(spec.name, spec.meaning, registry=registry)
