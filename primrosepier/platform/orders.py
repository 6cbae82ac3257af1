"""Orders to replicas as the platform spells them."""

from dataclasses import dataclass

import anyio
import msgspec

from ..engines import CONNECT_ERRORS, RELAY_ERRORS, EndpointCall, EndpointClient
from ..forwarding.calls import WeightsNumber
from ..forwarding.fleet import Replica
from ..forwarding.weights import OrderResult, ReplicaState, WeightsOrder
from ..ids import ModelId
from . import names

__all__ = ["PlatformOrders"]

# Runs finish first; calls that wait are told that they have not run.
SWITCH_MODE = "wait"
LOAD_WEIGHTS = "version"
# A replica answers such calls at once; a second covers a lost packet.
CALL_S = 1.0
CONNECT_S = 0.5
OK = 200
RESULTS = {
    200: OrderResult.ALREADY_LOADED,
    202: OrderResult.ACCEPTED,
    409: OrderResult.CONFLICT,
    412: OrderResult.SUPERSEDED,
}


class _Model(msgspec.Struct):
    name: str
    # The number of its weights.
    version: int


class _Report(msgspec.Struct):
    models: list[_Model]
    busy: bool
    # Orders accepted so far, unlike the field of that name elsewhere.
    seq: int


class _Order(msgspec.Struct, rename="camel"):
    model: str
    # The number of the weights.
    version: int
    holder: str
    # The fencing number.
    fence: int
    # The number of orders that the replica must have accepted.
    precondition: int
    op: str = LOAD_WEIGHTS
    switch_mode: str = SWITCH_MODE


@dataclass(frozen=True, slots=True)
class PlatformOrders:
    """Reads replicas' reports and posts orders."""

    client: EndpointClient

    async def read_state(self, replica: Replica) -> ReplicaState | None:
        """Return a replica's state, or None when it does not tell."""
        found = await self._call(replica, "GET", "/report", b"")
        if found is None or found[0] != OK:
            return None
        try:
            report = msgspec.json.decode(found[1], type=_Report)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
        weights = {ModelId(m.name): WeightsNumber(m.version) for m in report.models}
        return ReplicaState(weights, report.busy, report.seq)

    async def send(self, order: WeightsOrder) -> OrderResult:
        """Give an order."""
        load = order.load
        body = msgspec.json.encode(
            _Order(
                model=load.model,
                version=load.number,
                holder=order.holder,
                fence=order.fencing,
                precondition=order.expected_orders,
            )
        )
        found = await self._call(load.replica, "POST", "/order", body)
        if found is None:
            return OrderResult.UNKNOWN
        return RESULTS.get(found[0], OrderResult.REFUSED)

    async def _call(
        self, replica: Replica, method: str, path: str, body: bytes
    ) -> tuple[int, bytes] | None:
        """Return the status and body, or None when no answer came."""
        headers = [(names.EXPECTED_ENDPOINT.decode("ascii"), str(replica.id))]
        if body:
            headers.append(("content-type", "application/json"))
        call = EndpointCall(
            replica.address, method, path, tuple(headers), body, CONNECT_S, CALL_S
        )
        try:
            with anyio.fail_after(CONNECT_S + CALL_S):
                async with self.client.open(call) as response:
                    parts = [part async for part in response.aiter_stream()]
                    return response.status, b"".join(parts)
        except (*CONNECT_ERRORS, *RELAY_ERRORS, TimeoutError):
            return None
