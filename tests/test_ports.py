"""Free ports for tests whose servers need an address before they start."""

import socket

import pytest
from ports import PORT_COUNT, find_free_port, is_free

pytestmark = pytest.mark.sockets


def test_free_ports_are_distinct():
    """A router whose two addresses have the same port fails to start."""
    ports = [find_free_port() for _ in range(PORT_COUNT // 20)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_bound_port_is_not_free(kind):
    port = find_free_port()
    assert is_free(port)
    with socket.socket(socket.AF_INET, kind) as bound:
        bound.bind(("127.0.0.1", port))
        assert not is_free(port)
