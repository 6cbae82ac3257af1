"""Windows of calls in progress at brittle endpoints, over all routers.

A brittle endpoint falls over if it turns too many calls away. Its granter, one of the
routers, counts the calls that all routers have in progress there, and grants no more
than the window. A refusal shrinks the window to what the endpoint had taken; it grows
by one call at a time, seldom enough that the calls refused for it are few.
"""

import contextlib
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from .ids import EndpointId, HostId

__all__ = [
    "Brittleness",
    "EndpointWindows",
    "NamedBrittleness",
    "SharedBrittleness",
    "Window",
]

# Calls of a new window beyond the endpoint's slots.
EXTRA_CALLS = 1
# Share of the tolerated refusals that growth may cause.
PROBE_SHARE = 0.25
# Shortest time between two steps of growth, seconds.
MIN_GROWTH_S = 0.1
# Time after which a router that said nothing counts as having no call, seconds: above
# the time-outs of calls, which say nothing while they run.
HOLDER_TTL_S = 120.0
# Time for which an endpoint that is no longer registered stays brittle, seconds: one
# that fell over is back within it, and its calls run on when only its entry lapsed.
RETENTION_S = 60.0
# Longest time before a call that found a full window may ask again, seconds, and
# requests a second that a granter answers for one endpoint.
MAX_WAIT_S = 0.02
REQUESTS_PER_S = 500.0
# Weight of a new interval between two ends of calls in their mean.
INTERVAL_WEIGHT = 0.1
# Time after a refusal for which nothing is granted unless a call ends, seconds: the
# endpoint may be full of calls whose routers have not asked yet.
REFUSAL_PAUSE_S = 0.5
# Time for which a change is repeated in the reports to other routers, seconds.
REPEAT_S = 1.0
MS = 0.001


class Brittleness(msgspec.Struct, frozen=True, array_like=True):
    """What a brittle endpoint tells of itself.

    Parameters
    ----------
    refusals_per_s : float
        Calls that it may turn away in a second without falling over.
    slots : int
        Calls that it runs at the same time.
    """

    refusals_per_s: Annotated[float, msgspec.Meta(ge=0.0)]
    slots: Annotated[int, msgspec.Meta(ge=1)]


class SharedBrittleness(msgspec.Struct, frozen=True, array_like=True):
    """Brittleness of an endpoint in a message to another router.

    Parameters
    ----------
    brittleness : Brittleness or None
        None if the endpoint is no longer brittle.
    age_ms : int
        Time since the endpoint's answer, milliseconds.
    """

    brittleness: Brittleness | None
    age_ms: Annotated[int, msgspec.Meta(ge=0)]


@dataclass(slots=True)
class NamedBrittleness:
    """Brittleness in the newest answer of an endpoint.

    Parameters
    ----------
    brittleness : Brittleness or None
        None if the endpoint is not brittle.
    named_at_s : float
        Time of the answer, seconds.
    changed_at_s : float
        Time at which an answer to this router last began or ended brittleness, seconds.
    """

    brittleness: Brittleness | None
    named_at_s: float
    changed_at_s: float = float("-inf")

    def share(self, now_s: float) -> SharedBrittleness:
        """Return the brittleness for a message."""
        age_ms = max(0, round((now_s - self.named_at_s) / MS))
        return SharedBrittleness(self.brittleness, age_ms)


@dataclass(slots=True)
class Window:
    """Calls that may be in progress at one endpoint.

    Parameters
    ----------
    limit : int
    changed_at_s : float
        Time at which the limit was last changed, seconds.

    Attributes
    ----------
    held : dict of HostId to (int, float)
        Calls in progress by router, with the time of its last message, seconds.
    ended_at_s : float or None
        Time of the last end of a call, seconds; None before the first.
    end_interval_s : float
        Mean interval between the ends of calls, seconds.
    paused_until_s : float
        Time before which nothing is granted, seconds.
    """

    limit: int
    changed_at_s: float
    held: dict[HostId, tuple[int, float]] = field(default_factory=dict)
    ended_at_s: float | None = None
    end_interval_s: float = MAX_WAIT_S
    paused_until_s: float = float("-inf")

    def count_held(self, now_s: float) -> int:
        """Return the calls in progress of all routers."""
        return sum(
            held for held, at_s in self.held.values() if now_s < at_s + HOLDER_TTL_S
        )

    def record_refusal(self, now_s: float) -> None:
        """Shrink to the calls in progress, and pause."""
        self.limit = max(1, min(self.limit, self.count_held(now_s)))
        self.changed_at_s = now_s
        self.paused_until_s = now_s + REFUSAL_PAUSE_S

    def record_end(self, now_s: float) -> None:
        """Record that a call has ended for which there was room."""
        self.paused_until_s = float("-inf")
        if self.ended_at_s is not None:
            interval_s = min(MAX_WAIT_S, now_s - self.ended_at_s)
            self.end_interval_s += INTERVAL_WEIGHT * (interval_s - self.end_interval_s)
        self.ended_at_s = now_s


@dataclass(slots=True)
class EndpointWindows:
    """Endpoints that are brittle, and the windows that this router grants.

    Attributes
    ----------
    named : dict of EndpointId to NamedBrittleness
        Endpoints that are brittle or have been.
    asking : dict of EndpointId to int
        Calls of this router that wait for a permit.
    refused_until_s : dict of EndpointId to float
        Time at which a permit that was refused may be asked for again, seconds.
    windows : dict of EndpointId to Window
    """

    named: dict[EndpointId, NamedBrittleness] = field(default_factory=dict)
    asking: dict[EndpointId, int] = field(default_factory=dict)
    refused_until_s: dict[EndpointId, float] = field(default_factory=dict)
    windows: dict[EndpointId, Window] = field(default_factory=dict)
    reported_at_s: float = float("-inf")

    def get_brittleness(self, endpoint: EndpointId) -> Brittleness | None:
        """Return what a brittle endpoint names; None if it is not brittle."""
        named = self.named.get(endpoint)
        return named.brittleness if named else None

    def record_answer(
        self, endpoint: EndpointId, brittleness: Brittleness | None, now_s: float
    ) -> bool:
        """Record what an answer names; return whether brittleness began or ended."""
        has_changed = self._record(endpoint, brittleness, now_s)
        if has_changed:
            self.named[endpoint].changed_at_s = now_s
        return has_changed

    def _record(
        self, endpoint: EndpointId, brittleness: Brittleness | None, named_at_s: float
    ) -> bool:
        known = self.named.get(endpoint)
        if known is None:
            if brittleness is None:
                return False
            self.named[endpoint] = NamedBrittleness(brittleness, named_at_s)
            return True
        if named_at_s < known.named_at_s:
            return False
        has_changed = (known.brittleness is None) != (brittleness is None)
        known.brittleness, known.named_at_s = brittleness, named_at_s
        if brittleness is None:
            self.windows.pop(endpoint, None)
            self.refused_until_s.pop(endpoint, None)
        return has_changed

    def must_report(self) -> bool:
        """Return whether brittleness began or ended since the last report."""
        return any(x.changed_at_s > self.reported_at_s for x in self.named.values())

    def is_urgent(self) -> bool:
        """Return whether brittleness began since the last report."""
        return any(
            x.changed_at_s > self.reported_at_s and x.brittleness is not None
            for x in self.named.values()
        )

    def make_report(self, now_s: float) -> dict[EndpointId, SharedBrittleness]:
        """Return what has changed recently."""
        self.reported_at_s = now_s
        return {
            endpoint: named.share(now_s)
            for endpoint, named in self.named.items()
            if named.changed_at_s >= now_s - REPEAT_S
        }

    def make_summary(self, now_s: float) -> dict[EndpointId, SharedBrittleness]:
        """Return all brittle endpoints, for routers that have started since."""
        return {
            endpoint: named.share(now_s)
            for endpoint, named in self.named.items()
            if named.brittleness is not None
        }

    def merge(
        self, shared: Mapping[EndpointId, SharedBrittleness], now_s: float
    ) -> None:
        """Apply what another router knows of endpoints."""
        for endpoint, told in shared.items():
            self._record(endpoint, told.brittleness, now_s - told.age_ms * MS)

    def retain_holders(self, holders: Collection[HostId]) -> None:
        """Forget the calls of routers that are not among the given ones."""
        for window in self.windows.values():
            for holder in [x for x in window.held if x not in holders]:
                del window.held[holder]

    @contextlib.contextmanager
    def count_asking(self, endpoint: EndpointId) -> Iterator[int]:
        """Count a call that waits for a permit; provide their number."""
        self.asking[endpoint] = self.asking.get(endpoint, 0) + 1
        try:
            yield self.asking[endpoint]
        finally:
            self.asking[endpoint] -= 1
            if not self.asking[endpoint]:
                del self.asking[endpoint]

    def compute_wait_s(self, endpoint: EndpointId, now_s: float) -> float:
        """Return the time before a permit may be asked for again, seconds."""
        return max(0.0, self.refused_until_s.get(endpoint, now_s) - now_s)

    def record_refusal(self, endpoint: EndpointId, wait_s: float, now_s: float) -> None:
        """Record that no permit was granted."""
        if self.get_brittleness(endpoint) is not None:
            self.refused_until_s[endpoint] = now_s + wait_s

    def grant(
        self,
        endpoint: EndpointId,
        brittleness: Brittleness,
        holder: HostId,
        held: int,
        routers: int,
        now_s: float,
    ) -> float:
        """Grant a call and return 0, or return the time before the next, seconds.

        Parameters
        ----------
        held : int
            Calls of the holder with this one.
        routers : int
            Number of routers that may ask.
        """
        window = self._get_or_create(endpoint, brittleness, now_s)
        window.held[holder] = held, now_s
        is_paused = now_s < window.paused_until_s
        if not is_paused and window.count_held(now_s) <= window.limit:
            return 0.0
        if not is_paused and self._may_grow(window, brittleness, now_s):
            window.limit += 1
            window.changed_at_s = now_s
            if window.count_held(now_s) <= window.limit:
                return 0.0
        window.held[holder] = held - 1, now_s
        return max(window.end_interval_s, routers / REQUESTS_PER_S)

    def _get_or_create(
        self, endpoint: EndpointId, brittleness: Brittleness, now_s: float
    ) -> Window:
        if endpoint not in self.windows:
            limit = brittleness.slots + EXTRA_CALLS
            self.windows[endpoint] = Window(limit, now_s)
        return self.windows[endpoint]

    def _may_grow(self, window: Window, brittleness: Brittleness, now_s: float) -> bool:
        per_s = PROBE_SHARE * brittleness.refusals_per_s
        period_s = max(MIN_GROWTH_S, 1.0 / per_s) if per_s > 0 else float("inf")
        return now_s >= window.changed_at_s + period_s

    def record_end(
        self,
        endpoint: EndpointId,
        holder: HostId,
        held: int,
        was_refused: bool,
        now_s: float,
    ) -> None:
        """Record the end of a call, and shrink the window if it was refused.

        Parameters
        ----------
        held : int
            Calls of the holder without this one.
        """
        window = self.windows.get(endpoint)
        if window is None:
            brittleness = self.get_brittleness(endpoint)
            if brittleness is None:
                return
            window = self._get_or_create(endpoint, brittleness, now_s)
        window.held[holder] = held, now_s
        if was_refused:
            window.record_refusal(now_s)
        else:
            window.record_end(now_s)

    def retain(self, endpoints: Iterable[EndpointId], now_s: float) -> None:
        """Forget the other endpoints a while after their last answer."""
        kept = set(endpoints) | {
            endpoint
            for endpoint, named in self.named.items()
            if now_s < named.named_at_s + RETENTION_S
        }
        for table in (self.named, self.refused_until_s, self.windows):
            for endpoint in [x for x in table if x not in kept]:
                del table[endpoint]
