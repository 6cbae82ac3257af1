"""Load that endpoints report and load that this router caused."""

from dataclasses import dataclass

__all__ = ["EndpointLoad"]


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load of one endpoint as last reported.

    Parameters
    ----------
    running, waiting : int
        Requests in the endpoint's batch and in its queue.
    reported_at_s : float
        Monotonic time at which the report arrived, seconds.
    """

    running: int
    waiting: int
    reported_at_s: float
