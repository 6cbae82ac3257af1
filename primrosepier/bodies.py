"""Reading of request bodies for which the process has memory."""

import random

from .asgi import Receive, Scope, check_size, find_header, read_body
from .byte_budget import Reservation
from .decoding import parse_count
from .errors import RequestError

__all__ = ["read_admitted_body"]

# Range of the Retry-After of a request that was refused for want of memory, seconds.
# Requests with large bodies take about as long, and not all of them return at once.
MEMORY_RETRY_AFTER_S = (0.5, 1.5)


async def read_admitted_body(
    scope: Scope,
    receive: Receive,
    limit_bytes: int,
    limit_s: float,
    reservation: Reservation,
    rng: random.Random,
) -> bytes:
    """Read a body within a reservation, which grows as its parts arrive.

    A body that finds no room is refused rather than left unread: its caller can go to
    another router, and bodies that wait for each other's room would all be late.

    Raises
    ------
    RequestError
        The body exceeds the limit or the time-out, it finds no room, or the caller
        disconnected.
    """

    def admit(size: int) -> None:
        if not reservation.try_grow(size):
            text = "The router has no memory for the body."
            after_s = rng.uniform(*MEMORY_RETRY_AFTER_S)
            raise RequestError(503, "memory_full", text, retry_after_s=after_s)

    declared = parse_count(find_header(scope, "content-length")) or 0
    check_size(declared, limit_bytes)
    admit(declared)
    return await read_body(receive, limit_bytes, limit_s, admit)
