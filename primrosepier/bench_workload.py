"""Seeded workloads of nested prompts for the policy bench."""

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .bench_deployments import Deployment
from .ids import AdapterId, BlockHash, ModelId, WeightsVersion, WorkspaceId
from .prompts import BLOCK_TOKENS, CacheScope, Prompt
from .traces import TraceRequest

__all__ = [
    "BenchRequest",
    "Workload",
    "convert_trace",
    "generate_workload",
    "compute_random_misses",
    "compute_pooled_hit_rate",
]

ZIPF_EXPONENT = 1.2
# Blocks of all prefix groups relative to the cache capacity of all engines.
WORKING_SET_RATIO = 1.3
FOLLOW_UP_SHARE = 0.2
MAX_RECENT_PROMPTS = 64
# Minimum and maximum of uniform distributions.
ROOT_BLOCKS = (3, 8)
GROUP_BLOCKS = (6, 20)
TAIL_BLOCKS = (1, 3)
OUTPUT_TOKENS = (40, 200)
# Share of the measured requests before the hot groups change.
SHIFT_SHARE = 0.45
MAX_TRACE_OUTPUT_TOKENS = 400


@dataclass(frozen=True, slots=True)
class BenchRequest:
    """One request of a workload.

    Parameters
    ----------
    arrival : float
        Time since the start, in units of the mean inter-arrival time.
    router : int
        Index of the router that receives the request.
    """

    number: int
    arrival: float
    router: int
    prompt: Prompt
    output_tokens: int


@dataclass(frozen=True, slots=True)
class Workload:
    """Requests in order of arrival.

    Parameters
    ----------
    requests : list of BenchRequest
    warmup : int
        Number of leading requests that are not measured.
    """

    requests: list[BenchRequest]
    warmup: int

    def find_index_at(self, share: float) -> int:
        """Return the index of the request after a share of the measured requests."""
        return self.warmup + int(share * (len(self.requests) - self.warmup - 1))


@dataclass(slots=True)
class _PrefixGroup:
    """Prompts of one workspace that share their first two prefix levels.

    Parameters
    ----------
    blocks : tuple of BlockHash
        Blocks of the shared prefix.
    root_blocks : int
        Number of blocks of the first level.
    recent_prompts : list of (blocks, levels)
        Latest prompts, which follow-up requests extend.
    """

    blocks: tuple[BlockHash, ...]
    root_blocks: int
    recent_prompts: list[tuple[tuple[BlockHash, ...], tuple[int, ...]]] = field(
        default_factory=list
    )


@dataclass(slots=True)
class _Workspace:
    scope: CacheScope
    groups: list[_PrefixGroup]
    group_weights: list[float]


def _draw_blocks(rng: random.Random, bounds: tuple[int, int]) -> list[BlockHash]:
    count = rng.randint(*bounds)
    return [BlockHash(rng.getrandbits(64)) for _ in range(count)]


def _compute_groups_per_weight(deployment: Deployment) -> float:
    """Return the groups per unit of workspace weight that fill the working set."""
    cache_blocks = deployment.model.cache_blocks * len(deployment.engines)
    mean_blocks = sum(GROUP_BLOCKS) / 2
    return (
        WORKING_SET_RATIO
        * cache_blocks
        / mean_blocks
        / sum(deployment.workspaces.values())
    )


def _make_workspace(rng: random.Random, name: str, count: int) -> _Workspace:
    scope = CacheScope(
        WorkspaceId(name), ModelId("model"), AdapterId(""), WeightsVersion("1")
    )
    root = _draw_blocks(rng, ROOT_BLOCKS)
    groups = []
    for _ in range(max(1, count)):
        nested = _draw_blocks(rng, GROUP_BLOCKS)
        groups.append(_PrefixGroup((*root, *nested), len(root)))
    group_weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(len(groups))]
    return _Workspace(scope, groups, group_weights)


def _draw_prompt(
    rng: random.Random, group: _PrefixGroup
) -> tuple[tuple[BlockHash, ...], tuple[int, ...]]:
    """Return the blocks of a prompt and the end of each prefix level, in blocks."""
    if group.recent_prompts and rng.random() < FOLLOW_UP_SHARE:
        base, levels = rng.choice(group.recent_prompts)
    else:
        base, levels = group.blocks, (group.root_blocks, len(group.blocks))
    blocks = (*base, *_draw_blocks(rng, TAIL_BLOCKS))
    levels = (*levels, len(blocks))
    group.recent_prompts.append((blocks, levels))
    del group.recent_prompts[:-MAX_RECENT_PROMPTS]
    return blocks, levels


def generate_workload(
    deployment: Deployment, seed: int, count: int, warmup: int, shift: bool
) -> Workload:
    """Return a seeded workload.

    Parameters
    ----------
    count, warmup : int
        Total requests, and leading requests that are not measured.
    shift : bool
        Whether the hot groups change abruptly during the run.
    """
    rng = random.Random(f"workload-{deployment.name}-{seed}")
    groups_per_weight = _compute_groups_per_weight(deployment)
    workspaces = [
        _make_workspace(rng, name, round(groups_per_weight * weight))
        for name, weight in deployment.workspaces.items()
    ]
    workspace_weights = list(deployment.workspaces.values())
    shift_at = warmup + int((count - warmup) * SHIFT_SHARE) if shift else -1
    arrival = 0.0
    requests = []
    for number in range(count):
        if number == shift_at:
            for workspace in workspaces:
                rng.shuffle(workspace.groups)
        arrival += rng.expovariate(1.0)
        workspace = rng.choices(workspaces, workspace_weights)[0]
        group = rng.choices(workspace.groups, workspace.group_weights)[0]
        blocks, levels = _draw_prompt(rng, group)
        tokens = len(blocks) * BLOCK_TOKENS
        prompt = Prompt(workspace.scope, blocks, tokens, levels)
        router = rng.randrange(deployment.routers)
        output = rng.randint(*OUTPUT_TOKENS)
        requests.append(BenchRequest(number, arrival, router, prompt, output))
    return Workload(requests, warmup)


def convert_trace(
    trace_requests: Iterable[TraceRequest], deployment: Deployment, seed: int
) -> Workload:
    """Return a trace in the Mooncake format as a workload without prefix levels."""
    rng = random.Random(f"trace-{seed}")
    trace = list(trace_requests)
    span = max(1e-9, trace[-1].timestamp - trace[0].timestamp) if trace else 1.0
    requests = []
    for number, request in enumerate(trace):
        scope = CacheScope(
            WorkspaceId(request.workspace),
            ModelId(request.model),
            AdapterId(""),
            WeightsVersion("1"),
        )
        salt = xxhash.xxh64_intdigest(request.workspace.encode())
        blocks = tuple(_hash_block_id(block_id, salt) for block_id in request.hash_ids)
        arrival = (request.timestamp - trace[0].timestamp) / span * len(trace)
        prompt = Prompt(scope, blocks, request.input_length)
        router = rng.randrange(deployment.routers)
        output = min(request.output_length, MAX_TRACE_OUTPUT_TOKENS)
        requests.append(BenchRequest(number, arrival, router, prompt, output))
    return Workload(requests, min(len(requests) // 10, 30 * len(deployment.engines)))


def _hash_block_id(block_id: int, salt: int) -> BlockHash:
    return BlockHash(xxhash.xxh64_intdigest(block_id.to_bytes(8, "big"), seed=salt))


class _LruCache:
    """LRU cache of blocks, for estimates that ignore time."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.blocks: OrderedDict[BlockHash, None] = OrderedDict()

    def access(self, blocks: tuple[BlockHash, ...]) -> int:
        """Return the number of leading blocks present, and add all blocks."""
        hits = 0
        for block in blocks:
            if block not in self.blocks:
                break
            hits += 1
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)
        return hits


def compute_pooled_hit_rate(
    workload: Workload, capacity: int, cleared_at: int | None = None
) -> float:
    """Return the hit rate of one cache with the capacity of all replicas.

    Parameters
    ----------
    cleared_at : int, optional
        Number of the request before which a change of weights clears the cache.
    """
    cache = _LruCache(capacity)
    hits = total_blocks = 0
    for request in workload.requests:
        if request.number == cleared_at:
            cache.blocks.clear()
        hit_blocks = cache.access(request.prompt.blocks)
        if request.number >= workload.warmup:
            hits += hit_blocks
            total_blocks += len(request.prompt.blocks)
    return hits / total_blocks if total_blocks else 0.0


def compute_random_misses(workload: Workload, engines: int, capacity: int) -> float:
    """Return the mean uncached tokens per request under random placement."""
    rng = random.Random("blind")
    caches = [_LruCache(capacity) for _ in range(engines)]
    missed_tokens = measured_requests = 0
    for request in workload.requests:
        hit_blocks = rng.choice(caches).access(request.prompt.blocks)
        if request.number >= workload.warmup:
            missed_tokens += (len(request.prompt.blocks) - hit_blocks) * BLOCK_TOKENS
            measured_requests += 1
    return missed_tokens / measured_requests if measured_requests else 1.0
