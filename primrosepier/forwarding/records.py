"""Events of the log that tell of calls and of what a router believes."""

from typing import ClassVar

from ..ids import EndpointId, RequestId, ServiceId, WorkspaceId
from ..log_events import Event
from .declarations import RouteId

__all__ = [
    "CallEnded",
    "CallPlaced",
    "CallRejected",
    "CallRepeated",
    "ContactChanged",
    "DeclarationTaken",
    "DutyChanged",
    "EntryUnreadable",
    "FORWARDING_EVENT",
    "FleetChanged",
    "MetricsUnserved",
    "ReplicaGivenUp",
    "RouterStarted",
    "RouterStopping",
    "SettingsRead",
    "WeightsOrdered",
]


class CallPlaced(Event, frozen=True):
    """A replica was chosen for a call.

    Parameters
    ----------
    attempt : int
        1 for the first.
    candidates : int
        Replicas that were weighed.
    outstanding, pending_tokens : int
        Work of this router there before.
    report_age_s : float or None
        Age of the replica's reported load; None when it reported none.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    attempt: int
    service: ServiceId
    endpoint: EndpointId
    kind: str
    candidates: int
    outstanding: int
    pending_tokens: int
    report_age_s: float | None
    remaining_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"sends {self.request} to {self.endpoint}: {self.kind}"


class CallRepeated(Event, frozen=True):
    """A call goes to another replica."""

    part: ClassVar[str] = "forward"
    request: RequestId
    attempt: int
    endpoint: EndpointId
    outcome: str
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"repeats {self.request} after {self.outcome} at {self.endpoint}"


class CallEnded(Event, frozen=True):
    """The last event of a call that was routed.

    Parameters
    ----------
    status : int
        Status that the caller got; 0 when the connection was cut.
    first_byte_s : float or None
        Time to the first byte of the answer; None when none went out.
    heard_age_s : float
        Age of what this router knew of the store.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    route: RouteId
    workspace: WorkspaceId
    outcome: str
    status: int
    step: str
    peer: str
    reason: str
    attempts: int
    prompt_tokens: int
    first_byte_s: float | None
    duration_s: float
    declaration: int
    heard_age_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ended {self.request} as {self.outcome} with {self.status}"


class CallRejected(Event, frozen=True):
    """A call was refused before it was routed."""

    part: ClassVar[str] = "forward"
    request: RequestId
    status: int
    code: str
    declaration: int
    heard_age_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"refused {self.request} with {self.status}: {self.code}"


class ReplicaGivenUp(Event, frozen=True):
    """Calls that may be repeated were taken from a replica that seems gone."""

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    calls: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"moves {self.calls} calls from {self.endpoint}"


class RouterStarted(Event, frozen=True):
    """A router begins to run."""

    part: ClassVar[str] = "router"
    callers_address: str
    failure_domain: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"starts at {self.callers_address} in {self.failure_domain}"


class RouterStopping(Event, frozen=True):
    """A router was told to stop."""

    part: ClassVar[str] = "router"
    calls_in_progress: int
    grace_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"stops within {self.grace_s} s with {self.calls_in_progress} calls"


class SettingsRead(Event, frozen=True):
    """The settings file was read again.

    Parameters
    ----------
    changed : tuple of str
        Settings that differ; they take effect when the process starts again.
    error : str
        Why the file can't be used; empty when it can.
    """

    part: ClassVar[str] = "router"
    changed: tuple[str, ...]
    error: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if self.error:
            return f"can't use the settings: {self.error}"
        return f"read the settings again, {len(self.changed)} changed"


class MetricsUnserved(Event, frozen=True):
    """The metrics address can't be served; calls are."""

    part: ClassVar[str] = "router"
    address: str
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"serves no metrics at {self.address}: {self.reason}"


class ContactChanged(Event, frozen=True):
    """The store was lost or regained."""

    part: ClassVar[str] = "store"
    in_touch: bool
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        state = "regained" if self.in_touch else "lost"
        return f"{state} the store: {self.reason}"


class DeclarationTaken(Event, frozen=True):
    """Another version of the operators' declarations is in force here."""

    part: ClassVar[str] = "declarations"
    version: int
    routes: int
    workspaces: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"version {self.version} is in force"


class EntryUnreadable(Event, frozen=True):
    """An entry of the store was left out."""

    part: ClassVar[str] = "store"
    key: str
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"leaves out {self.key}: {self.reason}"


class FleetChanged(Event, frozen=True):
    """The list of replicas changed."""

    part: ClassVar[str] = "fleet"
    added: tuple[EndpointId, ...]
    removed: tuple[EndpointId, ...]
    known: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{len(self.added)} replicas came and {len(self.removed)} left"


class DutyChanged(Event, frozen=True):
    """A duty was taken or given up."""

    part: ClassVar[str] = "duties"
    duty: str
    fencing: int
    held: bool

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{'holds' if self.held else 'no longer holds'} {self.duty}"


class WeightsOrdered(Event, frozen=True):
    """A replica was told to load other weights."""

    part: ClassVar[str] = "weights"
    endpoint: EndpointId
    model: str
    weights: int
    fencing: int
    outcome: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ordered {self.endpoint} to load {self.weights}: {self.outcome}"


FORWARDING_EVENT = (
    CallEnded
    | CallPlaced
    | CallRejected
    | CallRepeated
    | ContactChanged
    | DeclarationTaken
    | DutyChanged
    | EntryUnreadable
    | FleetChanged
    | ReplicaGivenUp
    | RouterStarted
    | RouterStopping
    | SettingsRead
    | WeightsOrdered
)
