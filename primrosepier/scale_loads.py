"""Costs of polling the replicas' load and sharing it among routers."""

import random
from typing import cast

import msgspec

from .board import make_board
from .endpoint_client import make_endpoint_client
from .gossip import Gossip
from .ids import EndpointId, HostId
from .load_reports import LoadReports, SharedLoad, make_router_ring
from .membership import make_membership
from .messages import DigestRecord, Exchange
from .scale_control import NODES, make_configuration, make_record
from .scale_fits import Slope, fit_slope, measure_cpu

__all__ = ["measure_loads"]

REPLICAS_PER_NODE = 4
DIGEST_TTL_MS = 600_000
AXIS = "nodes, with 4 replicas each"


class _GossipStub:
    """The part of `Gossip` that load reports use."""

    def __init__(self, nodes: int):
        self.membership = make_membership(make_record(0), random.Random(1))
        for number in range(1, nodes):
            self.membership.receive(Exchange(make_record(number)), 0.0)


def measure_loads() -> list[Slope]:
    """Return the slopes of load reports on one node."""
    choice_cpu, check_cpu, merge_cpu = [], [], []
    for nodes in NODES:
        reports = _make_reports(nodes)

        def choose_polled(reports: LoadReports = reports) -> None:
            reports.polled_key = None
            make_router_ring.cache_clear()
            reports.list_polled()

        x = float(nodes)
        choice_cpu.append((x, measure_cpu(choose_polled, 1)))
        check_cpu.append((x, measure_cpu(reports.list_polled, 50)))
        merge_cpu.append((x, measure_cpu(lambda r=reports: r.update(1.0), 5)))  # type: ignore[misc]
    return [
        fit_slope("poll_choice_cpu", AXIS, "s a change", choice_cpu),
        fit_slope("poll_check_cpu", AXIS, "s a second", check_cpu),
        fit_slope("shared_load_cpu", AXIS, "s a second", merge_cpu),
    ]


def _make_reports(nodes: int) -> LoadReports:
    gossip = _GossipStub(nodes)
    _share_loads(gossip, nodes)
    board = make_board()
    configuration = make_configuration(nodes * REPLICAS_PER_NODE, 8)
    board.configuration.take_writer("bench").write(configuration, 0.0)
    return LoadReports(
        board,
        board.load.take_writer("bench"),
        make_endpoint_client(),
        cast(Gossip, gossip),
        lambda endpoint, leaving: None,
    )


def _share_loads(gossip: _GossipStub, nodes: int) -> None:
    """Receive one digest of loads from each other router."""
    for number in range(1, nodes):
        first = number * REPLICAS_PER_NODE
        loads = [
            SharedLoad(EndpointId(f"endpoint-{first + n:05d}"), 5, 1, 100)
            for n in range(REPLICAS_PER_NODE)
        ]
        data = msgspec.msgpack.encode(loads)
        host = HostId(f"entry-{number:04d}")
        record = DigestRecord("load", host, 1, 1, ttl_ms=DIGEST_TTL_MS, data=data)
        gossip.membership.digests.receive(record, 0.0)
