"""View of the store: decoded entries, written to sections of the board."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..board import Section, SectionWriter
from ..clocks import Clock
from ..errors import MessageError, UnknownStateError
from ..ids import EndpointId, ModelId, Revision, ServiceId
from ..logs import Log
from ..mirror import Mirror
from ..store import Item
from ..stream_origins import StreamOrigin
from .calls import WeightsVersionNumber
from .declarations import Declaration
from .fleet import Fleet, Replica, ReplicaList
from .records import (
    ContactChanged,
    DeclarationTaken,
    EntryUnreadable,
    FleetChanged,
    WeightsRequested,
)

__all__ = [
    "RequestedWeights",
    "StoreLayout",
    "StoreView",
    "WeightsHistory",
    "make_store_view",
]

# Parts of a declaration that can't be read and are logged one by one.
MAX_LOGGED_PARTS = 8
# Requested versions kept per model. Far fewer are requested while one replica loads
# weights.
MAX_HISTORY_LENGTH = 32


@dataclass(frozen=True, slots=True)
class RequestedWeights:
    """A version of a model's weights that the operators requested.

    Parameters
    ----------
    requested_after_s : float
        Lower bound of the time of the request, seconds; minus infinity on a router
        that has just started, since the request may be old.
    """

    version: WeightsVersionNumber
    requested_after_s: float


@dataclass(frozen=True, slots=True)
class WeightsHistory:
    """Versions of a model's weights that were requested, up to the newest.

    Parameters
    ----------
    requested : tuple of RequestedWeights
        In the order of versions; never empty.
    """

    requested: tuple[RequestedWeights, ...]

    @property
    def newest_version(self) -> WeightsVersionNumber:
        """Version that replicas should serve."""
        return self.requested[-1].version

    def find_missing_since_s(self, version: WeightsVersionNumber | int) -> float | None:
        """Return since when a newer version has been requested, or None if none is."""
        for weights in self.requested:
            if weights.version > version:
                return weights.requested_after_s
        return None

    def list_request_times(self) -> list[float]:
        """Return the lower bounds of the times of the requests, seconds."""
        return [weights.requested_after_s for weights in self.requested]

    def add(self, requested: RequestedWeights) -> "WeightsHistory":
        """Return the history extended by a newer version."""
        return WeightsHistory((*self.requested, requested)[-MAX_HISTORY_LENGTH:])


@dataclass(frozen=True, slots=True)
class StoreLayout:
    """Keys of the store and the decoders of its values.

    Parameters
    ----------
    declaration_key, weights_prefix, replicas_prefix : str
    decode_declaration, decode_weights, decode_replica : callable
        Raise ``MessageError`` for a malformed value.
    """

    declaration_key: str
    weights_prefix: str
    replicas_prefix: str
    decode_declaration: Callable[[bytes], Declaration]
    decode_weights: Callable[[bytes], tuple[ModelId, WeightsVersionNumber]]
    decode_replica: Callable[[str, bytes], Replica]


@dataclass(slots=True)
class StoreView:
    """Decoded content of this router's mirror of the store.

    Versions of declarations and requested weights never decrease while the process
    runs.

    Attributes
    ----------
    is_connected : bool
        Whether the store responds.
    decoded : dict of str to (Item, Replica or None)
        Replica entries by key, kept to decode only those that changed.
    declaration_item : Item or None
        Store entry of the last declaration that was read, valid or not.
    unreadable : dict of str to Revision
        Revisions of the requested weights that can't be read, by key.
    """

    layout: StoreLayout
    log: Log
    clock: Clock
    declaration: Section[Declaration | None]
    replicas: Section[ReplicaList]
    requested_weights: Section[dict[ModelId, WeightsHistory]]
    declaration_writer: SectionWriter[Declaration | None]
    replicas_writer: SectionWriter[ReplicaList]
    requested_weights_writer: SectionWriter[dict[ModelId, WeightsHistory]]
    fleet: Fleet = field(default_factory=Fleet)
    is_connected: bool = False
    decoded: dict[str, tuple[Item, Replica | None]] = field(default_factory=dict)
    declaration_item: Item | None = None
    unreadable: dict[str, Revision] = field(default_factory=dict)

    def record_contact(self, is_connected: bool, reason: str) -> None:
        """Record whether the store responds."""
        if is_connected != self.is_connected:
            self.log.emit(ContactChanged(is_connected, reason))
        self.is_connected = is_connected
        self.fleet.record_contact(is_connected, self.clock())

    def update(self, mirror: Mirror) -> None:
        """Decode the store entries in the mirror and publish what changed."""
        self.fleet.record_restores(mirror.restores, self.clock())
        self._apply_declaration(mirror.items.get(self.layout.declaration_key))
        weights = mirror.select(self.layout.weights_prefix)
        self._apply_weights(weights, mirror.changed_after_s)
        self._apply_replicas(mirror.select(self.layout.replicas_prefix))

    def _apply_declaration(self, item: Item | None) -> None:
        if item is None or item == self.declaration_item:
            return
        self.declaration_item = item
        try:
            declaration = self.layout.decode_declaration(item.value)
        except MessageError as error:
            self.log.emit(EntryUnreadable(item.key, str(error)))
            return
        current = self.declaration.value
        if current is not None and declaration.version <= current.version:
            return
        self.declaration_writer.write(declaration, self.clock())
        for part in declaration.unreadable[:MAX_LOGGED_PARTS]:
            self.log.emit(EntryUnreadable(item.key, part))
        key_count = len(declaration.workspaces or ())
        self.log.emit(
            DeclarationTaken(declaration.version, len(declaration.routes), key_count)
        )

    def _apply_weights(self, items: dict[str, Item], requested_after_s: float) -> None:
        requested_weights = dict(self.requested_weights.value)
        self.unreadable = {k: v for k, v in self.unreadable.items() if k in items}
        for item in items.values():
            if self.unreadable.get(item.key) == item.mod_revision:
                continue
            try:
                model, version = self.layout.decode_weights(item.value)
            except MessageError as error:
                self.unreadable[item.key] = item.mod_revision
                self.log.emit(EntryUnreadable(item.key, str(error)))
                continue
            history = requested_weights.get(model)
            requested = RequestedWeights(version, requested_after_s)
            if history is None:
                requested_weights[model] = WeightsHistory((requested,))
            elif version > history.newest_version:
                requested_weights[model] = history.add(requested)
            else:
                continue
            age_s = self.clock() - requested_after_s
            known_age_s = age_s if math.isfinite(age_s) else None
            self.log.emit(WeightsRequested(model, version, known_age_s))
        if requested_weights != self.requested_weights.value:
            self.requested_weights_writer.write(requested_weights, self.clock())

    def _apply_replicas(self, items: dict[str, Item]) -> None:
        replicas = []
        decoded = {}
        for key, item in items.items():
            previous_item, replica = self.decoded.get(key, (None, None))
            if previous_item != item:
                replica = self._decode(item, replica)
            decoded[key] = (item, replica)
            if replica is not None:
                replicas.append(replica)
        self.decoded = decoded
        self.fleet.replace(replicas, self.clock())
        self.refresh()

    def _decode(self, item: Item, previous: Replica | None) -> Replica | None:
        """Return a replica, or the previous one if its new entry can't be read."""
        endpoint = item.key[len(self.layout.replicas_prefix) :]
        try:
            return self.layout.decode_replica(endpoint, item.value)
        except UnknownStateError as error:
            self.log.emit(EntryUnreadable(item.key, str(error)))
            return None
        except MessageError as error:
            self.log.emit(EntryUnreadable(item.key, str(error)))
            return previous

    def refresh(self) -> None:
        """Publish the list of replicas if it changed."""
        now_s = self.clock()
        replicas = self.fleet.make_list(now_s)
        if replicas == self.replicas.value:
            return
        previous_ids = _list_ids(self.replicas.value)
        current_ids = _list_ids(replicas)
        self.replicas_writer.write(replicas, now_s)
        if previous_ids != current_ids:
            added = tuple(sorted(current_ids - previous_ids))
            removed = tuple(sorted(previous_ids - current_ids))
            self.log.emit(FleetChanged(added, removed, len(current_ids)))

    def list_origins(self) -> set[StreamOrigin]:
        """Return the services with the software versions that are registered."""
        return {replica.origin for replica in self.fleet.entries.values()}

    def find_replica(self, endpoint: EndpointId) -> Replica | None:
        """Return a registered replica, draining or not, or None."""
        return self.fleet.entries.get(endpoint)

    def find_service(self, endpoint: EndpointId) -> ServiceId | None:
        """Return the service of a registered replica, or None."""
        replica = self.find_replica(endpoint)
        return None if replica is None else replica.service


def _list_ids(listed: ReplicaList) -> set[EndpointId]:
    return {r.id for replicas in listed.by_service.values() for r in replicas}


def make_store_view(layout: StoreLayout, log: Log, clock: Clock) -> StoreView:
    """Return an empty view of the store.

    The writer of its sections is named ``knowledge``.
    """
    declaration: Section[Declaration | None] = Section("declaration", None)
    replicas: Section[ReplicaList] = Section("replicas", ReplicaList())
    requested_weights: Section[dict[ModelId, WeightsHistory]] = Section("weights", {})
    return StoreView(
        layout,
        log,
        clock,
        declaration,
        replicas,
        requested_weights,
        declaration.take_writer("knowledge"),
        replicas.take_writer("knowledge"),
        requested_weights.take_writer("knowledge"),
    )
