"""Reads the list of routers from one router, then the state of each."""

from dataclasses import dataclass, field

import anyio

from .members import MemberState
from .messages import MemberRecord, StatusReply
from .peers import PeerFailure, PeerTransport

__all__ = ["FleetStatus", "RouterStatus", "read_fleet_status"]

TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 16


@dataclass(frozen=True, slots=True)
class RouterStatus:
    """State of one router, as reported by itself if it answered.

    Parameters
    ----------
    state : str
        Name of its ``MemberState`` in the member table of the first router.
    revision : int or None
        Revision of the configuration in force; None when the router did not answer.
    """

    host: str
    address: str
    failure_domain: str
    state: str
    reachable: bool = False
    revision: int | None = None
    version: str = ""
    ready: bool = False
    stopping: bool = False
    leaving: tuple[str, ...] = ()


@dataclass(slots=True)
class FleetStatus:
    """State of all routers that the first router knows."""

    routers: list[RouterStatus] = field(default_factory=list)

    @property
    def revision(self) -> int:
        """Newest configuration revision in force on any router."""
        return max((r.revision or 0 for r in self.routers), default=0)

    def list_outdated(self) -> list[str]:
        """Return the reachable routers whose configuration is not the newest."""
        newest = self.revision
        return [r.host for r in self.routers if r.reachable and r.revision != newest]


def _describe(record: MemberRecord, reply: StatusReply | PeerFailure) -> RouterStatus:
    state = MemberState(min(record.state, MemberState.LEFT)).name.lower()
    if isinstance(reply, PeerFailure):
        return RouterStatus(record.host, record.address, record.failure_domain, state)
    return RouterStatus(
        host=record.host,
        address=record.address,
        failure_domain=record.failure_domain,
        state=state,
        reachable=True,
        revision=reply.revision,
        version=reply.version,
        ready=reply.ready,
        stopping=reply.stopping,
        leaving=tuple(reply.leaving),
    )


async def read_fleet_status(
    transport: PeerTransport, address: str
) -> FleetStatus | PeerFailure:
    """Read the members from the router at an address, then the state of each."""
    first = await transport.read_status(address, TIMEOUT_S)
    if isinstance(first, PeerFailure):
        return first
    fleet = FleetStatus()
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def read(record: MemberRecord) -> None:
        async with limiter:
            reply = await transport.read_status(record.address, TIMEOUT_S)
        fleet.routers.append(_describe(record, reply))

    async with anyio.create_task_group() as group:
        for record in first.members:
            group.start_soon(read, record)
    fleet.routers.sort(key=lambda router: router.host)
    return fleet
