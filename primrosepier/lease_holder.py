"""Acquires, renews and releases duties through the key-value service."""

import secrets
import time
from dataclasses import dataclass

from .clocks import Clock
from .decoding import parse_count
from .ids import Revision
from .leases import (
    AcquisitionAttempt,
    Duty,
    DutyRecord,
    compute_next_fencing,
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


def _read_fencing_number(item: Item | None) -> int:
    return 0 if item is None else parse_count(item.value) or 0


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """Acquires, renews and releases a router's duties in the store.

    Parameters
    ----------
    store : Store
    clock : Clock
    """

    store: Store
    clock: Clock = time.monotonic

    async def acquire(self, duty: Duty) -> bool:
        """Try to become the holder; return whether it succeeded."""
        acquired = await self._try_acquire(duty)
        if not acquired:
            duty.record_failure(self.clock())
        return acquired

    async def _try_acquire(self, duty: Duty) -> bool:
        requested_at_s = self.clock()
        snapshot = await self.store.read(make_fencing_key(duty.name))
        if isinstance(snapshot, Unavailable):
            return False
        granted = await self.store.grant_lease(duty.bounds.ttl_s)
        if isinstance(granted, Unavailable) or granted.restores != snapshot.restores:
            return False
        counter = snapshot.items.get(make_fencing_key(duty.name))
        record = DutyRecord(
            host=duty.host,
            token=secrets.token_hex(TOKEN_BYTES),
            fencing=compute_next_fencing(
                _read_fencing_number(counter), snapshot.restores
            ),
        )
        attempt = AcquisitionAttempt(
            name=duty.name,
            record=record,
            lease=granted.lease,
            requested_at_s=requested_at_s,
            counter_revision=counter.mod_revision if counter else Revision(0),
            restores=snapshot.restores,
        )
        if await self._write(duty, attempt):
            return True
        await self.store.revoke_lease(granted.lease)
        return False

    async def _write(self, duty: Duty, attempt: AcquisitionAttempt) -> bool:
        outcome = await self.store.transact(
            attempt.make_compares(), attempt.make_puts()
        )
        if isinstance(outcome, Applied) and outcome.restores == attempt.restores:
            duty.become_holder(attempt, outcome.revision, self.clock())
            return True
        if isinstance(outcome, Ambiguous):
            return await self._read_back(duty, attempt)
        return False

    async def _read_back(self, duty: Duty, attempt: AcquisitionAttempt) -> bool:
        item = await self._read_acquisition(
            duty.name, attempt.record.token, attempt.restores
        )
        if item is None:
            return False
        duty.become_holder(attempt, item.mod_revision, self.clock())
        return True

    async def _read_acquisition(
        self, name: str, token: str, restores: int
    ) -> Item | None:
        """Return a duty's item if it is that of an acquisition and a restore."""
        key = make_duty_key(name)
        snapshot = await self.store.read(key)
        if isinstance(snapshot, Unavailable) or snapshot.restores != restores:
            return None
        item = snapshot.items.get(key)
        record = decode_duty(item.value) if item else None
        return item if record is not None and record.token == token else None

    async def keep_alive(self, duty: Duty) -> None:
        """Renew the holder's lease; step down at once when it is lost.

        After a restore of the store the lease may have been granted to a peer, so the
        holder steps down unless the duty's key still shows its own acquisition.
        """
        requested_at_s = self.clock()
        outcome = await self.store.keep_alive(duty.lease)
        if isinstance(outcome, LeaseLost):
            duty.step_down()
        elif not isinstance(outcome, Unavailable):
            restores = outcome.restores
            if restores != duty.restores:
                item = await self._read_acquisition(duty.name, duty.token, restores)
                if item is None:
                    duty.step_down()
                    return
                duty.restores = restores
            duty.record_renewal(requested_at_s)

    async def release(self, duty: Duty) -> None:
        """Step down and revoke the lease."""
        lease = duty.lease
        duty.step_down()
        await self.store.revoke_lease(lease)

    async def raise_fencing(self, duty: Duty, fencing_number: int) -> None:
        """Store a higher fencing number reported by an endpoint, and step down.

        The next acquisition then gets a greater number, even if the store was restored
        from a backup with an older counter.
        """
        key = make_fencing_key(duty.name)
        snapshot = await self.store.read(key)
        item = None if isinstance(snapshot, Unavailable) else snapshot.items.get(key)
        if item is not None and _read_fencing_number(item) < fencing_number:
            value = str(fencing_number).encode()
            await self.store.transact(
                [Compare(key, item.mod_revision)], [Put(key, value)]
            )
        await self.release(duty)
