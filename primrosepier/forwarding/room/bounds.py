"""What the operators' declaration says of admission to a service's replicas."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ...ids import ServiceId
from ..declarations import Declaration

__all__ = ["DeclaredBounds", "RoomBounds", "make_bounds"]

# Part of the smallest target up to which a prefill counts as short. Without permits,
# prompts of a quarter of the target met at the replicas that had cached their prefix.
SHORT_SHARE = 0.125
# Part of the smallest target that is left to the short prompt itself, to other short
# ones ahead of it, to steps of outputs and to the network.
RESERVE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class RoomBounds:
    """Bounds for the replicas of one service.

    Parameters
    ----------
    target_s : float
        Smallest target of the routes that use the service, seconds.
    slot_tokens : float
        KV cache of a replica for each of its slots, tokens.
    """

    target_s: float
    slot_tokens: float

    @property
    def budget_s(self) -> float:
        """Time that a short prompt may wait behind long ones, seconds."""
        return (1.0 - RESERVE_SHARE) * self.target_s

    def compute_short_tokens(self, tokens_per_s: float) -> float:
        """Return the length up to which a prompt needs no permit, tokens.

        Parameters
        ----------
        tokens_per_s : float
            Rate at which the replica computes prompts; 0 if unknown.
        """
        if tokens_per_s:
            return SHORT_SHARE * self.target_s * tokens_per_s
        return SHORT_SHARE * self.slot_tokens


def make_bounds(declaration: Declaration) -> dict[ServiceId, RoomBounds]:
    """Return the bounds of the services with an engine that routes use."""
    bounds = {}
    for service in declaration.services.values():
        routes = [x for x in declaration.routes if service.id in x.list_services()]
        target_s = min((route.target_s for route in routes), default=0.0)
        engine = service.engine
        if engine is not None and engine.slots > 0 and target_s > 0:
            slot_tokens = engine.cache_tokens / engine.slots
            bounds[service.id] = RoomBounds(target_s, slot_tokens)
    return bounds


def read_none() -> None:
    """Return no declaration; used where no replica is an engine."""


@dataclass(slots=True)
class DeclaredBounds:
    """Bounds of the declaration in force, computed once for each declaration."""

    read_declaration: Callable[[], Declaration | None] = read_none
    declaration: Declaration | None = None
    bounds: dict[ServiceId, RoomBounds] = field(default_factory=dict)

    def get(self, service: ServiceId) -> RoomBounds | None:
        """Return the bounds of a service; None if its calls need no permits."""
        declaration = self.read_declaration()
        if declaration is not self.declaration:
            self.declaration = declaration
            self.bounds = {} if declaration is None else make_bounds(declaration)
        return self.bounds.get(service)
