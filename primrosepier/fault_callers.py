"""Simulated callers of the fault schedules."""

import random
import re
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from .asgi import Scope
from .fault_cluster import WORKSPACES, RouterProcess, SimulatedCluster
from .fault_engines import CRASH_MARKER
from .fault_record import AnswerKind, CallerAnswer
from .ids import WorkspaceId
from .standin_answers import make_output_tokens

__all__ = ["Call", "Caller"]

TEXT_FIELD_PATTERN = re.compile(rb'"text":\s?"([^"]*)"')
END_MARKER = b"data: [DONE]"
ERROR_EVENT = b"event: error"
OUTPUT_TOKENS_RANGE = (2, 20)
CRASH_PROBABILITY = 0.02
KEY_PROBABILITY = 0.4
STREAM_PROBABILITY = 0.8
MAX_TRIES = 3
RETRY_PAUSE_S = 0.5
SHARED_PREFIX = "standing instructions " * 200


@dataclass(slots=True)
class Call:
    """One call through one router.

    Parameters
    ----------
    complete : bool
        The last part of the answer has arrived.
    router_stopping : bool
        The router was stopping gracefully when the call ended.
    ended : Event
        Set when the answer is complete or the connection broke.
    """

    scope: Scope
    body: bytes
    status: int = 0
    request_id: str = ""
    data: bytearray = field(default_factory=bytearray)
    complete: bool = False
    router_stopping: bool = False
    ended: anyio.Event = field(default_factory=anyio.Event)

    async def receive(self) -> dict[str, Any]:
        """Return the body once, then wait until the call has ended."""
        if self.body is not None and not self.scope.get("taken"):
            self.scope["taken"] = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.ended.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """Record a message of the router's answer."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            for name, value in message["headers"]:
                if name.lower() == b"x-request-id":
                    self.request_id = value.decode()
            return
        self.data += message.get("body", b"")
        self.complete = not message.get("more_body", False)

    async def run(self, process: RouterProcess) -> None:
        """Serve the call in a router's process."""
        process.in_progress += 1
        try:
            await process.router.app(self.scope, self.receive, self.send)
        finally:
            process.in_progress -= 1
            self.router_stopping = process.router.app.stopping and not process.killed
            self.ended.set()


@dataclass(slots=True)
class Caller:
    """Sends one request and retries it until its answer is complete.

    Each caller has its own random generator, so that a schedule does not depend on the
    order in which the callers of a killed router wake up.
    """

    cluster: SimulatedCluster
    number: int
    rng: random.Random

    async def run(self) -> None:
        """Send the request until its answer is complete or the tries are used up."""
        rng = self.rng
        workspace = WorkspaceId(rng.choice(WORKSPACES))
        has_key = rng.random() < KEY_PROBABILITY
        key = f"key-{self.number}" if has_key else ""
        word = CRASH_MARKER if rng.random() < CRASH_PROBABILITY else "note"
        prompt = f"{SHARED_PREFIX} {word} {self.number}"
        self.cluster.owners_by_prompt[prompt] = (workspace, key)
        max_tokens = rng.randint(*OUTPUT_TOKENS_RANGE)
        streamed = rng.random() < STREAM_PROBABILITY
        for _ in range(MAX_TRIES):
            process = self._choose_router()
            if process is not None:
                call = self._make_call(workspace, key, prompt, max_tokens, streamed)
                answer = await self._send(process, call, prompt, max_tokens)
                if answer.kind is AnswerKind.COMPLETE:
                    return
            await anyio.sleep(RETRY_PAUSE_S)

    def _choose_router(self) -> RouterProcess | None:
        ready = [p for p in self.cluster.processes.values() if p.is_ready()]
        return self.rng.choice(ready) if ready else None

    def _make_call(
        self,
        workspace: WorkspaceId,
        key: str,
        prompt: str,
        max_tokens: int,
        streamed: bool,
    ) -> Call:
        headers = [(b"authorization", f"Bearer {workspace}".encode())]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/v1/completions",
            "headers": headers,
            "query_string": b"",
        }
        body = {
            "model": "m",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": streamed,
        }
        return Call(scope, msgspec.json.encode(body))

    async def _send(
        self, process: RouterProcess, call: Call, prompt: str, max_tokens: int
    ) -> CallerAnswer:
        if process.task_group is not None:
            process.task_group.start_soon(call.run, process)
            await call.ended.wait()
        answer = self._make_caller_answer(process, call, prompt, max_tokens)
        self.cluster.record.answers.append(answer)
        return answer

    def _make_caller_answer(
        self, process: RouterProcess, call: Call, prompt: str, max_tokens: int
    ) -> CallerAnswer:
        data = bytes(call.data)
        return CallerAnswer(
            at_s=self.cluster.clock(),
            router=process.host,
            request_id=call.request_id,
            kind=classify_call(call),
            code=read_code(call.status, data),
            output=b"".join(TEXT_FIELD_PATTERN.findall(data)).decode(),
            expected_output="".join(make_output_tokens(prompt, max_tokens)),
            router_stopping=call.router_stopping,
        )


def classify_call(call: Call) -> AnswerKind:
    """Classify an answer by the bytes that the caller received."""
    data = bytes(call.data)
    if not call.complete:
        return AnswerKind.CUT
    if call.status != 200:
        return AnswerKind.ERROR
    if ERROR_EVENT in data:
        return AnswerKind.ERROR_EVENT
    is_stream = data.lstrip().startswith((b"data:", b"id:", b"event:", b":"))
    if is_stream and not data.rstrip().endswith(END_MARKER):
        return AnswerKind.TRUNCATED
    return AnswerKind.COMPLETE


def read_code(status: int, data: bytes) -> str:
    """Return ``error.code`` of an answer, or an empty string if there is none."""
    if status in (0, 200):
        return ""
    try:
        return str(msgspec.json.decode(data)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
