"""Log events of the forwarding of calls and of changes of a router's state."""

from typing import ClassVar

from ..ids import (
    EndpointId,
    Fingerprint,
    HostId,
    RequestId,
    ServiceId,
    SoftwareVersion,
    WorkspaceId,
)
from ..log_events import Event, LogLevel
from .declarations import RouteId

__all__ = [
    "CallEnded",
    "CallFailed",
    "CallLost",
    "CallPassedOn",
    "CallPlaced",
    "CallRejected",
    "CallRepeated",
    "CallWithdrawn",
    "ContactChanged",
    "DatagramsDropped",
    "DeclarationTaken",
    "DutyChanged",
    "EntryUnreadable",
    "FORWARDING_EVENT",
    "FleetChanged",
    "MetricsUnserved",
    "BrittlenessChanged",
    "LimitChanged",
    "LinksChanged",
    "PermitRefused",
    "QuarantineChanged",
    "ReplicaGivenUp",
    "ReplicaLeaving",
    "RouterStarted",
    "RouterStopping",
    "SettingsRead",
    "StreamTakenUp",
    "StreamsUnstored",
    "VersionsRecorded",
    "VersionsUnrecorded",
    "WeightsOrdered",
    "WeightsRequested",
]


class CallPlaced(Event, frozen=True):
    """A replica was chosen for a call.

    Parameters
    ----------
    attempt : int
        Number of the attempt; 1 for the first.
    kind : str
        A value of ``ChoiceKind``.
    candidates : int
        Untried replicas that may serve the call, ejected ones and backoff included.
    outstanding, pending_tokens : int
        This router's other calls in progress at the replica, and the uncached prompt
        tokens of those that have not received the head of a response.
    report_age_s : float or None
        Age of the replica's reported load; None if it has reported none.
    uncached_tokens : int
        Prompt tokens of this call that the replica is expected to compute.
    peer_tokens : int
        Uncached prompt tokens pending at the replica for the calls of other routers.
    decoding : int
        Calls of all routers whose output the replica generates.
    software : SoftwareVersion
        Version of the replica's software.
    resumed_call : RequestId
        Id of the call that began the stream that this one resumes; empty for none.
    weights_lag_s : float or None
        Time for which the replica is known to have missed weights, or None.
    forecast_wait_s : float or None
        Expected time until the call's output begins.
    backoff_s : float
        Time for which the replica should have been avoided, seconds; 0 for none.
    resting : int
        Replicas of the service that were left out since they had asked for rest.
    slowness : float
        Estimate of the replica's slowness that was used; 1 is as usual.
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
    uncached_tokens: int = 0
    peer_tokens: int = 0
    decoding: int = 0
    software: SoftwareVersion = SoftwareVersion("")
    resumed_call: RequestId = RequestId("")
    weights_lag_s: float | None = None
    forecast_wait_s: float | None = None
    backoff_s: float = 0.0
    resting: int = 0
    slowness: float = 1.0

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"sends {self.request} to {self.endpoint}: {self.kind}"


class HelperGivenUp(Event, frozen=True):
    """A router gets no more calls of this one, which is cut off, until it helps again.

    Parameters
    ----------
    age_s : float
        Time since it last said that it reaches replicas, seconds.
    """

    part: ClassVar[str] = "links"
    router: HostId
    reason: str
    age_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{self.router} no longer helps: {self.reason} ({self.age_s:.1f} s ago)"


class CallPassedOn(Event, frozen=True):
    """A call was passed on to another router, which may use replicas."""

    part: ClassVar[str] = "forward"
    request: RequestId
    attempt: int
    peer: HostId

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"passes {self.request} on to {self.peer}"


class LinksChanged(Event, frozen=True):
    """The router lost its links to the replicas, or has them again.

    Parameters
    ----------
    lost : int
        Replicas that were not reached when the cut was found.
    helpers : tuple of HostId
        Routers that reach replicas, as far as is known.
    """

    part: ClassVar[str] = "links"
    is_cut: bool
    lost: int
    helpers: tuple[HostId, ...]

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if not self.is_cut:
            return "reaches the replicas again"
        return f"cut off from {self.lost} replicas; {', '.join(self.helpers)} help"


class CallRepeated(Event, frozen=True):
    """A call is to be retried on another replica, if there is one.

    Parameters
    ----------
    attempt : int
        Number of attempts so far.
    endpoint : EndpointId
        Replica of the last attempt.
    outcome, reason : str
        Outcome of the attempts so far, combined by ``merge_outcomes``; ``Refused``
        after a 5xx response.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    attempt: int
    endpoint: EndpointId
    outcome: str
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"retries {self.request} after {self.outcome} at {self.endpoint}"


class CallWithdrawn(Event, frozen=True):
    """A waiting call was withdrawn from a replica whose weights become too old.

    Parameters
    ----------
    wait_s : float
        Time since the call was sent, seconds.
    weights_lag_s : float or None
        Time for which the replica had been missing requested weights, seconds.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    attempt: int
    endpoint: EndpointId
    wait_s: float
    weights_lag_s: float | None

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"withdrew {self.request} from {self.endpoint}: its weights are too old"


class StreamTakenUp(Event, frozen=True):
    """A caller takes up a stream that broke off.

    Parameters
    ----------
    resumed_call : RequestId
        Id of the call that brought the first event.
    software : SoftwareVersion or None
        Version that began the stream; None if it is not known.
    result : str
        A value of ``OriginResult``.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    resumed_call: RequestId
    software: SoftwareVersion | None
    result: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"{self.request} takes up {self.resumed_call}, begun at {self.software}: "
            f"{self.result}"
        )


class CallLost(Event, frozen=True):
    """The connection to a replica was lost before the end of a call.

    Parameters
    ----------
    duration_s : float
        Time since the call was sent, seconds.
    fingerprints : tuple of Fingerprint
        What other calls may have in common with this one: the parts of the prompt but
        the last, and the whole request.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    attempt: int
    endpoint: EndpointId
    duration_s: float
    fingerprints: tuple[Fingerprint, ...]

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"lost the connection to {self.endpoint} during {self.request}"


class CallEnded(Event, frozen=True):
    """A call that was routed ended.

    Parameters
    ----------
    status : int
        Status sent to the caller; 0 if the caller disconnected before one was sent.
    first_byte_s : float or None
        Time to the first byte of the response, seconds; None if none was sent.
    declaration : int
        Version of the declaration under which the call was served.
    heard_age_s : float
        Age of the newest response of the store, seconds.
    output_limit : int
        Largest number of tokens to generate; 0 if the caller stated none.
    last_event : str
        Id of the last event sent to the caller; empty if none was sent or the stream
        can't be resumed.
    framed : bool or None
        Whether a length or chunks marked the end of the last replica's response, rather
        than the end of its connection; None if no replica responded.
    within_event : bool
        Whether the last replica's event stream ended within an event.
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
    output_limit: int = 0
    last_event: str = ""
    framed: bool | None = None
    within_event: bool = False

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ended {self.request}: {self.outcome} with status {self.status}"


class CallRejected(Event, frozen=True):
    """A call was refused before a replica was chosen.

    Parameters
    ----------
    declaration : int
        Version of the declaration in force; 0 if there is none.
    heard_age_s : float
        Age of the newest response of the store, seconds.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    status: int
    code: str
    declaration: int
    heard_age_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"refused {self.request} with status {self.status}: {self.code}"


class CallFailed(Event, frozen=True):
    """The router met an unexpected error in a call, which it does not answer.

    Parameters
    ----------
    errors : tuple of str
        The error and the chain of its causes, each with the place where it was raised.
    """

    part: ClassVar[str] = "forward"
    level: ClassVar[LogLevel] = LogLevel.ERROR
    request: RequestId
    errors: tuple[str, ...]

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"call {self.request} ends by an error: {self.errors[-1]}"


class ReplicaGivenUp(Event, frozen=True):
    """Retryable calls were aborted on an unresponsive replica."""

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    calls: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"aborted {self.calls} calls on unresponsive {self.endpoint}"


class QuarantineChanged(Event, frozen=True):
    """Requests with a fingerprint are refused from now on, or no longer.

    Parameters
    ----------
    added, ended : tuple of Fingerprint
        Parts of prompts or requests that crash replicas.
    """

    part: ClassVar[str] = "forward"
    added: tuple[Fingerprint, ...]
    ended: tuple[Fingerprint, ...]

    def describe(self) -> str:
        """Return the event as one short sentence."""
        added, ended = (
            ", ".join(f"{fingerprint:016x}" for fingerprint in group) or "none"
            for group in (self.added, self.ended)
        )
        return f"quarantined what crashes replicas: {added}; no longer: {ended}"


class LimitChanged(Event, frozen=True):
    """A replica named another limit on its rate of requests, or none any more.

    Parameters
    ----------
    rate_per_s : float or None
        Requests per second from all routers together.
    """

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    rate_per_s: float | None

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if self.rate_per_s is None:
            return f"{self.endpoint} no longer limits its requests"
        return f"{self.endpoint} takes {self.rate_per_s:g} requests/s from all routers"


class ReplicaLeaving(Event, frozen=True):
    """A replica said for the first time in an answer that it is leaving.

    Parameters
    ----------
    born_ms : int
        Start of the replica's process, Unix milliseconds; 0 if unknown.
    """

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    service: ServiceId
    born_ms: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{self.endpoint} of {self.service} says that it is leaving"


class BrittlenessChanged(Event, frozen=True):
    """A replica began or ceased to say that it is brittle.

    Parameters
    ----------
    refusals_per_s : float or None
        Calls that it may turn away in a second without falling over; None if it is no
        longer brittle.
    """

    part: ClassVar[str] = "forward"
    endpoint: EndpointId
    refusals_per_s: float | None

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if self.refusals_per_s is None:
            return f"{self.endpoint} is no longer brittle"
        return (
            f"{self.endpoint} is brittle: falls over after {self.refusals_per_s:g}"
            " refusals in a second"
        )


class PermitRefused(Event, frozen=True):
    """A call had to go elsewhere because its replica's limit is reached.

    Parameters
    ----------
    rate_per_s : float or None
        Limit of the replica, requests per second.
    wait_s : float
        Time until a call may be sent there, seconds.
    """

    part: ClassVar[str] = "forward"
    request: RequestId
    endpoint: EndpointId
    rate_per_s: float | None
    wait_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"{self.request} not sent to {self.endpoint}: no permit for"
            f" {self.wait_s:.3f} s"
        )


class RouterStarted(Event, frozen=True):
    """A router started."""

    part: ClassVar[str] = "router"
    callers_address: str
    failure_domain: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"starts at {self.callers_address} in {self.failure_domain}"


class RouterStopping(Event, frozen=True):
    """A router received a signal to stop."""

    part: ClassVar[str] = "router"
    calls_in_progress: int
    grace_s: float

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return (
            f"stops within {self.grace_s} s; {self.calls_in_progress} calls in progress"
        )


class SettingsRead(Event, frozen=True):
    """The settings file was reread.

    Parameters
    ----------
    changed : tuple of str
        Names of the settings that differ. They take effect after a restart.
    error : str
        Why the file is invalid; empty if it is valid.
    """

    part: ClassVar[str] = "router"
    changed: tuple[str, ...]
    error: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        if self.error:
            return f"settings file is invalid: {self.error}"
        return f"reread the settings file, {len(self.changed)} settings changed"


class MetricsUnserved(Event, frozen=True):
    """The metrics address could not be bound; the router serves calls without it."""

    part: ClassVar[str] = "router"
    address: str
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"serves no metrics at {self.address}: {self.reason}"


class ContactChanged(Event, frozen=True):
    """The connection to the store was lost or regained."""

    part: ClassVar[str] = "store"
    in_touch: bool
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        state = "regained" if self.in_touch else "lost"
        return f"{state} the connection to the store: {self.reason}"


class DeclarationTaken(Event, frozen=True):
    """A new version of the operators' declaration came into force.

    Parameters
    ----------
    workspaces : int
        Number of API keys of all workspaces.
    """

    part: ClassVar[str] = "declarations"
    version: int
    routes: int
    workspaces: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"declaration version {self.version} is in force"


class EntryUnreadable(Event, frozen=True):
    """An entry of the store could not be decoded and is ignored."""

    part: ClassVar[str] = "store"
    key: str
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ignores unreadable entry {self.key}: {self.reason}"


class DatagramsDropped(Event, frozen=True):
    """Datagrams from or to other routers were dropped, or could not be read in full.

    Parameters
    ----------
    reason : str
        Error of the last one.
    count : int
        Such datagrams since the last event.
    """

    part: ClassVar[str] = "peers"
    reason: str
    count: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"dropped {self.count} datagrams, the last one: {self.reason}"


class FleetChanged(Event, frozen=True):
    """Replicas that may receive calls were added or removed.

    Parameters
    ----------
    known : int
        Number of these replicas after the change.
    """

    part: ClassVar[str] = "fleet"
    added: tuple[EndpointId, ...]
    removed: tuple[EndpointId, ...]
    known: int

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{len(self.added)} replicas added and {len(self.removed)} removed"


class DutyChanged(Event, frozen=True):
    """This router acquired, released or lost a duty."""

    part: ClassVar[str] = "duties"
    duty: str
    fencing: int
    held: bool

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"{'holds' if self.held else 'no longer holds'} the duty {self.duty}"


class StreamsUnstored(Event, frozen=True):
    """The origins of streams could not be written to the store; said once in a row."""

    part: ClassVar[str] = "forward"
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"could not store where streams began: {self.reason}"


class VersionsRecorded(Event, frozen=True):
    """The record of software versions in the store has changed.

    Parameters
    ----------
    versions : tuple of str
        Each service and version that has served of late.
    is_complete : bool
        Whether no other version has.
    """

    part: ClassVar[str] = "fleet"
    versions: tuple[str, ...]
    is_complete: bool

    def describe(self) -> str:
        """Return the event as one short sentence."""
        known = "complete" if self.is_complete else "not complete yet"
        return f"recorded software versions, {known}: {', '.join(self.versions)}"


class VersionsUnrecorded(Event, frozen=True):
    """The record of software versions could not be written."""

    part: ClassVar[str] = "fleet"
    reason: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"could not record software versions: {self.reason}"


class WeightsOrdered(Event, frozen=True):
    """A replica was ordered to load other weights."""

    part: ClassVar[str] = "weights"
    endpoint: EndpointId
    model: str
    weights: int
    fencing: int
    outcome: str

    def describe(self) -> str:
        """Return the event as one short sentence."""
        return f"ordered {self.endpoint} to load version {self.weights}: {self.outcome}"


class WeightsRequested(Event, frozen=True):
    """The router learned of a newer version of a model's weights.

    Parameters
    ----------
    age_s : float or None
        Upper bound of the time since the version was requested; None if it may have
        been at any time.
    """

    part: ClassVar[str] = "weights"
    model: str
    weights: int
    age_s: float | None

    def describe(self) -> str:
        """Return the event as one short sentence."""
        age = "some time" if self.age_s is None else f"at most {self.age_s:.3f} s"
        return f"version {self.weights} of {self.model} was requested {age} ago"


FORWARDING_EVENT = (
    BrittlenessChanged
    | CallEnded
    | CallFailed
    | CallLost
    | CallPassedOn
    | CallPlaced
    | CallRejected
    | CallRepeated
    | CallWithdrawn
    | ContactChanged
    | DatagramsDropped
    | DeclarationTaken
    | DutyChanged
    | EntryUnreadable
    | FleetChanged
    | LimitChanged
    | ReplicaLeaving
    | LinksChanged
    | HelperGivenUp
    | MetricsUnserved
    | PermitRefused
    | QuarantineChanged
    | ReplicaGivenUp
    | RouterStarted
    | RouterStopping
    | SettingsRead
    | StreamTakenUp
    | StreamsUnstored
    | VersionsRecorded
    | VersionsUnrecorded
    | WeightsOrdered
    | WeightsRequested
)
