"""Names, units and descriptions of all metrics."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "CALLER_SPECS",
    "SPECS",
    "MetricKind",
    "MetricSpec",
    "Promise",
    "render_metrics_page",
]


class MetricKind(Enum):
    """Prometheus metric type."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Promise(Enum):
    """A monitored guarantee; each case in which it is broken is counted."""

    CACHE_SCOPE = "cache_scope"
    COMPLETE_STREAM = "complete_stream"
    WARM_RESTART = "warm_restart"
    OWN_ANSWER = "own_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING = "leaving"
    GRACEFUL_STOP = "graceful_stop"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """Specification of one metric.

    Parameters
    ----------
    unit : str
        Base unit, or the things counted.
    labels : tuple of str
        Label names; each label has a bounded number of values.
    meaning, action : str
        What the metric measures, and what an operator does when it changes.
    """

    name: str
    kind: MetricKind
    unit: str
    labels: tuple[str, ...]
    meaning: str
    action: str


# Metrics of callers' connections, the same for both interfaces.
CALLER_SPECS = (
    MetricSpec(
        "primrosepier_limited_connections_total",
        MetricKind.COUNTER,
        "connections",
        ("reason",),
        "Callers' connections that were closed because of a limit.",
        "See operators/abusive-callers.md for each reason.",
    ),
    MetricSpec(
        "primrosepier_caller_connections",
        MetricKind.GAUGE,
        "connections",
        (),
        "Open connections of callers, at all listening addresses.",
        "Near half of the descriptors: find who opens them.",
    ),
    MetricSpec(
        "primrosepier_caller_memory_bytes",
        MetricKind.GAUGE,
        "bytes",
        (),
        "Memory that callers' connections hold, as estimated for the budget.",
        "Near the memory of the process less 56 MiB: connections are closed.",
    ),
)

SPECS = (
    *CALLER_SPECS,
    MetricSpec(
        "primrosepier_prompt_tokens_total",
        MetricKind.COUNTER,
        "tokens",
        ("service",),
        "Prompt tokens of completed requests.",
        "Divide the cached tokens by it for the hit rate.",
    ),
    MetricSpec(
        "primrosepier_cached_prompt_tokens_total",
        MetricKind.COUNTER,
        "tokens",
        ("service",),
        "Prompt tokens that endpoints read from their caches.",
        "A falling hit rate: see operators/reuse-falls.md.",
    ),
    MetricSpec(
        "primrosepier_wasted_prompt_tokens_total",
        MetricKind.COUNTER,
        "tokens",
        ("service",),
        "Prompt tokens that were expected in the endpoint's cache but computed again.",
        "Eviction or restarts of endpoints: see operators/reuse-falls.md.",
    ),
    MetricSpec(
        "primrosepier_reuse_slides_total",
        MetricKind.COUNTER,
        "slides",
        ("cause",),
        "Workspaces and prefix levels whose reuse slid over weeks, once a slide.",
        "See operators/reuse-slides.md.",
    ),
    MetricSpec(
        "primrosepier_ttft_seconds",
        MetricKind.HISTOGRAM,
        "seconds",
        ("service",),
        "Time from a request's arrival to the first byte of its answer.",
        "A growing tail: see operators/slow-first-token.md.",
    ),
    MetricSpec(
        "primrosepier_requests_total",
        MetricKind.COUNTER,
        "requests",
        ("service", "outcome"),
        "Requests by their outcome.",
        "Outcomes other than Completed: explain one of them.",
    ),
    MetricSpec(
        "primrosepier_refused_requests_total",
        MetricKind.COUNTER,
        "requests",
        ("code",),
        "Requests that a router refused before routing them.",
        "The code says which rule; 401 and 404 are the callers' to mend.",
    ),
    MetricSpec(
        "primrosepier_attempts_total",
        MetricKind.COUNTER,
        "attempts",
        ("outcome",),
        "Attempts at endpoints by their outcome.",
        "Many NotRun or Interrupted: timeline --part attempt names the endpoint.",
    ),
    MetricSpec(
        "primrosepier_retries_total",
        MetricKind.COUNTER,
        "retries",
        (),
        "Requests that went on to another endpoint.",
        "A rise follows failing endpoints; the retry budget bounds it.",
    ),
    MetricSpec(
        "primrosepier_rests_total",
        MetricKind.COUNTER,
        "refusals",
        (),
        "Refusals of endpoints that named a time without requests in Retry-After.",
        "Rises steadily: endpoints refuse again as soon as their rest is over.",
    ),
    MetricSpec(
        "primrosepier_mirror_failures_total",
        MetricKind.COUNTER,
        "failures",
        (),
        "Changes of the store that met an unexpected error.",
        "Stays at nought; MirrorFailed names the error. Report it as a fault.",
    ),
    MetricSpec(
        "primrosepier_task_failures_total",
        MetricKind.COUNTER,
        "failures",
        (),
        "Background tasks that met an unexpected error and began anew.",
        "Stays at nought; TaskFailed names the error. Report it as a fault.",
    ),
    MetricSpec(
        "primrosepier_resting_endpoints",
        MetricKind.GAUGE,
        "endpoints",
        (),
        "Endpoints that have asked this router for a time without requests.",
        "All of a service: its requests are refused; find them by RestRequested.",
    ),
    MetricSpec(
        "primrosepier_relay_events_total",
        MetricKind.COUNTER,
        "events",
        ("kind",),
        "Streams continued or interrupted; crossed answers and events dropped.",
        "Crossed ones come from a faulty endpoint; interrupted ones from a lost one.",
    ),
    MetricSpec(
        "primrosepier_claims_total",
        MetricKind.COUNTER,
        "claims",
        ("result",),
        "Claims of non-idempotent calls by their result.",
        "Unavailable or unknown: the key-value service is down or slow.",
    ),
    MetricSpec(
        "primrosepier_broken_promises_total",
        MetricKind.COUNTER,
        "cases",
        ("promise",),
        "Cases in which something that must always hold did not.",
        "Stays at nought. See operators/broken-promise.md for each label.",
    ),
    MetricSpec(
        "primrosepier_attempts_in_progress",
        MetricKind.GAUGE,
        "attempts",
        (),
        "Attempts of this router in progress at endpoints.",
        "Near the limit of streams: add hosts, or look for slow endpoints.",
    ),
    MetricSpec(
        "primrosepier_section_age_seconds",
        MetricKind.GAUGE,
        "seconds",
        ("section",),
        "Age of the last write of a board section that was written.",
        "A growing age of load: endpoints' reports do not arrive.",
    ),
    MetricSpec(
        "primrosepier_configuration_revision",
        MetricKind.GAUGE,
        "revision",
        (),
        "Revision of the configuration in force.",
        "Routers differ for over 19 s: see operators/stale-configuration.md.",
    ),
    MetricSpec(
        "primrosepier_log_events_dropped_total",
        MetricKind.COUNTER,
        "events",
        (),
        "Log events that found the queue full.",
        "The sink is too slow: lower the level or mend the sink.",
    ),
)


def render_metrics_page() -> str:
    """Return the Markdown documentation of all metrics."""
    lines = [
        "# Metrics",
        "",
        "Each router serves these at `/metrics` on its callers' address, as Prometheus",
        "text; the balancer should not pass that path on. Label sets are bounded: a",
        "label keeps its first 64 values and counts the rest as `other`. Workspaces",
        "and endpoints are no labels, since 2,800 and 3,900 of them on 940 nodes",
        "would be millions of series; the logs tell them apart.",
        "",
        "`.venv/bin/primrosepier metrics-page` prints this page.",
        "",
        "| metric | type | unit | labels | meaning | when it moves |",
        "|---|---|---|---|---|---|",
    ]
    for spec in SPECS:
        labels = ", ".join(spec.labels)
        cells = (f"`{spec.name}`", spec.kind.value, spec.unit, labels)
        lines.append(f"| {' | '.join((*cells, spec.meaning, spec.action))} |")
    promises = ", ".join(f"`{promise.value}`" for promise in Promise)
    lines += ["", f"Values of the label `promise`: {promises}.", ""]
    return "\n".join(lines)
