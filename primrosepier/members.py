"""Members of the fleet and the parameters of the membership protocol."""

from dataclasses import dataclass
from enum import IntEnum

import xxhash

from .messages import MemberRecord

__all__ = [
    "Member",
    "MemberState",
    "MembershipRules",
    "hash_live",
    "decode_state",
    "replace_state",
]


class MemberState(IntEnum):
    """State of a member; within one incarnation the greater state wins.

    A router treats ``DEAD`` in a record from a peer as ``SUSPECT``.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MembershipRules:
    """Times and bounds of the membership protocol.

    Parameters
    ----------
    round_s : float
        Time between probes, seconds.
    helpers : int
        Members used for an indirect probe.
    suspicion_rounds : float
        Rounds from suspicion to death, per doubling of the fleet.
    sends : float
        Times that one update is sent, per doubling of the fleet.
    budget_bytes : int
        Maximum size of the updates in one message, bytes.
    dead_retention_s : float
        Time after which a dead or departed member is removed, seconds.
    sync_s : float
        Minimum time between reads of a full member table, seconds.
    reconnect_rounds : int
        Rounds between attempts to reach a dead member or a seed.
    startup_seeds : int
        Seeds tried at once during startup.
    """

    round_s: float = 1.0
    helpers: int = 3
    suspicion_rounds: float = 4.0
    sends: float = 2.0
    budget_bytes: int = 600
    dead_retention_s: float = 24 * 3600.0
    sync_s: float = 30.0
    reconnect_rounds: int = 10
    startup_seeds: int = 3


@dataclass(slots=True)
class Member:
    """This router's view of a member.

    Parameters
    ----------
    changed_at_s : float
        Monotonic time at which the record was last replaced, seconds.
    """

    record: MemberRecord
    state: MemberState
    changed_at_s: float


def replace_state(
    record: MemberRecord, incarnation: int, state: MemberState
) -> MemberRecord:
    """Return a record of the same member with another incarnation and state."""
    return MemberRecord(
        record.host, record.address, record.failure_domain, incarnation, state
    )


def hash_live(record: MemberRecord) -> int:
    """Return the hash of a live member, or 0 for a dead or departed one."""
    if record.state > MemberState.SUSPECT:
        return 0
    text = f"{record.host}/{record.incarnation}"
    return xxhash.xxh32_intdigest(text.encode())


def decode_state(value: int) -> MemberState | None:
    """Decode the state of a record; return None for an unknown value."""
    return MemberState(value) if value <= MemberState.LEFT else None
