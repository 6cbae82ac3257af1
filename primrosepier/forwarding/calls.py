"""A caller's call on its way through a router, and the head of its answer."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NewType, Protocol

from ..ids import EndpointId, ModelId, RequestId
from .declarations import Route, Workspace

__all__ = [
    "AnswerHead",
    "Call",
    "CallHeaders",
    "EndpointDialect",
    "PartId",
    "PromptPart",
    "ReportedLoad",
    "Sending",
    "WeightsNumber",
]

# Ranks of routes within one rank of workspaces, so that three of these fit.
ROUTE_RANKS = 3
LAST_URGENCY = 9

CallHeaders = tuple[tuple[bytes, bytes], ...]
PartId = NewType("PartId", str)
WeightsNumber = NewType("WeightsNumber", int)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, in the order of the prompt.

    Parameters
    ----------
    tokens : int
        Length of this part alone.
    """

    id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Call:
    """A whole call as read from a caller.

    Parameters
    ----------
    target : str
        Path with the query, as the caller sent it.
    headers : CallHeaders
        Those that are passed on unchanged.
    received_at_s : float
        Monotonic time of the first byte, seconds.
    deadline_s : float
        Monotonic time at which the caller or the route gives up, seconds.
    parts : tuple of PromptPart
        Empty for calls that carry no prompt.
    resume_after : str
        Id of the last event that the caller has; empty for a whole answer.
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

    @property
    def urgency(self) -> int:
        """Rank at a replica from 0, the most urgent, to 9.

        A workspace's priority goes before the route's, which ranks the calls of
        workspaces with the same one.
        """
        workspace = self.workspace
        if workspace is None or workspace.priority is None:
            return min(LAST_URGENCY, self.route.priority)
        rank = workspace.priority * ROUTE_RANKS
        return min(LAST_URGENCY, rank + min(self.route.priority, ROUTE_RANKS - 1))

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt."""
        return sum(part.tokens for part in self.parts)


@dataclass(frozen=True, slots=True)
class Sending:
    """What one attempt adds to a call.

    Parameters
    ----------
    endpoint : EndpointId
        The only endpoint that may run it.
    remaining_s : float
        Time until the caller gives up, seconds.
    cache_scope : str
        Name of the set of calls that share cached prompts with this one.
    resume_after : str
        Id of the last event that the caller has; empty for a whole answer.
    weights : WeightsNumber or None
        The only weights that may serve it; None for any.
    fetch_from, save_to : str
        Addresses from which cached parts are fetched and to which they are sent;
        empty for none.
    """

    endpoint: EndpointId
    remaining_s: float
    cache_scope: str
    resume_after: str = ""
    weights: WeightsNumber | None = None
    fetch_from: str = ""
    save_to: str = ""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """An endpoint's own account of its load."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an endpoint's answer says.

    Parameters
    ----------
    headers : CallHeaders
        Those that the caller gets.
    call_id : str
        Id of the call that is answered; empty when the answer bears none.
    not_run : bool
        The endpoint says that it did not run the call.
    misdirected : bool
        The endpoint that answers is not the one that was meant.
    authentic : bool
        The answer bears the endpoint's stamp.
    leaving : bool
        The endpoint closes the connection.
    """

    status: int
    headers: CallHeaders
    call_id: str = ""
    not_run: bool = False
    misdirected: bool = False
    authentic: bool = True
    load: ReportedLoad | None = None
    weights: WeightsNumber | None = None


class EndpointDialect(Protocol):
    """How calls and answers are spelled on the way to endpoints."""

    def write_headers(self, call: Call, sending: Sending) -> Sequence[tuple[str, str]]:
        """Return the headers of one attempt."""

    def read_head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> AnswerHead:
        """Return what the head of an answer says."""
