"""Stand-in for the host list, in the format of Prometheus HTTP service discovery.

``GET /`` returns ``[{"targets": ["IP:PORT"], "labels": {"endpoint": NAME,
"failure_domain": D, "state": "live"}}]``; a host that is leaving has the state
``leaving``, and a removed host is not listed. The list may be out of date.
``POST /standin/hosts`` with ``{"endpoint", "state"}`` changes a host's state
(``live``, ``leaving`` or ``gone``), and ``POST /standin/faults`` with ``{"down",
"lag_s", "empty"}`` makes it fail, lag, or return an empty list.
"""

import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from .asgi import Receive, Scope, Send, read_json, send_json
from .errors import RequestError

__all__ = ["HostEntry", "HostState", "HostsFaults", "HostsStandin"]

MAX_BODY_BYTES = 64 * 1024


class HostState(Enum):
    """State of a host in the list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host of the list."""

    endpoint: str
    address: str
    failure_domain: str
    state: HostState = HostState.LIVE


@dataclass(slots=True)
class HostsFaults:
    """Injected faults of the host list.

    Parameters
    ----------
    lag_s : float
        Age of the returned list in seconds.
    down : bool
        Answer calls for the list with 503.
    empty : bool
        Return an empty list.
    """

    lag_s: float = 0.0
    down: bool = False
    empty: bool = False


@dataclass(slots=True)
class HostsStandin:
    """ASGI app that serves the list of hosts.

    Parameters
    ----------
    changes : list of tuple
        Monotonic time of each change in seconds, and the hosts after the change.
    """

    changes: list[tuple[float, dict[str, HostEntry]]] = field(
        default_factory=lambda: [(float("-inf"), {})]
    )
    faults: HostsFaults = field(default_factory=HostsFaults)

    def set_host(self, entry: HostEntry) -> None:
        """Add or replace a host."""
        hosts = dict(self.changes[-1][1])
        hosts[entry.endpoint] = entry
        self.changes.append((time.monotonic(), hosts))

    def set_state(self, endpoint: str, state: HostState) -> None:
        """Change the state of a host.

        Raises
        ------
        KeyError
            The host is not in the list.
        """
        previous = self.changes[-1][1][endpoint]
        entry = HostEntry(endpoint, previous.address, previous.failure_domain, state)
        self.set_host(entry)

    def list_hosts(self, now_s: float) -> list[HostEntry]:
        """Return the hosts that the list shows at a time, given its faults."""
        if self.faults.empty:
            return []
        visible: dict[str, HostEntry] = {}
        for changed_at_s, hosts in self.changes:
            if changed_at_s <= now_s - self.faults.lag_s:
                visible = hosts
        return [host for host in visible.values() if host.state is not HostState.GONE]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        try:
            await self._route(scope, receive, send)
        except RequestError as error:
            await send_json(send, error.status, {"error": error.message})

    async def _route(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        if path == "/standin/hosts":
            self._change_state(await read_json(receive, MAX_BODY_BYTES))
            await send_json(send, 200, {})
        elif path == "/standin/faults":
            self._set_faults(await read_json(receive, MAX_BODY_BYTES))
            await send_json(send, 200, {})
        elif self.faults.down:
            raise RequestError(503, "unavailable", "The list is down.")
        else:
            hosts = self.list_hosts(time.monotonic())
            await send_json(send, 200, [_encode_host(host) for host in hosts])

    def _change_state(self, body: dict[str, Any]) -> None:
        try:
            self.set_state(str(body.get("endpoint")), HostState(body.get("state")))
        except (KeyError, ValueError) as cause:
            raise RequestError(400, "invalid_request", repr(cause)) from cause

    def _set_faults(self, body: dict[str, Any]) -> None:
        self.faults.down = bool(body.get("down", self.faults.down))
        self.faults.empty = bool(body.get("empty", self.faults.empty))
        self.faults.lag_s = float(body.get("lag_s", self.faults.lag_s))


def _encode_host(host: HostEntry) -> dict[str, Any]:
    labels = {
        "endpoint": host.endpoint,
        "failure_domain": host.failure_domain,
        "state": host.state.value,
    }
    return {"targets": [host.address], "labels": labels}
