"""Daily reuse of the fleet, stored in the key-value service.

The totals outlive restarts of routers.
"""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import anyio
import msgspec

from .clocks import Clock
from .decoding import decode_msgpack
from .drift import (
    DAY_S,
    HOUR_S,
    DayTotals,
    DriftAlert,
    DriftTracker,
    MissCause,
    SeriesKey,
)
from .errors import MessageError
from .ids import Revision, WorkspaceId
from .store import Applied, Compare, Conflict, Put, Snapshot, Store, Unavailable

__all__ = ["DriftController", "decode_day", "encode_day"]

DAYS_PREFIX = "/primrosepier/drift/days/"
EVALUATED_PREFIX = "/primrosepier/drift/evaluated/"
RETENTION_DAYS = 42
MAX_FLEET_SERIES = 16_384
MAX_WRITE_ATTEMPTS = 8
MAX_RETRY_DELAY_S = 2.0


class DayEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one workspace's prefix level on one day."""

    workspace: WorkspaceId
    level: int
    prompt: int
    cached: int
    missed: dict[MissCause, int] = {}


def encode_day(totals: Mapping[SeriesKey, DayTotals]) -> bytes:
    """Encode the token counts of a day."""
    entries = [
        DayEntry(workspace, level, day.prompt, day.cached, dict(day.missed))
        for (workspace, level), day in sorted(totals.items())
    ]
    return msgspec.msgpack.encode(entries)


def decode_day(value: bytes) -> dict[SeriesKey, DayTotals]:
    """Decode the token counts of a day; invalid bytes give an empty day."""
    try:
        entries = decode_msgpack(value, list[DayEntry])
    except MessageError:
        return {}
    return {
        (e.workspace, e.level): DayTotals(e.prompt, e.cached, Counter(e.missed))
        for e in entries
    }


def _make_key(day: int) -> str:
    return f"{DAYS_PREFIX}{day:08d}"


@dataclass(slots=True)
class DriftController:
    """Adds a router's token counts to the fleet's, which are checked once a day.

    Parameters
    ----------
    tracker : DriftTracker
        Tracker of this router.
    report : callable
        Called with each alert.
    wall_clock : Clock
        Returns seconds since the epoch.
    lost_writes : int
        Writes whose outcome is unknown.
    """

    store: Store
    tracker: DriftTracker
    report: Callable[[DriftAlert], None]
    wall_clock: Clock = time.time
    random: Random = field(default_factory=Random)
    evaluated_day: int = -1
    lost_writes: int = 0

    async def run(self) -> None:
        """Flush and evaluate every 30 to 60 minutes until cancelled."""
        while True:
            await anyio.sleep(HOUR_S * self.random.uniform(0.5, 1.0))
            await self.flush()
            await self.evaluate()

    async def flush(self) -> None:
        """Add this router's totals to the stored day, or keep them for a retry.

        Totals are dropped when the outcome of their write is unknown, since a retry
        might count them twice.
        """
        totals = self.tracker.pop_totals()
        if not totals:
            return
        key = _make_key(int(self.wall_clock() // DAY_S))
        for _ in range(MAX_WRITE_ATTEMPTS):
            snapshot = await self.store.read(key)
            if isinstance(snapshot, Unavailable):
                break
            outcome = await self._write_totals(key, snapshot, totals)
            if isinstance(outcome, Applied):
                return
            if not isinstance(outcome, Conflict | Unavailable):
                self.lost_writes += 1
                return
            await anyio.sleep(self.random.uniform(0.0, MAX_RETRY_DELAY_S))
        self.tracker.add_totals(totals)

    async def _write_totals(
        self, key: str, snapshot: Snapshot, totals: Mapping[SeriesKey, DayTotals]
    ) -> object:
        item = snapshot.items.get(key)
        day = decode_day(item.value) if item else {}
        for series_key, part in totals.items():
            day.setdefault(series_key, DayTotals()).add(part)
        revision = item.mod_revision if item else Revision(0)
        puts = [Put(key, encode_day(day))]
        return await self.store.transact([Compare(key, revision)], puts)

    async def evaluate(self) -> None:
        """Check the complete days for declines, on one router each day."""
        today = int(self.wall_clock() // DAY_S)
        if today == self.evaluated_day:
            return
        evaluated_key = f"{EVALUATED_PREFIX}{today:08d}"
        outcome = await self.store.transact(
            [Compare(evaluated_key, Revision(0))], [Put(evaluated_key, b"")]
        )
        if isinstance(outcome, Conflict):
            self.evaluated_day = today
        if not isinstance(outcome, Applied):
            return
        self.evaluated_day = today
        snapshot = await self.store.read(DAYS_PREFIX)
        if isinstance(snapshot, Unavailable):
            await self.store.transact([], [Put(evaluated_key, None)])
            self.evaluated_day = -1
            return
        for alert in find_declines(snapshot, today):
            self.report(alert)
        await self._delete_old(snapshot, today)

    async def _delete_old(self, snapshot: Snapshot, today: int) -> None:
        oldest_key = _make_key(today - RETENTION_DAYS)
        old = [Put(key, None) for key in snapshot.items if key < oldest_key]
        evaluated_key = f"{EVALUATED_PREFIX}{today - 2:08d}"
        await self.store.transact([], [*old, Put(evaluated_key, None)])


def find_declines(snapshot: Snapshot, today: int) -> list[DriftAlert]:
    """Return the declines that became detectable with the previous day."""
    tracker = DriftTracker(MAX_FLEET_SERIES)
    raised: list[DriftAlert] = []
    for key, item in sorted(snapshot.items.items()):
        day_number = int(key.removeprefix(DAYS_PREFIX))
        if day_number >= today:
            continue
        raised = []
        for series_key, day in decode_day(item.value).items():
            raised += tracker.add_day(series_key, day, (day_number + 1) * DAY_S)
    return [alert for alert in raised if alert.raised_at_s >= today * DAY_S]
