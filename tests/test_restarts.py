import pytest

from primrosepier.bench_deployments import load_deployment
from primrosepier.bench_measures import BenchOptions
from primrosepier.bench_policy import Simulation
from primrosepier.bench_run import POLICIES
from primrosepier.bench_workload import generate_workload

SEED = 1
RATE_PER_S = 20.0
RESTART_AT_S = 90.0
MINUTE_S = 60.0
MAX_HIT_RATE_LOSS = 0.02
MAKE_PLACEMENT = POLICIES["primrosepier"]


def choose_restarted(simulation, extent):
    first = simulation.routers[0].failure_domain
    return [
        router
        for router in simulation.routers
        if extent == "all" or (extent == "domain" and router.failure_domain == first)
    ]


def measure_minute(name, extent):
    """Return the hit rate of the minute after routers restart with no state."""
    deployment = load_deployment(name)
    count = int(RATE_PER_S * (RESTART_AT_S + MINUTE_S))
    workload = generate_workload(deployment, SEED, count, 0, False)
    options = BenchOptions(RATE_PER_S, False, False, SEED)
    simulation = Simulation(deployment, workload, options, MAKE_PLACEMENT)

    def restart(_):
        for number, router in enumerate(choose_restarted(simulation, extent)):
            router.placement = MAKE_PLACEMENT(100 + number, router.failure_domain)
            router.outstanding = {}
            router.pending_tokens = {}

    simulation._schedule(RESTART_AT_S, restart)
    samples = [s for s in simulation.run().samples if s[0] >= RESTART_AT_S]
    return sum(s[2] for s in samples) / sum(s[1] for s in samples)


@pytest.mark.parametrize("name", ["keranvel", "registry"])
@pytest.mark.parametrize("extent", ["domain", "all"])
def test_simultaneous_restarts_of_routers_keep_the_hit_rate(name, extent):
    assert (
        measure_minute(name, "none") - measure_minute(name, extent) <= MAX_HIT_RATE_LOSS
    )
