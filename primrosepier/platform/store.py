"""Client of the platform's key-value service; implements ``Store``."""

import base64
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import urlencode

import anyio
import msgspec

from ..clocks import Clock
from ..decoding import Count, DurationMs, decode_json, parse_count
from ..endpoint_client import (
    CONNECT_ERRORS,
    KEEPALIVE_S,
    RELAY_ERRORS,
    EndpointCall,
    HttpEndpointClient,
)
from ..errors import MessageError
from ..ids import Revision
from ..outcomes import Step
from ..store import (
    Ambiguous,
    Applied,
    Compare,
    Conflict,
    Item,
    LeaseGranted,
    LeaseLost,
    Put,
    Snapshot,
    TransactOutcome,
    Unavailable,
    WatchEvent,
    make_watch_event,
)
from . import names

__all__ = ["PlatformStore", "make_platform_store"]

MS = 0.001
CONNECT_TIMEOUT_S = 0.5
# Connections that are kept for the next calls.
MAX_CONNECTIONS = 16
# The service responds in milliseconds; one second allows for a lost packet.
CALL_TIMEOUT_S = 1.0
# Time by which the answer of a held watch may be late before it is asked for on another
# connection, seconds: the service answers in milliseconds, and a connection may be dead
# without a sign of it.
OVERDUE_S = 0.15
# Default time-out of a watch, seconds: well below the time within which a revoked key
# must stop working (5 s by default), since each response confirms that the local copy
# is current.
DEFAULT_WATCH_S = 1.5
OK, NOT_FOUND, GONE, PRECONDITION_FAILED = 200, 404, 410, 412
# Statuses of calls that the service has not executed.
REFUSED = frozenset({429, 503})


class _Item(msgspec.Struct):
    key: str
    # Revision of the key's last change.
    revision: Count
    # Base64 on the wire.
    value: bytes = b""
    lease: Count = 0
    deleted: bool = False


class _Range(msgspec.Struct, rename="camel"):
    items: list[_Item]
    truncated: bool
    store_revision: Count


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Item]
    store_revision: Count


class _TransactionResult(msgspec.Struct):
    revision: Count


class _ConflictItems(msgspec.Struct):
    items: list[_Item] = []


class _Lease(msgspec.Struct, rename="camel"):
    ttl_ms: DurationMs
    lease: Count = 0


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes
    # How often the store had been restored when it answered.
    restores: int


def _read_restores(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return how often the store was restored; 0 if it does not tell."""
    for name, value in headers:
        if name.lower() == names.STORE_ERA:
            return parse_count(value) or 0
    return 0


T = TypeVar("T")


def _decode(response: _Response, schema: type[T]) -> T | Unavailable:
    try:
        return decode_json(response.body, schema)
    except MessageError as cause:
        return Unavailable(Step.RELAY, "store", f"malformed response: {cause}")


def _make_item(item: _Item) -> Item:
    return Item(item.key, item.value, Revision(item.revision), item.lease)


class PlatformStore:
    """Client of the platform's key-value service.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    clock : Clock
        Returns the time at which a watch is sent.
    watch_s : float
        Longest time that a watch waits for changes, seconds.

    Attributes
    ----------
    restores : int
        Newest number in an answer that rises when the store is restored from a copy.
    """

    def __init__(
        self,
        address: str,
        clock: Clock = time.monotonic,
        watch_s: float = DEFAULT_WATCH_S,
    ):
        self.address = address
        self.clock = clock
        self.watch_s = watch_s
        self.restores = 0
        self.client = HttpEndpointClient(max_connections=MAX_CONNECTIONS)

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        idle_s: float = KEEPALIVE_S,
    ) -> _Response | Unavailable | Ambiguous:
        """Send a call; return ``Ambiguous`` if its response is lost.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait for the response once connected, seconds.
        idle_s : float
            Longest idle time after which a connection is still reused, seconds.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        headers = (("Content-Type", "application/json"),) if data else ()
        call = EndpointCall(
            self.address,
            method,
            path,
            headers,
            data,
            CONNECT_TIMEOUT_S,
            timeout_s,
            idle_s=idle_s,
        )
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S + timeout_s):
                async with self.client.open(call) as response:
                    parts = [part async for part in response.aiter_stream()]
        except CONNECT_ERRORS as error:
            return Unavailable(Step.CONNECT, self.address, repr(error))
        except (*RELAY_ERRORS, TimeoutError) as error:
            return Ambiguous(Step.HEADERS, self.address, repr(error))
        if response.status in REFUSED:
            reason = f"refused with status {response.status}"
            return Unavailable(Step.HEADERS, self.address, reason)
        restores = _read_restores(response.headers)
        if 0 < restores < self.restores:
            reason = "the store has been restored since it answered"
            return Ambiguous(Step.HEADERS, self.address, reason)
        self.restores = max(self.restores, restores)
        return _Response(response.status, b"".join(parts), restores)

    async def _read(self, path: str, schema: type[T]) -> T | Unavailable:
        """Send a read-only call and decode the response.

        A lost response is returned as ``Unavailable``, since the call changes nothing.
        """
        response = await self._call("GET", path)
        if isinstance(response, Ambiguous):
            return Unavailable(response.step, response.peer, response.reason)
        if isinstance(response, Unavailable):
            return response
        if response.status != OK:
            reason = f"unexpected status {response.status}"
            return Unavailable(Step.HEADERS, self.address, reason)
        return _decode(response, schema)

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix.

        Pages are read one after another. The revision is that of the first page, so
        that a watch from it includes changes made between the pages.
        """
        items: dict[str, Item] = {}
        revision, restores = Revision(0), 0
        after = ""
        while True:
            query = {"pathPrefix": prefix} | ({"after": after} if after else {})
            page = await self._read(f"/kv-range?{urlencode(query)}", _Range)
            if isinstance(page, Unavailable):
                return page
            if not revision:
                revision, restores = Revision(page.store_revision), self.restores
            items.update((i.key, _make_item(i)) for i in page.items)
            if not page.truncated or not page.items:
                return Snapshot(revision, items, restores)
            if page.items[-1].key <= after:
                reason = "malformed response: a page does not follow the one before"
                return Unavailable(Step.RELAY, "store", reason)
            after = page.items[-1].key

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Apply all writes atomically if every condition holds."""
        body = {
            "precondition": [
                {"key": c.key, "revision": c.mod_revision} for c in compares
            ],
            "writes": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode("ascii"),
                    "lease": put.lease,
                }
                for put in puts
                if put.value is not None
            ],
            "remove": [put.key for put in puts if put.value is None],
        }
        response = await self._call("POST", "/kv-txn", body)
        if isinstance(response, Ambiguous | Unavailable):
            return response
        if response.status == NOT_FOUND:
            return LeaseLost(next((put.lease for put in puts if put.lease), 0))
        if response.status == PRECONDITION_FAILED:
            return self._decode_conflict(response)
        if response.status != OK:
            reason = f"unexpected status {response.status}"
            return Unavailable(Step.HEADERS, self.address, reason)
        result = _decode(response, _TransactionResult)
        if isinstance(result, Unavailable):
            return Ambiguous(result.step, self.address, result.reason)
        return Applied(Revision(result.revision), response.restores)

    def _decode_conflict(self, response: _Response) -> Conflict:
        conflict = _decode(response, _ConflictItems)
        if isinstance(conflict, Unavailable):
            return Conflict(Revision(0))
        items = {i.key: _make_item(i) for i in conflict.items if i.revision}
        newest = max((item.mod_revision for item in items.values()), default=0)
        return Conflict(Revision(newest), items)

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on.

        The iterator ends when a call on the service fails, and after an event that
        reports a compacted revision. A watch that times out without changes yields an
        empty event, so that the reader knows that the service still responds.

        The first answer is not held, so that a reader that lost its connection knows
        at once what it has missed. An answer that is lost or overdue is asked for once
        more, on a new connection.
        """
        position = int(revision) - 1
        hold_s = 0.0
        while True:
            requested_at_s = self.clock()
            response = await self._poll(prefix, position, hold_s)
            if isinstance(response, Ambiguous) and hold_s:
                hold_s = 0.0
                continue
            if isinstance(response, Ambiguous | Unavailable):
                return
            if response.status == GONE:
                yield WatchEvent(Revision(position), compacted=True)
                return
            changes = _decode(response, _Events)
            if response.status != OK or isinstance(changes, Unavailable):
                return
            position = max(position, changes.store_revision)
            yield make_watch_event(
                Revision(position),
                ((i.key, None if i.deleted else _make_item(i)) for i in changes.events),
                requested_at_s,
                hold_s,
                self.restores,
            )
            hold_s = self.watch_s

    async def _poll(
        self, prefix: str, position: int, hold_s: float
    ) -> _Response | Unavailable | Ambiguous:
        """Ask for the changes after a revision; wait up to ``hold_s`` for one.

        An answer that is not held is asked for on a new connection.
        """
        query = urlencode(
            {"pathPrefix": prefix, "after": position, "waitMs": int(hold_s / MS)}
        )
        path = f"/kv-watch?{query}"
        if not hold_s:
            return await self._call("GET", path, idle_s=0.0)
        return await self._call("GET", path, timeout_s=hold_s + OVERDUE_S)

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Create a lease."""
        response = await self._call("POST", "/kv-lease", {"ttlMs": int(ttl_s / MS)})
        granted = self._decode_lease(response)
        return granted if granted is not None else self._make_unavailable(response)

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        response = await self._call("POST", f"/kv-keep/{lease}")
        if isinstance(response, _Response) and response.status == NOT_FOUND:
            return LeaseLost(lease)
        granted = self._decode_lease(response)
        if granted is None:
            return self._make_unavailable(response)
        return LeaseGranted(lease, granted.ttl_s, granted.restores)

    def _decode_lease(
        self, response: _Response | Unavailable | Ambiguous
    ) -> LeaseGranted | None:
        if not isinstance(response, _Response) or response.status != OK:
            return None
        granted = _decode(response, _Lease)
        if isinstance(granted, Unavailable):
            return None
        return LeaseGranted(granted.lease, granted.ttl_ms * MS, response.restores)

    def _make_unavailable(
        self, response: _Response | Unavailable | Ambiguous
    ) -> Unavailable:
        if isinstance(response, Unavailable):
            return response
        if isinstance(response, Ambiguous):
            return Unavailable(response.step, response.peer, response.reason)
        reason = f"unusable response with status {response.status}"
        return Unavailable(Step.HEADERS, self.address, reason)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys; ignore a failure to do so."""
        await self._call("DELETE", f"/kv-lease-end/{lease}")

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()


def make_platform_store(
    address: str, clock: Clock = time.monotonic, watch_s: float = DEFAULT_WATCH_S
) -> PlatformStore:
    """Return a client of the key-value service at an address."""
    return PlatformStore(address, clock, watch_s)
