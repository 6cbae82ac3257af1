"""Choice of the neighbours that a router exchanges messages with."""

from collections.abc import Iterable

import xxhash

from .ids import HostId

__all__ = ["choose_neighbours"]

ALL_PAIRS_MEMBERS = 12


def _compute_position(host: HostId) -> tuple[int, HostId]:
    return (xxhash.xxh64_intdigest(host.encode()), host)


def choose_neighbours(own: HostId, members: Iterable[HostId]) -> tuple[HostId, ...]:
    """Return the members that a router probes and forwards to.

    Members are ordered on a ring by their hashes, and the neighbours are those at
    distances 1, 2, 4 and so on. Every member has about ``log2(n)`` neighbours and is
    probed by as many. Small fleets are fully connected.

    Parameters
    ----------
    own : HostId
    members : iterable of HostId
        Live members; may include ``own``.
    """
    others = set(members) - {own}
    if len(others) < ALL_PAIRS_MEMBERS:
        return tuple(sorted(others))
    ring = sorted(_compute_position(host) for host in others | {own})
    start = ring.index(_compute_position(own))
    distance = 1
    neighbours = []
    while distance < len(ring):
        neighbours.append(ring[(start + distance) % len(ring)][1])
        distance *= 2
    return tuple(neighbours)
