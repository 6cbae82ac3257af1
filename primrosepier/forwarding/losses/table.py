"""Decisions on which replicas are probed, count as lost and are reported.

Time, failures and the results of probes are given, so that there is no I/O here.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from ...ids import EndpointId, HostId
from ..fleet import Replica
from .messages import MAX_REPORTED, ReportedLoss

__all__ = ["LostReplica", "LossTable", "ProbeResult", "UNREACHABLE_FAILURES"]

# Consecutive connection failures after which a replica counts as lost. Its unresponsive
# calls are then aborted, to be retried on other replicas.
UNREACHABLE_FAILURES = 2
# Time between a failed probe of a suspect and the next one, seconds.
PROBE_PAUSE_S = 0.05
# Shortest time between two probes of a replica because of what others report, seconds:
# many routers find the same loss.
HEARD_PAUSE_S = 1.0
# Time within which the routers that have no call at a replica probe it after a report,
# seconds, so that a false report does not bring hundreds of connections at once.
HEARD_SPREAD_S = 0.3
# Probes at the same time, which hold one descriptor each.
MAX_PROBES = 64
# Reports that name a loss, since a datagram may be lost, and the time between them,
# seconds: that between two reports of a member of a group.
REPORTS = 3
REPORT_PAUSE_S = 0.25
# Time after which a replica no longer counts as lost, seconds: its store entry has
# expired, and connections to it have timed out.
LOST_TTL_S = 10.0


class ProbeResult(Enum):
    """What a probe has shown."""

    ACCEPTED = "a suspect accepts connections"
    SUSPECTED = "a suspect has to be probed again"
    LOST = "a suspect is lost"
    STILL_LOST = "a lost replica is still lost"
    REACHED = "a lost replica accepts connections again"


@dataclass(slots=True)
class _Suspect:
    """A replica that is to be probed.

    Parameters
    ----------
    failures : int
        Failures that were seen; a report by another router counts as one.
    reporter : HostId
        Router that reported the loss; empty if this router has seen a failure itself.
    """

    replica: Replica
    failures: int
    due_at_s: float
    reporter: HostId = HostId("")


@dataclass(slots=True)
class LostReplica:
    """A replica that counts as lost.

    Parameters
    ----------
    reporter : HostId
        Router that reported the loss; empty if this router found it.
    reports : int
        Reports that are still to name the loss.
    """

    replica: Replica
    lost_at_s: float
    probe_at_s: float
    reporter: HostId = HostId("")
    reports: int = 0
    report_at_s: float = float("-inf")


@dataclass(slots=True)
class LossTable:
    """Replicas that are suspected to be lost, and those that are.

    Parameters
    ----------
    spread : callable
        Returns a random number between the given bounds.

    Attributes
    ----------
    probing : set of EndpointId
        Replicas whose probe is in progress.
    heard_at_s : dict of EndpointId to float
        When replicas were last suspected because of a report, seconds.
    """

    spread: Callable[[float, float], float]
    suspects: dict[EndpointId, _Suspect] = field(default_factory=dict)
    lost: dict[EndpointId, LostReplica] = field(default_factory=dict)
    probing: set[EndpointId] = field(default_factory=set)
    heard_at_s: dict[EndpointId, float] = field(default_factory=dict)

    def record_failed(self, replica: Replica, failures: int, now_s: float) -> bool:
        """Record a failure to reach a replica; return whether it is lost from now on.

        Parameters
        ----------
        failures : int
            Consecutive failures, with this one; 0 for a connection that broke off
            during a response.
        """
        if replica.id in self.lost:
            return False
        if failures >= UNREACHABLE_FAILURES:
            self._add_lost(replica, HostId(""), now_s)
            return True
        known = self.suspects.get(replica.id)
        failures = max(failures, known.failures if known is not None else 0)
        self.suspects[replica.id] = _Suspect(replica, failures, now_s)
        return False

    def hear(
        self,
        reporter: HostId,
        losses: Iterable[ReportedLoss],
        replicas: Mapping[EndpointId, Replica],
        busy: Callable[[EndpointId], bool],
        now_s: float,
    ) -> None:
        """Suspect the replicas that another router has reported as lost.

        Parameters
        ----------
        replicas : Mapping of EndpointId to Replica
            The registered replicas.
        busy : callable
            Returns whether this router has calls in progress at a replica, which is
            then probed at once.
        """
        for loss in losses:
            replica = replicas.get(loss.endpoint)
            if replica is None or replica.born_ms != loss.born_ms:
                continue
            lost = self.lost.get(loss.endpoint)
            if lost is not None:
                # The others have heard of it, too.
                lost.reports = 0
                continue
            heard_at_s = self.heard_at_s.get(loss.endpoint, float("-inf"))
            if loss.endpoint in self.suspects or now_s < heard_at_s + HEARD_PAUSE_S:
                continue
            delay_s = 0.0 if busy(loss.endpoint) else self.spread(0.0, HEARD_SPREAD_S)
            self.heard_at_s[loss.endpoint] = now_s
            self.suspects[loss.endpoint] = _Suspect(
                replica, UNREACHABLE_FAILURES - 1, now_s + delay_s, reporter
            )

    def take_due(self, now_s: float) -> list[Replica]:
        """Return the replicas that are to be probed now, suspects first."""
        due = [x.replica for x in self.suspects.values() if x.due_at_s <= now_s]
        due += [x.replica for x in self.lost.values() if x.probe_at_s <= now_s]
        due = [x for x in due if x.id not in self.probing]
        due = due[: max(0, MAX_PROBES - len(self.probing))]
        self.probing.update(x.id for x in due)
        return due

    def compute_delay_s(self, now_s: float) -> float:
        """Return the time until the next probe is due, seconds."""
        if len(self.probing) >= MAX_PROBES:
            return float("inf")
        times_s = [
            x.due_at_s
            for x in self.suspects.values()
            if x.replica.id not in self.probing
        ]
        times_s += [
            x.probe_at_s for x in self.lost.values() if x.replica.id not in self.probing
        ]
        return max(0.0, min(times_s, default=float("inf")) - now_s)

    def record_probe(
        self, replica: Replica, accepted: bool, now_s: float
    ) -> tuple[ProbeResult, HostId]:
        """Apply the result of a probe.

        Returns
        -------
        (ProbeResult, HostId)
            What it shows, and the router that had reported the loss; empty for none.
        """
        self.probing.discard(replica.id)
        lost = self.lost.get(replica.id)
        if lost is not None:
            if accepted:
                del self.lost[replica.id]
                return ProbeResult.REACHED, lost.reporter
            return ProbeResult.STILL_LOST, lost.reporter
        suspect = self.suspects.pop(replica.id, None)
        if suspect is None or accepted:
            reporter = HostId("") if suspect is None else suspect.reporter
            return ProbeResult.ACCEPTED, reporter
        failures = suspect.failures + 1
        if failures >= UNREACHABLE_FAILURES:
            self._add_lost(replica, suspect.reporter, now_s)
            return ProbeResult.LOST, suspect.reporter
        due_at_s = now_s + PROBE_PAUSE_S
        self.suspects[replica.id] = _Suspect(replica, failures, due_at_s)
        return ProbeResult.SUSPECTED, HostId("")

    def _add_lost(self, replica: Replica, reporter: HostId, now_s: float) -> None:
        self.suspects.pop(replica.id, None)
        lost = LostReplica(replica, now_s, float("inf"), reporter)
        heard_at_s = self.heard_at_s.get(replica.id, float("-inf"))
        if not reporter and now_s >= heard_at_s + HEARD_PAUSE_S:
            lost.reports, lost.report_at_s = REPORTS, now_s
        self.lost[replica.id] = lost

    def schedule_probe(self, endpoint: EndpointId, at_s: float) -> None:
        """Set when a lost replica is probed again."""
        lost = self.lost.get(endpoint)
        if lost is not None:
            lost.probe_at_s = at_s

    def must_report(self, now_s: float) -> bool:
        """Return whether a loss is to be reported now."""
        return any(x.reports and x.report_at_s <= now_s for x in self.lost.values())

    def make_report(self, now_s: float) -> Sequence[ReportedLoss]:
        """Return the losses to report, and count them as reported."""
        reported = [x for x in self.lost.values() if x.reports][:MAX_REPORTED]
        for lost in reported:
            if lost.report_at_s <= now_s:
                lost.reports -= 1
                lost.report_at_s = now_s + REPORT_PAUSE_S
        return [ReportedLoss(x.replica.id, x.replica.born_ms) for x in reported]

    def drop(self, endpoint: EndpointId) -> LostReplica | None:
        """Remove and return a lost replica, as it has answered."""
        return self.lost.pop(endpoint, None)

    def expire(
        self, replicas: Mapping[EndpointId, Replica], now_s: float
    ) -> list[EndpointId]:
        """Drop what no longer concerns a registered process.

        A lost replica is kept after its entry has disappeared, as calls may still wait
        for it, but not once another process has registered in its place.

        Returns
        -------
        list of EndpointId
            The lost replicas that have another process now.
        """

        def is_replaced(replica: Replica) -> bool:
            return replicas.get(replica.id, replica).born_ms != replica.born_ms

        for endpoint, suspect in list(self.suspects.items()):
            if is_replaced(suspect.replica):
                del self.suspects[endpoint]
        replaced = [x for x, lost in self.lost.items() if is_replaced(lost.replica)]
        for endpoint, lost in list(self.lost.items()):
            if endpoint in replaced or now_s >= lost.lost_at_s + LOST_TTL_S:
                del self.lost[endpoint]
        for endpoint, heard_at_s in list(self.heard_at_s.items()):
            if now_s >= heard_at_s + HEARD_PAUSE_S:
                del self.heard_at_s[endpoint]
        return replaced

    def clear(self) -> None:
        """Forget everything: this router is cut off, so that no failure counts."""
        self.suspects.clear()
        self.lost.clear()
