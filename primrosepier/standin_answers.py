"""Answers of an engine stand-in, in the format of the OpenAI API."""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["Answer", "make_output_tokens"]

INITIAL_VERSION = "1"
TOKEN_PLACEHOLDER = b"@token@"
FINISH_PLACEHOLDER = b"@finish@"


def make_output_tokens(
    text: str, tokens: int, version: str = INITIAL_VERSION
) -> list[str]:
    """Return the output tokens of a prompt, which depend only on the arguments."""
    data = f"{version}\x00{text}".encode("utf-8", "surrogatepass")
    digest = hashlib.sha256(data).hexdigest()[:8]
    return [f"{digest}-{index} " for index in range(tokens)]


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer that can be sent as one body or as a stream of events.

    Parameters
    ----------
    chat : bool
        Use the format of chat completions instead of text completions.
    fingerprint : str
        Incarnation and weights version of the engine.
    tokens : list of str
        Output tokens.
    prompt_tokens : int
        Number of tokens of the prompt.
    cached_tokens : int
        Number of tokens of the prompt that were cached.
    """

    id: str
    chat: bool
    model: str
    fingerprint: str
    tokens: list[str]
    prompt_tokens: int
    cached_tokens: int

    def make_usage(self) -> dict[str, Any]:
        """Return the ``usage`` object."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": len(self.tokens),
            "total_tokens": self.prompt_tokens + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def _make_common_fields(self, kind: str) -> dict[str, Any]:
        return {
            "id": self.id,
            "object": kind,
            "created": 0,
            "model": self.model,
            "system_fingerprint": self.fingerprint,
        }

    def render_complete(self) -> bytes:
        """Return the answer as one JSON body."""
        text = "".join(self.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        fields = self._make_common_fields(
            "chat.completion" if self.chat else "text_completion"
        )
        return msgspec.json.encode(
            {**fields, "choices": [choice], "usage": self.make_usage()}
        )

    def render_events(self, start: int) -> Iterator[bytes]:
        """Yield an event for each token, starting with the token at an index."""
        before, middle, after = self._render_template()
        for index in range(start, len(self.tokens)):
            token = msgspec.json.encode(self.tokens[index])
            is_last = index == len(self.tokens) - 1
            finish_reason = b'"stop"' if is_last else b"null"
            yield b"".join((before, token, middle, finish_reason, after))

    def _render_template(self) -> tuple[bytes, bytes, bytes]:
        """Return the parts of an event around its token and its finish reason."""
        key = "delta" if self.chat else "text"
        placeholder = TOKEN_PLACEHOLDER.decode()
        value = {"content": placeholder} if self.chat else placeholder
        choice = {"index": 0, key: value, "finish_reason": FINISH_PLACEHOLDER.decode()}
        fields = self._make_common_fields(
            "chat.completion.chunk" if self.chat else "text_completion"
        )
        event = msgspec.json.encode({**fields, "choices": [choice]})
        before, _, rest = event.partition(b'"' + TOKEN_PLACEHOLDER + b'"')
        middle, _, after = rest.partition(b'"' + FINISH_PLACEHOLDER + b'"')
        return b"data: " + before, middle, after + b"\n\n"

    def render_usage_event(self) -> bytes:
        """Return the event with the ``usage`` object."""
        fields = self._make_common_fields(
            "chat.completion.chunk" if self.chat else "text_completion"
        )
        value = {**fields, "choices": [], "usage": self.make_usage()}
        return b"data: " + msgspec.json.encode(value) + b"\n\n"
