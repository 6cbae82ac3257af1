"""Origins of streams, kept and asked for by routers in virtual time."""

import random
from dataclasses import dataclass, field

import anyio
import pytest
from last_landing import SeenVersions

from primrosepier.forwarding.origins import OriginExchange, OriginResult
from primrosepier.stream_origins import (
    COMPLETE_TTL_S,
    FORMER_VERSION_S,
    MAX_ORIGINS,
    ORIGIN_TTL_S,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
    VersionRecord,
    make_version_record,
)
from primrosepier.virtualtime import run_in_virtual_time

SERVICE = "writers"
OLD, NEW = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v2")
STREAMS = 400


@dataclass
class StoredCalls:
    """Stands for the journal in the store."""

    calls: dict = field(default_factory=dict)

    def add(self, origins):
        self.calls.update(origins)

    def find(self, call):
        return None

    async def find_written(self, call, since_s):
        await anyio.sleep(0.2)
        return True, self.calls.get(call)


@dataclass
class OriginCluster:
    """Routers over a network that loses datagrams."""

    router_count: int
    loss: float = 0.0
    services: tuple[str, ...] = (SERVICE,)
    routers: dict[str, OriginExchange] = field(default_factory=dict)
    datagrams: int = 0
    # What the store lists, and routers that do not reach it or one another.
    registered: tuple[StreamOrigin, ...] = ()
    without_store: set[str] = field(default_factory=set)
    without_peers: set[str] = field(default_factory=set)
    # Routers whose datagrams are lost, and those that receive none.
    mute: set[str] = field(default_factory=set)
    deaf: set[str] = field(default_factory=set)

    def __post_init__(self):
        self.rng = random.Random(self.router_count)
        for number in range(self.router_count):
            self.add_router(f"front-{number}")

    def add_router(self, host):
        async def send(receiver, message):
            self.datagrams += 1
            is_cut = bool(self.without_peers & {host, receiver})
            is_cut = is_cut or host in self.mute or receiver in self.deaf
            is_lost = is_cut or self.rng.random() < self.loss
            if receiver in self.routers and not is_lost:
                self.group.start_soon(self._deliver, receiver, message)
            return True

        async def read_registered():
            await anyio.sleep(0.004)
            return None if host in self.without_store else set(self.registered)

        router = OriginExchange(host, anyio.current_time, send)
        router.read_registered = read_registered
        self.routers[host] = router
        self.register()

    def register(self):
        for host, router in self.routers.items():
            if host not in self.without_store:
                router.record_hosts(self.routers)

    async def _deliver(self, receiver, message):
        await anyio.sleep(0.001)
        if receiver in self.routers:
            await self.routers[receiver].receive(message)

    async def see(self, *origins):
        self.registered = origins
        for host, router in list(self.routers.items()):
            if host not in self.without_store:
                await router.record_versions(origins)

    async def see_recorded(self, *origins, is_complete=True):
        """See versions that the record in the store names."""
        record = make_version_record(origins, is_complete)
        for router in self.routers.values():
            router.versions.apply_record(record, anyio.current_time())
        await self.see(*origins)

    async def begin(self, host="front-0", origins=(OLD, NEW), count=STREAMS):
        """Begin streams at a router and return their origins by call."""
        begun = {f"{n:016x}": origins[n % len(origins)] for n in range(count)}
        for call, origin in begun.items():
            await self.routers[host].record_begun(call, self.services, origin)
        await anyio.sleep(0.1)
        return begun

    async def count_found(self, begun):
        """Return how many streams a random router finds; none may be wrong."""
        found = 0
        for call, origin in begun.items():
            router = self.rng.choice(list(self.routers.values()))
            result = await router.find(call, self.services)
            assert result.origin in (origin, None)
            found += result.origin is not None
        return found

    def run(self, play):
        async def run():
            async with anyio.create_task_group() as self.group:
                await play()

        run_in_virtual_time(run)


@pytest.mark.parametrize("routers", [1, 2, 3, 6, 62])
def test_any_router_knows_where_a_stream_began(routers):
    cluster = OriginCluster(routers)

    async def play():
        await cluster.see(OLD, NEW)
        begun = await cluster.begin()
        assert cluster.datagrams == min(2, routers - 1) * STREAMS
        assert await cluster.count_found(begun) == STREAMS

    cluster.run(play)


@pytest.mark.parametrize("routers", [3, 6, 62])
def test_streams_of_a_router_that_ended_are_known(routers):
    cluster = OriginCluster(routers, loss=0.025)

    async def play():
        await cluster.see(OLD, NEW)
        begun = await cluster.begin()
        del cluster.routers["front-0"]
        cluster.register()
        cluster.add_router("front-new")
        assert await cluster.count_found(begun) >= 0.98 * STREAMS

    cluster.run(play)


def test_streams_that_began_before_a_new_version_are_known_after_their_router_ended():
    cluster = OriginCluster(6)

    async def play():
        await cluster.see_recorded(OLD)
        journal = cluster.routers["front-0"].journal = StoredCalls()
        begun = await cluster.begin(origins=(OLD,))
        assert cluster.datagrams == 2 * STREAMS
        assert not journal.calls
        await cluster.see(OLD, NEW)
        assert journal.calls == begun
        del cluster.routers["front-0"]
        cluster.register()
        await anyio.sleep(0.1)
        assert await cluster.count_found(begun) == STREAMS

    cluster.run(play)


def test_streams_of_the_only_version_are_known_after_their_router_ended():
    cluster = OriginCluster(6)

    async def play():
        await cluster.see_recorded(OLD)
        begun = await cluster.begin(origins=(OLD,))
        del cluster.routers["front-0"]
        cluster.register()
        await cluster.see(OLD, NEW)
        assert await cluster.count_found(begun) == STREAMS

    cluster.run(play)


def test_a_stream_at_a_version_that_only_its_router_has_seen_is_known():
    cluster = OriginCluster(6)

    async def play():
        await cluster.see_recorded(OLD)
        begun = await cluster.begin(origins=(NEW,))
        assert await cluster.count_found(begun) == STREAMS

    cluster.run(play)


def test_an_unknown_stream_began_at_the_only_version_that_the_record_names():
    cluster = OriginCluster(6)

    async def play():
        await cluster.see_recorded(OLD)
        await anyio.sleep(FORMER_VERSION_S)
        cluster.add_router("front-new")
        found = await cluster.routers["front-new"].find("f" * 16, (SERVICE,))
        assert (found.origin, found.result) == (OLD, OriginResult.SOLE)
        await cluster.see(OLD, NEW)
        for router in cluster.routers.values():
            found = await router.find("f" * 16, (SERVICE,))
            assert (found.origin, found.result) == (None, OriginResult.UNKNOWN)

    cluster.run(play)


def test_the_word_of_another_router_does_not_stand_against_the_record():
    cluster = OriginCluster(3)

    async def play():
        await cluster.see_recorded(OLD)
        router = cluster.routers["front-0"]
        router.versions = VersionHistory()
        record = make_version_record([OLD, NEW], is_complete=True)
        router.versions.apply_record(record, anyio.current_time())
        found = await router.find("f" * 16, (SERVICE,))
        assert (found.origin, found.result) == (None, OriginResult.UNKNOWN)

    cluster.run(play)


def test_what_a_router_has_seen_since_its_start_does_not_tell_the_only_version():
    cluster = OriginCluster(3)

    async def play():
        await cluster.see(OLD)
        await anyio.sleep(600.0)
        await cluster.see(OLD)
        for router in cluster.routers.values():
            assert (await router.find("f" * 16, (SERVICE,))).origin is None
        await cluster.see_recorded(OLD, is_complete=False)
        for router in cluster.routers.values():
            assert (await router.find("f" * 16, (SERVICE,))).origin is None
        begun = await cluster.begin(origins=(OLD,))
        assert await cluster.count_found(begun) == STREAMS

    cluster.run(play)


@pytest.mark.parametrize("routers", [1, 3, 6])
def test_streams_from_before_all_routers_died_go_on_at_the_version_of_then(routers):
    cluster = OriginCluster(routers)

    async def play():
        await cluster.see_recorded(OLD)
        await cluster.see_recorded(OLD, NEW)
        cluster.loss = 1.0
        begun = await cluster.begin(origins=(NEW,))
        cluster.loss = 0.0
        for router in cluster.routers.values():
            found = await router.find("f" * 16, (SERVICE,))
            assert (found.origin, found.result) == (OLD, OriginResult.FORMER)
        assert await cluster.count_found(begun) == STREAMS
        await anyio.sleep(FORMER_VERSION_S)
        for router in cluster.routers.values():
            assert (await router.find("f" * 16, (SERVICE,))).origin is None

    cluster.run(play)


@pytest.mark.parametrize("routers", [2, 6])
def test_a_record_that_another_build_has_not_kept_does_not_tell_the_former_version(
    routers,
):
    """Guards against streams of two versions after a roll back and a second upgrade."""
    cluster = OriginCluster(routers - 1)

    async def play():
        await cluster.see_recorded(NEW)
        cluster.add_router("front-new")
        started = cluster.routers["front-new"]
        record = make_version_record([OLD], is_complete=True)
        started.versions.apply_record(record, anyio.current_time())
        await started.record_versions([NEW])
        found = await started.find("f" * 16, (SERVICE,))
        assert (found.origin, found.result) == (None, OriginResult.UNKNOWN)

    cluster.run(play)


def make_last_landing(cluster):
    """Let all routers of a cluster keep the versions as the last landing's build."""
    for router in cluster.routers.values():
        router.versions = SeenVersions(clock=anyio.current_time)


async def replace_routers(cluster, begun):
    """Replace routers in turn; each ends a moment after it began streams."""
    for host in list(cluster.routers):
        streams = {f"{host}-{n}": OLD for n in range(20)}
        for call, origin in streams.items():
            await cluster.routers[host].record_begun(call, (SERVICE,), origin)
        begun |= streams
        del cluster.routers[host]
        cluster.add_router(f"{host}-new")
        for _ in range(4):
            await anyio.sleep(0.5)
            await cluster.see(OLD)


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("routers", [2, 6, 62])
def test_streams_of_the_last_landing_go_on_after_its_last_router_has_ended(
    routers, loss
):
    cluster = OriginCluster(routers, loss)

    async def play():
        make_last_landing(cluster)
        await cluster.see(OLD)
        await anyio.sleep(11.0)
        await cluster.see(OLD)
        begun = {}
        await replace_routers(cluster, begun)
        assert await cluster.count_found(begun) >= (1.0 - loss / 2) * len(begun)

    cluster.run(play)


def test_what_the_last_landing_tells_does_not_join_streams_of_two_versions():
    cluster = OriginCluster(6)

    async def play():
        make_last_landing(cluster)
        await cluster.see(OLD)
        await anyio.sleep(11.0)
        await cluster.see(OLD)
        begun = {}
        await replace_routers(cluster, begun)
        await cluster.see(OLD, NEW)
        begun |= await cluster.begin("front-0-new", origins=(NEW,), count=40)
        await cluster.see(NEW)
        await cluster.count_found(begun)
        await anyio.sleep(ORIGIN_TTL_S)
        await cluster.see(NEW)
        for router in cluster.routers.values():
            assert (await router.find("f" * 16, (SERVICE,))).origin is None

    cluster.run(play)


def test_routers_that_have_just_started_tell_a_new_one_nothing():
    cluster = OriginCluster(6)

    async def play():
        make_last_landing(cluster)
        await cluster.see(NEW)
        cluster.add_router("front-new")
        await cluster.see(NEW)
        await anyio.sleep(1.0)
        found = await cluster.routers["front-new"].find("f" * 16, (SERVICE,))
        assert found.origin is None

    cluster.run(play)


def test_a_stream_that_began_just_now_is_known_at_a_router_that_was_cut_off():
    """Guards against refusing streams that are not in the store yet."""
    cluster = OriginCluster(6)

    async def play():
        await cluster.see_recorded(OLD, NEW)
        journal = StoredCalls()
        for router in cluster.routers.values():
            router.journal = journal
        begun = await cluster.begin(count=20)
        router = cluster.routers["front-5"]
        router.origins = StreamOrigins()
        cluster.without_peers.add("front-5")
        for call, origin in begun.items():
            found = await router.find(call, (SERVICE,))
            assert (found.origin, found.result) == (origin, OriginResult.STORED)
        found = await router.find("f" * 16, (SERVICE,))
        assert (found.origin, found.result) == (None, OriginResult.UNKNOWN)

    cluster.run(play)


def test_an_unknown_stream_of_two_services_is_not_guessed():
    cluster = OriginCluster(1)

    async def play():
        await cluster.see_recorded(OLD, StreamOrigin("other", "v1"))
        found = await cluster.routers["front-0"].find("f" * 16, (SERVICE, "other"))
        assert found.origin is None

    cluster.run(play)


def test_streams_of_a_route_with_two_services_are_known_while_each_has_one_version():
    other = StreamOrigin("other", "v1")
    cluster = OriginCluster(6, services=(SERVICE, "other"))

    async def play():
        await cluster.see_recorded(OLD, other)
        begun = await cluster.begin(origins=(OLD, other))
        assert await cluster.count_found(begun) == STREAMS

    cluster.run(play)


def test_unanswered_requests_end_soon():
    cluster = OriginCluster(6, loss=1.0)

    async def play():
        await cluster.see(OLD, NEW)
        before_s = anyio.current_time()
        await cluster.routers["front-0"].find("f" * 16, (SERVICE,))
        assert anyio.current_time() - before_s <= 0.2

    cluster.run(play)


def test_the_first_record_of_a_stream_holds():
    origins = StreamOrigins()
    origins.record("a", OLD, 0.0, is_own=True)
    origins.record("a", NEW, 1.0)
    assert origins.find("a", 1.0) == OLD
    assert origins.list_own(SERVICE, 1.0) == {"a": OLD}


def test_origins_are_forgotten_after_their_time():
    origins = StreamOrigins()
    origins.record("a", OLD, 0.0)
    origins.record("b", OLD, 0.0)
    origins.complete("b", 1.0)
    assert origins.find("b", 1.0 + COMPLETE_TTL_S) is None
    assert origins.find("a", ORIGIN_TTL_S - 1.0) == OLD
    assert origins.find("a", ORIGIN_TTL_S) is None
    origins.record("c", OLD, 2 * ORIGIN_TTL_S)
    assert list(origins.records) == ["c"]


def test_origins_are_bounded():
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 10):
        origins.record(str(number), OLD, 0.0)
    assert len(origins.records) == MAX_ORIGINS


def test_a_version_that_has_left_still_counts_for_some_time():
    history = VersionHistory()
    history.apply_record(make_version_record([OLD], is_complete=True), 0.0)
    assert history.find_sole(SERVICE) == "v1"
    history.record([OLD], 0.0)
    assert history.find_sole(SERVICE) == "v1"
    history.record([OLD, NEW], 20.0)
    assert history.is_mixed(SERVICE)
    history.record([NEW], 21.0)
    history.apply_record(make_version_record([NEW], is_complete=True), 22.0)
    assert history.is_mixed(SERVICE)
    assert history.find_sole(SERVICE) is None
    history.record([NEW], 20.0 + ORIGIN_TTL_S + 1.0)
    assert not history.is_mixed(SERVICE)
    assert history.find_sole(SERVICE) == "v2"


def test_a_record_names_the_only_version_only_if_it_is_complete():
    assert VersionRecord({SERVICE: ("v1",)}, True).find_only(SERVICE) == "v1"
    assert VersionRecord({SERVICE: ("v1",)}).find_only(SERVICE) is None
    assert VersionRecord({SERVICE: ("v1", "v2")}, True).find_only(SERVICE) is None
    assert VersionRecord({}, True).find_only(SERVICE) is None


CUTS = {
    "from routers": (True, False),
    "from the store": (False, True),
    "both": (True, True),
}


@pytest.mark.parametrize("routers", [2, 3, 60, 195])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("is_started_of_late", [False, True])
def test_a_router_out_of_step_during_a_release_does_not_guess_where_streams_began(
    routers, cut, is_started_of_late
):
    cluster = OriginCluster(routers)
    peers, store = CUTS[cut]

    async def play():
        await cluster.see_recorded(OLD)
        if not is_started_of_late:
            await anyio.sleep(FORMER_VERSION_S)
        cluster.without_peers = {"front-0"} if peers else set()
        cluster.without_store = {"front-0"} if store else set()
        await cluster.see(OLD, NEW)
        begun = await cluster.begin("front-1")
        router = cluster.routers["front-0"]
        found = [await router.find(call, (SERVICE,)) for call in begun]
        for result, origin in zip(found, begun.values(), strict=True):
            assert result.origin in (origin, None)
        cluster.without_peers = cluster.without_store = set()
        await cluster.see(OLD, NEW)
        for call, origin in begun.items():
            assert (await router.find(call, (SERVICE,))).origin == origin

    cluster.run(play)


@pytest.mark.parametrize("routers", [2, 3, 60, 195])
@pytest.mark.parametrize("is_without_store", [False, True])
@pytest.mark.parametrize("way", ["mute", "deaf"])
@pytest.mark.parametrize("is_origin_dead", [False, True])
def test_a_router_that_is_cut_one_way_does_not_guess_where_streams_began(
    routers, is_without_store, way, is_origin_dead
):
    cluster = OriginCluster(routers)

    async def play():
        await cluster.see_recorded(OLD)
        await anyio.sleep(FORMER_VERSION_S)
        setattr(cluster, way, {"front-0"})
        cluster.without_store = {"front-0"} if is_without_store else set()
        await cluster.see(OLD, NEW)
        begun = await cluster.begin("front-1")
        if is_origin_dead:
            del cluster.routers["front-1"]
            cluster.register()
        router = cluster.routers["front-0"]
        for call, origin in begun.items():
            assert (await router.find(call, (SERVICE,))).origin in (origin, None)
        cluster.mute, cluster.deaf, cluster.without_store = set(), set(), set()
        cluster.register()
        await cluster.see(OLD, NEW)
        found = [await router.find(call, (SERVICE,)) for call in begun]
        for result, origin in zip(found, begun.values(), strict=True):
            assert result.origin in (origin, None)
        # With two routers, what was told to the one that was cut died with the other.
        if routers > 2 or not is_origin_dead:
            known = sum(result.origin is not None for result in found)
            assert known >= (0.9 if is_origin_dead else 1.0) * STREAMS

    cluster.run(play)


@pytest.mark.parametrize("routers", [2, 3, 60])
def test_a_release_that_is_taken_back_unseen_by_a_router_is_not_guessed_away(routers):
    cluster = OriginCluster(routers)

    async def play():
        await cluster.see_recorded(OLD)
        await anyio.sleep(FORMER_VERSION_S)
        cluster.without_peers = cluster.without_store = {"front-0"}
        await cluster.see(OLD, NEW)
        begun = await cluster.begin("front-1", origins=(NEW,))
        await cluster.see(OLD)
        found = [await cluster.routers["front-0"].find(x, (SERVICE,)) for x in begun]
        assert {result.origin for result in found} == {None}

    cluster.run(play)


@pytest.mark.parametrize("routers", [1, 2, 6])
def test_a_stream_that_no_one_knows_goes_on_while_the_store_tells_the_only_version(
    routers,
):
    cluster = OriginCluster(routers)

    async def play():
        await cluster.see_recorded(OLD)
        await anyio.sleep(FORMER_VERSION_S)
        cluster.without_peers = set(cluster.routers)
        found = await cluster.routers["front-0"].find("f" * 16, (SERVICE,))
        assert (found.origin, found.result) == (OLD, OriginResult.SOLE)

    cluster.run(play)
