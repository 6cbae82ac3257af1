"""Orders to an engine stand-in: weights, adapters and its role.

``POST /orders`` takes ``{"fencing": 7, "kind": "load", "model": "m",
"version": "2"}``; ``kind`` is ``load``, ``adapter`` (with ``adapter``) or
``role`` (with ``role``). The answer is 200 with the state if the order is accepted,
409 with the highest fencing number if the engine honours fencing and the order's
number is lower, and 400 for a malformed order. Orders are idempotent: one that is
executed already or in progress is accepted again without effect.

``GET /orders`` returns the state: ``{"incarnation", "model", "version",
"loading", "adapters", "role", "fencing", "taken", "refused"}``; ``loading`` is
the version that is being loaded, or an empty string. While it loads, the engine
refuses requests with 503.
"""

from dataclasses import dataclass, field

import anyio
import msgspec

__all__ = ["LoadingGauge", "Order", "OrderHandler", "OrderState"]


class Order(msgspec.Struct, frozen=True):
    """Body of an order."""

    fencing: int
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class OrderState(msgspec.Struct):
    """State of the engine that orders change."""

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
    """Weight loads in progress on the engines that share a weight store.

    Parameters
    ----------
    full_speed_loads : int
        Concurrent loads up to which each runs at full speed.
    peak : int
        Highest number of concurrent loads.
    """

    full_speed_loads: int = 3
    running: int = 0
    peak: int = 0

    def compute_load_time(self, load_s: float) -> float:
        """Return the duration of a load that starts now, seconds."""
        return load_s * max(1.0, self.running / self.full_speed_loads)


@dataclass(slots=True)
class OrderHandler:
    """Accepts or refuses orders and executes them.

    Parameters
    ----------
    state : OrderState
    honours_fencing : bool
        Refuse orders with a fencing number below the highest seen.
    load_s : float
        Time to load weights at full speed, seconds.
    """

    state: OrderState
    honours_fencing: bool = True
    load_s: float = 1.0
    gauge: LoadingGauge = field(default_factory=LoadingGauge)
    history: list[Order] = field(default_factory=list)

    def accept(self, order: Order) -> bool:
        """Return whether an order is accepted; execute it unless it is a load."""
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
        self.gauge.running += 1
        self.gauge.peak = max(self.gauge.peak, self.gauge.running)

    async def finish_load(self, order: Order) -> bool:
        """Wait for a load to finish; return whether its weights take effect.

        They don't if a later load or a crash has superseded it.
        """
        incarnation = self.state.incarnation
        try:
            await anyio.sleep(self.gauge.compute_load_time(self.load_s))
        finally:
            self.gauge.running -= 1
        current = (self.state.incarnation, self.state.loading)
        if current != (incarnation, order.version):
            return False
        self.state.model = order.model or self.state.model
        self.state.version = order.version
        self.state.loading = ""
        return True
