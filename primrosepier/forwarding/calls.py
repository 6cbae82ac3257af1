"""Calls, the options of an attempt, and the heads of responses."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NewType, Protocol

from ..crash_causes import Fingerprints
from ..ids import EndpointId, ModelId, RequestId, WorkspaceId
from ..retry_after import RestRequest
from ..suspects import compute_fingerprint, compute_part_fingerprint
from .declarations import Route, Workspace

__all__ = [
    "AttemptOptions",
    "Call",
    "CallHeaders",
    "EndpointDialect",
    "NO_WORKSPACE",
    "PartId",
    "PromptPart",
    "ReportedLoad",
    "ResponseHead",
    "WeightsVersionNumber",
]

# Status of a call that a full endpoint turns away.
FULL_STATUS = 503

# Number of route priorities that are distinguished within one workspace priority:
# three workspace priorities fit into the range of urgencies.
ROUTE_PRIORITIES = 3
LOWEST_URGENCY = 9
NO_WORKSPACE = WorkspaceId("")

CallHeaders = tuple[tuple[bytes, bytes], ...]
PartId = NewType("PartId", str)
# Version of a model's weights; a newer version has a greater number.
WeightsVersionNumber = NewType("WeightsVersionNumber", int)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, in the order of the prompt.

    Parameters
    ----------
    tokens : int
        Length of this part.
    """

    id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Call:
    """A call as read from a caller.

    Parameters
    ----------
    target : str
        Path and query as sent by the caller.
    headers : CallHeaders
        Headers that are forwarded unchanged.
    received_at_s : float
        Monotonic time at which the request's headers had arrived, seconds.
    deadline_s : float
        Monotonic time at which the caller or the route times out, seconds.
    parts : tuple of PromptPart
        Empty for calls without a prompt.
    resume_after : str
        Id of the last event that the caller received; empty for a whole response.
    output_limit : int
        Largest number of tokens to generate; 0 if the caller stated none.
    resumed_call : RequestId
        Id of the call that brought the first event of the stream that this one resumes;
        empty for none.
    api_key : str
        Key that the caller sent; empty for none.
    is_passed_on : bool
        Whether another router, which could use no replica, passed the call on.
    stated_tokens : int or None
        Length of the prompt and limit on the output together, as the caller states
        them, tokens; None if it states neither.
    """

    id: RequestId
    method: str
    target: str
    headers: CallHeaders
    body: bytes
    route: Route
    workspace: Workspace | None
    received_at_s: float
    deadline_s: float
    model: ModelId = ModelId("")
    parts: tuple[PromptPart, ...] = ()
    resume_after: str = ""
    output_limit: int = 0
    resumed_call: RequestId = RequestId("")
    api_key: str = field(default="", repr=False)
    is_passed_on: bool = False
    stated_tokens: int | None = None

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has received events of the stream before."""
        return bool(self.resume_after or self.resumed_call)

    @property
    def urgency(self) -> int:
        """Urgency at a replica from 0, the most urgent, to 9.

        The workspace's priority precedes the route's, which ranks calls of workspaces
        with the same priority.
        """
        workspace = self.workspace
        if workspace is None or workspace.priority is None:
            return min(LOWEST_URGENCY, self.route.priority)
        rank = workspace.priority * ROUTE_PRIORITIES
        return min(
            LOWEST_URGENCY, rank + min(self.route.priority, ROUTE_PRIORITIES - 1)
        )

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt, tokens."""
        return sum(part.tokens for part in self.parts)

    def make_fingerprints(self) -> Fingerprints:
        """Return the fingerprints of what other calls may have in common with this one.

        Calls of different workspaces are never the same, but they may share parts.
        """
        workspace = self.workspace.id if self.workspace else NO_WORKSPACE
        request = f"{self.method} {self.target}\n".encode("latin-1") + self.body
        return Fingerprints(
            compute_fingerprint(workspace, request),
            tuple(
                compute_part_fingerprint(self.model, part.id.encode())
                for part in self.parts[:-1]
            ),
        )


@dataclass(frozen=True, slots=True)
class AttemptOptions:
    """Options that one attempt adds to a call.

    Parameters
    ----------
    endpoint : EndpointId
        The only endpoint that may run the call.
    remaining_s : float
        Time until the deadline, seconds.
    cache_scope : str
        Name of the set of calls that share cached prompts with this one.
    resume_after : str
        Id of the last event that the caller received; empty for a whole response.
    weights : WeightsVersionNumber or None
        The only weights version that may serve the call; None for any.
    fetch_from, save_to : str
        Addresses from which the KV cache is fetched and to which it is saved; empty
        for none.
    """

    endpoint: EndpointId
    remaining_s: float
    cache_scope: str
    resume_after: str = ""
    weights: WeightsVersionNumber | None = None
    fetch_from: str = ""
    save_to: str = ""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an endpoint as reported in a response.

    Parameters
    ----------
    slowness : float or None
        Time that work takes there, as a multiple of the usual time; None if the
        response states none.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of an endpoint's response.

    Parameters
    ----------
    headers : CallHeaders
        Headers that are forwarded to the caller.
    call_id : str
        Id of the call that the response belongs to; empty if it names none.
    not_run : bool
        Whether the endpoint states that it did not run the call.
    misdirected : bool
        Whether an endpoint other than the expected one responded.
    authentic : bool
        Whether the response carries the header that proves that a replica produced it.
    rate_limit_per_s : float or None
        Requests per second that the endpoint takes from all routers together; None if
        it names no limit.
    rest : RestRequest or None
        Time for which the endpoint wants no calls from this router; None if it names
        none.
    is_leaving : bool
        Whether the response says that its endpoint is leaving.
    leaving_process : tuple of (EndpointId, int) or None
        Id and start, in Unix milliseconds, of the leaving endpoint that another router
        names; None if it names none.
    retry_after_s : float or None
        Time after which another router expects room for the call that it refused,
        seconds; None if it names none.
    refusals_per_s : float or None
        Calls that a brittle endpoint may turn away in a second without falling over;
        None if it is not brittle.
    """

    status: int
    headers: CallHeaders
    call_id: str = ""
    not_run: bool = False
    misdirected: bool = False
    authentic: bool = True
    load: ReportedLoad | None = None
    weights: WeightsVersionNumber | None = None
    rate_limit_per_s: float | None = None
    rest: RestRequest | None = None
    is_leaving: bool = False
    refusals_per_s: float | None = None
    leaving_process: tuple[EndpointId, int] | None = None
    retry_after_s: float | None = None

    @property
    def lacks_room(self) -> bool:
        """Whether the endpoint turned the call away because it is full."""
        if not self.not_run or self.status != FULL_STATUS:
            return False
        return self.load is None or self.load.running >= self.load.slots


class EndpointDialect(Protocol):
    """Header format of calls to endpoints and of their responses."""

    def write_headers(
        self, call: Call, options: AttemptOptions
    ) -> Sequence[tuple[str, str]]:
        """Return the headers of one attempt."""

    def write_caller_headers(
        self, call: Call, remaining_s: float, resume_after: str
    ) -> Sequence[tuple[str, str]]:
        """Return the headers of a call as its caller would send it now."""

    def read_head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> ResponseHead:
        """Return the parsed head of a response."""
