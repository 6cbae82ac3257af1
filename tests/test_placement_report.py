"""Reports on where a call would go."""

import contextlib
import random
from dataclasses import replace
from functools import partial

import anyio
import msgspec
import pytest
from cleo.testers.command_tester import CommandTester
from clients import call as send_call
from entry_fleet import HOST, make_configuration, run_entry
from ports import find_free_port

from primrosepier.cli import make_application
from primrosepier.clocks import ManualClock
from primrosepier.errors import MessageError, RequestError
from primrosepier.forwarding.attempts import Delivery
from primrosepier.forwarding.calls import ReportedLoad
from primrosepier.forwarding.events import EventStreamMerger
from primrosepier.forwarding.placement.query import make_call, make_scope, parse_query
from primrosepier.forwarding.placement.report import (
    PLACEMENT_PATH,
    AnswerKind,
    Exclusion,
)
from primrosepier.forwarding.placement.text import describe_report
from primrosepier.forwarding.replica_load import PeerLoad
from primrosepier.forwarding.retries import ServiceRetries
from primrosepier.forwarding.room.granter import Demand, PermitName
from primrosepier.forwarding.router import make_entry_router
from primrosepier.forwarding.settings import EntrySettings
from primrosepier.logs import make_log
from primrosepier.outcomes import Completed, NotRun, Step
from primrosepier.platform.router import make_entry_platform
from primrosepier.platform.standins import StandinReplica
from primrosepier.settings import LogSettings
from primrosepier.store import Item, Snapshot

START_S = 1000.0
WRITERS = tuple(f"w{number}" for number in range(6))
NOTES = "method=POST&path=/stream/notes/1&workspace=litter-notes&model=m0"
LOOKUP = "method=GET&path=/lookup/1&workspace=litter-notes"


class Router:
    """A router that serves nothing, with a store that was read once."""

    def __init__(self, names=(*WRITERS, "app1", "app2"), **workspace):
        settings = EntrySettings(
            host="front-1",
            failure_domain="rennes",
            callers_address="127.0.0.1:1",
            readiness_address="127.0.0.1:2",
            peers_address="127.0.0.1:3",
            store_address="127.0.0.1:4",
            limits_prefills=True,
            logs=LogSettings(level="off", sink="none"),
        )
        self.clock = ManualClock(START_S)
        platform = replace(make_entry_platform(settings), clock=self.clock)
        log = make_log(settings.host, settings.logs)
        self.router = make_entry_router(settings, platform, log)
        self.app, self.forwarder = self.router.app, self.router.app.forwarder
        self.events, self.sent = [], []
        log.observers.append(self.events.append)
        self.forwarder.sender = self
        self.page = self.router.metrics.pages[PLACEMENT_PATH]
        items = {"op/config": make_configuration(1, **workspace)}
        for number, name in enumerate(names):
            service = "writers" if name.startswith("w") else "app"
            entry = StandinReplica(name).make_entry(service, f"10.0.0.{number}:80")
            items[f"servers/{name}"] = entry
        encoded = {k: Item(k, msgspec.json.encode(v), 1) for k, v in items.items()}
        mirror = self.router.mirror_controller.mirror
        mirror.apply_snapshot(Snapshot(1, encoded), START_S, START_S)
        self.pass_time(20.0)

    def pass_time(self, duration_s):
        """Advance the clock, with the checks for due reports of a running router."""
        for _ in range(round(duration_s)):
            self.clock.advance(1.0)
            self.app.quotas.must_report(self.clock())
        self.router.mirror_controller.mirror.confirmed_at_s = self.clock()

    def report(self, query):
        return self.page.make_report(parse_query(query.encode()))

    def make_call(self, query):
        declaration, fields = self.app.read_declaration(), parse_query(query.encode())
        scope = make_scope(fields, declaration)
        route = self.app.find_route(scope, declaration)
        workspace = next(iter(declaration.workspaces.values()))
        now_s = self.clock()
        return make_call(self.app.reader, fields, scope, route, workspace, now_s)

    async def send(self, call, choice, delivery, recorder):
        """Record where a call goes, as the sender of calls."""
        self.sent.append(choice.replica.id)
        return Completed(Step.RELAY, choice.replica.id)

    def forward(self, query):
        """Place a call; return its outcome."""
        delivery = Delivery(None, EventStreamMerger(""), None)
        return anyio.run(self.forwarder.forward, self.make_call(query), delivery)

    def list_state(self):
        """Return all that decides on calls, as text, and the random sources."""
        forwarder, quotas = self.forwarder, self.app.quotas
        permitted, notices = forwarder.permitted, forwarder.notices
        parts = {
            "loads": forwarder.loads,
            "prefixes": forwarder.chooser.prefixes,
            "homes": forwarder.chooser.homes,
            "ejections": forwarder.ejections,
            "retries": forwarder.retries.services,
            "rests": notices.rests,
            "leaving": notices.leaving.told_at_s,
            "limits": notices.permits.limits,
            "windows": notices.permits.windows,
            "granter": permitted.room.granter,
            "own": permitted.room.own_calls,
            "rates": permitted.room.rates,
            "silent": permitted.room.silent_until_s,
            "division": permitted.division.services,
            "demand": permitted.division.demand,
            "full": permitted.full_until_s,
            "forecasts": forwarder.forecasts.replicas,
            "losses": forwarder.suspects.loss_log,
            "quotas": (quotas, quotas.buckets, quotas.peers),
            "app": (self.app.in_progress, self.app.last_call_at_s),
            "events": list(self.events),
        }
        sources = (forwarder.rng, forwarder.chooser.rng, notices.rng, permitted.rng)
        states = [x.getstate() for x in (*sources, quotas.rng)]
        return {**{k: repr(v) for k, v in parts.items()}, "rng": states}


def test_the_replica_with_the_least_work_is_named_with_the_parts_of_its_cost():
    router = Router()
    loads = router.forwarder.loads
    loads.begin_call("app1", 0)
    loads.get_or_create("app1").reported = ReportedLoad(3, 1, 4)
    loads.get_or_create("app1").reported_at_s = router.clock() - 0.5
    loads.speeds.record_figure("app1", 2.0, router.clock())
    report = router.report(LOOKUP)
    rows = list(report.candidates)
    assert report.answer.kind is AnswerKind.REPLICA
    assert report.answer.replicas == ("app2",)
    busy = report.candidates[1]
    assert (busy.endpoint, busy.running, busy.waiting, busy.calls) == ("app1", 3, 1, 1)
    assert busy.report_age_s == pytest.approx(0.5)
    for name in WRITERS[1:]:
        loads.begin_call(name, 4000)
        peers = PeerLoad({name: 2000}, router.clock() - 0.3)
        loads.record_peer_load(f"front-{name}", peers)
    report = router.report(f"{NOTES}&prompt=secret-a:300,b:9")
    assert report.answer.replicas == ("w0",)
    for row in (*rows, *report.candidates):
        scaled = (row.own_cost + row.work) * row.slowness
        assert row.cost == pytest.approx(scaled + row.outdated + row.remote)
    assert report.candidates[-1].pending_tokens == 4000
    assert report.candidates[-1].peer_tokens == 2000
    assert report.view.oldest_report_s == pytest.approx(0.3)
    lines = "\n".join(describe_report(report))
    assert "secret" not in lines + msgspec.json.encode(report).decode()


def test_resting_replicas_are_listed_with_the_time_of_their_return():
    router = Router()
    rests = router.forwarder.notices.rests
    rests.begin("app1", 3.0, router.clock())
    report = router.report(LOOKUP)
    assert report.answer.replicas == ("app2",)
    (excluded,) = report.excluded
    assert (excluded.endpoint, excluded.reason) == ("app1", Exclusion.RESTING)
    assert excluded.wait_s == pytest.approx(3.01)
    rests.begin("app2", 0.2, router.clock())
    answer = router.report(LOOKUP).answer
    outcome = router.forward(LOOKUP)
    assert isinstance(outcome, NotRun)
    assert (answer.kind, answer.status) == (AnswerKind.REJECTED, 503)
    assert answer.reason == outcome.reason
    assert answer.retry_after_s[0] <= outcome.retry_after_s <= answer.retry_after_s[1]


def test_a_workspace_over_its_quota_gets_the_answer_that_its_call_gets():
    router = Router(ratePerS=10, burst=10)
    quotas = router.app.quotas
    report = router.report(LOOKUP)
    assert report.quota.probability == 1
    assert report.answer.kind is AnswerKind.REPLICA
    assert "litter-notes" not in quotas.buckets
    call = router.make_call(LOOKUP)
    for _ in range(12):
        with contextlib.suppress(RequestError):
            quotas.admit(call, router.clock())
    report = router.report(LOOKUP)
    assert 0 < report.quota.probability < 1
    assert "quota" in report.answer.conditions[0]
    quotas.buckets["litter-notes"].charge(100)
    answer = router.report(LOOKUP).answer
    assert (answer.kind, answer.status) == (AnswerKind.REJECTED, 429)
    with pytest.raises(RequestError) as caught:
        quotas.admit(call, router.clock())
    assert answer.code == caught.value.code
    least_s, most_s = answer.retry_after_s
    assert 0 < least_s <= caught.value.retry_after_s <= most_s


def test_a_deadline_that_cannot_be_met_is_rejected_as_its_call_is():
    router = Router(WRITERS[:2])
    room, now_s = router.forwarder.permitted.room, router.clock()
    for name in WRITERS[:2]:
        demand = Demand(90_000, 0.3, now_s + 1, 1)
        room.granter.request(name, PermitName("front-1", -9), demand, False, now_s)
    long = f"{NOTES}&prompt=a:9000,b:90"
    report = router.report(f"{long}&deadline_ms=200")
    assert report.answer.kind is AnswerKind.REJECTED
    assert [x.granter for x in report.permits] == ["front-1", "front-1"]
    outcome = router.forward(f"{long}&deadline_ms=200")
    assert (outcome.reason, router.sent) == (report.answer.reason, [])
    patient = router.report(f"{long}&deadline_ms=3000")
    assert patient.answer.replicas[0] in WRITERS
    assert patient.answer.wait_s == pytest.approx(report.permits[0].wait_s)
    room.read_hosts = partial(list, [f"front-{number}" for number in range(2, 90)])
    asked = router.report(long)
    assert asked.permits[0].granter != "front-1"
    assert "grants a prefill permit" in asked.answer.conditions[0]


def disturb(router, rng):
    """Change what decides on calls at random; some of it is out of date."""
    forwarder, now_s = router.forwarder, router.clock()
    room, demand = forwarder.permitted.room, forwarder.permitted.division.demand
    has_late_reports = rng.random() < 0.5
    room.has_late_reports = lambda: has_late_reports
    rate = rng.choice((1000, 30_000))
    rates = [("writers", rng.randrange(1, 50_000), rng.randrange(1, 90_000), rate)]
    demand.apply("front-9", msgspec.msgpack.encode(rates), now_s - rng.uniform(0, 2))
    demand.add("writers", 900, rng.random() < 0.5, now_s)
    names = (*WRITERS, "app1", "app2")
    for name in names:
        forwarder.loads.begin_call(name, rng.randrange(1, 9000))
        load = forwarder.loads.get_or_create(name)
        load.outstanding, load.pending_tokens = rng.randrange(4), rng.randrange(6000)
        load.reported = ReportedLoad(rng.randrange(4), rng.randrange(3), 4)
        load.reported_at_s = now_s - rng.uniform(0, 3)
        load.avoid_until_s = now_s + rng.uniform(-1, 0.2)
        forwarder.loads.speeds.record_figure(name, rng.uniform(0.5, 3), now_s - 1)
        forwarder.loads.speeds.speeds[name].lasting = rng.uniform(0.5, 4)
        tokens = {name: rng.randrange(5000)}
        peers = PeerLoad(tokens, now_s - rng.uniform(0, 2), tokens)
        forwarder.loads.record_peer_load(f"front-{name}", peers)
    forwarder.chooser.homes.updated_at_s.clear()
    for _ in range(3):
        forwarder.ejections.record_failure(rng.choice(names), now_s - 2.5)
    forwarder.notices.rests.begin(rng.choice(names), 1.0, now_s - rng.uniform(0, 2))
    retries = forwarder.retries.services["writers"] = ServiceRetries()
    retries.first_attempts.extend([now_s - 20, *([now_s - 1] * 9)])
    retries.retries.extend([now_s - 20, now_s - 1])
    forwarder.loads.loads.pop(rng.choice(names))
    router.app.quotas.admit(router.make_call(LOOKUP), now_s)
    router.clock.advance(rng.uniform(0, 1.5))


def test_a_report_changes_nothing_and_the_next_call_goes_where_it_said():
    """Guards against a report that moves state on, or that decides differently."""
    rng, router = random.Random(3), Router(ratePerS=1000, burst=1000)
    kinds = []
    for number in range(150):
        disturb(router, rng)
        prompt = f"p{rng.randrange(99)}:{rng.choice((300, 9000))},q{number}:90"
        query = LOOKUP if rng.random() < 0.2 else f"{NOTES}&prompt={prompt}"
        before = router.list_state()
        report = router.report(query)
        after = router.list_state()
        assert {k for k in before if before[k] != after[k]} == set()
        outcome = router.forward(query)
        kinds.append(report.answer.kind)
        if isinstance(outcome, NotRun):
            assert report.answer.reason == outcome.reason
        else:
            assert (outcome.peer,) == report.answer.replicas
    assert len(set(router.sent)) > 4
    assert kinds.count(AnswerKind.REPLICA) == len(router.sent) > 99


@pytest.mark.parametrize(
    ("query", "field"),
    [
        ("path=/lookup/1", "method"),
        ("method=GET&path=lookup", "path"),
        (f"{LOOKUP}&tokens=-1", "tokens"),
        (f"{LOOKUP}&deadline_ms=inf", "deadline_ms"),
        (f"{LOOKUP}&prompt=a:x", "prompt"),
        (f"{LOOKUP}&header=nocolon", "header is not NAME"),
        (f"{LOOKUP}&header=Authorization:+Bearer+k", "header holds an API key"),
        (f"{LOOKUP}&header=Last-Event-Id:+3", "header resumes"),
        (f"{LOOKUP}&service=writers", "service"),
        (f"{LOOKUP}x", "workspace"),
        (f"{LOOKUP}&path=/x", "path"),
        (f"{LOOKUP}&colour=red", "colour"),
    ],
)
def test_an_odd_value_is_refused_by_the_name_of_its_field(query, field):
    with pytest.raises(MessageError, match=field):
        Router().report(query)


@pytest.mark.sockets
def test_the_command_tells_where_the_next_call_goes():
    """Over real sockets; guards against a page on the callers' address as well."""

    async def check(fleet):
        address = f"127.0.0.1:{find_free_port()}"
        async with fleet.open_router("front-2", metrics_address=address) as router:
            await fleet.wait_until(router.app.is_ready)
            router.app.forwarder.loads.begin_call("app1", 0)

            def run(options):
                tester = CommandTester(make_application().find("placement"))
                code = tester.execute(f"{address} GET /lookup/1 {options}")
                return code, tester.io.fetch_output(), tester.io.fetch_error()

            options = "--workspace litter-notes --header Model:m0"
            code, text, error = await anyio.to_thread.run_sync(run, options)
            assert error == ""
            assert (code, text.splitlines()[0]) == (
                0,
                "Answer: sent to a replica: app2.",
            )
            code, _, error = await anyio.to_thread.run_sync(run, "--tokens some")
            assert code == 1 and "400" in error and "tokens" in error
            assert (await fleet.send("/lookup/1", router=router, method="GET")).status
            assert [x["attempt-id"] for x in fleet.replicas["app2"].runs] == ["a1"]
            callers = await send_call(
                fleet.client,
                router.callers_address,
                "GET",
                f"{PLACEMENT_PATH}?{LOOKUP}",
                headers=(("Host", HOST),),
            )
            assert callers.status == 404

    run_entry(check)
