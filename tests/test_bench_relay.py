import gc

import pytest

from primrosepier.bench_relay import RelayPlan, run_relay_bench


@pytest.mark.sockets
def test_the_bench_measures_both_targets():
    thresholds = gc.get_threshold()
    plan = RelayPlan(streams=20, token_s=0.02, measure_s=0.3, requests=10, rate=50)
    report = run_relay_bench(plan)
    gc.set_threshold(*thresholds)
    gc.unfreeze()
    assert report.failed == 0
    assert report.tokens > 0 and report.cpu_us_per_token > 0
    assert 0 < report.direct_ttft_p50_ms < float("inf")
