"""Stand-in for a model engine.

Serves the OpenAI HTTP API on ``/v1/chat/completions`` and ``/v1/completions``, and:

- ``GET /metrics``: load as Prometheus text, with a lag.
- ``GET /cache/events?after=N``: cache events of this incarnation after sequence
  number N, as ``{"incarnation", "version", "events"}``. Events are delayed, and some
  are lost.
- ``POST /kv/export`` with ``{"blocks": [...]}``: the leading blocks that are
  cached, as ``{"incarnation", "version", "blocks"}``.
- ``POST /kv/import`` with ``{"version", "blocks"}``: caches blocks; answers 409 if
  the engine runs another weights version.
- ``POST /orders`` and ``GET /orders``: see ``standin_orders``.
- ``POST /standin/crash`` with ``{"down_s"}``: crashes the engine, which restarts
  with an empty cache.

Body fields in addition to OpenAI's: ``cache_salt`` and ``adapter`` are part of the
cache key; ``priority`` orders the queue, lowest first; ``resume`` with ``{"text"}``
continues after output that another engine already produced, which counts towards
``max_tokens``; an engine that does not support ``resume`` answers 400. While an engine
loads weights, it refuses requests with 503. The header ``x-attempt-id`` of a request is
returned and becomes the id of the answer. A prompt that contains ``CRASH-ENGINE``
crashes the engine.
"""

import random
import time
from dataclasses import dataclass, field
from typing import Any

import anyio

from .asgi import (
    Receive,
    Scope,
    Send,
    abort_connection,
    find_header,
    read_json,
    send_bytes,
    send_chunk,
    send_json,
    start_response,
    wait_for_disconnect,
)
from .errors import RequestError
from .ids import make_attempt_id
from .prompts import BLOCK_TOKENS, count_tokens, hash_blocks, render_messages
from .standin_answers import Answer, make_output_tokens
from .standin_batch import LoadHistory, PriorityLimiter
from .standin_cache import BlockCache, CacheEvents
from .standin_control import EngineControl, derive_cache_seed
from .standin_orders import OrderHandler, OrderState
from .standin_rates import EngineCounts, EngineFaults, EngineRates

__all__ = [
    "CRASH_MARKER",
    "EngineCounts",
    "EngineFaults",
    "EngineRates",
    "EngineStandin",
    "make_engine_standin",
    "make_output_tokens",
]

MAX_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_OUTPUT_TOKENS = 16
MAX_OUTPUT_TOKENS = 100_000
CRASH_MARKER = "CRASH-ENGINE"
EVENT_STREAM_HEADER = ("content-type", "text/event-stream")
JSON_HEADER = ("content-type", "application/json")


@dataclass(slots=True)
class EngineStandin:
    """ASGI app that answers like a model engine.

    Parameters
    ----------
    batch_slots : PriorityLimiter
        Limits the number of requests in the batch.
    prefill_slots : PriorityLimiter
        Limits the number of concurrent prefills.
    models : tuple of str
        Models that the engine serves; empty to serve any model.
    down_until_s : float
        Monotonic time in seconds until which the engine is down after a crash.
    request_scopes : set of CancelScope
        Cancel scopes of the requests in progress.
    """

    rates: EngineRates
    cache: BlockCache
    batch_slots: PriorityLimiter
    prefill_slots: PriorityLimiter
    orders: OrderHandler
    load_history: LoadHistory
    models: tuple[str, ...] = ()
    honours_resume: bool = True
    faults: EngineFaults = field(default_factory=EngineFaults)
    counts: EngineCounts = field(default_factory=EngineCounts)
    down_until_s: float = 0.0
    request_scopes: set[anyio.CancelScope] = field(default_factory=set)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        if time.monotonic() < self.down_until_s:
            abort_connection(send)
            return
        path = scope["path"]
        try:
            if path in ("/v1/chat/completions", "/v1/completions"):
                await self._serve(scope, receive, send)
            else:
                await EngineControl(self).answer(scope, receive, send)
        except RequestError as error:
            body = {"error": {"message": error.message, "code": error.code}}
            await send_json(send, error.status, body)

    def crash(self, down_s: float = 0.0) -> None:
        """Drop the cache and all requests; answer no calls for ``down_s`` seconds."""
        self.counts.crashes += 1
        self.down_until_s = time.monotonic() + down_s
        self.orders.state.incarnation = make_attempt_id()
        self.orders.state.loading = ""
        self.cache.clear()
        self.cache.events.reset()
        for cancel_scope in list(self.request_scopes):
            cancel_scope.cancel()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_json(receive, MAX_BODY_BYTES)
        self._check_request(body)
        incarnation = self.orders.state.incarnation

        async def watch_caller() -> None:
            await wait_for_disconnect(receive)
            group.cancel_scope.cancel()

        finished = False
        refusal: RequestError | None = None
        async with anyio.create_task_group() as group:
            self.request_scopes.add(group.cancel_scope)
            try:
                group.start_soon(watch_caller)
                await self._answer(scope, body, send)
                finished = True
            except RequestError as error:
                refusal = error
            finally:
                self.request_scopes.discard(group.cancel_scope)
                group.cancel_scope.cancel()
        if refusal is not None:
            raise refusal
        if finished:
            return
        if incarnation != self.orders.state.incarnation:
            abort_connection(send)
        else:
            self.counts.cancelled += 1

    async def _answer(self, scope: Scope, body: dict[str, Any], send: Send) -> None:
        chat = scope["path"].endswith("/chat/completions")
        text = render_messages(body["messages"]) if chat else str(body["prompt"])
        self.counts.started += 1
        if CRASH_MARKER in text:
            self.crash()
            await anyio.sleep_forever()
        async with self._occupy_slot(int(body.get("priority") or 0)):
            cached = await self._prefill(body, text)
            answer = self._make_answer(scope, body, text, cached)
            first_token = self._find_first_token(body, answer)
            if body.get("stream"):
                await self._stream(body, answer, first_token, send)
            else:
                await anyio.sleep(self.rates.token_s * len(answer.tokens))
                await self._send_complete(answer, send)
        self.counts.finished += 1

    def _check_request(self, body: dict[str, Any]) -> None:
        if self.faults.consume("refuse") or self.orders.state.loading:
            raise RequestError(503, "unavailable", "The engine takes no requests now.")
        if self.models and body.get("model") not in self.models:
            raise RequestError(404, "model_not_found", "The model is not loaded.")
        adapter = body.get("adapter")
        if adapter and adapter not in self.orders.state.adapters:
            raise RequestError(404, "adapter_not_found", "The adapter is not loaded.")
        if not body.get("messages") and body.get("prompt") is None:
            raise RequestError(400, "invalid_request", "There is no prompt.")
        if body.get("resume") and not self.honours_resume:
            raise RequestError(400, "unknown_field", "resume is not supported.")

    def _occupy_slot(self, priority: int) -> "_Slot":
        return _Slot(self, priority)

    async def _prefill(self, body: dict[str, Any], text: str) -> int:
        """Simulate the prefill and return the number of cached tokens."""
        resume = body.get("resume") or {}
        blocks = hash_blocks(text, derive_cache_seed(body, self.orders.state.version))
        cached = self.cache.count_cached(blocks) * BLOCK_TOKENS
        tokens = count_tokens(text + str(resume.get("text", "")))
        if tokens > cached:
            await self.prefill_slots.acquire(int(body.get("priority") or 0))
            try:
                await anyio.sleep((tokens - cached) / self.rates.prefill_tokens_per_s)
            finally:
                self.prefill_slots.release()
        self.cache.add(blocks, time.monotonic())
        return cached

    def _make_answer(
        self, scope: Scope, body: dict[str, Any], text: str, cached: int
    ) -> Answer:
        attempt_id = find_header(scope, "x-attempt-id") or make_attempt_id()
        if self.faults.consume("crossed_answers"):
            attempt_id = make_attempt_id()
        limit = body.get("max_completion_tokens") or body.get("max_tokens")
        output_tokens = min(int(limit or DEFAULT_OUTPUT_TOKENS), MAX_OUTPUT_TOKENS)
        state = self.orders.state
        return Answer(
            id=attempt_id,
            chat=scope["path"].endswith("/chat/completions"),
            model=str(body.get("model")),
            fingerprint=f"{state.incarnation}/{state.version}",
            tokens=make_output_tokens(text, output_tokens, state.version),
            prompt_tokens=count_tokens(text),
            cached_tokens=cached,
        )

    def _find_first_token(self, body: dict[str, Any], answer: Answer) -> int:
        """Return the index of the first token after the output to resume."""
        resume = body.get("resume")
        if not resume:
            return 0
        output = ""
        for index, token in enumerate([*answer.tokens, ""]):
            if output == resume.get("text"):
                self.counts.resumed += 1
                return index
            output += token
        raise RequestError(409, "resume_mismatch", "The output was not so far.")

    def _make_headers(self, answer: Answer) -> list[tuple[str, str]]:
        state = self.orders.state
        return [
            ("x-attempt-id", answer.id),
            ("x-incarnation", state.incarnation),
            ("x-weights-version", state.version),
        ]

    async def _send_complete(self, answer: Answer, send: Send) -> None:
        headers = [JSON_HEADER, *self._make_headers(answer)]
        await send_bytes(send, 200, answer.render_complete(), headers)

    async def _stream(
        self, body: dict[str, Any], answer: Answer, first_token: int, send: Send
    ) -> None:
        await start_response(
            send, 200, [EVENT_STREAM_HEADER, *self._make_headers(answer)]
        )
        pending: list[bytes] = []
        wait_s = 0.0
        for index, event in enumerate(
            answer.render_events(first_token), start=first_token
        ):
            pending.append(event)
            self.counts.sent_tokens += 1
            wait_s += self.rates.token_s
            if wait_s >= self.rates.flush_s:
                await self._flush(answer, pending, send)
                await self._crash_if_due(index + 1)
                await anyio.sleep(wait_s)
                wait_s = 0.0
        await self._flush(answer, pending, send)
        if self.faults.consume("cut_streams"):
            await send_chunk(send, b"", more=False)
            return
        end_of_stream = b"data: [DONE]\n\n"
        if (body.get("stream_options") or {}).get("include_usage"):
            end_of_stream = answer.render_usage_event() + end_of_stream
        await send_chunk(send, end_of_stream, more=False)

    async def _flush(self, answer: Answer, pending: list[bytes], send: Send) -> None:
        if pending and self.faults.consume("crossed_events"):
            crossed_event = pending[0].replace(
                answer.id.encode(), make_attempt_id().encode()
            )
            pending.append(crossed_event)
        if pending:
            await send_chunk(send, b"".join(pending))
            pending.clear()

    async def _crash_if_due(self, sent_tokens: int) -> None:
        crash_after_tokens = self.faults.crash_after_tokens
        if crash_after_tokens is not None and sent_tokens >= crash_after_tokens:
            self.faults.crash_after_tokens = None
            self.crash()
            await anyio.sleep_forever()


class _Slot:
    """Context manager that occupies a slot of the batch and records the load."""

    def __init__(self, engine: EngineStandin, priority: int):
        self.engine = engine
        self.priority = priority

    async def __aenter__(self) -> None:
        await self.engine.batch_slots.acquire(self.priority)
        self._record_load()

    async def __aexit__(self, *_: object) -> None:
        self.engine.batch_slots.release()
        self._record_load()

    def _record_load(self) -> None:
        batch_slots = self.engine.batch_slots
        self.engine.load_history.record(
            time.monotonic(), batch_slots.running, batch_slots.waiting
        )


def make_engine_standin(
    rates: EngineRates | None = None,
    *,
    models: tuple[str, ...] = (),
    fencing: bool = True,
    priorities: bool = True,
    resume: bool = True,
    event_loss: float = 0.0,
    seed: int = 0,
) -> EngineStandin:
    """Return an engine with an empty cache.

    Parameters
    ----------
    fencing, priorities, resume : bool
        Features that the engine supports.
    event_loss : float
        Fraction of cache events that are lost.
    seed : int
        Seed that determines which cache events are lost.
    """
    engine_rates = rates or EngineRates()
    events = CacheEvents(engine_rates.event_lag_s, event_loss, random.Random(seed))
    state = OrderState(incarnation=make_attempt_id())
    return EngineStandin(
        rates=engine_rates,
        cache=BlockCache(engine_rates.cache_blocks, events),
        batch_slots=PriorityLimiter(engine_rates.slots, priorities),
        prefill_slots=PriorityLimiter(engine_rates.prefills, priorities),
        orders=OrderHandler(state, fencing, engine_rates.load_s),
        load_history=LoadHistory(engine_rates.load_lag_s),
        models=models,
        honours_resume=resume,
    )
