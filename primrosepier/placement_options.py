"""Parameters of the placement policy."""

from dataclasses import dataclass

__all__ = ["PlacementOptions"]


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """Parameters of the placement policy.

    Parameters
    ----------
    feedback : bool
        Whether to use the cached token counts in answers, and recent placements.
    events : bool
        Whether to use the cache events of endpoints.
    event_sample : int
        Sampling interval: one in ``event_sample`` blocks is tracked by its events.
    root_replicas : int
        Minimum number of replicas for the first prefix level of a workspace.
    root_share, split_share : float
        Largest share of a replica's mean traffic that one prefix may add to it, at
        the first prefix level and at deeper levels; a prefix that exceeds it is
        spread over more replicas.
    recompute_weight : float
        Cost of prefilling an uncached token, relative to a queued token.
    preferred_weight : float
        Cost reduction of the first preferred replica, per shared prompt token beyond
        the first prefix level, when no candidate is expected to hold any of these.
    remote_cost_tokens : float
        Extra cost of an endpoint in another failure domain, in queued tokens.
    random_choices : int
        Number of random endpoints added to the candidates.
    prefill_load_exponent : float
        Exponent of the relative prefill load in an endpoint's hashing weight.
    """

    feedback: bool = True
    events: bool = True
    event_sample: int = 1
    root_replicas: int = 6
    root_share: float = 0.4
    split_share: float = 0.8
    recompute_weight: float = 12.0
    preferred_weight: float = 24.0
    remote_cost_tokens: float = 32.0
    random_choices: int = 2
    prefill_load_exponent: float = 1.0
