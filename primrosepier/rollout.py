"""Plans which replicas load new weights next. Does no I/O."""

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from .ids import EndpointId, FailureDomain, ModelId, ServiceId, WeightsVersion
from .revisions import STATE_PREFIX

__all__ = [
    "LoadingRecord",
    "PeakLoad",
    "ReplicaView",
    "RolloutPlan",
    "RolloutTimes",
    "RolloutView",
    "decode_loading_record",
    "find_target",
    "list_loading",
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
    """Return the store's key of a replica's loading record."""
    return f"{ROLLOUT_PREFIX}{service}/{endpoint}"


def decode_loading_record(value: bytes) -> LoadingRecord | None:
    """Return the record in a stored value, or None when it is not valid."""
    try:
        return msgspec.json.decode(value, type=LoadingRecord)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def list_loading(keys: Sequence[str]) -> frozenset[EndpointId]:
    """Return the replicas that have a loading record, from the keys of the store."""
    records = [key for key in keys if key.startswith(ROLLOUT_PREFIX)]
    return frozenset(EndpointId(key.rpartition("/")[2]) for key in records)


@dataclass(frozen=True, slots=True)
class RolloutTimes:
    """Times of a rollout, seconds.

    Parameters
    ----------
    propagation_s : float
        Bound on the time in which every router sees a loading record and stops sending
        new requests, and on the lag of load reports. A report that arrives later
        reflects the drained replica.
    drain_s : float
        Time-out for the requests of a draining replica to finish.
    start_s : float
        Time-out for a replica to report that it loads, after its order.
    load_s : float
        Time-out for the load of a replica that does not answer.
    retry_s : float
        Wait before a replica whose load failed is retried.
    """

    propagation_s: float = 3.0
    drain_s: float = 120.0
    start_s: float = 5.0
    load_s: float = 300.0
    retry_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """State of one replica at the holder of the rollout duty.

    Parameters
    ----------
    load : int or None
        Requests in its batch and its queue; None when it did not report.
    load_at_s : float
        Time at which that report arrived.
    reachable : bool
        Whether it answered the last read of its weights state.
    may_order : bool
        Whether the lease and its bounds allow an order to be sent now.
    may_clear : bool
        Whether no order of a previous holder can still reach it.
    recorded_at_s, ordered_at_s : float or None
        When this holder first saw its loading record, and when it sent its order.
    retry_at_s : float
        Time before which a failed load is not retried.
    """

    id: EndpointId
    failure_domain: FailureDomain
    capacity: int
    version: WeightsVersion
    loading: str = ""
    load: int | None = 0
    load_at_s: float = 0.0
    reachable: bool = True
    may_order: bool = True
    may_clear: bool = True
    loading_record: LoadingRecord | None = None
    recorded_at_s: float | None = None
    ordered_at_s: float | None = None
    retry_at_s: float = float("-inf")

    @property
    def is_loading(self) -> bool:
        """Whether it counts against the bound on concurrent loads."""
        return self.loading_record is not None or bool(self.loading)


@dataclass(frozen=True, slots=True)
class RolloutView:
    """A service's replicas and their target version.

    Parameters
    ----------
    load : int
        Peak of the replicas' total requests in recent reports.
    max_utilization : float
        Fraction of the remaining replicas' capacity that the load may use.
    """

    model: ModelId
    target_version: WeightsVersion
    loads_at_once: int
    replicas: tuple[ReplicaView, ...]
    load: int = 0
    max_utilization: float = 0.8


@dataclass(slots=True)
class PeakLoad:
    """Peak of a service's requests within a time window.

    The peak is used because reports lag: a replica that has just returned to service
    still reports that it is idle.
    """

    window_s: float = 15.0
    samples: deque[tuple[float, int]] = field(default_factory=deque)

    def add(self, load: int, now_s: float) -> int:
        """Add a sample and return the peak within the window."""
        self.samples.append((now_s, load))
        while self.samples[0][0] < now_s - self.window_s:
            self.samples.popleft()
        return max(sample for _, sample in self.samples)


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Actions to take now.

    Parameters
    ----------
    drain : tuple of EndpointId
        Replicas to take out of service, to load next.
    order : tuple of EndpointId
        Drained replicas to send a load order.
    clear : tuple of EndpointId
        Replicas to return to service by deleting their loading record.
    failed : tuple of EndpointId
        Replicas in `clear` whose load failed.
    blocked : str
        Why no further replica is drained; empty when none has to load.
    """

    drain: tuple[EndpointId, ...] = ()
    order: tuple[EndpointId, ...] = ()
    clear: tuple[EndpointId, ...] = ()
    failed: tuple[EndpointId, ...] = ()
    blocked: str = ""


@dataclass(slots=True)
class _Planner:
    view: RolloutView
    times: RolloutTimes
    now_s: float
    drain: list[EndpointId] = field(default_factory=list)
    order: list[EndpointId] = field(default_factory=list)
    clear: list[EndpointId] = field(default_factory=list)
    failed: list[EndpointId] = field(default_factory=list)

    def plan(self) -> RolloutPlan:
        for replica in self.view.replicas:
            if replica.loading_record is not None:
                self._plan_loading(replica, replica.loading_record)
        blocked = self._plan_drains()
        lists = (self.drain, self.order, self.clear, self.failed)
        drain, order, clear, failed = map(tuple, lists)
        return RolloutPlan(drain, order, clear, failed, blocked)

    def _plan_loading(self, replica: ReplicaView, record: LoadingRecord) -> None:
        age_s = self._get_age(replica.recorded_at_s)
        if replica.reachable and not replica.loading:
            self._plan_idle(replica, record, age_s)
        elif age_s >= self.times.drain_s + self.times.load_s:
            self._fail(replica)

    def _plan_idle(
        self, replica: ReplicaView, record: LoadingRecord, age_s: float
    ) -> None:
        ordered = replica.ordered_at_s is not None
        is_loaded = replica.version == record.version
        if ordered and not is_loaded:
            if self._get_age(replica.ordered_at_s) >= self.times.start_s:
                self._fail(replica)
        elif is_loaded or self._is_obsolete(record):
            if replica.may_clear:
                self.clear.append(replica.id)
        elif replica.may_order and self._is_drained(replica, age_s):
            self.order.append(replica.id)

    def _is_obsolete(self, record: LoadingRecord) -> bool:
        return record.version != self.view.target_version or not self.view.loads_at_once

    def _is_drained(self, replica: ReplicaView, age_s: float) -> bool:
        if age_s >= self.times.drain_s:
            return True
        report_age_s = self.now_s - replica.load_at_s
        return replica.load == 0 and age_s - report_age_s >= self.times.propagation_s

    def _get_age(self, since_s: float | None) -> float:
        return self.now_s - since_s if since_s is not None else 0.0

    def _fail(self, replica: ReplicaView) -> None:
        self.clear.append(replica.id)
        self.failed.append(replica.id)

    def _plan_drains(self) -> str:
        loading_replicas = [
            replica for replica in self.view.replicas if replica.is_loading
        ]
        pending = [r for r in self.view.replicas if self._needs_load(r)]
        if not pending:
            return ""
        if not self.view.loads_at_once:
            return "the service loads nothing now"
        domains = Counter(replica.failure_domain for replica in loading_replicas)
        out_of_service = {replica.id for replica in loading_replicas}
        while pending:
            if len(out_of_service) >= self.view.loads_at_once:
                return "as many replicas as may load at once are loading"
            pending.sort(key=lambda r: (domains[r.failure_domain], r.load or 0, r.id))
            chosen = pending.pop(0)
            if not self._has_capacity_without(out_of_service | {chosen.id}):
                return "the other replicas could not carry the load"
            out_of_service.add(chosen.id)
            domains[chosen.failure_domain] += 1
            self.drain.append(chosen.id)
        return ""

    def _needs_load(self, replica: ReplicaView) -> bool:
        if replica.is_loading or not replica.reachable or not replica.may_order:
            return False
        return (
            replica.version != self.view.target_version
            and self.now_s >= replica.retry_at_s
        )

    def _has_capacity_without(self, out_of_service: set[EndpointId]) -> bool:
        remaining = [
            r for r in self.view.replicas if r.id not in out_of_service and r.reachable
        ]
        return self.view.load <= self.view.max_utilization * sum(
            replica.capacity for replica in remaining
        )


def plan_rollout(
    view: RolloutView, now_s: float, times: RolloutTimes | None = None
) -> RolloutPlan:
    """Return the actions that bring the replicas to the target version.

    A loading record in the store takes a replica out of service on every router. When
    its requests have finished it gets a load order, and when it serves the version its
    record is deleted. As the records are stored, the bound on concurrent loads also
    holds when the holder changes.
    """
    return _Planner(view, times or RolloutTimes(), now_s).plan()


def find_target(
    models: Mapping[ModelId, WeightsVersion], served: Sequence[ModelId]
) -> tuple[ModelId, WeightsVersion] | None:
    """Return the model and target version of a service's replicas."""
    for model in served:
        if model in models:
            return model, models[model]
    return None
