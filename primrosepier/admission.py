"""Admission queue of a service, with deadlines, priorities and load shedding.

Workspaces share the service by start-time fair queueing (Goyal, Vin and Cheng,
SIGCOMM 1996). Priorities order the requests within a workspace.
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
    """State of a ticket."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    EXPIRED = "expired"
    DISPLACED = "displaced"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Shed:
    """Rejection of a request because of overload.

    Parameters
    ----------
    reason : str
    retry_after_s : float
        Time in seconds until the queue is expected to have room.
    """

    reason: str
    retry_after_s: float


@dataclass(slots=True, eq=False)
class Ticket:
    """Place of one request in the queue.

    Parameters
    ----------
    priority : int
        Smaller values are served first within a workspace.
    deadline_s : float
        Time in seconds at which the ticket expires unless admitted.
    """

    sequence: int
    workspace: WorkspaceId
    weight: float
    priority: int
    deadline_s: float
    state: TicketState = TicketState.WAITING

    def __lt__(self, other: "Ticket") -> bool:
        return (self.priority, self.sequence) < (other.priority, other.sequence)


@dataclass(slots=True)
class _WorkspaceQueue:
    weight: float
    tickets: list[Ticket] = field(default_factory=list)
    finish_tag: float = 0.0


@dataclass(slots=True)
class AdmissionQueue:
    """Fair queue of the requests of all workspaces.

    Parameters
    ----------
    max_waiting : int
        Maximum number of waiting requests.
    completions_per_s : float
        Exponentially decayed completion rate at the time of the last completion.
    """

    max_waiting: int
    running: int = 0
    waiting: int = 0
    virtual_time: float = 0.0
    completions_per_s: float = 0.0
    last_completion_at_s: float | None = None
    queues: dict[WorkspaceId, _WorkspaceQueue] = field(default_factory=dict)
    sequences: Iterator[int] = field(default_factory=itertools.count)

    def offer(
        self,
        workspace: WorkspaceId,
        weight: float,
        priority: int,
        deadline_s: float,
        now_s: float,
    ) -> tuple[Ticket | Shed, Ticket | None]:
        """Enqueue a request, or shed it.

        Returns
        -------
        tuple of (Ticket or Shed, Ticket or None)
            The request's ticket or its rejection, and the waiting ticket that it
            displaced, if any.
        """
        wait_s = self.estimate_wait(now_s)
        if wait_s > deadline_s - now_s:
            return Shed("the queue is longer than the deadline", wait_s), None
        displaced = None
        if self.waiting >= self.max_waiting:
            displaced = self._displace(workspace, weight)
            if displaced is None:
                return Shed("the queue is full", max(MIN_RETRY_S, wait_s)), None
        sequence = next(self.sequences)
        ticket = Ticket(sequence, workspace, weight, priority, deadline_s)
        queue = self.queues.setdefault(workspace, _WorkspaceQueue(weight))
        queue.weight = weight
        heapq.heappush(queue.tickets, ticket)
        self.waiting += 1
        return ticket, displaced

    def _displace(self, workspace: WorkspaceId, weight: float) -> Ticket | None:
        """Remove the last ticket of the queue that is longest relative to its weight.

        Returns None when the workspace's own queue would be at least as long.
        """
        longest = max(
            self.queues.values(), key=lambda queue: len(queue.tickets) / queue.weight
        )
        own_queue = self.queues.get(workspace)
        own_length = (len(own_queue.tickets) if own_queue else 0) + 1
        if len(longest.tickets) / longest.weight <= own_length / weight:
            return None
        ticket = max(longest.tickets)
        longest.tickets.remove(ticket)
        heapq.heapify(longest.tickets)
        ticket.state = TicketState.DISPLACED
        self.waiting -= 1
        return ticket

    def admit(self, capacity: int) -> list[Ticket]:
        """Admit waiting requests while fewer than ``capacity`` are running."""
        admitted = []
        while self.running < capacity:
            ticket = self._pop_next()
            if ticket is None:
                break
            ticket.state = TicketState.ADMITTED
            self.running += 1
            self.waiting -= 1
            admitted.append(ticket)
        return admitted

    def _pop_next(self) -> Ticket | None:
        """Pop the next ticket of the queue with the smallest start tag."""
        candidates = [queue for queue in self.queues.values() if queue.tickets]
        if not candidates:
            return None
        queue = min(candidates, key=self._compute_start_tag)
        start_tag = self._compute_start_tag(queue)
        queue.finish_tag = start_tag + 1 / queue.weight
        self.virtual_time = start_tag
        return heapq.heappop(queue.tickets)

    def _compute_start_tag(self, queue: _WorkspaceQueue) -> float:
        return max(self.virtual_time, queue.finish_tag)

    def expire(self, now_s: float) -> list[Ticket]:
        """Remove and return the tickets whose deadline has passed."""
        expired = []
        for queue in self.queues.values():
            late = [ticket for ticket in queue.tickets if ticket.deadline_s <= now_s]
            if late:
                queue.tickets = [t for t in queue.tickets if t.deadline_s > now_s]
                heapq.heapify(queue.tickets)
            expired.extend(late)
        for ticket in expired:
            ticket.state = TicketState.EXPIRED
        self.waiting -= len(expired)
        return expired

    def leave(self, ticket: Ticket, now_s: float) -> None:
        """Record that a request ended, or remove one abandoned while it waited."""
        if ticket.state is TicketState.ADMITTED:
            self.running -= 1
            self._count_completion(now_s)
        elif ticket.state is TicketState.WAITING:
            queue = self.queues[ticket.workspace]
            queue.tickets.remove(ticket)
            heapq.heapify(queue.tickets)
            self.waiting -= 1
        ticket.state = TicketState.LEFT

    def _count_completion(self, now_s: float) -> None:
        self.completions_per_s = self._compute_rate(now_s) + LN_2 / RATE_HALF_LIFE_S
        self.last_completion_at_s = now_s

    def _compute_rate(self, now_s: float) -> float:
        if self.last_completion_at_s is None:
            return 0.0
        elapsed_s = max(0.0, now_s - self.last_completion_at_s)
        return self.completions_per_s * 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)

    def estimate_wait(self, now_s: float) -> float:
        """Return the expected wait in seconds of a request that arrives now.

        The wait is 0 before the first completion, while the completion rate is unknown.
        """
        if not self.waiting or self.last_completion_at_s is None:
            return 0.0
        rate = max(self._compute_rate(now_s), LN_2 / RATE_HALF_LIFE_S / 16)
        return self.waiting / rate
