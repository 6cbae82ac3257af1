"""The part of a router that works with other routers and the host list."""

import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from .attempt import Attempts
from .board import Board
from .clocks import Clock
from .dispatch import Dispatcher
from .engines import EndpointClient
from .gossip import ConfigurationSource, Gossip, make_gossip
from .hosts import make_host_list_client
from .leaving_controller import LeavingController
from .load_reports import LoadReports
from .logs import Log
from .peers import PeerTransport, bind_listener, make_transport, open_peer_server
from .settings import RouterSettings
from .sharing import Sharing

__all__ = ["LocalParts", "Peering", "make_peering", "open_peering"]


@dataclass(frozen=True, slots=True)
class LocalParts:
    """Parts of this router that peers hear of and act on."""

    settings: RouterSettings
    board: Board
    client: EndpointClient
    attempts: Attempts
    dispatcher: Dispatcher
    source: ConfigurationSource
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
    clock: Clock = time.monotonic
    wall_clock: Clock = time.time
    log: Log | None = None


@dataclass(frozen=True, slots=True)
class Peering:
    """Controllers that share state among routers.

    Parameters
    ----------
    address : str
        Where other routers reach this one.
    """

    address: str
    gossip: Gossip
    leaving: LeavingController
    loads: LoadReports
    sharing: Sharing

    async def learn(self) -> None:
        """Learn which endpoints are leaving from everybody who may know."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.gossip.join)
            group.start_soon(self.leaving.read_list)
            group.start_soon(self.loads.poll)
        self.leaving.update(self.leaving.clock())

    def start(self, group: TaskGroup) -> None:
        """Run the controllers in a task group."""
        self.gossip.on_round += [self.sharing.update, self.leaving.update]
        group.start_soon(self.gossip.run)
        group.start_soon(self.leaving.run)
        group.start_soon(self.loads.run)


def _make_leaving(parts: LocalParts, gossip: Gossip) -> LeavingController:
    url = parts.settings.hosts_url
    return LeavingController(
        board=parts.board,
        writer=parts.board.leaving.take_writer("leaving"),
        gossip=gossip,
        hosts=make_host_list_client(url) if url else None,
        clock=parts.clock,
    )


def _make_loads(
    parts: LocalParts, gossip: Gossip, leaving: LeavingController
) -> LoadReports:
    return LoadReports(
        board=parts.board,
        writer=parts.board.load.take_writer("load reports"),
        client=parts.client,
        gossip=gossip,
        observe_leaving=leaving.observe_report,
        clock=parts.clock,
    )


def _make_sharing(parts: LocalParts, gossip: Gossip) -> Sharing:
    return Sharing(
        gossip=gossip,
        suspects=parts.dispatcher.candidates.suspects,
        limiter=parts.dispatcher.workspaces,
        demands=parts.board.usage.take_writer("sharing"),
        clock=parts.clock,
    )


def make_peering(parts: LocalParts, address: str, transport: PeerTransport) -> Peering:
    """Return the controllers of a router that is reached at an address."""
    gossip = make_gossip(
        parts.settings,
        address,
        transport,
        parts.source,
        parts.board,
        parts.is_ready,
        parts.is_stopping,
        parts.clock,
        parts.wall_clock,
    )
    leaving = _make_leaving(parts, gossip)
    loads = _make_loads(parts, gossip, leaving)
    peering = Peering(address, gossip, leaving, loads, _make_sharing(parts, gossip))
    parts.attempts.observe_leaving = leaving.observe_answer
    parts.dispatcher.share = peering.sharing.share
    return peering


@contextlib.asynccontextmanager
async def open_peering(parts: LocalParts, group: TaskGroup) -> AsyncIterator[Peering]:
    """Work with other routers while the context is open, and say goodbye after."""
    listener = bind_listener(parts.settings.peers_address)
    host, port = listener.getsockname()[:2]
    transport = make_transport(parts.settings.peer_key)
    peering = make_peering(parts, f"{host}:{port}", transport)
    gossip, codec = peering.gossip, transport.codec
    async with open_peer_server(gossip, codec, listener, parts.log):
        peering.start(group)
        yield peering
        await peering.gossip.leave()
    transport.close()
