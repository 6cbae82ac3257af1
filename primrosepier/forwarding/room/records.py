"""Log events of the admission of long prompts."""

from typing import ClassVar

from ...ids import EndpointId, RequestId, ServiceId
from ...log_events import Event

__all__ = ["ROOM_EVENT", "PrefillRejected", "PrefillWaited", "ReplicasDivided"]


class PrefillWaited(Event, frozen=True):
    """A call with a long prompt waited in its router before it was sent.

    Parameters
    ----------
    wait_s : float
        Time for which it waited, seconds.
    asked : int
        Replicas whose granters had refused a permit.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    endpoint: EndpointId
    tokens: int
    wait_s: float
    asked: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"{self.request} waited {self.wait_s:.3f} s until {self.endpoint} had room"
            f" for {self.tokens} tokens"
        )


class PrefillRejected(Event, frozen=True):
    """A call was rejected, since it would have begun too late.

    Parameters
    ----------
    endpoint : EndpointId
        Replica that would have had room first.
    wait_s : float
        Time until then, seconds.
    remaining_s : float
        Time until the call's deadline, seconds.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    endpoint: EndpointId
    tokens: int
    wait_s: float
    remaining_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"rejected {self.request}: {self.endpoint} has room for {self.tokens}"
            f" tokens in {self.wait_s:.3f} s, its deadline is in"
            f" {self.remaining_s:.3f} s"
        )


class ReplicasDivided(Event, frozen=True):
    """The number of a service's replicas that are left to short prompts has changed.

    Parameters
    ----------
    short : int
        Replicas for short prompts alone; 0 if both kinds use all.
    short_per_s, long_per_s : float
        Prompt tokens to compute per second, over all routers.
    """

    part: ClassVar[str] = "forward"
    service: ServiceId
    short: int
    replicas: int
    short_per_s: float
    long_per_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if not self.short:
            return f"short and long prompts use all replicas of {self.service}"
        return (
            f"leaves {self.short} of {self.replicas} replicas of {self.service} to"
            f" short prompts: {self.short_per_s:.0f} and {self.long_per_s:.0f} tokens/s"
        )


ROOM_EVENT = PrefillRejected | PrefillWaited | ReplicasDivided
