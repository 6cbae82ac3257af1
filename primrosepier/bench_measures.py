"""Options and measures of one run of the policy bench."""

from dataclasses import dataclass, field

__all__ = ["BenchOptions", "PolicyMeasures"]


@dataclass(frozen=True, slots=True)
class BenchOptions:
    """What one run is made of.

    Parameters
    ----------
    rate_per_s : float
        Arrivals over all routers.
    faults : bool
        Crashes, router restarts, stale load and gaps in events.
    change_weights : bool
        Whether all replicas load other weights part of the way.
    events : bool
        Whether engines publish cache events.
    """

    rate_per_s: float
    faults: bool
    change_weights: bool
    seed: int
    events: bool = True


@dataclass(slots=True)
class PolicyMeasures:
    """Totals of one run over the measured requests."""

    arrived: int = 0
    completed: int = 0
    shed: int = 0
    lost: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    ttft_s: list[float] = field(default_factory=list)
    samples: list[tuple[float, int, int, int, float]] = field(default_factory=list)

    @property
    def hit_rate(self) -> float:
        """Share of prompt tokens that were read from caches."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    def take_quantile(self, share: float) -> float:
        """Return a quantile of the time to first token, seconds."""
        if not self.ttft_s:
            return 0.0
        ordered = sorted(self.ttft_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
