"""Callers of the fault schedules."""

import random
import re
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from .asgi import Scope
from .fault_engines import POISON
from .fault_record import AnswerKind, CallerAnswer
from .fault_world import WORKSPACES, RouterProcess, World
from .ids import WorkspaceId
from .standin_answers import make_answer

__all__ = ["Call", "Caller"]

TEXT = re.compile(rb'"text":\s?"([^"]*)"')
END_MARKER = b"data: [DONE]"
ERROR_EVENT = b"event: error"
OUTPUT_TOKENS = (2, 20)
POISON_SHARE = 0.02
KEY_SHARE = 0.4
STREAM_SHARE = 0.8
TRIES = 3
PAUSE_S = 0.5
SHARED_PREFIX = "standing instructions " * 200


@dataclass(slots=True)
class Call:
    """One call over one router.

    Parameters
    ----------
    ended : Event
        Set when the answer is whole or the connection broke.
    """

    scope: Scope
    body: bytes
    status: int = 0
    request: str = ""
    data: bytearray = field(default_factory=bytearray)
    whole: bool = False
    drained: bool = False
    ended: anyio.Event = field(default_factory=anyio.Event)

    async def receive(self) -> dict[str, Any]:
        """Give the router the body once; the caller stays."""
        if self.body is not None and not self.scope.get("taken"):
            self.scope["taken"] = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.ended.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """Take what the router sends."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            for name, value in message["headers"]:
                if name.lower() == b"x-request-id":
                    self.request = value.decode()
            return
        self.data += message.get("body", b"")
        self.whole = not message.get("more_body", False)

    async def run(self, process: RouterProcess) -> None:
        """Serve the call in a router's process."""
        process.in_progress += 1
        try:
            await process.router.app(self.scope, self.receive, self.send)
        finally:
            process.in_progress -= 1
            self.drained = process.router.app.stopping and not process.killed
            self.ended.set()


@dataclass(slots=True)
class Caller:
    """Sends one request, and sends it again when it is told that it may.

    Each caller draws from a source of its own, so that the order in which callers
    of a killed router wake does not matter.
    """

    world: World
    number: int
    source: random.Random

    async def run(self) -> None:
        """Send the request until it is answered or the tries are used up."""
        source = self.source
        workspace = WorkspaceId(source.choice(WORKSPACES))
        keyed = source.random() < KEY_SHARE
        key = f"key-{self.number}" if keyed else ""
        word = POISON if source.random() < POISON_SHARE else "note"
        text = f"{SHARED_PREFIX} {word} {self.number}"
        self.world.callers_by_text[text] = (workspace, key)
        tokens = source.randint(*OUTPUT_TOKENS)
        streamed = source.random() < STREAM_SHARE
        for _ in range(TRIES):
            process = self._choose_router()
            if process is not None:
                call = self._make_call(workspace, key, text, tokens, streamed)
                answer = await self._send(process, call, text, tokens)
                if answer.kind is AnswerKind.COMPLETE:
                    return
            await anyio.sleep(PAUSE_S)

    def _choose_router(self) -> RouterProcess | None:
        ready = [p for p in self.world.processes.values() if p.is_ready()]
        return self.source.choice(ready) if ready else None

    def _make_call(
        self, workspace: WorkspaceId, key: str, text: str, tokens: int, streamed: bool
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
        body = {"model": "m", "prompt": text, "max_tokens": tokens, "stream": streamed}
        return Call(scope, msgspec.json.encode(body))

    async def _send(
        self, process: RouterProcess, call: Call, text: str, tokens: int
    ) -> CallerAnswer:
        if process.group is not None:
            process.group.start_soon(call.run, process)
            await call.ended.wait()
        answer = self._make_answer(process, call, text, tokens)
        self.world.record.answers.append(answer)
        return answer

    def _make_answer(
        self, process: RouterProcess, call: Call, text: str, tokens: int
    ) -> CallerAnswer:
        data = bytes(call.data)
        return CallerAnswer(
            at_s=self.world.clock(),
            router=process.host,
            request=call.request,
            kind=classify_call(call),
            code=read_code(call.status, data),
            text=b"".join(TEXT.findall(data)).decode(),
            expected="".join(make_answer(text, tokens)),
            drained=call.drained,
        )


def classify_call(call: Call) -> AnswerKind:
    """Return what a caller makes of the bytes it got."""
    data = bytes(call.data)
    if not call.whole:
        return AnswerKind.CUT
    if call.status != 200:
        return AnswerKind.ERROR
    if ERROR_EVENT in data:
        return AnswerKind.ERROR_EVENT
    streamed = data.lstrip().startswith((b"data:", b"id:", b"event:", b":"))
    if streamed and not data.rstrip().endswith(END_MARKER):
        return AnswerKind.TRUNCATED
    return AnswerKind.COMPLETE


def read_code(status: int, data: bytes) -> str:
    """Return ``error.code`` of an error answer."""
    if status in (0, 200):
        return ""
    try:
        return str(msgspec.json.decode(data)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
