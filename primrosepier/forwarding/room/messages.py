"""Messages by which routers ask for, grant and release prefill permits."""

from typing import Annotated

import msgspec

from ...ids import EndpointId, HostId

__all__ = [
    "MAX_WAIT_S",
    "PrefillMessage",
    "PrefillRelease",
    "PrefillReply",
    "PrefillRequest",
]

# Longest wait that a reply may name, seconds.
MAX_WAIT_S = 600.0

TokenCount = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
TokenRate = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
WaitTime = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_WAIT_S)]
DueMs = Annotated[int, msgspec.Meta(ge=-(10**6), le=10**6)]
Urgency = Annotated[int, msgspec.Meta(ge=0, le=9)]


class PrefillRequest(msgspec.Struct, frozen=True, tag="prefill_request"):
    """Request for a permit to have a long prompt computed.

    A request that is repeated, with the same number, keeps its place.

    Parameters
    ----------
    tokens : int
        Prompt tokens that the replica has to compute.
    budget_ms : int
        Time that a short prompt may wait behind long ones, milliseconds.
    due_ms : int
        Time until the call has to begin at the replica, milliseconds.
    urgency : int
        Urgency of the call, from 0, the most urgent, to 9.
    waits : bool
        Whether the call waits for its turn if it is refused.
    tokens_per_s : float
        Rate at which the sender expects the replica to compute prompts; 0 if it knows
        of none. It counts where the receiver has measured none.
    """

    sender: HostId
    number: int
    endpoint: EndpointId
    tokens: TokenCount
    budget_ms: TokenCount
    due_ms: DueMs
    urgency: Urgency
    waits: bool
    tokens_per_s: TokenRate


class PrefillReply(msgspec.Struct, frozen=True, tag="prefill_reply"):
    """Reply to a request, or notice that a waiting call has its permit.

    Parameters
    ----------
    wait_s : float
        0 if the permit is granted, otherwise the time until the call's turn, seconds.
    tokens_per_s : float
        Rate at which the replica computes prompts, as measured by the granter; 0 if it
        has measured none.
    """

    number: int
    wait_s: WaitTime
    tokens_per_s: TokenRate


class PrefillRelease(msgspec.Struct, frozen=True, tag="prefill_release"):
    """Notice that a call has been computed, has failed or waits no longer.

    Parameters
    ----------
    prefill_ms : int or None
        Time from sending the call to the beginning of its output, milliseconds; None if
        it had none.
    lacked_room : bool
        Whether the replica rejected the call for lack of capacity.
    """

    sender: HostId
    number: int
    endpoint: EndpointId
    prefill_ms: TokenCount | None
    lacked_room: bool


PrefillMessage = PrefillRequest | PrefillReply | PrefillRelease
