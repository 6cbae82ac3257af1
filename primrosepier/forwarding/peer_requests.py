"""Requests to other routers over datagrams, and their replies."""

import random
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Generic, TypeVar

import anyio

__all__ = ["REPLY_TIMEOUTS_S", "PeerRequests"]

# Times to wait for another router's reply before a request is sent again or, after the
# last, given up, seconds: several round trips each, since a datagram may be lost.
REPLY_TIMEOUTS_S = (0.05, 0.05)
NUMBER_BITS = 48

Reply = TypeVar("Reply")


@dataclass(slots=True)
class _Pending(Generic[Reply]):
    replied: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None


def make_numbers() -> Iterator[int]:
    """Return consecutive numbers that differ from those of an earlier process."""
    return count(random.getrandbits(NUMBER_BITS))


@dataclass(slots=True)
class PeerRequests(Generic[Reply]):
    """Requests that wait for a reply, by number."""

    pending: dict[int, _Pending[Reply]] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=make_numbers)

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
        number = next(self.numbers)
        pending = self.pending[number] = _Pending[Reply]()
        try:
            for timeout_s in timeouts_s:
                if not await send(number):
                    return None
                with anyio.move_on_after(timeout_s):
                    await pending.replied.wait()
                    return pending.reply
            return None
        finally:
            del self.pending[number]

    def apply(self, number: int, reply: Reply) -> None:
        """Pass a reply on to the request that it belongs to, if it still waits."""
        pending = self.pending.get(number)
        if pending is not None:
            pending.reply = reply
            pending.replied.set()
