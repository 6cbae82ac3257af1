"""Replicas that are registered, and those that may receive calls."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    ServiceId,
    SoftwareVersion,
)
from ..stream_origins import StreamOrigin
from .calls import WeightsVersionNumber

__all__ = ["Fleet", "Replica", "ReplicaList"]

# Time after the store is reachable again in which replicas renew expired entries.
RENEWAL_GRACE_S = 2.0
# Time without contact after which the entry of a replica that lives may have expired,
# as intervals of its renewals: an entry expires three after the last renewal, which was
# at most one, and some jitter, before the contact was lost.
EXPIRY_INTERVALS = 1.9


@dataclass(frozen=True, slots=True)
class Replica:
    """One process of a service, as it registered itself.

    Parameters
    ----------
    slots : int
        Calls that the replica runs at once.
    draining : bool
        Whether the replica is leaving and receives no new calls.
    weights : Mapping of ModelId to WeightsVersionNumber
        Version that the replica serves of each model.
    software : SoftwareVersion
        Version of the replica's software. A stream can't continue at another one.
    born_ms : int
        Start of the replica's process, Unix milliseconds; 0 if unknown.
    """

    id: EndpointId
    service: ServiceId
    address: str
    failure_domain: FailureDomain
    slots: int = 1
    draining: bool = False
    weights: Mapping[ModelId, WeightsVersionNumber] = field(default_factory=dict)
    software: SoftwareVersion = SoftwareVersion("")
    born_ms: int = 0

    @property
    def origin(self) -> StreamOrigin:
        """Origin of streams that begin at this replica."""
        return StreamOrigin(self.service, self.software)


@dataclass(frozen=True, slots=True)
class ReplicaList:
    """Replicas that may receive calls, by service and sorted by id."""

    by_service: Mapping[ServiceId, tuple[Replica, ...]] = field(default_factory=dict)

    def list_replicas(self, service: ServiceId) -> tuple[Replica, ...]:
        """Return the replicas of a service."""
        return self.by_service.get(service, ())


@dataclass(slots=True)
class Fleet:
    """Registered replicas, kept through outages of the store.

    An entry that disappears during an outage of the store, or just after, may belong
    to a replica that could not renew it. The replica is kept until the grace period is
    over. If contact is lost for too short a time for that, as when a connection is
    reset, an entry that disappears was removed.

    Parameters
    ----------
    renewal_interval_s : float
        Interval at which replicas renew their entries, seconds; 0 if unknown.

    Attributes
    ----------
    entries : dict of EndpointId to Replica
        Replicas that the store lists.
    missing : dict of EndpointId to Replica
        Replicas kept although their entries have disappeared.
    reconnected_at_s : float
        End of the last outage of the store in which entries may have expired, or when
        it was seen to be restored from a copy, seconds.
    contact_at_s : float
        When the store last answered, seconds.
    regained_at_s : float
        When it first answered after contact had been lost, seconds.
    lost_at_s : float
        When it last answered before contact was lost, seconds. Short contacts between,
        in which not all replicas can have renewed their entries, do not count.
    restores : int or None
        How often the store had been restored when it was last read; None before that.
    """

    renewal_interval_s: float = 0.0
    entries: dict[EndpointId, Replica] = field(default_factory=dict)
    missing: dict[EndpointId, Replica] = field(default_factory=dict)
    reconnected_at_s: float = float("-inf")
    contact_at_s: float = float("-inf")
    regained_at_s: float = float("-inf")
    lost_at_s: float = float("-inf")
    is_disconnected: bool = False
    restores: int | None = None

    def record_contact(self, is_connected: bool, now_s: float) -> None:
        """Record whether the store responds."""
        if is_connected and self.is_disconnected:
            self._record_regained(now_s)
        if is_connected:
            self.contact_at_s = now_s
        elif not self.is_disconnected:
            self._record_lost()
        self.is_disconnected = not is_connected

    def _record_lost(self) -> None:
        if self.contact_at_s >= self.regained_at_s + self.renewal_interval_s:
            self.lost_at_s = self.contact_at_s

    def _record_regained(self, now_s: float) -> None:
        self.regained_at_s = now_s
        if now_s - self.lost_at_s >= EXPIRY_INTERVALS * self.renewal_interval_s:
            self.reconnected_at_s = now_s

    def record_restores(self, restores: int, now_s: float) -> None:
        """Record how often the store was restored, with entries that may be missing."""
        if self.restores is not None and restores != self.restores:
            self.reconnected_at_s = now_s
        self.restores = restores

    def compute_recovery_s(self, now_s: float) -> float:
        """Return the time since the store last lost or may have lost entries, seconds.

        It is 0 during an outage, and infinite if there was none.
        """
        return 0.0 if self.is_disconnected else now_s - self.reconnected_at_s

    def replace(self, replicas: Iterable[Replica], now_s: float) -> None:
        """Replace the entries with the replicas that the store lists now."""
        current = {replica.id: replica for replica in replicas}
        for replica in self.entries.values():
            if replica.id not in current and not replica.draining:
                self.missing[replica.id] = replica
        self.entries = current
        self._prune_missing(now_s)

    def _prune_missing(self, now_s: float) -> None:
        if self.compute_recovery_s(now_s) >= RENEWAL_GRACE_S:
            self.missing.clear()
        addresses = {replica.address for replica in self.entries.values()}
        self.missing = {
            endpoint: replica
            for endpoint, replica in self.missing.items()
            if endpoint not in self.entries and replica.address not in addresses
        }

    def list_registered(self) -> list[Replica]:
        """Return all replicas that are registered, or kept although they are not."""
        return [*self.entries.values(), *self.missing.values()]

    def make_list(self, now_s: float) -> ReplicaList:
        """Return the replicas that may receive calls."""
        self._prune_missing(now_s)
        current = self.list_registered()
        by_service: dict[ServiceId, list[Replica]] = {}
        for replica in sorted(current, key=lambda replica: replica.id):
            if not replica.draining:
                by_service.setdefault(replica.service, []).append(replica)
        return ReplicaList({name: tuple(v) for name, v in by_service.items()})
