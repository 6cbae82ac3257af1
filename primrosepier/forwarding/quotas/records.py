"""Log events of quotas."""

from typing import ClassVar

from ...ids import RequestId, WorkspaceId
from ...log_events import Event

__all__ = ["QUOTA_EVENT", "QuotaExceeded", "QuotaLimitChanged", "QuotaShareChanged"]


class QuotaExceeded(Event, frozen=True):
    """A call was rejected since its workspace requests more than its quota.

    Parameters
    ----------
    cost : float
        Tokens, or 1 where the quota counts requests.
    probability : float
        Share of the workspace's calls of this kind, small or large, that this router
        admitted then.
    asked_per_s : float
        Requested rate over all routers, as far as this one knows.
    rate_per_s : float
        Fill rate of the quota.
    available : float
        Estimated level of the bucket; below 0 if too much was admitted.
    """

    part: ClassVar[str] = "quotas"
    request: RequestId
    workspace: WorkspaceId
    cost: float
    probability: float
    asked_per_s: float
    rate_per_s: float
    available: float
    retry_after_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"{self.workspace} requests {self.asked_per_s:.0f}/s of a quota of "
            f"{self.rate_per_s:.0f}/s; a call of {self.cost:.0f} was rejected, retry "
            f"in {self.retry_after_s:.3f} s"
        )


class QuotaLimitChanged(Event, frozen=True):
    """This router began or ceased to reject calls of a workspace."""

    part: ClassVar[str] = "quotas"
    workspace: WorkspaceId
    is_limited: bool
    rejected: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if self.is_limited:
            return f"rejects calls of {self.workspace}, which exceeds its quota"
        return f"rejects no more calls of {self.workspace}, after {self.rejected}"


class QuotaShareChanged(Event, frozen=True):
    """The part of each quota that the routers that hear each other may use changed.

    Parameters
    ----------
    share : float
        From 0 to 1.
    routers : int
        Routers that quotas are divided among.
    silent : int
        Those that this router does not hear.
    """

    part: ClassVar[str] = "quotas"
    share: float
    routers: int
    silent: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"uses {self.share:.3f} of each quota with the routers that it hears: "
            f"{self.silent} of {self.routers} are silent"
        )


QUOTA_EVENT = QuotaExceeded | QuotaLimitChanged | QuotaShareChanged
