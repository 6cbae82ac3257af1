"""Decides which endpoints are leaving from sources of unequal trust. Does no I/O.

An endpoint's own announcement is trusted. The host list lags, fails and may be wrong,
so what only the list reports is accepted for at most half of a service. Entries that
peers took from their lists count as entries of the list.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .configuration import Configuration
from .ids import EndpointId, HostId, ServiceId

__all__ = [
    "LeavingTable",
    "LeavingView",
    "ListedState",
    "PeerReport",
    "AnnouncementSource",
]

ANNOUNCEMENT_TTL_S = 60.0
MAX_IN_FLIGHT_S = 3.0


class ListedState(Enum):
    """State of an endpoint in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class AnnouncementSource(Enum):
    """Kind of response in which an endpoint announces that it is leaving."""

    ANSWER = "answer"
    LOAD_REPORT = "load report"


@dataclass(frozen=True, slots=True)
class LeavingView:
    """Leaving endpoints, by source.

    Parameters
    ----------
    leaving : frozenset of EndpointId
        Endpoints that get no new requests.
    announced : frozenset of EndpointId
        Endpoints in `leaving` that announced it themselves.
    listed : frozenset of EndpointId
        Accepted entries of the host list.
    rejected : frozenset of EndpointId
        Entries of host lists that are rejected as too many at once.
    """

    leaving: frozenset[EndpointId] = frozenset()
    announced: frozenset[EndpointId] = frozenset()
    listed: frozenset[EndpointId] = frozenset()
    rejected: frozenset[EndpointId] = frozenset()


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Leaving endpoints reported by a peer.

    Parameters
    ----------
    announced, listed : frozenset of EndpointId
        Endpoints that announced it to the peer, and accepted entries of its host list.
    until_s : float
        Time at which the report expires, seconds.
    """

    announced: frozenset[EndpointId]
    listed: frozenset[EndpointId]
    until_s: float


@dataclass(slots=True)
class LeavingTable:
    """Combines the sources that report leaving endpoints.

    Parameters
    ----------
    announcements : dict of tuple to float
        Expiry of announcements to this router, by endpoint and kind of response,
        seconds.
    peer_reports : dict of HostId to PeerReport
        Latest report of each peer.
    seen_live : set of EndpointId
        Endpoints that this router's host list has shown as live.
    listed : set of EndpointId
        Endpoints that the last host list dropped or showed as leaving.
    accepted : frozenset of EndpointId
        Accepted entries of the host lists of this router and its peers.
    """

    announcements: dict[tuple[EndpointId, AnnouncementSource], float] = field(
        default_factory=dict
    )
    peer_reports: dict[HostId, PeerReport] = field(default_factory=dict)
    seen_live: set[EndpointId] = field(default_factory=set)
    listed: set[EndpointId] = field(default_factory=set)
    accepted: frozenset[EndpointId] = frozenset()

    def apply_host_list(self, states: Mapping[EndpointId, ListedState]) -> None:
        """Apply a host list; the last one stays in force until the next.

        An endpoint that was never listed does not count as dropped, since the list
        lags.
        """
        live = {e for e, state in states.items() if state is ListedState.LIVE}
        leaving = set(states) - live
        dropped = self.seen_live - set(states)
        self.seen_live |= live
        self.listed = leaving | dropped

    def record_response(
        self,
        endpoint: EndpointId,
        source: AnnouncementSource,
        leaving: bool,
        now_s: float,
    ) -> bool:
        """Record whether a response announces that its endpoint is leaving.

        Not every kind of response carries the announcement, so only a later response
        of the same kind revokes it, and not one that may have been in flight then.

        Returns
        -------
        bool
            Whether the state changed.
        """
        key = (endpoint, source)
        until_s = self.announcements.get(key, now_s)
        if leaving:
            self.announcements[key] = now_s + ANNOUNCEMENT_TTL_S
            return until_s <= now_s
        if until_s <= now_s or until_s - ANNOUNCEMENT_TTL_S + MAX_IN_FLIGHT_S > now_s:
            return False
        del self.announcements[key]
        return True

    def record_peer_report(self, host: HostId, report: PeerReport) -> None:
        """Replace the previous report of a peer."""
        self.peer_reports[host] = report

    def list_own_announcements(self, now_s: float) -> frozenset[EndpointId]:
        """Return the endpoints that announced to this router that they are leaving."""
        return frozenset(
            e for (e, _), until_s in self.announcements.items() if until_s > now_s
        )

    def decide(self, configuration: Configuration, now_s: float) -> LeavingView:
        """Return the leaving endpoints, which get no new requests."""
        self.peer_reports = {
            h: report
            for h, report in self.peer_reports.items()
            if report.until_s > now_s
        }
        self.announcements = {
            k: until_s for k, until_s in self.announcements.items() if until_s > now_s
        }
        announced = set(self.list_own_announcements(now_s))
        reported = set(self.listed)
        for report in self.peer_reports.values():
            announced |= report.announced
            reported |= report.listed
        known = configuration.endpoints.keys()
        reported = (reported - announced) & known
        self.accepted &= reported
        self.accepted |= self._select_accepted(configuration, reported)
        return LeavingView(
            leaving=frozenset(announced & known) | self.accepted,
            announced=frozenset(announced & known),
            listed=self.accepted & self.listed,
            rejected=frozenset(reported) - self.accepted,
        )

    def _select_accepted(
        self, configuration: Configuration, reported: set[EndpointId]
    ) -> frozenset[EndpointId]:
        """Return the entries of each service, unless they are too many at once."""
        by_service: dict[ServiceId, set[EndpointId]] = {}
        for endpoint in reported:
            service = configuration.endpoints[endpoint].service
            by_service.setdefault(service, set()).add(endpoint)
        accepted: set[EndpointId] = set()
        for service, endpoints in by_service.items():
            total = len(configuration.list_endpoints(service))
            if len(endpoints) <= total // 2:
                accepted |= endpoints
        return frozenset(accepted)
