"""Options and measures of one run of the policy bench."""

from dataclasses import dataclass, field

__all__ = ["BenchOptions", "PolicyMeasures"]


@dataclass(frozen=True, slots=True)
class BenchOptions:
    """Options of one run.

    Parameters
    ----------
    rate_per_s : float
        Arrival rate over all routers.
    faults : bool
        Whether to inject engine crashes, router restarts, stale load reports and
        higher event loss.
    change_weights : bool
        Whether all replicas load other weights during the run.
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
    """Totals of one run over the measured requests.

    Parameters
    ----------
    shed, lost : int
        Refused requests, and requests that were neither completed nor refused.
    wasted_tokens : int
        Prompt tokens computed although some engine had them cached.
    ttft_s : list of float
        Times to first token in seconds.
    samples : list of tuple
        Virtual time (s), prompt, cached and wasted tokens, and time to first token
        (s) of each attempt that reached its first token.
    """

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
        """Share of prompt tokens read from caches."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    def get_ttft_quantile(self, share: float) -> float:
        """Return a quantile of the time to first token in seconds."""
        if not self.ttft_s:
            return 0.0
        ordered = sorted(self.ttft_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
