"""Rendering of the capacity page."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from .bench_scale import ScaleReport
from .capacity import DAY_S, KB, MB, CapacityEstimate, CostEstimate, DesignSize
from .scale_fits import Slope

__all__ = ["render_capacity_page"]

PERCENT = 100
HOUR_S = 3600
RESTART_WINDOW_S = 60.0

# Ways to reduce a cost that exceeds its budget, by `CostEstimate.item`.
REMEDIES = {
    "choice of the replicas whose load it reads": (
        "keep the ring of routers through a change and move only what a router lost"
    ),
    "one exchange a second, sent and answered": (
        "exchange less often, or over UDP in place of grpclib"
    ),
    "polls of replicas' load": "read load from the headers of answers, poll idle ones",
    "polls of replicas' load, as short as a stand-in's answer": (
        "read load from the headers of answers, and poll idle replicas alone"
    ),
    "reports of load and usage of all nodes": (
        "share load within a region only, where its requests go"
    ),
    "4,300 changes of configuration a day": (
        "decode the changed chunks alone, and name chunks in the manifest by region"
    ),
    "configuration": "keep the chunks of one's own region and models alone",
    "rings of 22 services": (
        "rings of the services of one's own region, and fewer points a replica"
    ),
    "tokens, each in a part of its own": (
        "pass on whole reads without parsing each event, and merge the parts that are "
        "ready"
    ),
    "requests, with logs and metrics": "fewer codings of the body; sampled logs",
    "choice of the endpoint among all replicas": (
        "keep the views of a service between requests and look at the few replicas "
        "that the ring names"
    ),
    "claims of 1% of the requests, begun and ended": (
        "owners of partitions of the keys that collect the claims of many nodes into "
        "one write, and no write at the end of a claim"
    ),
}
# Role, state and messages.
ROLES = (
    (
        "router, control",
        "members, digests, configuration, rings, prefix tables",
        "1 exchange/s, 1 watch, 1 read in 15 s, at most 8 polls/s of replicas' load",
    ),
    (
        "router, requests",
        "open streams; nothing outlives them",
        "46.8 requests/s and 16,000 tokens/s",
    ),
    (
        "holder of a service's rollout, a router",
        "its lease and the marks of replicas that load",
        "keeps a lease alive, reads the states of its replicas, sends orders",
    ),
    (
        "router, quotas",
        "totals of each router with recent calls of a workspace, per workspace",
        "a section in its reports, each 0.1 s to 0.45 s",
    ),
    (
        "granter of a replica, a router",
        "permits, waiting calls and rates of its replicas",
        "3 datagrams for each long prompt that is not cached",
    ),
    (
        "router, division of replicas",
        "rates of short and long prompts of each router, per service",
        "a section in its reports, each 0.5 s",
    ),
    (
        "router, speeds",
        "two averages for each replica, 16 waits for each that computes long prompts",
        "none; the figures ride on answers",
    ),
    (
        "router, losses",
        "replicas that accept no connections, while they do not",
        "a section in three reports for each loss, and a probe by each router",
    ),
    (
        "operator's apply",
        "none",
        "2 writes and 2 reads a change",
    ),
    (
        "key-value service",
        "configuration in chunks, claims with leases",
        "1 waiting watch a node (940, each counted as a call), reads and writes below",
    ),
)
NOT_MEASURED = (
    "polls of real engines: a page of metrics of 30 KB, 8 times a second, would be "
    "240 KB/s and over the budget by itself; load that rides on answers would mend it",
    "cache events: no router reads them, so 8.6 million a second cost nothing; reuse "
    "is learned from each answer's cached tokens",
    "orders to load weights, and how often a holder reads the state of its replicas",
    "TCP and IP headers, and memory outside of Python's allocator (socket buffers)",
    "links between regions, and the processors of the users' hosts",
    "exchanges at 940 processes: a node was measured with a table of 940 and one peer",
    "quotas, permits, division of replicas, speeds and losses beyond 83 routers in "
    "days and 195 in tests: every router reads the sections of all reports, so that "
    "their cost grows with the routers, and that of quotas with the workspaces in use",
)


@dataclass(frozen=True, slots=True)
class _Budget:
    """One budget with the costs that count against it.

    Parameters
    ----------
    limit : float or None
        None if no budget is stated.
    limit_text : str
        The limit as the page writes it.
    format_value : callable
        Formats a cost in the budget's unit.
    """

    title: str
    unit: str
    costs: Sequence[CostEstimate]
    limit: float | None
    limit_text: str
    format_value: Callable[[float], str]

    @property
    def total(self) -> float:
        """Sum of the costs."""
        return sum(cost.value for cost in self.costs)

    @property
    def is_over(self) -> bool:
        """Whether the total exceeds the budget."""
        return self.limit is not None and self.total > self.limit

    def compare(self) -> str:
        """Return how the total compares with the budget, in words."""
        if self.limit is None:
            return "no budget stated"
        ratio = self.total / self.limit
        if self.is_over:
            return f"**over, {ratio:.1f} times**"
        return f"within, {ratio * PERCENT:.0f}%"


def render_capacity_page(report: ScaleReport, size: DesignSize | None = None) -> str:
    """Return the page as Markdown."""
    size = size or DesignSize()
    estimate = CapacityEstimate(report, size)
    budgets = _list_budgets(estimate, size)
    lines = [*_render_head(report, size), *_render_summary(budgets)]
    lines += [*_render_exceeded_budgets(budgets), *_render_roles()]
    for budget in budgets:
        lines += _render_budget(budget)
    lines += _render_scenarios(estimate, size)
    lines += ["## Not measured", ""]
    lines += [f"- {text}." for text in NOT_MEASURED]
    lines += ["", *_render_slopes(report)]
    return "\n".join(lines)


def _list_budgets(estimate: CapacityEstimate, size: DesignSize) -> list[_Budget]:
    return [
        *_list_control_budgets(estimate, size),
        *_list_request_budgets(estimate, size),
        *_list_store_budgets(estimate, size),
    ]


def _list_control_budgets(
    estimate: CapacityEstimate, size: DesignSize
) -> list[_Budget]:
    format_title = "Control: {} of a node".format
    cpu, traffic, memory = (
        estimate.list_control_cpu(),
        estimate.list_control_traffic(),
        estimate.list_control_memory(),
    )
    cpu_limit, memory_limit = size.cpu_share, size.memory_bytes
    return [
        _Budget(
            format_title("processor time"),
            "share of a core",
            cpu,
            cpu_limit,
            "2.6% of a core",
            _format_share,
        ),
        _Budget(
            format_title("bytes"),
            "a second",
            traffic,
            size.bytes_per_s,
            "9 KB/s",
            _format_bytes,
        ),
        _Budget(
            format_title("memory"), "held", memory, memory_limit, "32 MB", _format_bytes
        ),
    ]


def _list_request_budgets(
    estimate: CapacityEstimate, size: DesignSize
) -> list[_Budget]:
    format_title = "Requests: {} of a node".format
    cpu = estimate.list_request_cpu()
    open_streams = size.node_requests_per_s * size.stream_s
    memory = CostEstimate(
        f"{open_streams:,.0f} open streams",
        estimate.compute_stream_memory(),
        ("stream_memory",),
        "buffers of two connections and one request's state",
    )
    cpu_text = "1 core of one process"
    return [
        _Budget(
            format_title("processor time"), "cores", cpu, 1.0, cpu_text, _format_share
        ),
        _Budget(
            format_title("memory"), "held", [memory], None, "none stated", _format_bytes
        ),
    ]


def _list_store_budgets(estimate: CapacityEstimate, size: DesignSize) -> list[_Budget]:
    format_title = "Key-value service: {}".format
    writes, reads = estimate.list_store_writes(), estimate.list_store_reads()
    write_limit, read_limit = size.store_writes_per_s, size.store_reads_per_s
    writes_text = "several hundred; 300 taken"
    return [
        _Budget(
            format_title("writes"),
            "a second",
            writes,
            write_limit,
            writes_text,
            _format_rate,
        ),
        _Budget(
            format_title("reads"), "a second", reads, read_limit, "2,000", _format_rate
        ),
    ]


def _format_share(value: float) -> str:
    return f"{value * PERCENT:.3g}%"


def _format_bytes(value: float) -> str:
    if value >= MB:
        return f"{value / MB:.1f} MB"
    return f"{value / KB:.2f} KB"


def _format_rate(value: float) -> str:
    return f"{value:.3g}"


def _render_head(report: ScaleReport, size: DesignSize) -> list[str]:
    return [
        "# Capacity",
        "",
        "Made by `make capacity` from slopes that `bench scale` measures on one",
        "machine with small stand-ins, kept in `capacity.json`. This report took",
        f"{report.duration_s:.0f} s on {report.cores} cores with Python",
        f"{report.python}; the load average was {report.load_before:.1f} before and",
        f"{report.load_after:.1f} after.",
        "",
        f"The design size is {size.nodes} nodes before {size.replicas:,} replicas,",
        f"{size.requests_per_s:,.0f} requests and {size.tokens_per_s:,.0f} tokens a",
        f"second, {size.workspaces:,} workspaces in {size.domains} failure domains.",
        "Figures at that size are worked out by the lines at the end of the page; they",
        "were measured there only where a line's last point is that size. Figures over",
        "their budget are marked. No budget is stated for requests: one process can",
        "fill one core.",
        "",
    ]


def _render_summary(budgets: Sequence[_Budget]) -> Iterator[str]:
    yield "## Against the budgets"
    yield ""
    yield "| matter | at the design size | budget | verdict |"
    yield "|---|---|---|---|"
    for budget in budgets:
        total = budget.format_value(budget.total)
        yield f"| {budget.title} | {total} | {budget.limit_text} | {budget.compare()} |"
    yield ""


def _render_exceeded_budgets(budgets: Sequence[_Budget]) -> Iterator[str]:
    yield "## What exceeds a budget, and what would mend it"
    yield ""
    exceeded = [budget for budget in budgets if budget.is_over]
    for budget in exceeded:
        yield (
            f"- {budget.title}: {budget.format_value(budget.total)}, "
            f"{budget.compare()}."
        )
        for cost in sorted(budget.costs, key=lambda cost: -cost.value):
            if cost.value < budget.total / 10:
                continue
            remedy = REMEDIES.get(cost.item, "no way is worked out yet")
            yield f"  - {cost.item}, {budget.format_value(cost.value)}: {remedy}."
    if not exceeded:
        yield "Nothing does."
    yield ""


def _render_roles() -> Iterator[str]:
    yield "## Roles"
    yield ""
    yield "Routers are all alike; none is set aside. Processor time and memory follow"
    yield "in the tables below."
    yield ""
    yield "| role | state | messages |"
    yield "|---|---|---|"
    for role in ROLES:
        yield f"| {' | '.join(role)} |"
    yield ""


def _render_budget(budget: _Budget) -> Iterator[str]:
    yield f"## {budget.title}"
    yield ""
    yield f"| matter | {budget.unit} | mechanism | from |"
    yield "|---|---|---|---|"
    for cost in sorted(budget.costs, key=lambda cost: -cost.value):
        slopes = ", ".join(f"`{name}`" for name in cost.slopes)
        value = budget.format_value(cost.value)
        yield f"| {cost.item} | {value} | {cost.mechanism} | {slopes} |"
    total = budget.format_value(budget.total)
    yield f"| **all** | **{total}** | budget {budget.limit_text} | {budget.compare()} |"
    yield ""


def _render_scenarios(estimate: CapacityEstimate, size: DesignSize) -> Iterator[str]:
    configuration_bytes = estimate.predict("configuration_bytes", size.workspaces)
    yield from _render_ordinary_day(estimate, size, configuration_bytes)
    yield from _render_domain_loss(estimate, size)
    yield from _render_region_partition(estimate, size)
    yield from _render_mass_restart(size, configuration_bytes)


def _render_ordinary_day(
    estimate: CapacityEstimate, size: DesignSize, configuration_bytes: float
) -> Iterator[str]:
    member_changes = size.failures_per_day + 2 * size.restarts_per_day
    member_bytes = member_changes * estimate.get_unit_cost("member_change_bytes")
    start_bytes = (size.failures_per_day + size.restarts_per_day) * configuration_bytes
    change_bytes = size.changes_per_day * estimate.predict(
        "change_bytes", size.workspaces
    )
    decode_s = size.changes_per_day * estimate.predict(
        "configuration_cpu", size.workspaces
    )
    yield "## An ordinary day"
    yield ""
    yield f"- {size.failures_per_day} failures and {size.restarts_per_day} restarts are"
    yield (
        f"  {member_changes} changes of members: {_format_bytes(member_bytes)} "
        "a day at each node for"
    )
    yield "  one sending of each."
    yield f"- {size.changes_per_day} changes of configuration bring"
    yield (
        f"  {_format_bytes(change_bytes)} and {decode_s:.1f} s of processor time "
        "to each node"
    )
    yield f"  ({_format_bytes(change_bytes / DAY_S)}/s)."
    yield (
        "- Each start reads the configuration whole, "
        f"{_format_bytes(configuration_bytes)}: together"
    )
    yield f"  {_format_bytes(start_bytes)} a day from the service or from peers."
    yield ""


def _render_domain_loss(estimate: CapacityEstimate, size: DesignSize) -> Iterator[str]:
    lost_nodes, lost_replicas = size.nodes / size.domains, size.replicas / size.domains
    remaining = size.nodes - lost_nodes
    change_bytes = estimate.get_unit_cost("member_change_bytes")
    growth = size.nodes / remaining
    yield "## A lost failure domain"
    yield ""
    yield (
        f"- {lost_nodes:.0f} nodes and {lost_replicas:.0f} replicas go at once. "
        "The other nodes"
    )
    yield f"  take {size.requests_per_s / remaining:.1f} requests/s in place of"
    yield f"  {size.node_requests_per_s:.1f}, and each stream limit and figure of the"
    yield f"  request path grows by {(growth - 1) * PERCENT:.1f}%."
    yield f"- The news of {lost_nodes:.0f} dead members is"
    yield f"  {_format_bytes(lost_nodes * change_bytes)} a sending; messages keep their"
    yield "  bound, so the news takes more rounds instead of more bytes."
    yield (
        "- The other replicas take "
        f"{size.replicas / (size.replicas - lost_replicas):.3f}"
    )
    yield "  times their load; requests to the lost ones are tried elsewhere, within"
    yield "  the retry budget."
    yield ""


def _render_region_partition(
    estimate: CapacityEstimate, size: DesignSize
) -> Iterator[str]:
    missed_changes = size.changes_per_day / DAY_S * HOUR_S
    missed_bytes = missed_changes * estimate.predict("change_bytes", size.workspaces)
    claims_per_s = size.requests_per_s * size.claims_share
    yield "## Regions apart for an hour"
    yield ""
    yield "- A region that cannot reach the key-value service serves on with the"
    yield "  configuration that it has. Changes are not in force there until it can:"
    yield "  **the 19 s are not kept for that hour**. Nothing mends that without a"
    yield "  second service."
    yield f"- It misses {missed_changes:.0f} changes and catches up by at most"
    yield f"  {_format_bytes(missed_bytes)} a node."
    yield "- Requests that must not be repeated are answered *not run* there, up to"
    yield f"  {claims_per_s:.0f} a second over all regions."
    yield ""


def _render_mass_restart(size: DesignSize, configuration_bytes: float) -> Iterator[str]:
    yield "## All routers restart at once"
    yield ""
    reads_per_s = size.nodes / RESTART_WINDOW_S
    yield f"- {size.nodes} reads of {_format_bytes(configuration_bytes)} are"
    yield f"  {_format_bytes(size.nodes * configuration_bytes)} in all; within"
    yield f"  {RESTART_WINDOW_S:.0f} s they are {reads_per_s:.0f} reads a second,"
    yield f"  {reads_per_s / size.store_reads_per_s * PERCENT:.1f}% of the service's."
    yield "  Restarted routers ask peers first when they have any."
    yield "- Nothing else is read at a start: placement by rule needs no shared state."
    yield ""


def _render_slopes(report: ScaleReport) -> Iterator[str]:
    yield "## Measured slopes"
    yield ""
    yield "The residual is the largest distance of a point from its line, over the"
    yield "largest cost. A line with a residual over 0.1 is no line: such a cost has"
    yield "steps or a bound, or the machine was busy."
    yield ""
    yield "| name | against | cost | points | slope | at 0 | residual |"
    yield "|---|---|---|---|---|---|---|"
    for slope in report.slopes.values():
        yield f"| {' | '.join(_list_cells(slope))} |"
    yield ""


def _list_cells(slope: Slope) -> list[str]:
    points = ", ".join(f"{point.x:,.0f}: {point.y:.3g}" for point in slope.points)
    numbers = [f"{slope.slope:.3g}", f"{slope.intercept:.3g}", f"{slope.residual:.3f}"]
    return [f"`{slope.name}`", slope.x, slope.y, points, *numbers]
