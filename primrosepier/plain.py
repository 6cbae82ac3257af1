"""Proxying of calls to plain services, whose endpoints run no model."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .asgi import Scope, Send, read_target, send_bytes
from .candidates import REST_REASON, Candidates
from .clocks import Clock
from .configuration import Configuration, Endpoint, Service, ServiceKind, Workspace
from .endpoint_client import (
    CONNECT_ERRORS,
    RELAY_ERRORS,
    EndpointCall,
    EndpointClient,
    EndpointResponse,
    classify_error,
    read_rest,
)
from .errors import RequestError
from .ids import AttemptId, EndpointId, RequestId, ServiceId, make_attempt_id
from .logs import TRACE_HEADER
from .outcomes import Completed, NotRun, Outcome, Step, UnknownOutcome
from .relay import read_whole_body
from .request_log import AttemptRecord, record_attempt, record_rest
from .rest_periods import spread_return
from .retries import GiveUp, RetryBudget, decide_retry, merge_outcomes
from .settings import Limits

__all__ = [
    "PlainDispatcher",
    "PlainRequest",
    "find_plain_service",
    "is_not_repeatable",
    "make_plain_request",
    "normalize_path",
]

PATH_PREFIX = "/services/"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
ALLOWED_METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
DROPPED_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-attempt-id",
        b"x-request-id",
        TRACE_HEADER.encode(),
        b"x-workspace",
    }
)
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """A validated call of a plain service.

    Parameters
    ----------
    target : str
        Path and query sent to the endpoint.
    repeatable : bool
        Whether the call may run more than once.
    needs_claim : bool
        Whether the call runs only under a claim of its idempotency key.
    send_by_s : float
        Monotonic time after which the call must not be sent, seconds.
    """

    id: RequestId
    workspace: Workspace
    service: Service
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    needs_claim: bool
    send_by_s: float = float("inf")


def normalize_path(path: str) -> str:
    """Return a path in the canonical form that is used to compare paths."""
    parts = [part for part in path.casefold().split("/") if part not in ("", ".")]
    if ".." in parts:
        raise RequestError(400, "invalid_path", "The path holds '..'.")
    return "/" + "/".join(parts)


def is_not_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a call is declared not repeatable, itself or by a parent path."""
    requested_path = normalize_path(path)
    for call in service.not_repeatable:
        call_method, _, call_path = call.partition(" ")
        declared_path = normalize_path(call_path.strip())
        if method == call_method.upper() and (
            requested_path == declared_path
            or requested_path.startswith(declared_path.rstrip("/") + "/")
        ):
            return True
    return False


def find_plain_service(configuration: Configuration, path: str) -> Service:
    """Return the plain service that a request path names.

    Raises
    ------
    RequestError
        No plain service has that name.
    """
    name = path.removeprefix(PATH_PREFIX).partition("/")[0]
    service = configuration.services.get(ServiceId(name))
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise RequestError(404, "service_not_found", f"There is no service {name!r}.")
    return service


def make_plain_request(
    request: RequestId,
    workspace: Workspace,
    service: Service,
    scope: Scope,
    body: bytes,
) -> PlainRequest:
    """Validate a call and return the request for it.

    Raises
    ------
    RequestError
        The method, the path, the query or a header is not allowed.
    """
    method = scope["method"]
    if method not in ALLOWED_METHODS:
        raise RequestError(
            405, "method_not_allowed", f"Use {', '.join(ALLOWED_METHODS)}."
        )
    subpath = scope["path"].removeprefix(PATH_PREFIX + service.id) or "/"
    needs_claim = is_not_repeatable(service, method, subpath)
    return PlainRequest(
        id=request,
        workspace=workspace,
        service=service,
        method=method,
        target=_make_target(scope, service),
        headers=tuple(_select_headers(scope.get("headers", []))),
        body=body,
        repeatable=method in IDEMPOTENT_METHODS and not needs_claim,
        needs_claim=needs_claim,
    )


def _make_target(scope: Scope, service: Service) -> str:
    path, separator, query = read_target(scope).decode("latin-1").partition("?")
    _, _, subpath = path.removeprefix(PATH_PREFIX).partition("/")
    target = f"/{subpath}{separator}{query}"
    if not target.isascii():
        raise RequestError(400, "invalid_path", "The query is not percent-encoded.")
    return target


def _select_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    selected = []
    for name, value in headers:
        if name in DROPPED_HEADERS:
            continue
        if not value.isascii():
            message = f"The header {name.decode('latin-1')} is not ASCII."
            raise RequestError(400, "invalid_header", message)
        selected.append((name.decode("ascii"), value.decode("ascii")))
    return selected


@dataclass(slots=True)
class PlainDispatcher:
    """Sends calls to endpoints of plain services and relays the answers.

    Parameters
    ----------
    client : EndpointClient
    candidates : Candidates
    limits : Limits
    """

    client: EndpointClient
    candidates: Candidates
    limits: Limits
    clock: Clock
    rng: random.Random = field(default_factory=random.Random)
    budget: RetryBudget = field(default_factory=RetryBudget)

    async def dispatch(self, request: PlainRequest, send: Send) -> Outcome:
        """Run a call at an endpoint and send its answer to the caller."""
        tried: set[EndpointId] = set()
        outcome: Outcome | None = None
        self.budget.deposit()
        while True:
            endpoint = self.choose(request.service, tried)
            if endpoint is None:
                return self._make_refusal(request.service)
            previous = outcome if tried else None
            tried.add(endpoint.id)
            latest = await self._attempt(request, endpoint, send)
            outcome = merge_outcomes(previous, latest)
            if isinstance(outcome, Completed):
                return outcome
            self.candidates.ejections.record_failure(endpoint.id, self.clock())
            verdict = decide_retry(
                outcome, len(tried), request.repeatable, self.budget, self.rng
            )
            has_untried = self.choose(request.service, tried) is not None
            if isinstance(verdict, GiveUp) or not has_untried:
                return outcome

    def _make_refusal(self, service: Service) -> NotRun:
        rest_s = self.candidates.compute_rest_s(service, self.clock())
        if rest_s > 0:
            after_s = spread_return(rest_s, self.rng)
            return NotRun(Step.PLACE, service.id, REST_REASON, after_s)
        reason = "no endpoint of the service can be used"
        return NotRun(Step.PLACE, service.id, reason, 1.0)

    def choose(self, service: Service, tried: Iterable[EndpointId]) -> Endpoint | None:
        """Return an untried endpoint with the fewest outstanding calls, or None."""
        usable: Sequence[Endpoint] = [
            endpoint
            for endpoint in self.candidates.list_usable(service, self.clock())
            if endpoint.id not in tried
        ]
        if not usable:
            return None
        outstanding = self.candidates.outstanding
        fewest = min(outstanding[endpoint.id] for endpoint in usable)
        return self.rng.choice([e for e in usable if outstanding[e.id] == fewest])

    async def _attempt(
        self, request: PlainRequest, endpoint: Endpoint, send: Send
    ) -> Outcome:
        if self.clock() >= request.send_by_s:
            return NotRun(Step.CLAIM, endpoint.id, "the claim lapsed before", 1.0)
        self.candidates.rests.try_begin_request(endpoint.id, self.clock())
        self.candidates.outstanding[endpoint.id] += 1
        attempt = make_attempt_id()
        try:
            with record_attempt(request, endpoint.id, attempt) as record:
                call = self._make_call(request, endpoint, attempt, record.trace_header)
                outcome = await self._send(request, endpoint, call, send, record)
                record.outcome = outcome
        finally:
            self.candidates.outstanding[endpoint.id] -= 1
        return outcome

    async def _send(
        self,
        request: PlainRequest,
        endpoint: Endpoint,
        call: EndpointCall,
        send: Send,
        record: AttemptRecord,
    ) -> Outcome:
        sent_at_s = self.clock()
        try:
            async with self.client.open(call) as response:
                record.record_headers()
                rest = read_rest(response)
                self.candidates.rests.record(endpoint.id, rest, sent_at_s, self.clock())
                if rest is not None:
                    record_rest(request, endpoint.id, rest)
                return await self._relay(request, endpoint, response, send)
        except (*CONNECT_ERRORS, *RELAY_ERRORS) as error:
            return classify_error(error, endpoint.id)

    def _make_call(
        self,
        request: PlainRequest,
        endpoint: Endpoint,
        attempt: AttemptId,
        trace_header: str,
    ) -> EndpointCall:
        headers = (
            *request.headers,
            (TRACE_HEADER, trace_header),
            ("x-request-id", request.id),
            ("x-workspace", request.workspace.id),
        )
        return EndpointCall(
            address=endpoint.address,
            method=request.method,
            path=request.target,
            headers=headers,
            body=request.body,
            connect_s=self.limits.connect_s,
            request_s=self.limits.request_s,
            attempt=attempt,
        )

    async def _relay(
        self,
        request: PlainRequest,
        endpoint: Endpoint,
        response: EndpointResponse,
        send: Send,
    ) -> Outcome:
        data = await read_whole_body(response)
        if data is None:
            return UnknownOutcome(Step.RELAY, endpoint.id, "the answer is too large")
        headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
            if name.lower() not in DROPPED_HEADERS
        ]
        identity = ("x-request-id", request.id)
        await send_bytes(send, response.status, data, [*headers, identity])
        return Completed(Step.RELAY, endpoint.id)
