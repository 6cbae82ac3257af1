"""Events of one schedule of faults, as observed from outside the routers.

``at_s`` is the virtual time of an event in seconds, ``router`` is the host of a router,
and ``process`` is the number of a router process.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .ids import EndpointId, HostId, Revision, WorkspaceId

__all__ = [
    "Acceptance",
    "AnswerKind",
    "CallerAnswer",
    "EngineRun",
    "InjectedFault",
    "LeavingSignal",
    "ProcessSample",
    "RouterStart",
    "ScheduleRecord",
]


class AnswerKind(Enum):
    """Kind of an answer that a caller received.

    ``ERROR`` is an error status, ``ERROR_EVENT`` an error within a stream, ``CUT`` a
    broken connection, and ``TRUNCATED`` a stream that ended without its end marker.
    """

    COMPLETE = "complete"
    ERROR_EVENT = "error event"
    ERROR = "error"
    CUT = "cut"
    TRUNCATED = "truncated"


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A request that an engine started to run.

    Parameters
    ----------
    key : str
        Idempotency key of the caller; empty when there is none.
    mismatched_blocks : int
        Cache hits on blocks of another workspace or weights version.
    """

    at_s: float
    endpoint: EndpointId
    router: HostId
    request_id: str
    workspace: WorkspaceId
    key: str
    mismatched_blocks: int


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Outcome of one call for its caller.

    Parameters
    ----------
    code : str
        ``error.code`` of an error status; otherwise empty.
    output : str
        Output text that the caller received.
    expected_output : str
        Output text that an engine computes for this prompt.
    router_stopping : bool
        The router was stopping gracefully when the call ended.
    """

    at_s: float
    router: HostId
    request_id: str
    kind: AnswerKind
    code: str
    output: str
    expected_output: str
    router_stopping: bool


@dataclass(frozen=True, slots=True)
class LeavingSignal:
    """First time at which a router could learn that an endpoint is leaving."""

    at_s: float
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Acceptance of a configuration, as reported to an operator."""

    at_s: float
    revision: Revision


@dataclass(frozen=True, slots=True)
class RouterStart:
    """Start of a router process.

    Parameters
    ----------
    store_reachable : bool
        The key-value service was reachable and fast enough at the start.
    """

    at_s: float
    router: HostId
    process: int
    store_reachable: bool


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """State of one router process at one time.

    Parameters
    ----------
    store_reachable : bool
        The key-value service was reachable and fast enough.
    peer_reachable : bool
        At least one other router was running and reachable.
    """

    at_s: float
    router: HostId
    process: int
    ready: bool
    stopping: bool
    revision: Revision
    store_reachable: bool
    peer_reachable: bool


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """An injected fault; ``at_s`` is its start.

    Parameters
    ----------
    duration_s : float
        Planned duration in seconds; the actual one depends on the kind of fault.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float


@dataclass(slots=True)
class ScheduleRecord:
    """All events of one schedule, each list in the order of recording."""

    seed: int
    runs: list[EngineRun] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)
    leaving_signals: list[LeavingSignal] = field(default_factory=list)
    acceptances: list[Acceptance] = field(default_factory=list)
    starts: list[RouterStart] = field(default_factory=list)
    samples: list[ProcessSample] = field(default_factory=list)
    injected_faults: list[InjectedFault] = field(default_factory=list)

    def list_process_samples(self, process: int) -> Iterable[ProcessSample]:
        """Return the samples of one router process."""
        return [sample for sample in self.samples if sample.process == process]
