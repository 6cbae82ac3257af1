from hypothesis import given, settings, strategies as st

from primrosepier.cache_events import CacheEvent, CacheEventKind
from primrosepier.drift import MissCause
from primrosepier.placement import DecisionKind, EndpointView, Feedback
from primrosepier.placement_options import PlacementOptions
from primrosepier.prompts import CacheScope, Prompt, make_prompt
from primrosepier.reuse_index import ReuseIndex
from primrosepier.routes import Route, compute_keys, select_levels

SETTINGS = settings(derandomize=True, deadline=None, max_examples=80)
NAMES = st.sampled_from(["1", "2", "3"])
TEXT = "standing instructions " * 600


def make_index():
    return ReuseIndex(PlacementOptions())


def estimate(index, prompt, incarnation, version, now_s=1.0):
    levels = select_levels(prompt)
    route = Route(levels, compute_keys(prompt, levels), [], [])
    index.look_up(route, prompt)
    view = EndpointView("e", "d", incarnation=incarnation, version=version)
    return index.estimate_cached(route, view, now_s)


def make_feedback(prompt, incarnation, version, kind=DecisionKind.PREFERRED):
    cached = prompt.tokens
    return Feedback("e", prompt, cached, cached, 0.5, incarnation, version, kind)


@SETTINGS
@given(NAMES, NAMES, NAMES, NAMES, NAMES, NAMES)
def test_answers_count_only_for_the_same_incarnation_weights_and_workspace(
    workspace, incarnation, version, other_workspace, other_incarnation, other_version
):
    index = make_index()
    served = make_prompt(CacheScope(workspace, "m", "", "1"), TEXT)
    requested = make_prompt(CacheScope(other_workspace, "m", "", "1"), TEXT)
    index.observe(make_feedback(served, incarnation, version))
    estimated = estimate(index, requested, other_incarnation, other_version)
    same = (workspace, incarnation, version) == (
        other_workspace,
        other_incarnation,
        other_version,
    )
    assert (estimated > 0) == same


@SETTINGS
@given(NAMES, NAMES, NAMES, NAMES)
def test_equal_blocks_of_another_workspace_never_count(
    workspace, other_workspace, incarnation, version
):
    index = make_index()
    served = Prompt(CacheScope(workspace, "m", "", "1"), (1, 2, 3, 4), 2048)
    requested = Prompt(CacheScope(other_workspace, "m", "", "1"), (1, 2, 3, 4), 2048)
    index.observe(make_feedback(served, incarnation, version))
    estimated = estimate(index, requested, incarnation, version)
    assert (estimated > 0) == (workspace == other_workspace)


@SETTINGS
@given(NAMES, NAMES, NAMES, NAMES)
def test_events_of_another_incarnation_or_weights_never_count(
    incarnation, version, other_incarnation, other_version
):
    index = make_index()
    prompt = make_prompt(CacheScope("w", "m", "", "1"), TEXT)
    for number, block in enumerate(prompt.blocks, start=1):
        stored = CacheEventKind.STORED
        event = CacheEvent("e", incarnation, version, number, stored, block)
        index.record_event(event)
    estimated = estimate(index, prompt, other_incarnation, other_version)
    same = (incarnation, version) == (other_incarnation, other_version)
    assert (estimated > 0) == same


def test_the_cause_of_a_miss_is_found():
    index = make_index()
    prompt = make_prompt(CacheScope("w", "m", "", "1"), TEXT)
    overflow = make_feedback(prompt, "1", "1", DecisionKind.OVERFLOW)
    assert index.find_miss_cause(overflow) is MissCause.OVERFLOW
    index.observe(make_feedback(prompt, "1", "1"))
    causes = {
        ("1", "1"): MissCause.EVICTION,
        ("2", "1"): MissCause.CHURN,
        ("1", "2"): MissCause.WEIGHTS,
    }
    for (incarnation, version), cause in causes.items():
        feedback = make_feedback(prompt, incarnation, version)
        assert index.find_miss_cause(feedback) is cause
