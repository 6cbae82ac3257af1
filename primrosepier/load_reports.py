"""Polls the load of endpoints, and exchanges it with other routers in digests."""

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random

import anyio
import httpcore
import msgspec
import xxhash

from .board import Board, SectionWriter
from .clocks import Clock
from .configuration import Configuration, Endpoint, ServiceKind
from .decoding import decode_msgpack
from .endpoint_client import EndpointCall, EndpointClient, is_leaving
from .errors import MessageError
from .gossip import Gossip
from .hash_ring import Ring, make_ring
from .ids import EndpointId, HostId
from .loads import EndpointLoad

__all__ = [
    "LoadReports",
    "choose_pollers",
    "compute_publish_interval",
    "make_router_ring",
    "parse_load",
]

DIGEST_NAME = "load"
POLL_S = 1.0
TARGET_POLLS_PER_S = 8
POLL_TIMEOUT_S = 1.0
MAX_METRICS_BYTES = 1024 * 1024
MS_PER_S = 1000
DIGEST_BUDGET_BYTES_PER_S = 600
TYPICAL_DIGEST_BYTES = 100
MIN_PUBLISH_INTERVAL_S = 2.0
LOAD_LINE = re.compile(
    rb"^(?:\w+:)?num_requests_(running|waiting)(?:\{[^}]*\})? ([0-9.eE+]+)", re.M
)


class SharedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one endpoint in a digest."""

    endpoint: EndpointId
    running: int = 0
    waiting: int = 0
    age_ms: int = 0


def parse_load(data: bytes, now_s: float) -> EndpointLoad | None:
    """Return the load in a Prometheus text, or None if it cannot be read."""
    counts = {"running": 0, "waiting": 0}
    has_counts = False
    for name, value in LOAD_LINE.findall(data):
        try:
            counts[name.decode()] += int(float(value))
        except (ValueError, OverflowError):
            return None
        has_counts = True
    if not has_counts:
        return None
    return EndpointLoad(counts["running"], counts["waiting"], now_s)


def choose_pollers(
    endpoint: EndpointId, routers: list[HostId], endpoints: int
) -> list[HostId]:
    """Return the routers that poll an endpoint's load.

    Each router polls at most about ``TARGET_POLLS_PER_S`` endpoints, or more where
    there are too few routers for that, since each endpoint is polled by at least one.
    Where there are no more than ``TARGET_POLLS_PER_S`` endpoints, every router polls
    all of them.
    """
    count = max(1, TARGET_POLLS_PER_S * len(routers) // max(1, endpoints))
    if count >= len(routers):
        return routers
    ring = make_router_ring(tuple(routers))
    key = xxhash.xxh64_intdigest(endpoint.encode())
    return [HostId(host) for host in ring.walk(key, count)]


@lru_cache(maxsize=2)
def make_router_ring(routers: tuple[HostId, ...]) -> Ring:
    """Return the hash ring of routers, cached for the last two sets of routers."""
    return make_ring(EndpointId(host) for host in routers)


def compute_publish_interval(routers: int) -> float:
    """Return the interval in seconds between a router's digests of one name.

    The interval grows with the fleet, so that the digests of all routers together stay
    within ``DIGEST_BUDGET_BYTES_PER_S`` at ``TYPICAL_DIGEST_BYTES`` each.
    """
    return max(
        MIN_PUBLISH_INTERVAL_S,
        routers * TYPICAL_DIGEST_BYTES / DIGEST_BUDGET_BYTES_PER_S,
    )


@dataclass(slots=True)
class LoadReports:
    """Polls endpoints, and merges the loads that other routers publish.

    Parameters
    ----------
    observe_leaving : callable
        Called for each response with its endpoint and whether the endpoint announces
        that it is leaving.
    own_loads : dict of EndpointId to EndpointLoad
        Loads that this router polled.
    polled_key : tuple or None
        Configuration and live routers for which ``polled`` was chosen.
    """

    board: Board
    writer: SectionWriter[dict[EndpointId, EndpointLoad]]
    client: EndpointClient
    gossip: Gossip
    observe_leaving: Callable[[EndpointId, bool], None]
    clock: Clock = time.monotonic
    random: Random = field(default_factory=Random)
    own_loads: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    published_at_s: float = float("-inf")
    polled: list[Endpoint] = field(default_factory=list)
    polled_key: tuple[Configuration, frozenset[HostId]] | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(POLL_S * self.random.uniform(0.8, 1.0))

    async def poll(self) -> None:
        """Poll this router's share of the endpoints once."""
        async with anyio.create_task_group() as group:
            for endpoint in self.list_polled():
                group.start_soon(self._poll, endpoint)
        self.update(self.clock())

    def list_polled(self) -> list[Endpoint]:
        """Return the endpoints that this router polls.

        The list is cached until the configuration or the live routers change.
        """
        configuration = self.board.configuration.value
        if configuration is None:
            return []
        live = frozenset(self.gossip.membership.list_live())
        last = self.polled_key
        if last is None or last[0] is not configuration or last[1] != live:
            self.polled = self._choose_polled(configuration, live)
            self.polled_key = (configuration, live)
        return self.polled

    def _choose_polled(
        self, configuration: Configuration, live: frozenset[HostId]
    ) -> list[Endpoint]:
        engines = [
            endpoint
            for endpoint in configuration.endpoints.values()
            if configuration.services[endpoint.service].kind is ServiceKind.ENGINE
        ]
        own_host = HostId(self.gossip.membership.own_record.host)
        routers = sorted({own_host, *live})
        return [
            endpoint
            for endpoint in engines
            if own_host in choose_pollers(endpoint.id, routers, len(engines))
        ]

    async def _poll(self, endpoint: Endpoint) -> None:
        call = EndpointCall(
            endpoint.address, "GET", "/metrics", (), b"", POLL_TIMEOUT_S, POLL_TIMEOUT_S
        )
        try:
            with anyio.fail_after(POLL_TIMEOUT_S):
                async with self.client.open(call) as response:
                    self.observe_leaving(endpoint.id, is_leaving(response.headers))
                    data = b""
                    async for part in response.aiter_stream():
                        data += part
                        if len(data) > MAX_METRICS_BYTES:
                            return
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            return
        except httpcore.TimeoutException:
            return
        load = parse_load(data, self.clock())
        if load is not None:
            self.own_loads[endpoint.id] = load

    def update(self, now_s: float) -> None:
        """Write the latest loads to the board, and publish this router's when due."""
        merged = dict(self.board.load.value)
        merged.update(self.own_loads)
        for digest in self.gossip.membership.digests.read(DIGEST_NAME, now_s).values():
            if digest.record.host != self.gossip.membership.own_record.host:
                _merge_shared(merged, digest.record.data, digest.received_at_s)
        self.writer.write(merged, now_s)
        routers = 1 + len(self.board.peers.value)
        interval_s = compute_publish_interval(routers)
        if now_s - self.published_at_s >= interval_s and self._needs_sharing(routers):
            self._publish(now_s, interval_s)

    def _needs_sharing(self, routers: int) -> bool:
        configuration = self.board.configuration.value
        if configuration is None or routers == 1:
            return False
        return (
            TARGET_POLLS_PER_S * routers // max(1, len(configuration.endpoints))
            < routers
        )

    def _publish(self, now_s: float, interval_s: float) -> None:
        self.published_at_s = now_s
        shared = [
            SharedLoad(
                endpoint,
                load.running,
                load.waiting,
                int((now_s - load.reported_at_s) * MS_PER_S),
            )
            for endpoint, load in self.own_loads.items()
            if now_s - load.reported_at_s < interval_s
        ]
        data = msgspec.msgpack.encode(shared)
        digests = self.gossip.membership.digests
        digests.publish(DIGEST_NAME, data, 2 * interval_s, now_s)


def _merge_shared(
    merged: dict[EndpointId, EndpointLoad], data: bytes, received_at_s: float
) -> None:
    try:
        shared = decode_msgpack(data, list[SharedLoad])
    except MessageError:
        return
    for entry in shared:
        reported_at_s = received_at_s - entry.age_ms / MS_PER_S
        latest = merged.get(entry.endpoint)
        if latest is None or latest.reported_at_s < reported_at_s:
            load = EndpointLoad(entry.running, entry.waiting, reported_at_s)
            merged[entry.endpoint] = load
