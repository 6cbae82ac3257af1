"""Entries, answers and calls whose numbers are as large as they may be."""

import anyio
import pytest
from entry_fleet import ROUTES, make_configuration, run_entry

from primrosepier.decoding import MAX_COUNT, MAX_DIGITS, MAX_DURATION_MS
from primrosepier.forwarding.records import CallFailed, EntryUnreadable
from primrosepier.log_events import MirrorFailed, TaskFailed
from primrosepier.logs import Log
from primrosepier.platform.ingress import MAX_PROMPT_TOKENS

pytestmark = pytest.mark.sockets
FAILURES = CallFailed | EntryUnreadable | MirrorFailed | TaskFailed
CALLS = 20


def make_extreme_configuration():
    routes = [
        {
            **route,
            "timeoutMs": MAX_DURATION_MS,
            "targetLatencyMs": MAX_DURATION_MS,
            "priority": MAX_COUNT,
            "maxAttempts": MAX_COUNT,
        }
        for route in ROUTES
    ]
    weight = {"weight": MAX_COUNT}
    routes[-1].pop("service")
    routes[-1]["split"] = [{"service": "app", **weight}, {"service": "none", **weight}]
    configuration = make_configuration(MAX_COUNT, routes, priority=-MAX_COUNT)
    engine = {"slots": MAX_COUNT, "kvCapacity": MAX_COUNT}
    configuration["services"] = [
        {"name": "writers", "engine": engine},
        {"name": "app", "engine": engine},
    ]
    limits = dict.fromkeys(("maxHeaderBytes", "maxBodyBytes"), MAX_COUNT)
    times = dict.fromkeys(("headerTimeoutMs", "idleTimeoutMs"), MAX_DURATION_MS)
    return configuration | {"limits": limits | times}


@pytest.fixture
def failures(monkeypatch):
    seen, emit = [], Log.emit

    def record(log, event):
        if isinstance(event, FAILURES):
            seen.append(event)
        emit(log, event)

    monkeypatch.setattr(Log, "emit", record)
    return seen


def test_no_sum_of_the_largest_numbers_is_an_error_of_a_router(failures):
    """Guards against numbers that fit alone, and whose sums or products do not."""

    async def check(fleet):
        async with fleet.open_router("front-2"):
            fleet.store.memory.restores = 10**MAX_DIGITS - 2
            fleet.store.put("op/config", make_extreme_configuration())
            fleet.store.put("op/version/m0", {"model": "m0", "version": MAX_COUNT})
            for name, replica in fleet.replicas.items():
                replica.weights = MAX_COUNT - 1
                replica.faults.rate_limit = "999999999.999999999"
                replica.faults.delay_s = 0.2
                replica.born = MAX_COUNT - 1
                fleet.register(name, slots=MAX_COUNT, coldRemainingMs=MAX_COUNT)
            await fleet.wait_until(
                lambda: all(
                    router.store_view.declaration.value.version == MAX_COUNT
                    for router in fleet.routers
                )
            )
            statuses = await send_many(fleet)
            writer = fleet.replicas["w1"]
            await fleet.wait_until(lambda: writer.orders)
            await anyio.sleep(1.0)
            statuses += await send_many(fleet)
        assert failures == []
        assert set(statuses) <= {200, 503}
        assert 200 in statuses

    run_entry(check)


async def send_many(fleet):
    """Send streams with the largest prompts through all routers; return statuses."""
    statuses = []

    async def send(router, number):
        headers = {
            "Model": "m0",
            "Token-Usage": f"{MAX_PROMPT_TOKENS},{MAX_COUNT}",
            "Prefix-Hash": f"aa:{MAX_PROMPT_TOKENS - 1},{number:x}:1",
            "Last-Event-Id": "9" * MAX_DIGITS,
        }
        reply = await fleet.send(
            f"/stream/notes/{number}",
            router=router,
            attempt=f"{router.settings.host}-{number}",
            limit_ms=10**MAX_DIGITS - 1,
            **headers,
        )
        statuses.append(reply.status)

    async with anyio.create_task_group() as group:
        for router in fleet.routers:
            for number in range(CALLS):
                group.start_soon(send, router, number)
    return statuses
