"""Components of a router that exchange state with peers."""

import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import anyio

from .attempt import AttemptRunner
from .board import Board
from .caller_limits import CallerBudget
from .clocks import Clock
from .dispatch import Dispatcher
from .endpoint_client import EndpointClient
from .gossip import ConfigurationSource, Gossip, make_gossip
from .hosts import make_host_list_client
from .leaving_controller import LeavingController
from .load_reports import LoadReports
from .logs import Log
from .peers import PeerTransport, bind_listener, make_transport, open_peer_server
from .settings import RouterSettings
from .sharing import Sharing
from .supervision import StartTask

__all__ = ["RouterComponents", "Peering", "make_peering", "open_peering"]


@dataclass(frozen=True, slots=True)
class RouterComponents:
    """Components of this router that the controllers of `Peering` use."""

    settings: RouterSettings
    board: Board
    client: EndpointClient
    attempts: AttemptRunner
    dispatcher: Dispatcher
    configuration_source: ConfigurationSource
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
        Address of this router for its peers.
    """

    address: str
    gossip: Gossip
    leaving: LeavingController
    loads: LoadReports
    sharing: Sharing

    async def load_leaving_state(self) -> None:
        """Read leaving endpoints from peers, the host list and load reports."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.gossip.join)
            group.start_soon(self.leaving.read_list)
            group.start_soon(self.loads.poll)
        self.leaving.update(self.leaving.clock())

    def start(self, start: StartTask) -> None:
        """Start the controllers."""
        self.gossip.on_round += [self.sharing.update, self.leaving.update]
        for run in (self.gossip.run, self.leaving.run, self.loads.run):
            start(run)


def _make_leaving(components: RouterComponents, gossip: Gossip) -> LeavingController:
    url = components.settings.hosts_url
    return LeavingController(
        board=components.board,
        writer=components.board.leaving.take_writer("leaving"),
        gossip=gossip,
        hosts=make_host_list_client(url) if url else None,
        clock=components.clock,
    )


def _make_loads(
    components: RouterComponents, gossip: Gossip, leaving: LeavingController
) -> LoadReports:
    return LoadReports(
        board=components.board,
        writer=components.board.load.take_writer("load reports"),
        client=components.client,
        gossip=gossip,
        observe_leaving=leaving.observe_report,
        clock=components.clock,
    )


def _make_sharing(components: RouterComponents, gossip: Gossip) -> Sharing:
    return Sharing(
        gossip=gossip,
        suspects=components.dispatcher.candidates.suspects,
        limiter=components.dispatcher.workspaces,
        writer=components.board.usage.take_writer("sharing"),
        clock=components.clock,
    )


def make_peering(
    components: RouterComponents, address: str, transport: PeerTransport
) -> Peering:
    """Return the controllers of a router whose address for peers is given."""
    gossip = make_gossip(
        components.settings,
        address,
        transport,
        components.configuration_source,
        components.board,
        components.is_ready,
        components.is_stopping,
        components.clock,
        components.wall_clock,
    )
    leaving = _make_leaving(components, gossip)
    loads = _make_loads(components, gossip, leaving)
    peering = Peering(
        address, gossip, leaving, loads, _make_sharing(components, gossip)
    )
    components.attempts.observe_leaving = leaving.observe_answer
    components.dispatcher.share_suspicions = peering.sharing.share
    return peering


@contextlib.asynccontextmanager
async def open_peering(
    components: RouterComponents, start: StartTask, budget: CallerBudget | None = None
) -> AsyncIterator[Peering]:
    """Run the controllers while the context is open, then leave the fleet.

    Parameters
    ----------
    start : callable
        Starts a task that runs while the router serves.
    budget : CallerBudget or None
        What the connections of other routers may hold; None for no limit.
    """
    listener = bind_listener(components.settings.peers_address)
    host, port = listener.getsockname()[:2]
    transport = make_transport(components.settings.peer_key)
    peering = make_peering(components, f"{host}:{port}", transport)
    gossip, codec = peering.gossip, transport.codec
    async with open_peer_server(gossip, codec, listener, components.log, budget):
        peering.start(start)
        yield peering
        await peering.gossip.leave()
    transport.close()
