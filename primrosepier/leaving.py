"""Decides which endpoints are leaving. Does no I/O.

The sources are not equally reliable. An endpoint's own announcement in a response is
trusted. The host list, which the platform publishes, lags, fails and may be wrong, so
endpoints that only the list shows as leaving are accepted if they are at most half of
their service. Entries of the host lists of peers are treated like entries of this
router's list.
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
    "PeerLeavingState",
    "ResponseKind",
]

ANNOUNCEMENT_TTL_S = 60.0
MAX_IN_FLIGHT_S = 3.0


class ListedState(Enum):
    """State of an endpoint in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class ResponseKind(Enum):
    """Kind of response in which an endpoint announces that it is leaving.

    ``ANSWER`` is the response to a caller's request.
    """

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
        Endpoints in `leaving` that announced that they are leaving.
    accepted_from_list : frozenset of EndpointId
        Accepted endpoints that this router's host list marks as leaving or has dropped.
    rejected : frozenset of EndpointId
        Entries of host lists that are rejected because they cover more than half of a
        service.
    """

    leaving: frozenset[EndpointId] = frozenset()
    announced: frozenset[EndpointId] = frozenset()
    accepted_from_list: frozenset[EndpointId] = frozenset()
    rejected: frozenset[EndpointId] = frozenset()


@dataclass(frozen=True, slots=True)
class PeerLeavingState:
    """Leaving endpoints reported by a peer.

    Parameters
    ----------
    announced : frozenset of EndpointId
        Endpoints that announced to the peer that they are leaving.
    accepted_from_list : frozenset of EndpointId
        Accepted endpoints that the peer's host list marks as leaving or has dropped.
    until_s : float
        Time at which the report expires, seconds.
    """

    announced: frozenset[EndpointId]
    accepted_from_list: frozenset[EndpointId]
    until_s: float


@dataclass(slots=True)
class LeavingTable:
    """Combines the sources that report leaving endpoints.

    Parameters
    ----------
    announcements : dict of tuple to float
        Expiry of announcements to this router, by endpoint and kind of response,
        seconds.
    peer_states : dict of HostId to PeerLeavingState
        Latest report of each peer.
    seen_live : set of EndpointId
        Endpoints that this router's host list has shown as live.
    listed_leaving : set of EndpointId
        Endpoints that the last host list marks as leaving or has dropped.
    accepted : frozenset of EndpointId
        Accepted entries of the host lists of this router and its peers.
    """

    announcements: dict[tuple[EndpointId, ResponseKind], float] = field(
        default_factory=dict
    )
    peer_states: dict[HostId, PeerLeavingState] = field(default_factory=dict)
    seen_live: set[EndpointId] = field(default_factory=set)
    listed_leaving: set[EndpointId] = field(default_factory=set)
    accepted: frozenset[EndpointId] = frozenset()

    def apply_host_list(self, states: Mapping[EndpointId, ListedState]) -> None:
        """Apply a host list, which replaces the previous one.

        An endpoint that was never listed as live does not count as dropped, since the
        list lags.
        """
        live = {e for e, state in states.items() if state is ListedState.LIVE}
        leaving = set(states) - live
        dropped = self.seen_live - set(states)
        self.seen_live |= live
        self.listed_leaving = leaving | dropped

    def record_response(
        self,
        endpoint: EndpointId,
        kind: ResponseKind,
        leaving: bool,
        now_s: float,
    ) -> bool:
        """Record whether a response announces that its endpoint is leaving.

        Only a later response of the same kind revokes an announcement, since not every
        kind of response carries it. A response within `MAX_IN_FLIGHT_S` of the
        announcement does not revoke it, since it may have been sent earlier.

        Returns
        -------
        bool
            Whether the state changed.
        """
        key = (endpoint, kind)
        until_s = self.announcements.get(key, now_s)
        if leaving:
            self.announcements[key] = now_s + ANNOUNCEMENT_TTL_S
            return until_s <= now_s
        # until_s - ANNOUNCEMENT_TTL_S is the time of the announcement.
        if until_s <= now_s or until_s - ANNOUNCEMENT_TTL_S + MAX_IN_FLIGHT_S > now_s:
            return False
        del self.announcements[key]
        return True

    def record_peer_state(self, peer: HostId, state: PeerLeavingState) -> None:
        """Replace the previous report of a peer."""
        self.peer_states[peer] = state

    def list_announced_here(self, now_s: float) -> frozenset[EndpointId]:
        """Return the endpoints that announced to this router that they are leaving."""
        return frozenset(
            e for (e, _), until_s in self.announcements.items() if until_s > now_s
        )

    def decide(self, configuration: Configuration, now_s: float) -> LeavingView:
        """Return the leaving endpoints, which get no new requests."""
        self.peer_states = {
            h: state for h, state in self.peer_states.items() if state.until_s > now_s
        }
        self.announcements = {
            k: until_s for k, until_s in self.announcements.items() if until_s > now_s
        }
        announced = set(self.list_announced_here(now_s))
        listed = set(self.listed_leaving)
        for state in self.peer_states.values():
            announced |= state.announced
            listed |= state.accepted_from_list
        configured = configuration.endpoints.keys()
        listed = (listed - announced) & configured
        self.accepted &= listed
        self.accepted |= self._select_accepted(configuration, listed)
        return LeavingView(
            leaving=frozenset(announced & configured) | self.accepted,
            announced=frozenset(announced & configured),
            accepted_from_list=self.accepted & self.listed_leaving,
            rejected=frozenset(listed) - self.accepted,
        )

    def _select_accepted(
        self, configuration: Configuration, listed: set[EndpointId]
    ) -> frozenset[EndpointId]:
        """Return the listed endpoints of services in which they are at most half."""
        by_service: dict[ServiceId, set[EndpointId]] = {}
        for endpoint in listed:
            service = configuration.endpoints[endpoint].service
            by_service.setdefault(service, set()).add(endpoint)
        accepted: set[EndpointId] = set()
        for service, endpoints in by_service.items():
            total = len(configuration.list_endpoints(service))
            if len(endpoints) <= total // 2:
                accepted |= endpoints
        return frozenset(accepted)
