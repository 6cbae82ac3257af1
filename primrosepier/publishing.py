"""Putting a configuration in force through the key-value service."""

import getpass
import secrets
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import anyio
import msgspec

from .changes import describe_changes
from .configuration import Configuration
from .ids import Revision
from .revisions import (
    CHUNKS_PREFIX,
    CONFIGURATION_PREFIX,
    MANIFEST_KEY,
    Manifest,
    RevisionsInForce,
    decode_manifest,
    make_chunk_key,
    make_next_manifest,
    split_configuration,
)
from .store import (
    Ambiguous,
    Applied,
    Compare,
    Conflict,
    Item,
    Put,
    Snapshot,
    Store,
    TransactOutcome,
    Unavailable,
)

__all__ = ["ApplyOutcome", "ApplyResult", "apply_configuration", "make_author"]

WRITE_BYTES = 900_000
CHANGE_ID_BYTES = 8
TRIES = 10
TRY_PAUSE_S = 0.3
LEFTOVERS = 100


class ApplyResult(Enum):
    """How an apply ended."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyOutcome:
    """Result of an apply with the revision that is in force after it.

    Parameters
    ----------
    changes : tuple of str
        What the apply changes, one line each.
    """

    result: ApplyResult
    revision: Revision
    reason: str = ""
    changes: tuple[str, ...] = ()


@dataclass(slots=True)
class _Change:
    """An apply in progress and what it is based on."""

    id: str
    before: Snapshot
    base: Manifest | None
    next: Manifest
    changes: tuple[str, ...]

    def end(self, result: ApplyResult, reason: str = "") -> ApplyOutcome:
        """Return the outcome of this change."""
        shown = self.next if result is ApplyResult.APPLIED else self.base
        revision = Revision(shown.revision if shown else 0)
        return ApplyOutcome(result, revision, reason, self.changes)


def make_author() -> str:
    """Return who applies, for those who lose against it."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = "unknown"
    return f"{user}@{socket.gethostname()}"


async def apply_configuration(
    store: Store,
    configuration: Configuration,
    author: str = "",
    expected: Revision | None = None,
) -> ApplyOutcome:
    """Put a configuration in force as a whole, or not at all.

    The chunks are written first; nobody reads them until the manifest names them. The
    manifest is written by compare-and-swap, under the condition that every chunk it
    names is there.

    Parameters
    ----------
    expected : Revision or None
        Revision that must be in force before; None takes what is.

    Raises
    ------
    ConfigurationError
        The configuration is too large; nothing was written.
    """
    chunks = split_configuration(configuration)
    before = await _read(store)
    if isinstance(before, Unavailable):
        return ApplyOutcome(ApplyResult.UNAVAILABLE, Revision(0), before.reason)
    change = _plan(before, configuration, chunks, author or make_author())
    revision = change.base.revision if change.base else 0
    if expected is not None and revision != expected:
        return change.end(ApplyResult.CONFLICT, _describe_winner(change.base))
    if not change.changes and change.base:
        return change.end(ApplyResult.UNCHANGED)
    refused = await _write_chunks(store, before, chunks)
    if refused is not None:
        return change.end(ApplyResult.UNAVAILABLE, refused)
    return await _swap_manifest(store, change)


def _plan(
    before: Snapshot,
    configuration: Configuration,
    chunks: dict[str, bytes],
    author: str,
) -> _Change:
    item = before.items.get(MANIFEST_KEY)
    base = decode_manifest(item.value) if item else None
    current = RevisionsInForce()
    current.accept(before.items)
    changes = describe_changes(current.configuration or Configuration(), configuration)
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    following = make_next_manifest(base, chunks, change_id, author, int(time.time()))
    return _Change(change_id, before, base, following, tuple(changes))


async def _read(store: Store) -> Snapshot | Unavailable:
    outcome: Snapshot | Unavailable = await store.read(CONFIGURATION_PREFIX)
    for _ in range(TRIES):
        if isinstance(outcome, Snapshot):
            return outcome
        await anyio.sleep(TRY_PAUSE_S)
        outcome = await store.read(CONFIGURATION_PREFIX)
    return outcome


def _group_chunks(chunks: dict[str, bytes]) -> Iterator[list[Put]]:
    group: list[Put] = []
    size = 0
    for name, data in chunks.items():
        if group and size + len(data) > WRITE_BYTES:
            yield group
            group, size = [], 0
        group.append(Put(make_chunk_key(name), data))
        size += len(data)
    if group:
        yield group


async def _write_chunks(
    store: Store, before: Snapshot, chunks: dict[str, bytes]
) -> str | None:
    """Write the chunks that are not there yet; return a reason when it failed."""
    missing = {n: d for n, d in chunks.items() if make_chunk_key(n) not in before.items}
    for group in _group_chunks(missing):
        conditions = [Compare(put.key, Revision(0)) for put in group]
        for _ in range(TRIES):
            outcome = await store.transact(conditions, group)
            if isinstance(outcome, Applied | Conflict):
                break
            await anyio.sleep(TRY_PAUSE_S)
        else:
            return getattr(outcome, "reason", "the store did not answer")
    return None


async def _swap_manifest(store: Store, change: _Change) -> ApplyOutcome:
    """Write the manifest; settle a lost answer by the change ids in the store."""
    maybe_written = False
    for _ in range(TRIES):
        outcome = await _try_swap(store, change)
        if isinstance(outcome, Applied):
            return change.end(ApplyResult.APPLIED)
        if isinstance(outcome, Conflict):
            return await _judge_conflict(store, change, outcome)
        maybe_written |= isinstance(outcome, Ambiguous)
        await anyio.sleep(TRY_PAUSE_S)
    if maybe_written:
        text = "the change may still take effect; see status, then apply again"
        return change.end(ApplyResult.UNKNOWN, text)
    return change.end(ApplyResult.UNAVAILABLE, "the store does not answer")


async def _try_swap(store: Store, change: _Change) -> TransactOutcome | Unavailable:
    now = await store.read(CHUNKS_PREFIX)
    if isinstance(now, Unavailable):
        return now
    named = {make_chunk_key(name) for name in change.next.chunks}
    found = [now.items[key] for key in sorted(named & now.items.keys())]
    if len(found) < len(named):
        return Conflict(now.revision)
    item = change.before.items.get(MANIFEST_KEY)
    conditions = [Compare(MANIFEST_KEY, item.mod_revision if item else Revision(0))]
    conditions += [Compare(item.key, item.mod_revision) for item in found]
    puts = [Put(MANIFEST_KEY, msgspec.json.encode(change.next))]
    puts += [Put(key, None) for key in _find_leftovers(change, now.items, named)]
    return await store.transact(conditions, puts)


def _find_leftovers(
    change: _Change, items: dict[str, Item], named: set[str]
) -> list[str]:
    """Return unused chunks that are older than the manifest that is replaced.

    An apply that would still use one is based on the same manifest or an older one, so
    it loses against this change.
    """
    item = change.before.items.get(MANIFEST_KEY)
    if item is None:
        return []
    unused = [items[key] for key in sorted(items.keys() - named)]
    old = [chunk.key for chunk in unused if chunk.mod_revision < item.mod_revision]
    return old[:LEFTOVERS]


async def _judge_conflict(
    store: Store, change: _Change, conflict: Conflict
) -> ApplyOutcome:
    item = conflict.items.get(MANIFEST_KEY)
    if item is None:
        snapshot = await _read(store)
        if isinstance(snapshot, Unavailable):
            return change.end(ApplyResult.UNKNOWN, snapshot.reason)
        item = snapshot.items.get(MANIFEST_KEY)
    winner = decode_manifest(item.value) if item else None
    if winner and any(note.id == change.id for note in winner.notes):
        return change.end(ApplyResult.APPLIED, _describe_follower(change, winner))
    lost = change.end(ApplyResult.CONFLICT, _describe_winner(winner))
    revision = Revision(winner.revision if winner else 0)
    return ApplyOutcome(lost.result, revision, lost.reason, lost.changes)


def _describe_winner(winner: Manifest | None) -> str:
    if winner is None or not winner.notes:
        return "no configuration is in force"
    note = winner.notes[0]
    return f"revision {note.revision} by {note.author} came first (change {note.id})"


def _describe_follower(change: _Change, winner: Manifest) -> str:
    note = winner.notes[0]
    if note.id == change.id:
        return ""
    return f"revision {note.revision} by {note.author} has followed since"
