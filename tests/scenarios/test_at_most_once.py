import anyio
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from primrosepier.at_most_once import run_claimed
from primrosepier.claim_writer import make_store_claims
from primrosepier.claims import AlreadyClaimed, Claimed
from primrosepier.outcomes import Completed, NotRun, Step, UnknownOutcome
from primrosepier.store import MemoryStore
from primrosepier.virtualtime import run_in_virtual_time

scenarios("at_most_once.feature")

SETTLE_S = 30.0
RESULT_NAMES = {
    AlreadyClaimed: "already ran",
    Completed: "completed",
    NotRun: "not run",
    UnknownOutcome: "unknown",
}


class Calls:
    """Runs the steps of a scenario in virtual time."""

    def __init__(self):
        self.steps = []
        self.results = []
        self.run_keys = []
        self.waits = []
        self.reachable = True
        self.lose_endpoint_answer = False
        self.number = 0

    async def run(self):
        self.store = MemoryStore(anyio.current_time)
        self.routers = []
        for number in (1, 2):
            claims = make_store_claims(
                self.store, f"r{number}", clock=anyio.current_time
            )
            self.routers.append(claims)
        async with anyio.create_task_group() as group:
            for claims in self.routers:
                group.start_soon(claims.run)
            for step, *args in self.steps:
                await step(*args)
                await anyio.sleep(SETTLE_S if step == self.restore else 0.1)
            group.cancel_scope.cancel()

    async def claim(self, router, key):
        self.number += 1
        started_s = anyio.current_time()
        request = f"q{self.number}"
        result = await self.routers[router - 1].claim("w", key, request)
        self.waits.append(anyio.current_time() - started_s)
        return result

    async def send(self, key):
        if not self.reachable:
            return NotRun(Step.CONNECT, "e", "refused")
        self.run_keys.append(key)
        if self.lose_endpoint_answer:
            self.lose_endpoint_answer = False
            return UnknownOutcome(Step.HEADERS, "e", "lost")
        return Completed(Step.RELAY, "e")

    async def call(self, router, key="k"):
        result = await self.claim(router, key)
        if isinstance(result, Claimed):
            claims = self.routers[router - 1]
            result = await run_claimed(claims, result, lambda: self.send(key))
        self.results.append(RESULT_NAMES[type(result)])

    async def call_both(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.call, 1)
            group.start_soon(self.call, 2)

    async def crash_router(self, sent):
        assert isinstance(await self.claim(1, "k"), Claimed)
        if sent:
            await self.send("k")

    async def break_store(self):
        self.store.faults.down = True

    async def slow_store(self, delay_s):
        self.store.faults.delay_s = delay_s

    async def break_after_write(self):
        original = self.store.commit

        def commit(compares, puts):
            outcome = original(compares, puts)
            self.store.faults.down = True
            self.store.commit = original
            return outcome

        self.store.commit = commit

    async def restore(self):
        self.store.faults.down = False
        self.store.faults.delay_s = 0.0

    async def lose_answers(self, count):
        self.store.faults.lose_answers = count

    async def set_state(self, name, value):
        setattr(self, name, value)

    async def drop_leases(self):
        for lease in list(self.store.state.leases):
            self.store.state.revoke_lease(lease)


@pytest.fixture
def outcome(calls):
    """Run the steps of the scenario before its first check."""
    run_in_virtual_time(calls.run)
    return calls


@given("two routers that claim through one store", target_fixture="calls")
def make_calls():
    return Calls()


@when(parsers.parse("the call is made through router {router:d}"))
def call(calls, router):
    calls.steps.append((calls.call, router))


@when(parsers.parse("the call with another key is made through router {router:d}"))
def call_other(calls, router):
    calls.steps.append((calls.call, router, "other"))


@when("the call is made through both routers at once")
def call_both(calls):
    calls.steps.append((calls.call_both,))


@when("router 1 crashes after the claim")
def crash_after_claim(calls):
    calls.steps.append((calls.crash_router, False))


@when("router 1 crashes after the first byte")
def crash_after_send(calls):
    calls.steps.append((calls.crash_router, True))


@when("no endpoint can be reached")
def cut_endpoints(calls):
    calls.steps.append((calls.set_state, "reachable", False))


@when("the endpoints can be reached again")
def heal_endpoints(calls):
    calls.steps.append((calls.set_state, "reachable", True))


@when("the answer of the endpoint is lost")
def lose_endpoint_answer(calls):
    calls.steps.append((calls.set_state, "lose_endpoint_answer", True))


@when("the store is down")
def break_store(calls):
    calls.steps.append((calls.break_store,))


@when("the store goes down after its next write")
def break_store_later(calls):
    calls.steps.append((calls.break_after_write,))


@when(parsers.parse("the store answers after {delay_s:d} s"))
def slow_store(calls, delay_s):
    calls.steps.append((calls.slow_store, float(delay_s)))


@when("the store is up again")
def restore_store(calls):
    calls.steps.append((calls.restore,))


@when(parsers.parse("the next {count:d} answers of the store are lost"))
def lose_answers(calls, count):
    calls.steps.append((calls.lose_answers, count))


@when("the store loses its leases")
def drop_leases(calls):
    calls.steps.append((calls.drop_leases,))


@then(parsers.parse('the results of the calls were "{results}"'))
def check_results(outcome, results):
    assert outcome.results == results.split(", ")


@then("one call completed and the outcome of the other is unknown")
def check_race(outcome):
    assert sorted(outcome.results) == ["completed", "unknown"]


@then(parsers.re(r"the call ran (?P<count>\d) times?"))
def check_ran(outcome, count):
    assert outcome.run_keys.count("k") == int(count)


@then("no call waited longer than 1 s for its claim")
def check_waits(outcome):
    assert max(outcome.waits) <= 1.0
