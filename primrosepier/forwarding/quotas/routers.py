"""How far the list of the other routers is complete after a start."""

import math
from dataclasses import dataclass

from ..peers import SETTLING_S, PeerDirectory
from .quotas import RouterList

__all__ = ["RouterWatch", "make_router_watch"]

# Time without further entries after which those that a router has read count as all,
# seconds: longer than changes of the store are batched. After a restart of all routers
# the store still holds their entries, so that quotas can be used this soon.
STABLE_S = 1.0


@dataclass(slots=True)
class RouterWatch:
    """Lists the other routers, and the part of the quotas that may be used.

    That part grows until routers that start together have read each other's entries,
    and in a window where this router can't register.

    Parameters
    ----------
    window_s : float
        Length of the windows in which quotas are checked, seconds.
    started_at_s : float

    Attributes
    ----------
    count : int
        Most routers that were listed at a time.
    grown_at_s : float
        Time at which that number last grew, seconds.
    """

    directory: PeerDirectory
    window_s: float
    started_at_s: float
    count: int = 0
    grown_at_s: float = math.inf

    def list_routers(self) -> RouterList:
        """Return the other routers, and the part of the quotas that may be used."""
        now_s = self.directory.clock()
        hosts = self.directory.peers.keys()
        if len(hosts) > self.count:
            self.count = len(hosts)
            self.grown_at_s = now_s
        settled = max(
            (now_s - self.grown_at_s) / STABLE_S,
            (now_s - self.directory.registered_at_s) / SETTLING_S,
            (now_s - self.started_at_s) / self.window_s,
        )
        return RouterList(hosts, max(0.0, min(1.0, settled)))


def make_router_watch(directory: PeerDirectory, window_s: float) -> RouterWatch:
    """Return the watch of a router that starts now."""
    return RouterWatch(directory, window_s, directory.clock())
