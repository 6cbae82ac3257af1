"""Blackboard of typed sections, each with one writer and many readers."""

from dataclasses import dataclass, field, fields
from typing import Any, Generic, TypeVar

from .configuration import Configuration
from .errors import WriterTakenError
from .ids import EndpointId, HostId, WorkspaceId
from .limits import Demand
from .loads import EndpointLoad

__all__ = ["Board", "Section", "SectionWriter", "make_board"]

T = TypeVar("T")

NEVER_S = float("-inf")


@dataclass(slots=True)
class Section(Generic[T]):
    """One value on the board, with the time of its last write and its only writer.

    Parameters
    ----------
    name : str
    value : object
        Replaced by the writer, never modified in place.
    written_at_s : float
        Monotonic time of the last write, seconds.
    """

    name: str
    value: T
    written_at_s: float = NEVER_S
    writer: str = ""

    def compute_age(self, now_s: float) -> float:
        """Return the time since the last write, seconds; infinite if unwritten."""
        return now_s - self.written_at_s

    def was_written(self) -> bool:
        """Return whether the section was ever written."""
        return self.written_at_s != NEVER_S

    def take_writer(self, writer: str) -> "SectionWriter[T]":
        """Return the section's only write handle.

        Raises
        ------
        WriterTakenError
            The section has a writer already.
        """
        if self.writer:
            raise WriterTakenError(f"{self.name} is written by {self.writer}")
        self.writer = writer
        return SectionWriter(self)


@dataclass(frozen=True, slots=True)
class SectionWriter(Generic[T]):
    """Write handle of one section."""

    section: Section[T]

    def write(self, value: T, now_s: float) -> None:
        """Replace the section's value."""
        self.section.value = value
        self.section.written_at_s = now_s


@dataclass(slots=True)
class Board:
    """All sections of one router."""

    configuration: Section[Configuration | None] = field(
        default_factory=lambda: Section("configuration", None)
    )
    load: Section[dict[EndpointId, EndpointLoad]] = field(
        default_factory=lambda: Section("load", {})
    )
    leaving: Section[frozenset[EndpointId]] = field(
        default_factory=lambda: Section("leaving", frozenset())
    )
    loading: Section[frozenset[EndpointId]] = field(
        default_factory=lambda: Section("loading", frozenset())
    )
    peers: Section[frozenset[HostId]] = field(
        default_factory=lambda: Section("peers", frozenset())
    )
    usage: Section[dict[WorkspaceId, Demand]] = field(
        default_factory=lambda: Section("usage", {})
    )

    def list_sections(self) -> list[Section[Any]]:
        """Return all sections, in the order of their declaration."""
        return [getattr(self, entry.name) for entry in fields(self)]


def make_board() -> Board:
    """Return a board with no section written."""
    return Board()
