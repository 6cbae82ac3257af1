import contextlib

import anyio
import pytest
from test_dispatch import CONFIGURATION, make_request

from primrosepier.attempt import AttemptRunner
from primrosepier.board import make_board
from primrosepier.clocks import ManualClock
from primrosepier.configuration import Endpoint
from primrosepier.dispatch import make_dispatcher
from primrosepier.outcomes import Completed, NotRun, Step
from primrosepier.plain import PlainDispatcher, PlainRequest
from primrosepier.reuse_placement import make_placement
from primrosepier.settings import Limits


class StandinResponse:
    is_framed = is_first_use = True

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers

    async def aiter_stream(self):
        yield b"{}"


class RestingClient:
    """Client of endpoints, some of which turn requests away and ask for rest."""

    def __init__(self, resting, retry_after=b"1.5"):
        self.resting = set(resting)
        self.retry_after = retry_after
        self.sent = []

    @contextlib.asynccontextmanager
    async def open(self, call):
        self.sent.append(call.address)
        if call.address in self.resting:
            yield StandinResponse(503, [(b"Retry-After", self.retry_after)])
        else:
            yield StandinResponse(200, [])


class Calls:
    """Requests to all endpoints of a model service or of a plain one."""

    def __init__(self, client, is_plain):
        self.clock = ManualClock()
        board = make_board()
        board.configuration.take_writer("test").write(CONFIGURATION, 0.0)
        attempts = AttemptRunner(client, Limits(), self.clock)
        placement = make_placement("d")
        self.model = make_dispatcher(board, attempts, placement, Limits(), self.clock)
        candidates = self.model.candidates
        self.plain = PlainDispatcher(client, candidates, Limits(), self.clock)
        self.is_plain = is_plain
        self.statuses = []

    async def receive(self, message):
        if message["type"] == "http.response.start":
            self.statuses.append(message["status"])

    async def send(self, number=0):
        request = make_request(f"{number} " * 4000)
        if not self.is_plain:
            return await self.model.dispatch(request, self.receive, self.clock())
        plain = PlainRequest(
            id="req-1",
            workspace=request.workspace,
            service=request.service,
            method="GET",
            target="/",
            headers=(),
            body=b"",
            repeatable=True,
            needs_claim=False,
        )
        return await self.plain.dispatch(plain, self.receive)


def list_addresses():
    endpoints = CONFIGURATION.endpoints.values()
    return [e.address for e in endpoints if isinstance(e, Endpoint)]


@pytest.mark.parametrize("is_plain", [False, True])
def test_endpoints_that_ask_for_rest_get_no_requests_until_it_ends(is_plain):
    resting = list_addresses()[:2]
    client = RestingClient(resting)
    calls = Calls(client, is_plain)
    for number in range(40):
        anyio.run(calls.send, number)
        calls.clock.advance(0.01)
    assert all(client.sent.count(address) == 1 for address in resting)
    client.resting.clear()
    calls.clock.advance(1.6)
    for number in range(40, 80):
        assert isinstance(anyio.run(calls.send, number), Completed)
    assert all(client.sent.count(address) > 1 for address in resting)


@pytest.mark.parametrize("is_plain", [False, True])
def test_requests_are_refused_with_the_time_left_while_all_rest(is_plain):
    client = RestingClient(list_addresses(), b"2")
    calls = Calls(client, is_plain)
    for number in range(8):
        anyio.run(calls.send, number)
    assert sorted(client.sent) == sorted(list_addresses())
    calls.clock.advance(0.5)
    outcomes = [anyio.run(calls.send, number) for number in range(8)]
    assert len(client.sent) == len(list_addresses())
    assert all(isinstance(x, NotRun) and x.retry_after_s >= 1.5 for x in outcomes)
    assert all(x.retry_after_s <= 2.0 for x in outcomes)
    assert len({x.retry_after_s for x in outcomes}) == len(outcomes)


def test_queued_requests_do_not_all_return_when_a_rest_ends():
    calls = Calls(RestingClient(list_addresses(), b"1"), is_plain=False)
    candidates, clock = calls.model.candidates, calls.clock
    service = make_request("0").service
    for number in range(8):
        anyio.run(calls.send, number)
    candidates.limits.by_endpoint.clear()
    clock.advance(1.1)
    assert candidates.compute_capacity(service, clock()) == len(list_addresses())


class HeldClient(RestingClient):
    """Client of endpoints that answer no request until they are released."""

    def __init__(self):
        super().__init__(list_addresses(), b"2")
        self.clock = ManualClock()
        self.released = anyio.Event()

    @contextlib.asynccontextmanager
    async def open(self, call):
        self.sent.append(call.address)
        await self.released.wait()
        self.clock.advance(0.001)
        yield StandinResponse(503, [(b"Retry-After", self.retry_after)])


def test_queued_requests_are_refused_at_once_when_the_last_endpoint_asks_for_rest():
    client = HeldClient()
    calls = Calls(client, is_plain=False)
    client.clock = calls.clock
    queued = 8

    async def check():
        outcomes = []
        service = make_request("0").service
        running = calls.model.candidates.compute_capacity(service, calls.clock())

        async def send(number):
            outcomes.append(await calls.send(number))

        async with anyio.create_task_group() as group:
            for number in range(running + queued):
                group.start_soon(send, number)
            with anyio.fail_after(5):
                while len(client.sent) < running:
                    await anyio.sleep(0.01)
            client.released.set()
            with anyio.fail_after(2):
                while len(outcomes) < running + queued:
                    await anyio.sleep(0.01)
        assert len(client.sent) == running
        after_s = [x.retry_after_s for x in outcomes if x.step is Step.QUEUE]
        assert len(set(after_s)) == len(after_s) == queued
        assert 2.0 <= min(after_s) <= max(after_s) <= 2.6

    anyio.run(check)
