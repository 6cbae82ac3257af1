"""Callers that have left before their request is read, over real sockets."""

import socket
import struct

import anyio
import pytest
from clients import call
from entry_fleet import HOST, KEY, run_entry

from primrosepier.demo import open_demo
from primrosepier.endpoint_client import HttpEndpointClient
from primrosepier.forwarding.peer_headers import TOKEN_HEADER

pytestmark = pytest.mark.sockets
REQUEST = """POST {path} HTTP/1.1
Host: {host}
Authorization: Bearer {key}
Attempt-Id: a{number}
Deadline-Ms: 2000
Content-Length: 0
{more}
"""
CALLERS = 40
PATH = "/services/roster-app/walkers"


def send_and_leave(address, number, is_reset=False, path="/lookup/1", key=KEY, more=""):
    """Send a request and close the connection before the router can read it."""
    host, _, port = address.rpartition(":")
    text = REQUEST.format(path=path, number=number, host=HOST, key=key, more=more)
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(text.replace("\n", "\r\n").encode())
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def keep_connections(fleet):
    """Leave the router a connection to a replica for each caller."""
    for replica in fleet.replicas.values():
        replica.faults.delay_s = 0.3
    async with anyio.create_task_group() as group:
        for number in range(CALLERS):
            group.start_soon(fleet.send, f"/lookup/{number}")
    for replica in fleet.replicas.values():
        replica.faults.delay_s = 0.0


@pytest.mark.parametrize("is_reset", [False, True])
def test_no_request_whose_caller_has_left_reaches_a_replica(is_reset):
    """Guards against work for callers that left while the router stood still."""

    async def check(fleet):
        await keep_connections(fleet)
        arrivals = fleet.count_arrivals()
        for number in range(CALLERS):
            address = fleet.routers[0].callers_address
            send_and_leave(address, number, is_reset)
        await anyio.sleep(0.5)
        assert fleet.count_arrivals() == arrivals

    run_entry(check)


def test_no_call_passed_on_by_a_router_that_has_left_reaches_a_replica():
    async def check(fleet):
        await keep_connections(fleet)
        arrivals = fleet.count_arrivals()
        router = fleet.routers[0]
        token = f"{TOKEN_HEADER.decode()}: {router.peers.directory.token}\n"
        for number in range(CALLERS):
            send_and_leave(router.settings.peers_address, number, more=token)
        await anyio.sleep(0.5)
        assert fleet.count_arrivals() == arrivals

    run_entry(check)


def test_no_request_of_our_interface_whose_caller_has_left_reaches_an_endpoint():
    async def run():
        async with open_demo() as demo:
            client, address = HttpEndpointClient(), demo.routers[0].callers_address
            key = ("authorization", "Bearer demo-handovers")

            async def send(number):
                await call(client, address, "GET", f"{PATH}/{number}", None, [key])

            apps = demo.standins.plain.values()
            async with anyio.create_task_group() as group:
                for number in range(CALLERS):
                    group.start_soon(send, number)
            calls = sum(len(app.calls) for app in apps)
            for number in range(CALLERS):
                send_and_leave(address, number, path=f"{PATH}/1", key="demo-handovers")
            await anyio.sleep(0.5)
            assert sum(len(app.calls) for app in apps) == calls
            await client.close()

    anyio.run(run)
