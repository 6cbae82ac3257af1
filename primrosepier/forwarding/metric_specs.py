"""Names, units and meanings of an entry router's metrics."""

from ..metric_specs import MetricKind, MetricSpec

__all__ = ["ENTRY_SPECS"]

COUNTER, GAUGE, HISTOGRAM = (
    MetricKind.COUNTER,
    MetricKind.GAUGE,
    MetricKind.HISTOGRAM,
)

ENTRY_SPECS = (
    MetricSpec(
        "primrosepier_calls_total",
        COUNTER,
        "calls",
        ("outcome", "status"),
        "Calls that were routed, by how they ended.",
        "Explain some of an outcome that grows by their ids.",
    ),
    MetricSpec(
        "primrosepier_rejected_calls_total",
        COUNTER,
        "calls",
        ("code",),
        "Calls refused before a replica was chosen.",
        "stale_keys: look at the store; stopping: a planned stop.",
    ),
    MetricSpec(
        "primrosepier_repeats_total",
        COUNTER,
        "attempts",
        ("outcome",),
        "Attempts after which another replica got the call.",
        "Many after NotRun: replicas are full or load weights.",
    ),
    MetricSpec(
        "primrosepier_choices_total",
        COUNTER,
        "attempts",
        ("kind",),
        "Chosen replicas, by how they stand to the call.",
        "Few holders and fetches: prefixes are evicted or not told of.",
    ),
    MetricSpec(
        "primrosepier_call_seconds",
        HISTOGRAM,
        "seconds",
        ("outcome",),
        "Time from a call to its end.",
        "Compare with the time that callers wait.",
    ),
    MetricSpec(
        "primrosepier_first_byte_seconds",
        HISTOGRAM,
        "seconds",
        (),
        "Time from a call to the first byte of its answer: its wait at the replica.",
        "Rises with queues at replicas; look at the choices.",
    ),
    MetricSpec(
        "primrosepier_output_seconds",
        HISTOGRAM,
        "seconds",
        ("outcome",),
        "Time from the first byte of an answer to the call's end.",
        "Rises while first bytes are on time: replicas decode slowly.",
    ),
    MetricSpec(
        "primrosepier_store_calls_total",
        COUNTER,
        "calls",
        ("call", "outcome"),
        "Calls on the store.",
        "Ambiguous or Unavailable: the store is slow, down or cut off.",
    ),
    MetricSpec(
        "primrosepier_store_wait_seconds",
        HISTOGRAM,
        "seconds",
        (),
        "Time for which a call on the store waited for its share of the rates.",
        "Above a second: more routers or changes than the rates allow.",
    ),
    MetricSpec(
        "primrosepier_calls_in_progress",
        GAUGE,
        "calls",
        (),
        "Calls that this router serves now.",
        "Uneven over routers: callers keep connections.",
    ),
    MetricSpec(
        "primrosepier_declaration_version",
        GAUGE,
        "version",
        (),
        "Version of the declarations in force; 0 before the first.",
        "Differs between routers for longer than the time to apply: look at the store.",
    ),
    MetricSpec(
        "primrosepier_declaration_age_seconds",
        GAUGE,
        "seconds",
        (),
        "Age of the newest answer of the store.",
        "Near the bound on revoked keys: calls with keys are about to be refused.",
    ),
    MetricSpec(
        "primrosepier_replicas",
        GAUGE,
        "replicas",
        ("service",),
        "Replicas that may get calls.",
        "Falls: look for FleetChanged.",
    ),
    MetricSpec(
        "primrosepier_duty_held",
        GAUGE,
        "1 or 0",
        ("duty",),
        "Whether this router holds a duty.",
        "0 on all routers for long: weights are not loaded.",
    ),
    MetricSpec(
        "primrosepier_log_lines_dropped_total",
        COUNTER,
        "lines",
        (),
        "Log lines that found the queue full.",
        "Logs have gaps; the collector is too slow.",
    ),
)
