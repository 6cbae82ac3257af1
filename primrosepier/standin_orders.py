"""Orders to an engine stand-in: weights, adapters and its role.

``POST /orders`` takes ``{"fencing": 7, "kind": "load", "model": "m",
"version": "2"}``; ``kind`` is ``load``, ``adapter`` (with ``adapter``) or
``role`` (with ``role``). The answer is 200 with the state if the order is accepted,
409 with the highest fencing number seen if the engine honours fencing and the order
has a lower number, and 400 if the order is malformed. Orders are idempotent: an order
that is in progress or already executed is accepted again, but not executed again.

``GET /orders`` returns the state: ``{"incarnation", "model", "version",
"loading", "adapters", "role", "fencing", "taken", "refused"}``; ``loading`` is
the version that is being loaded, or an empty string. The engine refuses requests with
503 while it loads weights.
"""

from dataclasses import dataclass, field

import anyio
import msgspec

__all__ = ["Order", "OrderHandler", "OrderState", "WeightLoadCounter"]


class Order(msgspec.Struct, frozen=True):
    """An order to an engine, as in the body of ``POST /orders``."""

    fencing: int
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderState(msgspec.Struct):
    """State of an engine, as in the answer to ``GET /orders``."""

    incarnation: str
    model: str = ""
    version: str = "1"
    loading: str = ""
    adapters: list[str] = []
    role: str = "serve"
    fencing: int = 0
    taken: int = 0
    refused: int = 0


@dataclass(slots=True)
class WeightLoadCounter:
    """Counts the weight loads in progress on engines that share a weight store.

    Parameters
    ----------
    full_speed_loads : int
        Number of concurrent loads up to which each runs at full speed.
    running : int
        Current number of concurrent loads.
    peak : int
        Highest number of concurrent loads so far.
    """

    full_speed_loads: int = 3
    running: int = 0
    peak: int = 0

    def compute_load_time(self, load_s: float) -> float:
        """Return the duration in seconds of a load that starts now."""
        return load_s * max(1.0, self.running / self.full_speed_loads)


@dataclass(slots=True)
class OrderHandler:
    """Accepts or refuses orders and executes them.

    Parameters
    ----------
    honours_fencing : bool
        Refuse orders with a fencing number below the highest seen.
    load_s : float
        Time to load weights at full speed, in seconds.
    history : list of Order
        Accepted orders, oldest first.
    """

    state: OrderState
    honours_fencing: bool = True
    load_s: float = 1.0
    load_counter: WeightLoadCounter = field(default_factory=WeightLoadCounter)
    history: list[Order] = field(default_factory=list)

    def accept(self, order: Order) -> bool:
        """Accept or refuse an order; an accepted one is executed unless it is a load.

        Returns
        -------
        bool
            Whether the order was accepted.
        """
        if self.honours_fencing and order.fencing < self.state.fencing:
            self.state.refused += 1
            return False
        self.state.fencing = max(self.state.fencing, order.fencing)
        self.state.taken += 1
        self.history.append(order)
        if order.kind == "adapter" and order.adapter not in self.state.adapters:
            self.state.adapters.append(order.adapter)
        if order.kind == "role":
            self.state.role = order.role
        return True

    def needs_load(self, order: Order) -> bool:
        """Return whether an accepted order starts a load."""
        current_version = self.state.loading or self.state.version
        return order.kind == "load" and order.version != current_version

    def begin_load(self, order: Order) -> None:
        """Record that a load is in progress."""
        self.state.loading = order.version
        self.load_counter.running += 1
        self.load_counter.peak = max(self.load_counter.peak, self.load_counter.running)

    async def finish_load(self, order: Order) -> bool:
        """Wait for a load to finish and return whether its weights took effect.

        The weights don't take effect if the engine crashed or a later load began.
        """
        incarnation = self.state.incarnation
        try:
            await anyio.sleep(self.load_counter.compute_load_time(self.load_s))
        finally:
            self.load_counter.running -= 1
        current = (self.state.incarnation, self.state.loading)
        if current != (incarnation, order.version):
            return False
        self.state.model = order.model or self.state.model
        self.state.version = order.version
        self.state.loading = ""
        return True
