"""Origins of running streams, kept in the store so that they survive all routers.

Each router writes what it began to a few keys of its own in turn, in batches. Their
lease outlives the router, so that nobody has to clean up.
"""

import secrets
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import msgspec

from ..clocks import Clock
from ..decoding import decode_json
from ..errors import MessageError
from ..ids import HostId, RequestId, Revision, ServiceId, SoftwareVersion
from ..logs import Log
from ..mirror import Mirror
from ..revisions import STATE_PREFIX
from ..shared_reads import SharedRead
from ..store import Applied, Item, LeaseGranted, LeaseLost, Put, Store, Unavailable
from ..stream_origins import StreamOrigin
from .records import EntryUnreadable, StreamsUnstored

__all__ = ["STREAMS_PREFIX", "OriginJournal", "StoredStreams"]

STREAMS_PREFIX = STATE_PREFIX + "streams/"
# Shortest time between writes, seconds: streams that began within it are lost with all
# routers, and many run for only some tenths of a second.
BATCH_INTERVAL_S = 0.1
# Share of the store's rate of writes that all routers use together for streams.
WRITE_SHARE = 0.3
# Time for which streams are added to one slot, seconds, and number of slots. Together
# they cover the time-outs of streams and the return of their callers.
SLOT_S = 10.0
SLOTS = 4
RETAINED_S = SLOT_S * SLOTS
# Time to live of the slots after their last renewal, seconds.
JOURNAL_TTL_S = 60.0
RENEWAL_INTERVAL_S = JOURNAL_TTL_S / 3
# Bounds the size of a slot; further streams are not stored.
MAX_SLOT_STREAMS = 20_000
PROCESS_BYTES = 4
# Time in which a write reaches the store, seconds, and one for a read that a caller
# waits for.
WRITE_TIME_S = 0.1
READ_TIMEOUT_S = 0.4


class StoredStreams(msgspec.Struct, frozen=True):
    """Streams that a router began, by service and software version."""

    streams: Mapping[ServiceId, Mapping[SoftwareVersion, Sequence[RequestId]]]

    def list_origins(self) -> dict[RequestId, StreamOrigin]:
        """Return the origins of the streams by call."""
        return {
            call: StreamOrigin(service, software)
            for service, versions in self.streams.items()
            for software, calls in versions.items()
            for call in calls
        }


def encode_origins(origins: Mapping[RequestId, StreamOrigin]) -> bytes:
    """Return the stored value for the origins of streams."""
    streams: dict[ServiceId, dict[SoftwareVersion, list[RequestId]]] = {}
    for call, origin in origins.items():
        versions = streams.setdefault(origin.service, {})
        versions.setdefault(origin.software, []).append(call)
    return msgspec.json.encode(StoredStreams(streams))


def count_one() -> int:
    """Return 1; used by a router without peers."""
    return 1


def make_process_name() -> str:
    """Return a name that no earlier process of this router has had."""
    return secrets.token_hex(PROCESS_BYTES)


@dataclass(slots=True)
class OriginJournal:
    """Writes this router's origins of streams to the store, and finds all routers'.

    Parameters
    ----------
    writes_per_s : float
        Writes that the store takes from all routers in a second.
    count_routers : callable
        Returns the number of routers that share this rate.

    Attributes
    ----------
    slots : dict of int to dict of RequestId to StreamOrigin
        What this router began, by number of the slot; the numbers grow with time.
    unwritten : set of int
        Numbers of the slots that have changed since their last write.
    lease : int
        Lease of the slots in the store; 0 if there is none.
    decoded : dict of str to (Revision, dict of RequestId to StreamOrigin)
        Slots of all routers that were read from the store, by key.
    shared_read : SharedRead
        Reads the slots of all routers from the store.
    added : anyio.Event
        Set when streams are added.
    """

    host: HostId
    store: Store
    mirror: Mirror
    log: Log
    clock: Clock
    writes_per_s: float = float("inf")
    count_routers: Callable[[], int] = count_one
    process: str = field(default_factory=make_process_name)
    slots: dict[int, dict[RequestId, StreamOrigin]] = field(default_factory=dict)
    unwritten: set[int] = field(default_factory=set)
    lease: int = 0
    renewed_at_s: float = 0.0
    is_failing: bool = False
    decoded: dict[str, tuple[Revision, dict[RequestId, StreamOrigin]]] = field(
        default_factory=dict
    )
    shared_read: SharedRead[Mapping[str, Item]] = field(init=False)
    added: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.shared_read = SharedRead(self._read, READ_TIMEOUT_S, self.clock)

    def add(self, origins: Mapping[RequestId, StreamOrigin]) -> None:
        """Add streams that this router began, to be written with the next batch."""
        number = int(self.clock() // SLOT_S)
        slot = self.slots.setdefault(number, {})
        if len(slot) + len(origins) <= MAX_SLOT_STREAMS:
            slot.update(origins)
            self.unwritten.add(number)
        self.added.set()

    def complete(self, call: RequestId) -> None:
        """Leave a stream that has ended out of the next batch."""
        for slot in self.slots.values():
            slot.pop(call, None)

    def find(self, call: RequestId) -> StreamOrigin | None:
        """Return where a stream began, if the mirror of the store tells it."""
        return self._find_in(self.mirror.select(STREAMS_PREFIX), call)

    async def find_written(
        self, call: RequestId, since_s: float
    ) -> tuple[bool, StreamOrigin | None]:
        """Wait until routers have written what they began before; find a stream in it.

        Parameters
        ----------
        since_s : float
            Time before which the stream has begun, seconds.

        Returns
        -------
        (bool, StreamOrigin or None)
            Whether the store could be read, and where the stream began if it tells it.
        """
        written_at_s = since_s + self._compute_interval_s() + WRITE_TIME_S
        await anyio.sleep(max(0.0, written_at_s - self.clock()))
        items = await self.shared_read.get()
        if items is None:
            return False, None
        return True, self._find_in(items, call)

    async def _read(self) -> Mapping[str, Item] | None:
        snapshot = await self.store.read(STREAMS_PREFIX)
        return None if isinstance(snapshot, Unavailable) else snapshot.items

    def _find_in(
        self, items: Mapping[str, Item], call: RequestId
    ) -> StreamOrigin | None:
        self.decoded = {k: v for k, v in self.decoded.items() if k in items}
        for key, item in items.items():
            known = self.decoded.get(key)
            if known is None or known[0] != item.mod_revision:
                known = (item.mod_revision, self._decode(key, item.value))
                self.decoded[key] = known
            if call in known[1]:
                return known[1][call]
        return None

    def _decode(self, key: str, value: bytes) -> dict[RequestId, StreamOrigin]:
        try:
            return decode_json(value, StoredStreams).list_origins()
        except MessageError:
            self.log.emit(EntryUnreadable(key, "malformed origins of streams"))
            return {}

    async def run(self) -> None:
        """Write what this router began until cancelled."""
        while True:
            await anyio.sleep(self._compute_interval_s())
            self._drop_old_slots()
            if not self.slots:
                self.lease = 0
                self.added = anyio.Event()
                await self.added.wait()
                continue
            await self._renew()
            reason = await self._write()
            if reason and not self.is_failing:
                self.log.emit(StreamsUnstored(reason))
            self.is_failing = bool(reason)

    def _compute_interval_s(self) -> float:
        """Return the time between two writes of this router, seconds."""
        shared_s = self.count_routers() / (WRITE_SHARE * self.writes_per_s)
        return max(BATCH_INTERVAL_S, shared_s)

    def _drop_old_slots(self) -> None:
        oldest = int(self.clock() // SLOT_S) - SLOTS + 1
        self.slots = {n: slot for n, slot in self.slots.items() if n >= oldest}
        self.unwritten &= self.slots.keys()

    async def _renew(self) -> None:
        """Renew the lease if it is due."""
        now_s = self.clock()
        if not self.lease or now_s < self.renewed_at_s + RENEWAL_INTERVAL_S:
            return
        outcome = await self.store.keep_alive(self.lease)
        if isinstance(outcome, LeaseGranted):
            self.renewed_at_s = now_s
        elif isinstance(outcome, LeaseLost):
            self._lose_lease()

    def _lose_lease(self) -> None:
        """Have all slots written again, as they were removed with their lease."""
        self.lease = 0
        self.unwritten.update(self.slots)

    async def _write(self) -> str:
        """Write the slots that have changed; return why that failed, or nothing."""
        numbers = {n for n in self.unwritten if self.slots[n]}
        if not numbers:
            return ""
        if not self.lease:
            requested_at_s = self.clock()
            granted = await self.store.grant_lease(JOURNAL_TTL_S)
            if isinstance(granted, Unavailable):
                return granted.reason
            self.lease, self.renewed_at_s = granted.lease, requested_at_s
        puts = [self._make_put(number) for number in sorted(numbers)]
        self.unwritten -= numbers
        outcome = await self.store.transact([], puts)
        if isinstance(outcome, Applied):
            return ""
        self.unwritten |= numbers
        if isinstance(outcome, LeaseLost):
            self._lose_lease()
        return type(outcome).__name__

    def _make_put(self, number: int) -> Put:
        key = f"{STREAMS_PREFIX}{self.host}/{self.process}/{number % SLOTS}"
        return Put(key, encode_origins(self.slots[number]), self.lease)
