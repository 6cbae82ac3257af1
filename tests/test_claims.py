import anyio
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from primrosepier.asgi import open_server
from primrosepier.claim_writer import ClaimTimes, make_store_claims
from primrosepier.claims import (
    AlreadyClaimed,
    ClaimChange,
    Claimed,
    ClaimEnd,
    ClaimQueue,
    make_claim_key,
    make_release,
)
from primrosepier.etcd import EtcdStore
from primrosepier.outcomes import NotRun, Step, UnknownOutcome
from primrosepier.standin_store import StoreStandin
from primrosepier.store import Ambiguous, LeaseLost, MemoryStore, Unavailable

KEYS = ("/c/1", "/c/2")
FAULTS = st.sampled_from(["lost", "unsent", "late", "down", "lease"])
ROUTERS = st.integers(0, 1)


class ClaimMachine(RuleBasedStateMachine):
    """Claims, runs, abandoned claims and restarts of routers while the store fails."""

    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.store.state.grant_lease(1e9, 1)
        self.queues = [ClaimQueue("r0", 2), ClaimQueue("r1", 2)]
        self.waiting = {}
        self.granted = {}
        self.ran = []
        self.not_run = set()
        self.delayed = []
        self.count = 0

    @rule(router=ROUTERS, key=st.sampled_from(KEYS))
    def request_claim(self, router, key):
        self.count += 1
        change = ClaimChange(key, f"q{self.count}", 1e9)
        self.queues[router].add(change)
        self.waiting[change.request] = (router, change)

    @rule(router=ROUTERS, fault=FAULTS)
    def fail_to_write(self, router, fault):
        self.write(router, fault)

    @rule(router=ROUTERS)
    def write_all(self, router):
        while self.queues[router].waiting:
            self.write(router, "ok")

    def write(self, router, fault):
        queue = self.queues[router]
        batch = queue.take_batch(1, 1e9)
        if batch is None:
            return
        for resolved in queue.resolve(batch, self.answer(batch, fault)):
            if resolved.change.end is None:
                self.record_result(router, resolved)

    def answer(self, batch, fault):
        if fault == "down":
            return Unavailable(Step.CONNECT, "store", "down")
        if fault == "lease":
            return LeaseLost(1)
        if fault == "late":
            self.delayed.append(batch)
        if fault in ("ok", "lost"):
            outcome = self.store.commit(batch.compares, batch.puts)
        return outcome if fault == "ok" else Ambiguous(Step.HEADERS, "store", fault)

    def record_result(self, router, resolved):
        request = resolved.change.request
        if self.waiting.pop(request, None) is None:
            return
        if isinstance(resolved.result, NotRun):
            self.not_run.add(request)
        elif isinstance(resolved.result, Claimed):
            self.granted[request] = (router, resolved)

    @precondition(lambda self: self.delayed)
    @rule()
    def apply_delayed_write(self):
        batch = self.delayed.pop(0)
        self.store.commit(batch.compares, batch.puts)

    @precondition(lambda self: self.waiting)
    @rule()
    def abandon_claim(self):
        request = min(self.waiting)
        router, change = self.waiting.pop(request)
        self.queues[router].abandon(change)
        self.not_run.add(request)

    @precondition(lambda self: self.granted)
    @rule()
    def run(self):
        request = min(self.granted)
        _, resolved = self.granted.pop(request)
        self.ran.append((resolved.change.key, request))

    @precondition(lambda self: self.granted)
    @rule()
    def fail_before_running(self):
        request = min(self.granted)
        router, resolved = self.granted.pop(request)
        self.not_run.add(request)
        self.queues[router].add(make_release(resolved.change, resolved.result))

    @precondition(lambda self: self.count % 4 == 0)
    @rule(router=ROUTERS)
    def restart_router(self, router):
        self.queues[router] = ClaimQueue(f"r{router}", 2)
        for requests in (self.waiting, self.granted):
            for request in [q for q, held in requests.items() if held[0] == router]:
                del requests[request]

    @invariant()
    def each_key_ran_at_most_once(self):
        keys = [key for key, _ in self.ran]
        assert len(keys) == len(set(keys))

    @invariant()
    def requests_reported_as_not_run_never_ran(self):
        assert not self.not_run & {request for _, request in self.ran}


ClaimMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)
test_claims_under_faults = ClaimMachine.TestCase


def run_claims(check, times=None):
    async def run():
        standin = StoreStandin()
        async with open_server(standin, "127.0.0.1:0") as address:
            stores = [EtcdStore(address), EtcdStore(address)]
            routers = [
                make_store_claims(s, f"r{n}", times) for n, s in enumerate(stores)
            ]
            async with anyio.create_task_group() as group:
                for claims in routers:
                    group.start_soon(claims.run)
                await check(standin, *routers)
                group.cancel_scope.cancel()
            for store in stores:
                await store.close()

    anyio.run(run)


def test_a_retry_through_another_router_never_runs():
    async def check(standin, first, second):
        claimed = await first.claim("w", "k", "q1")
        assert isinstance(claimed, Claimed)
        assert isinstance(await second.claim("w", "k", "q2"), UnknownOutcome)
        await first.settle(claimed, ClaimEnd.COMPLETED)
        while isinstance(outcome := await second.claim("w", "k", "q3"), UnknownOutcome):
            await anyio.sleep(0.01)
        assert isinstance(outcome, AlreadyClaimed)
        assert isinstance(await second.claim("v", "k", "q4"), Claimed)

    run_claims(check)


def test_a_request_that_did_not_run_releases_its_key():
    async def check(standin, first, second):
        await first.settle(await first.claim("w", "k", "q1"), ClaimEnd.NOT_RUN)
        assert isinstance(await second.claim("w", "k", "q2"), Claimed)

    run_claims(check)


def test_a_claim_is_granted_despite_a_lost_answer():
    async def check(standin, first, second):
        assert isinstance(await first.claim("w", "k0", "q0"), Claimed)
        standin.faults.lose_answers = 1
        assert isinstance(await first.claim("w", "k", "q1"), Claimed)

    run_claims(check)


def test_a_claim_during_an_outage_is_not_run_and_leaves_no_record():
    async def check(standin, first, second):
        claimed = await first.claim("w", "k0", "q0")
        standin.faults.down = True
        outcome = await first.claim("w", "k", "q1")
        assert isinstance(outcome, NotRun)
        assert outcome.step is Step.CLAIM
        assert outcome.retry_after_s > 0
        assert isinstance(await first.claim("w", "k0", "q2"), UnknownOutcome)
        standin.faults.down = False
        assert isinstance(claimed, Claimed)
        while isinstance(await second.claim("w", "k", "q3"), UnknownOutcome):
            await anyio.sleep(0.01)

    run_claims(check, ClaimTimes(claim_timeout_s=0.3))


def test_many_claims_share_a_write():
    async def check(standin, first, second):
        results = []

        async def claim(number):
            results.append(await first.claim("w", f"k{number}", f"q{number}"))

        await claim(0)
        standin.calls = 0
        async with anyio.create_task_group() as group:
            for number in range(1, 241):
                group.start_soon(claim, number)
        assert all(isinstance(result, Claimed) for result in results)
        assert standin.calls <= 4

    run_claims(check)


def test_a_claim_is_not_valid_after_it_may_have_expired():
    claimed = Claimed(make_claim_key("w", "k"), "q", 1, valid_until_s=5.0)
    assert claimed.is_valid(4.9)
    assert not claimed.is_valid(5.0)


def test_a_claim_that_may_be_written_is_released_after_the_outage():
    store = MemoryStore()
    queue = ClaimQueue("r0")
    queue.add(ClaimChange("/c/1", "q1", 1e9))
    for outcome in ("lost", "down", "ok", "ok"):
        batch = queue.take_batch(0, 1e9)
        if outcome == "down":
            resolved = queue.resolve(batch, Unavailable(Step.CONNECT, "store", "down"))
            assert isinstance(resolved[0].result, NotRun)
            continue
        done = store.commit(batch.compares, batch.puts)
        lost = Ambiguous(Step.HEADERS, "store", "lost")
        queue.resolve(batch, lost if outcome == "lost" else done)
    assert store.items == {}
    assert not queue.waiting
