"""Addresses of the form ``IP:PORT``."""

import re
from functools import lru_cache
from ipaddress import ip_address

__all__ = ["Address", "parse_address", "parse_port"]

PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
# Addresses whose result is kept: routers send to the same ones again and again.
MAX_CACHED = 4096

Address = tuple[str, int]


def parse_port(text: str) -> int | None:
    """Parse a port; 0 stands for any. Return None for anything else."""
    if not PORT.fullmatch(text) or int(text) > MAX_PORT:
        return None
    return int(text)


@lru_cache(MAX_CACHED)
def parse_address(text: str) -> Address | None:
    """Parse ``IP:PORT``; return None if it is not an address that can be sent to."""
    host, _, port_text = text.rpartition(":")
    try:
        ip_address(host)
    except ValueError:
        return None
    port = parse_port(port_text)
    return (host, port) if port else None
