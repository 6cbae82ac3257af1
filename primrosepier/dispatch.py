"""The path of one model request from admission to its outcome."""

import contextlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from .asgi import Send
from .attempt import Attempts, Delivery, can_continue, make_delivery
from .board import Board
from .configuration import Configuration, Endpoint, Service
from .ids import EndpointId
from .loads import EndpointLoad
from .outcomes import Completed, NotRun, Outcome, Step
from .placement import Decision, EndpointView, Feedback, Placement
from .requests import ModelRequest
from .settings import Limits

__all__ = ["Dispatcher"]

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class Dispatcher:
    """Sends requests to endpoints and relays their answers.

    Parameters
    ----------
    board : Board
    attempts : Attempts
    placement : Placement
    limits : Limits
    """

    board: Board
    attempts: Attempts
    placement: Placement
    limits: Limits
    outstanding: Counter[EndpointId] = field(default_factory=Counter)

    async def dispatch(
        self, request: ModelRequest, send: Send, now_s: float
    ) -> Outcome:
        """Serve a request; answers of endpoints go out through ``send``.

        Returns
        -------
        Outcome
            ``NotRun`` and ``UnknownOutcome`` have sent nothing to the caller.
        """
        delivery = make_delivery(request, send)
        tried: set[EndpointId] = set()
        outcome: Outcome = NotRun(Step.PLACE, "-", "no endpoint has room", 1.0)
        for _ in range(MAX_ATTEMPTS):
            decision = self.choose(request, tried, now_s)
            if decision is None:
                return outcome
            tried.add(decision.endpoint)
            outcome = await self._attempt(request, decision, delivery)
            if not isinstance(outcome, NotRun) and not can_continue(outcome):
                self._observe(request, decision, outcome, now_s)
                return outcome
        return outcome

    def choose(
        self, request: ModelRequest, tried: set[EndpointId], now_s: float
    ) -> Decision | None:
        """Choose among the endpoints that were not tried."""
        configuration = self.board.configuration.value
        if configuration is None:
            return None
        views = self._make_views(configuration, request.service, tried, now_s)
        return self.placement.choose(request.prompt, views, now_s)

    def _make_views(
        self,
        configuration: Configuration,
        service: Service,
        tried: set[EndpointId],
        now_s: float,
    ) -> list[EndpointView]:
        load = self.board.load.value
        leaving = self.board.leaving.value
        views = []
        for endpoint in configuration.list_endpoints(service.id):
            if endpoint.id in tried or endpoint.id in leaving:
                continue
            views.append(self._make_view(endpoint, load.get(endpoint.id), now_s))
        return views

    def _make_view(
        self, endpoint: Endpoint, report: EndpointLoad | None, now_s: float
    ) -> EndpointView:
        return EndpointView(
            id=endpoint.id,
            failure_domain=endpoint.failure_domain,
            outstanding=self.outstanding[endpoint.id],
            reported=report.running + report.waiting if report else 0,
            report_age_s=now_s - report.reported_at_s if report else float("inf"),
            capacity=endpoint.concurrent,
        )

    def _observe(
        self, request: ModelRequest, decision: Decision, outcome: Outcome, now_s: float
    ) -> None:
        if isinstance(outcome, Completed):
            self.placement.observe(
                Feedback(
                    endpoint=decision.endpoint,
                    prompt=request.prompt,
                    cached_tokens=outcome.cached_tokens,
                    expected_cached_tokens=decision.expected_cached_tokens,
                    now_s=now_s,
                )
            )

    @contextlib.contextmanager
    def _count(self, endpoint: EndpointId) -> Iterator[None]:
        self.outstanding[endpoint] += 1
        try:
            yield
        finally:
            self.outstanding[endpoint] -= 1

    async def _attempt(
        self, request: ModelRequest, decision: Decision, delivery: Delivery
    ) -> Outcome:
        configuration = self.board.configuration.value
        if configuration is None or decision.endpoint not in configuration.endpoints:
            return NotRun(Step.PLACE, decision.endpoint, "the endpoint is gone")
        endpoint = configuration.endpoints[decision.endpoint]
        with self._count(endpoint.id):
            return await self.attempts.run(request, endpoint, delivery)
