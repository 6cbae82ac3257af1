"""Speeds, faults and counts of an engine's stand-in."""

from dataclasses import dataclass

__all__ = ["EngineCounts", "EngineFaults", "EngineRates"]


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Speeds and sizes of an engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
    token_s : float
        Time between output tokens, seconds.
    flush_s : float
        Tokens that are due within this time go out in one write, seconds.
    slots, prefills : int
        Requests in the batch, and prompts that are computed at once.
    cache_blocks : int
        Blocks of 512 tokens that the cache holds.
    load_s : float
        Time to load weights, seconds.
    load_lag_s, event_lag_s : float
        Age of the load and of the cache events that are published, seconds.
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
    """Faults on demand; each number is of the next requests that show it.

    Parameters
    ----------
    crash_after_tokens : int or None
        Crash when the next stream has sent this many tokens.
    cut_streams : int
        End without the end marker.
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

    def take(self, name: str) -> bool:
        """Return whether a fault is due, and count it down."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)


@dataclass(slots=True)
class EngineCounts:
    """What the engine did since it was made."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    resumed: int = 0
    crashes: int = 0
    sent_tokens: int = 0
