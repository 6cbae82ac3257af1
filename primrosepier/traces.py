"""Request traces in the Mooncake format, and a seeded generator."""

import random
from collections.abc import Iterable, Iterator

import msgspec

from .errors import TraceError
from .prompts import BLOCK_BYTES, BLOCK_TOKENS

__all__ = [
    "TraceRequest",
    "format_trace",
    "generate_trace",
    "parse_trace",
    "render_prompt",
]

ROOT_BLOCKS = 2
GROUP_BLOCKS = 4
GROUPS = 12
ZIPF_EXPONENT = 1.1


class TraceRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a trace.

    Parameters
    ----------
    timestamp : float
        Milliseconds since the start of the trace.
    input_length, output_length : int
        Prompt and output tokens.
    hash_ids : tuple of int
        One id for each block of 512 prompt tokens; blocks with equal ids are equal.
    repeatable : bool
        False for requests that are replayed with an idempotency key.
    """

    timestamp: float
    input_length: int
    output_length: int
    hash_ids: tuple[int, ...]
    workspace: str = ""
    model: str = ""
    priority: int = 0
    repeatable: bool = True


def parse_trace(lines: Iterable[str | bytes]) -> Iterator[TraceRequest]:
    """Yield the requests of a trace.

    Raises
    ------
    TraceError
        A line is malformed; the message contains its number.
    """
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            request = msgspec.json.decode(line, type=TraceRequest)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as cause:
            raise TraceError(f"line {number} is malformed: {cause}") from cause
        error = _find_error(request)
        if error:
            raise TraceError(f"line {number} is malformed: {error}")
        yield request


def _find_error(request: TraceRequest) -> str:
    """Return the error in a request, or an empty string."""
    if not 0 <= request.timestamp < float("inf"):
        return f"timestamp {request.timestamp} is not a valid time in ms"
    if request.input_length < 1 or request.output_length < 1:
        return "input_length and output_length must be at least 1"
    expected_blocks = -(-request.input_length // BLOCK_TOKENS)
    if len(request.hash_ids) != expected_blocks:
        return (
            f"{request.input_length} tokens are {expected_blocks} blocks of "
            f"{BLOCK_TOKENS}, but hash_ids has {len(request.hash_ids)}"
        )
    return ""


def format_trace(requests: Iterable[TraceRequest]) -> Iterator[str]:
    """Yield the lines of a trace."""
    for request in requests:
        yield msgspec.json.encode(request).decode()


def generate_trace(
    seed: int, count: int, rate: float, workspaces: list[str], model: str
) -> list[TraceRequest]:
    """Return a seeded trace of nested prompts.

    Parameters
    ----------
    seed : int
    count : int
        Number of requests.
    rate : float
        Requests per second.
    workspaces : list of str
    model : str
    """
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(GROUPS)]
    now_ms = 0.0
    requests = []
    for number in range(count):
        now_ms += rng.expovariate(rate) * 1000
        workspace_index = rng.randrange(len(workspaces))
        group = rng.choices(range(GROUPS), weights)[0]
        base = (workspace_index + 1) * 1_000_000
        root = [base + block for block in range(ROOT_BLOCKS)]
        nested = [base + 1000 * (group + 1) + block for block in range(GROUP_BLOCKS)]
        hash_ids = (*root, *nested, 100_000_000 + number)
        requests.append(
            TraceRequest(
                timestamp=round(now_ms, 3),
                input_length=len(hash_ids) * BLOCK_TOKENS,
                output_length=rng.randint(8, 24),
                hash_ids=hash_ids,
                workspace=workspaces[workspace_index],
                model=model,
            )
        )
    return requests


def render_prompt(request: TraceRequest) -> str:
    """Return a prompt text in which blocks are equal if and only if their ids are."""
    parts = []
    for block_id in request.hash_ids:
        text = f"block {block_id} "
        repeated = text * (BLOCK_BYTES // len(text) + 1)
        parts.append(repeated[:BLOCK_BYTES])
    return "".join(parts)[: request.input_length * 4]
