"""Withdrawal of calls that would begin on old weights after the rollout time.

A call may wait at a replica for longer than expected when it was sent: the queue grew,
or the weights were requested since.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from ..clocks import Clock
from ..ids import ModelId
from .fleet import Replica

__all__ = ["ComputeLag", "WaitingCall", "Withdrawals", "ignore_weights"]

# Tolerance for rounding when a lag is compared with its limit, seconds.
ROUNDING_S = 1e-6

ComputeLag = Callable[[Replica, ModelId], float | None]


def ignore_weights(replica: Replica, model: ModelId) -> float | None:
    """Return None; used where no weights version is required."""
    return None


def list_no_deadlines() -> list[float]:
    """Return no deadlines; used where no weights version is required."""
    return []


@dataclass(eq=False, slots=True)
class WaitingCall:
    """A call that was sent to a replica and has not begun there.

    Parameters
    ----------
    scope : anyio.CancelScope
        Scope of the attempt; cancelling it closes the connection.
    lag_s : float or None
        Time for which the replica had been missing weights when the call was withdrawn,
        seconds; None if it was not.
    """

    replica: Replica
    model: ModelId
    scope: anyio.CancelScope
    lag_s: float | None = None

    @property
    def is_withdrawn(self) -> bool:
        """Whether the call was withdrawn before it began or ended."""
        return self.scope.cancelled_caught


@dataclass(slots=True)
class Withdrawals:
    """Withdraws waiting calls from replicas with old weights.

    Parameters
    ----------
    compute_lag_s : callable
        Returns for how long a replica has been missing a model's weights; None if it
        has them.
    max_lag_s : float
        Lag from which calls are withdrawn, seconds.
    list_deadlines : callable
        Returns the times at which replicas that still miss requested weights reach
        that lag, seconds.

    Attributes
    ----------
    deadlines_s : list of float
        Deadlines at the last change.
    changed : anyio.Event
        Set when the deadlines change.
    """

    compute_lag_s: ComputeLag = ignore_weights
    max_lag_s: float = float("inf")
    list_deadlines: Callable[[], list[float]] = list_no_deadlines
    clock: Clock = time.monotonic
    waiting: set[WaitingCall] = field(default_factory=set)
    deadlines_s: list[float] = field(default_factory=list)
    changed: anyio.Event = field(default_factory=anyio.Event)

    @contextmanager
    def watch(self, replica: Replica, model: ModelId) -> Iterator[WaitingCall]:
        """Withdraw the call in the context if it has not begun in time."""
        with anyio.CancelScope() as scope:
            call = WaitingCall(replica, model, scope)
            self.waiting.add(call)
            self._withdraw_if_due(call)
            try:
                yield call
            finally:
                self.waiting.discard(call)

    def record_begun(self, call: WaitingCall) -> None:
        """Record that the output of a call begins, so that it is not withdrawn."""
        self.waiting.discard(call)

    def update_deadlines(self) -> None:
        """Read the deadlines again, since they may have changed."""
        deadlines_s = self.list_deadlines()
        if deadlines_s != self.deadlines_s:
            self.deadlines_s = deadlines_s
            self.changed.set()

    async def run(self) -> None:
        """Withdraw calls when deadlines come, until cancelled."""
        while True:
            with anyio.move_on_after(self._compute_delay_s()):
                await self.changed.wait()
                self.changed = anyio.Event()
            self.withdraw_due()

    def withdraw_due(self) -> None:
        """Withdraw the calls at replicas that have been missing weights too long."""
        for call in list(self.waiting):
            self._withdraw_if_due(call)

    def _withdraw_if_due(self, call: WaitingCall) -> None:
        lag_s = self.compute_lag_s(call.replica, call.model)
        if lag_s is not None and lag_s >= self.max_lag_s - ROUNDING_S:
            self.waiting.discard(call)
            call.lag_s = lag_s
            call.scope.cancel()

    def _compute_delay_s(self) -> float:
        now_s = self.clock()
        delays_s = [at_s - now_s for at_s in self.deadlines_s]
        return min((x for x in delays_s if x > 0), default=float("inf"))
