"""Deployments that the policy bench models, from the example configurations."""

from dataclasses import dataclass

from .configuration import ServiceKind, load_configuration
from .demo import find_example
from .errors import BenchError
from .ids import EndpointId, FailureDomain

__all__ = ["Deployment", "EngineModel", "load_deployment"]


ROUTERS = {"keranvel": 7, "registry": 6}
LOAD_S = {"keranvel": 1.0, "registry": 0.3}


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Speeds and sizes of a modelled engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
        With an empty batch.
    token_s : float
        Time between output tokens with an empty batch, seconds.
    slots : int
        Requests in the batch.
    queue : int
        Waiting requests above which it refuses.
    cache_blocks : int
        Blocks of 512 tokens.
    load_s : float
        Time to load weights, seconds.
    restart_s : float
        Time from a crash until it serves again, seconds.
    """

    prefill_tokens_per_s: float = 40_000.0
    token_s: float = 0.015
    slots: int = 64
    queue: int = 64
    cache_blocks: int = 320
    load_s: float = 1.0
    restart_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One modelled deployment.

    Parameters
    ----------
    engines : dict of EndpointId to FailureDomain
    workspaces : dict of str to float
        Share of the traffic of each.
    loads_at_once : int
        Replicas that load weights at the same time.
    """

    name: str
    engines: dict[EndpointId, FailureDomain]
    workspaces: dict[str, float]
    routers: int
    loads_at_once: int
    model: EngineModel


def load_deployment(name: str, scale: int = 1) -> Deployment:
    """Return an example deployment, ``scale`` times as large.

    Raises
    ------
    BenchError
        The deployment has no example.
    """
    if name not in ROUTERS:
        raise BenchError(f"deployment is one of {', '.join(sorted(ROUTERS))}")
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
        routers=ROUTERS[name] * scale,
        loads_at_once=loads_at_once * scale,
        model=EngineModel(load_s=LOAD_S[name]),
    )
