"""Services and replicas that may receive a call now. Changes no state of the router."""

import math
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from ..clocks import Clock
from ..ejection import Ejections
from ..ids import EndpointId, ServiceId
from ..stream_origins import StreamOrigin
from .declarations import Route
from .fleet import Replica, ReplicaList
from .notices import ReplicaNotices
from .replica_choice import AvoidedReplicas
from .retries import RetryBudget
from .software_checks import SoftwareChecks

__all__ = [
    "CandidateSource",
    "Candidates",
    "SelectReplicas",
    "compute_service_wait_s",
    "list_at_origin",
    "list_candidates",
    "list_service_options",
]

Candidates = tuple[Sequence[Replica], AvoidedReplicas]
SelectReplicas = Callable[
    [Sequence[Replica]], tuple[Sequence[Replica], frozenset[EndpointId]]
]


class CandidateSource(Protocol):
    """What a router knows of the replicas."""

    @property
    def read_replicas(self) -> Callable[[], ReplicaList]:
        """Returns the replicas that accept new calls."""

    @property
    def select_replicas(self) -> SelectReplicas:
        """Filters a service's replicas by their weights versions."""

    @property
    def notices(self) -> ReplicaNotices:
        """What replicas ask for."""

    @property
    def ejections(self) -> Ejections:
        """Replicas ejected for their failures."""

    @property
    def retries(self) -> RetryBudget:
        """Budget of retries."""

    @property
    def software_checks(self) -> SoftwareChecks | None:
        """Replicas that may run other software than their entries say."""

    @property
    def clock(self) -> Clock:
        """Monotonic clock."""


def list_at_origin(
    source: CandidateSource, service: ServiceId, origin: StreamOrigin | None
) -> Sequence[Replica]:
    """Return the replicas that a call may use, at its stream's software version."""
    replicas = source.read_replicas().list_replicas(service)
    if origin is not None:
        replicas = tuple(x for x in replicas if x.software == origin.software)
    return source.notices.leaving.select(replicas, source.clock())


def compute_service_wait_s(
    source: CandidateSource, service: ServiceId, now_s: float
) -> float:
    """Return the time before any replica of a service may receive calls."""
    selected, _ = source.select_replicas(list_at_origin(source, service, None))
    waits_s = (source.notices.compute_wait_s(x.id, now_s) for x in selected)
    return min(waits_s, default=math.inf)


def list_service_options(
    source: CandidateSource, route: Route, excluded: Collection[ServiceId] = ()
) -> Sequence[tuple[ServiceId, int]]:
    """Return the route's services that may receive a call now, with their weights.

    If none may, those that may first are returned.
    """
    replicas, now_s = source.read_replicas(), source.clock()
    leaving = source.notices.leaving
    registered = [
        (service, replicas.list_replicas(service[0]))
        for service in route.services
        if service[1] and service[0] not in excluded
    ]
    options = [s for s, known in registered if leaving.select_staying(known)]
    if not options:
        options = [s for s, known in registered if leaving.select(known, now_s)]
    if len(options) > 1:
        waits_s = {s: compute_service_wait_s(source, s, now_s) for s, _ in options}
        shortest_s = min(waits_s.values())
        options = [option for option in options if waits_s[option[0]] <= shortest_s]
    return options


def list_candidates(
    source: CandidateSource,
    service: ServiceId,
    origin: StreamOrigin | None,
    tried: set[EndpointId],
    now_s: float,
    new_calls: int = 0,
) -> Candidates:
    """Return the replicas that a call may be sent to, and those to avoid.

    Parameters
    ----------
    new_calls : int
        Calls that the budget of retries has yet to record.
    """
    selected, outdated = source.select_replicas(list_at_origin(source, service, origin))
    replicas: Sequence[Replica] = [
        replica
        for replica in selected
        if replica.id not in tried
        and source.notices.compute_wait_s(replica.id, now_s) <= 0
    ]
    if tried or not source.retries.has_left_after(service, new_calls, now_s):
        # The call could not be retried again if such a replica refused it.
        replicas = source.notices.select_proven(replicas, now_s)
    if origin is not None and source.software_checks is not None:
        replicas = source.software_checks.select_confirmed(replicas) or replicas
    ejected = source.ejections.find_ejected([r.id for r in selected], now_s)
    return replicas, AvoidedReplicas(ejected, outdated)
