"""When the reports of another router were sent, by this router's clock."""

from dataclasses import dataclass, field

from ...ids import WorkspaceId
from .reports import QuotaReport

__all__ = ["MS", "PeerRun", "make_peer_run"]

# Largest drift of two hosts' clocks that is expected; part of the time between reports.
CLOCK_DRIFT = 0.0005
MS = 0.001


@dataclass(slots=True)
class PeerRun:
    """Another router's run of its process.

    Parameters
    ----------
    clock_base_s : float
        Time at which its run began by this router's clock, if the fastest of its
        reports took no time.
    applied_at_s, heard_at_s : float
        When its last report was received, and when it was sent.
    reports : int
        Reports that were received since it was silent.
    former_run : int
        The run before this one, whose delayed reports are ignored.
    """

    run: int
    uptime_ms: int
    clock_base_s: float
    applied_at_s: float
    heard_at_s: float
    reports: int = 0
    former_run: int = -1
    workspaces: set[WorkspaceId] = field(default_factory=set)

    def record_report(self, uptime_ms: int, now_s: float) -> tuple[float, float]:
        """Record the time of a report that is newer than the last one.

        Returns
        -------
        tuple of float
            Time since the last report by the clocks of its sender and of this router,
            seconds.
        """
        started_at_s = now_s - uptime_ms * MS
        drift_s = CLOCK_DRIFT * (now_s - self.applied_at_s)
        self.clock_base_s = min(self.clock_base_s + drift_s, started_at_s)
        self.heard_at_s = self.clock_base_s + uptime_ms * MS
        interval_s = (uptime_ms - self.uptime_ms) * MS
        age_s = now_s - self.applied_at_s
        self.uptime_ms, self.applied_at_s = uptime_ms, now_s
        return interval_s, age_s


def make_peer_run(report: QuotaReport, former_run: int, now_s: float) -> PeerRun:
    """Return the state of a router that is heard for the first time in its run."""
    started_at_s = now_s - report.uptime_ms * MS
    times = (started_at_s, now_s, now_s)
    return PeerRun(report.run, report.uptime_ms, *times, former_run=former_run)
