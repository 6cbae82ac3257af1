import time

import anyio
import pytest

from primrosepier.virtualtime import run_in_virtual_time


def test_virtual_time_skips_waits_and_keeps_timer_order():
    async def check():
        order = []

        async def wait(seconds):
            await anyio.sleep(seconds)
            order.append(seconds)

        with anyio.move_on_after(3600) as scope:
            async with anyio.create_task_group() as group:
                for seconds in (30, 10, 20):
                    group.start_soon(wait, seconds)
                await anyio.sleep_forever()
        return order, scope.cancelled_caught, anyio.current_time()

    started = time.monotonic()
    order, cancelled, now_s = run_in_virtual_time(check)
    assert (order, cancelled) == ([10, 20, 30], True)
    assert now_s == pytest.approx(3600, abs=0.1)
    assert time.monotonic() - started < 60


def test_deadlock_raises_runtime_error():
    with pytest.raises(RuntimeError):
        run_in_virtual_time(anyio.sleep_forever)
