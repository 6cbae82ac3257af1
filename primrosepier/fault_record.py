"""What happened in one schedule of faults, as seen from outside the routers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .ids import EndpointId, HostId, Revision, WorkspaceId

__all__ = [
    "Acceptance",
    "AnswerKind",
    "CallerAnswer",
    "EngineRun",
    "FleetSample",
    "LeavingSign",
    "Outage",
    "RouterStart",
    "ScheduleRecord",
]


class AnswerKind(Enum):
    """What a caller got."""

    COMPLETE = "complete"
    ERROR_EVENT = "error event"
    ERROR = "error"
    CUT = "cut"
    TRUNCATED = "truncated"


@dataclass(frozen=True, slots=True)
class EngineRun:
    """An engine began to run a request.

    Parameters
    ----------
    key : str
        Idempotency key of the caller; empty when there is none.
    foreign_blocks : int
        Cached blocks that were used and came from another workspace or version.
    """

    at_s: float
    endpoint: EndpointId
    router: HostId
    request: str
    workspace: WorkspaceId
    key: str
    foreign_blocks: int


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """The end of one call.

    Parameters
    ----------
    code : str
        ``error.code`` of an error.
    text, expected : str
        The answer, and what an engine gives for this prompt.
    drained : bool
        The router was stopped as planned while it served the call.
    """

    at_s: float
    router: HostId
    request: str
    kind: AnswerKind
    code: str
    text: str
    expected: str
    drained: bool


@dataclass(frozen=True, slots=True)
class LeavingSign:
    """First time at which anybody could know that an endpoint is leaving."""

    at_s: float
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Operators were told that a configuration is accepted."""

    at_s: float
    revision: Revision


@dataclass(frozen=True, slots=True)
class RouterStart:
    """A router process came up.

    Parameters
    ----------
    has_store : bool
        The key-value service was in reach, down to its speed, at the start.
    """

    at_s: float
    router: HostId
    process: int
    has_store: bool


@dataclass(frozen=True, slots=True)
class FleetSample:
    """State of one router process at one time.

    Parameters
    ----------
    has_store : bool
        The router can reach the key-value service at this time.
    """

    at_s: float
    router: HostId
    process: int
    ready: bool
    stopping: bool
    revision: Revision
    has_store: bool
    has_peer: bool


@dataclass(frozen=True, slots=True)
class Outage:
    """One fault of a schedule."""

    at_s: float
    kind: str
    target: str
    duration_s: float


@dataclass(slots=True)
class ScheduleRecord:
    """All events of one schedule, in the order of time."""

    seed: int
    runs: list[EngineRun] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)
    signs: list[LeavingSign] = field(default_factory=list)
    acceptances: list[Acceptance] = field(default_factory=list)
    starts: list[RouterStart] = field(default_factory=list)
    samples: list[FleetSample] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)

    def list_process(self, process: int) -> Iterable[FleetSample]:
        """Return the samples of one router process."""
        return [sample for sample in self.samples if sample.process == process]
