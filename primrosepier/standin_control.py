"""Control endpoints of an engine stand-in: load, cache and orders."""

import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec
import xxhash

from .asgi import Receive, Scope, Send, read_json, send_bytes, send_json
from .errors import RequestError
from .standin_cache import CacheEventsPage
from .standin_orders import Order

if TYPE_CHECKING:
    from .standin_engine import EngineStandin

__all__ = ["EngineControl", "derive_cache_seed"]

MAX_BODY_BYTES = 8 * 1024 * 1024
ORDER_KINDS = frozenset({"load", "adapter", "role"})
Handler = Callable[[Scope, dict[str, Any], Send], Awaitable[None]]


def derive_cache_seed(body: dict[str, Any], version: str) -> int:
    """Return the seed of the block hashes in the cache scope of a request."""
    parts = (str(body.get("cache_salt", "")), str(body.get("adapter") or ""), version)
    return xxhash.xxh64_intdigest("\x00".join(parts).encode("utf-8", "surrogatepass"))


class EngineControl:
    """Answers the calls that are not completion requests."""

    def __init__(self, engine: "EngineStandin"):
        self.engine = engine

    async def answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        handlers: dict[tuple[str, str], Handler] = {
            ("GET", "/metrics"): self.send_load,
            ("GET", "/cache/events"): self.send_events,
            ("GET", "/orders"): self.send_state,
            ("POST", "/orders"): self.receive_order,
            ("POST", "/kv/export"): self.export_blocks,
            ("POST", "/kv/import"): self.import_blocks,
            ("POST", "/standin/crash"): self.crash,
        }
        handler = handlers.get((scope["method"], scope["path"]))
        if handler is None:
            raise RequestError(404, "unknown_path", "There is nothing here.")
        is_post = scope["method"] == "POST"
        body = await read_json(receive, MAX_BODY_BYTES) if is_post else {}
        await handler(scope, body, send)

    async def send_load(self, scope: Scope, body: dict[str, Any], send: Send) -> None:
        """Send the load as Prometheus text."""
        engine = self.engine
        running, waiting = engine.load_history.read(time.monotonic())
        text = (
            "# TYPE num_requests_running gauge\n"
            f"num_requests_running {running}\n"
            "# TYPE num_requests_waiting gauge\n"
            f"num_requests_waiting {waiting}\n"
            "# TYPE requests_cancelled_total counter\n"
            f"requests_cancelled_total {engine.counts.cancelled}\n"
        )
        await send_bytes(send, 200, text.encode(), [("content-type", "text/plain")])

    async def send_events(self, scope: Scope, body: dict[str, Any], send: Send) -> None:
        """Send cache events."""
        query = parse_qs(scope.get("query_string", b"").decode("latin-1"))
        after = query.get("after", ["0"])[0]
        if not after.isdecimal():
            raise RequestError(400, "invalid_request", "after is not a number.")
        state = self.engine.orders.state
        events = self.engine.cache.events.list_after(int(after), time.monotonic())
        page = CacheEventsPage(state.incarnation, state.version, events)
        await send_json(send, 200, page)

    async def send_state(self, scope: Scope, body: dict[str, Any], send: Send) -> None:
        """Send the state of the engine."""
        await send_json(send, 200, self.engine.orders.state)

    async def receive_order(
        self, scope: Scope, body: dict[str, Any], send: Send
    ) -> None:
        """Accept or refuse an order and execute it."""
        try:
            order = msgspec.convert(body, Order)
        except msgspec.ValidationError as cause:
            raise RequestError(400, "invalid_order", str(cause)) from cause
        if order.kind not in ORDER_KINDS:
            raise RequestError(400, "invalid_order", "The kind is not known.")
        orders = self.engine.orders
        if not orders.accept(order):
            await send_json(send, 409, {"fencing": orders.state.fencing})
            return
        if not orders.needs_load(order):
            await send_json(send, 200, orders.state)
            return
        orders.begin_load(order)
        await send_json(send, 200, orders.state)
        if await orders.finish_load(order):
            self.engine.cache.clear()

    async def export_blocks(
        self, scope: Scope, body: dict[str, Any], send: Send
    ) -> None:
        """Send the leading blocks that are cached."""
        blocks = _read_blocks(body)
        state = self.engine.orders.state
        cached = blocks[: self.engine.cache.count_cached(blocks)]
        answer = {"incarnation": state.incarnation, "version": state.version}
        await send_json(send, 200, {**answer, "blocks": cached})

    async def import_blocks(
        self, scope: Scope, body: dict[str, Any], send: Send
    ) -> None:
        """Cache blocks that another engine exported."""
        blocks = _read_blocks(body)
        version = self.engine.orders.state.version
        if body.get("version") != version:
            raise RequestError(409, "other_version", f"The weights are at {version}.")
        self.engine.cache.add(blocks, time.monotonic())
        await send_json(send, 200, {"imported": len(blocks)})

    async def crash(self, scope: Scope, body: dict[str, Any], send: Send) -> None:
        """Crash the engine."""
        self.engine.crash(float(body.get("down_s", 0.0)))
        await send_json(send, 200, {})


def _read_blocks(body: dict[str, Any]) -> list[Any]:
    blocks = body.get("blocks")
    if not isinstance(blocks, list) or not all(isinstance(b, int) for b in blocks):
        raise RequestError(400, "invalid_request", "blocks is not a list of numbers.")
    return blocks
