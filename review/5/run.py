"""Replicas that have left keep descriptors of the routers until none is free."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER), str(FOLDER.parent)]

import harness  # noqa: E402
from harness import Channel, make_headers, make_route  # noqa: E402
from replica import SLOTS, Replica  # noqa: E402

from primrosepier.asgi import open_server  # noqa: E402
from primrosepier.platform.standins import StandinStore  # noqa: E402

SERVICES = ("rosters", "litters", "kennels")
# Replicas that are replaced for each service, one after the other.
REPLACED = 20
# Time after which routers know of a change, and for which a replica serves after it has
# reported that it leaves, seconds.
KNOWN_S = 0.7
DRAIN_S = 2.2
# Consumers that keep a channel open, and those that try to open one after them.
KEPT = 200
TOGETHER = 20
TRIES = 2
LATER = 8
# The rule: no new channel for stableWindowMs, while seven consumers or more try.
STABLE_S = 3.0


async def send_burst(router, channels, service, number, record):
    """Send a request on each of the kept channels of a service at once."""
    names = [f"{service}-{number}-{i}" for i in range(SLOTS)]

    async def send(i):
        if channels[i] is None:
            channels[i] = await Channel.open(router.address)
        headers = make_headers(names[i], 3000)
        answer = await channels[i].call("GET", f"/{service}/x", headers)
        if answer is None:
            channels[i].close()
            channels[i] = None
        return answer.status if answer else None

    results = await asyncio.gather(*map(send, range(SLOTS)), return_exceptions=True)
    counts = {str(x): results.count(x) for x in results if isinstance(x, int)}
    record.write(f"{service}: burst {number}: {counts or results[:2]}")


async def replace_replicas(router, service, store, record):
    """Replace the replica of a service again and again; the new one starts first."""
    channels = [None] * SLOTS
    leaving = []
    replica = Replica(service, store)
    await replica.start()
    await asyncio.sleep(KNOWN_S)
    await send_burst(router, channels, service, 0, record)
    for number in range(1, REPLACED + 1):
        if harness.has_trouble():
            old, replica = replica, Replica(service, store)
            await replica.start()
            await asyncio.sleep(KNOWN_S)
            leaving.append(asyncio.create_task(old.leave(DRAIN_S)))
        await asyncio.sleep(KNOWN_S)
        await send_burst(router, channels, service, number, record)
    for channel in channels:
        if channel is not None:
            channel.close()
    await asyncio.gather(*leaving)


async def poll_readiness(router, statuses):
    """Ask on a kept channel once a second whether the router is ready."""
    channel = await Channel.open(router.readiness)
    while True:
        answer = await channel.call("GET", "/readyz", {"Host": "x"}, limit_s=1.0)
        statuses.append(answer.status if answer else None)
        await asyncio.sleep(1.0)


async def open_kept(router, number):
    """Open a channel, send a request and keep the channel; None without an answer."""
    try:
        channel = await Channel.open(router.address)
    except (OSError, TimeoutError):
        return None
    headers = make_headers(f"kept-{number}", 1000)
    answer = await channel.call("GET", "/rosters/x", headers, limit_s=1.0)
    if answer is None:
        channel.close()
        return None
    return channel


async def try_to_connect(router, number, until_s):
    """Open new channels until a request is answered; return whether one was."""
    while time.monotonic() < until_s:
        channel = await open_kept(router, f"later-{number}-{time.monotonic():.3f}")
        if channel is not None:
            channel.close()
            return True
        await asyncio.sleep(0.1)
    return False


async def check(record):
    async with contextlib.AsyncExitStack() as stack:
        store = StandinStore()
        store_address = await stack.enter_async_context(
            open_server(store, "127.0.0.1:0")
        )
        config = harness.make_config()
        config["routes"] = [
            make_route(name, f"/{name}/", "idempotent", name) for name in SERVICES
        ]
        config["services"] = [{"name": name} for name in SERVICES]
        store.put("op/config", config)
        routers = await stack.enter_async_context(
            harness.run_routers(("frontend-rennes-1",), store_address, record)
        )
        await harness.wait_until_ready(routers)
        router = routers[0]
        await asyncio.sleep(STABLE_S)

        async def watch_descriptors():
            while True:
                record.write(f"{router.name}: {router.count_descriptors()} descriptors")
                await asyncio.sleep(2.0)

        watch = asyncio.create_task(watch_descriptors())
        stack.callback(watch.cancel)
        await asyncio.gather(
            *(replace_replicas(router, name, store, record) for name in SERVICES)
        )
        record.write("all replicas that were replaced have ended")
        statuses = []
        polling = asyncio.create_task(poll_readiness(router, statuses))
        stack.callback(polling.cancel)
        await asyncio.sleep(STABLE_S)
        kept = []
        in_vain = 0
        while len(kept) < KEPT and in_vain < TRIES:
            numbers = range(len(kept), len(kept) + TOGETHER)
            opened = await asyncio.gather(*(open_kept(router, i) for i in numbers))
            kept += [channel for channel in opened if channel is not None]
            in_vain = 0 if any(opened) else in_vain + 1
        record.write(f"{len(kept)} of {KEPT} consumers keep a channel open")
        statuses.clear()
        until_s = time.monotonic() + STABLE_S + 1.0
        served = await asyncio.gather(
            *(try_to_connect(router, number, until_s) for number in range(LATER))
        )
        record.write(
            f"{sum(served)} of {LATER} consumers that came later got a channel; "
            f"readiness meanwhile: {statuses}; {router.count_descriptors()} descriptors"
        )
        for channel in kept:
            channel.close()
        is_ready = bool(statuses) and set(statuses) == {200}
        return harness.BROKEN if is_ready and not any(served) else harness.HELD


harness.run_case(check, FOLDER)
