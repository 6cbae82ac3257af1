"""Simulated engines with a request queue, a decoding batch and a block cache."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import simpy
import xxhash

from .bench_deployments import EngineModel
from .ids import BlockHash, EndpointId, FailureDomain, Incarnation, WeightsVersion
from .prompts import BLOCK_TOKENS

__all__ = ["BlockIndex", "SimulatedEngine", "Job"]

# Relative slowdown with a full batch.
PREFILL_SLOWDOWN = 0.5
DECODE_SLOWDOWN = 1.0


@dataclass(slots=True)
class Job:
    """One attempt of a request at one engine.

    Parameters
    ----------
    on_first_token : callable
        Called with the job at its first token; ``cached_blocks`` is set by then.
    on_done : callable
        Called with the job after its last token.
    on_lost : callable
        Called with the job when the engine crashes.
    generation : int
        Generation of the engine that accepted the job.
    """

    blocks: tuple[BlockHash, ...]
    output_tokens: int
    on_first_token: Callable[["Job"], None]
    on_done: Callable[["Job"], None]
    on_lost: Callable[["Job"], None]
    cached_blocks: int = 0
    generation: int = 0


class BlockIndex:
    """Index of the blocks cached by all engines, used only for measures."""

    def __init__(self) -> None:
        self.holder_counts: dict[int, int] = {}

    def add(self, key: int) -> None:
        """Record that one more engine holds a block."""
        self.holder_counts[key] = self.holder_counts.get(key, 0) + 1

    def remove(self, key: int) -> None:
        """Record that one engine fewer holds a block."""
        remaining = self.holder_counts[key] - 1
        if remaining:
            self.holder_counts[key] = remaining
        else:
            del self.holder_counts[key]

    def count_held(self, blocks: tuple[BlockHash, ...], salt: int) -> int:
        """Return the length, in blocks, of the longest prefix that an engine holds."""
        for index in range(len(blocks), 0, -1):
            if blocks[index - 1] ^ salt in self.holder_counts:
                return index
        return 0


@dataclass(slots=True)
class SimulatedEngine:
    """One engine: serial prefill, batched decoding and an LRU block cache.

    Parameters
    ----------
    generation : int
        Number of crashes so far; callbacks of earlier generations are dropped.
    salt : int
        Hash of the weights version; the cache key of a block is its XOR with the
        block's hash.
    on_idle : callable, optional
        Called when a completed job leaves the engine without jobs.
    on_event : callable, optional
        Called with the engine, whether a block was stored (else evicted), and the
        block.
    """

    env: simpy.Environment
    id: EndpointId
    failure_domain: FailureDomain
    model: EngineModel
    index: BlockIndex
    version: WeightsVersion = WeightsVersion("1")
    generation: int = 0
    accepting: bool = True
    queue: deque[Job] = field(default_factory=deque)
    running: int = 0
    computed_tokens: int = 0
    jobs: dict[int, Job] = field(default_factory=dict)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    prefilling: bool = False
    loading: bool = False
    salt: int = 0
    on_idle: Callable[[], None] | None = None
    on_event: Callable[["SimulatedEngine", bool, int], None] | None = None

    def __post_init__(self) -> None:
        self._set_version(self.version)

    @property
    def incarnation(self) -> Incarnation:
        """Identifier of the current run of the process."""
        return Incarnation(str(self.generation))

    def _set_version(self, version: WeightsVersion) -> None:
        self.version = version
        self.salt = xxhash.xxh64_intdigest(version.encode())

    def submit(self, job: Job) -> bool:
        """Enqueue a job; return False when the engine refuses it."""
        if not self.accepting or len(self.queue) >= self.model.queue_limit:
            return False
        job.generation = self.generation
        self.jobs[id(job)] = job
        self.queue.append(job)
        self._start_prefill()
        return True

    def _schedule(
        self, delay_s: float, job: Job, callback: Callable[[Job], None]
    ) -> None:
        def run(_: simpy.Event) -> None:
            if job.generation == self.generation and id(job) in self.jobs:
                callback(job)

        timeout = self.env.timeout(delay_s)
        timeout.callbacks.append(run)

    def _start_prefill(self) -> None:
        if self.prefilling or not self.queue or self.running >= self.model.slots:
            return
        job = self.queue.popleft()
        self.prefilling = True
        job.cached_blocks = self._count_cached(job.blocks)
        uncached = (len(job.blocks) - job.cached_blocks) * BLOCK_TOKENS
        slowdown = 1 + PREFILL_SLOWDOWN * self.running / self.model.slots
        self.running += 1
        duration = max(1, uncached) / self.model.prefill_tokens_per_s * slowdown
        self._schedule(duration, job, self._finish_prefill)

    def _finish_prefill(self, job: Job) -> None:
        self.prefilling = False
        self._add_blocks(job.blocks)
        uncached = len(job.blocks) - job.cached_blocks
        self.computed_tokens += uncached * BLOCK_TOKENS
        slowdown = 1 + DECODE_SLOWDOWN * self.running / self.model.slots
        job.on_first_token(job)
        self._schedule(
            job.output_tokens * self.model.token_s * slowdown, job, self._finish_decode
        )
        self._start_prefill()

    def _finish_decode(self, job: Job) -> None:
        self.running -= 1
        del self.jobs[id(job)]
        job.on_done(job)
        self._start_prefill()
        if not self.jobs and self.on_idle is not None:
            self.on_idle()

    def _count_cached(self, blocks: tuple[BlockHash, ...]) -> int:
        for index, block in enumerate(blocks):
            if block ^ self.salt not in self.cache:
                return index
        return len(blocks)

    def _add_blocks(self, blocks: tuple[BlockHash, ...]) -> None:
        for block in reversed(blocks):
            key = block ^ self.salt
            if key in self.cache:
                self.cache.move_to_end(key)
                continue
            self.cache[key] = None
            self.index.add(key)
            self._publish(True, block)
        while len(self.cache) > self.model.cache_blocks:
            key, _ = self.cache.popitem(last=False)
            self.index.remove(key)
            self._publish(False, key ^ self.salt)

    def _publish(self, stored: bool, block: int) -> None:
        if self.on_event is not None:
            self.on_event(self, stored, block)

    def _clear_cache(self) -> None:
        for key in self.cache:
            self.index.remove(key)
        self.cache.clear()

    def crash(self) -> None:
        """Lose all jobs and the cache, and refuse jobs until ``restart``."""
        lost = list(self.jobs.values())
        self.generation += 1
        self.accepting = False
        self.jobs.clear()
        self.queue.clear()
        self.running = 0
        self.computed_tokens = 0
        self.prefilling = False
        self._clear_cache()
        for job in lost:
            job.on_lost(job)

    def restart(self) -> None:
        """Accept jobs again after a crash, with an empty cache."""
        self.accepting = True

    def start_load(self) -> None:
        """Mark a drained engine as loading and drop its cache."""
        self.loading = True
        self._clear_cache()

    def finish_load(self, version: WeightsVersion) -> None:
        """Accept jobs again, with the given weights."""
        self._set_version(version)
        self.loading = False
        self.accepting = True
