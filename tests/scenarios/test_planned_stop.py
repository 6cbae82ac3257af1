import time

import httpcore
import msgspec
import pytest
from fleet import open_platform, wait_for
from pytest_bdd import given, parsers, scenarios, then, when

from primrosepier.members import MemberState
from primrosepier.router import open_router
from primrosepier.standin_engine import EngineRates
from primrosepier.stopping import drain_router

pytestmark = pytest.mark.sockets
scenarios("planned_stop.feature")
STREAM_TOKENS = 100


class Stop:
    """Two routers and the streams of one scenario."""

    def __init__(self, platform):
        self.platform = platform
        self.routers = []
        self.contexts = []
        self.streams = []
        self.ready_after_stop = True
        self.stop_duration_s = 0.0


@pytest.fixture(scope="module")
def platform(portal):
    with portal.wrap_async_context_manager(open_platform(engines=2)) as platform:
        for app in platform.engines.values():
            app.engine.rates = EngineRates(token_s=0.01)
        yield platform


@pytest.fixture
def stop(platform, portal):
    stop = Stop(platform)
    yield stop
    for context in reversed(stop.contexts):
        context.__exit__(None, None, None)
    platform.store.faults.down = platform.hosts.faults.down = False
    for app in platform.engines.values():
        app.leaving = False


@given(parsers.parse("two routers that wait at most {bound:g} s for streams"))
def start_routers(stop, portal, bound):
    for number in (1, 2):
        seeds = tuple(router.peers_address for router in stop.routers)
        settings = stop.platform.make_settings(
            number, peers=seeds, stop_streams_s=bound
        )
        context = portal.wrap_async_context_manager(open_router(settings))
        stop.routers.append(context.__enter__())
        stop.contexts.append(context)
    first, second = stop.routers
    portal.call(wait_for, lambda: first.app.is_ready() and second.app.is_ready())
    portal.call(wait_for, lambda: first.board.peers.value == {"entry-2"})


async def stream(address):
    body = {
        "model": "armor-note-8b",
        "messages": [{"role": "user", "content": "x" * 600}],
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://{address}/v1/chat/completions",
            headers={"authorization": "Bearer demo-handovers"},
            content=msgspec.json.encode(body),
        )
    return response.content.endswith(b"data: [DONE]\n\n")


@given(parsers.parse("{count:d} streams in progress at the first one"))
def open_streams(stop, portal, count):
    first = stop.routers[0]
    for _ in range(count):
        task = portal.start_task_soon(stream, first.callers_address)
        stop.streams.append(task)
    outstanding = first.app.dispatcher.candidates.outstanding
    portal.call(wait_for, lambda: sum(outstanding.values()) == count)


@given("nothing fails")
def nothing_fails():
    pass


@given("the store is down")
def break_store(platform):
    platform.store.faults.down = True


@given("the host list is down")
def break_host_list(platform):
    platform.hosts.faults.down = True


@given("the endpoints announce that they are leaving")
def announce_leaving(stop, portal):
    for name in stop.platform.engines:
        leaving = stop.routers[0].peering.leaving
        portal.call(leaving.observe_answer, name, True)


@when("the first router is stopped")
def stop_first_router(stop, portal):
    first = stop.routers[0]
    portal.call(drain_router, first)
    stop.ready_after_stop = first.app.is_ready()
    started_s = time.monotonic()
    stop.contexts.pop(0).__exit__(None, None, None)
    stop.stop_duration_s = time.monotonic() - started_s


@then("the first router reported not ready immediately")
def check_not_ready(stop):
    assert not stop.ready_after_stop


@then("all streams end complete")
def check_complete(stop):
    assert all(task.result(timeout=10) for task in stop.streams)


@then("no stream ends complete")
def check_incomplete(stop):
    for task in stop.streams:
        error = task.exception(timeout=10)
        assert error is not None or not task.result()


@then(parsers.parse("the stop took less than {limit:g} s"))
def check_duration(stop, limit):
    assert stop.stop_duration_s < limit


@then("the second router records that the first one left")
def check_left(stop, portal):
    members = stop.routers[1].peering.gossip.membership.members
    portal.call(wait_for, lambda: members["entry-1"].state is MemberState.LEFT, 5.0)
