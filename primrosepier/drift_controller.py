"""The fleet's reuse by day, kept in the key-value service over router restarts."""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import anyio
import msgspec

from .clocks import Clock
from .drift import (
    DAY_S,
    HOUR_S,
    DayTotals,
    DriftAlert,
    DriftTracker,
    MissCause,
    SeriesKey,
)
from .ids import Revision, WorkspaceId
from .store import Applied, Compare, Conflict, Put, Snapshot, Store, Unavailable

__all__ = ["DriftController", "decode_day", "encode_day"]

DAYS_PREFIX = "/primrosepier/drift/days/"
EVALUATED_PREFIX = "/primrosepier/drift/evaluated/"
KEPT_DAYS = 42
FLEET_SERIES = 16_384
WRITE_TRIES = 8
RETRY_S = 2.0


class DayEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one workspace's prefix level on one day."""

    workspace: WorkspaceId
    level: int
    prompt: int
    cached: int
    missed: dict[MissCause, int] = {}


def encode_day(totals: Mapping[SeriesKey, DayTotals]) -> bytes:
    """Return the tokens of a day as bytes."""
    entries = [
        DayEntry(workspace, level, day.prompt, day.cached, dict(day.missed))
        for (workspace, level), day in sorted(totals.items())
    ]
    return msgspec.msgpack.encode(entries)


def decode_day(value: bytes) -> dict[SeriesKey, DayTotals]:
    """Return the tokens of a day; none when the bytes are not valid."""
    try:
        entries = msgspec.msgpack.decode(value, type=list[DayEntry])
    except msgspec.DecodeError:
        return {}
    return {
        (e.workspace, e.level): DayTotals(e.prompt, e.cached, Counter(e.missed))
        for e in entries
    }


def _make_key(day: int) -> str:
    return f"{DAYS_PREFIX}{day:08d}"


@dataclass(slots=True)
class DriftController:
    """Adds a router's tokens to the fleet's, and looks for slides once a day.

    Parameters
    ----------
    ledger : DriftLedger
        Of this router.
    report : callable
        Takes each alert.
    wall_clock : Clock
        Time of the day, seconds since the epoch.
    """

    store: Store
    tracker: DriftTracker
    report: Callable[[DriftAlert], None]
    wall_clock: Clock = time.time
    random: Random = field(default_factory=Random)
    evaluated_day: int = -1
    lost_writes: int = 0

    async def run(self) -> None:
        """Write and look until cancelled."""
        while True:
            await anyio.sleep(HOUR_S * self.random.uniform(0.5, 1.0))
            await self.flush()
            await self.evaluate()

    async def flush(self) -> None:
        """Add this router's tokens to the day's; keep them when that fails."""
        totals = self.tracker.take_totals()
        if not totals:
            return
        key = _make_key(int(self.wall_clock() // DAY_S))
        for _ in range(WRITE_TRIES):
            snapshot = await self.store.read(key)
            if isinstance(snapshot, Unavailable):
                break
            outcome = await self._add(key, snapshot, totals)
            if isinstance(outcome, Applied):
                return
            if not isinstance(outcome, Conflict | Unavailable):
                self.lost_writes += 1
                return
            await anyio.sleep(self.random.uniform(0.0, RETRY_S))
        self.tracker.return_totals(totals)

    async def _add(
        self, key: str, snapshot: Snapshot, totals: Mapping[SeriesKey, DayTotals]
    ) -> object:
        item = snapshot.items.get(key)
        day = decode_day(item.value) if item else {}
        for name, part in totals.items():
            day.setdefault(name, DayTotals()).add(part)
        revision = item.mod_revision if item else Revision(0)
        puts = [Put(key, encode_day(day))]
        return await self.store.transact([Compare(key, revision)], puts)

    async def evaluate(self) -> None:
        """Look for slides in the whole days, once a day over all routers."""
        today = int(self.wall_clock() // DAY_S)
        if today == self.evaluated_day:
            return
        mark = f"{EVALUATED_PREFIX}{today:08d}"
        taken = await self.store.transact(
            [Compare(mark, Revision(0))], [Put(mark, b"")]
        )
        if isinstance(taken, Conflict):
            self.evaluated_day = today
        if not isinstance(taken, Applied):
            return
        self.evaluated_day = today
        snapshot = await self.store.read(DAYS_PREFIX)
        if isinstance(snapshot, Unavailable):
            await self.store.transact([], [Put(mark, None)])
            self.evaluated_day = -1
            return
        for alert in find_declines(snapshot, today):
            self.report(alert)
        await self._drop_old(snapshot, today)

    async def _drop_old(self, snapshot: Snapshot, today: int) -> None:
        limit = _make_key(today - KEPT_DAYS)
        old = [Put(key, None) for key in snapshot.items if key < limit]
        mark = f"{EVALUATED_PREFIX}{today - 2:08d}"
        await self.store.transact([], [*old, Put(mark, None)])


def find_declines(snapshot: Snapshot, today: int) -> list[DriftAlert]:
    """Return the slides that the day before shows for the first time."""
    tracker = DriftTracker(FLEET_SERIES)
    raised: list[DriftAlert] = []
    for key, item in sorted(snapshot.items.items()):
        number = int(key.removeprefix(DAYS_PREFIX))
        if number >= today:
            continue
        raised = []
        for name, day in decode_day(item.value).items():
            raised += tracker.take_day(name, day, (number + 1) * DAY_S)
    return [alert for alert in raised if alert.raised_s >= today * DAY_S]
