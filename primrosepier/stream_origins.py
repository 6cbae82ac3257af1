"""Where streams began, so that they go on at the same software version.

Replicas of several software versions may serve side by side, and what two versions
generate can't be joined. Each stream that a router begins has a record here, and so has
each stream that another router has told of. A stream without a record began at the only
version that the service has had of late, if there is such a version. What a router has
seen since its own start does not tell; a record in the store does.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from .ids import RequestId, ServiceId, SoftwareVersion

__all__ = [
    "StreamOrigin",
    "StreamOrigins",
    "VersionHistory",
    "VersionRecord",
    "make_version_record",
]

# Time for which a stream's origin is kept after its router last heard of it, seconds:
# above the time-outs of streams.
ORIGIN_TTL_S = 120.0
# Time for which the origin of a complete stream is kept, seconds: its caller may have
# lost the end of the response.
COMPLETE_TTL_S = 5.0
NEVER_S = float("-inf")
# Bounds the memory; the oldest origins are dropped first.
MAX_ORIGINS = 50_000
# Time for which a version that no longer serves still counts, seconds.
VERSION_TTL_S = ORIGIN_TTL_S
# Time after a router's start for which a stream that no router knows counts as begun at
# the version that was the only one then, seconds: callers come back sooner.
FORMER_VERSION_S = 20.0


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


class VersionRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Software versions that services have had of late, as stored for all routers.

    Parameters
    ----------
    is_complete : bool
        Whether a version that is missing has served no stream that may be taken up.
    restores : int
        What the store told at the last change by the holder of the duty; it rises when
        the store is restored from a copy.
    """

    versions: Mapping[ServiceId, tuple[SoftwareVersion, ...]]
    is_complete: bool = False
    restores: int = 0

    def list_origins(self) -> set[StreamOrigin]:
        """Return the services with their versions."""
        return {
            StreamOrigin(service, software)
            for service, versions in self.versions.items()
            for software in versions
        }

    def find_only(self, service: ServiceId) -> SoftwareVersion | None:
        """Return the only version of a service of late; None if that is not known."""
        versions = self.versions.get(service, ())
        return versions[0] if self.is_complete and len(versions) == 1 else None


def make_version_record(
    origins: Iterable[StreamOrigin], is_complete: bool, restores: int = 0
) -> VersionRecord:
    """Return the record of services with their versions."""
    versions: dict[ServiceId, tuple[SoftwareVersion, ...]] = {}
    for origin in sorted(set(origins), key=lambda x: (x.service, x.software)):
        known = versions.get(origin.service, ())
        versions[origin.service] = (*known, origin.software)
    return VersionRecord(versions, is_complete, restores)


@dataclass(slots=True)
class VersionHistory:
    """Software versions that the replicas of each service have had.

    Attributes
    ----------
    seen_at_s : dict of ServiceId to dict of SoftwareVersion to float
        Time at which this router last saw a replica of the version, seconds.
    recorded : VersionRecord or None
        The newest record in the store; None before the first.
    former : VersionRecord or None
        The record in the store at this router's start.
    started_at_s : float or None
        Time at which this router first read the store, seconds.
    is_former_outdated : bool
        Whether the record at this router's start was restored from a copy, so that it
        may lack versions that served before.
    """

    seen_at_s: dict[ServiceId, dict[SoftwareVersion, float]] = field(
        default_factory=dict
    )
    recorded: VersionRecord | None = None
    former: VersionRecord | None = None
    started_at_s: float | None = None
    is_former_outdated: bool = False

    def record(self, origins: Iterable[StreamOrigin], now_s: float) -> None:
        """Record the versions that serve."""
        for origin in set(origins):
            self.seen_at_s.setdefault(origin.service, {})[origin.software] = now_s
        for versions in self.seen_at_s.values():
            newest_at_s = max(versions.values())
            for software in list(versions):
                if versions[software] < min(newest_at_s, now_s - VERSION_TTL_S):
                    del versions[software]

    def apply_record(
        self, recorded: VersionRecord | None, now_s: float, restores: int = 0
    ) -> None:
        """Apply the record in the store; None if it holds none.

        The first one is what was known before this router's start.
        """
        if self.started_at_s is None:
            self.started_at_s = now_s
            self.former = recorded
            if recorded is not None:
                self.is_former_outdated = recorded.restores != restores
        self.recorded = recorded

    def list_seen(self) -> set[StreamOrigin]:
        """Return the services with the versions that this router has seen of late."""
        return {
            StreamOrigin(service, software)
            for service, versions in self.seen_at_s.items()
            for software in versions
        }

    def has_watched(self, now_s: float) -> bool:
        """Return whether this router has seen all versions that matter itself."""
        if self.started_at_s is None:
            return False
        return now_s - self.started_at_s >= VERSION_TTL_S

    def is_mixed(self, service: ServiceId) -> bool:
        """Return whether a service has had several versions of late."""
        return len(self._list_versions(service)) > 1

    def find_sole(self, service: ServiceId) -> SoftwareVersion | None:
        """Return the version at which any stream of a service began, if there is one.

        None if there may be several.
        """
        if self.recorded is None or self.is_mixed(service):
            return None
        return self.recorded.find_only(service)

    def find_former(self, service: ServiceId, now_s: float) -> SoftwareVersion | None:
        """Return the only version of a service before this router's recent start."""
        if self.started_at_s is None or self.former is None:
            return None
        if now_s - self.started_at_s >= FORMER_VERSION_S:
            return None
        if self.is_former_outdated and self.is_mixed(service):
            return None
        return self.former.find_only(service)

    def list_unrecorded(self) -> set[StreamOrigin]:
        """Return the versions that may be the only ones though no record tells it."""
        if self.recorded is not None and self.recorded.is_complete:
            return set()
        return {x for x in self.list_seen() if not self.is_mixed(x.service)}

    def get_seen_at_s(self, origin: StreamOrigin) -> float:
        """Return when a version was last seen, seconds; minus infinity if never."""
        return self.seen_at_s.get(origin.service, {}).get(origin.software, NEVER_S)

    def _list_versions(self, service: ServiceId) -> set[SoftwareVersion]:
        recorded = self.recorded.versions if self.recorded is not None else {}
        return {*self.seen_at_s.get(service, ()), *recorded.get(service, ())}
