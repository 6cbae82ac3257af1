"""Requests to other routers over datagrams, and their replies."""

import contextlib
import random
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Generic, TypeVar

import anyio

__all__ = ["REPLY_TIMEOUTS_S", "PeerRequests", "PendingRequest"]

# Times to wait for another router's reply before a request is sent again or, after the
# last, given up, seconds: several round trips each, since a datagram may be lost.
REPLY_TIMEOUTS_S = (0.05, 0.05)
NUMBER_BITS = 48

Reply = TypeVar("Reply")


@dataclass(slots=True)
class PendingRequest(Generic[Reply]):
    """A request with a number; later replies replace earlier ones."""

    number: int
    replied: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None

    async def wait(self, timeout_s: float) -> Reply | None:
        """Return the next reply; None if none comes in time."""
        with anyio.move_on_after(timeout_s):
            await self.replied.wait()
        reply, self.reply = self.reply, None
        self.replied = anyio.Event()
        return reply


def make_numbers() -> Iterator[int]:
    """Return consecutive numbers that differ from those of an earlier process."""
    return count(random.getrandbits(NUMBER_BITS))


@dataclass(slots=True)
class PeerRequests(Generic[Reply]):
    """Requests that wait for a reply, by number."""

    pending: dict[int, PendingRequest[Reply]] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=make_numbers)

    @contextlib.contextmanager
    def open(self) -> Iterator[PendingRequest[Reply]]:
        """Provide a request with a new number, which may get replies meanwhile."""
        number = next(self.numbers)
        self.pending[number] = PendingRequest(number)
        try:
            yield self.pending[number]
        finally:
            del self.pending[number]

    async def ask(
        self,
        send: Callable[[int], Awaitable[bool]],
        timeouts_s: Sequence[float] = REPLY_TIMEOUTS_S,
    ) -> Reply | None:
        """Send a request and return its reply; None if none comes.

        Parameters
        ----------
        send : callable
            Sends the request with a number; returns whether it is on its way.
        timeouts_s : sequence of float
            Time to wait for the reply after each time that it is sent, seconds.
        """
        with self.open() as pending:
            for timeout_s in timeouts_s:
                if not await send(pending.number):
                    return None
                reply = await pending.wait(timeout_s)
                if reply is not None:
                    return reply
        return None

    def apply(self, number: int, reply: Reply) -> None:
        """Pass a reply on to the request that it belongs to, if it still waits."""
        pending = self.pending.get(number)
        if pending is not None:
            pending.reply = reply
            pending.replied.set()
