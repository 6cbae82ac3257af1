"""Whether a router is cut off from the replicas, in virtual time."""

import random

import anyio
import msgspec
import pytest

from primrosepier.forwarding.cuts import CutDetector
from primrosepier.forwarding.fleet import Replica
from primrosepier.forwarding.messages import PeerDatagram, decode_peer_datagram
from primrosepier.links import FAILURE_TTL_S, LinkMonitor
from primrosepier.virtualtime import run_in_virtual_time

REPLICAS = [Replica(f"r{n}", "writers", f"10.0.0.{n}:1", "rennes") for n in range(10)]


def make_monitor(lost, reached, reached_at_s=1.0):
    monitor = LinkMonitor()
    for number in range(lost):
        monitor.record_failed(f"r{number}", 1.0)
    for number in range(lost, lost + reached):
        monitor.record_reached(f"r{number}", reached_at_s, False)
    return monitor


@pytest.mark.parametrize(
    ("lost", "reached", "is_cut"),
    [(0, 0, False), (1, 0, False), (2, 0, True), (2, 8, False), (9, 1, True)],
)
def test_only_the_loss_of_most_replicas_seems_a_cut(lost, reached, is_cut):
    assert make_monitor(lost, reached, 1.1).seems_cut(1.2) is is_cut


def test_responses_from_before_the_losses_do_not_count():
    assert make_monitor(3, 7, 0.5).seems_cut(1.2)


def test_responses_over_old_connections_do_not_hide_refused_ones():
    monitor = make_monitor(4, 0)
    for number in range(4):
        monitor.record_reached(f"r{number}", 1.1, False)
    assert monitor.seems_cut(1.2)
    for number in range(4):
        monitor.record_reached(f"r{number}", 1.3, True)
    assert not monitor.seems_cut(1.4)


def test_failures_expire():
    monitor = make_monitor(4, 0)
    assert not monitor.seems_cut(1.0 + FAILURE_TTL_S)
    assert monitor.list_lost(1.0 + FAILURE_TTL_S) == set()


class Routers:
    """Routers, each with the set of replicas that it reaches.

    Proxies accept connections also to replicas that are not reached.
    """

    def __init__(self, count, replicas=10, has_proxies=False, loss=0.0, delay_s=0.0):
        self.replicas = REPLICAS[:replicas]
        self.loss = loss
        self.delay_s = delay_s
        self.rng = random.Random(count)
        self.has_proxies = has_proxies
        self.reached = {f"front-{n}": set(range(10)) for n in range(count)}
        self.changes = []
        self.detectors = {host: self.make_detector(host) for host in self.reached}
        for detector in self.detectors.values():
            detector.record_hosts(self.reached)

    def make_detector(self, host):
        async def ask(replica):
            await anyio.sleep(0.001)
            return int(replica.id[1:]) in self.reached[host]

        async def probe(replica):
            return await ask(replica) or self.has_proxies

        async def send(receiver, message):
            data = msgspec.msgpack.encode(PeerDatagram("token", message))
            received = decode_peer_datagram(data, "token")
            assert received is not None
            if self.rng.random() >= self.loss:
                self.group.start_soon(deliver, receiver, received)
            return True

        async def deliver(receiver, message):
            await anyio.sleep(self.rng.uniform(0.0, self.delay_s))
            await self.detectors[receiver].receive(message)

        def notify(is_cut, lost, helpers):
            self.changes.append((anyio.current_time(), host, is_cut))

        rng = random.Random(host)
        detector = CutDetector(host, anyio.current_time, rng, lambda: self.replicas)
        detector.probe, detector.ask = probe, ask
        detector.send, detector.notify = send, notify
        return detector

    async def call(self, host):
        """Call random replicas, 20 times a second."""
        detector = self.detectors[host]
        while True:
            await anyio.sleep(0.05)
            number = detector.rng.randrange(len(self.replicas))
            if number in self.reached[host]:
                detector.record_reached(f"r{number}", True)
            else:
                detector.record_failed(f"r{number}")

    def run(self, play, callers=None):
        async def run():
            async with anyio.create_task_group() as self.group:
                for host, detector in self.detectors.items():
                    self.group.start_soon(detector.run)
                    if callers is None or host in callers:
                        self.group.start_soon(self.call, host)
                await play()
                self.group.cancel_scope.cancel()

        run_in_virtual_time(run)


@pytest.mark.parametrize("has_proxies", [False, True])
@pytest.mark.parametrize("cut", [1, 5])
def test_cut_routers_know_it_within_a_second_and_return_within_seconds(
    cut, has_proxies
):
    routers = Routers(6, has_proxies=has_proxies)
    hosts = [f"front-{number}" for number in range(cut)]

    async def play():
        await anyio.sleep(3.0)
        for host in hosts:
            routers.reached[host] = set()
        await anyio.sleep(1.0)
        assert [routers.detectors[host].is_cut for host in hosts] == [True] * cut
        helpers = {x for host in hosts for x in routers.detectors[host].helpers}
        assert helpers.isdisjoint(hosts)
        await anyio.sleep(9.0)
        assert len(routers.changes) == cut
        for host in hosts:
            routers.reached[host] = set(range(10))
        await anyio.sleep(1.0)
        assert not any(routers.detectors[host].is_cut for host in hosts)

    routers.run(play)


def test_a_cut_of_minutes_keeps_its_helpers():
    routers = Routers(3, replicas=3)

    async def play():
        routers.reached["front-0"] = set()
        for _ in range(200):
            await anyio.sleep(1.0)
            detector = routers.detectors["front-0"]
            assert set(detector.helpers) == {"front-1", "front-2"}

    routers.run(play)


def test_a_router_whose_neighbours_have_no_calls_finds_one_that_reaches_replicas():
    routers = Routers(3)

    async def play():
        routers.reached["front-0"] = set()
        await anyio.sleep(1.5)
        assert routers.detectors["front-0"].is_cut

    routers.run(play, callers=["front-0"])


@pytest.mark.parametrize("has_proxies", [False, True])
@pytest.mark.parametrize("left", [0, 1, 6, 9])
def test_replicas_that_are_lost_for_all_routers_are_no_cut(left, has_proxies):
    routers = Routers(6, has_proxies=has_proxies)

    async def play():
        await anyio.sleep(3.0)
        for host in routers.reached:
            routers.reached[host] = set(range(left))
        await anyio.sleep(5.0)

    routers.run(play)
    assert not any(is_cut for _, _, is_cut in routers.changes)


def test_replicas_that_are_silent_for_a_second_are_no_cut():
    routers = Routers(6)

    async def play():
        for number in range(10):
            routers.reached["front-0"] = set(range(10)) - {number}
            await anyio.sleep(1.0)

    routers.run(play)
    assert not routers.changes


@pytest.mark.parametrize("callers", [["front-0"], None])
@pytest.mark.parametrize(
    ("loss", "delay_s"), [(0.0, 0.0), (0.1, 0.0), (0.0, 0.12), (0.1, 0.08)]
)
@pytest.mark.parametrize("count", [3, 6])
def test_a_cut_router_has_a_helper_all_along(count, loss, delay_s, callers):
    """Guards against helpers that are all given up over one late or unsure reply."""
    routers = Routers(count, loss=loss, delay_s=delay_s)

    async def play():
        await anyio.sleep(3.0)
        routers.reached["front-0"] = set()
        await anyio.sleep(1.5)
        detector = routers.detectors["front-0"]
        without = 0
        for _ in range(3000):
            await anyio.sleep(0.01)
            without += not detector.helpers
        assert without == 0

    routers.run(play, callers=callers)


def test_a_helper_that_is_cut_off_as_well_is_given_up_within_two_seconds():
    routers = Routers(3)

    async def play():
        await anyio.sleep(3.0)
        routers.reached["front-0"] = set()
        await anyio.sleep(1.5)
        detector = routers.detectors["front-0"]
        assert set(detector.helpers) == {"front-1", "front-2"}
        routers.reached["front-1"] = set()
        await anyio.sleep(2.0)
        assert set(detector.helpers) == {"front-2"}
        routers.reached["front-1"] = set(range(10))
        await anyio.sleep(2.0)
        assert set(detector.helpers) == {"front-1", "front-2"}

    routers.run(play)
