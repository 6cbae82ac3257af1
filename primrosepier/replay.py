"""Replays traces against an OpenAI-compatible address."""

import math
import re
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import anyio
import msgspec

from .decoding import decode_json
from .endpoint_client import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    make_endpoint_client,
)
from .errors import MessageError, TraceError
from .prompts import BLOCK_TOKENS
from .relay import Tail
from .standin_engine import make_output_tokens
from .traces import TraceRequest, render_prompt

__all__ = [
    "ReplayReport",
    "RequestSample",
    "fetch_first_model",
    "parse_address",
    "replay_trace",
    "summarize_samples",
]

TEXT_FIELD = re.compile(rb'"text":"([^"]*)"')
HTTP_OK = 200
CONNECT_TIMEOUT_S = 5.0
REQUEST_TIMEOUT_S = 600.0


@dataclass(frozen=True, slots=True)
class RequestSample:
    """Measurements of one replayed request.

    Parameters
    ----------
    complete : bool
        Whether the answer had status 200 and an end marker.
    correct : bool
        Whether the answer is complete and, if checked, equal to that of the stand-in
        engine.
    wasted_tokens : int
        Prompt tokens that were computed although they were in the prefix of an
        earlier request of the same workspace.
    """

    status: int
    ttft_s: float
    prompt_tokens: int
    cached_tokens: int
    complete: bool
    correct: bool
    wasted_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ReplayReport:
    """Measurements of one replay."""

    requests: int
    complete: int
    correct: int
    failed: int
    hit_rate: float
    computed_tokens: int
    wasted_tokens: int
    ttft_p50_s: float
    ttft_p99_s: float


@dataclass(slots=True)
class TraceReplay:
    """A replay in progress; for the fields, see `replay_trace`."""

    urls: Sequence[str]
    keys: Mapping[str, str]
    model: str
    check: bool
    client: EndpointClient
    on_sample: Callable[[int], None]
    samples: list[RequestSample] = field(default_factory=list)
    seen_prefixes: set[int] = field(default_factory=set)

    async def send(self, number: int, request: TraceRequest) -> None:
        """Send one request and record its sample."""
        text = render_prompt(request)
        seen_tokens = self.record_prompt(request)
        call = self._make_call(self.urls[number % len(self.urls)], request, text)
        started_s = time.monotonic()
        ttft_s = math.nan
        status = 0
        chunks = []
        try:
            async with self.client.open(call) as response:
                status = response.status
                async for chunk in response.aiter_stream():
                    if math.isnan(ttft_s):
                        ttft_s = time.monotonic() - started_s
                    chunks.append(chunk)
        except (*CONNECT_ERRORS, *RELAY_ERRORS):
            pass
        self.record_sample(request, text, seen_tokens, status, ttft_s, b"".join(chunks))

    def _make_call(self, url: str, request: TraceRequest, text: str) -> EndpointCall:
        body: dict[str, Any] = {
            "model": request.model or self.model,
            "prompt": text,
            "max_tokens": request.output_length,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        if request.priority:
            body["priority"] = request.priority
        headers = [("content-type", "application/json")]
        if not request.repeatable:
            headers.append(("idempotency-key", secrets.token_hex()))
        key = self.keys.get(request.workspace) or next(iter(self.keys.values()))
        return EndpointCall(
            address=parse_address(url),
            method="POST",
            path="/v1/completions",
            headers=(("authorization", f"Bearer {key}"), *headers),
            body=msgspec.json.encode(body),
            connect_s=CONNECT_TIMEOUT_S,
            request_s=REQUEST_TIMEOUT_S,
        )

    def record_prompt(self, request: TraceRequest) -> int:
        """Record a prompt and return how many of its tokens earlier prompts share."""
        prefix: tuple[int, ...] = ()
        shared_blocks = 0
        for block_id in request.hash_ids:
            prefix = (hash((request.workspace, *prefix, block_id)),)
            shared_blocks += prefix[0] in self.seen_prefixes
            self.seen_prefixes.add(prefix[0])
        return min(shared_blocks * BLOCK_TOKENS, request.input_length)

    def record_sample(
        self,
        request: TraceRequest,
        text: str,
        seen_tokens: int,
        status: int,
        ttft_s: float,
        data: bytes,
    ) -> None:
        """Record the sample of one answer."""
        tail = Tail()
        tail.add(data)
        complete = status == HTTP_OK and tail.has_end_marker()
        answer = b"".join(TEXT_FIELD.findall(data)).decode(errors="replace")
        cached_tokens = tail.read_cached_tokens()
        expected = "".join(make_output_tokens(text, request.output_length))
        self.samples.append(
            RequestSample(
                status=status,
                ttft_s=ttft_s,
                prompt_tokens=request.input_length,
                cached_tokens=cached_tokens,
                complete=complete,
                correct=complete and (not self.check or answer == expected),
                wasted_tokens=max(0, seen_tokens - cached_tokens),
            )
        )
        self.on_sample(len(self.samples))


async def replay_trace(
    requests: Sequence[TraceRequest],
    urls: Sequence[str],
    keys: Mapping[str, str],
    check: bool = False,
    on_sample: Callable[[int], None] = lambda count: None,
    model: str = "",
) -> ReplayReport:
    """Send the requests of a trace at their timestamps and return the measurements.

    Parameters
    ----------
    urls : sequence of str
        Base addresses, used in round-robin order.
    keys : Mapping of str to str
        API key of each workspace.
    check : bool
        Compare each answer with that of the stand-in engine.
    on_sample : callable
        Called with the number of finished requests.
    model : str
        Model of requests without one.
    """
    for url in urls:
        parse_address(url)
    client = make_endpoint_client()
    replay = TraceReplay(urls, keys, model, check, client, on_sample)
    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for number, request in enumerate(requests):
            due_s = started_s + request.timestamp / 1000
            await anyio.sleep(max(0.0, due_s - time.monotonic()))
            group.start_soon(replay.send, number, request)
    await client.close()
    return summarize_samples(replay.samples)


def parse_address(url: str) -> str:
    """Return the ``IP:PORT`` of a base address.

    Raises
    ------
    TraceError
        The address is not of the form ``http://IP:PORT``.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.port or parts.path not in ("", "/"):
        raise TraceError(f"{url!r} is not of the form http://IP:PORT")
    return parts.netloc


async def fetch_first_model(url: str, key: str) -> str:
    """Return the first model listed by an address.

    Raises
    ------
    TraceError
        The address can't be reached, refuses the key or lists no model.
    """
    client = make_endpoint_client()
    headers = (("authorization", f"Bearer {key}"),)
    call = EndpointCall(
        parse_address(url),
        "GET",
        "/v1/models",
        headers,
        b"",
        CONNECT_TIMEOUT_S,
        CONNECT_TIMEOUT_S,
    )
    try:
        async with client.open(call) as response:
            data = b"".join([chunk async for chunk in response.aiter_stream()])
            if response.status != HTTP_OK:
                raise TraceError(
                    f"{url}/v1/models answered with status {response.status}"
                )
        return str(decode_json(data, dict[str, Any])["data"][0]["id"])
    except (*CONNECT_ERRORS, *RELAY_ERRORS) as cause:
        raise TraceError(f"{url} can't be reached: {cause!r}") from cause
    except (MessageError, LookupError, TypeError) as cause:
        raise TraceError(f"{url}/v1/models lists no model") from cause
    finally:
        await client.close()


def summarize_samples(samples: Sequence[RequestSample]) -> ReplayReport:
    """Summarize the samples of a replay."""
    complete = [sample for sample in samples if sample.complete]
    prompt_tokens = sum(sample.prompt_tokens for sample in complete)
    cached_tokens = sum(sample.cached_tokens for sample in complete)
    ttfts_s = sorted(s.ttft_s for s in complete if not math.isnan(s.ttft_s))
    return ReplayReport(
        requests=len(samples),
        complete=len(complete),
        correct=sum(sample.correct for sample in samples),
        failed=len(samples) - len(complete),
        hit_rate=cached_tokens / prompt_tokens if prompt_tokens else 0.0,
        computed_tokens=prompt_tokens - cached_tokens,
        wasted_tokens=sum(sample.wasted_tokens for sample in complete),
        ttft_p50_s=_compute_quantile(ttfts_s, 0.50),
        ttft_p99_s=_compute_quantile(ttfts_s, 0.99),
    )


def _compute_quantile(sorted_times: Sequence[float], share: float) -> float:
    if not sorted_times:
        return math.nan
    return sorted_times[min(len(sorted_times) - 1, int(share * len(sorted_times)))]
