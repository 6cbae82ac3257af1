"""Revisions of the configuration: how one is stored, and which one is in force."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields

import msgspec
import xxhash

from .configuration import Configuration, decode_configuration, encode_configuration
from .errors import ConfigurationError
from .ids import Revision
from .store import Item

__all__ = [
    "CHUNKS_PREFIX",
    "CONFIGURATION_PREFIX",
    "ChangeNote",
    "Export",
    "Manifest",
    "MANIFEST_KEY",
    "RevisionsInForce",
    "STATE_PREFIX",
    "decode_manifest",
    "make_chunk_key",
    "make_next_manifest",
    "merge_parts",
    "split_configuration",
]

STATE_PREFIX = "/primrosepier/state/"
CONFIGURATION_PREFIX = STATE_PREFIX + "configuration/"
MANIFEST_KEY = CONFIGURATION_PREFIX + "manifest"
CHUNKS_PREFIX = CONFIGURATION_PREFIX + "chunk/"
CHUNKS = 96
CHUNK_BYTES = 1_000_000
CONFIGURATION_BYTES = 8_000_000
NAME_CHARS = 32
KEPT_NOTES = 16


class ChangeNote(msgspec.Struct, frozen=True):
    """One accepted change: its id, its revision and who made it."""

    id: str
    revision: int
    author: str


class Manifest(msgspec.Struct, frozen=True):
    """Names the chunks that make one revision, and the changes that led to it.

    Parameters
    ----------
    revision : int
        Grows with each change, also over a restored store.
    chunks : tuple of str
        Names of the chunks; a name is the digest of the chunk's content.
    notes : tuple of ChangeNote
        The newest changes, the last one first.
    """

    revision: int
    chunks: tuple[str, ...]
    notes: tuple[ChangeNote, ...]


class Export(msgspec.Struct, frozen=True):
    """A whole revision, as a router hands it to another."""

    manifest: Manifest
    configuration: Configuration


def make_chunk_key(name: str) -> str:
    """Return the store's key of a chunk."""
    return CHUNKS_PREFIX + name


def split_configuration(configuration: Configuration) -> dict[str, bytes]:
    """Return the chunks of a configuration by name.

    An entity's chunk depends on its kind and id alone, so a change of one entity
    changes one chunk.

    Raises
    ------
    ConfigurationError
        The configuration is too large for the store.
    """
    parts: dict[int, Configuration] = {}
    for kind in fields(Configuration):
        for name, entity in getattr(configuration, kind.name).items():
            number = xxhash.xxh64_intdigest(f"{kind.name}/{name}".encode()) % CHUNKS
            part = parts.setdefault(number, Configuration())
            getattr(part, kind.name)[name] = entity
    chunks = {}
    for number in sorted(parts):
        data = encode_configuration(parts[number])
        _check_size(len(data), CHUNK_BYTES, "a part of the configuration")
        chunks[hashlib.sha256(data).hexdigest()[:NAME_CHARS]] = data
    total = sum(map(len, chunks.values()))
    _check_size(total, CONFIGURATION_BYTES, "the configuration")
    return chunks


def _check_size(size: int, limit: int, what: str) -> None:
    if size > limit:
        text = f"{what} has {size} bytes; at most {limit} are allowed"
        raise ConfigurationError("-", "-", "-", text)


def merge_parts(parts: Iterable[Configuration]) -> Configuration:
    """Return the configuration that parts make together."""
    merged = Configuration()
    for part in parts:
        for kind in fields(Configuration):
            getattr(merged, kind.name).update(getattr(part, kind.name))
    return merged


def decode_manifest(value: bytes) -> Manifest | None:
    """Return the manifest that a stored value holds, or None when it is not one."""
    try:
        return msgspec.json.decode(value, type=Manifest)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def make_next_manifest(
    before: Manifest | None,
    chunks: Iterable[str],
    change: str,
    author: str,
    unix_s: int,
) -> Manifest:
    """Return the manifest that follows another.

    The revision is the wall-clock time, or one more than the last when that is not
    ahead. So a change made after a store was restored from a backup is ahead of
    every revision that was in force before.
    """
    last = before.revision if before else 0
    revision = max(last + 1, unix_s)
    notes = (ChangeNote(change, revision, author), *(before.notes if before else ()))
    return Manifest(revision, tuple(chunks), notes[:KEPT_NOTES])


@dataclass(slots=True)
class RevisionsInForce:
    """Decides which revision is in force on a router; it never goes back.

    Attributes
    ----------
    waiting : Manifest or None
        A newer revision of which chunks are still missing.
    """

    manifest: Manifest | None = None
    configuration: Configuration | None = None
    waiting: Manifest | None = None
    parts: dict[str, Configuration] = field(default_factory=dict)

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 when there is none yet."""
        return Revision(self.manifest.revision if self.manifest else 0)

    def accept(self, items: Mapping[str, Item]) -> bool:
        """Take the revision that the store's items hold, if it is whole and newer.

        Parameters
        ----------
        items : Mapping of str to Item
            All items below `CONFIGURATION_PREFIX`, by key.

        Returns
        -------
        bool
            Whether another revision is in force than before.
        """
        item = items.get(MANIFEST_KEY)
        manifest = decode_manifest(item.value) if item else None
        if manifest is None or manifest.revision <= self.revision:
            return False
        parts = self._decode_parts(manifest, items)
        if parts is None:
            self.waiting = manifest
            return False
        self.parts = parts
        self._take(manifest, merge_parts(parts.values()))
        return True

    def _decode_parts(
        self, manifest: Manifest, items: Mapping[str, Item]
    ) -> dict[str, Configuration] | None:
        """Return all parts, decoding only those that changed; None if one lacks."""
        parts = {}
        for name in manifest.chunks:
            item = items.get(make_chunk_key(name))
            if name in self.parts:
                parts[name] = self.parts[name]
                continue
            if item is None:
                return None
            try:
                parts[name] = decode_configuration(item.value)
            except (msgspec.DecodeError, msgspec.ValidationError):
                return None
        return parts

    def _take(self, manifest: Manifest, configuration: Configuration) -> None:
        self.manifest = manifest
        self.configuration = configuration
        self.waiting = None

    def export(self, revision: Revision) -> tuple[Revision, bytes] | None:
        """Return the revision in force for a peer that holds an older one."""
        if self.manifest is None or self.configuration is None:
            return None
        if self.revision <= revision:
            return None
        export = Export(self.manifest, self.configuration)
        return self.revision, msgspec.json.encode(export, order="deterministic")

    def offer(self, revision: Revision, data: bytes) -> bool:
        """Take a revision that a peer exported, if it is newer and valid."""
        if revision <= self.revision:
            return False
        try:
            export = msgspec.json.decode(data, type=Export)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return False
        if export.manifest.revision != revision:
            return False
        self._take(export.manifest, export.configuration)
        return True
