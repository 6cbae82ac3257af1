"""What a router reads from the store, decoded and put on its board."""

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
    "StoreView",
    "NamedWeights",
    "StoreLayout",
    "WeightsGoal",
    "make_store_view",
]

# Weights that are remembered for a model: more than are named while a replica loads.
MAX_STEPS = 32


@dataclass(frozen=True, slots=True)
class NamedWeights:
    """Weights that the operators named.

    Parameters
    ----------
    named_after_s : float
        Time before which they surely were not named, seconds. A router that has just
        started knows none: they may have been named long ago.
    """

    number: WeightsNumber
    named_after_s: float


@dataclass(frozen=True, slots=True)
class WeightsGoal:
    """The weights that a model should have, and those that were named before.

    Parameters
    ----------
    steps : tuple of NamedWeights
        In the order of their numbers; never empty.
    """

    steps: tuple[NamedWeights, ...]

    @property
    def number(self) -> WeightsNumber:
        """The newest."""
        return self.steps[-1].number

    def find_wanted_since_s(self, number: WeightsNumber | int) -> float | None:
        """Return the time since when newer weights are wanted, or None."""
        for step in self.steps:
            if step.number > number:
                return step.named_after_s
        return None

    def add(self, step: NamedWeights) -> "WeightsGoal":
        """Return the goal with newer weights."""
        return WeightsGoal((*self.steps, step)[-MAX_STEPS:])


@dataclass(frozen=True, slots=True)
class StoreLayout:
    """Where things stand in the store, and how they are decoded.

    Parameters
    ----------
    declaration_key, weights_prefix, replicas_prefix : str
    decode_declaration, decode_weights, decode_replica : callable
        Raise ``MessageError`` for a value of another form.
    """

    declaration_key: str
    weights_prefix: str
    replicas_prefix: str
    decode_declaration: Callable[[bytes], Declaration]
    decode_weights: Callable[[bytes], tuple[ModelId, WeightsNumber]]
    decode_replica: Callable[[str, bytes], Replica]


@dataclass(slots=True)
class StoreView:
    """Follows the mirror of the store.

    Declarations and weights only rise within one life of the process.
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
    in_touch: bool = False
    decoded: dict[str, tuple[Item, Replica | None]] = field(default_factory=dict)
    declared: Item | None = None

    def record_contact(self, in_touch: bool, reason: str) -> None:
        """Note whether the store answers."""
        if in_touch != self.in_touch:
            self.log.emit(ContactChanged(in_touch, reason))
        self.in_touch = in_touch
        self.fleet.record_contact(in_touch, self.clock())

    def update(self, mirror: Mirror) -> None:
        """Take in what the store holds now."""
        self._take_declaration(mirror.items.get(self.layout.declaration_key))
        weights = mirror.select(self.layout.weights_prefix)
        self._take_weights(weights, mirror.changed_after_s)
        self._take_replicas(mirror.select(self.layout.replicas_prefix))

    def _take_declaration(self, item: Item | None) -> None:
        if item is None or item == self.declared:
            return
        self.declared = item
        try:
            found = self.layout.decode_declaration(item.value)
        except MessageError as error:
            self.log.emit(EntryUnreadable(item.key, str(error)))
            return
        before = self.declaration.value
        if before is not None and found.version <= before.version:
            return
        self.declaration_writer.write(found, self.clock())
        keys = len(found.workspaces or ())
        self.log.emit(DeclarationTaken(found.version, len(found.routes), keys))

    def _take_weights(self, items: dict[str, Item], named_after_s: float) -> None:
        goals = dict(self.goals.value)
        for item in items.values():
            try:
                model, number = self.layout.decode_weights(item.value)
            except MessageError as error:
                self.log.emit(EntryUnreadable(item.key, str(error)))
                continue
            known = goals.get(model)
            step = NamedWeights(number, named_after_s)
            if known is None:
                goals[model] = WeightsGoal((step,))
            elif number > known.number:
                goals[model] = known.add(step)
        if goals != self.goals.value:
            self.goals_writer.write(goals, self.clock())

    def _take_replicas(self, items: dict[str, Item]) -> None:
        found = []
        decoded = {}
        for key, item in items.items():
            known = self.decoded.get(key)
            replica = self._decode(item) if known is None or known[0] != item else None
            if known is not None and known[0] == item:
                replica = known[1]
            decoded[key] = (item, replica)
            if replica is not None:
                found.append(replica)
        self.decoded = decoded
        self.fleet.replace(found, self.clock())
        self.refresh()

    def _decode(self, item: Item) -> Replica | None:
        name = item.key[len(self.layout.replicas_prefix) :]
        try:
            return self.layout.decode_replica(name, item.value)
        except MessageError as error:
            self.log.emit(EntryUnreadable(item.key, str(error)))
            return None

    def refresh(self) -> None:
        """Write the list of replicas, if it changed."""
        now_s = self.clock()
        found = self.fleet.make_list(now_s)
        if found == self.replicas.value:
            return
        before = _list_ids(self.replicas.value)
        after = _list_ids(found)
        self.replicas_writer.write(found, now_s)
        if before != after:
            added = tuple(sorted(after - before))
            removed = tuple(sorted(before - after))
            self.log.emit(FleetChanged(added, removed, len(after)))

    def find_replica(self, endpoint: EndpointId) -> Replica | None:
        """Return a registered replica, whether it leaves or not."""
        return self.fleet.entries.get(endpoint)


def _list_ids(found: ReplicaList) -> set[EndpointId]:
    return {r.id for replicas in found.by_service.values() for r in replicas}


def make_store_view(layout: StoreLayout, log: Log, clock: Clock) -> StoreView:
    """Return a router's knowledge before it read anything."""
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
