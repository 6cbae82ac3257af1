"""Streams that are taken up after routers were killed, over real sockets."""

import contextlib
import copy

import anyio
import pytest
from entry_fleet import open_fleet
from test_software_versions import EVENT_ID, STREAMS, VERSIONS, TakenUp, break_streams

from primrosepier.forwarding.origin_journal import BATCH_INTERVAL_S
from primrosepier.forwarding.version_recorder import VERSIONS_KEY

pytestmark = pytest.mark.sockets
OLD = [name for name, version in VERSIONS.items() if version == "v1"]
NEW = [name for name, version in VERSIONS.items() if version == "v2"]
HOSTS = ("front-1", "front-2", "front-3")
# Time between the kill and the start, and from the start to the callers' return.
DOWN_S = 0.2
RETURN_S = 0.6


class KilledFleet:
    """Routers that run in tasks of their own, and end without a graceful stop."""

    def __init__(self, fleet, group):
        self.fleet = fleet
        self.group = group
        self.scopes = {}
        self.started = set()

    async def start(self, hosts=HOSTS):
        async def run(host, started):
            with self.scopes[host]:
                is_first_start = host not in self.started
                self.started.add(host)
                async with self.fleet.open_router(
                    host, is_first_start=is_first_start
                ) as router:
                    started[host] = router
                    await anyio.sleep_forever()

        started = {}
        for host in hosts:
            self.scopes[host] = anyio.CancelScope()
            self.group.start_soon(run, host, started)

        def are_ready():
            return len(started) == len(hosts) and all(
                router.store_view.declaration.value is not None
                for router in started.values()
            )

        await self.fleet.wait_until(are_ready)

    async def wait_for_record(self):
        def is_recorded():
            return VERSIONS_KEY in self.fleet.store.memory.items

        await self.fleet.wait_until(is_recorded)

    async def wait_for_peers(self):
        """Wait until all routers know the present tokens of the others."""
        routers = self.fleet.routers
        tokens = {x.settings.host: x.peers.directory.token for x in routers}

        def know_all():
            return all(
                tokens[router.settings.host] == tokens[host]
                or router.peers.directory.peers[host].token == tokens[host]
                for router in routers
                for host in tokens.keys() & {*router.peers.directory.list_hosts()}
            ) and all(
                len(x.peers.directory.list_hosts()) == len(HOSTS) for x in routers
            )

        await self.fleet.wait_until(know_all)

    async def kill(self, hosts=HOSTS):
        for host in hosts:
            self.scopes[host].cancel()
        await anyio.sleep(DOWN_S)
        self.fleet.routers[:] = [
            router
            for router in self.fleet.routers
            if not self.scopes[router.settings.host].cancel_called
        ]

    def replace(self, leaving, coming):
        for name in coming:
            self.fleet.register(name)
        for name in leaving:
            self.fleet.store.remove(f"servers/{name}")

    async def begin(self):
        """Begin streams at all routers that break off after their first event.

        A router's first retry is always allowed, so its first stream breaks off at two
        replicas and is held as one that crashes them; it is left out.
        """
        await self.wait_for_record()
        await self.wait_for_peers()
        break_streams(self.fleet)
        count = len(self.fleet.routers)
        streams = [TakenUp(number) for number in range(STREAMS + count)]
        for number, stream in enumerate(streams):
            routers = self.fleet.routers
            assert not await stream.send(self.fleet, routers[number % len(routers)])
            assert EVENT_ID.findall(stream.body)
        for name in VERSIONS:
            self.fleet.replicas[name].faults.break_after = None
        return streams[count:]

    async def take_up(self, streams):
        """Take streams up at other routers; return the share that goes on."""
        await anyio.sleep(RETURN_S)
        complete = 0
        for number, stream in enumerate(streams):
            routers = self.fleet.routers
            router = routers[(number + 1) % len(routers)]
            complete += await stream.send(self.fleet, router)
            assert stream.status in (200, 503)
            assert len(self.fleet.find_versions(stream.attempts)) == 1
        return complete / len(streams)


async def run_killed(check, registered):
    async with contextlib.AsyncExitStack() as stack:
        settings = {"repeat_ratio": 0.0, "repeat_extra": 0.0}
        opened = open_fleet(tuple(VERSIONS), True, settings, VERSIONS, registered)
        fleet = await stack.enter_async_context(opened)
        with anyio.fail_after(30):
            async with anyio.create_task_group() as group:
                killed = KilledFleet(fleet, group)
                await killed.start()
                await check(killed)
                group.cancel_scope.cancel()


PLAYS = []


def play(registered):
    """Return a decorator for checks that run side by side, as they mostly wait."""

    def decorate(check):
        def test(errors):
            if check in errors:
                raise errors[check]

        PLAYS.append((check, registered))
        test.__name__ = check.__name__
        return test

    return decorate


@pytest.fixture(scope="module")
def errors():
    """Run all checks, each with its own fleet; return what they raise."""
    found = {}

    async def run_one(check, registered):
        try:
            await run_killed(check, registered)
        except Exception as error:
            found[check] = error

    async def run_all():
        async with anyio.create_task_group() as group:
            for check, registered in PLAYS:
                group.start_soon(run_one, check, registered)

    anyio.run(run_all)
    return found


@play(registered=OLD)
async def test_no_stream_is_joined_when_a_release_ends_before_all_routers_die(
    killed,
):
    streams = await killed.begin()
    killed.replace(OLD, NEW)
    await anyio.sleep(0.8)
    await killed.kill()
    await killed.start()
    assert await killed.take_up(streams) == 0


@play(registered=OLD)
async def test_no_stream_is_joined_when_a_release_ends_while_routers_are_down(
    killed,
):
    streams = await killed.begin()
    await killed.kill()
    killed.replace(OLD, NEW)
    await killed.start()
    assert await killed.take_up(streams) == 0


@play(registered=OLD + NEW)
async def test_streams_of_a_version_that_stays_go_on_after_all_routers_died(
    killed,
):
    streams = await killed.begin()
    # Streams that began within the last batch interval may be lost.
    await anyio.sleep(2 * BATCH_INTERVAL_S)
    await killed.kill()
    await killed.start()
    assert await killed.take_up(streams) >= 0.9


@play(registered=OLD)
async def test_streams_from_before_a_release_go_on_after_all_routers_died(
    killed,
):
    streams = await killed.begin()
    killed.replace(OLD[2:], NEW)
    # Routers see the release after their batching of changes, and store the streams.
    await anyio.sleep(1.5 + 2 * BATCH_INTERVAL_S)
    await killed.kill()
    await killed.start()
    assert await killed.take_up(streams) >= 0.9


@play(registered=OLD)
async def test_streams_go_on_at_the_last_old_replica_after_all_routers_died(
    killed,
):
    streams = await killed.begin()
    await killed.kill()
    killed.replace(OLD[1:], NEW)
    await killed.start()
    assert await killed.take_up(streams) >= 0.9


@play(registered=OLD)
async def test_streams_go_on_when_a_release_begins_as_killed_routers_are_back(
    killed,
):
    streams = await killed.begin()
    await killed.kill()
    await killed.start()
    killed.replace(OLD[1:], NEW)
    assert await killed.take_up(streams) >= 0.9


@play(registered=OLD)
async def test_streams_of_the_only_version_go_on_after_all_routers_died(
    killed,
):
    streams = await killed.begin()
    await killed.kill()
    await killed.start()
    assert await killed.take_up(streams) >= 0.9


@play(registered=OLD)
async def test_no_stream_is_joined_when_the_store_forgets_a_release_of_killed_routers(
    killed,
):
    memory = killed.fleet.store.memory
    await killed.wait_for_record()
    earlier = copy.deepcopy(memory.state)
    killed.replace(OLD[2:], NEW)
    await anyio.sleep(0.8)
    streams = await killed.begin()
    await killed.kill()
    memory.restore(earlier)
    killed.replace(OLD[2:], NEW)
    await killed.start()
    await killed.take_up(streams)


@play(registered=OLD)
async def test_streams_go_on_after_the_store_came_back_from_a_copy(killed):
    streams = await killed.begin()
    earlier = copy.deepcopy(killed.fleet.store.memory.state)
    await killed.kill()
    killed.fleet.store.memory.restore(earlier)
    await killed.start()
    assert await killed.take_up(streams) >= 0.9


@play(registered=OLD)
async def test_streams_go_on_when_most_routers_die_before_a_release_that_others_see(
    killed,
):
    streams = await killed.begin()
    await killed.kill(HOSTS[:2])
    killed.replace(OLD[2:], NEW)
    # The router that lives on adds the version to the record meanwhile.
    await anyio.sleep(1.0)
    await killed.start(HOSTS[:2])
    await killed.wait_for_peers()
    assert await killed.take_up(streams) >= 0.9


async def check_some_killed(killed, hosts):
    streams = await killed.begin()
    await killed.kill(hosts)
    await killed.start(hosts)
    await killed.wait_for_peers()
    assert await killed.take_up(streams) >= 0.9


@play(registered=OLD + NEW)
async def test_streams_go_on_at_their_version_after_one_router_died(
    killed,
):
    await check_some_killed(killed, HOSTS[:1])


@play(registered=OLD + NEW)
async def test_streams_go_on_at_their_version_after_most_routers_died(
    killed,
):
    await check_some_killed(killed, HOSTS[:2])


@play(registered=OLD)
async def test_no_stream_is_joined_when_the_store_is_away_at_the_start(
    killed,
):
    streams = await killed.begin()
    await killed.kill()
    killed.replace(OLD, NEW)
    killed.fleet.store.faults.status = 503
    killed.group.start_soon(killed.start)
    await anyio.sleep(1.0)
    for stream in streams[:4]:
        assert not await stream.send(killed.fleet, killed.fleet.routers[0])
        assert stream.status == 503
    killed.fleet.store.faults.status = 0
    assert await killed.take_up(streams) == 0


@play(registered=OLD)
async def test_a_stream_that_never_goes_on_is_refused_at_once_and_for_long(killed):
    streams = await killed.begin()
    await killed.kill()
    killed.replace(OLD, NEW)
    await killed.start()
    await anyio.sleep(RETURN_S)
    with anyio.fail_after(0.5):
        response = await killed.fleet.send(
            f"/stream/queries/{streams[0].first}",
            attempt="f" * 16,
            **{"Last-Event-Id": "1", "Resumes": "e" * 16},
        )
    assert response.status == 503
    after_s = float(response.headers["retry-after"])
    assert 0.25 * 2.0 < after_s <= 2.0 / 3
