import copy

import anyio
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from primrosepier.clocks import ManualClock
from primrosepier.decoding import MAX_DIGITS, parse_count
from primrosepier.lease_holder import LeaseHolder
from primrosepier.leases import (
    DISTINCT_RESTORES,
    FENCING_NUMBERS_PER_RESTORE,
    Duty,
    DutyAction,
    compute_next_fencing,
    make_duty_key,
    make_fencing_key,
)
from primrosepier.settings import LeaseBounds
from primrosepier.store import MemoryStore

HOSTS = st.integers(0, 1)
RATES = (1.004, 0.996)
BOUNDS = LeaseBounds(ttl_s=10.0, pause_s=5.0, order_s=2.0, clock_rate=0.01, rank_s=0.0)


class HostClock:
    """A host's clock that runs slightly fast or slow."""

    def __init__(self, clock, rate):
        self.clock = clock
        self.rate = rate

    def __call__(self):
        return 1000.0 + self.clock() * self.rate


class LeaseMachine(RuleBasedStateMachine):
    """Hosts that pause, lose leases and answers, and orders that arrive late."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        clocks = [HostClock(self.clock, rate) for rate in RATES]
        self.lease_holders = [LeaseHolder(self.store, clock) for clock in clocks]
        self.duties = [Duty("rollout/s", f"h{n}", BOUNDS) for n in range(2)]
        self.in_transit = []
        self.last_fencing_number = 0
        self.highest_seen = {True: 0, False: 0}

    @rule(index=HOSTS)
    def step(self, index):
        duty, lease_holder = self.duties[index], self.lease_holders[index]
        holder = self.store.items.get(make_duty_key(duty.name))
        action = duty.decide(holder, frozenset(), lease_holder.clock())
        if action is DutyAction.ACQUIRE:
            anyio.run(lease_holder.acquire, duty)
            if duty.fencing_number:
                assert duty.fencing_number > self.last_fencing_number
                self.last_fencing_number = duty.fencing_number
        elif action is DutyAction.KEEP_ALIVE:
            anyio.run(lease_holder.keep_alive, duty)
        elif action is DutyAction.STEP_DOWN:
            duty.step_down()

    @rule(index=HOSTS, lost=st.booleans())
    def step_under_faults(self, index, lost):
        self.store.faults.lose_answers = int(lost)
        self.store.faults.down = not lost
        self.step(index)
        self.store.faults.lose_answers = 0
        self.store.faults.down = False

    @rule(index=HOSTS, honours=st.booleans(), late=st.booleans())
    def order(self, index, honours, late):
        duty = self.duties[index]
        if duty.may_order(honours, self.lease_holders[index].clock()):
            delay_s = BOUNDS.pause_s + BOUNDS.order_s if late else 0.0
            arrival_s = self.clock() + delay_s
            self.in_transit.append((arrival_s, honours, duty.fencing_number))

    @rule(old=HOSTS, honours=st.booleans())
    def expire_with_an_order_in_transit(self, old, honours):
        """Let the lease expire while the holder's last order is in transit."""
        self.step(old)
        self.advance(7.5)
        self.order(old, honours, late=True)
        self.advance(3.0)
        for index in range(len(self.duties)):
            if index != old:
                self.step(index)
                self.order(index, honours, late=False)

    @rule(index=HOSTS)
    def release(self, index):
        if self.duties[index].fencing_number:
            anyio.run(self.lease_holders[index].release, self.duties[index])

    @rule(index=HOSTS)
    def restart(self, index):
        self.duties[index] = Duty("rollout/s", f"h{index}", BOUNDS)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 7.5, 9.95, 11.0]))
    def advance(self, seconds):
        until_s = self.clock() + seconds
        due = sorted(order for order in self.in_transit if order[0] <= until_s)
        self.in_transit = [order for order in self.in_transit if order[0] > until_s]
        for _, honours, fencing in due:
            if honours and fencing < self.highest_seen[honours]:
                continue
            assert fencing >= self.highest_seen[honours]
            self.highest_seen[honours] = fencing
        self.clock.advance(seconds)

    @invariant()
    def at_most_one_host_may_order(self):
        holders = [
            duty.host
            for duty, lease_holder in zip(self.duties, self.lease_holders, strict=True)
            if duty.may_order(True, lease_holder.clock())
        ]
        assert len(holders) <= 1


LeaseMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)
test_leases_under_faults = LeaseMachine.TestCase


def acquire(store, host):
    duty = Duty("d", host, BOUNDS)
    assert anyio.run(LeaseHolder(store, store.state.clock).acquire, duty)
    return duty


def test_fencing_numbers_increase_after_a_store_restore():
    store = MemoryStore(ManualClock())
    lease_holder = LeaseHolder(store, store.state.clock)
    first = acquire(store, "a")
    anyio.run(lease_holder.release, first)
    assert store.items.keys() == {make_fencing_key("d")}
    second = acquire(store, "b")
    assert second.fencing_number == 2
    anyio.run(lease_holder.raise_fencing, second, 40)
    assert not second.fencing_number
    assert acquire(store, "a").fencing_number == 41


def test_a_duty_is_acquired_despite_a_lost_answer():
    store = MemoryStore(ManualClock())
    store.faults.lose_answers = 1
    assert acquire(store, "a").fencing_number == 1


def test_a_holder_stops_before_its_lease_expires_and_when_it_is_lost():
    clock = ManualClock()
    store = MemoryStore(clock)
    duty = acquire(store, "a")
    clock.advance(7.0)
    assert duty.may_order(True, clock())
    clock.advance(1.0)
    assert not duty.may_order(True, clock())
    assert duty.decide(None, frozenset(), clock()) is DutyAction.KEEP_ALIVE
    clock.advance(3.0)
    anyio.run(LeaseHolder(store, clock).keep_alive, duty)
    assert not duty.fencing_number


class RestoredStore(MemoryStore):
    """Store that goes back to a copy just before one of its calls."""

    def __init__(self, clock):
        super().__init__(clock)
        self.copy = copy.deepcopy(self.state)
        self.calls_before_restore = None

    async def _apply_faults(self):
        if self.calls_before_restore == 0:
            self.restore(copy.deepcopy(self.copy))
            self.calls_before_restore = None
        elif self.calls_before_restore is not None:
            self.calls_before_restore -= 1
        return await super()._apply_faults()

    def keep_copy(self):
        """Keep the present state, to which the store may go back."""
        self.copy = copy.deepcopy(self.state)


@settings(derandomize=True)
@given(st.integers(0, 10**MAX_DIGITS - 1), st.integers(0, 1000))
def test_fencing_numbers_can_be_written_wherever_the_store_counts_from(
    restores, acquisitions
):
    """Guards against a number that no order, and no counter in the store, can hold."""
    first = compute_next_fencing(0, restores)
    number = first + acquisitions
    assert number < 2**53
    assert parse_count(str(number)) == number
    assert compute_next_fencing(number, restores) == number + 1
    if (restores + 1) % DISTINCT_RESTORES:
        following = compute_next_fencing(0, restores + 1)
        assert following == first + FENCING_NUMBERS_PER_RESTORE


def test_two_holders_never_share_a_fencing_number_after_a_restore():
    """Guards against two holders that order with one number after a drill."""
    store = RestoredStore(ManualClock())
    first = acquire(store, "a")
    store.restore(store.copy)
    second = acquire(store, "b")
    assert second.fencing_number > first.fencing_number


def test_a_restore_before_any_call_of_an_acquisition_repeats_no_number():
    """Guards against a number whose counter a restore took back half-way."""
    for calls in range(4):
        store = RestoredStore(ManualClock())
        anyio.run(store.revoke_lease, acquire(store, "a").lease)
        store.keep_copy()
        first = acquire(store, "a")
        anyio.run(store.revoke_lease, first.lease)
        store.calls_before_restore = calls
        second = Duty("d", "b", BOUNDS)
        anyio.run(LeaseHolder(store, store.state.clock).acquire, second)
        third = second if second.fencing_number else acquire_next(store, "b")
        assert third.fencing_number > first.fencing_number


def acquire_next(store, host):
    """Acquire once the lease of an attempt that failed half-way has ended."""
    store.state.clock.advance(BOUNDS.ttl_s + 1.0)
    return acquire(store, host)


def test_a_holder_whose_lease_a_restore_gave_to_a_peer_steps_down():
    """Guards against two holders that keep one lease alive after a drill."""
    store = RestoredStore(ManualClock())
    first = acquire(store, "a")
    store.restore(store.copy)
    second = acquire(store, "b")
    assert second.lease == first.lease
    anyio.run(LeaseHolder(store, store.state.clock).keep_alive, first)
    assert not first.fencing_number


def test_a_holder_that_a_restore_has_kept_remains_the_holder():
    clock = ManualClock()
    store = RestoredStore(clock)
    duty = acquire(store, "a")
    store.keep_copy()
    store.restore(store.copy)
    clock.advance(4.0)
    anyio.run(LeaseHolder(store, clock).keep_alive, duty)
    clock.advance(5.0)
    assert duty.fencing_number
    assert duty.may_order(True, clock())


class RestoredLeaseMachine(RuleBasedStateMachine):
    """Hosts beside a store that goes back to earlier copies at any call."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = RestoredStore(self.clock)
        self.lease_holder = LeaseHolder(self.store, self.clock)
        self.duties = [Duty("rollout/s", f"h{n}", BOUNDS) for n in range(2)]
        self.last_fencing_number = 0

    @rule(index=HOSTS, calls=st.sampled_from([None, 0, 1, 2, 3]), lost=st.booleans())
    def step(self, index, calls, lost):
        self.store.calls_before_restore = calls
        self.store.faults.lose_answers = int(lost)
        duty = self.duties[index]
        holder = self.store.items.get(make_duty_key(duty.name))
        action = duty.decide(holder, frozenset(), self.clock())
        if action is DutyAction.ACQUIRE:
            anyio.run(self.lease_holder.acquire, duty)
            if duty.fencing_number:
                assert duty.fencing_number > self.last_fencing_number
                self.last_fencing_number = duty.fencing_number
        elif action is DutyAction.KEEP_ALIVE:
            anyio.run(self.lease_holder.keep_alive, duty)
        elif action is DutyAction.STEP_DOWN:
            duty.step_down()
        self.store.faults.lose_answers = 0

    @rule()
    def keep_copy(self):
        self.store.keep_copy()

    @rule()
    def restore(self):
        self.store.restore(copy.deepcopy(self.store.copy))

    @rule(index=HOSTS)
    def release(self, index):
        if self.duties[index].fencing_number:
            anyio.run(self.lease_holder.release, self.duties[index])

    @rule(index=HOSTS)
    def restart(self, index):
        self.duties[index] = Duty("rollout/s", f"h{index}", BOUNDS)

    @rule(seconds=st.sampled_from([0.1, 3.0, 7.5, 11.0]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def holders_have_numbers_of_their_own(self):
        held = [d.fencing_number for d in self.duties if d.fencing_number]
        assert len(held) == len(set(held))


RestoredLeaseMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)
test_fencing_numbers_rise_whatever_the_store_forgets = RestoredLeaseMachine.TestCase
