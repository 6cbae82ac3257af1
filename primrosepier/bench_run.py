"""Runs of the policy bench and their reports."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .bench_baselines import (
    HashPlacement,
    LeastLoadedPlacement,
    RandomPlacement,
    RoundRobinPlacement,
)
from .bench_deployments import Deployment, load_deployment
from .bench_drift import measure_drift
from .bench_measures import BenchOptions, PolicyMeasures
from .bench_policy import WEIGHTS_CHANGE_SHARE, simulate_policy
from .bench_workload import (
    Workload,
    compute_pooled_hit_rate,
    compute_random_misses,
    convert_trace,
    generate_workload,
)
from .errors import BenchError
from .ids import FailureDomain
from .placement import Placement
from .placement_options import PlacementOptions
from .reuse_placement import ReusePlacement
from .traces import parse_trace

__all__ = ["POLICIES", "BenchPlan", "BenchResult", "render_report", "run_bench"]

DEFAULT_REQUESTS = 12_000
REQUESTS_PER_REPLICA = 90
WARMUP_PER_REPLICA = 45
# Larger scales run a steady workload without cache events, and by default one policy.
MAX_FULL_SCALE = 10
REPORT_DIGITS = 4

PlacementFactory = Callable[[int, FailureDomain], Placement]


def _make_reuse_factory(options: PlacementOptions) -> PlacementFactory:
    def make(seed: int, domain: FailureDomain) -> Placement:
        return ReusePlacement(random.Random(seed), domain, options)

    return make


POLICIES: dict[str, PlacementFactory] = {
    "random": lambda seed, domain: RandomPlacement(seed),
    "round_robin": lambda seed, domain: RoundRobinPlacement(seed),
    "least_loaded": lambda seed, domain: LeastLoadedPlacement(seed),
    "hash_root": lambda seed, domain: HashPlacement(whole_prompt=False),
    "hash_leaf": lambda seed, domain: HashPlacement(whole_prompt=True),
    "no_feedback": _make_reuse_factory(PlacementOptions(feedback=False, events=False)),
    "primrosepier": _make_reuse_factory(PlacementOptions()),
}
LARGE_SCALE_POLICIES = ("primrosepier",)


@dataclass(frozen=True, slots=True)
class BenchPlan:
    """Parameters of a bench run.

    Parameters
    ----------
    scale : int
        Multiplier of engines, routers, workspaces and rate.
    load : float
        Arrival rate relative to the engines' capacity under random placement.
    steady : bool
        Omit the shift of hot prefixes and the change of weights.
    trace : Path, optional
        Trace in the Mooncake format to run instead of a generated workload.
    policies : sequence of str
        Names in `POLICIES`; empty for all, or for `LARGE_SCALE_POLICIES` at scales
        above `MAX_FULL_SCALE`.
    requests : int
        Minimum length of a generated workload, including the warm-up.
    """

    deployment: str = "keranvel"
    seed: int = 1
    scale: int = 1
    load: float = 0.8
    faults: bool = False
    steady: bool = False
    trace: Path | None = None
    policies: Sequence[str] = ()
    requests: int = DEFAULT_REQUESTS


@dataclass(frozen=True, slots=True)
class BenchResult:
    """A plan and the measures of its run.

    Parameters
    ----------
    requests : int
        Number of requests after the warm-up.
    """

    plan: BenchPlan
    rate_per_s: float
    requests: int
    pooled_hit_rate: float
    measures: dict[str, PolicyMeasures]


def _make_workload(plan: BenchPlan, deployment: Deployment, steady: bool) -> Workload:
    replicas = len(deployment.engines)
    if plan.trace is not None:
        with plan.trace.open(encoding="utf-8") as lines:
            workload = convert_trace(parse_trace(lines), deployment, plan.seed)
        if not workload.requests:
            raise BenchError(f"{plan.trace} contains no requests")
        return workload
    count = max(plan.requests, REQUESTS_PER_REPLICA * replicas)
    warmup = WARMUP_PER_REPLICA * replicas
    return generate_workload(deployment, plan.seed, count, warmup, not steady)


def run_bench(plan: BenchPlan) -> BenchResult:
    """Run each placement policy over the same workload.

    Raises
    ------
    BenchError
        The deployment or a policy is unknown, or the trace is empty.
    """
    unknown = set(plan.policies) - set(POLICIES)
    if unknown:
        raise BenchError(f"policies must be among {', '.join(POLICIES)}")
    deployment = load_deployment(plan.deployment, plan.scale)
    large_scale = plan.scale > MAX_FULL_SCALE
    steady = plan.steady or large_scale
    workload = _make_workload(plan, deployment, steady)
    replicas = len(deployment.engines)
    cache_blocks = deployment.model.cache_blocks
    missed_tokens = compute_random_misses(workload, replicas, cache_blocks)
    capacity_per_s = replicas * deployment.model.prefill_tokens_per_s / missed_tokens
    cleared_at = None if steady else workload.find_index_at(WEIGHTS_CHANGE_SHARE)
    options = BenchOptions(
        rate_per_s=plan.load * capacity_per_s,
        faults=plan.faults,
        change_weights=not steady,
        seed=plan.seed,
        events=not large_scale,
    )
    names = plan.policies or (LARGE_SCALE_POLICIES if large_scale else tuple(POLICIES))
    measures = {}
    for name in names:
        measures[name] = simulate_policy(deployment, workload, options, POLICIES[name])
    return BenchResult(
        plan=plan,
        rate_per_s=options.rate_per_s,
        requests=len(workload.requests) - workload.warmup,
        pooled_hit_rate=compute_pooled_hit_rate(
            workload, cache_blocks * replicas, cleared_at
        ),
        measures=measures,
    )


def _render_measures(measures: PolicyMeasures) -> dict[str, Any]:
    return {
        "hit_rate": round(measures.hit_rate, REPORT_DIGITS),
        "wasted_tokens": measures.wasted_tokens,
        "ttft_p50_s": round(measures.get_ttft_quantile(0.50), REPORT_DIGITS),
        "ttft_p99_s": round(measures.get_ttft_quantile(0.99), REPORT_DIGITS),
        "completed": measures.completed,
        "shed": measures.shed,
        "lost": measures.lost,
    }


def _render_drift(result: BenchResult) -> dict[str, Any] | None:
    measures = result.measures.get("primrosepier")
    if measures is None or not measures.samples:
        return None
    answers = [(sample[1], sample[2]) for sample in measures.samples]
    drift = measure_drift(answers, result.plan.seed)
    return {
        "injected_points_per_week": drift.injected_points_per_week,
        "detected_after_days": drift.detected_after_days,
        "cause": drift.cause,
    }


def render_report(result: BenchResult) -> dict[str, Any]:
    """Return the report as plain values, with keys in a fixed order."""
    plan = result.plan
    return {
        "deployment": plan.deployment,
        "seed": plan.seed,
        "scale": plan.scale,
        "load": plan.load,
        "faults": plan.faults,
        "rate_per_s": round(result.rate_per_s, REPORT_DIGITS),
        "requests": result.requests,
        "pooled_hit_rate": round(result.pooled_hit_rate, REPORT_DIGITS),
        "policies": {
            name: _render_measures(measures)
            for name, measures in result.measures.items()
        },
        "drift": _render_drift(result),
    }
