"""Waiting of requests before the endpoints of one service."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from .admission import AdmissionQueue, Shed, Ticket, TicketState
from .clocks import Clock
from .configuration import Workspace

__all__ = ["Gate", "make_gate"]

CAPACITY_CHECK_S = 0.1


@dataclass(slots=True)
class Gate:
    """Lets requests through as the admission queue decides.

    Parameters
    ----------
    queue : AdmissionQueue
    clock : Clock
    """

    queue: AdmissionQueue
    clock: Clock
    events: dict[Ticket, anyio.Event] = field(default_factory=dict)

    async def enter(
        self,
        workspace: Workspace,
        priority: int,
        wait_s: float,
        read_capacity: Callable[[], int],
    ) -> Ticket | Shed:
        """Wait for a place.

        Parameters
        ----------
        wait_s : float
            Longest wait, seconds.
        read_room : callable
            Returns the number of requests that may run now.
        """
        now_s = self.clock()
        entered, displaced = self.queue.offer(
            workspace.id, workspace.weight, priority, now_s + wait_s, now_s
        )
        if isinstance(entered, Shed):
            return entered
        if displaced is not None:
            self._wake(displaced)
        self.events[entered] = anyio.Event()
        try:
            await self._wait(entered, read_capacity)
        except BaseException:
            self.leave(entered, read_capacity)
            raise
        finally:
            self.events.pop(entered, None)
        return self._conclude(entered)

    async def _wait(self, ticket: Ticket, read_capacity: Callable[[], int]) -> None:
        self.open(read_capacity)
        while ticket.state is TicketState.WAITING:
            left_s = ticket.deadline_s - self.clock()
            with anyio.move_on_after(max(0.0, min(CAPACITY_CHECK_S, left_s))):
                await self.events[ticket].wait()
            self.open(read_capacity)

    def _conclude(self, ticket: Ticket) -> Ticket | Shed:
        if ticket.state is TicketState.ADMITTED:
            return ticket
        wait_s = max(1.0, self.queue.estimate_wait(self.clock()))
        if ticket.state is TicketState.DISPLACED:
            return Shed("the queue is full", wait_s)
        return Shed("no endpoint had room before the deadline", wait_s)

    def open(self, read_capacity: Callable[[], int]) -> None:
        """Let through what there is room for, and turn away what is late."""
        for ticket in self.queue.admit(read_capacity()):
            self._wake(ticket)
        for ticket in self.queue.expire(self.clock()):
            self._wake(ticket)

    def _wake(self, ticket: Ticket) -> None:
        event = self.events.get(ticket)
        if event is not None:
            event.set()

    def leave(self, ticket: Ticket, read_capacity: Callable[[], int]) -> None:
        """Give a place back."""
        self.queue.leave(ticket, self.clock())
        self.open(read_capacity)


def make_gate(max_waiting: int, clock: Clock) -> Gate:
    """Return a gate without requests."""
    return Gate(AdmissionQueue(max_waiting), clock)
