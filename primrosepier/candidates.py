"""The endpoints that may take a request, as this router sees them."""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .board import Board
from .concurrency import ConcurrencyLimits
from .configuration import Configuration, Endpoint, Service
from .ejection import Ejections
from .hash_ring import Ring, RingCache
from .ids import EndpointId, Incarnation, ServiceId, WeightsVersion
from .placement import EndpointView
from .suspects import Allowed, SuspectTable

__all__ = ["CandidateTable", "Candidates", "EngineIdentity"]

REPORT_MAX_AGE_S = 10.0
ROOM_REFRESH_S_PER_ENDPOINT = 1e-4


@dataclass(frozen=True, slots=True)
class EngineIdentity:
    """Which process of an engine answered last, and with which weights."""

    incarnation: Incarnation = Incarnation("")
    version: WeightsVersion = WeightsVersion("")


UNKNOWN = EngineIdentity()


@dataclass(frozen=True, slots=True)
class _Staying:
    """Endpoints of a service that are neither leaving nor loading."""

    configuration: Configuration
    leaving: frozenset[EndpointId]
    loading: frozenset[EndpointId]
    endpoints: dict[EndpointId, Endpoint]


@dataclass(slots=True)
class Candidates:
    """Reads the board and this router's own observations.

    Parameters
    ----------
    outstanding : Counter of EndpointId
        Requests of this router in progress.
    identities : dict of EndpointId to EngineIdentity
        As of each endpoint's last answer; none after its connection was lost.
    """

    board: Board
    limits: ConcurrencyLimits = field(default_factory=ConcurrencyLimits)
    ejections: Ejections = field(default_factory=Ejections)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    outstanding: Counter[EndpointId] = field(default_factory=Counter)
    identities: dict[EndpointId, EngineIdentity] = field(default_factory=dict)
    rings: RingCache = field(default_factory=RingCache)
    staying: dict[ServiceId, _Staying] = field(default_factory=dict)
    rooms: dict[ServiceId, tuple[_Staying, float, int]] = field(default_factory=dict)

    def _find_staying(self, service: ServiceId) -> _Staying | None:
        """Return the staying endpoints, listed anew only when the board changed."""
        configuration = self.board.configuration.value
        if configuration is None:
            return None
        leaving = self.board.leaving.value
        loading = self.board.loading.value
        known = self.staying.get(service)
        if (
            known is not None
            and known.configuration is configuration
            and known.leaving == leaving
            and known.loading == loading
        ):
            return known
        for endpoint in loading:
            self.identities.pop(endpoint, None)
        gone = leaving | loading
        listed = configuration.list_endpoints(service)
        endpoints = {e.id: e for e in listed if e.id not in gone}
        found = _Staying(configuration, leaving, loading, endpoints)
        self.staying[service] = found
        return found

    def list_usable(self, service: Service, now_s: float) -> list[Endpoint]:
        """Return the endpoints that are neither leaving, loading nor ejected."""
        staying = self._find_staying(service.id)
        if staying is None:
            return []
        endpoints = staying.endpoints
        ejected = self.ejections.list_ejected(endpoints, now_s)
        return [e for e in endpoints.values() if e.id not in ejected]

    def compute_room(self, service: Service, now_s: float) -> int:
        """Return the number of this router's requests that the endpoints can hold.

        It is computed anew after a time that grows with the number of endpoints.
        """
        staying = self._find_staying(service.id)
        if staying is None:
            return 0
        last = self.rooms.get(service.id)
        refresh_s = ROOM_REFRESH_S_PER_ENDPOINT * len(staying.endpoints)
        if last is not None and last[0] is staying and now_s - last[1] < refresh_s:
            return last[2]
        endpoints = self.list_usable(service, now_s)
        room = sum(
            self.outstanding[endpoint.id] + self._count_free(endpoint, now_s)
            for endpoint in endpoints
        )
        self.rooms[service.id] = (staying, now_s, room)
        return room

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

    def make_table(
        self,
        service: Service,
        tried: Collection[EndpointId],
        allowed: Allowed,
        is_suspect: bool,
        now_s: float,
    ) -> "CandidateTable | None":
        """Return the candidates of one request; None before a configuration.

        A suspect goes where the fewest other suspects run, so that the next crash
        tells which request caused it.
        """
        staying = self._find_staying(service.id)
        if staying is None:
            return None
        endpoints = staying.endpoints
        passed = {*tried, *self.ejections.list_ejected(endpoints, now_s)}
        only = allowed.only
        if is_suspect:
            left = [
                name
                for name in endpoints
                if name not in passed and (only is None or name in only)
            ]
            only = self.suspects.select_quietest(left)
        ring = self.rings.find_ring(staying.configuration, service.id)
        return CandidateTable(self, ring, endpoints, passed, only, now_s)

    def make_view(self, endpoint: Endpoint, now_s: float) -> EndpointView:
        """Return an endpoint as this router sees it."""
        report = self.board.load.value.get(endpoint.id)
        limit = self.limits.get(endpoint.id, endpoint.concurrent)
        identity = self.identities.get(endpoint.id, UNKNOWN)
        return EndpointView(
            id=endpoint.id,
            failure_domain=endpoint.failure_domain,
            outstanding=self.outstanding[endpoint.id],
            reported=report.running + report.waiting if report else 0,
            report_age_s=now_s - report.reported_at_s if report else float("inf"),
            capacity=int(limit.value),
            waiting=report.waiting if report else 0,
            incarnation=identity.incarnation,
            version=identity.version,
        )


@dataclass(slots=True)
class CandidateTable:
    """EndpointTable whose views are made when they are looked at.

    Parameters
    ----------
    passed : set of EndpointId
        Endpoints that may not be chosen.
    only : frozenset of EndpointId or None
        Where the request may go; None is anywhere.
    views : dict of EndpointId to EndpointView
        The views that were looked at.
    """

    candidates: Candidates
    ring: Ring
    endpoints: Mapping[EndpointId, Endpoint]
    passed: set[EndpointId]
    only: frozenset[EndpointId] | None
    now_s: float
    views: dict[EndpointId, EndpointView] = field(default_factory=dict)

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it may get no request now."""
        view = self.views.get(endpoint)
        if view is not None:
            return view
        found = self.endpoints.get(endpoint)
        if found is None or endpoint in self.passed:
            return None
        if self.only is not None and endpoint not in self.only:
            return None
        view = self.views[endpoint] = self.candidates.make_view(found, self.now_s)
        return view

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return 1: the prefill work of the endpoints is not known."""
        return 1.0
