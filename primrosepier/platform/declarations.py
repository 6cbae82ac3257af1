"""Decodes the operators' configuration and the weights versions that they request."""

from collections.abc import Sequence
from typing import Annotated, TypeVar

import msgspec

from ..decoding import MAX_COUNT, Count, DurationMs, HeaderText, decode_json
from ..errors import MessageError
from ..forwarding.calls import WeightsVersionNumber
from ..forwarding.declarations import (
    CacheStore,
    CallerLimits,
    Declaration,
    DeclarationVersion,
    EngineShape,
    Quota,
    RetryPolicy,
    Route,
    RouteId,
    Service,
    Workspace,
)
from ..ids import FailureDomain, ModelId, ServiceId, WorkspaceId

__all__ = ["decode_declaration", "decode_weights"]

MS = 0.001
TOKENS_UNIT = "tokens"
STREAMING = "streaming"
IDEMPOTENT = "idempotent"

Rate = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COUNT)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]


class _Split(msgspec.Struct):
    service: HeaderText
    # The service's share of the calls, relative to the other services of the route.
    weight: Count


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: DurationMs
    target_latency_ms: DurationMs = 1000.0
    priority: Priority = 0
    # Limits only the attempts that may have run; refused ones do not count.
    max_attempts: Count = 1
    service: HeaderText = ""
    split: list[_Split] = []
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    slots: Count
    # Size of the KV cache, in tokens, for running requests and cached prompts. In the
    # names of the platform's store, "kv" stands for key-value instead.
    kv_capacity: Count


class _Service(msgspec.Struct, rename="camel"):
    name: HeaderText
    engine: _Engine | None = None
    # Both are set only for a service that stores KV cache. The zone is its failure
    # domain.
    kv_store_addr: HeaderText = ""
    zone: HeaderText = ""


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Count | None = None
    max_body_bytes: Count | None = None
    header_timeout_ms: DurationMs | None = None
    idle_timeout_ms: DurationMs | None = None


class _Workspace(msgspec.Struct, rename="camel"):
    name: HeaderText
    api_keys: list[str] = []
    priority: Priority | None = None
    isolated: bool = False
    # A quota over all routers together; none if the rate is 0.
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0
    unit: HeaderText = ""
    # Cost of a call without the header of token counts.
    uncached_tokens: Count = 0


class _Configuration(msgspec.Struct):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # The workspaces.
    tenants: list[_Workspace] | None = None


class _Weights(msgspec.Struct):
    model: HeaderText
    # The version of the weights, not of the configuration.
    version: Count


class _ConfigurationParts(msgspec.Struct):
    """A configuration whose parts are decoded one by one."""

    version: Count
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b"{}")
    tenants: list[msgspec.Raw] | None = None


T = TypeVar("T")


def decode_declaration(value: bytes) -> Declaration:
    """Decode a stored configuration into a declaration.

    Parts that are not valid are left out and named, so that the others, and the keys
    that were revoked, take effect. Limits that are not valid are the defaults.

    Raises
    ------
    MessageError
        The value is not a configuration, or its version is not valid.
    """
    unreadable: list[str] = []
    try:
        configuration = decode_json(value, _Configuration)
    except MessageError:
        configuration = _decode_by_parts(value, unreadable)
    return Declaration(
        version=DeclarationVersion(configuration.version),
        routes=tuple(_make_route(route) for route in configuration.routes),
        services={ServiceId(s.name): _make_service(s) for s in configuration.services},
        limits=_make_limits(configuration.limits),
        workspaces=_make_workspaces(configuration.tenants),
        unreadable=tuple(unreadable),
    )


def _decode_by_parts(value: bytes, unreadable: list[str]) -> _Configuration:
    """Decode the valid parts of a configuration, and append why others are not."""
    parts = decode_json(value, _ConfigurationParts)
    routes = _decode_list("routes", _Route, parts.routes, unreadable)
    services = _decode_list("services", _Service, parts.services, unreadable)
    limits = _decode_list("limits", _Limits, [parts.limits], unreadable)
    tenants = (
        None
        if parts.tenants is None
        else _decode_list("tenants", _Workspace, parts.tenants, unreadable)
    )
    limits = limits or [_Limits()]
    return _Configuration(parts.version, routes, services, limits[0], tenants)


def _decode_list(
    name: str, schema: type[T], items: Sequence[msgspec.Raw], unreadable: list[str]
) -> list[T]:
    decoded = []
    for number, item in enumerate(items):
        try:
            decoded.append(decode_json(bytes(item), schema))
        except MessageError as error:
            unreadable.append(f"{name}[{number}]: {error}")
    return decoded


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
        retry_policy=_choose_retry_policy(route, streamed),
        streamed=streamed,
        timeout_s=route.timeout_ms * MS,
        target_s=route.target_latency_ms * MS,
        priority=route.priority,
        max_runs=max(1, route.max_attempts),
        public=route.public,
    )


def _choose_retry_policy(route: _Route, streamed: bool) -> RetryPolicy:
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
    def to_seconds(value: float | None) -> float | None:
        return None if value is None else value * MS

    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_s=to_seconds(limits.header_timeout_ms),
        idle_s=to_seconds(limits.idle_timeout_ms),
    )


def _make_workspaces(entries: list[_Workspace] | None) -> dict[str, Workspace] | None:
    if entries is None:
        return None
    by_key = {}
    for entry in entries:
        workspace = Workspace(
            WorkspaceId(entry.name), entry.priority, entry.isolated, _make_quota(entry)
        )
        by_key.update(dict.fromkeys(entry.api_keys, workspace))
    return by_key


def _make_quota(entry: _Workspace) -> Quota | None:
    if not entry.rate_per_s:
        return None
    counts_tokens = entry.unit == TOKENS_UNIT
    return Quota(entry.rate_per_s, entry.burst, counts_tokens, entry.uncached_tokens)


def decode_weights(value: bytes) -> tuple[ModelId, WeightsVersionNumber]:
    """Return a model and the weights version that operators request for it.

    Raises
    ------
    MessageError
        The value is not valid.
    """
    weights = decode_json(value, _Weights)
    return ModelId(weights.model), WeightsVersionNumber(weights.version)
