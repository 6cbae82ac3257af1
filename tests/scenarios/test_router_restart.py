import time

import pytest
from fleet import open_platform, wait_for
from pytest_bdd import given, parsers, scenarios, then, when

from primrosepier.router import open_router
from primrosepier.store import MemoryStore

pytestmark = pytest.mark.sockets
scenarios("router_restart.feature")


@pytest.fixture(scope="module")
def platform(portal):
    with portal.wrap_async_context_manager(open_platform(engines=1)) as platform:
        yield platform


class Starter:
    """Starts and stops the routers of one scenario."""

    def __init__(self, platform, portal):
        self.platform = platform
        self.portal = portal
        self.contexts = []
        self.routers = []
        self.started_s = 0.0

    def start(self, number, peers=()):
        settings = self.platform.make_settings(number, peers=tuple(peers))
        context = self.portal.wrap_async_context_manager(open_router(settings))
        self.contexts.append(context)
        self.started_s = time.monotonic()
        self.routers.append(context.__enter__())
        return self.routers[-1]

    def close(self):
        for context in reversed(self.contexts):
            context.__exit__(None, None, None)


@pytest.fixture
def starter(platform, portal):
    starter = Starter(platform, portal)
    store = platform.store.store
    yield starter
    starter.close()
    platform.store.store = store
    platform.store.faults.down = False


@given("a router with the newest configuration")
def start_first(starter, portal):
    router = starter.start(1)
    portal.call(wait_for, router.app.is_ready)


@given("the store is down")
def break_store(platform):
    platform.store.faults.down = True


@when("the store is replaced by an older copy")
def replace_store(platform):
    platform.store.store = MemoryStore()


@when("a second router starts with the first one as its seed")
def start_with_seed(starter):
    starter.start(2, [starter.routers[0].peers_address])


@when("a second router starts without seeds")
def start_without_seeds(starter):
    starter.start(2)


@when("a third router starts with both as its seeds")
def start_with_both_seeds(starter):
    starter.start(3, [router.peers_address for router in starter.routers])


@when("the second router is stopped and restarted immediately")
def restart_second(starter):
    starter.contexts.pop().__exit__(None, None, None)
    starter.routers.pop()
    starter.start(2, [starter.routers[0].peers_address])


@then("the second router reports not ready")
def check_not_ready(starter, portal):
    portal.call(wait_for, lambda: starter.routers[1].peering.gossip.failures == 0)
    assert not starter.routers[1].app.is_ready()


@then(
    parsers.parse(
        "within {limit:g} s the second router is ready with the revision of the first"
    )
)
def check_ready(starter, portal, limit):
    first, second = starter.routers[:2]
    remaining_s = starter.started_s + limit - time.monotonic()
    portal.call(wait_for, second.app.is_ready, remaining_s)
    assert second.configuration.revision == first.configuration.revision


@then(
    parsers.parse(
        "within {limit:g} s the first router records the new incarnation of the second"
    )
)
def check_incarnation(starter, portal, limit):
    first, second = starter.routers
    second_record = second.peering.gossip.membership.own_record
    members = first.peering.gossip.membership.list_live
    portal.call(
        wait_for, lambda: members().get(second_record.host) == second_record, limit
    )
