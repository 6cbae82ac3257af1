"""Replicas with long and short prompts in virtual time, under the real decisions.

The figures are those of the deployment "charging" in docs/design/contention.md: short
prompts of 383 tokens with a target of 423 ms, long ones of 13,300 shared and 3,720 own
tokens with 1,563 ms and a deadline of 6,253 ms, 12 slots, 139,993 tokens of KV cache
and 48.2 tokens a millisecond in chunks of 1,024. Replicas compute prompts in the order
of arrival. The number of prefixes and the lengths of outputs are assumed.
"""

import random
import sys
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup
from forwarding_samples import DOMAINS, make_chooser, make_replica

from primrosepier.endpoint_limits import EndpointLimits
from primrosepier.forwarding.attempts import AttemptRecorder, Delivery
from primrosepier.forwarding.calls import Call, PromptPart, ReportedLoad, ResponseHead
from primrosepier.forwarding.declarations import (
    Declaration,
    EngineShape,
    Route,
    Service,
)
from primrosepier.forwarding.notices import ReplicaNotices
from primrosepier.forwarding.permits import PermitExchange
from primrosepier.forwarding.permitted_choice import PermittedChooser
from primrosepier.forwarding.prefixes import PrefillTracker
from primrosepier.forwarding.replica_choice import AvoidedReplicas
from primrosepier.forwarding.replica_load import PeerLoad
from primrosepier.forwarding.room.bounds import DeclaredBounds
from primrosepier.forwarding.room.demand import PromptDemand
from primrosepier.forwarding.room.division import ReplicaDivision
from primrosepier.forwarding.room.exchange import ReplicaRoom
from primrosepier.logs import make_log
from primrosepier.settings import LogSettings
from primrosepier.virtualtime import run_in_virtual_time

SLOTS = 12
CACHE_TOKENS = 139_993
TOKENS_PER_S = 48_200.0
CHUNK_TOKENS = 1024
DECODE_STEP_S = 0.0026
SHORT_TOKENS, SHARED_TOKENS, OWN_TOKENS = 383, 13_300, 3_720
OUTPUT_S = 0.1
PREFIXES = 48
CACHED_PREFIXES = 6
FETCH_S = 0.04
LINK_S = 0.0005
REPORT_INTERVAL_S = 0.5
REPORT_DELAYS_S = (0.1, 0.3)
SHORT = Route("short", "h", "/s/", (("writers", 1),), target_s=0.423, timeout_s=2.0)
LONG = Route("long", "h", "/l/", (("writers", 1),), target_s=1.563, timeout_s=6.253)
ENGINE = EngineShape(SLOTS, CACHE_TOKENS)
DECLARATION = Declaration(1, (SHORT, LONG), {"writers": Service("writers", ENGINE)})


@dataclass(eq=False)
class Prefill:
    """A prompt at a replica."""

    tokens: int
    prefix: str
    is_new: bool = True
    has_begun: anyio.Event = field(default_factory=anyio.Event)


@dataclass(eq=False)
class Engine:
    """Computes prompts in chunks, one after the other, and caches prefixes."""

    cached: OrderedDict = field(default_factory=OrderedDict)
    queue: deque = field(default_factory=deque)
    arrived: anyio.Event = field(default_factory=anyio.Event)
    running: int = 0
    recomputed: int = 0

    def submit(self, prefill: Prefill) -> None:
        self.queue.append(prefill)
        self.arrived.set()

    async def run(self) -> None:
        while True:
            if not self.queue or self.running >= SLOTS:
                self.arrived = anyio.Event()
                await self.arrived.wait()
                continue
            room, computed = CHUNK_TOKENS, []
            while self.queue and room and len(computed) + self.running < SLOTS:
                prefill = self.queue[0]
                if prefill.is_new:
                    prefill.is_new = False
                    if prefill.prefix and prefill.prefix not in self.cached:
                        prefill.tokens += SHARED_TOKENS
                        self.recomputed += SHARED_TOKENS
                tokens = min(room, prefill.tokens)
                prefill.tokens -= tokens
                room -= tokens
                if not prefill.tokens:
                    computed.append(self.queue.popleft())
            step_s = DECODE_STEP_S if self.running else 0.0
            await anyio.sleep((CHUNK_TOKENS - room) / TOKENS_PER_S + step_s)
            for prefill in computed:
                self.keep(prefill.prefix)
                self.running += 1
                prefill.has_begun.set()

    def keep(self, prefix: str) -> None:
        if prefix:
            self.cached[prefix] = None
            self.cached.move_to_end(prefix)
            while len(self.cached) > CACHED_PREFIXES:
                self.cached.popitem(last=False)

    def end(self) -> None:
        self.running -= 1
        self.arrived.set()


@dataclass
class RoomModel:
    """Routers, replicas and callers.

    Parameters
    ----------
    has_permits : bool
        Whether the declaration names the engine.
    has_division : bool
        Whether the rate is known with which replicas are divided under contention.
    """

    has_permits: bool
    has_division: bool = True
    replica_count: int = 27
    router_count: int = 66
    short_per_s: float = 875.0
    long_per_s: float = 62.0
    seed: int = 1
    report_delays_s: tuple[float, float] = REPORT_DELAYS_S
    results: Counter = field(default_factory=Counter)
    most_at_once: Counter = field(default_factory=Counter)
    work: Counter = field(default_factory=Counter)
    long_waits: list = field(default_factory=list)
    datagrams: int = 0
    counts_from_s: float = 1.0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.replicas = [
            make_replica(f"r{number:02}", slots=SLOTS)
            for number in range(self.replica_count)
        ]
        self.engines = {x.id: Engine() for x in self.replicas}
        self.long_tokens: Counter = Counter()
        self.hosts = [f"front-{number}" for number in range(self.router_count)]
        self.routers = {host: self._make_router(host) for host in self.hosts}

    def _make_router(self, host: str) -> PermittedChooser:
        clock = anyio.current_time
        number = int(host.rpartition("-")[2])
        chooser = make_chooser(DOMAINS[number % 3], seed=number)
        log = make_log(host, LogSettings("off", "none"))
        permits = PermitExchange(host, EndpointLimits(), clock)
        notices = ReplicaNotices(permits, chooser.loads, lambda: None, log, clock)
        bounds = DeclaredBounds(lambda: DECLARATION if self.has_permits else None)
        room = ReplicaRoom(
            host, clock, bounds, lambda: self.hosts, self._send, lambda: True
        )
        chooser.find_short_tokens = room.find_short_tokens
        division = ReplicaDivision(PromptDemand(self._make_get_rate(room)))
        return PermittedChooser(
            chooser, notices, room, division, log, clock, chooser.rng
        )

    def _make_get_rate(self, room: ReplicaRoom):
        return room.rates.get_default if self.has_division else lambda service: 0.0

    def _send(self, host: str, message) -> bool:
        self.datagrams += 1
        self.group.start_soon(self._deliver, host, message)
        return True

    async def _deliver(self, host: str, message) -> None:
        await anyio.sleep(LINK_S)
        await self.routers[host].room.receive(message)

    async def run(self, duration_s: float) -> None:
        """Play the load; the calls before `counts_from_s` are not counted."""
        async with anyio.create_task_group() as self.group:
            for engine in self.engines.values():
                self.group.start_soon(engine.run)
            for host in self.hosts:
                self.group.start_soon(self._report, host)
            async with anyio.create_task_group() as calls:
                calls.start_soon(self._arrive, calls, True, duration_s)
                calls.start_soon(self._arrive, calls, False, duration_s)
            self.group.cancel_scope.cancel()

    async def _report(self, host: str) -> None:
        chooser = self.routers[host].chooser
        await anyio.sleep(self.rng.uniform(0, REPORT_INTERVAL_S))
        while True:
            loads = chooser.loads.loads.items()
            tokens = {x: y.pending_tokens for x, y in loads if y.pending_tokens >= 1000}
            decoding = {x: y.decoding for x, y in loads if y.decoding}
            demand = self.routers[host].division.demand.make(anyio.current_time())
            report = tokens, decoding, chooser.prefixes.take_updates(), demand
            self.group.start_soon(self._apply_report, host, report)
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _apply_report(self, sender: str, report) -> None:
        await anyio.sleep(self.rng.uniform(*self.report_delays_s))
        tokens, decoding, updates, demand = report
        now_s = anyio.current_time()
        for host, router in self.routers.items():
            if host != sender:
                load = PeerLoad(tokens, now_s, decoding)
                router.chooser.loads.record_peer_load(sender, load)
                router.chooser.prefixes.apply_updates(updates, now_s)
                if demand:
                    router.division.demand.apply(sender, demand, now_s)

    async def _arrive(self, calls: TaskGroup, is_long: bool, duration_s: float) -> None:
        per_s = self.long_per_s if is_long else self.short_per_s
        while anyio.current_time() < duration_s:
            await anyio.sleep(self.rng.expovariate(per_s))
            calls.start_soon(self._call, is_long)

    def _make_call(self, is_long: bool) -> Call:
        now_s = anyio.current_time()
        route = LONG if is_long else SHORT
        if is_long:
            prefix = f"p{int(self.rng.paretovariate(0.7)) % PREFIXES}"
            parts = (PromptPart(prefix, SHARED_TOKENS), PromptPart("own", OWN_TOKENS))
        else:
            parts = (PromptPart("own", SHORT_TOKENS),)
        deadline_s = now_s + route.timeout_s
        return Call(
            "a", "POST", "/", (), b"", route, None, now_s, deadline_s, "m0", parts
        )

    async def _call(self, is_long: bool) -> None:
        router = self.rng.choice(list(self.routers.values()))
        call = self._make_call(is_long)
        kind = "long" if is_long else "short"
        counts = call.received_at_s >= self.counts_from_s
        delivery = Delivery(None, None, None)

        def list_candidates(excluded, now_s):
            return [x for x in self.replicas if x.id not in excluded], AvoidedReplicas()

        chosen = await router.choose(call, set(), delivery, list_candidates)
        if chosen is None:
            self.results[kind, "rejected"] += counts
            return
        if is_long:
            self.long_waits.append(anyio.current_time() - call.received_at_s)
        begun_at_s = await self._run(router, call, chosen)
        result = "late"
        if begun_at_s is None:
            result = "lost"
        elif begun_at_s - call.received_at_s <= call.route.target_s:
            result = "in time"
        self.results[kind, result] += counts

    async def _run(self, router, call, chosen) -> float | None:
        """Return when the output begins; None if it does not by the deadline."""
        choice, endpoint = chosen.choice, chosen.choice.replica.id
        prefixes = router.chooser.prefixes
        prefill = PrefillTracker(prefixes, choice.prefixes, endpoint, 1)
        loads = router.chooser.loads
        recorder = AttemptRecorder(loads, prefill, choice.uncached_tokens)
        recorder.begin(anyio.current_time())
        engine = self.engines[endpoint]
        prefix = call.parts[0].id if len(call.parts) > 1 else ""
        begun_at_s = None
        with anyio.move_on_after(call.deadline_s - anyio.current_time()):
            await anyio.sleep(LINK_S)
            source = choice.fetch_from
            if source is not None and prefix in self.engines[source.id].cached:
                await anyio.sleep(FETCH_S)
                engine.keep(prefix)
            work = Prefill(call.parts[-1].tokens, prefix)
            engine.submit(work)
            second = int(anyio.current_time())
            self.work[second, endpoint] += work.tokens
            if prefix and prefix not in engine.cached:
                self.long_tokens[endpoint] += call.prompt_tokens
                most = max(self.most_at_once[endpoint], self.long_tokens[endpoint])
                self.most_at_once[endpoint] = most
                await work.has_begun.wait()
                self.long_tokens[endpoint] -= call.prompt_tokens
            await work.has_begun.wait()
            begun_at_s = anyio.current_time() + LINK_S
            if chosen.prefill is not None:
                chosen.prefill.record_begun()
            waiting = len(engine.queue)
            load = ReportedLoad(engine.running, waiting, SLOTS)
            recorder.record_response(ResponseHead(200, (), load=load), begun_at_s)
            await anyio.sleep(self.rng.expovariate(1 / OUTPUT_S))
        if begun_at_s is not None:
            engine.end()
        elif work in engine.queue:
            engine.queue.remove(work)
        else:
            self.group.start_soon(self._end_later, work, engine)
        if chosen.prefill is not None:
            chosen.prefill.end()
        recorder.end(anyio.current_time())
        return begun_at_s

    async def _end_later(self, work: Prefill, engine: Engine) -> None:
        await work.has_begun.wait()
        engine.end()

    def describe(self) -> str:
        """Return the shares of calls by what became of them."""
        lines = []
        for kind in ("short", "long"):
            total = sum(y for (x, _), y in self.results.items() if x == kind)
            shares = {
                what: self.results[kind, what] / max(1, total)
                for what in ("in time", "late", "lost", "rejected")
            }
            text = ", ".join(f"{what} {share:.3f}" for what, share in shares.items())
            lines.append(f"{kind}: {total} calls, {text}")
        recomputed = sum(x.recomputed for x in self.engines.values())
        waits = sorted(self.long_waits)
        lines.append(
            f"shared tokens computed {recomputed}, datagrams {self.datagrams}, most"
            f" long tokens at once {max(self.most_at_once.values(), default=0)}, wait"
            f" of long calls p50 {waits[len(waits) // 2]:.3f} s"
            f" p95 {waits[int(len(waits) * 0.95)]:.3f} s"
        )
        return "\n".join(lines)

    def find_peaks(self, from_s: int, until_s: int) -> dict[str, list[float]]:
        """Return each replica's work in each second, as a multiple of the mean."""
        peaks: dict[str, list[float]] = {x.id: [] for x in self.replicas}
        for second in range(from_s, until_s):
            total = sum(self.work[second, x] for x in peaks)
            for endpoint, shares in peaks.items():
                shares.append(self.work[second, endpoint] * len(peaks) / total)
        return peaks

    def compute_share(self, kind: str) -> float:
        """Return the share of the calls of one kind that met their target."""
        total = sum(y for (x, _), y in self.results.items() if x == kind)
        return self.results[kind, "in time"] / total


if __name__ == "__main__":
    for name, parts in (
        ("neither", (False, False)),
        ("permits", (True, False)),
        ("permits and division", (True, True)),
    ):
        model = RoomModel(*parts, long_per_s=float(sys.argv[1]))
        run_in_virtual_time(model.run, float(sys.argv[2]))
        print(f"{name}:\n{model.describe()}")
