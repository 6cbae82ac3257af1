import random
from dataclasses import replace

import anyio
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from primrosepier.changes import describe_changes
from primrosepier.configuration import Configuration, Model, Workspace
from primrosepier.demo import open_demo
from primrosepier.errors import ConfigurationError
from primrosepier.etcd import make_etcd_store
from primrosepier.mirror import Backoff, Mirror
from primrosepier.publishing import ApplyResult, apply_configuration
from primrosepier.revisions import (
    CHUNKS_PREFIX,
    CONFIGURATION_PREFIX,
    MANIFEST_KEY,
    ActiveRevision,
    split_configuration,
)
from primrosepier.store import MemoryStore, select_change

APPLY_TIMEOUT_S = 5.0


def make_configuration(version, count=12):
    """Return a configuration in which every model has the same version."""
    models = {f"m{n}": Model(f"m{n}", str(version)) for n in range(count)}
    return Configuration(models=models)


def run_apply(store, configuration, **options):
    return anyio.run(lambda: apply_configuration(store, configuration, **options))


class InterleavingStore(MemoryStore):
    """A store that runs a callback before each write of the manifest."""

    def __init__(self):
        super().__init__()
        self.before_write = []

    async def transact(self, compares, puts):
        if self.before_write and any(put.key == MANIFEST_KEY for put in puts):
            await self.before_write.pop(0)()
        return await super().transact(compares, puts)


class RevisionStateMachine(RuleBasedStateMachine):
    """Routers that lag, restart and copy from each other; the store may be restored."""

    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.applied = {0: None}
        self.versions = 0
        self.backup = None
        self.routers = [ActiveRevision() for _ in range(3)]
        self.mirrors = [Mirror(CONFIGURATION_PREFIX) for _ in range(3)]
        self.highest_seen = [0, 0, 0]

    @rule()
    def apply(self):
        self.versions += 1
        wanted = make_configuration(self.versions)
        outcome = run_apply(self.store, wanted, author="a")
        assert outcome.result is ApplyResult.APPLIED
        assert outcome.revision > max(self.applied)
        self.applied[outcome.revision] = wanted

    @rule(number=st.integers(0, 2), count=st.integers(1, 5))
    def watch(self, number, count):
        mirror = self.mirrors[number]
        for change in self.store.state.list_changes(mirror.revision + 1)[:count]:
            mirror.apply_event(select_change(change, CONFIGURATION_PREFIX), 0.0)
            self.routers[number].apply_items(mirror.items)

    @rule(number=st.integers(0, 2))
    def synchronize(self, number):
        self.routers[number].apply_items(self.store.select(CONFIGURATION_PREFIX))

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def transfer(self, sender, receiver):
        export = self.routers[sender].export(self.routers[receiver].revision)
        if export is not None:
            assert self.routers[receiver].apply_export(*export)

    @rule(number=st.integers(0, 2))
    def restart(self, number):
        self.routers[number] = ActiveRevision()
        self.mirrors[number] = Mirror(CONFIGURATION_PREFIX)
        self.highest_seen[number] = 0

    @rule()
    def back_up(self):
        self.backup = dict(self.store.state.records)

    @precondition(lambda self: self.backup is not None)
    @rule()
    def restore(self):
        self.store.state.records = dict(self.backup)

    @invariant()
    def revisions_never_decrease_and_are_complete(self):
        for number, router in enumerate(self.routers):
            assert router.revision >= self.highest_seen[number]
            assert router.configuration == self.applied[router.revision]
            self.highest_seen[number] = router.revision


RevisionStateMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)


@pytest.fixture
def clock(monkeypatch):
    times = iter(range(1000, 10**9))
    monkeypatch.setattr("primrosepier.publishing.time.time", lambda: next(times))


@pytest.mark.usefixtures("clock")
class TestRouters(RevisionStateMachine.TestCase):
    pass


def test_one_changed_entity_changes_one_chunk():
    before = make_configuration(1, count=500)
    models = {**before.models, "m7": Model("m7", "2")}
    old, new = (
        split_configuration(before),
        split_configuration(replace(before, models=models)),
    )
    assert len(new.keys() - old.keys()) == 1
    assert describe_changes(before, replace(before, models=models)) == [
        "~ model m7: version 1 -> 2"
    ]


def test_large_configurations_are_split_and_too_large_ones_rejected():
    store = MemoryStore()
    key_digests = tuple(f"{n:064x}" for n in range(40))
    workspaces = {f"w{n}": Workspace(f"w{n}", key_digests) for n in range(600)}
    large = Configuration(workspaces=workspaces)
    assert run_apply(store, large).result is ApplyResult.APPLIED
    router = ActiveRevision()
    assert router.apply_items(store.select(CONFIGURATION_PREFIX))
    assert router.configuration == large
    assert max(len(item.value) for item in store.items.values()) < 1_000_000
    revision = store.revision
    workspaces = {f"w{n}": Workspace(f"w{n}", key_digests) for n in range(6000)}
    with pytest.raises(ConfigurationError, match="bytes"):
        run_apply(store, Configuration(workspaces=workspaces))
    assert store.revision == revision


def test_lost_answers_are_resolved_by_the_change_id():
    store = InterleavingStore()

    async def lose():
        store.faults.lose_answers = 1

    store.before_write = [lose]
    assert run_apply(store, make_configuration(1)).result is ApplyResult.APPLIED


def test_a_lost_answer_before_another_apply_counts_as_applied():
    store = InterleavingStore()

    async def lose():
        store.faults.lose_answers = 1

    async def follow():
        await apply_configuration(store, make_configuration(2), "bea")

    store.before_write = [lose, follow]
    outcome = run_apply(store, make_configuration(1), author="ann")
    assert outcome.result is ApplyResult.APPLIED
    assert "bea has superseded" in outcome.reason


def test_conflicts_name_the_author_of_the_winning_change():
    store = InterleavingStore()

    async def win():
        await apply_configuration(store, make_configuration(2), "bea")

    store.before_write = [win]
    outcome = run_apply(store, make_configuration(1), author="ann")
    assert outcome.result is ApplyResult.CONFLICT
    assert "bea" in outcome.reason
    router = ActiveRevision()
    router.apply_items(store.items)
    assert router.configuration == make_configuration(2)
    outdated = run_apply(store, make_configuration(1), expected=1)
    assert outdated.result is ApplyResult.CONFLICT


def test_unused_chunks_are_deleted():
    store = MemoryStore()
    for version in range(1, 6):
        run_apply(store, make_configuration(version))
    used = len(split_configuration(make_configuration(5)))
    assert len(store.select(CHUNKS_PREFIX)) <= used


def test_backoff_waits_are_jittered_and_bounded():
    waits = [Backoff(random.Random(n)).next_wait_s() for n in range(200)]
    assert max(waits) - min(waits) > 0.1
    backoff = Backoff(random.Random(1), limit_s=3.0)
    assert all(backoff.next_wait_s() <= 3.0 for _ in range(100))


@pytest.mark.sockets
def test_racing_operators_and_an_outage_over_real_sockets():
    async def wait_for(demo, wanted):
        with anyio.fail_after(APPLY_TIMEOUT_S):
            while any(r.board.configuration.value != wanted for r in demo.routers):
                await anyio.sleep(0.005)

    async def race(demo, outcomes, number):
        store = make_etcd_store(demo.store_address)
        name = f"race-{number}"
        workspaces = {**demo.configuration.workspaces, name: Workspace(name, ())}
        wanted = replace(demo.configuration, workspaces=workspaces)
        outcomes[number] = (await apply_configuration(store, wanted, name), wanted)
        await store.close()

    async def run():
        outcomes = {}
        async with open_demo() as demo:
            demo.store.faults.lose_answers = 2
            async with anyio.create_task_group() as group:
                for number in range(6):
                    group.start_soon(race, demo, outcomes, number)
            newest, wanted = max(
                (
                    pair
                    for pair in outcomes.values()
                    if pair[0].result is ApplyResult.APPLIED
                ),
                key=lambda pair: pair[0].revision,
            )
            await wait_for(demo, wanted)
            demo.store.faults.down = True
            revisions = [router.configuration.revision for router in demo.routers]
            assert revisions == [newest.revision] * len(revisions)
            demo.store.faults.down = False
            demo.store.state.compact(demo.store.state.revision)
            store = make_etcd_store(demo.store_address)
            await apply_configuration(store, demo.configuration)
            await store.close()
            await wait_for(demo, demo.configuration)
        return [outcome.result for outcome, _ in outcomes.values()]

    results = anyio.run(run)
    assert set(results) <= {ApplyResult.APPLIED, ApplyResult.CONFLICT}
    assert ApplyResult.CONFLICT in results


def test_a_revision_with_a_missing_chunk_is_not_activated():
    store = MemoryStore()
    run_apply(store, make_configuration(1))
    items = store.select(CONFIGURATION_PREFIX)
    del items[next(key for key in items if key.startswith(CHUNKS_PREFIX))]
    router = ActiveRevision()
    assert not router.apply_items(items)
    assert router.incomplete is not None
