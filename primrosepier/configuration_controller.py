"""Publishing of the newest configuration on the board."""

import time
from dataclasses import dataclass, field

from .board import SectionWriter
from .clocks import Clock
from .configuration import Configuration
from .ids import Revision
from .mirror import Mirror
from .revisions import ActiveRevision

__all__ = ["ConfigurationController"]


@dataclass(slots=True)
class ConfigurationController:
    """Applies new revisions from the store or a peer and writes them to the board.

    Parameters
    ----------
    writer : SectionWriter
        Writer of the board's configuration section.
    """

    writer: SectionWriter[Configuration | None]
    clock: Clock = time.monotonic
    active: ActiveRevision = field(default_factory=ActiveRevision)

    @property
    def revision(self) -> Revision:
        """The active revision; 0 before the first one."""
        return self.active.revision

    def update(self, mirror: Mirror) -> None:
        """Apply the revision in the store if it is newer."""
        if self.active.apply_items(mirror.items):
            self._publish()

    def _publish(self) -> None:
        self.writer.write(self.active.configuration, self.clock())

    def export(self, revision: Revision) -> tuple[Revision, bytes] | None:
        """Return the active revision, encoded, or None if the peer's is not older."""
        return self.active.export(revision)

    def apply_export(self, revision: Revision, data: bytes) -> bool:
        """Apply the configuration exported by a peer if it is newer and valid."""
        if not self.active.apply_export(revision, data):
            return False
        self._publish()
        return True
