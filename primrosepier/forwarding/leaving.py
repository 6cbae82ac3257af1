"""Replicas that say in their answers that they are leaving. Does no I/O.

The word belongs to one process: a replica that starts again under its id owes nothing.
No answer revokes it, since an answer without it may have been sent before. Neither does
a registration of the same process that says ``ready``.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..ids import EndpointId
from .fleet import Replica

__all__ = ["LeavingReplicas"]

# Time for which the word of a process that is no longer registered is kept, seconds:
# far above the time for which leaving replicas go on serving.
RETENTION_S = 60.0
UNKNOWN_START = 0

_Process = tuple[EndpointId, int]


def ignore_leaving(replica: Replica) -> None:
    """Do nothing; used where no one is told of leaving replicas."""


@dataclass(slots=True)
class LeavingReplicas:
    """Keeps which processes of replicas are leaving by their own word.

    Parameters
    ----------
    drain_s : float
        Time for which a leaving replica may still get calls, seconds.
    notify : callable
        Called when a replica is first found leaving.

    Attributes
    ----------
    told_at_s : dict of (EndpointId, int) to float
        Time of the first answer that told it, by process, seconds.
    """

    drain_s: float = 0.0
    notify: Callable[[Replica], None] = ignore_leaving
    told_at_s: dict[_Process, float] = field(default_factory=dict)

    def record(self, replica: Replica, now_s: float) -> None:
        """Record that an answer told that the replica is leaving."""
        process = _get_process(replica)
        if process not in self.told_at_s:
            self.told_at_s[process] = now_s
            self.notify(replica)

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether this process of the replica is leaving."""
        return _get_process(replica) in self.told_at_s

    def select_staying(self, replicas: Sequence[Replica]) -> Sequence[Replica]:
        """Return the replicas that are not leaving."""
        if not self.told_at_s:
            return replicas
        return [replica for replica in replicas if not self.is_leaving(replica)]

    def select(self, replicas: Sequence[Replica], now_s: float) -> Sequence[Replica]:
        """Return the replicas that stay, or if none does, those still in drain time."""
        return self.select_staying(replicas) or [
            replica
            for replica in replicas
            if now_s <= self.told_at_s[_get_process(replica)] + self.drain_s
        ]

    def retain(self, replicas: Iterable[Replica], now_s: float) -> None:
        """Forget processes that are no longer registered.

        One with a known start is kept for a while, as its entry may come back.
        """
        registered = {_get_process(replica) for replica in replicas}
        self.told_at_s = {
            process: told_at_s
            for process, told_at_s in self.told_at_s.items()
            if process in registered
            or (process[1] != UNKNOWN_START and now_s < told_at_s + RETENTION_S)
        }


def _get_process(replica: Replica) -> _Process:
    return replica.id, replica.born_ms
