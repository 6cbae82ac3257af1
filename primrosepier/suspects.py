"""Detection and quarantine of requests suspected of crashing endpoints."""

import hashlib
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from .ids import EndpointId, FailureDomain, WorkspaceId

__all__ = [
    "Allowed",
    "Quarantined",
    "SuspectTable",
    "Suspicion",
    "compute_fingerprint",
]

MAX_LOST = 2
SUSPICION_S = 600.0
QUARANTINE_S = 600.0
CONFIRMED_QUARANTINE_S = 86400.0
CORRELATION_S = 2.0
FINGERPRINT_BYTES = 8


def compute_fingerprint(workspace: WorkspaceId, body: bytes) -> int:
    """Return a keyed hash that identifies a request without storing its content.

    Parameters
    ----------
    body : bytes
        Canonical encoding of the request as sent to the endpoint.
    """
    key = hashlib.blake2b(workspace.encode(), digest_size=32).digest()
    digest = hashlib.blake2b(body, digest_size=FINGERPRINT_BYTES, key=key)
    return int.from_bytes(digest.digest(), "big")


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Endpoints that were lost while running one request.

    Parameters
    ----------
    lost : tuple of EndpointId
    confirmed : bool
        Whether no other suspect was running on the endpoint that was lost last.
    until_s : float
        Time at which the suspicion ends, seconds.
    """

    fingerprint: int
    lost: tuple[EndpointId, ...]
    confirmed: bool
    until_s: float


@dataclass(frozen=True, slots=True)
class Allowed:
    """Returned when the request may run.

    Parameters
    ----------
    permitted : frozenset of EndpointId or None
        Endpoints to which it is restricted; None for no restriction.
    """

    permitted: frozenset[EndpointId] | None = None


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Returned when the request is in quarantine for a time, seconds."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class _Loss:
    endpoint: EndpointId
    failure_domain: FailureDomain
    fingerprints: frozenset[int]
    at_s: float

    def covers(self, fingerprint: int, endpoint: EndpointId) -> bool:
        return endpoint == self.endpoint and fingerprint in self.fingerprints


@dataclass(slots=True)
class SuspectTable:
    """Tracks the endpoints lost under each request and quarantines the request.

    A request is quarantined after `MAX_LOST` endpoints, for longer when no other
    request can be the cause. Suspicions expire.
    """

    suspicions: dict[int, Suspicion] = field(default_factory=dict)
    running: dict[int, Counter[EndpointId]] = field(default_factory=dict)
    losses: list[_Loss] = field(default_factory=list)

    def check(self, fingerprint: int, now_s: float) -> Allowed | Quarantined:
        """Return whether and where a request may run.

        Endpoints that are running the same request count as possible losses, so that
        concurrent copies of it never crash more than two endpoints.
        """
        suspicion = self._get_current(fingerprint, now_s)
        lost = set(suspicion.lost) if suspicion else set()
        if len(lost) >= MAX_LOST and suspicion is not None:
            return Quarantined(suspicion.until_s - now_s)
        copies = self.running.get(fingerprint)
        at_risk = set(copies) if copies else set()
        if len(lost | at_risk) < MAX_LOST:
            return Allowed()
        return Allowed(frozenset(at_risk))

    def _get_current(self, fingerprint: int, now_s: float) -> Suspicion | None:
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None or suspicion.until_s > now_s:
            return suspicion
        del self.suspicions[fingerprint]
        if suspicion.confirmed or len(suspicion.lost) < MAX_LOST:
            return None
        reduced = replace(
            suspicion, lost=suspicion.lost[-1:], until_s=suspicion.until_s + SUSPICION_S
        )
        self.suspicions[fingerprint] = reduced
        return self._get_current(fingerprint, now_s)

    def count_suspects(self, endpoint: EndpointId) -> int:
        """Return the number of suspects running on an endpoint."""
        return sum(
            1
            for fingerprint in self.suspicions
            if endpoint in self.running.get(fingerprint, ())
        )

    def select_fewest_suspects(
        self, endpoints: Collection[EndpointId]
    ) -> frozenset[EndpointId]:
        """Return the endpoints that are running the fewest suspects."""
        counts = {name: self.count_suspects(name) for name in endpoints}
        fewest = min(counts.values(), default=0)
        return frozenset(name for name, count in counts.items() if count == fewest)

    def is_suspect(self, fingerprint: int, now_s: float) -> bool:
        """Return whether an endpoint was lost while running this request."""
        return self._get_current(fingerprint, now_s) is not None

    def record_start(self, fingerprint: int, endpoint: EndpointId) -> None:
        """Record the start of an attempt."""
        self.running.setdefault(fingerprint, Counter())[endpoint] += 1

    def record_end(
        self, fingerprint: int, endpoint: EndpointId, completed: bool
    ) -> None:
        """Record the end of an attempt; a complete answer clears the suspicion.

        A quarantined request stays suspect.
        """
        copies = self.running.get(fingerprint)
        if copies is not None:
            copies[endpoint] -= 1
            if copies[endpoint] <= 0:
                del copies[endpoint]
            if not copies:
                del self.running[fingerprint]
        suspicion = self.suspicions.get(fingerprint)
        if completed and suspicion and len(suspicion.lost) < MAX_LOST:
            del self.suspicions[fingerprint]

    def record_loss(
        self,
        fingerprint: int,
        endpoint: EndpointId,
        failure_domain: FailureDomain,
        now_s: float,
    ) -> list[Suspicion]:
        """Record that an endpoint was lost while running a request.

        All requests running on the endpoint become suspects, or only those that were
        suspects before. When endpoints of one failure domain are lost within
        `CORRELATION_S` without a request in common, the cause is taken to lie
        elsewhere, and no suspicion is raised.

        Returns
        -------
        list of Suspicion
            Suspicions to send to the other routers before a retry.
        """
        at_endpoint = frozenset(
            fingerprint
            for fingerprint, copies in self.running.items()
            if endpoint in copies
        )
        loss = _Loss(endpoint, failure_domain, at_endpoint, now_s)
        self.losses = [x for x in self.losses if now_s - x.at_s <= CORRELATION_S]
        if any(x.covers(fingerprint, endpoint) for x in self.losses):
            return []
        unrelated = [x for x in self.losses if self._is_unrelated(x, loss)]
        self.losses.append(loss)
        if unrelated:
            self._withdraw_suspicions(unrelated)
            return []
        return self._raise_suspicions(at_endpoint, endpoint, now_s)

    def _is_unrelated(self, earlier: _Loss, loss: _Loss) -> bool:
        return (
            earlier.endpoint != loss.endpoint
            and earlier.failure_domain == loss.failure_domain
            and not earlier.fingerprints & loss.fingerprints
        )

    def _withdraw_suspicions(self, losses: Iterable[_Loss]) -> None:
        for loss in losses:
            for fingerprint in loss.fingerprints:
                suspicion = self.suspicions.get(fingerprint)
                if suspicion and suspicion.lost == (loss.endpoint,):
                    del self.suspicions[fingerprint]

    def _raise_suspicions(
        self, at_endpoint: frozenset[int], endpoint: EndpointId, now_s: float
    ) -> list[Suspicion]:
        known_suspects = [
            f for f in at_endpoint if self._get_current(f, now_s) is not None
        ]
        suspects = known_suspects or sorted(at_endpoint)
        raised = []
        for fingerprint in suspects:
            before = self.suspicions.get(fingerprint)
            lost = (*(before.lost if before else ()), endpoint)
            lost = tuple(dict.fromkeys(lost))
            confirmed = len(lost) >= MAX_LOST and len(known_suspects) == 1
            period_s = _choose_period(len(lost), confirmed)
            suspicion = Suspicion(fingerprint, lost, confirmed, now_s + period_s)
            self.suspicions[fingerprint] = suspicion
            raised.append(suspicion)
        return raised

    def merge(self, suspicions: Iterable[Suspicion]) -> None:
        """Merge suspicions reported by other routers."""
        for other in suspicions:
            own = self.suspicions.get(other.fingerprint)
            if own is None:
                self.suspicions[other.fingerprint] = other
                continue
            self.suspicions[other.fingerprint] = Suspicion(
                fingerprint=own.fingerprint,
                lost=tuple(sorted({*own.lost, *other.lost})),
                confirmed=own.confirmed or other.confirmed,
                until_s=max(own.until_s, other.until_s),
            )

    def expire(self, now_s: float) -> None:
        """Remove expired suspicions."""
        for fingerprint in list(self.suspicions):
            self._get_current(fingerprint, now_s)


def _choose_period(lost: int, confirmed: bool) -> float:
    if lost < MAX_LOST:
        return SUSPICION_S
    return CONFIRMED_QUARANTINE_S if confirmed else QUARANTINE_S
