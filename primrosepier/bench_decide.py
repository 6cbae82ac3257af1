"""Measures the CPU time of a placement decision at several fleet sizes."""

import random
import statistics
import time
from collections import Counter

from .cache_events import CacheEvent, CacheEventKind
from .hash_ring import make_ring
from .ids import (
    AdapterId,
    BlockHash,
    EndpointId,
    FailureDomain,
    ModelId,
    WeightsVersion,
    WorkspaceId,
)
from .placement import Decision, EndpointView, Feedback
from .placement_options import PlacementOptions
from .prompts import BLOCK_TOKENS, CacheScope, Prompt
from .reuse_placement import ReusePlacement

__all__ = ["FLEET_SIZES", "measure_decisions"]

FLEET_SIZES = (9, 100, 3_900)
DECISIONS = 4_000
WARMUP_DECISIONS = 1_000
BATCHES = 10
WORKSPACES = 40
GROUPS = 25
# Blocks of the workspace level, the group level and the unique tail.
PROMPT_BLOCKS = (4, 14, 2)


class _FixedFleet:
    """EndpointTable of endpoints whose loads are random but constant."""

    def __init__(self, size: int, rng: random.Random):
        endpoints = [EndpointId(f"engine-{number}") for number in range(size)]
        self.ring = make_ring(endpoints)
        self.views = {
            name: EndpointView(
                id=name,
                failure_domain=FailureDomain(f"domain-{number % 17}"),
                outstanding=rng.randrange(4),
                reported=rng.randrange(8),
                report_age_s=rng.random(),
            )
            for number, name in enumerate(endpoints)
        }

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view."""
        return self.views[endpoint]

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return 1, because all prefill loads equal the service's mean."""
        return 1.0


def _make_prompts(rng: random.Random, count: int) -> list[Prompt]:
    prompts = []
    root_blocks, group_blocks, tail_blocks = PROMPT_BLOCKS
    for _ in range(count):
        workspace = min(rng.randrange(WORKSPACES), rng.randrange(WORKSPACES))
        group = min(rng.randrange(GROUPS), rng.randrange(GROUPS))
        base = 1 + workspace * 1_000_003
        shared = [base * 7919 + block for block in range(root_blocks)]
        shared += [
            base * 104_729 + group * 1_299_709 + block for block in range(group_blocks)
        ]
        blocks = [*shared, *(rng.getrandbits(64) for _ in range(tail_blocks))]
        scope = CacheScope(
            WorkspaceId(f"workspace-{workspace}"),
            ModelId("model"),
            AdapterId(""),
            WeightsVersion("1"),
        )
        levels = (root_blocks, root_blocks + group_blocks, len(blocks))
        tokens = len(blocks) * BLOCK_TOKENS
        prompts.append(Prompt(scope, tuple(map(BlockHash, blocks)), tokens, levels))
    return prompts


def _publish_blocks(
    placement: ReusePlacement,
    decision: Decision,
    prompt: Prompt,
    event_sequences: Counter[EndpointId],
) -> None:
    for block in prompt.blocks:
        event_sequences[decision.endpoint] += 1
        event = CacheEvent(
            endpoint=decision.endpoint,
            incarnation=decision.incarnation,
            version=decision.version,
            sequence=event_sequences[decision.endpoint],
            kind=CacheEventKind.STORED,
            block=block,
        )
        placement.record_event(event)


def _measure_fleet_size(size: int, seed: int) -> float:
    """Return the median over batches of the mean CPU time of a decision in µs."""
    rng = random.Random(seed)
    fleet = _FixedFleet(size, rng)
    placement = ReusePlacement(rng, FailureDomain("domain-0"), PlacementOptions())
    prompts = _make_prompts(rng, DECISIONS)
    event_sequences: Counter[EndpointId] = Counter()
    now_s = 0.0
    for prompt in prompts[:WARMUP_DECISIONS]:
        now_s += 0.02
        decision = placement.choose(prompt, fleet, now_s)
        if decision is not None:
            cached_tokens = decision.expected_cached_tokens
            feedback = Feedback(
                decision.endpoint, prompt, cached_tokens, cached_tokens, now_s
            )
            placement.observe(feedback)
            _publish_blocks(placement, decision, prompt, event_sequences)
    measured_prompts = prompts[WARMUP_DECISIONS:]
    batch_size = len(measured_prompts) // BATCHES
    times = []
    for start in range(0, batch_size * BATCHES, batch_size):
        started_s = time.process_time()
        for prompt in measured_prompts[start : start + batch_size]:
            now_s += 0.02
            placement.choose(prompt, fleet, now_s)
        times.append((time.process_time() - started_s) / batch_size * 1e6)
    return statistics.median(times)


def measure_decisions(seed: int) -> dict[int, float]:
    """Return the CPU time of one decision in µs for each fleet size."""
    return {size: _measure_fleet_size(size, seed) for size in FLEET_SIZES}
