"""Causes of crashes, told from what lost requests have in common.

A part of a prompt, or a request that is sent again, may crash each endpoint that runs
it. Other requests are lost in the same crashes. The cause is told from these by three
facts: it is in each of the crashes, requests with it are not answered, and requests
with it that were sent after one crash are lost in the next. An endpoint that goes on
with requests which it ran before has not crashed.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .ids import EndpointId, Fingerprint

__all__ = [
    "MIN_LOSSES",
    "Fingerprints",
    "Loss",
    "LostRequest",
    "find_causes",
    "find_repeated",
]

# Lost requests, each sent after the one before was lost, that make a cause.
MIN_LOSSES = 3
# Losses after which a request is held back until its endpoints are back.
MIN_REPEATED_LOSSES = 2
# An endpoint that resets its connections is no proof against what it was sent.
MIN_ENDPOINTS = 2
# Share of another part's losses at which a part that comes only with it explains them
# as well.
ALIKE_SHARE = 0.75
# Endpoints that are lost within this time of each other may have one cause.
COINCIDENCE_S = 0.1
# Uncertainty of the order of events at different routers.
ORDER_MARGIN_S = 0.05
MAX_REQUESTS_PER_LOSS = 128

GetAnsweredAt = Callable[[Fingerprint], float]


@dataclass(frozen=True, slots=True)
class Fingerprints:
    """What other requests may have in common with a request.

    Parameters
    ----------
    request : Fingerprint
        The whole request.
    parts : tuple of Fingerprint
        The parts of its prompt but the last, in order.
    """

    request: Fingerprint
    parts: tuple[Fingerprint, ...] = ()

    def list_all(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the parts and of the request."""
        return (*self.parts, self.request)


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that was lost with its endpoint.

    Parameters
    ----------
    is_own : bool
        Whether this router sent it.
    """

    fingerprints: Fingerprints
    sent_at_s: float
    is_own: bool

    def involves(self, fingerprints: Collection[Fingerprint]) -> bool:
        """Return whether the request has any of the fingerprints."""
        return any(f in fingerprints for f in self.fingerprints.list_all())


@dataclass(slots=True, eq=False)
class Loss:
    """Requests that one endpoint lost at about the same time.

    Parameters
    ----------
    is_crash : bool
        Whether no request is known that the endpoint went on with.
    """

    endpoint: EndpointId
    lost_at_s: float
    requests: dict[Fingerprint, LostRequest] = field(default_factory=dict)
    is_crash: bool = True

    def add(self, request: LostRequest) -> bool:
        """Add a request; return whether it was new and there was room for it."""
        known = self.requests.get(request.fingerprints.request)
        is_full = known is None and len(self.requests) >= MAX_REQUESTS_PER_LOSS
        if is_full or (known is not None and known.sent_at_s >= request.sent_at_s):
            return False
        self.requests[request.fingerprints.request] = request
        return known is None

    def has_only_with(self, part: Fingerprint, other: Fingerprint) -> bool:
        """Return whether each request with a part has the other one too."""
        return all(
            other in request.fingerprints.parts
            for request in self.requests.values()
            if part in request.fingerprints.parts
        )


# A fingerprint and the losses that it explains, oldest first.
Cause = tuple[Fingerprint, Sequence[Loss]]


def find_causes(
    involved: Mapping[Fingerprint, Sequence[Loss]],
    losses: Sequence[Loss],
    get_answered_at_s: GetAnsweredAt,
) -> list[Cause]:
    """Return the causes of losses, each with the losses that it explains.

    The part with the most losses explains them first, unless one that comes only
    with it explains about as many. Each request is proved by its own losses alone,
    since several may crash endpoints at the same time.

    Parameters
    ----------
    involved : Mapping of Fingerprint to sequence of Loss
        The losses of requests with a fingerprint since its last answer.
    losses : sequence of Loss
        All losses that count as crashes.
    get_answered_at_s : callable
        Returns when the last complete answer to a request with a fingerprint began,
        seconds; minus infinity without one.
    """
    by_request: dict[Fingerprint, Sequence[Loss]] = {}
    by_part: dict[Fingerprint, Sequence[Loss]] = {}
    for fingerprint, lost in involved.items():
        if len(lost) < MIN_LOSSES:
            continue
        ordered = sorted(lost, key=lambda loss: loss.lost_at_s)
        is_request = fingerprint in ordered[0].requests
        (by_request if is_request else by_part)[fingerprint] = ordered
    requests = [
        (request, lost)
        for request, lost in by_request.items()
        if _is_proved(lost, request)
    ]
    explained = {loss for _, lost in requests for loss in lost}
    unexplained = [loss for loss in losses if loss not in explained]
    parts = _find_parts(by_part, unexplained, get_answered_at_s)
    return _select_causes(parts, requests)


def _select_causes(parts: Sequence[Cause], requests: Sequence[Cause]) -> list[Cause]:
    """Drop the causes all of whose losses are explained by others.

    A cause is in each of its crashes. What was merely lost beside it is in some of
    them only, and in those of other causes. Only requests that were lost more often
    explain a request, since causes that come together are lost beside each other.
    """
    candidates = [
        *parts,
        *(
            (request, lost)
            for request, lost in requests
            if not _is_one_of(request, lost, parts)
        ),
    ]
    is_part = {cause for cause, _ in parts}
    by_weight = sorted(candidates, key=lambda x: (x[0] not in is_part, len(x[1])))
    for cause, lost in by_weight:
        others = [
            x
            for x in candidates
            if set(x[1]) != set(lost) and (cause in is_part or len(x[1]) > len(lost))
        ]
        if set(lost) <= {loss for _, other in others for loss in other}:
            candidates.remove((cause, lost))
    return candidates


def _find_parts(
    by_part: Mapping[Fingerprint, Sequence[Loss]],
    losses: Sequence[Loss],
    get_answered_at_s: GetAnsweredAt,
) -> list[Cause]:
    """Return the parts that cause losses.

    Parameters
    ----------
    losses : sequence of Loss
        Losses that no request is proved to cause.
    """
    causes: list[Cause] = []
    while True:
        proved = [
            part
            for part, lost in by_part.items()
            if _is_proved_part(part, lost, losses)
        ]
        if not proved:
            return causes
        cause = _choose_cause(proved, by_part, get_answered_at_s)
        explained = by_part[cause]
        causes.append((cause, explained))
        by_part = {
            part: [loss for loss in by_part[part] if loss not in explained]
            for part in proved
        }


def _is_one_of(
    request: Fingerprint, lost: Sequence[Loss], parts: Iterable[Cause]
) -> bool:
    """Return whether a request is one of several that were lost with a part."""
    own_parts = lost[0].requests[request].fingerprints.parts
    return any(
        part in own_parts and set(lost) < set(with_part) for part, with_part in parts
    )


def _choose_cause(
    proved: Sequence[Fingerprint],
    by_part: Mapping[Fingerprint, Sequence[Loss]],
    get_answered_at_s: GetAnsweredAt,
) -> Fingerprint:
    """Return the part that explains the most losses.

    Of those that explain about as many and come only with it, the one that was not
    answered for the longest time is returned, then the later one in a prompt,
    which fewer requests share.
    """
    first = min(
        reversed(proved),
        key=lambda part: (-len(by_part[part]), get_answered_at_s(part)),
    )
    alike = [
        part
        for part in reversed(proved)
        if len(by_part[part]) >= ALIKE_SHARE * len(by_part[first])
        and all(loss.has_only_with(part, first) for loss in by_part[part])
    ]
    return min(alike, key=get_answered_at_s)


def find_repeated(
    involved: Mapping[Fingerprint, Sequence[Loss]], causes: Iterable[Cause]
) -> list[tuple[Fingerprint, Loss]]:
    """Return the requests that were lost at several endpoints, each with its last loss.

    Losses that have a cause are not counted.
    """
    explained = {loss for _, lost in causes for loss in lost}
    repeated = []
    for fingerprint, lost in involved.items():
        ordered = sorted(
            (loss for loss in lost if loss not in explained),
            key=lambda loss: loss.lost_at_s,
        )
        endpoints = {loss.endpoint for loss in ordered}
        if (
            len(endpoints) >= MIN_ENDPOINTS
            and fingerprint in ordered[0].requests
            and _count_in_sequence(ordered, fingerprint) >= MIN_REPEATED_LOSSES
        ):
            repeated.append((fingerprint, ordered[-1]))
    return repeated


def _is_proved(involved: Sequence[Loss], request: Fingerprint) -> bool:
    """Return whether a request was lost again each time that it was sent."""
    return _has_enough(involved) and _count_in_sequence(involved, request) >= MIN_LOSSES


def _count_in_sequence(involved: Sequence[Loss], request: Fingerprint) -> int:
    """Return how often a request was sent after it had been lost, and lost again."""
    lost_at_s = float("-inf")
    count = 0
    for loss in involved:
        if loss.requests[request].sent_at_s >= lost_at_s:
            lost_at_s = loss.lost_at_s
            count += 1
    return count


def _is_proved_part(
    part: Fingerprint, involved: Sequence[Loss], losses: Sequence[Loss]
) -> bool:
    """Return whether losses prove that requests with a part cause them.

    Requests that were in progress at the same time may have been lost for one
    reason, and so may endpoints that were lost together, of which some did not run
    such a request. Repeats of one request prove nothing of the parts that it
    shares with others.
    """
    if not _has_enough(involved):
        return False
    lost_at_s = float("-inf")
    counted: list[Fingerprint] = []
    for loss in involved:
        for request in loss.requests.values():
            name = request.fingerprints.request
            if (
                name not in counted
                and request.sent_at_s >= lost_at_s + ORDER_MARGIN_S
                and request.involves((part,))
                and _explains_coincidence(loss, involved, losses)
            ):
                lost_at_s = loss.lost_at_s
                counted.append(name)
                break
    return len(counted) >= MIN_LOSSES


def _has_enough(involved: Sequence[Loss]) -> bool:
    endpoints = {loss.endpoint for loss in involved}
    return len(involved) >= MIN_LOSSES and len(endpoints) >= MIN_ENDPOINTS


def _explains_coincidence(
    loss: Loss, involved: Sequence[Loss], losses: Sequence[Loss]
) -> bool:
    """Return whether all endpoints lost with one ran such a request."""
    return all(
        other in involved
        for other in losses
        if abs(other.lost_at_s - loss.lost_at_s) <= COINCIDENCE_S
    )
