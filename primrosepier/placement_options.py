"""What the placement weighs."""

from dataclasses import dataclass

__all__ = ["PlacementOptions"]


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """What the placement weighs.

    Parameters
    ----------
    feedback : bool
        Whether cached tokens of answers are used.
    events : bool
        Whether cache events are used.
    event_sample : int
        One of so many blocks is followed by its events.
    root_replicas : int
        Replicas that share a workspace's first level at least.
    root_share, split_share : float
        Part of one replica's mean traffic that one prefix may bring there, for a
        workspace's first level and for the levels below it.
    recompute_weight : float
        Cost of an uncached token over that of a token that waits before it.
    home_weight : float
        What it is worth, for each token, to compute a prefix that nobody holds at
        its first home.
    remote_tokens : float
        Cost of an endpoint in another failure domain, tokens.
    spare_choices : int
        Endpoints drawn at random and compared with the others.
    pressure_gain : float
        Exponent of the pressure in an endpoint's weight.
    """

    feedback: bool = True
    events: bool = True
    event_sample: int = 1
    root_replicas: int = 6
    root_share: float = 0.4
    split_share: float = 0.8
    recompute_weight: float = 12.0
    home_weight: float = 24.0
    remote_tokens: float = 32.0
    spare_choices: int = 2
    prefill_load_exponent: float = 1.0
