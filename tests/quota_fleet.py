"""Fleet of routers in virtual time, over the real decision code of quotas."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from primrosepier.errors import RequestError
from primrosepier.forwarding.calls import Call
from primrosepier.forwarding.declarations import Declaration, Quota, Route, Workspace
from primrosepier.forwarding.quotas.bucket import QuotaBounds
from primrosepier.forwarding.quotas.quotas import RouterList, make_quotas

BOUNDS = QuotaBounds(8.0, 0.1, 190_000)
ROUTE = Route("notes", "h", "/", (("writers", 1),))
LONG, SHORT = 17_020, 400
# Part of the tokens that long calls request.
LONG_SHARE = 0.5
DEADLINE_S = 6.0


def make_declaration(version=1, **rates):
    """Return a declaration of workspaces with a rate each; a burst lasts a second."""
    workspaces = {
        name: Workspace(name, quota=Quota(rate, rate, True, 200))
        for name, rate in rates.items()
    }
    return Declaration(version, (), {}, workspaces=workspaces)


def make_quota_call(workspace, cost, now_s=0.0, **options):
    deadline_s = now_s + DEADLINE_S
    args = ("a", "POST", "/", (), b"", ROUTE, workspace, now_s, deadline_s)
    return Call(*args, stated_tokens=cost, **options)


@dataclass
class Tally:
    """Costs of the calls of one kind."""

    asked: float = 0.0
    admitted: float = 0.0
    first: float = 0.0
    served: float = 0.0


@dataclass
class ExactBucket:
    """One token bucket that sees all attempts in order; the reference of a quota."""

    rate: float
    level: float
    at_s: float = 0.0
    attempts: list = field(default_factory=list)

    def admit(self, now_s, cost, is_admitted):
        """Decide on an attempt, and record it with what the router decided."""
        filled = self.level + (now_s - self.at_s) * self.rate
        self.level, self.at_s = min(self.rate, filled), now_s
        fits = cost <= self.level
        self.level -= cost if fits else 0
        self.attempts.append((now_s, cost, fits, is_admitted))

    def compare(self, from_s=0.0, until_s=1e9, costs=(0, 1e9)):
        """Return which part of what it admits the routers admit: calls, tokens.

        Between two costs, the lower one excluded.
        """
        fitting = [
            (cost, is_admitted)
            for at_s, cost, fits, is_admitted in self.attempts
            if fits and from_s <= at_s < until_s and costs[0] < cost <= costs[1]
        ]
        admitted = [cost for cost, is_admitted in fitting if is_admitted]
        total = sum(cost for cost, _ in fitting)
        return len(admitted) / len(fitting), sum(admitted) / total


@dataclass
class QuotaFleet:
    """Routers that exchange the sections of their reports.

    By default a report takes 0.05 to 0.45 s and is sent every 0.25 s, so that calls are
    known to the peers after 0.05 to 0.7 s.
    """

    count: int
    declaration: Declaration
    seed: int = 1
    loss: float = 0.02
    delay_s: tuple = (0.05, 0.45)
    report_s: float = 0.25
    now_s: float = 0.0
    runs: dict = field(default_factory=dict)
    tallies: dict = field(default_factory=dict)
    retries_s: list = field(default_factory=list)
    parts: dict = field(default_factory=dict)
    silent: set = field(default_factory=set)
    frozen: set = field(default_factory=set)
    previous_build: set = field(default_factory=set)
    # Cost of small calls, and the part of the tokens that long ones request.
    short: int = SHORT
    long_share: float = LONG_SHARE
    # Time in which a router that starts again reads the list of the others, seconds.
    settling_s: float = 0.0

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.events, self.numbers = [], itertools.count()
        self.hosts = [f"front-{number}" for number in range(self.count)]
        self.registered = set(self.hosts)
        self.routers, self.declared = {}, {}
        self.exact = {
            name: ExactBucket(workspace.quota.rate_per_s, workspace.quota.burst)
            for name, workspace in self.declaration.workspaces.items()
        }
        for host in self.hosts:
            self.start(host)
            self.schedule(self.rng.random() * self.report_s, self.report, host)

    def schedule(self, after_s, action, *args):
        event = (self.now_s + after_s, next(self.numbers), action, args)
        heapq.heappush(self.events, event)

    def start(self, host):
        """Start a router, or restart it with nothing but the store's state."""

        started_at_s = self.now_s

        def list_routers():
            settled = 1.0
            if started_at_s and self.settling_s:
                settled = min(1.0, (self.now_s - started_at_s) / self.settling_s)
            return RouterList(self.registered - {host}, settled)

        self.routers[host] = make_quotas(
            host,
            BOUNDS,
            self.now_s,
            list_routers,
            lambda: self.declared[host],
            lambda event: None,
        )
        self.declared[host] = self.declaration

    def hears(self, receiver, sender):
        return (
            receiver in self.routers
            and receiver not in self.previous_build
            and self.parts.get(receiver) == self.parts.get(sender)
        )

    def report(self, host):
        self.schedule(self.report_s * self.rng.uniform(0.9, 1.1), self.report, host)
        if host in self.frozen | self.previous_build:
            return
        content = self.routers[host].make(self.now_s)
        if not content:
            return
        for receiver in self.hosts:
            if receiver != host and self.hears(receiver, host):
                for _ in range(2 if self.rng.random() < 0.05 else 1):
                    if self.rng.random() >= self.loss:
                        delay_s = self.rng.uniform(*self.delay_s)
                        self.schedule(delay_s, self.receive, receiver, host, content)

    def receive(self, receiver, sender, content):
        if receiver in self.frozen:
            self.schedule(0.1, self.receive, receiver, sender, content)
        else:
            self.routers[receiver].apply(sender, content, self.now_s)

    def call(self, name, cost, host, runs=1, attempt=0):
        """Send a call; a rejected one is retried twice."""
        if host in self.frozen:
            return
        workspace = self.declared[host].workspaces[name]
        call = make_quota_call(workspace, cost, self.now_s)
        tally = self.tallies.setdefault((name, cost), Tally())
        tally.asked += cost
        tally.first += 0 if attempt else cost
        try:
            if host in self.previous_build:
                charge = 0.0
            else:
                charge = self.routers[host].admit(call, self.now_s)
        except RequestError as error:
            assert error.status == 429
            self.exact[name].admit(self.now_s, cost, False)
            self.retries_s.append(self.now_s + error.retry_after_s)
            if attempt < 2:
                args = (name, cost, host, runs, attempt + 1)
                self.schedule(error.retry_after_s, self.call, *args)
            return
        self.exact[name].admit(self.now_s, cost, True)
        tally.admitted += cost
        if runs:
            tally.served += cost
            self.runs.setdefault(name, []).append((self.now_s, cost * runs))
        if charge:
            self.routers[host].settle(call, charge, runs, self.now_s)

    def load(self, name, tokens_per_s, weights=None):
        """Request a rate from now on, as a function of the time."""

        def arrive():
            rate = tokens_per_s(self.now_s)
            if rate <= 0:
                self.schedule(0.1, arrive)
                return
            long_per_s = self.long_share * rate / LONG
            short_per_s = (1 - self.long_share) * rate / self.short
            total = long_per_s + short_per_s
            # The rate may rise before the next call.
            gap_s = self.rng.expovariate(total)
            if gap_s > 0.05:
                self.schedule(0.05, arrive)
                return
            self.schedule(gap_s, send, long_per_s / total)

        def send(long_part):
            cost = LONG if self.rng.random() < long_part else self.short
            hosts = self.hosts
            values = None if weights is None else weights(self.now_s)
            self.call(name, cost, self.rng.choices(hosts, values)[0])
            arrive()

        self.schedule(0.0, arrive)

    def run(self, until_s):
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now_s = until_s

    def measure_excess(self, name, rate, from_s=0.0, bounds=BOUNDS):
        """Return the cost of the worst window, as a part of what is allowed."""
        allowed = (rate * bounds.window_s + rate) * (1 + bounds.overshoot)
        allowed += bounds.slack
        window, total, worst = deque(), 0.0, 0.0
        for at_s, cost in sorted(self.runs.get(name, ())):
            if at_s < from_s:
                continue
            window.append((at_s, cost))
            total += cost
            while window[0][0] < at_s - bounds.window_s:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return worst / allowed

    def sum_runs(self, name, from_s, until_s):
        return sum(c for at_s, c in self.runs.get(name, ()) if from_s <= at_s < until_s)

    def compute_admitted_share(self, name, cost=None):
        """Return the part of the first attempts' cost that ran."""
        kinds = [t for (n, c), t in self.tallies.items() if n == name]
        if cost is not None:
            kinds = [self.tallies[name, cost]]
        return sum(t.served for t in kinds) / sum(t.first for t in kinds)


FAULTS = ("wait",) * 5 + ("load",) * 4 + ("mix",) * 2 + ("restart",) * 2
FAULTS += ("restart_all", "freeze", "resume", "resume", "cut", "heal", "heal", "lower")


@dataclass
class RandomFaults:
    """Routers with random loads and faults, drawn from a seed, for 40 s."""

    count: int
    rate: int
    seed: int
    factor: float = 1.0
    binds_at_s: float | None = None

    def __post_init__(self):
        self.rng = rng = random.Random(self.seed * 7919 + self.count)
        self.fleet = QuotaFleet(
            self.count,
            make_declaration(w=self.rate),
            self.seed,
            loss=0.1,
            short=rng.choice([383, 400]),
            long_share=rng.choice([0.0, 0.25, 0.5, 0.75, 1.0]),
            settling_s=rng.choice([0, 1.0]),
        )

    def play(self):
        """Return the cost of the worst window, as a part of what is allowed."""
        fleet, rng = self.fleet, self.rng
        fleet.load("w", lambda now: 0.55 * self.rate * self.factor)
        if rng.random() < 0.5:
            fleet.run(rng.uniform(0, 4))
        while fleet.now_s < 40:
            fault, host = rng.choice(FAULTS), rng.choice(fleet.hosts)
            fleet.run(fleet.now_s + self._bring_about(fault, host))
        worst = fleet.measure_excess("w", self.rate)
        if self.binds_at_s is not None:
            lowered = fleet.measure_excess("w", self.rate / 2, self.binds_at_s)
            worst = max(worst, lowered)
        return worst

    def _bring_about(self, fault, host):
        """Bring a fault about; return for how long to wait, seconds."""
        fleet, rng = self.fleet, self.rng
        if fault == "wait":
            return rng.choice([0.1, 0.5, 1.0, 3.0])
        if fault == "load":
            self.factor = rng.choice([0, 0.5, 1, 1.6, 2, 4, 8])
            return 0.5
        if fault == "cut":
            cut_off = max(1, self.count // rng.choice([2, 3, 9]))
            fleet.parts = dict.fromkeys(rng.sample(fleet.hosts, cut_off), "c")
            return 0.5
        if fault == "mix":
            fleet.long_share = rng.choice([0.0, 0.1, 0.25, 0.5, 0.75, 1.0])
        elif fault == "restart":
            fleet.frozen.discard(host)
            fleet.start(host)
        elif fault == "restart_all":
            for each in fleet.hosts:
                fleet.frozen.discard(each)
                fleet.schedule(fleet.rng.uniform(0, 0.3), fleet.start, each)
        elif fault == "freeze":
            fleet.frozen.add(host)
        elif fault == "resume":
            fleet.frozen.clear()
        elif fault == "heal":
            fleet.parts = {}
        elif self.binds_at_s is None and rng.random() < 0.3:
            self._halve()
        return 0.0

    def _halve(self):
        """Halve the limit; routers read it within 3 s."""
        self.binds_at_s = self.fleet.now_s + 3
        self.fleet.declaration = declaration = make_declaration(2, w=self.rate / 2)
        for host in self.fleet.hosts:
            delay_s = self.fleet.rng.uniform(0, 3)
            declared = self.fleet.declared
            self.fleet.schedule(delay_s, declared.__setitem__, host, declaration)
