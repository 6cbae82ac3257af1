"""Groups of routers whose collectors pass their reports on.

Among few routers each one reports to each other. Among many, the datagrams of all to
all cost more than what they tell. There, each router reports to the collectors of its
group. These pass the reports on to the other groups of their failure domain and to one
group of each other domain, which passes them on within it; all of them pass what they
receive on to their members. The two collectors of a group work side by side, so that
the end of one loses nothing.
"""

import hashlib
import math
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ..decoding import decode_msgpack
from ..errors import MessageError
from ..host_ranking import rank_hosts
from ..ids import FailureDomain, HostId

__all__ = [
    "CollectedReports",
    "GroupReport",
    "Reach",
    "ReportCollector",
    "ReportPlan",
    "pack_reports",
    "plan_reports",
    "unpack_reports",
]

# Smallest number of routers that form groups.
MIN_ROUTERS = 24
COLLECTORS = 2
# Reports in a datagram, bytes before compression: few packets, as the loss of one loses
# them all.
MAX_COLLECTED_BYTES = 8000
# Longest datagram after decompression, bytes: one report may be longer than the rest.
MAX_UNPACKED_BYTES = 64 * 1024
# The fastest level of zlib; the ids of replicas repeat in all reports.
COMPRESSION_LEVEL = 1
# Reports that wait to be passed on; older ones are dropped.
MAX_WAITING = 2000
# Reports that are remembered to recognize copies.
MAX_SEEN = 2000


class GroupReport(msgspec.Struct, frozen=True, tag="group_report"):
    """A report of a member of a group, for its collector to pass on."""

    report: bytes


class Reach(Enum):
    """Whom the receiver of reports passes them on to."""

    ROUTER = "router"
    GROUP = "group"
    DOMAIN = "domain"


class CollectedReports(msgspec.Struct, frozen=True, tag="collected"):
    """Reports that a collector passes on.

    Parameters
    ----------
    packed : bytes
        The reports, as `pack_reports` returns them.
    reach : Reach
        Whether the receiver keeps them to itself, passes them on to the members of its
        group, or also to the other groups of its failure domain.
    """

    packed: bytes
    reach: Reach


def pack_reports(reports: Sequence[bytes]) -> bytes:
    """Return reports in compressed form."""
    return zlib.compress(msgspec.msgpack.encode(reports), COMPRESSION_LEVEL)


def unpack_reports(packed: bytes) -> list[bytes]:
    """Return the reports that were packed.

    Raises
    ------
    MessageError
        The data is not compressed, too long, or holds no reports.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as cause:
        raise MessageError(str(cause)) from cause
    if not decompressor.eof:
        raise MessageError("compressed reports are cut off or too long")
    return decode_msgpack(data, list[bytes])


@dataclass(frozen=True, slots=True)
class ReportPlan:
    """Whom a router reports to, and whose reports it passes on to whom.

    Parameters
    ----------
    collectors : tuple of HostId
        The collectors of its group, other than itself.
    is_collector : bool
        Whether it is one.
    members : tuple of HostId
        The other members of its group if it is a collector.
    neighbours : tuple of HostId
        The collectors of the other groups of its failure domain that it passes reports
        on to.
    remote : tuple of HostId
        One collector in each other failure domain.
    """

    collectors: tuple[HostId, ...]
    is_collector: bool = False
    members: tuple[HostId, ...] = ()
    neighbours: tuple[HostId, ...] = ()
    remote: tuple[HostId, ...] = ()


def plan_reports(
    host: HostId, domains: Mapping[HostId, FailureDomain | None]
) -> ReportPlan | None:
    """Return the plan of a router; None if all routers report to each other.

    Routers with the same list of routers find the same groups. Groups lie within a
    failure domain, so that few reports cross from one to another.

    Parameters
    ----------
    domains : Mapping of HostId to FailureDomain or None
        Failure domains of all routers, this one included; None for a router of a build
        that passes no reports on.
    """
    if len(domains) < MIN_ROUTERS or None in domains.values():
        return None
    groups = _make_groups(domains)
    collectors = {x: rank_hosts(x, hosts)[:COLLECTORS] for x, hosts in groups.items()}
    own_group = next(x for x, hosts in groups.items() if host in hosts)
    others = tuple(x for x in collectors[own_group] if x != host)
    if host not in collectors[own_group]:
        return ReportPlan(others)
    rank = collectors[own_group].index(host)
    peers = {x: ranked[min(rank, len(ranked) - 1)] for x, ranked in collectors.items()}
    by_domain: dict[FailureDomain | None, list[str]] = {}
    for group, hosts in groups.items():
        by_domain.setdefault(domains[hosts[0]], []).append(group)
    own_domain = by_domain.pop(domains[host])
    return ReportPlan(
        others,
        True,
        tuple(x for x in groups[own_group] if x != host),
        tuple(peers[x] for x in own_domain if x != own_group),
        tuple(peers[_choose_group(own_group, x)] for x in by_domain.values()),
    )


def _make_groups(
    domains: Mapping[HostId, FailureDomain | None],
) -> dict[str, list[HostId]]:
    """Divide the routers of each failure domain into groups of about equal size."""
    size = math.sqrt(len(domains))
    by_domain: dict[str, list[HostId]] = {}
    for host in sorted(domains):
        by_domain.setdefault(str(domains[host]), []).append(host)
    groups: dict[str, list[HostId]] = {}
    for domain, hosts in by_domain.items():
        count = max(1, round(len(hosts) / size))
        names = [f"{domain}/{number}" for number in range(count)]
        for host in hosts:
            groups.setdefault(_choose_group(host, names), []).append(host)
    return groups


def _choose_group(key: str, names: Sequence[str]) -> str:
    """Return the group for a router or another group; few change with their number."""

    def compute_score(name: str) -> bytes:
        return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()

    return min(names, key=compute_score)


@dataclass(slots=True)
class ReportCollector:
    """Reports that wait to be passed on.

    Attributes
    ----------
    own : list of bytes
        Reports of this router's group.
    remote : list of bytes
        Reports of other failure domains, for the members and the neighbours.
    neighbours : list of bytes
        Reports that neighbours have passed on, for the members alone.
    seen : dict of bytes to None
        Reports that were received of late, the oldest first.
    """

    own: list[bytes] = field(default_factory=list)
    remote: list[bytes] = field(default_factory=list)
    neighbours: list[bytes] = field(default_factory=list)
    seen: dict[bytes, None] = field(default_factory=dict)

    def is_new(self, report: bytes) -> bool:
        """Return whether a report is new; the two collectors pass on the same ones."""
        if report in self.seen:
            return False
        self.seen[report] = None
        if len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]
        return True

    def add_own(self, report: bytes) -> None:
        """Add a report of a member of the group."""
        self.own.append(report)
        del self.own[:-MAX_WAITING]

    def add_received(self, reports: Sequence[bytes], reach: Reach) -> None:
        """Add reports that a collector of another group has passed on."""
        waiting = self.remote if reach is Reach.DOMAIN else self.neighbours
        waiting.extend(reports)
        del waiting[:-MAX_WAITING]

    def has_waiting(self) -> bool:
        """Return whether there is anything to pass on."""
        return bool(self.own or self.remote or self.neighbours)

    def take(self, plan: ReportPlan) -> list[tuple[HostId, CollectedReports]]:
        """Return what is to be passed on to whom, and forget it."""
        own, remote, neighbours = self.own, self.remote, self.neighbours
        self.own, self.remote, self.neighbours = [], [], []
        messages = []
        for reports, receivers, reach in (
            (own, plan.remote, Reach.DOMAIN),
            ([*own, *remote], plan.neighbours, Reach.GROUP),
            ([*own, *remote, *neighbours], plan.members, Reach.ROUTER),
        ):
            for part in _split(reports) if receivers else ():
                message = CollectedReports(pack_reports(part), reach)
                messages += [(host, message) for host in receivers]
        return messages


def _split(reports: Sequence[bytes]) -> list[tuple[bytes, ...]]:
    """Split reports into parts that fit a datagram."""
    parts: list[list[bytes]] = []
    size = MAX_COLLECTED_BYTES
    for report in reports:
        if size + len(report) > MAX_COLLECTED_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(report)
        size += len(report)
    return [tuple(part) for part in parts]
