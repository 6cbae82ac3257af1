"""After a drill of the store, a second holder orders with the first one's number."""

import asyncio
import contextlib
import copy
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

from primrosepier.asgi import open_server  # noqa: E402
from primrosepier.platform.standins import StandinReplica, StandinStore  # noqa: E402

ROUTERS = (
    "frontend-rennes-1",
    "frontend-rennes-2",
    "frontend-brest-1",
    "frontend-brest-2",
    "frontend-vannes-2",
    "frontend-vannes-1",
)
# All machines start within this time, in any order, seconds.
START_SPREAD_S = 0.3
REPLICAS = ("w1", "w2", "w3")
# Age of the copy from which the store comes back, and for how long it is away before,
# seconds.
COPY_AGE_S = 5.0
AWAY_S = 1.0
COPY_INTERVAL_S = 0.1
# Another drill is played, so long after the one before, if the same router became the
# holder again; and how many at most. Its copy is from after the one before, too.
NEXT_DRILL_S = 5.3
DRILLS = 3
DUTY_KEY_END = "duties/weights"


class Replica(StandinReplica):
    """Replica that records all orders that arrive."""

    record: harness.Record
    arrived_orders: list

    async def _apply_order(self, order, send):
        self.arrived_orders.append(order)
        fence, holder, version = order["fence"], order["holder"], order["version"]
        self.record.write(
            f"{self.id}: order to load version {version} from {holder}, epoch number "
            f"{fence}"
        )
        await super()._apply_order(order, send)


async def keep_copies(memory, copies):
    """Copy the state of the store again and again."""
    while True:
        copies.append((time.monotonic(), copy.deepcopy(memory.state)))
        del copies[: max(0, len(copies) - 200)]
        await asyncio.sleep(COPY_INTERVAL_S)


def find_holder(store):
    """Return the name and the number of the holder in the store; None without one."""
    for key, item in store.memory.items.items():
        if key.endswith(DUTY_KEY_END):
            holder = json.loads(item.value)
            return holder["host"], holder["fencing"]
    return None


async def play_drill(store, copies, write_again, record):
    """Take the store away for a moment and bring it back from a copy."""
    asked_at_s = time.monotonic()
    store.faults.status = 503
    record.write(f"drill: the store is away; holder: {find_holder(store)}")
    await asyncio.sleep(AWAY_S)
    at_s, state = next(x for x in reversed(copies) if x[0] <= asked_at_s - COPY_AGE_S)
    # No lease is given out twice.
    state.next_lease = store.memory.state.next_lease
    store.memory.restore(state)
    write_again()
    store.faults.status = 0
    record.write(f"drill: the store is back from a copy {asked_at_s - at_s:.1f} s old")


def find_shared_numbers(replicas):
    """Return the epoch numbers that two holders used at one replica."""
    shared = []
    for replica in replicas:
        holders = {}
        for order in replica.arrived_orders:
            holders.setdefault(order["fence"], set()).add(order["holder"])
        shared += [(replica.id, f, h) for f, h in holders.items() if len(h) > 1]
    return shared


async def check(record):
    async with contextlib.AsyncExitStack() as stack:
        store = StandinStore()
        store_address = await stack.enter_async_context(
            open_server(store, "127.0.0.1:0")
        )
        versions = [1]
        replicas, addresses = [], {}
        for name in REPLICAS:
            replica = Replica(name)
            replica.record, replica.arrived_orders = record, []
            replicas.append(replica)
            addresses[name] = await stack.enter_async_context(
                open_server(replica, "127.0.0.1:0")
            )

        def register(replica):
            entry = replica.make_entry("writers", addresses[replica.id])
            store.put(f"servers/{replica.id}", entry)

        def name_version(version):
            versions.append(version)
            store.put("op/version/m0", {"model": "m0", "version": version})
            record.write(f"version {version} of m0 is named")

        def write_again():
            """Write again what the operator and the replicas have written."""
            store.put("op/config", harness.make_config())
            store.put("op/version/m0", {"model": "m0", "version": versions[-1]})
            for replica in replicas:
                register(replica)

        write_again()
        for replica in replicas:
            replica.register = lambda replica=replica: register(replica)
        copies = []
        copying = asyncio.create_task(keep_copies(store.memory, copies))
        stack.callback(copying.cancel)
        await asyncio.sleep(COPY_AGE_S)
        routers = await stack.enter_async_context(
            harness.run_routers(ROUTERS, store_address, record, START_SPREAD_S)
        )
        await harness.wait_until_ready(routers)
        await harness.wait_until(lambda: find_holder(store), 10.0, "no holder")
        record.write(f"first holder: {find_holder(store)}")
        await asyncio.sleep(0.5)
        name_version(2)
        await harness.wait_until(
            lambda: all(x.weights == 2 for x in replicas), 20.0, "version 2 not loaded"
        )
        first_holder = find_holder(store)
        for number in range(DRILLS if harness.has_trouble() else 0):
            await asyncio.sleep(NEXT_DRILL_S if number else 0.0)
            await play_drill(store, copies, write_again, record)
            await harness.wait_until(lambda: find_holder(store), 20.0, "no holder")
            record.write(f"holder: {find_holder(store)}")
            if find_holder(store)[0] != first_holder[0]:
                break
        await asyncio.sleep(2.0)
        name_version(3)
        await harness.wait_until(
            lambda: all(x.weights == 3 for x in replicas), 30.0, "version 3 not loaded"
        )
        await asyncio.sleep(1.0)
        shared = find_shared_numbers(replicas)
        for name, fence, holders in shared:
            record.write(f"{name}: epoch number {fence} was used by {sorted(holders)}")
        return harness.BROKEN if shared else harness.HELD


harness.run_case(check, FOLDER)
