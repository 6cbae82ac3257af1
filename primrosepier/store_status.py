"""Status of the shared state in the key-value service, for operators."""

from dataclasses import dataclass

from .leases import DUTIES_PREFIX, decode_duty
from .revisions import MANIFEST_KEY, STATE_PREFIX, decode_manifest
from .rollout import list_out_of_service
from .store import Snapshot, Store, Unavailable

__all__ = ["DutyHolder", "StoreStatus", "describe_store", "read_store_status"]


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """A duty with its holder and fencing number."""

    duty: str
    host: str
    fencing: int


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """Shared state in the key-value service.

    Parameters
    ----------
    reachable : bool
    revision : int
        Revision of the stored configuration; 0 for none.
    author : str
        Operator who applied it.
    duties : tuple of DutyHolder
    loading : tuple of str
        Replicas that are out of service to load weights.
    reason : str
        Why the service did not answer; empty when it did.
    """

    reachable: bool
    revision: int = 0
    author: str = ""
    duties: tuple[DutyHolder, ...] = ()
    loading: tuple[str, ...] = ()
    reason: str = ""


async def read_store_status(store: Store) -> StoreStatus:
    """Read the shared state once."""
    snapshot = await store.read(STATE_PREFIX)
    if isinstance(snapshot, Unavailable):
        return StoreStatus(False, reason=snapshot.reason)
    item = snapshot.items.get(MANIFEST_KEY)
    manifest = decode_manifest(item.value) if item else None
    return StoreStatus(
        reachable=True,
        revision=manifest.revision if manifest else 0,
        author=manifest.notes[0].author if manifest and manifest.notes else "",
        duties=_list_duties(snapshot),
        loading=tuple(sorted(list_out_of_service(list(snapshot.items)))),
    )


def _list_duties(snapshot: Snapshot) -> tuple[DutyHolder, ...]:
    holders = []
    for key, item in snapshot.items.items():
        record = decode_duty(item.value) if key.startswith(DUTIES_PREFIX) else None
        if record is not None:
            duty = key.removeprefix(DUTIES_PREFIX)
            holders.append(DutyHolder(duty, record.host, record.fencing))
    return tuple(holders)


def describe_store(status: StoreStatus, newest: int) -> list[str]:
    """Return status lines; ``newest`` is the newest revision on the routers."""
    if not status.reachable:
        return [f"store: no answer ({status.reason})"]
    lines = [f"store: revision {status.revision} by {status.author or 'nobody'}"]
    if status.revision < newest:
        lines.append(f"store: older than revision {newest} in force; apply again")
    for holder in status.duties:
        lines.append(f"duty {holder.duty}: {holder.host}, fencing {holder.fencing}")
    if status.loading:
        lines.append(f"loading: {', '.join(status.loading)}")
    return lines
