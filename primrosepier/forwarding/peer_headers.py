"""Headers that routers add to the calls that they pass on, and to the responses."""

from ..decoding import parse_count
from ..ids import EndpointId
from .calls import CallHeaders
from .fleet import Replica

__all__ = [
    "LEAVING_HEADER",
    "NOT_RUN_HEADER",
    "TOKEN_HEADER",
    "is_routers_header",
    "read_leaving_process",
    "write_leaving_process",
]

# Begins the names of all headers between routers. None of them reaches a replica or a
# caller, so that a later build may add some.
ROUTERS_HEADER_PREFIX = b"x-router-"
# Shows a router that a call comes from another one.
TOKEN_HEADER = b"x-router-token"
# In a router's own response to another one: the call has not run.
NOT_RUN_HEADER = b"x-router-not-run"
# Names the process of the replica whose response says that it is leaving.
LEAVING_HEADER = b"x-router-leaving"


def is_routers_header(name: bytes) -> bool:
    """Return whether a header is one between routers."""
    return name.lower().startswith(ROUTERS_HEADER_PREFIX)


def write_leaving_process(replica: Replica) -> tuple[bytes, bytes]:
    """Return the header that tells another router which replica is leaving."""
    return LEAVING_HEADER, f"{replica.id} {replica.born_ms}".encode("latin-1")


def read_leaving_process(headers: CallHeaders) -> tuple[EndpointId, int] | None:
    """Return the id and the start, in Unix milliseconds, of the leaving replica.

    It is None if no replica is named.
    """
    for name, value in headers:
        endpoint, _, text = value.decode("latin-1").rpartition(" ")
        born_ms = parse_count(text)
        if name.lower() == LEAVING_HEADER and born_ms is not None:
            return EndpointId(endpoint), born_ms
    return None
