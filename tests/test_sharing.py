import random
from collections import Counter
from types import SimpleNamespace

import anyio
import msgspec
import pytest
from fleet import open_fleet, wait_for
from hypothesis import given, settings, strategies as st

from primrosepier.board import make_board
from primrosepier.clocks import ManualClock
from primrosepier.crash_causes import Fingerprints
from primrosepier.digests import DigestRegistry
from primrosepier.limits import WorkspaceLimiter
from primrosepier.load_reports import choose_pollers, parse_load
from primrosepier.membership import make_membership
from primrosepier.messages import MemberRecord
from primrosepier.peers import make_transport
from primrosepier.sharing import Sharing
from primrosepier.status import read_fleet_status
from primrosepier.suspects import Quarantined, SuspectTable

MAX_POLLS = 16


class Node:
    """Sharing state of one router, without a transport."""

    def __init__(self, host):
        self.clock = ManualClock(100.0)
        own = MemberRecord(host, f"{host}:1", "d", 1)
        self.membership = make_membership(own, random.Random(1))
        self.board = make_board()
        self.suspects = SuspectTable()
        self.limiter = WorkspaceLimiter()
        gossip = SimpleNamespace(membership=self.membership, push=self.push)
        demands = self.board.usage.take_writer("sharing")
        self.sharing = Sharing(gossip, self.suspects, self.limiter, demands, self.clock)
        self.pushed = []

    async def push(self):
        self.pushed += self.membership.digests.pop_urgent(self.clock())

    def send_to(self, other):
        message = self.membership.make_exchange(None, self.clock())
        other.membership.receive(message, other.clock())
        other.sharing.update(other.clock())


def test_a_suspicion_is_pushed_and_known_to_a_peer():
    first, second = Node("a"), Node("b")
    first.suspects.record_start(7, "e1")
    raised = first.suspects.record_loss(7, "e1", "d", 100.0)
    anyio.run(first.sharing.share, raised)
    assert [record.name for record in first.pushed] == ["suspects"]
    second.clock.advance(5000.0)
    first.send_to(second)
    assert second.suspects.is_suspect(7, second.clock())


def test_a_part_that_crashes_endpoints_is_pushed_and_known_to_a_peer():
    first, second = Node("a"), Node("b")
    for number in range(3):
        request = Fingerprints(number, (77,))
        loss_log = first.suspects.loss_log
        loss_log.record_loss(request, f"e{number}", 90.0 + number, 90.5 + number)
    anyio.run(first.sharing.share, [])
    assert [record.name for record in first.pushed] == ["losses"]
    second.clock.advance(5000.0)
    first.send_to(second)
    check = second.suspects.check_common(Fingerprints(9, (77,)), second.clock())
    assert isinstance(check, Quarantined)


def test_the_demand_of_other_routers_is_summed_and_expires():
    nodes = [Node(host) for host in "abc"]
    for node in nodes[1:]:
        for _ in range(10):
            node.limiter.admit("w", 0.0, 0, None, 100.0)
        node.sharing.update(100.0)
        node.send_to(nodes[0])
    demand = nodes[0].board.usage.value["w"]
    own = nodes[1].limiter.list_demand(100.0)["w"]
    assert demand.requests_per_s == pytest.approx(2 * own, rel=0.01)
    assert demand.routers == 3
    nodes[0].clock.advance(60.0)
    nodes[0].limiter.admit("w", 0.0, 0, None, 160.0)
    nodes[0].sharing.update(160.0)
    assert nodes[0].board.usage.value["w"].requests_per_s == 0.0


def test_an_older_value_never_replaces_a_later_one():
    source, target = DigestRegistry("a", 1), DigestRegistry("b", 1)
    source.publish("x", b"old", 10.0, 0.0)
    old = source.select(1000, 9, 0.0)
    restarted = DigestRegistry("a", 2)
    restarted.publish("x", b"new", 10.0, 0.0)
    new = restarted.select(1000, 9, 0.0)
    assert target.receive(new[0], 0.0)
    assert not target.receive(old[0], 0.0)
    assert target.read("x", 5.0)["a"].record.data == b"new"
    assert not target.read("x", 11.0)


def test_forwarding_does_not_extend_the_time_to_live():
    first, second, third = (DigestRegistry(host, 1) for host in "abc")
    first.publish("x", b"", 10.0, 0.0)
    second.receive(first.select(1000, 9, 4.0)[0], 4.0)
    third.receive(second.select(1000, 9, 8.0)[0], 8.0)
    assert third.read("x", 9.9)
    assert not third.read("x", 10.1)


@pytest.mark.parametrize(("routers", "endpoints"), [(7, 9), (7, 100), (235, 975)])
def test_every_endpoint_is_polled_and_polls_are_bounded(routers, endpoints):
    hosts = [f"h{n}" for n in range(routers)]
    polls = Counter()
    for number in range(endpoints):
        polled_by = choose_pollers(f"e{number}", hosts, endpoints)
        assert polled_by
        polls.update(polled_by)
    assert max(polls.values()) <= max(MAX_POLLS, 2 * endpoints / routers)


def test_load_is_read_from_prometheus_text():
    text = (
        b"# TYPE vllm:num_requests_running gauge\n"
        b'vllm:num_requests_running{model="m"} 3.0\nnum_requests_waiting 2\n'
    )
    load = parse_load(text, 5.0)
    assert (load.running, load.waiting, load.reported_at_s) == (3, 2, 5.0)
    assert parse_load(b"other 1\n", 5.0) is None
    assert parse_load(b"num_requests_running 1e999\n", 5.0) is None


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_load_report_is_read_or_ignored(data):
    parse_load(b"num_requests_running " + data, 0.0)


@pytest.mark.sockets
def test_status_shows_every_router_and_its_load():
    async def check():
        async with open_fleet(routers=2, engines=2) as fleet:
            first = fleet.routers[0]
            await wait_for(lambda: set(first.board.load.value) == set(fleet.engines))
            transport = make_transport("key")
            status = await read_fleet_status(transport, first.peers_address)
            transport.close()
            assert [r.host for r in status.routers] == ["entry-1", "entry-2"]
            assert {r.revision for r in status.routers} == {status.revision}
            assert all(r.ready and r.reachable for r in status.routers)
            assert not status.list_outdated()
            assert msgspec.json.encode(status)

    anyio.run(check)
