"""Fake engines, and the fake network between routers and engines."""

import contextlib
import hashlib
from collections.abc import AsyncIterator, Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import msgspec

from .clocks import Clock
from .configuration import Endpoint
from .endpoint_client import EndpointCall
from .fault_record import EngineRun
from .ids import HostId, WorkspaceId
from .prompts import hash_blocks
from .standin_answers import Answer, make_output_tokens

if TYPE_CHECKING:
    from .fault_cluster import SimulatedCluster

__all__ = ["CRASH_MARKER", "FakeEngine", "FakeEngineClient", "find_header_value"]

CRASH_MARKER = "poison"
NETWORK_LATENCY_S = 0.0005
PREFILL_S = 0.01
TOKEN_S = 0.06
MAX_PREVIOUS_ANSWERS = 4


def find_header_value(headers: tuple[tuple[str, str], ...], name: str) -> str:
    """Return a header's value, or an empty string."""
    return next((value for key, value in headers if key.lower() == name), "")


@dataclass(slots=True)
class FakeEngine:
    """An engine that runs every request it receives and fails on demand.

    Parameters
    ----------
    crossed_answers : int
        Number of next requests to answer with the answer of an earlier attempt.
    truncated_streams : int
        Number of next streams to end without their end marker.
    cache : dict
        Workspace and weights version that stored a block, by cache salt and block hash.
    previous_answers : list of (str, Answer)
        Ids of earlier attempts with their answers, the latest first.
    """

    endpoint: Endpoint
    version: str = "1"
    alive: bool = True
    frozen: bool = False
    leaving: bool = False
    incarnation: int = 0
    running_requests: int = 0
    crossed_answers: int = 0
    truncated_streams: int = 0
    cache: dict[tuple[str, int], tuple[WorkspaceId, str]] = field(default_factory=dict)
    previous_answers: list[tuple[str, Answer]] = field(default_factory=list)

    def crash(self) -> None:
        """Clear the cache and break the calls in progress."""
        self.alive = False
        self.incarnation += 1
        self.cache.clear()

    def cache_prompt(self, salt: str, prompt: str, workspace: WorkspaceId) -> int:
        """Cache the blocks of a prompt and return the number of mismatched hits.

        A hit is mismatched if another workspace or weights version stored the block.
        """
        mismatched = 0
        seed = int.from_bytes(hashlib.sha256(salt.encode()).digest()[:8], "big")
        for block in hash_blocks(prompt, seed):
            entry = self.cache.setdefault((salt, block), (workspace, self.version))
            mismatched += entry != (workspace, self.version)
        return mismatched


@dataclass(slots=True)
class FakeResponse:
    """A response whose body is produced while it is read."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: AsyncIterator[bytes]
    is_framed: bool = True
    is_first_use: bool = False

    def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        return self.body


async def _yield_bytes(data: bytes) -> AsyncIterator[bytes]:
    yield data


@dataclass(slots=True)
class FakeEngineClient:
    """Client of one router process for calls to the fake engines."""

    cluster: "SimulatedCluster"
    router: HostId
    process: int
    clock: Clock

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    def prune(self, addresses: Collection[str]) -> None:
        """Do nothing; no connection is kept."""

    def abort_unresponsive(self, address: str, receive_gap_s: float) -> int:
        """Return 0, because calls to a crashed fake engine fail at once."""
        return 0

    async def probe(self, address: str, connect_s: float) -> bool:
        """Return whether the engine at an address is up."""
        return self.cluster.engines_by_address[address].alive

    @contextlib.asynccontextmanager
    async def open(self, call: EndpointCall) -> AsyncIterator[FakeResponse]:
        """Send a call to the engine at its address."""
        engine = self.cluster.engines_by_address[call.address]
        await self._connect(engine, call.connect_s)
        if call.path == "/metrics":
            text = (
                f"num_requests_running {engine.running_requests}\n"
                "num_requests_waiting 0\n"
            )
            yield FakeResponse(
                200, self._make_headers(engine, ""), _yield_bytes(text.encode())
            )
            return
        engine.running_requests += 1
        try:
            response = await self._run(engine, call)
            yield response
        finally:
            engine.running_requests -= 1

    async def _connect(self, engine: FakeEngine, connect_s: float) -> None:
        await self.cluster.wait_while_frozen(self.process)
        await anyio.sleep(NETWORK_LATENCY_S)
        if self.cluster.is_partitioned(self.router, engine.endpoint.id):
            await anyio.sleep(connect_s)
            raise httpcore.ConnectTimeout("no answer")
        if not engine.alive:
            raise httpcore.ConnectError("refused")

    def _make_headers(
        self, engine: FakeEngine, attempt_id: str
    ) -> list[tuple[bytes, bytes]]:
        headers = [(b"x-weights-version", engine.version.encode())]
        if attempt_id:
            headers.append((b"x-attempt-id", attempt_id.encode()))
        if engine.leaving:
            headers.append((b"x-endpoint-leaving", b"1"))
            self.cluster.record_leaving_signal(engine.endpoint.id)
        return headers

    async def _run(self, engine: FakeEngine, call: EndpointCall) -> FakeResponse:
        body = msgspec.json.decode(call.body)
        prompt = str(body["prompt"])
        attempt_id = find_header_value(call.headers, "x-attempt-id")
        self._record_run(engine, call, body, prompt)
        incarnation = engine.incarnation
        await self._pause(engine, incarnation, PREFILL_S)
        if CRASH_MARKER in prompt:
            self.cluster.crash_engine(engine)
            raise httpcore.RemoteProtocolError("the engine crashed")
        tokens = make_output_tokens(prompt, int(body["max_tokens"]), engine.version)
        answer = Answer("cmpl", False, "m", "f", tokens, 10, 0)
        if engine.crossed_answers and engine.previous_answers:
            engine.crossed_answers -= 1
            attempt_id, answer = engine.previous_answers[0]
        engine.previous_answers = [(attempt_id, answer), *engine.previous_answers][
            :MAX_PREVIOUS_ANSWERS
        ]
        headers = self._make_headers(engine, attempt_id)
        if not body.get("stream"):
            await self._pause(engine, incarnation, TOKEN_S * len(answer.tokens))
            content = _yield_bytes(answer.render_complete())
            return FakeResponse(200, headers, content)
        return FakeResponse(
            200, headers, self._stream(engine, incarnation, answer, body)
        )

    def _record_run(
        self, engine: FakeEngine, call: EndpointCall, body: dict[str, Any], prompt: str
    ) -> None:
        request_id = find_header_value(call.headers, "x-request-id")
        workspace, key = self.cluster.owners_by_prompt[prompt]
        salt = str(body.get("cache_salt", ""))
        self.cluster.record.runs.append(
            EngineRun(
                at_s=self.clock(),
                endpoint=engine.endpoint.id,
                router=self.router,
                request_id=request_id,
                workspace=workspace,
                key=key,
                mismatched_blocks=engine.cache_prompt(salt, prompt, workspace),
            )
        )

    async def _stream(
        self, engine: FakeEngine, incarnation: int, answer: Answer, body: dict[str, Any]
    ) -> AsyncIterator[bytes]:
        prior_text = (body.get("resume") or {}).get("text", "")
        first_token = sum(
            1
            for index in range(len(answer.tokens))
            if len("".join(answer.tokens[: index + 1])) <= len(prior_text)
        )
        truncated = engine.truncated_streams > 0
        engine.truncated_streams -= truncated
        for index, event in enumerate(answer.render_events(first_token)):
            await self._pause(engine, incarnation, TOKEN_S)
            if truncated and index == 1:
                return
            yield event
        if (body.get("stream_options") or {}).get("include_usage"):
            yield answer.render_usage_event()
        yield b"data: [DONE]\n\n"

    async def _pause(
        self, engine: FakeEngine, incarnation: int, seconds: float
    ) -> None:
        """Wait, also while the router or the engine is frozen.

        Raises
        ------
        httpcore.ReadError
            The connection broke.
        """
        await anyio.sleep(seconds)
        await self.cluster.wait_while_frozen(self.process)
        while engine.frozen and engine.incarnation == incarnation:
            await anyio.sleep(TOKEN_S)
        if engine.incarnation != incarnation:
            raise httpcore.ReadError("connection reset")
        if self.cluster.is_partitioned(self.router, engine.endpoint.id):
            raise httpcore.ReadError("connection reset")
