"""Limits that endpoints name, kept by all routers together, in virtual time."""

import random
from dataclasses import dataclass, field

import anyio
import msgspec
import pytest

from primrosepier.endpoint_limits import EndpointLimits, SharedLimit, rank_granters
from primrosepier.forwarding.messages import PeerDatagram, decode_peer_datagram
from primrosepier.forwarding.permits import (
    RANK_RETENTION_S,
    PermitExchange,
    PermitRequest,
)
from primrosepier.virtualtime import run_in_virtual_time

ENDPOINT = "e1"
WINDOW_S = 4.0
STABLE_S = 3.0
# Time from a router's first answer with a limit from which its requests are counted.
TOLD_S = 0.5
DURATION_S = 40.0


@dataclass
class LimitCluster:
    """Routers that send requests to one endpoint which names a limit."""

    seed: int
    router_count: int
    rate_per_s: float | None
    routers: dict[str, PermitExchange] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)
    lost: set[tuple[str, str]] = field(default_factory=set)
    told_at_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.hosts = [f"front-{number}" for number in range(self.router_count)]

    def add_router(self, host):
        async def send(receiver, message):
            if receiver not in self.routers:
                return False
            if (host, receiver) not in self.lost and self.rng.random() > 0.01:
                self.group.start_soon(self._deliver, receiver, message)
            return True

        self.routers[host] = PermitExchange(
            host, EndpointLimits(), anyio.current_time, send
        )

    async def _deliver(self, receiver, message):
        await anyio.sleep(self.rng.uniform(0.0005, 0.01))
        if receiver in self.routers:
            await self.routers[receiver].receive(message)

    def register(self, hosts=None):
        for router in self.routers.values():
            router.record_hosts(self.routers if hosts is None else hosts)

    async def call(self, host):
        router = self.routers[host]
        if await router.acquire(ENDPOINT) > 0:
            return
        now_s = anyio.current_time()
        if self.told_at_s.setdefault(host, now_s) + TOLD_S <= now_s:
            self.arrivals.append(now_s)
        await anyio.sleep(0.02)
        router.limits.record_answer(ENDPOINT, self.rate_per_s, anyio.current_time())

    async def _arrive(self, per_s, hosts):
        while anyio.current_time() < DURATION_S:
            await anyio.sleep(self.rng.expovariate(per_s))
            host = self.rng.choice(hosts or sorted(self.routers))
            self.group.start_soon(self.call, host)

    async def run(self, per_s, hosts=None, *processes):
        async with anyio.create_task_group() as self.group:
            for host in self.hosts:
                self.add_router(host)
            self.register()
            self.group.start_soon(self._arrive, per_s, hosts)
            for process in processes:
                self.group.start_soon(process)

    def count_most(self, from_s):
        """Return the most arrivals in any window that begins after a time."""
        after = [at_s for at_s in self.arrivals if at_s >= from_s]
        return max(
            sum(1 for x in after[index:] if x < at_s + WINDOW_S)
            for index, at_s in enumerate(after)
        )

    def compute_used(self, from_s):
        """Return the share of the limit that was used."""
        count = sum(1 for at_s in self.arrivals if from_s <= at_s < DURATION_S)
        return count / (DURATION_S - from_s) / self.rate_per_s


def compute_allowed(rate_per_s):
    return 1.5 * rate_per_s * WINDOW_S + 5


@pytest.mark.parametrize("rate_per_s", [0.4, 3.3, 40.0])
@pytest.mark.parametrize("lopsided", [False, True])
@pytest.mark.parametrize("routers", [6, 62])
def test_routers_together_keep_and_use_the_limit_of_an_endpoint(
    routers, lopsided, rate_per_s
):
    cluster = LimitCluster(1, routers, rate_per_s)
    hosts = ["front-3"] if lopsided else None
    run_in_virtual_time(cluster.run, 60.0, hosts)
    assert cluster.count_most(STABLE_S) <= compute_allowed(rate_per_s)
    assert cluster.compute_used(STABLE_S) >= 0.9


def test_routers_that_lose_each_other_do_not_exceed_the_limit():
    cluster = LimitCluster(2, 6, 4.0)
    first, *_ = rank_granters(ENDPOINT, cluster.hosts)

    async def cut():
        await anyio.sleep(10.0)
        others = [host for host in cluster.hosts if host != first]
        for host in others[:3]:
            cluster.lost |= {(host, first), (first, host)}

    run_in_virtual_time(cluster.run, 60.0, None, cut)
    assert cluster.count_most(STABLE_S) <= compute_allowed(4.0)
    assert cluster.compute_used(STABLE_S) >= 0.9


def test_routers_that_the_store_no_longer_lists_do_not_all_grant():
    cluster = LimitCluster(3, 6, 4.0)

    async def lose_entries():
        await anyio.sleep(10.0)
        for host, router in cluster.routers.items():
            router.record_hosts([host])
        await anyio.sleep(RANK_RETENTION_S / 2)
        cluster.register()

    run_in_virtual_time(cluster.run, 60.0, None, lose_entries)
    assert cluster.count_most(STABLE_S) <= compute_allowed(4.0)


def test_a_limit_is_used_when_its_granter_has_ended():
    cluster = LimitCluster(4, 6, 4.0)
    first, *_ = rank_granters(ENDPOINT, cluster.hosts)

    async def end_granter():
        await anyio.sleep(10.0)
        del cluster.routers[first]

    run_in_virtual_time(cluster.run, 60.0, None, end_granter)
    assert cluster.count_most(STABLE_S) <= compute_allowed(4.0)
    recent = sum(1 for at_s in cluster.arrivals if at_s >= 12.0)
    assert recent >= 0.3 * 4.0 * (DURATION_S - 12.0)


def test_a_router_that_joins_keeps_the_sum():
    cluster = LimitCluster(5, 6, 4.0)

    async def join():
        for number in range(6, 12):
            await anyio.sleep(3.0)
            cluster.add_router(f"front-{number}")
            cluster.register()

    run_in_virtual_time(cluster.run, 60.0, None, join)
    assert cluster.count_most(STABLE_S) <= compute_allowed(4.0)


def test_requests_return_soon_after_an_endpoint_stops_naming_a_limit():
    cluster = LimitCluster(6, 6, 4.0)

    async def lift():
        await anyio.sleep(20.0)
        cluster.rate_per_s = None

    run_in_virtual_time(cluster.run, 60.0, None, lift)
    later = sum(1 for at_s in cluster.arrivals if 25.0 <= at_s < 35.0)
    assert later >= 0.9 * 600


def test_an_endpoint_without_a_limit_needs_no_permit():
    limits = EndpointLimits()
    limits.record_answer(ENDPOINT, None, 1.0)
    assert not limits.named
    assert limits.grant(ENDPOINT, 0, 1.0) == 0.0


def test_a_limit_that_a_peer_has_reported_is_not_reported_again():
    limits, peer = EndpointLimits(), EndpointLimits()
    assert limits.record_answer(ENDPOINT, 3.0, 10.0)
    assert limits.must_report()
    peer.merge(limits.make_report(10.0), 10.1)
    assert peer.get_rate(ENDPOINT) == 3.0
    assert not limits.must_report()
    assert not peer.must_report()


@pytest.mark.parametrize(
    ("rank", "rate_per_s", "age_ms"),
    [(2, 3.0, 0), (-1, 3.0, 0), (0, 0.0, 0), (0, float("nan"), 0), (0, 3.0, -1)],
)
def test_a_message_with_values_out_of_range_does_not_stop_a_router(
    rank, rate_per_s, age_ms
):
    limit = SharedLimit(rate_per_s, age_ms)
    request = PermitRequest("front-1", 7, ENDPOINT, rank, limit)
    data = msgspec.msgpack.encode(PeerDatagram("token", request))
    assert decode_peer_datagram(data, "token") is None


def test_an_older_answer_does_not_replace_a_newer_one():
    limits = EndpointLimits()
    limits.record_answer(ENDPOINT, 3.0, 10.0)
    assert limits.merge({ENDPOINT: SharedLimit(None, 500)}, 10.2) == []
    assert limits.get_rate(ENDPOINT) == 3.0
    assert limits.merge({ENDPOINT: SharedLimit(None, 100)}, 10.2) == [ENDPOINT]
    assert limits.get_rate(ENDPOINT) is None
