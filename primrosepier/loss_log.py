"""Log of requests lost with their endpoints, merged over routers."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from .crash_causes import MIN_LOSSES, Fingerprints, Loss, LostRequest, find_causes
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
# Requests that one endpoint loses within this time are lost in the same crash.
SAME_LOSS_S = 2.0
# Shortest time between two refreshes of the causes that answers and reports require;
# a loss of this router's own requires one at once.
REFRESH_INTERVAL_S = 0.05
MAX_LOSSES = 64
MAX_ANSWERED = 4096
# Time for which a loss is repeated in reports, since a report may be lost.
REPEAT_S = 3.0
REPEAT_INTERVAL_S = 0.5
# Interval at which causes are reported to routers that have started since.
CAUSE_REPORT_INTERVAL_S = 2.0
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
        Time since the last complete answer to a request with one of the lost
        fingerprints began, milliseconds.
    """

    losses: Sequence[SharedLoss] = ()
    answered_ms: Mapping[Fingerprint, int] = msgspec.field(default_factory=dict)


def ignore_causes(added: frozenset[Fingerprint], ended: frozenset[Fingerprint]) -> None:
    """Do nothing; used where no one follows the causes."""


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
    answers, peer_answers : dict of Fingerprint to float
        Time at which the last complete answer began, here and at other routers,
        seconds; least recent first.
    causes : dict of Fingerprint to float
        Time at which the quarantine of each cause ends, seconds.
    suspects : frozenset of Fingerprint
        Fingerprints that were not answered since a loss.
    refresh_at_s : float
        Time at which the causes are to be worked out anew, seconds.
    is_changed : bool
        Whether there is a loss or answer that no report has told of.
    """

    notify: Callable[[frozenset[Fingerprint], frozenset[Fingerprint]], None] = (
        ignore_causes
    )
    losses: list[Loss] = field(default_factory=list)
    answers: dict[Fingerprint, float] = field(default_factory=dict)
    peer_answers: dict[Fingerprint, float] = field(default_factory=dict)
    causes: dict[Fingerprint, float] = field(default_factory=dict)
    suspects: frozenset[Fingerprint] = frozenset()
    refresh_at_s: float = float("inf")
    refreshed_at_s: float = float("-inf")
    is_changed: bool = False
    reported_at_s: float = float("-inf")

    def compute_quarantine_s(
        self, fingerprints: Fingerprints, now_s: float
    ) -> float | None:
        """Return for how long a request must not run; None if it may run."""
        self.refresh(now_s)
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
        if self._find_or_add(endpoint, now_s).add(request):
            self.refresh_at_s = now_s
            self.is_changed = True

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
        self.refresh(now_s)
        # Most requests come once, so that only those that were lost are remembered.
        answered = [*fingerprints.parts, *({fingerprints.request} & self.suspects)]
        _record_times(self.answers, dict.fromkeys(answered, began_at_s))
        if not self.suspects.isdisjoint(answered):
            self._request_refresh()
            self.is_changed = True

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
                loss.is_crash = False
                loss.disproved_at_s = now_s
                self._request_refresh()
                self.is_changed = True

    def _get_answered_at_s(self, fingerprint: Fingerprint) -> float:
        """Return when the last complete answer began; minus infinity without one."""
        never_s = float("-inf")
        return max(
            self.answers.get(fingerprint, never_s),
            self.peer_answers.get(fingerprint, never_s),
        )

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

    def _knows_loss(self, endpoint: EndpointId, request: Fingerprint) -> bool:
        """Return whether a request is known to be lost with an endpoint at any time."""
        return any(
            loss.endpoint == endpoint and request in loss.requests
            for loss in self.losses
        )

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
        self.losses = [x for x in self.losses if x.lost_at_s + LOSS_TTL_S > now_s]
        self.suspects = frozenset().union(
            *(loss.list_suspects(self._get_answered_at_s) for loss in self.losses)
        )
        found = {
            cause: explained[-MIN_LOSSES].lost_at_s + LOSS_TTL_S
            for cause, explained in find_causes(self.losses, self._get_answered_at_s)
        }
        self._drop_losses(found.keys())
        added = frozenset(found.keys() - self.causes.keys())
        ended = frozenset(self.causes.keys() - found.keys())
        self.causes = found
        if added or ended:
            self.notify(added, ended)

    def _drop_losses(self, causes: Collection[Fingerprint]) -> None:
        """Drop the oldest losses over the limit, those without a cause first."""
        excess = len(self.losses) - MAX_LOSSES
        if excess <= 0:
            return
        order = sorted(self.losses, key=lambda loss: loss.involves(causes))
        dropped = order[:excess]
        self.losses = [loss for loss in self.losses if loss not in dropped]

    def must_report(self, now_s: float) -> bool:
        """Return whether a report is due."""
        self.refresh(now_s)
        if self.is_changed:
            return True
        is_recent = any(
            loss.disproved_at_s + REPEAT_S > now_s or self._select_reported(loss, now_s)
            for loss in self.losses
            if max(loss.lost_at_s, loss.disproved_at_s) + REPEAT_S > now_s
        )
        if is_recent:
            return now_s - self.reported_at_s >= REPEAT_INTERVAL_S
        return bool(self.causes) and (
            now_s - self.reported_at_s >= CAUSE_REPORT_INTERVAL_S
        )

    def make_report(self, now_s: float) -> LossReport:
        """Return a report of the newest losses of this router and of all causes."""
        self.refresh(now_s)
        self.is_changed = False
        self.reported_at_s = now_s
        shared = []
        room = MAX_REPORTED_FINGERPRINTS
        for loss in reversed(self.losses):
            requests = []
            for request in self._select_reported(loss, now_s):
                room -= len(request.fingerprints.list_all())
                if room >= 0:
                    requests.append(request)
            if requests or loss.disproved_at_s + REPEAT_S > now_s:
                shared.append(_share_loss(loss, requests, now_s))
        lost = {
            fingerprint
            for loss in self.losses
            for request in loss.requests.values()
            for fingerprint in request.fingerprints.list_all()
        }
        answered = [f for f in reversed(self.answers) if f in lost]
        answered_ms = {
            fingerprint: _compute_age_ms(self.answers[fingerprint], now_s)
            for fingerprint in answered[:MAX_REPORTED_ANSWERS]
        }
        return LossReport(shared, answered_ms)

    def _select_reported(self, loss: Loss, now_s: float) -> list[LostRequest]:
        """Return a loss's requests to report, those least known to be sound first."""
        if not loss.is_crash:
            return []

        def compute_rank(request: LostRequest) -> float:
            answered = map(self._get_answered_at_s, request.fingerprints.parts)
            return min(answered, default=float("-inf"))

        is_recent = loss.lost_at_s + REPEAT_S > now_s
        selected = [
            request
            for request in loss.requests.values()
            if (is_recent and request.is_own) or request.involves(self.causes)
        ]
        return sorted(selected, key=compute_rank)

    def merge(self, report: LossReport, now_s: float) -> None:
        """Merge another router's report."""
        times = {f: now_s - age_ms * MS for f, age_ms in report.answered_ms.items()}
        is_new = not self.suspects.isdisjoint(times)
        _record_times(self.peer_answers, times)
        for shared in report.losses:
            lost_at_s = now_s - shared.lost_ms * MS
            if lost_at_s + LOSS_TTL_S <= now_s:
                continue
            loss = self._find_or_add(shared.endpoint, lost_at_s)
            if not shared.requests:
                is_new = is_new or loss.is_crash
                loss.is_crash = False
            for request in shared.requests:
                fingerprints = Fingerprints(request.request, request.parts)
                sent_at_s = now_s - request.sent_ms * MS
                lost = LostRequest(fingerprints, sent_at_s, is_own=False)
                if not self._knows_loss(shared.endpoint, request.request):
                    is_new = loss.add(lost) or is_new
        if is_new:
            self._request_refresh()


def _record_times(
    answers: dict[Fingerprint, float], times: Mapping[Fingerprint, float]
) -> None:
    """Record the times of answers, and forget those that were not renewed longest."""
    for fingerprint, answered_at_s in times.items():
        previous_s = answers.pop(fingerprint, float("-inf"))
        answers[fingerprint] = max(previous_s, answered_at_s)
    while len(answers) > MAX_ANSWERED:
        del answers[next(iter(answers))]


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
