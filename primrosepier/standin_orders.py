"""Orders to an engine's stand-in: weights, adapters and its role.

``POST /orders`` takes ``{"fencing": 7, "kind": "load", "model": "m",
"version": "2"}``; ``kind`` is ``load``, ``adapter`` (with ``adapter``) or
``role`` (with ``role``). The answer is 200 with the state when the order is
taken, 409 with the highest fencing number when the engine honours fencing and the
number is lower, and 400 for a malformed order. An order that is already carried
out, or that is being carried out, is taken again without effect.

``GET /orders`` returns the state: ``{"incarnation", "model", "version",
"loading", "adapters", "role", "fencing", "taken", "refused"}``; ``loading`` is
the version that is being loaded, or an empty text. While it loads, the engine
refuses requests with 503.
"""

from dataclasses import dataclass, field

import anyio
import msgspec

__all__ = ["LoadingGauge", "Order", "OrderState", "Orders"]


class Order(msgspec.Struct, frozen=True):
    """An order as it is sent."""

    fencing: int
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderState(msgspec.Struct):
    """What the orders so far made of the engine."""

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
class LoadingGauge:
    """Loads in progress over the engines that share a weight store.

    Parameters
    ----------
    at_once : int
        Loads beyond which each takes longer.
    peak : int
        Most loads that were in progress together.
    """

    at_once: int = 3
    running: int = 0
    peak: int = 0

    def compute_seconds(self, load_s: float) -> float:
        """Return how long a load takes that starts now."""
        return load_s * max(1.0, self.running / self.at_once)


@dataclass(slots=True)
class Orders:
    """Takes or refuses orders and carries them out.

    Parameters
    ----------
    state : OrderState
    honours_fencing : bool
        Refuse orders with a fencing number below the highest seen.
    load_s : float
        Time to load weights when few others load, seconds.
    """

    state: OrderState
    honours_fencing: bool = True
    load_s: float = 1.0
    gauge: LoadingGauge = field(default_factory=LoadingGauge)
    history: list[Order] = field(default_factory=list)

    def take(self, order: Order) -> bool:
        """Return whether an order is taken; a load is then in progress."""
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
        """Return whether a taken order starts a load."""
        running = self.state.loading or self.state.version
        return order.kind == "load" and order.version != running

    def begin_load(self, order: Order) -> None:
        """Take a load as in progress."""
        self.state.loading = order.version
        self.gauge.running += 1
        self.gauge.peak = max(self.gauge.peak, self.gauge.running)

    async def finish_load(self, order: Order) -> bool:
        """Wait for a load that began; return whether its weights are in force.

        A later load or a crash in the meantime takes its place.
        """
        incarnation = self.state.incarnation
        try:
            await anyio.sleep(self.gauge.compute_seconds(self.load_s))
        finally:
            self.gauge.running -= 1
        current = (self.state.incarnation, self.state.loading)
        if current != (incarnation, order.version):
            return False
        self.state.model = order.model or self.state.model
        self.state.version = order.version
        self.state.loading = ""
        return True
