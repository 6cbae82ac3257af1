"""The configuration in force: publishing it, and keeping the newest."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from .configuration import Configuration, decode_configuration, encode_configuration
from .ids import Revision
from .store import Ambiguous, Applied, Compare, Conflict, Put, Store, Unavailable

__all__ = [
    "CONFIGURATION_KEY",
    "ApplyOutcome",
    "ApplyResult",
    "apply_configuration",
    "decode_revision",
]

CONFIGURATION_KEY = "/primrosepier/configuration"


class ApplyResult(Enum):
    """How an apply ended."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ApplyOutcome:
    """Result of an apply with the revision that is in force after it."""

    result: ApplyResult
    revision: Revision
    reason: str = ""


def decode_revision(value: bytes) -> Configuration | None:
    """Return the configuration in a stored value, or None when it is not valid."""
    try:
        return decode_configuration(value)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


async def apply_configuration(
    store: Store, configuration: Configuration
) -> ApplyOutcome:
    """Put a configuration in force by compare-and-swap on the revision before."""
    before = await store.read(CONFIGURATION_KEY)
    if isinstance(before, Unavailable):
        return ApplyOutcome(ApplyResult.UNAVAILABLE, Revision(0), before.reason)
    item = before.items.get(CONFIGURATION_KEY)
    last = item.mod_revision if item else Revision(0)
    value = encode_configuration(configuration)
    outcome = await store.transact(
        [Compare(CONFIGURATION_KEY, last)], [Put(CONFIGURATION_KEY, value)]
    )
    if isinstance(outcome, Applied):
        return ApplyOutcome(ApplyResult.APPLIED, outcome.revision)
    if isinstance(outcome, Conflict):
        reason = "another apply came first"
        return ApplyOutcome(ApplyResult.CONFLICT, outcome.revision, reason)
    if isinstance(outcome, Ambiguous):
        return ApplyOutcome(ApplyResult.UNKNOWN, last, outcome.reason)
    reason = getattr(outcome, "reason", "the lease is lost")
    return ApplyOutcome(ApplyResult.UNAVAILABLE, last, reason)
