"""Fake network from the routers to the store, to each other and to the host list."""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from .hosts import HostGroup
from .ids import HostId, Revision
from .messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Exchange,
    ProbeReply,
    ProbeRequest,
    StatusReply,
    StatusRequest,
)
from .outcomes import Step
from .peers import PeerFailure
from .store import (
    Ambiguous,
    Applied,
    Compare,
    Conflict,
    LeaseGranted,
    LeaseLost,
    MemoryStore,
    Put,
    Snapshot,
    Unavailable,
    WatchEvent,
)

if TYPE_CHECKING:
    from .fault_cluster import RouterProcess, SimulatedCluster

__all__ = ["FakeHostList", "FakePeerTransport", "FakeStoreClient"]

NETWORK_LATENCY_S = 0.001
CALL_TIMEOUT_S = 2.0
STORE_NODE = "store"


@dataclass(slots=True)
class FakeStoreClient:
    """Client of one router process for the key-value service."""

    store: MemoryStore
    cluster: "SimulatedCluster"
    router: HostId
    process: int

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _connect(self) -> Unavailable | None:
        await self.cluster.wait_while_frozen(self.process)
        await anyio.sleep(NETWORK_LATENCY_S)
        if self.cluster.is_partitioned(self.router, STORE_NODE):
            await anyio.sleep(CALL_TIMEOUT_S)
            return Unavailable(Step.CONNECT, STORE_NODE, "no answer")
        return None

    async def read(self, prefix: str) -> Snapshot | Unavailable:
        """Return the items whose keys start with a prefix."""
        return await self._connect() or await self.store.read(prefix)

    async def transact(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> Applied | Conflict | Ambiguous | LeaseLost | Unavailable:
        """Run a transaction; its answer may be lost."""
        unavailable = await self._connect()
        if unavailable is not None:
            return unavailable
        outcome = await self.store.transact(compares, puts)
        await self.cluster.wait_while_frozen(self.process)
        if self.cluster.is_partitioned(self.router, STORE_NODE):
            return Ambiguous(Step.HEADERS, STORE_NODE, "the answer was lost")
        return outcome

    async def watch(self, prefix: str, revision: Revision) -> AsyncIterator[WatchEvent]:
        """Yield changes until the connection breaks."""
        if await self._connect() is not None:
            return
        async for event in self.store.watch(prefix, revision):
            await self.cluster.wait_while_frozen(self.process)
            if self.cluster.is_partitioned(self.router, STORE_NODE):
                return
            yield event

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Return a new lease."""
        return await self._connect() or await self.store.grant_lease(ttl_s)

    async def keep_alive(self, lease: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        return await self._connect() or await self.store.keep_alive(lease)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease."""
        if await self._connect() is None:
            await self.store.revoke_lease(lease)


@dataclass(slots=True)
class FakePeerTransport:
    """Client of one router process for calls to its peers."""

    cluster: "SimulatedCluster"
    router: HostId
    process: int

    async def _connect(
        self, address: str, timeout_s: float
    ) -> "RouterProcess | PeerFailure":
        await self.cluster.wait_while_frozen(self.process)
        await anyio.sleep(NETWORK_LATENCY_S)
        peer = self.cluster.find_process(address)
        if peer is None:
            return PeerFailure(Step.CONNECT, address, "refused")
        if peer.frozen or self.cluster.is_partitioned(self.router, peer.host):
            await anyio.sleep(timeout_s)
            return PeerFailure(Step.CONNECT, address, "no answer")
        return peer

    async def exchange(
        self, address: str, message: Exchange, timeout_s: float
    ) -> Exchange | PeerFailure:
        """Send a gossip message and return the answer."""
        peer = await self._connect(address, timeout_s)
        if isinstance(peer, PeerFailure):
            return peer
        return await peer.peering.gossip.answer_exchange(message)

    async def probe(
        self, address: str, message: ProbeRequest, timeout_s: float
    ) -> ProbeReply | PeerFailure:
        """Ask a router to probe another."""
        peer = await self._connect(address, timeout_s)
        if isinstance(peer, PeerFailure):
            return peer
        return await peer.peering.gossip.answer_probe(message)

    async def fetch_configuration(
        self, address: str, message: ConfigurationRequest, timeout_s: float
    ) -> ConfigurationReply | PeerFailure:
        """Fetch a newer configuration from a router."""
        peer = await self._connect(address, timeout_s)
        if isinstance(peer, PeerFailure):
            return peer
        return await peer.peering.gossip.answer_configuration(message)

    async def read_status(
        self, address: str, timeout_s: float
    ) -> StatusReply | PeerFailure:
        """Read the status of a router."""
        peer = await self._connect(address, timeout_s)
        if isinstance(peer, PeerFailure):
            return peer
        return await peer.peering.gossip.answer_status(StatusRequest())


@dataclass(slots=True)
class FakeHostList:
    """The host list, which may lag, be unavailable or omit hosts."""

    cluster: "SimulatedCluster"
    process: int

    async def read(self) -> list[HostGroup] | PeerFailure:
        """Return the listed host groups."""
        await self.cluster.wait_while_frozen(self.process)
        await anyio.sleep(NETWORK_LATENCY_S)
        if self.cluster.host_list_down:
            return PeerFailure(Step.CONNECT, "host list", "refused")
        return self.cluster.list_hosts()
