"""Reports among many routers, passed on by the collectors of their groups."""

import random
import zlib
from collections import Counter
from dataclasses import dataclass, field

import anyio
import last_landing
import msgspec
import pytest

from primrosepier.errors import MessageError
from primrosepier.forwarding.cuts import LinksReply
from primrosepier.forwarding.messages import PeerDatagram
from primrosepier.forwarding.peers import (
    COLLECT_INTERVAL_S,
    DATAGRAMS_PER_S,
    GROUP_INTERVAL_S,
    PeerDirectory,
    PeerEntry,
    PeerExchange,
    decode_peer_entry,
)
from primrosepier.forwarding.prefixes import PrefixIndex, PrefixUpdate
from primrosepier.forwarding.replica_load import ReplicaLoadTable
from primrosepier.forwarding.report_groups import (
    COLLECTORS,
    MAX_COLLECTED_BYTES,
    MAX_UNPACKED_BYTES,
    MIN_ROUTERS,
    CollectedReports,
    Reach,
    ReportCollector,
    ReportPlan,
    pack_reports,
    plan_reports,
    unpack_reports,
)
from primrosepier.virtualtime import run_in_virtual_time

DOMAINS = ("rennes", "brest", "vannes", "lorient", "quimper")


def make_domains(count):
    return {f"front-{n}": DOMAINS[n % len(DOMAINS)] for n in range(count)}


class Network:
    """Routers that report their pending tokens over a network that may lose some."""

    def __init__(self, count, domains=None):
        self.domains = domains or make_domains(count)
        self.sent = Counter()
        self.between_domains = 0
        self.collected = []
        self.dead = set()
        self.exchanges = {host: self.make_exchange(host) for host in self.domains}
        entries = {
            host: PeerEntry(host, host, domain) for host, domain in self.domains.items()
        }
        for host, exchange in self.exchanges.items():
            directory = exchange.directory
            directory.peers = {k: v for k, v in entries.items() if k != host}
            directory.plan = plan_reports(host, self.domains)

    def make_exchange(self, host):
        directory = PeerDirectory(host, None, host, host)
        directory.failure_domain = self.domains[host]
        exchange = PeerExchange(
            directory, ReplicaLoadTable(), PrefixIndex(), anyio.current_time
        )
        exchange.port = Port(self, host)
        exchange.collector = RecordedCollector(recorded=self.collected)
        return exchange

    def list_informed(self, sender):
        """Return the routers that know a router's pending tokens."""
        return {
            host
            for host, exchange in self.exchanges.items()
            if sender in exchange.loads.peer_loads
        }

    def run(self, play):
        async def run():
            async with anyio.create_task_group() as self.group:
                for exchange in self.exchanges.values():
                    self.group.start_soon(exchange._pass_on_collected)
                    self.group.start_soon(exchange._send_changes)
                await play()
                self.group.cancel_scope.cancel()

        run_in_virtual_time(run)


@dataclass(slots=True)
class RecordedCollector(ReportCollector):
    """Records the reports of the group."""

    recorded: list = field(default_factory=list)

    def add_own(self, report):
        self.recorded.append(report)
        ReportCollector.add_own(self, report)


class Port:
    """Delivers datagrams within the network; an address is the name of its router."""

    def __init__(self, network, host):
        self.network = network
        self.host = host

    def send(self, address, data):
        network = self.network
        network.sent[self.host] += 1
        if network.domains[self.host] != network.domains[address]:
            network.between_domains += len(data)
        if not {self.host, address} & network.dead:
            network.group.start_soon(network.exchanges[address].handle, data)
        return True


def load(exchange, tokens=5000):
    exchange.loads.get_or_create("w1").pending_tokens = tokens
    exchange.request_report()


@pytest.mark.parametrize("count", [24, 88, 195])
def test_all_routers_find_the_same_groups(count):
    domains = make_domains(count)
    plans = {host: plan_reports(host, domains) for host in domains}
    reached = Counter()
    for host, plan in plans.items():
        assert all(domains[x] == domains[host] for x in plan.collectors)
        for collector in plan.collectors:
            assert host in plans[collector].members
        if plan.is_collector:
            others = plan.neighbours + plan.remote
            assert all(domains[x] == domains[host] for x in plan.neighbours)
            assert len({domains[x] for x in plan.remote}) == len(DOMAINS) - 1
            reached.update(others)
            reached.update(plan.members)
            assert len(others) + len(plan.members) <= 5 * count**0.5
        assert 1 <= len(plan.collectors) + plan.is_collector <= COLLECTORS
    assert set(reached) == set(domains)


def test_few_groups_change_when_a_router_leaves():
    domains = make_domains(195)
    before = {host: plan_reports(host, domains).collectors for host in domains}
    del domains["front-7"]
    changed = [x for x in domains if plan_reports(x, domains).collectors != before[x]]
    assert len(changed) <= 0.15 * len(domains)


def test_routers_report_to_all_while_they_are_few_or_one_passes_nothing_on():
    assert plan_reports("front-0", make_domains(MIN_ROUTERS - 1)) is None
    domains = {**make_domains(88), "front-5": None}
    assert plan_reports("front-0", domains) is None


@pytest.mark.parametrize("count", [24, 88, 195])
def test_a_report_reaches_all_routers_soon(count):
    network = Network(count)

    async def play():
        await anyio.sleep(1.0)
        load(network.exchanges["front-3"])
        await anyio.sleep(2 * COLLECT_INTERVAL_S + 0.01)
        assert network.list_informed("front-3") == network.exchanges.keys() - {
            "front-3"
        }

    network.run(play)


def test_reports_of_busy_routers_are_as_young_as_if_sent_to_each():
    """Load of 195 routers: all report all the time."""
    network = Network(195)
    ages = []

    async def play():
        sender = network.exchanges["front-3"]
        for step in range(40):
            for exchange in network.exchanges.values():
                load(exchange, 2000 * (step + 1))
            await anyio.sleep(0.05)
            for host in ("front-4", "front-120", "front-190"):
                known = network.exchanges[host].loads.peer_loads.get("front-3")
                if known is not None:
                    steps = known.pending_tokens.get("w1", 0) / 2000
                    ages.append(0.05 * (step + 1 - steps))
        assert sender.reported_tokens

    network.run(play)
    assert len(ages) >= 90
    assert sum(ages) / len(ages) <= 195 / DATAGRAMS_PER_S


@pytest.mark.parametrize("count", [24, 88, 195])
def test_the_end_of_a_collector_loses_no_report(count):
    network = Network(count)
    collectors = [
        x for x, y in network.exchanges.items() if y.directory.plan.is_collector
    ]
    network.dead = {random.Random(count).choice(collectors)}

    async def play():
        for exchange in network.exchanges.values():
            load(exchange)
        await anyio.sleep(5 * GROUP_INTERVAL_S)
        living = network.exchanges.keys() - network.dead
        for host in living:
            assert network.list_informed(host) >= living - {host}

    network.run(play)


@pytest.mark.parametrize(("count", "share"), [(88, 0.35), (195, 0.25)])
def test_grouped_reports_take_few_datagrams(count, share):
    network = Network(count)
    rng = random.Random(1)

    async def play():
        for _ in range(50):
            for exchange in network.exchanges.values():
                load(exchange, rng.randrange(20) * 2000)
            await anyio.sleep(0.1)

    network.run(play)
    seconds = 50 * 0.1
    to_all = min(DATAGRAMS_PER_S, 10 * count) * count * seconds
    assert sum(network.sent.values()) <= share * to_all
    assert max(network.sent.values()) <= DATAGRAMS_PER_S * seconds


def test_reports_cross_twice_to_each_other_failure_domain():
    """Load of 195 routers: calls at three replicas and with four prefixes a report."""
    network = Network(195)
    rng = random.Random(1)
    replicas = [f"i-{rng.getrandbits(40):010x}" for _ in range(54)]

    async def play():
        for _ in range(4):
            for exchange in network.exchanges.values():
                for replica in rng.sample(replicas, 3):
                    load = exchange.loads.get_or_create(replica)
                    load.pending_tokens = rng.randrange(2, 40) * 1000
                exchange.prefixes.pending_updates += [
                    PrefixUpdate(rng.getrandbits(64), rng.choice(replicas), 7, True)
                    for _ in range(4)
                ]
                exchange.request_report()
            await anyio.sleep(GROUP_INTERVAL_S)
        # Each of the two collectors of a group takes every report of it.
        collected = sum(len(x) for x in network.collected)
        assert 0 < network.between_domains <= (len(DOMAINS) - 1) * collected

    network.run(play)


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"not compressed",
        zlib.compress(b"no reports"),
        pack_reports([b"x" * 500])[:-4],
        pack_reports([b"x" * (2 * MAX_UNPACKED_BYTES)]),
        zlib.compress(b"\x91" * 5000),
    ],
    ids=len,
)
def test_odd_collected_reports_are_rejected_and_counted(packed):
    with pytest.raises(MessageError):
        unpack_reports(packed)
    network = Network(24)
    exchange = network.exchanges["front-3"]
    message = PeerDatagram("front-3", CollectedReports(packed, Reach.DOMAIN))
    anyio.run(exchange.handle, msgspec.msgpack.encode(message))
    assert exchange.loads.rejected_reports == 1
    assert not exchange.collector.has_waiting()


def test_what_concerns_all_is_reported_to_all_directly():
    network = Network(88)
    exchange = network.exchanges["front-3"]
    exchange.list_waits = lambda: {"w1": 2.0}

    async def play():
        load(exchange)
        await anyio.sleep(88 / DATAGRAMS_PER_S + 0.01)
        assert len(network.list_informed("front-3")) == 87
        assert network.sent == {"front-3": 87}

    network.run(play)


def test_collected_reports_fit_their_datagrams():
    collector = ReportCollector()
    for _ in range(100):
        collector.add_own(b"x" * 300)
    collector.add_received([b"y" * 300] * 100, Reach.DOMAIN)
    collector.add_received([b"z" * 300] * 100, Reach.GROUP)
    assert collector.has_waiting()
    plan = ReportPlan((), True, ("front-1",), ("front-2",), ("front-3",))
    messages = collector.take(plan)
    received = Counter()
    for host, message in messages:
        data = msgspec.msgpack.encode(PeerDatagram("t" * 16, message))
        assert len(data) <= MAX_COLLECTED_BYTES + 1000
        received[host] += len(unpack_reports(message.packed))
    assert received == {"front-1": 300, "front-2": 200, "front-3": 100}
    assert not collector.has_waiting()


def test_the_last_landing_reads_entries_and_is_reported_to_directly():
    entry = PeerEntry("127.0.0.1:9000", "token", "rennes")
    read = msgspec.json.decode(msgspec.json.encode(entry), type=last_landing.PeerEntry)
    assert (read.address, read.token) == (entry.address, entry.token)
    known = decode_peer_entry(last_landing.PEER_ENTRY.encode())
    assert known is not None and known.failure_domain is None
    assert plan_reports("front-0", {**make_domains(195), "front-9": None}) is None


def test_the_last_landing_reads_replies_of_cut_routers():
    message = PeerDatagram("token", LinksReply(7, False, is_cut=True))
    data = msgspec.msgpack.encode(message)
    read = msgspec.msgpack.decode(data, type=last_landing.PeerDatagram)
    assert read.message == last_landing.LinksReply(7, False)
