"""Interface of clocks, and a clock that is advanced explicitly."""

from typing import Protocol

__all__ = ["Clock", "ManualClock"]


class Clock(Protocol):
    """A clock such as ``time.monotonic`` or ``time.time``."""

    def __call__(self) -> float:
        """Return the time in seconds."""


class ManualClock:
    """A clock that is advanced explicitly, for simulations and tests."""

    def __init__(self, now_s: float = 0.0):
        self.now_s = now_s

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Advance the time."""
        self.now_s += seconds
