"""Sends weights orders to endpoints and reads their weights state."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from .configuration import Endpoint
from .decoding import decode_json
from .endpoint_client import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
)
from .errors import MessageError
from .ids import FencingNumber, ModelId, WeightsVersion

__all__ = [
    "EndpointOrders",
    "EngineState",
    "LoadOrder",
    "OrderClient",
    "OrderFailed",
    "OrderRefused",
    "OrderAccepted",
]

HTTP_OK = 200
HTTP_CONFLICT = 409
READ_TIMEOUT_S = 2.0


class LoadOrder(msgspec.Struct, frozen=True, tag_field="kind", tag="load"):
    """Order to an endpoint to load a version of a model's weights."""

    fencing: FencingNumber
    model: ModelId
    version: WeightsVersion


class EngineState(msgspec.Struct, frozen=True):
    """Weights state reported by an endpoint.

    Parameters
    ----------
    loading : str
        Version that is being loaded; empty for none.
    fencing : int
        Highest fencing number that the endpoint has seen.
    """

    incarnation: str
    model: str = ""
    version: str = ""
    loading: str = ""
    fencing: int = 0


class Refusal(msgspec.Struct, frozen=True):
    """Body of the answer that refuses an order.

    Parameters
    ----------
    fencing : int
        Highest fencing number that the endpoint has seen.
    """

    fencing: int = 0


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The endpoint executes the order."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The endpoint has seen a higher fencing number."""

    fencing: int


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """The endpoint gave no usable answer; the order may still be executed."""

    reason: str


class OrderClient(Protocol):
    """Sends orders to endpoints and reads their state."""

    async def send(
        self, endpoint: Endpoint, order: LoadOrder, timeout_s: float
    ) -> OrderAccepted | OrderRefused | OrderFailed:
        """Send an order."""

    async def read(self, endpoint: Endpoint) -> EngineState | None:
        """Return an endpoint's state, or None without a valid answer."""


@dataclass(frozen=True, slots=True)
class EndpointOrders:
    """Orders over HTTP: ``POST /orders`` and ``GET /orders``."""

    client: EndpointClient

    async def send(
        self, endpoint: Endpoint, order: LoadOrder, timeout_s: float
    ) -> OrderAccepted | OrderRefused | OrderFailed:
        """Send an order."""
        body = msgspec.json.encode(order)
        try:
            status, data = await self._call(endpoint, "POST", body, timeout_s)
            if status == HTTP_CONFLICT:
                refusal = decode_json(data, Refusal)
                return OrderRefused(refusal.fencing)
        except (*CONNECT_ERRORS, *RELAY_ERRORS, MessageError) as error:
            return OrderFailed(repr(error))
        return OrderAccepted() if status == HTTP_OK else OrderFailed(f"status {status}")

    async def read(self, endpoint: Endpoint) -> EngineState | None:
        """Return an endpoint's state, or None without a valid answer."""
        try:
            status, data = await self._call(endpoint, "GET", b"", READ_TIMEOUT_S)
            if status != HTTP_OK:
                return None
            return decode_json(data, EngineState)
        except (*CONNECT_ERRORS, *RELAY_ERRORS, MessageError):
            return None

    async def _call(
        self, endpoint: Endpoint, method: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        call = EndpointCall(
            address=endpoint.address,
            method=method,
            path="/orders",
            headers=(("content-type", "application/json"),),
            body=body,
            connect_s=timeout_s,
            request_s=timeout_s,
        )
        async with self.client.open(call) as response:
            parts = [part async for part in response.aiter_stream()]
            return response.status, b"".join(parts)
