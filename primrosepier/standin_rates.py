"""Rates, faults and counters of an engine stand-in."""

from dataclasses import dataclass

__all__ = ["EngineCounts", "EngineFaults", "EngineRates"]


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Rates, latencies and capacities of an engine.

    Parameters
    ----------
    token_s : float
        Time between output tokens in seconds.
    flush_s : float
        Time in seconds; tokens that are due within it are sent in one write.
    slots : int
        Maximum number of requests in the batch.
    prefills : int
        Maximum number of concurrent prefills.
    cache_blocks : int
        Capacity of the cache in blocks of 512 tokens.
    load_s : float
        Time to load weights, in seconds.
    load_lag_s : float
        Age of the reported load in seconds.
    event_lag_s : float
        Time in seconds until a cache event is visible.
    """

    prefill_tokens_per_s: float = 200_000.0
    token_s: float = 0.002
    flush_s: float = 0.0
    slots: int = 32
    prefills: int = 4
    cache_blocks: int = 256
    load_s: float = 1.0
    load_lag_s: float = 0.0
    event_lag_s: float = 0.05


@dataclass(slots=True)
class EngineFaults:
    """Injected faults of an engine.

    Each counter is the number of times that the fault is still to occur.

    Parameters
    ----------
    crash_after_tokens : int or None
        Tokens of a stream after which the engine crashes, once; None for no crash.
    cut_streams : int
        Counter of streams that end without their end marker.
    crossed_events : int
        Counter of writes to a stream that contain an event of another answer.
    crossed_answers : int
        Counter of requests that are answered with the id of another attempt.
    refuse : int
        Counter of requests that are refused with 503 before they run.
    """

    crash_after_tokens: int | None = None
    cut_streams: int = 0
    crossed_events: int = 0
    crossed_answers: int = 0
    refuse: int = 0

    def consume(self, name: str) -> bool:
        """Return whether a fault is due, and decrement its counter."""
        remaining = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return bool(remaining)


@dataclass(slots=True)
class EngineCounts:
    """Counters since the engine was created."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    resumed: int = 0
    crashes: int = 0
    sent_tokens: int = 0
