"""What a call costs its workspace, and how long it may be asked to wait."""

from ..calls import Call
from ..declarations import Quota

__all__ = ["compute_cost", "compute_max_retry_s"]

# Largest Retry-After as a share of the remaining time, which callers honour.
RETRY_SHARE = 0.3


def compute_cost(call: Call, quota: Quota) -> float:
    """Return what a call costs in the unit of the quota."""
    if not quota.counts_tokens:
        return 1.0
    if call.stated_tokens is None:
        return float(quota.default_tokens)
    return float(call.stated_tokens)


def compute_max_retry_s(call: Call, now_s: float) -> float:
    """Return the largest Retry-After of a call, seconds."""
    return RETRY_SHARE * max(0.0, call.deadline_s - now_s)
