"""Rates, faults and counters of an engine stand-in."""

from dataclasses import dataclass

__all__ = ["EngineCounts", "EngineFaults", "EngineRates"]


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Rates, latencies and capacities of an engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
    token_s : float
        Time between output tokens, seconds.
    flush_s : float
        Tokens due within this time are sent in one write, seconds.
    slots, prefills : int
        Requests in the batch, and concurrent prefills.
    cache_blocks : int
        Capacity of the cache in blocks of 512 tokens.
    load_s : float
        Time to load weights, seconds.
    load_lag_s, event_lag_s : float
        Lag of the published load and cache events, seconds.
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
    """Faults on demand; each counter is the number of next requests affected.

    Parameters
    ----------
    crash_after_tokens : int or None
        Crash when the next stream has sent this many tokens.
    cut_streams : int
        End the stream without its end marker.
    crossed_events : int
        Send an event of another answer in the stream.
    crossed_answers : int
        Answer with another attempt's id.
    refuse : int
        Refuse with 503 before running.
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
