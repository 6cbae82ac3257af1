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
    """Checks the promises on the log events of one router.

    Parameters
    ----------
    report : callable
        Called with each violated promise.
    leaving : Section
        Leaving endpoints.
    configuration : Section
        None until the router has a configuration.
    """

    report: Callable[[Promise], None]
    leaving: Section[frozenset[EndpointId]]
    configuration: Section[Configuration | None]
    clock: Clock = time.monotonic
    ran: set[str] = field(default_factory=set)
    claimed: set[str] = field(default_factory=set)
    leaving_since: dict[EndpointId, float] = field(default_factory=dict)
    revision: Revision = Revision(0)

    def observe(self, event: Event) -> None:
        """Check one event."""
        if isinstance(event, AttemptStarted):
            self._check_attempt_start(event)
        elif isinstance(event, AttemptEnded):
            if event.outcome != "NotRun":
                self.ran.add(event.request)
        elif isinstance(event, RequestEnded):
            self._check_request_end(event)
        elif isinstance(event, ClaimSettled):
            if event.result == CLAIM_WON:
                self.claimed.add(event.request)
        elif isinstance(event, RequestRefused):
            if event.code == "not_run" and self.configuration.value is None:
                self.report(Promise.WARM_RESTART)
        elif isinstance(event, PromiseBroken):
            self.report(Promise(event.promise))

    def _check_attempt_start(self, event: AttemptStarted) -> None:
        if event.request in self.claimed and event.request in self.ran:
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
        since = self.leaving_since
        self.leaving_since = {name: since.get(name, now_s) for name in leaving}

    def _check_request_end(self, event: RequestEnded) -> None:
        ran = event.request in self.ran
        self.ran.discard(event.request)
        self.claimed.discard(event.request)
        if event.outcome == "Interrupted":
            self.report(Promise.COMPLETE_STREAM)
        elif event.outcome == "NotRun" and ran:
            self.report(Promise.NOT_RUN)
        elif event.outcome == "Cut":
            self.report(Promise.GRACEFUL_STOP)

    def observe_revision(self, revision: Revision) -> None:
        """Check the revision of the active configuration, which must not decrease."""
        if revision < self.revision:
            self.report(Promise.CONFIGURATION)
        self.revision = max(self.revision, revision)
