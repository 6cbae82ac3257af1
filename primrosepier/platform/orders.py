"""Orders replicas to load weights, in the platform's format."""

from dataclasses import dataclass

import anyio
import msgspec

from ..decoding import Count, HeaderText, decode_json
from ..endpoint_client import CONNECT_ERRORS, RELAY_ERRORS, EndpointCall, EndpointClient
from ..errors import MessageError
from ..forwarding.calls import WeightsVersionNumber
from ..forwarding.fleet import Replica
from ..forwarding.weights import OrderResult, ReplicaState, WeightsOrder
from ..ids import ModelId
from ..relay import read_whole_body
from . import names
from .replicas import read_leaving

__all__ = ["PlatformOrders"]

# The replica finishes running calls first, and refuses waiting ones as not run.
SWITCH_MODE = "wait"
LOAD_WEIGHTS = "version"
# Replicas respond to these calls immediately; one second allows for a lost packet.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 1024 * 1024
OK = 200
RESULTS = {
    200: OrderResult.ALREADY_LOADED,
    202: OrderResult.ACCEPTED,
    409: OrderResult.CONFLICT,
    412: OrderResult.SUPERSEDED,
}


class _Model(msgspec.Struct):
    name: HeaderText
    # The version of the model's weights.
    version: Count


class _Report(msgspec.Struct):
    models: list[_Model]
    busy: bool
    # Number of orders accepted so far, unlike "seq" in a registration.
    seq: Count


class _Order(msgspec.Struct, rename="camel"):
    model: str
    # The version of the weights.
    version: int
    holder: str
    # Fencing number of the holder's acquisition of the duty.
    fence: int
    # Number of orders that the replica must have accepted before this one.
    precondition: int
    op: str = LOAD_WEIGHTS
    switch_mode: str = SWITCH_MODE


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class PlatformOrders:
    """Reads replicas' weights states and sends orders to them."""

    client: EndpointClient

    async def read_state(self, replica: Replica) -> ReplicaState | None:
        """Return a replica's state, or None if it sends no valid response."""
        response = await self._call(replica, "GET", "/report", b"")
        if response is None or response.status != OK:
            return None
        try:
            report = decode_json(response.body, _Report)
        except MessageError:
            return None
        weights = {
            ModelId(m.name): WeightsVersionNumber(m.version) for m in report.models
        }
        return ReplicaState(
            weights, report.busy, report.seq, read_leaving(response.headers)
        )

    async def is_responding(self, replica: Replica) -> bool:
        """Return whether a replica responds, whatever it responds."""
        return await self._call(replica, "GET", "/report", b"") is not None

    async def send(self, order: WeightsOrder) -> OrderResult:
        """Send an order."""
        load = order.load
        body = msgspec.json.encode(
            _Order(
                model=load.model,
                version=load.version,
                holder=order.holder,
                fence=order.fencing,
                precondition=order.expected_order_count,
            )
        )
        response = await self._call(load.replica, "POST", "/order", body)
        if response is None:
            return OrderResult.UNKNOWN
        return RESULTS.get(response.status, OrderResult.REFUSED)

    async def _call(
        self, replica: Replica, method: str, path: str, body: bytes
    ) -> _Response | None:
        """Return the response, or None if there is none."""
        headers = [(names.EXPECTED_ENDPOINT.decode("ascii"), str(replica.id))]
        if body:
            headers.append(("content-type", "application/json"))
        call = EndpointCall(
            replica.address,
            method,
            path,
            tuple(headers),
            body,
            CONNECT_TIMEOUT_S,
            CALL_TIMEOUT_S,
        )
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S + CALL_TIMEOUT_S):
                async with self.client.open(call) as response:
                    data = await read_whole_body(response, MAX_REPORT_BYTES)
                    if data is None:
                        return None
                    return _Response(response.status, tuple(response.headers), data)
        except (*CONNECT_ERRORS, *RELAY_ERRORS, TimeoutError):
            return None
