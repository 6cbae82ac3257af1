"""Which replicas load new weights next, decided without I/O."""

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from .ids import EndpointId, FailureDomain, ModelId, ServiceId, WeightsVersion
from .revisions import STATE_PREFIX

__all__ = [
    "LoadingRecord",
    "RecentLoad",
    "ReplicaView",
    "RolloutPlan",
    "RolloutTimes",
    "RolloutView",
    "decode_loading_record",
    "find_wanted",
    "list_loading",
    "make_loading_record_key",
    "plan_rollout",
]

ROLLOUT_PREFIX = STATE_PREFIX + "rollout/"


class LoadingRecord(msgspec.Struct, frozen=True):
    """Stored mark of a replica that gets no requests and is to load.

    Parameters
    ----------
    version : str
        The version that it loads.
    fencing : int
        Number of the holder that set the mark.
    """

    version: str
    fencing: int


def make_loading_record_key(service: ServiceId, endpoint: EndpointId) -> str:
    """Return the store's key of a replica's mark."""
    return f"{ROLLOUT_PREFIX}{service}/{endpoint}"


def decode_loading_record(value: bytes) -> LoadingRecord | None:
    """Return the mark that a stored value holds, or None when it is not one."""
    try:
        return msgspec.json.decode(value, type=LoadingRecord)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def list_loading(keys: Sequence[str]) -> frozenset[EndpointId]:
    """Return the replicas that are marked, from the keys of the marks."""
    records = [key for key in keys if key.startswith(ROLLOUT_PREFIX)]
    return frozenset(EndpointId(key.rpartition("/")[2]) for key in records)


@dataclass(frozen=True, slots=True)
class RolloutTimes:
    """Times of a rollout, seconds.

    Parameters
    ----------
    spread_s : float
        Time in which every router sees a mark and sends nothing new, and by which
        reports of load lag; a report that arrives after it is trusted.
    drain_s : float
        Longest wait for the requests of a marked replica to finish.
    start_s : float
        Time after an order by which its load shows, or it has failed.
    load_s : float
        Time after which the load of a replica that does not answer has failed.
    retry_s : float
        Wait before a replica whose load failed is tried again.
    """

    spread_s: float = 3.0
    drain_s: float = 120.0
    start_s: float = 5.0
    load_s: float = 300.0
    retry_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """One replica as the holder sees it.

    Parameters
    ----------
    load : int or None
        Requests in its batch and its queue; None when it did not report.
    load_at_s : float
        When that report arrived.
    reachable : bool
        Whether it answered the last question about its weights.
    may_order : bool
        Whether an order may be sent to it now, by the lease and its bounds.
    may_clear : bool
        Whether no order of a holder before can reach it any more.
    marked_at_s, ordered_at_s : float or None
        When this holder first saw its mark, and when it sent its order.
    retry_at_s : float
        Time before which it is left alone.
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
    def is_busy(self) -> bool:
        """Whether it counts as loading."""
        return self.loading_record is not None or bool(self.loading)


@dataclass(frozen=True, slots=True)
class RolloutView:
    """A service's replicas and the version that is wanted of them.

    Parameters
    ----------
    load : int
        Requests that the replicas had together, the most of recent reports.
    fill : float
        Share of their capacity to which the remaining replicas may be filled.
    """

    model: ModelId
    wanted: WeightsVersion
    loads_at_once: int
    replicas: tuple[ReplicaView, ...]
    load: int = 0
    fill: float = 0.8


@dataclass(slots=True)
class RecentLoad:
    """The most requests that a service had within a time.

    Reports lag: a replica that has just come back still reports that it is idle.
    """

    window_s: float = 15.0
    samples: deque[tuple[float, int]] = field(default_factory=deque)

    def add(self, load: int, now_s: float) -> int:
        """Note a load and return the most within the time."""
        self.samples.append((now_s, load))
        while self.samples[0][0] < now_s - self.window_s:
            self.samples.popleft()
        return max(sample for _, sample in self.samples)


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """What to do now.

    Parameters
    ----------
    mark : tuple of EndpointId
        Replicas to take out of service, to load next.
    order : tuple of EndpointId
        Marked replicas that get their order now.
    clear : tuple of EndpointId
        Replicas whose mark is removed: they serve again.
    failed : tuple of EndpointId
        Those of the cleared whose load failed.
    blocked : str
        Why nothing more is marked; empty when nothing waits.
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
        elif is_loaded or self._is_dropped(record):
            if replica.may_clear:
                self.clear.append(replica.id)
        elif replica.may_order and self._is_drained(replica, age_s):
            self.order.append(replica.id)

    def _is_dropped(self, record: LoadingRecord) -> bool:
        return record.version != self.view.wanted or not self.view.loads_at_once

    def _is_drained(self, replica: ReplicaView, age_s: float) -> bool:
        if age_s >= self.times.drain_s:
            return True
        report_age_s = self.now_s - replica.load_at_s
        return replica.load == 0 and age_s - report_age_s >= self.times.spread_s

    def _get_age(self, since_s: float | None) -> float:
        return self.now_s - since_s if since_s is not None else 0.0

    def _fail(self, replica: ReplicaView) -> None:
        self.clear.append(replica.id)
        self.failed.append(replica.id)

    def _plan_drains(self) -> str:
        busy = [replica for replica in self.view.replicas if replica.is_busy]
        waiting = [r for r in self.view.replicas if self._is_waiting(r)]
        if not waiting:
            return ""
        if not self.view.loads_at_once:
            return "the service loads nothing now"
        domains = Counter(replica.failure_domain for replica in busy)
        out = {replica.id for replica in busy}
        while waiting:
            if len(out) >= self.view.loads_at_once:
                return "as many replicas as may load at once are loading"
            waiting.sort(key=lambda r: (domains[r.failure_domain], r.load or 0, r.id))
            chosen = waiting.pop(0)
            if not self._keeps_capacity(out | {chosen.id}):
                return "the other replicas could not carry the load"
            out.add(chosen.id)
            domains[chosen.failure_domain] += 1
            self.drain.append(chosen.id)
        return ""

    def _is_waiting(self, replica: ReplicaView) -> bool:
        if replica.is_busy or not replica.reachable or not replica.may_order:
            return False
        return replica.version != self.view.wanted and self.now_s >= replica.retry_at_s

    def _keeps_capacity(self, out: set[EndpointId]) -> bool:
        rest = [r for r in self.view.replicas if r.id not in out and r.reachable]
        return self.view.load <= self.view.fill * sum(
            replica.capacity for replica in rest
        )


def plan_rollout(
    view: RolloutView, now_s: float, times: RolloutTimes | None = None
) -> RolloutPlan:
    """Return what to do now so that the replicas get the wanted version.

    A replica is marked, so that no router sends it new requests; when its requests are
    finished it gets its order; when it serves the version its mark is removed. Marks
    live in the store, so the bound on loads holds over changes of the holder.
    """
    return _Planner(view, times or RolloutTimes(), now_s).plan()


def find_wanted(
    models: Mapping[ModelId, WeightsVersion], served: Sequence[ModelId]
) -> tuple[ModelId, WeightsVersion] | None:
    """Return the model and version that a service's replicas are to serve."""
    for model in served:
        if model in models:
            return model, models[model]
    return None
