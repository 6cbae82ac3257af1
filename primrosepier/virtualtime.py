"""Event loop on virtual time, which advances only when no task can run."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

T = TypeVar("T")

MAX_WAIT_S = 86400.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that adds up the time-outs instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.virtual_time_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None or timeout >= MAX_WAIT_S:
            raise RuntimeError(
                "deadlock: every task waits without a time-out or for a day or more"
            )
        self.virtual_time_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that skips every wait; for code without sockets and threads."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time since the loop was created, in seconds."""
        return self._virtual_selector.virtual_time_s


def run_in_virtual_time(func: Callable[..., Awaitable[T]], *args: Any) -> T:
    """Run an async function in virtual time and return its result."""
    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(func, *args, backend="asyncio", backend_options=options)
