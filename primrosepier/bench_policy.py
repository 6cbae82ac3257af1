"""Simulates placement policies over modelled engines in virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import simpy

from .bench_deployments import Deployment
from .bench_engines import BlockIndex, Job, SimulatedEngine
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
    "WEIGHTS_CHANGE_SHARE",
    "Simulation",
    "simulate_policy",
]

CLIENT_LATENCY_S = 0.001
CROSS_DOMAIN_LATENCY_S = 0.0005
LOAD_REPORT_INTERVAL_S = 0.5
LOAD_REPORT_LAG_S = 0.3
FAULTY_LOAD_REPORT_LAG_S = 5.0
EVENT_BATCH_INTERVAL_S = 0.25
EVENT_LAG_S = 0.5
EVENT_LOSS_RATE = 0.005
FAULTY_EVENT_LOSS_RATE = 0.05
RETRY_DELAY_S = 0.05
ROLLOUT_POLL_S = 0.05
MAX_ATTEMPTS = 6
MEAN_CRASH_INTERVAL_S = 20.0
# Share of the measured requests before the change of weights.
WEIGHTS_CHANGE_SHARE = 0.75
# Time simulated after the last arrival.
DRAIN_S = 120.0


@dataclass(slots=True)
class BenchRouter:
    """One router: its placement policy and its view of the engines."""

    simulation: "Simulation"
    failure_domain: FailureDomain
    placement: Placement
    outstanding: dict[EndpointId, int] = field(default_factory=dict)
    pending_tokens: dict[EndpointId, int] = field(default_factory=dict)
    tried: frozenset[EndpointId] = frozenset()

    @property
    def ring(self) -> Ring:
        """Hash ring of the declared endpoints."""
        return self.simulation.ring

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it is not eligible."""
        engine = self.simulation.engines[endpoint]
        if endpoint in self.tried or not engine.accepting:
            return None
        reported_at, running, waiting = self.simulation.load_reports[endpoint]
        return EndpointView(
            id=endpoint,
            failure_domain=engine.failure_domain,
            outstanding=self.outstanding.get(endpoint, 0),
            reported=running + waiting,
            report_age_s=self.simulation.env.now - reported_at,
            capacity=engine.model.slots + engine.model.queue_limit,
            waiting=waiting,
            pending_tokens=self.pending_tokens.get(endpoint, 0),
            incarnation=engine.incarnation,
            version=engine.version,
        )

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return the prefill load relative to the service's mean, or 1 when unknown."""
        return self.simulation.prefill_loads.get(endpoint)


@dataclass(slots=True)
class RequestState:
    """One request in progress, over all its attempts.

    Parameters
    ----------
    uncached_tokens : int
        Prompt tokens that the current attempt was expected to compute.
    best_cached_blocks : int
        Length, in blocks, of the longest prefix that an engine had cached when the
        attempt was placed.
    in_prefill : bool
        Whether the current attempt is still before its first token.
    """

    request: BenchRequest
    router: BenchRouter
    arrived_s: float
    output_tokens: int
    attempts: int = 0
    first_token_s: float | None = None
    decision: Decision | None = None
    uncached_tokens: int = 0
    best_cached_blocks: int = 0
    in_prefill: bool = False


class Simulation:
    """Run of one placement policy over one workload.

    Parameters
    ----------
    make_placement : callable
        Called with a seed and a failure domain when a router starts.
    """

    def __init__(
        self,
        deployment: Deployment,
        workload: Workload,
        options: BenchOptions,
        make_placement: Callable[[int, FailureDomain], Placement],
    ):
        self.deployment = deployment
        self.workload = workload
        self.options = options
        self.make_placement = make_placement
        self.env = simpy.Environment()
        self.index = BlockIndex()
        self.ring = make_ring(deployment.engines)
        self.engines = {
            name: SimulatedEngine(self.env, name, domain, deployment.model, self.index)
            for name, domain in deployment.engines.items()
        }
        self.load_reports = dict.fromkeys(self.engines, (0.0, 0, 0))
        self.prefill_loads = PrefillLoadTable()
        self.measures = PolicyMeasures()
        self.event_sequences: dict[tuple[EndpointId, int], int] = {}
        self.collected_events: list[CacheEvent] = []
        self.event_loss_rng = random.Random(f"events-{options.seed}")
        self.event_loss_rate = (
            FAULTY_EVENT_LOSS_RATE if options.faults else EVENT_LOSS_RATE
        )
        self.fault_rng = random.Random(f"faults-{options.seed}")
        self.load_report_lag_s = LOAD_REPORT_LAG_S
        self.routers = [self._make_router(index) for index in range(deployment.routers)]

    def _make_router(self, index: int) -> BenchRouter:
        domains = sorted(set(self.deployment.engines.values()))
        domain = domains[index % len(domains)]
        return BenchRouter(self, domain, self.make_placement(index, domain))

    def run(self) -> PolicyMeasures:
        """Run the whole workload and return its measures."""
        self.env.process(self._generate_arrivals())
        self.env.process(self._report_loads())
        if self.options.change_weights:
            self.env.process(self._change_weights())
        if self.options.faults:
            self.env.process(self._crash_engines())
            self.env.process(self._degrade_views())
        if self.options.events:
            self.env.process(self._publish_events())
        self.env.run(until=self._compute_end_s())
        measures = self.measures
        measures.lost = measures.arrived - measures.completed - measures.shed
        return measures

    def _compute_end_s(self) -> float:
        return self.workload.requests[-1].arrival / self.options.rate_per_s + DRAIN_S

    def _compute_arrival_s(self, share: float) -> float:
        index = self.workload.find_index_at(share)
        return self.workload.requests[index].arrival / self.options.rate_per_s

    def _generate_arrivals(self):
        for request in self.workload.requests:
            due_s = request.arrival / self.options.rate_per_s
            yield self.env.timeout(max(0.0, due_s - self.env.now))
            if request.number >= self.workload.warmup:
                self.measures.arrived += 1
            router = self.routers[request.router]
            self._place(RequestState(request, router, due_s, request.output_tokens))

    def _place(self, state: RequestState) -> None:
        router = state.router
        prompt = state.request.prompt
        decision = router.placement.choose(prompt, router, self.env.now)
        if decision is None:
            self._record_shed(state)
            return
        state.decision = decision
        state.attempts += 1
        engine = self.engines[decision.endpoint]
        state.best_cached_blocks = self.index.count_held(prompt.blocks, engine.salt)
        state.uncached_tokens = max(0, prompt.tokens - decision.expected_cached_tokens)
        state.in_prefill = True
        self._add_outstanding(state, 1, state.uncached_tokens)
        delay_s = (
            0.0
            if engine.failure_domain == router.failure_domain
            else CROSS_DOMAIN_LATENCY_S
        )
        self._schedule(delay_s, lambda _: self._submit(state, engine))

    def _add_outstanding(self, state: RequestState, requests: int, tokens: int) -> None:
        assert state.decision is not None
        endpoint = state.decision.endpoint
        router = state.router
        router.outstanding[endpoint] = router.outstanding.get(endpoint, 0) + requests
        router.pending_tokens[endpoint] = (
            router.pending_tokens.get(endpoint, 0) + tokens
        )

    def _submit(self, state: RequestState, engine: SimulatedEngine) -> None:
        job = Job(
            blocks=state.request.prompt.blocks,
            output_tokens=state.output_tokens,
            on_first_token=lambda job: self._handle_first_token(state, job),
            on_done=lambda job: self._handle_completion(state, job),
            on_lost=lambda job: self._handle_loss(state),
        )
        if not engine.submit(job):
            self._remove_outstanding(state)
            if engine.accepting or state.attempts >= MAX_ATTEMPTS:
                self._record_shed(state)
            else:
                self._place(state)

    def _remove_outstanding(self, state: RequestState) -> None:
        tokens = state.uncached_tokens if state.in_prefill else 0
        state.in_prefill = False
        self._add_outstanding(state, -1, -tokens)

    def _record_shed(self, state: RequestState) -> None:
        if state.request.number >= self.workload.warmup:
            self.measures.shed += 1

    def _handle_first_token(self, state: RequestState, job: Job) -> None:
        state.in_prefill = False
        self._add_outstanding(state, 0, -state.uncached_tokens)
        if state.first_token_s is None:
            state.first_token_s = self.env.now
            self._record_ttft(state)
        if state.request.number >= self.workload.warmup:
            self._record_reuse(state, job)

    def _record_ttft(self, state: RequestState) -> None:
        assert state.decision is not None
        engine = self.engines[state.decision.endpoint]
        remote = engine.failure_domain != state.router.failure_domain
        network_s = 2 * CLIENT_LATENCY_S + (CROSS_DOMAIN_LATENCY_S if remote else 0.0)
        ttft_s = self.env.now - state.arrived_s + network_s
        if state.request.number >= self.workload.warmup:
            self.measures.ttft_s.append(ttft_s)

    def _record_reuse(self, state: RequestState, job: Job) -> None:
        measures = self.measures
        prompt_tokens = len(job.blocks) * BLOCK_TOKENS
        cached_tokens = job.cached_blocks * BLOCK_TOKENS
        wasted_tokens = max(0, state.best_cached_blocks * BLOCK_TOKENS - cached_tokens)
        measures.prompt_tokens += prompt_tokens
        measures.cached_tokens += cached_tokens
        measures.wasted_tokens += wasted_tokens
        ttft_s = self.env.now - state.arrived_s
        measures.samples.append(
            (self.env.now, prompt_tokens, cached_tokens, wasted_tokens, ttft_s)
        )

    def _send_feedback(self, state: RequestState, job: Job) -> None:
        decision = state.decision
        assert decision is not None
        state.router.placement.observe(
            Feedback(
                endpoint=decision.endpoint,
                prompt=state.request.prompt,
                cached_tokens=job.cached_blocks * BLOCK_TOKENS,
                expected_cached_tokens=decision.expected_cached_tokens,
                now_s=self.env.now,
                incarnation=decision.incarnation,
                version=decision.version,
                kind=decision.kind,
            )
        )

    def _handle_completion(self, state: RequestState, job: Job) -> None:
        self._remove_outstanding(state)
        self._send_feedback(state, job)
        if state.request.number >= self.workload.warmup:
            self.measures.completed += 1

    def _handle_loss(self, state: RequestState) -> None:
        self._remove_outstanding(state)
        self._schedule(RETRY_DELAY_S, lambda _: self._place(state))

    def _report_loads(self):
        while True:
            self._publish_loads()
            yield self.env.timeout(LOAD_REPORT_INTERVAL_S)

    def _publish_loads(self) -> None:
        reports = {
            name: (self.env.now, engine.running, len(engine.queue))
            for name, engine in self.engines.items()
        }
        computed_tokens = {
            name: engine.computed_tokens
            for name, engine in self.engines.items()
            if engine.accepting
        }
        published_s = self.env.now

        def apply_report(_: simpy.Event) -> None:
            self.load_reports.update(reports)
            self.prefill_loads.update(computed_tokens, published_s)

        self._schedule(self.load_report_lag_s, apply_report)

    def _schedule(
        self, delay_s: float, callback: Callable[[simpy.Event], None]
    ) -> None:
        timeout = self.env.timeout(delay_s)
        timeout.callbacks.append(callback)

    def _collect_event(self, engine: SimulatedEngine, stored: bool, block: int) -> None:
        sequence = self.event_sequences.get((engine.id, engine.generation), 0) + 1
        self.event_sequences[engine.id, engine.generation] = sequence
        if self.event_loss_rng.random() < self.event_loss_rate:
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
        self.collected_events.append(event)

    def _publish_events(self):
        for engine in self.engines.values():
            engine.on_event = self._collect_event
        while True:
            yield self.env.timeout(EVENT_BATCH_INTERVAL_S)
            batch, self.collected_events = self.collected_events, []
            self._schedule_delivery(batch)

    def _schedule_delivery(self, batch: list[CacheEvent]) -> None:
        self._schedule(EVENT_LAG_S, lambda _: self._deliver_events(batch))

    def _deliver_events(self, batch: list[CacheEvent]) -> None:
        for router in self.routers:
            if isinstance(router.placement, ReusePlacement):
                for event in batch:
                    router.placement.record_event(event)

    def _change_weights(self):
        yield self.env.timeout(self._compute_arrival_s(WEIGHTS_CHANGE_SHARE))
        for engine in self.engines.values():
            while self._count_unavailable() >= self.deployment.loads_at_once:
                yield self.env.timeout(ROLLOUT_POLL_S)
            engine.accepting = False
            self.env.process(self._reload_engine(engine))

    def _count_unavailable(self) -> int:
        return sum(not engine.accepting for engine in self.engines.values())

    def _reload_engine(self, engine: SimulatedEngine):
        while engine.jobs:
            yield self.env.timeout(ROLLOUT_POLL_S)
        engine.start_load()
        yield self.env.timeout(self.deployment.model.load_s)
        engine.finish_load(WeightsVersion("2"))

    def _crash_engines(self):
        names = sorted(self.engines)
        end_s = self._compute_arrival_s(1.0)
        interval_s = MEAN_CRASH_INTERVAL_S * self.deployment.routers / len(self.routers)
        while self.env.now < end_s:
            yield self.env.timeout(self.fault_rng.expovariate(1 / interval_s))
            engine = self.engines[self.fault_rng.choice(names)]
            if engine.accepting:
                engine.crash()
                self.env.process(self._restart(engine))

    def _restart(self, engine: SimulatedEngine):
        yield self.env.timeout(self.deployment.model.restart_s)
        engine.restart()

    def _degrade_views(self):
        """Restart every second router and delay load reports for a part of the run."""
        yield self.env.timeout(self._compute_arrival_s(0.25))
        self.load_report_lag_s = FAULTY_LOAD_REPORT_LAG_S
        for index in range(len(self.routers)):
            if index % 2 == 0:
                domain = self.routers[index].failure_domain
                placement = self.make_placement(index, domain)
                self.routers[index].placement = placement
        yield self.env.timeout(self._compute_arrival_s(0.5) - self.env.now)
        self.load_report_lag_s = LOAD_REPORT_LAG_S


def simulate_policy(
    deployment: Deployment,
    workload: Workload,
    options: BenchOptions,
    make_placement: Callable[[int, FailureDomain], Placement],
) -> PolicyMeasures:
    """Run one placement policy over a workload and return its measures."""
    return Simulation(deployment, workload, options, make_placement).run()
