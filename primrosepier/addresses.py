"""Addresses of the form ``IP:PORT``."""

import re
from ipaddress import ip_address

__all__ = ["Address", "parse_address"]

PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535

Address = tuple[str, int]


def parse_address(text: str) -> Address | None:
    """Parse ``IP:PORT``; return None if it is not an address that can be sent to."""
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
    except ValueError:
        return None
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    return host, int(port)
