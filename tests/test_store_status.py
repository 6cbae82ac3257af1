import anyio

from primrosepier.clocks import ManualClock
from primrosepier.configuration import Configuration, Model
from primrosepier.lease_holder import LeaseHolder
from primrosepier.leases import Duty
from primrosepier.publishing import apply_configuration
from primrosepier.rollout import make_loading_record_key
from primrosepier.store import MemoryStore, Put
from primrosepier.store_status import describe_store, read_store_status


def test_status_shows_revision_holders_and_loading_replicas():
    async def run():
        store = MemoryStore(ManualClock())
        empty = await read_store_status(store)
        assert describe_store(empty, 0) == ["store: revision 0 by nobody"]
        configuration = Configuration(models={"m": Model("m", "1")})
        applied = await apply_configuration(store, configuration, "ann")
        lease_holder = LeaseHolder(store, store.state.clock)
        await lease_holder.acquire(Duty("rollout/s", "entry-1"))
        await store.transact([], [Put(make_loading_record_key("s", "e1"), b"{}")])
        status = await read_store_status(store)
        assert describe_store(status, applied.revision + 1) == [
            f"store: revision {applied.revision} by ann",
            f"store: older than revision {applied.revision + 1} in force; apply again",
            "duty rollout/s: entry-1, fencing 1",
            "loading: e1",
        ]
        store.faults.down = True
        assert "no answer" in describe_store(await read_store_status(store), 1)[0]

    anyio.run(run)
