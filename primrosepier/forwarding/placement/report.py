"""Structure of a report on where a call would go.

It names routes, services, workspaces, replicas and routers; nothing of a prompt, no key
and no header.
"""

from enum import Enum

import msgspec

from ...ids import EndpointId, FailureDomain, HostId, ServiceId, WorkspaceId
from ..declarations import DeclarationVersion, RouteId

__all__ = [
    "PLACEMENT_PATH",
    "Answer",
    "AnswerKind",
    "CandidateReport",
    "ExcludedReplica",
    "Exclusion",
    "PermitAnswer",
    "PermitKind",
    "PermitReport",
    "PlacementReport",
    "QuotaReport",
    "ServiceOption",
    "ViewReport",
]

# Path of the page that serves reports.
PLACEMENT_PATH = "/placement"

Bounds = tuple[float, float]


class AnswerKind(Enum):
    """What becomes of a call."""

    REPLICA = "sent to a replica"
    REJECTED = "rejected"
    PASSED_ON = "passed on to another router"


class Exclusion(Enum):
    """Reason for which a replica may not receive a call."""

    LEAVING = "is leaving"
    WEIGHTS = "loads weights, or its weights are too old"
    RESTING = "has asked for rest"
    LIMITED = "limits its calls"
    UNPROVEN = "has just rested, and another one takes calls"
    DIVISION = "is for prompts of the other length"
    EJECTED = "is ejected for its failures"
    BACKOFF = "is avoided after a failure or rejection"
    REFUSED = "has no room for the prompt yet"


class PermitKind(Enum):
    """Permit that a replica requires."""

    PREFILL = "prefill"
    CALL = "call"


class PermitAnswer(Enum):
    """Answer of a granter. Another router's is not known without asking."""

    GRANTED = "granted"
    REFUSED = "refused"
    UNKNOWN = "not known without asking"


class ServiceOption(msgspec.Struct, frozen=True):
    """A service that may receive the call, and the share of calls that it gets."""

    service: ServiceId
    share: float


class ViewReport(msgspec.Struct, frozen=True):
    """Age of what the router knows, seconds.

    Parameters
    ----------
    declaration : DeclarationVersion
        Version in force; 0 if there is none.
    store_age_s : float or None
        Age of the store's newest response; None before the first.
    routers : int
        Other routers that have reported the load of replicas of late.
    oldest_report_s : float or None
        Age of the oldest of these reports.
    """

    declaration: DeclarationVersion
    store_age_s: float | None
    routers: int
    oldest_report_s: float | None


class QuotaReport(msgspec.Struct, frozen=True):
    """Answer of the workspace's quota, in tokens or requests.

    Parameters
    ----------
    unit : str
        ``tokens`` or ``requests``.
    cost : float
        What the call would be charged.
    rate_per_s, burst : float
        Fill rate and capacity of the bucket, over all routers.
    share : float
        Part of the quota that the routers that hear each other may use.
    level : float
        Estimated level of the bucket.
    asked_per_s, allowed_per_s : float
        Requested rate, and the rate that may be admitted, over all routers.
    probability : float
        Probability with which the call is admitted.
    retry_after_s : tuple of (float, float)
        Bounds of the Retry-After if it is not, seconds.
    view_age_s : float or None
        Time since the share was worked out, seconds; None before the first time.
    silent : int
        Routers that are not heard.
    """

    unit: str
    cost: float
    rate_per_s: float
    burst: float
    share: float
    level: float
    asked_per_s: float
    allowed_per_s: float
    probability: float
    retry_after_s: Bounds
    view_age_s: float | None
    silent: int


class CandidateReport(msgspec.Struct, frozen=True):
    """A replica that may receive the call, and what the call would cost there.

    Costs of prompts are in tokens that a replica of usual speed computes meanwhile,
    and utilizations for calls without a prompt.

    Parameters
    ----------
    kind : str
        Reason for which it would be chosen.
    cost : float
        (own cost + work) x slowness + outdated + remote.
    own_cost : float
        Cost of the prompt itself, with what is fetched or computed again.
    work : float
        Cost of the other calls there.
    outdated, remote : float
        Added for outdated weights, and for another failure domain.
    pending_tokens, peer_tokens : int
        Prompt tokens of this router's calls and of the others' that the replica has
        yet to compute.
    calls, decoding : int
        This router's calls there, and all routers' outputs that it generates.
    running, waiting, slots : int or None
        What it reported last; None if that is too old.
    report_age_s, speed_age_s : float or None
        Age of its report of load and of its last figure of slowness, seconds.
    full_for_s : float
        Time for which it counts as full, seconds.
    prefill_per_s : float
        Prompt tokens that it computes in a second; 0 if unknown.
    """

    endpoint: EndpointId
    failure_domain: FailureDomain
    kind: str
    cost: float
    own_cost: float
    work: float
    slowness: float
    outdated: float
    remote: float
    uncached_tokens: int
    cached_tokens: int
    reusable_tokens: int
    fetch_from: EndpointId | None
    pending_tokens: int
    peer_tokens: int
    calls: int
    decoding: int
    running: int | None
    waiting: int | None
    slots: int
    report_age_s: float | None
    speed_age_s: float | None
    full_for_s: float
    prefill_per_s: float


class ExcludedReplica(msgspec.Struct, frozen=True):
    """A registered replica that may not receive the call.

    Parameters
    ----------
    wait_s : float or None
        Time before it may, seconds; None if that is not known.
    """

    endpoint: EndpointId
    reason: Exclusion
    wait_s: float | None = None


class PermitReport(msgspec.Struct, frozen=True):
    """A permit that the call would ask for.

    Parameters
    ----------
    granter : HostId or None
        Router that grants it; None if that one is silent, so that this router counts
        its own calls alone.
    tokens : int
        Prompt tokens to compute.
    wait_s : float or None
        Time before it is granted, seconds; None if that is not known.
    """

    endpoint: EndpointId
    kind: PermitKind
    granter: HostId | None
    answer: PermitAnswer
    tokens: int = 0
    wait_s: float | None = None


class Answer(msgspec.Struct, frozen=True):
    """What becomes of the call.

    Parameters
    ----------
    replicas : tuple of EndpointId
        Replicas of the same lowest cost, one of which is drawn.
    routers : tuple of HostId
        Routers that it may be passed on to.
    wait_s : float
        Time that it waits first, seconds.
    status, code, reason
        Response and reason of a rejection.
    retry_after_s : tuple of (float, float) or None
        Bounds of the Retry-After, seconds; None if there is none.
    conditions : tuple of str
        What the answer depends on and this router does not know.
    """

    kind: AnswerKind
    replicas: tuple[EndpointId, ...] = ()
    routers: tuple[HostId, ...] = ()
    wait_s: float = 0.0
    status: int = 0
    code: str = ""
    reason: str = ""
    retry_after_s: Bounds | None = None
    conditions: tuple[str, ...] = ()


class PlacementReport(msgspec.Struct, frozen=True):
    """Where a call would go now, and why.

    Parameters
    ----------
    remaining_s : float
        Time before the call's deadline, seconds.
    services : tuple of ServiceOption
        Services among which one is drawn; the report is about the named one.
    candidates, excluded : tuple
        Replicas in order of their cost, and those that may not receive the call.
    omitted : int
        Replicas that are left out of these lists, beyond what a report holds.
    """

    host: HostId
    answer: Answer
    view: ViewReport
    route: RouteId | None = None
    workspace: WorkspaceId | None = None
    remaining_s: float = 0.0
    prompt_tokens: int = 0
    quota: QuotaReport | None = None
    service: ServiceId | None = None
    services: tuple[ServiceOption, ...] = ()
    candidates: tuple[CandidateReport, ...] = ()
    excluded: tuple[ExcludedReplica, ...] = ()
    omitted: int = 0
    permits: tuple[PermitReport, ...] = ()
