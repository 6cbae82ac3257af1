"""Bound on the bytes that a process holds for the requests in progress."""

import contextlib
import math
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["ByteBudget", "Reservation", "make_byte_budget"]

# Size up to which a body is small, bytes: as much as the server reads ahead of any
# request.
SMALL_BYTES = 64 * 1024
# Share of the process's memory for the bodies of requests in progress. A body may take
# this twice while its parts are joined; the rest is for the process and for responses.
MEMORY_SHARE = 0.2
# Share of the budget that large bodies may fill, so that they keep no small ones out.
LARGE_SHARE = 0.8


@dataclass(slots=True)
class ByteBudget:
    """Bytes that the requests in progress may hold together.

    Parameters
    ----------
    limit_bytes : float
        Infinite for no limit.

    Attributes
    ----------
    used_bytes : int
        Bytes that are reserved now.
    """

    limit_bytes: float = math.inf
    used_bytes: int = 0

    @contextlib.contextmanager
    def open(self) -> Iterator["Reservation"]:
        """Yield a reservation of no bytes yet, which ends with the context."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            self.used_bytes -= reservation.size


@dataclass(slots=True)
class Reservation:
    """Bytes that one request holds.

    Attributes
    ----------
    size : int
        Bytes that are reserved.
    """

    budget: ByteBudget
    size: int = 0

    def try_grow(self, size: int) -> bool:
        """Reserve this many bytes in all; return whether the budget has room."""
        added = max(0, size - self.size)
        share = 1.0 if size <= SMALL_BYTES else LARGE_SHARE
        if added and self.budget.used_bytes + added > share * self.budget.limit_bytes:
            return False
        self.budget.used_bytes += added
        self.size += added
        return True


def make_byte_budget(memory_bytes: float) -> ByteBudget:
    """Return the budget of a process that may use so much memory."""
    return ByteBudget(MEMORY_SHARE * memory_bytes)
