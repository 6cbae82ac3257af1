"""Local copy of shared state in the key-value service, kept current by a watch."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from .clocks import Clock
from .ids import Revision
from .store import Item, Snapshot, Store, Unavailable, WatchEvent

__all__ = ["Backoff", "Mirror", "MirrorController", "make_mirror"]

NEVER_S = float("-inf")

# Longest time in which the service answers a request that it does not hold, seconds.
MAX_ANSWER_S = 0.3

Listener = Callable[["Mirror"], None]
NotifyFailure = Callable[[Exception], None]


def ignore_contact(connected: bool, reason: str) -> None:
    """Ignore whether the service answered."""


def raise_failure(error: Exception) -> None:
    """Raise the error; used where no one follows the failures."""
    raise error


def no_batching_delay() -> float:
    """Return a delay of 0: request each change immediately."""
    return 0.0


@dataclass(slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    random : random.Random
    base_s, limit_s : float
        Upper bound of the first wait, and of any wait, seconds.
    """

    random: random.Random
    base_s: float = 2.0
    limit_s: float = 4.0
    failures: int = 0

    def next_wait_s(self) -> float:
        """Count a failure and return the wait after it, seconds."""
        bound_s = min(self.limit_s, self.base_s * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        return self.random.uniform(0.0, bound_s)

    def reset(self) -> None:
        """Reset the count of failures."""
        self.failures = 0


@dataclass(slots=True)
class Mirror:
    """All items with a prefix, at the newest revision received.

    Parameters
    ----------
    prefix : str
    listeners : list of callable
        Called with the mirror after each change.
    notify_failure : callable
        Called with the error of a listener; the others are called all the same.

    Attributes
    ----------
    confirmed_at_s : float
        Time up to which the mirror is guaranteed to contain all changes: the request
        time of the newest answer with that guarantee, seconds.
    answered_at_s : float
        Time after which changes may be missing from the mirror: the arrival of the
        newest event or, if it came late, its request; the request time of the newest
        snapshot, seconds.
    changed_after_s : float
        Lower bound of the time of the last changes, seconds: when their watch event
        arrived if the service held the request for that long; otherwise the previous
        `answered_at_s` or, for a snapshot, the previous `confirmed_at_s`.
    restores : int
        Rises whenever the store is restored from a copy; of the newest snapshot.
    """

    prefix: str
    items: dict[str, Item] = field(default_factory=dict)
    revision: Revision = Revision(0)
    synced_at_s: float = NEVER_S
    confirmed_at_s: float = NEVER_S
    answered_at_s: float = NEVER_S
    changed_after_s: float = NEVER_S
    restores: int = 0
    listeners: list[Listener] = field(default_factory=list)
    notify_failure: NotifyFailure = raise_failure

    @property
    def is_synced(self) -> bool:
        """Whether the store has been read at least once."""
        return self.synced_at_s != NEVER_S

    def select(self, prefix: str) -> dict[str, Item]:
        """Return the items whose keys start with a prefix."""
        return {k: item for k, item in self.items.items() if k.startswith(prefix)}

    def apply_snapshot(
        self, snapshot: Snapshot, now_s: float, requested_at_s: float | None = None
    ) -> None:
        """Replace all items by those of a snapshot."""
        self.changed_after_s = self.confirmed_at_s
        if requested_at_s is not None:
            self.confirmed_at_s = requested_at_s
        self.answered_at_s = self.confirmed_at_s
        self.items = dict(snapshot.items)
        self.restores = snapshot.restores
        self._finish(snapshot.revision, now_s)

    def apply_event(self, event: WatchEvent, now_s: float) -> None:
        """Apply the changes of a watch event."""
        is_timely, answered_at_s = True, now_s
        if event.requested_at_s is not None:
            self.confirmed_at_s = event.requested_at_s
            wait_s = now_s - event.requested_at_s
            if wait_s > event.hold_s + MAX_ANSWER_S:
                # This process or its host stood still; the answer may be as old.
                answered_at_s = event.requested_at_s
            is_timely = MAX_ANSWER_S < wait_s <= event.hold_s + MAX_ANSWER_S
        previous_answer_at_s, self.answered_at_s = self.answered_at_s, answered_at_s
        if not event.changes:
            self.revision = event.revision
            self.synced_at_s = now_s
            return
        self.changed_after_s = now_s if is_timely else previous_answer_at_s
        for key, item in event.changes.items():
            if item is None:
                self.items.pop(key, None)
            else:
                self.items[key] = item
        self._finish(event.revision, now_s)

    def _finish(self, revision: Revision, now_s: float) -> None:
        self.revision = revision
        self.synced_at_s = now_s
        for listener in self.listeners:
            try:
                listener(self)
            # What one of them can't apply must not keep the change from the others.
            except Exception as error:
                self.notify_failure(error)


@dataclass(slots=True)
class MirrorController:
    """Keeps a mirror current until cancelled.

    Parameters
    ----------
    check_prefix : str
        Prefix of the items that are read periodically to detect a stalled watch.
    check_s : float
        Time between these reads, seconds.
    record_contact : callable
        Called with whether the service answered, and the kind of call or the reason
        for the failure.
    get_batching_delay_s : callable
        Returns the wait before the next changes are requested, seconds. A wait lets
        more changes share one answer.
    """

    store: Store
    mirror: Mirror
    backoff: Backoff
    check_prefix: str
    clock: Clock = time.monotonic
    check_s: float = 15.0
    record_contact: Callable[[bool, str], None] = ignore_contact
    get_batching_delay_s: Callable[[], float] = no_batching_delay

    async def run(self) -> None:
        """Keep the mirror current, and begin anew after an unexpected error."""
        while True:
            try:
                await self._keep_current()
            except Exception as error:
                self.mirror.notify_failure(error)
            await anyio.sleep(self.backoff.next_wait_s())

    async def _keep_current(self) -> None:
        """Read once, then watch; read again only when the watch cannot be resumed."""
        while True:
            await self._synchronize()
            while await self._follow():
                await anyio.sleep(self.backoff.next_wait_s())

    async def _synchronize(self) -> None:
        while True:
            requested_at_s = self.clock()
            snapshot = await self.store.read(self.mirror.prefix)
            if not isinstance(snapshot, Unavailable):
                self.record_contact(True, "read")
                self.mirror.apply_snapshot(snapshot, self.clock(), requested_at_s)
                self.backoff.reset()
                return
            self.record_contact(False, snapshot.reason)
            await anyio.sleep(self.backoff.next_wait_s())

    async def _follow(self) -> bool:
        """Watch until the watch ends; return whether it can be resumed."""
        resumable = True

        async def watch() -> None:
            nonlocal resumable
            resumable = await self._watch()
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            await self._check()
            resumable = False
            group.cancel_scope.cancel()
        return resumable

    async def _watch(self) -> bool:
        start = Revision(self.mirror.revision + 1)
        async for event in self.store.watch(self.mirror.prefix, start):
            self.backoff.reset()
            if event.compacted or event.restores > self.mirror.restores:
                return False
            self.record_contact(True, "watch")
            self.mirror.apply_event(event, self.clock())
            if event.changes:
                await anyio.sleep(self.get_batching_delay_s())
        self.record_contact(False, "the watch ended")
        return True

    async def _check(self) -> None:
        """Return once a read shows that the watch has stalled and missed changes."""
        while True:
            await anyio.sleep(self.check_s)
            revision_before_read = self.mirror.revision
            snapshot = await self.store.read(self.check_prefix)
            if (
                isinstance(snapshot, Unavailable)
                or self.mirror.revision != revision_before_read
            ):
                continue
            if snapshot.items != self.mirror.select(self.check_prefix):
                return


def make_mirror(
    store: Store,
    prefix: str,
    check_prefix: str,
    seed: int | None = None,
    clock: Clock = time.monotonic,
) -> MirrorController:
    """Return the controller of a mirror of the items with a prefix."""
    backoff = Backoff(random.Random(seed))
    return MirrorController(store, Mirror(prefix), backoff, check_prefix, clock)
