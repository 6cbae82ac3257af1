import random

from primrosepier.clocks import ManualClock
from primrosepier.drift import DAY_S, DriftTracker, MissCause
from primrosepier.drift_controller import DriftController, decode_day
from primrosepier.store import MemoryStore
from primrosepier.virtualtime import run_in_virtual_time

KEY = ("alpha", 0)
START_DAY = 20_000
ANSWERS = 200


async def run_days(days, rate_of_day, routers=3, down_days=()):
    """Run routers that are replaced every night; return alerts by day and the store."""
    store = MemoryStore()
    clock = ManualClock(START_DAY * DAY_S)
    rng = random.Random(5)
    alerts = []

    def report(alert):
        alerts.append((int(clock() // DAY_S) - START_DAY, alert))

    for day in range(days):
        controllers = []
        for _ in range(routers):
            controller = DriftController(store, DriftTracker(), report)
            controller.wall_clock, controller.random = clock, random.Random(day)
            controllers.append(controller)
        store.faults.down = day in down_days
        for controller in controllers:
            rate = rate_of_day(day) + rng.gauss(0, 0.004)
            for _ in range(ANSWERS):
                cached = int(4000 * rate)
                cause = MissCause.EVICTION
                controller.tracker.add(KEY, 4000, cached, cached, cause, clock())
        for controller in controllers:
            await controller.evaluate()
            await controller.flush()
        clock.advance(DAY_S)
    return alerts, store


def decline_from(first, per_week):
    return lambda day: 0.8 - per_week * max(0, day - first) / 7


def test_decline_is_reported_once_despite_daily_router_restarts():
    alerts, _ = run_in_virtual_time(run_days, 60, decline_from(30, 0.01))
    assert alerts
    first_day, alert = alerts[0]
    assert 30 < first_day <= 44
    assert (alert.workspace, alert.cause) == ("alpha", MissCause.EVICTION)
    assert len([day for day, _ in alerts if day < first_day + 14]) == 1


def test_steady_reuse_raises_at_most_one_alert():
    alerts, _ = run_in_virtual_time(run_days, 365, decline_from(999, 0.0))
    assert len(alerts) <= 1


def test_concurrent_writes_keep_the_tokens_of_all_routers():
    _, store = run_in_virtual_time(run_days, 1, decline_from(99, 0.0))
    days = [decode_day(i.value) for k, i in store.items.items() if "/days/" in k]
    assert [day[KEY].prompt for day in days] == [3 * ANSWERS * 4000]


def test_store_outages_do_not_hide_a_decline():
    alerts, _ = run_in_virtual_time(
        run_days, 60, decline_from(30, 0.01), 3, frozenset({10, 33})
    )
    assert alerts
    assert alerts[0][0] <= 46


def test_old_days_are_deleted():
    _, store = run_in_virtual_time(run_days, 60, decline_from(999, 0.0))
    assert sum("/days/" in key for key in store.items) <= 44


def test_invalid_bytes_decode_to_an_empty_day():
    assert decode_day(b"\xff\x00") == {}
