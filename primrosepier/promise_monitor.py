"""Detection of broken promises from log events."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .board import Section
from .clocks import Clock
from .configuration import Configuration
from .ids import EndpointId, Revision
from .log_events import (
    AttemptEnded,
    AttemptStarted,
    ClaimSettled,
    Event,
    PromiseBroken,
    RequestEnded,
    RequestRefused,
)
from .metric_specs import Promise

__all__ = ["PromiseMonitor"]

# Time after which a leaving endpoint must get no new attempts.
LEAVING_BOUND_S = 3.0
CLAIM_WON = "Claimed"


@dataclass(slots=True)
class PromiseMonitor:
    """Detects broken promises from the log events of one router.

    Parameters
    ----------
    report : callable
        Called with each broken promise.
    leaving : Section
        Ids of the leaving endpoints.
    configuration : Section
        Active configuration; its value is None before the first one.

    Attributes
    ----------
    executed_requests, claimed_requests : set of str
        Open requests that may have run at an endpoint, and those that won the claim
        of their idempotency key.
    leaving_since : dict of EndpointId to float
        Time at which each leaving endpoint was first seen as such, in seconds.
    """

    report: Callable[[Promise], None]
    leaving: Section[frozenset[EndpointId]]
    configuration: Section[Configuration | None]
    clock: Clock = time.monotonic
    executed_requests: set[str] = field(default_factory=set)
    claimed_requests: set[str] = field(default_factory=set)
    leaving_since: dict[EndpointId, float] = field(default_factory=dict)
    highest_revision: Revision = Revision(0)

    def observe(self, event: Event) -> None:
        """Check one event."""
        if isinstance(event, AttemptStarted):
            self._check_attempt_start(event)
        elif isinstance(event, AttemptEnded):
            if event.outcome != "NotRun":
                self.executed_requests.add(event.request)
        elif isinstance(event, RequestEnded):
            self._check_request_end(event)
        elif isinstance(event, ClaimSettled):
            if event.result == CLAIM_WON:
                self.claimed_requests.add(event.request)
        elif isinstance(event, RequestRefused):
            if event.code == "not_run" and self.configuration.value is None:
                self.report(Promise.WARM_RESTART)
        elif isinstance(event, PromiseBroken):
            self.report(Promise(event.promise))

    def _check_attempt_start(self, event: AttemptStarted) -> None:
        if (
            event.request in self.claimed_requests
            and event.request in self.executed_requests
        ):
            self.report(Promise.AT_MOST_ONCE)
        now_s = self.clock()
        self._update_leaving(now_s)
        since_s = self.leaving_since.get(event.endpoint)
        if since_s is not None and now_s - since_s > LEAVING_BOUND_S:
            self.report(Promise.LEAVING)

    def _update_leaving(self, now_s: float) -> None:
        leaving = self.leaving.value
        if leaving == self.leaving_since.keys():
            return
        previous = self.leaving_since
        self.leaving_since = {name: previous.get(name, now_s) for name in leaving}

    def _check_request_end(self, event: RequestEnded) -> None:
        executed = event.request in self.executed_requests
        self.executed_requests.discard(event.request)
        self.claimed_requests.discard(event.request)
        if event.outcome == "Interrupted":
            self.report(Promise.COMPLETE_STREAM)
        elif event.outcome == "NotRun" and executed:
            self.report(Promise.NOT_RUN)
        elif event.outcome == "Cut":
            self.report(Promise.GRACEFUL_STOP)

    def observe_revision(self, revision: Revision) -> None:
        """Check the revision of the active configuration, which must not decrease."""
        if revision < self.highest_revision:
            self.report(Promise.CONFIGURATION)
        self.highest_revision = max(self.highest_revision, revision)
