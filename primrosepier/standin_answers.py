"""Answers of an engine's stand-in in OpenAI's form."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["Answer", "make_answer"]

FIRST_VERSION = "1"
TOKEN_PLACE = b"@token@"
FINISH_PLACE = b"@finish@"


def make_answer(text: str, tokens: int, version: str = FIRST_VERSION) -> list[str]:
    """Return the output tokens that the stand-in gives for a prompt text."""
    data = f"{version}\x00{text}".encode("utf-8", "surrogatepass")
    digest = hashlib.sha256(data).hexdigest()[:8]
    return [f"{digest}-{index} " for index in range(tokens)]


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer, ready to be sent whole or as events.

    Parameters
    ----------
    id : str
    chat : bool
        Whether the form is that of chat completions.
    fingerprint : str
        Names the incarnation and the weights version.
    tokens : list of str
    """

    id: str
    chat: bool
    model: str
    fingerprint: str
    tokens: list[str]
    prompt_tokens: int
    cached_tokens: int

    def make_usage(self) -> dict[str, Any]:
        """Return the usage."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": len(self.tokens),
            "total_tokens": self.prompt_tokens + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def _make_base(self, kind: str) -> dict[str, Any]:
        return {
            "id": self.id,
            "object": kind,
            "created": 0,
            "model": self.model,
            "system_fingerprint": self.fingerprint,
        }

    def render_whole(self) -> bytes:
        """Return the whole answer as JSON."""
        text = "".join(self.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        base = self._make_base("chat.completion" if self.chat else "text_completion")
        return msgspec.json.encode(
            {**base, "choices": [choice], "usage": self.make_usage()}
        )

    def render_events(self, start: int) -> Iterator[bytes]:
        """Yield one event for each token from ``start`` on."""
        before, middle, after = self._render_frame()
        for index in range(start, len(self.tokens)):
            token = msgspec.json.encode(self.tokens[index])
            ending = index == len(self.tokens) - 1
            finish = b'"stop"' if ending else b"null"
            yield b"".join((before, token, middle, finish, after))

    def _render_frame(self) -> tuple[bytes, bytes, bytes]:
        key = "delta" if self.chat else "text"
        place = TOKEN_PLACE.decode()
        value = {"content": place} if self.chat else place
        choice = {"index": 0, key: value, "finish_reason": FINISH_PLACE.decode()}
        base = self._make_base(
            "chat.completion.chunk" if self.chat else "text_completion"
        )
        event = msgspec.json.encode({**base, "choices": [choice]})
        before, _, rest = event.partition(b'"' + TOKEN_PLACE + b'"')
        middle, _, after = rest.partition(b'"' + FINISH_PLACE + b'"')
        return b"data: " + before, middle, after + b"\n\n"

    def render_usage_event(self) -> bytes:
        """Return the event that holds the usage."""
        base = self._make_base(
            "chat.completion.chunk" if self.chat else "text_completion"
        )
        value = {**base, "choices": [], "usage": self.make_usage()}
        return b"data: " + msgspec.json.encode(value) + b"\n\n"
