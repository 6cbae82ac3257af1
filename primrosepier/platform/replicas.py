"""Decodes replicas' registrations, and the headers exchanged with replicas."""

import re
import time
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from ..addresses import parse_address
from ..decoding import Count, HeaderText, decode_json, parse_count
from ..errors import MessageError, UnknownStateError
from ..forwarding.calls import (
    AttemptOptions,
    Call,
    ReportedLoad,
    ResponseHead,
    WeightsVersionNumber,
)
from ..forwarding.fleet import Replica
from ..ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    ServiceId,
    SoftwareVersion,
)
from ..retry_after import RestRequest, parse_retry_after
from . import names

__all__ = ["PlatformDialect", "decode_replica", "read_leaving"]

MS = 0.001
READY = "ready"
DRAINING = "draining"
MISDIRECTED = 421
UNAVAILABLE = 503
LEAVING_VALUE = b"1"
MAX_SLOTS = 10**9
# Figures of a reported load that are read: calls that run and that wait, slots, and
# the time that work takes, in percent of the usual time.
LOAD_FIGURES = 4
PERCENT = 100.0
MAX_SLOWNESS_PERCENT = 100 * PERCENT
# Characters of an odd value that a log line shows.
MAX_SHOWN = 64
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# A name that is a value of a header.
NAME = re.compile(r"[!-~\xa1-\xff]{1,1024}")
INTEGER = re.compile(rb"[0-9]{1,9}")


class _Model(msgspec.Struct):
    name: HeaderText
    # The version of the model's weights.
    version: Count


class _Entry(msgspec.Struct):
    service: HeaderText
    address: str
    # The replica's failure domain.
    zone: HeaderText
    state: str
    slots: Count
    # The version of the replica's software, not of its weights.
    version: HeaderText
    models: list[_Model] = []
    # Unix milliseconds of the replica's start.
    born: Count = 0


def decode_replica(name: str, value: bytes) -> Replica:
    """Decode a replica's registration, which is stored under its name.

    Raises
    ------
    UnknownStateError
        The entry names a state that is neither ready nor draining.
    MessageError
        The entry is not a valid registration.
    """
    entry = decode_json(value, _Entry)
    if not NAME.fullmatch(name):
        raise MessageError(f"the name {name[:MAX_SHOWN]!r} does not fit a header")
    if entry.state not in (READY, DRAINING):
        raise UnknownStateError(f"state {entry.state[:MAX_SHOWN]!r} is unknown")
    if parse_address(entry.address) is None:
        raise MessageError(f"address {entry.address[:MAX_SHOWN]!r} is not IP:PORT")
    return Replica(
        id=EndpointId(name),
        service=ServiceId(entry.service),
        address=entry.address,
        failure_domain=FailureDomain(entry.zone),
        slots=min(max(1, entry.slots), MAX_SLOTS),
        draining=entry.state == DRAINING,
        weights={
            ModelId(m.name): WeightsVersionNumber(m.version) for m in entry.models
        },
        software=SoftwareVersion(entry.version),
        born_ms=entry.born,
    )


class PlatformDialect:
    """Encodes the headers of calls to replicas and decodes those of their responses."""

    def write_headers(
        self, call: Call, options: AttemptOptions
    ) -> Sequence[tuple[str, str]]:
        """Return the headers of one attempt."""
        headers = [
            (names.REMAINING_TIME, str(max(1, int(options.remaining_s / MS)))),
            (names.EXPECTED_ENDPOINT, options.endpoint),
        ]
        if call.workspace is not None:
            headers.append((names.WORKSPACE, call.workspace.id))
        if call.parts:
            headers.append((names.CACHE_SCOPE, options.cache_scope))
            headers.append((names.URGENCY, str(call.urgency)))
        if options.weights is not None:
            headers.append((names.EXPECTED_WEIGHTS, str(options.weights)))
        if options.fetch_from:
            headers.append((names.FETCH_FROM, options.fetch_from))
        if options.save_to:
            headers.append((names.SAVE_TO, options.save_to))
        if options.resume_after:
            headers.append((names.LAST_EVENT, options.resume_after))
        forwarded = [
            (n.decode("latin-1"), v.decode("latin-1")) for n, v in call.headers
        ]
        return forwarded + [(name.decode("latin-1"), value) for name, value in headers]

    def write_caller_headers(
        self, call: Call, remaining_s: float, resume_after: str
    ) -> Sequence[tuple[str, str]]:
        """Return the headers of a call as its caller would send it now."""
        headers = [(names.REMAINING_TIME, str(max(1, int(remaining_s / MS))))]
        if call.api_key:
            headers.append((names.API_KEY, f"Bearer {call.api_key}"))
        if resume_after:
            headers.append((names.LAST_EVENT, resume_after))
            if not call.is_resumed:
                headers.append((names.RESUMED_CALL, call.id))
        forwarded = [
            (n.decode("latin-1"), v.decode("latin-1")) for n, v in call.headers
        ]
        return forwarded + [(name.decode("latin-1"), value) for name, value in headers]

    def read_head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> ResponseHead:
        """Decode the head of a response."""
        values = {name.lower(): value for name, value in headers}
        forwarded = tuple(
            (name, value)
            for name, value in headers
            if name.lower() not in names.HOP_BY_HOP_HEADERS
        )
        not_run = names.NOT_RUN in values or status == MISDIRECTED
        return ResponseHead(
            status=status,
            headers=forwarded,
            call_id=values.get(names.CALL_ID, b"").decode("latin-1"),
            not_run=not_run,
            misdirected=status == MISDIRECTED,
            authentic=names.ENDPOINT_PROOF in values,
            load=_read_load(values.get(names.ENDPOINT_LOAD, b"")),
            weights=_read_weights(values.get(names.WEIGHTS, b"")),
            rate_limit_per_s=_read_rate(values.get(names.RATE_LIMIT, b"")),
            rest=_read_rest(status, values),
            is_leaving=read_leaving(headers),
            refusals_per_s=_read_number(values.get(names.BRITTLENESS, b"")),
        )


def read_leaving(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the headers of an answer say that its replica is leaving."""
    return any(
        name.lower() == names.LEAVING and value.strip() == LEAVING_VALUE
        for name, value in headers
    )


def _read_load(value: bytes) -> ReportedLoad | None:
    """Return the reported load; figures after the fourth are ignored."""
    parts = [part.strip() for part in value.split(b",", LOAD_FIGURES)]
    if len(parts) < 3 or not all(INTEGER.fullmatch(part) for part in parts[:3]):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    slowness = _read_slowness(parts[3]) if len(parts) > 3 else None
    return ReportedLoad(running, waiting, slots, slowness)


def _read_slowness(value: bytes) -> float | None:
    """Return a slowness given in percent; None if it is not a valid figure."""
    percent = _read_number(value)
    if percent is None or not 0 < percent <= MAX_SLOWNESS_PERCENT:
        return None
    return percent / PERCENT


def _read_rate(value: bytes) -> float | None:
    """Return a positive decimal number; None for anything else."""
    rate_per_s = _read_number(value)
    return rate_per_s if rate_per_s else None


def _read_number(value: bytes) -> float | None:
    """Return a decimal number, 0 or positive; None for anything else."""
    return float(value) if DECIMAL.fullmatch(value.strip()) else None


def _read_rest(status: int, values: Mapping[bytes, bytes]) -> RestRequest | None:
    """Return the rest that a replica asks for when it turns a call away.

    The Retry-After of a 429 is for the caller whose rate is exceeded.
    """
    value = values.get(names.RETRY_AFTER)
    if status != UNAVAILABLE or value is None:
        return None
    return parse_retry_after(value, values.get(names.DATE, b""), time.time())


def _read_weights(value: bytes) -> WeightsVersionNumber | None:
    version = parse_count(value)
    return None if version is None else WeightsVersionNumber(version)
