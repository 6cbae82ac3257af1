"""Decodes the operators' configuration and the weights that they name."""

import msgspec

from ..errors import MessageError
from ..forwarding.calls import WeightsVersionNumber
from ..forwarding.declarations import (
    CacheStore,
    CallerLimits,
    Declaration,
    DeclarationVersion,
    EngineShape,
    RetryPolicy,
    Route,
    RouteId,
    Service,
    Workspace,
)
from ..ids import FailureDomain, ModelId, ServiceId, WorkspaceId

__all__ = ["decode_declaration", "decode_weights"]

MS = 0.001
STREAMING = "streaming"
IDEMPOTENT = "idempotent"


class _Split(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    service: str = ""
    split: list[_Split] = []
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    slots: int
    # In tokens, unlike other names that start with "kv": memory for running requests
    # and cached prompts.
    kv_capacity: int


class _Service(msgspec.Struct, rename="camel"):
    name: str
    engine: _Engine | None = None
    # Both are set only for a store of KV cache.
    kv_store_addr: str = ""
    zone: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


class _Workspace(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Workspace] | None = None


class _Weights(msgspec.Struct):
    model: str
    # The version of the weights, unrelated to that of the configuration.
    version: int


def decode_declaration(value: bytes) -> Declaration:
    """Return the declaration in a stored configuration.

    Raises
    ------
    MessageError
        The value is not a valid configuration.
    """
    try:
        found = msgspec.json.decode(value, type=_Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError) as cause:
        raise MessageError(str(cause)) from cause
    return Declaration(
        version=DeclarationVersion(found.version),
        routes=tuple(_make_route(route) for route in found.routes),
        services={ServiceId(s.name): _make_service(s) for s in found.services},
        limits=_make_limits(found.limits),
        workspaces=_make_workspaces(found.tenants),
    )


def _make_route(route: _Route) -> Route:
    services = tuple((ServiceId(s.service), s.weight) for s in route.split)
    if route.service:
        services = ((ServiceId(route.service), 1),)
    streamed = route.route_type == STREAMING
    return Route(
        id=RouteId(route.name),
        host=route.host,
        path_prefix=route.path_prefix,
        services=services,
        retry_policy=_read_retry_policy(route, streamed),
        streamed=streamed,
        timeout_s=route.timeout_ms * MS,
        target_s=route.target_latency_ms * MS,
        priority=route.priority,
        max_runs=max(1, route.max_attempts),
        public=route.public,
    )


def _read_retry_policy(route: _Route, streamed: bool) -> RetryPolicy:
    if streamed:
        return RetryPolicy.RESUME if route.resumable else RetryPolicy.NEVER
    return RetryPolicy.ANY if route.route_type == IDEMPOTENT else RetryPolicy.NEVER


def _make_service(service: _Service) -> Service:
    engine = cache_store = None
    if service.engine is not None:
        engine = EngineShape(service.engine.slots, service.engine.kv_capacity)
    if service.kv_store_addr:
        cache_store = CacheStore(service.kv_store_addr, FailureDomain(service.zone))
    return Service(ServiceId(service.name), engine, cache_store)


def _make_limits(limits: _Limits) -> CallerLimits:
    def read_s(value: float | None) -> float | None:
        return None if value is None else value * MS

    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_s=read_s(limits.header_timeout_ms),
        idle_s=read_s(limits.idle_timeout_ms),
    )


def _make_workspaces(found: list[_Workspace] | None) -> dict[str, Workspace] | None:
    if found is None:
        return None
    by_key = {}
    for entry in found:
        workspace = Workspace(WorkspaceId(entry.name), entry.priority, entry.isolated)
        by_key.update(dict.fromkeys(entry.api_keys, workspace))
    return by_key


def decode_weights(value: bytes) -> tuple[ModelId, WeightsVersionNumber]:
    """Return a model and the version of the weights that it should use.

    Raises
    ------
    MessageError
        The value is not valid.
    """
    try:
        found = msgspec.json.decode(value, type=_Weights)
    except (msgspec.DecodeError, UnicodeDecodeError) as cause:
        raise MessageError(str(cause)) from cause
    return ModelId(found.model), WeightsVersionNumber(found.version)
