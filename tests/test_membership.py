import time
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from primrosepier.errors import MessageError
from primrosepier.membership import MembershipRules, MemberState, make_membership
from primrosepier.messages import (
    Exchange,
    MemberRecord,
    PeerCodec,
    decode_message,
    encode_message,
)
from primrosepier.overlay import choose_neighbours

BYTES_PER_S = 9000
CPU_SHARE = 0.026


class Fleet:
    """Members that exchange messages in this process and virtual time."""

    def __init__(self, count, rules=None):
        self.random = Random(5)
        self.rules = rules or MembershipRules()
        self.now_s = 0.0
        self.nodes = {}
        self.bytes = 0
        self.down = set()
        for number in range(count):
            self.start(f"h{number}")

    def start(self, host, incarnation=1):
        own = MemberRecord(host, f"10.0.0.1:{host[1:]}", "domain", incarnation)
        seeds = tuple(f"10.0.0.1:{n}" for n in range(3))
        self.nodes[host] = make_membership(own, self.random, seeds, self.rules)

    def exchange(self, node, host, whole=False):
        message = node.make_exchange(host, self.now_s, whole)
        self.bytes += len(encode_message(message))
        if host in self.down or host not in self.nodes:
            return False
        reply = self.nodes[host].answer(message, self.now_s)
        self.bytes += len(encode_message(reply))
        node.receive(reply, self.now_s)
        if node.needs_sync(self.now_s):
            self.exchange(node, host, True)
        return True

    def introduce(self):
        records = [node.own for node in self.nodes.values()]
        for node in self.nodes.values():
            node.receive(Exchange(node.own, members=records), self.now_s)
            node.pending.waiting.clear()

    def step(self):
        self.now_s += self.rules.round_s
        for host, node in self.nodes.items():
            if host in self.down:
                continue
            begun = node.start_round(self.now_s)
            if begun.reconnect:
                self.exchange(node, "h" + begun.reconnect.rpartition(":")[2], True)
            if begun.probe is None:
                continue
            if not self.exchange(node, begun.probe.host):
                node.report_unreachable(begun.probe.host, begun, self.now_s)

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


def test_seven_routers_find_each_other_and_a_dead_one_is_found():
    fleet = Fleet(7)
    fleet.run_until(lambda: fleet.count_known() == 6, 10)
    fleet.down.add("h3")
    fleet.run_until(lambda: fleet.count_known() == 5, 40)
    fleet.start("h3", incarnation=2)
    fleet.down.clear()
    fleet.run_until(lambda: fleet.count_known() == 6, 30)


def test_a_live_member_refutes_its_death():
    fleet = Fleet(3)
    fleet.run_until(lambda: fleet.count_known() == 2, 10)
    own = fleet.nodes["h1"].own
    claim = MemberRecord("h1", own.address, "domain", own.incarnation, MemberState.DEAD)
    sender = fleet.nodes["h2"].own
    fleet.nodes["h0"].receive(Exchange(sender, members=[claim]), fleet.now_s)
    fleet.step()
    fleet.step()
    assert fleet.nodes["h0"].members["h1"].state is MemberState.ALIVE
    assert fleet.nodes["h1"].own.incarnation == own.incarnation + 1


def test_a_paused_router_judges_nobody():
    fleet = Fleet(3)
    fleet.run_until(lambda: fleet.count_known() == 2, 10)
    node = fleet.nodes["h0"]
    begun = node.start_round(fleet.now_s)
    assert not node.report_unreachable("h1", begun, fleet.now_s + 30.0)
    assert node.members["h1"].state is MemberState.ALIVE


def test_the_bytes_of_a_member_do_not_grow_with_the_fleet():
    rounds = 14
    fleet = Fleet(940)
    fleet.introduce()
    fleet.start("h7", incarnation=2)
    started_s = time.process_time()
    for number in range(rounds):
        for node in list(fleet.nodes.values())[number::60]:
            node.digests.publish("load", bytes(24), 60.0, fleet.now_s)
        fleet.step()
    used_s = time.process_time() - started_s
    node_rounds = rounds * len(fleet.nodes)
    assert 2 * fleet.bytes / node_rounds < BYTES_PER_S
    assert used_s / node_rounds < CPU_SHARE
    seen = [n.members["h7"].record for h, n in fleet.nodes.items() if h != "h7"]
    assert all(record.incarnation == 2 for record in seen)


def test_neighbours_connect_every_member():
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


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_refused(data):
    try:
        decode_message(data, Exchange)
    except MessageError:
        return
