"""Load reported by endpoints."""

from dataclasses import dataclass

__all__ = ["EndpointLoad"]


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Last reported load of one endpoint.

    Parameters
    ----------
    running, waiting : int
        Requests in the endpoint's running batch and in its queue.
    reported_at_s : float
        Monotonic time in seconds when the report was received.
    """

    running: int
    waiting: int
    reported_at_s: float
