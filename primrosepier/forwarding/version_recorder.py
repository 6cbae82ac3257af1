"""Record of the services' software versions, kept in the store for all routers.

Any router adds a version that it sees registered. The holder of a duty creates the
record, tells when it is complete, and drops versions that it has missed for some time,
so that no times of two machines are compared.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
import msgspec

from ..clocks import Clock
from ..decoding import decode_json
from ..errors import MessageError
from ..ids import FencingNumber, Revision
from ..leases import Duty
from ..logs import Log
from ..mirror import Mirror
from ..revisions import STATE_PREFIX
from ..store import Applied, Compare, Conflict, Put, Store
from ..stream_origins import (
    VERSION_TTL_S,
    StreamOrigin,
    VersionHistory,
    VersionRecord,
    make_version_record,
)
from .records import EntryUnreadable, VersionsRecorded, VersionsUnrecorded

__all__ = ["VERSIONS_KEY", "VersionRecorder", "decode_version_record"]

VERSIONS_KEY = STATE_PREFIX + "software-versions"
# Time between two looks at the record, seconds: of the holder, of a router that is
# about to write it or finds none, and of any other, which the store's changes wake.
INTERVAL_S = 0.1
STANDBY_INTERVAL_S = 1.0
# Random delay before a router without the duty adds a version, seconds, so that few
# routers write the same.
ADD_SPREAD_S = 0.3
# Pause after a failed write, seconds.
RETRY_S = 0.5


def decode_version_record(value: bytes) -> VersionRecord | None:
    """Return the record in a stored value, or None if the value is malformed."""
    try:
        return decode_json(value, VersionRecord)
    except MessageError:
        return None


@dataclass(slots=True)
class VersionRecorder:
    """Reads and writes the record of software versions.

    Parameters
    ----------
    store : Store
    mirror : Mirror
    duty : Duty
        Its holder alone creates the record and drops versions from it.
    history : VersionHistory
        What this router has seen; receives the record.
    list_registered : callable
        Returns the services with the versions of their registered replicas.
    is_first_start : bool
        Whether no router has run before.

    Attributes
    ----------
    item_revision : Revision
        Revision of the record in the store; 0 if there is none.
    missed_since_s : dict of StreamOrigin to float
        Time since which this router has missed each version as the holder, seconds.
    fencing : FencingNumber
        Tenure of the duty to which these times belong.
    due_at_s : float or None
        Time at which this router adds a version, seconds; None if all are recorded.
    changed : anyio.Event
        Set when the mirror of the store has changed.
    """

    store: Store
    mirror: Mirror
    duty: Duty
    history: VersionHistory
    list_registered: Callable[[], Iterable[StreamOrigin]]
    log: Log
    clock: Clock
    rng: random.Random
    is_first_start: bool = False
    item_revision: Revision = Revision(0)
    missed_since_s: dict[StreamOrigin, float] = field(default_factory=dict)
    fencing: FencingNumber = FencingNumber(0)
    due_at_s: float | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    def read(self, mirror: Mirror) -> None:
        """Read the registered versions and the record from the mirror of the store."""
        self.changed.set()
        self.history.record(self.list_registered(), self.clock())
        item = mirror.items.get(VERSIONS_KEY)
        revision = Revision(0) if item is None else item.mod_revision
        if self.history.started_at_s is not None and revision == self.item_revision:
            return
        self.item_revision = revision
        record = None if item is None else decode_version_record(item.value)
        if item is not None and record is None:
            self.log.emit(EntryUnreadable(item.key, "malformed version record"))
        self.history.apply_record(record, self.clock(), mirror.restores)

    async def run(self) -> None:
        """Keep the record current until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_S)
            if self.mirror.is_synced and not await self._write_change():
                await anyio.sleep(RETRY_S)
            if self._is_standby():
                with anyio.move_on_after(STANDBY_INTERVAL_S - INTERVAL_S):
                    await self.changed.wait()
            self.changed = anyio.Event()

    def _is_standby(self) -> bool:
        """Return whether there is nothing to write before the store changes."""
        is_holder = bool(self.duty.fencing_number)
        is_created = self.history.recorded is not None
        return is_created and not is_holder and self.due_at_s is None

    async def _write_change(self) -> bool:
        """Write the record if it has to change; return False if that failed."""
        now_s = self.clock()
        record = self._make_record(now_s)
        if record is None or record == self.history.recorded:
            self.due_at_s = None
            return True
        if not self._is_due(now_s):
            return True
        compares = [Compare(VERSIONS_KEY, self.item_revision)]
        if self.duty.fencing_number:
            compares.append(self.duty.make_guard())
        put = Put(VERSIONS_KEY, msgspec.json.encode(record))
        outcome = await self.store.transact(compares, [put])
        if isinstance(outcome, Applied):
            names = tuple(f"{x.service}/{x.software}" for x in record.list_origins())
            self.log.emit(VersionsRecorded(tuple(sorted(names)), record.is_complete))
            self._apply_own(record, outcome.revision)
            return True
        if not isinstance(outcome, Conflict):
            self.log.emit(VersionsUnrecorded(type(outcome).__name__))
        return False

    def _apply_own(self, record: VersionRecord, revision: Revision) -> None:
        """Apply a record that was written, unless the mirror shows a newer one."""
        if revision > self.mirror.revision:
            self.item_revision = revision
            self.history.apply_record(record, self.clock())

    def _is_due(self, now_s: float) -> bool:
        if self.duty.fencing_number:
            return True
        if self.due_at_s is None:
            self.due_at_s = now_s + self.rng.uniform(0.0, ADD_SPREAD_S)
        return now_s >= self.due_at_s

    def _make_record(self, now_s: float) -> VersionRecord | None:
        """Return what the record should hold; None if this router may not create it."""
        registered = set(self.list_registered())
        recorded = self.history.recorded
        if not self.duty.fencing_number:
            if recorded is None:
                return None
            origins = recorded.list_origins() | registered
            return make_version_record(origins, recorded.is_complete, recorded.restores)
        origins = registered | self._list_kept(registered, now_s)
        is_complete = (
            (self.is_first_start and self.history.former is None)
            or self.history.has_watched(now_s)
            or (recorded is not None and recorded.is_complete)
        )
        return make_version_record(origins, is_complete, self.mirror.restores)

    def _list_kept(
        self, registered: set[StreamOrigin], now_s: float
    ) -> set[StreamOrigin]:
        """Return the versions that have not been missed for long in this tenure."""
        if self.fencing != self.duty.fencing_number:
            self.fencing = self.duty.fencing_number
            self.missed_since_s.clear()
        recorded = self.history.recorded
        known = recorded.list_origins() if recorded is not None else set()
        if recorded is None or recorded.restores != self.mirror.restores:
            known |= self.history.list_seen()
        for origin in known - registered:
            self.missed_since_s.setdefault(origin, now_s)
        self.missed_since_s = {
            origin: since_s
            for origin, since_s in self.missed_since_s.items()
            if origin not in registered and now_s - since_s < VERSION_TTL_S
        }
        return set(self.missed_since_s) & known
