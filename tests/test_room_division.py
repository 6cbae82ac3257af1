"""Division of replicas between short and long prompts, without a network."""

import math

import msgspec
import pytest
from forwarding_samples import make_replicas
from room_model import RoomModel

from primrosepier.errors import MessageError
from primrosepier.forwarding.room.demand import (
    REPORT_TTL_S,
    PromptDemand,
    ServiceRates,
)
from primrosepier.forwarding.room.division import (
    ReplicaDivision,
    count_short_replicas,
)
from primrosepier.virtualtime import run_in_virtual_time

REPLICAS = make_replicas(27)
RATE = 48_200.0
SERVICE = REPLICAS[0].service


def make_division(short_per_s, long_per_s, rate=RATE):
    demand = PromptDemand(lambda service: rate)
    demand.add(SERVICE, short_per_s, False, 0.0)
    demand.add(SERVICE, long_per_s, True, 0.0)
    return ReplicaDivision(demand)


@pytest.mark.parametrize(
    ("short_per_s", "long_per_s", "rate", "counts"),
    [
        (300_000, 500_000, RATE, (0, 0)),
        (300_000, 700_000, RATE, (0, 13)),
        (300_000, 1_000_000, RATE, (13, 13)),
        (1_200_000, 1_000_000, RATE, (20, 20)),
        (0, 2_000_000, RATE, (0, 0)),
        (300_000, 1_000_000, 0.0, (0, 0)),
    ],
)
def test_replicas_are_divided_only_when_they_can_not_compute_all_prompts(
    short_per_s, long_per_s, rate, counts
):
    """Guards against a division that halves the caches while there is time to spare."""
    total = ServiceRates(SERVICE, short_per_s, long_per_s, rate)
    divided = [count_short_replicas(27, total, x) for x in (False, True)]
    assert tuple(divided) == counts


def test_the_two_kinds_share_no_replica_and_few_move_with_their_number():
    """Guards against routers that disagree on which replicas are for short prompts."""
    divisions = [make_division(300_000, 1_200_000) for _ in range(2)]
    for is_long in (False, True):
        selected = [x.select(is_long, REPLICAS, 0.0) for x in divisions]
        assert selected[0] == selected[1]
    short, long = (
        {x.id for x in divisions[0].select(is_long, REPLICAS, 0.0)}
        for is_long in (False, True)
    )
    assert short and long and not short & long
    fewer = make_division(300_000, 1_200_000).select(False, REPLICAS[:-3], 0.0)
    assert len(short ^ {x.id for x in fewer}) <= 6


def test_all_kinds_use_all_replicas_in_calm():
    """Guards against replicas that are set aside without need."""
    division = make_division(300_000, 400_000)
    assert division.select(True, REPLICAS, 0.0) == REPLICAS
    assert division.select(False, (), 0.0) == ()


def test_demand_of_silent_routers_ends():
    """Guards against a division that outlives the load, and odd reports."""
    demand, other = (PromptDemand(lambda service: RATE) for _ in range(2))
    other.add(SERVICE, 5000, True, 0.0)
    content = other.make(0.0)
    demand.apply("front-2", content, 0.0)
    demand.apply("front-2", content, 0.1)
    assert demand.compute_total(SERVICE, 0.2).long_per_s == 5000
    assert demand.compute_total(SERVICE, 0.2).replica_per_s == RATE
    assert demand.compute_total(SERVICE, 0.2 + REPORT_TTL_S).long_per_s == 0
    assert not demand.must_report(0.0) and demand.make(0.0) == b""


@pytest.mark.parametrize("rate", [math.inf, -math.inf, math.nan, -1.0, 1e300])
def test_odd_rates_of_another_router_are_not_read(rate):
    """Guards against one router whose report ends the calls of all others."""
    demand = PromptDemand(lambda service: RATE)
    with pytest.raises(MessageError):
        demand.apply("front-2", b"odd", 0.0)
    for odd in ([SERVICE, rate, 1.0], [SERVICE, 1.0, rate], [SERVICE, 1.0, 1.0, rate]):
        with pytest.raises(MessageError):
            demand.apply("front-2", msgspec.msgpack.encode([odd]), 0.0)
    assert demand.compute_total(SERVICE, 0.0).long_per_s == 0


def test_short_prompts_meet_their_target_while_long_ones_exceed_the_replicas():
    """Guards against an overload of long prompts that makes all short ones late.

    66 routers, 27 replicas, 875 short and 150 long calls a second for 7 s, of which the
    calls after 4 s count, since the demand has to be reported and the queues to drain.
    """
    shares = {}
    for has_division in (False, True):
        model = RoomModel(True, has_division, long_per_s=150.0)
        model.counts_from_s = 4.0
        run_in_virtual_time(model.run, 7.0)
        shares[has_division] = model.compute_share("short")
    assert shares[True] > max(0.9, shares[False] + 0.1)
