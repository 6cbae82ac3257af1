"""Log events of lost replicas."""

from typing import ClassVar

from ...ids import EndpointId, HostId
from ...log_events import Event

__all__ = ["LOSS_EVENT", "LossUnconfirmed", "ReplicaLost", "ReplicaReached"]


class ReplicaLost(Event, frozen=True):
    """A replica counts as lost: connections to it failed twice, or a report said so.

    Parameters
    ----------
    born_ms : int
        Start of the replica's process, Unix milliseconds; 0 if unknown.
    reporter : HostId
        Router whose report was confirmed by a failed probe; empty if this router found
        the loss itself.
    """

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    born_ms: int
    reporter: HostId = HostId("")

    def describe(self) -> str:
        """Return the event as one short sentence."""
        source = f", as {self.reporter} reported" if self.reporter else ""
        return f"{self.endpoint} accepts no connections{source}"


class LossUnconfirmed(Event, frozen=True):
    """A replica that another router reported as lost accepts connections here.

    Parameters
    ----------
    reporter : HostId
        Router that reported the loss.
    """

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    reporter: HostId

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{self.endpoint} accepts connections; {self.reporter} said it does not"


class ReplicaReached(Event, frozen=True):
    """A replica that counted as lost is reached again.

    Parameters
    ----------
    lost_s : float
        Time for which it counted as lost, seconds.
    """

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    lost_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{self.endpoint} is reached again after {self.lost_s:.1f} s"


LOSS_EVENT = LossUnconfirmed | ReplicaLost | ReplicaReached
