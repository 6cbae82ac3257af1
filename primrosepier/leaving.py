"""Which endpoints are leaving, decided from signs of unequal trust, without I/O.

An endpoint that says so itself is believed. The host list lags, fails and may be
wrong, so what it alone claims is believed for at most half of a service; peers'
claims from the list count as claims of the list.
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
    "PeerSigns",
    "SignSource",
]

SIGN_S = 60.0
CONTRADICTION_S = 3.0


class ListedState(Enum):
    """State of an endpoint in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class SignSource(Enum):
    """Kind of response in which an endpoint says that it is leaving."""

    ANSWER = "answer"
    LOAD_REPORT = "load report"


@dataclass(frozen=True, slots=True)
class LeavingView:
    """What this router knows about leaving endpoints.

    Parameters
    ----------
    leaving : frozenset of EndpointId
        Endpoints that get nothing new.
    signed : frozenset of EndpointId
        Those of them that said so themselves.
    listed : frozenset of EndpointId
        Claims of the host list that are believed.
    distrusted : frozenset of EndpointId
        Claims of the host list that are too many at once to be believed.
    """

    leaving: frozenset[EndpointId] = frozenset()
    signed: frozenset[EndpointId] = frozenset()
    listed: frozenset[EndpointId] = frozenset()
    distrusted: frozenset[EndpointId] = frozenset()


@dataclass(frozen=True, slots=True)
class PeerSigns:
    """What a peer said about leaving endpoints.

    Parameters
    ----------
    signed, listed : frozenset of EndpointId
        Endpoints that told the peer themselves, and believed claims of its list.
    until_s : float
        When it is forgotten, seconds.
    """

    signed: frozenset[EndpointId]
    listed: frozenset[EndpointId]
    until_s: float


@dataclass(slots=True)
class LeavingTable:
    """Collects signs that endpoints are leaving.

    Parameters
    ----------
    signs : dict of tuple to float
        Until when an endpoint's own word to this router holds, by endpoint and
        kind of response, seconds.
    told : dict of HostId to PeerSigns
        What each peer said last.
    seen : set of EndpointId
        Endpoints that this router's host list has shown as live.
    listed : set of EndpointId
        Endpoints that the last host list dropped or showed as leaving.
    """

    signs: dict[tuple[EndpointId, SignSource], float] = field(default_factory=dict)
    told: dict[HostId, PeerSigns] = field(default_factory=dict)
    seen: set[EndpointId] = field(default_factory=set)
    listed: set[EndpointId] = field(default_factory=set)
    believed: frozenset[EndpointId] = frozenset()

    def take_list(self, states: Mapping[EndpointId, ListedState]) -> None:
        """Take in a host list; without one the last stays in force.

        An endpoint that was never listed is not dropped: the list lags.
        """
        live = {e for e, state in states.items() if state is ListedState.LIVE}
        leaving = set(states) - live
        dropped = self.seen - set(states)
        self.seen |= live
        self.listed = leaving | dropped

    def record_response(
        self, endpoint: EndpointId, source: SignSource, leaving: bool, now_s: float
    ) -> bool:
        """Take in what an endpoint says of itself.

        Not every kind of response need carry the sign, so only a later one of the
        same kind takes it back, and not one that was under way meanwhile.

        Returns
        -------
        bool
            Whether this is news.
        """
        key = (endpoint, source)
        until_s = self.signs.get(key, now_s)
        if leaving:
            self.signs[key] = now_s + SIGN_S
            return until_s <= now_s
        if until_s <= now_s or until_s - SIGN_S + CONTRADICTION_S > now_s:
            return False
        del self.signs[key]
        return True

    def merge(self, host: HostId, signs: PeerSigns) -> None:
        """Replace what a peer said before."""
        self.told[host] = signs

    def list_own_signs(self, now_s: float) -> frozenset[EndpointId]:
        """Return the endpoints that told this router that they are leaving."""
        return frozenset(e for (e, _), left_s in self.signs.items() if left_s > now_s)

    def decide(self, configuration: Configuration, now_s: float) -> LeavingView:
        """Return the endpoints that get nothing new."""
        self.told = {h: told for h, told in self.told.items() if told.until_s > now_s}
        self.signs = {
            k: until_s for k, until_s in self.signs.items() if until_s > now_s
        }
        signed = set(self.list_own_signs(now_s))
        claimed = set(self.listed)
        for told in self.told.values():
            signed |= told.signed
            claimed |= told.listed
        known = configuration.endpoints.keys()
        claimed = (claimed - signed) & known
        self.believed &= claimed
        self.believed |= self._select_believed(configuration, claimed)
        return LeavingView(
            leaving=frozenset(signed & known) | self.believed,
            signed=frozenset(signed & known),
            listed=self.believed & self.listed,
            distrusted=frozenset(claimed) - self.believed,
        )

    def _select_believed(
        self, configuration: Configuration, claimed: set[EndpointId]
    ) -> frozenset[EndpointId]:
        """Return the claims of each service, unless they are too many at once."""
        by_service: dict[ServiceId, set[EndpointId]] = {}
        for endpoint in claimed:
            service = configuration.endpoints[endpoint].service
            by_service.setdefault(service, set()).add(endpoint)
        believed: set[EndpointId] = set()
        for service, endpoints in by_service.items():
            total = len(configuration.list_endpoints(service))
            if len(endpoints) <= total // 2:
                believed |= endpoints
        return frozenset(believed)
