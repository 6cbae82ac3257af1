"""Endpoints that are eligible for a request, as known to this router."""

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
from .rest_periods import RestPeriods
from .suspects import Allowed, SuspectTable

__all__ = ["REST_REASON", "CandidateTable", "Candidates", "EngineIdentity"]

REPORT_MAX_AGE_S = 10.0
CAPACITY_REFRESH_S_PER_ENDPOINT = 1e-4
REST_REASON = "all endpoints have asked for rest"


@dataclass(frozen=True, slots=True)
class EngineIdentity:
    """Process and weights version of an engine, from its last answer."""

    incarnation: Incarnation = Incarnation("")
    version: WeightsVersion = WeightsVersion("")


UNKNOWN = EngineIdentity()


@dataclass(frozen=True, slots=True)
class _ServingEndpoints:
    """Endpoints of a service that are neither leaving nor loading weights."""

    configuration: Configuration
    leaving: frozenset[EndpointId]
    loading: frozenset[EndpointId]
    endpoints: dict[EndpointId, Endpoint]


@dataclass(slots=True)
class Candidates:
    """Combines the blackboard with this router's own observations of endpoints.

    Parameters
    ----------
    outstanding : Counter of EndpointId
        Requests of this router in progress, by endpoint.
    identities : dict of EndpointId to EngineIdentity
        Identity in the last answer of each endpoint; removed after a failed attempt
        and when the endpoint loads weights.
    rests : RestPeriods
        Rest that endpoints have asked this router for.
    """

    board: Board
    limits: ConcurrencyLimits = field(default_factory=ConcurrencyLimits)
    ejections: Ejections = field(default_factory=Ejections)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    outstanding: Counter[EndpointId] = field(default_factory=Counter)
    identities: dict[EndpointId, EngineIdentity] = field(default_factory=dict)
    rests: RestPeriods = field(default_factory=RestPeriods)
    rings: RingCache = field(default_factory=RingCache)
    serving: dict[ServiceId, _ServingEndpoints] = field(default_factory=dict)
    capacities: dict[ServiceId, tuple[_ServingEndpoints, float, int]] = field(
        default_factory=dict
    )

    def _find_serving(self, service: ServiceId) -> _ServingEndpoints | None:
        """Return the serving endpoints.

        They are cached until the configuration or the set of leaving or loading
        endpoints changes.
        """
        configuration = self.board.configuration.value
        if configuration is None:
            return None
        leaving = self.board.leaving.value
        loading = self.board.loading.value
        cached = self.serving.get(service)
        if (
            cached is not None
            and cached.configuration is configuration
            and cached.leaving == leaving
            and cached.loading == loading
        ):
            return cached
        for endpoint in loading:
            self.identities.pop(endpoint, None)
        unavailable = leaving | loading
        listed = configuration.list_endpoints(service)
        endpoints = {e.id: e for e in listed if e.id not in unavailable}
        serving = _ServingEndpoints(configuration, leaving, loading, endpoints)
        self.serving[service] = serving
        return serving

    def list_usable(self, service: Service, now_s: float) -> list[Endpoint]:
        """Return the endpoints that are not leaving, loading, ejected or at rest."""
        serving = self._find_serving(service.id)
        if serving is None:
            return []
        endpoints = serving.endpoints
        ejected = self.ejections.list_ejected(endpoints, now_s)
        unusable = ejected | self._list_resting(endpoints, now_s)
        return [e for e in endpoints.values() if e.id not in unusable]

    def _list_resting(
        self, endpoints: Collection[EndpointId], now_s: float
    ) -> frozenset[EndpointId]:
        waits_s = {e: self.rests.compute_wait_s(e, now_s) for e in self.rests.periods}
        return frozenset(
            e for e, wait_s in waits_s.items() if wait_s and e in endpoints
        )

    def compute_rest_s(self, service: Service, now_s: float) -> float:
        """Return the time before the rest of the first endpoint ends, seconds.

        It is 0 if any endpoint that serves has no rest.
        """
        serving = self._find_serving(service.id)
        endpoints = serving.endpoints if serving else {}
        if len(self.rests.periods) < len(endpoints):
            return 0.0
        rests_s = (self.rests.compute_rest_s(e, now_s) for e in endpoints)
        return min(rests_s, default=0.0)

    def compute_capacity(self, service: Service, now_s: float) -> int:
        """Return how many requests this router may have in progress at a service.

        The result is cached for a time proportional to the number of endpoints, to
        bound the cost on large fleets.
        """
        serving = self._find_serving(service.id)
        if serving is None:
            return 0
        last = self.capacities.get(service.id)
        refresh_s = CAPACITY_REFRESH_S_PER_ENDPOINT * len(serving.endpoints)
        if last is not None and last[0] is serving and now_s - last[1] < refresh_s:
            return last[2]
        endpoints = self.list_usable(service, now_s)
        capacity = sum(
            self.outstanding[endpoint.id] + self._count_free(endpoint, now_s)
            for endpoint in endpoints
        )
        # Requests in progress at endpoints that rest take none of the others' room.
        resting = self._list_resting(serving.endpoints, now_s)
        capacity += sum(self.outstanding[endpoint] for endpoint in resting)
        self.capacities[service.id] = (serving, now_s, capacity)
        return capacity

    def _count_free(self, endpoint: Endpoint, now_s: float) -> int:
        limit = int(self.limits.get(endpoint.id, endpoint.concurrent).value)
        peer_requests = self._count_peer_requests(endpoint, now_s)
        free = max(0, limit - peer_requests - self.outstanding[endpoint.id])
        # After a rest, requests return one at a time.
        return min(free, 1) if endpoint.id in self.rests.periods else free

    def _count_peer_requests(self, endpoint: Endpoint, now_s: float) -> int:
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
        """Return the candidates for one request, or None without a configuration.

        A suspect request is limited to the endpoints that run the fewest other
        suspects, so that the next crash identifies the request that caused it.
        """
        serving = self._find_serving(service.id)
        if serving is None:
            return None
        endpoints = serving.endpoints
        excluded = {
            *tried,
            *self.ejections.list_ejected(endpoints, now_s),
            *self._list_resting(endpoints, now_s),
        }
        permitted = allowed.endpoints
        if is_suspect:
            remaining = [
                endpoint
                for endpoint in endpoints
                if endpoint not in excluded
                and (permitted is None or endpoint in permitted)
            ]
            permitted = self.suspects.select_fewest_suspects(remaining)
        ring = self.rings.find_ring(serving.configuration, service.id)
        return CandidateTable(self, ring, endpoints, excluded, permitted, now_s)

    def make_view(self, endpoint: Endpoint, now_s: float) -> EndpointView:
        """Return the current state of an endpoint."""
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
    """EndpointTable that creates views on first access.

    Parameters
    ----------
    excluded : set of EndpointId
        Endpoints that may not be chosen.
    permitted : frozenset of EndpointId or None
        Endpoints to which the request is restricted; None for no restriction.
    views : dict of EndpointId to EndpointView
        Views created so far.
    """

    candidates: Candidates
    ring: Ring
    endpoints: Mapping[EndpointId, Endpoint]
    excluded: set[EndpointId]
    permitted: frozenset[EndpointId] | None
    now_s: float
    views: dict[EndpointId, EndpointView] = field(default_factory=dict)

    def get_view(self, endpoint: EndpointId) -> EndpointView | None:
        """Return an endpoint's view, or None when it is not eligible."""
        view = self.views.get(endpoint)
        if view is not None:
            return view
        serving_endpoint = self.endpoints.get(endpoint)
        if serving_endpoint is None or endpoint in self.excluded:
            return None
        if self.permitted is not None and endpoint not in self.permitted:
            return None
        view = self.views[endpoint] = self.candidates.make_view(
            serving_endpoint, self.now_s
        )
        return view

    def get_prefill_load(self, endpoint: EndpointId) -> float:
        """Return 1, since the prefill load of the endpoints is unknown."""
        return 1.0
