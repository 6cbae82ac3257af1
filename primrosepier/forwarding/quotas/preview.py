"""What a workspace's quota would say to a call, without charging it."""

from dataclasses import dataclass, replace

from ..calls import Call
from ..declarations import Quota
from .bucket import WorkspaceBucket, make_bucket
from .costs import compute_cost, compute_max_retry_s
from .quotas import SILENCE_S, Quotas

__all__ = ["AdmissionPreview", "preview_admission"]


@dataclass(frozen=True, slots=True)
class AdmissionPreview:
    """Decision of a quota on a call.

    Parameters
    ----------
    bucket : WorkspaceBucket
        Copy of the workspace's bucket, up to date.
    cost : float
        What the call would be charged, tokens or requests.
    probability : float
        Probability with which it would be admitted.
    retry_after_s : tuple of (float, float)
        Bounds of the Retry-After if it is not, seconds.
    view_age_s : float
        Time since this router last worked out its share of the quotas, seconds.
    """

    bucket: WorkspaceBucket
    cost: float
    probability: float
    retry_after_s: tuple[float, float]
    view_age_s: float


def preview_admission(
    quotas: Quotas, call: Call, now_s: float
) -> AdmissionPreview | None:
    """Return what the quota of a call's workspace decides; None if it has none.

    The share of the quotas is the one that this router worked out last.
    """
    quota = None if call.workspace is None else call.workspace.quota
    if quota is None:
        return None
    bucket = _preview_bucket(quotas, call, quota, now_s)
    cost = compute_cost(call, quota)
    return AdmissionPreview(
        bucket,
        cost,
        bucket.compute_probability(cost),
        bucket.compute_retry_range(cost, compute_max_retry_s(call, now_s)),
        now_s - quotas.share_at_s,
    )


def _preview_bucket(
    quotas: Quotas, call: Call, quota: Quota, now_s: float
) -> WorkspaceBucket:
    """Return a copy of a workspace's bucket, up to date.

    Its changes leave the peers' usage, which the copy shares, as it is.
    """
    assert call.workspace is not None
    workspace = call.workspace.id
    known = quotas.buckets.get(workspace)
    if known is None:
        known_at_s = max(quotas.known_at_s.get(workspace, now_s), quotas.started_at_s)
        args = quota, quotas.bounds, quotas.rng, known_at_s, quotas.share
        bucket = make_bucket(*args)
    else:
        bucket = replace(known)
    bucket.advance(now_s, quotas.share, quotas.is_alone)
    if bucket.quota != quota:
        bucket.change_quota(quota)
    if now_s - quotas.ticked_at_s > SILENCE_S:
        bucket.reset()
    return bucket
