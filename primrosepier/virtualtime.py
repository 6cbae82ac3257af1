"""An event loop whose time moves only when nothing is left to run."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

T = TypeVar("T")

LONGEST_WAIT_S = 86400.0


class _SkippingSelector(selectors.SelectSelector):
    """Reports the time it was asked to wait instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None or timeout >= LONGEST_WAIT_S:
            raise RuntimeError("every task waits without a time limit")
        self.skipped_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop that skips every wait, for code without sockets or threads."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time, seconds since the loop was made."""
        return self._skipping.skipped_s


def run_in_virtual_time(func: Callable[..., Awaitable[T]], *args: Any) -> T:
    """Run an async function in virtual time and return its result."""
    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(func, *args, backend="asyncio", backend_options=options)
