"""Plans which replicas load new weights next. Does no I/O.

A replica is drained, receives a weights order (the command to load a version of the
weights), loads, and returns to service.
"""

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from .decoding import decode_json
from .errors import MessageError
from .ids import EndpointId, FailureDomain, ModelId, ServiceId, WeightsVersion
from .revisions import STATE_PREFIX

__all__ = [
    "LoadingRecord",
    "PeakRequests",
    "ReplicaView",
    "RolloutPlan",
    "RolloutTimes",
    "RolloutView",
    "decode_loading_record",
    "find_target",
    "list_out_of_service",
    "make_loading_record_key",
    "plan_rollout",
]

ROLLOUT_PREFIX = STATE_PREFIX + "rollout/"


class LoadingRecord(msgspec.Struct, frozen=True):
    """Stored record of a replica that is out of service to load weights.

    Parameters
    ----------
    version : str
        Version to load.
    fencing : int
        Fencing number of the holder that wrote the record.
    """

    version: str
    fencing: int


def make_loading_record_key(service: ServiceId, endpoint: EndpointId) -> str:
    """Return the store key of a replica's loading record."""
    return f"{ROLLOUT_PREFIX}{service}/{endpoint}"


def decode_loading_record(value: bytes) -> LoadingRecord | None:
    """Decode a loading record; return None when the value is malformed."""
    try:
        return decode_json(value, LoadingRecord)
    except MessageError:
        return None


def list_out_of_service(keys: Sequence[str]) -> frozenset[EndpointId]:
    """Return the replicas that have a loading record among the store keys."""
    records = [key for key in keys if key.startswith(ROLLOUT_PREFIX)]
    return frozenset(EndpointId(key.rpartition("/")[2]) for key in records)


@dataclass(frozen=True, slots=True)
class RolloutTimes:
    """Times of a rollout, seconds.

    Parameters
    ----------
    propagation_s : float
        Age of a loading record from which an arriving load report of 0 requests shows
        that the replica is drained. It bounds the time until every router sees the
        record and stops sending new requests, and the lag of load reports.
    drain_timeout_s : float
        Time-out for the requests of a draining replica to finish.
    start_timeout_s : float
        Time-out for a replica to report that it is loading, after it was sent a
        weights order.
    load_timeout_s : float
        A replica that is still loading or unreachable this long after the drain
        time-out has failed to load.
    retry_s : float
        Wait before a replica whose load failed is retried.
    """

    propagation_s: float = 3.0
    drain_timeout_s: float = 120.0
    start_timeout_s: float = 5.0
    load_timeout_s: float = 300.0
    retry_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """A replica as the holder of the rollout duty sees it.

    Parameters
    ----------
    loading_version : str
        Version that the replica is loading; empty for none.
    requests : int or None
        Requests in the replica's batch and queue; None without a load report.
    reported_at_s : float
        Time at which the load report arrived.
    reachable : bool
        Whether the replica answered the last read of its weights state.
    may_order : bool
        Whether the holder may send the replica a weights order now.
    may_restore : bool
        Whether the loading record may be deleted: no order of a previous holder can
        still reach the replica. The record of a failed load is deleted regardless.
    recorded_at_s, ordered_at_s : float or None
        When the holder wrote or first read the loading record, and when it sent the
        weights order.
    retry_at_s : float
        Time before which a failed load is not retried.
    """

    id: EndpointId
    failure_domain: FailureDomain
    capacity: int
    version: WeightsVersion
    loading_version: str = ""
    requests: int | None = 0
    reported_at_s: float = 0.0
    reachable: bool = True
    may_order: bool = True
    may_restore: bool = True
    loading_record: LoadingRecord | None = None
    recorded_at_s: float | None = None
    ordered_at_s: float | None = None
    retry_at_s: float = float("-inf")

    @property
    def is_out_of_service(self) -> bool:
        """Whether the replica is draining or loading."""
        return self.loading_record is not None or bool(self.loading_version)


@dataclass(frozen=True, slots=True)
class RolloutView:
    """A service's replicas and their target version.

    Parameters
    ----------
    loads_at_once : int
        Limit on the replicas out of service at the same time; 0 pauses the rollout.
    peak_requests : int
        Peak of the replicas' total requests in recent reports.
    max_utilization : float
        Fraction of the remaining replicas' capacity that these requests may use.
    """

    model: ModelId
    target_version: WeightsVersion
    loads_at_once: int
    replicas: tuple[ReplicaView, ...]
    peak_requests: int = 0
    max_utilization: float = 0.8


@dataclass(slots=True)
class PeakRequests:
    """Peak of a service's requests within a time window.

    The peak is used because reports lag: a replica that has just returned to service
    still reports that it is idle.
    """

    window_s: float = 15.0
    samples: deque[tuple[float, int]] = field(default_factory=deque)

    def add(self, requests: int, now_s: float) -> int:
        """Add a sample and return the peak within the window."""
        self.samples.append((now_s, requests))
        while self.samples[0][0] < now_s - self.window_s:
            self.samples.popleft()
        return max(sample for _, sample in self.samples)


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Actions to take now.

    Parameters
    ----------
    drain : tuple of EndpointId
        Replicas to take out of service, so that they load next.
    load : tuple of EndpointId
        Replicas to send a weights order: drained, or past the drain time-out.
    restore : tuple of EndpointId
        Replicas to return to service by deleting their loading record.
    failed : tuple of EndpointId
        Replicas in `restore` whose load failed.
    blocked : str
        Why no further replica that is due to load is drained now; empty if no replica
        is held back.
    """

    drain: tuple[EndpointId, ...] = ()
    load: tuple[EndpointId, ...] = ()
    restore: tuple[EndpointId, ...] = ()
    failed: tuple[EndpointId, ...] = ()
    blocked: str = ""


@dataclass(slots=True)
class _Planner:
    view: RolloutView
    times: RolloutTimes
    now_s: float
    drain: list[EndpointId] = field(default_factory=list)
    load: list[EndpointId] = field(default_factory=list)
    restore: list[EndpointId] = field(default_factory=list)
    failed: list[EndpointId] = field(default_factory=list)

    def plan(self) -> RolloutPlan:
        for replica in self.view.replicas:
            if replica.loading_record is not None:
                self._plan_out_of_service(replica, replica.loading_record)
        blocked = self._plan_drains()
        lists = (self.drain, self.load, self.restore, self.failed)
        drain, load, restore, failed = map(tuple, lists)
        return RolloutPlan(drain, load, restore, failed, blocked)

    def _plan_out_of_service(self, replica: ReplicaView, record: LoadingRecord) -> None:
        age_s = self._get_age(replica.recorded_at_s)
        if replica.reachable and not replica.loading_version:
            self._plan_not_loading(replica, record, age_s)
        elif age_s >= self.times.drain_timeout_s + self.times.load_timeout_s:
            self._fail(replica)

    def _plan_not_loading(
        self, replica: ReplicaView, record: LoadingRecord, age_s: float
    ) -> None:
        ordered = replica.ordered_at_s is not None
        is_loaded = replica.version == record.version
        if ordered and not is_loaded:
            if self._get_age(replica.ordered_at_s) >= self.times.start_timeout_s:
                self._fail(replica)
        elif is_loaded or self._is_obsolete(record):
            if replica.may_restore:
                self.restore.append(replica.id)
        elif replica.may_order and self._is_drained(replica, age_s):
            self.load.append(replica.id)

    def _is_obsolete(self, record: LoadingRecord) -> bool:
        return record.version != self.view.target_version or not self.view.loads_at_once

    def _is_drained(self, replica: ReplicaView, age_s: float) -> bool:
        if age_s >= self.times.drain_timeout_s:
            return True
        report_age_s = self.now_s - replica.reported_at_s
        return (
            replica.requests == 0 and age_s - report_age_s >= self.times.propagation_s
        )

    def _get_age(self, since_s: float | None) -> float:
        return self.now_s - since_s if since_s is not None else 0.0

    def _fail(self, replica: ReplicaView) -> None:
        self.restore.append(replica.id)
        self.failed.append(replica.id)

    def _plan_drains(self) -> str:
        out_of_service_replicas = [
            replica for replica in self.view.replicas if replica.is_out_of_service
        ]
        pending = [r for r in self.view.replicas if self._needs_load(r)]
        if not pending:
            return ""
        if not self.view.loads_at_once:
            return "loading is paused for this service"
        domains = Counter(replica.failure_domain for replica in out_of_service_replicas)
        out_of_service = {replica.id for replica in out_of_service_replicas}
        while pending:
            if len(out_of_service) >= self.view.loads_at_once:
                return "the limit on concurrent loads is reached"
            pending.sort(
                key=lambda r: (domains[r.failure_domain], r.requests or 0, r.id)
            )
            chosen = pending.pop(0)
            if not self._has_capacity_without(out_of_service | {chosen.id}):
                return (
                    "the remaining replicas lack the capacity for the current requests"
                )
            out_of_service.add(chosen.id)
            domains[chosen.failure_domain] += 1
            self.drain.append(chosen.id)
        return ""

    def _needs_load(self, replica: ReplicaView) -> bool:
        if replica.is_out_of_service or not replica.reachable or not replica.may_order:
            return False
        return (
            replica.version != self.view.target_version
            and self.now_s >= replica.retry_at_s
        )

    def _has_capacity_without(self, out_of_service: set[EndpointId]) -> bool:
        remaining = [
            r for r in self.view.replicas if r.id not in out_of_service and r.reachable
        ]
        return self.view.peak_requests <= self.view.max_utilization * sum(
            replica.capacity for replica in remaining
        )


def plan_rollout(
    view: RolloutView, now_s: float, times: RolloutTimes | None = None
) -> RolloutPlan:
    """Return the actions that bring the replicas to the target version.

    A loading record in the store takes a replica out of service on every router. When
    the replica's requests have finished or the drain has timed out, it is sent a
    weights order; when it serves the version, its record is deleted. Because the
    records are in the store, the limit on replicas out of service also holds across a
    change of holder.
    """
    return _Planner(view, times or RolloutTimes(), now_s).plan()


def find_target(
    target_versions: Mapping[ModelId, WeightsVersion], served_models: Sequence[ModelId]
) -> tuple[ModelId, WeightsVersion] | None:
    """Return the first served model that has a target version, with that version."""
    for model in served_models:
        if model in target_versions:
            return model, target_versions[model]
    return None
