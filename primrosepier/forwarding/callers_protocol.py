"""HTTP protocol of a router's listening addresses, with the limits in force."""

from collections.abc import Callable

from ..caller_limits import make_caller_budget
from ..logs import Log
from ..protocol import make_bounded_protocol, set_protocol_bounds
from .declarations import Declaration
from .metrics import EntryMetrics
from .settings import EntrySettings

__all__ = ["apply_limits", "make_callers_protocol"]

# Limits on a request's head and on idle connections where the declaration sets none.
DEFAULT_HEADER_BYTES = 32 * 1024
DEFAULT_HEADER_S = 10.0
DEFAULT_IDLE_S = 30.0
# Added to the declared idle time-out, so that the router does not close a connection
# that a caller may still reuse.
IDLE_MARGIN_S = 1.0


def make_callers_protocol(
    settings: EntrySettings, log: Log, metrics: EntryMetrics
) -> type:
    """Return the protocol of all listening addresses, which share one budget."""
    budget = make_caller_budget(settings.memory_bytes, settings.max_fds, log.emit)
    metrics.callbacks.append(budget.set_gauges)
    return make_bounded_protocol(DEFAULT_HEADER_BYTES, DEFAULT_HEADER_S, budget)


def apply_limits(
    protocol: type, read_declaration: Callable[[], Declaration | None]
) -> None:
    """Apply the limits of the declaration in force, if there is one."""
    declaration = read_declaration()
    if declaration is None:
        return
    limits = declaration.limits
    set_protocol_bounds(
        protocol,
        limits.header_bytes or DEFAULT_HEADER_BYTES,
        limits.header_s or DEFAULT_HEADER_S,
        (limits.idle_s or DEFAULT_IDLE_S) + IDLE_MARGIN_S,
    )
