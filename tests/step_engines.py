"""Engines that compute prompts and generate output in the same steps.

Callers, routers that report to each other, and engines run in virtual time, without a
network; the forwarding modules choose the engines.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import simpy
from forwarding_samples import DOMAINS, make_call, make_chooser, make_replica

from primrosepier.forwarding.attempts import AttemptRecorder
from primrosepier.forwarding.calls import ReportedLoad, ResponseHead
from primrosepier.forwarding.peers import PeerDirectory, PeerEntry, PeerExchange
from primrosepier.forwarding.prefixes import PrefillTracker
from primrosepier.forwarding.replica_choice import AvoidedReplicas, ReplicaChooser

# Time of a step, and what each running call adds to it.
STEP_S = 0.0056
STEP_PER_CALL_S = 0.00012
# Prompt tokens that one step computes at most.
CHUNK_TOKENS = 2048
# Attention over a long prompt included.
PREFILL_TOKENS_PER_S = 49_000
SLOTS = 64
REPORT_INTERVAL_S = 0.15
# Spread of the lengths of outputs: the longest tenth has over six times the median.
OUTPUT_SIGMA = 1.4
# Spread of the lengths of the prompts' own parts.
PROMPT_SIGMA = 1.1


@dataclass(eq=False)
class EngineCall:
    """One call at an engine; ``prompt_tokens`` are those yet to be computed."""

    prompt_tokens: int
    output_tokens: int
    leaves_at_s: float
    first_token: simpy.Event
    done: simpy.Event
    generated: int = 0


@dataclass
class StepEngine:
    """Computes a part of one prompt and a token of each running call in a step."""

    env: simpy.Environment
    waiting: list[EngineCall] = field(default_factory=list)
    running: list[EngineCall] = field(default_factory=list)
    wakeup: simpy.Event | None = None

    def submit(self, call: EngineCall, is_urgent: bool) -> None:
        """Add a call; urgent ones are computed before all others but the first."""
        position = min(1, len(self.waiting)) if is_urgent else len(self.waiting)
        self.waiting.insert(position, call)
        if self.wakeup is not None:
            self.wakeup.succeed()
            self.wakeup = None

    def run(self) -> Iterator[simpy.Event]:
        """Run steps for as long as there are calls."""
        while True:
            self._drop_abandoned()
            if not self.waiting and not self.running:
                self.wakeup = self.env.event()
                yield self.wakeup
            step_s = STEP_S + STEP_PER_CALL_S * len(self.running)
            computed = self.waiting[0] if self.waiting else None
            if computed is not None and len(self.running) < SLOTS:
                tokens = min(CHUNK_TOKENS, computed.prompt_tokens)
                computed.prompt_tokens -= tokens
                step_s += tokens / PREFILL_TOKENS_PER_S
            yield self.env.timeout(step_s)
            self._generate()
            if computed is not None and not computed.prompt_tokens:
                self.waiting.remove(computed)
                self.running.append(computed)
                computed.first_token.succeed()

    def _drop_abandoned(self) -> None:
        now_s = self.env.now
        self.running = [call for call in self.running if call.leaves_at_s > now_s]
        self.waiting = [call for call in self.waiting if call.leaves_at_s > now_s]

    def _generate(self) -> None:
        for call in self.running:
            call.generated += 1
            if call.generated >= call.output_tokens:
                call.done.succeed()
        self.running = [c for c in self.running if c.generated < c.output_tokens]


@dataclass(frozen=True)
class CallKind:
    """Calls of one kind.

    Parameters
    ----------
    shared_tokens : int
        Length of the part of the prompt that calls may share.
    median_own_tokens, max_own_tokens : int
        Lengths of the rest of the prompt.
    patience_s : float
        Time after which a caller leaves that has received no token.
    deadline_s : float
        Time after which any caller leaves.
    is_urgent : bool
        Whether engines compute these prompts before others.
    """

    name: str
    per_s: float
    shared_tokens: int
    median_own_tokens: int
    max_own_tokens: int
    median_output: int
    max_output: int
    patience_s: float
    deadline_s: float
    is_urgent: bool = False


@dataclass
class CallResult:
    """Outcome of one call."""

    kind: str
    prompt_tokens: int
    output_tokens: int
    is_served: bool = False

    @property
    def size(self) -> int:
        """Size of the call, in prompt tokens; an output token counts as ten."""
        return self.prompt_tokens + 10 * self.output_tokens


@dataclass
class StepCluster:
    """Routers and engines under a random load."""

    seed: int
    engine_count: int
    router_count: int
    kinds: tuple[CallKind, ...]
    results: list[CallResult] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.env = simpy.Environment()
        self.replicas = [
            make_replica(f"r{number:02}", slots=SLOTS)
            for number in range(self.engine_count)
        ]
        self.engines = {r.id: StepEngine(self.env) for r in self.replicas}
        self.choosers = [
            make_chooser(DOMAINS[number % len(DOMAINS)], seed=number)
            for number in range(self.router_count)
        ]
        self.exchanges = [
            self._make_exchange(number, chooser)
            for number, chooser in enumerate(self.choosers)
        ]

    def _make_exchange(self, number: int, chooser: ReplicaChooser) -> PeerExchange:
        directory = PeerDirectory(f"front-{number}", None, "127.0.0.1:1", "t")
        directory.peers = {
            f"front-{other}": PeerEntry(str(other), "t")
            for other in range(self.router_count)
            if other != number
        }
        return PeerExchange(
            directory, chooser.loads, chooser.prefixes, lambda: self.env.now
        )

    def run(self, duration_s: float) -> list[CallResult]:
        """Play the load and return the outcome of each call."""
        for engine in self.engines.values():
            self.env.process(engine.run())
        for kind in self.kinds:
            self.env.process(self._arrive(kind, duration_s))
        self.env.process(self._exchange_reports())
        self.env.run(duration_s + max(kind.deadline_s for kind in self.kinds))
        return self.results

    def _exchange_reports(self) -> Iterator[simpy.Event]:
        while True:
            yield self.env.timeout(REPORT_INTERVAL_S)
            for exchange in self.exchanges:
                for peer, data in exchange.make_reports(exchange.list_pending_tokens()):
                    self.exchanges[int(peer.address)].receive(data)

    def _arrive(self, kind: CallKind, duration_s: float) -> Iterator[simpy.Event]:
        while self.env.now < duration_s:
            yield self.env.timeout(self.rng.expovariate(kind.per_s))
            self.env.process(self._call(kind))

    def _draw_length(self, median: int, sigma: float, longest: int) -> int:
        length = int(median * self.rng.lognormvariate(0.0, sigma))
        return max(1, min(longest, length))

    def _call(self, kind: CallKind) -> Iterator[simpy.Event]:
        env = self.env
        output_tokens = self._draw_length(
            kind.median_output, OUTPUT_SIGMA, kind.max_output
        )
        own_tokens = self._draw_length(
            kind.median_own_tokens, PROMPT_SIGMA, kind.max_own_tokens
        )
        prompt_tokens = kind.shared_tokens + own_tokens
        result = CallResult(kind.name, prompt_tokens, output_tokens)
        self.results.append(result)
        chooser = self.rng.choice(self.choosers)
        parts = (
            (f"{kind.name}-{self.rng.randrange(10_000)}", kind.shared_tokens),
            ("own", own_tokens),
        )
        call = make_call(parts)
        choice = chooser.choose(call, "m0/", self.replicas, AvoidedReplicas(), env.now)
        endpoint = choice.replica.id
        prefill = PrefillTracker(chooser.prefixes, choice.prefixes, endpoint, 1)
        recorder = AttemptRecorder(chooser.loads, prefill, choice.uncached_tokens)
        recorder.begin(env.now)
        engine_call = EngineCall(
            choice.uncached_tokens,
            output_tokens,
            env.now + kind.patience_s,
            env.event(),
            env.event(),
        )
        deadline_s = env.now + kind.deadline_s
        engine = self.engines[endpoint]
        engine.submit(engine_call, kind.is_urgent)
        yield engine_call.first_token | env.timeout(kind.patience_s)
        if engine_call.first_token.triggered:
            engine_call.leaves_at_s = deadline_s
            load = ReportedLoad(len(engine.running), len(engine.waiting), SLOTS)
            recorder.record_response(ResponseHead(200, (), load=load), env.now)
            yield engine_call.done | env.timeout(deadline_s - env.now)
            result.is_served = engine_call.done.triggered
        recorder.end(env.now)
