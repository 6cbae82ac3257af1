"""Polls the load that endpoints report, and shares it among routers."""

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
from .engines import EndpointCall, EndpointClient, is_leaving
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

DIGEST = "load"
POLL_S = 1.0
POLLS_PER_S = 8
POLL_TIMEOUT_S = 1.0
MAX_METRICS_BYTES = 1024 * 1024
MS_PER_S = 1000
DIGEST_BYTES_PER_S = 600
DIGEST_BYTES = 100
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
    """Return the load found in Prometheus text, or None."""
    found = {"running": 0, "waiting": 0}
    found_any = False
    for name, value in LOAD_LINE.findall(data):
        try:
            found[name.decode()] += int(float(value))
        except (ValueError, OverflowError):
            return None
        found_any = True
    if not found_any:
        return None
    return EndpointLoad(found["running"], found["waiting"], now_s)


def choose_pollers(
    endpoint: EndpointId, routers: list[HostId], endpoints: int
) -> list[HostId]:
    """Return the routers that poll an endpoint's load.

    Each router polls at most about ``POLLS_PER_S`` endpoints. In a small fleet every
    router polls every endpoint.
    """
    count = max(1, POLLS_PER_S * len(routers) // max(1, endpoints))
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
    """Return the interval between a router's digests, seconds.

    It grows with the fleet, so that the digests of all routers stay within
    ``DIGEST_BYTES_PER_S``.
    """
    return max(MIN_PUBLISH_INTERVAL_S, routers * DIGEST_BYTES / DIGEST_BYTES_PER_S)


@dataclass(slots=True)
class LoadReports:
    """Polls endpoints and merges the reports of other routers.

    Parameters
    ----------
    observe_leaving : callable
        Called for each response with its endpoint and whether the endpoint announces
        that it is leaving.
    """

    board: Board
    writer: SectionWriter[dict[EndpointId, EndpointLoad]]
    client: EndpointClient
    gossip: Gossip
    observe_leaving: Callable[[EndpointId, bool], None]
    clock: Clock = time.monotonic
    random: Random = field(default_factory=Random)
    own: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    published_at_s: float = float("-inf")
    polled: list[Endpoint] = field(default_factory=list)
    polled_for: tuple[Configuration, frozenset[HostId]] | None = None

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
        last = self.polled_for
        if last is None or last[0] is not configuration or last[1] != live:
            self.polled = self._choose_polled(configuration, live)
            self.polled_for = (configuration, live)
        return self.polled

    def _choose_polled(
        self, configuration: Configuration, live: frozenset[HostId]
    ) -> list[Endpoint]:
        engines = [
            endpoint
            for endpoint in configuration.endpoints.values()
            if configuration.services[endpoint.service].kind is ServiceKind.ENGINE
        ]
        own = HostId(self.gossip.membership.own_record.host)
        routers = sorted({own, *live})
        return [
            endpoint
            for endpoint in engines
            if own in choose_pollers(endpoint.id, routers, len(engines))
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
            self.own[endpoint.id] = load

    def update(self, now_s: float) -> None:
        """Write the newest reports to the board, and publish own ones when due."""
        merged = dict(self.board.load.value)
        merged.update(self.own)
        for digest in self.gossip.membership.digests.read(DIGEST, now_s).values():
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
        return POLLS_PER_S * routers // max(1, len(configuration.endpoints)) < routers

    def _publish(self, now_s: float, interval_s: float) -> None:
        self.published_at_s = now_s
        shared = [
            SharedLoad(
                endpoint,
                load.running,
                load.waiting,
                int((now_s - load.reported_at_s) * MS_PER_S),
            )
            for endpoint, load in self.own.items()
            if now_s - load.reported_at_s < interval_s
        ]
        data = msgspec.msgpack.encode(shared)
        digests = self.gossip.membership.digests
        digests.publish(DIGEST, data, 2 * interval_s, now_s)


def _merge_shared(
    merged: dict[EndpointId, EndpointLoad], data: bytes, received_at_s: float
) -> None:
    try:
        shared = msgspec.msgpack.decode(data, type=list[SharedLoad])
    except msgspec.DecodeError:
        return
    for entry in shared:
        reported_at_s = received_at_s - entry.age_ms / MS_PER_S
        latest = merged.get(entry.endpoint)
        if latest is None or latest.reported_at_s < reported_at_s:
            load = EndpointLoad(entry.running, entry.waiting, reported_at_s)
            merged[entry.endpoint] = load
