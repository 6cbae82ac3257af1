"""Open-loop load generator that measures latency from each request's due time."""

import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio
import msgspec
from anyio.abc import TaskGroup

from .endpoint_client import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    make_endpoint_client,
)
from .histograms import TimeHistogram, TimeReport
from .relay import Tail
from .replay import parse_address
from .traces import TraceRequest, generate_trace, render_prompt

__all__ = ["LoadPlan", "LoadReport", "plan_requests", "run_load"]

# Time slices of a run, which `bench_compare` resamples.
SLICES = 10
CONNECT_TIMEOUT_S = 5.0
DRAIN_S = 30.0
MAX_IN_PROGRESS = 4000
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load run.

    Parameters
    ----------
    urls : tuple of str
        Base addresses of routers, used in round-robin order.
    keys : Mapping of str to str
        API key of each workspace.
    rate_per_s : float
        Mean arrival rate; inter-arrival times are exponential.
    max_in_progress : int
        Limit of concurrent requests; requests above it count as unsent.
    drain_s : float
        Maximum wait for answers after ``duration_s``, in seconds.
    """

    urls: tuple[str, ...]
    keys: Mapping[str, str]
    model: str
    rate_per_s: float
    duration_s: float
    seed: int = 1
    max_in_progress: int = MAX_IN_PROGRESS
    drain_s: float = DRAIN_S


class LoadReport(msgspec.Struct, frozen=True):
    """Measures of one run.

    Parameters
    ----------
    requests, completed, unsent, unfinished : int
        Planned; answered with an end marker; not sent because of
        ``max_in_progress``; cancelled at the end of the run.
    failures : dict of str to int
        Failed requests by status or error.
    ttft, total : TimeReport
        From the due time to the first byte and to the end of the answer; an
        unfinished request counts in ``total`` with the time until it was cancelled.
    service : TimeReport
        From sending to the end of the answer; shorter than ``total`` when the sender
        lagged.
    lag : TimeReport
        From the due time to sending.
    gap : TimeReport
        Between consecutive chunks of an answer.
    """

    rate_per_s: float
    duration_s: float
    seed: int
    requests: int
    completed: int
    unsent: int
    unfinished: int
    failures: dict[str, int]
    prompt_tokens: int
    cached_tokens: int
    ttft: TimeReport
    total: TimeReport
    service: TimeReport
    lag: TimeReport
    gap: TimeReport


@dataclass(slots=True)
class _LoadRun:
    plan: LoadPlan
    client: EndpointClient
    started_s: float
    histograms: dict[str, TimeHistogram]
    failures: Counter[str] = field(default_factory=Counter)
    in_progress: int = 0
    requests: int = 0
    unsent: int = 0
    unfinished: int = 0
    completed: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0

    async def run(self, requests: list[TraceRequest]) -> None:
        """Send each request at its due time, independently of earlier answers."""
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                for number, request in enumerate(requests):
                    due_s = self.started_s + request.timestamp / 1000
                    await anyio.sleep(max(0.0, due_s - time.monotonic()))
                    self._start_request(group, number, request, due_s)
                end_s = self.started_s + self.plan.duration_s + self.plan.drain_s
                remaining_s = max(0.0, end_s - time.monotonic())
                scope.deadline = anyio.current_time() + remaining_s

    def _start_request(
        self,
        group: TaskGroup,
        number: int,
        request: TraceRequest,
        due_s: float,
    ) -> None:
        self.requests += 1
        if self.in_progress >= self.plan.max_in_progress:
            self.unsent += 1
            return
        self.in_progress += 1
        group.start_soon(self._send, number, request, due_s)

    async def _send(self, number: int, request: TraceRequest, due_s: float) -> None:
        call = self._make_call(number, request)
        slice_index = int(SLICES * request.timestamp / 1000 / self.plan.duration_s)
        sent_s = time.monotonic()
        self.histograms["lag"].add(slice_index, sent_s - due_s)
        ended = False
        try:
            failure = await self._receive_answer(call, slice_index, due_s)
            ended = True
        except (*CONNECT_ERRORS, *RELAY_ERRORS) as error:
            failure = type(error).__name__
            ended = True
        finally:
            self.in_progress -= 1
            if not ended:
                self.unfinished += 1
                self.histograms["total"].add(slice_index, time.monotonic() - due_s)
        if failure:
            self.failures[failure] += 1
            return
        now_s = time.monotonic()
        self.completed += 1
        self.prompt_tokens += request.input_length
        self.histograms["total"].add(slice_index, now_s - due_s)
        self.histograms["service"].add(slice_index, now_s - sent_s)

    async def _receive_answer(
        self, call: EndpointCall, slice_index: int, due_s: float
    ) -> str:
        """Return an empty string for a complete answer, otherwise the failure."""
        tail = Tail()
        last_chunk_s = 0.0
        async with self.client.open(call) as response:
            if response.status != HTTP_OK:
                return f"status {response.status}"
            async for chunk in response.aiter_stream():
                now_s = time.monotonic()
                if last_chunk_s:
                    self.histograms["gap"].add(slice_index, now_s - last_chunk_s)
                else:
                    self.histograms["ttft"].add(slice_index, now_s - due_s)
                last_chunk_s = now_s
                tail.add(chunk)
        if not tail.has_end_marker():
            return "no end marker"
        self.cached_tokens += tail.read_cached_tokens()
        return ""

    def _make_call(self, number: int, request: TraceRequest) -> EndpointCall:
        body = {
            "model": request.model,
            "prompt": render_prompt(request),
            "max_tokens": request.output_length,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        key = self.plan.keys[request.workspace]
        return EndpointCall(
            address=parse_address(self.plan.urls[number % len(self.plan.urls)]),
            method="POST",
            path="/v1/completions",
            headers=(
                ("authorization", f"Bearer {key}"),
                ("content-type", "application/json"),
            ),
            body=msgspec.json.encode(body),
            connect_s=CONNECT_TIMEOUT_S,
            request_s=self.plan.duration_s + self.plan.drain_s,
        )

    def make_report(self) -> LoadReport:
        """Return the measures so far."""
        return LoadReport(
            rate_per_s=self.plan.rate_per_s,
            duration_s=self.plan.duration_s,
            seed=self.plan.seed,
            requests=self.requests,
            completed=self.completed,
            unsent=self.unsent,
            unfinished=self.unfinished,
            failures=dict(self.failures),
            prompt_tokens=self.prompt_tokens,
            cached_tokens=self.cached_tokens,
            **{
                kind: histogram.make_report()
                for kind, histogram in self.histograms.items()
            },
        )


def plan_requests(plan: LoadPlan) -> list[TraceRequest]:
    """Return the seeded requests that are due within the plan's duration."""
    count = max(1, round(plan.rate_per_s * plan.duration_s * 1.5)) + 10
    trace = generate_trace(
        plan.seed, count, plan.rate_per_s, sorted(plan.keys), plan.model
    )
    return [r for r in trace if r.timestamp < plan.duration_s * 1000]


async def run_load(plan: LoadPlan) -> LoadReport:
    """Send a plan's requests and return the measures."""
    client = make_endpoint_client()
    requests = plan_requests(plan)
    kinds = ("ttft", "total", "service", "lag", "gap")
    histograms = {kind: TimeHistogram(SLICES) for kind in kinds}
    run = _LoadRun(plan, client, time.monotonic(), histograms)
    try:
        await run.run(requests)
    finally:
        await client.close()
    return run.make_report()
