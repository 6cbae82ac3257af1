"""Log of requests lost with their endpoints, merged over routers."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from .crash_causes import (
    MIN_LOSSES,
    Fingerprints,
    Loss,
    LostRequest,
    find_causes,
    find_repeated,
)
from .ids import EndpointId, Fingerprint

__all__ = [
    "LossLog",
    "LossReport",
    "SharedLoss",
    "SharedRequest",
]

# An endpoint that completes an answer this long after a loss has not crashed. Answers
# that it had sent before a crash are read sooner.
SURVIVAL_S = 0.25
# Time after which a loss is no longer held against a request.
LOSS_TTL_S = 600.0
# Time for which a request is held back that was lost repeatedly: about the restart time
# of an endpoint.
HOLD_S = 4.0
# Requests that one endpoint loses within this time are lost in the same crash.
SAME_LOSS_S = 2.0
# Shortest time between two refreshes of the causes that answers and reports require;
# a loss of this router's own requires one at once.
REFRESH_INTERVAL_S = 0.05
MAX_LOSSES = 64
MAX_ANSWERED = 4096
# What has changed is reported at once, but not more often than this.
REPORT_INTERVAL_S = 0.1
# Time after which a change is reported once more, since a report may be lost.
REPEAT_INTERVAL_S = 0.5
# Losses of this age and less are in a summary for routers that have started since.
SUMMARY_S = 3.0
# Limits on the size of a report.
MAX_REPORTED_FINGERPRINTS = 128
MAX_REPORTED_ANSWERS = 32
MS = 0.001


class SharedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A lost request in a report.

    Parameters
    ----------
    sent_ms : int
        Time since it was sent, milliseconds.
    """

    request: Fingerprint
    parts: tuple[Fingerprint, ...]
    sent_ms: int


class SharedLoss(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one lost endpoint in a report.

    Parameters
    ----------
    lost_ms : int
        Time since the endpoint was lost, milliseconds.
    requests : sequence of SharedRequest
        Empty if the endpoint has not crashed.
    """

    endpoint: EndpointId
    lost_ms: int
    requests: Sequence[SharedRequest]


class LossReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one router to another.

    Parameters
    ----------
    answered_ms : Mapping of Fingerprint to int
        Time since the last complete answer to a request with a fingerprint began,
        milliseconds, for fingerprints that had been lost before it.
    """

    losses: Sequence[SharedLoss] = ()
    answered_ms: Mapping[Fingerprint, int] = msgspec.field(default_factory=dict)


def ignore_causes(added: frozenset[Fingerprint], ended: frozenset[Fingerprint]) -> None:
    """Do nothing; used where no one follows the causes."""


@dataclass(slots=True)
class _Changes:
    """What is to be reported.

    Parameters
    ----------
    lost : dict of Loss to set of Fingerprint
        Requests by loss; an empty set for one that was disproved.
    answered : set of Fingerprint
    """

    lost: dict[Loss, set[Fingerprint]] = field(default_factory=dict)
    answered: set[Fingerprint] = field(default_factory=set)

    def __bool__(self) -> bool:
        return bool(self.lost or self.answered)

    def merge(self, other: "_Changes") -> "_Changes":
        """Return these changes and others."""
        lost = dict(self.lost)
        for loss, requests in other.lost.items():
            lost[loss] = lost.get(loss, set()) | requests
        return _Changes(lost, self.answered | other.answered)


@dataclass(slots=True)
class LossLog:
    """Losses of the last minutes, and the causes that follow from them.

    Parameters
    ----------
    notify : callable
        Called with the causes that were found and those that no longer hold.

    Attributes
    ----------
    losses : list of Loss
        Oldest first.
    involved : dict of Fingerprint to list of Loss
        Losses of requests with a fingerprint since its last answer.
    answers : dict of Fingerprint to float
        Time at which the last complete answer began, seconds; least recent first.
    causes : dict of Fingerprint to float
        Time at which the quarantine of each cause ends, seconds.
    refresh_at_s : float
        Time at which the causes are to be worked out anew, seconds.
    unreported, reported : _Changes
        Changes that no report has told of, and those that one report has.
    """

    notify: Callable[[frozenset[Fingerprint], frozenset[Fingerprint]], None] = (
        ignore_causes
    )
    losses: list[Loss] = field(default_factory=list)
    involved: dict[Fingerprint, list[Loss]] = field(default_factory=dict)
    answers: dict[Fingerprint, float] = field(default_factory=dict)
    causes: dict[Fingerprint, float] = field(default_factory=dict)
    refresh_at_s: float = float("inf")
    refreshed_at_s: float = float("-inf")
    unreported: _Changes = field(default_factory=_Changes)
    reported: _Changes = field(default_factory=_Changes)
    reported_at_s: float = float("-inf")

    def compute_quarantine_s(
        self, fingerprints: Fingerprints, now_s: float
    ) -> float | None:
        """Return for how long a request must not run; None if it may run."""
        self.refresh(now_s)
        return self.find_quarantine_s(fingerprints, now_s)

    def find_quarantine_s(
        self, fingerprints: Fingerprints, now_s: float
    ) -> float | None:
        """Return the same by the causes that are known, and change nothing."""
        if not self.causes:
            return None
        ends = [self.causes.get(f, now_s) for f in fingerprints.list_all()]
        remaining_s = max(ends) - now_s
        return remaining_s if remaining_s > 0 else None

    def record_loss(
        self,
        fingerprints: Fingerprints,
        endpoint: EndpointId,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Record that an endpoint was lost while running a request."""
        request = LostRequest(fingerprints, sent_at_s, is_own=True)
        loss = self._find_or_add(endpoint, now_s)
        if self._add(loss, request):
            self.refresh_at_s = now_s
            self.unreported.lost.setdefault(loss, set()).add(fingerprints.request)

    def record_answer(
        self,
        fingerprints: Fingerprints,
        endpoint: EndpointId,
        began_at_s: float,
        now_s: float,
    ) -> None:
        """Record a complete answer, which clears what the request consists of.

        Parameters
        ----------
        began_at_s : float
            Time at which the answer began, seconds: losses after it are not cleared.
        """
        self._disprove_crashes(endpoint, began_at_s, now_s)
        # Most requests come once, so that only those that were lost are remembered.
        answered = fingerprints.parts
        if fingerprints.request in self.involved:
            answered = fingerprints.list_all()
        for fingerprint in answered:
            if self._clear(fingerprint, began_at_s):
                self.unreported.answered.add(fingerprint)

    def _disprove_crashes(
        self, endpoint: EndpointId, began_at_s: float, now_s: float
    ) -> None:
        """Find losses during an answer, which the endpoint therefore went on with."""
        for loss in self.losses:
            if (
                loss.is_crash
                and loss.endpoint == endpoint
                and began_at_s < loss.lost_at_s < now_s - SURVIVAL_S
            ):
                self._disprove(loss)
                self.unreported.lost[loss] = set()

    def _disprove(self, loss: Loss) -> None:
        loss.is_crash = False
        self._forget([loss])
        self._request_refresh()

    def _clear(self, fingerprint: Fingerprint, answered_at_s: float) -> bool:
        """Record the time of an answer; return whether it cleared a loss."""
        previous_s = self.answers.pop(fingerprint, float("-inf"))
        self.answers[fingerprint] = max(previous_s, answered_at_s)
        if len(self.answers) > MAX_ANSWERED:
            del self.answers[next(iter(self.answers))]
        lost = self.involved.get(fingerprint)
        if lost is None:
            return False
        kept = [loss for loss in lost if loss.lost_at_s >= answered_at_s]
        if len(kept) == len(lost):
            return False
        self._set_involved(fingerprint, kept)
        self._request_refresh()
        return True

    def _set_involved(self, fingerprint: Fingerprint, losses: list[Loss]) -> None:
        if losses:
            self.involved[fingerprint] = losses
        else:
            self.involved.pop(fingerprint, None)

    def _get_answered_at_s(self, fingerprint: Fingerprint) -> float:
        """Return when the last complete answer began; minus infinity without one."""
        return self.answers.get(fingerprint, float("-inf"))

    def _find_or_add(self, endpoint: EndpointId, lost_at_s: float) -> Loss:
        """Return the loss of an endpoint at about a time, adding it if it is new."""
        for loss in self.losses:
            if (
                loss.endpoint == endpoint
                and abs(loss.lost_at_s - lost_at_s) <= SAME_LOSS_S
            ):
                return loss
        loss = Loss(endpoint, lost_at_s)
        self.losses.append(loss)
        self.losses.sort(key=lambda loss: loss.lost_at_s)
        return loss

    def _add(self, loss: Loss, request: LostRequest) -> bool:
        """Add a request to a loss; return whether it was new."""
        if not loss.add(request):
            return False
        if loss.is_crash:
            for fingerprint in request.fingerprints.list_all():
                self._involve(loss, fingerprint)
        return True

    def _involve(self, loss: Loss, fingerprint: Fingerprint) -> None:
        if self._get_answered_at_s(fingerprint) > loss.lost_at_s:
            # The router that reported the loss does not know of this answer.
            self.unreported.answered.add(fingerprint)
            return
        lost = self.involved.setdefault(fingerprint, [])
        if loss not in lost:
            lost.append(loss)

    def _forget(self, losses: Sequence[Loss]) -> None:
        """Remove what requests of some losses are involved in."""
        fingerprints = {
            fingerprint
            for loss in losses
            for request in loss.requests.values()
            for fingerprint in request.fingerprints.list_all()
        }
        for fingerprint in fingerprints:
            lost = self.involved.get(fingerprint, [])
            kept = [loss for loss in lost if loss not in losses]
            self._set_involved(fingerprint, kept)

    def _request_refresh(self) -> None:
        due_s = self.refreshed_at_s + REFRESH_INTERVAL_S
        self.refresh_at_s = min(self.refresh_at_s, due_s)

    def refresh(self, now_s: float) -> None:
        """Work the causes out of the losses if these have changed."""
        has_expired = self.losses and self.losses[0].lost_at_s + LOSS_TTL_S <= now_s
        if now_s < self.refresh_at_s and not has_expired:
            return
        self.refresh_at_s = float("inf")
        self.refreshed_at_s = now_s
        self._drop([x for x in self.losses if x.lost_at_s + LOSS_TTL_S <= now_s])
        crashes = [loss for loss in self.losses if loss.is_crash]
        causes = find_causes(self.involved, crashes, self._get_answered_at_s)
        found = {
            cause: explained[-MIN_LOSSES].lost_at_s + LOSS_TTL_S
            for cause, explained in causes
        }
        for request, loss in find_repeated(self.involved, causes):
            end_s = loss.lost_at_s + HOLD_S
            if end_s > max(now_s, found.get(request, now_s)):
                found[request] = end_s
                self.refresh_at_s = min(self.refresh_at_s, end_s)
        self._drop_excess({loss for _, explained in causes for loss in explained})
        added = frozenset(found.keys() - self.causes.keys())
        ended = frozenset(self.causes.keys() - found.keys())
        self.causes = found
        if added or ended:
            self.notify(added, ended)

    def _drop(self, losses: Sequence[Loss]) -> None:
        if losses:
            self.losses = [loss for loss in self.losses if loss not in losses]
            self._forget(losses)

    def _drop_excess(self, explained: Collection[Loss]) -> None:
        """Drop the oldest losses over the limit, those without a cause first."""
        excess = max(0, len(self.losses) - MAX_LOSSES)
        self._drop(sorted(self.losses, key=lambda loss: loss in explained)[:excess])

    def must_report(self, now_s: float) -> bool:
        """Return whether a report of changes is due."""
        age_s = now_s - self.reported_at_s
        if self.unreported and age_s >= REPORT_INTERVAL_S:
            return True
        return bool(self.reported) and age_s >= REPEAT_INTERVAL_S

    def make_report(self, now_s: float) -> LossReport:
        """Return a report of what has changed, and of the last changes once more."""
        changes = self.reported.merge(self.unreported)
        self.mark_reported(now_s)
        return self._make_report(changes, now_s)

    def mark_reported(self, now_s: float) -> None:
        """Record that all changes were reported."""
        self.reported, self.unreported = self.unreported, _Changes()
        self.reported_at_s = now_s

    def make_summary(self, now_s: float) -> LossReport:
        """Return a report for routers that know of nothing yet."""
        self.refresh(now_s)
        lost: dict[Loss, set[Fingerprint]] = {}
        for loss in self.losses:
            is_recent = loss.lost_at_s + SUMMARY_S > now_s
            requests = {
                name
                for name, request in loss.requests.items()
                if (is_recent and request.is_own) or request.involves(self.causes)
            }
            if requests:
                lost[loss] = requests
        return self._make_report(_Changes(lost, set(self.unreported.answered)), now_s)

    def _make_report(self, changes: _Changes, now_s: float) -> LossReport:
        """Return a report of changes that fits a datagram, the newest losses first."""
        shared = []
        room = MAX_REPORTED_FINGERPRINTS
        for loss in sorted(changes.lost, key=lambda loss: -loss.lost_at_s):
            requests = []
            for request in self._order_requests(loss, changes.lost[loss]):
                room -= len(request.fingerprints.list_all())
                if room >= 0 and loss.is_crash:
                    requests.append(request)
            if requests or not loss.is_crash:
                shared.append(_share_loss(loss, requests, now_s))
        answered_ms = {
            fingerprint: _compute_age_ms(self.answers[fingerprint], now_s)
            for fingerprint in list(changes.answered)[:MAX_REPORTED_ANSWERS]
            if fingerprint in self.answers
        }
        return LossReport(shared, answered_ms)

    def _order_requests(
        self, loss: Loss, names: Collection[Fingerprint]
    ) -> list[LostRequest]:
        """Return some requests of a loss, those least known to be sound first."""

        def compute_rank(request: LostRequest) -> float:
            answered = map(self._get_answered_at_s, request.fingerprints.parts)
            return min(answered, default=float("-inf"))

        requests = [loss.requests[name] for name in loss.requests if name in names]
        return sorted(requests, key=compute_rank)

    def merge(self, report: LossReport, now_s: float) -> None:
        """Merge another router's report."""
        for fingerprint, age_ms in report.answered_ms.items():
            self._clear(fingerprint, now_s - age_ms * MS)
        for shared in report.losses:
            lost_at_s = now_s - shared.lost_ms * MS
            if lost_at_s + LOSS_TTL_S <= now_s:
                continue
            loss = self._find_or_add(shared.endpoint, lost_at_s)
            if not shared.requests and loss.is_crash:
                self._disprove(loss)
            for request in shared.requests:
                self._merge_request(loss, request, now_s)

    def _merge_request(self, loss: Loss, shared: SharedRequest, now_s: float) -> None:
        """Add another router's request, unless a copy of it is known."""
        is_known = any(
            other.endpoint == loss.endpoint and shared.request in other.requests
            for other in self.losses
        )
        if is_known:
            return
        fingerprints = Fingerprints(shared.request, shared.parts)
        sent_at_s = now_s - shared.sent_ms * MS
        if self._add(loss, LostRequest(fingerprints, sent_at_s, is_own=False)):
            self._request_refresh()


def _share_loss(
    loss: Loss, requests: Iterable[LostRequest], now_s: float
) -> SharedLoss:
    shared = [
        SharedRequest(
            request.fingerprints.request,
            request.fingerprints.parts,
            _compute_age_ms(request.sent_at_s, now_s),
        )
        for request in requests
    ]
    return SharedLoss(loss.endpoint, _compute_age_ms(loss.lost_at_s, now_s), shared)


def _compute_age_ms(at_s: float, now_s: float) -> int:
    return max(0, round((now_s - at_s) / MS))
