import random

from primrosepier.placement import EndpointView, ViewList
from primrosepier.placement_options import PlacementOptions
from primrosepier.prompts import CacheScope, make_prompt
from primrosepier.reuse_placement import ReusePlacement

SCOPE = CacheScope("w", "m", "", "1")


def make_policy():
    return ReusePlacement(random.Random(1), "d", PlacementOptions())


def test_same_prefix_goes_to_the_same_endpoint():
    views = ViewList([EndpointView(f"e{n}", "d") for n in range(9)])
    prompts = [make_prompt(SCOPE, "x" * 9000 + str(n) * 4000) for n in range(9)]
    chosen = {make_policy().choose(p, views, 0.0).endpoint for p in prompts}
    assert len(chosen) == 1


def test_full_endpoints_are_not_chosen():
    views = ViewList([EndpointView("a", "d", outstanding=4, capacity=4)])
    assert make_policy().choose(make_prompt(SCOPE, "x"), views, 0.0) is None
