"""Batch places of an engine's stand-in, given by priority."""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

import anyio

__all__ = ["LoadHistory", "PriorityLimiter"]

MAX_HISTORY = 4096


class PriorityLimiter:
    """A number of places; the waiting request with the lowest priority is next.

    Parameters
    ----------
    capacity : int
    honours_priorities : bool
        Without it the order of arrival decides.
    """

    def __init__(self, capacity: int, honours_priorities: bool = True):
        self.capacity = capacity
        self.honours_priorities = honours_priorities
        self.running = 0
        self.queue: list[tuple[int, int, anyio.Event]] = []
        self.numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self.queue)

    async def acquire(self, priority: int = 0) -> None:
        """Return when a place was given."""
        if self.running < self.capacity and not self.queue:
            self.running += 1
            return
        order = priority if self.honours_priorities else 0
        entry = (order, next(self.numbers), anyio.Event())
        heapq.heappush(self.queue, entry)
        try:
            await entry[2].wait()
        except BaseException:
            self._leave(entry)
            raise

    def _leave(self, entry: tuple[int, int, anyio.Event]) -> None:
        if entry[2].is_set():
            self.release()
            return
        self.queue.remove(entry)
        heapq.heapify(self.queue)

    def release(self) -> None:
        """Give a place back, to the next that waits if there is one."""
        if self.queue:
            heapq.heappop(self.queue)[2].set()
        else:
            self.running -= 1


@dataclass(slots=True)
class LoadHistory:
    """Load over time, so that it can be reported late.

    Parameters
    ----------
    lag_s : float
        Age of the load that is reported, seconds.
    """

    lag_s: float = 0.0
    samples: deque[tuple[float, int, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY)
    )

    def record(self, now_s: float, running: int, waiting: int) -> None:
        """Keep the load of now."""
        self.samples.append((now_s, running, waiting))

    def read(self, now_s: float) -> tuple[int, int]:
        """Return the requests that ran and waited ``lag_s`` ago."""
        bound_s = now_s - self.lag_s
        while len(self.samples) > 1 and self.samples[1][0] <= bound_s:
            self.samples.popleft()
        if not self.samples or self.samples[0][0] > bound_s:
            return 0, 0
        return self.samples[0][1:]
