"""Lost replicas and the calls that wait there, in virtual time.

Load: 66 routers with some calls each at 36 replicas, of which 9 lose power at once; a
connection to such a replica times out, and reports arrive after 0.3 to 0.7 s, some of
them never or twice.
"""

import random
from dataclasses import replace

import anyio
import pytest
from entry_fleet import run_entry
from forwarding_samples import DOMAINS
from ports import find_free_port
from test_cut_routers import Links, cut_links

from primrosepier.errors import MessageError
from primrosepier.forwarding.cuts import CutDetector
from primrosepier.forwarding.fleet import Replica
from primrosepier.forwarding.losses.detector import make_loss_detector
from primrosepier.forwarding.losses.messages import (
    ReportedLoss,
    decode_losses,
    encode_losses,
)
from primrosepier.forwarding.losses.records import (
    LossUnconfirmed,
    ReplicaLost,
    ReplicaReached,
)
from primrosepier.forwarding.replica_load import ReplicaLoadTable
from primrosepier.virtualtime import run_in_virtual_time

REPLICAS = [
    Replica(f"r{n}", "writers", f"10.0.0.{n}:1", DOMAINS[n % 3], born_ms=100 + n)
    for n in range(36)
]
CONNECT_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.3


class Router:
    """One router, with calls that wait at replicas.

    Attributes
    ----------
    waiting : dict of str to list of float
        Times at which the waiting calls were sent, by address.
    moved : list of (str, float)
        Calls that were aborted to be moved, and when.
    """

    def __init__(self, host, fleet):
        self.host, self.fleet = host, fleet
        self.waiting, self.moved, self.probes, self.events = {}, [], [], []
        self.loads = ReplicaLoadTable()
        clock = anyio.current_time
        self.links = CutDetector(host, clock, random.Random(host))
        self.links.list_replicas = lambda: fleet.replicas
        self.links.probe = self.probe
        rng = random.Random(host)
        self.detector = make_loss_detector(
            self, self.loads, self.links, self, clock, rng
        )

    def emit(self, event):
        self.events.append(event)

    def list_events(self, kind):
        return [event for event in self.events if isinstance(event, kind)]

    async def probe(self, replica):
        self.probes.append((replica.id, anyio.current_time()))
        if replica.id in self.fleet.dead or self.host in self.fleet.cut:
            await anyio.sleep(PROBE_TIMEOUT_S)
            return False
        await anyio.sleep(0.001)
        return True

    def abort_unresponsive(self, address, receive_gap_s):
        now_s = anyio.current_time()
        sent = self.waiting.get(address, [])
        aborted = [at_s for at_s in sent if now_s - at_s >= receive_gap_s]
        self.waiting[address] = [at_s for at_s in sent if at_s not in aborted]
        self.moved += [(address, now_s) for _ in aborted]
        return len(aborted)

    def wait_at(self, replica):
        self.waiting.setdefault(replica.address, []).append(anyio.current_time())
        self.loads.begin_call(replica.id, 300)

    async def connect(self, replica):
        """Send a call to a replica that is lost, and record that it fails."""
        await anyio.sleep(CONNECT_TIMEOUT_S)
        self.detector.record_failed(replica, anyio.current_time())


class Fleet:
    """Routers whose reports are delayed, and lost or duplicated at times."""

    def __init__(self, routers, loss=0.0):
        self.replicas, self.dead, self.cut = list(REPLICAS), set(), set()
        self.loss, self.rng = loss, random.Random(routers)
        self.routers = [Router(f"front-{n}", self) for n in range(routers)]
        self.reports = []

    async def _report(self, router):
        while True:
            await anyio.sleep(0.05)
            now_s = anyio.current_time()
            if router.detector.must_report(now_s):
                content = router.detector.make(now_s)
                self.reports.append((router.host, content))
                for other in self.routers:
                    copies = self.rng.choices((0, 1, 2), (self.loss, 1.0, self.loss))[0]
                    for _ in range(copies if other is not router else 0):
                        self.group.start_soon(self._deliver, router, other, content)

    async def _deliver(self, sender, receiver, content):
        await anyio.sleep(self.rng.uniform(0.3, 0.7))
        receiver.detector.apply(sender.host, content, anyio.current_time())

    def run(self, play):
        async def run():
            async with anyio.create_task_group() as self.group:
                for router in self.routers:
                    self.group.start_soon(router.detector.run)
                    self.group.start_soon(self._report, router)
                await anyio.sleep(3.0)
                await play()
                self.group.cancel_scope.cancel()

        run_in_virtual_time(run)


def test_calls_at_a_replica_that_lost_power_move_within_a_second():
    """Guards against calls that wait for the kernel's keep-alive probes, for 3 s.

    The second counts from the first failed connect; a call sent just before that may
    have been silent for too short a time. Calls that move are not held against their
    requests, as if these had crashed the replica.
    """
    fleet = Fleet(1)
    (router,) = fleet.routers

    async def play():
        lost, other = REPLICAS[:2]
        router.wait_at(lost)
        router.wait_at(other)
        fleet.dead = {lost.id}
        await anyio.sleep(0.2)
        router.wait_at(lost)
        await router.connect(lost)
        failed_at_s = anyio.current_time()
        assert not router.detector.explains(lost.id)
        await anyio.sleep(0.5)
        assert router.detector.explains(lost.id)
        assert not router.detector.explains(other.id)
        await anyio.sleep(0.5)
        assert [address for address, _ in router.moved] == [lost.address] * 2
        assert router.moved[-1][1] < failed_at_s + 1.0
        assert router.list_events(ReplicaLost) == [ReplicaLost("r0", 100)]

    fleet.run(play)


def test_a_silent_replica_that_accepts_connections_keeps_its_calls():
    """Guards against calls that are repeated as a replica pauses for two seconds."""
    fleet = Fleet(2)

    async def play():
        for router in fleet.routers:
            router.wait_at(REPLICAS[0])
        router.detector.record_failed(REPLICAS[0], anyio.current_time())
        router.detector.suspect(REPLICAS[0])
        await anyio.sleep(2.0)
        assert [x for x, _ in router.probes] == ["r0"]

    fleet.run(play)
    assert not fleet.reports
    assert not any(router.moved for router in fleet.routers)


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_the_other_routers_move_their_calls_after_a_report(loss):
    """Guards against each router that detects 9 lost replicas by itself, after 3 s."""
    fleet = Fleet(66, loss)

    async def play():
        fleet.dead = {x.id for x in REPLICAS[::4]}
        for router in fleet.routers:
            for replica in REPLICAS:
                router.wait_at(replica)
        for replica, router in zip(REPLICAS[::4], fleet.routers, strict=False):
            fleet.group.start_soon(router.connect, replica)
        await anyio.sleep(CONNECT_TIMEOUT_S + PROBE_TIMEOUT_S + 1.5)
        for router in fleet.routers:
            assert len(router.moved) == len(fleet.dead)
            assert not router.list_events(LossUnconfirmed)

    fleet.run(play)
    assert {host for host, _ in fleet.reports} == {f"front-{n}" for n in range(9)}


def test_a_false_report_costs_one_probe():
    """Guards against a router with bad links that takes replicas from all others."""
    fleet = Fleet(5)

    async def play():
        losses = [ReportedLoss(x.id, x.born_ms) for x in REPLICAS[:20]]
        for router in fleet.routers:
            router.wait_at(REPLICAS[0])
            for _ in range(3):
                now_s = anyio.current_time()
                router.detector.apply("front-9", encode_losses(losses), now_s)
        await anyio.sleep(1.0)
        for router in fleet.routers:
            assert sorted(x for x, _ in router.probes) == sorted(
                x.id for x in REPLICAS[:20]
            )
            assert len(router.list_events(LossUnconfirmed)) == 20
            assert not router.moved
            assert not router.loads.list_unreachable(anyio.current_time())

    fleet.run(play)


def test_a_report_on_an_earlier_process_is_ignored():
    """Guards against a replica that started again and is probed for its last end."""
    fleet = Fleet(1)

    async def play():
        (router,) = fleet.routers
        losses = encode_losses([ReportedLoss("r0", 99), ReportedLoss("unknown", 1)])
        router.detector.apply("front-9", losses, anyio.current_time())
        await anyio.sleep(1.0)
        assert not router.probes

    fleet.run(play)


def test_a_router_that_is_cut_off_reports_and_believes_nothing():
    """Guards against a cut router whose peers probe all replicas in vain."""
    fleet = Fleet(3)
    router = fleet.routers[0]

    async def play():
        fleet.cut = {router.host}
        for replica in REPLICAS[:8]:
            fleet.group.start_soon(router.connect, replica)
        await anyio.sleep(0.9)
        assert router.links.monitor.seems_cut(anyio.current_time())
        router.links.is_cut = True
        losses = encode_losses([ReportedLoss("r20", 120)])
        router.detector.apply("front-1", losses, anyio.current_time())
        await anyio.sleep(3.0)
        assert "r20" not in {x for x, _ in router.probes}
        assert not router.detector.table.lost

    fleet.run(play)
    assert not fleet.reports


def test_a_lost_replica_is_probed_before_it_gets_calls_again():
    """Guards against calls that try whether a lost replica is back."""
    fleet = Fleet(1)
    (router,) = fleet.routers

    async def play():
        fleet.dead = {"r0"}
        router.wait_at(REPLICAS[0])
        await router.connect(REPLICAS[0])
        for _ in range(50):
            await anyio.sleep(0.1)
            load = router.loads.get_or_create("r0")
            assert load.avoid_until_s > anyio.current_time()
        fleet.dead = set()
        await anyio.sleep(4.0)
        assert len(router.list_events(ReplicaReached)) == 1
        assert load.avoid_until_s <= anyio.current_time()

    fleet.run(play)


def test_a_process_that_registers_in_place_of_a_lost_one_gets_calls_at_once():
    """Guards against a backoff of seconds after a replica has started again."""
    fleet = Fleet(1)
    (router,) = fleet.routers

    async def play():
        fleet.dead = {"r0"}
        router.wait_at(REPLICAS[0])
        await router.connect(REPLICAS[0])
        await anyio.sleep(2.0)
        load = router.loads.get_or_create("r0")
        assert load.avoid_until_s > anyio.current_time() + 0.5
        fleet.dead = set()
        fleet.replicas[0] = replace(REPLICAS[0], born_ms=5000)
        await anyio.sleep(0.2)
        assert load.avoid_until_s <= anyio.current_time()
        assert not router.detector.table.lost

    fleet.run(play)


def test_the_section_ignores_fields_that_it_does_not_know():
    """Guards against a later build whose losses have more fields."""
    losses = [ReportedLoss("r0", 5)]
    assert decode_losses(encode_losses(losses)) == losses
    assert decode_losses(b"\x91\x93\xa2r0\x05\x07") == losses
    assert encode_losses([]) == b""
    with pytest.raises(MessageError):
        decode_losses(b"\x91\x05")


@pytest.mark.sockets
def test_routers_tell_each_other_of_a_replica_that_refuses_connections():
    """Guards against a section that does not reach the other routers."""

    async def check(fleet):
        async with fleet.open_router("front-2") as second:
            first = fleet.routers[0]
            directories = [first.peers.directory, second.peers.directory]
            await fleet.wait_until(lambda: all(x.peers for x in directories))
            first_events, second_events = [], []
            first.log.observers.append(first_events.append)
            second.log.observers.append(second_events.append)
            fleet.addresses["app1"] = f"127.0.0.1:{find_free_port()}"
            fleet.register("app1")
            address = fleet.addresses["app1"]
            for router in (first, second):
                find = router.store_view.find_replica
                await fleet.wait_until(
                    lambda find=find: find("app1").address == address
                )
            while not any(isinstance(x, ReplicaLost) for x in first_events):
                assert (await fleet.send("/lookup/1", router=first)).status == 200
            lost = ReplicaLost("app1", fleet.replicas["app1"].born, "front-1")
            await fleet.wait_until(lambda: lost in second_events, 2.0)

    run_entry(check)


@pytest.mark.sockets
def test_calls_of_a_real_router_leave_a_replica_that_lost_power():
    """Guards against waiting calls that end only when the kernel gives up, after 3 s.

    Two routers; only the first one sends further calls to the lost replica.
    """

    async def check(fleet):
        async with fleet.open_router("front-2") as second:
            routers = (fleet.routers[0], second)
            directories = [x.peers.directory for x in routers]
            await fleet.wait_until(lambda: all(x.peers for x in directories))
            await fleet.wait_until(lambda: second.store_view.declaration.value)
            lost = fleet.replicas["app1"]
            lost.faults.delay_s = 30.0
            backends = [cut_links(fleet, router) for router in routers]
            for backend in backends:
                backend.addresses = {fleet.addresses["app1"]}
            statuses, ended_at_s = [], []

            async def send(number, router):
                reply = await fleet.send(
                    f"/lookup/{number}",
                    router=router,
                    attempt=f"a{number}",
                    limit_ms=6000,
                )
                statuses.append(reply.status)
                ended_at_s.append(anyio.current_time())

            async with anyio.create_task_group() as group:
                for number in range(8):
                    group.start_soon(send, number, routers[number % 2])
                await fleet.wait_until(lambda: len(fleet.list_runs()) == 8)
                assert lost.runs
                await anyio.sleep(0.5)
                cut_at_s = anyio.current_time()
                for backend in backends:
                    backend.begin(Links.HANG)
                for number in range(8, 16):
                    group.start_soon(send, number, routers[0])
            assert statuses == [200] * 16
            assert max(ended_at_s) < cut_at_s + 2.5

    run_entry(check, repeat_ratio=2.0)
