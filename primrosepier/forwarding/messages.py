"""Messages between routers that each go to one of them, unlike the reports of load."""

import msgspec

from ..decoding import decode_msgpack
from ..errors import MessageError
from .cuts import LinksMessage
from .origins import OriginMessage
from .permits import PermitMessage
from .report_groups import CollectedReports, GroupReport
from .room.messages import PrefillMessage

__all__ = ["PeerDatagram", "PeerMessage", "decode_peer_datagram", "is_peer_datagram"]

# First byte of a short map (MessagePack specification).
MAP_PREFIXES = frozenset(bytes([prefix]) for prefix in range(0x80, 0x90))

PeerMessage = (
    PermitMessage
    | OriginMessage
    | LinksMessage
    | GroupReport
    | CollectedReports
    | PrefillMessage
)


class PeerDatagram(msgspec.Struct, frozen=True):
    """Message with the receiver's token, from its entry in the store."""

    token: str
    message: PeerMessage


def is_peer_datagram(data: bytes) -> bool:
    """Return whether a datagram holds a map, unlike the reports of load."""
    return data[:1] in MAP_PREFIXES


def decode_peer_datagram(data: bytes, token: str) -> PeerMessage | None:
    """Return the message of a datagram; None if it is not one for the token's owner."""
    try:
        datagram = decode_msgpack(data, PeerDatagram)
    except MessageError:
        return None
    return datagram.message if datagram.token == token else None
