"""Messages between routers and their codec.

Fields are only ever appended. A decoder ignores unknown fields and uses the defaults
of fields that an older sender did not include.
"""

import hashlib
import hmac
from typing import Annotated, Any

import msgspec
from grpclib.encoding.base import CodecBase

from .decoding import Count, decode_msgpack
from .errors import MessageError

__all__ = [
    "MAX_MESSAGE_BYTES",
    "ConfigurationReply",
    "ConfigurationRequest",
    "DigestRecord",
    "Exchange",
    "MemberRecord",
    "PeerCodec",
    "ProbeReply",
    "ProbeRequest",
    "StatusReply",
    "StatusRequest",
    "decode_message",
    "encode_message",
]

MAC_BYTES = 16
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_TTL_MS = 24 * 3600 * 1000

Name = Annotated[str, msgspec.Meta(max_length=128)]
TtlMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TTL_MS)]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one member as reported by a router.

    Parameters
    ----------
    state : int
        Value of a ``MemberState``; records with an unknown value are ignored.
    """

    host: Name
    address: Name = ""
    failure_domain: Name = ""
    incarnation: Count = 0
    state: Count = 0


class DigestRecord(msgspec.Struct, frozen=True, array_like=True):
    """Latest value that a host published under a name.

    Parameters
    ----------
    incarnation, counter : int
        Version of the value; the greater pair is newer.
    ttl_ms : int
        Time until the value expires, milliseconds.
    urgent : bool
        Whether to forward the value immediately instead of with the next probe.
    """

    name: Name
    host: Name
    incarnation: Count = 0
    counter: Count = 0
    ttl_ms: TtlMs = 0
    data: bytes = b""
    urgent: bool = False


class Exchange(msgspec.Struct, frozen=True, array_like=True):
    """A probe or its answer, with the sender's pending updates.

    Parameters
    ----------
    revision : int
        Configuration revision in force at the sender; 0 for none.
    checksum : int
        Checksum of the live members that the sender knows.
    wants_all : bool
        Whether the answer must contain the full member table.
    """

    sender: MemberRecord
    revision: Count = 0
    checksum: Count = 0
    members: list[MemberRecord] = []
    digests: list[DigestRecord] = []
    wants_all: bool = False


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to probe another router."""

    sender: MemberRecord
    target: MemberRecord


class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the probed router answered."""

    reached: bool = False


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a configuration newer than a revision."""

    revision: Count = 0


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True):
    """A newer configuration; revision 0 when there is none."""

    revision: Count = 0
    data: bytes = b""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a router's state."""


class StatusReply(msgspec.Struct, frozen=True, array_like=True):
    """State of one router, reported by itself."""

    member: MemberRecord
    version: Name = ""
    revision: Count = 0
    ready: bool = False
    stopping: bool = False
    members: list[MemberRecord] = []
    leaving: list[Name] = []


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes, message_type: type[Any]) -> Any:
    """Decode a message from MessagePack.

    Raises
    ------
    MessageError
        The bytes are too long or not a valid message.
    """
    return decode_msgpack(data, message_type, MAX_MESSAGE_BYTES)


class PeerCodec(CodecBase):
    """MessagePack prefixed with a message authentication code.

    Parameters
    ----------
    key : str
        Key shared by all routers; may be empty.
    """

    __content_subtype__ = "msgpack"  # type: ignore[assignment]

    def __init__(self, key: str):
        self.key = hashlib.sha256(key.encode()).digest()
        self.refused = 0

    def _compute_mac(self, payload: bytes) -> bytes:
        mac = hashlib.blake2b(payload, key=self.key, digest_size=MAC_BYTES)
        return mac.digest()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return a message with its authentication code."""
        payload = encode_message(message)
        return self._compute_mac(payload) + payload

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Verify the authentication code and return the message.

        Raises
        ------
        MessageError
            The code is wrong, or the payload is not a valid message.
        """
        mac, payload = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(payload)):
            self.refused += 1
            raise MessageError("the authentication code is wrong")
        return decode_message(payload, message_type)
