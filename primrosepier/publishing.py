"""Applying a configuration through the key-value service."""

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
    ActiveRevision,
    Manifest,
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

MAX_WRITE_BYTES = 900_000
CHANGE_ID_BYTES = 8
MAX_ATTEMPTS = 10
RETRY_DELAY_S = 0.3
MAX_DELETED_CHUNKS = 100


class ApplyResult(Enum):
    """How an apply ended."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyOutcome:
    """Result of an apply.

    Parameters
    ----------
    revision : Revision
        The revision that was applied, or else the one last read from the store; 0 if
        there was none or the store could not be read.
    changes : tuple of str
        Differences from the previous configuration, one line each.
    """

    result: ApplyResult
    revision: Revision
    reason: str = ""
    changes: tuple[str, ...] = ()


@dataclass(slots=True)
class _PendingChange:
    """A prepared change, with the snapshot and manifest that it is based on."""

    id: str
    base_snapshot: Snapshot
    base_manifest: Manifest | None
    next_manifest: Manifest
    changes: tuple[str, ...]

    def make_outcome(self, result: ApplyResult, reason: str = "") -> ApplyOutcome:
        """Return the outcome of this change."""
        manifest = (
            self.next_manifest if result is ApplyResult.APPLIED else self.base_manifest
        )
        revision = Revision(manifest.revision if manifest else 0)
        return ApplyOutcome(result, revision, reason, self.changes)


def make_author() -> str:
    """Return ``user@host``, shown to operators whose change conflicts with this one."""
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
    """Apply a configuration atomically.

    The chunks are written first; routers ignore them until the manifest lists them.
    The manifest is then written by compare-and-swap, on condition that all its chunks
    exist.

    Parameters
    ----------
    expected : Revision or None
        Revision that must be active before the apply; None for any.

    Raises
    ------
    ConfigurationError
        The configuration is too large; nothing was written.
    """
    chunks = split_configuration(configuration)
    base_snapshot = await _read_snapshot(store)
    if isinstance(base_snapshot, Unavailable):
        return ApplyOutcome(ApplyResult.UNAVAILABLE, Revision(0), base_snapshot.reason)
    change = _prepare_change(
        base_snapshot, configuration, chunks, author or make_author()
    )
    revision = change.base_manifest.revision if change.base_manifest else 0
    if expected is not None and revision != expected:
        return change.make_outcome(
            ApplyResult.CONFLICT, _describe_latest_change(change.base_manifest)
        )
    if not change.changes and change.base_manifest:
        return change.make_outcome(ApplyResult.UNCHANGED)
    failure = await _write_chunks(store, base_snapshot, chunks)
    if failure is not None:
        return change.make_outcome(ApplyResult.UNAVAILABLE, failure)
    return await _swap_manifest(store, change)


def _prepare_change(
    base_snapshot: Snapshot,
    configuration: Configuration,
    chunks: dict[str, bytes],
    author: str,
) -> _PendingChange:
    item = base_snapshot.items.get(MANIFEST_KEY)
    base_manifest = decode_manifest(item.value) if item else None
    current = ActiveRevision()
    current.apply_items(base_snapshot.items)
    changes = describe_changes(current.configuration or Configuration(), configuration)
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    next_manifest = make_next_manifest(
        base_manifest, chunks, change_id, author, int(time.time())
    )
    return _PendingChange(
        change_id, base_snapshot, base_manifest, next_manifest, tuple(changes)
    )


async def _read_snapshot(store: Store) -> Snapshot | Unavailable:
    outcome: Snapshot | Unavailable = await store.read(CONFIGURATION_PREFIX)
    for _ in range(MAX_ATTEMPTS):
        if isinstance(outcome, Snapshot):
            return outcome
        await anyio.sleep(RETRY_DELAY_S)
        outcome = await store.read(CONFIGURATION_PREFIX)
    return outcome


def _group_chunks(chunks: dict[str, bytes]) -> Iterator[list[Put]]:
    """Yield the writes of each transaction; a large chunk is written alone."""
    group: list[Put] = []
    size = 0
    for name, data in chunks.items():
        if group and size + len(data) > MAX_WRITE_BYTES:
            yield group
            group, size = [], 0
        group.append(Put(make_chunk_key(name), data))
        size += len(data)
    if group:
        yield group


async def _write_chunks(
    store: Store, base_snapshot: Snapshot, chunks: dict[str, bytes]
) -> str | None:
    """Write the missing chunks; return a reason on failure, else None."""
    missing = {
        name: data
        for name, data in chunks.items()
        if make_chunk_key(name) not in base_snapshot.items
    }
    for group in _group_chunks(missing):
        conditions = [Compare(put.key, Revision(0)) for put in group]
        for _ in range(MAX_ATTEMPTS):
            outcome = await store.transact(conditions, group)
            # After a conflict some of these chunks exist, written by another apply or
            # by an attempt whose answer was lost. `_try_swap` detects missing ones.
            if isinstance(outcome, Applied | Conflict):
                break
            await anyio.sleep(RETRY_DELAY_S)
        else:
            return getattr(outcome, "reason", "the store did not answer")
    return None


async def _swap_manifest(store: Store, change: _PendingChange) -> ApplyOutcome:
    """Write the manifest; resolve a lost answer by the change ids in the store."""
    maybe_written = False
    for _ in range(MAX_ATTEMPTS):
        outcome = await _try_swap(store, change)
        if isinstance(outcome, Applied):
            return change.make_outcome(ApplyResult.APPLIED)
        if isinstance(outcome, Conflict):
            return await _resolve_conflict(store, change, outcome)
        maybe_written |= isinstance(outcome, Ambiguous)
        await anyio.sleep(RETRY_DELAY_S)
    if maybe_written:
        text = "the change may still take effect; check status before applying again"
        return change.make_outcome(ApplyResult.UNKNOWN, text)
    return change.make_outcome(ApplyResult.UNAVAILABLE, "the store does not answer")


async def _try_swap(
    store: Store, change: _PendingChange
) -> TransactOutcome | Unavailable:
    latest = await store.read(CHUNKS_PREFIX)
    if isinstance(latest, Unavailable):
        return latest
    referenced_keys = {make_chunk_key(name) for name in change.next_manifest.chunks}
    chunk_items = [
        latest.items[key] for key in sorted(referenced_keys & latest.items.keys())
    ]
    if len(chunk_items) < len(referenced_keys):
        return Conflict(latest.revision)
    manifest_item = change.base_snapshot.items.get(MANIFEST_KEY)
    conditions = [
        Compare(
            MANIFEST_KEY, manifest_item.mod_revision if manifest_item else Revision(0)
        )
    ]
    conditions += [Compare(item.key, item.mod_revision) for item in chunk_items]
    puts = [Put(MANIFEST_KEY, msgspec.json.encode(change.next_manifest))]
    puts += [
        Put(key, None)
        for key in _find_unused_chunks(change, latest.items, referenced_keys)
    ]
    return await store.transact(conditions, puts)


def _find_unused_chunks(
    change: _PendingChange, items: dict[str, Item], referenced_keys: set[str]
) -> list[str]:
    """Return unreferenced chunks that are older than the replaced manifest.

    A concurrent apply that still needs one of them is based on the same or an older
    manifest, so its compare-and-swap fails once this change is written.
    """
    manifest_item = change.base_snapshot.items.get(MANIFEST_KEY)
    if manifest_item is None:
        return []
    unused = [items[key] for key in sorted(items.keys() - referenced_keys)]
    old = [
        chunk.key for chunk in unused if chunk.mod_revision < manifest_item.mod_revision
    ]
    return old[:MAX_DELETED_CHUNKS]


async def _resolve_conflict(
    store: Store, change: _PendingChange, conflict: Conflict
) -> ApplyOutcome:
    item = conflict.items.get(MANIFEST_KEY)
    if item is None:
        snapshot = await _read_snapshot(store)
        if isinstance(snapshot, Unavailable):
            return change.make_outcome(ApplyResult.UNKNOWN, snapshot.reason)
        item = snapshot.items.get(MANIFEST_KEY)
    stored = decode_manifest(item.value) if item else None
    if stored and any(record.id == change.id for record in stored.notes):
        return change.make_outcome(
            ApplyResult.APPLIED, _describe_superseding_change(change, stored)
        )
    outcome = change.make_outcome(ApplyResult.CONFLICT, _describe_latest_change(stored))
    revision = Revision(stored.revision if stored else 0)
    return ApplyOutcome(outcome.result, revision, outcome.reason, outcome.changes)


def _describe_latest_change(manifest: Manifest | None) -> str:
    if manifest is None or not manifest.notes:
        return "no configuration is active"
    latest = manifest.notes[0]
    return (
        f"revision {latest.revision} by {latest.author} came first (change {latest.id})"
    )


def _describe_superseding_change(change: _PendingChange, manifest: Manifest) -> str:
    latest = manifest.notes[0]
    if latest.id == change.id:
        return ""
    return f"revision {latest.revision} by {latest.author} has superseded this change"
