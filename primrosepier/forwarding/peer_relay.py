"""Passes calls on to other routers while this one can use no replica.

A call is passed on as its caller sent it, to a router that serves it like any other and
never passes it on again.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

import anyio

from ..clocks import Clock
from ..endpoint_client import EndpointCall, EndpointClient
from ..ids import EndpointId, FailureDomain, HostId, ServiceId
from ..logs import Log
from ..outcomes import Interrupted, NotRun, Outcome, Step, UnknownOutcome
from .attempts import (
    CONNECT_TIMEOUT_S,
    CONNECT_TIMEOUT_SHARE,
    RETRY_AFTER_S,
    AttemptRecorder,
    CallSender,
    Delivery,
    ErrorResponse,
)
from .calls import (
    AttemptOptions,
    Call,
    EndpointDialect,
    ResponseHead,
    WeightsVersionNumber,
)
from .declarations import RetryPolicy
from .fleet import Replica
from .peer_headers import (
    NOT_RUN_HEADER,
    TOKEN_HEADER,
    is_routers_header,
    read_leaving_process,
)
from .prefixes import PrefillTracker, PrefixIndex
from .records import CallPassedOn
from .replica_load import ReplicaLoadTable

__all__ = ["PeerAddress", "PeerRelay", "make_peer_relay"]

# Routers to which a call is sent that each of them refuses.
MAX_HELPERS = 3
# Maximum idle time of a reused connection to a router, seconds.
IDLE_S = 2.0
NO_HELPER_REASON = "no other router reaches the replicas"

RecordLeaving = Callable[[EndpointId, int], None]


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a router accepts calls from others, and the token that it expects."""

    address: str
    token: str


@dataclass(frozen=True, slots=True)
class _PeerDialect:
    """Dialect of the responses of other routers."""

    inner: EndpointDialect

    def write_headers(
        self, call: Call, options: AttemptOptions
    ) -> Sequence[tuple[str, str]]:
        return self.inner.write_headers(call, options)

    def write_caller_headers(
        self, call: Call, remaining_s: float, resume_after: str
    ) -> Sequence[tuple[str, str]]:
        headers = self.inner.write_caller_headers(call, remaining_s, resume_after)
        return [x for x in headers if not is_routers_header(x[0].encode("latin-1"))]

    def read_head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> ResponseHead:
        head = self.inner.read_head(status, headers)
        if any(name.lower() == NOT_RUN_HEADER for name, _ in headers):
            after_s = head.rest.rest_s if head.rest is not None else 0.0
            return ResponseHead(status, (), not_run=True, retry_after_s=after_s or None)
        forwarded = tuple(x for x in head.headers if not is_routers_header(x[0]))
        leaving = read_leaving_process(head.headers)
        return replace(head, headers=forwarded, leaving_process=leaving)


def list_no_peers() -> Mapping[HostId, PeerAddress]:
    """Return no routers; used where there are none."""
    return {}


def ignore_leaving(endpoint: EndpointId, born_ms: int) -> None:
    """Do nothing; used where no one is told of leaving replicas."""


@dataclass(slots=True)
class PeerRelay:
    """Sends calls to other routers and relays their responses.

    Parameters
    ----------
    read_peers : callable
        Returns the registered routers.
    record_leaving : callable
        Called with the id and the start, in Unix milliseconds, of a replica whose
        response says that it is leaving.
    """

    sender: CallSender
    log: Log
    clock: Clock
    rng: random.Random = field(default_factory=random.Random)
    read_peers: Callable[[], Mapping[HostId, PeerAddress]] = list_no_peers
    loads: ReplicaLoadTable = field(default_factory=ReplicaLoadTable)
    record_leaving: RecordLeaving = ignore_leaving

    async def send(
        self, call: Call, delivery: Delivery, helpers: Sequence[HostId]
    ) -> Outcome | ErrorResponse:
        """Pass a call on to one of the routers that reach replicas."""
        refusal = NotRun(Step.PLACE, "-", NO_HELPER_REASON, RETRY_AFTER_S)
        peers = self.read_peers()
        known = [host for host in helpers if host in peers]
        self.rng.shuffle(known)
        known.sort(key=self._count_outstanding)
        for host in known[:MAX_HELPERS]:
            delivery.attempts += 1
            self.log.emit(CallPassedOn(call.id, delivery.attempts, host))
            outcome = await self._attempt(call, delivery, host, peers[host])
            if not isinstance(outcome, NotRun):
                delivery.runs += 1
                return outcome
            refusal = outcome
        return refusal

    def _count_outstanding(self, host: HostId) -> int:
        return self.loads.get_or_create(EndpointId(host)).outstanding

    async def _attempt(
        self, call: Call, delivery: Delivery, host: HostId, peer: PeerAddress
    ) -> Outcome | ErrorResponse:
        replica = Replica(
            EndpointId(host), ServiceId("-"), peer.address, FailureDomain("-")
        )
        prefill = PrefillTracker(PrefixIndex(), (), replica.id, WeightsVersionNumber(0))

        def record_head(head: ResponseHead, is_new_connection: bool) -> None:
            if head.leaving_process is not None:
                self.record_leaving(*head.leaving_process)

        recorder = AttemptRecorder(self.loads, prefill, 0, record_head)
        recorder.begin(self.clock())
        remaining_s = call.deadline_s - self.clock()
        outcome: Outcome | ErrorResponse
        try:
            with anyio.move_on_after(remaining_s) as timeout_scope:
                request = self._make_request(call, delivery, peer, remaining_s)
                outcome = await self.sender.exchange(
                    request, call, replica, delivery, recorder
                )
            if timeout_scope.cancelled_caught:
                reason = "the call's deadline passed"
                outcome = (
                    Interrupted(Step.RELAY, host, reason)
                    if delivery.status
                    else UnknownOutcome(Step.HEADERS, host, reason)
                )
        finally:
            recorder.end(self.clock())
        return outcome

    def _make_request(
        self, call: Call, delivery: Delivery, peer: PeerAddress, remaining_s: float
    ) -> EndpointCall:
        headers = self.sender.dialect.write_caller_headers(
            call, remaining_s, delivery.merger.last_id
        )
        token = (TOKEN_HEADER.decode("ascii"), peer.token)
        return EndpointCall(
            address=peer.address,
            method=call.method,
            path=call.target,
            headers=(*headers, token),
            body=call.body,
            connect_s=min(CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_SHARE * remaining_s),
            request_s=remaining_s,
            attempt=call.id,
            streamed=call.route.streamed,
            idle_s=IDLE_S,
            repeatable=call.route.retry_policy is not RetryPolicy.NEVER,
        )


def make_peer_relay(
    client: EndpointClient, dialect: EndpointDialect, log: Log, clock: Clock
) -> PeerRelay:
    """Return a relay that knows no other router yet."""
    sender = CallSender(client, _PeerDialect(dialect), clock, requires_call_id=False)
    return PeerRelay(sender, log, clock)
