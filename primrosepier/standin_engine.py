"""Stand-in of a model engine: batching, a prefix cache and token streams."""

import hashlib
from collections import OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from .asgi import (
    Receive,
    Scope,
    Send,
    read_json,
    send_bytes,
    send_chunk,
    send_json,
    start_response,
    wait_for_disconnect,
)
from .errors import RequestError
from .ids import BlockHash
from .prompts import BLOCK_TOKENS, count_tokens, hash_blocks, render_messages

__all__ = ["BlockCache", "EngineRates", "EngineStandin", "make_answer"]

BODY_BYTES = 64 * 1024 * 1024
DEFAULT_OUTPUT_TOKENS = 16


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Speeds and sizes of an engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
    token_s : float
        Time between output tokens, seconds.
    slots : int
        Requests in the batch.
    cache_blocks : int
        Blocks of 512 tokens that the cache holds.
    """

    prefill_tokens_per_s: float = 200_000.0
    token_s: float = 0.002
    slots: int = 32
    cache_blocks: int = 256


class BlockCache:
    """Cached prompt blocks in limited memory, the least recently used evicted."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.blocks: OrderedDict[BlockHash, None] = OrderedDict()

    def count_cached(self, blocks: tuple[BlockHash, ...]) -> int:
        """Return the number of leading blocks that are cached."""
        for index, block in enumerate(blocks):
            if block not in self.blocks:
                return index
        return len(blocks)

    def add(self, blocks: tuple[BlockHash, ...]) -> None:
        """Cache a chain of blocks, its root as the most recently used."""
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)


def make_answer(text: str, tokens: int) -> list[str]:
    """Return the output tokens that the stand-in gives for a prompt text."""
    digest = hashlib.sha256(text.encode()).hexdigest()[:8]
    return [f"{digest}-{index} " for index in range(tokens)]


@dataclass(slots=True)
class EngineStandin:
    """ASGI app that answers as a model engine does."""

    rates: EngineRates = EngineRates()
    cache: BlockCache = field(init=False)
    slots: anyio.CapacityLimiter = field(init=False)
    waiting: int = 0

    def __post_init__(self) -> None:
        self.cache = BlockCache(self.rates.cache_blocks)
        self.slots = anyio.CapacityLimiter(self.rates.slots)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        path = scope["path"]
        if path == "/metrics":
            await send_bytes(send, 200, self.render_metrics())
        elif path in ("/v1/chat/completions", "/v1/completions"):
            await self._serve(path, receive, send)
        else:
            await send_json(send, 404, {"error": {"message": "unknown path"}})

    def render_metrics(self) -> bytes:
        """Return the load as Prometheus text."""
        running = self.slots.borrowed_tokens
        lines = [
            f"num_requests_running {running}",
            f"num_requests_waiting {self.waiting}",
        ]
        return ("\n".join(lines) + "\n").encode()

    async def _serve(self, path: str, receive: Receive, send: Send) -> None:
        try:
            body = await read_json(receive, BODY_BYTES)
        except RequestError as error:
            await send_json(send, error.status, {"error": {"message": error.message}})
            return

        async def watch_caller() -> None:
            await wait_for_disconnect(receive)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            await self._answer(path, body, send)
            group.cancel_scope.cancel()

    async def _answer(self, path: str, body: dict[str, Any], send: Send) -> None:
        chat = path.endswith("/chat/completions")
        text = render_messages(body["messages"]) if chat else str(body["prompt"])
        wanted = int(body.get("max_tokens") or DEFAULT_OUTPUT_TOKENS)
        seed = int.from_bytes(
            hashlib.sha256(str(body.get("cache_salt")).encode()).digest()[:8], "big"
        )
        blocks = hash_blocks(text, seed)
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            cached = self.cache.count_cached(blocks) * BLOCK_TOKENS
            prompt_tokens = count_tokens(text)
            uncached = prompt_tokens - cached
            await anyio.sleep(uncached / self.rates.prefill_tokens_per_s)
            self.cache.add(blocks)
            usage = {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": wanted,
                "total_tokens": prompt_tokens + wanted,
                "prompt_tokens_details": {"cached_tokens": cached},
            }
            tokens = make_answer(text, wanted)
            if body.get("stream"):
                await self._stream(chat, body, tokens, usage, send)
            else:
                await anyio.sleep(self.rates.token_s * wanted)
                whole = self._make_whole(chat, body, tokens, usage)
                await send_json(send, 200, whole)
        finally:
            self.slots.release()

    def _make_whole(
        self, chat: bool, body: dict[str, Any], tokens: list[str], usage: dict[str, Any]
    ) -> dict[str, Any]:
        text = "".join(tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if chat else "text_completion"
        return {
            "id": "cmpl-standin",
            "object": kind,
            "created": 0,
            "model": body.get("model"),
            "choices": [choice],
            "usage": usage,
        }

    async def _stream(
        self,
        chat: bool,
        body: dict[str, Any],
        tokens: list[str],
        usage: dict[str, Any],
        send: Send,
    ) -> None:
        await start_response(send, 200, [("content-type", "text/event-stream")])
        async for event in self._make_events(chat, body, tokens, usage):
            data = b"data: " + msgspec.json.encode(event) + b"\n\n"
            await send_chunk(send, data)
        await send_chunk(send, b"data: [DONE]\n\n", more=False)

    async def _make_events(
        self, chat: bool, body: dict[str, Any], tokens: list[str], usage: dict[str, Any]
    ) -> AsyncIterator[dict[str, Any]]:
        kind = "chat.completion.chunk" if chat else "text_completion"
        base = {"id": "cmpl-standin", "object": kind, "created": 0}
        base["model"] = body.get("model")
        for index, token in enumerate(tokens):
            if index:
                await anyio.sleep(self.rates.token_s)
            last = index == len(tokens) - 1
            choice: dict[str, Any] = {
                "index": 0,
                "finish_reason": "stop" if last else None,
            }
            choice.update({"delta": {"content": token}} if chat else {"text": token})
            yield {**base, "choices": [choice]}
        if (body.get("stream_options") or {}).get("include_usage"):
            yield {**base, "choices": [], "usage": usage}
