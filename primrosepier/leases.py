"""Duties that one router holds at a time through a lease. Does no I/O.

The holder of a duty sends orders to endpoints, such as to load weights. Each order
carries the fencing number of the holder's acquisition, so that an endpoint can refuse
late orders of an earlier holder.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash

from .decoding import decode_json
from .errors import MessageError
from .ids import FencingNumber, HostId, Revision
from .revisions import STATE_PREFIX
from .settings import LeaseBounds
from .store import Compare, Item, Put

__all__ = [
    "DUTIES_PREFIX",
    "AcquisitionAttempt",
    "Duty",
    "DutyRecord",
    "DutyAction",
    "compute_next_fencing",
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
# Fencing numbers between two restores of the store: more than the acquisitions of many
# months, and few enough that JSON readers represent the numbers exactly.
FENCING_NUMBERS_PER_RESTORE = 2**24
# Restores that the numbers tell apart, as the count may begin anywhere. All numbers are
# then below 2**53, which JSON readers represent exactly.
DISTINCT_RESTORES = 2**29


class DutyRecord(msgspec.Struct, frozen=True):
    """Stored value of a held duty.

    Parameters
    ----------
    host : str
    token : str
        Random nonce that identifies the acquisition; it is unrelated to fencing.
    fencing : int
        Fencing number of the holder's orders.
    """

    host: str
    token: str
    fencing: int


def make_duty_key(name: str) -> str:
    """Return the store key of a duty; it is deleted when the holder's lease ends."""
    return DUTIES_PREFIX + name


def make_fencing_key(name: str) -> str:
    """Return the store key of a duty's fencing counter, which is never deleted."""
    return FENCING_PREFIX + name


def decode_duty(value: bytes) -> DutyRecord | None:
    """Decode a duty record; return None when the value is malformed."""
    try:
        return decode_json(value, DutyRecord)
    except MessageError:
        return None


def compute_next_fencing(counter: int, restores: int) -> int:
    """Return the fencing number of the next acquisition.

    A store that was restored from a copy may have lost the newest values of the
    counter, so the numbers after each restore start at a higher one.

    Parameters
    ----------
    counter : int
        Last fencing number according to the store; 0 without one.
    restores : int
        Rises by one with each restore of the store; 0 if the store does not tell.
    """
    start = restores % DISTINCT_RESTORES * FENCING_NUMBERS_PER_RESTORE
    return max(counter, start) + 1


def compute_rank(name: str, host: HostId, peers: frozenset[HostId]) -> int:
    """Return how many peers rank before a host as candidates for a duty.

    A host that knows no peers yet gets a rank from ``ISOLATED_HOST_RANKS`` on, by a
    hash of its name, so that connected hosts try first.
    """

    def compute_score(candidate: HostId) -> int:
        return xxhash.xxh64_intdigest(f"{name}/{candidate}".encode())

    if not peers:
        return ISOLATED_HOST_RANKS + compute_score(host) % ISOLATED_HOST_RANKS
    own_score = compute_score(host)
    return sum(compute_score(peer) > own_score for peer in peers if peer != host)


@dataclass(frozen=True, slots=True)
class AcquisitionAttempt:
    """An attempt to acquire a free duty under a newly granted lease.

    Parameters
    ----------
    restores : int
        How often the store had been restored when the counter was read. After another
        restore the revision of the counter no longer identifies its value.
    """

    name: str
    record: DutyRecord
    lease: int
    requested_at_s: float
    counter_revision: Revision
    restores: int = 0

    def make_compares(self) -> list[Compare]:
        """Return the conditions: the duty is free and its counter is unchanged."""
        return [
            Compare(make_duty_key(self.name), Revision(0)),
            Compare(make_fencing_key(self.name), self.counter_revision),
        ]

    def make_puts(self) -> list[Put]:
        """Return the writes: the holder and the fencing counter."""
        counter_value = str(self.record.fencing).encode()
        return [
            Put(make_duty_key(self.name), msgspec.json.encode(self.record), self.lease),
            Put(make_fencing_key(self.name), counter_value),
        ]


class DutyAction(Enum):
    """What a router does next about a duty."""

    WAIT = "wait"
    ACQUIRE = "acquire"
    KEEP_ALIVE = "keep_alive"
    STEP_DOWN = "step_down"


@dataclass(slots=True)
class Duty:
    """One router's view of one duty.

    Attributes
    ----------
    fencing_number : FencingNumber
        Fencing number of the acquisition; 0 when this router is not the holder.
    token : str
        Nonce of the acquisition; empty when this router is not the holder.
    revision : Revision
        Revision of the duty's store key, a condition of each write by the holder.
    restores : int
        How often the store had been restored when it last confirmed the acquisition.
        After another restore the lease, the revision and the number may be a peer's.
    valid_until_s : float
        Monotonic time until which this router is certain to be the only holder.
    exclusive_from_s : float
        Monotonic time from which no order of the previous holder can arrive.
    renewal_requested_at_s : float
        Monotonic time at which the last successful grant or renewal was requested.
    free_since_s : float or None
        Monotonic time at which this router first saw the duty without a holder.
    retry_at_s : float
        Monotonic time before which this router does not try to acquire the duty again.
    """

    name: str
    host: HostId
    bounds: LeaseBounds = field(default_factory=LeaseBounds)
    fencing_number: FencingNumber = FencingNumber(0)
    lease: int = 0
    token: str = ""
    revision: Revision = Revision(0)
    restores: int = 0
    valid_until_s: float = float("-inf")
    exclusive_from_s: float = float("inf")
    renewal_requested_at_s: float = float("-inf")
    free_since_s: float | None = None
    retry_at_s: float = float("-inf")
    failures: int = 0

    def decide(
        self, duty_item: Item | None, peers: frozenset[HostId], now_s: float
    ) -> DutyAction:
        """Return the next action.

        Parameters
        ----------
        duty_item : Item or None
            The duty in the local copy of the store, which may be stale; None when no
            router holds the duty.
        """
        if self.fencing_number:
            return self._decide_holder(now_s)
        if duty_item is not None:
            self.free_since_s = None
            return DutyAction.WAIT
        if self.free_since_s is None:
            self.free_since_s = now_s
        rank = compute_rank(self.name, self.host, peers)
        turn_s = self.free_since_s + rank * self.bounds.rank_s
        if now_s < max(turn_s, self.retry_at_s):
            return DutyAction.WAIT
        return DutyAction.ACQUIRE

    def _decide_holder(self, now_s: float) -> DutyAction:
        if now_s >= self.valid_until_s:
            return DutyAction.STEP_DOWN
        if now_s >= self.renewal_requested_at_s + self.bounds.ttl_s / 3:
            return DutyAction.KEEP_ALIVE
        return DutyAction.WAIT

    def record_failure(self, now_s: float) -> None:
        """Back off exponentially after a failed attempt, with jitter by host name."""
        max_backoff_s = min(MAX_RETRY_S, BASE_RETRY_S * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        jitter = xxhash.xxh64_intdigest(f"{self.host}/{self.failures}".encode()) % 1000
        self.retry_at_s = now_s + max_backoff_s * jitter / 1000

    def become_holder(
        self, attempt: AcquisitionAttempt, revision: Revision, now_s: float
    ) -> None:
        """Record a successful acquisition."""
        self.fencing_number = FencingNumber(attempt.record.fencing)
        self.lease = attempt.lease
        self.token = attempt.record.token
        self.failures = 0
        self.revision = revision
        self.restores = attempt.restores
        self.free_since_s = None
        self.exclusive_from_s = now_s + self.bounds.compute_takeover_wait_s()
        self.record_renewal(attempt.requested_at_s)

    def record_renewal(self, requested_at_s: float) -> None:
        """Record a grant or renewal of the lease, requested at the given time."""
        self.renewal_requested_at_s = requested_at_s
        self.valid_until_s = requested_at_s + self.bounds.compute_safe_hold_s()

    def step_down(self) -> None:
        """Stop being the holder."""
        self.fencing_number = FencingNumber(0)
        self.token = ""
        self.valid_until_s = float("-inf")
        self.exclusive_from_s = float("inf")
        self.free_since_s = None

    def may_order(self, honours_fencing: bool, now_s: float) -> bool:
        """Return whether an order may be sent now.

        The order must arrive before the lease expires. An endpoint that does not check
        fencing numbers is sent no order until those of the previous holder can no
        longer arrive.
        """
        if not self.fencing_number or now_s + self.bounds.order_s >= self.valid_until_s:
            return False
        return honours_fencing or now_s >= self.exclusive_from_s

    def make_guard(self) -> Compare:
        """Return the condition that this router is still the holder."""
        return Compare(make_duty_key(self.name), self.revision)
