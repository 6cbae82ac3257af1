"""Routers and replicas of different and changing speed, in virtual time.

The forwarding modules choose the replicas. Replicas compute one prompt after the other.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from forwarding_samples import DOMAINS, choose, make_call, make_chooser, make_replica

from primrosepier.forwarding.attempts import AttemptRecorder
from primrosepier.forwarding.calls import ReportedLoad, ResponseHead
from primrosepier.forwarding.prefixes import PrefillTracker
from primrosepier.forwarding.replica_load import PeerLoad
from primrosepier.forwarding.start_forecasts import StartForecasts

TOKENS_PER_S = 157_000
SLOTS = 12
SHARED_TOKENS, OWN_TOKENS, SHORT_TOKENS = 13_300, 3_720, 383
LONG_TARGET_S = 0.563
SHORT_TARGET_S = 0.523
WAVE_S = 13.0
SAMPLE_S = 0.05


def make_fixed_slowness():
    """Every third replica takes twice as long."""
    return lambda index, now_s: 2.0 if index % 3 == 0 else 1.0


def make_waves(sigma=0.25):
    """Slowness in waves, each failure domain ahead of the next, with fast noise."""

    def compute(index, now_s):
        phase = now_s / WAVE_S + (index % 3) / 3
        noise = random.Random(index * 1_000_003 + int(now_s / SAMPLE_S))
        wave = 1.5 + 0.9 * math.sin(2 * math.pi * phase)
        return wave * noise.lognormvariate(0.0, sigma)

    return compute


@dataclass
class SpeedCluster:
    """Routers and replicas under a random load.

    Parameters
    ----------
    compute_slowness : callable
        Returns the slowness of the replica with an index at a time.
    compute_figure : callable or None
        Returns what the replica reports; None for its slowness.
    report_interval_s : float
        Time between two reports of a router, seconds.
    """

    seed: int
    compute_slowness: object
    long_per_s: float
    short_per_s: float
    replica_count: int = 24
    router_count: int = 66
    prefix_count: int = 150
    short_tokens: int = SHORT_TOKENS
    report_interval_s: float = 0.5
    compute_figure: object = None
    warmup_s: float = 5.0
    make_table: object = None
    waits_s: dict = field(default_factory=lambda: {"long": [], "short": []})
    samples: list = field(default_factory=list)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.now_s = 0.0
        self.replicas = [
            make_replica(f"r{n:02}", slots=SLOTS) for n in range(self.replica_count)
        ]
        self.indices = {replica.id: n for n, replica in enumerate(self.replicas)}
        self.choosers = [
            make_chooser(DOMAINS[n % 3], seed=n) for n in range(self.router_count)
        ]
        if self.make_table is not None:
            for chooser in self.choosers:
                chooser.loads.speeds = self.make_table()
        self.forecasts = [
            StartForecasts(c.loads, lambda: self.now_s) for c in self.choosers
        ]
        self.free_at_s = [0.0] * self.replica_count
        self.busy_s = [0.0] * self.replica_count
        self.queued = [0] * self.replica_count
        self.computed = self.reused = 0
        self.held = [{} for _ in self.replicas]
        self.events = []
        self.order = itertools.count()

    def at(self, at_s, action):
        heapq.heappush(self.events, (at_s, next(self.order), action))

    def run(self, duration_s):
        for rate, is_long in ((self.long_per_s, True), (self.short_per_s, False)):
            self._plan_arrival(rate, is_long)
        for number in range(self.router_count):
            self.at(
                self.rng.uniform(0, self.report_interval_s),
                lambda n=number: self._report(n),
            )
        self.at(0.0, self._sample)
        while self.events and self.events[0][0] < duration_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        return self

    def _sample(self):
        self.samples.append(
            [max(0.0, free_at_s - self.now_s) for free_at_s in self.free_at_s]
        )
        self.at(self.now_s + SAMPLE_S, self._sample)

    def _report(self, number):
        chooser = self.choosers[number]
        loads = chooser.loads.loads
        tokens = {e: x.pending_tokens for e, x in loads.items() if x.pending_tokens}
        updates = chooser.prefixes.take_updates()
        for other, peer in enumerate(self.choosers):
            if other != number:
                load = PeerLoad(tokens, self.now_s)
                peer.loads.record_peer_load(f"front-{number}", load)
                peer.prefixes.apply_updates(updates, self.now_s)
        self.at(self.now_s + self.report_interval_s, lambda: self._report(number))

    def _plan_arrival(self, rate, is_long):
        if rate:
            self.at(
                self.now_s + self.rng.expovariate(rate),
                lambda: self._arrive(rate, is_long),
            )

    def _arrive(self, rate, is_long):
        self._plan_arrival(rate, is_long)
        prefix = f"p{int(self.prefix_count * self.rng.random() ** 2)}"
        parts = ((prefix, SHARED_TOKENS), ("own", OWN_TOKENS))
        call = make_call(parts if is_long else (("own", self.short_tokens),))
        number = self.rng.randrange(self.router_count)
        chooser = self.choosers[number]
        started_s = self.now_s
        choice = choose(chooser, call, self.replicas, started_s)
        endpoint = choice.replica.id
        index = self.indices[endpoint]
        prefill = PrefillTracker(chooser.prefixes, choice.prefixes, endpoint, 1)
        recorder = AttemptRecorder(chooser.loads, prefill, choice.uncached_tokens)
        recorder.begin(started_s)
        sent = self.forecasts[number].record_sent(endpoint)
        tokens = self.short_tokens
        if is_long:
            is_held = started_s - self.held[index].get(prefix, -9.0) < 6.0
            is_reused = is_held or choice.fetch_from is not None
            tokens = OWN_TOKENS if is_reused else SHARED_TOKENS + OWN_TOKENS
            self.held[index][prefix] = started_s
            self.reused += is_reused
            self.computed += 1
        is_counted = started_s >= self.warmup_s
        begins_s = max(started_s, self.free_at_s[index])
        cost_s = tokens / TOKENS_PER_S * self.compute_slowness(index, begins_s)
        self.busy_s[index] += cost_s * is_counted
        self.free_at_s[index] = begins_s + cost_s
        self.queued[index] += 1

        def finish():
            self.queued[index] -= 1
            if is_counted:
                kind = "long" if is_long else "short"
                self.waits_s[kind].append(self.now_s - started_s)
            figure = (self.compute_figure or self.compute_slowness)(index, self.now_s)
            load = ReportedLoad(1, self.queued[index], SLOTS, figure)
            recorder.record_response(ResponseHead(200, (), load=load), self.now_s)
            self.forecasts[number].record_begun(sent)
            recorder.end(self.now_s)

        self.at(self.free_at_s[index] + 0.004, finish)

    def compute_imbalance(self):
        """Return the busiest replica's time at work, over the mean."""
        return max(self.busy_s) / (sum(self.busy_s) / len(self.busy_s))

    def compute_late_share(self, kind, target_s):
        waits_s = self.waits_s[kind]
        return sum(w > target_s for w in waits_s) / len(waits_s)
