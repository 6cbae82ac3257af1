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
    "measure_blind_misses",
    "measure_pooled_hits",
]

ZIPF_EXPONENT = 1.2
WORKING_SET = 1.3
FOLLOW_UP_SHARE = 0.2
FOLLOW_UPS_KEPT = 64
ROOT_BLOCKS = (3, 8)
GROUP_BLOCKS = (6, 20)
TAIL_BLOCKS = (1, 3)
OUTPUT_TOKENS = (40, 200)
SHIFT_AT = 0.45
MAX_TRACE_OUTPUT_TOKENS = 400


@dataclass(frozen=True, slots=True)
class BenchRequest:
    """One request of a workload.

    Parameters
    ----------
    arrival : float
        Time since the start in mean gaps between requests.
    router : int
        Index of the router that the balancer picked.
    """

    number: int
    arrival: float
    router: int
    prompt: Prompt
    output_tokens: int


@dataclass(frozen=True, slots=True)
class Workload:
    """Requests in the order of arrival.

    Parameters
    ----------
    requests : list of BenchRequest
    warmup : int
        Leading requests that are not measured.
    """

    requests: list[BenchRequest]
    warmup: int

    def find_index_at(self, share: float) -> int:
        """Return the number of the request after a share of the measured ones."""
        return self.warmup + int(share * (len(self.requests) - self.warmup - 1))


@dataclass(slots=True)
class _Group:
    """Prompts below one workspace that share a second level."""

    blocks: tuple[BlockHash, ...]
    root: int
    recent: list[tuple[tuple[BlockHash, ...], tuple[int, ...]]] = field(
        default_factory=list
    )


@dataclass(slots=True)
class _Workspace:
    scope: CacheScope
    groups: list[_Group]
    weights: list[float]


def _make_blocks(source: random.Random, bounds: tuple[int, int]) -> list[BlockHash]:
    count = source.randint(*bounds)
    return [BlockHash(source.getrandbits(64)) for _ in range(count)]


def _count_groups(deployment: Deployment) -> float:
    """Return the groups a unit of weight that make the working set."""
    memory = deployment.model.cache_blocks * len(deployment.engines)
    mean_blocks = sum(GROUP_BLOCKS) / 2
    return WORKING_SET * memory / mean_blocks / sum(deployment.workspaces.values())


def _make_workspace(source: random.Random, name: str, count: int) -> _Workspace:
    scope = CacheScope(
        WorkspaceId(name), ModelId("model"), AdapterId(""), WeightsVersion("1")
    )
    root = _make_blocks(source, ROOT_BLOCKS)
    groups = []
    for _ in range(max(1, count)):
        nested = _make_blocks(source, GROUP_BLOCKS)
        groups.append(_Group((*root, *nested), len(root)))
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(len(groups))]
    return _Workspace(scope, groups, weights)


def _extend_group(
    source: random.Random, group: _Group
) -> tuple[tuple[BlockHash, ...], tuple[int, ...]]:
    if group.recent and source.random() < FOLLOW_UP_SHARE:
        base, levels = source.choice(group.recent)
    else:
        base, levels = group.blocks, (group.root, len(group.blocks))
    blocks = (*base, *_make_blocks(source, TAIL_BLOCKS))
    levels = (*levels, len(blocks))
    group.recent.append((blocks, levels))
    del group.recent[:-FOLLOW_UPS_KEPT]
    return blocks, levels


def generate_workload(
    deployment: Deployment, seed: int, count: int, warmup: int, shift: bool
) -> Workload:
    """Return a seeded workload.

    Parameters
    ----------
    count, warmup : int
        Requests in all, and those before the measured ones.
    shift : bool
        Whether other groups become hot, without a sign, part of the way.
    """
    source = random.Random(f"workload-{deployment.name}-{seed}")
    density = _count_groups(deployment)
    workspaces = [
        _make_workspace(source, name, round(density * weight))
        for name, weight in deployment.workspaces.items()
    ]
    shares = list(deployment.workspaces.values())
    shift_at = warmup + int((count - warmup) * SHIFT_AT) if shift else -1
    now = 0.0
    requests = []
    for number in range(count):
        if number == shift_at:
            for workspace in workspaces:
                source.shuffle(workspace.groups)
        now += source.expovariate(1.0)
        workspace = source.choices(workspaces, shares)[0]
        group = source.choices(workspace.groups, workspace.weights)[0]
        blocks, levels = _extend_group(source, group)
        tokens = len(blocks) * BLOCK_TOKENS
        prompt = Prompt(workspace.scope, blocks, tokens, levels)
        router = source.randrange(deployment.routers)
        output = source.randint(*OUTPUT_TOKENS)
        requests.append(BenchRequest(number, now, router, prompt, output))
    return Workload(requests, warmup)


def convert_trace(
    lines: Iterable[TraceRequest], deployment: Deployment, seed: int
) -> Workload:
    """Return a trace in the Mooncake form as a workload without message ends."""
    source = random.Random(f"trace-{seed}")
    found = list(lines)
    span = max(1e-9, found[-1].timestamp - found[0].timestamp) if found else 1.0
    requests = []
    for number, line in enumerate(found):
        scope = CacheScope(
            WorkspaceId(line.workspace),
            ModelId(line.model),
            AdapterId(""),
            WeightsVersion("1"),
        )
        salt = xxhash.xxh64_intdigest(line.workspace.encode())
        blocks = tuple(_hash_id(block, salt) for block in line.hash_ids)
        arrival = (line.timestamp - found[0].timestamp) / span * len(found)
        prompt = Prompt(scope, blocks, line.input_length)
        router = source.randrange(deployment.routers)
        output = min(line.output_length, MAX_TRACE_OUTPUT_TOKENS)
        requests.append(BenchRequest(number, arrival, router, prompt, output))
    return Workload(requests, min(len(requests) // 10, 30 * len(deployment.engines)))


def _hash_id(block: int, salt: int) -> BlockHash:
    return BlockHash(xxhash.xxh64_intdigest(block.to_bytes(8, "big"), seed=salt))


class _Lru:
    """Least recently used blocks, for estimates without time."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.blocks: OrderedDict[BlockHash, None] = OrderedDict()

    def use(self, blocks: tuple[BlockHash, ...]) -> int:
        """Return the leading blocks that were present and add them all."""
        held = 0
        for block in blocks:
            if block not in self.blocks:
                break
            held += 1
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)
        return held


def measure_pooled_hits(
    workload: Workload, capacity: int, emptied_at: int | None = None
) -> float:
    """Return the hit rate of one cache with the memory of all replicas.

    Parameters
    ----------
    emptied_at : int, optional
        Number of the request before which other weights empty the cache.
    """
    cache = _Lru(capacity)
    held = total = 0
    for request in workload.requests:
        if request.number == emptied_at:
            cache.blocks.clear()
        found = cache.use(request.prompt.blocks)
        if request.number >= workload.warmup:
            held += found
            total += len(request.prompt.blocks)
    return held / total if total else 0.0


def measure_blind_misses(workload: Workload, engines: int, capacity: int) -> float:
    """Return the mean uncached tokens a request when replicas are drawn blindly."""
    source = random.Random("blind")
    caches = [_Lru(capacity) for _ in range(engines)]
    missed = total = 0
    for request in workload.requests:
        found = source.choice(caches).use(request.prompt.blocks)
        if request.number >= workload.warmup:
            missed += (len(request.prompt.blocks) - found) * BLOCK_TOKENS
            total += 1
    return missed / total if total else 1.0
