"""The endpoints that may take a request, as this router sees them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .board import Board
from .concurrency import ConcurrencyLimits
from .configuration import Endpoint, Service
from .ejection import Ejections
from .ids import EndpointId
from .loads import EndpointLoad
from .placement import EndpointView
from .suspects import Allowed, SuspectLedger

__all__ = ["Candidates"]

REPORT_MAX_AGE_S = 10.0


@dataclass(slots=True)
class Candidates:
    """Reads the board and this router's own observations.

    Parameters
    ----------
    outstanding : Counter of EndpointId
        Requests of this router in progress.
    """

    board: Board
    limits: ConcurrencyLimits = field(default_factory=ConcurrencyLimits)
    ejections: Ejections = field(default_factory=Ejections)
    suspects: SuspectLedger = field(default_factory=SuspectLedger)
    outstanding: Counter[EndpointId] = field(default_factory=Counter)

    def list_usable(self, service: Service, now_s: float) -> list[Endpoint]:
        """Return the endpoints that are neither leaving, loading nor ejected."""
        configuration = self.board.configuration.value
        if configuration is None:
            return []
        leaving = self.board.leaving.value | self.board.loading.value
        staying = [
            endpoint
            for endpoint in configuration.list_endpoints(service.id)
            if endpoint.id not in leaving
        ]
        names = [endpoint.id for endpoint in staying]
        ejected = self.ejections.list_ejected(names, now_s)
        return [endpoint for endpoint in staying if endpoint.id not in ejected]

    def compute_room(self, service: Service, now_s: float) -> int:
        """Return the number of this router's requests that the endpoints can hold."""
        endpoints = self.list_usable(service, now_s)
        return sum(
            self.outstanding[endpoint.id] + self._count_free(endpoint, now_s)
            for endpoint in endpoints
        )

    def _count_free(self, endpoint: Endpoint, now_s: float) -> int:
        limit = int(self.limits.get(endpoint.id, endpoint.concurrent).value)
        foreign = self._count_foreign(endpoint, now_s)
        return max(0, limit - foreign - self.outstanding[endpoint.id])

    def _count_foreign(self, endpoint: Endpoint, now_s: float) -> int:
        report = self.board.load.value.get(endpoint.id)
        if report is None or now_s - report.reported_at_s > REPORT_MAX_AGE_S:
            return 0
        reported = report.running + report.waiting
        return max(0, reported - self.outstanding[endpoint.id])

    def make_views(
        self,
        service: Service,
        tried: Iterable[EndpointId],
        allowed: Allowed,
        is_suspect: bool,
        now_s: float,
    ) -> list[EndpointView]:
        """Return the candidates of one request.

        A suspect goes where the fewest other suspects run, so that the next crash
        tells which request caused it.
        """
        passed = set(tried)
        endpoints = [
            endpoint
            for endpoint in self.list_usable(service, now_s)
            if endpoint.id not in passed
            and (allowed.only is None or endpoint.id in allowed.only)
        ]
        if is_suspect:
            quiet = self.suspects.select_quietest([e.id for e in endpoints])
            endpoints = [endpoint for endpoint in endpoints if endpoint.id in quiet]
        return [self._make_view(endpoint, now_s) for endpoint in endpoints]

    def _make_view(self, endpoint: Endpoint, now_s: float) -> EndpointView:
        report: EndpointLoad | None = self.board.load.value.get(endpoint.id)
        limit = self.limits.get(endpoint.id, endpoint.concurrent)
        return EndpointView(
            id=endpoint.id,
            failure_domain=endpoint.failure_domain,
            outstanding=self.outstanding[endpoint.id],
            reported=report.running + report.waiting if report else 0,
            report_age_s=now_s - report.reported_at_s if report else float("inf"),
            capacity=int(limit.value),
            waiting=report.waiting if report else 0,
        )
