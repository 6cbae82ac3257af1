from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from primrosepier.admission import AdmissionQueue, Shed, Ticket, TicketState


def offer(queue, workspace="a", weight=1.0, priority=0, deadline_s=100.0, now_s=0.0):
    return queue.offer(workspace, weight, priority, deadline_s, now_s)[0]


def test_workspaces_share_by_weight():
    queue = AdmissionQueue(1000)
    for _ in range(100):
        offer(queue, "large", 3.0)
        offer(queue, "small", 1.0)
    admitted = queue.admit(40)
    large = sum(ticket.workspace == "large" for ticket in admitted)
    assert 28 <= large <= 32


def test_flooding_workspace_cannot_displace_another():
    queue = AdmissionQueue(10)
    flooding = [offer(queue, "flood") for _ in range(10)]
    entered, displaced = queue.offer("calm", 1.0, 0, 100.0, 0.0)
    assert isinstance(entered, Ticket)
    assert displaced is flooding[-1]
    assert displaced.state is TicketState.DISPLACED
    assert isinstance(offer(queue, "flood"), Shed)


def test_priorities_order_one_workspace():
    queue = AdmissionQueue(10)
    offer(queue, priority=5)
    urgent = offer(queue, priority=-1)
    assert queue.admit(1) == [urgent]


def test_request_that_cannot_meet_its_deadline_is_shed():
    queue = AdmissionQueue(1000)
    for number in range(20):
        ticket = offer(queue, now_s=number)
        queue.admit(1)
        queue.leave(ticket, float(number))
    for _ in range(30):
        offer(queue, deadline_s=200.0, now_s=20.0)
    shed = offer(queue, deadline_s=22.0, now_s=20.0)
    assert isinstance(shed, Shed)
    assert shed.retry_after_s > 2.0


class QueueMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue(5)
        self.now_s = 0.0
        self.live = []

    @rule(
        workspace=st.sampled_from("abc"),
        priority=st.integers(-1, 1),
        wait_s=st.floats(0.1, 9),
    )
    def enter(self, workspace, priority, wait_s):
        entered, _ = self.queue.offer(
            workspace, 1.0, priority, self.now_s + wait_s, self.now_s
        )
        if isinstance(entered, Ticket):
            self.live.append(entered)

    @rule(capacity=st.integers(0, 4))
    def admit(self, capacity):
        before = self.queue.running
        for ticket in self.queue.admit(capacity):
            assert ticket.deadline_s > self.now_s
        assert self.queue.running <= max(capacity, before)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.now_s += seconds
        self.queue.expire(self.now_s)

    @rule(index=st.integers(0, 20))
    def leave(self, index):
        if self.live:
            self.queue.leave(self.live.pop(index % len(self.live)), self.now_s)

    @invariant()
    def counts_agree(self):
        states = [ticket.state for ticket in self.live]
        assert states.count(TicketState.WAITING) == self.queue.waiting <= 5
        assert states.count(TicketState.ADMITTED) == self.queue.running


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(derandomize=True, deadline=None, max_examples=60)
