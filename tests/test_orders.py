import anyio
import pytest

from primrosepier.asgi import open_server
from primrosepier.configuration import Endpoint
from primrosepier.endpoint_client import make_endpoint_client
from primrosepier.orders import (
    EndpointOrders,
    LoadOrder,
    OrderAccepted,
    OrderFailed,
    OrderRefused,
)
from primrosepier.standin_engine import make_engine_standin


@pytest.mark.sockets
def test_an_engine_accepts_load_orders_and_refuses_old_fencing_numbers():
    async def run():
        engine = make_engine_standin()
        client = make_endpoint_client()
        orders = EndpointOrders(client)
        async with open_server(engine, "127.0.0.1:0") as address:
            endpoint = Endpoint("e", "s", address, "d")
            accepted = await orders.send(endpoint, LoadOrder(7, "m", "2"), 5.0)
            assert isinstance(accepted, OrderAccepted)
            refused = await orders.send(endpoint, LoadOrder(6, "m", "3"), 5.0)
            assert refused == OrderRefused(7)
            with anyio.fail_after(10):
                while (state := await orders.read(endpoint)).loading:
                    await anyio.sleep(0.02)
            assert (state.version, state.fencing) == ("2", 7)
        failed = await orders.send(endpoint, LoadOrder(8, "m", "3"), 0.5)
        assert isinstance(failed, OrderFailed)
        assert await orders.read(endpoint) is None
        await client.close()

    anyio.run(run)
