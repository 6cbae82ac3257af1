"""Workspaces that a router reports to the others, and the totals it reports."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from ...ids import WorkspaceId
from .bucket import WorkspaceBucket
from .reports import WorkspaceTotals

__all__ = ["Listings"]

# Time for which a workspace is reported after its last call, seconds: a router that
# receives none of these reports counts this one as silent.
LISTED_S = 2.0
# Workspaces in one report, the newest calls first, so that it fits a datagram.
MAX_LISTED = 500


@dataclass(slots=True)
class _Listing:
    """A workspace in this router's reports, and its totals from before its calls."""

    since_s: float
    changed_at_s: float
    base_admitted: float
    base_asked: float
    base_asked_small: float


@dataclass(slots=True)
class Listings:
    """The workspaces that have had calls at this router of late."""

    listings: dict[WorkspaceId, _Listing] = field(default_factory=dict)

    def add(
        self, workspace: WorkspaceId, bucket: WorkspaceBucket, now_s: float
    ) -> None:
        """Report a workspace from now on; called before its totals change."""
        listing = self.listings.get(workspace)
        if listing is None:
            bases = (bucket.admitted, bucket.asked, bucket.asked_small)
            self.listings[workspace] = _Listing(now_s, now_s, *bases)
        else:
            listing.changed_at_s = now_s

    def remove(self, workspace: WorkspaceId) -> None:
        """Report a workspace no longer."""
        self.listings.pop(workspace, None)

    def make_totals(
        self, buckets: Mapping[WorkspaceId, WorkspaceBucket], now_s: float
    ) -> list[WorkspaceTotals]:
        """Return the totals to report, and forget the workspaces without calls."""
        self.listings = {
            workspace: listing
            for workspace, listing in self.listings.items()
            if now_s <= listing.changed_at_s + LISTED_S
        }
        listed = sorted(self.listings.items(), key=lambda x: -x[1].changed_at_s)
        return [
            _make_totals(workspace, listing, buckets[workspace], now_s)
            for workspace, listing in listed[:MAX_LISTED]
        ]


def _make_totals(
    workspace: WorkspaceId, listing: _Listing, bucket: WorkspaceBucket, now_s: float
) -> WorkspaceTotals:
    # Whole numbers take half the bytes; reports cross failure domains.
    totals = WorkspaceTotals(
        workspace,
        round(bucket.admitted),
        round(bucket.asked),
        asked_small=round(bucket.asked_small),
    )
    if now_s > listing.since_s + LISTED_S:
        return totals
    return msgspec.structs.replace(
        totals,
        base_admitted=round(listing.base_admitted),
        base_asked=round(listing.base_asked),
        base_asked_small=round(listing.base_asked_small),
    )
