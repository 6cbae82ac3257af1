"""Stand-in for a service that stores KV cache blocks for engines.

``POST /kv/put`` with ``{"version", "blocks"}`` stores a chain of blocks, and
``POST /kv/get`` with the same body returns its leading blocks that are stored, as
``{"version", "blocks"}``. The block hashes cover the workspace, so one workspace
never gets blocks of another.
"""

from dataclasses import dataclass, field
from typing import Any

from .asgi import Receive, Scope, Send, read_json, send_json
from .errors import RequestError
from .standin_cache import BlockCache

__all__ = ["KvCacheStandin"]

MAX_BODY_BYTES = 8 * 1024 * 1024
CACHE_BLOCKS = 4096


@dataclass(slots=True)
class KvCacheStandin:
    """ASGI app with a separate cache for each weights version."""

    capacity: int = CACHE_BLOCKS
    caches: dict[str, BlockCache] = field(default_factory=dict)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        try:
            await self._route(scope, receive, send)
        except RequestError as error:
            await send_json(send, error.status, {"error": error.message})

    async def _route(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["path"] not in ("/kv/put", "/kv/get"):
            raise RequestError(404, "unknown_path", "There is nothing here.")
        body = await read_json(receive, MAX_BODY_BYTES)
        version, blocks = _check_body(body)
        cache = self.caches.setdefault(version, BlockCache(self.capacity))
        if scope["path"] == "/kv/put":
            cache.add(blocks)
            await send_json(send, 200, {"version": version, "kept": len(blocks)})
            return
        stored = blocks[: cache.count_cached(blocks)]
        await send_json(send, 200, {"version": version, "blocks": stored})


def _check_body(body: dict[str, Any]) -> tuple[str, list[Any]]:
    version, blocks = body.get("version"), body.get("blocks")
    if not isinstance(version, str) or not isinstance(blocks, list):
        raise RequestError(400, "invalid_request", "version and blocks are needed.")
    if not all(isinstance(block, int) for block in blocks):
        raise RequestError(400, "invalid_request", "blocks is not a list of numbers.")
    return version, blocks
