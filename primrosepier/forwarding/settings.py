"""Settings of a router on the users' platform."""

import math
from dataclasses import dataclass

from ..ids import FailureDomain, HostId
from ..settings import LogSettings

__all__ = ["EntrySettings"]


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Validated settings; all times are in seconds.

    Parameters
    ----------
    callers_address, readiness_address, peers_address, store_address : str
        ``IP:PORT``.
    metrics_address : str
        ``IP:PORT`` for metrics; empty for none.
    store_writes_per_s, store_reads_per_s : float
        Rates of calls to the store, over all routers.
    shortest_lease_s : float
        Shortest time to live of a lease that the store grants.
    grace_s : float
        Time between the termination signal and the kill.
    revoke_s : float or None
        Time within which a revoked key must stop working everywhere.
    repeat_ratio : float
        Retries allowed per call within a window.
    repeat_extra : float
        Retries allowed per window in addition to the ratio, over all routers.
    repeat_window_s : float
        Length of the window.
    holder_gap_s : float
        Minimum time between orders of two holders of a duty.
    weights_s : float
        Time within which requested weights must be in use everywhere.
    apply_s : float
        Time within which a declaration must take effect.
    drain_s : float
        Time for which a draining replica still serves.
    heartbeat_s : float
        Interval at which a replica renews its registration.
    memory_bytes : float
        Memory that the process may use; infinite for no limit.
    limits_prefills : bool
        Whether long prompts need permits where replicas are engines, and replicas are
        divided between short and long prompts under contention; they are also where
        replicas report their slowness.
    max_fds : float
        Descriptors that the process may open; infinite for the system's limit.
    is_first_start : bool
        Whether the whole system starts for the first time.
    quota_window_s : float
        Length of the windows in which quotas are checked.
    quota_overshoot : float
        Share by which a window may exceed the quota.
    quota_slack : float
        Tokens or requests by which a window may exceed it in addition.
    """

    host: HostId
    failure_domain: FailureDomain
    callers_address: str
    readiness_address: str
    peers_address: str
    store_address: str
    metrics_address: str = ""
    store_writes_per_s: float = 100.0
    store_reads_per_s: float = 500.0
    shortest_lease_s: float = 1.0
    grace_s: float = 8.0
    revoke_s: float | None = None
    repeat_ratio: float = 0.2
    repeat_extra: float = 0.0
    repeat_window_s: float = 10.0
    holder_gap_s: float = 3.0
    weights_s: float = 12.0
    apply_s: float = 2.0
    drain_s: float = 2.0
    heartbeat_s: float = 1.2
    memory_bytes: float = math.inf
    limits_prefills: bool = True
    max_fds: float = math.inf
    is_first_start: bool = False
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    logs: LogSettings = LogSettings(level="info", sink="stdout")
