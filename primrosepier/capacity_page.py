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
)


@dataclass(frozen=True, slots=True)
class _Budget:
    """One budget with the costs that count against it."""

    title: str
    unit: str
    costs: Sequence[CostEstimate]
    limit: float | None
    limit_text: str
    show: Callable[[float], str]

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
        times = self.total / self.limit
        if self.is_over:
            return f"**over, {times:.1f} times**"
        return f"within, {times * PERCENT:.0f}%"


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
    title = "Control: {} of a node".format
    cpu, sent, held = (
        estimate.list_control_cpu(),
        estimate.list_control_traffic(),
        estimate.list_control_memory(),
    )
    share, memory = size.cpu_share, size.memory_bytes
    return [
        _Budget(
            title("processor time"),
            "share of a core",
            cpu,
            share,
            "2.6% of a core",
            _show_share,
        ),
        _Budget(
            title("bytes"), "a second", sent, size.bytes_per_s, "9 KB/s", _show_bytes
        ),
        _Budget(title("memory"), "held", held, memory, "32 MB", _show_bytes),
    ]


def _list_request_budgets(
    estimate: CapacityEstimate, size: DesignSize
) -> list[_Budget]:
    title = "Requests: {} of a node".format
    cpu = estimate.list_request_cpu()
    streams = size.node_requests_per_s * size.stream_s
    held = CostEstimate(
        f"{streams:,.0f} open streams",
        estimate.compute_stream_memory(),
        ("stream_memory",),
        "buffers of two connections and one request's state",
    )
    core = "1 core of one process"
    return [
        _Budget(title("processor time"), "cores", cpu, 1.0, core, _show_share),
        _Budget(title("memory"), "held", [held], None, "none stated", _show_bytes),
    ]


def _list_store_budgets(estimate: CapacityEstimate, size: DesignSize) -> list[_Budget]:
    title = "Key-value service: {}".format
    writes, reads = estimate.list_store_writes(), estimate.list_store_reads()
    write_bound, read_bound = size.store_writes_per_s, size.store_reads_per_s
    stated = "several hundred; 300 taken"
    return [
        _Budget(title("writes"), "a second", writes, write_bound, stated, _show_rate),
        _Budget(title("reads"), "a second", reads, read_bound, "2,000", _show_rate),
    ]


def _show_share(value: float) -> str:
    return f"{value * PERCENT:.3g}%"


def _show_bytes(value: float) -> str:
    if value >= MB:
        return f"{value / MB:.1f} MB"
    return f"{value / KB:.2f} KB"


def _show_rate(value: float) -> str:
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
        total = budget.show(budget.total)
        yield f"| {budget.title} | {total} | {budget.limit_text} | {budget.compare()} |"
    yield ""


def _render_exceeded_budgets(budgets: Sequence[_Budget]) -> Iterator[str]:
    yield "## What exceeds a budget, and what would mend it"
    yield ""
    over = [budget for budget in budgets if budget.is_over]
    for budget in over:
        yield f"- {budget.title}: {budget.show(budget.total)}, {budget.compare()}."
        for cost in sorted(budget.costs, key=lambda cost: -cost.value):
            if cost.value < budget.total / 10:
                continue
            remedy = REMEDIES.get(cost.item, "no way is worked out yet")
            yield f"  - {cost.item}, {budget.show(cost.value)}: {remedy}."
    if not over:
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
        value = budget.show(cost.value)
        yield f"| {cost.item} | {value} | {cost.mechanism} | {slopes} |"
    total = budget.show(budget.total)
    yield f"| **all** | **{total}** | budget {budget.limit_text} | {budget.compare()} |"
    yield ""


def _render_scenarios(estimate: CapacityEstimate, size: DesignSize) -> Iterator[str]:
    whole = estimate.predict("configuration_bytes", size.workspaces)
    yield from _render_ordinary_day(estimate, size, whole)
    yield from _render_domain_loss(estimate, size)
    yield from _render_region_partition(estimate, size)
    yield from _render_mass_restart(size, whole)


def _render_ordinary_day(
    estimate: CapacityEstimate, size: DesignSize, whole: float
) -> Iterator[str]:
    members = size.failures_per_day + 2 * size.restarts_per_day
    sent = members * estimate.get_unit_cost("member_change_bytes")
    start_bytes = (size.failures_per_day + size.restarts_per_day) * whole
    changes = size.changes_per_day * estimate.predict("change_bytes", size.workspaces)
    seconds = size.changes_per_day * estimate.predict(
        "configuration_cpu", size.workspaces
    )
    yield "## An ordinary day"
    yield ""
    yield f"- {size.failures_per_day} failures and {size.restarts_per_day} restarts are"
    yield f"  {members} changes of members: {_show_bytes(sent)} a day at each node for"
    yield "  one sending of each."
    yield f"- {size.changes_per_day} changes of configuration bring"
    yield f"  {_show_bytes(changes)} and {seconds:.1f} s of processor time to each node"
    yield f"  ({_show_bytes(changes / DAY_S)}/s)."
    yield f"- Each start reads the configuration whole, {_show_bytes(whole)}: together"
    yield f"  {_show_bytes(start_bytes)} a day from the service or from peers."
    yield ""


def _render_domain_loss(estimate: CapacityEstimate, size: DesignSize) -> Iterator[str]:
    nodes, replicas = size.nodes / size.domains, size.replicas / size.domains
    remaining = size.nodes - nodes
    change_bytes = estimate.get_unit_cost("member_change_bytes")
    growth = size.nodes / remaining
    yield "## A lost failure domain"
    yield ""
    yield f"- {nodes:.0f} nodes and {replicas:.0f} replicas go at once. The other nodes"
    yield f"  take {size.requests_per_s / remaining:.1f} requests/s in place of"
    yield f"  {size.node_requests_per_s:.1f}, and each stream limit and figure of the"
    yield f"  request path grows by {(growth - 1) * PERCENT:.1f}%."
    yield f"- The news of {nodes:.0f} dead members is"
    yield f"  {_show_bytes(nodes * change_bytes)} a sending; messages keep their"
    yield "  bound, so the news takes more rounds instead of more bytes."
    yield f"- The other replicas take {size.replicas / (size.replicas - replicas):.3f}"
    yield "  times their load; requests to the lost ones are tried elsewhere, within"
    yield "  the retry budget."
    yield ""


def _render_region_partition(
    estimate: CapacityEstimate, size: DesignSize
) -> Iterator[str]:
    changes = size.changes_per_day / DAY_S * HOUR_S
    missed = changes * estimate.predict("change_bytes", size.workspaces)
    claims = size.requests_per_s * size.claims_share
    yield "## Regions apart for an hour"
    yield ""
    yield "- A region that cannot reach the key-value service serves on with the"
    yield "  configuration that it has. Changes are not in force there until it can:"
    yield "  **the 19 s are not kept for that hour**. Nothing mends that without a"
    yield "  second service."
    yield f"- It misses {changes:.0f} changes and catches up by at most"
    yield f"  {_show_bytes(missed)} a node."
    yield "- Requests that must not be repeated are answered *not run* there, up to"
    yield f"  {claims:.0f} a second over all regions."
    yield ""


def _render_mass_restart(size: DesignSize, whole: float) -> Iterator[str]:
    yield "## All routers restart at once"
    yield ""
    rate = size.nodes / RESTART_WINDOW_S
    yield f"- {size.nodes} reads of {_show_bytes(whole)} are"
    yield f"  {_show_bytes(size.nodes * whole)} in all; within"
    yield f"  {RESTART_WINDOW_S:.0f} s they are {rate:.0f} reads a second,"
    yield f"  {rate / size.store_reads_per_s * PERCENT:.1f}% of the service's."
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
