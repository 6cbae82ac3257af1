"""Keeps the newest configuration on the board."""

import time
from dataclasses import dataclass, field

from .board import SectionWriter
from .clocks import Clock
from .configuration import Configuration
from .ids import Revision
from .mirror import Mirror
from .revisions import RevisionsInForce

__all__ = ["ConfigurationController"]


@dataclass(slots=True)
class ConfigurationController:
    """Writes the configuration in force, from the store or from a peer.

    Parameters
    ----------
    writer : SectionWriter
    clock : Clock
    """

    writer: SectionWriter[Configuration | None]
    clock: Clock = time.monotonic
    in_force: RevisionsInForce = field(default_factory=RevisionsInForce)

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 when there is none yet."""
        return self.in_force.revision

    def update(self, mirror: Mirror) -> None:
        """Take what the store holds, if it is newer."""
        if self.in_force.accept(mirror.items):
            self._publish()

    def _publish(self) -> None:
        self.writer.write(self.in_force.configuration, self.clock())

    def export(self, revision: Revision) -> tuple[Revision, bytes] | None:
        """Return the configuration for a peer that holds an older revision."""
        return self.in_force.export(revision)

    def offer(self, revision: Revision, data: bytes) -> bool:
        """Take a configuration that a peer exported, if it is newer and valid."""
        if not self.in_force.offer(revision, data):
            return False
        self._publish()
        return True
