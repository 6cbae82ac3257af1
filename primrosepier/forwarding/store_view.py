"""View of the store: decoded entries, written to sections of the board."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..board import Section, SectionWriter
from ..clocks import Clock
from ..errors import MessageError
from ..ids import EndpointId, ModelId
from ..logs import Log
from ..mirror import Mirror
from ..store import Item
from .calls import WeightsNumber
from .declarations import Declaration
from .fleet import Fleet, Replica, ReplicaList
from .records import (
    ContactChanged,
    DeclarationTaken,
    EntryUnreadable,
    FleetChanged,
)

__all__ = [
    "RequestedWeights",
    "StoreLayout",
    "StoreView",
    "WeightsGoal",
    "make_store_view",
]

# Requested weights kept per model: more than are requested while a replica loads.
MAX_STEPS = 32


@dataclass(frozen=True, slots=True)
class RequestedWeights:
    """Weights that the operators requested.

    Parameters
    ----------
    requested_after_s : float
        Lower bound of the time of the request, seconds; minus infinity on a router
        that has just started, since the request may be old.
    """

    number: WeightsNumber
    requested_after_s: float


@dataclass(frozen=True, slots=True)
class WeightsGoal:
    """Requested weights of a model, with those requested before.

    Parameters
    ----------
    steps : tuple of RequestedWeights
        In the order of their numbers; never empty.
    """

    steps: tuple[RequestedWeights, ...]

    @property
    def number(self) -> WeightsNumber:
        """Number of the newest requested weights."""
        return self.steps[-1].number

    def find_outdated_since_s(self, number: WeightsNumber | int) -> float | None:
        """Return the time since which weights are outdated, or None if they are not."""
        for step in self.steps:
            if step.number > number:
                return step.requested_after_s
        return None

    def add(self, step: RequestedWeights) -> "WeightsGoal":
        """Return the goal with newer weights."""
        return WeightsGoal((*self.steps, step)[-MAX_STEPS:])


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
    decode_weights: Callable[[bytes], tuple[ModelId, WeightsNumber]]
    decode_replica: Callable[[str, bytes], Replica]


@dataclass(slots=True)
class StoreView:
    """Decoded view of the mirror of the store.

    Versions of declarations and weights never decrease while the process runs.

    Attributes
    ----------
    is_connected : bool
        Whether the store responds.
    decoded : dict of str to (Item, Replica or None)
        Replica entries by key, kept to decode only those that changed.
    declaration_item : Item or None
        Entry of the last declaration that was read.
    """

    layout: StoreLayout
    log: Log
    clock: Clock
    declaration: Section[Declaration | None]
    replicas: Section[ReplicaList]
    goals: Section[dict[ModelId, WeightsGoal]]
    declaration_writer: SectionWriter[Declaration | None]
    replicas_writer: SectionWriter[ReplicaList]
    goals_writer: SectionWriter[dict[ModelId, WeightsGoal]]
    fleet: Fleet = field(default_factory=Fleet)
    is_connected: bool = False
    decoded: dict[str, tuple[Item, Replica | None]] = field(default_factory=dict)
    declaration_item: Item | None = None

    def record_contact(self, is_connected: bool, reason: str) -> None:
        """Record whether the store responds."""
        if is_connected != self.is_connected:
            self.log.emit(ContactChanged(is_connected, reason))
        self.is_connected = is_connected
        self.fleet.record_contact(is_connected, self.clock())

    def update(self, mirror: Mirror) -> None:
        """Apply the entries that the store holds now."""
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
        keys = len(declaration.workspaces or ())
        self.log.emit(
            DeclarationTaken(declaration.version, len(declaration.routes), keys)
        )

    def _apply_weights(self, items: dict[str, Item], requested_after_s: float) -> None:
        goals = dict(self.goals.value)
        for item in items.values():
            try:
                model, number = self.layout.decode_weights(item.value)
            except MessageError as error:
                self.log.emit(EntryUnreadable(item.key, str(error)))
                continue
            goal = goals.get(model)
            step = RequestedWeights(number, requested_after_s)
            if goal is None:
                goals[model] = WeightsGoal((step,))
            elif number > goal.number:
                goals[model] = goal.add(step)
        if goals != self.goals.value:
            self.goals_writer.write(goals, self.clock())

    def _apply_replicas(self, items: dict[str, Item]) -> None:
        replicas = []
        decoded = {}
        for key, item in items.items():
            cached = self.decoded.get(key)
            replica = (
                self._decode(item) if cached is None or cached[0] != item else None
            )
            if cached is not None and cached[0] == item:
                replica = cached[1]
            decoded[key] = (item, replica)
            if replica is not None:
                replicas.append(replica)
        self.decoded = decoded
        self.fleet.replace(replicas, self.clock())
        self.refresh()

    def _decode(self, item: Item) -> Replica | None:
        name = item.key[len(self.layout.replicas_prefix) :]
        try:
            return self.layout.decode_replica(name, item.value)
        except MessageError as error:
            self.log.emit(EntryUnreadable(item.key, str(error)))
            return None

    def refresh(self) -> None:
        """Publish the list of replicas if it changed."""
        now_s = self.clock()
        replicas = self.fleet.make_list(now_s)
        if replicas == self.replicas.value:
            return
        before = _list_ids(self.replicas.value)
        after = _list_ids(replicas)
        self.replicas_writer.write(replicas, now_s)
        if before != after:
            added = tuple(sorted(after - before))
            removed = tuple(sorted(before - after))
            self.log.emit(FleetChanged(added, removed, len(after)))

    def find_replica(self, endpoint: EndpointId) -> Replica | None:
        """Return a registered replica, draining or not, or None."""
        return self.fleet.entries.get(endpoint)


def _list_ids(listed: ReplicaList) -> set[EndpointId]:
    return {r.id for replicas in listed.by_service.values() for r in replicas}


def make_store_view(layout: StoreLayout, log: Log, clock: Clock) -> StoreView:
    """Return an empty view of the store."""
    declaration: Section[Declaration | None] = Section("declaration", None)
    replicas: Section[ReplicaList] = Section("replicas", ReplicaList())
    goals: Section[dict[ModelId, WeightsGoal]] = Section("weights", {})
    return StoreView(
        layout,
        log,
        clock,
        declaration,
        replicas,
        goals,
        declaration.take_writer("knowledge"),
        replicas.take_writer("knowledge"),
        goals.take_writer("knowledge"),
    )
