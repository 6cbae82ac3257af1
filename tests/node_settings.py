"""Settings file of a router as a process."""

from ports import find_free_port

SETTINGS = """
nodeName = "front-1"
ip = "127.0.0.1"
zone = "rennes"
internalPorts = [{ports[0]}, {ports[0]}]
[listen]
frontend = "127.0.0.1:{ports[1]}"
readiness = "127.0.0.1:{ports[2]}"
[platform]
address = "{store}"
{tables}
"""


def make_node_settings(store="127.0.0.1:1", tables=""):
    """Return the text of a file, and the ports for peers, callers and readiness."""
    ports = [find_free_port() for _ in range(3)]
    return SETTINGS.format(ports=ports, store=store, tables=tables), ports
