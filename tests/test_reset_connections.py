"""Routers whose connections to the store are reset, over real sockets."""

import anyio
import entry_fleet
import pytest
from entry_fleet import run_entry

from primrosepier.asgi import abort_connection
from primrosepier.platform.standins import StandinStore

pytestmark = pytest.mark.sockets


class ResettingStore(StandinStore):
    """Store whose connections can be reset."""

    def __init__(self):
        super().__init__()
        self.sends = []

    async def __call__(self, scope, receive, send):
        self.sends.append(send)
        await super().__call__(scope, receive, send)

    def reset_connections(self):
        for send in self.sends:
            abort_connection(send)
        self.sends.clear()


@pytest.fixture
def resetting_store(monkeypatch):
    monkeypatch.setattr(entry_fleet, "StandinStore", ResettingStore)


@pytest.mark.usefixtures("resetting_store")
def test_no_call_reaches_a_replica_that_leaves_while_its_router_reconnects():
    """Guards against a reset connection taken for an outage of the store."""

    async def check(fleet):
        left = fleet.replicas["app1"]
        while not left.arrivals:
            await fleet.send("/lookup/1")
        fleet.store.reset_connections()
        await anyio.sleep(0.02)
        fleet.store.remove("servers/app1")
        await anyio.sleep(fleet.settings.drain_s)
        arrivals = left.arrivals
        for number in range(40):
            assert (await fleet.send(f"/lookup/{number}")).status == 200
            await anyio.sleep(0.02)
        assert left.arrivals == arrivals

    run_entry(check)
