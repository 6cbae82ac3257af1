"""Storage of configuration revisions and selection of the active one."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields

import msgspec
import xxhash

from .configuration import Configuration, decode_configuration, encode_configuration
from .decoding import decode_json
from .errors import ConfigurationError, MessageError
from .ids import Revision
from .store import Item

__all__ = [
    "CHUNKS_PREFIX",
    "CONFIGURATION_PREFIX",
    "ChangeRecord",
    "RevisionExport",
    "Manifest",
    "MANIFEST_KEY",
    "ActiveRevision",
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
CHUNK_COUNT = 96
MAX_CHUNK_BYTES = 1_000_000
MAX_CONFIGURATION_BYTES = 8_000_000
CHUNK_NAME_CHARS = 32
MAX_CHANGE_RECORDS = 16


class ChangeRecord(msgspec.Struct, frozen=True):
    """Record of one apply: its random id, the new revision and the author."""

    id: str
    revision: int
    author: str


class Manifest(msgspec.Struct, frozen=True):
    """The chunks of one revision and the most recent changes.

    Parameters
    ----------
    revision : int
        Increases with each change, also after the store was restored from a backup.
    chunks : tuple of str
        Names of the chunks; a name is the truncated digest of the chunk's content.
    notes : tuple of ChangeRecord
        The most recent changes, newest first. An apply whose answer was lost finds
        its change id here if it took effect.
    """

    revision: int
    chunks: tuple[str, ...]
    notes: tuple[ChangeRecord, ...]


class RevisionExport(msgspec.Struct, frozen=True):
    """A complete revision in the form in which routers exchange it."""

    manifest: Manifest
    configuration: Configuration


def make_chunk_key(name: str) -> str:
    """Return the store key of a chunk."""
    return CHUNKS_PREFIX + name


def split_configuration(configuration: Configuration) -> dict[str, bytes]:
    """Split a configuration into encoded chunks, returned by chunk name.

    Entities are assigned to chunks by a hash of their kind and id, so a change of
    one entity changes one chunk.

    Raises
    ------
    ConfigurationError
        The configuration is too large for the store.
    """
    parts: dict[int, Configuration] = {}
    for kind in fields(Configuration):
        for entity_id, entity in getattr(configuration, kind.name).items():
            index = (
                xxhash.xxh64_intdigest(f"{kind.name}/{entity_id}".encode())
                % CHUNK_COUNT
            )
            part = parts.setdefault(index, Configuration())
            getattr(part, kind.name)[entity_id] = entity
    chunks = {}
    for index in sorted(parts):
        data = encode_configuration(parts[index])
        _check_size(len(data), MAX_CHUNK_BYTES, "a part of the configuration")
        chunks[hashlib.sha256(data).hexdigest()[:CHUNK_NAME_CHARS]] = data
    total = sum(map(len, chunks.values()))
    _check_size(total, MAX_CONFIGURATION_BYTES, "the configuration")
    return chunks


def _check_size(size: int, limit: int, subject: str) -> None:
    if size > limit:
        text = f"{subject} has {size} bytes; at most {limit} are allowed"
        raise ConfigurationError("-", "-", "-", text)


def merge_parts(parts: Iterable[Configuration]) -> Configuration:
    """Merge partial configurations into one."""
    merged = Configuration()
    for part in parts:
        for kind in fields(Configuration):
            getattr(merged, kind.name).update(getattr(part, kind.name))
    return merged


def decode_manifest(value: bytes) -> Manifest | None:
    """Decode a stored manifest; return None if it is invalid."""
    try:
        return decode_json(value, Manifest)
    except MessageError:
        return None


def make_next_manifest(
    previous: Manifest | None,
    chunks: Iterable[str],
    change_id: str,
    author: str,
    now_unix_s: int,
) -> Manifest:
    """Return the successor of a manifest.

    The revision is the Unix time in seconds, or the previous revision plus one if
    that is larger. A change made after the store was restored from a backup thus
    has a higher revision than every change made before.
    """
    previous_revision = previous.revision if previous else 0
    revision = max(previous_revision + 1, now_unix_s)
    notes = (
        ChangeRecord(change_id, revision, author),
        *(previous.notes if previous else ()),
    )
    return Manifest(revision, tuple(chunks), notes[:MAX_CHANGE_RECORDS])


@dataclass(slots=True)
class ActiveRevision:
    """Configuration revision in use at a router; never replaced by an older one.

    Attributes
    ----------
    incomplete : Manifest or None
        Newer revision that was not activated because a chunk is missing or invalid.
    parts : dict of str to Configuration
        Decoded chunks by name, reused for later revisions with the same chunks.
    """

    manifest: Manifest | None = None
    configuration: Configuration | None = None
    incomplete: Manifest | None = None
    parts: dict[str, Configuration] = field(default_factory=dict)

    @property
    def revision(self) -> Revision:
        """The active revision; 0 before the first one."""
        return Revision(self.manifest.revision if self.manifest else 0)

    def apply_items(self, items: Mapping[str, Item]) -> bool:
        """Activate the revision in the store's items if it is complete and newer.

        Parameters
        ----------
        items : Mapping of str to Item
            Items by key, which include all those below `CONFIGURATION_PREFIX`.

        Returns
        -------
        bool
            Whether the active revision changed.
        """
        item = items.get(MANIFEST_KEY)
        manifest = decode_manifest(item.value) if item else None
        if manifest is None or manifest.revision <= self.revision:
            return False
        parts = self._decode_parts(manifest, items)
        if parts is None:
            self.incomplete = manifest
            return False
        self.parts = parts
        self._activate(manifest, merge_parts(parts.values()))
        return True

    def _decode_parts(
        self, manifest: Manifest, items: Mapping[str, Item]
    ) -> dict[str, Configuration] | None:
        """Decode the new chunks and return all parts.

        Returns None if a chunk is missing or invalid.
        """
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
            except MessageError:
                return None
        return parts

    def _activate(self, manifest: Manifest, configuration: Configuration) -> None:
        self.manifest = manifest
        self.configuration = configuration
        self.incomplete = None

    def export(self, revision: Revision) -> tuple[Revision, bytes] | None:
        """Return the active revision and its encoded export for a peer.

        Returns None if the peer's revision is not older.
        """
        if self.manifest is None or self.configuration is None:
            return None
        if self.revision <= revision:
            return None
        export = RevisionExport(self.manifest, self.configuration)
        return self.revision, msgspec.json.encode(export, order="deterministic")

    def apply_export(self, revision: Revision, data: bytes) -> bool:
        """Activate a revision exported by a peer if it is newer and valid."""
        if revision <= self.revision:
            return False
        try:
            export = decode_json(data, RevisionExport)
        except MessageError:
            return False
        if export.manifest.revision != revision:
            return False
        self._activate(export.manifest, export.configuration)
        return True
