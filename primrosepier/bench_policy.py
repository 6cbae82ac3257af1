"""The policy bench: placements over modelled engines in virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import simpy

from .bench_deployments import Deployment
from .bench_engines import BlockIndex, FakeEngine, Job
from .bench_measures import BenchOptions, PolicyMeasures
from .bench_workload import BenchRequest, Workload
from .cache_events import CacheEvent, CacheEventKind
from .hash_ring import Ring, make_ring
from .ids import BlockHash, EndpointId, FailureDomain, WeightsVersion
from .placement import Decision, EndpointView, Feedback, Placement
from .prefill_loads import PrefillLoadTable
from .prompts import BLOCK_TOKENS
from .reuse_placement import ReusePlacement

__all__ = [
    "WEIGHTS_AT",
    "Simulation",
    "simulate_policy",
]

CLIENT_S = 0.001
REMOTE_S = 0.0005
REPORT_S = 0.5
REPORT_LAG_S = 0.3
STALE_LAG_S = 5.0
EVENT_BATCH_S = 0.25
EVENT_LAG_S = 0.5
EVENT_LOSS = 0.005
FAULTY_EVENT_LOSS = 0.05
RETRY_S = 0.05
ROLLOUT_STEP_S = 0.05
MAX_ATTEMPTS = 6
CRASH_GAP_S = 20.0
WEIGHTS_AT = 0.75
DRAIN_S = 120.0


@dataclass(slots=True)
class BenchRouter:
    """One router: its placement and its own view of the engines."""

    simulation: "Simulation"
    failure_domain: FailureDomain
    placement: Placement
    outstanding: dict[EndpointId, int] = field(default_factory=dict)
    pending: dict[EndpointId, int] = field(default_factory=dict)
    tried: frozenset[EndpointId] = frozenset()

    @property
    def ring(self) -> Ring:
        """The declared endpoints."""
        return self.simulation.ring

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it may get no request now."""
        engine = self.simulation.engines[endpoint]
        if endpoint in self.tried or not engine.accepting:
            return None
        reported_at, running, waiting = self.simulation.reports[endpoint]
        return EndpointView(
            id=endpoint,
            failure_domain=engine.failure_domain,
            outstanding=self.outstanding.get(endpoint, 0),
            reported=running + waiting,
            report_age_s=self.simulation.env.now - reported_at,
            capacity=engine.model.slots + engine.model.queue,
            waiting=waiting,
            pending_tokens=self.pending.get(endpoint, 0),
            incarnation=engine.incarnation,
            version=engine.version,
        )

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return the smoothed prefill work over the service's mean, 1 if unknown."""
        return self.simulation.prefill_loads.get(endpoint)


@dataclass(slots=True)
class Attempt:
    """One request on its way through routers and engines."""

    request: BenchRequest
    router: BenchRouter
    arrived_s: float
    left_tokens: int
    tries: int = 0
    first_s: float | None = None
    decision: Decision | None = None
    uncached: int = 0
    held_blocks: int = 0
    waiting_first: bool = False


class Simulation:
    """One placement over one workload.

    Parameters
    ----------
    make_policy : callable
        Called with a seed and a failure domain for each router's start.
    """

    def __init__(
        self,
        deployment: Deployment,
        workload: Workload,
        options: BenchOptions,
        make_policy: Callable[[int, FailureDomain], Placement],
    ):
        self.deployment = deployment
        self.workload = workload
        self.options = options
        self.make_policy = make_policy
        self.env = simpy.Environment()
        self.index = BlockIndex()
        self.ring = make_ring(deployment.engines)
        self.engines = {
            name: FakeEngine(self.env, name, domain, deployment.model, self.index)
            for name, domain in deployment.engines.items()
        }
        self.reports = dict.fromkeys(self.engines, (0.0, 0, 0))
        self.prefill_loads = PrefillLoadTable()
        self.measures = PolicyMeasures()
        self.sequences: dict[tuple[EndpointId, int], int] = {}
        self.collected: list[CacheEvent] = []
        self.losses = random.Random(f"events-{options.seed}")
        self.event_loss = FAULTY_EVENT_LOSS if options.faults else EVENT_LOSS
        self.source = random.Random(f"faults-{options.seed}")
        self.report_lag_s = REPORT_LAG_S
        self.routers = [self._make_router(n) for n in range(deployment.routers)]

    def _make_router(self, number: int) -> BenchRouter:
        domains = sorted(set(self.deployment.engines.values()))
        domain = domains[number % len(domains)]
        return BenchRouter(self, domain, self.make_policy(number, domain))

    def run(self) -> PolicyMeasures:
        """Return the measures of the whole workload."""
        self.env.process(self._arrive())
        self.env.process(self._report())
        if self.options.change_weights:
            self.env.process(self._change_weights())
        if self.options.faults:
            self.env.process(self._crash_engines())
            self.env.process(self._disturb_views())
        if self.options.events:
            self.env.process(self._deliver_events())
        self.env.run(until=self._compute_end())
        measures = self.measures
        measures.lost = measures.arrived - measures.completed - measures.shed
        return measures

    def _compute_end(self) -> float:
        return self.workload.requests[-1].arrival / self.options.rate_per_s + DRAIN_S

    def _compute_time(self, share: float) -> float:
        place = self.workload.find_place(share)
        return self.workload.requests[place].arrival / self.options.rate_per_s

    def _arrive(self):
        for request in self.workload.requests:
            due = request.arrival / self.options.rate_per_s
            yield self.env.timeout(max(0.0, due - self.env.now))
            if request.number >= self.workload.warmup:
                self.measures.arrived += 1
            router = self.routers[request.router]
            self._place(Attempt(request, router, due, request.output_tokens))

    def _place(self, attempt: Attempt) -> None:
        router = attempt.router
        prompt = attempt.request.prompt
        decision = router.placement.choose(prompt, router, self.env.now)
        if decision is None:
            self._shed(attempt)
            return
        attempt.decision = decision
        attempt.tries += 1
        engine = self.engines[decision.endpoint]
        attempt.held_blocks = self.index.count_held(prompt.blocks, engine.salt)
        attempt.uncached = max(0, prompt.tokens - decision.expected_cached_tokens)
        attempt.waiting_first = True
        self._count(attempt, 1, attempt.uncached)
        delay = 0.0 if engine.failure_domain == router.failure_domain else REMOTE_S
        self._after(delay, lambda _: self._submit(attempt, engine))

    def _count(self, attempt: Attempt, requests: int, tokens: int) -> None:
        assert attempt.decision is not None
        endpoint = attempt.decision.endpoint
        router = attempt.router
        router.outstanding[endpoint] = router.outstanding.get(endpoint, 0) + requests
        router.pending[endpoint] = router.pending.get(endpoint, 0) + tokens

    def _submit(self, attempt: Attempt, engine: FakeEngine) -> None:
        job = Job(
            blocks=attempt.request.prompt.blocks,
            output_tokens=attempt.left_tokens,
            on_first=lambda job: self._take_first(attempt, job),
            on_done=lambda job: self._take_done(attempt, job),
            on_lost=lambda job: self._take_lost(attempt),
        )
        if not engine.submit(job):
            self._leave(attempt)
            if engine.accepting or attempt.tries >= MAX_ATTEMPTS:
                self._shed(attempt)
            else:
                self._place(attempt)

    def _leave(self, attempt: Attempt) -> None:
        tokens = attempt.uncached if attempt.waiting_first else 0
        attempt.waiting_first = False
        self._count(attempt, -1, -tokens)

    def _shed(self, attempt: Attempt) -> None:
        if attempt.request.number >= self.workload.warmup:
            self.measures.shed += 1

    def _take_first(self, attempt: Attempt, job: Job) -> None:
        attempt.waiting_first = False
        self._count(attempt, 0, -attempt.uncached)
        if attempt.first_s is None:
            attempt.first_s = self.env.now
            self._measure_first(attempt)
        if attempt.request.number >= self.workload.warmup:
            self._measure_reuse(attempt, job)

    def _measure_first(self, attempt: Attempt) -> None:
        assert attempt.decision is not None
        engine = self.engines[attempt.decision.endpoint]
        remote = engine.failure_domain != attempt.router.failure_domain
        network = 2 * CLIENT_S + (REMOTE_S if remote else 0.0)
        ttft = self.env.now - attempt.arrived_s + network
        if attempt.request.number >= self.workload.warmup:
            self.measures.ttft_s.append(ttft)

    def _measure_reuse(self, attempt: Attempt, job: Job) -> None:
        measures = self.measures
        prompt = len(job.blocks) * BLOCK_TOKENS
        cached = job.cached_blocks * BLOCK_TOKENS
        wasted = max(0, attempt.held_blocks * BLOCK_TOKENS - cached)
        measures.prompt_tokens += prompt
        measures.cached_tokens += cached
        measures.wasted_tokens += wasted
        ttft = self.env.now - attempt.arrived_s
        measures.samples.append((self.env.now, prompt, cached, wasted, ttft))

    def _observe(self, attempt: Attempt, job: Job) -> None:
        decision = attempt.decision
        assert decision is not None
        attempt.router.placement.observe(
            Feedback(
                endpoint=decision.endpoint,
                prompt=attempt.request.prompt,
                cached_tokens=job.cached_blocks * BLOCK_TOKENS,
                expected_cached_tokens=decision.expected_cached_tokens,
                now_s=self.env.now,
                incarnation=decision.incarnation,
                version=decision.version,
                kind=decision.kind,
            )
        )

    def _take_done(self, attempt: Attempt, job: Job) -> None:
        self._leave(attempt)
        self._observe(attempt, job)
        if attempt.request.number >= self.workload.warmup:
            self.measures.completed += 1

    def _take_lost(self, attempt: Attempt) -> None:
        self._leave(attempt)
        self._after(RETRY_S, lambda _: self._place(attempt))

    def _report(self):
        while True:
            self._publish_loads()
            yield self.env.timeout(REPORT_S)

    def _publish_loads(self) -> None:
        loads = {
            name: (self.env.now, engine.running, len(engine.queue))
            for name, engine in self.engines.items()
        }

        counters = {
            name: engine.computed_tokens
            for name, engine in self.engines.items()
            if engine.accepting
        }
        published_s = self.env.now

        def arrive(_: simpy.Event) -> None:
            self.reports.update(loads)
            self.prefill_loads.update(counters, published_s)

        self._after(self.report_lag_s, arrive)

    def _after(self, delay_s: float, act: Callable[[simpy.Event], None]) -> None:
        timeout = self.env.timeout(delay_s)
        timeout.callbacks.append(act)

    def _collect_event(self, engine: FakeEngine, stored: bool, block: int) -> None:
        sequence = self.sequences.get((engine.id, engine.number), 0) + 1
        self.sequences[engine.id, engine.number] = sequence
        if self.losses.random() < self.event_loss:
            return
        kind = CacheEventKind.STORED if stored else CacheEventKind.EVICTED
        event = CacheEvent(
            endpoint=engine.id,
            incarnation=engine.incarnation,
            version=engine.version,
            sequence=sequence,
            kind=kind,
            block=BlockHash(block),
        )
        self.collected.append(event)

    def _deliver_events(self):
        for engine in self.engines.values():
            engine.on_event = self._collect_event
        while True:
            yield self.env.timeout(EVENT_BATCH_S)
            batch, self.collected = self.collected, []
            self._spread_later(batch)

    def _spread_later(self, batch: list[CacheEvent]) -> None:
        self._after(EVENT_LAG_S, lambda _: self._spread_events(batch))

    def _spread_events(self, batch: list[CacheEvent]) -> None:
        for router in self.routers:
            if isinstance(router.placement, ReusePlacement):
                for event in batch:
                    router.placement.record_event(event)

    def _change_weights(self):
        yield self.env.timeout(self._compute_time(WEIGHTS_AT))
        for engine in self.engines.values():
            while self._count_out() >= self.deployment.loads_at_once:
                yield self.env.timeout(ROLLOUT_STEP_S)
            engine.accepting = False
            self.env.process(self._reload(engine))

    def _count_out(self) -> int:
        return sum(not engine.accepting for engine in self.engines.values())

    def _reload(self, engine: FakeEngine):
        while engine.jobs:
            yield self.env.timeout(ROLLOUT_STEP_S)
        engine.start_load()
        yield self.env.timeout(self.deployment.model.load_s)
        engine.finish_load(WeightsVersion("2"))

    def _crash_engines(self):
        names = sorted(self.engines)
        end = self._compute_time(1.0)
        gap_s = CRASH_GAP_S * self.deployment.routers / len(self.routers)
        while self.env.now < end:
            yield self.env.timeout(self.source.expovariate(1 / gap_s))
            engine = self.engines[self.source.choice(names)]
            if engine.accepting:
                engine.crash()
                self.env.process(self._restart(engine))

    def _restart(self, engine: FakeEngine):
        yield self.env.timeout(self.deployment.model.restart_s)
        engine.restart()

    def _disturb_views(self):
        yield self.env.timeout(self._compute_time(0.25))
        self.report_lag_s = STALE_LAG_S
        for number in range(len(self.routers)):
            if number % 2 == 0:
                domain = self.routers[number].failure_domain
                policy = self.make_policy(number, domain)
                self.routers[number].placement = policy
        yield self.env.timeout(self._compute_time(0.5) - self.env.now)
        self.report_lag_s = REPORT_LAG_S


def simulate_policy(
    deployment: Deployment,
    workload: Workload,
    options: BenchOptions,
    make_policy: Callable[[int, FailureDomain], Placement],
) -> PolicyMeasures:
    """Return the measures of one placement."""
    return Simulation(deployment, workload, options, make_policy).run()
