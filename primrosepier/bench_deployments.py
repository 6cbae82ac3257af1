"""Models of the example deployments for the policy bench."""

from dataclasses import dataclass

from .configuration import ServiceKind, load_configuration
from .demo import find_example
from .errors import BenchError
from .ids import EndpointId, FailureDomain

__all__ = ["Deployment", "EngineModel", "load_deployment"]

ROUTER_COUNTS = {"keranvel": 7, "registry": 6}
WEIGHTS_LOAD_S = {"keranvel": 1.0, "registry": 0.3}


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Speeds and limits of a simulated engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prefill speed with an empty batch.
    token_s : float
        Time between output tokens with an empty batch, in seconds.
    slots : int
        Maximum requests in the batch.
    queue_limit : int
        Maximum number of waiting requests; the engine refuses more.
    cache_blocks : int
        Cache capacity in blocks of 512 tokens.
    load_s : float
        Time to load weights, in seconds.
    restart_s : float
        Time from a crash until requests are accepted again, in seconds.
    """

    prefill_tokens_per_s: float = 40_000.0
    token_s: float = 0.015
    slots: int = 64
    queue_limit: int = 64
    cache_blocks: int = 320
    load_s: float = 1.0
    restart_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Model of one deployment.

    Parameters
    ----------
    engines : dict of EndpointId to FailureDomain
    workspaces : dict of str to float
        Relative traffic of each workspace.
    loads_at_once : int
        Maximum replicas that load weights at the same time.
    """

    name: str
    engines: dict[EndpointId, FailureDomain]
    workspaces: dict[str, float]
    routers: int
    loads_at_once: int
    model: EngineModel


def load_deployment(name: str, scale: int = 1) -> Deployment:
    """Return the model of an example deployment, ``scale`` times as large.

    Raises
    ------
    BenchError
        There is no example deployment of that name.
    """
    if name not in ROUTER_COUNTS:
        raise BenchError(
            f"deployment must be one of {', '.join(sorted(ROUTER_COUNTS))}"
        )
    configuration = load_configuration([find_example(name)])
    engines = {}
    loads_at_once = 1
    for service in configuration.services.values():
        if service.kind is not ServiceKind.ENGINE:
            continue
        loads_at_once = service.loads_at_once
        for endpoint in configuration.list_endpoints(service.id):
            for copy in range(scale):
                copied = EndpointId(f"{endpoint.id}-{copy}" if copy else endpoint.id)
                engines[copied] = endpoint.failure_domain
    workspaces = {}
    for workspace in configuration.workspaces.values():
        for copy in range(scale):
            workspaces[f"{workspace.id}-{copy}"] = workspace.weight
    return Deployment(
        name=name,
        engines=engines,
        workspaces=workspaces,
        routers=ROUTER_COUNTS[name] * scale,
        loads_at_once=loads_at_once * scale,
        model=EngineModel(load_s=WEIGHTS_LOAD_S[name]),
    )
