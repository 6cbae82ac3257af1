import time

import anyio
import pytest
from fleet import open_fleet, wait_for
from pytest_bdd import given, parsers, scenarios, then, when

from primrosepier.standin_hosts import HostsFaults, HostState

pytestmark = pytest.mark.sockets
scenarios("endpoint_leaving.feature")


@pytest.fixture(scope="module")
def fleet(portal):
    with portal.wrap_async_context_manager(open_fleet()) as fleet:
        yield fleet


@pytest.fixture
def signalled_at_s():
    """Return the time of the latest signal about each endpoint, in seconds."""
    return {}


@given("three routers that know each other")
def reset_fleet(fleet, portal):
    fleet.hosts.faults = HostsFaults()
    fleet.store.faults.down = False
    for name, engine in fleet.engines.items():
        fleet.hosts.set_state(name, HostState.LIVE)
        engine.leaving = False
    portal.call(clear_announcements, fleet)
    portal.call(wait_for, lambda: count_listed(fleet) == 3 * len(fleet.engines))
    portal.call(wait_for, lambda: count_all_users(fleet) == 3 * len(fleet.engines))


def clear_announcements(fleet):
    for router in fleet.routers:
        router.peering.leaving.table.announcements.clear()
        router.peering.leaving.update(time.monotonic())


def count_all_users(fleet):
    return sum(count_users(fleet, name) for name in fleet.engines)


def count_listed(fleet):
    return sum(len(r.peering.leaving.table.seen_live) for r in fleet.routers)


@given("the host list is down")
def break_host_list(fleet):
    fleet.hosts.faults.down = True


@given("the host list lags by an hour")
def delay_host_list(fleet):
    fleet.hosts.faults.lag_s = 3600.0


@given("the store is down")
def break_store(fleet):
    fleet.store.faults.down = True


@when(parsers.parse("the host list shows {name} as {state}"))
def change_listed_state(fleet, signalled_at_s, name, state):
    fleet.hosts.set_state(name, HostState(state))
    signalled_at_s[name] = time.monotonic()


@when(parsers.parse("{name} announces in an answer to {host} that it is leaving"))
def announce_in_answer(fleet, portal, signalled_at_s, name, host):
    router = next(r for r in fleet.routers if r.settings.host == host)
    signalled_at_s[name] = time.monotonic()
    portal.call(router.peering.leaving.observe_answer, name, True)


@when(parsers.parse("{name} announces in its load report that it is leaving"))
def announce_in_load_report(fleet, signalled_at_s, name):
    fleet.engines[name].leaving = True
    signalled_at_s[name] = time.monotonic()


@when("the host list is empty for 2 s")
def empty_host_list(fleet, portal):
    fleet.hosts.faults.empty = True
    portal.call(anyio.sleep, 2.0)


@then(parsers.parse("within {limit:g} s no router uses {name}"))
def check_unused(fleet, portal, signalled_at_s, limit, name):
    remaining_s = signalled_at_s[name] + limit - time.monotonic()
    portal.call(wait_for, lambda: count_users(fleet, name) == 0, remaining_s)


@then(parsers.parse("within {limit:g} s every router uses {name}"))
def check_used(fleet, portal, signalled_at_s, limit, name):
    remaining_s = signalled_at_s[name] + limit - time.monotonic()
    portal.call(wait_for, lambda: count_users(fleet, name) == 3, remaining_s)


@then(parsers.parse("every router uses all {count:d} endpoints"))
def check_all_used(fleet, count):
    assert [count_users(fleet, name) for name in fleet.engines] == [3] * count


def count_users(fleet, name):
    service = fleet.configuration.services["note-writers"]
    now_s = time.monotonic()
    used = 0
    for router in fleet.routers:
        candidates = router.app.dispatcher.candidates
        used += name in [e.id for e in candidates.list_usable(service, now_s)]
    return used
