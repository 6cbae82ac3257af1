"""A replica at its limit of channels ends the router that reads its state."""

import asyncio
import contextlib
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402
from harness import Channel, make_headers  # noqa: E402

from primrosepier.asgi import open_server  # noqa: E402
from primrosepier.platform.standins import StandinReplica, StandinStore  # noqa: E402

MAX_CONNS = 16
LENGTH_S = 90.0
# Time of one request at the application's replicas, seconds.
WORK_S = 0.3
CHANNELS = 8
# The rule: on two machines at least, processes end by themselves three times.
MACHINES, ENDS = 2, 3


async def send_bookings(router, number, sent, lost, record, ends_at_s):
    """Send requests on one kept channel after another."""
    count = 0
    while time.monotonic() < ends_at_s:
        try:
            channel = await Channel.open(router.address)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.2)
            continue
        try:
            while time.monotonic() < ends_at_s:
                attempt = f"{router.name}-{number}-{count}"
                count += 1
                sent.append(attempt)
                answer = await channel.call(
                    "POST", "/booking/dog", make_headers(attempt, 5000), b"book"
                )
                if answer is None:
                    record.write(f"{attempt}: channel closed without an answer")
                    lost.append(attempt)
                    break
                if answer.status != 200:
                    record.write(f"{attempt}: answered {answer.status}")
                    lost.append(attempt)
        finally:
            channel.close()
        await asyncio.sleep(0.05)


@contextlib.contextmanager
def run_writers(names, record):
    """Run the replicas with a limit of channels as processes."""
    processes, addresses = [], {}
    try:
        for name in names:
            port = harness.find_free_port()
            addresses[name] = f"127.0.0.1:{port}"
            command = ["python3", str(FOLDER / "replica.py"), name]
            command += [addresses[name], str(MAX_CONNS)]
            processes.append(subprocess.Popen(command, stdout=record.file))
        yield addresses
    finally:
        for process in processes:
            process.kill()
            process.wait()


async def fill_channels(addresses, record):
    """Take all channels of the replicas, as other callers of theirs."""
    held = []
    for name, address in addresses.items():
        for _ in range(MAX_CONNS):
            held.append(await Channel.open(address))
        record.write(f"{name}: other callers hold all {MAX_CONNS} channels")
    return held


async def check(record):
    async with contextlib.AsyncExitStack() as stack:
        store = StandinStore()
        store_address = await stack.enter_async_context(
            open_server(store, "127.0.0.1:0")
        )
        store.put("op/config", harness.make_config())
        store.put("op/version/m0", {"model": "m0", "version": 1})
        apps = {}
        for name in ("a1", "a2"):
            apps[name] = StandinReplica(name, model="app")
            apps[name].faults.delay_s = WORK_S
            address = await stack.enter_async_context(
                open_server(apps[name], "127.0.0.1:0")
            )
            entry = apps[name].make_entry("app", address, slots=32, models=[])
            store.put(f"servers/{name}", entry)
        writers = stack.enter_context(run_writers(("w1", "w2", "w3"), record))
        await asyncio.sleep(0.5)
        for name, address in writers.items():
            entry = StandinReplica(name).make_entry("writers", address)
            store.put(f"servers/{name}", entry)
        names = ("frontend-rennes-1", "frontend-rennes-2")
        routers = await stack.enter_async_context(
            harness.run_routers(names, store_address, record)
        )
        await harness.wait_until_ready(routers)
        held = await fill_channels(writers, record) if harness.has_trouble() else []
        await asyncio.sleep(3.0)
        sent, lost = [], []
        ends_at_s = time.monotonic() + LENGTH_S
        senders = [
            asyncio.create_task(
                send_bookings(router, number, sent, lost, record, ends_at_s)
            )
            for router in routers
            for number in range(CHANNELS)
        ]
        await asyncio.sleep(2.0)
        store.put("op/version/m0", {"model": "m0", "version": 2})
        record.write("version 2 of m0 is named")
        while time.monotonic() < ends_at_s and not is_broken(routers):
            await asyncio.sleep(0.1)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        for channel in held:
            channel.close()
        arrived = {call for app in apps.values() for _, call in app.arrived}
        failed = [attempt for attempt in lost if attempt in arrived]
        for router in routers:
            for line in router.log.read_text().splitlines():
                if "RouterFailed" in line:
                    record.write(f"log of {router.name}: {line[:600]}")
            record.write(f"{router.name} ended by itself {len(router.ends)} times")
        record.write(
            f"{len(sent)} requests sent, {len(arrived)} reached a sound replica; "
            f"{len(failed)} of these got 500 or a closed channel"
        )
        return harness.BROKEN if is_broken(routers) else harness.HELD


def is_broken(routers):
    """Return whether processes have ended by themselves too often."""
    return sum(len(router.ends) >= ENDS for router in routers) >= MACHINES


harness.run_case(check, FOLDER)
