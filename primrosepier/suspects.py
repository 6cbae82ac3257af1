"""Detection and quarantine of requests suspected of crashing endpoints.

A request is quarantined when it is lost with two endpoints. What requests have in
common, as a part of their prompts, is quarantined by what the log of losses proves.
"""

import hashlib
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from .crash_causes import Fingerprints
from .ids import EndpointId, FailureDomain, Fingerprint, ModelId, WorkspaceId
from .loss_log import LossLog

__all__ = [
    "Allowed",
    "Quarantined",
    "SuspectTable",
    "Suspicion",
    "compute_fingerprint",
    "compute_part_fingerprint",
]

MAX_LOST_ENDPOINTS = 2
SUSPICION_S = 600.0
QUARANTINE_S = 600.0
CONFIRMED_QUARANTINE_S = 86400.0
CORRELATION_S = 2.0
FINGERPRINT_BYTES = 8


def compute_fingerprint(workspace: WorkspaceId, body: bytes) -> Fingerprint:
    """Return a keyed hash that identifies a request without storing its content.

    Parameters
    ----------
    body : bytes
        Canonical encoding of the request as sent to the endpoint.
    """
    return _compute_hash(f"request/{workspace}", body)


def compute_part_fingerprint(model: ModelId, part: bytes) -> Fingerprint:
    """Return a keyed hash that identifies a part of prompts for a model."""
    return _compute_hash(f"part/{model}", part)


def _compute_hash(name: str, data: bytes) -> Fingerprint:
    key = hashlib.blake2b(name.encode(), digest_size=32).digest()
    digest = hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES, key=key)
    return Fingerprint(int.from_bytes(digest.digest(), "big"))


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Suspicion that a request crashes endpoints.

    Parameters
    ----------
    lost : tuple of EndpointId
        Endpoints that were lost while running the request.
    confirmed : bool
        Whether the quarantine is confirmed: the request was the only known suspect on
        the endpoint that was lost last.
    until_s : float
        Time in seconds at which the suspicion ends.
    """

    fingerprint: int
    lost: tuple[EndpointId, ...]
    confirmed: bool
    until_s: float


@dataclass(frozen=True, slots=True)
class Allowed:
    """Permission to run a request.

    Parameters
    ----------
    endpoints : frozenset of EndpointId or None
        Endpoints on which the request may run; None for all.
    """

    endpoints: frozenset[EndpointId] | None = None


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Refusal to run a request that is in quarantine.

    Parameters
    ----------
    retry_after_s : float
        Remaining time of the quarantine in seconds.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class _Loss:
    endpoint: EndpointId
    failure_domain: FailureDomain
    fingerprints: frozenset[int]
    at_s: float

    def involves(self, fingerprint: int, endpoint: EndpointId) -> bool:
        return endpoint == self.endpoint and fingerprint in self.fingerprints


@dataclass(slots=True)
class SuspectTable:
    """Tracks the endpoints lost while running each request, and quarantines requests.

    A request is quarantined when `MAX_LOST_ENDPOINTS` endpoints were lost while
    running it, and for longer when it was the only known suspect. Suspicions expire.

    Parameters
    ----------
    suspicions : dict of int to Suspicion
        Suspicions by request fingerprint.
    running : dict of int to Counter of EndpointId
        Attempts in progress, by request fingerprint and endpoint.
    losses : list of _Loss
        Endpoints lost within the last `CORRELATION_S`.
    loss_log : LossLog
        Losses of the last minutes, for what lost requests have in common.
    """

    suspicions: dict[int, Suspicion] = field(default_factory=dict)
    running: dict[int, Counter[EndpointId]] = field(default_factory=dict)
    losses: list[_Loss] = field(default_factory=list)
    loss_log: LossLog = field(default_factory=LossLog)

    def check_common(
        self, fingerprints: Fingerprints, now_s: float
    ) -> Allowed | Quarantined:
        """Decide by what a request has in common with others whether it may run."""
        remaining_s = self.loss_log.compute_quarantine_s(fingerprints, now_s)
        return Allowed() if remaining_s is None else Quarantined(remaining_s)

    def check(self, fingerprint: int, now_s: float) -> Allowed | Quarantined:
        """Decide whether a request may run, and on which endpoints.

        Endpoints that are running the same request count as possible losses, so that
        concurrent attempts never crash more than `MAX_LOST_ENDPOINTS` endpoints.
        """
        suspicion = self._expire_and_get(fingerprint, now_s)
        lost = set(suspicion.lost) if suspicion else set()
        if len(lost) >= MAX_LOST_ENDPOINTS and suspicion is not None:
            return Quarantined(suspicion.until_s - now_s)
        attempts = self.running.get(fingerprint)
        at_risk = set(attempts) if attempts else set()
        if len(lost | at_risk) < MAX_LOST_ENDPOINTS:
            return Allowed()
        return Allowed(frozenset(at_risk))

    def _expire_and_get(self, fingerprint: int, now_s: float) -> Suspicion | None:
        """Return a request's current suspicion.

        When an unconfirmed quarantine expires, the request stays suspected of its last
        loss.
        """
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None or suspicion.until_s > now_s:
            return suspicion
        del self.suspicions[fingerprint]
        if suspicion.confirmed or len(suspicion.lost) < MAX_LOST_ENDPOINTS:
            return None
        downgraded = replace(
            suspicion, lost=suspicion.lost[-1:], until_s=suspicion.until_s + SUSPICION_S
        )
        self.suspicions[fingerprint] = downgraded
        return self._expire_and_get(fingerprint, now_s)

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
        counts = {endpoint: self.count_suspects(endpoint) for endpoint in endpoints}
        fewest = min(counts.values(), default=0)
        return frozenset(
            endpoint for endpoint, count in counts.items() if count == fewest
        )

    def is_suspect(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a request is suspected of crashing endpoints."""
        return self._expire_and_get(fingerprint, now_s) is not None

    def record_start(self, fingerprint: int, endpoint: EndpointId) -> None:
        """Record the start of an attempt."""
        self.running.setdefault(fingerprint, Counter())[endpoint] += 1

    def record_end(
        self, fingerprint: int, endpoint: EndpointId, completed: bool
    ) -> None:
        """Record the end of an attempt.

        A complete answer clears the suspicion unless the request is quarantined.
        """
        attempts = self.running.get(fingerprint)
        if attempts is not None:
            attempts[endpoint] -= 1
            if attempts[endpoint] <= 0:
                del attempts[endpoint]
            if not attempts:
                del self.running[fingerprint]
        suspicion = self.suspicions.get(fingerprint)
        if completed and suspicion and len(suspicion.lost) < MAX_LOST_ENDPOINTS:
            del self.suspicions[fingerprint]

    def record_loss(
        self,
        fingerprint: int,
        endpoint: EndpointId,
        failure_domain: FailureDomain,
        now_s: float,
    ) -> list[Suspicion]:
        """Record that an endpoint was lost while running a request.

        When some of the requests running on the endpoint are already suspects, only
        these are suspected of the loss; otherwise all of them are. When two endpoints
        of one failure domain are lost within `CORRELATION_S` and no request ran on both
        of them, the domain is taken to have failed: no request is suspected of the new
        loss, and suspicions based only on the earlier one are withdrawn.

        Returns
        -------
        list of Suspicion
            Suspicions to send to the other routers before a retry.
        """
        running_fingerprints = frozenset(
            fingerprint
            for fingerprint, attempts in self.running.items()
            if endpoint in attempts
        )
        loss = _Loss(endpoint, failure_domain, running_fingerprints, now_s)
        self.losses = [x for x in self.losses if now_s - x.at_s <= CORRELATION_S]
        if any(x.involves(fingerprint, endpoint) for x in self.losses):
            return []
        domain_losses = [x for x in self.losses if self._shares_only_domain(x, loss)]
        self.losses.append(loss)
        if domain_losses:
            self._withdraw_suspicions(domain_losses)
            return []
        return self._raise_suspicions(running_fingerprints, endpoint, now_s)

    def _shares_only_domain(self, earlier: _Loss, loss: _Loss) -> bool:
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
        self, running_fingerprints: frozenset[int], endpoint: EndpointId, now_s: float
    ) -> list[Suspicion]:
        known_suspects = [
            f
            for f in running_fingerprints
            if self._expire_and_get(f, now_s) is not None
        ]
        suspects = known_suspects or sorted(running_fingerprints)
        raised = []
        for fingerprint in suspects:
            earlier = self.suspicions.get(fingerprint)
            lost = (*(earlier.lost if earlier else ()), endpoint)
            lost = tuple(dict.fromkeys(lost))
            confirmed = len(lost) >= MAX_LOST_ENDPOINTS and len(known_suspects) == 1
            period_s = _choose_period(len(lost), confirmed)
            suspicion = Suspicion(fingerprint, lost, confirmed, now_s + period_s)
            self.suspicions[fingerprint] = suspicion
            raised.append(suspicion)
        return raised

    def merge(self, suspicions: Iterable[Suspicion]) -> None:
        """Merge suspicions reported by other routers."""
        for received in suspicions:
            existing = self.suspicions.get(received.fingerprint)
            if existing is None:
                self.suspicions[received.fingerprint] = received
                continue
            self.suspicions[received.fingerprint] = Suspicion(
                fingerprint=existing.fingerprint,
                lost=tuple(sorted({*existing.lost, *received.lost})),
                confirmed=existing.confirmed or received.confirmed,
                until_s=max(existing.until_s, received.until_s),
            )

    def expire(self, now_s: float) -> None:
        """Remove expired suspicions; downgrade expired unconfirmed quarantines."""
        for fingerprint in list(self.suspicions):
            self._expire_and_get(fingerprint, now_s)


def _choose_period(lost: int, confirmed: bool) -> float:
    if lost < MAX_LOST_ENDPOINTS:
        return SUSPICION_S
    return CONFIRMED_QUARANTINE_S if confirmed else QUARANTINE_S
