"""Reads the host list in the form of Prometheus HTTP service discovery."""

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlsplit

import httpcore
import msgspec

from .configuration import Configuration
from .decoding import decode_json
from .errors import MessageError
from .ids import EndpointId
from .leaving import ListedState
from .outcomes import Step
from .peers import PeerFailure

__all__ = [
    "HostGroup",
    "HostListClient",
    "decode_hosts",
    "list_routers",
    "make_host_list_client",
    "match_hosts",
]

TIMEOUT_S = 2.0
HTTP_OK = 200
MAX_LIST_BYTES = 8 * 1024 * 1024
ROUTER_ROLE = "router"
LEAVING_VALUES = frozenset({"1", "true", "yes", "leaving"})

Label = Annotated[str, msgspec.Meta(max_length=1024)]


class HostGroup(msgspec.Struct, frozen=True):
    """Targets with their common labels."""

    targets: list[Label] = []
    labels: dict[Label, Label] = {}

    def is_leaving(self) -> bool:
        """Return whether the labels mark the hosts as leaving."""
        values = (self.labels.get("state", ""), self.labels.get("leaving", ""))
        return any(value.lower() in LEAVING_VALUES for value in values)


def decode_hosts(data: bytes) -> list[HostGroup] | PeerFailure:
    """Decode a host list."""
    try:
        return decode_json(data, list[HostGroup], MAX_LIST_BYTES)
    except MessageError as error:
        return PeerFailure(Step.HEADERS, "host list", str(error))


def match_hosts(
    groups: list[HostGroup], configuration: Configuration
) -> dict[EndpointId, ListedState]:
    """Return the state of each listed endpoint, matched by address."""
    states = {}
    for group in groups:
        state = ListedState.LEAVING if group.is_leaving() else ListedState.LIVE
        states.update(dict.fromkeys(group.targets, state))
    return {
        endpoint.id: states[endpoint.address]
        for endpoint in configuration.endpoints.values()
        if endpoint.address in states
    }


def list_routers(groups: list[HostGroup]) -> list[str]:
    """Return the peer addresses of the listed routers that are not leaving."""
    return [
        target
        for group in groups
        if group.labels.get("role") == ROUTER_ROLE and not group.is_leaving()
        for target in group.targets
    ]


@dataclass(slots=True)
class HostListClient:
    """Client of the platform's host list, which contains endpoints and routers.

    Parameters
    ----------
    url : str
        ``http://IP:PORT/PATH``.
    """

    url: str
    pool: httpcore.AsyncConnectionPool

    async def read(self) -> list[HostGroup] | PeerFailure:
        """Read the list and return its groups."""
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        peer = urlsplit(self.url).netloc
        try:
            response = await self.pool.request(
                "GET", self.url, extensions={"timeout": timeouts}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            return PeerFailure(Step.CONNECT, peer, repr(error))
        except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
            return PeerFailure(Step.HEADERS, peer, repr(error))
        if response.status != HTTP_OK:
            return PeerFailure(Step.HEADERS, peer, f"status {response.status}")
        if len(response.content) > MAX_LIST_BYTES:
            return PeerFailure(
                Step.HEADERS, peer, "the host list exceeds the size limit"
            )
        return decode_hosts(response.content)

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


def make_host_list_client(url: str) -> HostListClient:
    """Return a client of the host list at a URL."""
    return HostListClient(url, httpcore.AsyncConnectionPool(max_connections=1))
