"""Admission gate in front of the endpoints of one service."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from .admission import AdmissionQueue, Shed, Ticket, TicketState
from .clocks import Clock
from .configuration import Workspace

__all__ = ["Gate", "make_gate"]

CAPACITY_CHECK_S = 0.1


def is_never_closed() -> bool:
    """Return False; used where waiting requests are never turned away."""
    return False


@dataclass(slots=True)
class Gate:
    """Blocks requests until the admission queue admits them.

    Parameters
    ----------
    events : dict of Ticket to anyio.Event
        Events that are set when a waiting ticket changes state.
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
        is_closed: Callable[[], bool] = is_never_closed,
    ) -> Ticket | Shed:
        """Wait until the request is admitted or shed.

        Parameters
        ----------
        wait_s : float
            Maximum wait in seconds.
        read_capacity : callable
            Returns the number of requests that may run at the same time.
        is_closed : callable
            Returns whether no request that waits is to be admitted.
        """
        now_s = self.clock()
        result, displaced = self.queue.offer(
            workspace.id, workspace.weight, priority, now_s + wait_s, now_s
        )
        if isinstance(result, Shed):
            return result
        if displaced is not None:
            self._wake(displaced)
        self.events[result] = anyio.Event()
        try:
            await self._wait(result, read_capacity, is_closed)
        except BaseException:
            self.leave(result, read_capacity)
            raise
        finally:
            self.events.pop(result, None)
        return self._get_result(result)

    async def _wait(
        self,
        ticket: Ticket,
        read_capacity: Callable[[], int],
        is_closed: Callable[[], bool],
    ) -> None:
        self.admit_waiting(read_capacity)
        while ticket.state is TicketState.WAITING:
            if is_closed():
                self.queue.leave(ticket, self.clock())
                return
            left_s = ticket.deadline_s - self.clock()
            with anyio.move_on_after(max(0.0, min(CAPACITY_CHECK_S, left_s))):
                await self.events[ticket].wait()
            self.admit_waiting(read_capacity)

    def _get_result(self, ticket: Ticket) -> Ticket | Shed:
        if ticket.state is TicketState.ADMITTED:
            return ticket
        wait_s = max(1.0, self.queue.estimate_wait(self.clock()))
        if ticket.state is TicketState.DISPLACED:
            return Shed("the queue is full", wait_s)
        if ticket.state is TicketState.LEFT:
            return Shed("no waiting request is admitted", wait_s)
        return Shed("no endpoint had room before the deadline", wait_s)

    def admit_waiting(self, read_capacity: Callable[[], int]) -> None:
        """Admit waiting requests up to the capacity, and expire late ones."""
        for ticket in self.queue.admit(read_capacity()):
            self._wake(ticket)
        for ticket in self.queue.expire(self.clock()):
            self._wake(ticket)

    def _wake(self, ticket: Ticket) -> None:
        event = self.events.get(ticket)
        if event is not None:
            event.set()

    def leave(self, ticket: Ticket, read_capacity: Callable[[], int]) -> None:
        """Remove a request that ended or was abandoned, and admit waiting ones."""
        self.queue.leave(ticket, self.clock())
        self.admit_waiting(read_capacity)


def make_gate(max_waiting: int, clock: Clock) -> Gate:
    """Return an empty gate."""
    return Gate(AdmissionQueue(max_waiting), clock)
