import asyncio
import itertools

import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from primrosepier.board import make_board
from primrosepier.configuration import Configuration, Model
from primrosepier.configuration_controller import ConfigurationController
from primrosepier.mirror import make_mirror
from primrosepier.publishing import ApplyResult, apply_configuration
from primrosepier.revisions import MANIFEST_KEY, STATE_PREFIX
from primrosepier.store import MemoryStore
from primrosepier.virtualtime import VirtualTimeLoop

scenarios("configuration.feature")

POLL_S = 0.05


def make_version(version):
    models = {f"m{n}": Model(f"m{n}", str(version)) for n in range(40)}
    return Configuration(models=models)


class StallingStore(MemoryStore):
    """A store whose watches can stall."""

    stalled = False

    async def watch(self, prefix, revision):
        async for event in super().watch(prefix, revision):
            if self.stalled:
                await anyio.sleep(3600)
            yield event


class Router:
    """The components of a router that keep its configuration current."""

    def __init__(self, store, group, seed):
        self.board = make_board()
        writer = self.board.configuration.take_writer("configuration")
        self.controller = ConfigurationController(writer, anyio.current_time)
        self.mirror = make_mirror(
            store, STATE_PREFIX, MANIFEST_KEY, seed, clock=anyio.current_time
        )
        self.mirror.mirror.listeners.append(self.controller.update)
        self.scope = anyio.CancelScope()
        group.start_soon(self.run)

    async def run(self):
        with self.scope:
            await self.mirror.run()

    @property
    def version(self):
        configuration = self.board.configuration.value
        return configuration and {
            model.version for model in configuration.models.values()
        }


class Fleet:
    """Routers that share one store, in virtual time."""

    def __init__(self):
        self.store = StallingStore(anyio.current_time)
        self.outcomes = []
        self.stopping = anyio.Event()
        self.started = anyio.Event()

    async def run_tasks(self):
        """Run the routers' tasks until the scenario ends."""
        async with anyio.create_task_group() as self.group:
            self.started.set()
            await self.stopping.wait()
            self.group.cancel_scope.cancel()

    async def start(self, count):
        self.task = asyncio.create_task(self.run_tasks())
        await self.started.wait()
        await self.apply(1)
        self.routers = [Router(self.store, self.group, seed) for seed in range(count)]
        await self.wait_for(1, 5)
        self.outdated_export = self.routers[0].controller.export(0)

    async def stop(self):
        self.stopping.set()
        await self.task

    async def apply(self, *versions):
        async def apply(version):
            expected = make_version(version)
            outcome = await apply_configuration(self.store, expected, f"op{version}")
            self.outcomes.append((version, outcome))

        self.outcomes.clear()
        async with anyio.create_task_group() as group:
            for version in versions:
                group.start_soon(apply, version)

    async def wait_for(self, version, limit_s):
        expected = {str(version)}
        with anyio.fail_after(limit_s):
            while any(router.version != expected for router in self.routers):
                await anyio.sleep(POLL_S)

    async def restart(self, number):
        old = self.routers[number]
        old.scope.cancel()
        self.routers[number] = Router(self.store, self.group, 100 + number)
        await anyio.sleep(1)

    def restore(self):
        state = self.store.state
        state.records, state.revision = dict(self.backup[0]), self.backup[1]
        state.history = [c for c in state.history if c.revision <= state.revision]
        self.store.notify()

    async def restart_compacted(self):
        self.store.faults.down = False
        await self.apply(2)
        self.store.state.compact(self.store.state.revision)


@pytest.fixture
def run(monkeypatch):
    """Run a coroutine in a loop that lives as long as the scenario."""
    times = itertools.count(1_700_000_000)
    monkeypatch.setattr("primrosepier.publishing.time.time", lambda: next(times))
    loop = VirtualTimeLoop()
    yield loop.run_until_complete
    loop.close()


@pytest.fixture
def fleet(run):
    async def make():
        return Fleet()

    fleet = run(make())
    yield fleet
    run(fleet.stop())


@given(parsers.parse("{count:d} routers and a store with version 1 in force"))
def start(run, fleet, count):
    run(fleet.start(count))


@when(parsers.parse("version {version:d} is applied"))
def apply(run, fleet, version):
    run(fleet.apply(version))


@when(parsers.parse("versions {first:d} and {second:d} are applied at once"))
def apply_both(run, fleet, first, second):
    run(fleet.apply(first, second))


@when(parsers.parse("the next {count:d} answers of the store are lost"))
def lose_answers(fleet, count):
    fleet.store.faults.lose_answers = count


@when("the store is backed up")
def back_up(fleet):
    state = fleet.store.state
    fleet.backup = (dict(state.records), state.revision)


@when("the store is restored from the backup")
def restore(fleet):
    fleet.restore()


@when("the store is down")
def break_store(run, fleet):
    fleet.store.faults.down = True
    fleet.store.notify()


@then("the store is up again with version 2 and a compacted history")
def restart_store(run, fleet):
    run(fleet.restart_compacted())


@when("the watches stall")
def stall_watches(fleet):
    fleet.store.stalled = True


@when(parsers.parse("each call on the store takes {delay_s:g} s"))
def slow_store(fleet, delay_s):
    fleet.store.faults.delay_s = delay_s


@when(parsers.parse("{seconds:d} s pass"))
def pass_time(run, seconds):
    run(anyio.sleep(seconds))


@when("router 1 restarts")
def restart(run, fleet):
    run(fleet.restart(0))


@when(parsers.parse("version {version:d} is in force everywhere within {limit_s:d} s"))
@then(parsers.parse("version {version:d} is in force everywhere within {limit_s:d} s"))
def check_in_force(run, fleet, version, limit_s):
    run(fleet.wait_for(version, limit_s))


@then("the apply succeeded")
def check_applied(fleet):
    assert [o.result for _, o in fleet.outcomes] == [ApplyResult.APPLIED]


@then("one apply succeeded and the other named the winner")
def check_race(fleet):
    by_result = {outcome.result: (v, outcome) for v, outcome in fleet.outcomes}
    assert by_result.keys() == {ApplyResult.APPLIED, ApplyResult.CONFLICT}
    winner, _ = by_result[ApplyResult.APPLIED]
    assert f"op{winner}" in by_result[ApplyResult.CONFLICT][1].reason


@then(parsers.parse("the winner's version is in force everywhere within {limit_s:d} s"))
def check_winner(run, fleet, limit_s):
    applied = [v for v, o in fleet.outcomes if o.result is ApplyResult.APPLIED]
    run(fleet.wait_for(applied[0], limit_s))


@then(parsers.parse("version {version:d} can be applied and is in force within 20 s"))
def check_next(run, fleet, version):
    run(fleet.apply(version))
    check_applied(fleet)
    run(fleet.wait_for(version, 20))


@then("router 1 has no configuration")
def check_no_configuration(fleet):
    assert fleet.routers[0].version is None


@then("router 1 receives version 2 from router 2")
def check_transfer(run, fleet):
    async def transfer(source, target):
        return target.apply_export(*source.export(target.revision))

    target, source = fleet.routers[0].controller, fleet.routers[1].controller
    assert run(transfer(source, target))
    assert fleet.routers[0].version == {"2"}


@then("router 1 rejects version 1 from an outdated peer")
def check_old_peer(fleet):
    assert not fleet.routers[0].controller.apply_export(*fleet.outdated_export)
    assert fleet.routers[0].version == {"2"}
