"""Stand-in for the key-value service: the JSON gateway of the etcd v3 API."""

import base64
from collections import Counter
from collections.abc import Callable, Sequence
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
from .errors import CompactedError, LeaseNotFoundError, RequestError
from .keyvalue import Change, KeyValue, is_in_range
from .standin_store_json import (
    decode_condition,
    decode_delete,
    decode_operation,
    decode_put,
    decode_range,
    encode_change,
    encode_range_result,
    encode_result,
)
from .store import MemoryStore, StoreFaults, split_changes

__all__ = ["StoreFaults", "StoreStandin"]

MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_OPERATIONS = 128
WRITE_PATHS = frozenset({"/v3/kv/put", "/v3/kv/txn", "/v3/kv/deleterange"})
GRPC_CODE_BY_STATUS = {404: 5, 400: 3, 503: 14, 504: 4}

JsonObject = dict[str, Any]


def _make_error(status: int, text: str) -> RequestError:
    return RequestError(status, "etcdserver", f"etcdserver: {text}")


@dataclass(slots=True)
class StoreStandin:
    """ASGI app that answers like the key-value service.

    Parameters
    ----------
    store : MemoryStore
        Holds the state. Leases expire by its clock, and answers of a watch have the
        sizes that it chooses.
    calls : int
        Number of calls. A watch counts as one call.
    """

    store: MemoryStore = field(default_factory=MemoryStore)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0
    calls_by_path: Counter[str] = field(default_factory=Counter)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        path = scope["path"]
        self.calls += 1
        self.calls_by_path[path] += 1
        try:
            await anyio.sleep(self.faults.delay_s)
            if self.faults.down:
                raise _make_error(503, "no leader")
            if path == "/version":
                version = {"etcdserver": "3.5.0", "etcdcluster": "3.5.0"}
                await send_json(send, 200, version)
                return
            body = await read_json(receive, MAX_BODY_BYTES)
            await self._route(path, body, receive, send)
        except RequestError as error:
            code = GRPC_CODE_BY_STATUS.get(error.status, 2)
            answer = {"error": error.message, "code": code, "message": error.message}
            await send_json(send, error.status, answer)

    @property
    def state(self) -> KeyValue:
        """Return the keys, leases and history."""
        return self.store.state

    async def _route(
        self, path: str, body: JsonObject, receive: Receive, send: Send
    ) -> None:
        if path == "/v3/watch":
            await self._serve_watch(body.get("create_request", {}), receive, send)
            return
        answer = self._answer(path, body)
        self.store.notify()
        if path in WRITE_PATHS and self.faults.consume_lost_answer():
            raise _make_error(504, "request timed out")
        await send_json(send, 200, answer)

    def _answer(self, path: str, body: JsonObject) -> JsonObject:
        handlers: dict[str, Callable[[JsonObject], JsonObject]] = {
            "/v3/kv/range": self.answer_range,
            "/v3/kv/put": self.answer_put,
            "/v3/kv/deleterange": self.answer_delete,
            "/v3/kv/txn": self.answer_txn,
            "/v3/kv/compaction": self.answer_compaction,
            "/v3/lease/grant": self.answer_grant,
            "/v3/lease/keepalive": self.answer_keepalive,
            "/v3/lease/revoke": self.answer_revoke,
            "/v3/kv/lease/revoke": self.answer_revoke,
            "/v3/lease/timetolive": self.answer_time_to_live,
            "/v3/kv/lease/timetolive": self.answer_time_to_live,
            "/v3/lease/leases": self.answer_leases,
            "/v3/kv/lease/leases": self.answer_leases,
        }
        if path not in handlers:
            raise RequestError(404, "not_found", "Not Found")
        try:
            return handlers[path](body)
        except LeaseNotFoundError as error:
            raise _make_error(404, "requested lease not found") from error
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            raise _make_error(400, f"the call can't be read: {error!r}") from error

    def make_header(self, revision: int | None = None) -> dict[str, str]:
        """Return the header of an answer."""
        header_revision = str(self.state.revision if revision is None else revision)
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": header_revision,
            "raft_term": "1",
        }

    def answer_range(self, body: JsonObject) -> JsonObject:
        """Answer a range call."""
        result = self.state.read(decode_range(body))
        return {"header": self.make_header(), **encode_range_result(result)}

    def answer_put(self, body: JsonObject) -> JsonObject:
        """Answer a put call."""
        operation = decode_put(body)
        result = self.state.transact([], [operation])
        answer = encode_result(operation, result.results[0], body)
        return {"header": self.make_header(), **answer}

    def answer_delete(self, body: JsonObject) -> JsonObject:
        """Answer a delete call."""
        operation = decode_delete(body)
        result = self.state.transact([], [operation])
        answer = encode_result(operation, result.results[0], body)
        return {"header": self.make_header(), **answer}

    def answer_txn(self, body: JsonObject) -> JsonObject:
        """Answer a transaction."""
        branches = [body.get("success", []), body.get("failure", [])]
        if max(map(len, [*branches, body.get("compare", [])])) > MAX_OPERATIONS:
            raise _make_error(400, "too many operations in txn request")
        conditions = [decode_condition(entry) for entry in body.get("compare", [])]
        success, failure = (
            [decode_operation(entry) for entry in branch] for branch in branches
        )
        outcome = self.state.transact(conditions, success, failure)
        executed = success if outcome.succeeded else failure
        entries = branches[0] if outcome.succeeded else branches[1]
        answer: JsonObject = {"header": self.make_header()}
        if outcome.succeeded:
            answer["succeeded"] = True
        answer["responses"] = []
        pairs = zip(entries, executed, outcome.results, strict=True)
        for entry, operation, result in pairs:
            ((name, request),) = entry.items()
            response = encode_result(operation, result, request)
            response["header"] = {"revision": str(outcome.revision)}
            name = name.replace("request_", "response_")
            answer["responses"].append({name: response})
        return answer

    def answer_compaction(self, body: JsonObject) -> JsonObject:
        """Answer a compaction."""
        self.state.compact(int(body.get("revision", 0)))
        return {"header": self.make_header()}

    def answer_grant(self, body: JsonObject) -> JsonObject:
        """Answer a lease grant."""
        ttl_s = int(body.get("TTL", 0))
        if ttl_s <= 0:
            raise _make_error(400, "too small lease TTL")
        lease = self.state.grant_lease(ttl_s, int(body.get("ID", 0)))
        return {"header": self.make_header(), "ID": str(lease), "TTL": str(ttl_s)}

    def answer_keepalive(self, body: JsonObject) -> JsonObject:
        """Answer a keep-alive; an answer without TTL means that the lease expired."""
        lease = int(body.get("ID", 0))
        ttl_s = int(self.state.keep_alive(lease))
        result = {"header": self.make_header(), "ID": str(lease)}
        if ttl_s:
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def answer_revoke(self, body: JsonObject) -> JsonObject:
        """Answer a lease revocation."""
        self.state.revoke_lease(int(body.get("ID", 0)))
        return {"header": self.make_header()}

    def answer_time_to_live(self, body: JsonObject) -> JsonObject:
        """Answer with the remaining time to live of a lease."""
        lease = int(body.get("ID", 0))
        answer: JsonObject = {"header": self.make_header(), "ID": str(lease)}
        self.state.expire()
        lease_state = self.state.leases.get(lease)
        if lease_state is None:
            return {**answer, "TTL": "-1"}
        answer["TTL"] = str(int(lease_state.expires_at_s - self.state.clock()))
        answer["grantedTTL"] = str(int(lease_state.ttl_s))
        if body.get("keys"):
            keys = self.state.list_lease_keys(lease)
            answer["keys"] = [base64.b64encode(key).decode() for key in keys]
        return answer

    def answer_leases(self, body: JsonObject) -> JsonObject:
        """Answer with the list of leases."""
        self.state.expire()
        leases = [{"ID": str(lease)} for lease in self.state.leases]
        return {"header": self.make_header(), "leases": leases}

    async def _serve_watch(
        self, request: JsonObject, receive: Receive, send: Send
    ) -> None:
        start = int(request.get("start_revision", 0)) or self.state.revision + 1
        await start_response(send, 200, [("content-type", "application/json")])
        await self._send_result(send, {"header": self.make_header(), "created": True})

        async def watch_caller() -> None:
            await wait_for_disconnect(receive)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            await self._send_changes(send, request, start)
            group.cancel_scope.cancel()

    async def _send_changes(self, send: Send, request: JsonObject, start: int) -> None:
        key = base64.b64decode(request.get("key", ""))
        end = base64.b64decode(request.get("range_end", ""))
        while not self.faults.down:
            changed = self.store.changed
            try:
                changes = self.state.list_changes(start)
            except CompactedError:
                header = self.make_header()
                cancellation = {
                    "canceled": True,
                    "compact_revision": str(self.state.compacted),
                }
                await self._send_result(send, {"header": header, **cancellation})
                return
            for part in split_changes(changes, self.store.choose_answer_size):
                start = part[-1].revision + 1
                await self._send_part(send, part, key, end)
            if changed is self.store.changed:
                await self.store.wait(changed)

    async def _send_part(
        self, send: Send, changes: Sequence[Change], key: bytes, end: bytes
    ) -> None:
        events: list[JsonObject] = []
        for change in changes:
            events += encode_change(change, lambda name: is_in_range(name, key, end))
        if events:
            header = self.make_header(changes[-1].revision)
            await self._send_result(send, {"header": header, "events": events})

    async def _send_result(self, send: Send, result: JsonObject) -> None:
        await send_chunk(send, msgspec.json.encode({"result": result}) + b"\n")
