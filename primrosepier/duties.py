"""Taking, keeping and giving up duties through the key-value service."""

import secrets
import time
from dataclasses import dataclass

from .clocks import Clock
from .ids import Revision
from .leases import (
    Acquisition,
    Duty,
    DutyRecord,
    decode_duty,
    make_duty_key,
    make_fencing_key,
)
from .store import (
    Ambiguous,
    Applied,
    Compare,
    Item,
    LeaseLost,
    Put,
    Store,
    Unavailable,
)

__all__ = ["LeaseHolder"]

TOKEN_BYTES = 8


def _read_number(item: Item | None) -> int:
    return int(item.value) if item is not None and item.value.isdigit() else 0


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """Makes the calls that change who holds a duty.

    Parameters
    ----------
    store : Store
    clock : Clock
    """

    store: Store
    clock: Clock = time.monotonic

    async def acquire(self, duty: Duty) -> bool:
        """Try to become the holder; return whether it worked."""
        taken = await self._try_acquire(duty)
        if not taken:
            duty.note_failure(self.clock())
        return taken

    async def _try_acquire(self, duty: Duty) -> bool:
        asked_at_s = self.clock()
        counter = await self.store.read(make_fencing_key(duty.name))
        if isinstance(counter, Unavailable):
            return False
        granted = await self.store.grant_lease(duty.bounds.ttl_s)
        if isinstance(granted, Unavailable):
            return False
        last = counter.items.get(make_fencing_key(duty.name))
        record = DutyRecord(
            host=duty.host,
            token=secrets.token_hex(TOKEN_BYTES),
            fencing=_read_number(last) + 1,
        )
        acquisition = Acquisition(
            name=duty.name,
            record=record,
            lease=granted.lease,
            asked_at_s=asked_at_s,
            counter=last.mod_revision if last else Revision(0),
        )
        if await self._write(duty, acquisition):
            return True
        await self.store.revoke_lease(granted.lease)
        return False

    async def _write(self, duty: Duty, acquisition: Acquisition) -> bool:
        outcome = await self.store.transact(
            acquisition.make_compares(), acquisition.make_puts()
        )
        if isinstance(outcome, Applied):
            duty.take(acquisition, outcome.revision, self.clock())
            return True
        if isinstance(outcome, Ambiguous):
            return await self._read_back(duty, acquisition)
        return False

    async def _read_back(self, duty: Duty, acquisition: Acquisition) -> bool:
        key = make_duty_key(duty.name)
        snapshot = await self.store.read(key)
        item = None if isinstance(snapshot, Unavailable) else snapshot.items.get(key)
        record = decode_duty(item.value) if item else None
        if item is None or record is None or record.token != acquisition.record.token:
            return False
        duty.take(acquisition, item.mod_revision, self.clock())
        return True

    async def keep_alive(self, duty: Duty) -> None:
        """Extend the holder's lease; step down at once when it is lost."""
        asked_at_s = self.clock()
        outcome = await self.store.keep_alive(duty.lease)
        if isinstance(outcome, LeaseLost):
            duty.drop()
        elif not isinstance(outcome, Unavailable):
            duty.extend(asked_at_s)

    async def release(self, duty: Duty) -> None:
        """Give the duty up."""
        lease = duty.lease
        duty.drop()
        await self.store.revoke_lease(lease)

    async def raise_fencing(self, duty: Duty, number: int) -> None:
        """Note a higher number that an endpoint knows, and step down.

        The next acquisition is ahead of it, also when the store was restored.
        """
        key = make_fencing_key(duty.name)
        snapshot = await self.store.read(key)
        item = None if isinstance(snapshot, Unavailable) else snapshot.items.get(key)
        if item is not None and _read_number(item) < number:
            value = str(number).encode()
            await self.store.transact(
                [Compare(key, item.mod_revision)], [Put(key, value)]
            )
        await self.release(duty)
