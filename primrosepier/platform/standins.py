"""Stand-ins for the platform's store and replicas, written from its documentation.

Tests serve these ASGI apps over real sockets and inject faults.
"""

import base64
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import anyio
import msgspec

from ..asgi import (
    Receive,
    Scope,
    Send,
    abort_connection,
    find_header,
    read_body,
    read_json,
    send_bytes,
    send_chunk,
    send_json,
    start_response,
    wait_for_disconnect,
)
from ..errors import CompactedError
from ..ids import Revision
from ..store import (
    Applied,
    Compare,
    Item,
    LeaseGranted,
    LeaseLost,
    MemoryStore,
    Put,
    select_change,
)
from . import names
from .standin_room import Room

__all__ = [
    "ReplicaFaults",
    "ReplicaStart",
    "StandinReplica",
    "StandinStore",
    "StoreFaults",
]

MS = 0.001
MAX_BODY_BYTES = 4 * 1024 * 1024
PAGE_ITEMS = 50
# Longest time for which an answer of a watch waits for more changes, seconds.
MAX_HOLD_S = 0.05
BORN_MS = 1_700_000_000_000
SERVER_STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


@dataclass(slots=True)
class StoreFaults:
    """Faults injected into the store.

    Parameters
    ----------
    status : int
        Status of every response; 0 to respond normally.
    unresponsive : bool
        Never respond.
    lose_answers : int
        Number of following writes that are applied but not answered.
    """

    status: int = 0
    unresponsive: bool = False
    lose_answers: int = 0


class StandinStore:
    """Stand-in for the platform's store as an ASGI app.

    An answer of a watch contains all changes so far. It is held back for a moment until
    it spans as many revisions as the store chooses.

    Parameters
    ----------
    memory : MemoryStore or None
        Holds the state.

    Attributes
    ----------
    calls : list of str
        Paths of the calls received so far.
    """

    def __init__(self, memory: MemoryStore | None = None) -> None:
        self.memory = memory or MemoryStore()
        self.faults = StoreFaults()
        self.calls: list[str] = []

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write an item as an operator or a replica would."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.memory.commit([], [Put(key, data, lease)])

    def remove(self, key: str) -> None:
        """Delete an item."""
        self.memory.commit([], [Put(key, None)])

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        path = scope["path"]
        self.calls.append(path)
        if self.faults.unresponsive:
            await anyio.sleep_forever()
        if self.faults.status:
            await send_bytes(send, self.faults.status, b"", self._list_headers())
            return
        pairs = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
        query = {name: values[0] for name, values in pairs.items()}
        if path == "/kv-range":
            await self._answer_range(query, send)
        elif path == "/kv-watch":
            await self._answer_watch(query, receive, send)
        elif path == "/kv-txn":
            await self._answer_transaction(
                await read_json(receive, MAX_BODY_BYTES), send
            )
        else:
            await self._answer_lease(path, receive, send)

    def _list_headers(self) -> list[tuple[str, str]]:
        """Return the headers of all answers."""
        return [(names.STORE_ERA.decode(), str(1 + self.memory.restores))]

    async def _answer_range(self, query: dict[str, str], send: Send) -> None:
        matching = self.memory.select(query["pathPrefix"])
        after = query.get("after", "")
        items = [matching[key] for key in sorted(matching) if key > after]
        page = {
            "items": [_write_item(item) for item in items[:PAGE_ITEMS]],
            "truncated": len(items) > PAGE_ITEMS,
            "storeRevision": self.memory.revision,
        }
        await send_json(send, 200, page, self._list_headers())

    async def _answer_watch(
        self, query: dict[str, str], receive: Receive, send: Send
    ) -> None:
        prefix, after = query["pathPrefix"], int(query["after"])
        restores = self.memory.restores
        try:
            if after > self.memory.revision:
                raise CompactedError(self.memory.revision)
            with anyio.move_on_after(int(query["waitMs"]) * MS):
                while not self._list_events(prefix, after):
                    if await self._wait_for_change(receive):
                        return
                    if restores != self.memory.restores:
                        raise CompactedError(self.memory.revision)
                await self._hold_back(prefix, after)
            events = self._list_events(prefix, after)
        except CompactedError:
            await send_bytes(send, 410, b"", self._list_headers())
            return
        body = {"events": events, "storeRevision": self.memory.revision}
        await send_json(send, 200, body, self._list_headers())

    async def _hold_back(self, prefix: str, after: int) -> None:
        size = self.memory.choose_answer_size()
        with anyio.move_on_after(MAX_HOLD_S):
            while len({e["revision"] for e in self._list_events(prefix, after)}) < size:
                await self.memory.wait(self.memory.changed)

    async def _wait_for_change(self, receive: Receive) -> bool:
        """Wait for a change; return whether the caller disconnected before."""
        is_gone = False

        async def watch_caller() -> None:
            nonlocal is_gone
            await wait_for_disconnect(receive)
            is_gone = True
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            await self.memory.wait(self.memory.changed)
            group.cancel_scope.cancel()
        return is_gone

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = []
        for change in self.memory.state.list_changes(after + 1):
            selected = select_change(change, prefix)
            if selected is None:
                continue
            events += [_write_item(item) for item in selected.items]
            events += [
                {"key": key, "revision": selected.revision, "deleted": True}
                for key in selected.deleted
            ]
        return events

    async def _answer_transaction(self, body: dict[str, Any], send: Send) -> None:
        compares = [
            Compare(row["key"], Revision(row["revision"]))
            for row in body["precondition"]
        ]
        puts = [
            Put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body["writes"]
        ]
        puts += [Put(key, None) for key in body["remove"]]
        outcome = self.memory.commit(compares, puts)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            abort_connection(send)
        elif isinstance(outcome, Applied):
            await send_json(
                send, 200, {"revision": outcome.revision}, self._list_headers()
            )
        elif isinstance(outcome, LeaseLost):
            await send_bytes(send, 404, b"", self._list_headers())
        else:
            items = [_write_item(item) for item in outcome.items.values()]
            await send_json(send, 412, {"items": items}, self._list_headers())

    async def _answer_lease(self, path: str, receive: Receive, send: Send) -> None:
        _, call, *rest = path.split("/")
        if call == "kv-lease":
            ttl_ms = (await read_json(receive, MAX_BODY_BYTES))["ttlMs"]
            granted = await self.memory.grant_lease(ttl_ms * MS)
            assert isinstance(granted, LeaseGranted)
            await send_json(
                send,
                200,
                {"lease": granted.lease, "ttlMs": ttl_ms},
                self._list_headers(),
            )
        elif call == "kv-keep":
            kept = await self.memory.keep_alive(int(rest[0]))
            if isinstance(kept, LeaseGranted):
                await send_json(
                    send, 200, {"ttlMs": kept.ttl_s / MS}, self._list_headers()
                )
            else:
                await send_bytes(send, 404, b"", self._list_headers())
        elif call == "kv-lease-end":
            await self.memory.revoke_lease(int(rest[0]))
            await send_bytes(send, 200, b"{}", self._list_headers())
        else:
            await send_bytes(send, 404, b"", self._list_headers())


def _write_item(item: Item) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode("ascii"),
        "revision": item.mod_revision,
        "created": item.mod_revision,
        "lease": item.lease,
    }


@dataclass(slots=True)
class ReplicaFaults:
    """Faults injected into a replica.

    Parameters
    ----------
    refuse : bool
        Refuse calls without running them.
    break_after : int or None
        Cut the connection within the n-th event of a stream; 0 before the response.
    status : int
        Status of the responses to calls that run.
    wrong_id : bool
        Respond with the id of another call.
    queue_s : float
        Time for which a call waits before it runs, seconds. A call whose connection is
        closed meanwhile does not run.
    delay_s : float
        Delay before the response to a call that runs, seconds.
    lose_orders : int
        Number of following orders that are executed but not answered.
    crash_on : str
        Id of a prompt part on which the connection is cut; empty for none.
    rate_limit : str
        Requests per second that the replica's answers name as its limit; empty for
        none.
    retry_after : str or None
        Value of Retry-After in refusals; None for none.
    leaving : bool
        Say in all answers that the replica is leaving; its registration does not.
    """

    refuse: bool = False
    break_after: int | None = None
    status: int = 200
    wrong_id: bool = False
    queue_s: float = 0.0
    delay_s: float = 0.0
    lose_orders: int = 0
    crash_on: str = ""
    rate_limit: str = ""
    retry_after: str | None = None
    leaving: bool = False

    def crashes(self, prompt_parts: str) -> bool:
        """Return whether a call with these prompt parts cuts its connection."""
        return bool(self.crash_on) and f"{self.crash_on}:" in prompt_parts


@dataclass(frozen=True, slots=True)
class ReplicaStart:
    """Start of a run.

    Parameters
    ----------
    call_id : str
    at_s : float
        Monotonic time, seconds.
    weights : int
        Version of the replica's weights.
    """

    call_id: str
    at_s: float
    weights: int


@dataclass(slots=True)
class StandinReplica:
    """Stand-in for a replica as an ASGI app.

    Parameters
    ----------
    events : int
        Number of events of each stream.
    register : callable
        Updates the replica's registration; called after its weights changed, and after
        a new start.
    born : int
        Time of the last start, Unix milliseconds.
    room : Room or None
        Calls that it takes at the same time; None for any number.

    Attributes
    ----------
    runs : list of dict
        Headers of the calls that the replica ran.
    starts : list of ReplicaStart
        When it began to run them.
    arrived : list of tuple of float and str
        Time, in seconds, and id of each call that arrived, whether run or refused.
    orders : list of dict
        Orders that the replica executed.
    free_slots : anyio.Semaphore or None
        Slots of the room that are free; None before the first call.
    """

    id: str
    events: int = 3
    model: str = "m0"
    weights: int = 1
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    runs: list[dict[str, str]] = field(default_factory=list)
    starts: list[ReplicaStart] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    register: Callable[[], None] = lambda: None
    born: int = BORN_MS
    room: Room | None = None
    free_slots: anyio.Semaphore | None = None

    @property
    def arrivals(self) -> int:
        """Number of calls that arrived, whether run or refused."""
        return len(self.arrived)

    def restart(self) -> None:
        """Start again under the same id, without faults and orders."""
        self.born += 1
        self.faults = ReplicaFaults()
        self.orders.clear()
        self.register()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        if self.room is not None and self.room.is_down(time.monotonic()):
            abort_connection(send)
            return
        expected = find_header(scope, names.EXPECTED_ENDPOINT.decode())
        if expected not in ("", self.id):
            identity = (names.ENDPOINT_ID.decode(), self.id)
            await send_bytes(send, 421, b"", [identity, *self._list_headers()])
        elif scope["path"] == "/report":
            await send_json(send, 200, self.make_report(), self._list_headers())
        elif scope["path"] == "/order":
            await self._apply_order(await read_json(receive, MAX_BODY_BYTES), send)
        else:
            body = await read_body(receive, MAX_BODY_BYTES)
            await self._run(scope, body, receive, send)

    def make_entry(self, service: str, address: str, **changes: Any) -> dict[str, Any]:
        """Return the replica's registration in the store."""
        entry = {"service": service, "address": address, "zone": "rennes"}
        state = {"state": "ready", "slots": 4, "seq": 1, "version": "v1"}
        models = [{"name": self.model, "version": self.weights, "adapters": []}]
        return {**entry, **state, "models": models, "born": self.born, **changes}

    def make_report(self) -> dict[str, Any]:
        """Return the body of the response that states the replica's weights."""
        models = [{"name": self.model, "version": self.weights, "adapters": []}]
        return {"models": models, "busy": False, "seq": len(self.orders)}

    def _list_headers(self) -> list[tuple[str, str]]:
        """Return the headers of all answers."""
        return [(names.LEAVING.decode(), "1")] if self.faults.leaving else []

    async def _apply_order(self, order: dict[str, Any], send: Send) -> None:
        newest_fence = max((executed["fence"] for executed in self.orders), default=0)
        if order["fence"] < newest_fence:
            status = 412
        elif order["precondition"] != len(self.orders):
            status = 409
        elif order["version"] == self.weights:
            status = 200
        else:
            status = 202
            self.orders.append(order)
            self.weights = order["version"]
            self.register()
            if self.faults.lose_orders:
                self.faults.lose_orders -= 1
                abort_connection(send)
                return
        await send_bytes(send, status, b"", self._list_headers())

    async def _run(
        self, scope: Scope, body: bytes, receive: Receive, send: Send
    ) -> None:
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        call_id = headers.get(names.CALL_ID.decode(), "")
        self.arrived.append((anyio.current_time(), call_id))
        if self.faults.wrong_id:
            call_id = "0" * 16
        response_headers = [(names.CALL_ID.decode(), call_id), *self._list_headers()]
        if self.faults.rate_limit:
            limit = (names.RATE_LIMIT.decode(), self.faults.rate_limit)
            response_headers.append(limit)
        if self.faults.refuse:
            response_headers.append((names.NOT_RUN.decode(), "1"))
            if self.faults.retry_after is not None:
                rest = (names.RETRY_AFTER.decode(), self.faults.retry_after)
                response_headers.append(rest)
            await send_bytes(send, 503, b"", response_headers)
            return
        if self.room is not None:
            await self._run_in_room(self.room, response_headers, send)
            return
        if self.faults.queue_s and await self._is_left_in_queue(receive):
            return
        self.runs.append(headers)
        self.starts.append(ReplicaStart(call_id, time.monotonic(), self.weights))
        await anyio.sleep(self.faults.delay_s)
        response_headers += [
            (names.ENDPOINT_PROOF.decode(), SERVER_STAMP),
            (names.ENDPOINT_LOAD.decode(), "1,0,4"),
            (names.WEIGHTS.decode(), str(self.weights)),
        ]
        prompt_parts = headers.get(names.PROMPT_PARTS.decode(), "")
        if self.faults.break_after == 0 or self.faults.crashes(prompt_parts):
            abort_connection(send)
        elif self.faults.status != 200 or not scope["path"].startswith("/stream/"):
            await send_bytes(
                send, self.faults.status, body or b"done", response_headers
            )
        else:
            await self._stream(headers, response_headers, send)

    async def _run_in_room(
        self, room: Room, headers: Sequence[tuple[str, str]], send: Send
    ) -> None:
        if not room.try_enter(time.monotonic()):
            if room.is_down(time.monotonic()):
                abort_connection(send)
                return
            refusal = (names.NOT_RUN.decode(), "1")
            await send_bytes(send, 503, b"", [*headers, *room.list_headers(), refusal])
            return
        falls = len(room.fallen_at_s)
        try:
            if self.free_slots is None:
                self.free_slots = anyio.Semaphore(room.slots)
            async with self.free_slots:
                if len(room.fallen_at_s) == falls:
                    await anyio.sleep(self.faults.delay_s)
        finally:
            room.leave()
        if len(room.fallen_at_s) > falls:
            abort_connection(send)
            return
        proof = (names.ENDPOINT_PROOF.decode(), SERVER_STAMP)
        await send_bytes(send, 200, b"done", [*headers, *room.list_headers(), proof])

    async def _is_left_in_queue(self, receive: Receive) -> bool:
        """Wait in the queue; return whether the connection was closed meanwhile."""
        with anyio.move_on_after(self.faults.queue_s):
            await wait_for_disconnect(receive)
            return True
        return False

    async def _stream(
        self,
        headers: dict[str, str],
        response_headers: Sequence[tuple[str, str]],
        send: Send,
    ) -> None:
        content_type = ("content-type", "text/event-stream")
        await start_response(send, 200, [*response_headers, content_type])
        first_id = int(headers.get(names.LAST_EVENT.decode(), "0")) + 1
        for event_id in range(first_id, self.events + 1):
            if self.faults.break_after == event_id - first_id + 1:
                await send_chunk(send, f"id: {event_id}\nda".encode())
                await anyio.sleep(0.02)
                abort_connection(send)
                return
            event = f"id: {event_id}\ndata: token {event_id}\n\n"
            await send_chunk(send, event.encode())
        await send_chunk(send, b"", more=False)
