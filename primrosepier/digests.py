"""Digests: small values that routers replicate to each other.

Each host has one value per name. A later value replaces an earlier one, and a value
expires unless renewed. Fleet-wide sets are unions of the hosts' values.
"""

from dataclasses import dataclass, field

import msgspec

from .ids import HostId
from .messages import DigestRecord
from .send_queue import SendQueue

__all__ = ["Digest", "DigestRegistry"]

MS_PER_S = 1000
MAX_DIGESTS = 16384

DigestKey = tuple[str, HostId]


@dataclass(slots=True)
class Digest:
    """A value with the times at which it was received and expires.

    Parameters
    ----------
    expires_at_s, received_at_s : float
        Monotonic times in seconds.
    """

    record: DigestRecord
    received_at_s: float
    expires_at_s: float

    @property
    def version(self) -> tuple[int, int]:
        """Version that orders the values of one host."""
        return (self.record.incarnation, self.record.counter)


def _make_digest(record: DigestRecord, now_s: float) -> Digest:
    expires_at_s = now_s + record.ttl_ms / MS_PER_S
    return Digest(record, now_s, expires_at_s)


@dataclass(slots=True)
class DigestRegistry:
    """The latest value of each name and host.

    Parameters
    ----------
    host : HostId
        Host of this router.
    incarnation : int
        Orders the values of this process after those of earlier ones.
    """

    host: HostId
    incarnation: int
    digests: dict[DigestKey, Digest] = field(default_factory=dict)
    pending: SendQueue[DigestKey, DigestRecord] = field(default_factory=SendQueue)
    urgent: dict[DigestKey, Digest] = field(default_factory=dict)
    counter: int = 0

    def publish(
        self, name: str, data: bytes, ttl_s: float, now_s: float, urgent: bool = False
    ) -> None:
        """Replace this router's own value under a name."""
        self.counter += 1
        record = DigestRecord(
            name=name,
            host=self.host,
            incarnation=self.incarnation,
            counter=self.counter,
            ttl_ms=round(ttl_s * MS_PER_S),
            data=data,
            urgent=urgent,
        )
        self._put(record, now_s)

    def receive(self, record: DigestRecord, now_s: float) -> bool:
        """Store another host's value if it is later; return whether it was stored."""
        if record.host == self.host or record.ttl_ms == 0:
            return False
        current = self.digests.get((record.name, HostId(record.host)))
        if current and current.version >= (record.incarnation, record.counter):
            return False
        if current is None and len(self.digests) >= MAX_DIGESTS:
            return False
        self._put(record, now_s)
        return True

    def _put(self, record: DigestRecord, now_s: float) -> None:
        key = (record.name, HostId(record.host))
        digest = _make_digest(record, now_s)
        self.digests[key] = digest
        self.pending.put(key, record)
        self.urgent.pop(key, None)
        if record.urgent:
            self.urgent[key] = digest

    def read(self, name: str, now_s: float) -> dict[HostId, Digest]:
        """Return the unexpired values under a name, by host."""
        return {
            host: digest
            for (digest_name, host), digest in self.digests.items()
            if digest_name == name and digest.expires_at_s > now_s
        }

    def expire(self, now_s: float) -> None:
        """Remove expired values."""
        for key, digest in list(self.digests.items()):
            if digest.expires_at_s <= now_s:
                del self.digests[key]
                self.pending.discard(key)
                self.urgent.pop(key, None)

    def select(
        self, budget_bytes: int, max_sends: int, now_s: float
    ) -> list[DigestRecord]:
        """Return the values to send next, within a byte budget."""
        records = self.pending.take(budget_bytes, max_sends)
        return [self._update_ttl(record, now_s) for record in records]

    def pop_urgent(self, now_s: float) -> list[DigestRecord]:
        """Return and clear the urgent values that were not forwarded yet."""
        records = [self._update_ttl(d.record, now_s) for d in self.urgent.values()]
        self.urgent.clear()
        return records

    def _update_ttl(self, record: DigestRecord, now_s: float) -> DigestRecord:
        """Return the record with its remaining time to live."""
        digest = self.digests[(record.name, HostId(record.host))]
        remaining_ms = max(0, int((digest.expires_at_s - now_s) * MS_PER_S))
        return msgspec.structs.replace(record, ttl_ms=min(remaining_ms, record.ttl_ms))
