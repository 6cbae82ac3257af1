"""Key-value store over the JSON gateway of the etcd v3 API."""

import base64
import ssl
from collections.abc import AsyncIterator, Sequence
from typing import Any

import anyio
import httpcore
import msgspec

from .decoding import decode_json
from .errors import MessageError
from .ids import Revision
from .outcomes import Step
from .store import (
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
    compute_range_end,
    make_watch_event,
)

__all__ = ["EtcdStore", "decode_item", "encode_bytes", "make_etcd_store"]

CALL_TIMEOUT_S = 2.0
HTTP_OK = 200
REJECTED_STATUSES = frozenset({400, 401, 403, 404, 413, 429})
MAX_ERROR_BYTES = 200
LEASE_NOT_FOUND = "requested lease not found"

NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    ssl.SSLError,
)
ANSWER_LOST_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    MessageError,
)
MALFORMED_ERRORS = (ValueError, TypeError, AttributeError, KeyError, ArithmeticError)
MAX_LINE_BYTES = 16 * 1024 * 1024


def encode_bytes(data: bytes | str) -> str:
    """Return bytes or text as base64 text."""
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def decode_item(entry: dict[str, Any]) -> Item:
    """Return the item of a JSON key-value pair."""
    return Item(
        key=base64.b64decode(entry.get("key", "")).decode(),
        value=base64.b64decode(entry.get("value", "")),
        mod_revision=Revision(int(entry.get("mod_revision", 0))),
        lease=int(entry.get("lease", 0)),
    )


def _read_revision(answer: dict[str, Any]) -> Revision:
    return Revision(int(answer.get("header", {}).get("revision", 0)))


def _encode_compare(compare: Compare) -> dict[str, Any]:
    return {
        "key": encode_bytes(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def _encode_put(put: Put) -> dict[str, Any]:
    key = encode_bytes(put.key)
    if put.value is None:
        return {"request_delete_range": {"key": key}}
    body = {"key": key, "value": encode_bytes(put.value), "lease": str(put.lease)}
    return {"request_put": body}


def _require_revision(answer: dict[str, Any]) -> Revision:
    revision = _read_revision(answer)
    if revision <= 0:
        raise ValueError("no revision in the answer")
    return revision


def _decode_snapshot(answer: dict[str, Any]) -> Snapshot:
    items = [decode_item(entry) for entry in answer.get("kvs", [])]
    return Snapshot(_require_revision(answer), {item.key: item for item in items})


def _decode_transaction(answer: dict[str, Any]) -> Applied | Conflict:
    revision = _require_revision(answer)
    if answer.get("succeeded") is True:
        return Applied(revision)
    items = {}
    for response in answer.get("responses", []):
        for entry in response.get("response_range", {}).get("kvs", []):
            item = decode_item(entry)
            items[item.key] = item
    return Conflict(revision, items)


class EtcdStore:
    """Client of the key-value service.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the service.
    timeout_s : float
        Time-out for each call, seconds; for a watch, only for connecting.
    """

    def __init__(self, address: str, timeout_s: float = CALL_TIMEOUT_S):
        self.address = address
        self.timeout_s = timeout_s
        self.pool = httpcore.AsyncConnectionPool(max_connections=16)

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def _call(
        self, path: str, body: dict[str, Any]
    ) -> dict[str, Any] | Ambiguous | Unavailable:
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), self.timeout_s)
        try:
            with anyio.fail_after(self.timeout_s):
                response = await self.pool.request(
                    "POST",
                    f"http://{self.address}{path}",
                    headers={"Content-Type": "application/json"},
                    content=msgspec.json.encode(body),
                    extensions={"timeout": timeouts},
                )
                if response.status != HTTP_OK:
                    return self._classify(response)
                return decode_json(response.content, dict[str, Any])
        except NOT_SENT_ERRORS as error:
            return Unavailable(Step.CONNECT, self.address, repr(error))
        except (*ANSWER_LOST_ERRORS, TimeoutError) as error:
            return Ambiguous(Step.HEADERS, self.address, repr(error))

    def _classify(self, response: httpcore.Response) -> Ambiguous | Unavailable:
        text = response.content[:MAX_ERROR_BYTES].decode("utf-8", "replace")
        reason = f"status {response.status}: {text}"
        if response.status in REJECTED_STATUSES:
            return Unavailable(Step.HEADERS, self.address, reason)
        return Ambiguous(Step.HEADERS, self.address, reason)

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        body = {
            "key": encode_bytes(prefix),
            "range_end": encode_bytes(compute_range_end(prefix)),
        }
        answer = await self._call("/v3/kv/range", body)
        if isinstance(answer, Ambiguous):
            return Unavailable(answer.step, answer.peer, answer.reason)
        if isinstance(answer, Unavailable):
            return answer
        try:
            return _decode_snapshot(answer)
        except MALFORMED_ERRORS as error:
            return Unavailable(Step.HEADERS, self.address, f"malformed: {error!r}")

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TransactOutcome:
        """Write all or nothing, if every condition holds."""
        ranges = [{"request_range": {"key": encode_bytes(c.key)}} for c in compares]
        body = {
            "compare": [_encode_compare(compare) for compare in compares],
            "success": [_encode_put(put) for put in puts],
            "failure": ranges,
        }
        answer = await self._call("/v3/kv/txn", body)
        if isinstance(answer, Unavailable) and LEASE_NOT_FOUND in answer.reason:
            return LeaseLost(next(put.lease for put in puts if put.lease))
        if isinstance(answer, Ambiguous | Unavailable):
            return answer
        try:
            return _decode_transaction(answer)
        except MALFORMED_ERRORS as error:
            return Ambiguous(Step.HEADERS, self.address, f"malformed: {error!r}")

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield the changes from a revision on; end when the service fails."""
        request = {
            "create_request": {
                "key": encode_bytes(prefix),
                "range_end": encode_bytes(compute_range_end(prefix)),
                "start_revision": str(revision),
            }
        }
        timeout = {"connect": self.timeout_s, "pool": self.timeout_s}
        try:
            async with self.pool.stream(
                "POST",
                f"http://{self.address}/v3/watch",
                content=msgspec.json.encode(request),
                extensions={"timeout": timeout},
            ) as response:
                remainder = b""
                async for chunk in response.aiter_stream():
                    *lines, remainder = (remainder + chunk).split(b"\n")
                    if len(remainder) > MAX_LINE_BYTES:
                        return
                    for line in lines:
                        event = _decode_watch_line(line, revision)
                        if event is not None:
                            yield event
        except (*NOT_SENT_ERRORS, *ANSWER_LOST_ERRORS, *MALFORMED_ERRORS):
            return

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(round(ttl_s))})
        if isinstance(answer, Ambiguous | Unavailable):
            return Unavailable(answer.step, answer.peer, answer.reason)
        try:
            lease, ttl_s = int(answer["ID"]), float(answer["TTL"])
        except MALFORMED_ERRORS as error:
            return Unavailable(Step.HEADERS, self.address, f"malformed: {error!r}")
        if lease <= 0 or not 0 < ttl_s < float("inf"):
            return Unavailable(Step.HEADERS, self.address, "no lease in the answer")
        return LeaseGranted(lease, ttl_s)

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        if isinstance(answer, Ambiguous | Unavailable):
            return Unavailable(answer.step, answer.peer, answer.reason)
        try:
            ttl_s = float(answer["result"].get("TTL", 0))
        except MALFORMED_ERRORS as error:
            return Unavailable(Step.HEADERS, self.address, f"malformed: {error!r}")
        return LeaseGranted(lease, ttl_s) if ttl_s > 0 else LeaseLost(lease)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys, if the service answers."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})


def _decode_watch_line(line: bytes, start: Revision) -> WatchEvent | None:
    if not line.strip():
        return None
    result = decode_json(line, dict[str, Any]).get("result", {})
    revision = _read_revision(result)
    if result.get("canceled") or int(result.get("compact_revision", 0)):
        return WatchEvent(revision, compacted=True)
    if result.get("created") and revision < start - 1:
        return WatchEvent(revision, compacted=True)
    changes: list[tuple[str, Item | None]] = []
    for event in result.get("events", []):
        item = decode_item(event.get("kv", {}))
        changes.append((item.key, None if event.get("type") == "DELETE" else item))
    return make_watch_event(revision, changes) if changes else None


def make_etcd_store(address: str) -> EtcdStore:
    """Return a client of the service at an address."""
    return EtcdStore(address)
