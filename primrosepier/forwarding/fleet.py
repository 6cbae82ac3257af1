"""The replicas that a router knows, and which of them may get calls."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..ids import EndpointId, FailureDomain, ModelId, ServiceId
from .calls import WeightsNumber

__all__ = ["Fleet", "Replica", "ReplicaList"]

# Time after the store's return in which entries that lapsed meanwhile come back.
REJOIN_S = 2.0


@dataclass(frozen=True, slots=True)
class Replica:
    """One process of a service, as it registered itself.

    Parameters
    ----------
    draining : bool
        It leaves and gets no new calls.
    weights : Mapping of ModelId to WeightsNumber
        Weights that it serves.
    """

    id: EndpointId
    service: ServiceId
    address: str
    failure_domain: FailureDomain
    slots: int = 1
    draining: bool = False
    weights: Mapping[ModelId, WeightsNumber] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReplicaList:
    """The replicas that may get calls, by service, in the order of their ids."""

    by_service: Mapping[ServiceId, tuple[Replica, ...]] = field(default_factory=dict)

    def list_replicas(self, service: ServiceId) -> tuple[Replica, ...]:
        """Return the replicas of a service."""
        return self.by_service.get(service, ())


@dataclass(slots=True)
class Fleet:
    """Keeps the list of replicas over outages of the store.

    An entry that vanishes while the store is away, or just after, may belong to a
    replica that could not renew it: it stays until the time to come back is over.
    """

    entries: dict[EndpointId, Replica] = field(default_factory=dict)
    missing: dict[EndpointId, Replica] = field(default_factory=dict)
    regained_at_s: float = float("-inf")
    lost_contact: bool = False

    def note_contact(self, in_touch: bool, now_s: float) -> None:
        """Note that the store answered, or that it did not."""
        if in_touch and self.lost_contact:
            self.regained_at_s = now_s
        self.lost_contact = not in_touch

    def replace(self, replicas: Iterable[Replica], now_s: float) -> None:
        """Take in the entries that the store holds now."""
        found = {replica.id: replica for replica in replicas}
        for replica in self.entries.values():
            if replica.id not in found and not replica.draining:
                self.missing[replica.id] = replica
        self.entries = found
        self._forget(now_s)

    def _forget(self, now_s: float) -> None:
        waiting = self.lost_contact or now_s < self.regained_at_s + REJOIN_S
        if not waiting:
            self.missing.clear()
        addresses = {replica.address for replica in self.entries.values()}
        self.missing = {
            name: replica
            for name, replica in self.missing.items()
            if name not in self.entries and replica.address not in addresses
        }

    def make_list(self, now_s: float) -> ReplicaList:
        """Return the replicas that may get calls."""
        self._forget(now_s)
        known = [*self.entries.values(), *self.missing.values()]
        by_service: dict[ServiceId, list[Replica]] = {}
        for replica in sorted(known, key=lambda found: found.id):
            if not replica.draining:
                by_service.setdefault(replica.service, []).append(replica)
        return ReplicaList({name: tuple(v) for name, v in by_service.items()})
