"""Groups of routers whose collectors pass their reports on.

Among few routers each one reports to each other. Among many, the datagrams of all to
all cost more than what they tell. There, each router reports to the collectors of its
group; these exchange the reports of their groups and pass all of them on to their
members. The two collectors of a group work side by side, so that the end of one loses
nothing.
"""

import hashlib
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from ..host_ranking import rank_hosts
from ..ids import FailureDomain, HostId

__all__ = [
    "CollectedReports",
    "GroupReport",
    "ReportCollector",
    "ReportPlan",
    "plan_reports",
]

# Smallest number of routers that form groups.
MIN_ROUTERS = 24
COLLECTORS = 2
# Content of a datagram, bytes: few packets, as the loss of one loses them all.
MAX_COLLECTED_BYTES = 8000
# Reports that wait to be passed on; older ones are dropped.
MAX_WAITING = 2000
# Reports that are remembered to recognize copies.
MAX_SEEN = 2000


class GroupReport(msgspec.Struct, frozen=True, tag="group_report"):
    """A report of a member of a group, for its collector to pass on."""

    report: bytes


class CollectedReports(msgspec.Struct, frozen=True, tag="collected"):
    """Reports that a collector passes on.

    Parameters
    ----------
    is_final : bool
        Whether the receiver is a member, which passes them on to no one.
    """

    reports: tuple[bytes, ...]
    is_final: bool


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
    others : tuple of HostId
        The collectors of the other groups with which it exchanges reports.
    """

    collectors: tuple[HostId, ...]
    is_collector: bool = False
    members: tuple[HostId, ...] = ()
    others: tuple[HostId, ...] = ()


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
    plan_rank, own_group = -1, ""
    collectors = {}
    for group, hosts in groups.items():
        ranked = rank_hosts(group, hosts)[:COLLECTORS]
        collectors[group] = ranked
        if host in hosts:
            own_group = group
            plan_rank = ranked.index(host) if host in ranked else -1
    own = tuple(x for x in collectors[own_group] if x != host)
    if plan_rank < 0:
        return ReportPlan(own)
    others = tuple(
        ranked[min(plan_rank, len(ranked) - 1)]
        for group, ranked in collectors.items()
        if group != own_group
    )
    members = tuple(x for x in groups[own_group] if x != host)
    return ReportPlan(own, True, members, others)


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


def _choose_group(host: HostId, names: Sequence[str]) -> str:
    """Return a router's group, which few changes of their number change."""

    def compute_score(name: str) -> bytes:
        return hashlib.blake2b(f"{host}/{name}".encode(), digest_size=8).digest()

    return min(names, key=compute_score)


@dataclass(slots=True)
class ReportCollector:
    """Reports that wait to be passed on.

    Attributes
    ----------
    own : list of bytes
        Reports of this router's group.
    received : list of bytes
        Reports of other groups, for the members alone.
    seen : dict of bytes to None
        Reports that were received of late, the oldest first.
    """

    own: list[bytes] = field(default_factory=list)
    received: list[bytes] = field(default_factory=list)
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

    def add_received(self, reports: Sequence[bytes]) -> None:
        """Add reports that a collector of another group has passed on."""
        self.received.extend(reports)
        del self.received[:-MAX_WAITING]

    def has_waiting(self) -> bool:
        """Return whether there is anything to pass on."""
        return bool(self.own or self.received)

    def take(self, plan: ReportPlan) -> list[tuple[HostId, CollectedReports]]:
        """Return what is to be passed on to whom, and forget it."""
        own, received = self.own, self.received
        self.own, self.received = [], []
        messages = []
        for chunk in _split(own):
            message = CollectedReports(chunk, is_final=False)
            messages += [(host, message) for host in plan.others]
        for chunk in _split([*own, *received]):
            message = CollectedReports(chunk, is_final=True)
            messages += [(host, message) for host in plan.members]
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
