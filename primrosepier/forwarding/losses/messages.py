"""The section of the routers' reports that names lost replicas."""

from collections.abc import Iterable, Sequence

import msgspec

from ...decoding import Count, decode_msgpack
from ...ids import EndpointId

__all__ = [
    "MAX_REPORTED",
    "ReportedLoss",
    "decode_losses",
    "encode_losses",
]

# Losses in one report, which has to fit a datagram with the rest of it.
MAX_REPORTED = 64


class ReportedLoss(msgspec.Struct, frozen=True, array_like=True):
    """A replica that the sender can't reach.

    Parameters
    ----------
    born_ms : int
        Start of its process, Unix milliseconds, as its entry names it; 0 if unknown. A
        process that has started since is not meant.
    """

    endpoint: EndpointId
    born_ms: Count = 0


def encode_losses(losses: Iterable[ReportedLoss]) -> bytes:
    """Return the content of the section; empty if there are no losses."""
    reported = list(losses)[:MAX_REPORTED]
    return msgspec.msgpack.encode(reported) if reported else b""


def decode_losses(content: bytes) -> Sequence[ReportedLoss]:
    """Return the losses in a section.

    Raises
    ------
    MessageError
        The content can't be read.
    """
    return decode_msgpack(content, list[ReportedLoss])[:MAX_REPORTED]
