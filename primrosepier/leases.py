"""Duties that one router holds at a time through a lease. Does no I/O."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from .ids import FencingNumber, HostId, Revision
from .revisions import STATE_PREFIX
from .settings import LeaseBounds
from .store import Compare, Item, Put

__all__ = [
    "DUTIES_PREFIX",
    "Acquisition",
    "Duty",
    "DutyRecord",
    "DutyStep",
    "compute_rank",
    "decode_duty",
    "make_duty_key",
    "make_fencing_key",
]

DUTIES_PREFIX = STATE_PREFIX + "duties/"
ISOLATED_HOST_RANKS = 10
BASE_RETRY_S = 1.0
MAX_DOUBLINGS = 10
MAX_RETRY_S = 60.0
FENCING_PREFIX = "/primrosepier/fencing/"


class DutyRecord(msgspec.Struct, frozen=True):
    """Stored value of a held duty.

    Parameters
    ----------
    host : str
    token : str
        Unguessable identifier of this acquisition.
    fencing : int
        Fencing number of the holder's orders.
    """

    host: str
    token: str
    fencing: int


def make_duty_key(name: str) -> str:
    """Return the store's key of a duty, which is bound to the holder's lease."""
    return DUTIES_PREFIX + name


def make_fencing_key(name: str) -> str:
    """Return the store's key of a duty's fencing counter, which is never deleted."""
    return FENCING_PREFIX + name


def decode_duty(value: bytes) -> DutyRecord | None:
    """Return the holder in a stored value, or None when it is not valid."""
    try:
        return msgspec.json.decode(value, type=DutyRecord)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def compute_rank(name: str, host: HostId, peers: frozenset[HostId]) -> int:
    """Return how many peers rank before a host as candidates for a duty.

    A host that knows no peers yet gets one of a few later ranks, by a hash of its name.
    """

    def compute_score(candidate: HostId) -> int:
        return xxhash.xxh64_intdigest(f"{name}/{candidate}".encode())

    if not peers:
        return ISOLATED_HOST_RANKS + compute_score(host) % ISOLATED_HOST_RANKS
    own_score = compute_score(host)
    return sum(compute_score(peer) > own_score for peer in peers if peer != host)


@dataclass(frozen=True, slots=True)
class Acquisition:
    """An attempt to acquire a free duty under a newly granted lease."""

    name: str
    record: DutyRecord
    lease: int
    requested_at_s: float
    counter_revision: Revision

    def make_compares(self) -> list[Compare]:
        """Return the conditions: the duty is free and its counter is unchanged."""
        return [
            Compare(make_duty_key(self.name), Revision(0)),
            Compare(make_fencing_key(self.name), self.counter_revision),
        ]

    def make_puts(self) -> list[Put]:
        """Return the writes: the holder and the fencing counter."""
        number = str(self.record.fencing).encode()
        return [
            Put(make_duty_key(self.name), msgspec.json.encode(self.record), self.lease),
            Put(make_fencing_key(self.name), number),
        ]


class DutyStep(Enum):
    """Next step of a router for a duty."""

    WAIT = "wait"
    ACQUIRE = "acquire"
    KEEP_ALIVE = "keep_alive"
    STEP_DOWN = "step_down"


@dataclass(slots=True)
class Duty:
    """One router's view of one duty.

    Attributes
    ----------
    fencing : FencingNumber
        Number of the acquisition; 0 when this router is not the holder.
    revision : Revision
        Revision of the duty's key, a condition of each write by the holder.
    valid_until_s : float
        Monotonic time until which this router is certain to be the only holder.
    exclusive_from_s : float
        Monotonic time from which no order of the previous holder can arrive.
    """

    name: str
    host: HostId
    bounds: LeaseBounds = field(default_factory=LeaseBounds)
    fencing: FencingNumber = FencingNumber(0)
    lease: int = 0
    revision: Revision = Revision(0)
    valid_until_s: float = float("-inf")
    exclusive_from_s: float = float("inf")
    renewed_at_s: float = float("-inf")
    free_since_s: float | None = None
    retry_at_s: float = float("-inf")
    failures: int = 0

    def decide(
        self, holder: Item | None, peers: frozenset[HostId], now_s: float
    ) -> DutyStep:
        """Return the next step.

        Parameters
        ----------
        holder : Item or None
            The duty's key in the mirror, which may lag.
        """
        if self.fencing:
            return self._decide_holder(now_s)
        if holder is not None:
            self.free_since_s = None
            return DutyStep.WAIT
        if self.free_since_s is None:
            self.free_since_s = now_s
        rank = compute_rank(self.name, self.host, peers)
        turn_s = self.free_since_s + rank * self.bounds.rank_s
        if now_s < max(turn_s, self.retry_at_s):
            return DutyStep.WAIT
        return DutyStep.ACQUIRE

    def _decide_holder(self, now_s: float) -> DutyStep:
        if now_s >= self.valid_until_s:
            return DutyStep.STEP_DOWN
        if now_s >= self.renewed_at_s + self.bounds.ttl_s / 3:
            return DutyStep.KEEP_ALIVE
        return DutyStep.WAIT

    def record_failure(self, now_s: float) -> None:
        """Back off after a failed attempt, with a per-host fraction as jitter."""
        bound_s = min(MAX_RETRY_S, BASE_RETRY_S * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        fraction = (
            xxhash.xxh64_intdigest(f"{self.host}/{self.failures}".encode()) % 1000
        )
        self.retry_at_s = now_s + bound_s * fraction / 1000

    def become_holder(
        self, acquisition: Acquisition, revision: Revision, now_s: float
    ) -> None:
        """Record a successful acquisition."""
        self.fencing = FencingNumber(acquisition.record.fencing)
        self.lease = acquisition.lease
        self.failures = 0
        self.revision = revision
        self.free_since_s = None
        self.exclusive_from_s = now_s + self.bounds.compute_takeover_wait_s()
        self.extend(acquisition.requested_at_s)

    def extend(self, requested_at_s: float) -> None:
        """Record a renewal of the lease that was requested at the given time."""
        self.renewed_at_s = requested_at_s
        self.valid_until_s = requested_at_s + self.bounds.compute_safe_hold_s()

    def step_down(self) -> None:
        """Stop being the holder."""
        self.fencing = FencingNumber(0)
        self.valid_until_s = float("-inf")
        self.exclusive_from_s = float("inf")
        self.free_since_s = None

    def may_order(self, honours_fencing: bool, now_s: float) -> bool:
        """Return whether an order may be sent now.

        It must arrive before the lease expires. An endpoint that does not check fencing
        numbers gets none before the previous holder's orders can no longer arrive.
        """
        if not self.fencing or now_s + self.bounds.order_s >= self.valid_until_s:
            return False
        return honours_fencing or now_s >= self.exclusive_from_s

    def make_guard(self) -> Compare:
        """Return the condition that this router is still the holder."""
        return Compare(make_duty_key(self.name), self.revision)
