"""Ports for tests whose servers need an address before they start."""

import itertools
import os
import socket

# Below the default ephemeral range of Linux: neither an outgoing connection nor a
# server on port 0 takes such a port before the test binds it.
FIRST_PORT = 20_000
PORT_COUNT = 12_000
PORTS_PER_PROCESS = 300

_offsets = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe_socket:
            try:
                probe_socket.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def find_free_port():
    """Return a free port that no earlier call of this process has returned."""
    for offset in itertools.islice(_offsets, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        if is_free(port):
            return port
    raise OSError("no free port")
