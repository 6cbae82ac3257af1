"""Reads that many callers share, and that are never older than their calls."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio

from .clocks import Clock

__all__ = ["SharedRead"]

Value = TypeVar("Value")


@dataclass(slots=True)
class SharedRead(Generic[Value]):
    """Shares a read among all who ask before it starts.

    Who asks while a read is in progress gets the result of the next one.

    Parameters
    ----------
    read : callable
        Returns the value, or None if it can't be read.
    timeout_s : float
        Time after which a read is given up, seconds.

    Attributes
    ----------
    started_at_s : float
        Start of the last read, seconds.
    value : object or None
        What it returned; None if it failed.
    """

    read: Callable[[], Awaitable[Value | None]]
    timeout_s: float
    clock: Clock
    lock: anyio.Lock = field(default_factory=anyio.Lock)
    started_at_s: float = float("-inf")
    value: Value | None = None

    async def get(self) -> Value | None:
        """Return what a read returned that started after this call."""
        asked_at_s = self.clock()
        async with self.lock:
            if self.started_at_s < asked_at_s:
                self.value = None
                self.started_at_s = self.clock()
                with anyio.move_on_after(self.timeout_s):
                    self.value = await self.read()
            return self.value
