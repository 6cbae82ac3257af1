import msgspec
import pytest

from primrosepier.bench_run import BenchPlan, render_report, run_bench
from primrosepier.errors import BenchError

SMALL = {"requests": 1500, "policies": ("least_loaded", "no_feedback")}


def run_small(**changes):
    return run_bench(BenchPlan(**{**SMALL, **changes}))


@pytest.mark.parametrize("faults", [False, True])
def test_same_seed_gives_the_same_bytes(faults):
    first, second = (
        msgspec.json.encode(render_report(run_small(faults=faults))) for _ in range(2)
    )
    assert first == second


def test_no_request_is_lost_with_faults():
    for measures in run_small(faults=True, load=0.5).measures.values():
        assert measures.lost == 0
        assert measures.completed + measures.shed == measures.arrived


def test_no_policy_beats_a_pooled_cache_of_all_memory():
    result = run_small(steady=True)
    for measures in result.measures.values():
        assert measures.hit_rate <= result.pooled_hit_rate


def test_unknown_policies_are_refused():
    with pytest.raises(BenchError):
        run_small(policies=("best",))


def run_primrosepier(**changes):
    policies = ("primrosepier",)
    return run_bench(BenchPlan(**{"policies": policies, **changes})).measures[
        "primrosepier"
    ]


@pytest.mark.parametrize(("deployment", "seed"), [("registry", 2)])
def test_the_tail_under_faults_is_at_most_twice_the_calm_one(deployment, seed):
    without_faults, with_faults = (
        run_primrosepier(deployment=deployment, seed=seed, load=0.8, faults=faults)
        for faults in (False, True)
    )
    assert with_faults.lost == 0
    assert with_faults.get_ttft_quantile(0.99) <= 2 * without_faults.get_ttft_quantile(
        0.99
    )


@pytest.mark.parametrize("deployment", ["keranvel", "registry"])
def test_placement_meets_its_targets_against_the_baselines(deployment):
    policies = ("least_loaded", "hash_root", "hash_leaf", "primrosepier")
    result = run_bench(
        BenchPlan(deployment=deployment, seed=3, load=0.8, policies=policies)
    )
    baselines = result.measures
    ours = baselines.pop("primrosepier")
    for baseline in baselines.values():
        assert ours.hit_rate >= 0.98 * baseline.hit_rate
        assert ours.wasted_tokens <= 1.02 * baseline.wasted_tokens
        assert ours.get_ttft_quantile(0.99) <= 1.02 * baseline.get_ttft_quantile(0.99)
    least_loaded = baselines["least_loaded"]
    if deployment == "keranvel":
        assert ours.wasted_tokens <= 0.1 * least_loaded.wasted_tokens
        assert ours.hit_rate >= 0.95 * result.pooled_hit_rate
    else:
        assert ours.get_ttft_quantile(0.99) <= 0.6 * least_loaded.get_ttft_quantile(
            0.99
        )
