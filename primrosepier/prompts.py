"""Prompts as chains of block hashes."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import xxhash

from .ids import AdapterId, BlockHash, ModelId, WeightsVersion, WorkspaceId

__all__ = [
    "BLOCK_TOKENS",
    "BYTES_PER_TOKEN",
    "CacheScope",
    "Prompt",
    "count_tokens",
    "find_levels",
    "hash_blocks",
    "make_prompt",
    "render_messages",
]

BLOCK_TOKENS = 512
BYTES_PER_TOKEN = 4
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


@dataclass(frozen=True, slots=True)
class CacheScope:
    """Fields that prompts must have in common to reuse each other's cached blocks."""

    workspace: WorkspaceId
    model: ModelId
    adapter: AdapterId
    version: WeightsVersion

    def compute_seed(self) -> int:
        """Return the hash seed of this scope.

        The weights version is left out, so that a prefix is routed to the same
        endpoints across a change of weights. Records of cached blocks store the
        version separately.
        """
        parts = (self.workspace, self.model, self.adapter)
        return xxhash.xxh64_intdigest("\x00".join(parts).encode())


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as a chain of block hashes.

    Parameters
    ----------
    blocks : tuple of BlockHash, shape (n,)
        Chained hashes; entry ``i`` identifies the first ``i + 1`` blocks.
    tokens : int
        Estimated length in tokens.
    levels : tuple of int
        Numbers of whole blocks up to the ends of messages, ascending, without 0 and
        repeats; empty when the prompt has no messages.
    """

    scope: CacheScope
    blocks: tuple[BlockHash, ...]
    tokens: int
    levels: tuple[int, ...] = ()


def render_messages(messages: Sequence[Mapping[str, Any]]) -> str:
    """Return chat messages concatenated in order, so that prefixes are preserved."""
    parts = []
    for message in messages:
        parts.append(f"<{message.get('role', '')}>\n{message.get('content', '')}\n")
    return "".join(parts)


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text."""
    size = len(text.encode("utf-8", "surrogatepass"))
    return max(1, -(-size // BYTES_PER_TOKEN))


def hash_blocks(text: str, seed: int) -> tuple[BlockHash, ...]:
    """Return the chained hashes of the whole blocks of a text.

    A block has 512 tokens, estimated as `BLOCK_BYTES` bytes.
    """
    data = text.encode("utf-8", "surrogatepass")
    chain = seed
    blocks = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        chain = xxhash.xxh64_intdigest(data[start : start + BLOCK_BYTES], seed=chain)
        blocks.append(BlockHash(chain))
    return tuple(blocks)


def find_levels(messages: Sequence[Mapping[str, Any]]) -> tuple[int, ...]:
    """Return the numbers of whole blocks up to the ends of messages, ascending.

    0 and repeated numbers are left out.
    """
    size = 0
    levels: dict[int, None] = {}
    for message in messages:
        size += len(render_messages([message]).encode("utf-8", "surrogatepass"))
        if size >= BLOCK_BYTES:
            levels[size // BLOCK_BYTES] = None
    return tuple(levels)


def make_prompt(scope: CacheScope, text: str, levels: tuple[int, ...] = ()) -> Prompt:
    """Return the prompt of a rendered text."""
    blocks = hash_blocks(text, scope.compute_seed())
    return Prompt(scope, blocks, count_tokens(text), levels)
