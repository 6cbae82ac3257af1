import contextlib

import anyio
import httpcore

from primrosepier.board import make_board
from primrosepier.candidates import Candidates
from primrosepier.clocks import ManualClock
from primrosepier.configuration import (
    Configuration,
    Endpoint,
    Service,
    ServiceKind,
    Workspace,
)
from primrosepier.outcomes import UnknownOutcome
from primrosepier.plain import PlainDispatcher, PlainRequest
from primrosepier.settings import Limits


class FailingClient:
    def __init__(self, errors):
        self.errors = list(errors)

    @contextlib.asynccontextmanager
    async def open(self, call):
        raise self.errors.pop(0)
        yield


def test_outcome_stays_unknown_after_a_retry_that_did_not_run():
    service = Service("s", ServiceKind.PLAIN)
    endpoints = {n: Endpoint(n, "s", "10.0.0.1:1", "d") for n in ("a", "b")}
    board = make_board()
    configuration = Configuration({}, {}, {"s": service}, endpoints)
    board.configuration.take_writer("test").write(configuration, 0.0)
    client = FailingClient([httpcore.ReadError(), httpcore.ConnectError()])
    dispatcher = PlainDispatcher(client, Candidates(board), Limits(), ManualClock())
    request = PlainRequest(
        id="req-1",
        workspace=Workspace("w", ()),
        service=service,
        method="GET",
        target="/",
        headers=(),
        body=b"",
        repeatable=True,
        needs_claim=False,
    )
    outcome = anyio.run(dispatcher.dispatch, request, None)
    assert not client.errors
    assert isinstance(outcome, UnknownOutcome)
