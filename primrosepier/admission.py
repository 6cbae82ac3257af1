"""Queue before a service's endpoints: deadlines, priorities, fair shares, shedding.

Workspaces share by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996);
priorities order the requests of one workspace.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from .ids import WorkspaceId

__all__ = ["AdmissionQueue", "Shed", "Ticket", "TicketState"]

RATE_HALF_LIFE_S = 5.0
MIN_RETRY_S = 1.0
LN_2 = 0.693


class TicketState(Enum):
    """Where a request stands in the queue."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    EXPIRED = "expired"
    DISPLACED = "displaced"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Shed:
    """The request is refused at once.

    Parameters
    ----------
    reason : str
    retry_after_s : float
        When the queue is expected to have room, seconds.
    """

    reason: str
    retry_after_s: float


@dataclass(slots=True, eq=False)
class Ticket:
    """One request in the queue.

    Parameters
    ----------
    priority : int
        Smaller is served earlier within its workspace.
    deadline_s : float
        Time by which it must be admitted, seconds.
    """

    number: int
    workspace: WorkspaceId
    weight: float
    priority: int
    deadline_s: float
    state: TicketState = TicketState.WAITING

    def __lt__(self, other: "Ticket") -> bool:
        return (self.priority, self.number) < (other.priority, other.number)


@dataclass(slots=True)
class _Line:
    weight: float
    tickets: list[Ticket] = field(default_factory=list)
    finish_tag: float = 0.0


@dataclass(slots=True)
class AdmissionQueue:
    """Decides which waiting request goes next.

    Parameters
    ----------
    max_waiting : int
        Requests that may wait.
    """

    max_waiting: int
    running: int = 0
    waiting: int = 0
    virtual_time: float = 0.0
    completions_per_s: float = 0.0
    completed_at_s: float | None = None
    lines: dict[WorkspaceId, _Line] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def offer(
        self,
        workspace: WorkspaceId,
        weight: float,
        priority: int,
        deadline_s: float,
        now_s: float,
    ) -> tuple[Ticket | Shed, Ticket | None]:
        """Take a request into the queue, or shed it.

        Returns
        -------
        tuple of (Ticket or Shed, Ticket or None)
            The second is the waiting request that lost its place to this one.
        """
        wait_s = self.estimate_wait(now_s)
        if wait_s > deadline_s - now_s:
            return Shed("the queue is longer than the deadline", wait_s), None
        displaced = None
        if self.waiting >= self.max_waiting:
            displaced = self._displace(workspace, weight)
            if displaced is None:
                return Shed("the queue is full", max(MIN_RETRY_S, wait_s)), None
        number = next(self.numbers)
        ticket = Ticket(number, workspace, weight, priority, deadline_s)
        line = self.lines.setdefault(workspace, _Line(weight))
        line.weight = weight
        heapq.heappush(line.tickets, ticket)
        self.waiting += 1
        return ticket, displaced

    def _displace(self, workspace: WorkspaceId, weight: float) -> Ticket | None:
        """Take the last ticket of the line that is longest for its weight."""
        longest = max(
            self.lines.values(), key=lambda line: len(line.tickets) / line.weight
        )
        own = self.lines.get(workspace)
        own_length = (len(own.tickets) if own else 0) + 1
        if len(longest.tickets) / longest.weight <= own_length / weight:
            return None
        ticket = max(longest.tickets)
        longest.tickets.remove(ticket)
        heapq.heapify(longest.tickets)
        ticket.state = TicketState.DISPLACED
        self.waiting -= 1
        return ticket

    def admit(self, capacity: int) -> list[Ticket]:
        """Admit waiting requests while fewer than ``room`` are running."""
        admitted = []
        while self.running < capacity:
            ticket = self._take_next()
            if ticket is None:
                break
            ticket.state = TicketState.ADMITTED
            self.running += 1
            self.waiting -= 1
            admitted.append(ticket)
        return admitted

    def _take_next(self) -> Ticket | None:
        """Take from the line with the smallest start tag."""
        candidates = [line for line in self.lines.values() if line.tickets]
        if not candidates:
            return None
        line = min(candidates, key=self._compute_start_tag)
        start_tag = self._compute_start_tag(line)
        line.finish_tag = start_tag + 1 / line.weight
        self.virtual_time = start_tag
        return heapq.heappop(line.tickets)

    def _compute_start_tag(self, line: _Line) -> float:
        return max(self.virtual_time, line.finish_tag)

    def expire(self, now_s: float) -> list[Ticket]:
        """Take out the requests whose deadline has passed."""
        expired = []
        for line in self.lines.values():
            late = [ticket for ticket in line.tickets if ticket.deadline_s <= now_s]
            if late:
                line.tickets = [t for t in line.tickets if t.deadline_s > now_s]
                heapq.heapify(line.tickets)
            expired.extend(late)
        for ticket in expired:
            ticket.state = TicketState.EXPIRED
        self.waiting -= len(expired)
        return expired

    def leave(self, ticket: Ticket, now_s: float) -> None:
        """Take out a request that ended, or whose caller left while it waited."""
        if ticket.state is TicketState.ADMITTED:
            self.running -= 1
            self._count_completion(now_s)
        elif ticket.state is TicketState.WAITING:
            line = self.lines[ticket.workspace]
            line.tickets.remove(ticket)
            heapq.heapify(line.tickets)
            self.waiting -= 1
        ticket.state = TicketState.LEFT

    def _count_completion(self, now_s: float) -> None:
        self.completions_per_s = self._read_rate(now_s) + LN_2 / RATE_HALF_LIFE_S
        self.completed_at_s = now_s

    def _read_rate(self, now_s: float) -> float:
        if self.completed_at_s is None:
            return 0.0
        elapsed = max(0.0, now_s - self.completed_at_s)
        return self.completions_per_s * 0.5 ** (elapsed / RATE_HALF_LIFE_S)

    def estimate_wait(self, now_s: float) -> float:
        """Return the expected wait of a request that comes now, seconds.

        It is 0 before the first completion: nothing is known then.
        """
        if not self.waiting or self.completed_at_s is None:
            return 0.0
        rate = max(self._read_rate(now_s), LN_2 / RATE_HALF_LIFE_S / 16)
        return self.waiting / rate
