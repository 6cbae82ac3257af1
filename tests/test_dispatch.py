import random

import anyio
import pytest

from primrosepier.board import make_board
from primrosepier.clocks import ManualClock
from primrosepier.configuration import parse_configuration
from primrosepier.dispatch import make_dispatcher
from primrosepier.outcomes import Completed, NotRun, Step, UnknownOutcome
from primrosepier.prompts import BLOCK_BYTES
from primrosepier.requests import ModelRequest, build_prompt
from primrosepier.reuse_placement import make_placement
from primrosepier.settings import Limits

TEXT = "\n".join(
    [
        "[workspace w]",
        "key_sha256 = " + "0" * 64,
        "[model m]",
        "version = 1",
        "[service s]",
        "models = m",
    ]
    + [
        f"[endpoint e{n}]\nservice = s\naddress = 10.0.0.{n}:80\n"
        f"failure_domain = d{n}\nconcurrent = 2"
        for n in range(4)
    ]
)
CONFIGURATION = parse_configuration({"a.ini": TEXT})


class ScriptedAttempts:
    """Returns one scripted outcome per attempt; the last one repeats."""

    def __init__(self, *outcomes, release=None):
        self.outcomes = list(outcomes)
        self.release = release
        self.endpoints = []

    async def run(self, request, endpoint, delivery):
        self.endpoints.append(endpoint.id)
        if self.release is not None:
            await self.release.wait()
        index = min(len(self.endpoints), len(self.outcomes)) - 1
        return self.outcomes[index](endpoint.id)


def make_completed(peer):
    return Completed(Step.RELAY, peer)


def make_connection_refused(peer):
    return NotRun(Step.CONNECT, peer, "refused")


def make_crashed(peer):
    return UnknownOutcome(Step.HEADERS, peer, "lost", lost=True)


def make_test_dispatcher(attempts, **limits):
    board = make_board()
    board.configuration.take_writer("test").write(CONFIGURATION, 0.0)
    dispatcher = make_dispatcher(board, attempts, make_placement("d"), Limits(**limits))
    dispatcher.rng = random.Random(1)
    return dispatcher


def make_request(prompt="hello", idempotent=True, body=None):
    workspace = CONFIGURATION.workspaces["w"]
    model = CONFIGURATION.models["m"]
    body = body or {"model": "m", "prompt": prompt}
    return ModelRequest(
        id="req-1",
        workspace=workspace,
        model=model,
        service=CONFIGURATION.services["s"],
        path="/v1/completions",
        body=body,
        streamed=False,
        prompt=build_prompt(workspace, model, body),
        idempotent=idempotent,
    )


def run(dispatcher, request):
    async def send(message):
        pytest.fail("nothing is sent by the dispatcher itself")

    return anyio.run(dispatcher.dispatch, request, send, 0.0)


def test_a_refused_connection_is_retried_at_another_endpoint():
    attempts = ScriptedAttempts(make_connection_refused, make_completed)
    assert isinstance(run(make_test_dispatcher(attempts), make_request()), Completed)
    assert len(set(attempts.endpoints)) == 2


def test_a_non_idempotent_request_that_may_have_run_is_not_retried():
    attempts = ScriptedAttempts(make_crashed, make_completed)
    outcome = run(make_test_dispatcher(attempts), make_request(idempotent=False))
    assert isinstance(outcome, UnknownOutcome)
    assert len(attempts.endpoints) == 1


def test_a_crashing_request_is_quarantined_after_two_endpoints():
    attempts = ScriptedAttempts(make_crashed)
    dispatcher = make_test_dispatcher(attempts)
    shared = []

    async def share_suspicions(suspicions):
        shared.append((len(attempts.endpoints), len(suspicions)))

    dispatcher.share_suspicions = share_suspicions
    for _ in range(5):
        outcome = run(dispatcher, make_request())
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after_s > 0
    assert len(set(attempts.endpoints)) == 2
    assert shared == [(1, 1), (2, 1)]
    assert isinstance(run(dispatcher, make_request("other")), UnknownOutcome)


class CrashingAttempts(ScriptedAttempts):
    """Crashes endpoints on requests with a text in one of their messages."""

    def __init__(self, text):
        super().__init__()
        self.text = text

    async def run(self, request, endpoint, delivery):
        self.endpoints.append(endpoint.id)
        is_crashing = self.text in str(request.body)
        return (make_crashed if is_crashing else make_completed)(endpoint.id)


def make_chat(*texts):
    body = {"model": "m", "messages": [{"role": "user", "content": x} for x in texts]}
    return make_request(body=body)


def test_a_message_that_crashes_endpoints_is_refused_in_any_request():
    attempts = CrashingAttempts("bad")
    dispatcher = make_test_dispatcher(attempts)
    clock = dispatcher.clock = ManualClock(0.0)
    for number in range(3):
        run(dispatcher, make_chat("first", "bad", str(number)))
        clock.advance(5.0)
    crashed = len(attempts.endpoints)
    outcome = run(dispatcher, make_chat("other", "bad", "next"))
    assert isinstance(outcome, NotRun)
    assert len(attempts.endpoints) == crashed
    assert isinstance(run(dispatcher, make_chat("first", "good", "x")), Completed)


def test_a_prefix_that_crashes_endpoints_is_refused_in_any_request():
    attempts = CrashingAttempts("bad")
    dispatcher = make_test_dispatcher(attempts)
    clock = dispatcher.clock = ManualClock(0.0)
    prefix = "bad" + BLOCK_BYTES * "x"
    for number in range(3):
        run(dispatcher, make_request(f"{prefix}{number}"))
        clock.advance(5.0)
    crashed = len(attempts.endpoints)
    assert isinstance(run(dispatcher, make_request(f"{prefix}next")), NotRun)
    assert len(attempts.endpoints) == crashed


def test_a_full_service_answers_not_run_at_the_queue_time_out():
    async def check():
        release = anyio.Event()
        attempts = ScriptedAttempts(make_completed, release=release)
        dispatcher = make_test_dispatcher(attempts, queue_s=0.05)
        outcomes = []

        async def call(number):
            request = make_request(str(number))
            outcomes.append(await dispatcher.dispatch(request, None, 0.0))

        async with anyio.create_task_group() as group:
            for number in range(8):
                group.start_soon(call, number)
            await anyio.wait_all_tasks_blocked()
            last = await dispatcher.dispatch(make_request("late"), None, 0.0)
            release.set()
        assert isinstance(last, NotRun)
        assert last.step is Step.QUEUE
        assert last.retry_after_s >= 1
        assert all(isinstance(outcome, Completed) for outcome in outcomes)
        assert max(attempts.endpoints.count(f"e{n}") for n in range(4)) == 2

    anyio.run(check)


def test_a_disconnect_in_the_queue_releases_the_place():
    async def check():
        release = anyio.Event()
        dispatcher = make_test_dispatcher(
            ScriptedAttempts(make_completed, release=release)
        )
        async with anyio.create_task_group() as group:
            for number in range(8):
                request = make_request(str(number))
                group.start_soon(dispatcher.dispatch, request, None, 0.0)
            await anyio.wait_all_tasks_blocked()
            with anyio.move_on_after(0.01):
                await dispatcher.dispatch(make_request("leaves"), None, 0.0)
            queue = dispatcher.gates["s"].queue
            assert (queue.waiting, queue.running) == (0, 8)
            release.set()
        assert queue.running == 0
        assert not +dispatcher.candidates.outstanding

    anyio.run(check)


def test_an_unknown_outcome_is_kept_after_a_refused_retry():
    attempts = ScriptedAttempts(make_crashed, make_connection_refused)
    outcome = run(make_test_dispatcher(attempts), make_request())
    assert isinstance(outcome, UnknownOutcome)
    assert len(attempts.endpoints) > 1
