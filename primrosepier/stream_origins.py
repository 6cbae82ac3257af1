"""Where streams began, so that they go on at the same software version.

Replicas of several software versions may serve side by side, and what two versions
generate can't be joined. Each stream that a router begins has a record here, and so has
each stream that another router has told of. A stream without a record began at the only
version that a service has had for some time, if there is such a version.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from .ids import RequestId, ServiceId, SoftwareVersion

__all__ = ["StreamOrigin", "StreamOrigins", "VersionHistory"]

# Time for which a stream's origin is kept after its router last heard of it, seconds:
# above the time-outs of streams.
ORIGIN_TTL_S = 120.0
# Time for which the origin of a complete stream is kept, seconds: its caller may have
# lost the end of the response.
COMPLETE_TTL_S = 5.0
# Bounds the memory; the oldest origins are dropped first.
MAX_ORIGINS = 50_000
# Time for which a version that no longer serves still counts, seconds.
VERSION_TTL_S = ORIGIN_TTL_S
# Time without another version after which a stream without a record counts as begun at
# the only one, seconds: replicas that have left serve on for a few seconds, and callers
# come back within a few more.
SOLE_VERSION_S = 10.0


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Service and software version at which a stream began."""

    service: ServiceId
    software: SoftwareVersion


@dataclass(slots=True)
class _Record:
    origin: StreamOrigin
    is_own: bool
    expires_at_s: float


@dataclass(slots=True)
class StreamOrigins:
    """Origins of streams by the id of the call that brought the first event.

    Attributes
    ----------
    records : dict of RequestId to _Record
        Least recently recorded first.
    """

    records: dict[RequestId, _Record] = field(default_factory=dict)

    def record(
        self, call: RequestId, origin: StreamOrigin, now_s: float, is_own: bool = False
    ) -> None:
        """Record where a stream began; the first record of a stream holds."""
        known = self.records.pop(call, None)
        if known is not None:
            origin, is_own = known.origin, known.is_own or is_own
        self.records[call] = _Record(origin, is_own, now_s + ORIGIN_TTL_S)
        self._prune(now_s)

    def complete(self, call: RequestId, now_s: float) -> None:
        """Record that a stream has ended, so that it is soon forgotten."""
        known = self.records.get(call)
        if known is not None:
            known.expires_at_s = now_s + COMPLETE_TTL_S

    def find(self, call: RequestId, now_s: float) -> StreamOrigin | None:
        """Return where a stream began; None if that is not known."""
        known = self.records.get(call)
        if known is None or known.expires_at_s <= now_s:
            return None
        return known.origin

    def list_own(
        self, service: ServiceId, now_s: float
    ) -> dict[RequestId, StreamOrigin]:
        """Return the origins of the streams that this router began at a service."""
        return {
            call: record.origin
            for call, record in self.records.items()
            if record.is_own
            and record.origin.service == service
            and record.expires_at_s > now_s
        }

    def _prune(self, now_s: float) -> None:
        """Drop expired records at the front and what exceeds the limit."""
        while self.records:
            call = next(iter(self.records))
            is_expired = self.records[call].expires_at_s <= now_s
            if not is_expired and len(self.records) <= MAX_ORIGINS:
                return
            del self.records[call]


@dataclass(slots=True)
class VersionHistory:
    """Software versions that the replicas of each service have had.

    Attributes
    ----------
    seen_since_s : dict of ServiceId to float
        Time at which a replica of the service was first seen, seconds.
    seen_at_s : dict of ServiceId to dict of SoftwareVersion to float
        Time at which a replica of the version was last seen, seconds.
    """

    seen_since_s: dict[ServiceId, float] = field(default_factory=dict)
    seen_at_s: dict[ServiceId, dict[SoftwareVersion, float]] = field(
        default_factory=dict
    )

    def record(self, origins: Iterable[StreamOrigin], now_s: float) -> set[ServiceId]:
        """Record the versions that serve; return services with another one."""
        changed = set()
        for service, software in {(x.service, x.software) for x in origins}:
            self.seen_since_s.setdefault(service, now_s)
            versions = self.seen_at_s.setdefault(service, {})
            if versions and software not in versions:
                changed.add(service)
            versions[software] = now_s
        for versions in self.seen_at_s.values():
            newest_at_s = max(versions.values())
            for software in list(versions):
                if versions[software] < min(newest_at_s, now_s - VERSION_TTL_S):
                    del versions[software]
        return changed

    def is_mixed(self, service: ServiceId) -> bool:
        """Return whether a service has had several versions of late."""
        return len(self.seen_at_s.get(service, ())) > 1

    def find_sole(self, service: ServiceId, now_s: float) -> SoftwareVersion | None:
        """Return the only version of a service for at least ``SOLE_VERSION_S``."""
        versions = self.seen_at_s.get(service, {})
        if len(versions) != 1:
            return None
        if now_s - self.seen_since_s[service] < SOLE_VERSION_S:
            return None
        return next(iter(versions))
