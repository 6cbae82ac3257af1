"""Room of a stand-in replica: slots, a queue, and how it falls when it is brittle."""

from collections import deque
from dataclasses import dataclass, field

from . import names

__all__ = ["Room"]

# Time in which a brittle replica tolerates a number of refusals, seconds.
REFUSAL_WINDOW_S = 1.0
# Time between a fall and the replica's return, seconds.
DOWN_S = 2.0


@dataclass(slots=True)
class Room:
    """Calls that a replica runs and lets wait, and those that it turns away.

    Parameters
    ----------
    slots : int
        Calls that run at the same time.
    queue : int
        Calls that may wait.
    tolerated : int
        Refusals within a second that the replica survives; 0 if it is not brittle.

    Attributes
    ----------
    in_progress : int
        Calls that run or wait.
    refused_at_s : deque of float
        Times of the refusals of the last second, seconds.
    fallen_at_s : list of float
        Times at which the replica fell over, seconds.
    """

    slots: int
    queue: int
    tolerated: int = 0
    in_progress: int = 0
    refused_at_s: deque[float] = field(default_factory=deque)
    fallen_at_s: list[float] = field(default_factory=list)

    def is_down(self, now_s: float) -> bool:
        """Return whether the replica has fallen over and is not back yet."""
        return bool(self.fallen_at_s) and now_s < self.fallen_at_s[-1] + DOWN_S

    def try_enter(self, now_s: float) -> bool:
        """Take a call in and return True, or turn it away and return False."""
        if self.in_progress < self.slots + self.queue:
            self.in_progress += 1
            return True
        self.refused_at_s.append(now_s)
        while self.refused_at_s[0] <= now_s - REFUSAL_WINDOW_S:
            self.refused_at_s.popleft()
        if self.tolerated and len(self.refused_at_s) > self.tolerated:
            self.fallen_at_s.append(now_s)
            self.refused_at_s.clear()
        return False

    def leave(self) -> None:
        """Record the end of a call that was taken in."""
        self.in_progress -= 1

    def list_headers(self) -> list[tuple[str, str]]:
        """Return the headers of an answer that tell of the room."""
        running = min(self.in_progress, self.slots)
        load = f"{running},{self.in_progress - running},{self.slots}"
        headers = [(names.ENDPOINT_LOAD.decode(), load)]
        if self.tolerated:
            headers.append((names.BRITTLENESS.decode(), str(self.tolerated)))
        return headers
