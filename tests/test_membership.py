import time
from random import Random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from primrosepier.errors import MessageError
from primrosepier.members import MembershipRules, MemberState
from primrosepier.membership import make_membership
from primrosepier.messages import (
    Exchange,
    MemberRecord,
    PeerCodec,
    encode_message,
)
from primrosepier.overlay import choose_neighbours

HOSTS = [f"h{number}" for number in range(5)]
MAX_BYTES_PER_S = 9000
MAX_CPU_SHARE = 0.026


class Fleet:
    """Members that exchange messages in this process and virtual time."""

    def __init__(self, count, rules=None):
        self.random = Random(5)
        self.rules = rules or MembershipRules()
        self.now_s = 0.0
        self.nodes = {}
        self.bytes_sent = 0
        self.down = set()
        self.cut_links = set()
        for number in range(count):
            self.start(f"h{number}")

    def start(self, host, incarnation=1):
        own_record = MemberRecord(host, f"10.0.0.1:{host[1:]}", "domain", incarnation)
        seeds = tuple(f"10.0.0.1:{n}" for n in range(3))
        self.nodes[host] = make_membership(own_record, self.random, seeds, self.rules)

    def reaches(self, host, other):
        return (
            other in self.nodes
            and not {
                host,
                other,
            }
            & self.down
            and not {(host, other), (other, host)} & self.cut_links
        )

    def exchange(self, node, host, wants_all=False):
        message = node.make_exchange(host, self.now_s, wants_all)
        self.bytes_sent += len(encode_message(message))
        if not self.reaches(node.own_record.host, host):
            return False
        reply = self.nodes[host].answer(message, self.now_s)
        self.bytes_sent += len(encode_message(reply))
        node.receive(reply, self.now_s)
        if node.start_sync_if_due(self.now_s):
            self.exchange(node, host, True)
        return True

    def connect_all(self):
        records = [node.own_record for node in self.nodes.values()]
        for node in self.nodes.values():
            node.receive(Exchange(node.own_record, members=records), self.now_s)
            node.pending.waiting.clear()

    def step(self):
        self.now_s += self.rules.round_s
        for host, node in self.nodes.items():
            if host in self.down:
                continue
            started_round = node.start_round(self.now_s)
            for address in started_round.reconnect:
                self.exchange(node, "h" + address.rpartition(":")[2], True)
            if started_round.probe is None:
                continue
            target = started_round.probe.host
            if self.exchange(node, target):
                continue
            helpers = [helper.host for helper in node.choose_helpers(target)]
            if not any(self.probe_through(host, helper, target) for helper in helpers):
                node.report_unreachable(target, started_round, self.now_s)

    def probe_through(self, host, helper, target):
        return self.reaches(host, helper) and self.exchange(self.nodes[helper], target)

    def list_live(self):
        return {host: self.nodes[host] for host in self.nodes if host not in self.down}

    def has_converged(self):
        """Return whether each live member knows exactly the other live members."""
        live = self.list_live()
        return all({host, *n.list_live()} == set(live) for host, n in live.items())

    def count_known(self):
        return min(
            len(node.list_live())
            for host, node in self.nodes.items()
            if host not in self.down
        )

    def run_until(self, condition, rounds):
        for number in range(rounds):
            if condition():
                return number
            self.step()
        raise AssertionError(f"not reached in {rounds} rounds")


def test_members_discover_each_other_and_detect_a_dead_one():
    fleet = Fleet(7)
    fleet.run_until(lambda: fleet.count_known() == 6, 10)
    fleet.down.add("h3")
    fleet.run_until(lambda: fleet.count_known() == 5, 40)
    fleet.start("h3", incarnation=2)
    fleet.down.clear()
    fleet.run_until(lambda: fleet.count_known() == 6, 30)


def test_a_live_member_refutes_a_report_of_its_death():
    fleet = Fleet(3)
    fleet.run_until(lambda: fleet.count_known() == 2, 10)
    own_record = fleet.nodes["h1"].own_record
    reported = MemberRecord(
        "h1", own_record.address, "domain", own_record.incarnation, MemberState.DEAD
    )
    sender = fleet.nodes["h2"].own_record
    fleet.nodes["h0"].receive(Exchange(sender, members=[reported]), fleet.now_s)
    assert fleet.nodes["h0"].members["h1"].state is MemberState.SUSPECT
    fleet.step()
    fleet.step()
    assert fleet.nodes["h0"].members["h1"].state is MemberState.ALIVE
    assert fleet.nodes["h1"].own_record.incarnation == own_record.incarnation + 1


def test_a_partitioned_fleet_merges_again():
    fleet = Fleet(7)
    fleet.run_until(fleet.has_converged, 20)
    fleet.cut_links = {(f"h{n}", f"h{m}") for n in range(3) for m in range(3, 7)}
    fleet.run_until(lambda: fleet.count_known() == 2, 60)
    for _ in range(3600):
        fleet.step()
    fleet.cut_links = set()
    fleet.run_until(fleet.has_converged, 60)


def test_a_paused_router_suspects_no_member():
    fleet = Fleet(3)
    fleet.run_until(lambda: fleet.count_known() == 2, 10)
    node = fleet.nodes["h0"]
    started_round = node.start_round(fleet.now_s)
    assert not node.report_unreachable("h1", started_round, fleet.now_s + 30.0)
    assert node.members["h1"].state is MemberState.ALIVE


def test_traffic_and_cpu_time_per_member_are_bounded_at_940_members():
    rounds = 14
    fleet = Fleet(940)
    fleet.connect_all()
    fleet.start("h7", incarnation=2)
    started_s = time.process_time()
    for number in range(rounds):
        for node in list(fleet.nodes.values())[number::60]:
            node.digests.publish("load", bytes(24), 60.0, fleet.now_s)
        fleet.step()
    used_s = time.process_time() - started_s
    node_rounds = rounds * len(fleet.nodes)
    # Each byte is sent by one member and received by another; a round lasts 1 s.
    assert 2 * fleet.bytes_sent / node_rounds < MAX_BYTES_PER_S
    assert used_s / node_rounds < MAX_CPU_SHARE
    seen = [n.members["h7"].record for h, n in fleet.nodes.items() if h != "h7"]
    assert all(record.incarnation == 2 for record in seen)


def test_the_overlay_connects_every_member():
    members = [f"h{number}" for number in range(940)]
    links = {host: choose_neighbours(host, members) for host in members}
    assert max(map(len, links.values())) == 10
    reached = {"h0"}
    hops = 0
    while len(reached) < len(members):
        reached |= {far for near in reached for far in links[near]}
        hops += 1
    assert hops <= 10


def test_a_wrong_key_is_refused_and_counted():
    data = PeerCodec("one").encode(MemberRecord("a"), MemberRecord)
    other = PeerCodec("two")
    with pytest.raises(MessageError):
        other.decode(data, MemberRecord)
    assert other.refused == 1
    assert PeerCodec("one").decode(data, MemberRecord) == MemberRecord("a")


class MembershipMachine(RuleBasedStateMachine):
    """Members that crash, restart, pause, are partitioned and lose messages."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(len(HOSTS))
        self.incarnations = dict.fromkeys(HOSTS, 1)

    @rule(rounds=st.integers(1, 30))
    def run(self, rounds):
        for _ in range(rounds):
            self.fleet.step()

    @rule(host=st.sampled_from(HOSTS[1:]))
    def stop_or_pause(self, host):
        self.fleet.down.add(host)

    @rule(host=st.sampled_from(HOSTS))
    def resume(self, host):
        self.fleet.down.discard(host)

    @rule(host=st.sampled_from(HOSTS), backwards=st.booleans())
    def restart(self, host, backwards):
        change = -1 if backwards else 1
        self.incarnations[host] = max(1, self.incarnations[host] + change)
        self.fleet.start(host, self.incarnations[host])
        self.fleet.down.discard(host)

    @rule(count=st.integers(1, 4))
    def partition(self, count):
        near, far = HOSTS[:count], HOSTS[count:]
        self.fleet.cut_links = {(one, other) for one in near for other in far}

    @rule(pairs=st.sets(st.tuples(st.sampled_from(HOSTS), st.sampled_from(HOSTS))))
    def lose_messages(self, pairs):
        self.fleet.cut_links = pairs
        self.fleet.step()
        self.fleet.cut_links = set()

    @rule()
    def heal(self):
        self.fleet.cut_links = set()

    @invariant()
    def every_member_reports_itself_alive(self):
        for node in self.fleet.nodes.values():
            assert node.own_record.state == MemberState.ALIVE

    def teardown(self):
        self.fleet.cut_links = set()
        self.fleet.run_until(self.fleet.has_converged, 200)


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=20
)
