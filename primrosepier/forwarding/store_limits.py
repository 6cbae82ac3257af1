"""This router's share of the call rates of the store."""

from collections.abc import Callable

from ..clocks import Clock
from ..leases import Duty
from ..rate_limits import CallKind, RateLimitedStore, RateLimiter, StoreRates
from ..store import Store
from .freshness import compute_batching_delay_s
from .settings import EntrySettings

__all__ = ["choose_batching_delay_s", "limit_store"]

# Share of the store's rates that the routers use together. The rest is a reserve, since
# the count of routers may be some seconds old.
STORE_SHARE = 0.8
# Longest burst: the calls that the rates allow in this time may be made at once.
STORE_BURST_S = 0.5


def limit_store(
    settings: EntrySettings,
    store: Store,
    count_routers: Callable[[], int],
    clock: Clock,
    record_call: Callable[[str, str, float], None],
) -> RateLimitedStore:
    """Return a store client that keeps to this router's share of the rates."""
    rates = StoreRates(
        STORE_SHARE * settings.store_writes_per_s,
        STORE_SHARE * settings.store_reads_per_s,
        STORE_BURST_S,
    )
    return RateLimitedStore(
        store=store,
        limiter=RateLimiter(rates),
        count_routers=count_routers,
        clock=clock,
        renewal_kind=CallKind.READ,
        polls=True,
        record_call=record_call,
    )


def choose_batching_delay_s(settings: EntrySettings, duty: Duty) -> float:
    """Return for how many seconds changes of the store are batched.

    The holder of the weights duty does not wait, so as not to delay a rollout.
    """
    if duty.fencing_number:
        return 0.0
    return compute_batching_delay_s(settings.apply_s, settings.drain_s)
