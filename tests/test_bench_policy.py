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


def test_no_policy_beats_one_cache_of_all_memory():
    result = run_small(steady=True)
    for measures in result.measures.values():
        assert measures.hit_rate <= result.pooled_hit_rate


def test_unknown_policies_are_refused():
    with pytest.raises(BenchError):
        run_small(policies=("best",))
