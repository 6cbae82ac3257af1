"""Values of the Retry-After header (RFC 9110, section 10.2.3)."""

import math
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

__all__ = ["MAX_REST_S", "RestRequest", "parse_retry_after"]

# Longest rest that is granted, seconds: a value that was written by mistake must not
# keep an endpoint unused for good.
MAX_REST_S = 60.0
# Characters of a value that are kept for the log.
MAX_TEXT = 64


@dataclass(frozen=True, slots=True)
class RestRequest:
    """Time for which an endpoint wants no requests.

    Parameters
    ----------
    text : str
        The header's value; its beginning if it is long.
    rest_s : float
        Time that is granted, seconds; 0 if the value is not a time.
    """

    text: str
    rest_s: float


def parse_retry_after(value: bytes, date: bytes, now_s: float) -> RestRequest:
    """Parse a value in seconds, whole or fractional, or an HTTP date.

    Parameters
    ----------
    date : bytes
        Value of the Date header of the same response; empty for none. A date is
        compared with it, since the endpoint's clock may differ.
    now_s : float
        Time since the epoch, seconds; used if there is no Date header.
    """
    text = value.decode("latin-1").strip()
    rest_s = _parse_seconds(text)
    if rest_s is None:
        rest_s = _compute_time_until(text, date.decode("latin-1"), now_s)
    return RestRequest(text[:MAX_TEXT], min(MAX_REST_S, max(0.0, rest_s)))


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return 0.0 if math.isnan(seconds) else seconds


def _compute_time_until(text: str, date: str, now_s: float) -> float:
    """Return the time until an HTTP date, seconds; 0 if the text is none."""
    until = _parse_date(text)
    if until is None:
        return 0.0
    sent = _parse_date(date) or datetime.fromtimestamp(now_s, UTC)
    return (until - sent).total_seconds()


def _parse_date(text: str) -> datetime | None:
    try:
        parsed = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    # The obsolete form of asctime names no zone; all HTTP dates are in UTC.
    return parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)
