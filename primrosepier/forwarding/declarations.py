"""Operators' declaration: routes, services, workspaces and callers' limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from ..ids import FailureDomain, ServiceId, WorkspaceId

__all__ = [
    "CacheStore",
    "CallerLimits",
    "Declaration",
    "DeclarationVersion",
    "EngineShape",
    "Quota",
    "RetryPolicy",
    "Route",
    "RouteId",
    "Service",
    "Workspace",
]

DeclarationVersion = NewType("DeclarationVersion", int)
RouteId = NewType("RouteId", str)


class RetryPolicy(Enum):
    """Retries allowed after an attempt that failed but may have run.

    Attributes
    ----------
    NEVER
        A call that may have run is not sent again.
    ANY
        The call may run more than once.
    RESUME
        The call is a stream that another endpoint can resume.
    """

    NEVER = "never"
    ANY = "any"
    RESUME = "resume"


@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix of a host name and how its calls are served.

    Parameters
    ----------
    path_prefix : str
        Begins and ends with a slash.
    services : tuple of (ServiceId, int)
        Each service with its share of the calls as a relative weight.
    streamed : bool
        Whether the response is an event stream.
    timeout_s : float
        Time-out for the whole response, seconds.
    target_s : float
        Target time to the response, or to the first event of a stream, seconds.
    priority : int
        0 is the most urgent.
    max_runs : int
        Maximum number of endpoints on which one call may run.
    public : bool
        Whether calls need no key.
    """

    id: RouteId
    host: str
    path_prefix: str
    services: tuple[tuple[ServiceId, int], ...]
    retry_policy: RetryPolicy = RetryPolicy.NEVER
    streamed: bool = False
    timeout_s: float = 60.0
    target_s: float = 1.0
    priority: int = 0
    max_runs: int = 1
    public: bool = False

    def list_services(self) -> tuple[ServiceId, ...]:
        """Return the services that serve calls."""
        return tuple(service for service, weight in self.services if weight)


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Capacity of one replica of a service of model engines.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    cache_tokens : int
        KV cache for running requests and cached prompts, tokens.
    """

    slots: int
    cache_tokens: int


@dataclass(frozen=True, slots=True)
class CacheStore:
    """A service that stores KV cache outside the engines."""

    address: str
    failure_domain: FailureDomain


@dataclass(frozen=True, slots=True)
class Service:
    """A set of endpoints that serve the same calls."""

    id: ServiceId
    engine: EngineShape | None = None
    cache_store: CacheStore | None = None


@dataclass(frozen=True, slots=True)
class Quota:
    """What a workspace may use over all routers together, as a token bucket.

    Parameters
    ----------
    rate_per_s : float
        Fill rate, tokens or requests per second.
    burst : float
        Capacity of the bucket, tokens or requests.
    counts_tokens : bool
        Whether calls cost their tokens; otherwise each costs 1.
    default_tokens : int
        Cost of a call that does not state its tokens.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    default_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer, identified by one of its keys.

    Parameters
    ----------
    priority : int or None
        Takes precedence over the route's priority.
    isolated : bool
        Whether other workspaces may not use its cached prompts.
    quota : Quota or None
        None for no limit.
    """

    id: WorkspaceId
    priority: int | None = None
    isolated: bool = False
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of requests; None where not declared."""

    header_bytes: int | None = None
    body_bytes: int | None = None
    header_s: float | None = None
    idle_s: float | None = None


@dataclass(frozen=True, slots=True)
class Declaration:
    """The operators' declaration at one version.

    Parameters
    ----------
    workspaces : Mapping of str to Workspace, or None
        Workspaces by API key; None if none are declared, so that no route needs a key.
    unreadable : tuple of str
        Parts that were left out because they are not valid, with the reasons.
    """

    version: DeclarationVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, Service]
    limits: CallerLimits = CallerLimits()
    workspaces: Mapping[str, Workspace] | None = None
    unreadable: tuple[str, ...] = ()
    _by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        longest_first = sorted(self.routes, key=lambda r: -len(r.path_prefix))
        for route in longest_first:
            self._by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
