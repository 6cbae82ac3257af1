"""Dispatch of model requests, from admission to the outcome."""

import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace

import anyio

from .admission import Shed
from .asgi import Send
from .attempt import AttemptRunner, Delivery, can_continue, make_delivery
from .board import Board
from .candidates import REST_REASON, Candidates, EngineIdentity
from .clocks import Clock
from .configuration import Endpoint
from .crash_causes import Fingerprints
from .gate import Gate, make_gate
from .ids import EndpointId, Incarnation, ServiceId, WeightsVersion
from .limits import Demand, WorkspaceLimiter
from .outcomes import (
    Completed,
    Interrupted,
    NotRun,
    Outcome,
    Refused,
    Step,
    UnknownOutcome,
)
from .placement import Decision, Feedback, Placement
from .prompts import BLOCK_TOKENS
from .request_log import record_decision, record_retry, record_reuse
from .requests import ModelRequest, make_fingerprints
from .rest_periods import spread_return
from .retries import GiveUp, RetryBudget, decide_retry, merge_outcomes
from .settings import Limits
from .suspects import Quarantined, Suspicion

__all__ = ["Dispatcher", "ShareSuspicions", "make_dispatcher"]

MAX_CONTINUATIONS = 3
ShareSuspicions = Callable[[Sequence[Suspicion]], Awaitable[None]]


async def share_with_no_peers(suspicions: Sequence[Suspicion]) -> None:
    """Do nothing; used by a router without peers."""


@dataclass(slots=True)
class Dispatcher:
    """Sends requests to endpoints and relays their answers.

    Parameters
    ----------
    board : Board
    attempts : AttemptRunner
    placement : Placement
    limits : Limits
    candidates : Candidates
    rng : random.Random
        Source of the random delays before retries.
    budget : RetryBudget
    workspaces : WorkspaceLimiter
    gates : dict of ServiceId to Gate
        Admission gate of each service, created on its first request.
    share_suspicions : callable
        Pushes new suspicions to the neighbouring routers; returns when they have
        answered, or after a time-out.
    """

    board: Board
    attempts: AttemptRunner
    placement: Placement
    limits: Limits
    candidates: Candidates
    clock: Clock = time.monotonic
    rng: random.Random = field(default_factory=random.Random)
    budget: RetryBudget = field(default_factory=RetryBudget)
    workspaces: WorkspaceLimiter = field(default_factory=WorkspaceLimiter)
    gates: dict[ServiceId, Gate] = field(default_factory=dict)
    share_suspicions: ShareSuspicions = share_with_no_peers

    async def dispatch(
        self, request: ModelRequest, send: Send, now_s: float
    ) -> Outcome:
        """Run a request at an endpoint and relay the answer through ``send``.

        Returns
        -------
        Outcome
            After ``NotRun`` and ``UnknownOutcome`` nothing was sent to the caller.
        """
        workspace = request.workspace
        demand = self.board.usage.value.get(workspace.id, self._make_default_demand())
        limited = self.workspaces.admit(
            workspace.id,
            workspace.requests_per_s,
            workspace.concurrent,
            demand,
            now_s,
        )
        if limited is not None:
            reason = f"the limit of workspace {workspace.id} is reached"
            return NotRun(Step.ADMIT, "-", reason, limited.retry_after_s, limited=True)
        try:
            return await self._wait_and_run(request, send)
        finally:
            self.workspaces.release(workspace.id)

    def _make_default_demand(self) -> Demand:
        return Demand(routers=1 + len(self.board.peers.value))

    async def _wait_and_run(self, request: ModelRequest, send: Send) -> Outcome:
        after_s = self._compute_return_s(request)
        if after_s > 0:
            return NotRun(Step.PLACE, "-", REST_REASON, after_s)
        gate = self._get_gate(request.service.id)

        def read_capacity() -> int:
            return self.candidates.compute_capacity(request.service, self.clock())

        def all_rest() -> bool:
            now_s = self.clock()
            return self.candidates.compute_rest_s(request.service, now_s) > 0

        ticket = await gate.enter(
            request.workspace,
            request.priority,
            self.limits.queue_s,
            read_capacity,
            all_rest,
        )
        if isinstance(ticket, Shed):
            after_s = self._compute_return_s(request)
            if after_s > 0:
                return NotRun(Step.QUEUE, "-", REST_REASON, after_s)
            return NotRun(Step.QUEUE, "-", ticket.reason, ticket.retry_after_s)
        try:
            outcome = await self._run(request, make_delivery(request, send))
        finally:
            gate.leave(ticket, read_capacity)
        if isinstance(outcome, NotRun):
            after_s = max(outcome.retry_after_s, self._compute_return_s(request))
            return replace(outcome, retry_after_s=after_s)
        return outcome

    def _compute_return_s(self, request: ModelRequest) -> float:
        """Return when a caller may return if all endpoints rest, seconds; else 0."""
        rest_s = self.candidates.compute_rest_s(request.service, self.clock())
        return spread_return(rest_s, self.rng) if rest_s > 0 else 0.0

    def _get_gate(self, service: ServiceId) -> Gate:
        if service not in self.gates:
            self.gates[service] = make_gate(self.limits.queue_requests, self.clock)
        return self.gates[service]

    async def _run(self, request: ModelRequest, delivery: Delivery) -> Outcome:
        fingerprints = make_fingerprints(request)
        self.budget.deposit()
        tried: set[EndpointId] = set()
        outcome: Outcome = NotRun(Step.PLACE, "-", "no endpoint has room", 1.0)
        while True:
            now_s = self.clock()
            chosen = self.choose(request, fingerprints, tried, now_s)
            if isinstance(chosen, NotRun):
                return outcome if tried else chosen
            previous = outcome if tried else None
            tried.add(chosen.endpoint)
            latest = await self._attempt(request, fingerprints, chosen, delivery)
            outcome = merge_outcomes(previous, latest)
            if isinstance(outcome, Completed | Refused):
                return outcome
            if can_continue(outcome) and len(tried) <= MAX_CONTINUATIONS:
                record_retry(request, len(tried), outcome)
                continue
            verdict = decide_retry(
                outcome, len(tried), request.idempotent, self.budget, self.rng
            )
            if isinstance(verdict, GiveUp):
                return outcome
            record_retry(request, len(tried), outcome)
            await anyio.sleep(verdict.delay_s)

    def choose(
        self,
        request: ModelRequest,
        fingerprints: Fingerprints,
        tried: set[EndpointId],
        now_s: float,
    ) -> Decision | NotRun:
        """Choose an endpoint that has not been tried, or return why there is none."""
        suspects = self.candidates.suspects
        common = suspects.check_common(fingerprints, now_s)
        if isinstance(common, Quarantined):
            reason = "a part of the prompt crashed the endpoints that ran it"
            return NotRun(Step.PLACE, "-", reason, common.retry_after_s)
        fingerprint = fingerprints.request
        allowed = suspects.check(fingerprint, now_s)
        if isinstance(allowed, Quarantined):
            reason = "the request crashed the endpoints that ran it"
            return NotRun(Step.PLACE, "-", reason, allowed.retry_after_s)
        suspected = suspects.is_suspect(fingerprint, now_s)
        table = self.candidates.make_table(
            request.service, tried, allowed, suspected, now_s
        )
        if table is None:
            return NotRun(Step.PLACE, "-", "there is no configuration yet", 1.0)
        decision = self.placement.choose(request.prompt, table, now_s)
        record_decision(request, decision, list(table.views.values()), len(tried))
        if decision is None:
            return NotRun(Step.PLACE, "-", "no endpoint has room", 1.0)
        return decision

    async def _attempt(
        self,
        request: ModelRequest,
        fingerprints: Fingerprints,
        decision: Decision,
        delivery: Delivery,
    ) -> Outcome:
        configuration = self.board.configuration.value
        if configuration is None or decision.endpoint not in configuration.endpoints:
            return NotRun(Step.PLACE, decision.endpoint, "the endpoint is gone")
        endpoint = configuration.endpoints[decision.endpoint]
        suspects = self.candidates.suspects
        outcome: Outcome | None = None
        suspects.record_start(fingerprints.request, endpoint.id)
        self.candidates.rests.try_begin_request(endpoint.id, self.clock())
        self.candidates.outstanding[endpoint.id] += 1
        started_s = self.clock()
        try:
            outcome = await self.attempts.run(request, endpoint, delivery)
            await self._record_failure(fingerprints, endpoint, outcome, started_s)
        finally:
            self.candidates.outstanding[endpoint.id] -= 1
            completed = isinstance(outcome, Completed | Refused)
            suspects.record_end(fingerprints.request, endpoint.id, completed)
        if isinstance(outcome, Completed):
            suspects.loss_log.record_answer(
                fingerprints, endpoint.id, delivery.headers_at_s, self.clock()
            )
            self._record_completion(request, decision, outcome, delivery, started_s)
        return outcome

    async def _record_failure(
        self,
        fingerprints: Fingerprints,
        endpoint: Endpoint,
        outcome: Outcome,
        sent_at_s: float,
    ) -> None:
        """Record a failed attempt; share new suspicions before any retry."""
        now_s = self.clock()
        if isinstance(outcome, Completed | Refused):
            return
        if isinstance(outcome, NotRun) and outcome.step is Step.HEADERS:
            limit = self.candidates.limits.get(endpoint.id, endpoint.concurrent)
            limit.record_overload(now_s)
            return
        self.candidates.ejections.record_failure(endpoint.id, now_s)
        self.candidates.identities.pop(endpoint.id, None)
        if isinstance(outcome, UnknownOutcome | Interrupted) and outcome.lost:
            suspects = self.candidates.suspects
            new_suspicions = suspects.record_loss(
                fingerprints.request, endpoint.id, endpoint.failure_domain, now_s
            )
            suspects.loss_log.record_loss(fingerprints, endpoint.id, sent_at_s, now_s)
            if new_suspicions:
                await self.share_suspicions(new_suspicions)

    def _record_completion(
        self,
        request: ModelRequest,
        decision: Decision,
        outcome: Completed,
        delivery: Delivery,
        started_s: float,
    ) -> None:
        record_reuse(request, decision, outcome)
        now_s = self.clock()
        endpoint = decision.endpoint
        ttft_s = max(0.0, delivery.headers_at_s - started_s)
        computed_tokens = max(0, request.prompt.tokens - outcome.cached_tokens)
        per_token_s = ttft_s / (computed_tokens + BLOCK_TOKENS)
        self.candidates.ejections.record_success(endpoint, per_token_s, now_s)
        limits = self.candidates.limits.by_endpoint
        if endpoint in limits:
            outstanding = self.candidates.outstanding[endpoint]
            limits[endpoint].record_answer(ttft_s, outstanding, now_s)
        identity = EngineIdentity(
            Incarnation(delivery.identity.incarnation),
            WeightsVersion(delivery.identity.version),
        )
        self.candidates.identities[endpoint] = identity
        self.placement.observe(
            Feedback(
                endpoint=endpoint,
                prompt=request.prompt,
                cached_tokens=outcome.cached_tokens,
                expected_cached_tokens=decision.expected_cached_tokens,
                now_s=now_s,
                incarnation=identity.incarnation,
                version=identity.version,
                kind=decision.kind,
            )
        )


def make_dispatcher(
    board: Board,
    attempts: AttemptRunner,
    placement: Placement,
    limits: Limits,
    clock: Clock = time.monotonic,
) -> Dispatcher:
    """Return a dispatcher that shares suspicions with no peers."""
    candidates = Candidates(board)
    attempts.rests = candidates.rests
    return Dispatcher(board, attempts, placement, limits, candidates, clock)
