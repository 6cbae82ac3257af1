"""Stand-in of the key-value service: the etcd v3 API in its JSON form."""

import base64
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from .asgi import (
    Receive,
    Scope,
    Send,
    read_json,
    send_chunk,
    send_json,
    start_response,
    wait_for_disconnect,
)
from .errors import RequestError
from .etcd import encode_bytes
from .ids import Revision
from .store import (
    Applied,
    Compare,
    Item,
    LeaseLost,
    MemoryStore,
    Put,
    TransactOutcome,
    WatchEvent,
)

__all__ = ["StoreFaults", "StoreStandin"]

BODY_BYTES = 8 * 1024 * 1024


@dataclass(slots=True)
class StoreFaults:
    """Faults that the stand-in shows on demand.

    Parameters
    ----------
    down : bool
        Refuse every call.
    delay_s : float
        Wait before each call, seconds.
    lose_answers : int
        Number of next writes that take effect and whose answer is lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


def _decode(text: str | None) -> str:
    return base64.b64decode(text or "").decode()


@dataclass(slots=True)
class StoreStandin:
    """ASGI app that answers as the key-value service does."""

    store: MemoryStore = field(default_factory=MemoryStore)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        self.calls += 1
        try:
            body = await read_json(receive, BODY_BYTES)
            await anyio.sleep(self.faults.delay_s)
            if self.faults.down:
                raise RequestError(503, "unavailable", "The service is down.")
            await self._route(scope["path"], body, receive, send)
        except RequestError as error:
            await send_json(send, error.status, {"error": error.message, "code": 14})

    async def _route(
        self, path: str, body: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        if path == "/v3/watch":
            await self._serve_watch(body.get("create_request", {}), receive, send)
            return
        answers = {
            "/v3/kv/range": self.answer_range,
            "/v3/kv/put": self.answer_put,
            "/v3/kv/deleterange": self.answer_delete,
            "/v3/kv/txn": self.answer_txn,
            "/v3/lease/grant": self.answer_grant,
            "/v3/lease/keepalive": self.answer_keepalive,
            "/v3/lease/revoke": self.answer_revoke,
        }
        if path not in answers:
            raise RequestError(404, "not_found", f"There is nothing at {path}.")
        answer = answers[path](body)
        if self.faults.lose_answers and path in ("/v3/kv/put", "/v3/kv/txn"):
            self.faults.lose_answers -= 1
            raise RequestError(504, "timeout", "The answer was lost.")
        await send_json(send, 200, answer)

    def make_header(self) -> dict[str, str]:
        """Return the header of every answer."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}

    @property
    def revision(self) -> Revision:
        """Revision of the last write."""
        return self.store.revision

    def select(self, body: dict[str, Any]) -> list[Item]:
        """Return the items in the range that a body names."""
        key = _decode(body.get("key"))
        end = base64.b64decode(body.get("range_end", ""))
        if not end:
            item = self.store.items.get(key)
            return [item] if item else []
        items = self.store.select("").values()
        start = key.encode()
        to_the_end = end == b"\x00"
        return [
            item
            for item in items
            if start <= item.key.encode() and (to_the_end or item.key.encode() < end)
        ]

    def encode_item(self, item: Item) -> dict[str, Any]:
        """Return an item as JSON."""
        return {
            "key": encode_bytes(item.key),
            "value": encode_bytes(item.value),
            "mod_revision": str(item.mod_revision),
            "create_revision": str(item.mod_revision),
            "version": "1",
            "lease": str(item.lease),
        }

    def answer_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a range call."""
        items = self.select(body)
        return {
            "header": self.make_header(),
            "kvs": [self.encode_item(item) for item in items],
            "count": str(len(items)),
        }

    def answer_put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a put call."""
        self._check(self.store.commit([], [self._decode_put(body)]))
        return {"header": self.make_header()}

    def _decode_put(self, body: dict[str, Any]) -> Put:
        value = base64.b64decode(body.get("value", ""))
        return Put(_decode(body.get("key")), value, int(body.get("lease", 0)))

    def _check(self, outcome: TransactOutcome) -> TransactOutcome:
        if isinstance(outcome, LeaseLost):
            text = "etcdserver: requested lease not found"
            raise RequestError(404, "not_found", text)
        return outcome

    def answer_delete(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a delete call."""
        items = self.select(body)
        self.store.commit([], [Put(item.key, None) for item in items])
        return {"header": self.make_header(), "deleted": str(len(items))}

    def answer_txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a transaction whose conditions compare modification revisions."""
        compares = []
        for entry in body.get("compare", []):
            number = int(entry.get("mod_revision", entry.get("create_revision", 0)))
            compares.append(Compare(_decode(entry.get("key")), Revision(number)))
        puts = []
        for entry in body.get("success", []):
            if "request_put" in entry:
                puts.append(self._decode_put(entry["request_put"]))
            elif "request_delete_range" in entry:
                items = self.select(entry["request_delete_range"])
                puts.extend(Put(item.key, None) for item in items)
        outcome = self._check(self.store.commit(compares, puts))
        succeeded = isinstance(outcome, Applied)
        branch = body.get("success" if succeeded else "failure", [])
        responses = [
            {"response_range": self.answer_range(entry["request_range"])}
            for entry in branch
            if "request_range" in entry
        ]
        return {
            "header": self.make_header(),
            "succeeded": succeeded,
            "responses": responses,
        }

    def answer_grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a lease grant."""
        ttl_s = float(body.get("TTL", 0))
        lease = len(self.store.leases) + 1
        self.store.leases[lease] = ttl_s
        return {"header": self.make_header(), "ID": str(lease), "TTL": str(int(ttl_s))}

    def answer_keepalive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a keep-alive; a time to live of 0 tells that the lease is gone."""
        lease = int(body.get("ID", 0))
        ttl_s = int(self.store.leases.get(lease, 0))
        result = {"header": self.make_header(), "ID": str(lease), "TTL": str(ttl_s)}
        return {"result": result}

    def answer_revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a lease revocation."""
        lease = int(body.get("ID", 0))
        self.store.leases.pop(lease, None)
        held = [key for key, item in self.store.items.items() if item.lease == lease]
        self.store.commit([], [Put(key, None) for key in held])
        return {"header": self.make_header()}

    async def _serve_watch(
        self, request: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        prefix = _decode(request.get("key"))
        start = Revision(int(request.get("start_revision", 0)) or self.revision + 1)
        await start_response(send, 200, [("content-type", "application/json")])
        created = {"header": self.make_header(), "created": True}
        await self._send_result(send, created)

        async def watch_caller() -> None:
            await wait_for_disconnect(receive)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            async for event in self.store.watch(prefix, start):
                if self.faults.down:
                    break
                await self._send_result(send, self._encode_event(event))
            group.cancel_scope.cancel()

    def _encode_event(self, event: WatchEvent) -> dict[str, Any]:
        events: list[dict[str, Any]] = []
        for item in event.items:
            events.append({"type": "PUT", "kv": self.encode_item(item)})
        for key in event.deleted:
            kv = {"key": encode_bytes(key), "mod_revision": str(event.revision)}
            events.append({"type": "DELETE", "kv": kv})
        header = self.make_header()
        header["revision"] = str(event.revision)
        return {"header": header, "events": events}

    async def _send_result(self, send: Send, result: dict[str, Any]) -> None:
        await send_chunk(send, msgspec.json.encode({"result": result}) + b"\n")
