"""Batch slots of an engine stand-in, assigned by priority."""

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field

import anyio

__all__ = ["LoadHistory", "PriorityLimiter"]

MAX_SAMPLES = 4096


class PriorityLimiter:
    """Limits concurrency; the waiting request with the lowest priority value is next.

    Parameters
    ----------
    capacity : int
        Number of requests that can run at the same time.
    honours_priorities : bool
        Serve by priority; otherwise in the order of arrival.
    """

    def __init__(self, capacity: int, honours_priorities: bool = True):
        self.capacity = capacity
        self.honours_priorities = honours_priorities
        self.running = 0
        self.queue: list[tuple[int, int, anyio.Event]] = []
        self.arrival_numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queue)

    async def acquire(self, priority: int = 0) -> None:
        """Wait for a slot."""
        if self.running < self.capacity and not self.queue:
            self.running += 1
            return
        order = priority if self.honours_priorities else 0
        entry = (order, next(self.arrival_numbers), anyio.Event())
        heapq.heappush(self.queue, entry)
        try:
            await entry[2].wait()
        except BaseException:
            self._cancel(entry)
            raise

    def _cancel(self, entry: tuple[int, int, anyio.Event]) -> None:
        if entry[2].is_set():
            self.release()
            return
        self.queue.remove(entry)
        heapq.heapify(self.queue)

    def release(self) -> None:
        """Release a slot and pass it to the next waiting request, if there is one."""
        if self.queue:
            heapq.heappop(self.queue)[2].set()
        else:
            self.running -= 1


@dataclass(slots=True)
class LoadHistory:
    """History of the load, which is reported with a lag.

    Parameters
    ----------
    lag_s : float
        Age of the reported load in seconds.
    """

    lag_s: float = 0.0
    samples: deque[tuple[float, int, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )

    def record(self, now_s: float, running: int, waiting: int) -> None:
        """Record the current load."""
        self.samples.append((now_s, running, waiting))

    def read(self, now_s: float) -> tuple[int, int]:
        """Return the numbers of running and waiting requests ``lag_s`` ago."""
        reported_at_s = now_s - self.lag_s
        while len(self.samples) > 1 and self.samples[1][0] <= reported_at_s:
            self.samples.popleft()
        if not self.samples or self.samples[0][0] > reported_at_s:
            return 0, 0
        return self.samples[0][1:]
