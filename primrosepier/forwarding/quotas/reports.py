"""What routers report to each other of the calls that count against quotas."""

from collections.abc import Sequence
from typing import Annotated

import msgspec

from ...decoding import Count, decode_msgpack
from ...ids import WorkspaceId

__all__ = ["QuotaReport", "WorkspaceTotals", "decode_quota_report"]

# Beyond all totals of a router; larger numbers would lose units in additions.
MAX_TOTAL = 2.0**53

Total = Annotated[float, msgspec.Meta(ge=-MAX_TOTAL, le=MAX_TOTAL)]


class WorkspaceTotals(msgspec.Struct, frozen=True, array_like=True):
    """A router's totals of one workspace since its start, tokens or requests.

    Parameters
    ----------
    admitted, asked : float
    base_admitted, base_asked : float or None
        Totals before its first call of late; None once they were reported for long
        enough.
    asked_small, base_asked_small : float
        The requested totals of small calls. Earlier builds report none, so that their
        calls count as large.
    """

    workspace: WorkspaceId
    admitted: Total
    asked: Total
    base_admitted: Total | None = None
    base_asked: Total | None = None
    asked_small: Total = 0
    base_asked_small: Total = 0


class QuotaReport(msgspec.Struct, frozen=True, array_like=True):
    """The section of a router's report on quotas.

    Parameters
    ----------
    run : int
        Number of this run of the router's process, chosen at random.
    uptime_ms : int
        Age of the run; it orders the reports.
    totals : sequence of WorkspaceTotals
        Workspaces that have had calls of late.
    """

    run: int
    uptime_ms: Count
    totals: Sequence[WorkspaceTotals] = ()


def decode_quota_report(content: bytes) -> QuotaReport:
    """Decode the section.

    Raises
    ------
    MessageError
        The content is malformed, or a number in it is not a total.
    """
    return decode_msgpack(content, QuotaReport)
