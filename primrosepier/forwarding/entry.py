"""ASGI app that accepts callers' requests for the declared routes."""

import hmac
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

import anyio

from ..asgi import (
    Receive,
    Scope,
    Send,
    abort_connection,
    close_connection_after,
    has_disconnected,
    read_path,
    send_bytes,
    wait_for_disconnect,
)
from ..bodies import read_admitted_body
from ..byte_budget import ByteBudget
from ..clocks import Clock
from ..errors import MessageError, RequestError, describe_errors
from ..ids import RequestId
from ..logs import Log
from ..outcomes import Completed, Interrupted, NotRun, Outcome, Refused, Step
from .attempts import RETRY_AFTER_S, Delivery
from .calls import NO_WORKSPACE, Call, PromptPart
from .declarations import Declaration, Route, Workspace
from .events import EventStreamMerger
from .forwarder import Forwarder
from .freshness import Freshness
from .peer_headers import NOT_RUN_HEADER, TOKEN_HEADER, is_routers_header
from .quotas.quotas import Quotas
from .records import CallEnded, CallFailed, CallRejected
from .shutdown import ShutdownSchedule

__all__ = ["EntryApp", "RequestReader", "limit_retry_after"]

# Limit on a request's body where the declaration sets none.
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
# Largest Retry-After as a share of the caller's remaining time. Callers ignore longer
# delays.
RETRY_AFTER_SHARE = 0.3
READY_PATH = "/readyz"
HTTP_BAD_REQUEST = 400
# Statuses of this router's own responses to calls that have not run. Those of replicas
# with such a status are never relayed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def limit_retry_after(after_s: float, remaining_s: float) -> float:
    """Return a Retry-After that a caller with the remaining time honours, seconds."""
    return min(after_s, RETRY_AFTER_SHARE * remaining_s)


def add_header_to_refusals(send: Send) -> Send:
    """Wrap ``send`` to tell another router of responses to calls that have not run."""

    async def send_marked(message: dict[str, Any]) -> None:
        if message.get("status") in NOT_RUN_STATUSES:
            headers = [*message["headers"], (NOT_RUN_HEADER, b"1")]
            message = {**message, "headers": headers}
        await send(message)

    return send_marked


class RequestReader(Protocol):
    """Reads callers' requests in the platform's format."""

    def read_host(self, scope: Scope) -> str:
        """Return the host name that a request is for, without a port."""

    def read_id(self, scope: Scope) -> RequestId:
        """Return the caller's id of a request; empty when it sent none."""

    def read_key(self, scope: Scope) -> str:
        """Return the API key of a request; empty when it sent none."""

    def read_caller_timeout_s(self, scope: Scope) -> float:
        """Return the time-out that a caller sent, seconds; infinity if it sent none."""

    def read_prompt(self, text: str) -> tuple[PromptPart, ...]:
        """Return the parts of a prompt from the text that names them.

        Raises
        ------
        MessageError
            The text is malformed.
        """

    def make_call(
        self,
        scope: Scope,
        body: bytes,
        route: Route,
        workspace: Workspace | None,
        received_at_s: float,
    ) -> Call:
        """Convert a request into a call on a route.

        Raises
        ------
        MessageError
            A header is malformed.
        """

    def write_retry_after(self, after_s: float) -> tuple[bytes, bytes]:
        """Return the header that tells a caller how long to wait before a retry."""


@dataclass(slots=True)
class EntryApp:
    """Validates callers' requests and passes them to the forwarder.

    Parameters
    ----------
    read_declaration : callable
        Returns the declaration in force, or None before the first.
    freshness : Freshness
    clock : Clock
        Must include the time for which the machine was suspended.
    ready_port : int
        Port on which only readiness checks are served.
    peers_port : int
        Port on which only calls that other routers pass on are served.
    peers_token : str
        Token that these calls carry.
    body_budget : ByteBudget
        Memory for the bodies of the requests in progress.
    quotas : Quotas or None
        Quotas of the workspaces; None where there are none.

    Attributes
    ----------
    shutdown : ShutdownSchedule or None
        Schedule of the graceful shutdown; None until a stop is requested.
    in_progress : int
        Requests being served.
    last_call_at_s : float
        Time at which the last request arrived, seconds.
    """

    reader: RequestReader
    forwarder: Forwarder
    read_declaration: Callable[[], Declaration | None]
    freshness: Freshness
    log: Log
    clock: Clock
    ready_port: int
    peers_port: int
    peers_token: str
    body_budget: ByteBudget = field(default_factory=ByteBudget)
    quotas: Quotas | None = None
    shutdown: ShutdownSchedule | None = None
    in_progress: int = 0
    last_call_at_s: float = float("-inf")

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["server"][1] == self.ready_port:
            await self._answer_readiness(scope, send)
            return
        server_send = send
        if self._is_passed_on(scope):
            if not self._remove_routers_headers(scope):
                await send_bytes(send, 403, b"")
                return
            send = add_header_to_refusals(send)
        received_at_s = self.clock()
        self.last_call_at_s = received_at_s
        self.in_progress += 1
        send = self._close_when_stopping(send)
        try:
            await self._serve(scope, receive, send, server_send, received_at_s)
        except RequestError as error:
            await self._reject(scope, send, error)
        except Exception as error:
            self.log.emit(
                CallFailed(self.reader.read_id(scope), describe_errors(error))
            )
            raise
        finally:
            self.in_progress -= 1

    def _close_when_stopping(self, send: Send) -> Send:
        """Wrap ``send`` to close the connection after a response during a shutdown."""
        send_and_close = close_connection_after(send)

        async def send_or_close(message: dict[str, Any]) -> None:
            await (send if self.shutdown is None else send_and_close)(message)

        return send_or_close

    def _is_passed_on(self, scope: Scope) -> bool:
        """Return whether a call comes from another router."""
        return bool(scope["server"][1] == self.peers_port)

    def _remove_routers_headers(self, scope: Scope) -> bool:
        """Remove what the other router added; return whether its token is right."""
        token = self.peers_token.encode("ascii")
        headers = scope["headers"]
        scope["headers"] = [x for x in headers if not is_routers_header(x[0])]
        return any(
            name == TOKEN_HEADER and hmac.compare_digest(value, token)
            for name, value in headers
        )

    def is_ready(self) -> bool:
        """Return whether a load balancer should send new connections to the router."""
        if self.shutdown is not None or self.read_declaration() is None:
            return False
        return self.freshness.may_trust_keys(self.clock())

    async def _answer_readiness(self, scope: Scope, send: Send) -> None:
        if scope["path"] != READY_PATH:
            await send_bytes(send, 404, b"")
            return
        await send_bytes(send, 200 if self.is_ready() else 503, b"")

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        server_send: Send,
        received_at_s: float,
    ) -> None:
        declaration = self.require_declaration()
        route = self.find_route(scope, declaration)
        caller_timeout_s = self.reader.read_caller_timeout_s(scope)
        self.require_time_before_stop(min(route.timeout_s, caller_timeout_s))
        workspace = self._find_workspace(scope, declaration, route)
        with self.body_budget.open() as reservation:
            max_bytes = declaration.limits.body_bytes or DEFAULT_BODY_BYTES
            rng, limit_s = self.forwarder.rng, route.timeout_s
            body = await read_admitted_body(
                scope, receive, max_bytes, limit_s, reservation, rng
            )
            call = self._make_call(scope, body, route, workspace, received_at_s)
            delivery = Delivery(send, EventStreamMerger(call.resume_after), server_send)
            outcome: Outcome | None = None
            cost = self._charge(call)
            try:
                if not await has_disconnected(server_send):
                    outcome = await self._forward(call, delivery, receive)
            finally:
                self._settle(call, cost, outcome, delivery)
            if outcome is not None:
                await self._send_error_or_abort(call, outcome, delivery)
        self._log_end(call, outcome, delivery, declaration)

    def _make_call(
        self,
        scope: Scope,
        body: bytes,
        route: Route,
        workspace: Workspace | None,
        received_at_s: float,
    ) -> Call:
        try:
            call = self.reader.make_call(scope, body, route, workspace, received_at_s)
        except MessageError as error:
            raise RequestError(400, "unreadable_header", str(error)) from error
        if self._is_passed_on(scope):
            call = replace(call, is_passed_on=True)
        return call

    def _charge(self, call: Call) -> float:
        """Charge a call to its workspace's quota; return what it was charged."""
        return 0.0 if self.quotas is None else self.quotas.admit(call, self.clock())

    def _settle(
        self, call: Call, cost: float, outcome: Outcome | None, delivery: Delivery
    ) -> None:
        """Correct the charge at the end of a call, by the replicas where it ran.

        The attempt of a call that its caller left may have run.
        """
        if self.quotas is not None:
            is_unfinished = outcome is None and delivery.attempts > 0
            runs = delivery.runs + int(is_unfinished)
            self.quotas.settle(call, cost, runs, self.clock())

    def require_declaration(self) -> Declaration:
        """Return the declaration in force; refuse the call if there is none yet."""
        declaration = self.read_declaration()
        if declaration is None:
            text = "No configuration is known yet."
            raise RequestError(503, "not_configured", text, retry_after_s=RETRY_AFTER_S)
        return declaration

    def require_time_before_stop(self, timeout_s: float) -> None:
        """Refuse a call that the shutdown schedule no longer accepts."""
        if self.shutdown is not None and not self.shutdown.accepts(
            self.clock(), timeout_s
        ):
            text = "The router is about to stop."
            raise RequestError(503, "stopping", text, retry_after_s=RETRY_AFTER_S)

    def find_route(self, scope: Scope, declaration: Declaration) -> Route:
        """Return the route of a request; refuse it if there is none."""
        route = declaration.find_route(self.reader.read_host(scope), read_path(scope))
        if route is not None:
            return route
        self.require_fresh_keys()
        raise RequestError(404, "no_route", "No route serves this path.")

    def _find_workspace(
        self, scope: Scope, declaration: Declaration, route: Route
    ) -> Workspace | None:
        if route.public or declaration.workspaces is None:
            return None
        self.require_fresh_keys()
        workspace = declaration.workspaces.get(self.reader.read_key(scope))
        if workspace is None:
            raise RequestError(401, "unknown_key", "The key is not known.")
        return workspace

    def require_fresh_keys(self) -> None:
        """Refuse the call if the store view is too old to check keys against."""
        if not self.freshness.may_trust_keys(self.clock()):
            text = "The store does not answer, so keys can't be checked."
            raise RequestError(503, "stale_keys", text, retry_after_s=RETRY_AFTER_S)

    async def _forward(
        self, call: Call, delivery: Delivery, receive: Receive
    ) -> Outcome | None:
        """Return the call's outcome, or None if the caller disconnected first."""
        outcome: Outcome | None = None

        async def cancel_on_disconnect() -> None:
            await wait_for_disconnect(receive)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect)
            outcome = await self.forwarder.forward(call, delivery)
            group.cancel_scope.cancel()
        return outcome

    async def _send_error_or_abort(
        self, call: Call, outcome: Outcome, delivery: Delivery
    ) -> None:
        """Send an error or abort the connection, unless a whole response was sent.

        The connection is aborted if part of a response was already sent, so that the
        caller does not take that part for the whole response.
        """
        if isinstance(outcome, Completed | Refused):
            return
        if isinstance(outcome, Interrupted) or delivery.status:
            abort_connection(delivery.server_send)
            return
        if isinstance(outcome, NotRun):
            remaining_s = max(0.0, call.deadline_s - self.clock())
            after_s = limit_retry_after(outcome.retry_after_s, remaining_s)
            delivery.status = 503
            headers = [self._make_retry_after(after_s)]
            await send_bytes(delivery.send, 503, b"", headers)
            return
        timed_out = self.clock() >= call.deadline_s
        delivery.status = 504 if timed_out else 502
        await send_bytes(delivery.send, delivery.status, b"")

    def _make_retry_after(self, after_s: float) -> tuple[str, str]:
        name, value = self.reader.write_retry_after(after_s)
        return name.decode("latin-1"), value.decode("latin-1")

    async def _reject(self, scope: Scope, send: Send, error: RequestError) -> None:
        declaration = self.read_declaration()
        self.log.emit(
            CallRejected(
                request=self.reader.read_id(scope),
                status=error.status,
                code=error.code,
                declaration=declaration.version if declaration else 0,
                heard_age_s=self.freshness.compute_age_s(self.clock()),
            )
        )
        headers = []
        if error.retry_after_s:
            caller_timeout_s = self.reader.read_caller_timeout_s(scope)
            after_s = limit_retry_after(error.retry_after_s, caller_timeout_s)
            headers.append(self._make_retry_after(after_s))
        # Callers take a 400 for final, so it says what they have to change.
        text = error.message if error.status == HTTP_BAD_REQUEST else ""
        await send_bytes(send, error.status, text.encode(), headers)

    def _log_end(
        self,
        call: Call,
        outcome: Outcome | None,
        delivery: Delivery,
        declaration: Declaration,
    ) -> None:
        now_s = self.clock()
        first_byte_at_s = delivery.first_byte_at_s
        step = getattr(outcome, "step", Step.RELAY)
        self.log.emit(
            CallEnded(
                request=call.id,
                route=call.route.id,
                workspace=call.workspace.id if call.workspace else NO_WORKSPACE,
                outcome=type(outcome).__name__ if outcome else "CallerLeft",
                status=delivery.status,
                step=step.value,
                peer=getattr(outcome, "peer", "-"),
                reason=getattr(outcome, "reason", ""),
                attempts=delivery.attempts,
                prompt_tokens=call.prompt_tokens,
                first_byte_s=first_byte_at_s - call.received_at_s
                if first_byte_at_s
                else None,
                duration_s=now_s - call.received_at_s,
                declaration=declaration.version,
                heard_age_s=self.freshness.compute_age_s(self.clock()),
                output_limit=call.output_limit,
                last_event=delivery.merger.last_id,
                framed=delivery.is_framed,
                within_event=delivery.boundary.is_within_event(),
            )
        )


def read_boot_clock() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
